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

// Errors of a claim write. After errClaimUnknown the write may have taken
// effect or may do so later. After each other error it has not taken effect and
// never will.
var (
	errClaimNotWritten = errors.New("claim write not made")
	// errClaimConflict means that the table rejected the write because the row is
	// not at the version that the write expects. The row was changed by another
	// request with the same key, at this instance or at an earlier or later owner
	// of the shard, or by a delayed copy of an earlier write of the same claim.
	errClaimConflict = errors.New("claim row is not at the expected version")
	errClaimFenced   = errors.New("shard taken over")
	errClaimUnknown  = errors.New("outcome of claim write unknown")
)

// claimWrite is one conditional write of a claim row.
type claimWrite struct {
	shard           structs.ShardID
	epoch           uint64
	key             string
	expectedVersion uint64 // version that the row must have; zero if it must not exist
	row             claimRow
	// taken is set by whichever comes first: the writer, when it takes the
	// write for a transaction, or the waiting call, when it abandons the write.
	taken  atomic.Bool
	result chan claimWriteResult // buffered for one result, so that the writer never blocks
}

// claimWriteResult is the version of the committed row, or the reason why the
// write failed.
type claimWriteResult struct {
	version uint64
	err     error
}

func newClaimWrite(lease Lease, key string, expectedVersion uint64, row claimRow) *claimWrite {
	row.Epoch = lease.Epoch
	return &claimWrite{shard: lease.Shard, epoch: lease.Epoch, key: key, expectedVersion: expectedVersion, row: row, result: make(chan claimWriteResult, 1)}
}

// abandon withdraws the write if the writer has not taken it yet, and reports
// whether it did. A withdrawn write is never sent to the table.
func (w *claimWrite) abandon() bool {
	return w.taken.CompareAndSwap(false, true)
}

// claimWriter commits claim writes in groups. It is the only writer of the
// claim rows in the shards that this instance owns, so the transactions of a
// shard do not conflict with each other.
type claimWriter struct {
	settings  Settings
	clock     clockwork.Clock
	table     platform.Table
	ownership Ownership
	queue     *ring.Queue[*claimWrite]
}

func newClaimWriter(config Config) *claimWriter {
	return &claimWriter{
		settings: config.Settings, clock: config.Clock, table: config.Table, ownership: config.Ownership,
		queue: ring.New[*claimWrite](config.Settings.ClaimQueueSize),
	}
}

// submit queues a write. If the queue is full, the write fails at once.
func (w *claimWriter) submit(write *claimWrite) {
	if !w.queue.Offer(write) {
		write.result <- claimWriteResult{err: fmt.Errorf("%w: %d claim writes wait", errClaimNotWritten, w.settings.ClaimQueueSize)}
	}
}

// serve commits the writes that were queued while the last transaction was in
// progress, in groups of at most MaxClaimsPerCommit, until ctx ends.
func (w *claimWriter) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case write := <-w.queue.C():
			w.commitByShard(ctx, append([]*claimWrite{write}, w.queue.Drain(w.settings.MaxClaimsPerCommit-1)...))
		}
	}
}

// commitByShard takes the writes that were not abandoned and commits them in
// one transaction for each shard, since each shard has its own fence.
func (w *claimWriter) commitByShard(ctx context.Context, writes []*claimWrite) {
	var shards []structs.ShardID
	groups := map[structs.ShardID][]*claimWrite{}
	for _, write := range writes {
		if !write.taken.CompareAndSwap(false, true) {
			continue
		}
		if groups[write.shard] == nil {
			shards = append(shards, write.shard)
		}
		groups[write.shard] = append(groups[write.shard], write)
	}
	for _, shard := range shards {
		w.commitShard(ctx, shard, groups[shard])
	}
}

// commitShard commits writes of one shard and sends each of them its result.
func (w *claimWriter) commitShard(ctx context.Context, shard structs.ShardID, writes []*claimWrite) {
	remaining := writes
	// If the writer panics, it is unknown what was written. The waiting calls
	// must get a result nevertheless.
	defer func() { finishWrites(remaining, claimWriteResult{err: errClaimUnknown}) }()
	lease, held := w.ownership.HeldLease(shard)
	remaining = failMatchingWrites(remaining, func(write *claimWrite) bool { return !held || write.epoch != lease.Epoch }, errClaimFenced)
	for len(remaining) > 0 {
		tx, batch := w.buildTransaction(lease, remaining)
		version, err := w.commitUntilKnown(ctx, tx, batch[0])
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			remaining = finishWrites(remaining, claimWriteResult{version: version})
		case errors.As(err, &conflict):
			remaining = w.failConflicting(remaining, lease, conflict)
		default:
			remaining = finishWrites(remaining, claimWriteResult{err: err})
		}
	}
}

// failConflicting fails the write whose row is not at the expected version and
// returns the other writes for the next transaction. If the conflict is not at the row of a
// write, the fence has changed, and failConflicting fails all writes.
func (w *claimWriter) failConflicting(writes []*claimWrite, lease Lease, conflict *platform.ConflictError) []*claimWrite {
	others := failMatchingWrites(writes, func(write *claimWrite) bool { return write.key == conflict.Key }, errClaimConflict)
	if len(others) < len(writes) {
		return others
	}
	if conflict.Key == lease.Fence.Key {
		w.ownership.NotifyFenced(lease.Shard, lease.Epoch)
	}
	return finishWrites(writes, claimWriteResult{err: errClaimFenced})
}

// finishWrites sends the same result to all writes. It returns nil, the list of
// writes that remain.
func finishWrites(writes []*claimWrite, res claimWriteResult) []*claimWrite {
	for _, write := range writes {
		write.result <- res
	}
	return nil
}

