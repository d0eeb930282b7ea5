package structs

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome tells a caller whether its request or work item ran.
type Outcome string

// The outcomes of a request or work item.
const (
	OutcomeNotRun     Outcome = "not_run"
	OutcomeMayHaveRun Outcome = "may_have_run"
	OutcomeRan        Outcome = "ran"
)

// Reason is the machine-readable cause of a refusal.
type Reason string

// The reasons of refusals. Callers compare these strings, so they must not
// change.
const (
	ReasonBadRequest          Reason = "bad_request"
	ReasonTooLarge            Reason = "too_large"
	ReasonNotFound            Reason = "not_found"
	ReasonKeyRequired         Reason = "key_required"
	ReasonKeyReused           Reason = "key_reused"
	ReasonUnknownService      Reason = "unknown_service"
	ReasonUnknownDomain       Reason = "unknown_domain"
	ReasonUnknownTeam         Reason = "unknown_team"
	ReasonUnknownJob          Reason = "unknown_job"
	ReasonNeverFits           Reason = "never_fits"
	ReasonNeverRuns           Reason = "never_runs"
	ReasonDeadlineUnreachable Reason = "deadline_unreachable"
	ReasonDeadlineExceeded    Reason = "deadline_exceeded"
	ReasonQueueFull           Reason = "queue_full"
	ReasonCallerQueueFull     Reason = "caller_queue_full"
	ReasonShed                Reason = "shed"
	ReasonNoRunner            Reason = "no_runner"
	ReasonRunnerFailed        Reason = "runner_failed"
	ReasonRetryBudget         Reason = "retry_budget"
	ReasonAnswerIncomplete    Reason = "answer_incomplete"
	ReasonNotOwner            Reason = "not_owner"
	ReasonOwnerUnreachable    Reason = "owner_unreachable"
	ReasonOwnershipUnproven   Reason = "ownership_unproven"
	ReasonDomainUnreachable   Reason = "domain_unreachable"
	ReasonStoreUnavailable    Reason = "store_unavailable"
	ReasonWriteUnresolved     Reason = "write_unresolved"
	ReasonClaimOpen           Reason = "claim_open"
	ReasonAnswerUnavailable   Reason = "answer_unavailable"
	ReasonIsolated            Reason = "isolated"
	ReasonDraining            Reason = "draining"
	ReasonNotReady            Reason = "not_ready"
	ReasonOverQuota           Reason = "over_quota"
	ReasonVersionConflict     Reason = "version_conflict"
	ReasonDeclarationInvalid  Reason = "declaration_invalid"
	ReasonInternal            Reason = "internal"
)

// Refusal is the error that callers receive. Every layer converts its failures
// to a Refusal before they reach a caller.
type Refusal struct {
	Reason       Reason  `json:"reason"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	Detail       string  `json:"detail,omitempty"`
}

// Error returns the refusal as one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// RetryAfter returns how long the caller should wait before it retries. It is
// zero if the refusal gives no time.
func (r *Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMS) * time.Millisecond
}

// NotRun returns a refusal of a request or work item that did not run.
func NotRun(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeNotRun, Detail: fmt.Sprintf(format, args...)}
}

// MayHaveRun returns a refusal of a request or work item that may have run.
func MayHaveRun(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeMayHaveRun, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of the refusal that tells the caller how long
// to wait before it retries.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	copied := *r
	copied.RetryAfterMS = wait.Milliseconds()
	return &copied
}

// AsRefusal returns the refusal in err's chain. It converts an error without a
// refusal to one with the reason ReasonInternal and the outcome
// OutcomeMayHaveRun, since such an error does not show whether the work ran.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return MayHaveRun(ReasonInternal, "%v", err)
}

// HTTPStatus returns the status code of the HTTP response that carries the
// refusal.
func (r *Refusal) HTTPStatus() int {
	switch r.Reason {
	case ReasonBadRequest, ReasonKeyRequired, ReasonUnknownDomain, ReasonUnknownTeam, ReasonUnknownJob:
		return http.StatusBadRequest
	case ReasonDeclarationInvalid, ReasonNeverFits, ReasonNeverRuns:
		return http.StatusUnprocessableEntity
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonNotFound, ReasonUnknownService:
		return http.StatusNotFound
	case ReasonKeyReused, ReasonVersionConflict, ReasonClaimOpen:
		return http.StatusConflict
	case ReasonQueueFull, ReasonCallerQueueFull, ReasonShed, ReasonOverQuota, ReasonDeadlineUnreachable:
		return http.StatusTooManyRequests
	case ReasonDeadlineExceeded:
		return http.StatusGatewayTimeout
	case ReasonAnswerIncomplete, ReasonRunnerFailed:
		return http.StatusBadGateway
	case ReasonInternal:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}
