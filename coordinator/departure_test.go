package coordinator

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/maintenance"
	"bergamotstile/structs"
)

// departureHarness plays a fleet part of which leaves at once. Runners leave-N hold four tasks
// each, and runners stay-N have free capacity.
type departureHarness struct {
	*coreHarness
	leaving map[string]RunnerInfo
	running map[jobs.TaskID]Order // the last confirmed start of each task
}

const (
	tasksPerRunner = 4
	taskMilli      = 1000
)

// newDepartureHarness returns a harness with full runners that will leave, each with one task of
// each of four jobs, and with runners that have free capacity for the given numbers of tasks.
func newDepartureHarness(t *testing.T, leaving, budget int, free ...int) *departureHarness {
	h := &departureHarness{coreHarness: newCoreHarness(t), leaving: map[string]RunnerInfo{}, running: map[jobs.TaskID]Order{}}
	for i := range leaving {
		info := testRunner(fmt.Sprintf("leave-%d", i), tasksPerRunner*taskMilli)
		h.leaving[info.ID] = info
		h.core.UpdateRunner(info, h.now)
		h.report(Report{Runner: info.ID, Incarnation: 1})
	}
	for i := range tasksPerRunner {
		step := standingStep(leaving, taskMilli)
		step.MaxUnavailable, step.MaxPerRunner = budget, leaving
		for _, order := range h.startJob(jobs.ID(fmt.Sprintf("00000000000000%02x", i+1)), step) {
			h.running[order.Task] = order
		}
	}
	if len(h.running) != leaving*tasksPerRunner {
		t.Fatalf("%d tasks are started, want %d", len(h.running), leaving*tasksPerRunner)
	}
	for i, tasks := range free {
		id := fmt.Sprintf("stay-%d", i)
		h.core.UpdateRunner(testRunner(id, int64(tasks)*taskMilli), h.now)
		h.report(Report{Runner: id, Incarnation: 1})
	}
	h.reportAll(nil)
	return h
}

// reportAll lets every runner report its tasks as available, and the ends of the stopped ones.
func (h *departureHarness) reportAll(stops []Order) {
	ended := map[string][]RunResult{}
	for _, stop := range stops {
		delete(h.running, stop.Task)
		number := h.core.runners[stop.Runner].lastAppliedResult + len(ended[stop.Runner]) + 1
		ended[stop.Runner] = append(ended[stop.Runner], RunResult{Number: number, Task: stop.Task, Run: stop.Run, Kind: EndedStopped})
	}
	running := map[string][]Order{}
	for _, order := range h.running {
		running[order.Runner] = append(running[order.Runner], order)
	}
	for id := range maps.Keys(h.core.runners) {
		h.report(Report{Runner: id, Incarnation: 1, Running: runStatuses(100, running[id]...), Ended: ended[id]})
	}
}

// drainAll lets the leaving runners drain.
func (h *departureHarness) drainAll(remaining time.Duration) {
	for id, info := range h.leaving {
		info.Draining, info.Remaining = true, remaining
		h.core.UpdateRunner(info, h.now)
		h.leaving[id] = info
	}
}

// confirmStarts runs a round of scheduling and confirms its starts.
func (h *departureHarness) confirmStarts() []Order {
	starts := startOrders(h.schedule())
	for _, order := range starts {
		h.answer(order, Accepted, false)
		h.running[order.Task] = order
	}
	return starts
}

