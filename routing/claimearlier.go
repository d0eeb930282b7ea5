package routing

import (
	"context"

	"github.com/jonboulle/clockwork"

	"bergamotstile/structs"
)

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

func (r *Router) getAnswer(ctx context.Context, name string) ([]byte, error) {
	cctx, cancel := clockwork.WithTimeout(ctx, r.Clock, r.Settings.TableTimeout)
	defer cancel()
	return r.Objects.Get(cctx, name)
}
