// Package ownership decides which entry instance of a failure domain owns each
// of its shards. Ownership is a lease in the platform's table, fenced by an
// epoch; without synchronised clocks, each instance judges expiry by its own.
package ownership

import (
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
}

// Event tells that this instance acquired or lost a shard.
type Event struct {
	Lease    Lease
	Acquired bool
}
