package lifecycle

import (
	"bytes"
	"context"
	"errors"
	"slices"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Submit records a work item in the table. Any instance may record items of any
// shard. A repeated submit of the same work returns the status of the existing
// item.
func (m *Manager) Submit(ctx context.Context, spec structs.WorkSpec) (structs.WorkStatus, error) {
	shard, err := m.validateAndLocate(spec)
	if err != nil {
		return structs.WorkStatus{}, err
	}
	item := structs.WorkItem{
		ID: spec.ID(), Shard: shard, Spec: spec,
		State: structs.StateQueued, WriteID: m.deps.NewWriteID(),
	}
	stored, err := m.createRow(ctx, item)
	if err != nil {
		return structs.WorkStatus{}, err
	}
	if stored.WriteID == item.WriteID {
		m.notifyOwner(ctx, shard, item.ID)
	}
	return stored.Status(), nil
}

// validateAndLocate validates a spec and returns the shard to which its item
// belongs.
func (m *Manager) validateAndLocate(spec structs.WorkSpec) (structs.ShardID, error) {
	noShard := structs.ShardID{}
	size := spec.Size
	switch {
	case spec.Team == "":
		return noShard, structs.NotRun(structs.ReasonBadRequest, "team is missing")
	case spec.Key == "":
		return noShard, structs.NotRun(structs.ReasonKeyRequired, "key is missing")
	case spec.Kind != structs.KindBatch && spec.Kind != structs.KindStanding:
		return noShard, structs.NotRun(structs.ReasonBadRequest, "kind %q is neither batch nor standing", spec.Kind)
	case size.CPUMilli < 0 || size.MemoryMB < 0 || size.Accelerators < 0:
		return noShard, structs.NotRun(structs.ReasonBadRequest, "size is negative")
	}
	domains := m.deps.Domains()
	domain := spec.Domain
	if domain == "" {
		domain = structs.HomeDomain(string(spec.ID()), domains)
	}
	if !slices.Contains(domains, domain) {
		return noShard, structs.NotRun(structs.ReasonUnknownDomain, "failure domain %q is not declared", domain)
	}
	return structs.ShardOf(domain, string(spec.ID()), m.cfg.Shards), nil
}

// createRow writes the item's row and its marker row, unless the item exists
// already. It returns the item that the table holds.
func (m *Manager) createRow(ctx context.Context, item structs.WorkItem) (structs.WorkItem, error) {
	key := workKey(item.Shard, item.ID)
	tx := platform.Transaction{
		WriteID:    item.WriteID,
		Conditions: []platform.Condition{{Key: key}},
		Puts: []platform.Put{
			{Key: key, Value: encodeItem(item)},
			{Key: markerKey(item.Shard, item.ID), Value: []byte(`{}`)},
		},
	}
	_, err := m.deps.Table.Commit(ctx, tx)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return item, nil
	case errors.As(err, &conflict):
		return m.readExisting(ctx, item, false)
	case errors.Is(err, platform.ErrUnavailable):
		return item, structs.NotRun(structs.ReasonStoreUnavailable, "%v", err)
	}
	return m.readExisting(ctx, item, true)
}

// readExisting returns the stored item after a create that conflicted with an
// existing row, or whose outcome is unknown if outcomeUnknown is set. In the
// latter case, the row may still appear after a read that did not find it.
// readExisting returns a refusal if the stored item has another spec, or if it
// cannot read the item.
func (m *Manager) readExisting(ctx context.Context, item structs.WorkItem, outcomeUnknown bool) (structs.WorkItem, error) {
	rows, err := m.deps.Table.Read(ctx, workKey(item.Shard, item.ID))
	if err != nil && !outcomeUnknown {
		return item, structs.NotRun(structs.ReasonStoreUnavailable, "%v", err)
	}
	if err != nil || len(rows) == 0 {
		return item, structs.MayHaveRun(structs.ReasonWriteUnresolved, "the submit may or may not be recorded; submit again with the same key")
	}
	stored, err := decodeItem(rows[0])
	if err != nil {
		return item, structs.MayHaveRun(structs.ReasonInternal, "%v", err)
	}
	if !sameSpec(stored.Spec, item.Spec) {
		return item, structs.NotRun(structs.ReasonKeyReused, "key %q of team %q belongs to other work", item.Spec.Key, item.Spec.Team)
	}
	return stored, nil
}

// sameSpec reports whether two specs describe the same work.
func sameSpec(a, b structs.WorkSpec) bool {
	samePayload := bytes.Equal(a.Payload, b.Payload)
	a.Payload, b.Payload = nil, nil
	return samePayload && a.Team == b.Team && a.Key == b.Key && a.Job == b.Job && a.Kind == b.Kind &&
		a.Class == b.Class && a.Size == b.Size && a.ExpectedRunMS == b.ExpectedRunMS &&
		a.MaxRunMS == b.MaxRunMS && a.Idempotent == b.Idempotent && a.Domain == b.Domain
}

// notifyOwner sends a hint about a new work row: to this instance if it owns the
// shard, and otherwise through Hinter, if one is set.
func (m *Manager) notifyOwner(ctx context.Context, shard structs.ShardID, id structs.WorkID) {
	if _, err := m.ownedDriver(shard); err == nil {
		m.Hint(shard, id)
		return
	}
	if m.deps.Hinter != nil {
		m.deps.Hinter.Hint(ctx, shard, id)
	}
}

// Hint reports to this instance that a work row was created, so that the core of
// the shard reads the row. The hint is dropped if this instance does not own the
// shard or the mailbox of the shard's driver is full. A later scan then finds
// the row.
func (m *Manager) Hint(shard structs.ShardID, id structs.WorkID) {
	d, err := m.ownedDriver(shard)
	if err != nil {
		return
	}
	d.mailbox.Offer(func() { d.core.readHintedItem(id) })
}
