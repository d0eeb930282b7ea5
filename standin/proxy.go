package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bergamotstile/httpserver"
)

// Limits of the proxy.
const (
	proxyDialTimeout = time.Second
	proxyChunkBytes  = 16 << 10
	// proxyQueueChunks bounds the chunks that are queued in one direction of a
	// connection while it is delayed or frozen. When the queue is full, the
	// proxy stops reading from the sender.
	proxyQueueChunks = 64
)

// DirectionFaults are the faults that the proxy injects into the bytes that flow
// in one direction.
type DirectionFaults struct {
	// Cut discards all bytes. When the cut ends, each connection that lost bytes
	// is reset, since its stream has a gap.
	Cut bool `json:"cut,omitempty"`
	// Freeze holds all bytes back and delivers them when the freeze ends.
	Freeze bool `json:"freeze,omitempty"`
	// DelayMS delays every chunk of bytes by this many milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// ProxyFaults are the faults that a proxy injects.
type ProxyFaults struct {
	ToTarget DirectionFaults `json:"to_target,omitzero"`
	ToClient DirectionFaults `json:"to_client,omitzero"`
	// Refuse closes each new connection immediately after accepting it.
	Refuse bool `json:"refuse,omitempty"`
}

// Proxy forwards TCP connections to a target and injects faults.
type Proxy struct {
	target     string
	listener   net.Listener
	done       chan struct{}
	goroutines sync.WaitGroup

	mu            sync.Mutex
	faults        ProxyFaults
	faultsChanged chan struct{} // closed at each change of the faults
	conns         map[*proxiedConn]bool
}

// proxiedConn is one proxied connection: the client's connection to the proxy
// and the proxy's connection to the target. hasGap is set once a cut has
// discarded bytes of it, and isSilent once it delivers nothing any more.
type proxiedConn struct {
	client, target net.Conn
	hasGap         bool
	isSilent       bool
}

func (c *proxiedConn) close() {
	_ = c.client.Close()
	_ = c.target.Close()
}

// reset closes both ends with a TCP reset.
func (c *proxiedConn) reset() {
	for _, end := range []net.Conn{c.client, c.target} {
		if tcpConn, ok := end.(*net.TCPConn); ok {
			_ = tcpConn.SetLinger(0)
		}
	}
	c.close()
}

// StartProxy listens on address and forwards connections to target.
func StartProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{
		target: target, listener: listener, done: make(chan struct{}),
		faultsChanged: make(chan struct{}), conns: map[*proxiedConn]bool{},
	}
	p.goroutines.Add(1)
	go p.acceptConnections()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetFaults replaces the faults. If a cut ends, it resets the connections that
// lost bytes, since the receiver would otherwise read a stream with a gap.
func (p *Proxy) SetFaults(f ProxyFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutEnded := p.faults.ToTarget.Cut && !f.ToTarget.Cut || p.faults.ToClient.Cut && !f.ToClient.Cut
	p.faults = f
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
	for conn := range p.conns {
		if cutEnded && conn.hasGap {
			conn.reset()
		}
	}
}

// Faults returns the faults that the proxy injects.
func (p *Proxy) Faults() ProxyFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.reset()
	}
}

// Silence makes all open connections go silent for good: they stay open and deliver
// nothing, while new connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.isSilent = true
	}
}

// OpenConnections returns the number of connections that are forwarded now.
func (p *Proxy) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close stops the proxy and closes all connections.
func (p *Proxy) Close() {
	close(p.done)
	_ = p.listener.Close()
	p.Reset()
	p.goroutines.Wait()
}

func (p *Proxy) acceptConnections() {
	defer p.goroutines.Done()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.Faults().Refuse {
			_ = client.Close()
			continue
		}
		p.goroutines.Add(1)
		go p.connect(client)
	}
}

func (p *Proxy) connect(client net.Conn) {
	defer p.goroutines.Done()
	target, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &proxiedConn{client: client, target: target}
	if !p.add(conn) {
		conn.close()
		return
	}
	p.goroutines.Add(2)
	go p.forward(conn, client, target, func(f ProxyFaults) DirectionFaults { return f.ToTarget })
	go p.forward(conn, target, client, func(f ProxyFaults) DirectionFaults { return f.ToClient })
}

