package lifecycle

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/ownership"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// call is one I/O operation that a core has requested. run performs it outside
// the core's goroutine and returns a function that processes the result. The
// driver executes that function on the core's goroutine.
type call struct {
	name string
	// queuedAt is when the core requested the call. The timeout counts from
	// then.
	queuedAt time.Time
	timeout  time.Duration
	// needsSlot marks a call that must obtain one of the driver's call slots
	// before it runs. Calls to workers and checkpoint verifications need one.
	// Calls without this mark start at once, also while all slots are taken by
	// workers that do not answer, as after the failure of a rack.
	needsSlot bool
	run       func(ctx context.Context) func()
}

// core holds the state of one shard under one lease. Only one goroutine at a
// time may call its methods.
type core struct {
	cfg   Config
	deps  Dependencies
	clock clockwork.Clock
	lease ownership.Lease

	ready   bool // recovery has read all rows of the shard
	stopped bool // the core has stepped down
	records map[structs.WorkID]*itemRecord
	queue   map[structs.WorkID]*itemRecord // records of queued items
	// recheck holds the records that recheckRecords advances at each full tick,
	// because their next action depends on a time or on a result that is still
	// missing.
	recheck   map[structs.WorkID]*itemRecord
	workers   map[string]*worker
	ledger    *ledger
	committer committer
	scanner   scanner
	// predecessorGrants maps a worker to the time at which a previous owner
	// last sent a call that could grant a task lease to it, as stated in the
	// lease. The core drops it after recovery, since this owner itself grants
	// task leases from then on.
	predecessorGrants map[string]time.Time
	planner           planner
	// objectStoreDown is set if the last call to the object store failed for
	// another reason than a missing object.
	objectStoreDown bool
	nextStoreProbe  time.Time
	nextFullTick    time.Time
	queuedCalls     []call
}

// itemRecord holds a work item as committed and the owner's in-memory state
// about it.
type itemRecord struct {
	item       structs.WorkItem // last committed value
	rowVersion uint64           // version of the row that holds item
	// pending is the transition of the item that is not committed yet, or nil.
	pending *transition

	// State of the current attempt, as far as this core knows it.

	// endReport is the worker's report that the attempt ended. endedUnreported
	// is set if the attempt is proven to have ended without such a report, and
	// unreportedDetail then states the proof. neverStarted is set in either
	// case if the attempt is proven never to have started.
	endReport        *workerapi.EndedAttempt
	neverStarted     bool
	endedUnreported  bool
	unreportedDetail string
	// started is set once the worker has accepted a start of the attempt or
	// reported the attempt as running.
	started    bool
	placedHere bool // this core committed the placement of the attempt
	startSent  bool // this core has sent a start call for the attempt
	// startBeforeMS is the latest uptime of the worker, in milliseconds, at
	// which a start call may take effect. It is zero until this core has sent a
	// start or has received a report that bounds the starts of its predecessors.
	startBeforeMS   int64
	checkpointState checkpointState

	// Requested actions that have not been carried out yet. evictionDetail is
	// empty unless an eviction is requested. throttleShare is the last requested
	// share of the processors, and throttleUnsent is set while the share has yet
	// to be sent or sent again.
	cancelRequested bool
	hasCancelRow    bool // the table holds a cancel row for the item
	evictionDetail  string
	throttleShare   float64
	throttleUnsent  bool

	// State of the calls about the current attempt. At most one is in flight.
	// callRetries counts the calls since the last committed transition and
	// determines the backoff until nextCallAt.
	callInFlight  bool
	callRetries   int
	nextCallAt    time.Time
	startRefusals int // start calls that the worker refused

	queuedAt time.Time // when this core added the item to the queue
	// placedAt is when this core last committed a placement of the item. It is
	// zero if this core has not placed the item.
	placedAt  time.Time
	restartAt time.Time // when a standing job that ended is queued again
	// restarts counts the restarts of a standing job since its last run that
	// was longer than RestartMax.
	restarts int
	used     structs.Resources // usage that the worker last reported
	// cancelReplies holds the replies to callers that wait until the item's
	// cancel is recorded.
	cancelReplies []func(structs.WorkStatus, error)
}

