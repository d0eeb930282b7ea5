package standin

import (
	"fmt"
	"time"

	"bergamotstile/history"
	"bergamotstile/structs"
)

// WorkSpans returns what a worker ran, by its own record.
func WorkSpans(events []WorkerEvent) []history.Span {
	var spans []history.Span
	open := map[structs.AttemptID]int{}
	for _, e := range events {
		index, running := open[e.Attempt]
		switch e.Kind {
		case EventStart:
			open[e.Attempt] = len(spans)
			spans = append(spans, history.Span{Work: string(e.WorkID), Attempt: string(e.Attempt), Place: e.Worker,
				Start: startNanos(e.UnixMS), ResumedFrom: e.Detail})
		case EventFinish, EventStop, EventFail, EventLapse, EventKilled:
			if running {
				spans[index].End = nanos(e.UnixMS)
				spans[index].Finished = e.Kind == EventFinish
				delete(open, e.Attempt)
			}
		case EventCheckpoint:
			if running {
				spans[index].Checkpoint = e.Detail
			}
		}
	}
	return spans
}

// OverCommitted returns every start and end after which a worker was committed
// beyond its capacity, by its own record.
func OverCommitted(events []WorkerEvent) []history.Violation {
	var out []history.Violation
	for _, e := range events {
		if !e.Committed.Fits(e.Capacity) {
			out = append(out, history.Violation{Property: history.Capacity,
				Detail: fmt.Sprintf("%s was committed to %+v of %+v after %s of %s", e.Worker, e.Committed, e.Capacity, e.Kind, e.Attempt)})
		}
	}
	return out
}

// RequestSpans returns what a runner ran, by its own record. The work of a span
// is the body of the request.
func RequestSpans(events []RunnerEvent) []history.Span {
	var spans []history.Span
	open := map[string]int{}
	for _, e := range events {
		switch e.Kind {
		case RunnerStart:
			open[e.ID] = len(spans)
			spans = append(spans, history.Span{Work: e.Body, Attempt: e.ID, Place: e.Runner, Start: startNanos(e.UnixMS)})
		case RunnerFinish:
			spans[open[e.ID]].End = nanos(e.UnixMS)
			spans[open[e.ID]].Finished = true
		}
	}
	return spans
}

func nanos(unixMS int64) int64 {
	return unixMS * int64(time.Millisecond)
}

// startNanos returns the latest time that a start recorded in whole
// milliseconds can have had, so that rounding shows no violation.
func startNanos(unixMS int64) int64 {
	return nanos(unixMS+1) - 1
}
