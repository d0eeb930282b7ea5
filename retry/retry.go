// Package retry limits retries to a share of the requests, so that retries
// cannot multiply the load on an endpoint that is already failing.
package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Cause tells why a request is sent again. Each cause has a budget of its own,
// so that a wave of one cause leaves the retries of the others alone.
type Cause string

// The causes of retries. All of them prove that the request did not run.
const (
	CauseUnreachable Cause = "unreachable"
	CauseBusy        Cause = "busy"
	CauseLeaving     Cause = "leaving"
	CauseNotOwner    Cause = "not_owner"
)

// Settings are the limits of every budget.
type Settings struct {
	// Ratio is the number of retries that each request adds to a budget.
	Ratio float64
	// MinPerSecond is added to a budget in each second, so that a service with
	// few requests can retry at all.
	MinPerSecond float64
	// Burst is the most that a budget holds.
	Burst float64
}

// DefaultSettings allows retries for 10% of requests.
func DefaultSettings() Settings {
	return Settings{Ratio: 0.1, MinPerSecond: 1, Burst: 100}
}

// Counter counts retries by cause.
type Counter interface {
	Retried(cause string)
	Count(name string, n int64)
}

// Budgets is a budget for each cause, safe for concurrent use.
type Budgets struct {
	settings Settings
	clock    clockwork.Clock
	counter  Counter
	mu       sync.Mutex
	requests float64
	budgets  map[Cause]*budget
}

type budget struct {
	tokens       float64
	requestsSeen float64
	refilled     time.Time
}

// New returns budgets that start with one second's minimum.
func New(settings Settings, clock clockwork.Clock, counter Counter) *Budgets {
	return &Budgets{settings: settings, clock: clock, counter: counter, budgets: map[Cause]*budget{}}
}

// Request records one request, which adds to every budget.
func (b *Budgets) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
}

// Allow takes one retry from the cause's budget and reports whether there was
// one. Both results are counted.
func (b *Budgets) Allow(cause Cause) bool {
	allowed := b.take(cause)
	if allowed {
		b.counter.Retried(string(cause))
	} else {
		b.counter.Count("retry_refused_"+string(cause), 1)
	}
	return allowed
}

func (b *Budgets) take(cause Cause) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.budget(cause)
	b.refill(g)
	if g.tokens < 1 {
		return false
	}
	g.tokens--
	return true
}

func (b *Budgets) budget(cause Cause) *budget {
	g := b.budgets[cause]
	if g == nil {
		g = &budget{tokens: b.settings.MinPerSecond, refilled: b.clock.Now()}
		b.budgets[cause] = g
	}
	return g
}

func (b *Budgets) refill(g *budget) {
	now := b.clock.Now()
	g.tokens += b.settings.Ratio * (b.requests - g.requestsSeen)
	g.tokens += b.settings.MinPerSecond * now.Sub(g.refilled).Seconds()
	g.tokens = min(g.tokens, b.settings.Burst)
	g.requestsSeen = b.requests
	g.refilled = now
}
