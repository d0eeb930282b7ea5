package lifecycle

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"bergamotstile/logging"
	"bergamotstile/ownership"
	"bergamotstile/ring"
	"bergamotstile/structs"
)

// Manager runs the work items of the shards that this instance owns and
// accepts submits for any shard.
type Manager struct {
	cfg   Config
	deps  Dependencies
	clock clockwork.Clock

	mu     sync.Mutex
	shards map[structs.ShardID]*driver
	// epochs holds the epoch of the last core of each shard.
	epochs map[structs.ShardID]uint64
}

// Intervals of the drivers.
const (
	// leasePoll is how often the manager looks for acquired shards.
	leasePoll = 50 * time.Millisecond
	// tickInterval is how often a core looks for what is due. Group commits
	// wait at most that much longer than CommitWait.
	tickInterval = 5 * time.Millisecond
	// mailboxSize bounds the steps that wait for a core.
	mailboxSize = 4096
)

// NewManager returns a manager that does nothing until Serve runs.
func NewManager(cfg Config, deps Dependencies, clock clockwork.Clock) *Manager {
	deps.Log = logging.Part(deps.Log, "lifecycle")
	return &Manager{
		cfg: cfg.withDefaults(), deps: deps, clock: clock,
		shards: map[structs.ShardID]*driver{}, epochs: map[structs.ShardID]uint64{},
	}
}

// Serve follows the leases of this instance until ctx ends.
func (m *Manager) Serve(ctx context.Context) error {
	ticker := m.clock.NewTicker(leasePoll)
	defer ticker.Stop()
	defer m.stopAll()
	for {
		m.followLeases(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
}

func (m *Manager) followLeases(ctx context.Context) {
	for i := range m.cfg.Shards {
		m.followLease(ctx, structs.ShardID{Domain: m.cfg.Domain, Index: i})
	}
}

// followLease replaces the shard's core when the lease has another epoch. A
// lease that lapsed but was not lost keeps its core, which then commits and
// starts nothing.
func (m *Manager) followLease(ctx context.Context, shard structs.ShardID) {
	lease, held := m.deps.Leases.Held(shard)
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.shards[shard]
	if d != nil && d.ended() || d != nil && held && d.core.lease.Epoch != lease.Epoch {
		d.cancel()
		delete(m.shards, shard)
		d = nil
	}
	if d != nil || !held {
		return
	}
	d = newDriver(m.coreFor(lease))
	m.shards[shard] = d
	m.deps.Log.WithFields(logrus.Fields{"shard": shard, "epoch": lease.Epoch}).Info("shard acquired")
	go d.run(ctx)
}

// coreFor returns a new core. What the lease tells of earlier grants holds for
// the first core of an epoch only, which may have granted more. The lock is
// held.
func (m *Manager) coreFor(lease ownership.Lease) *core {
	if m.epochs[lease.Shard] == lease.Epoch {
		lease.LastGrants = nil
	}
	m.epochs[lease.Shard] = lease.Epoch
	return newCore(m.cfg, m.deps, m.clock, lease)
}

// SinceGrant returns the ages of the last calls that could grant task leases to
// workers that left the list, for the handover of a shard that is no longer
// served. Workers that it does not name may have had one just now.
func (m *Manager) SinceGrant(ctx context.Context, shard structs.ShardID) map[string]time.Duration {
	m.mu.Lock()
	d := m.shards[shard]
	m.mu.Unlock()
	if d == nil {
		return nil
	}
	ages, err := ask(ctx, d, func(reply func(map[string]time.Duration, error)) { reply(d.core.sinceGrant(), nil) })
	if err != nil {
		m.deps.Log.WithError(err).WithField("shard", shard).Warn("grants not handed over, so the successor waits in full")
	}
	return ages
}

func (m *Manager) stopAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for shard, d := range m.shards {
		d.cancel()
		delete(m.shards, shard)
	}
}

// driver runs one core: its steps on one goroutine, its calls on others.
type driver struct {
	core    *core
	mailbox *ring.Ring[func()]
	slots   chan struct{}
	done    chan struct{}
	stop    chan struct{}
	once    sync.Once
}

func newDriver(c *core) *driver {
	return &driver{
		core:    c,
		mailbox: ring.New[func()](mailboxSize),
		slots:   make(chan struct{}, c.cfg.MaxCalls),
		done:    make(chan struct{}),
		stop:    make(chan struct{}),
	}
}

func (d *driver) cancel() {
	d.once.Do(func() { close(d.stop) })
}

func (d *driver) ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

func (d *driver) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(d.done)
	ticker := d.core.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	var waiting []call
	for !d.core.stopped {
		select {
		case <-ctx.Done():
			d.core.stepDown()
		case <-d.stop:
			d.core.stepDown()
		case step := <-d.mailbox.C():
			step()
		case <-ticker.Chan():
			d.core.tick()
		}
		waiting = d.launch(ctx, append(waiting, d.core.takeCalls()...))
	}
}

// launch runs the calls, except for limited ones that find no slot, which it
// returns.
func (d *driver) launch(ctx context.Context, calls []call) []call {
	var waiting []call
	for _, one := range calls {
		if !one.limited {
			go d.perform(ctx, one)
			continue
		}
		select {
		case d.slots <- struct{}{}:
			go d.performLimited(ctx, one)
		default:
			waiting = append(waiting, one)
		}
	}
	return waiting
}

func (d *driver) performLimited(ctx context.Context, one call) {
	step := d.runCall(ctx, one)
	<-d.slots
	d.post(ctx, step)
}

func (d *driver) perform(ctx context.Context, one call) {
	d.post(ctx, d.runCall(ctx, one))
}

// runCall does a call within what is left of its timeout. One that waited too
// long for a slot is not sent: a late heartbeat would renew task leases that
// the core no longer counts on.
func (d *driver) runCall(ctx context.Context, one call) func() {
	left := one.timeout - d.core.clock.Since(one.queued)
	limited, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return one.run(limited)
}

// post waits for room in the mailbox: the result of a call must not be lost.
func (d *driver) post(ctx context.Context, step func()) {
	for !d.mailbox.Offer(step) {
		select {
		case <-ctx.Done():
			return
		case <-d.done:
			return
		case <-d.core.clock.After(tickInterval):
		}
	}
}

// ask runs a step on the core's goroutine and waits for its reply.
func ask[T any](ctx context.Context, d *driver, step func(reply func(T, error))) (T, error) {
	type answer struct {
		value T
		err   error
	}
	var none T
	answers := make(chan answer, 1)
	reply := func(value T, err error) {
		select {
		case answers <- answer{value, err}:
		default:
		}
	}
	if !d.mailbox.Offer(func() { step(reply) }) {
		return none, structs.NotRun(structs.ReasonQueueFull, "shard %s is busy", d.core.lease.Shard)
	}
	select {
	case a := <-answers:
		return a.value, a.err
	case <-d.done:
	case <-ctx.Done():
		return none, structs.MayHaveRun(structs.ReasonWriteUnresolved, "no answer from shard %s in time", d.core.lease.Shard)
	}
	select {
	case a := <-answers:
		return a.value, a.err
	default:
		return none, structs.MayHaveRun(structs.ReasonNotOwner, "shard %s has a new owner", d.core.lease.Shard)
	}
}

// owned returns the driver of a shard that this instance serves.
func (m *Manager) owned(shard structs.ShardID) (*driver, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.shards[shard]
	if d == nil || d.ended() || !m.clock.Now().Before(m.deps.Leases.ServingUntil(shard)) {
		return nil, structs.NotRun(structs.ReasonNotOwner, "shard %s is not owned here", shard)
	}
	return d, nil
}
