package configuration

import (
	"context"
	"fmt"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// fate is what the table shows of a proposal.
type fate int

const (
	// fateOpen: the head is where the proposal found it.
	fateOpen fate = iota
	fateWon
	fateLost
	// fateUnclear: the rows contradict each other, as when they were read
	// apart from each other.
	fateUnclear
)

// readBack reads the rows that a proposal writes.
func (s *Store) readBack(ctx context.Context, p proposal) (fate, change, error) {
	key := changeKey(p.change.Version)
	rows, err := s.o.Table.Read(ctx, keyHead, key)
	if err != nil {
		return fateUnclear, change{}, err
	}
	for _, row := range rows {
		if row.Key == key {
			return p.compare(row)
		}
	}
	h, err := parseHead(rows)
	if err == nil && h.rowVersion == p.base.rowVersion {
		return fateOpen, change{}, nil
	}
	return fateUnclear, change{}, err
}

// compare tells whether the change row of the proposed version is its own.
func (p proposal) compare(row platform.Row) (fate, change, error) {
	winner, err := decode[change]("change", row.Value)
	if err != nil {
		return fateUnclear, winner, err
	}
	if winner.WriteID == p.tx.WriteID {
		return fateWon, winner, nil
	}
	return fateLost, winner, nil
}

// resolve reads back what became of a write whose answer was lost or was a
// conflict. While the table shows no effect, it sends the same conditional
// transaction again, of which only one copy can take effect. It returns giveUp
// if the table does not tell before ctx ends.
func (s *Store) resolve(ctx context.Context, p proposal, giveUp error) (uint64, error) {
	for {
		result, winner, err := s.readBack(ctx, p)
		switch {
		case err == nil && result == fateWon:
			return s.accept(p)
		case err == nil && result == fateLost:
			return 0, s.refuseLost(ctx, winner)
		case err == nil && result == fateOpen:
			if _, err := s.o.Table.Commit(ctx, p.tx); err == nil {
				return s.accept(p)
			}
		}
		select {
		case <-ctx.Done():
			return 0, giveUp
		case <-s.o.Clock.After(resolveWait):
		}
	}
}

// refuseLost names the winner of a race and brings its change in force here.
func (s *Store) refuseLost(ctx context.Context, winner change) error {
	if _, err := s.catchUp(ctx); err != nil {
		s.pollSoon()
	}
	return conflictWith(winner)
}

func conflictWith(winner change) error {
	return structs.NotRun(structs.ReasonVersionConflict, "lost to version %d of operator %q", winner.Version, winner.Operator)
}

// lostTo refuses an apply whose base is not the version in force.
func (s *Store) lostTo(ctx context.Context, version, base uint64) error {
	if base > version {
		return structs.NotRun(structs.ReasonVersionConflict, "base %d is above version %d in force", base, version)
	}
	winner, err := s.readChange(ctx, version)
	if err != nil {
		return structs.NotRun(structs.ReasonVersionConflict, "base %d is below version %d in force", base, version)
	}
	return conflictWith(winner)
}

func (s *Store) readChange(ctx context.Context, version uint64) (change, error) {
	rows, err := s.o.Table.Read(ctx, changeKey(version))
	if err != nil {
		return change{}, err
	}
	if len(rows) == 0 {
		return change{}, fmt.Errorf("%w: %d", errGap, version)
	}
	return decode[change]("change", rows[0].Value)
}
