package ownership

import (
	"context"
	"fmt"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Release stops serving all shards, releases them in the table and prevents this
// instance from taking any shard again. It calls handover for each shard that it
// holds, after it has stopped serving the shard, to collect the information for the
// successor. A shard that cannot be released before ctx ends becomes free when its
// lease expires.
func (m *Manager) Release(ctx context.Context, handover func(structs.ShardID) Handover) error {
	m.mu.Lock()
	m.draining = true
	for _, s := range m.shards {
		s.releasing = s.held
	}
	m.mu.Unlock()
	var failed []structs.ShardID
	for _, s := range m.shards {
		if !m.releaseShard(ctx, s, handover) {
			failed = append(failed, s.id)
		}
	}
	if len(failed) > 0 {
		return fmt.Errorf("ownership: shards not released before the drain ended: %v", failed)
	}
	return nil
}

// releaseShard repeats releaseStep until the shard is neither held nor has a
// pending write, and reports false if ctx ends first.
func (m *Manager) releaseShard(ctx context.Context, s *shardState, handover func(structs.ShardID) Handover) bool {
	for {
		s.stepMu.Lock()
		m.releaseStep(ctx, s, handover)
		s.stepMu.Unlock()
		m.mu.Lock()
		done := !s.held && s.pending == nil
		m.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-m.clock.After(m.cfg.Lease / retriesPerLease):
		}
	}
}

// releaseStep finds out the outcome of the pending write of a shard. If there is
// none and the shard is held, it writes the shard row without an owner and with the
// handover for the successor.
func (m *Manager) releaseStep(ctx context.Context, s *shardState, handover func(structs.ShardID) Handover) {
	m.mu.Lock()
	pending, held := s.pending, s.held
	if held {
		s.releasing = true
	}
	before := s.rows
	// The quiet period that this owner inherited from its own predecessor may not
	// be over. What remains of it is passed on.
	inheritedQuietPeriod := s.dispatchAfter.Sub(m.clock.Now())
	fence := s.lease.Fence
	m.mu.Unlock()
	switch {
	case pending != nil:
		m.resolveOrResend(ctx, s, pending)
	case held:
		shardHandover, row := handover(s.id), before.shard
		row.Owner, row.Address = "", ""
		row.QuietPeriodMS = max(shardHandover.QuietPeriod, inheritedQuietPeriod).Milliseconds() + 1
		row.SinceGrantMS = agesInMS(shardHandover.SinceGrant)
		m.sendWrite(ctx, s, m.newWrite(s, writeRelease, row, before, []platform.Condition{fence}))
	}
}
