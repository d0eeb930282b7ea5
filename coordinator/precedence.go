package coordinator

import (
	"cmp"
	"time"

	"bergamotstile/jobs"
)

// Bounds that decide about the rank of a step.
const (
	// starvationTime is how long no task of a job may run while more than largeFreeShare of the
	// service's capacity is free.
	starvationTime = 1200 * time.Millisecond
	// farTooLateFactor is the multiple of the time from acceptance to objective after which the
	// completion of a job is not worth anything to its client any more.
	farTooLateFactor = 3
	// maxRetryTasks is the largest number of pending tasks with which a late step counts as a
	// retry. It bounds the work that passes other late work.
	maxRetryTasks = 4
)

// rank orders the steps of one priority. Lower ranks are served first.
type rank uint8

const (
	rankStarved    rank = iota // no task of the job has run for a while although a large share of the capacity is free
	rankOnTime                 // the job can still meet its objective, or the step is long-running
	rankRetry                  // the job will miss its objective, and the step waits only to repeat a few failed tasks
	rankLate                   // the job will miss its objective
	rankFarTooLate             // the job will end so late that its completion is worth nothing
)

// precedence decides which of two steps or runs is served first. It orders by priority, then
// by newLongRunning, rank, remaining processor time and slack. Long-running steps of jobs
// that have not begun come after the other work of their priority, since they keep the
// capacity that they get.
type precedence struct {
	priority       int
	newLongRunning int // 1 for long-running steps of jobs that have not begun, else 0
	rank           rank
	// remainingCPUTimeMS is the estimated processor time, in milliseconds, of the tasks that
	// are not done in a job that can still be on time, else zero. If not all such jobs can be
	// on time, most will be if the small ones go first. Late jobs are ordered by slack
	// instead, so that large ones are not put off for good.
	remainingCPUTimeMS int64
	slack              time.Duration
	job                jobs.ID
}

func (p precedence) compare(other precedence) int {
	switch {
	case p.priority != other.priority:
		return cmp.Compare(p.priority, other.priority)
	case p.newLongRunning != other.newLongRunning:
		return cmp.Compare(p.newLongRunning, other.newLongRunning)
	case p.rank != other.rank:
		return cmp.Compare(p.rank, other.rank)
	case p.remainingCPUTimeMS != other.remainingCPUTimeMS:
		return cmp.Compare(p.remainingCPUTimeMS, other.remainingCPUTimeMS)
	case p.slack != other.slack:
		return cmp.Compare(p.slack, other.slack)
	}
	return cmp.Compare(p.job, other.job)
}

// paceClass groups the best-effort tasks that share processors in proportion to what they
// ask for. Tasks of an earlier class get processors first.
type paceClass struct {
	priority int
	rank     rank
}

// paceClass returns the class of a step or run. Steps of starved jobs are in the class of
// those that can be on time.
func (p precedence) paceClass() paceClass { return paceClass{p.priority, max(rankOnTime, p.rank)} }

// isBefore reports whether the class is served before the other one.
func (c paceClass) isBefore(other paceClass) bool {
	return c.priority < other.priority || c.priority == other.priority && c.rank < other.rank
}

// precedenceWithSlack returns the precedence of a step that has the given slack.
func (s *openStep) precedenceWithSlack(slack time.Duration) precedence {
	p := precedence{priority: s.job.queue.Priority, slack: slack, job: s.job.ID}
	if s.step.LongRunning && !s.job.started {
		p.newLongRunning = 1
	}
	switch {
	case s.starved:
		p.rank = rankStarved
	case slack >= 0 || s.step.LongRunning:
		p.rank = rankOnTime
	case s.isRetry():
		p.rank = rankRetry
	case slack >= -(farTooLateFactor-1)*s.job.allowedTime:
		p.rank = rankLate
	default:
		p.rank = rankFarTooLate
	}
	if p.rank == rankOnTime && !s.step.LongRunning {
		p.remainingCPUTimeMS = s.job.remainingCPUTimeMS
	}
	return p
}

// isRetry reports whether the step waits only to repeat a few failed tasks. Such a step passes
// other late work. Its job may fail in each attempt, and would else wait behind a whole
// backlog for each of them before its client learns that it can't be done.
func (s *openStep) isRetry() bool {
	if len(s.pending) == 0 || len(s.pending) > maxRetryTasks {
		return false
	}
	for _, index := range s.pending {
		if s.job.Failures(s.taskID(index)) == 0 {
			return false
		}
	}
	return true
}

// slack returns the time that would be left until the job's objective if the longest chain
// of steps from this one on began at the given time of the store's clock.
func (s *openStep) slack(now time.Duration) time.Duration { return s.job.objective - now - s.chainTime }

// precedenceOfRun returns the present precedence of a run. The work that the run has done
// increases its slack. A run whose step was not open when the run was attached gets the rank
// rankFarTooLate.
func (c *Core) precedenceOfRun(run *taskRun) precedence {
	if run.openStep == nil {
		return precedence{rank: rankFarTooLate, job: run.task.Job}
	}
	done := run.job.taskEstimates[run.task.Step] * time.Duration(run.percent) / fullPace
	return run.openStep.precedenceWithSlack(run.openStep.slack(c.now+c.storeOffset) + done)
}

// isStarved reports whether the step has waited for longer than starvationTime and no task of
// its job runs although more than largeFreeShare of the service's capacity is free.
// Long-running steps are never starved, nor are those that wait for a near place. Without this rule, the last jobs of a backlog would wait
// for the capacity that serving tasks do not use, or for smaller jobs.
func (c *Core) isStarved(s *openStep, now time.Duration) bool {
	return !s.step.LongRunning && !s.awaitsNearPlace(now) && s.waitingSince > 0 && now-s.waitingSince > starvationTime && len(s.job.runs) == 0 &&
		c.serviceReservations.forService(s.job.queue.Service).hasMuchFree()
}
