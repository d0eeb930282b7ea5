package demo

import (
	"fmt"
	"time"

	"bergamotstile/history"
	"bergamotstile/standin"
	"bergamotstile/structs"
)

// evidence is what workers and runners recorded themselves.
type evidence struct {
	work     []history.Span
	requests []history.Span
	// overCommitted lists every moment at which a worker held more than it has.
	overCommitted []history.Violation
}

func (c *cluster) evidence() evidence {
	var e evidence
	for _, w := range c.workers {
		events := w.Events(0)
		e.work = append(e.work, workSpans(events)...)
		e.overCommitted = append(e.overCommitted, overCommitted(events)...)
	}
	for _, r := range c.runners {
		e.requests = append(e.requests, requestSpans(r.Events(0))...)
	}
	return e
}

// runsOf returns the runs of one work item.
func (e evidence) runsOf(id structs.WorkID) []history.Span {
	var runs []history.Span
	for _, s := range e.work {
		if s.Work == string(id) {
			runs = append(runs, s)
		}
	}
	return runs
}

func workSpans(events []standin.WorkerEvent) []history.Span {
	var spans []history.Span
	open := map[structs.AttemptID]int{}
	for _, e := range events {
		i, running := open[e.Attempt]
		switch e.Kind {
		case standin.EventStart:
			open[e.Attempt] = len(spans)
			spans = append(spans, history.Span{Work: string(e.WorkID), Attempt: string(e.Attempt), Place: e.Worker,
				Start: startNanos(e.UnixMS), ResumedFrom: e.Detail})
		case standin.EventCheckpoint:
			if running {
				spans[i].Checkpoint = e.Detail
			}
		case standin.EventFinish, standin.EventStop, standin.EventFail, standin.EventLapse, standin.EventKilled:
			if running {
				spans[i].End, spans[i].Finished = nanos(e.UnixMS), e.Kind == standin.EventFinish
				delete(open, e.Attempt)
			}
		}
	}
	return spans
}

func overCommitted(events []standin.WorkerEvent) []history.Violation {
	var out []history.Violation
	for _, e := range events {
		if !e.Committed.Fits(e.Capacity) {
			out = append(out, history.Violation{Property: history.Capacity,
				Detail: fmt.Sprintf("%s was committed to %+v of %+v after %s of %s", e.Worker, e.Committed, e.Capacity, e.Kind, e.Attempt)})
		}
	}
	return out
}

func requestSpans(events []standin.RunnerEvent) []history.Span {
	var spans []history.Span
	open := map[string]int{}
	for _, e := range events {
		switch e.Kind {
		case standin.RunnerStart:
			open[e.ID] = len(spans)
			spans = append(spans, history.Span{Work: e.Body, Attempt: e.ID, Place: e.Runner, Start: startNanos(e.UnixMS)})
		case standin.RunnerFinish:
			spans[open[e.ID]].End, spans[open[e.ID]].Finished = nanos(e.UnixMS), true
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
