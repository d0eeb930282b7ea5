package coordinator

import (
	"slices"
	"time"

	"bergamotstile/structs"
)

// claimTime is how long room is kept for work that running work was stopped for:
// the time that a stop and the report of its end take, with a margin for calls
// that are sent again.
const claimTime = 3 * time.Second

// claim keeps room on a runner for one task of a step.
type claim struct {
	work  *openStep
	until time.Duration
}

// binds reports whether the claim keeps its room from the step. More important
// work may take it.
func (k claim) binds(w *openStep) bool {
	return k.work != w && w.job.queue.Priority >= k.work.job.queue.Priority
}

// claimedFrom is the room on the runner that is kept for others than the step.
func (r *runner) claimedFrom(w *openStep) structs.Resources {
	var sum structs.Resources
	for _, k := range r.reservations {
		if k.binds(w) {
			sum = sum.Add(k.work.step.Reserved())
		}
	}
	return sum
}

// claimsOf counts the step's claims on the runner.
func (r *runner) claimsOf(w *openStep) int {
	n := 0
	for _, k := range r.reservations {
		if k.work == w {
			n++
		}
	}
	return n
}

// claimRoom keeps room on a runner for one task of a step.
func (c *Core) claimRoom(w *openStep, r *runner, now time.Duration) {
	r.reservations = append(r.reservations, claim{w, now + claimTime})
	w.reservationCount++
	c.changed(r)
}

// useClaim gives up a claim of the step on the runner, as a task has taken the
// room.
func (r *runner) useClaim(w *openStep) {
	at := slices.IndexFunc(r.reservations, func(k claim) bool { return k.work == w })
	if at >= 0 {
		r.reservations = slices.Delete(r.reservations, at, at+1)
		w.reservationCount--
	}
}

// forfeitClaims drops the claims on a runner that is forgotten.
func (r *runner) forfeitClaims() {
	for _, k := range r.reservations {
		k.work.reservationCount--
	}
	r.reservations = nil
}

// dropClaims frees what is kept for nobody any more: for work that has started
// elsewhere or ended, on runners that can't be used, or for too long.
func (c *Core) dropClaims(now time.Duration) {
	for _, r := range c.candidates() {
		before := len(r.reservations)
		if before == 0 {
			continue
		}
		r.reservations = slices.DeleteFunc(r.reservations, func(k claim) bool {
			drop := now >= k.until || !r.isUsable() || k.work.reservationCount > len(k.work.pending) || k.work.job.State.Terminal()
			if drop {
				k.work.reservationCount--
			}
			return drop
		})
		if len(r.reservations) < before {
			c.changed(r)
		}
	}
}
