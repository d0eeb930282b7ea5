package runnerapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"bergamotstile/httpclient"
	"bergamotstile/structs"
)

// Paths and headers of a runner's API.
const (
	PathRun    = "/run/"
	PathHealth = "/health"
	// HeaderRefusal marks a 503 by which a runner refuses a request that it
	// did not run.
	HeaderRefusal  = "Bergamotstile-Refusal"
	RefusalBusy    = "busy"
	RefusalLeaving = "leaving"
)

// Limits of calls to a runner.
const (
	// DefaultMaxConns is the most connections that a runner accepts. One of
	// them is kept for health probes, so that slow requests cannot make a
	// runner look dead.
	DefaultMaxConns  = 64
	healthConns      = 1
	maxResponseBytes = 8 << 20
	maxHealthBytes   = 64 << 10
	maxErrorDetail   = 200
)

// HTTPClient implements Client over HTTP.
type HTTPClient struct {
	dispatch *httpclient.Client
	health   *httpclient.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client that opens at most maxConns connections to
// each runner, at least two; zero selects DefaultMaxConns.
func NewHTTPClient(maxConns int) *HTTPClient {
	if maxConns <= 0 {
		maxConns = DefaultMaxConns
	}
	return &HTTPClient{
		dispatch: httpclient.New(httpclient.Options{
			MaxConnsPerHost:  max(maxConns-healthConns, 1),
			MaxResponseBytes: maxResponseBytes,
		}),
		health: httpclient.New(httpclient.Options{
			MaxConnsPerHost:  healthConns,
			MaxResponseBytes: maxHealthBytes,
		}),
	}
}

// Close closes idle connections.
func (c *HTTPClient) Close() {
	c.dispatch.Close()
	c.health.Close()
}

// Dispatch sends a request to a runner once and returns its whole answer. The
// timeout is told to the runner; how long the answer is waited for is up to
// ctx, since a runner may overrun.
func (c *HTTPClient) Dispatch(ctx context.Context, address string, d Dispatch) ([]byte, error) {
	var answer []byte
	var status error
	err := c.dispatch.Do(ctx, runRequest(address, d), func(res httpclient.Response) error {
		if err := verify(res, d.ID); err != nil {
			return err
		}
		answer, status = res.Body, verifyStatus(res)
		return nil
	})
	if err == nil {
		err = status
	}
	if err != nil {
		return nil, fmt.Errorf("dispatch %s to %s: %w", d.ID, address, classify(err))
	}
	return answer, nil
}

// runRequest carries no Idempotency-Key header, which would make net/http
// repeat the request on a connection that breaks.
func runRequest(address string, d Dispatch) httpclient.Request {
	header := http.Header{
		"Content-Type":              {"application/octet-stream"},
		structs.HeaderRequestID:     {d.ID},
		structs.HeaderContentDigest: {ContentDigest(d.Body)},
	}
	if d.Timeout > 0 {
		header.Set(structs.HeaderTimeoutMS, strconv.FormatInt(d.Timeout.Milliseconds(), 10))
	}
	target := "http://" + address + PathRun + url.PathEscape(d.Service) + "/" + url.PathEscape(d.Kind)
	return httpclient.Request{Method: http.MethodPost, URL: target, Header: header, Body: d.Body}
}

// Health asks a runner for its state.
func (c *HTTPClient) Health(ctx context.Context, address string) (Health, error) {
	var h Health
	req := httpclient.Request{Method: http.MethodGet, URL: "http://" + address + PathHealth}
	err := c.health.Do(ctx, req, func(res httpclient.Response) error {
		if res.Status != http.StatusOK {
			return fmt.Errorf("%w: status %d", ErrFailed, res.Status)
		}
		if err := json.Unmarshal(res.Body, &h); err != nil {
			return fmt.Errorf("%w: %v", ErrIncomplete, err)
		}
		return nil
	})
	if err != nil {
		return Health{}, fmt.Errorf("health of %s: %w", address, classify(err))
	}
	return h, nil
}

// verify checks that the answer is whole and belongs to the dispatch before it
// believes anything that the answer says.
func verify(res httpclient.Response, id string) error {
	if got := res.Header.Get(structs.HeaderRequestID); got != id {
		return fmt.Errorf("%w: answer is for request %q", ErrIncomplete, got)
	}
	if res.ContentLength != int64(len(res.Body)) {
		return fmt.Errorf("%w: length %d announced, %d received", ErrIncomplete, res.ContentLength, len(res.Body))
	}
	if got := res.Header.Get(structs.HeaderContentDigest); !digestMatches(got, res.Body) {
		return fmt.Errorf("%w: digest %q does not match the body", ErrIncomplete, got)
	}
	return nil
}

func verifyStatus(res httpclient.Response) error {
	if res.Status == http.StatusOK {
		return nil
	}
	if res.Status == http.StatusServiceUnavailable {
		switch res.Header.Get(HeaderRefusal) {
		case RefusalBusy:
			return ErrBusy
		case RefusalLeaving:
			return ErrLeaving
		}
	}
	detail := res.Body[:min(len(res.Body), maxErrorDetail)]
	return fmt.Errorf("%w: status %d: %q", ErrFailed, res.Status, detail)
}

// classify converts a failed call. Only a call of which no byte was written
// counts as unreachable.
func classify(err error) error {
	var call *httpclient.CallError
	switch {
	case !errors.As(err, &call):
		return err
	case !call.Sent:
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return fmt.Errorf("%w: %w", ErrTimeout, err)
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}
