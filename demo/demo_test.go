package demo

import (
	"slices"
	"testing"
	"time"

	"bergamotstile/declaration"
	"bergamotstile/examples"
	"bergamotstile/history"
	"bergamotstile/standin"
	"bergamotstile/structs"
)

var workerCapacity = structs.Resources{CPUMilli: 2000, MemoryMB: 10}

// workerEvent returns an event of worker w at the given Unix time in milliseconds,
// after which the work on the worker fits its capacity.
func workerEvent(kind standin.WorkerEventKind, id structs.WorkID, attempt int, ms int64, detail string) standin.WorkerEvent {
	return standin.WorkerEvent{Kind: kind, Worker: "w", WorkID: id, Attempt: structs.NewAttemptID(id, attempt), UnixMS: ms,
		Committed: structs.Resources{CPUMilli: 1000, MemoryMB: 5}, Capacity: workerCapacity, Detail: detail}
}

// newFaultlessRun returns a run without violations, the events of its worker and
// the statuses of its standing replicas. Render a finishes, render e is evicted
// and resumes, and the standing replica s keeps running.
func newFaultlessRun() (*run, []standin.WorkerEvent, map[structs.WorkID]structs.WorkStatus) {
	r := &run{load: &loadGenerator{proofLatencies: []time.Duration{1}, billedTokens: map[string]bool{}},
		renders: []structs.WorkID{"a", "e"}, evictedRender: "e", standingReplicas: []structs.WorkID{"s"}}
	r.load.calls.Add(history.Call{Work: "t", Start: 1, End: 2, Answered: true, Want: "t", Got: "t"})
	events := []standin.WorkerEvent{
		workerEvent(standin.WorkerEventStart, "s", 1, 1, ""),
		workerEvent(standin.WorkerEventStart, "a", 1, 2, ""), workerEvent(standin.WorkerEventFinish, "a", 1, 4, ""),
		workerEvent(standin.WorkerEventStart, "e", 1, 5, ""), workerEvent(standin.WorkerEventCheckpoint, "e", 1, 6, "c1"), workerEvent(standin.WorkerEventStop, "e", 1, 7, ""),
		workerEvent(standin.WorkerEventStart, "e", 2, 9, "c1"), workerEvent(standin.WorkerEventFinish, "e", 2, 12, ""),
	}
	return r, events, map[structs.WorkID]structs.WorkStatus{"s": {State: structs.StateRunning}}
}

// Guards against a demo that succeeds although its workers, runners or instances
// violate a property.
func TestChecksReportEachFault(t *testing.T) {
	type statuses = map[structs.WorkID]structs.WorkStatus
	cases := []struct {
		name        string
		injectFault func(*run, []standin.WorkerEvent, statuses) []standin.WorkerEvent
		want        history.Property
	}{
		{"no fault", func(_ *run, e []standin.WorkerEvent, _ statuses) []standin.WorkerEvent { return e }, ""},
		{"over capacity", func(_ *run, e []standin.WorkerEvent, _ statuses) []standin.WorkerEvent {
			e[1].Committed.CPUMilli = 2001
			return e
		}, history.Capacity},
		{"finished twice", func(_ *run, e []standin.WorkerEvent, _ statuses) []standin.WorkerEvent {
			return append(e, workerEvent(standin.WorkerEventStart, "a", 2, 14, ""), workerEvent(standin.WorkerEventFinish, "a", 2, 16, ""))
		}, history.NothingLost},
		{"never finished", func(_ *run, e []standin.WorkerEvent, _ statuses) []standin.WorkerEvent { return slices.Delete(e, 1, 3) }, history.NothingLost},
		{"not resumed", func(_ *run, e []standin.WorkerEvent, _ statuses) []standin.WorkerEvent {
			e[6].Detail = ""
			return e
		}, history.ResumeOnce},
		{"runs twice at once", func(_ *run, e []standin.WorkerEvent, _ statuses) []standin.WorkerEvent {
			return append(e, workerEvent(standin.WorkerEventStart, "s", 2, 15, ""))
		}, history.OnePlace},
		{"standing job ended", func(_ *run, e []standin.WorkerEvent, _ statuses) []standin.WorkerEvent {
			return append(e, workerEvent(standin.WorkerEventFail, "s", 1, 15, ""))
		}, history.NothingLost},
		{"standing job queued", func(_ *run, e []standin.WorkerEvent, standing statuses) []standin.WorkerEvent {
			standing["s"] = structs.WorkStatus{State: structs.StateQueued}
			return e
		}, history.NothingLost},
		{"answer to another request", func(r *run, e []standin.WorkerEvent, _ statuses) []standin.WorkerEvent {
			r.load.calls.Add(history.Call{Work: "u", Answered: true, Want: "u", Got: "t"})
			return e
		}, history.WholeAnswer},
		{"neither answered nor refused", func(r *run, e []standin.WorkerEvent, _ statuses) []standin.WorkerEvent {
			r.load.calls.Add(history.Call{Work: "u", Broken: true})
			return e
		}, history.GracefulStop},
		{"no proof", func(r *run, e []standin.WorkerEvent, _ statuses) []standin.WorkerEvent {
			r.load.proofLatencies = nil
			return e
		}, history.WholeAnswer},
	}
	for _, c := range cases {
		r, events, standingStatuses := newFaultlessRun()
		events = c.injectFault(r, events, standingStatuses)
		found := r.checkInvariants(evidence{work: standin.WorkSpans(events), capacityViolations: standin.CapacityViolations(events)}, standingStatuses)
		has := slices.ContainsFunc(found, func(v history.Violation) bool { return v.Property == c.want })
		if c.want == "" && len(found) > 0 || c.want != "" && !has {
			t.Errorf("%s: found %v", c.name, found)
		}
	}
}

// Guards against an embedded declaration that the demo cannot run, and against
// accepting a declaration that lacks a kind of work that the demo shows or that
// is too large for one process.
func TestPlanNeedsAllKindsOfWork(t *testing.T) {
	d, err := decodeAndCheck(examples.Society)
	if err != nil {
		t.Fatal(err)
	}
	p, err := newPlan(d)
	if err != nil || p.idempotentKind != "proof" || p.nonIdempotentKind != "billed-render" || p.renderJob.Kind != "die-render" || p.standingJob.Kind != "stock-watch" {
		t.Errorf("plan %+v, %v", p, err)
	}
	for name, change := range map[string]func(*declaration.Deployment){
		"no service":  func(d *declaration.Deployment) { d.Services = nil },
		"no batch":    func(d *declaration.Deployment) { d.BatchJobs = nil },
		"no standing": func(d *declaration.Deployment) { d.StandingJobs = nil },
		"too large":   func(d *declaration.Deployment) { d.Domains[0].Workers[0].Count = maxStandIns },
	} {
		d, _ := decodeAndCheck(examples.Society)
		change(d)
		if _, err := newPlan(d); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