func newCore(cfg Config, deps Dependencies, clock clockwork.Clock, lease ownership.Lease) *core {
	return &core{
		cfg: cfg, deps: deps, clock: clock, lease: lease,
		records:           map[structs.WorkID]*itemRecord{},
		queue:             map[structs.WorkID]*itemRecord{},
		recheck:           map[structs.WorkID]*itemRecord{},
		workers:           map[string]*worker{},
		ledger:            newLedger(),
		predecessorGrants: lease.LastGrants,
	}
}

// canCommit reports whether the owner may commit transactions and start work
// now, for which its lease must be in force without extension.
func (c *core) canCommit() bool {
	lease, ok := c.deps.Leases.Held(c.lease.Shard)
	return ok && lease.Epoch == c.lease.Epoch && !c.stopped
}

// isServing reports whether the owner may renew task leases and stop or
// throttle attempts now. An extended lease is enough for this.
func (c *core) isServing() bool {
	return !c.stopped && c.clock.Now().Before(c.deps.Leases.ServingUntil(c.lease.Shard))
}

// queueCall requests a call that needs no slot.
func (c *core) queueCall(name string, run func(ctx context.Context) func()) {
	c.queuedCalls = append(c.queuedCalls, call{name: name, queuedAt: c.clock.Now(), timeout: c.cfg.CallTimeout, run: run})
}

// queueCallWithSlot requests a call that needs a slot.
func (c *core) queueCallWithSlot(name string, run func(ctx context.Context) func()) {
	c.queueCall(name, run)
	c.queuedCalls[len(c.queuedCalls)-1].needsSlot = true
}

// takeCalls returns the queued calls and removes them from the core.
func (c *core) takeCalls() []call {
	calls := c.queuedCalls
	c.queuedCalls = nil
	return calls
}

// fullTickInterval is how often a tick goes through all workers and all records
// in the recheck set. It is shorter than the shortest backoff and heartbeat
// interval.
const fullTickInterval = 25 * time.Millisecond

// tick performs all periodic work that is due.
func (c *core) tick() {
	if c.stopped {
		return
	}
	c.tickScan()
	if !c.ready {
		return
	}
	if now := c.clock.Now(); !now.Before(c.nextFullTick) {
		c.nextFullTick = now.Add(fullTickInterval)
		c.tickWorkers()
		c.recheckRecords()
		c.tickObjectStore()
	}
	c.tickPlan()
	c.tickCommitter()
}

// recheckRecords advances the records in the recheck set.
func (c *core) recheckRecords() {
	for _, id := range sortedIDs(c.recheck) {
		c.advance(c.recheck[id])
	}
}

// advance queues the transition that follows from the record's state and
// requested actions, unless one is pending, and sends the next call that the
// committed state requires.
func (c *core) advance(r *itemRecord) {
	if c.stopped {
		return
	}
	if r.pending == nil {
		if ev, ok := c.nextEvent(r); ok {
			c.queueTransition(r, ev)
		}
	}
	c.sendDueCall(r)
	c.updateRecheck(r)
}

// nextEvent derives the next event for the state machine. A requested cancel
// takes precedence over everything except a finished attempt, so that an item
// whose attempt failed or was stopped is not queued again.
func (c *core) nextEvent(r *itemRecord) (Event, bool) {
	state := r.item.State
	if isTerminal(r.item) {
		return Event{}, false
	}
	finished := r.endReport != nil && r.endReport.State == workerapi.EndFinished
	if r.cancelRequested && state != structs.StateCancelling && !finished {
		return Event{Kind: EventCancel, Detail: "cancelled by its submitter"}, true
	}
	switch {
	case hasActiveAttempt(r.item) && r.endReport != nil:
		return c.endedEvent(r)
	case hasActiveAttempt(r.item) && r.endedUnreported:
		return Event{Kind: EventEndedUnreported, NeverStarted: r.neverStarted, Detail: r.unreportedDetail}, true
	case state == structs.StateStarting && r.started:
		return Event{Kind: EventStarted}, true
	case state == structs.StateRunning && r.evictionDetail != "":
		return Event{Kind: EventEvict, Detail: r.evictionDetail}, true
	case state == structs.StateFinished || state == structs.StateFailed:
		due := !c.clock.Now().Before(r.restartAt)
		return Event{Kind: EventRestart}, due
	}
	return Event{}, false
}

