package httpclient

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errDiscarded = errors.New("connection was given up after an earlier call")

// conn counts the bytes that the current call writes. Once it is discarded, no
// further bytes can be written.
type conn struct {
	net.Conn
	address string // of the server, as it was dialled
	tracker *connTracker
	// inUse is held by a call until its answer is accepted or rejected. The
	// transport may give the connection to the next call as soon as the body of
	// the answer is read. The next call then waits for that decision.
	inUse sync.Mutex

	mu              sync.Mutex
	discarded       bool
	writeInProgress bool
	writtenBytes    int64
}

// lockForCall waits until the previous call has released the connection, and
// resets the count of written bytes for a new call.
func (c *conn) lockForCall() {
	c.inUse.Lock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writtenBytes = 0
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.tracker.remove(c.address, c)
	return c.Conn.Close()
}

// Write implements net.Conn. It fails once the connection is discarded.
func (c *conn) Write(b []byte) (int, error) {
	if !c.startWrite() {
		return 0, errDiscarded
	}
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeInProgress = false
	c.writtenBytes += int64(n)
	return n, err
}

func (c *conn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discarded {
		return false
	}
	c.writeInProgress = true
	return true
}

// discard closes the connection, prevents further writes and reports whether a
// byte of the current call was or may have been written.
func (c *conn) discard() bool {
	c.mu.Lock()
	sent := c.writeInProgress || c.writtenBytes > 0
	c.discarded = true
	c.mu.Unlock()
	_ = c.Close()
	return sent
}

// callConn holds the connection that the transport gave to one call, if any. The
// transport calls acquire in the goroutine of the call.
type callConn struct {
	conn *conn
	// hadConn is set once the transport has given the call a connection.
	hadConn bool
}

// withTrace returns a context with which the transport reports the connection of
// the call to acquire.
func (cc *callConn) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: cc.acquire})
}

// acquire releases the call's previous connection, if any, and takes a new one.
// The transport gives a call a second connection only if nothing was written on
// the first.
func (cc *callConn) acquire(info httptrace.GotConnInfo) {
	cc.release()
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	c.lockForCall()
	cc.conn, cc.hadConn = c, true
}

// discard discards the connection and reports whether a byte of the request was
// or may have been written. It returns false if the call has no connection.
func (cc *callConn) discard() bool {
	return cc.conn != nil && cc.conn.discard()
}

// discardAfterFailure discards the connection like discard after the call has failed with
// err. If an answer may have been lost, it also discards the unused connections to the same
// server: what made one connection fail often made the others fail as well, and each would
// cost a later call its timeout. A call that its caller has cancelled says nothing about them.
func (cc *callConn) discardAfterFailure(err error) bool {
	sent := cc.discard()
	if sent && !errors.Is(err, context.Canceled) {
		cc.conn.tracker.discardUnused(cc.conn.address)
	}
	return sent
}

// failedUnsent reports whether the call failed because its connection was closed
// before a byte of the request was written.
func (cc *callConn) failedUnsent(err error) bool {
	var callErr *CallError
	return cc.hadConn && errors.As(err, &callErr) && !callErr.Sent
}

// release allows the next call to use the connection.
func (cc *callConn) release() {
	if cc.conn == nil {
		return
	}
	cc.conn.inUse.Unlock()
	cc.conn = nil
}
