package lifecycle

import (
	"context"

	"bergamotstile/structs"
)

// requestCancel marks an item to be cancelled, unless its state is terminal. A
// pending placement that is not part of a group yet is withdrawn.
func (c *core) requestCancel(r *itemRecord) {
	if isTerminal(r.item) {
		return
	}
	r.cancelRequested = true
	if t := r.pending; t != nil && t.group == nil && t.eventKind == EventPlace {
		c.withdrawTransition(t)
	}
	c.advance(r)
}

// withdrawTransition removes a transition that is not part of a group yet from
// the waiting ones and discards it.
func (c *core) withdrawTransition(t *transition) {
	for i, waiting := range c.committer.waiting {
		if waiting == t {
			c.committer.waiting = append(c.committer.waiting[:i:i], c.committer.waiting[i+1:]...)
			break
		}
	}
	c.discardTransition(t)
}

// cancelByID cancels an item on behalf of its submitter. It calls reply once
// the cancel is recorded, or with the reason why it cannot be recorded.
func (c *core) cancelByID(id structs.WorkID, reply func(structs.WorkStatus, error)) {
	r := c.records[id]
	switch {
	case r == nil:
		c.readAndCancel(id, reply)
	case isTerminal(r.item) || r.item.State == structs.StateCancelling:
		reply(r.item.Status(), nil)
	case c.canRecord():
		r.cancelReplies = append(r.cancelReplies, reply)
		c.requestCancel(r)
	case r.item.State == structs.StateRunning:
		// The task is stopped now. The cancel is recorded once commits
		// succeed again.
		c.requestCancel(r)
		status := r.item.Status()
		status.Unconfirmed = true
		reply(status, nil)
	default:
		reply(r.item.Status(), structs.MayHaveRun(structs.ReasonStoreUnavailable, "the cancel cannot be recorded now"))
	}
}

// canRecord reports whether the core can commit now: it holds a valid lease,
// and the last commit did not fail.
func (c *core) canRecord() bool {
	return c.canCommit() && c.committer.retries == 0
}

// readAndCancel handles a cancel of an item that the core does not know,
// because no hint announced it and no scan has found it yet. It reads the
// item's row and cancels the item if the row exists.
func (c *core) readAndCancel(id structs.WorkID, reply func(structs.WorkStatus, error)) {
	c.queueCall("cancel", func(ctx context.Context) func() {
		rows, err := c.deps.Table.Read(ctx, workKey(c.lease.Shard, id))
		return func() {
			if err == nil && len(rows) == 1 && !c.stopped {
				c.addItemFromRow(rows[0])
			}
			switch {
			case c.records[id] != nil && !c.stopped:
				c.cancelByID(id, reply)
			case err != nil:
				reply(structs.WorkStatus{}, structs.MayHaveRun(structs.ReasonStoreUnavailable, "%v", err))
			case c.stopped || !c.ready:
				reply(structs.WorkStatus{}, structs.MayHaveRun(structs.ReasonNotOwner, "shard %s is not ready here", c.lease.Shard))
			default:
				reply(structs.WorkStatus{}, structs.NotRun(structs.ReasonNotFound, "no work item %s", id))
			}
		}
	})
}