// endedEvent returns the event for the worker's report that the attempt ended.
// It returns false while a reported checkpoint has yet to be verified.
func (c *core) endedEvent(r *itemRecord) (Event, bool) {
	ev := Event{Kind: EventEnded, Ended: *r.endReport, NeverStarted: r.neverStarted, Detail: r.endReport.Detail}
	if !needsCheckpointCheck(r) {
		return ev, true
	}
	switch r.checkpointState {
	case checkpointPresent:
		ev.Checkpoint = r.endReport.Checkpoint
		return ev, true
	case checkpointAbsent:
		return ev, true
	}
	return Event{}, false
}

// updateRecheck adds the record to the recheck set if its next action depends
// on a time or on a result that is still missing, and removes it otherwise.
func (c *core) updateRecheck(r *itemRecord) {
	waits := hasActiveAttempt(r.item) && r.item.State != structs.StateRunning
	waits = waits || r.endReport != nil || r.endedUnreported || r.evictionDetail != "" || r.cancelRequested || r.throttleUnsent
	if (waits || !hasActiveAttempt(r.item) && r.item.State != structs.StateQueued) && !isTerminal(r.item) {
		c.recheck[r.item.ID] = r
		return
	}
	delete(c.recheck, r.item.ID)
}

// releaseAllocation releases the capacity allocated to the current attempt,
// which is proven to have ended.
func (c *core) releaseAllocation(r *itemRecord) {
	if c.ledger.release(r.item.AttemptID()) {
		c.planner.dirty = true
	}
}

// recordEndReport records the worker's report that the current attempt ended
// and advances the record. bootID is the worker's boot ID at the time of the
// report.
func (c *core) recordEndReport(r *itemRecord, ended workerapi.EndedAttempt, bootID string) {
	if r.endReport != nil || !hasActiveAttempt(r.item) {
		return
	}
	r.endReport = &ended
	r.neverStarted = ended.NeverStarted && bootID != "" && bootID == r.item.BootID
	c.releaseAllocation(r)
	c.advance(r)
}

// recordUnreportedEnd records that the current attempt is proven to have ended
// although no worker reported its outcome, and advances the record.
func (c *core) recordUnreportedEnd(r *itemRecord, detail string) {
	if r.endReport != nil || r.endedUnreported || !hasActiveAttempt(r.item) {
		return
	}
	r.endedUnreported = true
	r.unreportedDetail = detail
	r.neverStarted = r.placedHere && !r.startSent
	c.releaseAllocation(r)
	c.advance(r)
}

// stepDown ends the core's work on the shard. Callers that wait for a cancel
// receive an error which states that the shard has a new owner and the work may
// have run.
func (c *core) stepDown() {
	if c.stopped {
		return
	}
	c.stopped = true
	for _, id := range sortedIDs(c.records) {
		c.replyToCancels(c.records[id], structs.MayHaveRun(structs.ReasonNotOwner, "shard %s has a new owner", c.lease.Shard))
	}
	c.queuedCalls = nil
}

// stepDownFenced steps down after the table showed another epoch than the
// lease's, and reports that to the lease manager.
func (c *core) stepDownFenced() {
	c.deps.Leases.Fenced(c.lease.Shard, c.lease.Epoch)
	c.stepDown()
}

// replyToCancels answers all callers that wait for the item to be cancelled.
func (c *core) replyToCancels(r *itemRecord, err error) {
	replies := r.cancelReplies
	r.cancelReplies = nil
	for _, reply := range replies {
		reply(r.item.Status(), err)
	}
}
