package routing

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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

// earlierClaim ends a call that found a claim of its key. If that claim was
// closed as not run, it returns the version at which to claim again.
func (r *Router) earlierClaim(ctx context.Context, c call, cl *claim) (uint64, *result) {
	row, version, err := r.readClaim(ctx, cl.key)
	if err != nil {
		res := refused(structs.MayHaveRun(structs.ReasonStoreUnavailable, "the key has a claim that cannot be read: %v", err).WithRetryAfter(r.Settings.UnreachablePause))
		return 0, &res
	}
	if version == 0 || row.State == claimNotRun {
		return version, nil
	}
	if row.Fingerprint != cl.row.Fingerprint {
		res := refused(structs.NotRun(structs.ReasonKeyReused, "the key was used for another request"))
		return 0, &res
	}
	res := r.claimOutcome(ctx, c, row)
	return 0, &res
}

// claimOutcome answers from a claim that another attempt made.
func (r *Router) claimOutcome(ctx context.Context, c call, row claimRow) result {
	switch {
	case row.State == claimRefused && row.Refusal != nil:
		return refused(row.Refusal)
	case row.State != claimAnswered:
		return refused(structs.MayHaveRun(structs.ReasonClaimOpen, "an earlier attempt under this key has no recorded outcome"))
	case row.Unavailable:
		return refused(ran(structs.ReasonAnswerUnavailable, "the request ran, but its answer was not kept"))
	}
	body := row.Answer
	if row.Object != "" {
		var err error
		if body, err = r.getAnswer(ctx, row.Object); err != nil {
			return refused(ran(structs.ReasonAnswerUnavailable, "the request ran, but its answer cannot be read now: "+err.Error()).WithRetryAfter(r.Settings.UnreachablePause))
		}
	}
	if answerDigest(body) != row.Digest {
		return refused(ran(structs.ReasonAnswerUnavailable, "the request ran, but its kept answer is damaged"))
	}
	return result{answer: structs.Answer{RequestID: c.req.ID, Runner: row.Runner, Body: body}}
}

func ran(reason structs.Reason, detail string) *structs.Refusal {
	return &structs.Refusal{Reason: reason, Outcome: structs.OutcomeRan, Detail: detail}
}

func answerDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func (r *Router) getAnswer(ctx context.Context, name string) ([]byte, error) {
	cctx, cancel := clockwork.WithTimeout(ctx, r.Clock, r.Settings.TableTimeout)
	defer cancel()
	return r.Objects.Get(cctx, name)
}

// recordOutcome writes how a claimed request ended. It gives up when the shard
// is lost or after a while; the claim then stays open, which is still true.
func (r *Router) recordOutcome(ctx context.Context, cl *claim, res result) {
	row := cl.row
	if res.refusal != nil {
		row.State, row.Refusal = claimRefused, res.refusal
	} else {
		row.State, row.Runner = claimAnswered, res.answer.Runner
		r.keepAnswer(ctx, cl, &row, res.answer.Body)
	}
	giveUp := r.Clock.Now().Add(r.Settings.OutcomeGiveUp)
	for pause := r.Settings.ClaimRetry; ; pause = min(2*pause, r.Settings.ClaimRetryMax) {
		op := newClaimOp(cl.lease, cl.key, cl.version, row)
		r.writer.submit(op)
		done, ok := r.awaitOp(op)
		if ok && done.err == nil {
			return
		}
		retry := ok && errors.Is(done.err, errClaimUnavailable) || errors.Is(done.err, errClaimFenced) && !r.fenceMoved(cl.lease)
		if !retry || r.Clock.Now().After(giveUp) || !r.sleepOpen(pause) {
			r.Metrics.Count("claim_outcomes_lost", 1)
			return
		}
	}
}

// keepAnswer puts an answer into the row, or into the object store if it is
// too large for a row.
func (r *Router) keepAnswer(ctx context.Context, cl *claim, row *claimRow, body []byte) {
	row.Digest = answerDigest(body)
	if len(body) <= r.Settings.InlineAnswerBytes {
		row.Answer = body
		return
	}
	name := answerObject(cl.lease.Shard, cl.row.Claim)
	cctx, cancel := clockwork.WithTimeout(ctx, r.Clock, r.Settings.TableTimeout)
	defer cancel()
	if r.Objects == nil || r.Objects.Put(cctx, name, body) != nil {
		row.Unavailable = true
		r.Metrics.Count("claim_answers_not_kept", 1)
		return
	}
	row.Object = name
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
