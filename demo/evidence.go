package demo

import (
	"bergamotstile/history"
	"bergamotstile/standin"
	"bergamotstile/structs"
)

// evidence holds what the workers and runners recorded themselves.
type evidence struct {
	work     []history.Span // runs of work items on workers
	requests []history.Span // runs of requests on runners
	// overCommitted lists every event after which the work on a worker was larger
	// than the worker's capacity.
	overCommitted []history.Violation
}

// evidence collects what the workers and runners have recorded so far.
func (c *cluster) evidence() evidence {
	var e evidence
	for _, w := range c.workers {
		events := w.Events(0)
		e.work = append(e.work, standin.WorkSpans(events)...)
		e.overCommitted = append(e.overCommitted, standin.CapacityViolations(events)...)
	}
	for _, r := range c.runners {
		e.requests = append(e.requests, standin.RequestSpans(r.Events(0))...)
	}
	return e
}

// runsOf returns the runs of one work item on workers.
func (e evidence) runsOf(id structs.WorkID) []history.Span {
	var runs []history.Span
	for _, s := range e.work {
		if s.Work == string(id) {
			runs = append(runs, s)
		}
	}
	return runs
}
