package lifecycle

import (
	"context"
	"errors"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Cancel cancels a work item of a shard that this instance owns. It returns once
// the cancel is recorded in the table, or at once if the item is terminal or is
// being cancelled. While the cancel cannot be recorded, a running item is stopped
// at once and its status is returned as unconfirmed; the cancel of an item in
// any other state is refused.
func (m *Manager) Cancel(ctx context.Context, shard structs.ShardID, id structs.WorkID) (structs.WorkStatus, error) {
	d, err := m.ownedDriver(shard)
	if err != nil {
		return structs.WorkStatus{}, err
	}
	return runStepAndAwaitReply(ctx, d, func(reply func(structs.WorkStatus, error)) { d.core.cancelByID(id, reply) })
}

// CancelByRow writes a cancel row to the table, for an instance that cannot
// reach the shard's owner. The owner finds the row with its next scan. The
// returned status is that of the item before the cancel. CancelByRow writes
// nothing if the item's state is terminal, and succeeds if a cancel row already
// exists.
func (m *Manager) CancelByRow(ctx context.Context, shard structs.ShardID, id structs.WorkID) (structs.WorkStatus, error) {
	item, err := m.readItem(ctx, shard, id)
	if err != nil {
		return structs.WorkStatus{}, err
	}
	if isTerminal(item) {
		return item.Status(), nil
	}
	key := cancelKey(shard, id)
	tx := platform.Transaction{
		WriteID:    m.deps.NewWriteID(),
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: []byte(`{}`)}},
	}
	_, err = m.deps.Table.Commit(ctx, tx)
	var conflict *platform.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict):
		return item.Status(), nil
	case errors.Is(err, platform.ErrUnavailable):
		return item.Status(), structs.MayHaveRun(structs.ReasonStoreUnavailable, "the cancel is not recorded: %v", err)
	}
	return item.Status(), structs.MayHaveRun(structs.ReasonWriteUnresolved, "the cancel may or may not be recorded: %v", err)
}

// Status returns the status of a work item. If this instance owns the shard, the
// status comes from the memory of the shard's core. It comes from the table if
// another instance owns the shard or the core returns no status, for example
// because it has not read the item yet.
func (m *Manager) Status(ctx context.Context, shard structs.ShardID, id structs.WorkID) (structs.WorkStatus, error) {
	if d, err := m.ownedDriver(shard); err == nil {
		status, err := runStepAndAwaitReply(ctx, d, func(reply func(structs.WorkStatus, error)) { d.core.replyStatus(id, reply) })
		if err == nil {
			return status, nil
		}
	}
	item, err := m.readItem(ctx, shard, id)
	return item.Status(), err
}

// readItem reads a work item from the table. Its errors are refusals that can
// be returned to callers.
func (m *Manager) readItem(ctx context.Context, shard structs.ShardID, id structs.WorkID) (structs.WorkItem, error) {
	rows, err := m.deps.Table.Read(ctx, workKey(shard, id))
	if err != nil {
		return structs.WorkItem{}, structs.MayHaveRun(structs.ReasonStoreUnavailable, "%v", err)
	}
	if len(rows) == 0 {
		return structs.WorkItem{}, structs.NotRun(structs.ReasonNotFound, "no work item %s", id)
	}
	item, err := decodeItem(rows[0])
	if err != nil {
		return item, structs.MayHaveRun(structs.ReasonInternal, "%v", err)
	}
	return item, nil
}

// Evict requests that a running item of a shard that this instance owns is
// checkpointed, stopped and queued again. It returns once the request is in the
// core's mailbox. A refusal by the core is not returned.
func (m *Manager) Evict(shard structs.ShardID, id structs.WorkID, cause string) error {
	return m.post(shard, func(c *core) { _ = c.evict(id, cause) })
}

// Throttle limits a running item of a shard that this instance owns to a share
// of its processors, from 0 to 1. It returns once the request is in the core's
// mailbox. A refusal by the core is not returned.
func (m *Manager) Throttle(shard structs.ShardID, id structs.WorkID, share float64) error {
	return m.post(shard, func(c *core) { _ = c.throttle(id, share) })
}

// post adds a step to the mailbox of the driver whose core runs the shard. It
// does not wait until the step is executed. It returns a refusal if this
// instance does not own the shard or the mailbox is full.
func (m *Manager) post(shard structs.ShardID, step func(c *core)) error {
	d, err := m.ownedDriver(shard)
	if err != nil {
		return err
	}
	if !d.mailbox.Offer(func() { step(d.core) }) {
		return structs.NotRun(structs.ReasonQueueFull, "shard %s is busy", shard)
	}
	return nil
}

// replyStatus replies with the status that the core has in memory. It is marked
// as unconfirmed if the core cannot commit: the attempt may have progressed
// since the last commit, or a new owner may have written the row.
func (c *core) replyStatus(id structs.WorkID, reply func(structs.WorkStatus, error)) {
	record := c.records[id]
	if record == nil {
		reply(structs.WorkStatus{}, structs.NotRun(structs.ReasonNotFound, "no work item %s", id))
		return
	}
	status := record.item.Status()
	status.Unconfirmed = !c.canRecord()
	reply(status, nil)
}

// readHintedItem reads the row of a work item that a hint announced. It ignores
// hints that arrive during recovery, since recovery reads all rows.
func (c *core) readHintedItem(id structs.WorkID) {
	if c.stopped || c.records[id] != nil || !c.ready {
		return
	}
	c.readItems([]string{workKey(c.lease.Shard, id)})
}
