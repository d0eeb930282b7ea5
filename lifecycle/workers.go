package lifecycle

import (
	"context"
	"maps"
	"slices"
	"time"

	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// worker is one worker of the shard.
type worker struct {
	member structs.Member
	listed bool
	bootID string
	// reportAt is when the last report was taken in, and uptimeMS what the
	// worker's own clock read when it wrote it, which was not later.
	reportAt time.Time
	uptimeMS int64
	usageAge time.Duration
	leaving  bool
	ended    []workerapi.EndedAttempt // not acknowledged yet
	beating  bool
	nextBeat time.Time
	// lastGrant is when the last heartbeat or start was sent, which may have
	// given task leases, by this owner or by one before it.
	lastGrant time.Time
}

// viewInterval is how often the list of workers is read; it lags by more than
// that anyway.
const viewInterval = 500 * time.Millisecond

// reachableBeats is the number of heartbeat intervals after which a worker
// that did not report receives nothing new.
const reachableBeats = 3

// syncWorkers follows the list. A worker that is gone stays as long as
// anything counts against it.
func (c *core) syncWorkers() {
	listed := map[string]structs.Member{}
	for _, m := range c.deps.View.Workers(c.cfg.Domain) {
		if structs.ShardOfMember(m.Domain, m.Name, c.cfg.Shards) == c.lease.Shard {
			listed[m.Name] = m
		}
	}
	for name, m := range listed {
		w := c.workerFor(name)
		w.member = m
		w.listed = true
	}
	for name, w := range c.workers {
		if _, ok := listed[name]; ok {
			continue
		}
		w.listed = false
		if !c.ledger.occupied(name) {
			delete(c.workers, name)
			c.ledger.forget(name)
		}
	}
}

func (c *core) workerFor(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{member: structs.Member{Name: name}, nextBeat: c.clock.Now(), lastGrant: c.firstGrant(name)}
		c.workers[name] = w
	}
	return w
}

// firstGrant returns the latest time at which a predecessor may have granted
// task leases to a worker: now, unless its release told otherwise.
func (c *core) firstGrant(name string) time.Time {
	if at, told := c.lastGrants[name]; told {
		return at
	}
	return c.clock.Now()
}

// sinceGrant tells a successor the age of the last call that could grant a task
// lease to each worker that left the list. An owner that may still send such
// calls has nothing to tell.
func (c *core) sinceGrant() map[string]time.Duration {
	if c.serving() {
		return nil
	}
	now := c.clock.Now()
	ages := map[string]time.Duration{}
	for name, at := range c.lastGrants {
		ages[name] = now.Sub(at)
	}
	for name, w := range c.workers {
		if !w.listed {
			ages[name] = now.Sub(w.lastGrant)
		}
	}
	return ages
}

func (c *core) reachable(w *worker) bool {
	return w.bootID != "" && c.clock.Now().Sub(w.reportAt) <= reachableBeats*c.cfg.Heartbeat
}

func (w *worker) isLeaving() bool {
	return !w.listed || w.leaving || w.member.State == structs.MemberLeaving
}

