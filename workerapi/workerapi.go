// Package workerapi declares the messages to a worker and the interface that
// its adapter implements.
package workerapi

import (
	"context"
	"errors"

	"bergamotstile/structs"
)

// Errors of calls to a worker, wrapped with detail.
var (
	// ErrUnreachable means that the call did not reach the worker.
	ErrUnreachable = errors.New("worker unreachable")
	// ErrOutcomeUnknown means that the call may have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of worker call unknown")
	// ErrRefused means that the worker refused the call and it had no effect.
	ErrRefused = errors.New("refused by worker")
)

// EndState tells how an attempt ended.
type EndState string

// The ways an attempt ends.
const (
	EndFinished EndState = "finished"
	EndFailed   EndState = "failed"
	// EndStopped is an attempt stopped on request or at the lapse of its lease.
	EndStopped EndState = "stopped"
)

// Ended is an attempt that no longer runs. A worker repeats it in heartbeats
// until it is acknowledged.
type Ended struct {
	Attempt structs.AttemptID `json:"attempt"`
	State   EndState          `json:"state"`
	// Checkpoint is the one taken by the stop itself, as the attempt's last
	// act. It is empty for an attempt that ended in any other way.
	Checkpoint string `json:"checkpoint,omitempty"`
	Result     string `json:"result,omitempty"`
	Detail     string `json:"detail,omitempty"`
	// Unstarted is set on the tombstone of an attempt that the worker never
	// started since it booted, and never will.
	Unstarted bool `json:"unstarted,omitempty"`
}

// Running is an attempt that runs, with its measured use.
type Running struct {
	Attempt    structs.AttemptID `json:"attempt"`
	Size       structs.Resources `json:"size"`
	Used       structs.Resources `json:"used"`
	Checkpoint string            `json:"checkpoint,omitempty"`
	Throttle   float64           `json:"throttle"`
}

// HeartbeatRequest renews the task leases of all attempts that the worker
// runs and acknowledges outcomes.
type HeartbeatRequest struct {
	Shard        structs.ShardID     `json:"shard"`
	Epoch        uint64              `json:"epoch"`
	LeaseMS      int64               `json:"lease_ms"`
	Acknowledged []structs.AttemptID `json:"acknowledged,omitempty"`
}

// HeartbeatResponse is the worker's account of itself.
type HeartbeatResponse struct {
	BootID   string            `json:"boot_id"`
	UptimeMS int64             `json:"uptime_ms"`
	Capacity structs.Resources `json:"capacity"`
	Running  []Running         `json:"running,omitempty"`
	Ended    []Ended           `json:"ended,omitempty"`
	// UsageAgeMS is the age of the figures in Used.
	UsageAgeMS int64 `json:"usage_age_ms"`
	Leaving    bool  `json:"leaving,omitempty"`
}

// StartRequest starts an attempt. It is idempotent by attempt ID and refused
// for another boot ID, after StartBeforeMS of the worker's uptime, and for an
// attempt that was stopped before.
type StartRequest struct {
	Attempt       structs.AttemptID `json:"attempt"`
	Epoch         uint64            `json:"epoch"`
	BootID        string            `json:"boot_id"`
	StartBeforeMS int64             `json:"start_before_ms"`
	LeaseMS       int64             `json:"lease_ms"`
	Spec          structs.WorkSpec  `json:"spec"`
	Checkpoint    string            `json:"checkpoint,omitempty"`
}

// StopRequest ends an attempt, with a checkpoint first if Checkpoint is set. A
// stop of an unknown attempt leaves a tombstone that refuses its later start.
type StopRequest struct {
	Attempt    structs.AttemptID `json:"attempt"`
	Epoch      uint64            `json:"epoch"`
	Checkpoint bool              `json:"checkpoint,omitempty"`
}

// StopResponse tells how the attempt ended.
type StopResponse struct {
	Ended Ended `json:"ended"`
	// BootID tells which boot Ended.Unstarted speaks of.
	BootID string `json:"boot_id,omitempty"`
}

// ThrottleRequest limits an attempt to a share of its processors.
type ThrottleRequest struct {
	Attempt structs.AttemptID `json:"attempt"`
	Epoch   uint64            `json:"epoch"`
	Share   float64           `json:"share"`
}

// Client calls workers by address.
type Client interface {
	Heartbeat(ctx context.Context, address string, req HeartbeatRequest) (HeartbeatResponse, error)
	Start(ctx context.Context, address string, req StartRequest) error
	Stop(ctx context.Context, address string, req StopRequest) (StopResponse, error)
	Throttle(ctx context.Context, address string, req ThrottleRequest) error
}
