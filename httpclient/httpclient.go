// Package httpclient sends single HTTP requests and proves whether any byte of
// a request may have left the process. A request is never sent twice, and a
// connection is used again only after the answer on it was accepted.
package httpclient

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"bergamotstile/defaults"
)

// Defaults of Options.
const (
	DefaultMaxConnsPerHost  = 64
	DefaultMaxResponseBytes = 8 << 20
	DefaultDialTimeout      = 500 * time.Millisecond
	DefaultIdleConnTimeout  = 25 * time.Second // below the 30 s after which our servers close idle connections
	maxHeaderBytes          = 64 << 10
)

// Options bounds what a client uses. Zero values select the defaults.
type Options struct {
	MaxConnsPerHost  int
	MaxResponseBytes int64
	DialTimeout      time.Duration
	IdleConnTimeout  time.Duration
}

// Request is one request. Its body is sent with a Content-Length.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
}

// Response is a whole answer. ContentLength is -1 if the server sent none.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64
	Body          []byte
}

// CallError reports a call without a whole answer.
type CallError struct {
	// Sent is false only if no byte of the request was written.
	Sent bool
	Err  error
}

// Error returns the cause.
func (e *CallError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no whole answer: %v", e.Err)
	}
	return fmt.Sprintf("not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Client sends requests over its own bounded set of connections.
type Client struct {
	http             *http.Client
	transport        *http.Transport
	maxResponseBytes int64
}

// New returns a client with its own connections.
func New(o Options) *Client {
	o = o.withDefaults()
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: raw}, nil
		},
		MaxConnsPerHost:        o.MaxConnsPerHost,
		MaxIdleConnsPerHost:    o.MaxConnsPerHost,
		IdleConnTimeout:        o.IdleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{
		http:             &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		transport:        transport,
		maxResponseBytes: o.MaxResponseBytes,
	}
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.MaxConnsPerHost, DefaultMaxConnsPerHost)
	defaults.Set(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	defaults.Set(&o.DialTimeout, DefaultDialTimeout)
	defaults.Set(&o.IdleConnTimeout, DefaultIdleConnTimeout)
	return o
}

// refuseRedirect returns redirects as answers. Following a 307 or 308 would
// send the request a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Do sends the request once and passes the whole answer to accept. Without a
// whole answer it returns a *CallError. If accept returns an error, Do returns
// that error. In both cases the connection is closed. For an answer that is
// sound but not a success, accept returns nil and keeps the refusal itself.
func (c *Client) Do(ctx context.Context, req Request, accept func(Response) error) error {
	for range maxClosedConns {
		u := &use{}
		err := c.once(ctx, u, req, accept)
		if !u.passedOver(err) {
			return err
		}
	}
	return c.once(ctx, &use{}, req, accept)
}

// maxClosedConns bounds the closed connections that a call passes over. The
// transport may hand one out before it notices the close; nothing is written
// on it.
const maxClosedConns = 4

func (c *Client) once(ctx context.Context, u *use, req Request, accept func(Response) error) error {
	defer u.end()
	httpReq, err := newRequest(u.withTrace(ctx), req)
	if err != nil {
		return &CallError{Err: err}
	}
	res, err := c.http.Do(httpReq)
	if err != nil {
		return &CallError{Sent: u.abandon(), Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := c.read(res)
	if err != nil {
		u.abandon()
		return &CallError{Sent: true, Err: err}
	}
	if err := accept(answer); err != nil {
		u.abandon()
		return err
	}
	return nil
}

func newRequest(ctx context.Context, req Request) (*http.Request, error) {
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, req.URL, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	if req.Header != nil {
		httpReq.Header = req.Header
	}
	// Without GetBody the transport cannot repeat a request with a body on its
	// own when a kept connection turns out to be closed. It would still repeat
	// a GET or HEAD that has no body at all.
	httpReq.GetBody = nil
	if len(req.Body) == 0 && (req.Method == http.MethodGet || req.Method == http.MethodHead) {
		httpReq.Body = emptyBody{}
	}
	return httpReq, nil
}

// emptyBody is a body without bytes that the transport takes for one it cannot
// send again.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

func (c *Client) read(res *http.Response) (Response, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxResponseBytes+1))
	if err != nil {
		return Response{}, err
	}
	if int64(len(body)) > c.maxResponseBytes {
		return Response{}, fmt.Errorf("answer is larger than %d bytes", c.maxResponseBytes)
	}
	return Response{Status: res.StatusCode, Header: res.Header, ContentLength: res.ContentLength, Body: body}, nil
}
