package coordinator

import "sync"

// tokenIssuer issues the generations of the fencing tokens of a term. Its zero value is ready
// for use.
type tokenIssuer struct {
	mu       sync.Mutex
	last     uint64
	byRunner map[string]issuedTokens
}

// issuedTokens tells which generations were issued for one runner.
type issuedTokens struct {
	newest uint64
	count  int
}

// nextGeneration returns a generation for calls to a runner that is higher than all before.
func (t *tokenIssuer) nextGeneration(runnerID string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRunner == nil {
		t.byRunner = map[string]issuedTokens{}
	}
	t.last++
	t.byRunner[runnerID] = issuedTokens{t.last, t.byRunner[runnerID].count + 1}
	return t.last
}

// newest returns the newest generation for a runner.
func (t *tokenIssuer) newest(runnerID string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byRunner[runnerID].newest
}

// hasIssuedBefore reports whether a generation was issued for a runner before the newest one.
func (t *tokenIssuer) hasIssuedBefore(runnerID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byRunner[runnerID].count > 1
}