// failMatchingWrites fails the writes that match and returns the others.
func failMatchingWrites(writes []*claimWrite, matches func(*claimWrite) bool, err error) []*claimWrite {
	var kept []*claimWrite
	for _, write := range writes {
		if matches(write) {
			write.result <- claimWriteResult{err: err}
		} else {
			kept = append(kept, write)
		}
	}
	return kept
}

// buildTransaction returns the transaction that writes the rows of all given
// writes under the fence of the lease. It also returns the writes.
func (w *claimWriter) buildTransaction(lease Lease, writes []*claimWrite) (platform.Transaction, []*claimWrite) {
	tx := platform.Transaction{WriteID: uuid.NewString(), Conditions: []platform.Condition{lease.Fence}}
	for _, write := range writes {
		write.row.WriteID = tx.WriteID
		value, err := json.Marshal(write.row)
		if err != nil {
			panic(fmt.Sprintf("routing: claim row cannot be encoded: %v", err))
		}
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: write.key, Version: write.expectedVersion})
		tx.Puts = append(tx.Puts, platform.Put{Key: write.key, Value: value})
	}
	return tx, writes
}

// commitUntilKnown commits a transaction. If the table's answer is lost, it
// finds out whether the transaction took effect, by reading the row of
// checkedWrite, which is one of the transaction's writes. It returns
// errClaimUnknown only if ctx ends first or readBack returns errForeignWrite.
func (w *claimWriter) commitUntilKnown(ctx context.Context, tx platform.Transaction, checkedWrite *claimWrite) (uint64, error) {
	version, err := w.tryCommit(ctx, tx)
	for errors.Is(err, errClaimUnknown) {
		var found bool
		version, found, err = w.readBack(ctx, tx, checkedWrite)
		if err == nil && !found {
			version, err = w.resend(ctx, tx, checkedWrite)
		}
		if errors.Is(err, errForeignWrite) {
			return 0, errClaimUnknown
		}
		if errors.Is(err, errClaimUnknown) && !w.pauseBeforeRetry(ctx) {
			return 0, err
		}
	}
	return version, err
}

// errForeignWrite means that a read of a claim row found another write in it, or
// that the row is missing or cannot be decoded. The row was changed by another
// request with the same key, at this instance or at an earlier or later owner of
// the shard, or by a delayed copy of an earlier write of the same claim. Unlike
// errClaimConflict, it does not prove that the write in question had no effect,
// since the other write may have replaced it. readBack returns it when the outcome of a transaction is
// unknown, and commitUntilKnown then returns errClaimUnknown. tryCloseClaim returns
// it if the row that it is to mark holds another claim or is missing.
var errForeignWrite = errors.New("claim row holds another write")

// resend sends a conditional transaction again; at most one copy can take
// effect. If the second copy conflicts, the reason may be that the first one
// took effect, so resend reads the row of checkedWrite.
func (w *claimWriter) resend(ctx context.Context, tx platform.Transaction, checkedWrite *claimWrite) (uint64, error) {
	version, err := w.tryCommit(ctx, tx)
	var conflict *platform.ConflictError
	if errors.Is(err, errClaimNotWritten) {
		// The second copy had no effect, but the first one may have had.
		return 0, errClaimUnknown
	}
	if !errors.As(err, &conflict) {
		return version, err
	}
	version, found, readErr := w.readBack(ctx, tx, checkedWrite)
	switch {
	case readErr != nil:
		return 0, readErr
	case found:
		return version, nil
	}
	return 0, err
}

// readBack reads the row of checkedWrite, one write of the transaction, and
// reports whether the transaction took effect. One row is enough, since
// transactions are atomic. It returns errForeignWrite if the row holds neither this
// write nor the version that the write expects, and errClaimUnknown if the read
// fails.
func (w *claimWriter) readBack(ctx context.Context, tx platform.Transaction, checkedWrite *claimWrite) (uint64, bool, error) {
	callCtx, cancel := clockwork.WithTimeout(ctx, w.clock, w.settings.TableTimeout)
	defer cancel()
	rows, err := w.table.Read(callCtx, checkedWrite.key)
	if err != nil {
		return 0, false, errClaimUnknown
	}
	if len(rows) == 0 {
		if checkedWrite.expectedVersion != 0 {
			return 0, false, errForeignWrite
		}
		return 0, false, nil
	}
	if rows[0].Version == checkedWrite.expectedVersion {
		return 0, false, nil
	}
	if row, err := decodeClaim(rows[0]); err != nil || row.WriteID != tx.WriteID {
		return 0, false, errForeignWrite
	}
	return rows[0].Version, true, nil
}

// tryCommit sends a transaction once. Only errors that the table defines prove
// that it had no effect; any other error becomes errClaimUnknown.
func (w *claimWriter) tryCommit(ctx context.Context, tx platform.Transaction) (uint64, error) {
	callCtx, cancel := clockwork.WithTimeout(ctx, w.clock, w.settings.TableTimeout)
	defer cancel()
	res, err := w.table.Commit(callCtx, tx)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return res.Version, nil
	case errors.As(err, &conflict):
		return 0, conflict
	case errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrOutcomeUnknown):
		return 0, fmt.Errorf("%w: %v", errClaimNotWritten, err)
	}
	return 0, fmt.Errorf("%w: %v", errClaimUnknown, err)
}

func (w *claimWriter) pauseBeforeRetry(ctx context.Context) bool {
	return sleep(ctx, w.clock, w.settings.MinClaimRetryPause)
}

// sleep waits for d. It reports false if ctx ends first.
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
