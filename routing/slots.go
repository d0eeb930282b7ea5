package routing

import (
	"sync"
	"time"

	"bergamotstile/admission"
	"bergamotstile/structs"
)

// laneID names the runners of one service in one shard.
type laneID struct {
	shard   structs.ShardID
	service string
}

// lane is the queue and the slots of a shard's runners of one service. A
// reserved lane holds the few connections that an instance may use without
// owning the shard.
type lane struct {
	id       laneID
	router   *Router
	reserved bool
	queue    *admission.Queue[*slot]

	mu      sync.Mutex
	turn    int
	runners map[string]*runnerUse
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

// lane returns the queue of a shard's runners, which it makes on first use.
func (r *Router) lane(shard structs.ShardID, service string) *lane {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := laneID{shard: shard, service: service}
	l := r.lanes[id]
	if l == nil {
		l = r.newLane(id, false)
		r.lanes[id] = l
	}
	return l
}

// reservedLane returns the reserved connections to a service's runners.
func (r *Router) reservedLane(shard structs.ShardID, service string) *lane {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := laneID{shard: shard, service: service}
	l := r.reserved[id]
	if l == nil {
		l = r.newLane(id, true)
		r.reserved[id] = l
	}
	return l
}

func (r *Router) newLane(id laneID, reserved bool) *lane {
	l := &lane{id: id, router: r, reserved: reserved, runners: map[string]*runnerUse{}}
	l.queue = admission.NewQueue(r.Settings.Admission, r.Clock, l)
	return l
}

func (r *Router) allLanes() []*lane {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*lane, 0, len(r.lanes)+len(r.reserved))
	for _, l := range r.lanes {
		out = append(out, l)
	}
	for _, l := range r.reserved {
		out = append(out, l)
	}
	return out
}

// members returns the lane's runners that may receive new requests now.
func (l *lane) members() []structs.Member {
	return l.router.runnersOf(l.id.shard, l.id.service)
}

func (r *Router) runnersOf(shard structs.ShardID, service string) []structs.Member {
	shards := r.Topology.Shards()
	var out []structs.Member
	for _, m := range r.Members.Runners(shard.Domain, service) {
		if structs.ShardOfMember(shard.Domain, m.Name, shards) == shard {
			out = append(out, m)
		}
	}
	return out
}

// limit is how many dispatches this instance may have at a runner at once. A
// dispatch takes one slot and one connection.
func (l *lane) limit(m structs.Member) int {
	s := l.router.Settings
	if l.reserved {
		return s.ReservedConnections
	}
	slots, connections := m.Slots, m.Connections
	if slots <= 0 {
		slots = s.DefaultSlots
	}
	if connections <= 0 {
		connections = s.DefaultConnections
	}
	others := len(l.router.Members.Entries(l.id.shard.Domain)) - 1
	return min(slots, max(connections-s.ReservedConnections*max(others, 0), 1))
}

// Take returns a slot of the least used runner.
func (l *lane) Take() (*slot, bool) {
	members := l.members()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.router.Clock.Now()
	l.turn++
	best, bestUse := -1, 0
	for i := range members {
		at := (i + l.turn) % len(members)
		u := l.use(members[at].Name)
		if now.Before(u.pausedUntil) || u.inUse >= l.limit(members[at]) {
			continue
		}
		if best < 0 || u.inUse < bestUse {
			best, bestUse = at, u.inUse
		}
	}
	if best < 0 {
		return nil, false
	}
	l.use(members[best].Name).inUse++
	return &slot{lane: l, runner: members[best]}, true
}

// Size returns the number of slots of the runners that are not paused.
func (l *lane) Size() int {
	members := l.members()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.router.Clock.Now()
	n := 0
	for _, m := range members {
		if u := l.runners[m.Name]; u == nil || !now.Before(u.pausedUntil) {
			n += l.limit(m)
		}
	}
	return n
}

// live reports whether a runner is left that was not just found unreachable.
func (l *lane) live() bool {
	members := l.members()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.router.Clock.Now()
	for _, m := range members {
		if u := l.runners[m.Name]; u == nil || !u.unreachable || !now.Before(u.pausedUntil) {
			return true
		}
	}
	return false
}

func (l *lane) use(runner string) *runnerUse {
	u := l.runners[runner]
	if u == nil {
		u = &runnerUse{}
		l.runners[runner] = u
	}
	return u
}

// prune forgets runners that are gone and hold no slot.
func (l *lane) prune() {
	members := l.members()
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Name] = true
	}
	for name, u := range l.runners {
		if !listed[name] && u.inUse == 0 && !l.router.Clock.Now().Before(u.pausedUntil) {
			delete(l.runners, name)
		}
	}
}

// pause keeps new requests from the slot's runner for a while.
func (s *slot) pause(d time.Duration, unreachable bool) {
	s.lane.mu.Lock()
	defer s.lane.mu.Unlock()
	u := s.lane.use(s.runner.Name)
	u.pausedUntil = s.lane.router.Clock.Now().Add(d)
	u.unreachable = unreachable
}

// release gives the slot back. A positive took is the measured service time.
func (s *slot) release(kind string, took time.Duration) {
	s.lane.mu.Lock()
	s.lane.use(s.runner.Name).inUse--
	s.lane.mu.Unlock()
	s.lane.queue.Done(kind, took)
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
