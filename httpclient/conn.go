package httpclient

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection was given up after an earlier call")

// conn counts what is written for the call that uses it and can be sealed
// against further writes.
type conn struct {
	net.Conn
	// inUse is held by a call until its answer is accepted. The transport may
	// hand the connection to the next call as soon as the body was read; that
	// call then waits for the verdict on the one before.
	inUse sync.Mutex

	mu      sync.Mutex
	sealed  bool
	writing bool
	written int64
}

// begin starts the count for a new call.
func (c *conn) begin() {
	c.inUse.Lock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = 0
}

// Write refuses to write once the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	if !c.startWrite() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written += int64(n)
	return n, err
}

func (c *conn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writing = true
	return true
}

// seal closes the connection for good and reports whether a byte of the
// present call was or may have been written.
func (c *conn) seal() bool {
	c.mu.Lock()
	sent := c.writing || c.written > 0
	c.sealed = true
	c.mu.Unlock()
	_ = c.Conn.Close()
	return sent
}

// use is the connection that one call was given, if any. The transport gives
// it in the goroutine of the call.
type use struct {
	conn *conn
	// given is set once there was a connection.
	given bool
}

// withTrace returns a context that records the connection of the call.
func (u *use) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: u.got})
}

// got takes a connection into use. The transport gives a second one only if
// nothing was written on the first.
func (u *use) got(info httptrace.GotConnInfo) {
	u.end()
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	c.begin()
	u.conn, u.given = c, true
}

// abandon seals the connection and reports whether a byte of the request was
// or may have been written. Without a connection nothing was.
func (u *use) abandon() bool {
	return u.conn != nil && u.conn.seal()
}

// passedOver reports whether the call failed because its connection was closed
// before a byte of the request was written.
func (u *use) passedOver(err error) bool {
	var call *CallError
	return u.given && errors.As(err, &call) && !call.Sent
}

// end lets the next call use the connection.
func (u *use) end() {
	if u.conn == nil {
		return
	}
	u.conn.inUse.Unlock()
	u.conn = nil
}
