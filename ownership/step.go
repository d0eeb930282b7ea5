package ownership

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Step does what is due for one shard: it resolves an unanswered write, renews
// the lease, or watches the owner and takes over from it.
func (m *Manager) Step(ctx context.Context, shard structs.ShardID) {
	s := m.shards[shard]
	if s == nil {
		return
	}
	s.step.Lock()
	defer s.step.Unlock()
	m.mu.Lock()
	pending, held := s.pending, s.held
	m.mu.Unlock()
	switch {
	case pending != nil:
		m.settle(ctx, s, pending)
		m.extendIfFailing(ctx, s)
	case held:
		m.renew(ctx, s)
		m.extendIfFailing(ctx, s)
	default:
		m.watch(ctx, s)
	}
}

// renew writes the shard row again.
func (m *Manager) renew(ctx context.Context, s *shardState) {
	m.mu.Lock()
	if !s.held || s.releasing {
		m.mu.Unlock()
		return
	}
	before := s.read
	fence := s.lease.Fence
	m.mu.Unlock()
	row := before.row
	row.Renewal++
	row.QuietMS = 0
	m.send(ctx, s, m.newWrite(s, writeRenew, row, before, []platform.Condition{fence}))
}

// watch reads the rows and takes the shard once it may.
func (m *Manager) watch(ctx context.Context, s *shardState) {
	if !m.observe(ctx, s) || !m.mayTake(s) || m.ownerServes(ctx, s) {
		return
	}
	m.take(ctx, s)
}

// observe reads the shard's rows and reports whether it could.
func (m *Manager) observe(ctx context.Context, s *shardState) bool {
	r, err := m.readRows(ctx, s)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.adopt(s, r)
	return true
}

func (m *Manager) readRows(ctx context.Context, s *shardState) (reading, error) {
	limited, cancel := context.WithTimeout(ctx, m.cfg.TableTimeout)
	defer cancel()
	rows, err := m.deps.Table.Read(limited, ShardKey(s.id), EpochKey(s.id))
	m.noteTable(s, err == nil)
	if err != nil {
		return reading{}, err
	}
	r, err := decodeReading(s.id, rows)
	if err != nil {
		m.log.WithError(err).Error("row cannot be decoded")
	}
	return r, err
}

// adopt takes in a reading and drops a lease that it contradicts. The lock is
// held.
func (m *Manager) adopt(s *shardState, r reading) {
	if s.held && r.epochVersion != s.lease.Fence.Version {
		m.lose(s)
	}
	s.note(r, m.clock.Now())
}

