package coordinator

import (
	"errors"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// A start that had no answer may be carried out seconds later. If its runner has restarted
// meanwhile, and has answered no call since, the new process has seen no fencing token and its
// clock is not the one by which the deadline of the start was computed. The run then holds a lease
// of the longest duration from the arrival of the start, while the leases that were granted to the
// earlier process have long expired. So a task of which a start had no answer, although the runner
// answered a call after that, stays on a lost runner until such a run has ended for certain. All
// other tasks of the runner are started elsewhere as soon as the leases of the earlier process have
// expired. They include those of which a start was sent after the last answer: most likely it went
// to a runner that was lost already, and a longer wait would keep work from an idle fleet.

// delayedStarts tracks the starts without an answer of one runner.
type delayedStarts struct {
	// lastGrantAt is when the last call that extends leases was sent. Carried out late, such a
	// call extends the lease of any run on the runner.
	lastGrantAt time.Duration
	// sentAt is when the attempts without an answer to start each task were sent.
	sentAt map[jobs.TaskID][]time.Duration
}

// record records that an attempt to start a task had no answer. It forgets the attempts that no
// process can carry out any more which started after lastAnswer, when the runner last answered.
func (d *delayedStarts) record(task jobs.TaskID, sentAt, lastAnswer time.Duration) {
	if d.sentAt == nil {
		d.sentAt = map[jobs.TaskID][]time.Duration{}
	}
	maps.DeleteFunc(d.sentAt, func(_ jobs.TaskID, attempts []time.Duration) bool {
		return attempts[len(attempts)-1]+maxCallDelay < lastAnswer
	})
	d.sentAt[task] = append(d.sentAt[task], sentAt)
}

// lastBefore returns the last of the times, which are in ascending order, that is not after a limit.
func lastBefore(times []time.Duration, limit time.Duration) (last time.Duration, ok bool) {
	for _, at := range times {
		if at <= limit {
			last, ok = at, true
		}
	}
	return last, ok
}

// expiries returns, for each task whose start may have been carried out by a process that started
// after lastAnswer, the local time by which that run has ended for certain.
func (d *delayedStarts) expiries(lastAnswer, maxLease time.Duration) map[jobs.TaskID]time.Duration {
	var expiries map[jobs.TaskID]time.Duration
	for task, attempts := range d.sentAt {
		at, ok := lastBefore(attempts, lastAnswer)
		if !ok || at+maxCallDelay < lastAnswer {
			continue
		}
		if expiries == nil {
			expiries = map[jobs.TaskID]time.Duration{}
		}
		expiries[task] = misdirectedExpiry(max(at, d.lastGrantAt)+maxCallDelay, maxLease)
	}
	return expiries
}

// extendLeases extends the leases on the runner until a local time and returns their deadline on
// the runner's clock. The caller sends the deadline at once, and holds mu.
func (l *link) extendLeases(until time.Duration) time.Duration {
	l.delayedStarts.lastGrantAt = l.coordinator.env.Clock()
	return l.lease.extend(until)
}

// recordUnansweredOrder records that an attempt to send an order failed with an error: a new
// process of the runner may have started, and may carry the attempt out unless it was not sent.
func (l *link) recordUnansweredOrder(order Order, sentAt time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mayHaveRestarted = true
	if order.Kind == Start && !errors.Is(err, ErrNotSent) {
		l.delayedStarts.record(order.Task, sentAt, l.lastAnswerAt)
	}
}

// delayedStartExpiries returns, for each task that a process of the silent runner may run because
// of a start without an answer, the local time by which that run has ended for certain.
func (l *link) delayedStartExpiries() map[jobs.TaskID]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delayedStarts.expiries(l.lastAnswerAt, l.coordinator.env.MaxLeaseDuration)
}

// HoldDelayedStarts keeps the runs of the given tasks on a lost runner beyond the expiry of the
// leases there: each until the given time, or until the runner reports. Tasks of which several
// runs may be in progress are left out.
func (c *Core) HoldDelayedStarts(id string, expiries map[jobs.TaskID]time.Duration, now time.Duration) {
	r := c.runners[id]
	if r == nil {
		return
	}
	for run := range r.runs {
		expiry, delayed := expiries[run.task]
		if !delayed || expiry <= now || run.step.Speculative {
			continue
		}
		c.delayedStartRuns[run] = expiry
		c.counters("runs_held", 1)
		c.log.WithFields(logrus.Fields{"task": run.task, "run": run.number, "runner": id, "left_ms": (expiry - now).Milliseconds()}).
			Warn("a start without an answer may still be carried out")
	}
}

// ForgetAnsweredStarts ends the hold of runs that have ended otherwise, and of those whose runner has
// answered again, as hasAnswered tells: new leases may have been granted there, and the runner's
// reports say what runs.
func (c *Core) ForgetAnsweredStarts(hasAnswered func(runnerID string) bool) {
	for run := range c.delayedStartRuns {
		_, exists := run.runner.runs[run]
		if !exists || hasAnswered(run.runner.ID) {
			delete(c.delayedStartRuns, run)
		}
	}
}

// ExpireDelayedStarts removes the runs that were held for a start without an answer and have ended
// for certain. Their tasks become pending again. Like ResolveExpiredRunners, it must be called only
// while no successor can have extended leases, and after ForgetAnsweredStarts.
func (c *Core) ExpireDelayedStarts(now time.Duration) {
	for run, expiry := range c.delayedStartRuns {
		if now <= expiry {
			continue
		}
		delete(c.delayedStartRuns, run)
		c.removeLostRun(run, now, "delayed start expired")
		c.recordExpiredTask(run.runner.ID, run.task)
		c.removeIfGone(run.runner)
	}
}

// releaseDelayedStarts ends the hold of the runs and tasks of a runner that reports and refuses all
// calls to its earlier processes: its reports say which of them exist.
func (c *Core) releaseDelayedStarts(r *runner) {
	c.heldTasks.releaseRunner(r.ID)
	maps.DeleteFunc(c.delayedStartRuns, func(run *taskRun, _ time.Duration) bool { return run.runner == r })
}
