package lifecycle

import (
	"context"
	"maps"
	"slices"
	"time"

	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// worker holds the state of one worker of the shard as of its last report.
type worker struct {
	member structs.Member
	listed bool   // the worker is on the membership list
	bootID string // empty until the first report
	// reportedAt is when the core received the last report. uptimeMS is the
	// worker's uptime in milliseconds when it wrote that report, which was not
	// later than reportedAt.
	reportedAt time.Time
	uptimeMS   int64
	usageAge   time.Duration // age of the reported usage when the worker wrote that report
	leaving    bool          // the worker reported that it is about to leave
	// unacknowledged holds the ended attempts of the last report. The worker
	// repeats each of them until it is acknowledged.
	unacknowledged    []workerapi.EndedAttempt
	heartbeatInFlight bool
	nextHeartbeat     time.Time
	// lastGrantSentAt is when this owner or an earlier one last sent the worker
	// a call that can grant task leases: a heartbeat or a start.
	lastGrantSentAt time.Time
}

// workerSyncInterval is the interval at which the core reads the membership
// list. The list itself lags by more than that.
const workerSyncInterval = 500 * time.Millisecond

// maxMissedHeartbeats is the number of heartbeat intervals without a report
// after which a worker counts as unreachable and receives no new attempts.
const maxMissedHeartbeats = 3

// syncWorkers updates the workers from the membership list. A worker that left
// the list is kept for as long as any attempt counts against it.
func (c *core) syncWorkers() {
	listed := map[string]structs.Member{}
	for _, m := range c.deps.View.Workers(c.cfg.Domain) {
		if structs.ShardOfMember(m.Domain, m.Name, c.cfg.Shards) == c.lease.Shard {
			listed[m.Name] = m
		}
	}
	for name, m := range listed {
		w := c.ensureWorker(name)
		w.member = m
		w.listed = true
	}
	for name, w := range c.workers {
		if _, ok := listed[name]; ok {
			continue
		}
		w.listed = false
		if !c.ledger.hasAttempts(name) {
			delete(c.workers, name)
			c.ledger.removeAccountIfUnused(name)
		}
	}
}

// ensureWorker returns the worker of the given name and creates it if the core
// has none of that name.
func (c *core) ensureWorker(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{member: structs.Member{Name: name}, nextHeartbeat: c.clock.Now(), lastGrantSentAt: c.assumedLastGrantSentAt(name)}
		c.workers[name] = w
	}
	return w
}

// assumedLastGrantSentAt returns the latest time at which an earlier owner may
// have sent a call that granted task leases to a worker. If
// predecessorGrantTimes has no time for the worker, this is the present time.
func (c *core) assumedLastGrantSentAt(name string) time.Time {
	if sentAt, isKnown := c.predecessorGrantTimes[name]; isKnown {
		return sentAt
	}
	return c.clock.Now()
}

// grantAges returns, for a successor, the time since an owner last sent a call
// that could grant a task lease to each worker that has left the list. It
// returns nil while this owner may still send such calls.
func (c *core) grantAges() map[string]time.Duration {
	if c.isServing() {
		return nil
	}
	now := c.clock.Now()
	ages := map[string]time.Duration{}
	for name, at := range c.predecessorGrantTimes {
		ages[name] = now.Sub(at)
	}
	for name, w := range c.workers {
		if !w.listed {
			ages[name] = now.Sub(w.lastGrantSentAt)
		}
	}
	return ages
}

// isReachable reports whether the worker's last report is recent enough to
// start attempts there.
func (c *core) isReachable(w *worker) bool {
	return w.bootID != "" && c.clock.Now().Sub(w.reportedAt) <= maxMissedHeartbeats*c.cfg.Heartbeat
}

// isLeaving reports whether the worker has left the list or is about to leave.
func (w *worker) isLeaving() bool {
	return !w.listed || w.leaving || w.member.State == structs.MemberLeaving
}

