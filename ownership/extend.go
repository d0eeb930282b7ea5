package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"bergamotstile/peer"
	"bergamotstile/structs"
)

// extendDuringOutage extends the lease of a shard if the last call to the table for
// the shard failed and all other listed instances of the domain promise not to take
// the shard.
func (m *Manager) extendDuringOutage(ctx context.Context, s *shardState) {
	m.mu.Lock()
	requestedAt := m.clock.Now()
	needed := s.held && s.tableFailing && !s.servingUntil(requestedAt).IsZero()
	epoch := s.lease.Epoch
	m.mu.Unlock()
	if !needed {
		return
	}
	others, selfListed := m.otherListedInstances(s.id.Domain)
	if !selfListed || !m.allInstancesPromise(ctx, others, s.id, epoch) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// The extension counts only if the lease was in force without a gap until
	// the promises arrived: another instance could have taken the shard in a gap.
	if s.held && s.lease.Epoch == epoch && !s.servingUntil(m.clock.Now()).IsZero() {
		s.extendedUntil = requestedAt.Add(m.cfg.Lease - m.cfg.Margin)
	}
}

// otherListedInstances returns the instances of the domain that are on the
// platform's list, without this one. It reports false if this instance is not on
// the list itself, since such a list may be empty or out of date.
func (m *Manager) otherListedInstances(domain string) ([]structs.Member, bool) {
	listed := slices.Clone(m.deps.Members.Listed(domain))
	isSelf := func(e structs.Member) bool { return e.Name == m.cfg.Self.Name }
	selfListed := slices.ContainsFunc(listed, isSelf)
	return slices.DeleteFunc(listed, isSelf), selfListed
}

// allInstancesPromise asks all other instances at the same time to promise not
// to take the shard, and reports whether every one of them did. An instance that
// does not answer or that can reach the table gives no promise.
func (m *Manager) allInstancesPromise(ctx context.Context, others []structs.Member, shard structs.ShardID, epoch uint64) bool {
	callCtx, cancel := context.WithTimeout(ctx, m.cfg.PeerTimeout)
	defer cancel()
	granted := make([]bool, len(others))
	var calls sync.WaitGroup
	for i, other := range others {
		calls.Go(func() {
			req := &peer.PromiseRequest{Shard: shard, Epoch: epoch, LeaseMS: m.cfg.Lease.Milliseconds()}
			answer, err := m.deps.Peers.Promise(callCtx, other.Address, req)
			granted[i] = err == nil && answer.Granted
		})
	}
	calls.Wait()
	return !slices.Contains(granted, false)
}

// Promise answers an owner that cannot reach the table and asks this instance not
// to take its shard for the duration of a lease. This instance grants the promise
// only if it cannot reach the table either, does not hold the shard itself, has no
// write of the shard's row pending and has not read of a later epoch.
func (m *Manager) Promise(req peer.PromiseRequest) peer.PromiseResponse {
	s := m.shards[req.Shard]
	if s == nil {
		return peer.PromiseResponse{}
	}
	m.refreshTableStatus(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tableUp {
		return peer.PromiseResponse{TableUp: true}
	}
	if s.held || s.pending != nil || s.rowsKnown && req.Epoch < s.rows.shard.Epoch {
		return peer.PromiseResponse{}
	}
	until := m.clock.Now().Add(time.Duration(req.LeaseMS) * time.Millisecond)
	if until.After(s.promisedUntil) {
		s.promisedUntil = until
	}
	return peer.PromiseResponse{Granted: true}
}

// refreshTableStatus reads from the table if the last call to it succeeded but is
// more than one retry interval old. Without this read, the instance that notices
// an outage first would be refused promises until its lease ends, because its peers
// would still believe that they can reach the table.
func (m *Manager) refreshTableStatus(s *shardState) {
	m.mu.Lock()
	upToDate := !m.tableUp || m.clock.Now().Sub(m.tableCheckedAt) < m.cfg.Lease/retriesPerLease
	m.mu.Unlock()
	if upToDate {
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), m.cfg.PeerTimeout/2)
	defer cancel()
	_, err := m.deps.Table.Read(callCtx, ShardKey(s.id))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tableUp, m.tableCheckedAt = err == nil, m.clock.Now()
}

// Probe answers a peer that wants to take over a shard and asks whether this instance
// still serves the shard in the given epoch. The answer is no if this instance serves
// it in another epoch.
func (m *Manager) Probe(req peer.ProbeRequest) peer.ProbeResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[req.Shard]
	serving := s != nil && s.lease.Epoch == req.Epoch && !s.servingUntil(m.clock.Now()).IsZero()
	return peer.ProbeResponse{Serving: serving}
}
