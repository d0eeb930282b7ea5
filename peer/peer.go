package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
)

// Errors of calls to a peer, wrapped with detail.
var (
	// ErrUnreachable means that the call was not sent.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrOutcomeUnknown means that the peer may have acted on the call.
	ErrOutcomeUnknown = errors.New("outcome of peer call unknown")
)

// Service is what an entry instance answers to its peers. Every call of it
// has a method here and a path below PathPrefix.
type Service interface {
	Heartbeat(context.Context, *Heartbeat) (*Heartbeat, error)
	Forward(context.Context, *ForwardRequest) (*ForwardResponse, error)
	Hint(context.Context, *HintRequest) (*Empty, error)
	Cancel(context.Context, *WorkRequest) (*WorkResponse, error)
	Status(context.Context, *WorkRequest) (*WorkResponse, error)
	Push(context.Context, *PushRequest) (*PushResponse, error)
	Fetch(context.Context, *FetchRequest) (*FetchResponse, error)
	Promise(context.Context, *PromiseRequest) (*PromiseResponse, error)
	Probe(context.Context, *ProbeRequest) (*ProbeResponse, error)
	Released(context.Context, *ReleasedRequest) (*Empty, error)
	Relay(context.Context, *RelayRequest) (*RelayResponse, error)
}

// PathPrefix is the path below which peer calls are served.
const PathPrefix = "/peer.v1/"

// Limits of peer calls.
const (
	maxMessageBytes = 8 << 20
	// compressMinBytes keeps small answers uncompressed: gzip costs more than
	// half of a heartbeat's processor time and makes its answer longer.
	compressMinBytes  = 4 << 10
	dialTimeout       = 500 * time.Millisecond
	maxConnsPerPeer   = 64
	idleConnTimeout   = 30 * time.Second
	cborMaxArrayItems = 1 << 16
)

// cborCodec is the codec of all peer messages.
type cborCodec struct {
	decode cbor.DecMode
}

func newCodec() cborCodec {
	mode, err := cbor.DecOptions{MaxArrayElements: cborMaxArrayItems}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("peer: cbor options: %v", err))
	}
	return cborCodec{decode: mode}
}

func (cborCodec) Name() string                      { return "cbor" }
func (cborCodec) Marshal(v any) ([]byte, error)     { return cbor.Marshal(v) }
func (c cborCodec) Unmarshal(b []byte, v any) error { return c.decode.Unmarshal(b, v) }

// NewHandler returns the HTTP handler of a service.
func NewHandler(s Service) http.Handler {
	mux := http.NewServeMux()
	handle(mux, "Heartbeat", s.Heartbeat)
	handle(mux, "Forward", s.Forward)
	handle(mux, "Hint", s.Hint)
	handle(mux, "Cancel", s.Cancel)
	handle(mux, "Status", s.Status)
	handle(mux, "Push", s.Push)
	handle(mux, "Fetch", s.Fetch)
	handle(mux, "Promise", s.Promise)
	handle(mux, "Probe", s.Probe)
	handle(mux, "Released", s.Released)
	handle(mux, "Relay", s.Relay)
	return mux
}

func handle[Req, Res any](mux *http.ServeMux, name string, call func(context.Context, *Req) (*Res, error)) {
	path := PathPrefix + name
	mux.Handle(path, connect.NewUnaryHandler(path,
		func(ctx context.Context, req *connect.Request[Req]) (*connect.Response[Res], error) {
			res, err := call(ctx, req.Msg)
			if err != nil {
				return nil, err
			}
			return connect.NewResponse(res), nil
		},
		connect.WithCodec(newCodec()),
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithReadMaxBytes(maxMessageBytes)))
}

// Client calls peers by address.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConnsPerPeer,
		MaxIdleConnsPerHost: maxConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Heartbeat exchanges heartbeats.
func (c *Client) Heartbeat(ctx context.Context, address string, m *Heartbeat) (*Heartbeat, error) {
	return call[Heartbeat, Heartbeat](ctx, c, address, "Heartbeat", m)
}

// Forward passes a request on.
func (c *Client) Forward(ctx context.Context, address string, m *ForwardRequest) (*ForwardResponse, error) {
	return call[ForwardRequest, ForwardResponse](ctx, c, address, "Forward", m)
}

// Hint tells an owner of a new work row.
func (c *Client) Hint(ctx context.Context, address string, m *HintRequest) (*Empty, error) {
	return call[HintRequest, Empty](ctx, c, address, "Hint", m)
}

// Cancel asks an owner to cancel a work item.
func (c *Client) Cancel(ctx context.Context, address string, m *WorkRequest) (*WorkResponse, error) {
	return call[WorkRequest, WorkResponse](ctx, c, address, "Cancel", m)
}

// Status asks an owner for the account of a work item.
func (c *Client) Status(ctx context.Context, address string, m *WorkRequest) (*WorkResponse, error) {
	return call[WorkRequest, WorkResponse](ctx, c, address, "Status", m)
}

// Push spreads configuration changes.
func (c *Client) Push(ctx context.Context, address string, m *PushRequest) (*PushResponse, error) {
	return call[PushRequest, PushResponse](ctx, c, address, "Push", m)
}

// Fetch asks for configuration changes.
func (c *Client) Fetch(ctx context.Context, address string, m *FetchRequest) (*FetchResponse, error) {
	return call[FetchRequest, FetchResponse](ctx, c, address, "Fetch", m)
}

// Promise asks a peer not to take a shard.
func (c *Client) Promise(ctx context.Context, address string, m *PromiseRequest) (*PromiseResponse, error) {
	return call[PromiseRequest, PromiseResponse](ctx, c, address, "Promise", m)
}

// Probe asks a recorded owner whether it still serves its shard.
func (c *Client) Probe(ctx context.Context, address string, m *ProbeRequest) (*ProbeResponse, error) {
	return call[ProbeRequest, ProbeResponse](ctx, c, address, "Probe", m)
}

// Released tells a peer that this instance has released a shard.
func (c *Client) Released(ctx context.Context, address string, m *ReleasedRequest) (*Empty, error) {
	return call[ReleasedRequest, Empty](ctx, c, address, "Released", m)
}

// Relay passes a table call through a peer.
func (c *Client) Relay(ctx context.Context, address string, m *RelayRequest) (*RelayResponse, error) {
	return call[RelayRequest, RelayResponse](ctx, c, address, "Relay", m)
}

func call[Req, Res any](ctx context.Context, c *Client, address, name string, m *Req) (*Res, error) {
	client := connect.NewClient[Req, Res](c.http, "http://"+address+PathPrefix+name,
		connect.WithCodec(newCodec()), connect.WithReadMaxBytes(maxMessageBytes))
	res, err := client.CallUnary(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, convertError(name, address, err)
	}
	return res.Msg, nil
}

// convertError tells a call that was never sent from one that may have been
// acted on: only a failed dial proves the former.
func convertError(name, address string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%s to %s: %w: %v", name, address, ErrUnreachable, err)
	}
	return fmt.Errorf("%s to %s: %w: %v", name, address, ErrOutcomeUnknown, err)
}
