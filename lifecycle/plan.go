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

// planner requests plans from the policy, one at a time.
type planner struct {
	dirty          bool      // the queue, a worker or an allocation changed since the last snapshot
	inFlight       bool      // the policy is making a plan
	notBefore      time.Time // earliest time of the next plan after a change
	refreshAt      time.Time // time of the next plan even without a change
	nextWorkerSync time.Time // time of the next read of the worker list
	snapshotAt     time.Time // when the last snapshot was taken
}

// planPauseFactor is the ratio of the pause after a plan to the time that the
// plan took. It limits planning for a long queue to a tenth of the time.
const planPauseFactor = 9

// planRefreshInterval is the interval at which a plan is requested even if
// dirty is not set, because waiting times and measured usage change without
// setting it.
const planRefreshInterval = time.Second

// tickPlan takes a snapshot and requests a plan for it once one is due.
func (c *core) tickPlan() {
	p := &c.planner
	now := c.clock.Now()
	due := p.dirty && !now.Before(p.notBefore) || !now.Before(p.refreshAt)
	if p.inFlight || !due || !c.canCommit() {
		return
	}
	p.inFlight, p.dirty = true, false
	p.refreshAt = now.Add(planRefreshInterval)
	p.snapshotAt = now
	snapshot := c.snapshot()
	c.queueCall("plan", func(context.Context) func() {
		plan := c.deps.Policy.Schedule(snapshot)
		return func() { c.applyPlan(plan) }
	})
}

// applyPlan carries out the changes of a plan that the current state still
// allows.
func (c *core) applyPlan(plan scheduler.Plan) {
	p, now := &c.planner, c.clock.Now()
	p.inFlight = false
	p.notBefore = now.Add(max(c.cfg.PlanInterval, planPauseFactor*now.Sub(p.snapshotAt)))
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
	c.tickCommitter()
}

// place queues a placement for commit if it is still possible, and ignores it
// otherwise. It checks the placement against the current queue, workers and
// ledger, because the plan was made from an older snapshot.
func (c *core) place(placement scheduler.Placement) {
	record, w := c.queue[placement.Work], c.workers[placement.Worker]
	if record == nil || w == nil || record.pending != nil || record.cancelRequested {
		return
	}
	if w.isLeaving() || !c.isReachable(w) {
		return
	}
	attempt := structs.NewAttemptID(record.item.ID, record.item.Attempt+1)
	if !c.ledger.allocate(placement.Worker, attempt, record.item.Spec.Size) {
		c.planner.dirty = true
		return
	}
	c.queueTransition(record, Event{Kind: EventPlace, Worker: placement.Worker, BootID: w.bootID, Epoch: c.lease.Epoch})
}

// refuse queues the transition that fails an item which, according to the
// policy, can never run. It ignores an item that is no longer queued or that has
// a pending transition.
func (c *core) refuse(refusal scheduler.Refusal) {
	record := c.queue[refusal.Work]
	if record == nil || record.pending != nil {
		return
	}
	c.queueTransition(record, Event{Kind: EventRefuse, Detail: string(refusal.Reason) + ": " + refusal.Detail})
}

// evict requests a checkpoint and a stop of a running item. It returns a refusal
// if the item is not running, if the object store is known to be down or if the
// core may not commit. Otherwise it probes the object store first. The eviction
// takes place once the probe has shown that the store is up, and is dropped if
// the store is down or the attempt no longer runs.
func (c *core) evict(id structs.WorkID, cause string) error {
	record := c.records[id]
	if record == nil || record.item.State != structs.StateRunning {
		return structs.NotRun(structs.ReasonNotFound, "work item %s is not running", id)
	}
	if c.objectStoreDown {
		return structs.NotRun(structs.ReasonStoreUnavailable, "evictions are suspended while the object store is down")
	}
	if !c.canCommit() {
		return structs.NotRun(structs.ReasonStoreUnavailable, "the eviction cannot be recorded")
	}
	attempt := record.item.AttemptID()
	c.probeObjectStore(func() {
		if !c.objectStoreDown && record.item.AttemptID() == attempt && record.item.State == structs.StateRunning {
			record.evictionDetail = "evicted: " + cause
			c.advance(record)
		}
	})
	return nil
}

// probeObjectName is the object that a probe of the object store requests. It
// need not exist, since the answer that it does not exist also shows that the
// store is up.
const probeObjectName = "probe"

