package maintenance

import (
	"maps"
	"slices"
	"time"
)

// phase is where a machine of a wave stands.
type phase uint8

const (
	waiting  phase = iota
	draining       // its runner takes no new tasks
	ordered        // the call may be sent or carried out: the machine counts as down
	begun          // the upkeep has begun; the machine counts as down
	over           // up again
	absent         // the platform knows no such machine
)

// member is a machine of a wave.
type member struct {
	machine string
	phase   phase
	// runner lived on the machine before its upkeep; empty if it isn't known.
	runner string
	// lastRunner is the one that a list has shown last.
	lastRunner string
	drainUntil time.Duration
	change     uint64 // of the order, see Planner.changes
	underWay   bool   // a call waits for its answer
	// doubtful is set if an attempt without an answer may still be carried out.
	doubtful bool
	retryAt  time.Duration
	// begunBy is when the upkeep has begun for certain.
	begunBy time.Duration
	// sawUpkeep is set once a list showed the upkeep.
	sawUpkeep bool
	// missingSince is since when lists lack the machine; zero if they don't.
	missingSince time.Duration
}

// counted reports whether the machine is or may be down for the wave.
func (m *member) counted() bool { return m.phase == ordered || m.phase == begun }

// settled reports whether the wave no longer waits for the machine.
func (m *member) settled() bool { return m.phase >= begun }

// wave is a requested wave and how far it has got.
type wave struct {
	Wave
	finishBy time.Duration
	members  map[string]*member
	status   Status
	// withdrawn is since when the wave is not among the requested ones; zero if
	// it is.
	withdrawn time.Duration
}

// open reports whether upkeep of the wave remains to be done.
func (w *wave) open() bool { return w.status != Completed }

// sorted returns the members in the order of their names.
func (w *wave) sorted() []*member {
	members := make([]*member, 0, len(w.members))
	for _, id := range slices.Sorted(maps.Keys(w.members)) {
		members = append(members, w.members[id])
	}
	return members
}

// update takes over a request. Machines that may be down stay members.
func (w *wave) update(requested Wave) {
	w.Wave = requested
	for _, id := range requested.Machines {
		if w.members[id] == nil {
			w.members[id] = &member{machine: id}
		}
	}
	maps.DeleteFunc(w.members, func(id string, m *member) bool {
		return !m.counted() && !slices.Contains(requested.Machines, id)
	})
}

// counts reports whether a machine of an open wave may be down.
func (w *wave) counts() bool {
	if !w.open() {
		return false
	}
	for _, m := range w.members {
		if m.counted() {
			return true
		}
	}
	return false
}
