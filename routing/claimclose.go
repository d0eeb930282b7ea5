package routing

import (
	"context"
	"errors"

	"bergamotstile/structs"
)

// closeClaimInBackground returns the result of a call that was not dispatched
// although its claim may be in the table. It starts to close the claim in the
// background. Until the claim is closed, no caller receives the outcome "not
// run" and the key accepts no new attempt.
func (r *Router) closeClaimInBackground(ctx context.Context, claim *requestClaim, precondition uint64, detail string) result {
	resolution := make(chan result, 1)
	go func() { resolution <- r.closeClaim(ctx, claim, precondition) }()
	return result{
		refusal:    structs.MayHaveRun(structs.ReasonWriteUnresolved, "%s", detail).WithRetryAfter(r.Settings.Lease / 3),
		resolution: resolution,
	}
}

// closeClaimBeforeRefusal closes the claim of a call that did not run and then
// returns the call's refusal. If closing takes too long, it returns a refusal
// that reports an unresolved write.
func (r *Router) closeClaimBeforeRefusal(ctx context.Context, c call, claim *requestClaim, res result) result {
	unresolved := r.closeClaimInBackground(ctx, claim, claim.version, "the claim of a request that was not dispatched is not closed yet")
	// A caller waits for WaitGrace beyond its deadline, to receive an outcome
	// that is known only then.
	deadlineTimer := r.Clock.NewTimer(c.deadline.Add(r.Settings.WaitGrace / 2).Sub(r.Clock.Now()))
	defer deadlineTimer.Stop()
	select {
	case final := <-unresolved.resolution:
		if final.refusal.Outcome == structs.OutcomeNotRun {
			return res
		}
		return final
	case <-deadlineTimer.Chan():
		return unresolved
	}
}

// closeClaim marks the claim's row as not run, whether or not the claim itself
// was written. The marked row also rejects a delayed copy of the claim's write.
// closeClaim retries until the row is marked, another claim has taken its
// place, the shard has another owner or the router stops.
func (r *Router) closeClaim(ctx context.Context, claim *requestClaim, precondition uint64) result {
	for pause := r.Settings.MinClaimRetryPause; ; pause = min(2*pause, r.Settings.MaxClaimRetryPause) {
		isClosed, err := r.tryCloseClaim(ctx, claim, precondition)
		switch {
		case isClosed:
			return refused(structs.NotRun(structs.ReasonDeadlineExceeded, "the request was not dispatched"))
		case errors.Is(err, errForeignWrite), errors.Is(err, errClaimFenced) && r.isLeaseLost(claim.lease):
			return refused(structs.MayHaveRun(structs.ReasonWriteUnresolved, "the shard was taken over before the claim was closed"))
		case !r.sleepUnlessStopped(pause):
			return refused(structs.MayHaveRun(structs.ReasonWriteUnresolved, "the instance stopped before the claim was closed"))
		}
	}
}

// tryCloseClaim tries once to mark the claim's row as not run, conditional on
// the version at which it reads the row.
func (r *Router) tryCloseClaim(ctx context.Context, claim *requestClaim, precondition uint64) (isClosed bool, err error) {
	target, isClosed, isForeign := r.readRowToClose(ctx, claim, precondition)
	switch {
	case isForeign:
		return false, errForeignWrite
	case isClosed || !target.known:
		return isClosed, nil
	}
	closedRow := claim.row
	closedRow.State = claimNotRun
	write := newClaimWrite(claim.lease, claim.key, target.version, closedRow)
	r.claimWriter.submit(write)
	outcome, ok := r.awaitClaimWrite(write)
	return ok && outcome.err == nil, outcome.err
}

// rowVersion is the version of a claim row. It is not known if the row could
// not be read.
type rowVersion struct {
	version uint64
	known   bool
}

// readRowToClose returns the version at which the claim's row can be marked as
// not run. It reports isClosed if the row is marked already, and isForeign if
// another claim has taken its place.
func (r *Router) readRowToClose(ctx context.Context, claim *requestClaim, precondition uint64) (target rowVersion, isClosed, isForeign bool) {
	row, version, err := r.readClaim(ctx, claim.key)
	switch {
	case err != nil:
		return rowVersion{}, false, false
	case version == precondition:
		// The claim was not written yet, but a copy of its write may still
		// arrive.
		if row.Claim == claim.row.Claim && row.State == claimNotRun {
			return rowVersion{}, true, false
		}
		return rowVersion{version, true}, false, false
	case row.Claim != claim.row.Claim:
		return rowVersion{}, false, true
	case row.State == claimNotRun:
		return rowVersion{}, true, false
	}
	return rowVersion{version, true}, false, false
}
