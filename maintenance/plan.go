package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times of drains and turns. A turn is the maintenance of up to MaxDown
// machines of a wave.
const (
	// maxDrainTime is how long running tasks may take to end before the machine
	// goes down. The wave's deadline can shorten it down to minDrainTime, which
	// checkpointing tasks need to stop.
	maxDrainTime = 4 * time.Second
	minDrainTime = 600 * time.Millisecond
	// turnMargin is the time that a turn takes in addition to the maintenance.
	turnMargin = time.Second
	// maxListAge is the age above which a list is too old to plan from.
	maxListAge = 3 * time.Second
)

// Plan completes waves, starts drains and orders maintenance. load returns the
// load of a runner.
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
	for _, m := range w.members {
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
	var candidates []*member
	for _, m := range w.sortedMembers() {
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
		m.drainUntil = max(now+minDrainTime, min(now+maxDrainTime, w.latestTurnStart(p.maintenanceTime)))
		drainsTotal++
		drainsInTime++
	}
}

// isUp reports whether the last list shows the machine as up.
func (p *Planner) isUp(m *member) bool {
	entry, isListed := p.listed[m.machine]
	return isListed && entry.State == Up
}

// sortByLoad sorts machines by the cost of draining them.
func (p *Planner) sortByLoad(members []*member, load func(string) Load) {
	slices.SortStableFunc(members, func(a, b *member) int {
		return cmp.Or(load(p.listed[a.machine].Runner).compare(load(p.listed[b.machine].Runner)), cmp.Compare(a.machine, b.machine))
	})
}

// latestTurnStart returns when the next machines have to go down at the latest
// for the wave to finish in time.
func (w *wave) latestTurnStart(maintenanceTime time.Duration) time.Duration {
	unsettled := 0
	for _, m := range w.members {
		if !m.isSettled() {
			unsettled++
		}
	}
	turns := (unsettled + w.MaxDown - 1) / w.MaxDown
	return w.finishBy - time.Duration(turns)*(maintenanceTime+turnMargin)
}

// isUsedByOtherWave reports whether another wave drains the machine or may have
// it down. A completed wave counts too: its last maintenance may still be in
// progress and must not be mistaken for maintenance that belongs to own.
func (p *Planner) isUsedByOtherWave(own *wave, machine string) bool {
	for _, w := range p.waves {
		if m := w.members[machine]; w != own && m != nil && (m.phase == draining || m.mayBeDown()) {
			return true
		}
	}
	return false
}

// orderMaintenance orders the maintenance of machines that are drained, up to
// the wave's limit of machines that are down.
func (p *Planner) orderMaintenance(w *wave, now time.Duration, load func(string) Load) {
	down := 0
	var ready []*member
	for _, m := range w.sortedMembers() {
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
		m.phase, m.orderChange = ordered, p.changes
		m.sawMaintenance, m.retryAt = false, 0
	}
}

// canGoDown reports whether the maintenance of a machine may be ordered. It may
// also be ordered for a machine that has been missing from the lists for
// minAbsence: the machine may exist nevertheless, and only the platform's
// answer to the call proves that it does not.
func (p *Planner) canGoDown(w *wave, m *member, now time.Duration, load func(string) Load) bool {
	switch {
	case now < m.retryAt || p.isUsedByOtherWave(w, m.machine):
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

// DrainingRunners returns the runners that take no new tasks: those on draining
// machines and those on machines that may go down at any moment.
func (p *Planner) DrainingRunners(now time.Duration) map[string]Drain {
	drains := map[string]Drain{}
	for _, w := range p.waves {
		if !w.isOpen() {
			continue
		}
		urgent := now >= w.latestTurnStart(p.maintenanceTime)
		for _, m := range w.members {
			if m.runner != "" && (m.phase == draining || m.mayBeDown()) {
				drains[m.runner] = Drain{Until: m.drainUntil, Urgent: urgent}
			}
		}
	}
	return drains
}

// RunnersAwaitingMaintenance returns the runners on machines whose drain has
// yet to start.
func (p *Planner) RunnersAwaitingMaintenance() map[string]struct{} {
	runners := map[string]struct{}{}
	for _, w := range p.waves {
		if !w.isOpen() || w.withdrawnAt > 0 {
			continue
		}
		for _, m := range w.members {
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
		for _, m := range w.sortedMembers() {
			if len(calls) == limit {
				return calls
			}
			if !w.isOpen() || m.phase != ordered || m.callInFlight || m.orderChange > p.recorded || now < m.retryAt {
				continue
			}
			m.callInFlight = true
			calls = append(calls, Call{Wave: number, Machine: m.machine})
		}
	}
	return calls
}
