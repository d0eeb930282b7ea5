package standin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// Caller sends HTTP calls to entry instances as callers behind a load balancer
// may. Each call has its own connection, so that an instance that ends breaks
// only the calls that were sent to it.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller that abandons a call after timeout.
func NewCaller(timeout time.Duration) *Caller {
	return &Caller{client: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil},
	}}
}

// Send sends one HTTP request and returns the status and body of the response.
func (c *Caller) Send(ctx context.Context, method, url string, headers map[string]string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	res, err := c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, data, err
}

// IsDialError reports whether a call failed because its connection could not be
// opened, so that no byte of the call was sent.
func IsDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
