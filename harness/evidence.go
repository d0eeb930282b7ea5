package harness

import (
	"fmt"
	"time"

	"bergamotstile/history"
	"bergamotstile/standin"
	"bergamotstile/structs"
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
		spans = append(spans, runnerSpans(n.Name, events)...)
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
			if e.Kind == standin.RunnerLeaving {
				times = append(times, nanos(e.UnixMS))
			}
		}
	}
	return times
}

func runnerSpans(place string, events []standin.RunnerEvent) []history.Span {
	var spans []history.Span
	open := map[string]int{}
	for _, e := range events {
		switch e.Kind {
		case standin.RunnerStart:
			open[e.ID] = len(spans)
			spans = append(spans, history.Span{Work: e.Body, Attempt: e.ID, Place: place, Start: startNanos(e.UnixMS)})
		case standin.RunnerFinish:
			spans[open[e.ID]].End = nanos(e.UnixMS)
			spans[open[e.ID]].Finished = true
		}
	}
	return spans
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
		spans = append(spans, workerSpans(n.Name, events)...)
		violations = append(violations, overCommitted(n.Name, events)...)
	}
	return spans, violations, nil
}

func workerSpans(place string, events []standin.WorkerEvent) []history.Span {
	var spans []history.Span
	open := map[structs.AttemptID]int{}
	for _, e := range events {
		index, running := open[e.Attempt]
		switch e.Kind {
		case standin.EventStart:
			open[e.Attempt] = len(spans)
			spans = append(spans, history.Span{Work: string(e.WorkID), Attempt: string(e.Attempt), Place: place,
				Start: startNanos(e.UnixMS), ResumedFrom: e.Detail})
		case standin.EventFinish, standin.EventStop, standin.EventFail, standin.EventLapse, standin.EventKilled:
			if running {
				spans[index].End = nanos(e.UnixMS)
				spans[index].Finished = e.Kind == standin.EventFinish
				delete(open, e.Attempt)
			}
		case standin.EventCheckpoint:
			if running {
				spans[index].Checkpoint = e.Detail
			}
		}
	}
	return spans
}

// overCommitted checks each start and end as the worker itself recorded it.
func overCommitted(place string, events []standin.WorkerEvent) []history.Violation {
	var out []history.Violation
	for _, e := range events {
		if !e.Committed.Fits(e.Capacity) {
			out = append(out, history.Violation{Property: history.Capacity,
				Detail: fmt.Sprintf("%s was committed to %+v of %+v after %s of %s", place, e.Committed, e.Capacity, e.Kind, e.Attempt)})
		}
	}
	return out
}

func nanos(unixMS int64) int64 {
	return unixMS * int64(time.Millisecond)
}

// startNanos returns the latest time that a start recorded in whole
// milliseconds can have had, so that rounding shows no violation.
func startNanos(unixMS int64) int64 {
	return nanos(unixMS+1) - 1
}
