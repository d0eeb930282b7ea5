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

// transition is a new value of an item that is not committed yet.
type transition struct {
	record    *itemRecord
	newItem   structs.WorkItem
	effect    Effect
	eventKind EventKind
	group     *commitGroup
}

// commitGroup is one transaction that commits the transitions of several items.
type commitGroup struct {
	tx          platform.Transaction
	transitions []*transition
	// outcomeUnknown is set once a copy of the transaction may have taken
	// effect or may still do so.
	outcomeUnknown bool
}

// committer commits transitions, one group at a time.
type committer struct {
	waiting      []*transition
	waitingSince time.Time    // start of the wait that CommitWait bounds
	current      *commitGroup // group that is being committed, or nil
	// groupLimit is the maximum number of transitions in the next group. If a
	// cancel row prevents a placement in a group, groupLimit becomes half the
	// size of that group, so that one conflicting item delays few others. It
	// doubles with each successful commit, up to CommitMax. Zero stands for
	// CommitMax.
	groupLimit int
	retryAt    time.Time // earliest time of the next commit, or of pendingRetry if that is set
	retries    int       // retries since the last successful commit
	// pendingRetry repeats a table call about the current group, either its
	// commit or the read of its outcome. It is due at retryAt, and nil unless the
	// group waits for that time.
	pendingRetry func()
}

// queueTransition applies an event to an item without a pending transition and
// queues the resulting transition. It returns false if the item's state does
// not accept the event.
func (c *core) queueTransition(record *itemRecord, ev Event) bool {
	newItem, effect, ok := ApplyEvent(record.item, ev, c.cfg.Limits)
	if !ok {
		return false
	}
	record.pending = &transition{record: record, newItem: newItem, effect: effect, eventKind: ev.Kind}
	if len(c.committer.waiting) == 0 {
		c.committer.waitingSince = c.clock.Now()
	}
	c.committer.waiting = append(c.committer.waiting, record.pending)
	return true
}

// tickCommitter runs a pending retry of the current group that is due. If no
// group is being committed, it starts the next one once enough transitions wait
// to fill it or they have waited for CommitWait, unless a backoff has not ended
// or the core may not commit.
func (c *core) tickCommitter() {
	cm := &c.committer
	now := c.clock.Now()
	if cm.pendingRetry != nil {
		c.runPendingRetry(now)
		return
	}
	if cm.current != nil || len(cm.waiting) == 0 || now.Before(cm.retryAt) || !c.canCommit() {
		return
	}
	full := len(cm.waiting) >= c.ensureGroupLimit()
	if !full && now.Sub(cm.waitingSince) < c.cfg.CommitWait {
		return
	}
	c.startGroup()
}

// runPendingRetry runs pendingRetry once retryAt has come, to find out the
// outcome of the current group. This needs no valid lease, because the
// transaction has the fence as a condition.
func (c *core) runPendingRetry(now time.Time) {
	if now.Before(c.committer.retryAt) {
		return
	}
	retry := c.committer.pendingRetry
	c.committer.pendingRetry = nil
	retry()
}

// ensureGroupLimit returns the maximum number of transitions in the next group. It
// sets groupLimit to CommitMax if groupLimit is zero.
func (c *core) ensureGroupLimit() int {
	if c.committer.groupLimit <= 0 {
		c.committer.groupLimit = c.cfg.CommitMax
	}
	return c.committer.groupLimit
}

// startGroup forms a group from the transitions that have waited longest and
// sends it.
func (c *core) startGroup() {
	cm := &c.committer
	n := min(c.ensureGroupLimit(), len(cm.waiting))
	g := &commitGroup{transitions: slices.Clone(cm.waiting[:n])}
	cm.waiting = slices.Delete(cm.waiting, 0, n)
	cm.waitingSince = c.clock.Now()
	cm.current = g
	g.tx = c.buildTransaction(g)
	c.sendGroup(g)
}

// buildTransaction returns the transaction that commits the group. A placement
// requires that no cancel row exists for its item, so no attempt is placed
// after a cancel row has been written. The transaction also deletes the marker row
// of an item that has had no attempt so far, and the cancel row of an item that
// becomes terminal.
func (c *core) buildTransaction(g *commitGroup) platform.Transaction {
	tx := platform.Transaction{
		WriteID:    c.deps.NewWriteID(),
		Conditions: []platform.Condition{c.lease.Fence},
	}
	for _, t := range g.transitions {
		t.group = g
		t.newItem.WriteID = tx.WriteID
		itemKey := workKey(c.lease.Shard, t.record.item.ID)
		cancelRowKey := cancelKey(c.lease.Shard, t.record.item.ID)
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: itemKey, Version: t.record.rowVersion})
		if t.eventKind == EventPlace {
			tx.Conditions = append(tx.Conditions, platform.Condition{Key: cancelRowKey})
		}
		tx.Puts = append(tx.Puts, platform.Put{Key: itemKey, Value: encodeItem(t.newItem)})
		if t.record.item.Attempt == 0 && t.record.item.State == structs.StateQueued {
			tx.Deletes = append(tx.Deletes, markerKey(c.lease.Shard, t.record.item.ID))
		}
		if t.record.hasCancelRow && isTerminal(t.newItem) {
			tx.Deletes = append(tx.Deletes, cancelRowKey)
		}
	}
	return tx
}

