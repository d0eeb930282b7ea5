package httpserver

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// pollerStartTimeout is the longest time that awaitPoller waits for the poller
// of an engine to run.
const pollerStartTimeout = 5 * time.Second

// guardConnections puts a guard in front of the parser of each connection. It returns a
// channel that is closed when the engine reads from a connection for the first time. The
// lock of the account also orders the accept of a connection before each read from it in
// terms of the Go memory model. nbio orders them only by epoll_ctl, which the race detector
// does not see. The detector would therefore report a data race on the address of the
// connection.
func (s *Server) guardConnections() <-chan struct{} {
	var once sync.Once
	firstRead := make(chan struct{})
	// nbio calls this after nbhttp has set the parser and before the poller knows the
	// connection, so that nothing else uses the parser yet.
	s.engine.Engine.OnOpen(func(c *nbio.Conn) {
		if parser, ok := c.Session().(*nbhttp.Parser); ok {
			s.account.open(s, c, parser)
		}
	})
	s.engine.OnClose(func(conn net.Conn, _ error) {
		if c, ok := conn.(*nbio.Conn); ok {
			s.account.forget(c)
		}
	})
	s.engine.OnRead(func(c *nbio.Conn) {
		once.Do(func() { close(firstRead) })
		if g := s.account.guardOf(c); g != nil {
			g.pump()
		}
	})
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if g := s.account.guardOf(c); g != nil {
			g.written(n)
		}
	})
	return firstRead
}

// sweepConnections checks the time limits of connections until the server is closed.
func (s *Server) sweepConnections() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.watcher.stop:
			return
		case now := <-ticker.C:
			s.account.sweep(s, now)
		}
	}
}

// awaitPoller waits until the engine's listener and its only poller run. A stop
// before that has no effect on them (nbio 1.6.8), and the engine would never end.
// awaitPoller opens a connection and closes it at once, which makes the poller
// read.
func awaitPoller(address string, firstRead <-chan struct{}) error {
	conn, err := net.DialTimeout("tcp", address, pollerStartTimeout)
	if err != nil {
		return fmt.Errorf("connect to the server's own address: %w", err)
	}
	_ = conn.Close()
	select {
	case <-firstRead:
		return nil
	case <-time.After(pollerStartTimeout):
		return errors.New("the poller did not start in time")
	}
}
