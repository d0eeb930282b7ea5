package coordinator

import (
	"testing"
	"time"

	"bergamotstile/maintenance"
)

// cordon drains a runner until a time from now and returns the stops of one watch.
func (w *world) cordon(runner string, left time.Duration, pressing bool) []Order {
	w.core.Cordon(map[string]maintenance.Drain{runner: {Until: w.now + left, Urgent: pressing}}, nil)
	w.core.Watch(w.now)
	return ofKind(w.core.TakeOrders(), Stop)
}

// atWork reports starts as running with a progress in percent.
func (w *world) atWork(orders []Order, percent int) {
	running := map[string][]RunStatus{}
	for _, o := range orders {
		running[o.Runner] = append(running[o.Runner], RunStatus{Task: o.Task, Run: o.Run, Percent: percent})
	}
	for runner, list := range running {
		w.report(Report{Runner: runner, Incarnation: 1, Running: list})
	}
}

// A task started on a runner whose machine goes down would be thrown away.
func TestCordonedRunnersGetNoTasks(t *testing.T) {
	w := newWorld(t, machine("r1", 4000))
	w.cordon("r1", time.Second, false)
	if got := w.begin(firstID, plain(1, 1000)); len(got) > 0 {
		t.Errorf("started %v", got)
	}
	w.core.Cordon(nil, nil)
	if got := starts(w.schedule()); len(got) != 1 {
		t.Errorf("%d starts after the upkeep", len(got))
	}
}

// No more tasks of a long-running step may be away than its budget allows, and
// none is stopped that has nowhere to go while there is time.
func TestDrainKeepsTheDisruptionBudget(t *testing.T) {
	w := newWorld(t, machine("r1", 4000))
	orders := w.begin(firstID, lasting(3, 1))
	w.atWork(orders, 100)
	if got := w.cordon("r1", time.Second, false); len(got) > 0 {
		t.Fatalf("stopped %v without another runner", got)
	}
	w.core.RunnerSeen(machine("r2", 4000), w.now)
	w.report(Report{Runner: "r2", Incarnation: 1})
	first := w.cordon("r1", time.Second, false)
	if len(first) != 1 {
		t.Fatalf("stopped %v, want one", first)
	}
	if got := w.core.Load("r1"); got.Budgeted != 2 || got.LongRunning != 3 || !got.Known {
		t.Errorf("load %+v", got)
	}
	var kept []RunStatus
	for _, o := range orders {
		if o.Task != first[0].Task {
			kept = append(kept, RunStatus{Task: o.Task, Run: o.Run, Percent: 100})
		}
	}
	w.answer(first[0], Accepted, false)
	w.report(Report{Runner: "r1", Incarnation: 1, Running: kept, Ended: []RunEnd{{Number: 1, Task: first[0].Task, Run: first[0].Run, How: EndedStopped}}})
	moved := starts(w.schedule())
	if len(moved) != 1 || moved[0].Runner != "r2" {
		t.Fatalf("moved to %v", moved)
	}
	w.answer(moved[0], Accepted, false)
	w.atWork(moved, 10)
	if got := w.cordon("r1", time.Second, true); len(got) > 0 {
		t.Fatalf("stopped %v while another is away", got)
	}
	w.atWork(moved, 100)
	if got := w.cordon("r1", time.Second, false); len(got) != 1 {
		t.Errorf("stopped %v once the first is at work again", got)
	}
}

// Work that can't end before the machine goes down leaves in time, with its
// checkpoint; work that can end stays.
func TestDrainStopsWorkThatCannotEndInTime(t *testing.T) {
	long := plain(1, 1000)
	long.Checkpoints, long.Estimate = true, 20*time.Second
	w := newWorld(t, machine("r1", 4000))
	orders := w.begin(firstID, plain(1, 1000))
	orders = append(orders, w.begin(secondID, long)...)
	w.atWork(orders, 0)
	got := w.cordon("r1", 3*time.Second, false)
	if len(got) != 1 || got[0].Task.Job != secondID {
		t.Errorf("stopped %v", got)
	}
}

// Once the machine is down its tasks go on elsewhere at once, and a list that was
// under way must not bring them back.
func TestTasksOfATerminatedRunnerStartAgain(t *testing.T) {
	w := newWorld(t, machine("r1", 4000))
	orders := w.begin(firstID, plain(2, 1000))
	w.atWork(orders, 5)
	w.cordon("r1", time.Second, false)
	w.core.RunnerTerminated("r1", w.now)
	w.atWork(orders, 6)
	if got := w.core.Load("r1"); got.Runs > 0 {
		t.Errorf("load %+v", got)
	}
	w.core.RunnerSeen(machine("r2", 4000), w.now)
	w.report(Report{Runner: "r2", Incarnation: 1})
	if got := starts(w.schedule()); len(got) != 2 || got[0].Runner != "r2" {
		t.Errorf("started %v", got)
	}
}

// What runs on a runner that has not answered a new coordinator, or that is silent,
// is not known: its machine must not go down.
func TestLoadOfUnresolvedAndSilentRunnersIsNotKnown(t *testing.T) {
	w := newWorld(t, machine("r1", 4000))
	w.core.Inherit([]InheritedRunner{{ID: "r2", Lapsed: w.now + time.Minute}}, w.now+time.Minute)
	w.core.RunnerSeen(machine("r3", 4000), w.now)
	for id, known := range map[string]bool{"r1": true, "r2": false, "r3": false, "r4": true} {
		if got := w.core.Load(id); got.Known != known {
			t.Errorf("load of %s: %+v", id, got)
		}
	}
	w.core.RunnerSilent("r1")
	if got := w.core.Load("r1"); got.Known {
		t.Errorf("load of a silent runner: %+v", got)
	}
}
