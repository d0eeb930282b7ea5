package ownership

import (
	"sync"
	"time"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// writeKind is the purpose of a write of the shard row.
type writeKind int

const (
	writeTake writeKind = iota
	writeRenew
	writeRelease
)

// rowWrite is a write of a shard row. It may be sent several times as the same
// conditional transaction, of which only one copy can take effect.
type rowWrite struct {
	kind   writeKind
	tx     platform.Transaction
	row    shardRow  // the new value of the shard row
	before shardRows // the rows on which the write is conditional
	// firstSentAt is the time just before the first copy was sent. The lease
	// duration counts from it, whichever copy takes effect.
	firstSentAt time.Time
	// outcomeUnknown is set once a copy of the write may have taken effect or may
	// take effect later.
	outcomeUnknown bool
	// resendNeeded is set when a read showed that no copy has taken effect and
	// the rows still allow the write.
	resendNeeded bool
}

// shardState holds the state of one shard as this instance knows it. Manager.mu
// guards its fields; stepMu serialises the steps that read and write the shard's rows.
type shardState struct {
	stepMu sync.Mutex
	// releaseNotice wakes the shard's loop when its owner has reported that it
	// released the shard.
	releaseNotice chan struct{}

	id        structs.ShardID
	rows      shardRows
	rowsKnown bool // rows holds what this instance last read or wrote
	// versionSeenAt is the time just after this instance first saw the version of
	// the shard row that is in rows.
	versionSeenAt time.Time
	pending       *rowWrite // the write whose outcome is not known yet, or nil
	tableFailing  bool      // the table did not answer the last call that a step of this shard made

	held          bool
	releasing     bool      // the lease is held but no longer used
	lease         Lease     // the current lease, or the last one if held is false
	validUntil    time.Time // end of the lease by the last renewal
	extendedUntil time.Time // end of the lease by the promises of all peers
	dispatchAfter time.Time // end of the predecessor's quiet period
	// promisedUntil is the time until which this instance has promised the owner
	// not to take the shard.
	promisedUntil time.Time
}

// recordRows stores the rows that were just read or written. If the version of the
// shard row has changed, the time for which it is unchanged starts at now.
func (s *shardState) recordRows(rows shardRows, now time.Time) {
	if !s.rowsKnown || s.rows.shardVersion != rows.shardVersion {
		s.versionSeenAt = now
	}
	s.rowsKnown = true
	s.rows = rows
}

// isValid reports whether the lease is in force by its last renewal, that is,
// without an extension.
func (s *shardState) isValid(now time.Time) bool {
	return s.held && !s.releasing && now.Before(s.validUntil)
}

// servingUntil returns the end of the lease or of its extension, whichever is
// later. It returns zero if that time has passed, if the shard is not held or if it
// is being released.
func (s *shardState) servingUntil(now time.Time) time.Time {
	if !s.held || s.releasing {
		return time.Time{}
	}
	until := s.validUntil
	if s.extendedUntil.After(until) {
		until = s.extendedUntil
	}
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// isFree reports whether the last known shard row is missing or names no owner.
func (s *shardState) isFree() bool {
	return s.rows.shardVersion == 0 || s.rows.shard.Owner == ""
}
