// Package scheduler decides where work items run. A decision is a pure function
// of a snapshot of one shard. The shard's owner checks each placement of a plan
// again before it takes effect.
package scheduler

import (
	"time"

	"bergamotstile/structs"
)

// Snapshot holds the state of one shard for which a policy makes a plan.
type Snapshot struct {
	Shard structs.ShardID
	Now   time.Time
	// Workers holds the workers of the shard, sorted by name.
	Workers []Worker
	// Queue holds the items that may start now, oldest first.
	Queue []Item
	// EvictionsSuspended is set while the object store, which holds the
	// checkpoints, is down. The shard's owner then drops the evictions of a
	// plan, so a policy can only throttle.
	EvictionsSuspended bool
}

// Worker describes one worker as the shard's owner sees it.
type Worker struct {
	Name     string
	Rack     string
	Capacity structs.Resources
	// Allocated is the sum of all declared sizes that count against the worker.
	// It includes attempts that are not proven to have ended and intents that
	// are not yet committed.
	Allocated structs.Resources
	Running   []Attempt
	// Quarantined workers receive only probes: single items that test them.
	Quarantined bool
	// Leaving workers are shutting down or no longer on the membership list,
	// and receive no new attempts.
	Leaving bool
	// Reachable is set if the last report that this owner received from the
	// worker is recent enough to start attempts there. It is false until the
	// first report.
	Reachable bool
	// UsageAge is the age of the values in Attempt.Used.
	UsageAge time.Duration
}

// Unallocated returns the capacity that is not allocated. It is negative in a
// dimension in which more is allocated than the worker has.
func (w Worker) Unallocated() structs.Resources {
	return w.Capacity.Sub(w.Allocated)
}

// Attempt is one attempt whose declared size counts against a worker.
type Attempt struct {
	ID    structs.AttemptID
	Work  structs.WorkID
	Team  string
	Job   string
	Kind  structs.WorkKind
	Class structs.Class
	State structs.WorkState
	Size  structs.Resources
	// Used is the last reported usage. It is zero before the first report.
	Used structs.Resources
	// Throttle is the share of its processors to which the attempt is limited,
	// from 0 to 1. Zero means that no limit was requested.
	Throttle   float64
	Idempotent bool
	Evictions  int
	Checkpoint string
	// RunningFor is the time since this owner placed the attempt. It is zero if
	// an earlier owner placed it.
	RunningFor  time.Duration
	ExpectedRun time.Duration
}

// Item is one queued work item.
type Item struct {
	Work       structs.WorkID
	Team       string
	Job        string
	Kind       structs.WorkKind
	Class      structs.Class
	Size       structs.Resources
	Idempotent bool
	// Waiting is the time since this owner added the item to its queue.
	Waiting     time.Duration
	ExpectedRun time.Duration
	// FailedOn names the workers on which an attempt failed, oldest first.
	FailedOn   []string
	Attempts   int
	Evictions  int
	Checkpoint string
}

// Plan holds the changes that a policy decides on. It leaves items and attempts
// that it does not name unchanged.
type Plan struct {
	Placements []Placement
	Evictions  []Eviction
	Throttles  []Throttle
	Refusals   []Refusal
}

// Placement starts a queued item on a worker.
type Placement struct {
	Work   structs.WorkID
	Worker string
}

// Eviction checkpoints and stops a running item, which is then queued again.
type Eviction struct {
	Work  structs.WorkID
	Cause string
}

// Throttle limits a running item to a share of its processors, from 0 to 1. A
// share of 1 lifts the limit.
type Throttle struct {
	Work  structs.WorkID
	Share float64
}

// Refusal ends a queued item that can never run. The state of the item becomes
// failed.
type Refusal struct {
	Work   structs.WorkID
	Reason structs.Reason
	Detail string
}
