package lifecycle

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"bergamotstile/platform"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// planner asks the policy for plans, one at a time.
type planner struct {
	dirty    bool // something changed since the last snapshot
	busy     bool
	next     time.Time
	refresh  time.Time
	nextView time.Time
	asked    time.Time // when the snapshot under way was taken
}

// planRest times the length of a plan is the least wait before the next one,
// so that planning for a long queue takes at most a tenth of the time.
const planRest = 9

// planRefresh is how often a plan is made although nothing changed, since
// waiting times and measured usage grow.
const planRefresh = time.Second

func (c *core) tickPlan() {
	p := &c.planner
	now := c.clock.Now()
	due := p.dirty && !now.Before(p.next) || !now.Before(p.refresh)
	if p.busy || !due || !c.held() {
		return
	}
	p.busy, p.dirty = true, false
	p.refresh = now.Add(planRefresh)
	p.asked = now
	snapshot := c.snapshot()
	c.do("plan", func(context.Context) func() {
		plan := c.deps.Policy.Schedule(snapshot)
		return func() { c.onPlan(plan) }
	})
}

func (c *core) onPlan(plan scheduler.Plan) {
	p, now := &c.planner, c.clock.Now()
	p.busy = false
	p.next = now.Add(max(c.cfg.PlanInterval, planRest*now.Sub(p.asked)))
	if c.stopped {
		return
	}
	for _, refusal := range plan.Refusals {
		c.refuse(refusal)
	}
	for _, placement := range plan.Placements {
		c.place(placement)
	}
	for _, throttle := range plan.Throttles {
		_ = c.throttle(throttle.Work, throttle.Share)
	}
	for _, eviction := range plan.Evictions {
		_ = c.evict(eviction.Work, eviction.Cause)
	}
	c.tickApplier()
}

// place checks a placement against the ledger as it is now and queues the
// intent. The plan was made from an older snapshot.
func (c *core) place(p scheduler.Placement) {
	r, w := c.queue[p.Work], c.workers[p.Worker]
	if r == nil || w == nil || r.pending != nil || r.cancel {
		return
	}
	if w.isLeaving() || !c.reachable(w) {
		return
	}
	attempt := structs.NewAttemptID(r.item.ID, r.item.Attempt+1)
	if !c.ledger.hold(p.Worker, attempt, r.item.Spec.Size) {
		c.planner.dirty = true
		return
	}
	c.transit(r, Event{Kind: EventPlace, Worker: p.Worker, BootID: w.bootID, Epoch: c.lease.Epoch})
}

func (c *core) refuse(refusal scheduler.Refusal) {
	r := c.queue[refusal.Work]
	if r == nil || r.pending != nil {
		return
	}
	c.transit(r, Event{Kind: EventRefuse, Detail: string(refusal.Reason) + ": " + refusal.Detail})
}

// evict asks for a checkpoint and a stop of a running item.
func (c *core) evict(id structs.WorkID, cause string) error {
	r := c.items[id]
	if r == nil || r.item.State != structs.StateRunning {
		return structs.NotRun(structs.ReasonNotFound, "work item %s is not running", id)
	}
	if c.storeDown {
		return structs.NotRun(structs.ReasonStoreUnavailable, "evictions are suspended while the object store is down")
	}
	if !c.held() {
		return structs.NotRun(structs.ReasonStoreUnavailable, "the eviction cannot be recorded")
	}
	attempt := r.item.AttemptID()
	c.probeStore(func() {
		if !c.storeDown && r.item.AttemptID() == attempt && r.item.State == structs.StateRunning {
			r.evict = "evicted: " + cause
			c.advance(r)
		}
	})
	return nil
}

// probeObject is a name that need not exist: any answer shows that the object
// store is up.
const probeObject = "probe"

// probeStore looks whether the object store answers. Work that is stopped
// while it does not would lose its checkpoint.
func (c *core) probeStore(then func()) {
	c.do("probe store", func(ctx context.Context) func() {
		_, err := c.deps.Objects.Head(ctx, probeObject)
		return func() {
			c.noteStore(err)
			if then != nil && !c.stopped {
				then()
			}
		}
	})
}

