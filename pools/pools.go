// Package pools decides which machines move between services. A service is a
// pool of machines; the machines of a standby pool are switched off and cost
// nothing. The package performs no I/O: its caller passes in the demand of the
// pools and the state of the machines, and receives moves.
//
// Each move costs money, and so does each second that a machine is in a pool
// that is not on standby. A pool therefore gets a machine only after work has
// waited for free capacity for some time, and gives the machine back only after
// it has been idle for longer than that.
package pools

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times that limit how often machines move.
const (
	// shortageDelay is how long work must wait for free capacity before a pool
	// gets a machine.
	shortageDelay = 2 * time.Second
	// idleDelay is how long a machine must be idle before it leaves its pool.
	idleDelay = 8 * time.Second
	// minStay is the minimum time that a machine stays in a pool.
	minStay = 20 * time.Second
	// minMoveInterval is the minimum time between two moves.
	minMoveInterval = 500 * time.Millisecond
	// orderTimeout is how long the planner waits for an ordered move to appear
	// in the list of machines.
	orderTimeout = 5 * time.Second
)

// minMachineUsePercent is the percentage of a machine's capacity that the
// waiting work must need before the machine moves.
const minMachineUsePercent = 50

// Pool is a service and its demand for machines.
type Pool struct {
	Name    string
	Standby bool // the machines of the pool are switched off
	// WaitingMilli is the capacity needed by the work that waits because no
	// runner of the pool has enough free capacity for it, in thousandths of a
	// processor.
	WaitingMilli int64
}

// Machine is a machine as the platform lists it.
type Machine struct {
	ID   string
	Pool string
	// Kind is the kind of machine; a pool may reject some kinds.
	Kind string
	// Ready is set if a move of the machine can begin: the machine is running,
	// or it is switched off in a standby pool.
	Ready bool
	// Home is the pool to which the machine returns when it is idle. It is
	// empty if an idle machine stays in its pool.
	Home          string
	CapacityMilli int64
	// Idle is set if the caller knows that no task runs on the machine. A
	// machine with long-running tasks is not idle, so a move never uses up a
	// disruption budget.
	Idle bool
}

// Move is an order to move a machine to another pool.
type Move struct {
	Machine, Pool string
}

// machineState is what the planner has observed of a machine since it came to
// its pool.
type machineState struct {
	pool          string
	arrivedAt     time.Duration // zero if the machine was in the pool when it was first seen
	idleSince     time.Duration // zero if the machine is not idle
	orderedMove   Move          // last ordered move, unless it was refused
	orderDeadline time.Duration // time until which the planner waits for orderedMove to take effect
}

// Planner decides which machines move. One goroutine must make all calls. All
// times are readings of the same monotonic clock.
type Planner struct {
	pools         map[string]Pool
	machines      []Machine
	states        map[string]*machineState
	shortSince    map[string]time.Duration // by pool: the time since which it has been short of capacity
	rejectedKinds map[[2]string]struct{}   // pairs of a machine kind and a pool that rejects that kind
	lastMoveAt    time.Duration
}

// New returns a planner without pools and machines.
func New() *Planner {
	return &Planner{states: map[string]*machineState{}, shortSince: map[string]time.Duration{}, rejectedKinds: map[[2]string]struct{}{}}
}

// Observe replaces the lists of pools and machines with the present ones.
func (p *Planner) Observe(pools []Pool, machines []Machine, now time.Duration) {
	p.pools = make(map[string]Pool, len(pools))
	for _, pool := range pools {
		p.pools[pool.Name] = pool
	}
	p.machines = slices.SortedFunc(slices.Values(machines), func(a, b Machine) int { return cmp.Compare(a.ID, b.ID) })
	present := make(map[string]struct{}, len(machines))
	for _, m := range p.machines {
		present[m.ID] = struct{}{}
		p.trackMachine(m, now)
	}
	maps.DeleteFunc(p.states, func(id string, _ *machineState) bool {
		_, isPresent := present[id]
		return !isPresent
	})
	p.updateShortages(now)
}

// trackMachine updates the state of one machine from its entry in the list.
func (p *Planner) trackMachine(m Machine, now time.Duration) {
	state := p.states[m.ID]
	if state == nil {
		state = &machineState{pool: m.Pool}
		p.states[m.ID] = state
	}
	if state.pool != m.Pool {
		*state = machineState{pool: m.Pool, arrivedAt: now}
	}
	switch {
	case !m.Idle || !m.Ready:
		state.idleSince = 0
	case state.idleSince == 0:
		state.idleSince = now
	}
}

