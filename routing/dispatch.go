package routing

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"bergamotstile/admission"
	"bergamotstile/retry"
	"bergamotstile/runnerapi"
	"bergamotstile/structs"
)

// call is a request that this instance handles, with its deadline on this
// instance's clock.
type call struct {
	req      structs.Request
	arrived  time.Time
	deadline time.Time
	hops     int // how often the request was forwarded before
}

// result is the answer or the refusal with which a call ended. It is a refusal
// if refusal is not nil.
type result struct {
	answer  structs.Answer
	refusal *structs.Refusal
	// endsBy is set if a dispatch of the call may still run: it ends by that
	// time. No other dispatch under the same key may start earlier.
	endsBy time.Time
	// resolution is set if the call's claim is unresolved. The channel delivers
	// the final refusal once the claim is resolved.
	resolution <-chan result
}

func refused(r *structs.Refusal) result {
	return result{refusal: r}
}

// attempt dispatches a call to a runner of the pool. It dispatches again only
// if every earlier dispatch is proven not to have run and the retry budget
// allows it. checkReady is called immediately before each dispatch and may
// refuse the call.
func (r *Router) attempt(ctx context.Context, c call, pool *runnerPool, checkReady func() *structs.Refusal) result {
	r.retryBudgets.RecordRequest()
	for {
		s, refusal := r.acquireSlot(ctx, c, pool)
		if refusal != nil {
			return refused(refusal)
		}
		if refusal := r.checkBeforeDispatch(ctx, c, checkReady); refusal != nil {
			s.release(c.req.Kind, 0)
			return refused(refusal)
		}
		res, cause := r.dispatch(ctx, c, s)
		if cause == "" {
			return res
		}
		if !r.retryBudgets.Allow(cause) {
			return refused(structs.NotRun(structs.ReasonRetryBudget, "runner %s: %s, and the retry budget is used up", s.runner.Name, cause).WithRetryAfter(r.Settings.UnreachablePause))
		}
	}
}

// acquireSlot waits for a slot of the pool, or refuses the call.
func (r *Router) acquireSlot(ctx context.Context, c call, pool *runnerPool) (*slot, *structs.Refusal) {
	if !pool.hasLiveRunner() {
		return nil, r.noRunnerRefusal(c.req.Service, pool.id.shard.Domain)
	}
	s, err := pool.queue.Acquire(ctx, c.admissionRequest())
	if err != nil {
		return nil, admissionRefusal(err)
	}
	return s, nil
}

// noRunnerRefusal refuses a request for which a domain has no live runner.
func (r *Router) noRunnerRefusal(service, domain string) *structs.Refusal {
	return structs.NotRun(structs.ReasonNoRunner, "no live runner of %s in %s", service, domain).WithRetryAfter(r.Settings.UnreachablePause)
}

// admissionRequest describes the call to the admission queue.
func (c call) admissionRequest() admission.Request {
	return admission.Request{Caller: c.req.Caller, Class: c.req.Class, Kind: c.req.Kind, Deadline: c.deadline}
}

// admissionRefusal converts an error of the admission queue. A request that got
// no slot did not run.
func admissionRefusal(err error) *structs.Refusal {
	var admissionErr *admission.RefusalError
	if errors.As(err, &admissionErr) {
		return structs.NotRun(admissionErr.Reason, "%s", admissionErr.Detail).WithRetryAfter(admissionErr.RetryAfter)
	}
	return structs.NotRun(structs.ReasonInternal, "%v", err)
}

// checkBeforeDispatch refuses a call that got a slot but must not be dispatched
// any more.
func (r *Router) checkBeforeDispatch(ctx context.Context, c call, checkReady func() *structs.Refusal) *structs.Refusal {
	if ctx.Err() != nil {
		return structs.NotRun(structs.ReasonDeadlineExceeded, "the caller left before the request was dispatched")
	}
	if !r.Clock.Now().Before(c.deadline) {
		return structs.NotRun(structs.ReasonDeadlineExceeded, "the deadline passed before the request was dispatched")
	}
	return checkReady()
}

