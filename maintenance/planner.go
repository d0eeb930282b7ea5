package maintenance

import (
	"maps"
	"slices"
	"time"
)

// withdrawnTime is how long a wave is remembered that is not requested: what a new
// coordinator knows of the requests may be older than the record.
const withdrawnTime = 10 * time.Second

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
