package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/structs"
)

// Bounds of reservations for displaced tasks: tasks of long-running steps of begun jobs that
// have lost their runner and find no runner with enough free capacity. Without reservations,
// smaller tasks take the capacity piece by piece as it becomes free, and a displaced task that
// asks for more than one of them waits for as long as there is a backlog.
const (
	// displacedWait is how long a displaced task waits before capacity is reserved for it.
	displacedWait = 300 * time.Millisecond
	// displacedInterval is the least time between two decisions on reservations, since each
	// one examines the runs of the service.
	displacedInterval = 100 * time.Millisecond
	// maxDisplacedLead bounds the time until the reserved capacity is expected to be free.
	maxDisplacedLead = 5 * time.Second
	// maxDisplacedReservations bounds the reservations of one decision.
	maxDisplacedReservations = 16
)

// reserveForDisplaced reserves capacity for displaced tasks among the steps that found no
// runner, in the order of the steps' precedence. Each task gets the runner whose running work
// is expected to leave room for it first.
func (c *Core) reserveForDisplaced(unplaced []*openStep, now time.Duration) {
	if now < c.nextDisplacedReservation {
		return
	}
	c.nextDisplacedReservation = now + displacedInterval
	left := maxDisplacedReservations
	for _, s := range unplaced {
		if !s.isDisplaced(now) {
			continue
		}
		for left > 0 && s.reservationCount < len(s.pending) {
			r, lead := c.earliestRoom(s, now)
			if r == nil {
				break
			}
			c.reserveCapacity(s, r, now)
			c.counters("displaced_reservations", 1)
			c.log.WithFields(logrus.Fields{"job": s.job.ID, "step": s.index, "runner": r.ID, "free_in_ms": lead.Milliseconds()}).Info("capacity reserved for a displaced task")
			left--
		}
	}
}

// isDisplaced reports whether the step's pending tasks are displaced and have waited for
// displacedWait.
func (s *openStep) isDisplaced(now time.Duration) bool {
	return s.step.LongRunning && s.job.started && !s.step.Gang && !s.step.BestEffort && now-s.waitingSince >= displacedWait
}

// earliestRoom returns the runner on which the capacity for one more task of the step is
// expected to be free first, and in how long. It returns nil if that takes longer than
// maxDisplacedLead everywhere.
func (c *Core) earliestRoom(s *openStep, now time.Duration) (*runner, time.Duration) {
	var best *runner
	bestLead := time.Duration(math.MaxInt64)
	for _, r := range c.sortedRunners() {
		if c.findObstacle(s, r, now) != noFreeCapacity || !s.isPermitted(r, now) {
			continue
		}
		if s.step.MaxPerRunner > 0 && s.runsByRunner[r]+r.countReservationsOf(s) >= s.step.MaxPerRunner {
			continue
		}
		if lead := r.timeUntilRoom(s, now); lead <= maxDisplacedLead && lead < bestLead {
			best, bestLead = r, lead
		}
	}
	return best, bestLead
}

// timeUntilRoom returns how long it is expected to take until the runs that end by themselves
// leave room on the runner for one more task of the step beside all reservations.
func (r *runner) timeUntilRoom(s *openStep, now time.Duration) time.Duration {
	needed := r.held.Add(s.step.Reserved())
	for _, res := range r.reservations {
		needed = needed.Add(res.step.step.Reserved())
	}
	missing := needed.Sub(r.Capacity)
	var freed structs.Resources
	if missing.Fits(freed) {
		return 0
	}
	for _, end := range r.expectedEnds(now) {
		freed = freed.Add(end.freed)
		if missing.Fits(freed) {
			return end.in
		}
	}
	return math.MaxInt64
}

// expectedEnd is the capacity that a run is expected to free, and in how long.
type expectedEnd struct {
	in    time.Duration
	freed structs.Resources
}

// expectedEnds returns the expected ends of the runner's runs that end by themselves or are
// being stopped, the earliest first.
func (r *runner) expectedEnds(now time.Duration) []expectedEnd {
	ends := make([]expectedEnd, 0, len(r.runs))
	for run := range r.runs {
		if run.endsWithin(maxDisplacedLead, now) {
			left := time.Duration(0)
			if run.state != stateStopping {
				left = max(0, run.timeLeft(now))
			}
			ends = append(ends, expectedEnd{left, run.step.Reserved()})
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.in, b.in) })
	return ends
}
