package routing

import (
	"context"
	"errors"

	"bergamotstile/structs"
)

// unresolved ends a call that was not dispatched although its claim may be in
// the table. The claim is closed in the background; until that is done nobody
// is told that the request did not run, and the key stays taken.
func (r *Router) unresolved(ctx context.Context, cl *claim, precondition uint64, detail string) result {
	pending := make(chan result, 1)
	go func() { pending <- r.closeClaim(ctx, cl, precondition) }()
	return result{
		refusal: structs.MayHaveRun(structs.ReasonWriteUnresolved, "%s", detail).WithRetryAfter(r.Settings.Lease / 3),
		pending: pending,
	}
}

// closeBefore closes the claim of a call that did not run before it returns
// the refusal. If that takes longer than the deadline, the caller is told
// that the write is unresolved.
func (r *Router) closeBefore(ctx context.Context, c call, cl *claim, res result) result {
	open := r.unresolved(ctx, cl, cl.version, "the claim of a request that was not dispatched is not closed yet")
	// The caller waits a grace beyond its deadline for such an outcome.
	late := r.Clock.NewTimer(c.deadline.Add(r.Settings.WaitGrace / 2).Sub(r.Clock.Now()))
	defer late.Stop()
	select {
	case closed := <-open.pending:
		if closed.refusal.Outcome == structs.OutcomeNotRun {
			return res
		}
		return closed
	case <-late.Chan():
		return open
	}
}

// closeClaim marks the claim's row as not run, whether or not the claim itself
// was written. The mark also keeps a delayed copy of the claim's write out.
func (r *Router) closeClaim(ctx context.Context, cl *claim, precondition uint64) result {
	for pause := r.Settings.ClaimRetry; ; pause = min(2*pause, r.Settings.ClaimRetryMax) {
		closed, err := r.tryClose(ctx, cl, precondition)
		switch {
		case closed:
			return refused(structs.NotRun(structs.ReasonDeadlineExceeded, "the request was not dispatched"))
		case errors.Is(err, errForeignWrite), errors.Is(err, errClaimFenced) && r.fenceMoved(cl.lease):
			return refused(structs.MayHaveRun(structs.ReasonWriteUnresolved, "the shard was taken over before the claim was closed"))
		case !r.sleepOpen(pause):
			return refused(structs.MayHaveRun(structs.ReasonWriteUnresolved, "the instance stopped before the claim was closed"))
		}
	}
}

// tryClose marks the row once, at the version at which it is now.
func (r *Router) tryClose(ctx context.Context, cl *claim, precondition uint64) (closed bool, err error) {
	v, closed, foreign := r.readForClose(ctx, cl, precondition)
	switch {
	case foreign:
		return false, errForeignWrite
	case closed || !v.known:
		return closed, nil
	}
	mark := cl.row
	mark.State = claimNotRun
	op := newClaimOp(cl.lease, cl.key, v.version, mark)
	r.writer.submit(op)
	done, ok := r.awaitOp(op)
	return ok && done.err == nil, done.err
}

type rowVersion struct {
	version uint64
	known   bool
}

// readForClose tells at which version the claim's row can be marked, whether
// it is marked already, or whether it belongs to another claim.
func (r *Router) readForClose(ctx context.Context, cl *claim, precondition uint64) (v rowVersion, closed, foreign bool) {
	row, version, err := r.readClaim(ctx, cl.key)
	switch {
	case err != nil:
		return rowVersion{}, false, false
	case version == precondition:
		// The claim's write may still be on its way.
		if row.Claim == cl.row.Claim && row.State == claimNotRun {
			return rowVersion{}, true, false
		}
		return rowVersion{version, true}, false, false
	case row.Claim != cl.row.Claim:
		return rowVersion{}, false, true
	case row.State == claimNotRun:
		return rowVersion{}, true, false
	}
	return rowVersion{version, true}, false, false
}
