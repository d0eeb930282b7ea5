// Package ownership decides which entry instance of a failure domain owns each
// shard of the domain. Ownership is a lease that is stored in the platform's table
// and fenced by an epoch. The clocks of the instances are not synchronised; each
// instance measures on its own clock whether a lease has expired.
package ownership

import (
	"time"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Lease describes this instance's ownership of a shard.
type Lease struct {
	Shard structs.ShardID
	Epoch uint64
	// Fence is the condition that the epoch row is still the one that this owner
	// wrote. The owner must include it in every transaction that it commits.
	Fence platform.Condition
	// LastGrants holds, for each worker that had left the membership list when
	// the predecessor released the shard, the time on this instance's clock at
	// which an earlier owner last sent a call that could grant a task lease to
	// the worker. It is empty if the predecessor did not release the shard. The
	// map is shared and must not be modified.
	LastGrants map[string]time.Time
}

// Handover is the information that an owner passes to its successor when it
// releases a shard. Its durations are relative to the moment at which the owner
// collected them. The successor counts them from its first read of the released
// row, which is later, so that it never waits too short a time.
type Handover struct {
	// QuietPeriod is the longest time for which a keyed request in flight may still
	// run. The successor dispatches no keyed requests of the shard during it.
	QuietPeriod time.Duration
	// SinceGrant holds, for each worker that has left the membership list, the
	// time since the last call that could grant a task lease to the worker.
	SinceGrant map[string]time.Duration
}

// Event reports that this instance acquired a shard or, if Acquired is false, that
// it lost or released one.
type Event struct {
	Lease    Lease
	Acquired bool
}
