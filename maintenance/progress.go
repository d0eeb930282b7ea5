package maintenance

import (
	"maps"
	"slices"
	"time"
)

// phase is how far the maintenance of a machine has got in a wave.
type phase uint8

const (
	waiting  phase = iota // no drain has started
	draining              // its runner takes no new tasks
	ordered               // the call may be sent or carried out; the machine counts as down
	begun                 // the maintenance has begun; the machine counts as down
	finished              // the machine is up again
	absent                // the platform does not know the machine
)

// member is one machine of a wave and its progress.
type member struct {
	machine string
	phase   phase
	// runner is the runner that was on the machine before its maintenance;
	// empty if it is not known.
	runner string
	// lastRunner is the runner that the last list with the machine showed on
	// it.
	lastRunner string
	// drainUntil is the end of the time that the running tasks are given before
	// the machine goes down.
	drainUntil   time.Duration
	orderChange  uint64 // number of the change that recorded the order, see Planner.changes
	callInFlight bool   // a call was sent and has no result yet
	// hasUnresolvedCall is set if an earlier call without an answer may still
	// be carried out.
	hasUnresolvedCall bool
	// retryAt is when the machine may be drained, ordered or called for again.
	retryAt time.Duration
	// begunBy is a time by which the maintenance had certainly begun.
	begunBy time.Duration
	// sawMaintenance is set once a list has shown the machine under
	// maintenance.
	sawMaintenance bool
	// missingSince is when the first list without the machine was requested;
	// zero if the last list contains the machine.
	missingSince time.Duration
}

// mayBeDown reports whether the machine is or may be down for the wave.
func (m *member) mayBeDown() bool { return m.phase == ordered || m.phase == begun }

// isSettled reports whether the wave no longer waits for the machine: its
// maintenance has begun, or the machine does not exist.
func (m *member) isSettled() bool { return m.phase >= begun }

// wave is a requested wave and its progress.
type wave struct {
	Wave
	finishBy time.Duration      // planned end of the wave
	members  map[string]*member // by machine ID
	status   Status
	// withdrawnAt is when the wave was first missing from the requested waves;
	// zero if it is requested.
	withdrawnAt time.Duration
}

// isOpen reports whether the wave is not completed.
func (w *wave) isOpen() bool { return w.status != Completed }

// sortedMembers returns the members ordered by machine ID.
func (w *wave) sortedMembers() []*member {
	members := make([]*member, 0, len(w.members))
	for _, id := range slices.Sorted(maps.Keys(w.members)) {
		members = append(members, w.members[id])
	}
	return members
}

// applyRequest adopts the current request for the wave. Machines that are no
// longer requested stay members while they may be down.
func (w *wave) applyRequest(requested Wave) {
	w.Wave = requested
	for _, id := range requested.Machines {
		if w.members[id] == nil {
			w.members[id] = &member{machine: id}
		}
	}
	maps.DeleteFunc(w.members, func(id string, m *member) bool {
		return !m.mayBeDown() && !slices.Contains(requested.Machines, id)
	})
}

// hasDownMachine reports whether the wave is open and one of its machines may
// be down.
func (w *wave) hasDownMachine() bool {
	if !w.isOpen() {
		return false
	}
	for _, m := range w.members {
		if m.mayBeDown() {
			return true
		}
	}
	return false
}
