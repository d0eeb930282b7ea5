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

// Caller sends calls as callers behind a balancer may: each on a connection of
// its own, so that an instance that ends affects only its own calls.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller that gives up a call after limit.
func NewCaller(limit time.Duration) *Caller {
	return &Caller{client: &http.Client{
		Timeout:   limit,
		Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil},
	}}
}

// Send returns the status and body of an answer.
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

// Unsent reports whether a call's connection could not be opened.
func Unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
