// Package ownership decides which entry instance of a failure domain owns each
// of its shards. Ownership is a lease in the platform's table, fenced by an
// epoch; without synchronised clocks, each instance judges expiry by its own.
package ownership

import (
	"time"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Lease is a shard that this instance owns.
type Lease struct {
	Shard structs.ShardID
	Epoch uint64
	// Fence requires that the epoch row is still as this owner wrote it. It
	// has to be part of every transaction that an owner commits.
	Fence platform.Condition
	// LastGrants holds when an owner last sent a call that could grant a task
	// lease, for workers that had left the list when the predecessor released
	// the shard. It is empty after a takeover without a release. It is shared
	// and must not be changed.
	LastGrants map[string]time.Time
}

// Handover is what an owner tells its successor when it releases a shard. It
// holds as of when the owner made it; the successor counts on from its first
// reading of the release, which is later.
type Handover struct {
	// Quiet is the longest remaining deadline in flight.
	Quiet time.Duration
	// SinceGrant is the age of the last call that could grant a task lease to a
	// worker, for workers that left the list.
	SinceGrant map[string]time.Duration
}

// Event tells that this instance acquired or lost a shard.
type Event struct {
	Lease    Lease
	Acquired bool
}
