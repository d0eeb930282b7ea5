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

// pollerStartTime bounds the wait for an engine's poller.
const pollerStartTime = 5 * time.Second

// watchReads orders the accept of a connection before each read from it in terms of
// the Go memory model. nbio orders them only by epoll_ctl, which the race detector
// does not see, so it reports the connection's address. The returned channel is
// closed at the first read.
func watchReads(engine *nbhttp.Engine) <-chan struct{} {
	var opened atomic.Int64
	var once sync.Once
	read := make(chan struct{})
	engine.OnOpen(func(net.Conn) { opened.Add(1) })
	engine.OnReadBufferAlloc(func(c *nbio.Conn) *[]byte {
		opened.Load()
		once.Do(func() { close(read) })
		return engine.PollerBufferPtr(c)
	})
	return read
}

// awaitPoller returns once the engine's listener and its one poller run. They miss a
// stop that comes before (nbio 1.6.8), and the engine would never end. A connection
// that is closed at once makes the poller read.
func awaitPoller(address string, read <-chan struct{}) error {
	conn, err := net.DialTimeout("tcp", address, pollerStartTime)
	if err != nil {
		return fmt.Errorf("reach the server's own address: %w", err)
	}
	_ = conn.Close()
	select {
	case <-read:
		return nil
	case <-time.After(pollerStartTime):
		return errors.New("the poller does not run")
	}
}
