// Package httpserver runs an http.Handler on nbhttp and drains it without
// cutting off a request.
package httpserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

// Limits of every server. A request beyond them costs bounded memory.
const (
	// MaxBodyBytes is the largest request body that is read.
	MaxBodyBytes = 4 << 20
	// readLimitBytes bounds the bytes buffered for a message that is still
	// being received; it leaves room for headers beside the largest body.
	readLimitBytes = MaxBodyBytes + 64<<10
	// keepaliveTime closes connections that stay silent or send too slowly.
	keepaliveTime = 30 * time.Second
	drainPoll     = 10 * time.Millisecond
)

func init() {
	logging.SetLevel(logging.LevelNone)
}

// Server serves a handler on one address.
type Server struct {
	engine     *nbhttp.Engine
	probePaths []string
	inFlight   atomic.Int64
	draining   atomic.Bool
	// lastActive is when the last request began or ended, in Unix nanoseconds.
	lastActive atomic.Int64
	watch      *disconnectWatch
}

// Start listens on address and serves handler until Close. Requests for
// probePaths do not count as activity in a drain: a balancer asks them for as
// long as the server answers.
func Start(address string, handler http.Handler, probePaths ...string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return StartOn(listener, handler, probePaths...)
}

// StartOn serves handler on a listener, as Start does. The engine gets a
// listener because it may not return from a failed start: its pollers miss a
// stop that comes before they run (nbio 1.6.8). A caller that needs several
// addresses listens on all of them before it starts one.
func StartOn(listener net.Listener, handler http.Handler, probePaths ...string) (*Server, error) {
	address := listener.Addr().String()
	s := &Server{probePaths: probePaths, watch: newDisconnectWatch()}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:         "tcp",
		Addrs:           []string{address},
		NPoller:         1, // see awaitPoller
		Listen:          func(string, string) (net.Listener, error) { return listener, nil },
		MaxHTTPBodySize: MaxBodyBytes,
		ReadLimit:       readLimitBytes,
		KeepaliveTime:   keepaliveTime,
		Handler:         s.track(handler),
	})
	read := watchReads(s.engine)
	if err := s.engine.Start(); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if err := awaitPoller(s.Address(), read); err != nil {
		return nil, fmt.Errorf("serve on %s: %w", address, err)
	}
	go s.watch.serve()
	return s, nil
}

// track counts requests in flight and ends their contexts when the client
// disconnects. While draining, it asks clients to open their next connection
// elsewhere.
func (s *Server) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		leaveCloseToClient(w, r)
		if slices.Contains(s.probePaths, r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		s.inFlight.Add(1)
		s.touch()
		defer func() {
			s.touch()
			s.inFlight.Add(-1)
		}()
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		ctx, done := s.watch.enter(r.Context(), w)
		defer done()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.engine.Addrs[0]
}

// InFlight returns the number of requests that are being answered.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// leaveCloseToClient keeps nbhttp from closing a connection after its answer.
// nbio finds connections by file descriptor: an event that is still queued for
// a descriptor just closed would end the next connection that gets the same
// number, whose request is then cut off. A client that asked for the close, or
// reads of it in the answer, closes the connection itself. HTTP/1.0 clients
// may wait for the close, so for them it stays.
func leaveCloseToClient(w http.ResponseWriter, r *http.Request) {
	if !r.Close || !r.ProtoAtLeast(1, 1) {
		return
	}
	r.Close = false
	w.Header().Set("Connection", "close")
}

func (s *Server) touch() {
	s.lastActive.Store(time.Now().UnixNano())
}

// quiet reports whether nothing is in flight and nothing was for a while.
func (s *Server) quiet(while time.Duration) bool {
	idle := time.Since(time.Unix(0, s.lastActive.Load()))
	return s.InFlight() == 0 && idle >= while
}

// Drain asks clients to move away and waits until no request is in flight and
// none was for the time quiet, or ctx ends. Requests that still arrive are
// answered: clients that have not noticed the drain yet would be cut off if
// the server closed at the first idle moment.
func (s *Server) Drain(ctx context.Context, quiet time.Duration) error {
	s.draining.Store(true)
	for !s.quiet(quiet) {
		select {
		case <-ctx.Done():
			if s.InFlight() == 0 {
				return nil
			}
			return fmt.Errorf("drain: %d requests still in flight: %w", s.InFlight(), ctx.Err())
		case <-time.After(drainPoll):
		}
	}
	return nil
}

// Close stops listening and closes every connection.
func (s *Server) Close() {
	s.watch.close()
	s.engine.Stop()
}
