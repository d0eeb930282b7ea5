package routing

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"

	"github.com/jonboulle/clockwork"
)

// recordOutcome writes the outcome of a request into its claim. It retries a
// write that certainly had no effect, until the shard is lost,
// OutcomeWriteTimeout has passed or the router stops. A claim without a
// recorded outcome stays open, which is still correct: an open claim means that
// the request may have run.
func (r *Router) recordOutcome(ctx context.Context, claim *requestClaim, res result) {
	row := claim.row
	if res.refusal != nil {
		row.State, row.Refusal = claimRefused, res.refusal
	} else {
		row.State, row.Runner = claimAnswered, res.answer.Runner
		r.storeAnswer(ctx, claim, &row, res.answer.Body)
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

// storeAnswer puts an answer into the claim row, or into the object store if
// the answer is too large for a row.
func (r *Router) storeAnswer(ctx context.Context, claim *requestClaim, row *claimRow, body []byte) {
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

func answerDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
