package coordinator

import (
	"slices"
	"testing"
	"time"

	"bergamotstile/jobs"
)

var (
	urgentQueue = jobs.Queue{Name: "urgent", Service: testService, MaxAttempts: 2, Stretch: 1.5, TargetLatency: 10 * time.Second}
	batchQueue  = jobs.Queue{Name: "batch", Service: testService, Priority: 2, MaxAttempts: 2, Stretch: 2, TargetLatency: time.Minute}
)

// enqueue accepts a job in the given queue.
func (w *coreHarness) enqueue(queue jobs.Queue, id jobs.ID, steps ...jobs.Step) *jobs.Job {
	w.t.Helper()
	spec := jobs.Spec{Text: "text", Steps: steps}
	if err := spec.Check(); err != nil {
		w.t.Fatal(err)
	}
	j := jobs.New(id, queue, spec, w.now, 1)
	w.core.Accept(j, false, 0)
	return j
}

// batchStep returns a step of tasks that take 20 s.
func batchStep(count int, cpu int64, checkpoints bool) jobs.Step {
	s := plainStep(count, cpu)
	s.Estimate, s.Checkpoints = 20*time.Second, checkpoints
	return s
}

// newPreemptionWorld returns a world with the given runners, on which batch steps run that
// leave no free capacity: the first step belongs to job 1, the next to job 2, and so on. It
// also returns the orders that started the tasks.
func newPreemptionWorld(t *testing.T, runners []RunnerInfo, steps ...jobs.Step) (*coreHarness, []Order) {
	w := newCoreHarness(t)
	w.core.limits.Preempt = true
	w.core.limits.UnavailableGrace = 4 * time.Second
	w.core.Configure([]jobs.Queue{urgentQueue, batchQueue})
	for _, r := range runners {
		w.core.UpdateRunner(r, w.now)
		w.report(Report{Runner: r.ID, Incarnation: 1})
	}
	var orders []Order
	for i, s := range steps {
		w.enqueue(batchQueue, batchID(i+1), s)
		orders = append(orders, startOrders(w.schedule())...)
	}
	for _, o := range orders {
		w.answer(o, Accepted, false)
	}
	return w, orders
}

func batchID(n int) jobs.ID { return jobs.ID("00000000000000" + string(rune('0'+n)) + "0") }

// reportProgress reports after 4 s that the runs on a runner have done a fifth of their work
// and have a checkpoint.
func (w *coreHarness) reportProgress(runner string, orders []Order) {
	w.now += 4 * time.Second
	var running []RunStatus
	for _, o := range orders {
		if o.Runner == runner {
			running = append(running, RunStatus{Task: o.Task, Run: o.Run, Percent: 20, Checkpoint: "s1"})
		}
	}
	w.report(Report{Runner: runner, Incarnation: 1, Running: running})
}

// waitForPreemption lets urgent work that finds no free capacity wait until it may preempt,
// and returns the stops that are ordered.
func (w *coreHarness) waitForPreemption() []Order {
	w.schedule()
	w.now += preemptWait
	return ordersOfKind(w.schedule(), Stop)
}

func stoppedJobs(orders []Order) []jobs.ID {
	var ids []jobs.ID
	for _, o := range orders {
		ids = append(ids, o.Task.Job)
	}
	slices.Sort(ids)
	return ids
}

// Guards against urgent work that waits for the end of batch work which has taken all
// capacity. The urgent work must get the capacity of the task with the least loss, no other
// waiting work may take that capacity, and the stopped task must resume from its checkpoint.
func TestUrgentWorkPreemptsATaskWithACheckpoint(t *testing.T) {
	w, batch := newPreemptionWorld(t, []RunnerInfo{testRunner("a", 4000)}, batchStep(1, 2000, false), batchStep(1, 2000, true))
	w.now += 4 * time.Second
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{
		{Task: batch[0].Task, Run: 1, Percent: 20}, {Task: batch[1].Task, Run: 1, Percent: 20, Checkpoint: "s1"}}})
	w.enqueue(batchQueue, batchID(3), batchStep(1, 1000, false))
	w.enqueue(urgentQueue, firstID, plainStep(1, 1000))
	stops := w.waitForPreemption()
	if len(stops) != 1 || stops[0].Task.Job != batchID(2) {
		t.Fatalf("stops %+v, want that of the task with a checkpoint", stops)
	}
	if n := len(startOrders(w.schedule())); n != 0 {
		t.Fatalf("%d starts before the end of the stopped run is reported", n)
	}
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: batch[0].Task, Run: 1, Percent: 21}},
		Ended: []RunEnd{{Number: 1, Task: batch[1].Task, Run: 1, Kind: EndedStopped, Checkpoint: "s2"}}})
	orders := startOrders(w.schedule())
	if len(orders) != 2 || orders[0].Task.Job != firstID || orders[1].Task.Job != batchID(3) {
		t.Fatalf("orders %+v, want the urgent task, then the batch task that fits beside it", orders)
	}
	w.core.Cancel(batchID(1), w.now)
	w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{
		{Number: 2, Task: batch[0].Task, Run: 1, Kind: EndedStopped}}})
	again := startOrders(w.schedule())
	if len(again) != 1 || again[0].Task.Job != batchID(2) || again[0].Checkpoint != "s2" {
		t.Errorf("orders %+v, want the stopped task with its checkpoint", again)
	}
}

