package maintenance

import "time"

// Delays for reading machine lists.
const (
	// maxListLag bounds how far a machine list lags behind the state of the
	// machines.
	maxListLag = 2 * time.Second
	// sameRunnerMargin is an additional wait for the case that the lists have
	// shown neither the maintenance nor another runner: a runner may start
	// again under the same name.
	sameRunnerMargin = 5 * time.Second
	// minAbsence is how long a machine has to be missing from the lists before
	// the planner asks the platform whether it exists, and before its
	// maintenance counts as over.
	minAbsence = 3 * time.Second
)

// RecordMachineList records a complete machine list and the time at which it
// was requested. A list that was requested earlier than the last one is
// ignored.
func (p *Planner) RecordMachineList(machines []Machine, requestedAt time.Duration) {
	if requestedAt < p.listRequestedAt {
		return
	}
	p.listRequestedAt = requestedAt
	clear(p.listed)
	for _, m := range machines {
		p.listed[m.ID] = m
	}
	for _, w := range p.waves {
		for _, m := range w.progressByMachine {
			p.updateProgress(m, requestedAt)
		}
	}
}

// updateProgress updates the progress of a machine from the list that was just
// recorded.
func (p *Planner) updateProgress(m *machineProgress, requestedAt time.Duration) {
	entry, isListed := p.listed[m.machine]
	switch {
	case isListed:
		m.missingSince, m.lastRunner = 0, entry.Runner
	case m.missingSince == 0:
		m.missingSince = requestedAt
	}
	switch m.phase {
	case draining:
		// After a restart of the machine or its runner, the drain has to begin
		// again.
		if !isListed || entry.State != Up || entry.Runner != m.runner {
			m.phase = waiting
		}
	case absent:
		if isListed {
			m.phase = waiting
			p.changes++
		}
	case downOrdered:
		m.sawMaintenance = m.sawMaintenance || isListed && entry.State == UnderMaintenance
	case begun:
		m.sawMaintenance = m.sawMaintenance || isListed && entry.State == UnderMaintenance
		if p.isMaintenanceOver(m, entry, isListed, requestedAt) {
			m.phase = finished
			p.changes++
		}
	}
}

// isMaintenanceOver reports whether the list proves that a machine is no longer
// down for the maintenance that has begun. Since lists lag, another runner on
// the machine proves nothing by itself: it may have replaced the former runner
// before the maintenance began.
func (p *Planner) isMaintenanceOver(m *machineProgress, entry Machine, isListed bool, requestedAt time.Duration) bool {
	if !isListed {
		return requestedAt-m.missingSince >= minAbsence
	}
	if entry.State != Up {
		return false
	}
	hasNewRunner := m.runner != "" && entry.Runner != m.runner
	if hasNewRunner && m.sawMaintenance {
		return true
	}
	overAt := m.begunAtLatest + p.maintenanceTime + maxListLag
	if !hasNewRunner && !m.sawMaintenance && m.runner != "" {
		overAt += sameRunnerMargin
	}
	return requestedAt >= overAt
}