// dispatch sends the call to the slot's runner once and releases the slot. It
// returns a cause, and then no result, only if the request is proven not to
// have run.
func (r *Router) dispatch(ctx context.Context, c call, s *slot) (result, retry.Cause) {
	start := r.Clock.Now()
	// A runner goes on with a request after its caller has left, and may
	// overrun the deadline. So the slot and the key stay in use until the
	// runner answers, for at most MaxOverrun beyond the deadline. An answer
	// that comes late can still be returned to a retry under the same key.
	dispatchCtx, cancel := clockwork.WithDeadline(context.WithoutCancel(ctx), r.Clock, c.deadline.Add(r.Settings.MaxOverrun))
	defer cancel()
	// The latency of a late request is recorded at its deadline, without
	// waiting for the runner to finish.
	deadlineTimer := r.Clock.AfterFunc(c.deadline.Sub(start), func() { r.recordLatency(c, true) })
	body, err := r.Runners.Dispatch(dispatchCtx, s.runner.Address, runnerapi.Dispatch{
		ID: uuid.NewString(), Service: c.req.Service, Kind: c.req.Kind,
		Timeout: c.deadline.Sub(start), Body: c.req.Body,
	})
	took := max(r.Clock.Now().Sub(start), 1)
	if err == nil {
		s.release(c.req.Kind, took)
		if deadlineTimer.Stop() {
			r.recordLatency(c, false)
		}
		r.runnerSamples.recordAnswer(s.runner, took)
		return result{answer: structs.Answer{RequestID: c.req.ID, Runner: s.runner.Name, Body: body}}, ""
	}
	inTime := deadlineTimer.Stop()
	if cause := notRunCause(err); cause != "" {
		r.pauseRunner(s, cause)
		s.release(c.req.Kind, 0)
		return result{}, cause
	}
	if inTime && !errors.Is(err, runnerapi.ErrFailed) {
		r.recordLatency(c, true)
	}
	return r.failedDispatchResult(c, s, took, err), ""
}

// notRunCause returns the cause that proves that a dispatch did not run, or ""
// if there is none. An error that also reports an unknown outcome proves
// nothing.
func notRunCause(err error) retry.Cause {
	for _, unknownOutcome := range []error{runnerapi.ErrTimeout, runnerapi.ErrIncomplete, runnerapi.ErrFailed} {
		if errors.Is(err, unknownOutcome) {
			return ""
		}
	}
	switch {
	case errors.Is(err, runnerapi.ErrUnreachable):
		return retry.CauseUnreachable
	case errors.Is(err, runnerapi.ErrBusy):
		return retry.CauseBusy
	case errors.Is(err, runnerapi.ErrLeaving):
		return retry.CauseLeaving
	}
	return ""
}

// pauseRunner pauses a runner that did not accept a request: it gets no new
// requests for UnreachablePause, LeavingPause or BusyPause, according to the
// cause. A runner that is leaving is also marked as such in the membership view.
func (r *Router) pauseRunner(s *slot, cause retry.Cause) {
	switch cause {
	case retry.CauseUnreachable:
		s.pause(r.Settings.UnreachablePause, true)
	case retry.CauseLeaving:
		s.pause(r.Settings.LeavingPause, true)
		r.Members.MarkLeaving(s.runner.Name)
	default:
		s.pause(r.Settings.BusyPause, false)
	}
}

// failedDispatchResult returns the result of a call whose dispatch ran or may
// have run, and releases the slot.
func (r *Router) failedDispatchResult(c call, s *slot, took time.Duration, err error) result {
	if errors.Is(err, runnerapi.ErrFailed) {
		s.release(c.req.Kind, took)
		return refused(structs.MayHaveRun(structs.ReasonRunnerFailed, "runner %s: %v", s.runner.Name, err))
	}
	endsBy := laterOf(c.deadline, r.Clock.Now()).Add(r.Settings.TransitMargin)
	reason := structs.ReasonRunnerFailed
	switch {
	case errors.Is(err, runnerapi.ErrTimeout), errors.Is(err, context.DeadlineExceeded):
		reason = structs.ReasonDeadlineExceeded
	case errors.Is(err, runnerapi.ErrIncomplete):
		reason = structs.ReasonAnswerIncomplete
	}
	if reason != structs.ReasonDeadlineExceeded {
		took = 0 // the time until an answer was lost is no measure of the service time
	}
	s.releaseAt(endsBy, c.req.Kind, took)
	remaining := max(endsBy.Sub(r.Clock.Now()), 0)
	refusal := structs.MayHaveRun(reason, "runner %s: %v", s.runner.Name, err).WithRetryAfter(remaining)
	return result{refusal: refusal, endsBy: endsBy}
}

// recordLatency records the time since the arrival of a call.
func (r *Router) recordLatency(c call, late bool) {
	took := r.Clock.Now().Sub(c.arrived)
	r.latencies.observe(c.req.Service, took, late)
	r.Metrics.Observe("request_"+c.req.Service, took.Microseconds())
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waitUntilDeadline runs an attempt and waits for its result until WaitGrace
// after the caller's deadline. The attempt goes on after that, since its slot
// is in use until it ends.
func (r *Router) waitUntilDeadline(ctx context.Context, c call, attempt func(context.Context) result) result {
	done := make(chan result, 1)
	go func() { done <- attempt(ctx) }()
	deadlineTimer := r.Clock.NewTimer(c.deadline.Add(r.Settings.WaitGrace).Sub(r.Clock.Now()))
	defer deadlineTimer.Stop()
	select {
	case res := <-done:
		return res
	case <-deadlineTimer.Chan():
		return refused(structs.MayHaveRun(structs.ReasonDeadlineExceeded, "the request is still in flight"))
	}
}
