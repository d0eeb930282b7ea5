package coordinator

import (
	"slices"
	"time"

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

// reserveCapacity reserves capacity on a runner for one task of a step.
func (c *Core) reserveCapacity(s *openStep, r *runner, now time.Duration) {
	r.reservations = append(r.reservations, reservation{s, now + reservationTime})
	s.reservationCount++
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
// runners, or whose step has ended or has fewer pending tasks than reservations.
func (c *Core) releaseStaleReservations(now time.Duration) {
	for _, r := range c.sortedRunners() {
		before := len(r.reservations)
		if before == 0 {
			continue
		}
		r.reservations = slices.DeleteFunc(r.reservations, func(res reservation) bool {
			stale := now >= res.expiry || !r.isUsable() || res.step.reservationCount > len(res.step.pending) || res.step.job.State.IsTerminal()
			if stale {
				res.step.reservationCount--
			}
			return stale
		})
		if len(r.reservations) < before {
			c.recordChange(r)
		}
	}
}
