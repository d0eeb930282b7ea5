// Package httpserver runs an http.Handler on nbhttp and drains it without
// cutting off a request.
package httpserver

import (
	"context"
	"fmt"
	"net/http"
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
	engine   *nbhttp.Engine
	inFlight atomic.Int64
	draining atomic.Bool
}

// Start listens on address and serves handler until Close.
func Start(address string, handler http.Handler) (*Server, error) {
	s := &Server{}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:         "tcp",
		Addrs:           []string{address},
		MaxHTTPBodySize: MaxBodyBytes,
		ReadLimit:       readLimitBytes,
		KeepaliveTime:   keepaliveTime,
		Handler:         s.track(handler),
	})
	if err := startEngine(s.engine, address); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return s, nil
}

// track counts requests in flight. While draining, it asks clients to open
// their next connection elsewhere.
func (s *Server) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
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

// Drain asks clients to move away and waits until no request is in flight or
// ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	for s.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain: %d requests still in flight: %w", s.InFlight(), ctx.Err())
		case <-time.After(drainPoll):
		}
	}
	return nil
}

// Close stops listening and closes every connection.
func (s *Server) Close() {
	s.engine.Stop()
}
