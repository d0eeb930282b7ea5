package configuration

import (
	"context"
	"fmt"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// writeOutcome is the outcome of writing a proposal, as the table shows it.
type writeOutcome int

const (
	// outcomeNoEffect means that the head is still the one on which the proposal is
	// based.
	outcomeNoEffect writeOutcome = iota
	// outcomeWon means that the proposal has become the proposed version, outcomeLost
	// that another change has.
	outcomeWon
	outcomeLost
	// outcomeUnclear means that the rows contradict each other, which happens if they
	// are not read at the same moment.
	outcomeUnclear
)

// readOutcome reads the rows that a proposal writes. It returns the outcome of the
// proposal and, if the outcome is outcomeWon or outcomeLost, the change that the table
// holds at the proposed version. With an error, the outcome is outcomeUnclear.
func (s *Store) readOutcome(ctx context.Context, p proposal) (writeOutcome, changeRecord, error) {
	key := changeKey(p.change.Version)
	rows, err := s.options.Table.Read(ctx, keyHead, key)
	if err != nil {
		return outcomeUnclear, changeRecord{}, err
	}
	for _, row := range rows {
		if row.Key == key {
			return p.compareChange(row)
		}
	}
	tableHead, err := parseHead(rows)
	if err == nil && tableHead.rowVersion == p.base.rowVersion {
		return outcomeNoEffect, changeRecord{}, nil
	}
	return outcomeUnclear, changeRecord{}, err
}

// compareChange decodes the change row at the proposed version. It returns the change
// and outcomeWon if this proposal wrote it, or outcomeLost if another proposal did. If
// the row cannot be decoded, it returns outcomeUnclear and an error.
func (p proposal) compareChange(row platform.Row) (writeOutcome, changeRecord, error) {
	winner, err := decode[changeRecord]("change", row.Value)
	if err != nil {
		return outcomeUnclear, winner, err
	}
	if winner.WriteID == p.tx.WriteID {
		return outcomeWon, winner, nil
	}
	return outcomeLost, winner, nil
}

// resolveOutcome reads the table to find the outcome of a write whose answer was lost or
// was a conflict. While the table shows no effect, it sends the same conditional
// transaction again; only one copy of it can take effect. It returns the version if the
// proposal won, a refusal if another change won, and unresolvedErr if the outcome is
// still unknown when ctx ends.
func (s *Store) resolveOutcome(ctx context.Context, p proposal, unresolvedErr error) (uint64, error) {
	for {
		outcome, winner, err := s.readOutcome(ctx, p)
		switch {
		case err == nil && outcome == outcomeWon:
			return s.installAccepted(p)
		case err == nil && outcome == outcomeLost:
			return 0, s.refuseConflict(ctx, winner)
		case err == nil && outcome == outcomeNoEffect:
			if _, err := s.options.Table.Commit(ctx, p.tx); err == nil {
				return s.installAccepted(p)
			}
		}
		select {
		case <-ctx.Done():
			return 0, unresolvedErr
		case <-s.options.Clock.After(resolveInterval):
		}
	}
}

// refuseConflict returns a refusal that names the winner of a race. Before that, it
// installs the changes up to the table's head, which include that of the winner, or
// requests a poll if that fails.
func (s *Store) refuseConflict(ctx context.Context, winner changeRecord) error {
	if _, err := s.catchUp(ctx); err != nil {
		s.requestPoll()
	}
	return conflictRefusal(winner)
}

// conflictRefusal returns a refusal that names the version and operator of the change
// that won.
func conflictRefusal(winner changeRecord) error {
	return structs.NotRun(structs.ReasonVersionConflict, "lost to version %d of operator %q", winner.Version, winner.Operator)
}

// refuseBase returns a refusal of an apply whose base is not the version in force. For a
// lower base, the refusal names the operator of the version in force, if its change row
// can be read.
func (s *Store) refuseBase(ctx context.Context, version, base uint64) error {
	if base > version {
		return structs.NotRun(structs.ReasonVersionConflict, "base %d is above version %d in force", base, version)
	}
	winner, err := s.readChange(ctx, version)
	if err != nil {
		return structs.NotRun(structs.ReasonVersionConflict, "base %d is below version %d in force", base, version)
	}
	return conflictRefusal(winner)
}

// readChange reads the change row of a version. It returns errGap if there is none.
func (s *Store) readChange(ctx context.Context, version uint64) (changeRecord, error) {
	rows, err := s.options.Table.Read(ctx, changeKey(version))
	if err != nil {
		return changeRecord{}, err
	}
	if len(rows) == 0 {
		return changeRecord{}, fmt.Errorf("%w: %d", errGap, version)
	}
	return decode[changeRecord]("change", rows[0].Value)
}
