// Package structs defines the types that several packages share. It contains
// only types, small methods and hash functions, so that every other package
// can import it.
package structs

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Resources is an amount of each of the three resources of a worker: thousandths
// of a processor, megabytes of memory, and accelerators.
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPUMilli + other.CPUMilli, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns r minus other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPUMilli - other.CPUMilli, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Fits reports whether r is at most limit for each of the resources.
func (r Resources) Fits(limit Resources) bool {
	return r.CPUMilli <= limit.CPUMilli && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

// ShardID identifies one shard of a failure domain.
type ShardID struct {
	Domain string `json:"domain"`
	Index  int    `json:"index"`
}

// String returns the shard in the form that table keys and logs contain.
func (s ShardID) String() string {
	return fmt.Sprintf("%s/%d", s.Domain, s.Index)
}

// WorkID identifies a work item. It stays the same in all attempts.
type WorkID string

// NewWorkID derives the ID of a work item from its team and idempotency key,
// so that a repeated submit finds the same row on whichever instance it arrives.
func NewWorkID(team, key string) WorkID {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return WorkID(hex.EncodeToString(sum[:16]))
}

// AttemptID identifies one attempt to run a work item.
type AttemptID string

// NewAttemptID returns the ID of the attempt with the given number.
func NewAttemptID(id WorkID, number int) AttemptID {
	return AttemptID(fmt.Sprintf("%s.%d", id, number))
}

// Class is the urgency of work. Work of a class with a smaller value is served
// first.
type Class int

// The classes of work.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassLow
)

// WorkKind distinguishes batch work, which ends for good, from standing jobs.
type WorkKind string

// The kinds of work items. A standing job is restarted each time that it ends,
// until it is cancelled.
const (
	KindBatch    WorkKind = "batch"
	KindStanding WorkKind = "standing"
)

// WorkSpec describes a work item as it was submitted. Fields that the caller
// left out have the values of the declared job.
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

// ID returns the ID of the work item.
func (s WorkSpec) ID() WorkID {
	return NewWorkID(s.Team, s.Key)
}

// WorkState is the state of a work item. Package lifecycle implements the
// transitions between the states.
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

// IsTerminal reports whether no transition of a batch item leaves the state.
func (s WorkState) IsTerminal() bool {
	switch s {
	case StateFinished, StateFailed, StateCancelled, StateLost:
		return true
	}
	return false
}

// WorkItem is the value of a work row. The row is the authoritative record of
// a work item.
type WorkItem struct {
	ID    WorkID    `json:"id"`
	Shard ShardID   `json:"shard"`
	Spec  WorkSpec  `json:"spec"`
	State WorkState `json:"state"`
	// Attempt is the number of the current or last attempt. It is zero until
	// the item is placed for the first time.
	Attempt int `json:"attempt"`
	// Worker and BootID identify the worker, and its boot, on which the current
	// or last attempt was placed. They are empty while the item is queued.
	Worker string `json:"worker,omitempty"`
	BootID string `json:"boot_id,omitempty"`
	// Epoch is the shard's epoch in which the last attempt was placed.
	Epoch      uint64 `json:"epoch"`
	Evictions  int    `json:"evictions"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Result     string `json:"result,omitempty"`
	Detail     string `json:"detail,omitempty"`
	// FailedOn lists the workers on which attempts failed, oldest first.
	FailedOn []string `json:"failed_on,omitempty"`
	// WriteID is the ID of the transaction that wrote this value. A writer that
	// did not learn the outcome of its transaction recognises by it whether the
	// transaction took effect.
	WriteID string `json:"owner_write"`
}

// AttemptID returns the ID of the item's current attempt.
func (w WorkItem) AttemptID() AttemptID {
	return NewAttemptID(w.ID, w.Attempt)
}

// WorkStatus is the status of a work item that callers receive.
type WorkStatus struct {
	ID        WorkID    `json:"id"`
	State     WorkState `json:"state"`
	Outcome   Outcome   `json:"outcome"`
	Attempts  int       `json:"attempts"`
	Evictions int       `json:"evictions"`
	Worker    string    `json:"worker,omitempty"`
	Result    string    `json:"result,omitempty"`
	Detail    string    `json:"detail,omitempty"`
	// Unconfirmed is set if the owner of the item's shard cannot commit at
	// present. The item's row may then differ from this status.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

// Status returns the status of the item that callers receive.
func (w WorkItem) Status() WorkStatus {
	return WorkStatus{
		ID: w.ID, State: w.State, Outcome: w.Outcome(), Attempts: w.Attempt,
		Evictions: w.Evictions, Worker: w.Worker, Result: w.Result, Detail: w.Detail,
	}
}

// Outcome returns whether the item ran, as far as its row shows.
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
