package ownership

import (
	"context"
	"fmt"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Release gives up every shard at once and takes none any more. handover
// returns what a shard's successor has to know; it is asked after the shard is
// no longer served. A shard that cannot be released before ctx ends is free
// once its lease is over.
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
		return fmt.Errorf("ownership: not released before the drain ended: %v", failed)
	}
	return nil
}

// releaseShard writes the row without an owner and reports success.
func (m *Manager) releaseShard(ctx context.Context, s *shardState, handover func(structs.ShardID) Handover) bool {
	for {
		s.step.Lock()
		m.releaseStep(ctx, s, handover)
		s.step.Unlock()
		m.mu.Lock()
		done := !s.held && s.pending == nil
		m.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-m.clock.After(m.cfg.Lease / retryParts):
		}
	}
}

func (m *Manager) releaseStep(ctx context.Context, s *shardState, handover func(structs.ShardID) Handover) {
	m.mu.Lock()
	pending, held := s.pending, s.held
	if held {
		s.releasing = true
	}
	before := s.read
	// What remains of the predecessor's quiet time is passed on.
	inherited := s.dispatchAfter.Sub(m.clock.Now())
	fence := s.lease.Fence
	m.mu.Unlock()
	switch {
	case pending != nil:
		m.settle(ctx, s, pending)
	case held:
		h, row := handover(s.id), before.row
		row.Owner, row.Address = "", ""
		row.QuietMS = max(h.Quiet, inherited).Milliseconds() + 1
		row.SinceGrantMS = sinceGrantMS(h.SinceGrant)
		m.send(ctx, s, m.newWrite(s, writeRelease, row, before, []platform.Condition{fence}))
	}
}
