package routing

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// latencyWindow is how far back a sample looks.
	latencyWindow = 10 * time.Second
	// latencyRing bounds the measurements kept for each service.
	latencyRing = 512
	// maxLatencyServices bounds the services that are measured.
	maxLatencyServices = 256
)

// LatencySample summarises the requests of one service that this instance
// dispatched recently. Times run from arrival at the owner to the answer.
type LatencySample struct {
	Count   int
	P50     time.Duration
	P99     time.Duration
	Late    int // requests among Count that missed their deadline
	Waiting int // requests in the queue now
}

type measurement struct {
	at   time.Time
	took time.Duration
	late bool
}

type latencies struct {
	clock    clockwork.Clock
	mu       sync.Mutex
	services map[string]*latencySeries
}

type latencySeries struct {
	ring [latencyRing]measurement
	next int
}

func newLatencies(clock clockwork.Clock) *latencies {
	return &latencies{clock: clock, services: map[string]*latencySeries{}}
}

func (l *latencies) observe(service string, took time.Duration, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[service]
	if s == nil {
		if len(l.services) >= maxLatencyServices {
			return
		}
		s = &latencySeries{}
		l.services[service] = s
	}
	s.ring[s.next%latencyRing] = measurement{at: l.clock.Now(), took: took, late: late}
	s.next++
}

func (l *latencies) sample(service string) LatencySample {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[service]
	if s == nil {
		return LatencySample{}
	}
	return s.summary(l.clock.Now().Add(-latencyWindow))
}

func (s *latencySeries) summary(since time.Time) LatencySample {
	var out LatencySample
	var took []time.Duration
	for _, m := range s.ring[:min(s.next, latencyRing)] {
		if m.at.Before(since) {
			continue
		}
		took = append(took, m.took)
		if m.late {
			out.Late++
		}
	}
	if len(took) == 0 {
		return out
	}
	slices.Sort(took)
	out.Count = len(took)
	out.P50 = took[(len(took)-1)*50/100]
	out.P99 = took[(len(took)*99+99)/100-1]
	return out
}
