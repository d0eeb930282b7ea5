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
func (r *Router) closeClaimInBackground(ctx context.Context, claim *requestClaim, expectedVersion uint64, detail string) result {
	resolution := make(chan result, 1)
	go func() { resolution <- r.closeClaim(ctx, claim, expectedVersion) }()
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
	// A caller waits until WaitGrace after its deadline, to receive an outcome
	// that is known only then. The timer ends after half of WaitGrace, so that
	// the caller still receives the unresolved result.
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

// closeClaim closes the claim: it marks the claim's row as not run, whether or
// not the claim itself was written, and keeps the row. A delayed copy of the
// claim's write then fails on the version of the marked row. closeClaim retries
// until the row is marked, the row holds another claim, the shard has another
// owner or the router stops. Only in the first case does it return the outcome
// "not run".
func (r *Router) closeClaim(ctx context.Context, claim *requestClaim, expectedVersion uint64) result {
	for pause := r.Settings.MinClaimRetryPause; ; pause = min(2*pause, r.Settings.MaxClaimRetryPause) {
		isClosed, err := r.tryCloseClaim(ctx, claim, expectedVersion)
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

// tryCloseClaim tries once to mark the claim's row as not run, on the condition
// that the row keeps the version at which it is read. It returns errForeignWrite
// if the row holds another claim or is missing. It returns neither true nor an error if
// the row cannot be read.
func (r *Router) tryCloseClaim(ctx context.Context, claim *requestClaim, expectedVersion uint64) (isClosed bool, err error) {
	current, isClosed, isForeign := r.readRowToClose(ctx, claim, expectedVersion)
	switch {
	case isForeign:
		return false, errForeignWrite
	case isClosed || !current.known:
		return isClosed, nil
	}
	closedRow := claim.row
	closedRow.State = claimNotRun
	write := newClaimWrite(claim.lease, claim.key, current.version, closedRow)
	r.claimWriter.submit(write)
	writeResult, ok := r.awaitClaimWrite(write)
	return ok && writeResult.err == nil, writeResult.err
}

// rowVersion is the version of a claim row. It is not known if the row could
// not be read.
type rowVersion struct {
	version uint64
	known   bool
}

// readRowToClose returns the version at which the claim's row can be marked as
// not run. It reports isClosed if the row is marked already, and isForeign if
// it holds another claim or is missing although it existed. expectedVersion is the version of the row
// before the claim's write, or after it if the write is known to be committed.
func (r *Router) readRowToClose(ctx context.Context, claim *requestClaim, expectedVersion uint64) (current rowVersion, isClosed, isForeign bool) {
	row, version, err := r.readClaim(ctx, claim.key)
	switch {
	case err != nil:
		return rowVersion{}, false, false
	case version == expectedVersion:
		// The row is as this instance last knew it. If the claim has not been
		// written, a copy of its write may still arrive, so the row is marked
		// in that case as well.
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
