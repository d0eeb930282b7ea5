package routing

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"bergamotstile/platform"
	"bergamotstile/ring"
	"bergamotstile/structs"
)

// Errors of a claim write. Only errClaimUnknown leaves open whether the write
// took effect or still will.
var (
	errClaimUnavailable = errors.New("claim write not made")
	errClaimConflict    = errors.New("claim row changed")
	errClaimFenced      = errors.New("shard taken over")
	errClaimUnknown     = errors.New("outcome of claim write unknown")
)

// claimOp is one conditional write of a claim row.
type claimOp struct {
	shard   structs.ShardID
	epoch   uint64
	key     string
	version uint64 // at which the row must be; zero requires its absence
	row     claimRow
	// taken is set by whoever decides the op's fate first: the writer that
	// puts it into a transaction, or the waiter that gives up.
	taken atomic.Bool
	done  chan claimResult // holds one
}

type claimResult struct {
	version uint64
	err     error
}

func newClaimOp(lease Lease, key string, version uint64, row claimRow) *claimOp {
	row.Epoch = lease.Epoch
	return &claimOp{shard: lease.Shard, epoch: lease.Epoch, key: key, version: version, row: row, done: make(chan claimResult, 1)}
}

// abandon withdraws an op that the writer has not taken. It is then certain
// that nothing was written.
func (o *claimOp) abandon() bool {
	return o.taken.CompareAndSwap(false, true)
}

// claimWriter commits claim writes in groups. It is the only writer of the
// claim rows of this instance's shards, so that the transactions of a shard
// never conflict with each other.
type claimWriter struct {
	settings  Settings
	clock     clockwork.Clock
	table     platform.Table
	ownership Ownership
	ops       *ring.Ring[*claimOp]
}

func newClaimWriter(c Config) *claimWriter {
	return &claimWriter{
		settings: c.Settings, clock: c.Clock, table: c.Table, ownership: c.Ownership,
		ops: ring.New[*claimOp](c.Settings.ClaimRing),
	}
}

// submit queues an op, or fails it at once if too many wait.
func (w *claimWriter) submit(op *claimOp) {
	if !w.ops.Offer(op) {
		op.done <- claimResult{err: fmt.Errorf("%w: %d claim writes wait", errClaimUnavailable, w.settings.ClaimRing)}
	}
}

// serve commits what has accumulated while the last transaction was under way.
func (w *claimWriter) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case op := <-w.ops.C():
			w.commit(ctx, append([]*claimOp{op}, w.ops.Drain(w.settings.ClaimGroup-1)...))
		}
	}
}

// commit writes one group for each shard among the ops, since each shard has
// a fence of its own.
func (w *claimWriter) commit(ctx context.Context, ops []*claimOp) {
	var order []structs.ShardID
	groups := map[structs.ShardID][]*claimOp{}
	for _, op := range ops {
		if !op.taken.CompareAndSwap(false, true) {
			continue
		}
		if groups[op.shard] == nil {
			order = append(order, op.shard)
		}
		groups[op.shard] = append(groups[op.shard], op)
	}
	for _, shard := range order {
		w.commitShard(ctx, shard, groups[shard])
	}
}

func (w *claimWriter) commitShard(ctx context.Context, shard structs.ShardID, ops []*claimOp) {
	left := ops
	// A panic leaves open what was written; the waiters must not wait for ever.
	defer func() { finishOps(left, claimResult{err: errClaimUnknown}) }()
	lease, held := w.ownership.Held(shard)
	left = dropOps(left, func(op *claimOp) bool { return !held || op.epoch != lease.Epoch }, errClaimFenced)
	for len(left) > 0 {
		tx, ops := w.transaction(lease, left)
		version, err := w.commitResolved(ctx, tx, ops[0])
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			left = finishOps(left, claimResult{version: version})
		case errors.As(err, &conflict):
			left = w.conflicted(left, lease, conflict)
		default:
			left = finishOps(left, claimResult{err: err})
		}
	}
}

// conflicted fails the op whose row has changed and leaves the others for the
// next transaction. A moved fence fails all of them.
func (w *claimWriter) conflicted(ops []*claimOp, lease Lease, conflict *platform.ConflictError) []*claimOp {
	rest := dropOps(ops, func(op *claimOp) bool { return op.key == conflict.Key }, errClaimConflict)
	if len(rest) < len(ops) {
		return rest
	}
	if conflict.Key == lease.Fence.Key {
		w.ownership.Fenced(lease.Shard, lease.Epoch)
	}
	return finishOps(ops, claimResult{err: errClaimFenced})
}

