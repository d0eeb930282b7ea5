package httpserver

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// pollerStartTimeout is the longest time that awaitPoller waits for the poller
// of an engine to run.
const pollerStartTimeout = 5 * time.Second

// signalFirstRead returns a channel that is closed when the engine reads from a
// connection for the first time. It also orders the accept of a connection before
// each read from it in terms of the Go memory model. nbio orders them only by
// epoll_ctl, which the race detector does not see. The detector would therefore
// report a data race on the address of the connection.
func signalFirstRead(engine *nbhttp.Engine) <-chan struct{} {
	var opened atomic.Int64
	var once sync.Once
	firstRead := make(chan struct{})
	engine.OnOpen(func(net.Conn) { opened.Add(1) })
	engine.OnReadBufferAlloc(func(c *nbio.Conn) *[]byte {
		opened.Load()
		once.Do(func() { close(firstRead) })
		return engine.PollerBufferPtr(c)
	})
	return firstRead
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