func (c *core) sendGroup(g *commitGroup) {
	c.queueCall("commit", func(ctx context.Context) func() {
		result, err := c.deps.Table.Commit(ctx, g.tx)
		return func() { c.handleCommitResult(g, result, err) }
	})
}

// handleCommitResult completes the group if its commit succeeded, and requeues
// it if the table was unavailable and no copy of the transaction can have taken
// effect or do so later. In all other cases, also after a conflict, it reads the
// table to find out whether the transaction took effect.
func (c *core) handleCommitResult(g *commitGroup, result platform.CommitResult, err error) {
	if c.stopped || c.committer.current != g {
		return
	}
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.completeGroup(g, result.Version)
	case errors.As(err, &conflict):
		c.resolveGroup(g)
	case errors.Is(err, platform.ErrUnavailable) && !g.outcomeUnknown:
		c.requeueGroup(g)
	default:
		g.outcomeUnknown = true
		c.resolveGroup(g)
	}
}

// requeueGroup puts the transitions of a group that had no effect back at the
// front of the waiting list. They are sent again after a backoff.
func (c *core) requeueGroup(g *commitGroup) {
	cm := &c.committer
	cm.current = nil
	for _, t := range g.transitions {
		t.group = nil
	}
	cm.waiting = append(g.transitions, cm.waiting...)
	c.delayNextCommit()
}

// delayNextCommit delays the committer by a backoff, which grows with each
// retry.
func (c *core) delayNextCommit() {
	cm := &c.committer
	cm.retryAt = c.clock.Now().Add(backoff(c.cfg.RetryMin, c.cfg.RetryMax, cm.retries))
	cm.retries++
}

// completeGroup applies the transitions of a committed group. version is the
// version that the commit gave to the rows.
func (c *core) completeGroup(g *commitGroup, version uint64) {
	cm := &c.committer
	cm.current = nil
	cm.retries = 0
	cm.retryAt = time.Time{}
	cm.groupLimit = min(2*c.ensureGroupLimit(), c.cfg.CommitMax)
	for _, t := range g.transitions {
		c.applyCommitted(t, version)
	}
	c.tickCommitter()
}

// applyCommitted updates a record after the commit of its transition and starts
// the actions that follow from the new state.
func (c *core) applyCommitted(t *transition, version uint64) {
	record := t.record
	previousItem := record.item
	record.item, record.rowVersion, record.pending = t.newItem, version, nil
	record.callRetries, record.nextCallAt, record.startRefusals = 0, time.Time{}, 0
	switch {
	case t.eventKind == EventPlace:
		record.clearAttempt()
		record.placedByThisCore, record.placedAt = true, c.clock.Now()
	case hasActiveAttempt(previousItem) && !hasActiveAttempt(record.item):
		c.finishAttempt(record, previousItem)
	}
	if isTerminal(record.item) {
		record.hasCancelRow, record.cancelRequested = false, false
	}
	c.updateQueue(record)
	if isTerminal(record.item) || record.item.State == structs.StateCancelling {
		c.replyToCancels(record, nil)
	}
	c.advance(record)
}

// updateQueue adds the record to the queue if its item is queued, and removes
// it otherwise.
func (c *core) updateQueue(record *itemRecord) {
	if record.item.State != structs.StateQueued {
		delete(c.queue, record.item.ID)
		return
	}
	if _, queued := c.queue[record.item.ID]; !queued {
		record.queuedAt = c.clock.Now()
		c.queue[record.item.ID] = record
	}
	c.planner.dirty = true
}

// finishAttempt cleans up after the attempt of previousItem: it releases the
// allocation, passes the worker's report of the outcome, if there is one, to
// FailureTracker, schedules the restart of a standing job that finished or failed,
// and clears the record's state about the attempt.
func (c *core) finishAttempt(record *itemRecord, previousItem structs.WorkItem) {
	c.ledger.release(previousItem.AttemptID())
	if c.deps.FailureTracker != nil && record.endReport != nil {
		failed := record.endReport.State == workerapi.EndFailed
		c.deps.FailureTracker.RecordOutcome(previousItem.Worker, previousItem.Spec.Job, previousItem.ID, failed)
	}
	if !isTerminal(record.item) && record.item.State != structs.StateQueued {
		c.scheduleRestart(record)
	}
	record.clearAttempt()
	c.planner.dirty = true
}

// clearAttempt resets the state that belongs to one attempt.
func (r *itemRecord) clearAttempt() {
	r.endReport, r.neverStarted, r.endedUnreported, r.unreportedDetail = nil, false, false, ""
	r.started, r.placedByThisCore, r.startSent, r.startBeforeMS = false, false, false, 0
	r.checkpointState = checkpointUnchecked
	r.evictionDetail, r.throttleShare, r.throttleUnsent = "", 0, false
	r.used = structs.Resources{}
}

// discardTransition removes a transition that had no effect from its record.
// For a placement, it releases the allocation.
func (c *core) discardTransition(t *transition) {
	t.record.pending = nil
	if t.eventKind == EventPlace {
		c.ledger.release(t.newItem.AttemptID())
		c.planner.dirty = true
	}
}

// backoff returns the delay before the next retry: minDelay, doubled for each
// of at most 16 earlier retries, but at most maxDelay.
func backoff(minDelay, maxDelay time.Duration, retries int) time.Duration {
	return min(minDelay<<min(retries, 16), maxDelay)
}
