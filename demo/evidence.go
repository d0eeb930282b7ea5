package demo

import (
	"bergamotstile/history"
	"bergamotstile/standin"
	"bergamotstile/structs"
)

// evidence holds the runs and violations that follow from the events of the workers
// and runners.
type evidence struct {
	work     []history.Run // runs of work items on workers
	requests []history.Run // runs of requests on runners
	// capacityViolations holds a violation for each event after which the declared
	// sizes of a worker's running attempts exceeded its capacity.
	capacityViolations []history.Violation
}

// evidence converts the events that the workers and runners have recorded so far.
func (c *cluster) evidence() evidence {
	var e evidence
	for _, w := range c.workers {
		events := w.Events(0)
		e.work = append(e.work, standin.WorkSpans(events)...)
		e.capacityViolations = append(e.capacityViolations, standin.CapacityViolations(events)...)
	}
	for _, r := range c.runners {
		e.requests = append(e.requests, standin.RequestSpans(r.Events(0))...)
	}
	return e
}

// runsOf returns the runs of one work item on workers.
func (e evidence) runsOf(id structs.WorkID) []history.Run {
	var runs []history.Run
	for _, s := range e.work {
		if s.Work == string(id) {
			runs = append(runs, s)
		}
	}
	return runs
}
