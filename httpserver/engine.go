package httpserver

import (
	"net"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

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
