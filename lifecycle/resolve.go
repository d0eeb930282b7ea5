package lifecycle

import (
	"context"

	"bergamotstile/platform"
)

// resolveGroup reads the epoch row, and the work rows and cancel rows of a
// group's items, to find out whether the group's transaction took effect. It is
// called after a conflict and after a commit with an unknown outcome.
func (c *core) resolveGroup(g *commitGroup) {
	keys := []string{c.lease.Fence.Key}
	for _, t := range g.transitions {
		keys = append(keys, workKey(c.lease.Shard, t.record.item.ID), cancelKey(c.lease.Shard, t.record.item.ID))
	}
	c.queueCall("resolve", func(ctx context.Context) func() {
		rows, err := c.deps.Table.Read(ctx, keys...)
		return func() { c.handleResolveRead(g, rows, err) }
	})
}

// handleResolveRead completes the group if its transaction took effect, steps
// down if the epoch row has changed, and otherwise calls retryOrSplitGroup. If
// the read failed, it is repeated after a backoff.
func (c *core) handleResolveRead(g *commitGroup, rows []platform.Row, err error) {
	if c.stopped || c.committer.current != g {
		return
	}
	if err != nil {
		c.retryLater(func() { c.resolveGroup(g) })
		return
	}
	rowsByKey := map[string]platform.Row{}
	for _, row := range rows {
		rowsByKey[row.Key] = row
	}
	if version, ok := c.findCommittedVersion(g, rowsByKey); ok {
		c.completeGroup(g, version)
		return
	}
	if rowsByKey[c.lease.Fence.Key].Version != c.lease.Fence.Version {
		c.stepDownFenced()
		return
	}
	c.retryOrSplitGroup(g, rowsByKey)
}

// findCommittedVersion returns the version that the group's transaction gave to
// its rows, and false if it has not taken effect. It looks for the group's
// write ID in the first row only, because a transaction takes effect in all of
// its rows or in none.
func (c *core) findCommittedVersion(g *commitGroup, rowsByKey map[string]platform.Row) (uint64, bool) {
	row, ok := rowsByKey[workKey(c.lease.Shard, g.transitions[0].record.item.ID)]
	if !ok {
		return 0, false
	}
	item, err := decodeItem(row)
	return row.Version, err == nil && item.WriteID == g.tx.WriteID
}

// retryOrSplitGroup handles a group whose transaction has had no effect so far.
// It sends the same transaction again after a backoff, unless a cancel row
// prevents a placement in it. In that case, it cancels the items of such
// placements and requeues the other transitions. If the row of an item has
// changed, it steps down.
//
// Requeuing is safe although a copy of the transaction may still be in flight.
// The copy requires that no cancel row exists for the placed item and that the
// item's row is unchanged. A cancel row is deleted only together with or after
// a write of its item, so one of the two conditions always fails. As a
// transaction takes effect as a whole or not at all, no write of the copy can
// take effect.
func (c *core) retryOrSplitGroup(g *commitGroup, rowsByKey map[string]platform.Row) {
	var committable, cancelled []*transition
	for _, t := range g.transitions {
		if rowsByKey[workKey(c.lease.Shard, t.record.item.ID)].Version != t.record.rowVersion {
			// No other instance writes the row in this epoch, so the cause is
			// unknown. The new core that replaces this one reads the whole
			// shard again.
			c.stepDown()
			return
		}
		_, hasCancelRow := rowsByKey[cancelKey(c.lease.Shard, t.record.item.ID)]
		if hasCancelRow && t.eventKind == EventPlace {
			cancelled = append(cancelled, t)
			continue
		}
		committable = append(committable, t)
	}
	if len(cancelled) == 0 {
		// At most one copy of the same transaction can take effect, since
		// it raises the row versions that it requires.
		c.retryLater(func() { c.sendGroup(g) })
		return
	}
	c.committer.current = nil
	c.requeueTransitions(committable)
	c.committer.groupLimit = max(1, len(g.transitions)/2)
	for _, t := range cancelled {
		c.discardTransition(t)
		t.record.hasCancelRow = true
		c.requestCancel(t.record)
	}
	c.tickCommitter()
}

// requeueTransitions puts transitions back at the front of the committer's
// waiting list and keeps their order.
func (c *core) requeueTransitions(transitions []*transition) {
	for _, t := range transitions {
		t.group = nil
	}
	c.committer.waiting = append(transitions, c.committer.waiting...)
}

// retryLater sets retry as the pending retry of the current group, to be run
// after a backoff.
func (c *core) retryLater(retry func()) {
	cm := &c.committer
	cm.pendingRetry = retry
	c.delayNextCommit()
}
