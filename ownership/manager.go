package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"bergamotstile/logging"
	"bergamotstile/structs"
)

// Manager takes, renews and releases the shards of this instance's failure
// domain.
type Manager struct {
	cfg   Config
	deps  Dependencies
	clock clockwork.Clock
	log   *logrus.Entry

	mu       sync.Mutex
	shards   map[structs.ShardID]*shardState
	draining bool
	// tableUp is whether the last call to the table succeeded, tableAt when.
	tableUp bool
	tableAt time.Time

	queued []Event // not yet passed to events
	wake   chan struct{}
	events chan Event
}

// eventBuffer is the capacity of the Events channel. More events wait in a
// list, so that nothing blocks on a slow consumer.
const eventBuffer = 64

// NewManager returns a manager that owns nothing until Serve runs.
func NewManager(cfg Config, deps Dependencies, clock clockwork.Clock) *Manager {
	m := &Manager{
		cfg: cfg.withDefaults(), deps: deps, clock: clock, log: logging.Part(deps.Log, "ownership"),
		shards: map[structs.ShardID]*shardState{},
		wake:   make(chan struct{}, 1),
		events: make(chan Event, eventBuffer),
	}
	for i := range m.cfg.Shards {
		id := structs.ShardID{Domain: m.cfg.Self.Domain, Index: i}
		m.shards[id] = &shardState{id: id, released: make(chan struct{}, 1)}
	}
	return m
}

// Serve runs until ctx ends. It releases nothing; see Release.
func (m *Manager) Serve(ctx context.Context) error {
	var parts sync.WaitGroup
	for _, s := range m.shards {
		parts.Go(func() { m.follow(ctx, s) })
	}
	parts.Go(func() { m.pumpEvents(ctx) })
	parts.Wait()
	return ctx.Err()
}

// follow steps one shard at its pace.
func (m *Manager) follow(ctx context.Context, s *shardState) {
	for {
		m.Step(ctx, s.id)
		select {
		case <-ctx.Done():
			return
		case <-s.released:
		case <-m.clock.After(m.pace(s)):
		}
	}
}

// Released tells that the owner of a shard has released it, so that its next
// owner need not wait until it looks at the row again. It is only a hint: what
// may be taken is still decided by the row.
func (m *Manager) Released(shard structs.ShardID) {
	s := m.shards[shard]
	if s == nil {
		return
	}
	select {
	case s.released <- struct{}{}:
	default:
	}
}

// pace returns the time until the shard's next step.
func (m *Manager) pace(s *shardState) time.Duration {
	wait := m.waitToTake(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	retry, renew := m.cfg.Lease/retryParts, m.cfg.Lease/renewParts
	if s.pending != nil || s.failing {
		return retry
	}
	if s.held || !s.seen {
		return renew
	}
	due := s.seenAt.Add(wait).Sub(m.clock.Now())
	return min(max(due, retry), renew)
}

func (m *Manager) pumpEvents(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for _, e := range m.takeEvents() {
			select {
			case m.events <- e:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (m *Manager) takeEvents() []Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.queued
	m.queued = nil
	return events
}

// emit queues an event. The lock is held.
func (m *Manager) emit(lease Lease, acquired bool) {
	m.queued = append(m.queued, Event{Lease: lease, Acquired: acquired})
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Events passes on each acquisition and loss of a shard, in order.
func (m *Manager) Events() <-chan Event {
	return m.events
}

// Held returns the lease of a shard if it is in force now, without extension.
func (m *Manager) Held(shard structs.ShardID) (Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[shard]
	if s == nil || !s.valid(m.clock.Now()) {
		return Lease{}, false
	}
	return s.lease, true
}

// ServingUntil returns until when this instance may serve a shard, with
// extension. It is zero if the shard is not served now.
func (m *Manager) ServingUntil(shard structs.ShardID) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[shard]
	if s == nil {
		return time.Time{}
	}
	return s.servingUntil(m.clock.Now())
}

// DispatchAfter returns the end of the predecessor's quiet time.
func (m *Manager) DispatchAfter(shard structs.ShardID) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.shards[shard]; s != nil {
		return s.dispatchAfter
	}
	return time.Time{}
}

// Owner returns the last known owner of a shard.
func (m *Manager) Owner(shard structs.ShardID) (structs.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[shard]
	if s == nil || s.free() {
		return structs.Member{}, false
	}
	return structs.Member{
		Name: s.read.row.Owner, Address: s.read.row.Address,
		Role: structs.RoleEntry, Domain: shard.Domain, State: structs.MemberLive,
	}, true
}

// Fenced drops a lease of which a transaction showed that the epoch moved.
func (m *Manager) Fenced(shard structs.ShardID, epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[shard]
	if s == nil || !s.held || s.lease.Epoch != epoch {
		return
	}
	m.lose(s)
	s.seen = false
}

// lose drops a lease. The lock is held.
func (m *Manager) lose(s *shardState) {
	if !s.held {
		return
	}
	log := m.log.WithFields(logrus.Fields{"shard": s.id, "epoch": s.lease.Epoch})
	if s.releasing {
		log.Info("shard released")
	} else {
		log.Warn("shard lost")
	}
	s.held, s.releasing = false, false
	s.validUntil, s.extendedUntil = time.Time{}, time.Time{}
	m.emit(s.lease, false)
}
