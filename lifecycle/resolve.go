package lifecycle

import (
	"context"

	"bergamotstile/platform"
)

// resolveGroup reads back what a group meant to write. It is called after a
// conflict and after a lost answer.
func (c *core) resolveGroup(g *group) {
	keys := []string{c.lease.Fence.Key}
	for _, t := range g.parts {
		keys = append(keys, workKey(c.lease.Shard, t.rec.item.ID), cancelKey(c.lease.Shard, t.rec.item.ID))
	}
	c.do("resolve", func(ctx context.Context) func() {
		rows, err := c.deps.Table.Read(ctx, keys...)
		return func() { c.onResolve(g, rows, err) }
	})
}

func (c *core) onResolve(g *group, rows []platform.Row, err error) {
	if c.stopped || c.applier.current != g {
		return
	}
	if err != nil {
		c.later(func() { c.resolveGroup(g) })
		return
	}
	found := map[string]platform.Row{}
	for _, row := range rows {
		found[row.Key] = row
	}
	if version, ok := c.tookEffect(g, found); ok {
		c.groupCommitted(g, version)
		return
	}
	if found[c.lease.Fence.Key].Version != c.lease.Fence.Version {
		c.fenced()
		return
	}
	c.separateGroup(g, found)
}

// tookEffect looks for the group's write ID in its first row; a transaction
// takes effect in all of its rows or in none.
func (c *core) tookEffect(g *group, found map[string]platform.Row) (uint64, bool) {
	row, ok := found[workKey(c.lease.Shard, g.parts[0].rec.item.ID)]
	if !ok {
		return 0, false
	}
	item, err := decodeItem(row)
	return row.Version, err == nil && item.OwnerWrite == g.tx.WriteID
}

// separateGroup takes apart a group that had no effect so far. A part whose
// own precondition fails can never be committed by a copy of the transaction
// that is still under way, and neither can the rest of that copy: the cancel
// row goes away only together with a write of its item.
func (c *core) separateGroup(g *group, found map[string]platform.Row) {
	var good, cancelled []*transition
	for _, t := range g.parts {
		if found[workKey(c.lease.Shard, t.rec.item.ID)].Version != t.rec.version {
			// Nothing else writes the row in this epoch. Recovery reads
			// the shard again, whatever happened.
			c.stepDown()
			return
		}
		_, cancelRow := found[cancelKey(c.lease.Shard, t.rec.item.ID)]
		if cancelRow && t.kind == EventPlace {
			cancelled = append(cancelled, t)
			continue
		}
		good = append(good, t)
	}
	if len(cancelled) == 0 {
		// The same conditional transaction again: at most one copy of it
		// can take effect, since it raises the versions it requires.
		c.later(func() { c.sendGroup(g) })
		return
	}
	c.applier.current = nil
	c.requeueParts(good)
	c.applier.limit = max(1, len(g.parts)/2)
	for _, t := range cancelled {
		c.dropTransition(t)
		t.rec.cancelRow = true
		c.cancelRecord(t.rec)
	}
	c.tickApplier()
}

// requeueParts puts transitions back in front, in their order.
func (c *core) requeueParts(parts []*transition) {
	for _, t := range parts {
		t.group = nil
	}
	c.applier.waiting = append(parts, c.applier.waiting...)
}

// later retries a step of the applier with backoff.
func (c *core) later(step func()) {
	a := &c.applier
	a.resume = step
	c.delayApplier()
}