// Guards against other work that takes the capacity of a stopped task, even while it is not
// enough for the work that the task was stopped for. The reservation must expire, though.
func TestReservationKeepsCapacityUntilItExpires(t *testing.T) {
	w, batch := newPreemptionWorld(t, []RunnerInfo{testRunner("a", 2000)}, batchStep(2, 1000, true))
	w.reportProgress("a", batch)
	w.enqueue(urgentQueue, firstID, plainStep(1, 2000))
	stops := w.waitForPreemption()
	if len(stops) != 2 {
		t.Fatalf("%d stops, want 2", len(stops))
	}
	w.enqueue(batchQueue, batchID(2), batchStep(1, 1000, false))
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: stops[1].Task, Run: 1, Percent: 20, Checkpoint: "s1"}},
		Ended: []RunEnd{{Number: 1, Task: stops[0].Task, Run: 1, Kind: EndedStopped}}})
	if n := len(startOrders(w.schedule())); n != 0 {
		t.Errorf("%d starts of batch tasks in the reserved capacity", n)
	}
	w.now += reservationTime
	if n := len(startOrders(w.schedule())); n != 1 {
		t.Errorf("%d starts after the reservation has expired, want 1", n)
	}
}

// Guards against stopping more runs than the waiting tasks need, or the same run twice.
func TestNoMoreIsStoppedThanNeeded(t *testing.T) {
	w, batch := newPreemptionWorld(t, []RunnerInfo{testRunner("a", 8000), testRunner("b", 8000)}, batchStep(8, 1000, true), batchStep(2, 4000, true))
	w.reportProgress("a", batch)
	w.reportProgress("b", batch)
	w.enqueue(urgentQueue, firstID, plainStep(3, 1000))
	if n := len(w.waitForPreemption()); n != 3 {
		t.Errorf("%d stops for three tasks as large as the victims, want 3", n)
	}
	w.now += preemptInterval
	if n := len(ordersOfKind(w.schedule(), Stop)); n != 0 {
		t.Errorf("%d more stops while the first ones are under way", n)
	}
}

// Guards against preemption that gains nothing: no run may be stopped for work that isn't
// more important, that will fit soon anyway, that does less work than would be lost, or that
// would keep the capacity for good. In trial runs with batch work that holds processors,
// serving tasks took its capacity and urgent work had none.
func TestNoRunIsPreemptedWithoutBenefit(t *testing.T) {
	for name, test := range map[string]struct {
		queue   jobs.Queue
		step    jobs.Step
		victim  jobs.Step
		percent int
	}{
		"equal priority":     {batchQueue, plainStep(1, 1000), batchStep(1, 4000, true), 20},
		"capacity free soon": {urgentQueue, plainStep(1, 1000), batchStep(1, 4000, true), 90},
		"large loss":         {urgentQueue, plainStep(1, 1000), batchStep(1, 4000, false), 60},
		"long-running":       {urgentQueue, longRunningStep(1, 0), batchStep(1, 4000, true), 20},
		"member of a gang":   {urgentQueue, plainStep(1, 1000), func() jobs.Step { s := batchStep(2, 2000, true); s.Gang = true; return s }(), 20},
	} {
		w, batch := newPreemptionWorld(t, []RunnerInfo{testRunner("a", 4000)}, test.victim)
		w.now += 4 * time.Second
		running := runStatuses(test.percent, batch...)
		for i := range running {
			running[i].Checkpoint = "s1" // a task that does not checkpoint loses its progress nevertheless
		}
		w.report(Report{Runner: "a", Incarnation: 1, Running: running})
		j := w.enqueue(test.queue, firstID, test.step)
		w.core.jobs[j.ID].started = true // long-running work of a job that has not begun waits for other reasons
		if n := len(w.waitForPreemption()); n != 0 {
			t.Errorf("%s: %d stops", name, n)
		}
	}
}

