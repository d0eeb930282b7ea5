package configuration

import (
	"context"
	"fmt"

	"bergamotstile/peer"
	"bergamotstile/platform"
)

// maxChangesPerRead bounds the number of change rows that one read requests.
const maxChangesPerRead = 64

// headRow is the head as it was read. rowVersion is the version of its row, or zero if
// the row does not exist.
type headRow struct {
	headRecord
	rowVersion uint64
}

// readHeadRow reads the head from the table.
func (s *Store) readHeadRow(ctx context.Context) (headRow, error) {
	rows, err := s.options.Table.Read(ctx, keyHead)
	if err != nil {
		return headRow{}, err
	}
	s.mu.Lock()
	s.hasReadHead = true
	s.mu.Unlock()
	return parseHead(rows)
}

func parseHead(rows []platform.Row) (headRow, error) {
	for _, row := range rows {
		if row.Key == keyHead {
			h, err := decode[headRecord]("head", row.Value)
			return headRow{headRecord: h, rowVersion: row.Version}, err
		}
	}
	return headRow{}, nil
}

// catchUp installs the changes in the table that are newer than the version in force. It
// returns the head that it read.
func (s *Store) catchUp(ctx context.Context) (headRow, error) {
	currentVersion := s.current().version
	tableHead, err := s.readHeadRow(ctx)
	if err != nil {
		return tableHead, err
	}
	if tableHead.Version < currentVersion {
		s.options.Metrics.Count("config_head_behind", 1)
		s.options.Log.Warnf("the table's head is at version %d, below version %d in force", tableHead.Version, currentVersion)
		return tableHead, nil
	}
	if tableHead.Snapshot > currentVersion && tableHead.Version-currentVersion > s.snapshotInterval {
		s.loadSnapshot(ctx, tableHead.Snapshot)
	}
	return tableHead, s.readChanges(ctx, tableHead.Version)
}

// loadSnapshot tries to install a snapshot, which saves reading most of the changes. If
// it fails, the changes are read from the version in force on.
func (s *Store) loadSnapshot(ctx context.Context, version uint64) {
	value, err := s.options.Objects.Get(ctx, snapshotName(version))
	if err == nil {
		err = s.installSnapshot(value)
	}
	if err != nil {
		s.options.Metrics.Count("config_snapshot_unreadable", 1)
		s.options.Log.Warnf("snapshot %d is not used: %v", version, err)
	}
}

// readChanges reads and installs the changes up to a version, in order.
func (s *Store) readChanges(ctx context.Context, upTo uint64) error {
	for installed := s.current().version; installed < upTo; installed = s.current().version {
		rows, err := s.options.Table.Read(ctx, changeKeys(installed+1, upTo)...)
		if err != nil {
			return err
		}
		for i, row := range rows {
			c := peer.ConfigChange{Version: installed + 1 + uint64(i), Value: row.Value}
			if row.Key != changeKey(c.Version) {
				return fmt.Errorf("%w: the table has no change %d", errGap, c.Version)
			}
			if err := s.installChange(c); err != nil {
				return err
			}
		}
		if s.current().version == installed {
			return fmt.Errorf("%w: the table has no change %d", errGap, installed+1)
		}
	}
	return nil
}

// changeKeys returns the keys of the changes from one version up to another, at most
// maxChangesPerRead of them.
func changeKeys(from, upTo uint64) []string {
	var keys []string
	for v := from; v <= upTo && len(keys) < maxChangesPerRead; v++ {
		keys = append(keys, changeKey(v))
	}
	return keys
}
