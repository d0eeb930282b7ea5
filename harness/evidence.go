package harness

import (
	"time"

	"bergamotstile/history"
	"bergamotstile/standin"
)

// RequestSpans returns what the runners really ran. A request's token is its
// body, so the work of a span is the token.
func (c *Cluster) RequestSpans() ([]history.Span, error) {
	var spans []history.Span
	for _, n := range c.Runners {
		var events []standin.RunnerEvent
		if err := getJSON("http://"+n.Address+"/events", &events); err != nil {
			return nil, err
		}
		spans = append(spans, standin.RequestSpans(events)...)
	}
	return spans, nil
}

// RefusedAsLeaving returns when a runner refused requests because it was
// leaving, in nanoseconds.
func (c *Cluster) RefusedAsLeaving(name string) []int64 {
	var times []int64
	for _, n := range c.Runners {
		var events []standin.RunnerEvent
		if n.Name != name || getJSON("http://"+n.Address+"/events", &events) != nil {
			continue
		}
		for _, e := range events {
			if e.Kind == standin.RunnerEventLeaving {
				times = append(times, e.UnixMS*int64(time.Millisecond))
			}
		}
	}
	return times
}

// WorkSpans returns what the workers really ran, and every moment at which
// one of them was committed beyond its capacity.
func (c *Cluster) WorkSpans() ([]history.Span, []history.Violation, error) {
	var spans []history.Span
	var violations []history.Violation
	for _, n := range c.Workers {
		var events []standin.WorkerEvent
		if err := getJSON("http://"+n.Address+"/events", &events); err != nil {
			return nil, nil, err
		}
		spans = append(spans, standin.WorkSpans(events)...)
		violations = append(violations, standin.CapacityViolations(events)...)
	}
	return spans, violations, nil
}
