package procstat

import (
	"net"
	"sync/atomic"
)

// Conn counts the bytes of a connection in both directions, headers included.
type Conn struct {
	net.Conn
	Bytes *atomic.Int64
}

// Read counts what it reads.
func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Bytes.Add(int64(n))
	return n, err
}

// Listener counts the bytes of all connections that it accepts.
type Listener struct {
	net.Listener
	Bytes atomic.Int64
}

// Accept returns the next connection, counted.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return Conn{Conn: conn, Bytes: &l.Bytes}, err
}
