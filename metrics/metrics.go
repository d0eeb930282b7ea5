// Package metrics publishes counters over expvar and latency histograms.
package metrics

import (
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotstile/structs"
)

// Histogram bounds in microseconds, with three significant digits.
const (
	histogramMinUS  = 1
	histogramMaxUS  = 600_000_000
	histogramDigits = 3
)

// Set is the metrics of one entry instance. A process may hold several, as the
// demo does; only a set that is published appears under /debug/vars.
type Set struct {
	Refusals   expvar.Map
	Retries    expvar.Map
	Counters   expvar.Map
	Gauges     expvar.Map
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewSet returns an empty set.
func NewSet() *Set {
	s := &Set{histograms: map[string]*hdrhistogram.Histogram{}}
	s.Refusals.Init()
	s.Retries.Init()
	s.Counters.Init()
	s.Gauges.Init()
	return s
}

// Refused counts a refusal by its reason.
func (s *Set) Refused(reason structs.Reason) {
	s.Refusals.Add(string(reason), 1)
}

// Retried counts a retry by its cause.
func (s *Set) Retried(cause string) {
	s.Retries.Add(cause, 1)
}

// Count adds n to a counter.
func (s *Set) Count(name string, n int64) {
	s.Counters.Add(name, n)
}

// Gauge sets a gauge.
func (s *Set) Gauge(name string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	s.Gauges.Set(name, v)
}

// Observe records a duration in microseconds in the named histogram.
func (s *Set) Observe(name string, us int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histograms[name]
	if h == nil {
		h = hdrhistogram.New(histogramMinUS, histogramMaxUS, histogramDigits)
		s.histograms[name] = h
	}
	_ = h.RecordValue(min(max(us, histogramMinUS), histogramMaxUS))
}

// Quantiles summarises one histogram, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
}

// Latencies returns a summary of each histogram.
func (s *Set) Latencies() map[string]Quantiles {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Quantiles, len(s.histograms))
	for name, h := range s.histograms {
		out[name] = Quantiles{
			Count: h.TotalCount(),
			P50:   h.ValueAtQuantile(50),
			P99:   h.ValueAtQuantile(99),
			P999:  h.ValueAtQuantile(99.9),
		}
	}
	return out
}

// Root returns the set as one expvar map for /debug/vars.
func (s *Set) Root() *expvar.Map {
	root := new(expvar.Map).Init()
	root.Set("refusals", &s.Refusals)
	root.Set("retries", &s.Retries)
	root.Set("counters", &s.Counters)
	root.Set("gauges", &s.Gauges)
	root.Set("latencies", expvar.Func(func() any { return s.Latencies() }))
	return root
}
