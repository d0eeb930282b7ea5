package lifecycle

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/ownership"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// call is one piece of I/O. run does it outside the core's goroutine and
// returns what the core's goroutine does with the result.
type call struct {
	name string
	// queued is when the core asked for the call; timeout counts from it.
	queued  time.Time
	timeout time.Duration
	// limited calls go to workers. They share a bounded number of slots, and
	// none of the others waits behind them when a rack does not answer.
	limited bool
	run     func(ctx context.Context) func()
}

// core holds the state of one shard under one lease. Its methods are called
// from one goroutine at a time.
type core struct {
	cfg   Config
	deps  Dependencies
	clock clockwork.Clock
	lease ownership.Lease

	ready   bool // recovery has read the whole shard
	stopped bool
	items   map[structs.WorkID]*record
	queue   map[structs.WorkID]*record // queued items
	// attention holds the records with something to do at a later time.
	attention map[structs.WorkID]*record
	workers   map[string]*worker
	ledger    *ledger
	applier   applier
	scan      scanner
	// lastGrants is what the lease tells of earlier owners. It is dropped after
	// recovery, since this owner grants task leases from then on.
	lastGrants map[string]time.Time
	planner    planner
	storeDown  bool // the last call to the object store failed
	nextProbe  time.Time
	nextWalk   time.Time
	out        []call
}

// record is a work item with what is known beyond its row.
type record struct {
	item    structs.WorkItem // as committed
	version uint64           // of the row
	// pending is the transition that waits for its commit, or nil.
	pending *transition

	// Facts about the present attempt.
	ended        *workerapi.EndedAttempt
	neverStarted bool
	gone         bool
	goneDetail   string
	started      bool
	own          bool  // this core placed the attempt
	sent         bool  // this core sent a start of the attempt
	startBefore  int64 // latest uptime at which a start may take effect
	checkpoint   checkpointState

	// Wishes.
	cancel     bool
	cancelRow  bool // a cancel row exists
	evict      string
	throttle   float64
	throttling bool

	// Calls about the present attempt.
	calling  bool
	retries  int
	nextCall time.Time
	refused  int

	queuedAt  time.Time
	placedAt  time.Time
	restartAt time.Time
	restarts  int
	used      structs.Resources
	waiters   []func(structs.WorkStatus, error)
}

func newCore(cfg Config, deps Dependencies, clock clockwork.Clock, lease ownership.Lease) *core {
	return &core{
		cfg: cfg, deps: deps, clock: clock, lease: lease,
		items:      map[structs.WorkID]*record{},
		queue:      map[structs.WorkID]*record{},
		attention:  map[structs.WorkID]*record{},
		workers:    map[string]*worker{},
		ledger:     newLedger(),
		lastGrants: lease.LastGrants,
	}
}

// held reports whether the owner may commit and start work now.
func (c *core) held() bool {
	lease, ok := c.deps.Leases.Held(c.lease.Shard)
	return ok && lease.Epoch == c.lease.Epoch && !c.stopped
}

// serving reports whether the owner may keep work alive now, which an
// extended lease allows.
func (c *core) serving() bool {
	return !c.stopped && c.clock.Now().Before(c.deps.Leases.ServingUntil(c.lease.Shard))
}

// do asks the driver for a call.
func (c *core) do(name string, run func(ctx context.Context) func()) {
	c.out = append(c.out, call{name: name, queued: c.clock.Now(), timeout: c.cfg.CallTimeout, run: run})
}

// doWorker asks the driver for a call to a worker.
func (c *core) doWorker(name string, run func(ctx context.Context) func()) {
	c.do(name, run)
	c.out[len(c.out)-1].limited = true
}

// takeCalls returns the calls that are due.
func (c *core) takeCalls() []call {
	calls := c.out
	c.out = nil
	return calls
}

// walkInterval is how often a tick walks over all workers and all records
// that wait. It is shorter than the least backoff and heartbeat interval.
const walkInterval = 25 * time.Millisecond

// tick does everything that is due.
func (c *core) tick() {
	if c.stopped {
		return
	}
	c.tickScan()
	if !c.ready {
		return
	}
	if now := c.clock.Now(); !now.Before(c.nextWalk) {
		c.nextWalk = now.Add(walkInterval)
		c.tickWorkers()
		c.tickAttention()
		c.tickStore()
	}
	c.tickPlan()
	c.tickApplier()
}

