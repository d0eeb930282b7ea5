package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Parameters for avoiding runners on which runs fail.
const (
	// avoidAfterFailures is the number of consecutive failures of different jobs after which a
	// runner gets no new tasks for failureAvoidTime.
	avoidAfterFailures = 2
	failureAvoidTime   = 4 * time.Second
	// At most one of runnersPerAvoided runners of a service is avoided for failures at a time.
	// Tasks that fail by their own fault would otherwise leave no runner in use.
	runnersPerAvoided = 3
	refusalAvoidTime  = time.Second
	// recentFailureTime is how long other runners are preferred after a failure.
	recentFailureTime = 6 * time.Second
	// stallMemory is how long other runners are preferred after a run has made no progress. It is
	// longer than recentFailureTime because it takes seconds to notice a stalled run.
	stallMemory = 30 * time.Second
	// provenTime is how long a runner counts as proven after a success.
	provenTime = 4 * time.Second
)

// health is an assessment of a runner by the results of its runs.
type health struct {
	// failures counts failed runs since the last success. Consecutive ones of the same job
	// count once.
	failures      int
	lastFailedAt  time.Duration
	lastFailedJob *job
	lastSuccessAt time.Duration
	avoidUntil    time.Duration
	stalledRuns   int
	lastStalledAt time.Duration
	slowness      slowness
}

// recordRefusal records that the runner refused a start.
func (h *health) recordRefusal(now time.Duration) {
	h.avoidUntil = max(h.avoidUntil, now+refusalAvoidTime)
}

// recordStall records that a run on the runner has made no progress.
func (h *health) recordStall(now time.Duration) {
	h.stalledRuns++
	h.lastStalledAt = now
	h.avoidUntil = max(h.avoidUntil, now+stallAvoidTime)
}

// isAvoided reports whether the runner gets no new tasks at present.
func (h *health) isAvoided(now time.Duration) bool { return now < h.avoidUntil }

// isUnreliable reports whether other runners are preferred because runs have failed or made
// no progress on this one.
func (h *health) isUnreliable(now time.Duration) bool {
	return h.failures > 0 && now-h.lastFailedAt < recentFailureTime || h.stalledRuns > 0 && now-h.lastStalledAt < stallMemory
}

// isProven reports whether a run on the runner has succeeded recently and none has failed
// or stalled since.
func (h *health) isProven(now time.Duration) bool {
	return h.lastSuccessAt > 0 && now-h.lastSuccessAt < provenTime && h.failures == 0 && h.stalledRuns == 0
}

// updateHealth updates the health of a run's runner when the run has ended.
func (c *Core) updateHealth(run *taskRun, kind ResultKind, now time.Duration) {
	h := &run.runner.health
	switch kind {
	case EndedDone:
		h.failures, h.stalledRuns, h.lastSuccessAt = 0, 0, now
	case EndedFailed:
		if h.lastFailedJob != run.job {
			h.failures++
		}
		h.lastFailedJob, h.lastFailedAt = run.job, now
		if h.failures >= avoidAfterFailures && c.mayAvoid(run.runner, now) {
			h.avoidUntil = max(h.avoidUntil, now+failureAvoidTime)
			c.counters("runners_distrusted", 1)
			c.log.WithFields(logrus.Fields{"runner": run.runner.ID, "failures": h.failures}).Warn("runner gets no new tasks for a while")
		}
	}
}

// mayAvoid reports whether a runner may be avoided in addition to the runners of its service
// that are avoided already.
func (c *Core) mayAvoid(r *runner, now time.Duration) bool {
	total, avoided := 0, 0
	for _, other := range c.runners {
		if other.Service != r.Service || !other.isInService() {
			continue
		}
		total++
		if other != r && other.health.isAvoided(now) {
			avoided++
		}
	}
	return runnersPerAvoided*(avoided+1) <= total
}
