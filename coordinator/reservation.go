package coordinator

import (
	"slices"
	"time"

	"bergamotstile/interference"
	"bergamotstile/structs"
)

// reservationTime is how long capacity stays reserved for work for which runs were stopped.
// It covers the stop and the report of the result, with a margin for calls that are
// repeated.
const reservationTime = 3 * time.Second

// reservation keeps free capacity on a runner for one task of a step.
type reservation struct {
	step   *openStep
	expiry time.Duration
	// leaving is the run that was stopped so that its task starts with the reserved capacity. It
	// is nil if the task waited when the capacity was reserved.
	leaving *taskRun
}

// awaitsStop reports whether the task for which capacity is reserved is not pending yet, because
// its stopped run has not ended.
func (res reservation) awaitsStop() bool {
	if res.leaving == nil {
		return false
	}
	_, exists := res.leaving.runner.runs[res.leaving]
	return exists
}

// excludes reports whether the step may not use the reserved capacity. More important work
// may use it.
func (res reservation) excludes(s *openStep) bool {
	return res.step != s && s.job.queue.Priority >= res.step.job.queue.Priority
}

// reservedForOthers returns the capacity on the runner that the step may not use because it
// is reserved for other steps.
func (r *runner) reservedForOthers(s *openStep) structs.Resources {
	var sum structs.Resources
	for _, res := range r.reservations {
		if res.excludes(s) {
			sum = sum.Add(res.step.step.Reserved())
		}
	}
	return sum
}

// countReservationsOf returns the number of the step's reservations on the runner.
func (r *runner) countReservationsOf(s *openStep) int {
	n := 0
	for _, res := range r.reservations {
		if res.step == s {
			n++
		}
	}
	return n
}

// hasUnreservedCapacityFor reports whether the runner has free capacity for one of the step's tasks
// beside what is reserved for others and for the step itself.
func (r *runner) hasUnreservedCapacityFor(s *openStep) bool {
	needed := multiplyResources(s.step.Reserved(), r.countReservationsOf(s)+1)
	return r.held.Add(r.reservedForOthers(s)).Add(needed).Fits(r.Capacity)
}

// reservedBestEffortMilli returns the processors, in thousandths, that the best-effort tasks ask
// for which have reservations on the runner and whose capacity the step may not use. It counts all
// such tasks if the step is nil. Best-effort tasks hold no processors, but they need idle ones.
func (r *runner) reservedBestEffortMilli(s *openStep) int64 {
	var sum int64
	for _, res := range r.reservations {
		if res.step.step.BestEffort && (s == nil || res.excludes(s)) {
			sum += res.step.step.Resources.CPUMilli
		}
	}
	return sum
}

// hasReservationOfImage reports whether capacity on the runner is reserved for a task of an image.
func (r *runner) hasReservationOfImage(kind interference.Kind) bool {
	return slices.ContainsFunc(r.reservations, func(res reservation) bool { return res.step.kind == kind })
}

// reserveCapacity reserves capacity on a runner for one pending task of a step.
func (c *Core) reserveCapacity(s *openStep, r *runner, now time.Duration) {
	c.addReservation(r, reservation{step: s, expiry: now + reservationTime})
}

// reserveForMove reserves capacity on a runner for the task of a run that was just stopped. It
// reserves none for a finite task beside which others of its step wait: these would take it.
func (c *Core) reserveForMove(run *taskRun, r *runner, now time.Duration) {
	s := run.openStep
	if s == nil || !s.step.LongRunning && len(s.pending) > 0 {
		return
	}
	c.addReservation(r, reservation{step: s, expiry: now + reservationTime, leaving: run})
}

func (c *Core) addReservation(r *runner, res reservation) {
	r.reservations = append(r.reservations, res)
	res.step.reservationCount++
	c.recordChange(r)
}

// useReservation releases one of the step's reservations on the runner, if there is any,
// after a task of the step has taken the capacity.
func (r *runner) useReservation(s *openStep) {
	i := slices.IndexFunc(r.reservations, func(res reservation) bool { return res.step == s })
	if i >= 0 {
		r.reservations = slices.Delete(r.reservations, i, i+1)
		s.reservationCount--
	}
}

// releaseReservations releases all reservations on a runner that is being removed.
func (r *runner) releaseReservations() {
	for _, res := range r.reservations {
		res.step.reservationCount--
	}
	r.reservations = nil
}

// releaseStaleReservations releases reservations that have expired, that are on unusable
// runners, or whose step has ended or has fewer tasks that are pending or being stopped than
// reservations.
func (c *Core) releaseStaleReservations(now time.Duration) {
	awaiting := c.countReservationsAwaitingStop()
	for _, r := range c.sortedRunners() {
		before := len(r.reservations)
		if before == 0 {
			continue
		}
		r.reservations = slices.DeleteFunc(r.reservations, func(res reservation) bool {
			s := res.step
			isSurplus := !res.awaitsStop() && s.reservationCount-awaiting[s] > len(s.pending)
			stale := now >= res.expiry || !r.isUsable() || isSurplus || s.job.State.IsTerminal()
			if !stale {
				return false
			}
			if res.awaitsStop() {
				awaiting[s]--
			}
			s.reservationCount--
			return true
		})
		if len(r.reservations) < before {
			c.recordChange(r)
		}
	}
}

// countReservationsAwaitingStop returns, by step, the number of reservations for tasks that are not
// pending yet.
func (c *Core) countReservationsAwaitingStop() map[*openStep]int {
	counts := map[*openStep]int{}
	for _, r := range c.runners {
		for _, res := range r.reservations {
			if res.awaitsStop() {
				counts[res.step]++
			}
		}
	}
	return counts
}
