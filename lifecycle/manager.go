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

// Manager runs the work items of the shards that this instance owns and accepts
// submits for all shards.
type Manager struct {
	cfg   Config
	deps  Dependencies
	clock clockwork.Clock

	mu      sync.Mutex
	drivers map[structs.ShardID]*driver
	// lastEpochs holds, by shard, the epoch of the core that was created last.
	lastEpochs map[structs.ShardID]uint64
}

// Intervals and limits of the drivers.
const (
	// leasePollInterval is the interval at which the manager checks which
	// shards this instance owns.
	leasePollInterval = 50 * time.Millisecond
	// tickInterval is the interval at which a driver ticks its core. It delays a
	// group commit by at most that much beyond CommitWait.
	tickInterval = 5 * time.Millisecond
	// mailboxSize is the maximum number of steps that wait for a core.
	mailboxSize = 4096
)

// NewManager returns a manager that runs no cores until Serve is called.
func NewManager(cfg Config, deps Dependencies, clock clockwork.Clock) *Manager {
	deps.Log = logging.ForComponent(deps.Log, "lifecycle")
	return &Manager{
		cfg: cfg.withDefaults(), deps: deps, clock: clock,
		drivers: map[structs.ShardID]*driver{}, lastEpochs: map[structs.ShardID]uint64{},
	}
}

// Serve runs a core for each shard that this instance acquires, until ctx ends.
func (m *Manager) Serve(ctx context.Context) error {
	ticker := m.clock.NewTicker(leasePollInterval)
	defer ticker.Stop()
	defer m.stopDrivers()
	for {
		m.updateDrivers(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
}

func (m *Manager) updateDrivers(ctx context.Context) {
	for i := range m.cfg.Shards {
		m.updateDriver(ctx, structs.ShardID{Domain: m.cfg.Domain, Index: i})
	}
}

// updateDriver starts a core if this instance holds the shard's lease and no
// core runs. It replaces a core that has stepped down, or whose epoch is not
// that of the lease. While no lease is in force, the core stays and neither
// commits nor starts anything; GrantAges can still query it.
func (m *Manager) updateDriver(ctx context.Context, shard structs.ShardID) {
	lease, held := m.deps.Leases.HeldLease(shard)
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.drivers[shard]
	if d != nil && d.hasEnded() || d != nil && held && d.core.lease.Epoch != lease.Epoch {
		d.requestStop()
		delete(m.drivers, shard)
		d = nil
	}
	if d != nil || !held {
		return
	}
	d = newDriver(m.newCoreForLease(lease))
	m.drivers[shard] = d
	m.deps.Log.WithFields(logrus.Fields{"shard": shard, "epoch": lease.Epoch}).Info("shard acquired")
	go d.run(ctx)
}

// newCoreForLease returns a new core for a lease. Only the first core of an
// epoch may rely on the lease's LastGrants. For each later core of the epoch,
// newCoreForLease drops them, because the first core may have granted task
// leases since. The caller holds the lock.
func (m *Manager) newCoreForLease(lease ownership.Lease) *core {
	if m.lastEpochs[lease.Shard] == lease.Epoch {
		lease.LastGrants = nil
	}
	m.lastEpochs[lease.Shard] = lease.Epoch
	return newCore(m.cfg, m.deps, m.clock, lease)
}

// GrantAges returns, by worker, the age of the last call that could grant a
// task lease, for workers that have left the membership list. It serves the
// handover of a shard that this instance no longer serves. For a worker that is
// not in the result, the successor must assume that a lease was granted just
// now. GrantAges returns nil if this instance has no core for the shard, if it
// still serves the shard or if the core does not answer before ctx ends.
func (m *Manager) GrantAges(ctx context.Context, shard structs.ShardID) map[string]time.Duration {
	m.mu.Lock()
	d := m.drivers[shard]
	m.mu.Unlock()
	if d == nil {
		return nil
	}
	ages, err := runStepAndAwaitReply(ctx, d, func(reply func(map[string]time.Duration, error)) { reply(d.core.grantAges(), nil) })
	if err != nil {
		m.deps.Log.WithError(err).WithField("shard", shard).Warn("ages of task lease grants not handed over; successor waits for full task leases")
	}
	return ages
}

func (m *Manager) stopDrivers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for shard, d := range m.drivers {
		d.requestStop()
		delete(m.drivers, shard)
	}
}

// driver runs one core. It executes the core's steps and ticks on one goroutine,
// which the comments of this package call the core's goroutine, and the core's
// calls on others.
type driver struct {
	core      *core
	mailbox   *ring.Queue[func()] // steps that wait for the core's goroutine
	callSlots chan struct{}       // holds one element for each call slot in use
	done      chan struct{}       // closed when run returns
	stop      chan struct{}       // closed by requestStop
	stopOnce  sync.Once
}

func newDriver(c *core) *driver {
	return &driver{
		core:      c,
		mailbox:   ring.New[func()](mailboxSize),
		callSlots: make(chan struct{}, c.cfg.MaxCalls),
		done:      make(chan struct{}),
		stop:      make(chan struct{}),
	}
}

// requestStop asks run to step down from the shard and to return. It does not
// wait and may be called several times.
func (d *driver) requestStop() {
	d.stopOnce.Do(func() { close(d.stop) })
}

// hasEnded reports whether run has returned.
func (d *driver) hasEnded() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// run executes the core's steps and ticks, and starts the calls that they queue,
// until the core has stepped down. The core steps down of itself, after
// requestStop or when ctx ends.
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
		waiting = d.startCalls(ctx, append(waiting, d.core.takeCalls()...))
	}
}

