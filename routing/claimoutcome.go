package routing

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"

	"github.com/jonboulle/clockwork"
)

// recordOutcome writes the outcome of a request into the row of its claim. It
// retries a write that certainly had no effect, until the shard is lost,
// OutcomeWriteTimeout has passed or the router stops. It does not retry a write
// whose outcome is unknown or whose row has changed. If it abandons the outcome,
// it counts claim_outcomes_lost, and the claim may stay open. This is still
// correct, since an open claim means that the request may have run.
func (r *Router) recordOutcome(ctx context.Context, claim *requestClaim, res result) {
	row := claim.row
	if res.refusal != nil {
		row.State, row.Refusal = claimRefused, res.refusal
	} else {
		row.State, row.Runner = claimAnswered, res.answer.Runner
		r.attachAnswer(ctx, claim, &row, res.answer.Body)
	}
	deadline := r.Clock.Now().Add(r.Settings.OutcomeWriteTimeout)
	for pause := r.Settings.MinClaimRetryPause; ; pause = min(2*pause, r.Settings.MaxClaimRetryPause) {
		write := newClaimWrite(claim.lease, claim.key, claim.version, row)
		r.claimWriter.submit(write)
		writeResult, ok := r.awaitClaimWrite(write)
		if ok && writeResult.err == nil {
			return
		}
		canRetry := ok && errors.Is(writeResult.err, errClaimNotWritten) || errors.Is(writeResult.err, errClaimFenced) && !r.isLeaseLost(claim.lease)
		if !canRetry || r.Clock.Now().After(deadline) || !r.sleepUnlessStopped(pause) {
			r.Metrics.Count("claim_outcomes_lost", 1)
			return
		}
	}
}

// attachAnswer sets the fields of row that describe an answer; recordOutcome
// writes the row to the table afterwards. An answer of at most
// MaxInlineAnswerBytes goes into row itself. A larger answer is put into the
// object store, and row gets the name of the object. If there is no object store
// or the put fails, the answer is dropped: row is marked as Unavailable, and
// claim_answers_not_kept is counted. row has the digest of the answer in all
// three cases.
func (r *Router) attachAnswer(ctx context.Context, claim *requestClaim, row *claimRow, body []byte) {
	row.Digest = answerDigest(body)
	if len(body) <= r.Settings.MaxInlineAnswerBytes {
		row.Answer = body
		return
	}
	name := answerObject(claim.lease.Shard, claim.row.Claim)
	callCtx, cancel := clockwork.WithTimeout(ctx, r.Clock, r.Settings.TableTimeout)
	defer cancel()
	if r.Objects == nil || r.Objects.Put(callCtx, name, body) != nil {
		row.Unavailable = true
		r.Metrics.Count("claim_answers_not_kept", 1)
		return
	}
	row.Object = name
}

// answerDigest returns the SHA-256 of an answer in hexadecimal digits.
func answerDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
