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

// call is a request with its deadline on this instance's clock.
type call struct {
	req      structs.Request
	arrived  time.Time
	deadline time.Time
	hops     int
}

// result is how a call ended: an answer, or a refusal that is not nil.
type result struct {
	answer  structs.Answer
	refusal *structs.Refusal
	// endsBy is set if a dispatch may still run: no other dispatch of the same
	// key may start before it.
	endsBy time.Time
	// pending is set if the call's claim is not resolved yet. It gives the
	// refusal that holds once it is.
	pending <-chan result
}

func refused(r *structs.Refusal) result {
	return result{refusal: r}
}

// attempt runs a call on a runner of the lane. It dispatches again only while
// every earlier dispatch is proven not to have run, and within the retry
// budgets. ready is asked immediately before each dispatch.
func (r *Router) attempt(ctx context.Context, c call, l *lane, ready func() *structs.Refusal) result {
	r.budgets.RecordRequest()
	for {
		s, refusal := r.acquire(ctx, c, l)
		if refusal != nil {
			return refused(refusal)
		}
		if refusal := r.lastCheck(ctx, c, ready); refusal != nil {
			s.release(c.req.Kind, 0)
			return refused(refusal)
		}
		res, cause := r.dispatch(ctx, c, s)
		if cause == "" {
			return res
		}
		if !r.budgets.Allow(cause) {
			return refused(structs.NotRun(structs.ReasonRetryBudget, "runner %s: %s, and the retry budget is used up", s.runner.Name, cause).WithRetryAfter(r.Settings.UnreachablePause))
		}
	}
}

func (r *Router) acquire(ctx context.Context, c call, l *lane) (*slot, *structs.Refusal) {
	if !l.live() {
		return nil, r.noRunner(c.req.Service, l.id.shard.Domain)
	}
	s, err := l.queue.Acquire(ctx, c.waiter())
	if err != nil {
		return nil, convertAdmission(err)
	}
	return s, nil
}

func (r *Router) noRunner(service, domain string) *structs.Refusal {
	return structs.NotRun(structs.ReasonNoRunner, "no live runner of %s in %s", service, domain).WithRetryAfter(r.Settings.UnreachablePause)
}

func (c call) waiter() admission.Request {
	return admission.Request{Caller: c.req.Caller, Class: c.req.Class, Kind: c.req.Kind, Deadline: c.deadline}
}

func convertAdmission(err error) *structs.Refusal {
	var e *admission.RefusalError
	if errors.As(err, &e) {
		return structs.NotRun(e.Reason, "%s", e.Detail).WithRetryAfter(e.RetryAfter)
	}
	return structs.NotRun(structs.ReasonInternal, "%v", err)
}

// lastCheck holds back a request that should no longer be dispatched.
func (r *Router) lastCheck(ctx context.Context, c call, ready func() *structs.Refusal) *structs.Refusal {
	if ctx.Err() != nil {
		return structs.NotRun(structs.ReasonDeadlineExceeded, "the caller left before the request was dispatched")
	}
	if !r.Clock.Now().Before(c.deadline) {
		return structs.NotRun(structs.ReasonDeadlineExceeded, "the deadline passed before the request was dispatched")
	}
	return ready()
}

// dispatch sends the call to the slot's runner once and gives the slot back. A
// cause is returned only if the request is proven not to have run.
func (r *Router) dispatch(ctx context.Context, c call, s *slot) (result, retry.Cause) {
	start := r.Clock.Now()
	// The runner works on whether or not the caller stays, and may overrun its
	// deadline. So the slot and the key are held until the answer, within a
	// bound, and a late answer serves a retry of the key.
	dctx, cancel := clockwork.WithDeadline(context.WithoutCancel(ctx), r.Clock, c.deadline.Add(r.Settings.Overrun))
	defer cancel()
	// A late request is measured at its deadline, not when its runner is done.
	late := r.Clock.AfterFunc(c.deadline.Sub(start), func() { r.observe(c, true) })
	body, err := r.Runners.Dispatch(dctx, s.runner.Address, runnerapi.Dispatch{
		ID: uuid.NewString(), Service: c.req.Service, Kind: c.req.Kind,
		Timeout: c.deadline.Sub(start), Body: c.req.Body,
	})
	took := max(r.Clock.Now().Sub(start), 1)
	if err == nil {
		s.release(c.req.Kind, took)
		if late.Stop() {
			r.observe(c, false)
		}
		r.windows.observe(s.runner, took)
		return result{answer: structs.Answer{RequestID: c.req.ID, Runner: s.runner.Name, Body: body}}, ""
	}
	stopped := late.Stop()
	if cause := notRunCause(err); cause != "" {
		r.avoid(s, cause)
		s.release(c.req.Kind, 0)
		return result{}, cause
	}
	if stopped && !errors.Is(err, runnerapi.ErrFailed) {
		r.observe(c, true)
	}
	return r.dispatchFailed(c, s, took, err), ""
}

// notRunCause returns why a dispatch is proven not to have run, or "". An
// error that also reports an unknown outcome proves nothing.
func notRunCause(err error) retry.Cause {
	for _, unknown := range []error{runnerapi.ErrTimeout, runnerapi.ErrIncomplete, runnerapi.ErrFailed} {
		if errors.Is(err, unknown) {
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

// avoid keeps the next requests from a runner that took none.
func (r *Router) avoid(s *slot, cause retry.Cause) {
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

// dispatchFailed ends a call whose dispatch ran or may have run.
func (r *Router) dispatchFailed(c call, s *slot, took time.Duration, err error) result {
	if errors.Is(err, runnerapi.ErrFailed) {
		s.release(c.req.Kind, took)
		return refused(structs.MayHaveRun(structs.ReasonRunnerFailed, "runner %s: %v", s.runner.Name, err))
	}
	endsBy := latest(c.deadline, r.Clock.Now()).Add(r.Settings.Settle)
	reason := structs.ReasonRunnerFailed
	switch {
	case errors.Is(err, runnerapi.ErrTimeout), errors.Is(err, context.DeadlineExceeded):
		reason = structs.ReasonDeadlineExceeded
	case errors.Is(err, runnerapi.ErrIncomplete):
		reason = structs.ReasonAnswerIncomplete
	}
	if reason != structs.ReasonDeadlineExceeded {
		took = 0 // the time until an answer was lost says little of the service time
	}
	s.releaseAt(endsBy, c.req.Kind, took)
	left := max(endsBy.Sub(r.Clock.Now()), 0)
	refusal := structs.MayHaveRun(reason, "runner %s: %v", s.runner.Name, err).WithRetryAfter(left)
	return result{refusal: refusal, endsBy: endsBy}
}

func (r *Router) observe(c call, late bool) {
	took := r.Clock.Now().Sub(c.arrived)
	r.latency.observe(c.req.Service, took, late)
	r.Metrics.Observe("request_"+c.req.Service, took.Microseconds())
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// withinDeadline waits for an attempt until its caller's deadline has passed.
// The attempt itself goes on, since its slot is in use until it ends.
func (r *Router) withinDeadline(ctx context.Context, c call, attempt func(context.Context) result) result {
	done := make(chan result, 1)
	go func() { done <- attempt(ctx) }()
	late := r.Clock.NewTimer(c.deadline.Add(r.Settings.WaitGrace).Sub(r.Clock.Now()))
	defer late.Stop()
	select {
	case res := <-done:
		return res
	case <-late.Chan():
		return refused(structs.MayHaveRun(structs.ReasonDeadlineExceeded, "the request is still in flight"))
	}
}