// startCalls starts each call on a goroutine of its own. It returns the calls
// that have to wait for a slot, because none is free.
func (d *driver) startCalls(ctx context.Context, calls []call) []call {
	var waiting []call
	for _, pending := range calls {
		if !pending.needsSlot {
			go d.perform(ctx, pending)
			continue
		}
		select {
		case d.callSlots <- struct{}{}:
			go d.performWithSlot(ctx, pending)
		default:
			waiting = append(waiting, pending)
		}
	}
	return waiting
}

// performWithSlot runs a call that holds a slot, frees the slot and adds the
// step that processes the result to the mailbox.
func (d *driver) performWithSlot(ctx context.Context, pending call) {
	step := d.runCall(ctx, pending)
	<-d.callSlots
	d.postResult(ctx, step)
}

// perform runs a call and adds the step that processes its result to the
// mailbox.
func (d *driver) perform(ctx context.Context, pending call) {
	d.postResult(ctx, d.runCall(ctx, pending))
}

// runCall runs a call with the remainder of its timeout. A call that has waited
// for a slot until its timeout has elapsed gets an expired context and is not
// sent. Otherwise a late heartbeat could renew task leases that the core
// assumes to have expired.
func (d *driver) runCall(ctx context.Context, pending call) func() {
	remaining := pending.timeout - d.core.clock.Since(pending.queuedAt)
	callCtx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return pending.run(callCtx)
}

// postResult adds the step that processes a call's result to the mailbox. It
// waits while the mailbox is full, because the result must not be lost. It drops
// the result only if ctx ends or the driver has ended.
func (d *driver) postResult(ctx context.Context, step func()) {
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

// runStepAndAwaitReply queues a step in the mailbox of a driver, which executes
// it on the goroutine of its core, and returns what the step passes to reply.
// The step may call reply only after further calls, for example once a commit
// has succeeded. runStepAndAwaitReply returns a refusal instead if the mailbox
// is full, if ctx ends first or if the driver ends first. In the first case, the
// step does not run. In the second case, it may still run after
// runStepAndAwaitReply has returned. In the third case, it may have run or not.
func runStepAndAwaitReply[T any](ctx context.Context, d *driver, step func(reply func(T, error))) (T, error) {
	type answer struct {
		value T
		err   error
	}
	var zero T
	answers := make(chan answer, 1)
	reply := func(value T, err error) {
		select {
		case answers <- answer{value, err}:
		default:
		}
	}
	if !d.mailbox.Offer(func() { step(reply) }) {
		return zero, structs.NotRun(structs.ReasonQueueFull, "shard %s is busy", d.core.lease.Shard)
	}
	select {
	case a := <-answers:
		return a.value, a.err
	case <-d.done:
	case <-ctx.Done():
		return zero, structs.MayHaveRun(structs.ReasonWriteUnresolved, "no answer from shard %s in time", d.core.lease.Shard)
	}
	select {
	case a := <-answers:
		return a.value, a.err
	default:
		return zero, structs.MayHaveRun(structs.ReasonNotOwner, "shard %s has a new owner", d.core.lease.Shard)
	}
}

// ownedDriver returns the driver of a shard that this instance owns and may
// serve now.
func (m *Manager) ownedDriver(shard structs.ShardID) (*driver, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.drivers[shard]
	if d == nil || d.hasEnded() || !m.clock.Now().Before(m.deps.Leases.ServingUntil(shard)) {
		return nil, structs.NotRun(structs.ReasonNotOwner, "shard %s is not owned here", shard)
	}
	return d, nil
}
