package lifecycle

import (
	"bytes"
	"context"
	"errors"
	"slices"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Submit records a work item on any instance. A submit of the same work again
// gets the account of the first one.
func (m *Manager) Submit(ctx context.Context, spec structs.WorkSpec) (structs.WorkStatus, error) {
	shard, err := m.locate(spec)
	if err != nil {
		return structs.WorkStatus{}, err
	}
	item := structs.WorkItem{
		ID: spec.ID(), Shard: shard, Spec: spec,
		State: structs.StateQueued, OwnerWrite: m.deps.NewWriteID(),
	}
	stored, err := m.create(ctx, item)
	if err != nil {
		return structs.WorkStatus{}, err
	}
	if stored.OwnerWrite == item.OwnerWrite {
		m.announce(ctx, shard, item.ID)
	}
	return stored.Status(), nil
}

// locate checks a spec and finds its shard.
func (m *Manager) locate(spec structs.WorkSpec) (structs.ShardID, error) {
	none := structs.ShardID{}
	size := spec.Size
	switch {
	case spec.Team == "":
		return none, structs.NotRun(structs.ReasonBadRequest, "team is missing")
	case spec.Key == "":
		return none, structs.NotRun(structs.ReasonKeyRequired, "key is missing")
	case spec.Kind != structs.KindBatch && spec.Kind != structs.KindStanding:
		return none, structs.NotRun(structs.ReasonBadRequest, "kind %q is neither batch nor standing", spec.Kind)
	case size.CPUMilli < 0 || size.MemoryMB < 0 || size.Accelerators < 0:
		return none, structs.NotRun(structs.ReasonBadRequest, "size is negative")
	}
	domains := m.deps.Domains()
	domain := spec.Domain
	if domain == "" {
		domain = structs.HomeDomain(string(spec.ID()), domains)
	}
	if !slices.Contains(domains, domain) {
		return none, structs.NotRun(structs.ReasonUnknownDomain, "failure domain %q is not declared", domain)
	}
	return structs.ShardOf(domain, string(spec.ID()), m.cfg.Shards), nil
}

// create writes the row unless there is one, and returns what is stored.
func (m *Manager) create(ctx context.Context, item structs.WorkItem) (structs.WorkItem, error) {
	key := workKey(item.Shard, item.ID)
	tx := platform.Transaction{
		WriteID:    item.OwnerWrite,
		Conditions: []platform.Condition{{Key: key}},
		Puts: []platform.Put{
			{Key: key, Value: encodeItem(item)},
			{Key: newKey(item.Shard, item.ID), Value: []byte(`{}`)},
		},
	}
	_, err := m.deps.Table.Commit(ctx, tx)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return item, nil
	case errors.As(err, &conflict):
		return m.duplicate(ctx, item, false)
	case errors.Is(err, platform.ErrUnavailable):
		return item, structs.NotRun(structs.ReasonStoreUnavailable, "%v", err)
	}
	return m.duplicate(ctx, item, true)
}

// duplicate reads the row that is in the way of a create, or that an
// unanswered create may have written. The row of an unanswered create may
// still appear after a reading that does not find it.
func (m *Manager) duplicate(ctx context.Context, item structs.WorkItem, unknown bool) (structs.WorkItem, error) {
	rows, err := m.deps.Table.Read(ctx, workKey(item.Shard, item.ID))
	if err != nil && !unknown {
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

func sameSpec(a, b structs.WorkSpec) bool {
	samePayload := bytes.Equal(a.Payload, b.Payload)
	a.Payload, b.Payload = nil, nil
	return samePayload && a.Team == b.Team && a.Key == b.Key && a.Job == b.Job && a.Kind == b.Kind &&
		a.Class == b.Class && a.Size == b.Size && a.ExpectedRunMS == b.ExpectedRunMS &&
		a.MaxRunMS == b.MaxRunMS && a.Idempotent == b.Idempotent && a.Domain == b.Domain
}

// announce tells the owner of a new row, here or elsewhere.
func (m *Manager) announce(ctx context.Context, shard structs.ShardID, id structs.WorkID) {
	if _, err := m.owned(shard); err == nil {
		m.Hint(shard, id)
		return
	}
	if m.deps.Hinter != nil {
		m.deps.Hinter.Hint(ctx, shard, id)
	}
}

// Hint tells this instance that a work row was created. It is dropped if the
// shard is not owned here or busy; the scan finds the row then.
func (m *Manager) Hint(shard structs.ShardID, id structs.WorkID) {
	d, err := m.owned(shard)
	if err != nil {
		return
	}
	d.mailbox.Offer(func() { d.core.hint(id) })
}
