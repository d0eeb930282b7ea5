// Package retry limits the retries of each cause to a share of the requests, so that they
// cannot multiply the load on an endpoint that is already failing.
package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Cause is the reason for which a request is sent again. Each cause has its own budget, so
// that many retries of one cause do not use up the budget of another.
type Cause string

// The causes of retries. Each of them proves that the request did not run.
const (
	CauseUnreachable Cause = "unreachable"
	CauseBusy        Cause = "busy"
	CauseLeaving     Cause = "leaving"
	CauseNotOwner    Cause = "not_owner"
)

// Settings holds the limits of a budget; they are the same for all causes.
type Settings struct {
	// Ratio is the number of retries that each request adds to a budget.
	Ratio float64
	// MinPerSecond is the number of retries that each second adds to a budget, so that a
	// service with few requests can retry at all.
	MinPerSecond float64
	// Burst is the largest number of retries that a budget can hold.
	Burst float64
}

// DefaultSettings returns settings that allow, for each cause, retries for 10% of the
// requests plus one retry per second, and bursts of up to 100 retries. Retries of several
// causes together can exceed 10% of the requests.
func DefaultSettings() Settings {
	return Settings{Ratio: 0.1, MinPerSecond: 1, Burst: 100}
}

// Counter counts retries. metrics.Set implements it. Budgets reports each allowed retry
// through CountRetry, and each refused one through Count with the name of a counter.
type Counter interface {
	CountRetry(cause string)
	Count(name string, n int64)
}

// Budgets holds a retry budget for each cause. It is safe for concurrent use.
type Budgets struct {
	settings Settings
	clock    clockwork.Clock
	counter  Counter
	mu       sync.Mutex
	requests float64 // number of requests recorded so far
	buckets  map[Cause]*tokenBucket
}

// tokenBucket is the budget of one cause. Each token allows one retry.
type tokenBucket struct {
	tokens          float64
	requestsCounted float64   // value of Budgets.requests at the last refill
	refilledAt      time.Time // time of the last refill
}

// New returns budgets that each start with MinPerSecond tokens, as many as one second adds.
func New(settings Settings, clock clockwork.Clock, counter Counter) *Budgets {
	return &Budgets{settings: settings, clock: clock, counter: counter, buckets: map[Cause]*tokenBucket{}}
}

// RecordRequest records one request, which adds Ratio tokens to every budget. No budget
// grows beyond Burst tokens.
func (b *Budgets) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
}

// Allow reports whether the cause's budget allows one more retry, and takes it from the
// budget if so. It counts both the allowed and the refused retries.
func (b *Budgets) Allow(cause Cause) bool {
	allowed := b.takeToken(cause)
	if allowed {
		b.counter.CountRetry(string(cause))
	} else {
		b.counter.Count("retry_refused_"+string(cause), 1)
	}
	return allowed
}

// takeToken takes one token from the cause's bucket and reports whether there was one.
func (b *Budgets) takeToken(cause Cause) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucketFor(cause)
	b.refill(bucket)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// bucketFor returns the bucket of a cause and creates it on first use. The first refill
// of a new bucket adds the tokens for all requests recorded so far. The caller holds b.mu.
func (b *Budgets) bucketFor(cause Cause) *tokenBucket {
	bucket := b.buckets[cause]
	if bucket == nil {
		bucket = &tokenBucket{tokens: b.settings.MinPerSecond, refilledAt: b.clock.Now()}
		b.buckets[cause] = bucket
	}
	return bucket
}

// refill adds the tokens for the requests and the time since the last refill. The caller
// holds b.mu.
func (b *Budgets) refill(bucket *tokenBucket) {
	now := b.clock.Now()
	bucket.tokens += b.settings.Ratio * (b.requests - bucket.requestsCounted)
	bucket.tokens += b.settings.MinPerSecond * now.Sub(bucket.refilledAt).Seconds()
	bucket.tokens = min(bucket.tokens, b.settings.Burst)
	bucket.requestsCounted = b.requests
	bucket.refilledAt = now
}