// Guards against tasks of many runners that leave together which all count on the same free
// capacity: no more may be stopped than there is free capacity for, also by later checks while
// the first stops are under way, and each of them must start again at once.
func TestRunnersThatLeaveTogetherCountFreeCapacityOnce(t *testing.T) {
	h := newDepartureHarness(t, 6, 0, 2, 1, 0, 2)
	h.drainAll(20 * time.Second)
	var stops []Order
	for range 5 {
		stops = append(stops, h.checkRuns()...)
		if n := len(startOrders(h.schedule())); n != 0 {
			t.Fatalf("%d starts before a stopped run has ended", n)
		}
	}
	if len(stops) != 5 {
		t.Fatalf("%d tasks are stopped, want 5: there is free capacity for as many", len(stops))
	}
	h.reportAll(stops)
	if n := len(h.confirmStarts()); n != 5 {
		t.Errorf("%d of the stopped tasks start again at once, want 5", n)
	}
	h.reportAll(nil)
	if n := len(h.checkRuns()); n != 0 {
		t.Errorf("%d more tasks are stopped without free capacity", n)
	}
	h.core.UpdateRunner(testRunner("added", 2*taskMilli), h.now)
	h.report(Report{Runner: "added", Incarnation: 1})
	if n := len(h.checkRuns()); n != 2 {
		t.Errorf("%d tasks are stopped once there is free capacity for two, want 2", n)
	}
}

// Guards against runners whose machines go down together and that count the same free capacity.
func TestCordonedRunnersCountFreeCapacityOnce(t *testing.T) {
	h := newDepartureHarness(t, 3, 3, 2)
	cordons := map[string]maintenance.Cordon{}
	for id := range h.leaving {
		cordons[id] = maintenance.Cordon{Until: h.now + 20*time.Second}
	}
	h.core.SetCordons(cordons, nil)
	if n := len(h.checkRuns()) + len(h.checkRuns()); n != 2 {
		t.Errorf("%d tasks are stopped, want 2: there is free capacity for as many", n)
	}
}

// Guards against work that takes the capacity for which a task was stopped.
func TestFreeCapacityStaysReservedForStoppedTasks(t *testing.T) {
	h := newDepartureHarness(t, 1, 0, 2)
	h.drainAll(20 * time.Second)
	stops := h.checkRuns()
	if len(stops) != 2 {
		t.Fatalf("%d stops, want 2", len(stops))
	}
	h.addJob(firstID, false, plainStep(1, taskMilli))
	h.addJob(secondID, false, standingStep(1, taskMilli))
	if got := startOrders(h.schedule()); len(got) != 0 {
		t.Fatalf("%+v take the capacity of stopped tasks", got)
	}
	h.reportAll(stops)
	starts := h.confirmStarts()
	if len(starts) != 2 || starts[0].Task != stops[0].Task && starts[0].Task != stops[1].Task {
		t.Errorf("started %+v, want the stopped tasks", starts)
	}
}

// Guards against capacity that stays reserved although the stopped runs do not end, or their job
// is cancelled.
func TestReservationsForStoppedTasksEnd(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		h := newDepartureHarness(t, 1, 0, 2)
		h.drainAll(time.Minute)
		for _, stop := range h.checkRuns() {
			if cancelled {
				h.core.Cancel(stop.Task.Job, h.now)
			}
		}
		h.addJob(firstID, false, plainStep(2, taskMilli))
		if !cancelled {
			if n := len(startOrders(h.schedule())); n != 0 {
				t.Fatalf("%d tasks take the reserved capacity at once", n)
			}
			h.now += reservationTime
		}
		if n := len(startOrders(h.schedule())); n != 2 {
			t.Errorf("cancelled %v: %d starts, want 2", cancelled, n)
		}
		for id, r := range h.core.runners {
			if len(r.reservations) != 0 {
				t.Errorf("cancelled %v: %d reservations are left on %s", cancelled, len(r.reservations), id)
			}
		}
	}
}

// Guards against a drain of several runners that makes more tasks of a step unavailable than its
// disruption budget allows, although there is free capacity for all of them.
func TestRunnersThatLeaveTogetherKeepTheDisruptionBudget(t *testing.T) {
	h := newDepartureHarness(t, 4, 2, 16)
	h.core.limits.UnavailableGrace = 4 * time.Second
	h.drainAll(20 * time.Second)
	stopsByJob := map[jobs.ID]int{}
	for range 3 {
		for _, stop := range h.checkRuns() {
			stopsByJob[stop.Task.Job]++
		}
	}
	for id, n := range stopsByJob {
		if n != 2 {
			t.Errorf("%d tasks of %s are stopped, want 2 as its budget allows", n, id)
		}
	}
	if len(stopsByJob) != tasksPerRunner {
		t.Errorf("tasks of %d jobs are stopped, want %d", len(stopsByJob), tasksPerRunner)
	}
}

