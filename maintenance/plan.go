package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times of drains and of the maintenance of groups. A group is up to MaxDown
// machines of a wave that are down for maintenance at the same time.
const (
	// maxDrainTime is how long running tasks may take to end before the machine
	// goes down. The wave's deadline can shorten it down to minDrainTime, which
	// checkpointing tasks need to stop.
	maxDrainTime = 4 * time.Second
	minDrainTime = 600 * time.Millisecond
	// groupMargin is the time that is planned for a group in addition to the
	// maintenance of a machine.
	groupMargin = time.Second
	// maxListAge is the age above which a list is too old to plan from.
	maxListAge = 3 * time.Second
)

// Plan completes waves, starts drains and orders maintenance. It skips waves that
// are completed or withdrawn. It starts no drain and orders no maintenance while
// the last machine list is older than maxListAge. load returns the load of a
// runner.
func (p *Planner) Plan(now time.Duration, load func(runner string) Load) {
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		if !w.isOpen() || w.withdrawnAt > 0 {
			continue
		}
		p.completeIfSettled(w)
		if w.isOpen() && p.listRequestedAt > 0 && now-p.listRequestedAt <= maxListAge {
			p.startDrains(w, now, load)
			p.orderMaintenance(w, now, load)
		}
	}
}

// completeIfSettled completes a wave once the maintenance of every machine that
// exists has begun.
func (p *Planner) completeIfSettled(w *wave) {
	for _, m := range w.progressByMachine {
		if !m.isSettled() {
			return
		}
	}
	w.status = Completed
	p.changes++
}

// startDrains starts to drain the machines of a wave that cost least to drain.
// As many machines drain as may be down at the same time. A machine that still
// has work at the end of its drain time does not count towards this limit, but in
// all at most twice as many machines drain.
func (p *Planner) startDrains(w *wave, now time.Duration, load func(string) Load) {
	drainsTotal, drainsInTime := 0, 0
	var candidates []*machineProgress
	for _, m := range w.sortedProgress() {
		switch {
		case m.phase == draining:
			drainsTotal++
			if now < m.drainUntil || load(m.runner).isIdle() {
				drainsInTime++
			}
		case m.phase == waiting && now >= m.retryAt && p.isUp(m) && !p.isUsedByOtherWave(w, m.machine):
			candidates = append(candidates, m)
		}
	}
	p.sortByLoad(candidates, load)
	for _, m := range candidates {
		if drainsInTime >= w.MaxDown || drainsTotal >= 2*w.MaxDown {
			return
		}
		m.phase, m.runner = draining, p.listed[m.machine].Runner
		m.drainUntil = max(now+minDrainTime, min(now+maxDrainTime, w.latestGroupStart(p.maintenanceTime)))
		drainsTotal++
		drainsInTime++
	}
}

// isUp reports whether the last list shows the machine as up.
func (p *Planner) isUp(m *machineProgress) bool {
	entry, isListed := p.listed[m.machine]
	return isListed && entry.State == Up
}

// sortByLoad sorts machines by the cost of draining them.
func (p *Planner) sortByLoad(machines []*machineProgress, load func(string) Load) {
	slices.SortStableFunc(machines, func(a, b *machineProgress) int {
		return cmp.Or(load(p.listed[a.machine].Runner).compare(load(p.listed[b.machine].Runner)), cmp.Compare(a.machine, b.machine))
	})
}

// latestGroupStart returns when the next group of machines has to go down at the
// latest for the wave to finish in time, if each group goes down after the one
// before it is up again.
func (w *wave) latestGroupStart(maintenanceTime time.Duration) time.Duration {
	unsettled := 0
	for _, m := range w.progressByMachine {
		if !m.isSettled() {
			unsettled++
		}
	}
	groups := (unsettled + w.MaxDown - 1) / w.MaxDown
	return w.finishBy - time.Duration(groups)*(maintenanceTime+groupMargin)
}

// isUsedByOtherWave reports whether another wave drains the machine or may have
// it down. A completed wave counts too: its last maintenance may still be in
// progress and must not be mistaken for maintenance that belongs to own.
func (p *Planner) isUsedByOtherWave(own *wave, machine string) bool {
	for _, w := range p.waves {
		if m := w.progressByMachine[machine]; w != own && m != nil && (m.phase == draining || m.mayBeDown()) {
			return true
		}
	}
	return false
}

