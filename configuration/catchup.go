package configuration

import (
	"context"
	"fmt"

	"bergamotstile/peer"
	"bergamotstile/platform"
)

// readBatch is the number of change rows in one read.
const readBatch = 64

// headRow is the head as it was read; rowVersion is zero if there is none.
type headRow struct {
	head
	rowVersion uint64
}

// readHeadRow reads the head of the table.
func (s *Store) readHeadRow(ctx context.Context) (headRow, error) {
	rows, err := s.o.Table.Read(ctx, keyHead)
	if err != nil {
		return headRow{}, err
	}
	s.mu.Lock()
	s.readHead = true
	s.mu.Unlock()
	return parseHead(rows)
}

func parseHead(rows []platform.Row) (headRow, error) {
	for _, row := range rows {
		if row.Key == keyHead {
			h, err := decode[head]("head", row.Value)
			return headRow{head: h, rowVersion: row.Version}, err
		}
	}
	return headRow{}, nil
}

// catchUp installs what the table has above the version in force and returns
// the head that it reached.
func (s *Store) catchUp(ctx context.Context) (headRow, error) {
	at := s.current().version
	h, err := s.readHeadRow(ctx)
	if err != nil {
		return h, err
	}
	if h.Version < at {
		s.o.Metrics.Count("config_head_behind", 1)
		s.o.Log.Warnf("the table's head is at version %d, below version %d in force", h.Version, at)
		return h, nil
	}
	if h.Snapshot > at && h.Version-at > s.snapshotEvery {
		s.loadSnapshot(ctx, h.Snapshot)
	}
	return h, s.readChanges(ctx, h.Version)
}

// loadSnapshot tries to skip ahead; without the object the changes are read.
func (s *Store) loadSnapshot(ctx context.Context, version uint64) {
	value, err := s.o.Objects.Get(ctx, snapshotName(version))
	if err == nil {
		err = s.installSnapshot(value)
	}
	if err != nil {
		s.o.Metrics.Count("config_snapshot_unreadable", 1)
		s.o.Log.Warnf("snapshot %d is not used: %v", version, err)
	}
}

// readChanges installs the changes up to a version in order.
func (s *Store) readChanges(ctx context.Context, upTo uint64) error {
	for at := s.current().version; at < upTo; at = s.current().version {
		rows, err := s.o.Table.Read(ctx, changeKeys(at+1, upTo)...)
		if err != nil {
			return err
		}
		for i, row := range rows {
			c := peer.ConfigChange{Version: at + 1 + uint64(i), Value: row.Value}
			if row.Key != changeKey(c.Version) {
				return fmt.Errorf("%w: the table has no change %d", errGap, c.Version)
			}
			if err := s.install(c); err != nil {
				return err
			}
		}
		if s.current().version == at {
			return fmt.Errorf("%w: the table has no change %d", errGap, at+1)
		}
	}
	return nil
}

func changeKeys(from, upTo uint64) []string {
	var keys []string
	for v := from; v <= upTo && len(keys) < readBatch; v++ {
		keys = append(keys, changeKey(v))
	}
	return keys
}
