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

// rank groups waiting steps of one priority.
type rank uint8

const (
	starved rank = iota // nothing of the job runs although there is much room
	onTime              // the job can still meet its objective
	late
	worthless
)

func (w *work) rank() rank {
	switch {
	case w.starved:
		return starved
	case w.slack >= 0 || w.step.LongRunning:
		return onTime
	case w.slack >= -(hopeless-1)*w.job.allowed:
		return late
	}
	return worthless
}

// growth is 1 for long-running tasks that have not run yet, otherwise 0.
func (w *work) growth() int {
	if w.step.LongRunning && !w.job.begun {
		return 1
	}
	return 0
}

// effort is the estimated work left in a job that can still be on time: when
// not all can, the most are if small ones go first. Late jobs go by slack, so
// that large ones are not put off for good.
func (w *work) effort() int64 {
	if w.rank() != onTime || w.step.LongRunning {
		return 0
	}
	return w.job.left
}

// starved reports whether nothing of a step's job has run for a while although
// most of the service is free. The tail of a backlog would else wait for the
// room that serving tasks leave, or for smaller jobs.
func (c *Core) starved(w *work, now time.Duration) bool {
	return !w.step.LongRunning && w.since > 0 && now-w.since > starveTime && len(w.job.runs) == 0 &&
		c.reserves.of(w.job.queue.Service).mostlyFree()
}

// order says which of two waiting steps is served first: by priority, then
// those that can still meet their objective, the small ones first, then by
// slack. Long-running tasks that have not run yet come after work that ends:
// they hold what they get.
func order(a, b *work) int {
	return cmp.Or(
		cmp.Compare(a.job.queue.Priority, b.job.queue.Priority),
		cmp.Compare(a.growth(), b.growth()),
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(a.effort(), b.effort()),
		cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.job.ID, b.job.ID),
	)
}

// chainFrom is the estimated run time of the longest chain of steps that begins
// with a step.
func chainFrom(s *jobs.Spec, first int) time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	ends[first] = s.Steps[first].Estimate
	longest := ends[first]
	for i := first + 1; i < len(s.Steps); i++ {
		for _, before := range s.Steps[i].After {
			if ends[before] > 0 {
				ends[i] = max(ends[i], ends[before]+s.Steps[i].Estimate)
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}
