// Package workerapi declares the messages that workers exchange with their clients and
// the interface of such a client, and implements it over HTTP.
package workerapi

import (
	"context"
	"errors"

	"bergamotstile/structs"
)

// Errors of calls to a worker, wrapped with detail.
var (
	// ErrUnreachable means that the call was not sent.
	ErrUnreachable = errors.New("worker unreachable")
	// ErrOutcomeUnknown means that the call may have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of worker call unknown")
	// ErrRefused means that the worker refused the call, which had no effect.
	ErrRefused = errors.New("refused by worker")
)

// EndState is how an attempt ended.
type EndState string

// The ways in which an attempt ends.
const (
	EndFinished EndState = "finished"
	EndFailed   EndState = "failed"
	// EndStopped is the state of an attempt that was stopped on request or when its
	// lease expired. The response to a stop of an attempt that the worker does not know
	// has this state too.
	EndStopped EndState = "stopped"
)

// EndedAttempt describes an attempt that does not run on the worker. The attempt has ended
// or, in the response to a stop, may never have run there. The worker repeats an attempt
// that has ended in its responses to heartbeats until a heartbeat acknowledges it.
type EndedAttempt struct {
	Attempt structs.AttemptID `json:"attempt"`
	State   EndState          `json:"state"`
	// Checkpoint is the checkpoint that the worker took, on request, immediately before it
	// stopped the attempt. It is empty if the attempt was stopped without a checkpoint or
	// ended in any other way.
	Checkpoint string `json:"checkpoint,omitempty"`
	Result     string `json:"result,omitempty"`
	Detail     string `json:"detail,omitempty"`
	// NeverStarted is set in the response to a stop if the worker has not started
	// the attempt since the worker booted. The tombstone that the stop leaves ensures
	// that the worker will not start the attempt later.
	NeverStarted bool `json:"unstarted,omitempty"`
}

// RunningAttempt is an attempt that runs, with the resources that it uses. Throttle is
// the share of its processors to which the attempt is limited; 1 means no limit.
type RunningAttempt struct {
	Attempt    structs.AttemptID `json:"attempt"`
	Size       structs.Resources `json:"size"`
	Used       structs.Resources `json:"used"`
	Checkpoint string            `json:"checkpoint,omitempty"`
	Throttle   float64           `json:"throttle"`
}

// HeartbeatRequest renews the task leases of all attempts that the worker runs, and
// acknowledges outcomes.
type HeartbeatRequest struct {
	Shard        structs.ShardID     `json:"shard"`
	Epoch        uint64              `json:"epoch"`
	LeaseMS      int64               `json:"lease_ms"`
	Acknowledged []structs.AttemptID `json:"acknowledged,omitempty"`
}

// HeartbeatResponse is the state of the worker.
type HeartbeatResponse struct {
	BootID   string            `json:"boot_id"`
	UptimeMS int64             `json:"uptime_ms"`
	Capacity structs.Resources `json:"capacity"`
	Running  []RunningAttempt  `json:"running,omitempty"`
	Ended    []EndedAttempt    `json:"ended,omitempty"`
	// UsageAgeMS is the age of the measurements in RunningAttempt.Used, in milliseconds.
	UsageAgeMS int64 `json:"usage_age_ms"`
	Leaving    bool  `json:"leaving,omitempty"`
}

// StartRequest starts an attempt. Repeating it with the same attempt ID has no further
// effect. The worker refuses the request if the worker's boot ID differs from BootID, if
// its uptime exceeds StartBeforeMS milliseconds, or if the attempt was stopped before.
type StartRequest struct {
	Attempt       structs.AttemptID `json:"attempt"`
	Epoch         uint64            `json:"epoch"`
	BootID        string            `json:"boot_id"`
	StartBeforeMS int64             `json:"start_before_ms"`
	LeaseMS       int64             `json:"lease_ms"`
	Spec          structs.WorkSpec  `json:"spec"`
	Checkpoint    string            `json:"checkpoint,omitempty"`
}

// StopRequest ends an attempt, with a checkpoint first if Checkpoint is set. A stop of
// an attempt that the worker does not know leaves a tombstone, which makes the worker
// refuse a later start.
type StopRequest struct {
	Attempt    structs.AttemptID `json:"attempt"`
	Epoch      uint64            `json:"epoch"`
	Checkpoint bool              `json:"checkpoint,omitempty"`
}

// StopResponse says how the attempt ended, or that the attempt does not run on the worker.
type StopResponse struct {
	Ended EndedAttempt `json:"ended"`
	// BootID is the boot to which Ended.NeverStarted refers.
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
