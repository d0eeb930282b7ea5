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

// Timeouts and limits of a call of Store.Apply.
const (
	// resolveInterval is the time between two attempts to find out whether a write
	// whose answer was lost has taken effect.
	resolveInterval = 100 * time.Millisecond
	// applyTimeout bounds a call of Apply while the table is slow.
	applyTimeout = 10 * time.Second
	// maxOperatorBytes is the maximum length of an operator's name.
	maxOperatorBytes = 128
	// snapshotTimeout bounds the time that a slow object store adds to a call of Apply.
	snapshotTimeout = time.Second
	// maxHeadReads bounds how often syncWithHead reads the head. It reads the head
	// again if a push has installed a later version meanwhile.
	maxHeadReads = 3
)

// proposal is a change that a call of Apply tries to make, with the transaction that
// writes it.
type proposal struct {
	change peer.ConfigChange
	record changeRecord
	tx     platform.Transaction
	// base is the head on which the transaction is conditional.
	base headRow
}

// Apply makes the deployment that an operator has declared the next version and returns
// this version, or a *structs.Refusal. base is the version that the operator has changed;
// zero stands for the version of the table's head when the call begins. If the deployment
// equals that of the head, Apply writes nothing and returns the version of the head,
// whatever base is.
func (s *Store) Apply(ctx context.Context, operator string, base uint64, deployment *declaration.Deployment) (uint64, error) {
	version, err := s.apply(ctx, operator, base, deployment)
	if err != nil {
		refusal := structs.AsRefusal(err)
		s.options.Log.Infof("declaration of operator %q refused: %v", operator, refusal)
		return 0, refusal
	}
	return version, nil
}

// apply does the work of Apply, except that it does not log a refusal.
func (s *Store) apply(ctx context.Context, operator string, base uint64, deployment *declaration.Deployment) (uint64, error) {
	if err := s.checkApplyArguments(operator, deployment); err != nil {
		return 0, err
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, applyTimeout)
	defer cancel()
	if base == 0 {
		tableHead, _, err := s.syncWithHead(ctx)
		if err != nil {
			return 0, err
		}
		base = tableHead.Version
	}
	return s.writeNextVersion(ctx, operator, base, deployment.Entries())
}

// writeNextVersion writes entries as the version that follows base. If the entries are
// those of the table's head, it writes nothing and returns the version of the head. It
// returns a refusal if base is not the version of the head.
func (s *Store) writeNextVersion(ctx context.Context, operator string, base uint64, entries declaration.Entries) (uint64, error) {
	tableHead, current, err := s.syncWithHead(ctx)
	if err != nil {
		return 0, err
	}
	delta := declaration.Diff(current.entries, entries)
	if delta.IsEmpty() {
		return tableHead.Version, nil
	}
	if base != tableHead.Version {
		return 0, s.refuseBase(ctx, tableHead.Version, base)
	}
	tableHead.Snapshot = s.storeSnapshot(ctx, tableHead, current)
	return s.commit(ctx, s.newProposal(tableHead, operator, entries, delta))
}

// syncWithHead installs the changes up to the table's head and returns the head with the
// state at that version. If a push installs a later version after the head was read, it
// reads the head again.
func (s *Store) syncWithHead(ctx context.Context) (headRow, configState, error) {
	for range maxHeadReads {
		tableHead, err := s.catchUp(ctx)
		if err != nil {
			return tableHead, configState{}, structs.NotRun(structs.ReasonStoreUnavailable, "the configuration cannot be read: %v", err)
		}
		if current := s.current(); tableHead.Version == current.version {
			return tableHead, current, nil
		}
	}
	return headRow{}, configState{}, structs.NotRun(structs.ReasonStoreUnavailable,
		"the table's head differs from version %d in force", s.current().version)
}

// checkApplyArguments returns a refusal if the operator's name is empty or too long, or
// if the deployment is missing or not valid. The refusal names the deployment a
// declaration, because that is the operators' word for it.
func (s *Store) checkApplyArguments(operator string, deployment *declaration.Deployment) error {
	operator = strings.TrimSpace(operator)
	if operator == "" || len(operator) > maxOperatorBytes {
		return structs.NotRun(structs.ReasonBadRequest, "operator: must be 1 to %d bytes", maxOperatorBytes)
	}
	if deployment == nil {
		return structs.NotRun(structs.ReasonBadRequest, "declaration: is required")
	}
	if err := deployment.Check(s.options.Limits); err != nil {
		return structs.NotRun(structs.ReasonDeclarationInvalid, "%v", err)
	}
	return nil
}

