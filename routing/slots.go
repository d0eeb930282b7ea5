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

// laneID names the runners of one service in one shard. A reserved lane holds
// the few connections that an instance may use without owning the shard.
type laneID struct {
	shard    structs.ShardID
	service  string
	reserved bool
}

// lane is the queue and the slots of a shard's runners of one service.
type lane struct {
	id     laneID
	router *Router
	queue  *admission.Queue[*slot]

	mu      sync.Mutex
	turn    int
	runners map[string]*runnerUse
	view    laneView
}

type runnerUse struct {
	inUse       int
	pausedUntil time.Time
	unreachable bool
}

// slot is the right to have one dispatch at a runner.
type slot struct {
	lane   *lane
	runner structs.Member
}

// lane returns the queue of a shard's runners.
func (r *Router) lane(shard structs.ShardID, service string) *lane {
	return r.laneOf(laneID{shard: shard, service: service})
}

// reservedLane returns the reserved connections to a service's runners.
func (r *Router) reservedLane(shard structs.ShardID, service string) *lane {
	return r.laneOf(laneID{shard: shard, service: service, reserved: true})
}

// laneOf returns the lane with the given ID, which it makes on first use.
func (r *Router) laneOf(id laneID) *lane {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lanes[id]
	if l == nil {
		l = r.newLane(id)
		r.lanes[id] = l
	}
	return l
}

func (r *Router) newLane(id laneID) *lane {
	l := &lane{id: id, router: r, runners: map[string]*runnerUse{}}
	l.queue = admission.NewQueue(r.Settings.Admission, r.Clock, l)
	return l
}

// dropUnusedLanes forgets the lanes of services that have no runners.
func (r *Router) dropUnusedLanes() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, l := range r.lanes {
		if l.unused() {
			delete(r.lanes, id)
		}
	}
}

func (r *Router) allLanes() []*lane {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.lanes))
}

// laneView is what the lane last read of the membership view and the topology.
type laneView struct {
	at      time.Time
	members []structs.Member // that may receive new requests
	limits  []int            // dispatches at once, of each member
}

// refresh reads the lane's runners again if the last reading is old, with the
// lane's lock held. Reading them for each request costs more than all else.
func (l *lane) refresh(now time.Time) *laneView {
	if !l.view.at.IsZero() && now.Sub(l.view.at) < l.router.Settings.RunnersMaxAge {
		return &l.view
	}
	l.view = laneView{at: now}
	shards, domain := l.router.Topology.Shards(), l.id.shard.Domain
	others := max(len(l.router.Members.Entries(domain))-1, 0)
	for _, m := range l.router.Members.Runners(domain, l.id.service) {
		if structs.ShardOfMember(domain, m.Name, shards) == l.id.shard {
			l.view.members = append(l.view.members, m)
			l.view.limits = append(l.view.limits, l.limit(m, others))
		}
	}
	l.forgetGone(now)
	return &l.view
}

// limit is how many dispatches this instance may have at a runner at once. A
// dispatch takes one slot and one connection, and each other entry instance of
// the domain may use the reserved connections.
func (l *lane) limit(m structs.Member, others int) int {
	s := l.router.Settings
	if l.id.reserved {
		return s.ReservedConnections
	}
	slots, connections := m.Slots, m.Connections
	defaults.Set(&slots, s.DefaultSlots)
	defaults.Set(&connections, s.DefaultConnections)
	return min(slots, max(connections-s.ReservedConnections*others, 1))
}

// forgetGone drops the use of runners that are gone and hold no slot.
func (l *lane) forgetGone(now time.Time) {
	listed := make(map[string]bool, len(l.view.members))
	for _, m := range l.view.members {
		listed[m.Name] = true
	}
	for name, u := range l.runners {
		if !listed[name] && u.inUse == 0 && !now.Before(u.pausedUntil) {
			delete(l.runners, name)
		}
	}
}

// Take returns a slot of the least used runner.
func (l *lane) Take() (*slot, bool) {
	now := l.router.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.refresh(now)
	l.turn++
	var best *runnerUse
	bestAt := 0
	for i := range v.members {
		at := (i + l.turn) % len(v.members)
		u := l.use(v.members[at].Name)
		if now.Before(u.pausedUntil) || u.inUse >= v.limits[at] {
			continue
		}
		if best == nil || u.inUse < best.inUse {
			best, bestAt = u, at
		}
	}
	if best == nil {
		return nil, false
	}
	best.inUse++
	return &slot{lane: l, runner: v.members[bestAt]}, true
}

// Size returns the number of slots of the runners that are not paused.
func (l *lane) Size() int {
	now := l.router.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	v := l.refresh(now)
	for i, m := range v.members {
		if u := l.runners[m.Name]; u == nil || !now.Before(u.pausedUntil) {
			n += v.limits[i]
		}
	}
	return n
}

// live reports whether a runner is left that was not just found unreachable.
func (l *lane) live() bool {
	now := l.router.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.refresh(now).members {
		if u := l.runners[m.Name]; u == nil || !u.unreachable || !now.Before(u.pausedUntil) {
			return true
		}
	}
	return false
}

// unused reports whether the lane has no runners and nothing in it.
func (l *lane) unused() bool {
	waiting := l.queue.Len()
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.refresh(l.router.Clock.Now()).members) == 0 && len(l.runners) == 0 && waiting == 0
}

func (l *lane) use(runner string) *runnerUse {
	u := l.runners[runner]
	if u == nil {
		u = &runnerUse{}
		l.runners[runner] = u
	}
	return u
}

// pause keeps new requests from the slot's runner for a while. Requests that
// wait when the pause ends are served at once.
func (s *slot) pause(d time.Duration, unreachable bool) {
	s.lane.mu.Lock()
	defer s.lane.mu.Unlock()
	u := s.lane.use(s.runner.Name)
	u.pausedUntil = s.lane.router.Clock.Now().Add(d)
	u.unreachable = unreachable
	s.lane.router.Clock.AfterFunc(d, s.lane.queue.GrantFreeSlots)
}

// release gives the slot back. A positive took is the measured service time.
func (s *slot) release(kind string, took time.Duration) {
	s.lane.mu.Lock()
	s.lane.use(s.runner.Name).inUse--
	s.lane.mu.Unlock()
	s.lane.queue.Release(kind, took)
}

// releaseAt gives the slot back at a later time: a request whose answer was
// lost may still occupy the runner until its deadline.
func (s *slot) releaseAt(t time.Time, kind string, took time.Duration) {
	wait := t.Sub(s.lane.router.Clock.Now())
	if wait <= 0 {
		s.release(kind, took)
		return
	}
	s.lane.router.Clock.AfterFunc(wait, func() { s.release(kind, took) })
}
