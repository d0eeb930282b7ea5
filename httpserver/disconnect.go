package httpserver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// disconnectPollInterval is the interval at which connections with a request in
// flight are checked. nbhttp calls its close callback only after the handler has
// returned, so closed connections can be found only by polling.
const disconnectPollInterval = 50 * time.Millisecond

// connection reports whether the client has disconnected.
type connection interface {
	IsClosed() (bool, error)
}

// disconnectWatcher cancels the contexts of requests whose client disconnected.
type disconnectWatcher struct {
	mu          sync.Mutex
	connections map[*context.CancelFunc]connection
	stop        chan struct{}
	stopOnce    sync.Once
}

func newDisconnectWatcher() *disconnectWatcher {
	return &disconnectWatcher{connections: map[*context.CancelFunc]connection{}, stop: make(chan struct{})}
}

// register returns a context that ends when the client of the request
// disconnects, and a function that the handler must call when it returns.
func (d *disconnectWatcher) register(parent context.Context, w http.ResponseWriter) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	conn := connectionOf(w)
	if conn == nil {
		return ctx, cancel
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connections[&cancel] = conn
	return ctx, func() { d.unregister(&cancel) }
}

// connectionOf returns the connection of a request, or nil if the connection
// does not report whether it is closed.
func connectionOf(w http.ResponseWriter) connection {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return nil
	}
	conn := response.Parser.Conn
	if counted, ok := conn.(*countedConn); ok {
		conn = counted.Conn
	}
	if wrapped, ok := conn.(*nbhttp.Conn); ok {
		conn = wrapped.Conn
	}
	c, _ := conn.(connection)
	return c
}

func (d *disconnectWatcher) unregister(cancel *context.CancelFunc) {
	(*cancel)()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.connections, cancel)
}

func (d *disconnectWatcher) run() {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
			d.cancelDisconnected()
		}
	}
}

func (d *disconnectWatcher) cancelDisconnected() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for cancel, conn := range d.connections {
		if closed, _ := conn.IsClosed(); closed {
			(*cancel)()
		}
	}
}

func (d *disconnectWatcher) close() {
	d.stopOnce.Do(func() { close(d.stop) })
}
