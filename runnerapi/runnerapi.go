// Package runnerapi defines the client that dispatches requests to the runners of an
// endpoint and verifies their answers, and implements it over HTTP.
package runnerapi

import (
	"context"
	"errors"
	"time"
)

// Errors of calls to a runner, wrapped with detail. For a dispatch, only the first three
// prove that the request did not run.
var (
	ErrUnreachable = errors.New("runner unreachable before the request was sent")
	ErrBusy        = errors.New("runner busy")
	ErrLeaving     = errors.New("runner leaving")
	ErrTimeout     = errors.New("no answer from runner in time")
	ErrIncomplete  = errors.New("answer incomplete or not for this request")
	ErrFailed      = errors.New("runner failed the request")
)

// Dispatch is one request for one runner.
type Dispatch struct {
	// ID identifies the request. The runner repeats it in the answer.
	ID      string
	Service string
	Kind    string
	// Timeout is the time limit that is sent to the runner. Zero means that none is
	// sent.
	Timeout time.Duration
	Body    []byte
}

// HealthReport is the state that a runner reports in its response to a health probe.
type HealthReport struct {
	// Leaving is set if the runner is about to end: it refuses every new request with
	// ErrLeaving, while the requests that already run continue.
	Leaving bool `json:"leaving"`
	// RunningRequests is the number of requests that the runner runs at present.
	RunningRequests int `json:"running"`
}

// Client calls runners by address.
type Client interface {
	// Dispatch sends a request to a runner. It returns the answer only if it is complete
	// and belongs to the dispatch, and otherwise an error that wraps one of the errors
	// above.
	Dispatch(ctx context.Context, address string, d Dispatch) ([]byte, error)
	// Health returns the state that a runner reports.
	Health(ctx context.Context, address string) (HealthReport, error)
}
