package metrics

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// namePrefix begins the name of every exported metric.
const namePrefix = "bergamotstile_"

// TextHandler serves the set in the text format of Prometheus. Latencies are
// summaries in seconds.
func (s *Set) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		s.WriteText(w)
	})
}

// WriteText writes the set in the text format of Prometheus.
func (s *Set) WriteText(w io.Writer) {
	writeLabelled(w, "refusals_total", "reason", &s.Refusals)
	writeLabelled(w, "retries_total", "cause", &s.Retries)
	s.Counters.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(w, "%s%s_total %s\n", namePrefix, metricName(kv.Key), kv.Value)
	})
	s.Gauges.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(w, "%s%s %s\n", namePrefix, metricName(kv.Key), kv.Value)
	})
	latencies := s.Latencies()
	for _, name := range slices.Sorted(maps.Keys(latencies)) {
		writeSummary(w, metricName(strings.TrimSuffix(name, "_us")), latencies[name])
	}
}

func writeLabelled(w io.Writer, name, label string, m *expvar.Map) {
	m.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(w, "%s%s{%s=%q} %s\n", namePrefix, name, label, kv.Key, kv.Value)
	})
}

func writeSummary(w io.Writer, name string, q Quantiles) {
	for _, p := range []struct {
		quantile string
		us       int64
	}{{"0.5", q.P50}, {"0.99", q.P99}, {"0.999", q.P999}} {
		fmt.Fprintf(w, "%s%s_seconds{quantile=%q} %g\n", namePrefix, name, p.quantile, float64(p.us)/1e6)
	}
	fmt.Fprintf(w, "%s%s_seconds_count %d\n", namePrefix, name, q.Count)
}

// metricName replaces what a metric's name can't hold.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}
