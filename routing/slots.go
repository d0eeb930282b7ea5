package routing

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bergamotstile/admission"
	"bergamotstile/defaults"
	"bergamotstile/structs"
)

// poolID identifies the runners of one service in one shard. A reserved pool
// holds the few connections to these runners that an instance may use without
// owning the shard.
type poolID struct {
	shard    structs.ShardID
	service  string
	reserved bool
}

// runnerPool is the request queue and the slots of the runners that one service
// has in one shard.
type runnerPool struct {
	id     poolID
	router *Router
	queue  *admission.Queue[*slot]

	mu           sync.Mutex
	rotation     int                     // advanced by each Take, so that equally used runners take turns
	runnerStates map[string]*runnerState // by name of the runner
	snapshot     poolSnapshot
}

// runnerState holds how many slots of one runner this instance uses, and until
// when the runner is paused.
type runnerState struct {
	inUse       int       // slots that are taken
	pausedUntil time.Time // no slot of the runner is taken before this time
	unavailable bool      // the runner was unreachable or leaving when it was paused
}

// slot is the right to have one dispatch in progress at a runner.
type slot struct {
	pool   *runnerPool
	runner structs.Member
}

// ownerPool returns the pool that the owner of a shard uses for a service.
func (r *Router) ownerPool(shard structs.ShardID, service string) *runnerPool {
	return r.poolFor(poolID{shard: shard, service: service})
}

// reservedPool returns the pool of reserved connections to a service's runners
// in a shard, for an instance that does not own the shard.
func (r *Router) reservedPool(shard structs.ShardID, service string) *runnerPool {
	return r.poolFor(poolID{shard: shard, service: service, reserved: true})
}

// poolFor returns the pool with the given ID and creates it on first use.
func (r *Router) poolFor(id poolID) *runnerPool {
	r.mu.Lock()
	defer r.mu.Unlock()
	pool := r.pools[id]
	if pool == nil {
		pool = r.newPool(id)
		r.pools[id] = pool
	}
	return pool
}

// newPool returns an empty pool. Its queue takes slots from the pool itself.
func (r *Router) newPool(id poolID) *runnerPool {
	pool := &runnerPool{id: id, router: r, runnerStates: map[string]*runnerState{}}
	pool.queue = admission.NewQueue(r.Settings.Admission, r.Clock, pool)
	return pool
}

// dropUnusedPools removes the pools without runners and without requests.
func (r *Router) dropUnusedPools() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, pool := range r.pools {
		if pool.isUnused() {
			delete(r.pools, id)
		}
	}
}

// allPools returns the pools that exist now.
func (r *Router) allPools() []*runnerPool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.pools))
}

// poolSnapshot holds the runners of a pool and their limits, as they were last
// read from the membership view and the topology.
type poolSnapshot struct {
	readAt  time.Time
	members []structs.Member // runners that may receive new requests
	limits  []int            // dispatches that each member may have in progress
}

// refreshSnapshot returns the pool's snapshot and reads it anew if it is older
// than RunnersMaxAge. The pool's lock is held. Reading the runners anew for
// each request would cost more than all the other work on a request.
func (p *runnerPool) refreshSnapshot(now time.Time) *poolSnapshot {
	if !p.snapshot.readAt.IsZero() && now.Sub(p.snapshot.readAt) < p.router.Settings.RunnersMaxAge {
		return &p.snapshot
	}
	p.snapshot = poolSnapshot{readAt: now}
	shards, domain := p.router.Topology.Shards(), p.id.shard.Domain
	otherInstances := max(len(p.router.Members.Entries(domain))-1, 0)
	for _, m := range p.router.Members.Runners(domain, p.id.service) {
		if structs.ShardOfMember(domain, m.Name, shards) == p.id.shard {
			p.snapshot.members = append(p.snapshot.members, m)
			p.snapshot.limits = append(p.snapshot.limits, p.dispatchLimit(m, otherInstances))
		}
	}
	p.dropDepartedRunners(now)
	return &p.snapshot
}

