package coordinator

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// Schedule orders the start of waiting tasks in the order of their precedence and, where
// preemption is allowed, the stop of less important runs. The time of day is given as the
// time since 1970.
func (c *Core) Schedule(now, timeOfDay time.Duration) {
	c.openDueOccurrences(now, timeOfDay)
	c.pruneWaiting()
	c.releaseStaleReservations(now)
	c.updateServiceReservations(now)
	c.failedSearches.rescansLeft = maxRescans
	c.newlyWaiting = c.newlyWaiting[:0]
	storeTime := now + c.storeOffset
	for _, s := range c.waitingSteps {
		s.starved = c.isStarved(s, now)
		s.precedence = s.precedenceWithSlack(s.slack(storeTime))
	}
	slices.SortFunc(c.waitingSteps, func(a, b *openStep) int { return a.precedence.compare(b.precedence) })
	blockedJobs := c.collectBlockedJobs()
	c.locality.startRound()
	var unplaced []*openStep
	for _, s := range c.waitingSteps {
		tasks := c.startableTasks(s)
		if len(tasks) == 0 {
			c.logWait(s, "a runner whose report is awaited may run the task, or may have ended it", now)
			continue
		}
		if blockedJobs[s.job.ID] {
			c.logWait(s, "an unknown run of the job has to end first", now)
			continue
		}
		if s.precedence.newLongRunning > 0 {
			allowed := c.serviceReservations.tryReserveForLongRunning(s, now)
			if allowed == 0 {
				// Plain work is neither serving nor best-effort.
				c.logWait(s, "capacity is reserved for plain work and displaced tasks", now)
				continue
			}
			tasks = tasks[:min(allowed, len(tasks))]
		}
		if s.waitingSince == 0 {
			s.waitingSince = now
		}
		if s.step.Gang {
			c.startGang(s, now)
			continue
		}
		start := c.startTasks
		if c.mayAwaitNearPlace(s) {
			start = c.startNearData
		}
		if !start(s, tasks, now) {
			unplaced = append(unplaced, s)
		}
	}
	c.yieldCopies(now)
	if c.limits.Preempt {
		c.preempt(unplaced, now)
	}
	c.pruneWaiting()
	c.startCopies(now)
}

// collectBlockedJobs returns the jobs for which no task may be started: a runner reports
// unexpected runs of them, which are being stopped, or results that wait until their job is
// known.
func (c *Core) collectBlockedJobs() map[jobs.ID]bool {
	var blockedJobs map[jobs.ID]bool
	for _, r := range c.runners {
		for _, id := range r.blockedJobs {
			if blockedJobs == nil {
				blockedJobs = map[jobs.ID]bool{}
			}
			blockedJobs[id] = true
		}
	}
	return blockedJobs
}

// pruneWaiting removes steps without pending tasks, or of ended jobs, from the waiting list.
func (c *Core) pruneWaiting() {
	c.waitingSteps = slices.DeleteFunc(c.waitingSteps, func(s *openStep) bool {
		s.isWaiting = len(s.pending) > 0 && !s.job.State.IsTerminal()
		if !s.isWaiting {
			s.waitingSince, s.reservationWait, s.displacedSince = 0, reservationWait{}, nil
			s.nearWaits, s.farPlace, s.gangWait = nil, nil, gangWait{}
		}
		return !s.isWaiting
	})
}

// startTasks orders the start of the given tasks of a step, as long as there is a runner for
// the next one, and reports whether there was one for each.
func (c *Core) startTasks(s *openStep, tasks []int, now time.Duration) bool {
	var search *runnerSearch
	var since uint64
	for i := 0; i < len(tasks); i++ {
		index := tasks[i]
		s.isLastAttempt = s.job.queue.MaxAttempts > 1 && s.job.Failures(s.taskID(index)) >= s.job.queue.MaxAttempts-1
		if !search.servesNextTask() {
			since = c.failedSearches.scanSince(s, now)
			search = c.searchRunners(s, now, nil, since, len(tasks)-i)
		}
		r := search.best
		if r == nil {
			c.failedSearches.record(s, since, c.changes.last, now)
			c.logNoRunner(s, now)
			c.requestAdvice(s, now)
			return false
		}
		if i == 0 {
			tasks = slices.Clone(tasks) // startTask removes the task from the pending ones
		}
		c.startTask(s, index, c.nextRunNumber(s, index), r, now)
		s.starved = false
		search.update(r)
	}
	return true
}

func (c *Core) nextRunNumber(s *openStep, index int) int {
	return s.job.Task(s.taskID(index)).LastRun + 1
}

func (s *openStep) taskID(index int) jobs.TaskID {
	return jobs.TaskID{Job: s.job.ID, Occurrence: s.occurrence, Step: s.index, Index: index}
}

// startTask orders the start of one task on a runner.
func (c *Core) startTask(s *openStep, index, number int, r *runner, now time.Duration) {
	id := s.taskID(index)
	task := s.job.Task(id)
	task.LastRun = number
	delete(s.hiddenEnds, index)
	run := &taskRun{endHiddenFromPredecessor: true, job: s.job, task: id, number: number, runner: r, step: s.step, kind: s.kind, lastOrderSettled: new(atomic.Bool), startAttempted: new(atomic.Bool), startedAt: now, pace: fullPace, precedence: s.precedence}
	if s.step.BestEffort {
		c.limitPaceForStart(r, s, now)
	}
	c.attachRun(run)
	c.locality.recordStart(run)
	if s.precedence.newLongRunning == 0 {
		c.serviceReservations.forService(r.Service).freeMilli -= float64(s.step.Reserved().CPUMilli)
	}
	r.domainReturn.count(1, now)
	r.useReservation(s)
	s.waitLogThrottle = logThrottle{}
	checkpoint := task.Checkpoint
	if !s.step.Checkpoints {
		checkpoint = ""
	}
	run.isResumed = checkpoint != ""
	c.orders = append(c.orders, Order{Kind: Start, Runner: r.ID, Incarnation: r.incarnation, Address: r.Address, Task: id, Run: number,
		Spec: s.job.Spec.Text, Checkpoint: checkpoint, Ticket: s.advice.tickets[r.ID].text, Settled: run.lastOrderSettled, Attempted: run.startAttempted})
	c.counters("starts", 1)
	c.log.WithFields(logrus.Fields{"task": id, "run": number, "runner": r.ID, "free_milli": r.Capacity.CPUMilli - r.held.CPUMilli}).Info("start ordered")
}
