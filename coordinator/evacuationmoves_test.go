package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/maintenance"
)

// longRunningTask returns a step of one long-running task without a disruption budget.
func longRunningTask(cpu int64) jobs.Step {
	step := plainStep(1, cpu)
	step.LongRunning = true
	return step
}

// addRunner registers a runner that reports.
func (h *coreHarness) addRunner(info RunnerInfo) {
	h.core.UpdateRunner(info, h.now)
	h.report(Report{Runner: info.ID, Incarnation: 1})
}

// endStopped answers the stop of a run and reports its end, and the other runs as running.
func (h *coreHarness) endStopped(stop Order, number int, others []RunStatus) {
	h.answer(stop, Accepted, false)
	h.report(Report{Runner: stop.Runner, Incarnation: 1, Running: others, Ended: []RunResult{{Number: number, Task: stop.Task, Run: stop.Run, Kind: EndedStopped}}})
}

// Guards against an evacuation that makes more tasks of a long-running step unavailable than
// its disruption budget allows, and against a step without a budget of which all tasks are
// stopped at once.
func TestEvacuationKeepsTheDisruptionBudget(t *testing.T) {
	for _, budget := range []int{0, 1} {
		h := newCoreHarness(t, runnerInDomain("a", "east"))
		orders := h.startJob(firstID, longRunningStep(3, budget))
		h.reportRunning(orders, 100)
		h.addRunner(runnerInDomain("b", "west"))
		h.evacuate("east")
		stops := h.checkRuns()
		if len(stops) != 1 {
			t.Fatalf("budget %d: %d tasks are stopped at once, want 1", budget, len(stops))
		}
		kept := ordersExcept(orders, stops[0].Task)
		h.endStopped(stops[0], 1, runStatuses(100, kept...))
		moved := startOrders(h.schedule())
		if len(moved) != 1 || moved[0].Runner != "b" {
			t.Fatalf("budget %d: moved by %+v, want a start on b", budget, moved)
		}
		h.answer(moved[0], Accepted, false)
		h.reportRunning(moved, 10)
		if got := h.checkRuns(); len(got) != 0 {
			t.Errorf("budget %d: %d tasks are stopped while one starts up", budget, len(got))
		}
		h.reportRunning(moved, 100)
		if got := h.checkRuns(); len(got) != 1 {
			t.Errorf("budget %d: %d tasks are stopped once all are available, want 1", budget, len(got))
		}
	}
}

// Guards against long-running tasks that are stopped although no runner outside of evacuated
// domains has room for them, and against room that is counted for several tasks: in one
// decision, and again while the first task is still being stopped or waits for its start. The
// task with a checkpoint goes first.
func TestEvacuationMovesOnlyTasksForWhichThereIsRoom(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"))
	orders := append(h.startJob(firstID, longRunningTask(2000)), h.startJob(secondID, longRunningTask(2000))...)
	running := runStatuses(100, orders...)
	running[1].Checkpoint = "saved"
	h.report(Report{Runner: "a", Incarnation: 1, Running: running})
	h.evacuate("east", "north")
	if got := h.checkRuns(); len(got) != 0 {
		t.Errorf("%d tasks are stopped without another runner", len(got))
	}
	h.addRunner(runnerInDomain("b", "north"))
	if got := h.checkRuns(); len(got) != 0 {
		t.Errorf("%d tasks are stopped for room in another evacuated domain", len(got))
	}
	small := runnerInDomain("c", "west")
	small.Capacity.CPUMilli = 3000
	h.addRunner(small)
	stops := h.checkRuns()
	if len(stops) != 1 || stops[0].Task.Job != secondID {
		t.Fatalf("stops %+v, want one of the task with a checkpoint", stops)
	}
	if status := h.core.EvacuationStatus(); status != (EvacuationStatus{Domains: 2, Runs: 2, LongRunning: 2}) {
		t.Errorf("status %+v", status)
	}
	for range 5 {
		if got := h.checkRuns(); len(got) != 0 {
			t.Errorf("%d more tasks are stopped for the same room", len(got))
		}
	}
	h.endStopped(stops[0], 1, running[:1])
	if got := h.checkRuns(); len(got) != 0 {
		t.Errorf("%d more tasks are stopped before the first one is started", len(got))
	}
	if got := runnersOf(startOrders(h.schedule())); !slices.Equal(got, []string{"c"}) {
		t.Errorf("started on %v, want c", got)
	}
	if got := h.checkRuns(); len(got) != 0 {
		t.Errorf("%d more tasks are stopped although c is full", len(got))
	}
	if c := h.core.runners["c"]; c.held.CPUMilli != 2000 {
		t.Errorf("c holds %d thousandths, want 2000", c.held.CPUMilli)
	}
}