// newProposal returns the change from base, which is the table's head, to the next
// version, with the transaction that writes it. It writes nothing.
func (s *Store) newProposal(base headRow, operator string, entries declaration.Entries, delta declaration.Delta) proposal {
	writeID := uuid.NewString()
	version := base.Version + 1
	digest := entries.Digest()
	record := changeRecord{Version: version, Operator: operator, Base: base.Version, WriteID: writeID, Digest: digest, Delta: delta}
	next := headRecord{Version: version, Digest: digest, Snapshot: base.Snapshot, WriteID: writeID}
	value := encode(record)
	return proposal{
		change: peer.ConfigChange{Version: version, Value: value},
		record: record,
		base:   base,
		tx: platform.Transaction{
			WriteID:    writeID,
			Conditions: []platform.Condition{{Key: keyHead, Version: base.rowVersion}},
			Puts:       []platform.Put{{Key: keyHead, Value: encode(next)}, {Key: changeKey(version), Value: value}},
			Deletes:    s.obsoleteChangeKeys(version, next.Snapshot),
		},
	}
}

// obsoleteChangeKeys returns the key of the change row that the transaction of the given
// version deletes: the row that is keptChanges versions older. It returns no key if there
// is no such row, or if the row is newer than snapshot, the version of the newest
// snapshot. Each transaction deletes at most one row, so the number of rows stays bounded
// while the object store works. A row that no snapshot includes at that time is never
// deleted.
func (s *Store) obsoleteChangeKeys(version, snapshot uint64) []string {
	if version <= s.keptChanges || version-s.keptChanges > snapshot {
		return nil
	}
	return []string{changeKey(version - s.keptChanges)}
}

// storeSnapshot stores the version in force as a snapshot if the last snapshot is at
// least snapshotInterval versions old. It returns the version of the newest snapshot. If
// the object store fails, the next call of Apply that changes the configuration tries
// again.
func (s *Store) storeSnapshot(ctx context.Context, tableHead headRow, current configState) uint64 {
	if current.version < tableHead.Snapshot+s.snapshotInterval {
		return tableHead.Snapshot
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, snapshotTimeout)
	defer cancel()
	if err := s.options.Objects.Put(ctx, snapshotName(current.version), current.encodeSnapshot()); err != nil {
		s.options.Metrics.Count("config_snapshot_failed", 1)
		s.options.Log.Warnf("snapshot %d was not stored: %v", current.version, err)
		return tableHead.Snapshot
	}
	return current.version
}

// commit writes a proposal and returns its version. It returns a refusal if the table
// refused the write, if another change took the version, or if the outcome is still
// unknown when ctx ends.
func (s *Store) commit(ctx context.Context, p proposal) (uint64, error) {
	_, err := s.options.Table.Commit(ctx, p.tx)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return s.installAccepted(p)
	case errors.As(err, &conflict):
		return s.resolveOutcome(ctx, p, structs.NotRun(structs.ReasonVersionConflict,
			"version %d was taken by another operator, whose name cannot be read now", p.change.Version))
	case errors.Is(err, platform.ErrUnavailable):
		return 0, structs.NotRun(structs.ReasonStoreUnavailable, "%v", err)
	}
	s.options.Metrics.Count("config_write_unknown", 1)
	return s.resolveOutcome(ctx, p, structs.MayHaveRun(structs.ReasonWriteUnresolved,
		"whether version %d was accepted is not known: %v", p.change.Version, err))
}

// installAccepted puts a committed change in force on this instance, starts to push it to
// the others and returns its version. If the change cannot be put in force here now, it
// requests a poll instead of returning an error, because the version is accepted.
func (s *Store) installAccepted(p proposal) (uint64, error) {
	if err := s.installChange(p.change); err != nil {
		s.options.Log.Warnf("version %d is accepted but not yet in force here: %v", p.change.Version, err)
		s.requestPoll()
	}
	s.options.Log.Infof("version %d of operator %q is accepted", p.change.Version, p.record.Operator)
	s.startPush(p.change)
	return p.change.Version, nil
}
