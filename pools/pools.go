// Package pools decides which machines move between services. A service is a pool
// of machines; those of a standby pool are off and cost nothing. The package is
// pure: it is told what the pools need and what runs on the machines, and answers
// with moves.
//
// Each move and each second of a machine in a pool is priced, so a pool gets a
// machine only if work has waited for room for a while, and gives it back only
// after it has been idle for longer than that.
package pools

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times between moves.
const (
	// shortTime is how long work has to wait for room before a pool gets a machine.
	shortTime = 2 * time.Second
	// idleTime is how long a machine has to be idle before it leaves its pool.
	idleTime = 8 * time.Second
	// minStay is how long a machine stays in a pool at least.
	minStay = 20 * time.Second
	// moveGap is the least time between two moves.
	moveGap = 500 * time.Millisecond
	// orderTime is how long an ordered move is waited for to show in the list.
	orderTime = 5 * time.Second
)

// worthPercent is the share of a machine that waiting work has to need for a
// machine to move.
const worthPercent = 50

// Pool is a service as a pool of machines.
type Pool struct {
	Name    string
	Standby bool
	// WaitingMilli is the work that waits because no runner of the pool has room
	// for it, in thousandths of a processor.
	WaitingMilli int64
}

// Machine is a machine in its pool.
type Machine struct {
	ID   string
	Pool string
	// Kind is what pools may require of their machines.
	Kind string
	// Ready is set if a move can begin: the machine is up, or off in a standby pool.
	Ready bool
	// Home is the pool that the machine returns to when it is idle; empty if it
	// stays.
	Home          string
	CapacityMilli int64
	// Idle is set if it is known that nothing runs on the machine. One with
	// long-running tasks is not idle, so no disruption budget is at stake.
	Idle bool
}

// Move orders a machine to another pool.
type Move struct {
	Machine, Pool string
}

// placement is where a machine has been seen.
type placement struct {
	pool    string
	since   time.Duration // zero if it was there from the start
	idle    time.Duration // since when it has been idle; zero if it is not
	ordered Move
	until   time.Duration // of the wait for an ordered move
}

// Planner decides on moves. Its methods are called by one goroutine. Times are
// readings of one steady clock.
type Planner struct {
	pools    map[string]Pool
	machines []Machine
	places   map[string]*placement
	short    map[string]time.Duration // since when a pool has been short, by pool
	barred   map[[2]string]struct{}   // kinds that a pool doesn't take
	lastMove time.Duration
}

// New returns a planner that knows nothing.
func New() *Planner {
	return &Planner{places: map[string]*placement{}, short: map[string]time.Duration{}, barred: map[[2]string]struct{}{}}
}

// Observe replaces what is known of pools and machines.
func (p *Planner) Observe(pools []Pool, machines []Machine, now time.Duration) {
	p.pools = make(map[string]Pool, len(pools))
	for _, pool := range pools {
		p.pools[pool.Name] = pool
	}
	p.machines = slices.SortedFunc(slices.Values(machines), func(a, b Machine) int { return cmp.Compare(a.ID, b.ID) })
	present := make(map[string]struct{}, len(machines))
	for _, m := range p.machines {
		present[m.ID] = struct{}{}
		p.place(m, now)
	}
	maps.DeleteFunc(p.places, func(id string, _ *placement) bool {
		_, there := present[id]
		return !there
	})
	p.noteShort(now)
}

// place follows a machine.
func (p *Planner) place(m Machine, now time.Duration) {
	at := p.places[m.ID]
	if at == nil {
		at = &placement{pool: m.Pool}
		p.places[m.ID] = at
	}
	if at.pool != m.Pool {
		*at = placement{pool: m.Pool, since: now}
	}
	switch {
	case !m.Idle || !m.Ready:
		at.idle = 0
	case at.idle == 0:
		at.idle = now
	}
}

