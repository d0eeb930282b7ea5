package routing

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"bergamotstile/structs"
)

// claim is a durable claim that this instance made or tries to make.
type claim struct {
	lease   Lease
	key     string
	row     claimRow
	version uint64 // of the committed row
}

// attemptClaimed runs a request that must not run twice. Its claim is durable
// before the first dispatch, and the outcome is written to it afterwards. A
// claim of a request that did not run is closed before that is answered.
func (r *Router) attemptClaimed(ctx context.Context, c call, shard structs.ShardID) result {
	l := r.lane(shard, c.req.Service)
	if !l.live() {
		return refused(r.noRunner(c.req.Service, shard.Domain))
	}
	// A claim costs a write, so a request that would be refused makes none.
	if err := l.queue.Check(c.waiter()); err != nil {
		return refused(convertAdmission(err))
	}
	cl, res := r.makeClaim(ctx, c, shard)
	if cl == nil {
		return res
	}
	res = r.attempt(ctx, c, l, func() *structs.Refusal { return r.inWindow(c, shard) })
	if res.refusal != nil && res.refusal.Outcome == structs.OutcomeNotRun {
		return r.closeBefore(ctx, c, cl, res)
	}
	go r.recordOutcome(ctx, cl, res)
	return res
}

// makeClaim commits the claim, or returns how the call ends without one.
func (r *Router) makeClaim(ctx context.Context, c call, shard structs.ShardID) (*claim, result) {
	lease, held := r.Ownership.Held(shard)
	if !held {
		return nil, refused(structs.NotRun(structs.ReasonStoreUnavailable, "the lease of shard %s is not confirmed by the table", shard).WithRetryAfter(r.Settings.Lease / 3))
	}
	cl := &claim{lease: lease, key: claimKey(shard, c.req.Key)}
	cl.row = claimRow{Claim: uuid.NewString(), State: claimOpen, Fingerprint: fingerprintText(c.req), RequestID: c.req.ID}
	// A row that was closed as not run is claimed again at its version.
	for precondition := uint64(0); ; {
		res, ok := r.writeClaim(ctx, c, cl, precondition)
		if ok || res != nil {
			return claimOr(cl, ok, res)
		}
		version, earlier := r.earlierClaim(ctx, c, cl)
		if earlier != nil || version == precondition {
			return claimOr(nil, false, earlier)
		}
		precondition = version
	}
}

func claimOr(cl *claim, ok bool, res *result) (*claim, result) {
	if ok {
		return cl, result{}
	}
	if res == nil {
		return nil, refused(structs.MayHaveRun(structs.ReasonClaimOpen, "the claim changes while it is read"))
	}
	return nil, *res
}

// writeClaim commits the claim at a precondition. With no result and not ok,
// the row is at another version.
func (r *Router) writeClaim(ctx context.Context, c call, cl *claim, precondition uint64) (*result, bool) {
	op := newClaimOp(cl.lease, cl.key, precondition, cl.row)
	r.writer.submit(op)
	late := r.Clock.NewTimer(c.deadline.Sub(r.Clock.Now()))
	defer late.Stop()
	select {
	case done := <-op.done:
		cl.version = done.version
		return r.claimFailed(ctx, cl, precondition, done.err), done.err == nil
	case <-late.Chan():
		res := r.claimLate(ctx, cl, op)
		return &res, false
	}
}

// claimFailed returns how a call ends whose claim was not committed in time,
// or nil if it was or another row is in its place.
func (r *Router) claimFailed(ctx context.Context, cl *claim, precondition uint64, err error) *result {
	var res result
	switch {
	case err == nil, errors.Is(err, errClaimConflict):
		return nil
	case errors.Is(err, errClaimUnavailable):
		res = refused(structs.NotRun(structs.ReasonStoreUnavailable, "%v", err).WithRetryAfter(r.Settings.UnreachablePause))
	case errors.Is(err, errClaimFenced):
		res = refused(structs.NotRun(structs.ReasonNotOwner, "%v", err).WithRetryAfter(r.Settings.Lease))
	default:
		res = r.unresolved(ctx, cl, precondition, "the outcome of the claim's write is unknown")
	}
	return &res
}

// claimLate ends a call whose claim was not committed by its deadline.
func (r *Router) claimLate(ctx context.Context, cl *claim, op *claimOp) result {
	if op.abandon() {
		return refused(structs.NotRun(structs.ReasonDeadlineExceeded, "the deadline passed before the claim was written"))
	}
	return r.unresolved(ctx, cl, op.version, "the deadline passed while the claim was being written")
}

// readClaim returns a claim row and its version, which is zero if there is none.
func (r *Router) readClaim(ctx context.Context, key string) (claimRow, uint64, error) {
	cctx, cancel := clockwork.WithTimeout(ctx, r.Clock, r.Settings.TableTimeout)
	defer cancel()
	rows, err := r.Table.Read(cctx, key)
	if err != nil || len(rows) == 0 {
		return claimRow{}, 0, err
	}
	row, err := decodeClaim(rows[0])
	return row, rows[0].Version, err
}

// fenceMoved reports whether this instance knows that it lost the lease under
// which a claim was made. A lease that merely lapsed may be renewed.
func (r *Router) fenceMoved(lease Lease) bool {
	now, held := r.Ownership.Held(lease.Shard)
	if held {
		return now.Epoch != lease.Epoch
	}
	owner, known := r.Ownership.Owner(lease.Shard)
	return known && owner.Name != r.Instance
}

// awaitOp waits for an op's result, and reports false when the router stops.
func (r *Router) awaitOp(op *claimOp) (claimResult, bool) {
	select {
	case done := <-op.done:
		return done, true
	case <-r.stopped:
		return claimResult{}, false
	}
}

// sleepOpen waits, and reports false when the router stops.
func (r *Router) sleepOpen(d time.Duration) bool {
	timer := r.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.stopped:
		return false
	case <-timer.Chan():
		return true
	}
}
