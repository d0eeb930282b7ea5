package standin

import (
	"fmt"
	"time"

	"bergamotstile/history"
	"bergamotstile/structs"
)

// WorkSpans converts the events that a worker recorded into spans, one for each
// attempt that it started.
func WorkSpans(events []WorkerEvent) []history.Run {
	var spans []history.Run
	openSpans := map[structs.AttemptID]int{}
	for _, e := range events {
		spanIndex, isRunning := openSpans[e.Attempt]
		switch e.Kind {
		case WorkerEventStart:
			openSpans[e.Attempt] = len(spans)
			spans = append(spans, history.Run{Work: string(e.WorkID), Attempt: string(e.Attempt), Place: e.Worker,
				Start: latestStartNanos(e.UnixMS), ResumedFrom: e.Detail})
		case WorkerEventFinish, WorkerEventStop, WorkerEventFail, WorkerEventLeaseExpired, WorkerEventKilled:
			if isRunning {
				spans[spanIndex].End = unixNanos(e.UnixMS)
				spans[spanIndex].Finished = e.Kind == WorkerEventFinish
				delete(openSpans, e.Attempt)
			}
		case WorkerEventCheckpoint:
			if isRunning {
				spans[spanIndex].Checkpoint = e.Detail
			}
		}
	}
	return spans
}

// CapacityViolations returns a violation for each recorded event after which the
// declared sizes of the worker's running attempts exceeded its capacity.
func CapacityViolations(events []WorkerEvent) []history.Violation {
	var violations []history.Violation
	for _, e := range events {
		if !e.Committed.Fits(e.Capacity) {
			violations = append(violations, history.Violation{Property: history.Capacity,
				Detail: fmt.Sprintf("%s had %+v committed of a capacity of %+v after %s of %s", e.Worker, e.Committed, e.Capacity, e.Kind, e.Attempt)})
		}
	}
	return violations
}

// RequestSpans converts the events that a runner recorded into spans, one for
// each request that it ran. The Work of a span is the body of the request.
func RequestSpans(events []RunnerEvent) []history.Run {
	var spans []history.Run
	openSpans := map[string]int{}
	for _, e := range events {
		switch e.Kind {
		case RunnerEventStart:
			openSpans[e.ID] = len(spans)
			spans = append(spans, history.Run{Work: e.Body, Attempt: e.ID, Place: e.Runner, Start: latestStartNanos(e.UnixMS)})
		case RunnerEventFinish:
			spans[openSpans[e.ID]].End = unixNanos(e.UnixMS)
			spans[openSpans[e.ID]].Finished = true
		}
	}
	return spans
}

func unixNanos(unixMS int64) int64 {
	return unixMS * int64(time.Millisecond)
}

// latestStartNanos returns the latest time in nanoseconds that a start recorded
// in whole milliseconds can have had. Recorded times are rounded down; without
// the correction a run could seem to start before the call that caused it, and
// a check would report a violation.
func latestStartNanos(unixMS int64) int64 {
	return unixNanos(unixMS+1) - 1
}
