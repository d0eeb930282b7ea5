package harness

import (
	"time"

	"bergamotstile/history"
	"bergamotstile/standin"
)

// RequestSpans returns the requests that the runners ran, according to the events that
// the runners recorded. The body of a request is its token, so the Work of a span is
// the token.
func (c *Cluster) RequestSpans() ([]history.Run, error) {
	var spans []history.Run
	for _, n := range c.Runners {
		var events []standin.RunnerEvent
		if err := getJSON("http://"+n.Address+"/events", &events); err != nil {
			return nil, err
		}
		spans = append(spans, standin.RequestSpans(events)...)
	}
	return spans, nil
}

// LeavingRefusalTimes returns the times at which a runner refused requests because
// it was leaving, in nanoseconds since the Unix epoch. It returns none if the
// runner's events cannot be read.
func (c *Cluster) LeavingRefusalTimes(name string) []int64 {
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

// WorkSpans returns the attempts that the workers ran, according to the events that the
// workers recorded, and a violation for each event after which the declared sizes of
// the running attempts exceeded a worker's capacity.
func (c *Cluster) WorkSpans() ([]history.Run, []history.Violation, error) {
	var spans []history.Run
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
