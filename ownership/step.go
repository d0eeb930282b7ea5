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

// Step performs the next action for one shard. It finds out the outcome of a pending
// write, or else renews the lease if the shard is held. In both cases, it then
// extends the lease if the table is down and the peers promise not to take the
// shard. If there is no pending write and the shard is not held, Step reads the rows
// and takes the shard if that is allowed.
func (m *Manager) Step(ctx context.Context, shard structs.ShardID) {
	s := m.shards[shard]
	if s == nil {
		return
	}
	s.stepMu.Lock()
	defer s.stepMu.Unlock()
	m.mu.Lock()
	pending, held := s.pending, s.held
	m.mu.Unlock()
	switch {
	case pending != nil:
		m.resolveOrResend(ctx, s, pending)
		m.extendDuringOutage(ctx, s)
	case held:
		m.renew(ctx, s)
		m.extendDuringOutage(ctx, s)
	default:
		m.tryTake(ctx, s)
	}
}

// renew writes the shard row with the next renewal number, unless the shard is being
// released. It also removes the predecessor's quiet period from the row.
func (m *Manager) renew(ctx context.Context, s *shardState) {
	m.mu.Lock()
	if !s.held || s.releasing {
		m.mu.Unlock()
		return
	}
	before := s.rows
	fence := s.lease.Fence
	m.mu.Unlock()
	row := before.shard
	row.Renewal++
	row.QuietPeriodMS = 0
	m.sendWrite(ctx, s, m.newWrite(s, writeRenew, row, before, []platform.Condition{fence}))
}

// tryTake reads the rows and takes the shard if mayTake allows it and the recorded
// owner does not answer that it still serves the shard.
func (m *Manager) tryTake(ctx context.Context, s *shardState) {
	if !m.refreshRows(ctx, s) || !m.mayTake(s) || m.ownerStillServes(ctx, s) {
		return
	}
	m.take(ctx, s)
}

// refreshRows reads and stores the shard's rows, and reports whether that
// succeeded.
func (m *Manager) refreshRows(ctx context.Context, s *shardState) bool {
	rows, err := m.readRows(ctx, s)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyRows(s, rows)
	return true
}

// readRows reads the shard row and the epoch row of a shard from the table. It
// returns an error if the read fails or the shard row cannot be decoded.
func (m *Manager) readRows(ctx context.Context, s *shardState) (shardRows, error) {
	callCtx, cancel := context.WithTimeout(ctx, m.cfg.TableTimeout)
	defer cancel()
	rows, err := m.deps.Table.Read(callCtx, ShardKey(s.id), EpochKey(s.id))
	m.recordTableStatus(s, err == nil)
	if err != nil {
		return shardRows{}, err
	}
	decoded, err := decodeShardRows(s.id, rows)
	if err != nil {
		m.log.WithError(err).Error("row cannot be decoded")
	}
	return decoded, err
}

// applyRows stores rows that were read, and drops the lease if the epoch row is no
// longer the one that this owner wrote. The caller holds m.mu.
func (m *Manager) applyRows(s *shardState, rows shardRows) {
	if s.held && rows.epochVersion != s.lease.Fence.Version {
		m.dropLease(s)
	}
	s.recordRows(rows, m.clock.Now())
}

