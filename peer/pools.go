package peer

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// unusedPoolTime is how long the pool of a peer that is not called is kept. Instances are
// replaced at new addresses, so pools would otherwise become more and more.
const unusedPoolTime = 5 * time.Minute

// connectionPools is an http.RoundTripper with a pool of connections for each peer, so that
// the connections to one peer can be closed without those to the others.
type connectionPools struct {
	mu    sync.Mutex
	pools map[string]*connectionPool // by address
}

// connectionPool holds the connections to one peer.
type connectionPool struct {
	transport *http.Transport
	lastUsed  time.Time
}

// RoundTrip implements http.RoundTripper.
func (c *connectionPools) RoundTrip(req *http.Request) (*http.Response, error) {
	return c.transportFor(req.URL.Host, time.Now()).RoundTrip(req)
}

// transportFor returns the transport for calls to a peer. When it creates one, it removes
// those that have not been used for unusedPoolTime.
func (c *connectionPools) transportFor(address string, now time.Time) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.pools[address]
	if pool == nil {
		c.removeUnused(now)
		pool = &connectionPool{transport: newTransport()}
		c.pools[address] = pool
	}
	pool.lastUsed = now
	return pool.transport
}

// removeUnused removes the pools that have not been used for unusedPoolTime.
func (c *connectionPools) removeUnused(now time.Time) {
	for address, pool := range c.pools {
		if now.Sub(pool.lastUsed) >= unusedPoolTime {
			pool.transport.CloseIdleConnections()
			delete(c.pools, address)
		}
	}
}

// closeUnusedTo closes the connections to a peer that no call uses at present.
func (c *connectionPools) closeUnusedTo(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pool := c.pools[address]; pool != nil {
		pool.transport.CloseIdleConnections()
	}
}

// CloseIdleConnections closes the connections to all peers that no call uses at present. It
// is called by http.Client.CloseIdleConnections.
func (c *connectionPools) CloseIdleConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.pools {
		pool.transport.CloseIdleConnections()
	}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConnsPerPeer,
		MaxIdleConnsPerHost: maxConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
	}
}
