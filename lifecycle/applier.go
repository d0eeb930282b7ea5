package lifecycle

import (
	"context"
	"errors"
	"slices"
	"time"

	"bergamotstile/platform"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// transition is a new value of an item that waits for its commit.
type transition struct {
	rec    *record
	next   structs.WorkItem
	effect Effect
	kind   EventKind
	group  *group
}

// group is one transaction over several items.
type group struct {
	tx    platform.Transaction
	parts []*transition
	// unknown is set once a copy of the transaction may take effect later.
	unknown bool
}

// applier commits transitions one group at a time.
type applier struct {
	waiting []*transition
	since   time.Time // when the first of waiting came
	current *group
	// limit is lowered when a group conflicts, so that one conflicting item
	// holds back few others, and grows again with each success.
	limit   int
	retryAt time.Time
	retries int
	// resume is the next step of the group under way, due at retryAt.
	resume func()
}

// transit queues a transition of a record that has none.
func (c *core) transit(r *record, ev Event) bool {
	next, effect, ok := Step(r.item, ev, c.cfg.Limits)
	if !ok {
		return false
	}
	r.pending = &transition{rec: r, next: next, effect: effect, kind: ev.Kind}
	if len(c.applier.waiting) == 0 {
		c.applier.since = c.clock.Now()
	}
	c.applier.waiting = append(c.applier.waiting, r.pending)
	return true
}

// tickApplier starts the next group once it is due.
func (c *core) tickApplier() {
	a := &c.applier
	now := c.clock.Now()
	if a.resume != nil {
		c.resumeGroup(now)
		return
	}
	if a.current != nil || len(a.waiting) == 0 || now.Before(a.retryAt) || !c.held() {
		return
	}
	full := len(a.waiting) >= c.groupLimit()
	if !full && now.Sub(a.since) < c.cfg.CommitWait {
		return
	}
	c.startGroup()
}

// resumeGroup goes on with a group whose result is not known yet. It does so
// without a valid lease too: the transaction carries the fence.
func (c *core) resumeGroup(now time.Time) {
	if now.Before(c.applier.retryAt) {
		return
	}
	step := c.applier.resume
	c.applier.resume = nil
	step()
}

func (c *core) groupLimit() int {
	if c.applier.limit <= 0 {
		c.applier.limit = c.cfg.CommitMax
	}
	return c.applier.limit
}

func (c *core) startGroup() {
	a := &c.applier
	n := min(c.groupLimit(), len(a.waiting))
	g := &group{parts: slices.Clone(a.waiting[:n])}
	a.waiting = slices.Delete(a.waiting, 0, n)
	a.since = c.clock.Now()
	a.current = g
	g.tx = c.transaction(g)
	c.sendGroup(g)
}

// transaction builds the group's writes. Each start requires that no cancel
// row exists, so a recorded cancel excludes any later start.
func (c *core) transaction(g *group) platform.Transaction {
	tx := platform.Transaction{
		WriteID:    c.deps.NewWriteID(),
		Conditions: []platform.Condition{c.lease.Fence},
	}
	for _, t := range g.parts {
		t.group = g
		t.next.OwnerWrite = tx.WriteID
		key := workKey(c.lease.Shard, t.rec.item.ID)
		cancel := cancelKey(c.lease.Shard, t.rec.item.ID)
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: key, Version: t.rec.version})
		if t.kind == EventPlace {
			tx.Conditions = append(tx.Conditions, platform.Condition{Key: cancel})
		}
		tx.Puts = append(tx.Puts, platform.Put{Key: key, Value: encodeItem(t.next)})
		if t.rec.item.Attempt == 0 && t.rec.item.State == structs.StateQueued {
			tx.Deletes = append(tx.Deletes, newKey(c.lease.Shard, t.rec.item.ID))
		}
		if t.rec.cancelRow && over(t.next) {
			tx.Deletes = append(tx.Deletes, cancel)
		}
	}
	return tx
}

