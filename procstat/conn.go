package procstat

import (
	"net"
	"sync/atomic"
)

// CountingConn counts all bytes that are read from or written to a connection,
// including those of headers.
type CountingConn struct {
	net.Conn
	Bytes *atomic.Int64
}

// Read implements net.Conn and counts the bytes that it reads.
func (c CountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes that it writes.
func (c CountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Bytes.Add(int64(n))
	return n, err
}

// CountingListener counts the bytes that are read from or written to all
// connections that it accepts.
type CountingListener struct {
	net.Listener
	Bytes atomic.Int64
}

// Accept implements net.Listener. It returns a connection whose bytes are counted.
func (l *CountingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return CountingConn{Conn: conn, Bytes: &l.Bytes}, err
}
