package routing

import "sync"

// forwardCounts bounds the requests forwarded to each peer at once.
type forwardCounts struct {
	limit int
	mu    sync.Mutex
	peers map[string]int
}

func newForwardCounts(limit int) *forwardCounts {
	return &forwardCounts{limit: limit, peers: map[string]int{}}
}

// enter reports whether one more request may be forwarded to the peer.
func (f *forwardCounts) enter(peer string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers[peer] >= f.limit {
		return false
	}
	f.peers[peer]++
	return true
}

func (f *forwardCounts) leave(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers[peer]--; f.peers[peer] == 0 {
		delete(f.peers, peer)
	}
}
