package lifecycle

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/ownership"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// call is one operation that a core has requested and that must not block the
// core: an I/O operation, or the making of a plan. run performs it outside the
// core's goroutine and returns the step that processes the result. The driver
// executes that step on the core's goroutine.
type call struct {
	name string // the kind of the operation; tests select calls by it
	// queuedAt is when the core requested the call. The timeout counts from
	// then.
	queuedAt time.Time
	timeout  time.Duration
	// needsSlot marks a call that must obtain one of the driver's call slots
	// before it runs. Calls to workers and checkpoint verifications need one.
	// Calls without this mark start at once, even while calls to workers that
	// do not answer occupy all slots, as after the failure of a rack.
	needsSlot bool
	run       func(ctx context.Context) func()
}

// core holds the state of one shard in one epoch of its lease. Only one
// goroutine at a time may call its methods.
type core struct {
	cfg   Config
	deps  Dependencies
	clock clockwork.Clock
	lease ownership.Lease

	ready   bool // recovery has read all rows of the shard
	stopped bool // the core has stepped down
	records map[structs.WorkID]*itemRecord
	queue   map[structs.WorkID]*itemRecord // records of queued items
	// recordsToRecheck holds the records that recheckRecords advances at
	// fullTickInterval, because their next action depends on a time or on a
	// result that is still missing.
	recordsToRecheck map[structs.WorkID]*itemRecord
	workers          map[string]*worker
	ledger           *capacityLedger
	committer        committer
	scanner          scanner
	// predecessorGrantTimes holds ownership.Lease.LastGrants: by worker, the
	// time at which an earlier owner last sent a call that could grant a task
	// lease. The core drops it after recovery, since this owner itself grants
	// task leases from then on.
	predecessorGrantTimes map[string]time.Time
	planner               planner
	// objectStoreDown is set if the last call to the object store failed for a
	// reason other than a missing object.
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

	// The following fields hold what this core has learned of the current
	// attempt from its own calls and from the worker's reports.

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
	started          bool
	placedByThisCore bool // this core committed the placement of the attempt
	startSent        bool // this core has sent a start call for the attempt
	// startBeforeMS is the latest uptime of the worker, in milliseconds, at
	// which a start call may take effect. It is zero until this core has sent a
	// start or has received a report that bounds the starts of its predecessors.
	startBeforeMS   int64
	checkpointState checkpointState

	// The following fields hold requested actions that have not been carried
	// out yet. evictionDetail is empty unless an eviction is requested.
	// throttleShare is the last requested share of the processors, and
	// throttleUnsent is set while the share has yet to be sent or sent again.
	cancelRequested bool
	hasCancelRow    bool // the table holds a cancel row for the item
	evictionDetail  string
	throttleShare   float64
	throttleUnsent  bool

	// The following fields hold the state of the calls about the current
	// attempt, of which at most one is in flight. callRetries counts the calls
	// since the last committed transition and determines the backoff until
	// nextCallAt.
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
		records:               map[structs.WorkID]*itemRecord{},
		queue:                 map[structs.WorkID]*itemRecord{},
		recordsToRecheck:      map[structs.WorkID]*itemRecord{},
		workers:               map[string]*worker{},
		ledger:                newCapacityLedger(),
		predecessorGrantTimes: lease.LastGrants,
	}
}

// canCommit reports whether the core may commit transactions and start work
// now. For this, the lease of its epoch must be in force without extension, and
// the core must not have stepped down. canCommit reads the clock itself, through
// Leases.
func (c *core) canCommit() bool {
	lease, ok := c.deps.Leases.HeldLease(c.lease.Shard)
	return ok && lease.Epoch == c.lease.Epoch && !c.stopped
}

// isServing reports whether the core may renew task leases and stop or throttle
// attempts now. An extended lease is enough for this.
func (c *core) isServing() bool {
	return !c.stopped && c.clock.Now().Before(c.deps.Leases.ServingUntil(c.lease.Shard))
}

// queueCall requests a call that does not need a call slot. The driver starts it
// at once.
func (c *core) queueCall(name string, run func(ctx context.Context) func()) {
	c.queuedCalls = append(c.queuedCalls, call{name: name, queuedAt: c.clock.Now(), timeout: c.cfg.CallTimeout, run: run})
}

// queueCallWithSlot requests a call that needs a call slot. The driver of a core
// has MaxCalls slots, which limit its concurrent calls to workers and checkpoint
// verifications. It starts the call once a slot is free.
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

// fullTickInterval is the interval between full ticks. These are the ticks that
// also process all workers, all records in recordsToRecheck and the probe of the
// object store. It is shorter than the shortest backoff and heartbeat interval.
const fullTickInterval = 25 * time.Millisecond

// tick performs the periodic work that is due: the next page of a scan, a plan
// and a commit at each call, and the work of a full tick once fullTickInterval
// has passed since the last one. Until recovery is complete, it only scans.
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

// recheckRecords advances the records in recordsToRecheck.
func (c *core) recheckRecords() {
	for _, id := range sortedIDs(c.recordsToRecheck) {
		c.advance(c.recordsToRecheck[id])
	}
}

