package httpserver

import (
	"net"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// startEngine starts an engine on an address. It listens first, since nbio
// starts its pollers before it listens and may hang when it stops them again:
// a poller that is told to stop before its goroutine runs forgets it.
func startEngine(engine *nbhttp.Engine, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	engine.Listen = func(string, string) (net.Listener, error) { return listener, nil }
	orderAcceptBeforeRead(engine)
	return engine.Start()
}

// orderAcceptBeforeRead orders the accept of a connection before each read from
// it in terms of the Go memory model. nbio orders them only by epoll_ctl, which
// the race detector does not see, so it reports the connection's address.
func orderAcceptBeforeRead(engine *nbhttp.Engine) {
	var opened atomic.Int64
	engine.OnOpen(func(net.Conn) { opened.Add(1) })
	engine.OnReadBufferAlloc(func(c *nbio.Conn) *[]byte {
		opened.Load()
		return engine.PollerBufferPtr(c)
	})
}
