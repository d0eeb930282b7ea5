// Package scheduler decides where work items run. A decision is a pure
// function of a snapshot of one shard; the applier of the plan checks each
// placement again before it takes effect.
package scheduler

import (
	"time"

	"bergamotstile/structs"
)

// Snapshot is all that a policy knows when it plans for one shard.
type Snapshot struct {
	Shard structs.ShardID
	Now   time.Time
	// Workers are those of the shard, sorted by name.
	Workers []Worker
	// Queue holds the items that may start now, oldest first.
	Queue []Item
	// EvictionsSuspended is set while the object store is down. Evictions of
	// a plan are then dropped, so a policy throttles instead.
	EvictionsSuspended bool
}

// Worker is one worker as the shard's owner sees it.
type Worker struct {
	Name     string
	Rack     string
	Capacity structs.Resources
	// Held is the sum of all declared sizes that count against the worker,
	// including attempts that are not proven ended and intents not yet
	// committed.
	Held    structs.Resources
	Running []Attempt
	// Quarantined workers receive only probes.
	Quarantined bool
	// Leaving workers are on their way out and receive nothing new.
	Leaving bool
	// Reachable is false until the worker has reported to this owner, and
	// when its last report is too old to start anything there.
	Reachable bool
	// UsageAge is the age of the figures in Attempt.Used.
	UsageAge time.Duration
}

// Free returns what the worker still has room for.
func (w Worker) Free() structs.Resources {
	return w.Capacity.Sub(w.Held)
}

// Attempt is one attempt that counts against a worker.
type Attempt struct {
	ID          structs.AttemptID
	Work        structs.WorkID
	Team        string
	Job         string
	Kind        structs.WorkKind
	Class       structs.Class
	State       structs.WorkState
	Size        structs.Resources
	Used        structs.Resources
	Throttle    float64
	Idempotent  bool
	Evictions   int
	Checkpoint  string
	RunningFor  time.Duration
	ExpectedRun time.Duration
}

// Item is one queued work item.
type Item struct {
	Work        structs.WorkID
	Team        string
	Job         string
	Kind        structs.WorkKind
	Class       structs.Class
	Size        structs.Resources
	Idempotent  bool
	Waiting     time.Duration
	ExpectedRun time.Duration
	// FailedOn names the workers on which an attempt failed, oldest first.
	FailedOn   []string
	Attempts   int
	Evictions  int
	Checkpoint string
}

// Plan is what a policy wants done. Items and attempts it does not name stay
// as they are.
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

// Throttle limits a running item to a share of its processors; 1 lifts the
// limit.
type Throttle struct {
	Work  structs.WorkID
	Share float64
}

// Refusal ends a queued item that can never run as failed.
type Refusal struct {
	Work   structs.WorkID
	Reason structs.Reason
	Detail string
}