// Guards against an evacuation that stops everything at once, and against a move that never
// ends and holds back the others.
func TestEvacuationMovesABoundedNumberAtATime(t *testing.T) {
	const count = 3 * maxEvacuationMoves
	source, target := runnerInDomain("a", "east"), runnerInDomain("b", "west")
	source.Capacity.CPUMilli, target.Capacity.CPUMilli = count*1000, count*1000
	h := newCoreHarness(t, source)
	var orders []Order
	for i := range count {
		orders = append(orders, h.startJob(jobs.ID(fmt.Sprintf("%016x", i)), longRunningTask(1000))...)
	}
	h.reportRunning(orders, 100)
	h.addRunner(target)
	h.evacuate("east")
	if got := h.checkRuns(); len(got) != maxEvacuationMoves {
		t.Errorf("%d tasks are stopped, want %d", len(got), maxEvacuationMoves)
	}
	if got := h.checkRuns(); len(got) != 0 {
		t.Errorf("%d more tasks are stopped while the first ones are on their way", len(got))
	}
	h.now += evacuationMoveTime
	if got := h.checkRuns(); len(got) != maxEvacuationMoves {
		t.Errorf("%d tasks are stopped once the time for the first moves has passed, want %d", len(got), maxEvacuationMoves)
	}
}

// Guards against members of a gang that are stopped one by one, which ends the whole gang.
func TestEvacuationLeavesGangsInPlace(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"))
	step := longRunningStep(2, 2)
	step.Gang = true
	h.reportRunning(h.startJob(firstID, step), 100)
	h.addRunner(runnerInDomain("b", "west"))
	h.evacuate("east")
	if got := h.checkRuns(); len(got) != 0 {
		t.Errorf("%d members of a gang are stopped", len(got))
	}
}

// Guards against a drain and an evacuation of the same runner that count the same room twice,
// and against a draining runner whose tasks are not stopped before it ends because its domain is
// evacuated.
func TestDrainingRunnerInAnEvacuatedDomainFollowsTheDrain(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"))
	h.reportRunning(h.startJob(firstID, longRunningTask(3000)), 100)
	h.addRunner(runnerInDomain("b", "east"))
	h.reportRunning(h.startJob(secondID, longRunningTask(3000)), 100)
	draining := runnerInDomain("a", "east")
	draining.Draining, draining.Remaining = true, 10*time.Second
	h.core.UpdateRunner(draining, h.now)
	h.evacuate("east")
	if got := h.checkRuns(); len(got) != 0 {
		t.Errorf("%d tasks are stopped without room elsewhere", len(got))
	}
	h.now += 10*time.Second - longRunningEvictionMargin
	if got := h.checkRuns(); len(got) != 1 || got[0].Runner != "a" {
		t.Errorf("stops %+v when the draining runner is about to end, want its task only", got)
	}
	h.evacuate()
	if got := startOrders(h.schedule()); len(got) != 0 {
		t.Errorf("started on %v after the evacuation, want no start on the draining runner", runnersOf(got))
	}
}

