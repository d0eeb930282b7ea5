package routing

import "sync"

// forwardLimiter bounds the number of requests that are being forwarded to each
// peer.
type forwardLimiter struct {
	limit    int // for each peer
	mu       sync.Mutex
	inFlight map[string]int // requests by name of the peer
}

func newForwardLimiter(limit int) *forwardLimiter {
	return &forwardLimiter{limit: limit, inFlight: map[string]int{}}
}

// tryAcquire registers one more request to the peer and reports whether the
// limit allows it. Each registered request must be followed by release.
func (f *forwardLimiter) tryAcquire(peer string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight[peer] >= f.limit {
		return false
	}
	f.inFlight[peer]++
	return true
}

func (f *forwardLimiter) release(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight[peer]--; f.inFlight[peer] == 0 {
		delete(f.inFlight, peer)
	}
}