// Guards against tasks that are lost with their runners because there is no free capacity: shortly
// before the runners stop, all tasks must be stopped.
func TestTasksWithoutFreeCapacityAreStoppedBeforeTheirRunnersStop(t *testing.T) {
	h := newDepartureHarness(t, 3, 0, 1)
	h.drainAll(10 * time.Second)
	if n := len(h.checkRuns()); n != 1 {
		t.Fatalf("%d stops at once, want 1", n)
	}
	h.now += 10*time.Second - longRunningEvictionMargin
	if n := len(h.checkRuns()); n != 3*tasksPerRunner-1 {
		t.Errorf("%d stops %v before the runners stop, want %d", n, longRunningEvictionMargin, 3*tasksPerRunner-1)
	}
}

// Guards against stopping a task for free capacity that a displaced task, which waits already, is
// about to take.
func TestDisplacedTasksThatWaitTakeFreeCapacityFirst(t *testing.T) {
	h := newDepartureHarness(t, 2, 0)
	lost := "leave-1"
	h.core.MarkRunnerSilent(lost)
	h.core.ExpireRunnerLeases(lost, h.now)
	h.schedule()
	for id, order := range h.running {
		if order.Runner == lost {
			delete(h.running, id)
		}
	}
	delete(h.leaving, lost)
	h.drainAll(20 * time.Second)
	h.core.UpdateRunner(testRunner("added", 5*taskMilli), h.now)
	h.report(Report{Runner: "added", Incarnation: 1})
	if n := len(h.checkRuns()); n != 1 {
		t.Errorf("%d tasks are stopped, want 1: four displaced tasks take four of five places", n)
	}
}

// Guards against finite tasks that have to be stopped, since they can't end in time, and whose
// place is counted as free for long-running tasks beside them.
func TestTasksThatMustLeaveCountForTheOthers(t *testing.T) {
	h := newCoreHarness(t, testRunner("leaving", 2*taskMilli))
	finite := plainStep(1, taskMilli)
	finite.Estimate = time.Hour
	starts := append(h.startJob(firstID, finite), h.startJob(secondID, standingStep(1, taskMilli))...)
	h.report(Report{Runner: "leaving", Incarnation: 1, Running: append(runStatuses(0, starts[0]), runStatuses(fullPace, starts[1])...)})
	h.core.UpdateRunner(testRunner("other", taskMilli), h.now)
	h.report(Report{Runner: "other", Incarnation: 1})
	h.drainRunner("leaving", 2*taskMilli, 20*time.Second)
	stops := append(h.checkRuns(), h.checkRuns()...)
	if len(stops) != 1 || stops[0].Task.Job != firstID {
		t.Errorf("stopped %+v, want only the task that can't end in time", stops)
	}
}

// Guards against a gang that is ended because one of its members can continue elsewhere.
func TestGangLeavesOnlyIfThereIsFreeCapacityForItsMembers(t *testing.T) {
	for free, want := range map[int]int{1: 0, 2: 2} {
		h := newCoreHarness(t, testRunner("leaving", 2*taskMilli))
		step := standingStep(2, taskMilli)
		step.Gang = true
		starts := h.startJob(firstID, step)
		h.report(Report{Runner: "leaving", Incarnation: 1, Running: runStatuses(fullPace, starts...)})
		h.core.UpdateRunner(testRunner("other", int64(free)*taskMilli), h.now)
		h.report(Report{Runner: "other", Incarnation: 1})
		h.drainRunner("leaving", 2*taskMilli, 20*time.Second)
		if n := len(h.checkRuns()); n != want {
			t.Errorf("%d members are stopped beside free capacity for %d, want %d", n, free, want)
		}
	}
}

