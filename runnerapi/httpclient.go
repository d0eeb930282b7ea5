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

// Paths and headers of the API of a runner.
const (
	PathRun    = "/run/"
	PathHealth = "/health"
	// HeaderRefusal marks a response with status 503 as a refusal: the runner did not
	// run the request. Its value is RefusalBusy or RefusalLeaving.
	HeaderRefusal  = "Bergamotstile-Refusal"
	RefusalBusy    = "busy"
	RefusalLeaving = "leaving"
)

// Limits of calls to a runner.
const (
	// DefaultMaxConns is the largest number of connections that a runner accepts.
	// One of them is reserved for health probes, so that slow requests cannot make a
	// healthy runner fail its probes.
	DefaultMaxConns     = 64
	healthConns         = 1
	maxResponseBytes    = 8 << 20
	maxHealthBytes      = 64 << 10
	maxErrorDetailBytes = 200
)

// HTTPClient implements Client over HTTP.
type HTTPClient struct {
	dispatch *httpclient.Client
	health   *httpclient.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client that opens at most maxConns connections to each
// runner, but at least two. Zero selects DefaultMaxConns.
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

// Dispatch sends a request to a runner once and returns the complete answer. The runner
// receives the timeout of the dispatch, but may exceed it. Only ctx limits how long the
// client waits.
func (c *HTTPClient) Dispatch(ctx context.Context, address string, d Dispatch) ([]byte, error) {
	var answer []byte
	var statusErr error
	err := c.dispatch.Do(ctx, newRunRequest(address, d), func(res httpclient.Response) error {
		if err := verifyAnswer(res, d.ID); err != nil {
			return err
		}
		answer, statusErr = res.Body, statusError(res)
		return nil
	})
	if err == nil {
		err = statusErr
	}
	if err != nil {
		return nil, fmt.Errorf("dispatch %s to %s: %w", d.ID, address, classifyError(err))
	}
	return answer, nil
}

// newRunRequest sets no Idempotency-Key header: with it, net/http would send the
// request again if the connection breaks.
func newRunRequest(address string, d Dispatch) httpclient.Request {
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

// Health returns the state that a runner reports.
func (c *HTTPClient) Health(ctx context.Context, address string) (HealthReport, error) {
	var reported HealthReport
	req := httpclient.Request{Method: http.MethodGet, URL: "http://" + address + PathHealth}
	err := c.health.Do(ctx, req, func(res httpclient.Response) error {
		if res.Status != http.StatusOK {
			return fmt.Errorf("%w: status %d", ErrFailed, res.Status)
		}
		if err := json.Unmarshal(res.Body, &reported); err != nil {
			return fmt.Errorf("%w: %v", ErrIncomplete, err)
		}
		return nil
	})
	if err != nil {
		return HealthReport{}, fmt.Errorf("health of %s: %w", address, classifyError(err))
	}
	return reported, nil
}

// verifyAnswer checks that the answer is complete and belongs to the dispatch. Nothing
// else in the answer is used before that.
func verifyAnswer(res httpclient.Response, id string) error {
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

func statusError(res httpclient.Response) error {
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
	detail := res.Body[:min(len(res.Body), maxErrorDetailBytes)]
	return fmt.Errorf("%w: status %d: %q", ErrFailed, res.Status, detail)
}

// classifyError wraps the error of a failed call in one of the package's errors. It is
// ErrUnreachable only if no byte of the call was written.
func classifyError(err error) error {
	var callErr *httpclient.CallError
	switch {
	case !errors.As(err, &callErr):
		return err
	case !callErr.Sent:
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return fmt.Errorf("%w: %w", ErrTimeout, err)
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}