// Guards against preemption that exceeds the disruption budget of long-running work.
func TestPreemptionKeepsTheDisruptionBudget(t *testing.T) {
	w, batch := newPreemptionWorld(t, []RunnerInfo{testRunner("a", 3000)}, longRunningStep(3, 1))
	if len(batch) != 3 {
		t.Fatalf("%d starts, want 3", len(batch))
	}
	w.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(100, batch...)})
	w.runWatch()
	w.enqueue(urgentQueue, firstID, batchStep(2, 1000, false))
	if n := len(w.waitForPreemption()); n != 1 {
		t.Errorf("%d stops, want 1 as the budget allows", n)
	}
}

// Guards against a task that is preempted again and again, so that its job never ends.
func TestATaskIsPreemptedABoundedNumberOfTimes(t *testing.T) {
	w, batch := newPreemptionWorld(t, []RunnerInfo{testRunner("a", 1000)}, batchStep(1, 1000, true))
	number := 0
	for round := range maxPreemptions + 1 {
		w.reportProgress("a", batch)
		id := jobs.ID("00000000000000e" + string(rune('0'+round)))
		w.enqueue(urgentQueue, id, plainStep(1, 1000))
		stops := w.waitForPreemption()
		if round == maxPreemptions {
			if len(stops) != 0 {
				t.Errorf("stopped for the %dth time", round+1)
			}
			return
		}
		if len(stops) != 1 {
			t.Fatalf("%d stops in round %d, want 1", len(stops), round)
		}
		number++
		w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{{Number: number, Task: batch[0].Task, Run: batch[0].Run, Kind: EndedStopped}}})
		urgent := startOrders(w.schedule())[0]
		w.answer(urgent, Accepted, false)
		number++
		w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{{Number: number, Task: urgent.Task, Run: 1, Kind: EndedDone}}})
		batch = startOrders(w.schedule())
		w.answer(batch[0], Accepted, false)
	}
}

// Guards against stopping best-effort tasks when processors are missing, since they hold
// only memory. When memory is missing, they must be stopped first.
func TestBestEffortTasksAreStoppedForMemoryOnly(t *testing.T) {
	bestEffort := batchStep(1, 1000, true)
	bestEffort.BestEffort, bestEffort.Image, bestEffort.Resources.MemoryMB = true, "render", 60_000
	regular := batchStep(1, 1000, true)
	regular.Resources.MemoryMB = 40_000
	w, batch := newPreemptionWorld(t, []RunnerInfo{testRunner("a", 4000)}, bestEffort, regular)
	if len(batch) != 2 {
		t.Fatalf("%d starts, want 2", len(batch))
	}
	w.reportProgress("a", batch)
	urgent := plainStep(1, 1000)
	urgent.Resources.MemoryMB = 30_000
	w.enqueue(urgentQueue, firstID, urgent)
	if got := stoppedJobs(w.waitForPreemption()); len(got) != 1 || got[0] != batchID(1) {
		t.Errorf("stopped %v for memory, want the best-effort task", got)
	}
	wide := plainStep(1, 3500)
	wide.Resources.MemoryMB = 10
	w, batch = newPreemptionWorld(t, []RunnerInfo{testRunner("a", 4000)}, bestEffort, regular)
	w.reportProgress("a", batch)
	w.enqueue(urgentQueue, firstID, wide)
	if got := stoppedJobs(w.waitForPreemption()); len(got) != 1 || got[0] != batchID(2) {
		t.Errorf("stopped %v for processors, want the task that holds some", got)
	}
}

// Guards against a reservation that remains after its runner is lost. A step with
// reservations does not share the marks of full runners, and it would release its later
// reservations too early.
func TestReservationEndsWithItsRunner(t *testing.T) {
	w, batch := newPreemptionWorld(t, []RunnerInfo{testRunner("a", 1000)}, batchStep(1, 1000, true))
	w.reportProgress("a", batch)
	w.enqueue(urgentQueue, firstID, plainStep(1, 1000))
	if n := len(w.waitForPreemption()); n != 1 {
		t.Fatalf("%d stops, want 1", n)
	}
	waiting := w.core.jobs[firstID].openSteps[[2]int{0, 0}]
	if waiting.reservationCount != 1 {
		t.Fatalf("%d reservations, want 1", waiting.reservationCount)
	}
	w.core.runners["a"].registered = false
	w.core.ExpireRunnerLeases("a", w.now)
	if waiting.reservationCount != 0 {
		t.Errorf("%d reservations on a runner that is lost", waiting.reservationCount)
	}
}
