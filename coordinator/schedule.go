package coordinator

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// Schedule orders the start of tasks whose turn has come and, where preemption is allowed,
// the stop of less important runs. The time of day is given as the time since 1970.
func (c *Core) Schedule(now, timeOfDay time.Duration) {
	c.openDueOccurrences(timeOfDay)
	c.pruneWaiting()
	c.releaseStaleReservations(now)
	c.updateServiceReservations(now)
	storeTime := now + c.storeOffset
	for _, w := range c.waitingSteps {
		w.starved = c.isStarved(w, now)
		w.precedence = w.precedenceWithSlack(w.slack(storeTime))
	}
	slices.SortFunc(c.waitingSteps, func(a, b *openStep) int { return a.precedence.compare(b.precedence) })
	strayJobs := c.jobsWithStrayRuns()
	var blocked []*openStep
	for _, w := range c.waitingSteps {
		tasks := c.startableTasks(w)
		if len(tasks) == 0 {
			c.logWait(w, "runners of the predecessor are not resolved", now)
			continue
		}
		if strayJobs[w.job.ID] {
			c.logWait(w, "an unknown run of the job has to end first", now)
			continue
		}
		if w.precedence.newLongRunning > 0 && !c.serviceReservations.allowLongRunning(w) {
			c.logWait(w, "capacity is reserved for plain work", now)
			continue
		}
		if w.waitingSince == 0 {
			w.waitingSince = now
		}
		if w.step.Gang {
			c.startGang(w, now)
			continue
		}
		if !c.startTasks(w, tasks, now) {
			blocked = append(blocked, w)
		}
	}
	if c.limits.Preempt {
		c.preempt(blocked, now)
	}
	c.pruneWaiting()
}

// jobsWithStrayRuns returns the jobs of which a runner reports runs that are not known here
// and are being stopped, or results that wait until their job is known.
func (c *Core) jobsWithStrayRuns() map[jobs.ID]bool {
	var strayJobs map[jobs.ID]bool
	for _, r := range c.runners {
		for _, id := range r.blockedJobs {
			if strayJobs == nil {
				strayJobs = map[jobs.ID]bool{}
			}
			strayJobs[id] = true
		}
	}
	return strayJobs
}

// openDueOccurrences opens the occurrences of scheduled jobs that are due.
func (c *Core) openDueOccurrences(timeOfDay time.Duration) {
	for _, j := range c.scheduledJobs {
		c.openJobOccurrences(j, timeOfDay)
	}
}

// pruneWaiting removes steps without pending tasks, or of ended jobs, from the waiting list.
func (c *Core) pruneWaiting() {
	c.waitingSteps = slices.DeleteFunc(c.waitingSteps, func(w *openStep) bool {
		w.isWaiting = len(w.pending) > 0 && !w.job.State.Terminal()
		if !w.isWaiting {
			w.waitingSince = 0
		}
		return !w.isWaiting
	})
}

// startTasks orders the start of the given tasks of a step, as long as there is a runner for
// the next one, and reports whether there was one for each.
func (c *Core) startTasks(w *openStep, tasks []int, now time.Duration) bool {
	for i := 0; i < len(tasks); i++ {
		index := tasks[i]
		w.isLastAttempt = w.job.queue.MaxAttempts > 1 && w.job.Failures(w.taskID(index)) >= w.job.queue.MaxAttempts-1
		since := c.failedSearches.scanSince(w, now)
		r := c.pickRunner(w, now, nil, since)
		if r == nil {
			c.failedSearches.record(w, since, c.changes.last, now)
			c.logNoRunner(w, now)
			c.requestAdvice(w, now)
			return false
		}
		if i == 0 {
			tasks = slices.Clone(tasks) // startTask removes the task from the pending ones
		}
		c.startTask(w, index, c.nextRunNumber(w, index), r, now)
		w.starved = false
	}
	return true
}

func (c *Core) nextRunNumber(w *openStep, index int) int {
	return w.job.Task(w.taskID(index)).LastRun + 1
}

func (w *openStep) taskID(index int) jobs.TaskID {
	return jobs.TaskID{Job: w.job.ID, Occurrence: w.occurrence, Step: w.index, Index: index}
}

// startTask orders the start of one task on a runner.
func (c *Core) startTask(w *openStep, index, number int, r *runner, now time.Duration) {
	id := w.taskID(index)
	t := w.job.Task(id)
	t.LastRun = number
	delete(w.hiddenEnds, index)
	x := &taskRun{hiddenFromPredecessor: true, job: w.job, task: id, number: number, runner: r, step: w.step, kind: w.kind, settled: new(atomic.Bool), startedAt: now, pace: fullPace, precedence: w.precedence}
	if w.step.BestEffort {
		c.limitPaceForStart(r, w, now)
	}
	c.attachRun(x)
	r.useReservation(w)
	w.waitLog = logThrottle{}
	saved := t.Checkpoint
	if !w.step.Checkpoints {
		saved = ""
	}
	c.orders = append(c.orders, Order{Kind: Start, Runner: r.ID, Address: r.Address, Task: id, Run: number,
		Spec: w.job.Spec.Text, Checkpoint: saved, Ticket: w.advice.tickets[r.ID].text, Settled: x.settled})
	c.counters("starts", 1)
	c.log.WithFields(logrus.Fields{"task": id, "run": number, "runner": r.ID, "free_milli": r.Capacity.CPUMilli - r.held.CPUMilli}).Info("start ordered")
}