// tickAttention retries what waits for a time.
func (c *core) tickAttention() {
	for _, id := range sortedIDs(c.attention) {
		c.advance(c.attention[id])
	}
}

// advance queues the transition that the record's facts and wishes ask for,
// and sends the calls that its committed state asks for.
func (c *core) advance(r *record) {
	if c.stopped {
		return
	}
	if r.pending == nil {
		if ev, ok := c.nextEvent(r); ok {
			c.transit(r, ev)
		}
	}
	c.sendCalls(r)
	c.setAttention(r)
}

// nextEvent derives the next event of the state machine. A cancellation
// precedes everything but a finished attempt, so that work which failed or
// stopped is not queued again.
func (c *core) nextEvent(r *record) (Event, bool) {
	state := r.item.State
	if over(r.item) {
		return Event{}, false
	}
	finished := r.ended != nil && r.ended.State == workerapi.EndFinished
	if r.cancel && state != structs.StateCancelling && !finished {
		return Event{Kind: EventCancel, Detail: "cancelled by its submitter"}, true
	}
	switch {
	case active(r.item) && r.ended != nil:
		return c.endedEvent(r)
	case active(r.item) && r.gone:
		return Event{Kind: EventGone, NeverStarted: r.neverStarted, Detail: r.goneDetail}, true
	case state == structs.StateStarting && r.started:
		return Event{Kind: EventStarted}, true
	case state == structs.StateRunning && r.evict != "":
		return Event{Kind: EventEvict, Detail: r.evict}, true
	case state == structs.StateFinished || state == structs.StateFailed:
		due := !c.clock.Now().Before(r.restartAt)
		return Event{Kind: EventRestart}, due
	}
	return Event{}, false
}

// endedEvent waits for the check of a checkpoint before the end is recorded.
func (c *core) endedEvent(r *record) (Event, bool) {
	ev := Event{Kind: EventEnded, Ended: *r.ended, NeverStarted: r.neverStarted, Detail: r.ended.Detail}
	if !needsCheckpoint(r) {
		return ev, true
	}
	switch r.checkpoint {
	case checkpointPresent:
		ev.Checkpoint = r.ended.Checkpoint
		return ev, true
	case checkpointAbsent:
		return ev, true
	}
	return Event{}, false
}

// setAttention keeps the record in the set that each tick looks at while it
// waits for a time or for an answer.
func (c *core) setAttention(r *record) {
	waits := active(r.item) && r.item.State != structs.StateRunning
	waits = waits || r.ended != nil || r.gone || r.evict != "" || r.cancel || r.throttling
	if (waits || !active(r.item) && r.item.State != structs.StateQueued) && !over(r.item) {
		c.attention[r.item.ID] = r
		return
	}
	delete(c.attention, r.item.ID)
}

// prove records that the present attempt ended and frees its room.
func (c *core) prove(r *record) {
	if c.ledger.release(r.item.AttemptID()) {
		c.planner.dirty = true
	}
}

// setEnded records the worker's report of the present attempt's end.
func (c *core) setEnded(r *record, ended workerapi.EndedAttempt, bootID string) {
	if r.ended != nil || !active(r.item) {
		return
	}
	r.ended = &ended
	r.neverStarted = ended.NeverStarted && bootID != "" && bootID == r.item.BootID
	c.prove(r)
	c.advance(r)
}

// setGone records a proof that the present attempt ended without an outcome.
func (c *core) setGone(r *record, detail string) {
	if r.ended != nil || r.gone || !active(r.item) {
		return
	}
	r.gone = true
	r.goneDetail = detail
	r.neverStarted = r.own && !r.sent
	c.prove(r)
	c.advance(r)
}

// stepDown drops the shard. Waiting callers learn that nothing is certain.
func (c *core) stepDown() {
	if c.stopped {
		return
	}
	c.stopped = true
	for _, id := range sortedIDs(c.items) {
		c.answerWaiters(c.items[id], structs.MayHaveRun(structs.ReasonNotOwner, "shard %s has a new owner", c.lease.Shard))
	}
	c.out = nil
}

// fenced steps down because the table showed another epoch.
func (c *core) fenced() {
	c.deps.Leases.Fenced(c.lease.Shard, c.lease.Epoch)
	c.stepDown()
}

func (c *core) answerWaiters(r *record, err error) {
	waiters := r.waiters
	r.waiters = nil
	for _, reply := range waiters {
		reply(r.item.Status(), err)
	}
}