func (c *core) noteStore(err error) {
	c.storeDown = err != nil && !errors.Is(err, platform.ErrNotFound)
	c.nextProbe = c.clock.Now().Add(storeProbeInterval)
}

// storeProbeInterval is how often a store that is down is tried again.
const storeProbeInterval = time.Second

// tickStore tries a store that was down.
func (c *core) tickStore() {
	if c.storeDown && !c.clock.Now().Before(c.nextProbe) {
		c.nextProbe = c.clock.Now().Add(storeProbeInterval)
		c.probeStore(nil)
	}
}

// throttle limits a running item to a share of its processors.
func (c *core) throttle(id structs.WorkID, share float64) error {
	r := c.items[id]
	if r == nil || r.item.State != structs.StateRunning {
		return structs.NotRun(structs.ReasonNotFound, "work item %s is not running", id)
	}
	if r.throttle == share {
		return nil
	}
	r.throttle, r.throttling = share, true
	c.advance(r)
	return nil
}

// snapshot copies what the policy may look at.
func (c *core) snapshot() scheduler.Snapshot {
	s := scheduler.Snapshot{Shard: c.lease.Shard, Now: c.clock.Now(), EvictionsSuspended: c.storeDown}
	for _, name := range slices.Sorted(maps.Keys(c.workers)) {
		s.Workers = append(s.Workers, c.workerSnapshot(c.workers[name]))
	}
	for _, r := range c.queue {
		if r.pending == nil && !r.cancel {
			s.Queue = append(s.Queue, c.itemSnapshot(r))
		}
	}
	slices.SortFunc(s.Queue, func(a, b scheduler.Item) int {
		if a.Waiting != b.Waiting {
			return int(b.Waiting - a.Waiting)
		}
		return compareIDs(a.Work, b.Work)
	})
	return s
}

func (c *core) workerSnapshot(w *worker) scheduler.Worker {
	account := c.ledger.account(w.member.Name)
	out := scheduler.Worker{
		Name: w.member.Name, Rack: w.member.Rack,
		Capacity: account.capacity, Allocated: account.used,
		Leaving: w.isLeaving(), Reachable: c.reachable(w), UsageAge: w.usageAge,
	}
	if c.deps.Verdicts != nil {
		out.Quarantined = c.deps.Verdicts.Quarantined(w.member.Name)
	}
	for _, r := range c.recordsOn(w.member.Name) {
		out.Running = append(out.Running, c.attemptSnapshot(r))
	}
	return out
}

func (c *core) attemptSnapshot(r *record) scheduler.Attempt {
	spec := r.item.Spec
	a := scheduler.Attempt{
		ID: r.item.AttemptID(), Work: r.item.ID, Team: spec.Team, Job: spec.Job,
		Kind: spec.Kind, Class: spec.Class, State: r.item.State,
		Size: spec.Size, Used: r.used, Throttle: r.throttle,
		Idempotent: spec.Idempotent, Evictions: r.item.Evictions, Checkpoint: r.item.Checkpoint,
		ExpectedRun: time.Duration(spec.ExpectedRunMS) * time.Millisecond,
	}
	if !r.placedAt.IsZero() {
		a.RunningFor = c.clock.Now().Sub(r.placedAt)
	}
	return a
}

func (c *core) itemSnapshot(r *record) scheduler.Item {
	spec := r.item.Spec
	return scheduler.Item{
		Work: r.item.ID, Team: spec.Team, Job: spec.Job, Kind: spec.Kind,
		Class: spec.Class, Size: spec.Size, Idempotent: spec.Idempotent,
		Waiting:     c.clock.Now().Sub(r.queuedAt),
		ExpectedRun: time.Duration(spec.ExpectedRunMS) * time.Millisecond,
		FailedOn:    slices.Clone(r.item.FailedOn), Attempts: r.item.Attempt,
		Evictions: r.item.Evictions, Checkpoint: r.item.Checkpoint,
	}
}
