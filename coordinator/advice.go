package coordinator

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// Bounds of requests for advice: which runners a queue's policy allows for a
// step.
const (
	// adviceCandidates is the number of runners asked about at once; each costs
	// time.
	adviceCandidates = 30
	adviceRetry      = 400 * time.Millisecond
	// ticketMargin is kept of a ticket's validity for the start to arrive.
	ticketMargin = 150 * time.Millisecond
)

// StepID names a step of a job's occurrence.
type StepID struct {
	Job        jobs.ID
	Occurrence int
	Step       int
}

// AdviceRequest asks which of some runners may run a step.
type AdviceRequest struct {
	Step    StepID
	Runners []string
}

// Advice is the answer: tickets by runner, and how long they hold.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// Adviser answers requests for advice.
type Adviser interface {
	Advise(ctx context.Context, r AdviceRequest) (Advice, error)
}

// ticket is the permission to start tasks of a step on a runner.
type ticket struct {
	text  string
	until time.Duration
}

// policyAdvice is what is known of the policy for one step.
type policyAdvice struct {
	tickets map[string]ticket
	asking  bool
	again   time.Duration // no new request before
	from    int           // candidate to begin the next request with
}

// permitted reports whether the policy allows the step on the runner now.
func (w *openStep) permitted(r *runner, now time.Duration) bool {
	if !w.job.queue.Advised {
		return true
	}
	t, ok := w.advice.tickets[r.ID]
	return ok && now+ticketMargin < t.until
}

// ask requests advice for a step that has tasks to start and no runner for
// them.
func (c *Core) ask(w *openStep, now time.Duration) {
	if !w.job.queue.Advised || w.advice.asking || now < w.advice.again {
		return
	}
	all := c.candidates()
	request := AdviceRequest{Step: w.stepID()}
	for i := range all {
		at := (w.advice.from + i) % len(all)
		if r := all[at]; r.isUsable() && r.Service == w.job.queue.Service && r.fits(w) && !w.permitted(r, now) {
			request.Runners = append(request.Runners, r.ID)
		}
		if len(request.Runners) == adviceCandidates {
			w.advice.from = at + 1
			break
		}
	}
	if len(request.Runners) == 0 {
		return
	}
	w.advice.asking = true
	c.adviceRequests = append(c.adviceRequests, request)
	c.counters("advice_asked", 1)
}

func (w *openStep) stepID() StepID { return StepID{w.job.ID, w.occurrence, w.index} }

// TakeRequests returns the requests for advice made since the last call.
func (c *Core) TakeRequests() []AdviceRequest {
	requests := c.adviceRequests
	c.adviceRequests = nil
	return requests
}

// Advised records the answer to a request, or that there was none.
func (c *Core) Advised(r AdviceRequest, a Advice, err error, now time.Duration) {
	j := c.jobs[r.Step.Job]
	if j == nil {
		return
	}
	w := j.openSteps[[2]int{r.Step.Occurrence, r.Step.Step}]
	if w == nil {
		return
	}
	w.advice.asking = false
	if err != nil || len(a.Tickets) == 0 {
		w.advice.again = now + adviceRetry
	}
	if err != nil {
		c.log.WithError(err).WithField("job", r.Step.Job).Warn("no advice")
		return
	}
	for id, text := range a.Tickets {
		w.advice.tickets[id] = ticket{text, now + a.Valid}
	}
	c.log.WithFields(logrus.Fields{"job": r.Step.Job, "step": r.Step.Step, "asked": len(r.Runners), "allowed": len(a.Tickets)}).Info("advice")
}
