// Package runnerapi defines the client that dispatches requests to the runners of an
// endpoint and verifies their answers, and implements it over HTTP.
package runnerapi

import (
	"context"
	"errors"
	"time"
)

// Errors of a dispatch, wrapped with detail. Only the first three prove that the
// request did not run.
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
	ID      string
	Service string
	Kind    string
	Timeout time.Duration
	Body    []byte
}

// Health is the state that a runner reports. Running is the number of requests that it
// runs.
type Health struct {
	Leaving bool `json:"leaving"`
	Running int  `json:"running"`
}

// Client dispatches requests to runners by address. It returns an answer only if it is
// complete and belongs to the dispatch, and an error otherwise.
type Client interface {
	Dispatch(ctx context.Context, address string, d Dispatch) ([]byte, error)
	Health(ctx context.Context, address string) (Health, error)
}