// mayTake reports whether the shard's row has been unchanged for long enough.
func (m *Manager) mayTake(s *shardState) bool {
	wait := m.waitToTake(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	return !m.draining && !now.Before(s.promisedUntil) && now.Sub(s.seenAt) >= wait
}

// waitToTake returns how long the row has to be unchanged: one lease unless
// the shard is free, and one more for each rank of this instance.
func (m *Manager) waitToTake(s *shardState) time.Duration {
	wait := time.Duration(m.rank(s.id)) * m.cfg.Lease
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.free() {
		wait += m.cfg.Lease
	}
	return wait
}

// rank returns this instance's place among those that may take the shard.
func (m *Manager) rank(shard structs.ShardID) int {
	var names []string
	for _, e := range m.deps.Members.Entries(shard.Domain) {
		names = append(names, e.Name)
	}
	rank := slices.Index(structs.RankByHash(shard.String(), names), m.cfg.Self.Name)
	if rank < 0 {
		return len(names)
	}
	return rank
}

// ownerServes asks the recorded owner. An owner that extends its lease in an
// outage does not renew its row.
func (m *Manager) ownerServes(ctx context.Context, s *shardState) bool {
	m.mu.Lock()
	row, free := s.read.row, s.free()
	m.mu.Unlock()
	if free || row.Owner == m.cfg.Self.Name {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, m.cfg.PeerTimeout)
	defer cancel()
	answer, err := m.deps.Peers.Probe(limited, row.Address, &peer.ProbeRequest{Shard: s.id, Epoch: row.Epoch})
	return err == nil && answer.Serving
}

// take writes both rows with the next epoch.
func (m *Manager) take(ctx context.Context, s *shardState) {
	m.mu.Lock()
	before := s.read
	m.mu.Unlock()
	row := shardRow{
		Owner: m.cfg.Self.Name, Address: m.cfg.Self.Address,
		Epoch: before.row.Epoch + 1, Renewal: 1,
	}
	w := m.newWrite(s, writeTake, row, before, []platform.Condition{{Key: EpochKey(s.id), Version: before.epochVersion}})
	epoch := epochRow{Owner: row.Owner, Epoch: row.Epoch, WriteID: w.tx.WriteID}
	w.tx.Puts = append(w.tx.Puts, platform.Put{Key: EpochKey(s.id), Value: encode(epoch)})
	m.send(ctx, s, w)
}

// newWrite builds a write of the shard row that is conditional on its version.
func (m *Manager) newWrite(s *shardState, kind writeKind, row shardRow, before reading, more []platform.Condition) *write {
	row.WriteID = m.deps.NewWriteID()
	conditions := []platform.Condition{{Key: ShardKey(s.id), Version: before.rowVersion}}
	return &write{
		kind: kind, row: row, before: before,
		tx: platform.Transaction{
			WriteID:    row.WriteID,
			Conditions: append(conditions, more...),
			Puts:       []platform.Put{{Key: ShardKey(s.id), Value: encode(row)}},
		},
	}
}

// send commits a write, unless it is a takeover that a promise excludes.
func (m *Manager) send(ctx context.Context, s *shardState, w *write) {
	m.mu.Lock()
	now := m.clock.Now()
	if w.kind == writeTake && !w.unknown && (now.Before(s.promisedUntil) || m.draining) {
		s.pending = nil
		m.mu.Unlock()
		return
	}
	if w.sentAt.IsZero() {
		w.sentAt = now
	}
	s.pending = w
	m.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, m.cfg.TableTimeout)
	result, err := m.deps.Table.Commit(limited, w.tx)
	cancel()
	var conflict *platform.ConflictError
	answered := err == nil || errors.As(err, &conflict)
	m.noteTable(s, answered)
	switch {
	case err == nil:
		m.done(s, w, result.Version)
	case conflict != nil:
		// An earlier copy of the write may be what is in the way.
		w.unknown = true
		m.resolve(ctx, s, w)
	case errors.Is(err, platform.ErrUnavailable) && !w.unknown:
		m.abandon(s)
	default:
		w.unknown = true
	}
}

// settle goes on with a write whose result is not known.
func (m *Manager) settle(ctx context.Context, s *shardState, w *write) {
	m.resolve(ctx, s, w)
	if w.unsent {
		w.unsent = false
		m.send(ctx, s, w)
	}
}

// resolve reads back a write that conflicted or was not answered.
func (m *Manager) resolve(ctx context.Context, s *shardState, w *write) {
	r, err := m.readRows(ctx, s)
	if err != nil {
		w.unknown = true
		return
	}
	switch {
	case r.row.WriteID == w.tx.WriteID:
		m.done(s, w, r.rowVersion)
	case r.rowVersion == w.before.rowVersion && r.epochVersion == w.before.epochVersion:
		// Only one copy of the same conditional transaction can take effect.
		// The next step sends another.
		w.unsent = true
	default:
		m.mu.Lock()
		s.pending = nil
		m.adopt(s, r)
		m.mu.Unlock()
	}
}

func (m *Manager) abandon(s *shardState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.pending = nil
}

// done takes in a write that took effect.
func (m *Manager) done(s *shardState, w *write, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.pending = nil
	quietUntil := s.seenAt.Add(time.Duration(w.before.row.QuietMS) * time.Millisecond)
	after := reading{row: w.row, rowVersion: version, epochVersion: w.before.epochVersion}
	until := w.sentAt.Add(m.cfg.Lease - m.cfg.Margin)
	switch w.kind {
	case writeTake:
		after.epochVersion = version
		s.held, s.releasing = true, m.draining
		s.lease = Lease{
			Shard: s.id, Epoch: w.row.Epoch, Fence: platform.Condition{Key: EpochKey(s.id), Version: version},
			LastGrants: w.before.row.lastGrants(s.seenAt),
		}
		s.validUntil, s.extendedUntil, s.dispatchAfter = until, time.Time{}, quietUntil
		m.emit(s.lease, true)
		m.log.WithFields(logrus.Fields{"shard": s.id, "epoch": w.row.Epoch}).Info("shard taken")
	case writeRenew:
		s.validUntil = until
	case writeRelease:
		m.lose(s)
	}
	s.note(after, m.clock.Now())
}

// noteTable records whether the table answered.
func (m *Manager) noteTable(s *shardState, up bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.failing = !up
	m.tableUp, m.tableAt = up, m.clock.Now()
}
