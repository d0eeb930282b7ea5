package coordinator

import (
	"testing"

	"bergamotstile/jobs"
)

func (w *world) expectPending(want int, when string) {
	w.t.Helper()
	if got := w.core.Pending()[renders.Name]; got != want {
		w.t.Errorf("%d jobs are pending %s, want %d", got, when, want)
	}
}

// Guards against a job that counts as begun because a start was ordered: the runner may
// be cut off or refuse, and nothing of the job runs until the leases there have lapsed.
func TestOrderedStartLeavesTheJobPending(t *testing.T) {
	w := newWorld(t, machine("a", 4000), machine("b", 4000))
	j := w.accept(firstID, false, plain(1, 1000))
	order := starts(w.schedule())[0]
	w.expectPending(1, "while the start is not answered")
	if j.State != jobs.Queued {
		t.Errorf("state %v while the start is not answered", j.State)
	}
	w.core.RunnerSilent(order.Runner)
	w.core.RunnerLapsed(order.Runner, w.now)
	w.expectPending(1, "after the runner has lapsed")
	again := starts(w.schedule())[0]
	w.answer(again, RefusedOther, false)
	w.expectPending(1, "after the runner has refused the start")
}

// Guards against a job that stays pending although one of its tasks has started, by
// each way in which the coordinator may learn of the start.
func TestStartedJobIsNotPending(t *testing.T) {
	ways := map[string]func(w *world, o Order){
		"the start is answered": func(w *world, o Order) { w.answer(o, Accepted, false) },
		"the run is listed": func(w *world, o Order) {
			w.report(Report{Runner: o.Runner, Incarnation: 1, Running: []RunStatus{{Task: o.Task, Run: o.Run}}})
		},
		"the end is listed": func(w *world, o Order) {
			w.report(Report{Runner: o.Runner, Incarnation: 1, Ended: []RunEnd{{Number: 1, Task: o.Task, Run: o.Run, How: EndedFailed}}})
		},
		"a repeated start is refused as old": func(w *world, o Order) { w.answer(o, RefusedOld, true) },
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, machine("a", 4000))
			j := w.accept(firstID, false, plain(2, 1000))
			way(w, starts(w.schedule())[0])
			w.expectPending(0, "once "+name)
			if j.State != jobs.Running {
				t.Errorf("state %v once %s", j.State, name)
			}
		})
	}
}
