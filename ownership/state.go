package ownership

import (
	"sync"
	"time"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// writeKind tells what a write of the shard row is for.
type writeKind int

const (
	writeTake writeKind = iota
	writeRenew
	writeRelease
)

// write is a transaction whose result is not known yet.
type write struct {
	kind   writeKind
	tx     platform.Transaction
	row    shardRow
	before reading
	// sentAt is read before the first copy was sent; lease time counts from
	// it, whichever copy took effect.
	sentAt time.Time
	// unknown is set once a copy may take effect later.
	unknown bool
	// unsent is set when a reading showed that another copy is in order.
	unsent bool
}

// shardState is what this instance knows of one shard. The Manager's lock
// guards it; step serialises the calls to the table.
type shardState struct {
	step sync.Mutex
	// released wakes the shard's loop when its owner has released it.
	released chan struct{}

	id   structs.ShardID
	read reading
	seen bool
	// seenAt is read after the first read that showed read.rowVersion.
	seenAt  time.Time
	pending *write
	failing bool // the last call to the table failed

	held          bool
	releasing     bool
	lease         Lease
	validUntil    time.Time
	extendedUntil time.Time
	dispatchAfter time.Time
	// promisedUntil is when a promise to the owner not to take ends.
	promisedUntil time.Time
}

// note takes in a reading. The version's age restarts when it changed.
func (s *shardState) note(r reading, now time.Time) {
	if !s.seen || s.read.rowVersion != r.rowVersion {
		s.seenAt = now
	}
	s.seen = true
	s.read = r
}

// valid reports whether the lease is in force, without extension.
func (s *shardState) valid(now time.Time) bool {
	return s.held && !s.releasing && now.Before(s.validUntil)
}

// servingUntil returns the end of the lease with its extension, and zero if
// that is over.
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

// free reports whether the shard has no recorded owner.
func (s *shardState) free() bool {
	return s.read.rowVersion == 0 || s.read.row.Owner == ""
}
