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
	// proxyQueueChunks bounds what a direction holds while it is delayed or
	// frozen; beyond that the sender is held back.
	proxyQueueChunks = 64
)

// Direction is what the proxy does to the bytes that flow one way.
type Direction struct {
	// Cut discards all bytes. A connection that lost bytes is reset when the
	// cut ends, since its stream has a gap.
	Cut bool `json:"cut,omitempty"`
	// Freeze holds all bytes and delivers them when it ends.
	Freeze bool `json:"freeze,omitempty"`
	// DelayMS delays every chunk of bytes.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// ProxyFaults are the faults of a proxy.
type ProxyFaults struct {
	ToTarget Direction `json:"to_target,omitzero"`
	ToClient Direction `json:"to_client,omitzero"`
	// Refuse closes new connections at once.
	Refuse bool `json:"refuse,omitempty"`
}

// Proxy passes TCP connections to a target and injects faults.
type Proxy struct {
	target   string
	listener net.Listener
	done     chan struct{}
	loops    sync.WaitGroup

	mu      sync.Mutex
	faults  ProxyFaults
	changed chan struct{} // closed at each change of the faults
	links   map[*link]bool
}

// link is one proxied connection.
type link struct {
	client, target net.Conn
	gap            bool
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.target.Close()
}

// reset closes both ends with a TCP reset.
func (l *link) reset() {
	for _, c := range []net.Conn{l.client, l.target} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	l.close()
}

// StartProxy listens on address and passes connections to target.
func StartProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{
		target: target, listener: listener, done: make(chan struct{}),
		changed: make(chan struct{}), links: map[*link]bool{},
	}
	p.loops.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetFaults replaces the faults and resets the connections whose streams have
// a gap that would now show.
func (p *Proxy) SetFaults(f ProxyFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	healed := p.faults.ToTarget.Cut && !f.ToTarget.Cut || p.faults.ToClient.Cut && !f.ToClient.Cut
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
	for l := range p.links {
		if healed && l.gap {
			l.reset()
		}
	}
}

// Faults returns the faults that are set.
func (p *Proxy) Faults() ProxyFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.reset()
	}
}

// Links returns the number of open connections.
func (p *Proxy) Links() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// Close stops the proxy and closes all connections.
func (p *Proxy) Close() {
	close(p.done)
	_ = p.listener.Close()
	p.Reset()
	p.loops.Wait()
}

func (p *Proxy) accept() {
	defer p.loops.Done()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.Faults().Refuse {
			_ = client.Close()
			continue
		}
		p.loops.Add(1)
		go p.connect(client)
	}
}

func (p *Proxy) connect(client net.Conn) {
	defer p.loops.Done()
	target, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, target: target}
	if !p.add(l) {
		l.close()
		return
	}
	p.loops.Add(2)
	go p.pump(l, client, target, func(f ProxyFaults) Direction { return f.ToTarget })
	go p.pump(l, target, client, func(f ProxyFaults) Direction { return f.ToClient })
}

func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return false
	default:
		p.links[l] = true
		return true
	}
}

func (p *Proxy) remove(l *link) {
	l.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// chunk is a piece of a stream with the time at which it is due.
type chunk struct {
	data []byte
	due  time.Time
}

// pump reads one direction of a link into a bounded queue and delivers from
// it. The end of either side ends the link.
func (p *Proxy) pump(l *link, from, to net.Conn, direction func(ProxyFaults) Direction) {
	defer p.loops.Done()
	defer p.remove(l)
	queue := make(chan chunk, proxyQueueChunks)
	ended := make(chan struct{})
	p.loops.Add(1)
	go func() {
		defer p.loops.Done()
		defer close(ended)
		p.deliver(l, to, queue, direction)
	}()
	defer func() { <-ended }()
	defer close(queue)
	for {
		buffer := make([]byte, proxyChunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			delay := millis(direction(p.Faults()).DelayMS)
			select {
			case queue <- chunk{data: buffer[:n], due: time.Now().Add(delay)}:
			case <-ended:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes chunks when they are due, unless they are cut off or frozen.
func (p *Proxy) deliver(l *link, to net.Conn, queue <-chan chunk, direction func(ProxyFaults) Direction) {
	for c := range queue {
		if !p.wait(time.Until(c.due)) {
			return
		}
		d, ok := p.thawed(direction)
		switch {
		case !ok:
			return
		case d.Cut:
			p.markGap(l)
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

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

// thawed waits until the direction is not frozen.
func (p *Proxy) thawed(direction func(ProxyFaults) Direction) (Direction, bool) {
	for {
		p.mu.Lock()
		d, changed := direction(p.faults), p.changed
		p.mu.Unlock()
		if !d.Freeze {
			return d, true
		}
		select {
		case <-p.done:
			return d, false
		case <-changed:
		}
	}
}

func (p *Proxy) markGap(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.gap = true
}

// Handler serves POST /faults and POST /reset.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	handleFaults(mux, p.Faults, p.SetFaults)
	handlePost(mux, "/reset", p.Reset)
	return mux
}

// ArgsProxy are the options of a proxy process. Control is the address on
// which its faults are set.
type ArgsProxy struct {
	Address string
	Target  string
	Control string
}

// RunProxy runs a proxy until ctx ends or the process is told to stop.
func RunProxy(ctx context.Context, args ArgsProxy) error {
	ctx, cancel := untilSignal(ctx)
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