func (c *core) sendGroup(g *group) {
	c.do("commit", func(ctx context.Context) func() {
		result, err := c.deps.Table.Commit(ctx, g.tx)
		return func() { c.onCommit(g, result, err) }
	})
}

func (c *core) onCommit(g *group, result platform.CommitResult, err error) {
	if c.stopped || c.applier.current != g {
		return
	}
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.groupCommitted(g, result.Version)
	case errors.As(err, &conflict):
		c.resolveGroup(g)
	case errors.Is(err, platform.ErrUnavailable) && !g.unknown:
		c.returnGroup(g)
	default:
		g.unknown = true
		c.resolveGroup(g)
	}
}

// returnGroup puts back a group that had no effect, to be sent later.
func (c *core) returnGroup(g *group) {
	a := &c.applier
	a.current = nil
	for _, t := range g.parts {
		t.group = nil
	}
	a.waiting = append(g.parts, a.waiting...)
	c.delayApplier()
}

func (c *core) delayApplier() {
	a := &c.applier
	a.retryAt = c.clock.Now().Add(backoff(c.cfg.RetryMin, c.cfg.RetryMax, a.retries))
	a.retries++
}

// groupCommitted makes the group's values the committed ones.
func (c *core) groupCommitted(g *group, version uint64) {
	a := &c.applier
	a.current = nil
	a.retries = 0
	a.retryAt = time.Time{}
	a.limit = min(2*c.groupLimit(), c.cfg.CommitMax)
	for _, t := range g.parts {
		c.applied(t, version)
	}
	c.tickApplier()
}

// applied acts on one committed transition.
func (c *core) applied(t *transition, version uint64) {
	r := t.rec
	before := r.item
	r.item, r.version, r.pending = t.next, version, nil
	r.retries, r.nextCall, r.refused = 0, time.Time{}, 0
	switch {
	case t.kind == EventPlace:
		r.resetAttempt()
		r.own, r.placedAt = true, c.clock.Now()
	case active(before) && !active(r.item):
		c.attemptOver(r, before)
	}
	if over(r.item) {
		r.cancelRow, r.cancel = false, false
	}
	c.index(r)
	if over(r.item) || r.item.State == structs.StateCancelling {
		c.answerWaiters(r, nil)
	}
	c.advance(r)
}

// index keeps the queue in step with the record's state.
func (c *core) index(r *record) {
	if r.item.State != structs.StateQueued {
		delete(c.queue, r.item.ID)
		return
	}
	if _, queued := c.queue[r.item.ID]; !queued {
		r.queuedAt = c.clock.Now()
		c.queue[r.item.ID] = r
	}
	c.planner.dirty = true
}

// attemptOver prepares the record for what follows its attempt.
func (c *core) attemptOver(r *record, before structs.WorkItem) {
	c.ledger.release(before.AttemptID())
	if c.deps.Verdicts != nil && r.ended != nil {
		failed := r.ended.State == workerapi.EndFailed
		c.deps.Verdicts.Ended(before.Worker, before.Spec.Job, before.ID, failed)
	}
	if !over(r.item) && r.item.State != structs.StateQueued {
		c.scheduleRestart(r)
	}
	r.resetAttempt()
	c.planner.dirty = true
}

// resetAttempt forgets the facts of the attempt before.
func (r *record) resetAttempt() {
	r.ended, r.neverStarted, r.gone, r.goneDetail = nil, false, false, ""
	r.started, r.own, r.sent, r.startBefore = false, false, false, 0
	r.checkpoint = checkpointUnchecked
	r.evict, r.throttle, r.throttling = "", 0, false
	r.used = structs.Resources{}
}

// dropTransition takes back a transition that had no effect.
func (c *core) dropTransition(t *transition) {
	t.rec.pending = nil
	if t.kind == EventPlace {
		c.ledger.release(t.next.AttemptID())
		c.planner.dirty = true
	}
}

func backoff(least, most time.Duration, n int) time.Duration {
	return min(least<<min(n, 16), most)
}