// tickWorkers reads the membership list if that is due, and sends the
// heartbeats that are due.
func (c *core) tickWorkers() {
	now := c.clock.Now()
	if !now.Before(c.planner.nextWorkerSync) {
		c.planner.nextWorkerSync = now.Add(workerSyncInterval)
		c.syncWorkers()
		c.endAttemptsOnUnlistedWorkers()
	}
	if !c.isServing() {
		return
	}
	// Heartbeats are due for only a few workers in each tick, so only those
	// are sorted.
	var due []string
	for name, w := range c.workers {
		if w.listed && !w.heartbeatInFlight && !now.Before(w.nextHeartbeat) {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	for _, name := range due {
		c.sendHeartbeat(c.workers[name])
	}
}

// sendHeartbeat sends one heartbeat. A worker has at most one heartbeat in
// flight, so its reports arrive in the order in which it wrote them.
func (c *core) sendHeartbeat(w *worker) {
	sentAt := c.clock.Now()
	w.heartbeatInFlight = true
	w.lastGrantSentAt = sentAt
	w.nextHeartbeat = sentAt.Add(c.cfg.Heartbeat)
	req := workerapi.HeartbeatRequest{
		Shard: c.lease.Shard, Epoch: c.lease.Epoch,
		LeaseMS:      c.cfg.TaskLease.Milliseconds(),
		Acknowledged: c.acknowledgeableAttempts(w),
	}
	address := w.member.Address
	c.queueCallWithSlot("heartbeat", func(ctx context.Context) func() {
		resp, err := c.deps.Workers.Heartbeat(ctx, address, req)
		return func() { c.handleHeartbeat(w, resp, err) }
	})
}

// acknowledgeableAttempts returns the attempts that the worker reported as ended
// and whose outcome is committed.
func (c *core) acknowledgeableAttempts(w *worker) []structs.AttemptID {
	var acknowledged []structs.AttemptID
	for _, ended := range w.unacknowledged {
		id, number, ok := parseAttemptID(ended.Attempt)
		record := c.records[id]
		if !ok || record == nil {
			continue
		}
		if record.item.Attempt > number || record.item.Attempt == number && !hasActiveAttempt(record.item) {
			acknowledged = append(acknowledged, ended.Attempt)
		}
	}
	return acknowledged
}

// handleHeartbeat updates the worker, its capacity and the records of its
// attempts from the response to a heartbeat.
func (c *core) handleHeartbeat(w *worker, resp workerapi.HeartbeatResponse, err error) {
	w.heartbeatInFlight = false
	name := w.member.Name
	if c.stopped || err != nil || c.workers[name] != w {
		return
	}
	if w.bootID != resp.BootID {
		c.planner.dirty = true
	}
	if !c.isReachable(w) || w.leaving != resp.Leaving {
		c.planner.dirty = true
	}
	w.bootID, w.uptimeMS, w.reportedAt = resp.BootID, resp.UptimeMS, c.clock.Now()
	w.usageAge = time.Duration(resp.UsageAgeMS) * time.Millisecond
	w.leaving = resp.Leaving
	w.unacknowledged = resp.Ended
	c.ledger.setCapacity(name, resp.Capacity)
	c.processRunning(w, resp)
	for _, ended := range resp.Ended {
		c.processEnded(w, ended, resp.BootID)
	}
	c.detectEndedAttempts(w, resp)
}

// processRunning updates the ledger from the attempts that the worker reports
// as running. It confirms each attempt that is the current one of its item, and
// stops each attempt that is recorded as ended. It leaves attempts alone whose
// item the core does not know or whose number is above that of the item's
// current attempt.
func (c *core) processRunning(w *worker, resp workerapi.HeartbeatResponse) {
	sizes := map[structs.AttemptID]structs.Resources{}
	for _, running := range resp.Running {
		sizes[running.Attempt] = running.Size
	}
	c.ledger.setRunning(w.member.Name, sizes)
	for _, running := range resp.Running {
		id, number, ok := parseAttemptID(running.Attempt)
		record := c.records[id]
		switch {
		case !ok:
		case record != nil && number == record.item.Attempt && hasActiveAttempt(record.item) && record.item.Worker == w.member.Name:
			c.confirmRunning(record, running)
		case record != nil && number <= record.item.Attempt:
			c.stopObsoleteAttempt(w, running.Attempt)
		}
	}
}

// confirmRunning records which resources the current attempt of a record uses
// and, at the first report, that the attempt has started.
func (c *core) confirmRunning(record *itemRecord, running workerapi.RunningAttempt) {
	record.used = running.Used
	if !record.started {
		record.started = true
		c.advance(record)
	}
}

// stopObsoleteAttempt asks the worker to stop an attempt that runs although it
// is recorded as ended, unless the owner may not commit now. The size of the
// attempt counts against the worker until the worker no longer reports the
// attempt.
func (c *core) stopObsoleteAttempt(w *worker, attempt structs.AttemptID) {
	if !c.canCommit() {
		return
	}
	address := w.member.Address
	req := workerapi.StopRequest{Attempt: attempt, Epoch: c.lease.Epoch}
	c.queueCallWithSlot("stop stray", func(ctx context.Context) func() {
		_, _ = c.deps.Workers.Stop(ctx, address, req)
		return func() {}
	})
}

// processEnded records the worker's report that an attempt ended, if it is the
// current attempt of its item.
func (c *core) processEnded(w *worker, ended workerapi.EndedAttempt, bootID string) {
	id, number, ok := parseAttemptID(ended.Attempt)
	record := c.records[id]
	if !ok || record == nil || record.item.Attempt != number || record.item.Worker != w.member.Name {
		return
	}
	c.recordEndReport(record, ended, bootID)
}

// detectEndedAttempts finds the attempts that a worker's report proves to have
// ended although the report does not contain them as ended: the worker has
// rebooted since the placement, or it does not run the attempt, no start can take
// effect any more and any task lease has expired. For each other attempt that
// the worker does not run, detectEndedAttempts advances the record. At the first
// such report of an attempt whose start this core has not sent, it also sets
// startBeforeMS.
func (c *core) detectEndedAttempts(w *worker, resp workerapi.HeartbeatResponse) {
	running := map[structs.AttemptID]bool{}
	for _, runningAttempt := range resp.Running {
		running[runningAttempt.Attempt] = true
	}
	for _, record := range c.recordsOn(w.member.Name) {
		attempt := record.item.AttemptID()
		if record.endReport != nil || record.endedUnreported {
			continue
		}
		switch {
		case resp.BootID != record.item.BootID:
			c.recordUnreportedEnd(record, "worker restarted")
		case running[attempt]:
		case record.startBeforeMS == 0:
			// A predecessor may have sent a start until it lost its lease.
			// It lost the lease before the worker wrote this report.
			record.startBeforeMS = resp.UptimeMS + c.cfg.StartWindow.Milliseconds()
			c.advance(record)
		case resp.UptimeMS > record.startBeforeMS+c.cfg.TaskLease.Milliseconds():
			c.recordUnreportedEnd(record, "no report until the task lease lapsed")
		default:
			c.advance(record)
		}
	}
}

// recordsOn returns the records whose current attempt is allocated to the
// worker, sorted by ID.
func (c *core) recordsOn(name string) []*itemRecord {
	var records []*itemRecord
	for attempt := range c.ledger.ensureAccount(name).allocations {
		id, number, _ := parseAttemptID(attempt)
		record := c.records[id]
		if record != nil && record.item.Attempt == number && hasActiveAttempt(record.item) {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b *itemRecord) int { return compareIDs(a.item.ID, b.item.ID) })
	return records
}

// endAttemptsOnUnlistedWorkers records the attempts on a worker as ended once
// two conditions hold: the worker has been off the list for at least the sum of
// TaskLease, StartWindow and LeaseMargin, and the last call that can grant a
// task lease was sent to it at least that sum plus CallTimeout ago. By then, a
// start from any owner of this shard can no longer take effect, and all task
// leases that the owners granted have expired.
func (c *core) endAttemptsOnUnlistedWorkers() {
	wait := c.cfg.TaskLease + c.cfg.StartWindow + c.cfg.LeaseMargin
	now := c.clock.Now()
	for _, name := range slices.Sorted(maps.Keys(c.workers)) {
		w := c.workers[name]
		// A call takes effect within CallTimeout or not at all, so
		// lastGrantSentAt plus CallTimeout is the latest time of a grant.
		if w.listed || c.deps.View.WorkerUnlistedFor(name) < wait || now.Sub(w.lastGrantSentAt) < wait+c.cfg.CallTimeout {
			continue
		}
		for _, record := range c.recordsOn(name) {
			c.recordUnreportedEnd(record, "worker left")
		}
		c.ledger.setRunning(name, nil)
	}
}