// add registers a connection. It returns false if the proxy was closed.
func (p *Proxy) add(conn *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return false
	default:
		p.conns[conn] = true
		return true
	}
}

func (p *Proxy) remove(conn *proxiedConn) {
	conn.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// chunk is a piece of a stream and the earliest time at which it is delivered.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// forward reads one direction of a connection into a bounded queue, from which
// another goroutine delivers. When the stream ends, it waits until the queued
// chunks are delivered and closes both sides of the connection. It also closes
// them when it has read more bytes after the delivery ended.
func (p *Proxy) forward(conn *proxiedConn, from, to net.Conn, direction func(ProxyFaults) DirectionFaults) {
	defer p.goroutines.Done()
	defer p.remove(conn)
	queue := make(chan chunk, proxyQueueChunks)
	deliveryEnded := make(chan struct{})
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		defer close(deliveryEnded)
		p.deliver(conn, to, queue, direction)
	}()
	defer func() { <-deliveryEnded }()
	defer close(queue)
	for {
		buffer := make([]byte, proxyChunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			delay := millis(direction(p.Faults()).DelayMS)
			select {
			case queue <- chunk{data: buffer[:n], deliverAt: time.Now().Add(delay)}:
			case <-deliveryEnded:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes each chunk at its delivery time or, in a frozen direction, when
// the freeze has ended. In a direction that is cut, it discards the chunk.
func (p *Proxy) deliver(conn *proxiedConn, to net.Conn, queue <-chan chunk, direction func(ProxyFaults) DirectionFaults) {
	for next := range queue {
		if !p.wait(time.Until(next.deliverAt)) {
			return
		}
		faults, ok := p.waitUntilUnfrozen(direction)
		switch {
		case !ok:
			return
		case p.isSilent(conn):
			continue
		case faults.Cut:
			p.markGap(conn)
			continue
		}
		if _, err := to.Write(next.data); err != nil {
			return
		}
	}
}

// wait waits for d. It returns false if the proxy was closed in the meantime.
func (p *Proxy) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-p.done:
		return false
	case <-time.After(d):
		return true
	}
}

// waitUntilUnfrozen waits until the direction is not frozen and returns its
// faults. It returns false if the proxy was closed in the meantime.
func (p *Proxy) waitUntilUnfrozen(direction func(ProxyFaults) DirectionFaults) (DirectionFaults, bool) {
	for {
		p.mu.Lock()
		faults, changed := direction(p.faults), p.faultsChanged
		p.mu.Unlock()
		if !faults.Freeze {
			return faults, true
		}
		select {
		case <-p.done:
			return faults, false
		case <-changed:
		}
	}
}

func (p *Proxy) isSilent(conn *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return conn.isSilent
}

func (p *Proxy) markGap(conn *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.hasGap = true
}

// Handler serves GET and POST /faults, POST /reset and POST /silence.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	handleFaults(mux, p.Faults, p.SetFaults)
	handlePost(mux, "/reset", p.Reset)
	handlePost(mux, "/silence", p.Silence)
	return mux
}

// ProxyArgs are the options of a proxy process. Address is the address on which
// it accepts connections, Target the address to which it forwards them, and
// Control the address of the HTTP API that sets its faults.
type ProxyArgs struct {
	Address string
	Target  string
	Control string
}

// RunProxy runs a proxy until ctx ends or the process receives SIGINT or SIGTERM.
func RunProxy(ctx context.Context, args ProxyArgs) error {
	ctx, cancel := contextUntilSignal(ctx)
	defer cancel()
	if args.Control == "" {
		return errors.New("proxy: no control address")
	}
	p, err := StartProxy(args.Address, args.Target)
	if err != nil {
		return err
	}
	defer p.Close()
	control, err := httpserver.Start(args.Control, p.Handler())
	if err != nil {
		return err
	}
	defer control.Close()
	<-ctx.Done()
	return nil
}
