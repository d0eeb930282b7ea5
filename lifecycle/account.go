package lifecycle

import (
	"context"
	"errors"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Cancel cancels a work item of a shard that this instance owns. It returns
// once the cancel is recorded. While the table is down, a running item is
// stopped at once and its account is marked as unconfirmed.
func (m *Manager) Cancel(ctx context.Context, shard structs.ShardID, id structs.WorkID) (structs.WorkStatus, error) {
	d, err := m.owned(shard)
	if err != nil {
		return structs.WorkStatus{}, err
	}
	return ask(ctx, d, func(reply func(structs.WorkStatus, error)) { d.core.cancelByID(id, reply) })
}

// CancelByRow records a cancel in the table, for an instance that cannot
// reach the owner. The owner finds the row by itself.
func (m *Manager) CancelByRow(ctx context.Context, shard structs.ShardID, id structs.WorkID) (structs.WorkStatus, error) {
	item, err := m.read(ctx, shard, id)
	if err != nil {
		return structs.WorkStatus{}, err
	}
	if over(item) {
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

// Status returns the account of a work item: the owner's, from memory, or the
// table's if the shard is not owned here.
func (m *Manager) Status(ctx context.Context, shard structs.ShardID, id structs.WorkID) (structs.WorkStatus, error) {
	if d, err := m.owned(shard); err == nil {
		status, err := ask(ctx, d, func(reply func(structs.WorkStatus, error)) { d.core.status(id, reply) })
		if err == nil {
			return status, nil
		}
	}
	item, err := m.read(ctx, shard, id)
	return item.Status(), err
}

func (m *Manager) read(ctx context.Context, shard structs.ShardID, id structs.WorkID) (structs.WorkItem, error) {
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

// Evict asks a running item of an owned shard to checkpoint and stop.
func (m *Manager) Evict(shard structs.ShardID, id structs.WorkID, cause string) error {
	return m.post(shard, func(c *core) { _ = c.evict(id, cause) })
}

// Throttle limits a running item of an owned shard to a share of its
// processors.
func (m *Manager) Throttle(shard structs.ShardID, id structs.WorkID, share float64) error {
	return m.post(shard, func(c *core) { _ = c.throttle(id, share) })
}

func (m *Manager) post(shard structs.ShardID, step func(c *core)) error {
	d, err := m.owned(shard)
	if err != nil {
		return err
	}
	if !d.mailbox.Offer(func() { step(d.core) }) {
		return structs.NotRun(structs.ReasonQueueFull, "shard %s is busy", shard)
	}
	return nil
}

// status answers from memory. Without a valid lease the row may be older
// than what the worker did since, or newer if there is a new owner.
func (c *core) status(id structs.WorkID, reply func(structs.WorkStatus, error)) {
	r := c.items[id]
	if r == nil {
		reply(structs.WorkStatus{}, structs.NotRun(structs.ReasonNotFound, "no work item %s", id))
		return
	}
	status := r.item.Status()
	status.Unconfirmed = !c.recording()
	reply(status, nil)
}

// hint reads a work row that another instance announced.
func (c *core) hint(id structs.WorkID) {
	if c.stopped || c.items[id] != nil || !c.ready {
		return
	}
	c.readItems([]string{workKey(c.lease.Shard, id)})
}
