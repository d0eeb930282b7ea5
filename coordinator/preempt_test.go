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
func (h *coreHarness) enqueue(queue jobs.Queue, id jobs.ID, steps ...jobs.Step) *jobs.Job {
	h.t.Helper()
	spec := jobs.Spec{Text: "text", Steps: steps}
	if err := spec.Check(); err != nil {
		h.t.Fatal(err)
	}
	j := jobs.New(id, queue, spec, h.now, 1)
	h.core.AddJob(j, false, 0)
	return j
}

// batchStep returns a step of tasks that take 20 s.
func batchStep(count int, cpu int64, checkpoints bool) jobs.Step {
	step := plainStep(count, cpu)
	step.Estimate, step.Checkpoints = 20*time.Second, checkpoints
	return step
}

// newPreemptionHarness returns a harness with the given runners, on which batch steps run
// that leave no free capacity: the first step belongs to job 1, the next to job 2, and so
// on. It also returns the orders that started the tasks.
func newPreemptionHarness(t *testing.T, runners []RunnerInfo, steps ...jobs.Step) (*coreHarness, []Order) {
	h := newCoreHarness(t)
	h.core.limits.Preempt = true
	h.core.limits.UnavailableGrace = 4 * time.Second
	h.core.Configure([]jobs.Queue{urgentQueue, batchQueue})
	for _, info := range runners {
		h.core.UpdateRunner(info, h.now)
		h.report(Report{Runner: info.ID, Incarnation: 1})
	}
	var orders []Order
	for i, step := range steps {
		h.enqueue(batchQueue, batchID(i+1), step)
		orders = append(orders, startOrders(h.schedule())...)
	}
	for _, order := range orders {
		h.answer(order, Accepted, false)
	}
	return h, orders
}

func batchID(n int) jobs.ID { return jobs.ID("00000000000000" + string(rune('0'+n)) + "0") }

// reportProgress reports after 4 s that the runs on a runner have done a fifth of their work
// and have a checkpoint.
func (h *coreHarness) reportProgress(runner string, orders []Order) {
	h.now += 4 * time.Second
	var running []RunStatus
	for _, order := range orders {
		if order.Runner == runner {
			running = append(running, RunStatus{Task: order.Task, Run: order.Run, Percent: 20, Checkpoint: "s1"})
		}
	}
	h.report(Report{Runner: runner, Incarnation: 1, Running: running})
}

// waitForPreemption lets urgent work that finds no free capacity wait until it may preempt,
// and returns the stops that are ordered.
func (h *coreHarness) waitForPreemption() []Order {
	h.schedule()
	h.now += preemptWait
	return ordersOfKind(h.schedule(), Stop)
}

func stoppedJobs(orders []Order) []jobs.ID {
	var ids []jobs.ID
	for _, order := range orders {
		ids = append(ids, order.Task.Job)
	}
	slices.Sort(ids)
	return ids
}

// Guards against urgent work that waits for the end of batch work which has taken all
// capacity. The urgent work must get the capacity of the task with the least loss, no other
// waiting work may take that capacity, and the stopped task must resume from its checkpoint.
func TestUrgentWorkPreemptsATaskWithACheckpoint(t *testing.T) {
	h, batch := newPreemptionHarness(t, []RunnerInfo{testRunner("a", 4000)}, batchStep(1, 2000, false), batchStep(1, 2000, true))
	h.now += 4 * time.Second
	h.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{
		{Task: batch[0].Task, Run: 1, Percent: 20}, {Task: batch[1].Task, Run: 1, Percent: 20, Checkpoint: "s1"}}})
	h.enqueue(batchQueue, batchID(3), batchStep(1, 1000, false))
	h.enqueue(urgentQueue, firstID, plainStep(1, 1000))
	stops := h.waitForPreemption()
	if len(stops) != 1 || stops[0].Task.Job != batchID(2) {
		t.Fatalf("stops %+v, want that of the task with a checkpoint", stops)
	}
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatalf("%d starts before the end of the stopped run is reported", n)
	}
	h.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: batch[0].Task, Run: 1, Percent: 21}},
		Ended: []RunResult{{Number: 1, Task: batch[1].Task, Run: 1, Kind: EndedStopped, Checkpoint: "s2"}}})
	orders := startOrders(h.schedule())
	if len(orders) != 2 || orders[0].Task.Job != firstID || orders[1].Task.Job != batchID(3) {
		t.Fatalf("orders %+v, want the urgent task, then the batch task that fits beside it", orders)
	}
	h.core.Cancel(batchID(1), h.now)
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{
		{Number: 2, Task: batch[0].Task, Run: 1, Kind: EndedStopped}}})
	restarts := startOrders(h.schedule())
	if len(restarts) != 1 || restarts[0].Task.Job != batchID(2) || restarts[0].Checkpoint != "s2" {
		t.Errorf("orders %+v, want the stopped task with its checkpoint", restarts)
	}
}

