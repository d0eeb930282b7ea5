package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"bergamotstile/peer"
	"bergamotstile/structs"
)

// extendIfFailing asks for promises when the lease could not be renewed.
func (m *Manager) extendIfFailing(ctx context.Context, s *shardState) {
	m.mu.Lock()
	asked := m.clock.Now()
	due := s.held && s.failing && !s.servingUntil(asked).IsZero()
	epoch := s.lease.Epoch
	m.mu.Unlock()
	if !due {
		return
	}
	others, known := m.others(s.id.Domain)
	if !known || !m.allPromise(ctx, others, s.id, epoch) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// A gap between the last promise and this one could hide a takeover.
	if s.held && s.lease.Epoch == epoch && !s.servingUntil(m.clock.Now()).IsZero() {
		s.extendedUntil = asked.Add(m.cfg.Lease - m.cfg.Margin)
	}
}

// others returns the other listed instances of the domain. They are not known
// if the list does not show this instance, since it may be empty or old.
func (m *Manager) others(domain string) ([]structs.Member, bool) {
	listed := slices.Clone(m.deps.Members.Listed(domain))
	self := func(e structs.Member) bool { return e.Name == m.cfg.Self.Name }
	known := slices.ContainsFunc(listed, self)
	return slices.DeleteFunc(listed, self), known
}

// allPromise asks every instance at once. One that is silent or reaches the
// table ends the extension.
func (m *Manager) allPromise(ctx context.Context, others []structs.Member, shard structs.ShardID, epoch uint64) bool {
	limited, cancel := context.WithTimeout(ctx, m.cfg.PeerTimeout)
	defer cancel()
	granted := make([]bool, len(others))
	var calls sync.WaitGroup
	for i, other := range others {
		calls.Go(func() {
			req := &peer.PromiseRequest{Shard: shard, Epoch: epoch, LeaseMS: m.cfg.Lease.Milliseconds()}
			answer, err := m.deps.Peers.Promise(limited, other.Address, req)
			granted[i] = err == nil && answer.Granted
		})
	}
	calls.Wait()
	return !slices.Contains(granted, false)
}

// Promise grants an owner that this instance will not take its shard, if this
// instance cannot reach the table either.
func (m *Manager) Promise(req peer.PromiseRequest) peer.PromiseResponse {
	s := m.shards[req.Shard]
	if s == nil {
		return peer.PromiseResponse{}
	}
	m.refreshTable(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tableUp {
		return peer.PromiseResponse{TableUp: true}
	}
	if s.held || s.pending != nil || s.seen && req.Epoch < s.read.row.Epoch {
		return peer.PromiseResponse{}
	}
	until := m.clock.Now().Add(time.Duration(req.LeaseMS) * time.Millisecond)
	if until.After(s.promisedUntil) {
		s.promisedUntil = until
	}
	return peer.PromiseResponse{Granted: true}
}

// refreshTable tries the table now if the last try is old. Otherwise an owner
// that notices an outage first would be refused until its lease ends.
func (m *Manager) refreshTable(s *shardState) {
	m.mu.Lock()
	fresh := !m.tableUp || m.clock.Now().Sub(m.tableAt) < m.cfg.Lease/retryParts
	m.mu.Unlock()
	if fresh {
		return
	}
	limited, cancel := context.WithTimeout(context.Background(), m.cfg.PeerTimeout/2)
	defer cancel()
	_, err := m.deps.Table.Read(limited, ShardKey(s.id))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tableUp, m.tableAt = err == nil, m.clock.Now()
}

// Probe tells whether this instance still serves a shard in an epoch.
func (m *Manager) Probe(req peer.ProbeRequest) peer.ProbeResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[req.Shard]
	serving := s != nil && s.lease.Epoch == req.Epoch && !s.servingUntil(m.clock.Now()).IsZero()
	return peer.ProbeResponse{Serving: serving}
}
