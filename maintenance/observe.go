package maintenance

import "time"

// Times of machine lists.
const (
	// listLag bounds how far a machine list lags behind the machines.
	listLag = 2 * time.Second
	// sameRunnerTime is how much longer is waited if the lists show neither the
	// upkeep nor another runner: runners may start again under their name.
	sameRunnerTime = 5 * time.Second
	// absentTime is how long a machine is missing from the lists before the
	// platform is asked whether it exists.
	absentTime = 3 * time.Second
)

// Observe records a whole machine list that was requested at a time.
func (p *Planner) Observe(machines []Machine, sent time.Duration) {
	if sent < p.looked {
		return
	}
	p.looked = sent
	clear(p.seen)
	for _, m := range machines {
		p.seen[m.ID] = m
	}
	for _, w := range p.waves {
		for _, m := range w.members {
			p.observe(m, sent)
		}
	}
}

// observe takes over what a list says of one machine.
func (p *Planner) observe(m *member, sent time.Duration) {
	seen, there := p.seen[m.machine]
	switch {
	case there:
		m.missingSince, m.lastRunner = 0, seen.Runner
	case m.missingSince == 0:
		m.missingSince = sent
	}
	switch m.phase {
	case draining:
		// Another life of the machine has to be drained anew.
		if !there || seen.State != Up || seen.Runner != m.runner {
			m.phase = waiting
		}
	case absent:
		if there {
			m.phase = waiting
			p.changes++
		}
	case ordered:
		m.sawUpkeep = m.sawUpkeep || there && seen.State == Upkeep
	case begun:
		m.sawUpkeep = m.sawUpkeep || there && seen.State == Upkeep
		if p.isOver(m, seen, there, sent) {
			m.phase = over
			p.changes++
		}
	}
}

// isOver reports whether a list proves that a machine is no longer down for the
// upkeep that has begun. A list may lag: that it shows another runner proves
// nothing by itself, as the runner may have been replaced before the upkeep.
func (p *Planner) isOver(m *member, seen Machine, there bool, sent time.Duration) bool {
	if !there {
		return sent-m.missingSince >= absentTime
	}
	if seen.State != Up {
		return false
	}
	renewed := m.runner != "" && seen.Runner != m.runner
	if renewed && m.sawUpkeep {
		return true
	}
	past := m.begunBy + p.upkeep + listLag
	if !renewed && !m.sawUpkeep && m.runner != "" {
		past += sameRunnerTime
	}
	return sent >= past
}
