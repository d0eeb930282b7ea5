package maintenance

import (
	"maps"
	"slices"
	"time"
)

// Times of upkeep.
const (
	// drainTime is how long running tasks are given to end before the machine
	// goes down. Stops of checkpointing tasks need minDrain.
	drainTime = 4 * time.Second
	minDrain  = 600 * time.Millisecond
	// cycleMargin is what a machine's turn takes beyond the upkeep itself.
	cycleMargin = time.Second
	// listLag bounds how far a machine list lags behind the machines.
	listLag = 2 * time.Second
	// sameRunnerTime is how much longer is waited if the lists show neither the
	// upkeep nor another runner: runners may start again under their name.
	sameRunnerTime = 5 * time.Second
	// absentTime is how long a machine is missing from the lists before the
	// platform is asked whether it exists.
	absentTime = 3 * time.Second
	// withdrawnTime is how long a wave is remembered that is not requested: what a
	// new coordinator knows of the requests may be older than the record.
	withdrawnTime = 10 * time.Second
	// maxListAge is the age from which a list is too old to give orders by.
	maxListAge = 3 * time.Second
	// Pauses before a call is repeated: after no answer, and after a refusal
	// that lasts until the machine's state changes.
	unansweredPause = 500 * time.Millisecond
	refusedPause    = time.Second
)

// Limits of the pauses after calls that exceed the platform's rate.
const (
	firstLimitedPause = 200 * time.Millisecond
	maxLimitedPause   = 3200 * time.Millisecond
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

// Planner is the state of all waves. Its methods are called by one goroutine.
// Times are readings of one steady clock.
type Planner struct {
	upkeep time.Duration // length of one upkeep
	waves  map[int]*wave
	seen   map[string]Machine
	looked time.Duration // when the last list was requested; zero before
	// changes counts what has to be recorded; recorded is how much of it is.
	changes, recorded uint64
	limitedUntil      time.Duration
	limitedPause      time.Duration
}

// New returns a planner without waves for machines whose upkeep takes a time.
func New(upkeep time.Duration) *Planner {
	return &Planner{upkeep: upkeep, waves: map[int]*wave{}, seen: map[string]Machine{}}
}

// Request replaces the requested waves.
func (p *Planner) Request(waves []Wave, now time.Duration) {
	present := map[int]bool{}
	for _, requested := range waves {
		present[requested.Number] = true
		w := p.waves[requested.Number]
		if w == nil {
			w = &wave{finishBy: now + requested.Within, members: map[string]*member{}, status: Running}
			p.waves[requested.Number] = w
			p.changes++
		}
		w.withdrawn = 0
		if w.open() {
			w.update(requested)
		}
	}
	for number, w := range p.waves {
		if present[number] {
			continue
		}
		if w.withdrawn == 0 {
			w.withdrawn = now
		}
		if now-w.withdrawn >= withdrawnTime && !w.counts() {
			delete(p.waves, number)
			p.changes++
		}
	}
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

// Open reports whether the planner needs machine lists.
func (p *Planner) Open() bool {
	for _, w := range p.waves {
		if w.open() && (w.withdrawn == 0 || w.counts()) {
			return true
		}
	}
	return false
}

// Empty reports whether the planner knows no wave.
func (p *Planner) Empty() bool { return len(p.waves) == 0 }

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

// Result is the outcome of a call that was sent at a time.
type Result struct {
	Call    Call
	Outcome Outcome
	Sent    time.Duration
}

// Answered records the outcome of a call. It returns the runner that the call
// has ended for certain, or nothing.
func (p *Planner) Answered(r Result, now time.Duration) (ended string) {
	w := p.waves[r.Call.Wave]
	if w == nil || w.members[r.Call.Machine] == nil {
		return ""
	}
	m := w.members[r.Call.Machine]
	m.underWay = false
	if r.Outcome != Limited {
		p.limitedPause = 0
	}
	if m.phase != ordered {
		return ""
	}
	switch r.Outcome {
	case Begun:
		m.phase, m.begunBy = begun, now
		p.changes++
		// A later or a repeated answer may come when the next runner, which may
		// have the same name, is at work already.
		if !m.doubtful && now-r.Sent < p.upkeep {
			return m.runner
		}
	case Unanswered:
		m.doubtful = true
		m.retryAt = now + unansweredPause
	case Limited:
		p.limitedPause = min(max(firstLimitedPause, 2*p.limitedPause), maxLimitedPause)
		p.limitedUntil = now + p.limitedPause
	case NotSent:
		m.retryAt = now + unansweredPause
	case NoMachine:
		if _, there := p.seen[m.machine]; !there {
			m.phase = absent
			p.changes++
			return ""
		}
		p.refused(w, m, r.Outcome, now)
	default:
		p.refused(w, m, r.Outcome, now)
	}
	return ""
}

// refused gives a machine's turn to others, unless an earlier call may still be
// carried out. No call is carried out of a wave that is gone.
func (p *Planner) refused(w *wave, m *member, outcome Outcome, now time.Duration) {
	m.retryAt = now + refusedPause
	if !m.doubtful || w.withdrawn > 0 && outcome == OtherWave {
		m.phase = waiting
		p.changes++
	}
}

// Reports returns the status of each requested wave.
func (p *Planner) Reports() []Report {
	var reports []Report
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[number]; w.withdrawn == 0 {
			reports = append(reports, Report{Wave: number, Status: w.status})
		}
	}
	return reports
}
