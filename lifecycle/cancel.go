package lifecycle

import (
	"context"

	"bergamotstile/structs"
)

// cancelRecord acts on a request to cancel an item.
func (c *core) cancelRecord(r *record) {
	if over(r.item) {
		return
	}
	r.cancel = true
	if t := r.pending; t != nil && t.group == nil && t.kind == EventPlace {
		c.withdraw(t)
	}
	c.advance(r)
}

// withdraw removes a transition that is not part of a group yet.
func (c *core) withdraw(t *transition) {
	for i, waiting := range c.applier.waiting {
		if waiting == t {
			c.applier.waiting = append(c.applier.waiting[:i:i], c.applier.waiting[i+1:]...)
			break
		}
	}
	c.dropTransition(t)
}

// cancelByID acts on a cancel by its submitter. reply is called once the
// cancel is recorded, or with what prevents it.
func (c *core) cancelByID(id structs.WorkID, reply func(structs.WorkStatus, error)) {
	r := c.items[id]
	switch {
	case r == nil:
		c.cancelUnknown(id, reply)
	case over(r.item) || r.item.State == structs.StateCancelling:
		reply(r.item.Status(), nil)
	case c.recording():
		r.waiters = append(r.waiters, reply)
		c.cancelRecord(r)
	case r.item.State == structs.StateRunning:
		// The task is stopped now, and the record follows.
		c.cancelRecord(r)
		status := r.item.Status()
		status.Unconfirmed = true
		reply(status, nil)
	default:
		reply(r.item.Status(), structs.MayHaveRun(structs.ReasonStoreUnavailable, "the cancel cannot be recorded now"))
	}
}

// recording reports whether commits succeed, as far as is known.
func (c *core) recording() bool {
	return c.held() && c.applier.retries == 0
}

// cancelUnknown looks for the row of an item that no hint announced yet.
func (c *core) cancelUnknown(id structs.WorkID, reply func(structs.WorkStatus, error)) {
	c.do("cancel", func(ctx context.Context) func() {
		rows, err := c.deps.Table.Read(ctx, workKey(c.lease.Shard, id))
		return func() {
			if err == nil && len(rows) == 1 && !c.stopped {
				c.learn(rows[0])
			}
			switch {
			case c.items[id] != nil && !c.stopped:
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
