package configuration

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"bergamotstile/declaration"
	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Figures of an apply.
const (
	// resolveWait is the time between attempts to learn what became of a
	// write whose answer was lost.
	resolveWait = 100 * time.Millisecond
	// applyTimeout bounds an apply while the table is slow.
	applyTimeout = 10 * time.Second
	// maxOperator is the longest name of an operator.
	maxOperator = 128
	// snapshotTimeout bounds what a slow object store adds to an apply.
	snapshotTimeout = time.Second
	// confirmTries bounds the readings of a head that pushes overtake.
	confirmTries = 3
)

// proposal is a change on its way into the table.
type proposal struct {
	change peer.ConfigChange
	record change
	tx     platform.Transaction
	// base is the head that the transaction is conditional on.
	base headRow
}

// Apply makes d the configuration in force and returns its version, or a
// *structs.Refusal. Base is the version that the operator started from; zero
// stands for the version in force when the call begins. A declaration that is in force already is
// answered with its version.
func (s *Store) Apply(ctx context.Context, operator string, base uint64, d *declaration.Deployment) (uint64, error) {
	version, err := s.apply(ctx, operator, base, d)
	if err != nil {
		refusal := structs.AsRefusal(err)
		s.o.Log.Infof("apply by %q refused: %v", operator, refusal)
		return 0, refusal
	}
	return version, nil
}

func (s *Store) apply(ctx context.Context, operator string, base uint64, d *declaration.Deployment) (uint64, error) {
	if err := s.checkApply(operator, d); err != nil {
		return 0, err
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.o.Clock, applyTimeout)
	defer cancel()
	if base == 0 {
		h, _, err := s.confirm(ctx)
		if err != nil {
			return 0, err
		}
		base = h.Version
	}
	return s.applyOn(ctx, operator, base, d.Entries())
}

// applyOn writes entries as the version after base.
func (s *Store) applyOn(ctx context.Context, operator string, base uint64, entries declaration.Entries) (uint64, error) {
	h, current, err := s.confirm(ctx)
	if err != nil {
		return 0, err
	}
	delta := declaration.Diff(current.entries, entries)
	if delta.Empty() {
		return h.Version, nil
	}
	if base != h.Version {
		return 0, s.lostTo(ctx, h.Version, base)
	}
	h.Snapshot = s.storeSnapshot(ctx, h, current)
	return s.commit(ctx, s.propose(h, operator, entries, delta))
}

// confirm brings the instance up to the table's head and returns the head with
// the state at that version. A push may overtake the reading of the head; then
// the head is read again.
func (s *Store) confirm(ctx context.Context) (headRow, state, error) {
	for range confirmTries {
		h, err := s.catchUp(ctx)
		if err != nil {
			return h, state{}, structs.NotRun(structs.ReasonStoreUnavailable, "the configuration cannot be read: %v", err)
		}
		if current := s.current(); h.Version == current.version {
			return h, current, nil
		}
	}
	return headRow{}, state{}, structs.NotRun(structs.ReasonStoreUnavailable,
		"the table's head differs from version %d in force", s.current().version)
}

func (s *Store) checkApply(operator string, d *declaration.Deployment) error {
	operator = strings.TrimSpace(operator)
	if operator == "" || len(operator) > maxOperator {
		return structs.NotRun(structs.ReasonBadRequest, "operator: must be 1 to %d bytes", maxOperator)
	}
	if d == nil {
		return structs.NotRun(structs.ReasonBadRequest, "declaration: is required")
	}
	if err := d.Check(s.o.Limits); err != nil {
		return structs.NotRun(structs.ReasonDeclarationInvalid, "%v", err)
	}
	return nil
}

// propose builds the transaction that turns the head into the next version.
func (s *Store) propose(h headRow, operator string, entries declaration.Entries, delta declaration.Delta) proposal {
	writeID := uuid.NewString()
	version := h.Version + 1
	digest := entries.Digest()
	record := change{Version: version, Operator: operator, Base: h.Version, WriteID: writeID, Digest: digest, Delta: delta}
	next := head{Version: version, Digest: digest, Snapshot: h.Snapshot, WriteID: writeID}
	value := encode(record)
	return proposal{
		change: peer.ConfigChange{Version: version, Value: value},
		record: record,
		base:   h,
		tx: platform.Transaction{
			WriteID:    writeID,
			Conditions: []platform.Condition{{Key: keyHead, Version: h.rowVersion}},
			Puts:       []platform.Put{{Key: keyHead, Value: encode(next)}, {Key: changeKey(version), Value: value}},
			Deletes:    s.expiredChanges(version, next.Snapshot),
		},
	}
}

// expiredChanges returns the change row that the snapshot has made
// unnecessary, if any. One row goes with each apply, so the number of rows
// stays bounded while the object store works.
func (s *Store) expiredChanges(version, snapshot uint64) []string {
	if version <= s.keepChanges || version-s.keepChanges > snapshot {
		return nil
	}
	return []string{changeKey(version - s.keepChanges)}
}

// storeSnapshot stores the version in force once the last snapshot is
// snapshotEvery versions old, and returns the newest stored version. If the
// object store fails, the next apply tries again.
func (s *Store) storeSnapshot(ctx context.Context, h headRow, current state) uint64 {
	if current.version < h.Snapshot+s.snapshotEvery {
		return h.Snapshot
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.o.Clock, snapshotTimeout)
	defer cancel()
	if err := s.o.Objects.Put(ctx, snapshotName(current.version), current.snapshot()); err != nil {
		s.o.Metrics.Count("config_snapshot_failed", 1)
		s.o.Log.Warnf("snapshot %d was not stored: %v", current.version, err)
		return h.Snapshot
	}
	return current.version
}

// commit writes a proposal and tells whether it won.
func (s *Store) commit(ctx context.Context, p proposal) (uint64, error) {
	_, err := s.o.Table.Commit(ctx, p.tx)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return s.accept(p)
	case errors.As(err, &conflict):
		return s.resolve(ctx, p, structs.NotRun(structs.ReasonVersionConflict,
			"version %d was taken by another operator, whose name cannot be read now", p.change.Version))
	case errors.Is(err, platform.ErrUnavailable):
		return 0, structs.NotRun(structs.ReasonStoreUnavailable, "%v", err)
	}
	s.o.Metrics.Count("config_write_unknown", 1)
	return s.resolve(ctx, p, structs.MayHaveRun(structs.ReasonWriteUnresolved,
		"whether version %d was accepted is not known: %v", p.change.Version, err))
}

// accept puts a committed change in force here and starts its push.
func (s *Store) accept(p proposal) (uint64, error) {
	if err := s.install(p.change); err != nil {
		s.o.Log.Warnf("version %d is accepted but not yet in force here: %v", p.change.Version, err)
		s.pollSoon()
	}
	s.o.Log.Infof("version %d of operator %q is accepted", p.change.Version, p.record.Operator)
	s.startPush(p.change)
	return p.change.Version, nil
}
