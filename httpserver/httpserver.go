// Package httpserver serves an http.Handler with nbhttp. A server can be drained
// without interrupting requests.
package httpserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"
)

// Limits of every server. They bound the memory that a request can take.
const (
	// MaxBodyBytes is the size of the largest request body that is accepted.
	MaxBodyBytes = 4 << 20
	// readLimitBytes is the maximum number of bytes that are buffered for a
	// request that is being received. It allows for headers in addition to the
	// largest body.
	readLimitBytes = MaxBodyBytes + 64<<10
	// engineTimeout is the time after which nbhttp closes a connection. It is longer than
	// any connection lives without a request in flight; Account closes those in time.
	engineTimeout = 24 * time.Hour
	// drainPollInterval is the interval at which Drain checks whether the quiet
	// period has passed.
	drainPollInterval = 10 * time.Millisecond
)

func init() {
	logging.SetLevel(logging.LevelNone)
	// The default allocator of nbio keeps large buffers and returns them for small sizes,
	// so that a few bytes can hold megabytes.
	mempool.DefaultMemPool = mempool.NewSTD()
}

// Server serves a handler on one address.
type Server struct {
	engine     *nbhttp.Engine
	probePaths []string
	inFlight   atomic.Int64
	draining   atomic.Bool
	// lastActivityUnixNS is the time at which the last request that is no probe
	// began or ended, in nanoseconds since the Unix epoch.
	lastActivityUnixNS atomic.Int64
	watcher            *disconnectWatcher
	account            *Account
}

// Start starts a server as Account.Start does, with an account of its own.
func Start(address string, handler http.Handler, probePaths ...string) (*Server, error) {
	return NewAccount(Limits{}, nil, nil).Start(address, handler, probePaths...)
}

// StartOn starts a server as Account.StartOn does, with an account of its own.
func StartOn(listener net.Listener, handler http.Handler, probePaths ...string) (*Server, error) {
	return NewAccount(Limits{}, nil, nil).StartOn(listener, handler, probePaths...)
}

// Start listens on address and serves handler until Close is called. Requests
// for probePaths do not prolong a drain, since a load balancer sends them for as
// long as the server answers. All servers of a process should share one account.
func (a *Account) Start(address string, handler http.Handler, probePaths ...string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return a.StartOn(listener, handler, probePaths...)
}

// StartOn serves handler on a listener, as Start does. The listener is opened
// before the engine is started, because an engine whose start fails may never
// return: it stops its pollers, and a stop has no effect on a poller that does
// not run yet (nbio 1.6.8). A caller that needs several addresses should
// therefore listen on all of them before it starts the first server.
func (a *Account) StartOn(listener net.Listener, handler http.Handler, probePaths ...string) (*Server, error) {
	address := listener.Addr().String()
	s := &Server{probePaths: probePaths, watcher: newDisconnectWatcher(), account: a}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp",
		Addrs:   []string{address},
		NPoller: 1, // see awaitPoller
		Listen: func(string, string) (net.Listener, error) {
			return &limitedListener{listener, a}, nil
		},
		EpollMod:        nbio.EPOLLET, // a guard that pauses would be called again and again otherwise
		MaxHTTPBodySize: MaxBodyBytes,
		ReadLimit:       readLimitBytes,
		KeepaliveTime:   engineTimeout,
		Handler:         s.trackRequests(handler),
	})
	firstRead := s.guardConnections()
	if err := s.engine.Start(); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if err := awaitPoller(s.Address(), firstRead); err != nil {
		return nil, fmt.Errorf("serve on %s: %w", address, err)
	}
	go s.watcher.run()
	go s.sweepConnections()
	return s, nil
}

// trackRequests counts the requests in flight and cancels the context of a
// request if its client disconnects. While the server is draining, it asks
// clients to close their connections, so that they open the next ones to another
// server.
func (s *Server) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		leaveCloseToClient(w, r)
		if slices.Contains(s.probePaths, r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		s.inFlight.Add(1)
		s.recordActivity()
		defer func() {
			s.recordActivity()
			s.inFlight.Add(-1)
		}()
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		ctx, done := s.watcher.register(r.Context(), w)
		defer done()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.engine.Addrs[0]
}

// InFlight returns the number of requests that are being answered, without probes.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// leaveCloseToClient prevents nbhttp from closing the connection after the answer
// to a request that asks for the close. nbio finds connections by file descriptor.
// If the server closed the connection, an event that is still queued for its
// descriptor would close the next connection that gets the same descriptor
// number, and interrupt its request. The client closes the connection itself,
// because it asked for the close and the answer announces it. Clients of HTTP/1.0
// may wait until the server closes the connection, so for them nbhttp closes it.
func leaveCloseToClient(w http.ResponseWriter, r *http.Request) {
	if !r.Close || !r.ProtoAtLeast(1, 1) {
		return
	}
	r.Close = false
	w.Header().Set("Connection", "close")
}

func (s *Server) recordActivity() {
	s.lastActivityUnixNS.Store(time.Now().UnixNano())
}

// isQuiet reports whether no request is in flight and none was in flight during
// the last period. It does not count probes.
func (s *Server) isQuiet(period time.Duration) bool {
	idle := time.Since(time.Unix(0, s.lastActivityUnixNS.Load()))
	return s.InFlight() == 0 && idle >= period
}

// Drain asks clients to close their connections, and waits until no request has
// been in flight for quietPeriod or ctx ends. It returns an error only if
// requests are in flight when ctx ends. Requests that arrive meanwhile are
// answered. If the server were closed at the first moment without a request,
// requests of clients that have not noticed the drain yet would be interrupted.
func (s *Server) Drain(ctx context.Context, quietPeriod time.Duration) error {
	s.draining.Store(true)
	for !s.isQuiet(quietPeriod) {
		select {
		case <-ctx.Done():
			if s.InFlight() == 0 {
				return nil
			}
			return fmt.Errorf("drain: %d requests still in flight: %w", s.InFlight(), ctx.Err())
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}

// Close stops listening and closes every connection.
func (s *Server) Close() {
	s.watcher.close()
	s.engine.Stop()
}
