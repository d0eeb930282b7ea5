package maintenance

import (
	"maps"
	"slices"
	"time"
)

// phase says how far the maintenance of a machine in a wave has got.
type phase uint8

const (
	waiting     phase = iota // no drain is under way
	draining                 // its runner takes no new tasks
	downOrdered              // the planner has ordered the maintenance: the call may be sent or carried out, and the machine counts as down
	begun                    // the maintenance has begun; the machine counts as down
	finished                 // the machine is up again
	absent                   // the platform does not know the machine
)

// machineProgress is the progress of the maintenance of one machine in a wave.
type machineProgress struct {
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
	drainUntil        time.Duration
	orderChangeNumber uint64 // number of the change to downOrdered, see Planner.changes; the call is sent once that change is recorded
	callInFlight      bool   // a call was sent and has no result yet
	// hasUnresolvedCall is set if an earlier call without an answer may still
	// be carried out.
	hasUnresolvedCall bool
	// retryAt is the earliest time at which a drain may start, the maintenance may be ordered, or
	// the call may be sent again.
	retryAt time.Duration
	// begunAtLatest is an upper bound of the time at which the maintenance began: when the result
	// of the call was recorded or, for a machine from a predecessor's record, when the record was
	// restored.
	begunAtLatest time.Duration
	// sawMaintenance is set once a list has shown the machine under
	// maintenance.
	sawMaintenance bool
	// missingSince is when the first list without the machine was requested;
	// zero if the last list contains the machine.
	missingSince time.Duration
}

// mayBeDown reports whether the machine is or may be down for the wave.
func (m *machineProgress) mayBeDown() bool { return m.phase == downOrdered || m.phase == begun }

// isSettled reports whether the wave can be completed without waiting for the machine: its
// maintenance has begun or is over, or the machine does not exist.
func (m *machineProgress) isSettled() bool { return m.phase >= begun }

// wave is a wave that is or was requested, and its progress.
type wave struct {
	Wave
	finishBy          time.Duration               // planned end of the wave
	progressByMachine map[string]*machineProgress // by machine ID
	status            Status
	// withdrawnAt is when the wave was first missing from the requested waves;
	// zero if it is requested.
	withdrawnAt time.Duration
}

// isOpen reports whether the wave is not completed.
func (w *wave) isOpen() bool { return w.status != Completed }

// sortedProgress returns the progress of the wave's machines, sorted by machine ID.
func (w *wave) sortedProgress() []*machineProgress {
	sorted := make([]*machineProgress, 0, len(w.progressByMachine))
	for _, id := range slices.Sorted(maps.Keys(w.progressByMachine)) {
		sorted = append(sorted, w.progressByMachine[id])
	}
	return sorted
}

// applyRequest adopts the current request for the wave. The progress of a machine that is no
// longer requested is kept while the machine may be down.
func (w *wave) applyRequest(requested Wave) {
	w.Wave = requested
	for _, id := range requested.Machines {
		if w.progressByMachine[id] == nil {
			w.progressByMachine[id] = &machineProgress{machine: id}
		}
	}
	maps.DeleteFunc(w.progressByMachine, func(id string, m *machineProgress) bool {
		return !m.mayBeDown() && !slices.Contains(requested.Machines, id)
	})
}

// hasDownMachine reports whether the wave is open and one of its machines may
// be down.
func (w *wave) hasDownMachine() bool {
	if !w.isOpen() {
		return false
	}
	for _, m := range w.progressByMachine {
		if m.mayBeDown() {
			return true
		}
	}
	return false
}
