// Package httpclient sends HTTP requests and reports for each failed one whether
// any byte of it may have been written. It never sends a request twice, and it
// uses a connection again only after the answer on it was accepted.
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

// Defaults of Options, and the maximum size of the header of an answer.
const (
	DefaultMaxConnsPerHost  = 64
	DefaultMaxResponseBytes = 8 << 20
	DefaultDialTimeout      = 500 * time.Millisecond
	DefaultIdleConnTimeout  = 25 * time.Second // below the 30 s after which package httpserver closes idle connections
	maxHeaderBytes          = 64 << 10
)

// Options holds the limits of a client. Values of zero or less stand for the
// defaults.
type Options struct {
	MaxConnsPerHost  int
	MaxResponseBytes int64
	DialTimeout      time.Duration
	IdleConnTimeout  time.Duration
}

// Request is an HTTP request. Its body is sent with a Content-Length header.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
}

// Response is a complete answer. ContentLength is -1 if the server did not send
// a length.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64
	Body          []byte
}

// CallError reports a call that received no complete answer.
type CallError struct {
	// Sent is set if a byte of the request was or may have been written.
	Sent bool
	Err  error
}

// Error returns the cause and whether the request was sent.
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
	httpClient       *http.Client
	transport        *http.Transport
	maxResponseBytes int64
}

// New returns a client that shares no connections with other clients.
func New(o Options) *Client {
	o = o.withDefaults()
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	tracker := &connTracker{}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c := &conn{Conn: raw, address: address, tracker: tracker}
			tracker.add(address, c)
			return c, nil
		},
		MaxConnsPerHost:        o.MaxConnsPerHost,
		MaxIdleConnsPerHost:    o.MaxConnsPerHost,
		IdleConnTimeout:        o.IdleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{
		httpClient:       &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
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

// refuseRedirect makes the client return a redirect as the answer. Following a
// redirect with status 307 or 308 would send the request a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Do sends the request once and passes the complete answer to accept. If there
// is no complete answer, Do returns a *CallError. If accept returns an error, Do
// returns that error. In both cases Do closes the connection. For an answer that
// is valid but reports a failure, accept should return nil and store the failure
// itself, so that the connection stays open.
func (c *Client) Do(ctx context.Context, req Request, accept func(Response) error) error {
	for range maxUnsentRetries {
		cc := &callConn{}
		err := c.sendOnce(ctx, cc, req, accept)
		if !cc.failedUnsent(err) {
			return err
		}
	}
	return c.sendOnce(ctx, &callConn{}, req, accept)
}

// maxUnsentRetries is how often Do tries a call again with another connection after
// the call's connection turned out to be closed before anything was written on it.
// The transport may give a call a closed connection because it has not noticed the
// close yet.
const maxUnsentRetries = 4

func (c *Client) sendOnce(ctx context.Context, cc *callConn, req Request, accept func(Response) error) error {
	defer cc.release()
	httpReq, err := newRequest(cc.withTrace(ctx), req)
	if err != nil {
		return &CallError{Err: err}
	}
	res, err := c.httpClient.Do(httpReq)
	if err != nil {
		return &CallError{Sent: cc.discardAfterFailure(err), Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	response, err := c.readResponse(res)
	if err != nil {
		cc.discardAfterFailure(err)
		return &CallError{Sent: true, Err: err}
	}
	if err := accept(response); err != nil {
		cc.discard()
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
	// The transport repeats some requests if a kept connection turns out to be
	// closed. It cannot repeat a request with a body if GetBody is nil, but it
	// would still repeat a GET or HEAD request without a body.
	httpReq.GetBody = nil
	if len(req.Body) == 0 && (req.Method == http.MethodGet || req.Method == http.MethodHead) {
		httpReq.Body = emptyBody{}
	}
	return httpReq, nil
}

// emptyBody is a body without bytes. The transport regards it as a body that it
// cannot send again.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

func (c *Client) readResponse(res *http.Response) (Response, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxResponseBytes+1))
	if err != nil {
		return Response{}, err
	}
	if int64(len(body)) > c.maxResponseBytes {
		return Response{}, fmt.Errorf("answer is larger than %d bytes", c.maxResponseBytes)
	}
	return Response{Status: res.StatusCode, Header: res.Header, ContentLength: res.ContentLength, Body: body}, nil
}
