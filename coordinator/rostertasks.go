package coordinator

import "time"

// addTasks adds to the line of a runner, whose expiry is stored, the tasks that may run there and the
// expiry of late calls. leaseExpiry is the local time at which every lease on the runner has expired.
func (coord *coordinator) addTasks(e *rosterEntry, leaseExpiry time.Duration, isAnswering bool) {
	e.lateCallExpiry = coord.storeTimes.convert(max(leaseExpiry, coord.ownLateCallExpiry(e.id)))
	tasks := coord.core.heldTasks.of(e.id)
	if coord.hasReported(e.id) {
		tasks = coord.tasksOn(e.id, leaseExpiry)
	}
	for i := range tasks {
		tasks[i].expiry = coord.storeTimes.convert(tasks[i].expiry)
	}
	e.tasks = &runnerTasks{tasks, coord.knowsAllTasks(e.id, isAnswering)}
}

// ownLateCallExpiry returns the local time at which the last lease on a runner has expired that a call
// without an answer, by this coordinator or a predecessor, can have granted.
func (coord *coordinator) ownLateCallExpiry(id string) time.Duration {
	var expiry time.Duration
	if coord.core.isInherited(id) || coord.core.heldTasks.hasRunner(id) {
		expiry = coord.lateCallExpiry(id)
	}
	if l := coord.links[id]; l != nil {
		expiry = max(expiry, l.lateCallExpiry())
	}
	return expiry
}

// storedFencedProcess returns the process of a runner that refuses misdirected calls, as far as this
// coordinator or, if the runner has not answered it, its predecessor knows.
func (coord *coordinator) storedFencedProcess(id string) fencedProcess {
	process, ok := coord.fencedProcesses[id]
	if l := coord.links[id]; l != nil && coord.hasReported(id) {
		process, ok = l.fencedProcess()
	}
	if !ok {
		return fencedProcess{}
	}
	return fencedProcess{process.incarnation, coord.storeTimes.convert(process.expiry)}
}

// lateCallExpiry returns the local time at which the last lease on the runner has expired that a call
// of this coordinator can have granted, or zero if it has granted none.
func (l *link) lateCallExpiry() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.delayedStarts.lastGrantAt == 0 {
		return 0
	}
	return misdirectedExpiry(l.delayedStarts.lastGrantAt+maxCallDelay, l.coordinator.env.MaxLeaseDuration)
}

// hasReported reports whether a runner has reported to this coordinator.
func (coord *coordinator) hasReported(id string) bool {
	r := coord.core.runners[id]
	return r != nil && r.hasReported
}

// knowsAllTasks reports whether this coordinator knows each task that may run on a runner which is
// granted no leases: by the runner's reports, or by the roster of a predecessor and its expiries if
// the runner has not answered.
func (coord *coordinator) knowsAllTasks(id string, isAnswering bool) bool {
	if coord.hasReported(id) {
		return coord.knowsAllRuns(id)
	}
	_, isUnresolved := coord.core.unresolved[id]
	return !isUnresolved && !isAnswering && !coord.hasAnswered(id)
}

// tasksOn returns the tasks that may run on a runner that has reported, and until when. leaseExpiry is
// the local time at which every lease there has expired.
func (coord *coordinator) tasksOn(id string, leaseExpiry time.Duration) []heldTask {
	var held heldTasks
	for run := range coord.core.runners[id].runs {
		kind := heldRunning
		if run.state != stateRunning && run.progressedAt == 0 {
			kind = heldUnconfirmed
		}
		held.add(id, heldTask{run.task, kind, max(leaseExpiry, coord.core.delayedStartRuns[run])})
	}
	if l := coord.links[id]; l != nil {
		for task, expiry := range l.delayedStartExpiries() {
			held.add(id, heldTask{task, heldDelayed, expiry})
		}
	}
	return held.of(id)
}

// inheritTasks takes over what the line of a runner says of its tasks and of late calls. No time is
// taken to be later than maxExpiry. It reports whether each task that may run there is known.
func (coord *coordinator) inheritTasks(e rosterEntry, maxExpiry time.Duration) (isComplete bool) {
	if e.fenced.incarnation != 0 {
		if expiry, ok := coord.inheritTime(e.fenced.expiry, maxExpiry); ok {
			coord.fencedProcesses[e.id] = fencedProcess{e.fenced.incarnation, expiry}
		}
	}
	if _, isRecorded := coord.recordedExpiries[e.id]; !isRecorded {
		return false
	}
	if expiry, ok := coord.inheritTime(e.lateCallExpiry, maxExpiry); ok {
		coord.lateCallExpiries[e.id] = expiry
	}
	if e.tasks == nil {
		return false
	}
	for _, held := range e.tasks.tasks {
		expiry, ok := coord.inheritTime(held.expiry, maxExpiry)
		if !ok {
			return false
		}
		coord.core.HoldTask(e.id, heldTask{held.task, held.kind, expiry})
	}
	return e.tasks.isComplete
}

// inheritTime returns the local time for a stored time, which is zero if there is none, and whether it
// is known.
func (coord *coordinator) inheritTime(stored, maxExpiry time.Duration) (local time.Duration, ok bool) {
	if stored == 0 {
		return 0, false
	}
	local, ok = coord.localTimeAfter(stored)
	return min(local, maxExpiry), ok
}

// lateCallExpiry returns the local time at which the last lease on a runner has expired that a call of a
// predecessor without an answer can have granted. If no predecessor has stored it, the last one may
// have sent such calls for as long as it could act.
func (coord *coordinator) lateCallExpiry(id string) time.Duration {
	expiry, ok := coord.lateCallExpiries[id]
	if !ok {
		expiry = misdirectedExpiry(max(coord.takenOverAt, coord.predecessor.actingUntil)+maxCallDelay, coord.env.MaxLeaseDuration)
		coord.lateCallExpiries[id] = expiry
	}
	return expiry
}

// storeTimes converts local times to the store's clock for the roster. It keeps the result for a time
// that the roster before it has too: a new one would differ a little and cause a write.
type storeTimes struct {
	bounds            func(local time.Duration) (earliest, latest time.Duration, known bool)
	previous, present map[time.Duration]time.Duration
}

// beginRoster begins the conversions for another roster.
func (s *storeTimes) beginRoster(bounds func(local time.Duration) (earliest, latest time.Duration, known bool)) {
	s.bounds = bounds
	s.previous, s.present = s.present, map[time.Duration]time.Duration{}
}

// convert returns the latest time on the store's clock that a local time may be, or zero if it is not
// known.
func (s *storeTimes) convert(local time.Duration) time.Duration {
	if stored, ok := s.previous[local]; ok {
		s.present[local] = stored
		return stored
	}
	_, latest, known := s.bounds(local)
	if !known {
		return 0
	}
	s.present[local] = latest
	return latest
}
