package coordinator

import (
	"cmp"
	"time"

	"bergamotstile/jobs"
)

// Bounds of the order in which work is served.
const (
	// starveTime is how long nothing of a job may run while there is much room.
	starveTime = 1200 * time.Millisecond
	// hopeless is how late, in times of the objective, a job is no longer worth
	// anything to its client.
	hopeless = 3
)

// rank groups the steps of one priority.
type rank uint8

const (
	starved rank = iota // nothing of the job runs although there is much room
	onTime              // the job can still meet its objective
	late
	worthless
)

// precedence decides which of two steps or runs is served first: by priority,
// then those that can still meet their objective, the small ones first, then by
// slack. Long-running tasks that have not run yet come after work that ends:
// they hold what they get.
type precedence struct {
	priority int
	growth   int // 1 for long-running tasks that have not run yet
	rank     rank
	// effort is the estimated work left in a job that can still be on time: when
	// not all can, the most are if small ones go first. Late jobs go by slack, so
	// that large ones are not put off for good.
	effort int64
	slack  time.Duration
	job    jobs.ID
}

func (s precedence) compare(o precedence) int {
	switch {
	case s.priority != o.priority:
		return cmp.Compare(s.priority, o.priority)
	case s.growth != o.growth:
		return cmp.Compare(s.growth, o.growth)
	case s.rank != o.rank:
		return cmp.Compare(s.rank, o.rank)
	case s.effort != o.effort:
		return cmp.Compare(s.effort, o.effort)
	case s.slack != o.slack:
		return cmp.Compare(s.slack, o.slack)
	}
	return cmp.Compare(s.job, o.job)
}

// class groups those that share what is too little for all.
type class struct {
	priority int
	rank     rank
}

func (s precedence) class() class { return class{s.priority, max(onTime, s.rank)} }

// before reports whether the class is served first.
func (c class) before(o class) bool {
	return c.priority < o.priority || c.priority == o.priority && c.rank < o.rank
}

// precedenceAt works out where a step stands with the given slack.
func (w *openStep) precedenceAt(slack time.Duration) precedence {
	s := precedence{priority: w.job.queue.Priority, slack: slack, job: w.job.ID}
	if w.step.LongRunning && !w.job.started {
		s.growth = 1
	}
	switch {
	case w.starved:
		s.rank = starved
	case slack >= 0 || w.step.LongRunning:
		s.rank = onTime
	case slack >= -(hopeless-1)*w.job.allowedTime:
		s.rank = late
	default:
		s.rank = worthless
	}
	if s.rank == onTime && !w.step.LongRunning {
		s.effort = w.job.remainingCPUTimeMS
	}
	return s
}

// slack is what is left of the job's time after the estimated rest of its chain.
func (w *openStep) slack(store time.Duration) time.Duration {
	return w.job.objective - store - w.chainTime
}

// precedenceOf works out where a run stands now. What it has done counts.
func (c *Core) precedenceOf(x *taskRun) precedence {
	if x.openStep == nil {
		return precedence{rank: worthless, job: x.task.Job}
	}
	done := x.job.taskEstimates[x.task.Step] * time.Duration(x.percent) / fullPace
	return x.openStep.precedenceAt(x.openStep.slack(c.now+c.storeOffset) + done)
}

// starved reports whether nothing of a step's job has run for a while although
// most of the service is free. The tail of a backlog would else wait for the
// room that serving tasks leave, or for smaller jobs.
func (c *Core) starved(w *openStep, now time.Duration) bool {
	return !w.step.LongRunning && w.waitingSince > 0 && now-w.waitingSince > starveTime && len(w.job.runs) == 0 &&
		c.serviceReservations.of(w.job.queue.Service).mostlyFree()
}
