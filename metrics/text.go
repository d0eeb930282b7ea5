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

// namePrefix is the prefix of the name of every metric in the text format.
const namePrefix = "bergamotstile_"

// TextHandler returns a handler that serves the metrics as WriteText writes them.
func (s *Set) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		s.WriteText(w)
	})
}

// WriteText writes the metrics in the text format of Prometheus. Latencies are
// written as summaries in seconds.
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

func writeSummary(w io.Writer, name string, summary LatencySummary) {
	for _, entry := range []struct {
		quantile string
		us       int64
	}{{"0.5", summary.P50}, {"0.99", summary.P99}, {"0.999", summary.P999}} {
		fmt.Fprintf(w, "%s%s_seconds{quantile=%q} %g\n", namePrefix, name, entry.quantile, float64(entry.us)/1e6)
	}
	fmt.Fprintf(w, "%s%s_seconds_count %d\n", namePrefix, name, summary.Count)
}

// metricName replaces the characters that are invalid in the name of a metric
// with underscores.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}