// Guards against other work that takes the capacity of a stopped task, even while it is not
// enough for the work that the task was stopped for. The reservation must expire, though.
func TestReservationKeepsCapacityUntilItExpires(t *testing.T) {
	h, batch := newPreemptionHarness(t, []RunnerInfo{testRunner("a", 2000)}, batchStep(2, 1000, true))
	h.reportProgress("a", batch)
	h.enqueue(urgentQueue, firstID, plainStep(1, 2000))
	stops := h.waitForPreemption()
	if len(stops) != 2 {
		t.Fatalf("%d stops, want 2", len(stops))
	}
	h.enqueue(batchQueue, batchID(2), batchStep(1, 1000, false))
	h.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: stops[1].Task, Run: 1, Percent: 20, Checkpoint: "s1"}},
		Ended: []RunResult{{Number: 1, Task: stops[0].Task, Run: 1, Kind: EndedStopped}}})
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Errorf("%d starts of batch tasks in the reserved capacity", n)
	}
	h.now += reservationTime
	if n := len(startOrders(h.schedule())); n != 1 {
		t.Errorf("%d starts after the reservation has expired, want 1", n)
	}
}

// Guards against stopping more runs than the waiting tasks need, or the same run twice.
func TestNoMoreIsStoppedThanNeeded(t *testing.T) {
	h, batch := newPreemptionHarness(t, []RunnerInfo{testRunner("a", 8000), testRunner("b", 8000)}, batchStep(8, 1000, true), batchStep(2, 4000, true))
	h.reportProgress("a", batch)
	h.reportProgress("b", batch)
	h.enqueue(urgentQueue, firstID, plainStep(3, 1000))
	if n := len(h.waitForPreemption()); n != 3 {
		t.Errorf("%d stops for three tasks as large as the victims, want 3", n)
	}
	h.now += preemptInterval
	if n := len(ordersOfKind(h.schedule(), Stop)); n != 0 {
		t.Errorf("%d more stops while the first ones are under way", n)
	}
}

// Guards against preemption that gains nothing: no run may be stopped for work that isn't
// more important, that will fit soon anyway, that does less work than would be lost, or that
// would keep the capacity for good. In test runs of the scheduler with batch work that holds
// processors, serving tasks took its capacity and urgent work had none.
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
		"member of a gang":   {urgentQueue, plainStep(1, 1000), func() jobs.Step { step := batchStep(2, 2000, true); step.Gang = true; return step }(), 20},
	} {
		h, batch := newPreemptionHarness(t, []RunnerInfo{testRunner("a", 4000)}, test.victim)
		h.now += 4 * time.Second
		running := runStatuses(test.percent, batch...)
		for i := range running {
			running[i].Checkpoint = "s1" // a task that does not checkpoint loses its progress nevertheless
		}
		h.report(Report{Runner: "a", Incarnation: 1, Running: running})
		j := h.enqueue(test.queue, firstID, test.step)
		h.core.jobs[j.ID].started = true // long-running work of a job that has not begun waits for other reasons
		if n := len(h.waitForPreemption()); n != 0 {
			t.Errorf("%s: %d stops", name, n)
		}
	}
}

