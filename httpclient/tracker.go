package httpclient

import "sync"

// connTracker holds the open connections of a client by the address of the server.
type connTracker struct {
	mu    sync.Mutex
	conns map[string]map[*conn]struct{}
}

func (t *connTracker) add(address string, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = map[string]map[*conn]struct{}{}
	}
	if t.conns[address] == nil {
		t.conns[address] = map[*conn]struct{}{}
	}
	t.conns[address][c] = struct{}{}
}

func (t *connTracker) remove(address string, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns[address], c)
	if len(t.conns[address]) == 0 {
		delete(t.conns, address)
	}
}

// discardUnused discards the connections to a server that no call uses at present.
func (t *connTracker) discardUnused(address string) {
	t.mu.Lock()
	var conns []*conn
	for c := range t.conns[address] {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		if c.inUse.TryLock() {
			c.discard()
			c.inUse.Unlock()
		}
	}
}
