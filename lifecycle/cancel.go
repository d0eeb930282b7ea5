package lifecycle

import (
	"context"

	"bergamotstile/structs"
)

// requestCancel marks an item to be cancelled, unless its state is terminal. A
// pending placement that is not part of a group yet is withdrawn.
func (c *core) requestCancel(record *itemRecord) {
	if isTerminal(record.item) {
		return
	}
	record.cancelRequested = true
	if t := record.pending; t != nil && t.group == nil && t.eventKind == EventPlace {
		c.withdrawTransition(t)
	}
	c.advance(record)
}

// withdrawTransition removes a transition that is not part of a group yet from
// the waiting list and discards it.
func (c *core) withdrawTransition(t *transition) {
	for i, waiting := range c.committer.waiting {
		if waiting == t {
			c.committer.waiting = append(c.committer.waiting[:i:i], c.committer.waiting[i+1:]...)
			break
		}
	}
	c.discardTransition(t)
}

// cancelByID cancels an item on behalf of its submitter. It calls reply once the
// cancel is recorded, or at once if the item is terminal or is being cancelled.
// While the core cannot record changes, it stops a running item and replies with
// an unconfirmed status, and replies with an error for an item in any other
// state.
func (c *core) cancelByID(id structs.WorkID, reply func(structs.WorkStatus, error)) {
	record := c.records[id]
	switch {
	case record == nil:
		c.readAndCancel(id, reply)
	case isTerminal(record.item) || record.item.State == structs.StateCancelling:
		reply(record.item.Status(), nil)
	case c.canRecord():
		record.cancelReplies = append(record.cancelReplies, reply)
		c.requestCancel(record)
	case record.item.State == structs.StateRunning:
		// The task is stopped now. The cancel is recorded once commits
		// succeed again.
		c.requestCancel(record)
		status := record.item.Status()
		status.Unconfirmed = true
		reply(status, nil)
	default:
		reply(record.item.Status(), structs.MayHaveRun(structs.ReasonStoreUnavailable, "the cancel cannot be recorded now"))
	}
}

// canRecord reports whether a change can be recorded in the table now: the
// owner may commit, and the last commit did not fail.
func (c *core) canRecord() bool {
	return c.canCommit() && c.committer.retries == 0
}

// readAndCancel handles a cancel of an item that the core has not read yet,
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
