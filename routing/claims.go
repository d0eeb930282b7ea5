package routing

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"bergamotstile/structs"
)

// requestClaim is a claim that this instance has committed or is trying to
// commit.
type requestClaim struct {
	lease   Lease
	key     string
	row     claimRow
	version uint64 // version of the committed row
}

// attemptWithClaim attempts a request that must not run twice. It commits a
// claim before the first dispatch and records the outcome in the claim
// afterwards, in the background. If the request did not run, it closes the claim
// before it returns the refusal. If closing takes too long, it returns the
// refusal that reports an unresolved write.
func (r *Router) attemptWithClaim(ctx context.Context, c call, shard structs.ShardID) result {
	pool := r.ownerPool(shard, c.req.Service)
	if !pool.hasLiveRunner() {
		return refused(r.noRunnerRefusal(c.req.Service, shard.Domain))
	}
	// A claim costs a table write, so a request that the queue would refuse is
	// refused before its claim is written.
	if err := pool.queue.Check(c.admissionRequest()); err != nil {
		return refused(admissionRefusal(err))
	}
	claim, res := r.createClaim(ctx, c, shard)
	if claim == nil {
		return res
	}
	res = r.attempt(ctx, c, pool, func() *structs.Refusal { return r.checkDispatchWindow(c, shard) })
	if res.refusal != nil && res.refusal.Outcome == structs.OutcomeNotRun {
		return r.closeClaimBeforeRefusal(ctx, c, claim, res)
	}
	go r.recordOutcome(ctx, claim, res)
	return res
}

// createClaim commits the claim of a request. If it cannot, for example because
// an earlier claim under the key records an outcome, it returns nil and the
// result of the call.
func (r *Router) createClaim(ctx context.Context, c call, shard structs.ShardID) (*requestClaim, result) {
	lease, held := r.Ownership.HeldLease(shard)
	if !held {
		return nil, refused(structs.NotRun(structs.ReasonStoreUnavailable, "the lease of shard %s is not confirmed by the table", shard).WithRetryAfter(r.Settings.Lease / 3))
	}
	claim := &requestClaim{lease: lease, key: claimKey(shard, c.req.Key)}
	claim.row = claimRow{Claim: uuid.NewString(), State: claimOpen, Fingerprint: fingerprintText(c.req), RequestID: c.req.ID}
	// If an earlier claim was closed as not run, its row is replaced by the new
	// claim, on the condition that the row keeps the version that was read.
	for expectedVersion := uint64(0); ; {
		res, ok := r.writeClaim(ctx, c, claim, expectedVersion)
		if ok || res != nil {
			return claimOrRefusal(claim, ok, res)
		}
		version, earlierResult := r.checkEarlierClaim(ctx, c, claim)
		if earlierResult != nil || version == expectedVersion {
			return claimOrRefusal(nil, false, earlierResult)
		}
		expectedVersion = version
	}
}

// claimOrRefusal returns the claim if it was committed (ok), and otherwise the
// result of the call. If there is no result either, the row changed between the
// write and the read, and claimOrRefusal refuses the call.
func claimOrRefusal(claim *requestClaim, ok bool, res *result) (*requestClaim, result) {
	if ok {
		return claim, result{}
	}
	if res == nil {
		return nil, refused(structs.MayHaveRun(structs.ReasonClaimOpen, "the claim changes while it is read"))
	}
	return nil, *res
}

// writeClaim commits the claim if its row is at expectedVersion, and reports
// whether it did. If it returns neither a result nor true, the row is at
// another version.
func (r *Router) writeClaim(ctx context.Context, c call, claim *requestClaim, expectedVersion uint64) (*result, bool) {
	write := newClaimWrite(claim.lease, claim.key, expectedVersion, claim.row)
	r.claimWriter.submit(write)
	deadlineTimer := r.Clock.NewTimer(c.deadline.Sub(r.Clock.Now()))
	defer deadlineTimer.Stop()
	select {
	case writeResult := <-write.result:
		claim.version = writeResult.version
		return r.claimWriteFailure(ctx, claim, expectedVersion, writeResult.err), writeResult.err == nil
	case <-deadlineTimer.Chan():
		res := r.abandonClaimWrite(ctx, claim, write)
		return &res, false
	}
}

// claimWriteFailure returns the result of a call whose claim write failed with
// err. It returns nil if the write succeeded. It also returns nil if the claim's
// row is not at expectedVersion, since createClaim then reads that row.
func (r *Router) claimWriteFailure(ctx context.Context, claim *requestClaim, expectedVersion uint64, err error) *result {
	var res result
	switch {
	case err == nil, errors.Is(err, errClaimConflict):
		return nil
	case errors.Is(err, errClaimNotWritten):
		res = refused(structs.NotRun(structs.ReasonStoreUnavailable, "%v", err).WithRetryAfter(r.Settings.UnreachablePause))
	case errors.Is(err, errClaimFenced):
		res = refused(structs.NotRun(structs.ReasonNotOwner, "%v", err).WithRetryAfter(r.Settings.Lease))
	default:
		res = r.closeClaimInBackground(ctx, claim, expectedVersion, "the outcome of the claim's write is unknown")
	}
	return &res
}

// abandonClaimWrite returns the result of a call whose claim was not committed
// by its deadline. If the writer has not taken the write yet, it is withdrawn and
// the call certainly did not run. Otherwise the claim is closed in the
// background.
func (r *Router) abandonClaimWrite(ctx context.Context, claim *requestClaim, write *claimWrite) result {
	if write.abandon() {
		return refused(structs.NotRun(structs.ReasonDeadlineExceeded, "the deadline passed before the claim was written"))
	}
	return r.closeClaimInBackground(ctx, claim, write.expectedVersion, "the deadline passed while the claim was being written")
}

// readClaim returns a claim row and its version, which is zero if the row does
// not exist.
func (r *Router) readClaim(ctx context.Context, key string) (claimRow, uint64, error) {
	callCtx, cancel := clockwork.WithTimeout(ctx, r.Clock, r.Settings.TableTimeout)
	defer cancel()
	rows, err := r.Table.Read(callCtx, key)
	if err != nil || len(rows) == 0 {
		return claimRow{}, 0, err
	}
	row, err := decodeClaim(rows[0])
	return row, rows[0].Version, err
}

// isLeaseLost reports whether this instance knows that it lost the lease under
// which a claim was made. An expired lease is not reported as lost while no
// other owner is known, since this instance may still renew it.
func (r *Router) isLeaseLost(lease Lease) bool {
	current, held := r.Ownership.HeldLease(lease.Shard)
	if held {
		return current.Epoch != lease.Epoch
	}
	owner, known := r.Ownership.Owner(lease.Shard)
	return known && owner.Name != r.Instance
}

// awaitClaimWrite waits for the result of a claim write. It reports false if
// the router stops first.
func (r *Router) awaitClaimWrite(write *claimWrite) (claimWriteResult, bool) {
	select {
	case writeResult := <-write.result:
		return writeResult, true
	case <-r.stopped:
		return claimWriteResult{}, false
	}
}

// sleepUnlessStopped waits for d. It reports false if the router stops first.
func (r *Router) sleepUnlessStopped(d time.Duration) bool {
	timer := r.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.stopped:
		return false
	case <-timer.Chan():
		return true
	}
}
