package routing

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"

	"github.com/jonboulle/clockwork"
)

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

func answerDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