// noteShort follows which pools are short of room by more than the machines on
// their way will bring.
func (p *Planner) noteShort(now time.Duration) {
	for name := range p.short {
		if !p.isShort(name, now) {
			delete(p.short, name)
		}
	}
	for name := range p.pools {
		if _, known := p.short[name]; !known && p.isShort(name, now) {
			p.short[name] = now
		}
	}
}

func (p *Planner) isShort(name string, now time.Duration) bool {
	pool, there := p.pools[name]
	if !there || pool.Standby {
		return false
	}
	return pool.WaitingMilli > p.incoming(name, now)
}

// incoming is what machines on their way to a pool will bring.
func (p *Planner) incoming(pool string, now time.Duration) int64 {
	var milli int64
	for _, m := range p.machines {
		at := p.places[m.ID]
		arriving := m.Pool == pool && !m.Ready && at.since > 0
		if arriving || at.ordered.Pool == pool && now < at.until {
			milli += m.CapacityMilli
		}
	}
	return milli
}

// Next returns the next move, if there is one. It counts as ordered.
func (p *Planner) Next(now time.Duration) (Move, bool) {
	if p.lastMove > 0 && now-p.lastMove < moveGap {
		return Move{}, false
	}
	move, found := p.toShort(now)
	if !found {
		move, found = p.home(now)
	}
	if found {
		at := p.places[move.Machine]
		at.ordered, at.until = move, now+orderTime
		p.lastMove = now
	}
	return move, found
}

// toShort returns a move to the pool that has been short for longest.
func (p *Planner) toShort(now time.Duration) (Move, bool) {
	names := slices.SortedFunc(maps.Keys(p.short), func(a, b string) int {
		return cmp.Or(cmp.Compare(p.short[a], p.short[b]), cmp.Compare(a, b))
	})
	for _, name := range names {
		need := p.pools[name].WaitingMilli - p.incoming(name, now)
		if now-p.short[name] < shortTime || need <= 0 {
			continue
		}
		if m, found := p.source(name, need, now); found {
			return Move{Machine: m.ID, Pool: name}, true
		}
	}
	return Move{}, false
}

// source returns the machine to move to a pool: an idle one of another service,
// which is paid for already, before one on standby.
func (p *Planner) source(pool string, need int64, now time.Duration) (Machine, bool) {
	var best Machine
	found := false
	for _, m := range p.machines {
		_, barred := p.barred[[2]string{m.Kind, pool}]
		if m.Pool == pool || barred || !p.mayLeave(m, now) || need*100 < m.CapacityMilli*worthPercent {
			continue
		}
		if !found || p.pools[best.Pool].Standby && !p.pools[m.Pool].Standby {
			best, found = m, true
		}
	}
	return best, found
}

// mayLeave reports whether a machine can be spared. A pool that is short keeps
// its machines.
func (p *Planner) mayLeave(m Machine, now time.Duration) bool {
	at := p.places[m.ID]
	pool, known := p.pools[m.Pool]
	if !known || !m.Ready || now < at.until || at.since > 0 && now-at.since < minStay {
		return false
	}
	if pool.Standby {
		return true
	}
	_, short := p.short[m.Pool]
	return !short && pool.WaitingMilli == 0 && at.idle > 0 && now-at.idle >= idleTime
}

// home returns the move of an idle machine back to where it came from.
func (p *Planner) home(now time.Duration) (Move, bool) {
	for _, m := range p.machines {
		if m.Home != "" && m.Home != m.Pool && p.mayLeave(m, now) {
			return Move{Machine: m.ID, Pool: m.Home}, true
		}
	}
	return Move{}, false
}

// Refused records that a move was not begun. If barred, the pool takes no machine
// of that kind.
func (p *Planner) Refused(move Move, barred bool) {
	at := p.places[move.Machine]
	if at == nil || at.ordered != move {
		return
	}
	at.ordered, at.until = Move{}, 0
	if !barred {
		return
	}
	for _, m := range p.machines {
		if m.ID == move.Machine {
			p.barred[[2]string{m.Kind, move.Pool}] = struct{}{}
		}
	}
}
