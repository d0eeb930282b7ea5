package maintenance

import (
	"maps"
	"slices"
	"time"
)

// withdrawnRetention is how long a wave is kept after its request has
// disappeared. The requests that a new coordinator sees at first may be older
// than the record that it has read.
const withdrawnRetention = 10 * time.Second

// Planner holds the state of all waves. Its methods must be called by one
// goroutine. All times are readings of one monotonic clock.
type Planner struct {
	maintenanceTime time.Duration      // duration of one maintenance
	waves           map[int]*wave      // by number
	listed          map[string]Machine // last machine list, by machine ID
	listRequestedAt time.Duration      // when the last list was requested; zero before the first
	// changes is the number of changes so far that belong in the stored record,
	// and recorded is how many of them that record includes.
	changes, recorded uint64
	rateLimitedUntil  time.Duration
	rateLimitPause    time.Duration
	// lastCalls holds when the last call for a machine had a result, by machine ID; heldUntil until
	// when no call may be sent because of a predecessor's, and allHeldUntil the same for all machines.
	lastCalls, heldUntil map[string]time.Duration
	allHeldUntil         time.Duration
}

// New returns a planner without waves. maintenanceTime is how long the
// maintenance of a machine takes.
func New(maintenanceTime time.Duration) *Planner {
	return &Planner{maintenanceTime: maintenanceTime, waves: map[int]*wave{}, listed: map[string]Machine{},
		lastCalls: map[string]time.Duration{}, heldUntil: map[string]time.Duration{}}
}

// SetRequestedWaves replaces the requested waves. A wave that is not among them
// is removed after withdrawnRetention, unless one of its machines may be down.
func (p *Planner) SetRequestedWaves(waves []Wave, now time.Duration) {
	isRequested := map[int]bool{}
	for _, requested := range waves {
		isRequested[requested.Number] = true
		w := p.waves[requested.Number]
		if w == nil {
			w = &wave{finishBy: now + requested.FinishWithin, progressByMachine: map[string]*machineProgress{}, status: Running}
			p.waves[requested.Number] = w
			p.changes++
		}
		w.withdrawnAt = 0
		if w.isOpen() {
			w.applyRequest(requested)
		}
	}
	for number, w := range p.waves {
		if isRequested[number] {
			continue
		}
		if w.withdrawnAt == 0 {
			w.withdrawnAt = now
		}
		if now-w.withdrawnAt >= withdrawnRetention && !w.hasDownMachine() {
			delete(p.waves, number)
			p.changes++
		}
	}
}

// NeedsMachineLists reports whether machine lists are needed: a wave is open,
// and it is requested or one of its machines may be down.
func (p *Planner) NeedsMachineLists() bool {
	for _, w := range p.waves {
		if w.isOpen() && (w.withdrawnAt == 0 || w.hasDownMachine()) {
			return true
		}
	}
	return false
}

// HasNoWaves reports whether the planner has no waves.
func (p *Planner) HasNoWaves() bool { return len(p.waves) == 0 }

// StatusReports returns the status of each requested wave.
func (p *Planner) StatusReports() []Report {
	var reports []Report
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[number]; w.withdrawnAt == 0 {
			reports = append(reports, Report{Wave: number, Status: w.status})
		}
	}
	return reports
}
