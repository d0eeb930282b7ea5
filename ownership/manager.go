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
	// tableUp reports whether the table answered the last call to it, and
	// tableCheckedAt is the time at which that call ended.
	tableUp        bool
	tableCheckedAt time.Time

	queuedEvents []Event       // events not yet sent on the events channel
	eventQueued  chan struct{} // wakes deliverEvents
	events       chan Event
}

// eventBuffer is the capacity of the Events channel. Further events wait in
// queuedEvents, so that a slow consumer does not block the Manager.
const eventBuffer = 64

// NewManager returns a manager that owns no shard until Serve or Step runs.
func NewManager(cfg Config, deps Dependencies, clock clockwork.Clock) *Manager {
	m := &Manager{
		cfg: cfg.withDefaults(), deps: deps, clock: clock, log: logging.ForComponent(deps.Log, "ownership"),
		shards:      map[structs.ShardID]*shardState{},
		eventQueued: make(chan struct{}, 1),
		events:      make(chan Event, eventBuffer),
	}
	for i := range m.cfg.Shards {
		id := structs.ShardID{Domain: m.cfg.Self.Domain, Index: i}
		m.shards[id] = &shardState{id: id, releaseNotice: make(chan struct{}, 1)}
	}
	return m
}

// Serve takes and renews the shards and delivers events until ctx ends. It does
// not release the shards when it ends; Release does.
func (m *Manager) Serve(ctx context.Context) error {
	var loops sync.WaitGroup
	for _, s := range m.shards {
		loops.Go(func() { m.runShard(ctx, s) })
	}
	loops.Go(func() { m.deliverEvents(ctx) })
	loops.Wait()
	return ctx.Err()
}

// runShard runs the steps of one shard until ctx ends. It waits for stepDelay
// between two steps, or until a peer reports that the owner released the shard.
func (m *Manager) runShard(ctx context.Context, s *shardState) {
	for {
		m.Step(ctx, s.id)
		select {
		case <-ctx.Done():
			return
		case <-s.releaseNotice:
		case <-m.clock.After(m.stepDelay(s)):
		}
	}
}

// NotifyReleased is called when a peer reports that it has released a shard. It
// starts the shard's next step at once, so that this instance need not wait until
// the row is due to be read again. The notice is only a hint: the row still decides
// whether the shard may be taken.
func (m *Manager) NotifyReleased(shard structs.ShardID) {
	s := m.shards[shard]
	if s == nil {
		return
	}
	select {
	case s.releaseNotice <- struct{}{}:
	default:
	}
}

// stepDelay returns the time until the next step of a shard: the retry interval
// while a write is pending or the table fails, the renewal interval while the shard
// is held or its rows are not known, and otherwise the time until this instance
// may take the shard, but at least the retry interval and at most the renewal
// interval.
func (m *Manager) stepDelay(s *shardState) time.Duration {
	wait := m.takeoverWait(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	retry, renew := m.cfg.Lease/retriesPerLease, m.cfg.Lease/renewalsPerLease
	if s.pending != nil || s.tableFailing {
		return retry
	}
	if s.held || !s.rowsKnown {
		return renew
	}
	untilTakeover := s.versionSeenAt.Add(wait).Sub(m.clock.Now())
	return min(max(untilTakeover, retry), renew)
}

// deliverEvents sends the queued events on the Events channel until ctx ends.
func (m *Manager) deliverEvents(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.eventQueued:
		}
		for _, e := range m.dequeueEvents() {
			select {
			case m.events <- e:
			case <-ctx.Done():
				return
			}
		}
	}
}

// dequeueEvents returns all queued events and empties the queue.
func (m *Manager) dequeueEvents() []Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.queuedEvents
	m.queuedEvents = nil
	return events
}

// queueEvent queues an event and wakes deliverEvents. The caller holds m.mu.
func (m *Manager) queueEvent(lease Lease, acquired bool) {
	m.queuedEvents = append(m.queuedEvents, Event{Lease: lease, Acquired: acquired})
	select {
	case m.eventQueued <- struct{}{}:
	default:
	}
}

// Events returns the channel on which each acquisition and each loss of a shard is
// delivered, in the order in which they happened.
func (m *Manager) Events() <-chan Event {
	return m.events
}

// HeldLease returns the lease of a shard, and true if this instance holds it now by a
// takeover or a renewal in the table. A lease that is in force only by an extension,
// or that is being released, does not count.
func (m *Manager) HeldLease(shard structs.ShardID) (Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[shard]
	if s == nil || !s.isValid(m.clock.Now()) {
		return Lease{}, false
	}
	return s.lease, true
}

// ServingUntil returns the time until which this instance may serve a shard,
// extensions included. It is zero if this instance may not serve the shard now.
func (m *Manager) ServingUntil(shard structs.ShardID) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[shard]
	if s == nil {
		return time.Time{}
	}
	return s.servingUntil(m.clock.Now())
}

// DispatchAfter returns the end of the quiet period that the predecessor handed
// over. Until then, keyed requests that the predecessor dispatched may still run, and
// this instance must not dispatch keyed requests of the shard.
func (m *Manager) DispatchAfter(shard structs.ShardID) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.shards[shard]; s != nil {
		return s.dispatchAfter
	}
	return time.Time{}
}

// Owner returns the owner that the shard's row named when this instance last read or
// wrote it, and reports whether there is one.
func (m *Manager) Owner(shard structs.ShardID) (structs.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[shard]
	if s == nil || s.isFree() {
		return structs.Member{}, false
	}
	return structs.Member{
		Name: s.rows.shard.Owner, Address: s.rows.shard.Address,
		Role: structs.RoleEntry, Domain: shard.Domain, State: structs.MemberLive,
	}, true
}

// NotifyFenced drops the lease of a shard if this instance holds it in the given epoch.
// It is called when a transaction has conflicted with the fence of the lease, or a
// read has shown another version of the epoch row: another instance has raised the
// epoch.
func (m *Manager) NotifyFenced(shard structs.ShardID, epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[shard]
	if s == nil || !s.held || s.lease.Epoch != epoch {
		return
	}
	m.dropLease(s)
	s.rowsKnown = false
}

// dropLease ends the lease of a shard, logs it and queues an event. The caller
// holds m.mu.
func (m *Manager) dropLease(s *shardState) {
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
	m.queueEvent(s.lease, false)
}