func finishOps(ops []*claimOp, res claimResult) []*claimOp {
	for _, op := range ops {
		op.done <- res
	}
	return nil
}

func dropOps(ops []*claimOp, drop func(*claimOp) bool, err error) []*claimOp {
	var kept []*claimOp
	for _, op := range ops {
		if drop(op) {
			op.done <- claimResult{err: err}
		} else {
			kept = append(kept, op)
		}
	}
	return kept
}

// transaction writes the rows of all ops under the fence.
func (w *claimWriter) transaction(lease Lease, ops []*claimOp) (platform.Transaction, []*claimOp) {
	tx := platform.Transaction{WriteID: uuid.NewString(), Conditions: []platform.Condition{lease.Fence}}
	for _, op := range ops {
		op.row.WriteID = tx.WriteID
		value, err := json.Marshal(op.row)
		if err != nil {
			panic(fmt.Sprintf("routing: claim row: %v", err))
		}
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: op.key, Version: op.version})
		tx.Puts = append(tx.Puts, platform.Put{Key: op.key, Value: value})
	}
	return tx, ops
}

// commitResolved commits a transaction and, if its answer is lost, finds out
// whether it took effect. It returns only when that is certain, or with
// errClaimUnknown when ctx ends or a foreign write hides it.
func (w *claimWriter) commitResolved(ctx context.Context, tx platform.Transaction, probe *claimOp) (uint64, error) {
	version, err := w.try(ctx, tx)
	for errors.Is(err, errClaimUnknown) {
		var found bool
		version, found, err = w.lookUp(ctx, tx, probe)
		if err == nil && !found {
			version, err = w.resend(ctx, tx, probe)
		}
		if errors.Is(err, errForeignWrite) {
			return 0, errClaimUnknown
		}
		if errors.Is(err, errClaimUnknown) && !w.pause(ctx) {
			return 0, err
		}
	}
	return version, err
}

// errForeignWrite reports a row that another writer has changed.
var errForeignWrite = errors.New("claim row written by another")

// resend sends the same conditional transaction again: only one copy can take
// effect. A conflict may come from the first copy, which the row then shows.
func (w *claimWriter) resend(ctx context.Context, tx platform.Transaction, probe *claimOp) (uint64, error) {
	version, err := w.try(ctx, tx)
	var conflict *platform.ConflictError
	if errors.Is(err, errClaimUnavailable) {
		// This copy had no effect, which says nothing of the first one.
		return 0, errClaimUnknown
	}
	if !errors.As(err, &conflict) {
		return version, err
	}
	version, found, lookErr := w.lookUp(ctx, tx, probe)
	switch {
	case lookErr != nil:
		return 0, lookErr
	case found:
		return version, nil
	}
	return 0, err
}

// lookUp reads one row of the group, which tells of all since transactions
// are atomic. It reports whether the transaction took effect.
func (w *claimWriter) lookUp(ctx context.Context, tx platform.Transaction, probe *claimOp) (uint64, bool, error) {
	cctx, cancel := clockwork.WithTimeout(ctx, w.clock, w.settings.TableTimeout)
	defer cancel()
	rows, err := w.table.Read(cctx, probe.key)
	if err != nil {
		return 0, false, errClaimUnknown
	}
	if len(rows) == 0 {
		if probe.version != 0 {
			return 0, false, errForeignWrite
		}
		return 0, false, nil
	}
	if rows[0].Version == probe.version {
		return 0, false, nil
	}
	if row, err := decodeClaim(rows[0]); err != nil || row.WriteID != tx.WriteID {
		return 0, false, errForeignWrite
	}
	return rows[0].Version, true, nil
}

// try commits once. An error that the table does not define proves nothing.
func (w *claimWriter) try(ctx context.Context, tx platform.Transaction) (uint64, error) {
	cctx, cancel := clockwork.WithTimeout(ctx, w.clock, w.settings.TableTimeout)
	defer cancel()
	res, err := w.table.Commit(cctx, tx)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return res.Version, nil
	case errors.As(err, &conflict):
		return 0, conflict
	case errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrOutcomeUnknown):
		return 0, fmt.Errorf("%w: %v", errClaimUnavailable, err)
	}
	return 0, fmt.Errorf("%w: %v", errClaimUnknown, err)
}

func (w *claimWriter) pause(ctx context.Context) bool {
	return sleep(ctx, w.clock, w.settings.ClaimRetry)
}

// sleep reports false if ctx ended.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}
