package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of the judgement of a runner by what its runs come to.
const (
	// distrustFailures is the number of failures of different jobs in a row
	// after which a runner gets no new tasks for a while.
	distrustFailures = 2
	distrustTime     = 4 * time.Second
	// avoidedShare bounds the runners of a service that are avoided for failures at a
	// time, as one of so many: tasks that fail by themselves would else leave none.
	avoidedShare = 3
	refusedPause = time.Second
	// recentFailure is how long a failure counts against a runner when another
	// could take the task.
	recentFailure = 6 * time.Second
	// provenTime is how long a success vouches for a runner.
	provenTime = 4 * time.Second
)

// health is the judgement of a runner by the outcomes of its runs.
type health struct {
	// failures counts failed runs of different jobs since the last success.
	failures   int
	lastFailed time.Duration
	lastJob    *job
	lastDone   time.Duration
	avoidUntil time.Duration
	stalls     int
}

// refused records that the runner takes no orders now.
func (h *health) refused(now time.Duration) {
	h.avoidUntil = max(h.avoidUntil, now+refusedPause)
}

// avoided reports whether the runner gets no new tasks at present.
func (h *health) avoided(now time.Duration) bool { return now < h.avoidUntil }

// doubtful reports whether other runners are to be preferred.
func (h *health) doubtful(now time.Duration) bool {
	return h.failures > 0 && now-h.lastFailed < recentFailure || h.stalls > 0
}

// proven reports whether the runner has done a task lately and failed none
// since.
func (h *health) proven(now time.Duration) bool {
	return h.lastDone > 0 && now-h.lastDone < provenTime && h.failures == 0 && h.stalls == 0
}

// noteHealth judges a runner by the end of a run.
func (c *Core) noteHealth(x *taskRun, how EndKind, now time.Duration) {
	h := &x.runner.health
	switch how {
	case EndedDone:
		h.failures, h.stalls, h.lastDone = 0, 0, now
	case EndedFailed:
		if h.lastJob != x.job {
			h.failures++
		}
		h.lastJob, h.lastFailed = x.job, now
		if h.failures >= distrustFailures && c.mayAvoid(x.runner, now) {
			h.avoidUntil = max(h.avoidUntil, now+distrustTime)
			c.counters("runners_distrusted", 1)
			c.log.WithFields(logrus.Fields{"runner": x.runner.ID, "failures": h.failures}).Warn("runner gets no new tasks for a while")
		}
	}
}

// mayAvoid reports whether a runner may be avoided beside those of its service that are.
func (c *Core) mayAvoid(r *runner, now time.Duration) bool {
	all, avoided := 0, 0
	for _, o := range c.runners {
		if o.Service != r.Service || !o.registered {
			continue
		}
		all++
		if o != r && o.health.avoided(now) {
			avoided++
		}
	}
	return avoidedShare*(avoided+1) <= all
}
