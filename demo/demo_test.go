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

var capacity = structs.Resources{CPUMilli: 2000, MemoryMB: 10}

func event(kind standin.WorkerEventKind, id structs.WorkID, attempt int, ms int64, detail string) standin.WorkerEvent {
	return standin.WorkerEvent{Kind: kind, Worker: "w", WorkID: id, Attempt: structs.NewAttemptID(id, attempt), UnixMS: ms,
		Committed: structs.Resources{CPUMilli: 1000, MemoryMB: 5}, Capacity: capacity, Detail: detail}
}

// goodRun evicts and resumes render e, finishes render a and keeps s running.
func goodRun() (*run, []standin.WorkerEvent, map[structs.WorkID]structs.WorkStatus) {
	r := &run{load: &load{proofs: []time.Duration{1}, billed: map[string]bool{}},
		renders: []structs.WorkID{"a", "e"}, evicted: "e", standing: []structs.WorkID{"s"}}
	r.load.calls.Add(history.Call{Work: "t", Start: 1, End: 2, Answered: true, Want: "t", Got: "t"})
	events := []standin.WorkerEvent{
		event(standin.WorkerEventStart, "s", 1, 1, ""),
		event(standin.WorkerEventStart, "a", 1, 2, ""), event(standin.WorkerEventFinish, "a", 1, 4, ""),
		event(standin.WorkerEventStart, "e", 1, 5, ""), event(standin.WorkerEventCheckpoint, "e", 1, 6, "c1"), event(standin.WorkerEventStop, "e", 1, 7, ""),
		event(standin.WorkerEventStart, "e", 2, 9, "c1"), event(standin.WorkerEventFinish, "e", 2, 12, ""),
	}
	return r, events, map[structs.WorkID]structs.WorkStatus{"s": {State: structs.StateRunning}}
}

// Guards against a demo that exits 0 although what it shows is wrong.
func TestChecksFindEachFault(t *testing.T) {
	type accounts = map[structs.WorkID]structs.WorkStatus
	cases := []struct {
		name   string
		change func(*run, []standin.WorkerEvent, accounts) []standin.WorkerEvent
		want   history.Property
	}{
		{"nothing wrong", func(_ *run, e []standin.WorkerEvent, _ accounts) []standin.WorkerEvent { return e }, ""},
		{"over capacity", func(_ *run, e []standin.WorkerEvent, _ accounts) []standin.WorkerEvent {
			e[1].Committed.CPUMilli = 2001
			return e
		}, history.Capacity},
		{"finished twice", func(_ *run, e []standin.WorkerEvent, _ accounts) []standin.WorkerEvent {
			return append(e, event(standin.WorkerEventStart, "a", 2, 14, ""), event(standin.WorkerEventFinish, "a", 2, 16, ""))
		}, history.NothingLost},
		{"never finished", func(_ *run, e []standin.WorkerEvent, _ accounts) []standin.WorkerEvent { return slices.Delete(e, 1, 3) }, history.NothingLost},
		{"not resumed", func(_ *run, e []standin.WorkerEvent, _ accounts) []standin.WorkerEvent {
			e[6].Detail = ""
			return e
		}, history.ResumeOnce},
		{"two places", func(_ *run, e []standin.WorkerEvent, _ accounts) []standin.WorkerEvent {
			return append(e, event(standin.WorkerEventStart, "s", 2, 15, ""))
		}, history.OnePlace},
		{"standing job ended", func(_ *run, e []standin.WorkerEvent, _ accounts) []standin.WorkerEvent {
			return append(e, event(standin.WorkerEventFail, "s", 1, 15, ""))
		}, history.NothingLost},
		{"standing job queued", func(_ *run, e []standin.WorkerEvent, a accounts) []standin.WorkerEvent {
			a["s"] = structs.WorkStatus{State: structs.StateQueued}
			return e
		}, history.NothingLost},
		{"crossed answer", func(r *run, e []standin.WorkerEvent, _ accounts) []standin.WorkerEvent {
			r.load.calls.Add(history.Call{Work: "u", Answered: true, Want: "u", Got: "t"})
			return e
		}, history.WholeAnswer},
		{"cut off", func(r *run, e []standin.WorkerEvent, _ accounts) []standin.WorkerEvent {
			r.load.calls.Add(history.Call{Work: "u", Broken: true})
			return e
		}, history.GracefulStop},
		{"no proof", func(r *run, e []standin.WorkerEvent, _ accounts) []standin.WorkerEvent {
			r.load.proofs = nil
			return e
		}, history.WholeAnswer},
	}
	for _, c := range cases {
		r, events, accounts := goodRun()
		events = c.change(r, events, accounts)
		found := r.check(evidence{work: standin.WorkSpans(events), overCommitted: standin.CapacityViolations(events)}, accounts)
		has := slices.ContainsFunc(found, func(v history.Violation) bool { return v.Property == c.want })
		if c.want == "" && len(found) > 0 || c.want != "" && !has {
			t.Errorf("%s: found %v", c.name, found)
		}
	}
}

// Guards against an embedded example that the demo cannot run, and against
// declarations that start a demo which cannot show what it promises.
func TestPlan(t *testing.T) {
	d, err := decode(examples.Society)
	if err != nil {
		t.Fatal(err)
	}
	p, err := newPlan(d)
	if err != nil || p.proof != "proof" || p.billed != "billed-render" || p.render.Kind != "die-render" || p.standing.Kind != "stock-watch" {
		t.Errorf("plan %+v, %v", p, err)
	}
	for name, change := range map[string]func(*declaration.Deployment){
		"no service":  func(d *declaration.Deployment) { d.Services = nil },
		"no batch":    func(d *declaration.Deployment) { d.BatchJobs = nil },
		"no standing": func(d *declaration.Deployment) { d.StandingJobs = nil },
		"too large":   func(d *declaration.Deployment) { d.Domains[0].Workers[0].Count = maxProcesses },
	} {
		d, _ := decode(examples.Society)
		change(d)
		if _, err := newPlan(d); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
