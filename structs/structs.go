// Package structs holds the types that several packages share. It has no
// behaviour beyond small methods on those types, so that every other package
// can import it.
package structs

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Resources is an amount of the three dimensions that a worker has.
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most limit in every dimension.
func (r Resources) Fits(limit Resources) bool {
	return r.CPUMilli <= limit.CPUMilli && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

// ShardID names one shard of a failure domain.
type ShardID struct {
	Domain string `json:"domain"`
	Index  int    `json:"index"`
}

// String returns the shard as it stands in table keys and logs.
func (s ShardID) String() string {
	return fmt.Sprintf("%s/%d", s.Domain, s.Index)
}

// WorkID identifies a work item for its whole life.
type WorkID string

// NewWorkID derives the ID of a work item from its team and idempotency key,
// so that a repeated submit finds the same row whichever instance receives it.
func NewWorkID(team, key string) WorkID {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return WorkID(hex.EncodeToString(sum[:16]))
}

// AttemptID identifies one attempt to run a work item.
type AttemptID string

// NewAttemptID returns the ID of attempt n of a work item.
func NewAttemptID(id WorkID, n int) AttemptID {
	return AttemptID(fmt.Sprintf("%s.%d", id, n))
}

// Class orders work by urgency; a lower value is served first.
type Class int

// The classes of work.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassLow
)

// WorkKind tells how a work item ends.
type WorkKind string

// The kinds of work items.
const (
	KindBatch    WorkKind = "batch"
	KindStanding WorkKind = "standing"
)

// WorkSpec is what a caller submits.
type WorkSpec struct {
	Team          string    `json:"team"`
	Key           string    `json:"key"`
	Job           string    `json:"job"`
	Kind          WorkKind  `json:"kind"`
	Class         Class     `json:"class"`
	Size          Resources `json:"size"`
	ExpectedRunMS int64     `json:"expected_run_ms"`
	MaxRunMS      int64     `json:"max_run_ms"`
	Idempotent    bool      `json:"idempotent"`
	Domain        string    `json:"domain,omitempty"`
	Payload       []byte    `json:"payload,omitempty"`
}

// ID returns the work item's identity.
func (s WorkSpec) ID() WorkID {
	return NewWorkID(s.Team, s.Key)
}

// WorkState is a state of a work item's state machine.
type WorkState string

// The states of a work item.
const (
	StateQueued     WorkState = "queued"
	StateStarting   WorkState = "starting"
	StateRunning    WorkState = "running"
	StateEvicting   WorkState = "evicting"
	StateCancelling WorkState = "cancelling"
	StateFinished   WorkState = "finished"
	StateFailed     WorkState = "failed"
	StateCancelled  WorkState = "cancelled"
	StateLost       WorkState = "lost"
)

// Terminal reports whether no transition leaves the state.
func (s WorkState) Terminal() bool {
	switch s {
	case StateFinished, StateFailed, StateCancelled, StateLost:
		return true
	}
	return false
}

// WorkItem is the value of a work row, the only truth about a work item.
type WorkItem struct {
	ID         WorkID    `json:"id"`
	Shard      ShardID   `json:"shard"`
	Spec       WorkSpec  `json:"spec"`
	State      WorkState `json:"state"`
	Attempt    int       `json:"attempt"`
	Worker     string    `json:"worker,omitempty"`
	BootID     string    `json:"boot_id,omitempty"`
	Epoch      uint64    `json:"epoch"`
	Evictions  int       `json:"evictions"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Result     string    `json:"result,omitempty"`
	Detail     string    `json:"detail,omitempty"`
	FailedOn   []string  `json:"failed_on,omitempty"`
	OwnerWrite string    `json:"owner_write"`
}

// AttemptID returns the ID of the item's present attempt.
func (w WorkItem) AttemptID() AttemptID {
	return NewAttemptID(w.ID, w.Attempt)
}

// WorkStatus is the account of a work item that a caller receives.
type WorkStatus struct {
	ID          WorkID    `json:"id"`
	State       WorkState `json:"state"`
	Outcome     Outcome   `json:"outcome"`
	Attempts    int       `json:"attempts"`
	Evictions   int       `json:"evictions"`
	Worker      string    `json:"worker,omitempty"`
	Result      string    `json:"result,omitempty"`
	Detail      string    `json:"detail,omitempty"`
	Unconfirmed bool      `json:"unconfirmed,omitempty"`
}

// Status returns the caller's account of the item.
func (w WorkItem) Status() WorkStatus {
	return WorkStatus{
		ID: w.ID, State: w.State, Outcome: w.Outcome(), Attempts: w.Attempt,
		Evictions: w.Evictions, Worker: w.Worker, Result: w.Result, Detail: w.Detail,
	}
}

// Outcome tells whether the item ran, as far as the row shows.
func (w WorkItem) Outcome() Outcome {
	switch {
	case w.State == StateFinished:
		return OutcomeRan
	case w.Attempt == 0:
		return OutcomeNotRun
	default:
		return OutcomeMayHaveRun
	}
}