// dispatchLimit returns how many dispatches this instance may have in progress
// at a runner. Each dispatch takes one slot and one connection, and the
// reserved connections are left to the other entry instances of the domain.
func (p *runnerPool) dispatchLimit(m structs.Member, otherInstances int) int {
	settings := p.router.Settings
	if p.id.reserved {
		return settings.ReservedConnections
	}
	slots, connections := m.Slots, m.Connections
	defaults.Set(&slots, settings.DefaultSlots)
	defaults.Set(&connections, settings.DefaultConnections)
	return min(slots, max(connections-settings.ReservedConnections*otherInstances, 1))
}

// dropDepartedRunners removes the state of runners that are not in the
// snapshot, have no slot in use and are not paused.
func (p *runnerPool) dropDepartedRunners(now time.Time) {
	listed := make(map[string]bool, len(p.snapshot.members))
	for _, m := range p.snapshot.members {
		listed[m.Name] = true
	}
	for name, state := range p.runnerStates {
		if !listed[name] && state.inUse == 0 && !now.Before(state.pausedUntil) {
			delete(p.runnerStates, name)
		}
	}
}

// Take returns a slot of the runner with the fewest slots in use, among the
// runners that are not paused and have a free slot.
func (p *runnerPool) Take() (*slot, bool) {
	now := p.router.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	snapshot := p.refreshSnapshot(now)
	p.rotation++
	var best *runnerState
	bestIndex := 0
	for i := range snapshot.members {
		index := (i + p.rotation) % len(snapshot.members)
		state := p.stateOf(snapshot.members[index].Name)
		if now.Before(state.pausedUntil) || state.inUse >= snapshot.limits[index] {
			continue
		}
		if best == nil || state.inUse < best.inUse {
			best, bestIndex = state, index
		}
	}
	if best == nil {
		return nil, false
	}
	best.inUse++
	return &slot{pool: p, runner: snapshot.members[bestIndex]}, true
}

// Size returns the number of slots, free or not, of the runners that are not
// paused.
func (p *runnerPool) Size() int {
	now := p.router.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	snapshot := p.refreshSnapshot(now)
	for i, m := range snapshot.members {
		if state := p.runnerStates[m.Name]; state == nil || !now.Before(state.pausedUntil) {
			total += snapshot.limits[i]
		}
	}
	return total
}

// hasLiveRunner reports whether the pool has a runner that is not paused as
// unreachable or leaving.
func (p *runnerPool) hasLiveRunner() bool {
	now := p.router.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.refreshSnapshot(now).members {
		if state := p.runnerStates[m.Name]; state == nil || !state.unavailable || !now.Before(state.pausedUntil) {
			return true
		}
	}
	return false
}

// isUnused reports whether the pool has no runners, no state of departed
// runners and no waiting requests.
func (p *runnerPool) isUnused() bool {
	waiting := p.queue.Len()
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.refreshSnapshot(p.router.Clock.Now()).members) == 0 && len(p.runnerStates) == 0 && waiting == 0
}

// stateOf returns the state of a runner and creates it on first use. The pool's
// lock is held.
func (p *runnerPool) stateOf(runner string) *runnerState {
	state := p.runnerStates[runner]
	if state == nil {
		state = &runnerState{}
		p.runnerStates[runner] = state
	}
	return state
}

// pause keeps new requests from the slot's runner for d. When the pause ends,
// waiting requests get the runner's slots at once.
func (s *slot) pause(d time.Duration, unavailable bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	state := s.pool.stateOf(s.runner.Name)
	state.pausedUntil = s.pool.router.Clock.Now().Add(d)
	state.unavailable = unavailable
	s.pool.router.Clock.AfterFunc(d, s.pool.queue.GrantFreeSlots)
}

// release gives the slot back. A positive took is a measured service time.
func (s *slot) release(kind string, took time.Duration) {
	s.pool.mu.Lock()
	s.pool.stateOf(s.runner.Name).inUse--
	s.pool.mu.Unlock()
	s.pool.queue.Release(kind, took)
}

// releaseAt gives the slot back at a later time, because a request whose answer
// was lost may occupy the runner until then.
func (s *slot) releaseAt(at time.Time, kind string, took time.Duration) {
	delay := at.Sub(s.pool.router.Clock.Now())
	if delay <= 0 {
		s.release(kind, took)
		return
	}
	s.pool.router.Clock.AfterFunc(delay, func() { s.release(kind, took) })
}