// Guards against a maintenance wave and an evacuation of the same runner that undo each other:
// the end of one must not make the runner usable while the other goes on. An urgent cordon still
// moves tasks within the budget.
func TestWaveInAnEvacuatedDomain(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"))
	orders := h.startJob(firstID, longRunningStep(3, 1))
	h.reportRunning(orders, 100)
	h.evacuate("east")
	if got := h.cordonAndCheck("a", time.Second, false); len(got) != 0 {
		t.Errorf("%d tasks are stopped without room elsewhere", len(got))
	}
	if got := h.cordonAndCheck("a", time.Second, true); len(got) != 1 {
		t.Errorf("%d tasks are stopped by an urgent cordon, want 1", len(got))
	}
	h.core.SetCordons(nil, nil)
	h.addJob(secondID, false, plainStep(1, 500))
	if got := startOrders(h.schedule()); len(got) != 0 {
		t.Error("a task is started in the evacuated domain after the wave")
	}
	h.core.SetCordons(map[string]maintenance.Cordon{"a": {Until: h.now + time.Second}}, nil)
	h.evacuate()
	if got := startOrders(h.schedule()); len(got) != 0 {
		t.Error("a task is started on the cordoned runner after the evacuation")
	}
	h.core.SetCordons(nil, nil)
	if got := startOrders(h.schedule()); len(got) == 0 {
		t.Error("nothing is started after both")
	}
}

// Guards against a second evacuation that is not applied to tasks which the first one moved,
// and against the end of one that ends both.
func TestSecondEvacuationDuringTheFirst(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"))
	orders := h.startJob(firstID, longRunningTask(1000))
	h.reportRunning(orders, 100)
	h.addRunner(runnerInDomain("b", "west"))
	h.evacuate("east")
	stops := h.checkRuns()
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	h.endStopped(stops[0], 1, nil)
	if got := runnersOf(startOrders(h.schedule())); !slices.Equal(got, []string{"b"}) {
		t.Fatalf("moved to %v, want b", got)
	}
	h.evacuate("east", "west")
	if got := h.schedule(); len(got) != 0 {
		t.Errorf("orders %+v while both domains are evacuated", got)
	}
	h.evacuate("west")
	got := startOrders(h.schedule())
	if !slices.Equal(runnersOf(got), []string{"a"}) {
		t.Fatalf("started on %v after the first evacuation was withdrawn, want a", runnersOf(got))
	}
	h.answer(got[0], Accepted, false)
	h.reportRunning(got, 100)
	if got := h.checkRuns(); len(got) != 0 {
		t.Errorf("%d tasks are stopped in a domain that is not evacuated any more", len(got))
	}
}

// Guards against a task that starts elsewhere while a runner of an evacuated domain, which
// nobody reaches, may still carry out the start: it must wait until the leases have expired.
func TestStartOnALostRunnerOfAnEvacuatedDomainWaitsForTheLeases(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"))
	h.addJob(firstID, false, plainStep(1, 1000))
	if !startOrders(h.schedule())[0].beginAttempt() {
		t.Fatal("the order is not sent")
	}
	h.addRunner(runnerInDomain("b", "west"))
	h.core.MarkRunnerSilent("a")
	h.evacuate("east")
	if got := startOrders(h.schedule()); len(got) != 0 {
		t.Errorf("started on %v while the lost runner may run the task", runnersOf(got))
	}
	h.core.ExpireRunnerLeases("a", h.now)
	if got := runnersOf(startOrders(h.schedule())); !slices.Equal(got, []string{"b"}) {
		t.Errorf("started on %v after the leases have expired, want b", got)
	}
}

// Guards against urgent work that preempts runs in an evacuated domain, where it can't start.
func TestPreemptionSparesEvacuatedDomains(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"))
	h.core.limits.Preempt = true
	urgent := testQueue
	urgent.Name, urgent.Priority = "urgent", -1
	h.core.Configure([]jobs.Queue{testQueue, urgent})
	batch := plainStep(4, 1000)
	batch.Estimate = time.Minute
	h.reportRunning(h.startJob(firstID, batch), 1)
	h.evacuate("east")
	h.core.AddJob(jobs.New(secondID, urgent, jobs.Spec{Text: "text", Steps: []jobs.Step{batch}}, 0, 1), false, 0)
	h.schedule()
	h.now += preemptWait + preemptInterval
	if got := h.schedule(); len(got) != 0 {
		t.Errorf("orders %+v in an evacuated domain", got)
	}
	h.evacuate()
	h.now += preemptInterval
	if got := h.schedule(); len(ordersOfKind(got, Stop)) == 0 {
		t.Error("nothing is preempted after the evacuation: the test checks nothing")
	}
}