// mayTake reports whether this instance may take the shard now: it is not draining,
// has no promise to keep, and has seen the shard row unchanged for takeoverWait.
func (m *Manager) mayTake(s *shardState) bool {
	wait := m.takeoverWait(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	return !m.draining && !now.Before(s.promisedUntil) && now.Sub(s.versionSeenAt) >= wait
}

// takeoverWait returns how long the shard row must be unchanged before this
// instance may take the shard: one lease duration unless the shard is free, plus one
// for each instance that ranks before this one.
func (m *Manager) takeoverWait(s *shardState) time.Duration {
	wait := time.Duration(m.takeoverRank(s.id)) * m.cfg.Lease
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.isFree() {
		wait += m.cfg.Lease
	}
	return wait
}

// takeoverRank returns the number of live instances that may take the shard before
// this one, in the order of their rendezvous hashes for the shard. If this instance
// is not among the live ones, all of them rank before it.
func (m *Manager) takeoverRank(shard structs.ShardID) int {
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

// ownerStillServes asks the owner that the shard row names whether it still serves
// the shard in the epoch of the row. An unchanged row does not prove that the lease
// is over: an owner that extends its lease during an outage of the table cannot renew
// the row. ownerStillServes returns false if the owner does not answer, if the row
// names no owner or if it names this instance.
func (m *Manager) ownerStillServes(ctx context.Context, s *shardState) bool {
	m.mu.Lock()
	row, free := s.rows.shard, s.isFree()
	m.mu.Unlock()
	if free || row.Owner == m.cfg.Self.Name {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, m.cfg.PeerTimeout)
	defer cancel()
	answer, err := m.deps.Peers.Probe(callCtx, row.Address, &peer.ProbeRequest{Shard: s.id, Epoch: row.Epoch})
	return err == nil && answer.Serving
}

// take writes the shard row and the epoch row with the next epoch.
func (m *Manager) take(ctx context.Context, s *shardState) {
	m.mu.Lock()
	before := s.rows
	m.mu.Unlock()
	row := shardRow{
		Owner: m.cfg.Self.Name, Address: m.cfg.Self.Address,
		Epoch: before.shard.Epoch + 1, Renewal: 1,
	}
	w := m.newWrite(s, writeTake, row, before, []platform.Condition{{Key: EpochKey(s.id), Version: before.epochVersion}})
	epoch := epochRow{Owner: row.Owner, Epoch: row.Epoch, WriteID: w.tx.WriteID}
	w.tx.Puts = append(w.tx.Puts, platform.Put{Key: EpochKey(s.id), Value: encodeRow(epoch)})
	m.sendWrite(ctx, s, w)
}

// newWrite returns a write of the shard row that is conditional on the row's
// version in before and on extraConditions.
func (m *Manager) newWrite(s *shardState, kind writeKind, row shardRow, before shardRows, extraConditions []platform.Condition) *rowWrite {
	row.WriteID = m.deps.NewWriteID()
	conditions := []platform.Condition{{Key: ShardKey(s.id), Version: before.shardVersion}}
	return &rowWrite{
		kind: kind, row: row, before: before,
		tx: platform.Transaction{
			WriteID:    row.WriteID,
			Conditions: append(conditions, extraConditions...),
			Puts:       []platform.Put{{Key: ShardKey(s.id), Value: encodeRow(row)}},
		},
	}
}

// sendWrite commits a write. It drops a takeover instead if a promise forbids it or
// this instance is draining, unless an earlier copy of it may still take effect. After
// a conflict, it reads the rows to find out the outcome. It abandons a write that
// certainly had no effect. If the outcome is unknown, the write stays pending and the
// next step resolves it.
func (m *Manager) sendWrite(ctx context.Context, s *shardState, w *rowWrite) {
	m.mu.Lock()
	now := m.clock.Now()
	if w.kind == writeTake && !w.outcomeUnknown && (now.Before(s.promisedUntil) || m.draining) {
		s.pending = nil
		m.mu.Unlock()
		return
	}
	if w.firstSentAt.IsZero() {
		w.firstSentAt = now
	}
	s.pending = w
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, m.cfg.TableTimeout)
	result, err := m.deps.Table.Commit(callCtx, w.tx)
	cancel()
	var conflict *platform.ConflictError
	answered := err == nil || errors.As(err, &conflict)
	m.recordTableStatus(s, answered)
	switch {
	case err == nil:
		m.completeWrite(s, w, result.Version)
	case conflict != nil:
		// The conflict may come from an earlier copy of the same write.
		w.outcomeUnknown = true
		m.resolveOutcome(ctx, s, w)
	case errors.Is(err, platform.ErrUnavailable) && !w.outcomeUnknown:
		m.abandonWrite(s)
	default:
		w.outcomeUnknown = true
	}
}

// resolveOrResend finds out by a read whether a pending write took effect, and sends
// it again if it did not and the rows still allow it.
func (m *Manager) resolveOrResend(ctx context.Context, s *shardState, w *rowWrite) {
	m.resolveOutcome(ctx, s, w)
	if w.resendNeeded {
		w.resendNeeded = false
		m.sendWrite(ctx, s, w)
	}
}

// resolveOutcome reads the rows to find out the outcome of a write that conflicted
// or was not answered. It completes a write that took effect, and sets resendNeeded
// if no copy has taken effect and the rows still allow the write. If another write has
// changed the rows, it drops the write. If the read fails, the outcome stays unknown.
func (m *Manager) resolveOutcome(ctx context.Context, s *shardState, w *rowWrite) {
	rows, err := m.readRows(ctx, s)
	if err != nil {
		w.outcomeUnknown = true
		return
	}
	switch {
	case rows.shard.WriteID == w.tx.WriteID:
		m.completeWrite(s, w, rows.shardVersion)
	case rows.shardVersion == w.before.shardVersion && rows.epochVersion == w.before.epochVersion:
		// No copy has taken effect yet. Another copy can be sent safely, since only
		// one copy of the same conditional transaction can take effect.
		// resolveOrResend sends it, at the latest in the next step.
		w.resendNeeded = true
	default:
		m.mu.Lock()
		s.pending = nil
		m.applyRows(s, rows)
		m.mu.Unlock()
	}
}

// abandonWrite drops the pending write of a shard, which has had no effect.
func (m *Manager) abandonWrite(s *shardState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.pending = nil
}

// completeWrite updates the shard's state after a write that took effect and gave
// the written rows the given version.
func (m *Manager) completeWrite(s *shardState, w *rowWrite, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.pending = nil
	quietPeriodEnd := s.versionSeenAt.Add(time.Duration(w.before.shard.QuietPeriodMS) * time.Millisecond)
	written := shardRows{shard: w.row, shardVersion: version, epochVersion: w.before.epochVersion}
	until := w.firstSentAt.Add(m.cfg.Lease - m.cfg.Margin)
	switch w.kind {
	case writeTake:
		written.epochVersion = version
		s.held, s.releasing = true, m.draining
		s.lease = Lease{
			Shard: s.id, Epoch: w.row.Epoch, Fence: platform.Condition{Key: EpochKey(s.id), Version: version},
			LastGrants: w.before.shard.lastGrantTimes(s.versionSeenAt),
		}
		s.validUntil, s.extendedUntil, s.dispatchAfter = until, time.Time{}, quietPeriodEnd
		m.queueEvent(s.lease, true)
		m.log.WithFields(logrus.Fields{"shard": s.id, "epoch": w.row.Epoch}).Info("shard taken")
	case writeRenew:
		s.validUntil = until
	case writeRelease:
		m.dropLease(s)
	}
	s.recordRows(written, m.clock.Now())
}

// recordTableStatus records whether the table answered the last call, for the shard
// and for the instance as a whole.
func (m *Manager) recordTableStatus(s *shardState, up bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.tableFailing = !up
	m.tableUp, m.tableCheckedAt = up, m.clock.Now()
}
