// Package metrics holds counters, gauges and latency histograms. It publishes
// them through expvar and in the text format of Prometheus.
package metrics

import (
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotstile/structs"
)

// Parameters of the histograms: the range of values in microseconds, and the
// number of significant digits that are kept.
const (
	histogramMinUS             = 1
	histogramMaxUS             = 600_000_000
	histogramSignificantDigits = 3
)

// Set holds the metrics of one entry instance. A process may have several sets,
// as the demo does. A set appears under /debug/vars only if it is published
// there.
type Set struct {
	Refusals   expvar.Map
	Retries    expvar.Map
	Counters   expvar.Map
	Gauges     expvar.Map
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewSet returns a set without values.
func NewSet() *Set {
	s := &Set{histograms: map[string]*hdrhistogram.Histogram{}}
	s.Refusals.Init()
	s.Retries.Init()
	s.Counters.Init()
	s.Gauges.Init()
	return s
}

// CountRefusal counts a refusal with the given reason.
func (s *Set) CountRefusal(reason structs.Reason) {
	s.Refusals.Add(string(reason), 1)
}

// CountRetry counts a retry with the given cause.
func (s *Set) CountRetry(cause string) {
	s.Retries.Add(cause, 1)
}

// Count adds n to the named counter.
func (s *Set) Count(name string, n int64) {
	s.Counters.Add(name, n)
}

// Gauge sets the named gauge to a value.
func (s *Set) Gauge(name string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	s.Gauges.Set(name, v)
}

// Observe records a duration in microseconds in the named histogram. It limits
// the duration to the range of the histogram.
func (s *Set) Observe(name string, us int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histograms[name]
	if h == nil {
		h = hdrhistogram.New(histogramMinUS, histogramMaxUS, histogramSignificantDigits)
		s.histograms[name] = h
	}
	_ = h.RecordValue(min(max(us, histogramMinUS), histogramMaxUS))
}

// LatencySummary holds the number of values in a histogram and three quantiles
// in microseconds.
type LatencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
}

// Latencies returns the summaries of all histograms by name.
func (s *Set) Latencies() map[string]LatencySummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	summaries := make(map[string]LatencySummary, len(s.histograms))
	for name, h := range s.histograms {
		summaries[name] = LatencySummary{
			Count: h.TotalCount(),
			P50:   h.ValueAtQuantile(50),
			P99:   h.ValueAtQuantile(99),
			P999:  h.ValueAtQuantile(99.9),
		}
	}
	return summaries
}

// ExpvarMap returns the metrics as one expvar map, in the form in which
// /debug/vars shows them.
func (s *Set) ExpvarMap() *expvar.Map {
	root := new(expvar.Map).Init()
	root.Set("refusals", &s.Refusals)
	root.Set("retries", &s.Retries)
	root.Set("counters", &s.Counters)
	root.Set("gauges", &s.Gauges)
	root.Set("latencies", expvar.Func(func() any { return s.Latencies() }))
	return root
}