// advance queues the transition that follows from the record's state and
// requested actions, unless one is pending, and sends the next call that the
// committed state requires, if it is due. It does nothing once the core has
// stepped down.
func (c *core) advance(record *itemRecord) {
	if c.stopped {
		return
	}
	if record.pending == nil {
		if ev, ok := c.nextEvent(record); ok {
			c.queueTransition(record, ev)
		}
	}
	c.sendDueCall(record)
	c.updateRecordsToRecheck(record)
}

// nextEvent derives the next event for the state machine, and returns false if
// there is none yet. A requested cancel takes precedence over everything except
// a finished attempt, so that an item whose attempt failed or was stopped is not
// queued again.
func (c *core) nextEvent(record *itemRecord) (Event, bool) {
	state := record.item.State
	if isTerminal(record.item) {
		return Event{}, false
	}
	finished := record.endReport != nil && record.endReport.State == workerapi.EndFinished
	if record.cancelRequested && state != structs.StateCancelling && !finished {
		return Event{Kind: EventCancel, Detail: "cancelled by its submitter"}, true
	}
	switch {
	case hasActiveAttempt(record.item) && record.endReport != nil:
		return c.endedEvent(record)
	case hasActiveAttempt(record.item) && record.endedUnreported:
		return Event{Kind: EventEndedUnreported, NeverStarted: record.neverStarted, Detail: record.unreportedDetail}, true
	case state == structs.StateStarting && record.started:
		return Event{Kind: EventStarted}, true
	case state == structs.StateRunning && record.evictionDetail != "":
		return Event{Kind: EventEvict, Detail: record.evictionDetail}, true
	case state == structs.StateFinished || state == structs.StateFailed:
		due := !c.clock.Now().Before(record.restartAt)
		return Event{Kind: EventRestart}, due
	}
	return Event{}, false
}

// endedEvent returns the event for the worker's report that the attempt ended.
// It returns false while a reported checkpoint has yet to be verified.
func (c *core) endedEvent(record *itemRecord) (Event, bool) {
	ev := Event{Kind: EventEnded, Ended: *record.endReport, NeverStarted: record.neverStarted, Detail: record.endReport.Detail}
	if !needsCheckpointCheck(record) {
		return ev, true
	}
	switch record.checkpointState {
	case checkpointPresent:
		ev.Checkpoint = record.endReport.Checkpoint
		return ev, true
	case checkpointAbsent:
		return ev, true
	}
	return Event{}, false
}

// updateRecordsToRecheck adds the record to recordsToRecheck if its next action
// depends on a time or on a result that is still missing, and removes it
// otherwise.
func (c *core) updateRecordsToRecheck(record *itemRecord) {
	isWaiting := hasActiveAttempt(record.item) && record.item.State != structs.StateRunning
	isWaiting = isWaiting || record.endReport != nil || record.endedUnreported || record.evictionDetail != "" || record.cancelRequested || record.throttleUnsent
	if (isWaiting || !hasActiveAttempt(record.item) && record.item.State != structs.StateQueued) && !isTerminal(record.item) {
		c.recordsToRecheck[record.item.ID] = record
		return
	}
	delete(c.recordsToRecheck, record.item.ID)
}

// releaseAllocation releases the capacity allocated to the current attempt,
// which is proven to have ended.
func (c *core) releaseAllocation(record *itemRecord) {
	if c.ledger.release(record.item.AttemptID()) {
		c.planner.dirty = true
	}
}

// recordEndReport records the worker's report that the current attempt ended
// and advances the record. bootID is the worker's boot ID at the time of the
// report.
func (c *core) recordEndReport(record *itemRecord, ended workerapi.EndedAttempt, bootID string) {
	if record.endReport != nil || !hasActiveAttempt(record.item) {
		return
	}
	record.endReport = &ended
	record.neverStarted = ended.NeverStarted && bootID != "" && bootID == record.item.BootID
	c.releaseAllocation(record)
	c.advance(record)
}

// recordUnreportedEnd records that the current attempt is proven to have ended
// although no worker reported its outcome, and advances the record.
func (c *core) recordUnreportedEnd(record *itemRecord, detail string) {
	if record.endReport != nil || record.endedUnreported || !hasActiveAttempt(record.item) {
		return
	}
	record.endedUnreported = true
	record.unreportedDetail = detail
	record.neverStarted = record.placedByThisCore && !record.startSent
	c.releaseAllocation(record)
	c.advance(record)
}

// stepDown ends the core's work on the shard and drops the queued calls. Callers
// that wait for a cancel receive an error which states that the shard has a new
// owner and that the work may have run.
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

// stepDownFenced steps down after a read has shown that the version of the
// epoch row is no longer that of the lease's fence. Before that, it reports the
// loss of the shard to Leases.
func (c *core) stepDownFenced() {
	c.deps.Leases.NotifyFenced(c.lease.Shard, c.lease.Epoch)
	c.stepDown()
}

// replyToCancels replies to all callers that wait until the item's cancel is
// recorded.
func (c *core) replyToCancels(record *itemRecord, err error) {
	replies := record.cancelReplies
	record.cancelReplies = nil
	for _, reply := range replies {
		reply(record.item.Status(), err)
	}
}
