package workerapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"bergamotstile/httpclient"
	"bergamotstile/structs"
)

// Paths of the API of a worker.
const (
	PathHeartbeat = "/heartbeat"
	PathStart     = "/start"
	PathStop      = "/stop"
	PathThrottle  = "/throttle"
)

// Limits of calls to a worker.
const (
	// maxConnsPerWorker allows a heartbeat and a few starts and stops at the same
	// time.
	maxConnsPerWorker = 8
	maxResponseBytes  = 4 << 20
	callTimeout       = 10 * time.Second
)

// AttemptResponse is the response to a start or throttle. It repeats the attempt, so
// that the client recognises a response that belongs to another call.
type AttemptResponse struct {
	Attempt structs.AttemptID `json:"attempt"`
}

// RefusalResponse is the body of a refusal, which has status 409.
type RefusalResponse struct {
	Refused bool   `json:"refused"`
	Detail  string `json:"detail,omitempty"`
}

// HTTPClient implements Client over HTTP and JSON.
type HTTPClient struct {
	http *httpclient.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client with connections of its own.
func NewHTTPClient() *HTTPClient {
	return &HTTPClient{http: httpclient.New(httpclient.Options{
		MaxConnsPerHost:  maxConnsPerWorker,
		MaxResponseBytes: maxResponseBytes,
	})}
}

// Close closes idle connections.
func (c *HTTPClient) Close() {
	c.http.Close()
}

// Heartbeat renews task leases, acknowledges outcomes and returns the worker's state.
func (c *HTTPClient) Heartbeat(ctx context.Context, address string, req HeartbeatRequest) (HeartbeatResponse, error) {
	var out HeartbeatResponse
	err := c.call(ctx, address, PathHeartbeat, req, &out, func() bool { return out.BootID != "" })
	return out, err
}

// Start asks the worker to start an attempt.
func (c *HTTPClient) Start(ctx context.Context, address string, req StartRequest) error {
	var out AttemptResponse
	return c.call(ctx, address, PathStart, req, &out, func() bool { return out.Attempt == req.Attempt })
}

// Stop asks the worker to end an attempt and returns how it ended.
func (c *HTTPClient) Stop(ctx context.Context, address string, req StopRequest) (StopResponse, error) {
	var out StopResponse
	err := c.call(ctx, address, PathStop, req, &out, func() bool {
		return out.Ended.Attempt == req.Attempt && out.Ended.State != ""
	})
	return out, err
}

// Throttle limits an attempt to a share of its processors.
func (c *HTTPClient) Throttle(ctx context.Context, address string, req ThrottleRequest) error {
	var out AttemptResponse
	return c.call(ctx, address, PathThrottle, req, &out, func() bool { return out.Attempt == req.Attempt })
}

// call sends one request and decodes the response into out. matches reports whether the
// decoded response belongs to the request.
func (c *HTTPClient) call(ctx context.Context, address, path string, in, out any, matches func() bool) error {
	data, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%s at %s: %w: encode: %v", path, address, ErrUnreachable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := httpclient.Request{
		Method: http.MethodPost,
		URL:    "http://" + address + path,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   data,
	}
	var refusal error
	err = c.http.Do(ctx, req, func(res httpclient.Response) error {
		err := decodeResponse(res, out, matches)
		if errors.Is(err, ErrRefused) {
			refusal = err
			return nil // the response is complete, so the connection can be used again
		}
		return err
	})
	if err == nil {
		err = refusal
	}
	if err != nil {
		return fmt.Errorf("%s at %s: %w", path, address, classifyError(err))
	}
	return nil
}

func decodeResponse(res httpclient.Response, out any, matches func() bool) error {
	switch res.Status {
	case http.StatusOK:
	case http.StatusConflict:
		return decodeRefusal(res)
	default:
		return fmt.Errorf("status %d", res.Status)
	}
	if err := json.Unmarshal(res.Body, out); err != nil {
		return fmt.Errorf("answer: %v", err)
	}
	if !matches() {
		return errors.New("answer does not belong to the call")
	}
	return nil
}

func decodeRefusal(res httpclient.Response) error {
	var refusal RefusalResponse
	if err := json.Unmarshal(res.Body, &refusal); err != nil || !refusal.Refused {
		return fmt.Errorf("status %d without a refusal", res.Status)
	}
	return fmt.Errorf("%w: %s", ErrRefused, refusal.Detail)
}

func classifyError(err error) error {
	if errors.Is(err, ErrRefused) {
		return err
	}
	var callErr *httpclient.CallError
	if errors.As(err, &callErr) && !callErr.Sent {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}