// probeObjectStore checks whether the object store answers and then calls
// onResult, if it is not nil and the core has not stopped. Evictions are probed
// first, because a task that is stopped while the store is down would lose its
// checkpoint.
func (c *core) probeObjectStore(onResult func()) {
	c.queueCall("probe store", func(ctx context.Context) func() {
		_, err := c.deps.Objects.Head(ctx, probeObjectName)
		return func() {
			c.recordStoreResult(err)
			if onResult != nil && !c.stopped {
				onResult()
			}
		}
	})
}

// recordStoreResult records whether the object store is up, which it derives
// from the result of a call to it, and schedules the next probe.
func (c *core) recordStoreResult(err error) {
	c.objectStoreDown = err != nil && !errors.Is(err, platform.ErrNotFound)
	c.nextStoreProbe = c.clock.Now().Add(storeProbeInterval)
}

// storeProbeInterval is the interval between probes of the object store while
// it is down.
const storeProbeInterval = time.Second

// tickObjectStore probes the object store if it is down.
func (c *core) tickObjectStore() {
	if c.objectStoreDown && !c.clock.Now().Before(c.nextStoreProbe) {
		c.nextStoreProbe = c.clock.Now().Add(storeProbeInterval)
		c.probeObjectStore(nil)
	}
}

// throttle limits a running item to a share of its processors, from 0 to 1. It
// returns a refusal if the item is not running.
func (c *core) throttle(id structs.WorkID, share float64) error {
	record := c.records[id]
	if record == nil || record.item.State != structs.StateRunning {
		return structs.NotRun(structs.ReasonNotFound, "work item %s is not running", id)
	}
	if record.throttleShare == share {
		return nil
	}
	record.throttleShare, record.throttleUnsent = share, true
	c.advance(record)
	return nil
}

// snapshot copies the state from which the policy makes a plan.
func (c *core) snapshot() scheduler.Snapshot {
	s := scheduler.Snapshot{Shard: c.lease.Shard, Now: c.clock.Now(), EvictionsSuspended: c.objectStoreDown}
	for _, name := range slices.Sorted(maps.Keys(c.workers)) {
		s.Workers = append(s.Workers, c.workerSnapshot(c.workers[name]))
	}
	for _, record := range c.queue {
		if record.pending == nil && !record.cancelRequested {
			s.Queue = append(s.Queue, c.itemSnapshot(record))
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
	account := c.ledger.ensureAccount(w.member.Name)
	result := scheduler.Worker{
		Name: w.member.Name, Rack: w.member.Rack,
		Capacity: account.capacity, Allocated: account.allocated,
		Leaving: w.isLeaving(), Reachable: c.isReachable(w), UsageAge: w.usageAge,
	}
	if c.deps.FailureTracker != nil {
		result.Quarantined = c.deps.FailureTracker.IsQuarantined(w.member.Name)
	}
	for _, record := range c.recordsOn(w.member.Name) {
		result.Running = append(result.Running, c.attemptSnapshot(record))
	}
	return result
}

func (c *core) attemptSnapshot(record *itemRecord) scheduler.Attempt {
	spec := record.item.Spec
	a := scheduler.Attempt{
		ID: record.item.AttemptID(), Work: record.item.ID, Team: spec.Team, Job: spec.Job,
		Kind: spec.Kind, Class: spec.Class, State: record.item.State,
		Size: spec.Size, Used: record.used, Throttle: record.throttleShare,
		Idempotent: spec.Idempotent, Evictions: record.item.Evictions, Checkpoint: record.item.Checkpoint,
		ExpectedRun: time.Duration(spec.ExpectedRunMS) * time.Millisecond,
	}
	if !record.placedAt.IsZero() {
		a.RunningFor = c.clock.Now().Sub(record.placedAt)
	}
	return a
}

func (c *core) itemSnapshot(record *itemRecord) scheduler.Item {
	spec := record.item.Spec
	return scheduler.Item{
		Work: record.item.ID, Team: spec.Team, Job: spec.Job, Kind: spec.Kind,
		Class: spec.Class, Size: spec.Size, Idempotent: spec.Idempotent,
		Waiting:     c.clock.Now().Sub(record.queuedAt),
		ExpectedRun: time.Duration(spec.ExpectedRunMS) * time.Millisecond,
		FailedOn:    slices.Clone(record.item.FailedOn), Attempts: record.item.Attempt,
		Evictions: record.item.Evictions, Checkpoint: record.item.Checkpoint,
	}
}
