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

// Paths of a worker's API.
const (
	PathHeartbeat = "/heartbeat"
	PathStart     = "/start"
	PathStop      = "/stop"
	PathThrottle  = "/throttle"
)

// Limits of calls to a worker.
const (
	// maxConnsPerWorker allows a heartbeat beside a few starts and stops.
	maxConnsPerWorker = 8
	maxResponseBytes  = 4 << 20
	maxCallTime       = 10 * time.Second
)

// AttemptResponse answers a start or throttle. It repeats the attempt, so that
// an answer to another call is recognised.
type AttemptResponse struct {
	Attempt structs.AttemptID `json:"attempt"`
}

// RefusalResponse is the body of a refusal, with status 409.
type RefusalResponse struct {
	Refused bool   `json:"refused"`
	Detail  string `json:"detail,omitempty"`
}

// HTTPClient implements Client over HTTP and JSON.
type HTTPClient struct {
	http *httpclient.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client with its own connections.
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

// Heartbeat renews leases, acknowledges outcomes and returns the worker's
// account of itself.
func (c *HTTPClient) Heartbeat(ctx context.Context, address string, req HeartbeatRequest) (HeartbeatResponse, error) {
	var out HeartbeatResponse
	err := c.call(ctx, address, PathHeartbeat, req, &out, func() bool { return out.BootID != "" })
	return out, err
}

// Start starts an attempt.
func (c *HTTPClient) Start(ctx context.Context, address string, req StartRequest) error {
	var out AttemptResponse
	return c.call(ctx, address, PathStart, req, &out, func() bool { return out.Attempt == req.Attempt })
}

// Stop ends an attempt.
func (c *HTTPClient) Stop(ctx context.Context, address string, req StopRequest) (StopResponse, error) {
	var out StopResponse
	err := c.call(ctx, address, PathStop, req, &out, func() bool {
		return out.Ended.Attempt == req.Attempt && out.Ended.State != ""
	})
	return out, err
}

// Throttle limits an attempt.
func (c *HTTPClient) Throttle(ctx context.Context, address string, req ThrottleRequest) error {
	var out AttemptResponse
	return c.call(ctx, address, PathThrottle, req, &out, func() bool { return out.Attempt == req.Attempt })
}

// call sends one request. matches tells whether the decoded answer belongs to
// the request.
func (c *HTTPClient) call(ctx context.Context, address, path string, in, out any, matches func() bool) error {
	data, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%s at %s: %w: encode: %v", path, address, ErrUnreachable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	req := httpclient.Request{
		Method: http.MethodPost,
		URL:    "http://" + address + path,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   data,
	}
	var refused error
	err = c.http.Do(ctx, req, func(res httpclient.Response) error {
		err := decode(res, out, matches)
		if errors.Is(err, ErrRefused) {
			refused = err
			return nil // a sound answer, the connection stays in use
		}
		return err
	})
	if err == nil {
		err = refused
	}
	if err != nil {
		return fmt.Errorf("%s at %s: %w", path, address, classify(err))
	}
	return nil
}

func decode(res httpclient.Response, out any, matches func() bool) error {
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

func classify(err error) error {
	if errors.Is(err, ErrRefused) {
		return err
	}
	var call *httpclient.CallError
	if errors.As(err, &call) && !call.Sent {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}
