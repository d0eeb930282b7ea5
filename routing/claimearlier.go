package routing

import (
	"context"

	"github.com/jonboulle/clockwork"

	"bergamotstile/structs"
)

// checkEarlierClaim reads the claim that another attempt made under the call's
// key and returns the result of the call. If that claim was closed as not run,
// or no row exists any more, it returns no result but the version on which a
// new claim has to be conditional.
func (r *Router) checkEarlierClaim(ctx context.Context, c call, claim *requestClaim) (uint64, *result) {
	row, version, err := r.readClaim(ctx, claim.key)
	if err != nil {
		res := refused(structs.MayHaveRun(structs.ReasonStoreUnavailable, "the key has a claim that cannot be read: %v", err).WithRetryAfter(r.Settings.UnreachablePause))
		return 0, &res
	}
	if version == 0 || row.State == claimNotRun {
		return version, nil
	}
	if row.Fingerprint != claim.row.Fingerprint {
		res := refused(structs.NotRun(structs.ReasonKeyReused, "the key was used for another request"))
		return 0, &res
	}
	res := r.resultOfEarlierClaim(ctx, c, row)
	return 0, &res
}

// resultOfEarlierClaim returns the answer or the refusal that an earlier
// attempt recorded in its claim.
func (r *Router) resultOfEarlierClaim(ctx context.Context, c call, row claimRow) result {
	switch {
	case row.State == claimRefused && row.Refusal != nil:
		return refused(row.Refusal)
	case row.State != claimAnswered:
		return refused(structs.MayHaveRun(structs.ReasonClaimOpen, "an earlier attempt under this key has no recorded outcome"))
	case row.Unavailable:
		return refused(refusalAfterRun(structs.ReasonAnswerUnavailable, "the request ran, but its answer was not kept"))
	}
	body := row.Answer
	if row.Object != "" {
		var err error
		if body, err = r.readAnswerObject(ctx, row.Object); err != nil {
			return refused(refusalAfterRun(structs.ReasonAnswerUnavailable, "the request ran, but its answer cannot be read now: "+err.Error()).WithRetryAfter(r.Settings.UnreachablePause))
		}
	}
	if answerDigest(body) != row.Digest {
		return refused(refusalAfterRun(structs.ReasonAnswerUnavailable, "the request ran, but its kept answer is damaged"))
	}
	return result{answer: structs.Answer{RequestID: c.req.ID, Runner: row.Runner, Body: body}}
}

// refusalAfterRun refuses a request that ran but whose answer cannot be
// returned.
func refusalAfterRun(reason structs.Reason, detail string) *structs.Refusal {
	return &structs.Refusal{Reason: reason, Outcome: structs.OutcomeRan, Detail: detail}
}

func (r *Router) readAnswerObject(ctx context.Context, name string) ([]byte, error) {
	callCtx, cancel := clockwork.WithTimeout(ctx, r.Clock, r.Settings.TableTimeout)
	defer cancel()
	return r.Objects.Get(callCtx, name)
}
