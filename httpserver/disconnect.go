package httpserver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// disconnectPoll is how often connections with a request in flight are looked
// at. nbhttp runs its close callback only after the handler has returned, so a
// closed connection has to be found by asking.
const disconnectPoll = 50 * time.Millisecond

// connection tells whether a client has disconnected.
type connection interface {
	IsClosed() (bool, error)
}

// disconnectWatch ends the contexts of requests whose client disconnected.
type disconnectWatch struct {
	mu       sync.Mutex
	requests map[*context.CancelFunc]connection
	stop     chan struct{}
	stopOnce sync.Once
}

func newDisconnectWatch() *disconnectWatch {
	return &disconnectWatch{requests: map[*context.CancelFunc]connection{}, stop: make(chan struct{})}
}

// enter returns the context of a request and what must be called at its end.
func (d *disconnectWatch) enter(parent context.Context, w http.ResponseWriter) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	conn := connectionOf(w)
	if conn == nil {
		return ctx, cancel
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests[&cancel] = conn
	return ctx, func() { d.leave(&cancel) }
}

// connectionOf returns the connection of a request, or nil if it cannot tell
// whether it is closed.
func connectionOf(w http.ResponseWriter) connection {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return nil
	}
	conn := response.Parser.Conn
	if wrapped, ok := conn.(*nbhttp.Conn); ok {
		conn = wrapped.Conn
	}
	c, _ := conn.(connection)
	return c
}

func (d *disconnectWatch) leave(cancel *context.CancelFunc) {
	(*cancel)()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.requests, cancel)
}

func (d *disconnectWatch) serve() {
	ticker := time.NewTicker(disconnectPoll)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
			d.poll()
		}
	}
}

func (d *disconnectWatch) poll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for cancel, conn := range d.requests {
		if closed, _ := conn.IsClosed(); closed {
			(*cancel)()
		}
	}
}

func (d *disconnectWatch) close() {
	d.stopOnce.Do(func() { close(d.stop) })
}
