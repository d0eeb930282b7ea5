package coordinator

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// Bounds of requests for advice. Advice says on which runners the policy of a queue allows
// a step to run.
const (
	// maxAdviceRunners bounds the runners that one request asks about, since the adviser needs
	// time for each of them.
	maxAdviceRunners = 30
	adviceRetryPause = 400 * time.Millisecond
	// ticketMargin is the part of a ticket's validity that is left for the start to arrive.
	ticketMargin = 150 * time.Millisecond
)

// StepID identifies a step of an occurrence of a job.
type StepID struct {
	Job        jobs.ID
	Occurrence int
	Step       int
}

// AdviceRequest asks on which of the given runners a step may run.
type AdviceRequest struct {
	Step    StepID
	Runners []string
}

// Advice is the answer to a request: the tickets by runner, and how long they are valid.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// Adviser answers requests for advice.
type Adviser interface {
	Advise(ctx context.Context, request AdviceRequest) (Advice, error)
}

// ticket permits the start of tasks of a step on a runner until it expires.
type ticket struct {
	text   string
	expiry time.Duration
}

// policyAdvice holds the advice for one step and the state of its requests.
type policyAdvice struct {
	tickets        map[string]ticket
	requestPending bool
	retryAt        time.Duration // no new request is made before
	nextCandidate  int           // index of the runner with which the next request begins
}

// isPermitted reports whether the policy of the queue allows the step on the runner now.
func (s *openStep) isPermitted(r *runner, now time.Duration) bool {
	if !s.job.queue.RequiresTicket {
		return true
	}
	t, ok := s.advice.tickets[r.ID]
	return ok && now+ticketMargin < t.expiry
}

// requestAdvice requests advice for a step that has pending tasks and no runner for them.
func (c *Core) requestAdvice(s *openStep, now time.Duration) {
	if !s.job.queue.RequiresTicket || s.advice.requestPending || now < s.advice.retryAt {
		return
	}
	candidates := c.sortedRunners()
	request := AdviceRequest{Step: s.stepID()}
	for i := range candidates {
		index := (s.advice.nextCandidate + i) % len(candidates)
		if r := candidates[index]; r.isUsable() && r.Service == s.job.queue.Service && r.hasCapacityFor(s) && !s.isPermitted(r, now) {
			request.Runners = append(request.Runners, r.ID)
		}
		if len(request.Runners) == maxAdviceRunners {
			s.advice.nextCandidate = index + 1
			break
		}
	}
	if len(request.Runners) == 0 {
		return
	}
	s.advice.requestPending = true
	c.adviceRequests = append(c.adviceRequests, request)
	c.counters("advice_asked", 1)
}

// stepID returns the identifier of the step.
func (s *openStep) stepID() StepID { return StepID{s.job.ID, s.occurrence, s.index} }

// TakeAdviceRequests returns the requests for advice made since the last call.
func (c *Core) TakeAdviceRequests() []AdviceRequest {
	requests := c.adviceRequests
	c.adviceRequests = nil
	return requests
}

// ApplyAdvice records the answer to a request, or the error if there was none.
func (c *Core) ApplyAdvice(request AdviceRequest, advice Advice, err error, now time.Duration) {
	j := c.jobs[request.Step.Job]
	if j == nil {
		return
	}
	s := j.openSteps[[2]int{request.Step.Occurrence, request.Step.Step}]
	if s == nil {
		return
	}
	s.advice.requestPending = false
	if err != nil || len(advice.Tickets) == 0 {
		s.advice.retryAt = now + adviceRetryPause
	}
	if err != nil {
		c.log.WithError(err).WithField("job", request.Step.Job).Warn("request for advice failed")
		return
	}
	for id, text := range advice.Tickets {
		s.advice.tickets[id] = ticket{text, now + advice.Valid}
	}
	c.log.WithFields(logrus.Fields{"job": request.Step.Job, "step": request.Step.Step, "asked": len(request.Runners), "allowed": len(advice.Tickets)}).Info("advice received")
}