// Guards against preemption that exceeds the disruption budget of long-running work.
func TestPreemptionKeepsTheDisruptionBudget(t *testing.T) {
	h, batch := newPreemptionHarness(t, []RunnerInfo{testRunner("a", 3000)}, longRunningStep(3, 1))
	if len(batch) != 3 {
		t.Fatalf("%d starts, want 3", len(batch))
	}
	h.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(100, batch...)})
	h.checkRuns()
	h.enqueue(urgentQueue, firstID, batchStep(2, 1000, false))
	if n := len(h.waitForPreemption()); n != 1 {
		t.Errorf("%d stops, want 1 as the budget allows", n)
	}
}

// Guards against a task that is preempted again and again, so that its job never ends.
func TestATaskIsPreemptedABoundedNumberOfTimes(t *testing.T) {
	h, batch := newPreemptionHarness(t, []RunnerInfo{testRunner("a", 1000)}, batchStep(1, 1000, true))
	number := 0
	for round := range maxPreemptions + 1 {
		h.reportProgress("a", batch)
		id := jobs.ID("00000000000000e" + string(rune('0'+round)))
		h.enqueue(urgentQueue, id, plainStep(1, 1000))
		stops := h.waitForPreemption()
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
		h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: number, Task: batch[0].Task, Run: batch[0].Run, Kind: EndedStopped}}})
		urgent := startOrders(h.schedule())[0]
		h.answer(urgent, Accepted, false)
		number++
		h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: number, Task: urgent.Task, Run: 1, Kind: EndedDone}}})
		batch = startOrders(h.schedule())
		h.answer(batch[0], Accepted, false)
	}
}

// Guards against stopping best-effort tasks when processors are missing, since they hold
// only memory. When memory is missing, they must be stopped first.
func TestBestEffortTasksAreStoppedForMemoryOnly(t *testing.T) {
	bestEffort := batchStep(1, 1000, true)
	bestEffort.BestEffort, bestEffort.Image, bestEffort.Resources.MemoryMB = true, "render", 60_000
	regular := batchStep(1, 1000, true)
	regular.Resources.MemoryMB = 40_000
	h, batch := newPreemptionHarness(t, []RunnerInfo{testRunner("a", 4000)}, bestEffort, regular)
	if len(batch) != 2 {
		t.Fatalf("%d starts, want 2", len(batch))
	}
	h.reportProgress("a", batch)
	urgent := plainStep(1, 1000)
	urgent.Resources.MemoryMB = 30_000
	h.enqueue(urgentQueue, firstID, urgent)
	if got := stoppedJobs(h.waitForPreemption()); len(got) != 1 || got[0] != batchID(1) {
		t.Errorf("stopped %v for memory, want the best-effort task", got)
	}
	wide := plainStep(1, 3500)
	wide.Resources.MemoryMB = 10
	h, batch = newPreemptionHarness(t, []RunnerInfo{testRunner("a", 4000)}, bestEffort, regular)
	h.reportProgress("a", batch)
	h.enqueue(urgentQueue, firstID, wide)
	if got := stoppedJobs(h.waitForPreemption()); len(got) != 1 || got[0] != batchID(2) {
		t.Errorf("stopped %v for processors, want the task that holds some", got)
	}
}

// Guards against a reservation that remains after its runner is lost. A step with
// reservations does not use the failed searches of other steps, and it would release its
// later reservations too early.
func TestReservationEndsWithItsRunner(t *testing.T) {
	h, batch := newPreemptionHarness(t, []RunnerInfo{testRunner("a", 1000)}, batchStep(1, 1000, true))
	h.reportProgress("a", batch)
	h.enqueue(urgentQueue, firstID, plainStep(1, 1000))
	if n := len(h.waitForPreemption()); n != 1 {
		t.Fatalf("%d stops, want 1", n)
	}
	waiting := h.core.jobs[firstID].openSteps[[2]int{0, 0}]
	if waiting.reservationCount != 1 {
		t.Fatalf("%d reservations, want 1", waiting.reservationCount)
	}
	h.core.runners["a"].registered = false
	h.core.ExpireRunnerLeases("a", h.now)
	if waiting.reservationCount != 0 {
		t.Errorf("%d reservations on a runner that is lost", waiting.reservationCount)
	}
}