// orderMaintenance orders the maintenance of machines that may go down, see
// canGoDown, up to the wave's limit of machines that are down. TakeCalls returns
// the calls for them once the orders are recorded.
func (p *Planner) orderMaintenance(w *wave, now time.Duration, load func(string) Load) {
	down := 0
	var ready []*machineProgress
	for _, m := range w.sortedProgress() {
		switch {
		case m.mayBeDown(), p.listed[m.machine].State == UnderMaintenance:
			down++
		case p.canGoDown(w, m, now, load):
			ready = append(ready, m)
		}
	}
	p.sortByLoad(ready, load)
	for _, m := range ready[:min(len(ready), max(0, w.MaxDown-down))] {
		if m.phase == waiting {
			m.runner = "" // the lists don't show the machine, so its runner is unknown
		}
		p.changes++
		m.phase, m.orderChangeNumber = downOrdered, p.changes
		m.sawMaintenance, m.retryAt = false, 0
	}
}

// canGoDown reports whether the maintenance of a machine may be ordered. It may
// also be ordered for a machine that has been missing from the lists for
// minAbsence: the machine may exist nevertheless, and only the platform's
// answer to the call proves that it does not.
func (p *Planner) canGoDown(w *wave, m *machineProgress, now time.Duration, load func(string) Load) bool {
	switch {
	case now < m.retryAt || p.isHeld(m.machine, now) || p.isUsedByOtherWave(w, m.machine):
		return false
	case m.phase == waiting:
		l := load(m.lastRunner)
		return m.missingSince > 0 && p.listRequestedAt-m.missingSince >= minAbsence && l.Known && l.Budgeted == 0
	case m.phase != draining:
		return false
	}
	l := load(m.runner)
	return l.isIdle() || l.Known && l.Budgeted == 0 && now >= m.drainUntil
}

// RunnersToCordon returns, by ID, the runners that must get no new tasks: the
// known runners of those machines of open waves that are draining, whose
// maintenance is ordered or whose maintenance has begun. Such a machine may go
// down at any moment or be down already. The runner of a machine whose
// maintenance has begun is the one that was on it before.
func (p *Planner) RunnersToCordon(now time.Duration) map[string]Cordon {
	cordons := map[string]Cordon{}
	for _, w := range p.waves {
		if !w.isOpen() {
			continue
		}
		urgent := now >= w.latestGroupStart(p.maintenanceTime)
		for _, m := range w.progressByMachine {
			if m.runner != "" && (m.phase == draining || m.mayBeDown()) {
				cordons[m.runner] = Cordon{Until: m.drainUntil, Urgent: urgent}
			}
		}
	}
	return cordons
}

// RunnersAwaitingMaintenance returns the IDs of the runners on machines of open,
// requested waves whose drain has yet to start or to be repeated.
func (p *Planner) RunnersAwaitingMaintenance() map[string]struct{} {
	runners := map[string]struct{}{}
	for _, w := range p.waves {
		if !w.isOpen() || w.withdrawnAt > 0 {
			continue
		}
		for _, m := range w.progressByMachine {
			if m.phase == waiting && p.listed[m.machine].Runner != "" {
				runners[p.listed[m.machine].Runner] = struct{}{}
			}
		}
	}
	return runners
}

// TakeCalls returns the calls to send now, at most limit. It returns a call only
// after the stored record includes the order, and returns the call again only
// after RecordResult has recorded the result.
func (p *Planner) TakeCalls(now time.Duration, limit int) []Call {
	var calls []Call
	if now < p.rateLimitedUntil {
		return nil
	}
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		for _, m := range w.sortedProgress() {
			if len(calls) == limit {
				return calls
			}
			if !w.isOpen() || m.phase != downOrdered || m.callInFlight || m.orderChangeNumber > p.recorded || now < m.retryAt {
				continue
			}
			m.callInFlight = true
			calls = append(calls, Call{Wave: number, Machine: m.machine})
		}
	}
	return calls
}
