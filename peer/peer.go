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

// Service handles the calls that an entry instance receives from its peers. Each call
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
	// compressMinBytes is the size from which responses are compressed. For a
	// heartbeat, gzip costs more than half of the processor time and makes the
	// response longer.
	compressMinBytes  = 4 << 10
	dialTimeout       = 500 * time.Millisecond
	maxConnsPerPeer   = 64
	idleConnTimeout   = 30 * time.Second
	cborMaxArrayItems = 1 << 16
)

// cborCodec encodes and decodes all peer messages.
type cborCodec struct {
	decode cbor.DecMode
}

func newCodec() cborCodec {
	decMode, err := cbor.DecOptions{MaxArrayElements: cborMaxArrayItems}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("peer: cbor options: %v", err))
	}
	return cborCodec{decode: decMode}
}

func (cborCodec) Name() string                      { return "cbor" }
func (cborCodec) Marshal(v any) ([]byte, error)     { return cbor.Marshal(v) }
func (c cborCodec) Unmarshal(b []byte, v any) error { return c.decode.Unmarshal(b, v) }

// NewHandler returns the HTTP handler that serves the calls of a service.
func NewHandler(s Service) http.Handler {
	mux := http.NewServeMux()
	registerCall(mux, "Heartbeat", s.Heartbeat)
	registerCall(mux, "Forward", s.Forward)
	registerCall(mux, "Hint", s.Hint)
	registerCall(mux, "Cancel", s.Cancel)
	registerCall(mux, "Status", s.Status)
	registerCall(mux, "Push", s.Push)
	registerCall(mux, "Fetch", s.Fetch)
	registerCall(mux, "Promise", s.Promise)
	registerCall(mux, "Probe", s.Probe)
	registerCall(mux, "Released", s.Released)
	registerCall(mux, "Relay", s.Relay)
	return mux
}

func registerCall[Req, Res any](mux *http.ServeMux, name string, call func(context.Context, *Req) (*Res, error)) {
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
	http  *http.Client
	pools *connectionPools
}

// NewClient returns a client with connections of its own.
func NewClient() *Client {
	pools := &connectionPools{pools: map[string]*connectionPool{}}
	return &Client{http: &http.Client{Transport: pools}, pools: pools}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Heartbeat sends this instance's heartbeat and returns the peer's.
func (c *Client) Heartbeat(ctx context.Context, address string, m *Heartbeat) (*Heartbeat, error) {
	return callPeer[Heartbeat, Heartbeat](ctx, c, address, "Heartbeat", m)
}

// Forward forwards a request to a peer.
func (c *Client) Forward(ctx context.Context, address string, m *ForwardRequest) (*ForwardResponse, error) {
	return callPeer[ForwardRequest, ForwardResponse](ctx, c, address, "Forward", m)
}

// Hint reports a new work row to the owner of its shard.
func (c *Client) Hint(ctx context.Context, address string, m *HintRequest) (*Empty, error) {
	return callPeer[HintRequest, Empty](ctx, c, address, "Hint", m)
}

// Cancel asks the owner of a shard to cancel a work item.
func (c *Client) Cancel(ctx context.Context, address string, m *WorkRequest) (*WorkResponse, error) {
	return callPeer[WorkRequest, WorkResponse](ctx, c, address, "Cancel", m)
}

// Status asks the owner of a shard for the status of a work item.
func (c *Client) Status(ctx context.Context, address string, m *WorkRequest) (*WorkResponse, error) {
	return callPeer[WorkRequest, WorkResponse](ctx, c, address, "Status", m)
}

// Push sends configuration changes to a peer.
func (c *Client) Push(ctx context.Context, address string, m *PushRequest) (*PushResponse, error) {
	return callPeer[PushRequest, PushResponse](ctx, c, address, "Push", m)
}

// Fetch asks a peer for configuration changes.
func (c *Client) Fetch(ctx context.Context, address string, m *FetchRequest) (*FetchResponse, error) {
	return callPeer[FetchRequest, FetchResponse](ctx, c, address, "Fetch", m)
}

// Promise asks a peer not to take a shard.
func (c *Client) Promise(ctx context.Context, address string, m *PromiseRequest) (*PromiseResponse, error) {
	return callPeer[PromiseRequest, PromiseResponse](ctx, c, address, "Promise", m)
}

// Probe asks the owner that a shard row names whether it still serves the shard in the
// epoch of that row. It is unrelated to the health probes of runners.
func (c *Client) Probe(ctx context.Context, address string, m *ProbeRequest) (*ProbeResponse, error) {
	return callPeer[ProbeRequest, ProbeResponse](ctx, c, address, "Probe", m)
}

// Released reports to a peer that this instance has released a shard.
func (c *Client) Released(ctx context.Context, address string, m *ReleasedRequest) (*Empty, error) {
	return callPeer[ReleasedRequest, Empty](ctx, c, address, "Released", m)
}

// Relay makes a table call through a peer.
func (c *Client) Relay(ctx context.Context, address string, m *RelayRequest) (*RelayResponse, error) {
	return callPeer[RelayRequest, RelayResponse](ctx, c, address, "Relay", m)
}

func callPeer[Req, Res any](ctx context.Context, c *Client, address, name string, m *Req) (*Res, error) {
	client := connect.NewClient[Req, Res](c.http, "http://"+address+PathPrefix+name,
		connect.WithCodec(newCodec()), connect.WithReadMaxBytes(maxMessageBytes))
	res, err := client.CallUnary(ctx, connect.NewRequest(m))
	if err != nil {
		if !connect.IsWireError(err) && !errors.Is(ctx.Err(), context.Canceled) {
			// The other connections to the peer may have gone silent as well, and each would
			// cost a later call its timeout.
			c.pools.closeUnusedTo(address)
		}
		return nil, classifyError(name, address, err)
	}
	return res.Msg, nil
}

// classifyError wraps the error of a failed call in ErrUnreachable or ErrOutcomeUnknown.
// Only a failed dial proves that the call was not sent.
func classifyError(name, address string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%s to %s: %w: %v", name, address, ErrUnreachable, err)
	}
	return fmt.Errorf("%s to %s: %w: %v", name, address, ErrOutcomeUnknown, err)
}