// updateShortages records since when each pool has been short of capacity, and
// deletes the records of pools that no longer are.
func (p *Planner) updateShortages(now time.Duration) {
	for name := range p.shortSince {
		if !p.hasShortage(name, now) {
			delete(p.shortSince, name)
		}
	}
	for name := range p.pools {
		if _, known := p.shortSince[name]; !known && p.hasShortage(name, now) {
			p.shortSince[name] = now
		}
	}
}

// hasShortage reports whether the waiting work of a pool needs more capacity
// than the machines that are being moved to the pool will add.
func (p *Planner) hasShortage(name string, now time.Duration) bool {
	pool, known := p.pools[name]
	if !known || pool.Standby {
		return false
	}
	return pool.WaitingMilli > p.incomingMilli(name, now)
}

// incomingMilli returns the capacity of the machines that are being moved to a
// pool, in thousandths of a processor.
func (p *Planner) incomingMilli(pool string, now time.Duration) int64 {
	var milli int64
	for _, m := range p.machines {
		state := p.states[m.ID]
		arriving := m.Pool == pool && !m.Ready && state.arrivedAt > 0
		if arriving || state.orderedMove.Pool == pool && now < state.orderDeadline {
			milli += m.CapacityMilli
		}
	}
	return milli
}

// NextMove returns the next move, or false if no machine should move. The
// planner treats the returned move as ordered.
func (p *Planner) NextMove(now time.Duration) (Move, bool) {
	if p.lastMoveAt > 0 && now-p.lastMoveAt < minMoveInterval {
		return Move{}, false
	}
	move, found := p.findMoveToShortPool(now)
	if !found {
		move, found = p.findMoveHome(now)
	}
	if found {
		state := p.states[move.Machine]
		state.orderedMove, state.orderDeadline = move, now+orderTimeout
		p.lastMoveAt = now
	}
	return move, found
}

// findMoveToShortPool returns a move to the pool that has been short of capacity
// for the longest time.
func (p *Planner) findMoveToShortPool(now time.Duration) (Move, bool) {
	names := slices.SortedFunc(maps.Keys(p.shortSince), func(a, b string) int {
		return cmp.Or(cmp.Compare(p.shortSince[a], p.shortSince[b]), cmp.Compare(a, b))
	})
	for _, name := range names {
		needMilli := p.pools[name].WaitingMilli - p.incomingMilli(name, now)
		if now-p.shortSince[name] < shortageDelay || needMilli <= 0 {
			continue
		}
		if m, found := p.selectSource(name, needMilli, now); found {
			return Move{Machine: m.ID, Pool: name}, true
		}
	}
	return Move{}, false
}

// selectSource returns the machine to move to a pool. It prefers an idle
// machine of another service, which costs money already, to a machine of a
// standby pool.
func (p *Planner) selectSource(pool string, needMilli int64, now time.Duration) (Machine, bool) {
	var best Machine
	found := false
	for _, m := range p.machines {
		_, rejected := p.rejectedKinds[[2]string{m.Kind, pool}]
		if m.Pool == pool || rejected || !p.canLeave(m, now) || needMilli*100 < m.CapacityMilli*minMachineUsePercent {
			continue
		}
		if !found || p.pools[best.Pool].Standby && !p.pools[m.Pool].Standby {
			best, found = m, true
		}
	}
	return best, found
}

// canLeave reports whether a machine may leave its pool. A pool that is short
// of capacity keeps its machines.
func (p *Planner) canLeave(m Machine, now time.Duration) bool {
	state := p.states[m.ID]
	pool, known := p.pools[m.Pool]
	if !known || !m.Ready || now < state.orderDeadline || state.arrivedAt > 0 && now-state.arrivedAt < minStay {
		return false
	}
	if pool.Standby {
		return true
	}
	_, isShort := p.shortSince[m.Pool]
	return !isShort && pool.WaitingMilli == 0 && state.idleSince > 0 && now-state.idleSince >= idleDelay
}

// findMoveHome returns the move of an idle machine back to its home pool.
func (p *Planner) findMoveHome(now time.Duration) (Move, bool) {
	for _, m := range p.machines {
		if m.Home != "" && m.Home != m.Pool && p.canLeave(m, now) {
			return Move{Machine: m.ID, Pool: m.Home}, true
		}
	}
	return Move{}, false
}

// RecordRefusedMove records that an ordered move was not begun. If rejectsKind
// is set, the pool accepts no machine of that machine's kind, and the planner
// never orders a move of such a machine to the pool again.
func (p *Planner) RecordRefusedMove(move Move, rejectsKind bool) {
	state := p.states[move.Machine]
	if state == nil || state.orderedMove != move {
		return
	}
	state.orderedMove, state.orderDeadline = Move{}, 0
	if !rejectsKind {
		return
	}
	for _, m := range p.machines {
		if m.ID == move.Machine {
			p.rejectedKinds[[2]string{m.Kind, move.Pool}] = struct{}{}
		}
	}
}