// tickWorkers sends the heartbeats that are due.
func (c *core) tickWorkers() {
	now := c.clock.Now()
	if !now.Before(c.planner.nextView) {
		c.planner.nextView = now.Add(viewInterval)
		c.syncWorkers()
		c.proveGoneWorkers()
	}
	if !c.serving() {
		return
	}
	// A tick finds few workers due, so only those are put in order.
	var due []string
	for name, w := range c.workers {
		if w.listed && !w.beating && !now.Before(w.nextBeat) {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	for _, name := range due {
		c.beat(c.workers[name])
	}
}

// beat sends one heartbeat. A worker has at most one under way, so reports
// arrive in the order in which the worker wrote them.
func (c *core) beat(w *worker) {
	sent := c.clock.Now()
	w.beating = true
	w.lastGrant = sent
	w.nextBeat = sent.Add(c.cfg.Heartbeat)
	req := workerapi.HeartbeatRequest{
		Shard: c.lease.Shard, Epoch: c.lease.Epoch,
		LeaseMS:      c.cfg.TaskLease.Milliseconds(),
		Acknowledged: c.settled(w),
	}
	address := w.member.Address
	c.doWorker("heartbeat", func(ctx context.Context) func() {
		resp, err := c.deps.Workers.Heartbeat(ctx, address, req)
		return func() { c.onBeat(w, resp, err) }
	})
}

// settled lists the reported ends whose outcome is committed.
func (c *core) settled(w *worker) []structs.AttemptID {
	var acknowledged []structs.AttemptID
	for _, ended := range w.ended {
		id, n, ok := parseAttempt(ended.Attempt)
		r := c.items[id]
		if !ok || r == nil {
			continue
		}
		if r.item.Attempt > n || r.item.Attempt == n && !active(r.item) {
			acknowledged = append(acknowledged, ended.Attempt)
		}
	}
	return acknowledged
}

func (c *core) onBeat(w *worker, resp workerapi.HeartbeatResponse, err error) {
	w.beating = false
	name := w.member.Name
	if c.stopped || err != nil || c.workers[name] != w {
		return
	}
	if w.bootID != resp.BootID {
		c.planner.dirty = true
	}
	if !c.reachable(w) || w.leaving != resp.Leaving {
		c.planner.dirty = true
	}
	w.bootID, w.uptimeMS, w.reportAt = resp.BootID, resp.UptimeMS, c.clock.Now()
	w.usageAge = time.Duration(resp.UsageAgeMS) * time.Millisecond
	w.leaving = resp.Leaving
	w.ended = resp.Ended
	c.ledger.setCapacity(name, resp.Capacity)
	c.reportRunning(w, resp)
	for _, ended := range resp.Ended {
		c.reportEnded(w, ended, resp.BootID)
	}
	c.checkAttempts(w, resp)
}

// reportRunning counts what the worker runs and stops what should not run.
func (c *core) reportRunning(w *worker, resp workerapi.HeartbeatResponse) {
	sizes := map[structs.AttemptID]structs.Resources{}
	for _, running := range resp.Running {
		sizes[running.Attempt] = running.Size
	}
	c.ledger.report(w.member.Name, sizes)
	for _, running := range resp.Running {
		id, n, ok := parseAttempt(running.Attempt)
		r := c.items[id]
		switch {
		case !ok:
		case r != nil && n == r.item.Attempt && active(r.item) && r.item.Worker == w.member.Name:
			c.confirmRunning(r, running)
		case r != nil && n <= r.item.Attempt:
			c.stopStray(w, running.Attempt)
		}
	}
}

func (c *core) confirmRunning(r *record, running workerapi.RunningAttempt) {
	r.used = running.Used
	if !r.started {
		r.started = true
		c.advance(r)
	}
}

// stopStray stops an attempt that is recorded as over. Its room counts until
// the worker reports it no longer.
func (c *core) stopStray(w *worker, attempt structs.AttemptID) {
	if !c.held() {
		return
	}
	address := w.member.Address
	req := workerapi.StopRequest{Attempt: attempt, Epoch: c.lease.Epoch}
	c.doWorker("stop stray", func(ctx context.Context) func() {
		_, _ = c.deps.Workers.Stop(ctx, address, req)
		return func() {}
	})
}

func (c *core) reportEnded(w *worker, ended workerapi.EndedAttempt, bootID string) {
	id, n, ok := parseAttempt(ended.Attempt)
	r := c.items[id]
	if !ok || r == nil || r.item.Attempt != n || r.item.Worker != w.member.Name {
		return
	}
	c.setEnded(r, ended, bootID)
}

// checkAttempts looks for attempts that the report proves ended.
func (c *core) checkAttempts(w *worker, resp workerapi.HeartbeatResponse) {
	running := map[structs.AttemptID]bool{}
	for _, r := range resp.Running {
		running[r.Attempt] = true
	}
	for _, r := range c.recordsOn(w.member.Name) {
		attempt := r.item.AttemptID()
		if r.ended != nil || r.gone {
			continue
		}
		switch {
		case resp.BootID != r.item.BootID:
			c.setGone(r, "worker restarted")
		case running[attempt]:
		case r.startBefore == 0:
			// A predecessor may have sent a start until it lost its lease,
			// which was before this report.
			r.startBefore = resp.UptimeMS + c.cfg.StartWindow.Milliseconds()
			c.advance(r)
		case resp.UptimeMS > r.startBefore+c.cfg.TaskLease.Milliseconds():
			c.setGone(r, "no report until the task lease lapsed")
		default:
			c.advance(r)
		}
	}
}

// recordsOn lists the records with an attempt on the worker, by ID.
func (c *core) recordsOn(name string) []*record {
	var records []*record
	for attempt := range c.ledger.account(name).holds {
		id, n, _ := parseAttempt(attempt)
		r := c.items[id]
		if r != nil && r.item.Attempt == n && active(r.item) {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int { return compareIDs(a.item.ID, b.item.ID) })
	return records
}

// proveGoneWorkers ends the attempts of workers that left the list long ago:
// every start and every task lease that this shard's owners gave has lapsed.
func (c *core) proveGoneWorkers() {
	wait := c.cfg.TaskLease + c.cfg.StartWindow + c.cfg.LeaseMargin
	now := c.clock.Now()
	for _, name := range slices.Sorted(maps.Keys(c.workers)) {
		w := c.workers[name]
		// A call takes effect within its timeout or not at all.
		if w.listed || c.deps.View.WorkerGoneFor(name) < wait || now.Sub(w.lastGrant) < wait+c.cfg.CallTimeout {
			continue
		}
		for _, r := range c.recordsOn(name) {
			c.setGone(r, "worker left")
		}
		c.ledger.report(name, nil)
	}
}
