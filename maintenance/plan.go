package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times of drains and orders.
const (
	// drainTime is how long running tasks are given to end before the machine
	// goes down. Stops of checkpointing tasks need minDrain.
	drainTime = 4 * time.Second
	minDrain  = 600 * time.Millisecond
	// cycleMargin is what a machine's turn takes beyond the upkeep itself.
	cycleMargin = time.Second
	// maxListAge is the age from which a list is too old to give orders by.
	maxListAge = 3 * time.Second
)

// Plan decides what is done next. Load returns what runs on a runner.
func (p *Planner) Plan(now time.Duration, load func(runner string) Load) {
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		if !w.open() || w.withdrawn > 0 {
			continue
		}
		p.complete(w)
		if w.open() && p.looked > 0 && now-p.looked <= maxListAge {
			p.drainNext(w, now, load)
			p.orderNext(w, now, load)
		}
	}
}

// complete closes a wave of which every machine that exists has begun its
// upkeep.
func (p *Planner) complete(w *wave) {
	for _, m := range w.members {
		if !m.settled() {
			return
		}
	}
	w.status = Completed
	p.changes++
}

// drainNext lets the machines that are drained at the least cost take no more
// tasks: as many as may go down next, and others beside those that can't be
// drained in time.
func (p *Planner) drainNext(w *wave, now time.Duration, load func(string) Load) {
	all, inTime := 0, 0
	var candidates []*member
	for _, m := range w.sorted() {
		switch {
		case m.phase == draining:
			all++
			if now < m.drainUntil || load(m.runner).idle() {
				inTime++
			}
		case m.phase == waiting && now >= m.retryAt && p.isUp(m) && !p.engaged(w, m.machine):
			candidates = append(candidates, m)
		}
	}
	p.sortByLoad(candidates, load)
	for _, m := range candidates {
		if inTime >= w.MaxDown || all >= 2*w.MaxDown {
			return
		}
		m.phase, m.runner = draining, p.seen[m.machine].Runner
		m.drainUntil = max(now+minDrain, min(now+drainTime, w.latestStart(p.upkeep)))
		all++
		inTime++
	}
}

// isUp reports whether the last list shows the machine as up.
func (p *Planner) isUp(m *member) bool {
	seen, there := p.seen[m.machine]
	return there && seen.State == Up
}

// sortByLoad sorts machines by what draining them costs.
func (p *Planner) sortByLoad(members []*member, load func(string) Load) {
	slices.SortStableFunc(members, func(a, b *member) int {
		return cmp.Or(load(p.seen[a.machine].Runner).compare(load(p.seen[b.machine].Runner)), cmp.Compare(a.machine, b.machine))
	})
}

// latestStart is when the next machines must go down for the wave to end in
// time.
func (w *wave) latestStart(upkeep time.Duration) time.Duration {
	left := 0
	for _, m := range w.members {
		if !m.settled() {
			left++
		}
	}
	turns := (left + w.MaxDown - 1) / w.MaxDown
	return w.finishBy - time.Duration(turns)*(upkeep+cycleMargin)
}

// engaged reports whether another wave drains the machine or has it down. That
// holds for a completed wave too: its last upkeep may still be under way, and
// must not be taken for that of this wave.
func (p *Planner) engaged(except *wave, machine string) bool {
	for _, w := range p.waves {
		if m := w.members[machine]; w != except && m != nil && (m.phase == draining || m.counted()) {
			return true
		}
	}
	return false
}

// orderNext orders the upkeep of machines that are drained, up to the wave's
// limit.
func (p *Planner) orderNext(w *wave, now time.Duration, load func(string) Load) {
	down := 0
	var ready []*member
	for _, m := range w.sorted() {
		switch {
		case m.counted(), p.seen[m.machine].State == Upkeep:
			down++
		case p.mayGoDown(w, m, now, load):
			ready = append(ready, m)
		}
	}
	p.sortByLoad(ready, load)
	for _, m := range ready[:min(len(ready), max(0, w.MaxDown-down))] {
		if m.phase == waiting {
			m.runner = "" // it is missing from the lists
		}
		p.changes++
		m.phase, m.change = ordered, p.changes
		m.sawUpkeep, m.retryAt = false, 0
	}
}

// mayGoDown reports whether a machine's upkeep may be ordered. One that has been
// missing from the lists is asked for, as only the platform's answer proves that
// it doesn't exist; it may be there after all.
func (p *Planner) mayGoDown(w *wave, m *member, now time.Duration, load func(string) Load) bool {
	switch {
	case now < m.retryAt || p.engaged(w, m.machine):
		return false
	case m.phase == waiting:
		l := load(m.lastRunner)
		return m.missingSince > 0 && p.looked-m.missingSince >= absentTime && l.Known && l.Budgeted == 0
	case m.phase != draining:
		return false
	}
	l := load(m.runner)
	return l.idle() || l.Known && l.Budgeted == 0 && now >= m.drainUntil
}

// Drains returns the runners that take no new tasks. They include those whose
// machine may go down at any moment.
func (p *Planner) Drains(now time.Duration) map[string]Drain {
	drains := map[string]Drain{}
	for _, w := range p.waves {
		if !w.open() {
			continue
		}
		pressing := now >= w.latestStart(p.upkeep)
		for _, m := range w.members {
			if m.runner != "" && (m.phase == draining || m.counted()) {
				drains[m.runner] = Drain{Until: m.drainUntil, Pressing: pressing}
			}
		}
	}
	return drains
}

// Awaiting returns the runners on machines whose upkeep is yet to come.
func (p *Planner) Awaiting() map[string]struct{} {
	runners := map[string]struct{}{}
	for _, w := range p.waves {
		if !w.open() || w.withdrawn > 0 {
			continue
		}
		for _, m := range w.members {
			if m.phase == waiting && p.seen[m.machine].Runner != "" {
				runners[p.seen[m.machine].Runner] = struct{}{}
			}
		}
	}
	return runners
}

// Calls returns the calls to send now, at most limit. Each waits for its answer
// before it is repeated. Only recorded orders are sent.
func (p *Planner) Calls(now time.Duration, limit int) []Call {
	var calls []Call
	if now < p.limitedUntil {
		return nil
	}
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		for _, m := range w.sorted() {
			if len(calls) == limit {
				return calls
			}
			if !w.open() || m.phase != ordered || m.underWay || m.change > p.recorded || now < m.retryAt {
				continue
			}
			m.underWay = true
			calls = append(calls, Call{Wave: number, Machine: m.machine})
		}
	}
	return calls
}
