package routing

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	latencyWindow = 10 * time.Second // age up to which a measurement counts in a sample
	// maxMeasurements bounds the measurements that are kept for each service.
	maxMeasurements = 512
	// maxLatencyServices bounds the services that are measured. The requests of
	// further services are not recorded.
	maxLatencyServices = 256
)

// LatencySample summarises the requests of one service that this instance
// dispatched within latencyWindow. P50 and P99 are percentiles of the time from
// the arrival of a request at this instance to its answer. A late request
// counts with the time until its deadline passed or its dispatch failed.
type LatencySample struct {
	Count   int
	P50     time.Duration
	P99     time.Duration
	Late    int // requests among Count without an answer by their deadline
	Waiting int // requests that wait for a slot now
}

// measurement is the latency of one request.
type measurement struct {
	at   time.Time // when the latency was recorded
	took time.Duration
	late bool
}

// latencyTracker keeps the latest measurements of each service.
type latencyTracker struct {
	clock    clockwork.Clock
	mu       sync.Mutex
	services map[string]*latencySeries
}

// latencySeries is a ring buffer of the measurements of one service.
type latencySeries struct {
	ring     [maxMeasurements]measurement
	recorded int // measurements recorded so far, overwritten ones included
}

func newLatencyTracker(clock clockwork.Clock) *latencyTracker {
	return &latencyTracker{clock: clock, services: map[string]*latencySeries{}}
}

func (t *latencyTracker) observe(service string, took time.Duration, late bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	series := t.services[service]
	if series == nil {
		if len(t.services) >= maxLatencyServices {
			return
		}
		series = &latencySeries{}
		t.services[service] = series
	}
	series.ring[series.recorded%maxMeasurements] = measurement{at: t.clock.Now(), took: took, late: late}
	series.recorded++
}

// sample summarises the recent measurements of a service.
func (t *latencyTracker) sample(service string) LatencySample {
	t.mu.Lock()
	defer t.mu.Unlock()
	series := t.services[service]
	if series == nil {
		return LatencySample{}
	}
	return series.summarize(t.clock.Now().Add(-latencyWindow))
}

// summarize returns the sample of the measurements that were not recorded
// before since.
func (s *latencySeries) summarize(since time.Time) LatencySample {
	var sample LatencySample
	var durations []time.Duration
	for _, m := range s.ring[:min(s.recorded, maxMeasurements)] {
		if m.at.Before(since) {
			continue
		}
		durations = append(durations, m.took)
		if m.late {
			sample.Late++
		}
	}
	if len(durations) == 0 {
		return sample
	}
	slices.Sort(durations)
	sample.Count = len(durations)
	sample.P50 = durations[(len(durations)-1)*50/100]
	sample.P99 = durations[(len(durations)*99+99)/100-1]
	return sample
}