// Guards against a plan that leaves its assumptions behind in the state that later decisions use,
// and against a run with two reasons to leave that is stopped or counted twice.
func TestPlanChangesNoState(t *testing.T) {
	h := newDepartureHarness(t, 2, 1, 3)
	h.drainAll(20 * time.Second)
	h.core.updateUnavailability(h.now)
	held := map[string]structs.Resources{}
	for id, r := range h.core.runners {
		held[id] = r.held
	}
	departures := h.core.collectDepartures(h.now)
	if n := len(h.core.planDepartures(departures, h.now)); n != 3 {
		t.Fatalf("%d moves are planned, want 3", n)
	}
	for id, r := range h.core.runners {
		if r.held != held[id] || len(r.reservations) != 0 {
			t.Errorf("%s holds %+v with %d reservations after planning, want %+v", id, r.held, len(r.reservations), held[id])
		}
	}
	for _, j := range h.core.jobs {
		for _, s := range j.openSteps {
			for r, n := range s.runsByRunner {
				if want := len(r.runs); n > want {
					t.Errorf("%d runs of %s on %s after planning, want %d at most", n, j.ID, r.ID, want)
				}
			}
		}
	}
	remaining := h.core.moveDepartures(append(departures, departures...), h.now)
	if n := len(ordersOfKind(h.core.TakeOrders(), Stop)); n != 3 || len(remaining) != 2*tasksPerRunner-3 {
		t.Errorf("%d stops and %d that stay, want 3 and %d", n, len(remaining), 2*tasksPerRunner-3)
	}
}

// Guards against throttled best-effort tasks of several images that move for the same idle
// processors, in one check or in successive ones.
func TestThrottledTasksCountIdleProcessorsOnce(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 32_000))
	h.startJob(firstID, servingStep("shop"))
	var starts []Order
	for i, image := range []string{"render", "index", "train"} {
		step := bestEffortStep(1, image)
		step.Checkpoints = true
		starts = append(starts, h.startJob(jobs.ID(fmt.Sprintf("00000000000001%02x", i)), step)...)
	}
	if len(starts) != 3 {
		t.Fatalf("%d best-effort tasks are started, want 3", len(starts))
	}
	h.core.UpdateRunner(testRunner("b", 6000), h.now)
	h.report(Report{Runner: "b", Incarnation: 1})
	h.now += throttledTime
	moved := 0
	for range 3 {
		for run := range h.core.runners["a"].runs {
			if run.step.BestEffort && run.state == stateRunning {
				run.pace, run.throttledSince = throttledPace, 1
			}
		}
		h.now += throttledTime
		h.core.updateUnavailability(h.now)
		h.core.moveThrottledRuns(h.now)
		moved += len(ordersOfKind(h.core.TakeOrders(), Stop))
		h.now -= throttledTime
	}
	if moved != 1 {
		t.Errorf("%d tasks are moved to idle processors for one", moved)
	}
}

// BenchmarkDepartures measures one check of a tenth of 490 runners that leave together beside full
// runners.
func BenchmarkDepartures(b *testing.B) {
	h := &coreHarness{core: New(Limits{}, discardLog(), nil), now: time.Second}
	h.core.Configure([]jobs.Queue{testQueue})
	for i := range 490 {
		h.core.UpdateRunner(testRunner(fmt.Sprintf("r%03d", i), 8*taskMilli), h.now)
		h.report(Report{Runner: fmt.Sprintf("r%03d", i), Incarnation: 1})
	}
	for i := range 490 {
		spec := jobs.Spec{Text: "text", Steps: []jobs.Step{standingStep(8, taskMilli)}}
		h.core.AddJob(jobs.New(jobs.ID(fmt.Sprintf("%016x", i+1)), testQueue, spec, 0, 1), false, 0)
	}
	for _, order := range startOrders(h.schedule()) {
		h.answer(order, Accepted, false)
	}
	for i := range 49 {
		h.core.runners[fmt.Sprintf("r%03d", i)].Draining = true
		h.core.runners[fmt.Sprintf("r%03d", i)].earliestStop = time.Hour
	}
	for b.Loop() {
		h.core.CheckRuns(h.now)
	}
}
