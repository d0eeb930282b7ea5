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

// enqueue accepts a job of a queue.
func (w *world) enqueue(queue jobs.Queue, id jobs.ID, steps ...jobs.Step) *jobs.Job {
	w.t.Helper()
	spec := jobs.Spec{Text: "text", Steps: steps}
	if err := spec.Check(); err != nil {
		w.t.Fatal(err)
	}
	j := jobs.New(id, queue, spec, w.now, 1)
	w.core.Accept(j, false, 0)
	return j
}

// batchStep is a step of tasks that take long.
func batchStep(count int, cpu int64, checkpoints bool) jobs.Step {
	s := plain(count, cpu)
	s.Estimate, s.Checkpoints = 20*time.Second, checkpoints
	return s
}

// preemptWorld has runners whose room is taken by running batch steps, the first
// by the job 1, the next by the job 2, and so on.
func preemptWorld(t *testing.T, runners []RunnerInfo, steps ...jobs.Step) (*world, []Order) {
	w := newWorld(t)
	w.core.limits.Preempt = true
	w.core.limits.NoticeTime = 4 * time.Second
	w.core.Configure([]jobs.Queue{urgentQueue, batchQueue})
	for _, r := range runners {
		w.core.RunnerSeen(r, w.now)
		w.report(Report{Runner: r.ID, Incarnation: 1})
	}
	var orders []Order
	for i, s := range steps {
		w.enqueue(batchQueue, batchID(i+1), s)
		orders = append(orders, starts(w.schedule())...)
	}
	for _, o := range orders {
		w.answer(o, Accepted, false)
	}
	return w, orders
}

func batchID(n int) jobs.ID { return jobs.ID("00000000000000" + string(rune('0'+n)) + "0") }

// progress reports the runs of a runner as a fifth done after 4 s, and saved.
func (w *world) progress(runner string, orders []Order) {
	w.now += 4 * time.Second
	var running []RunStatus
	for _, o := range orders {
		if o.Runner == runner {
			running = append(running, RunStatus{Task: o.Task, Run: o.Run, Percent: 20, Saved: "s1"})
		}
	}
	w.report(Report{Runner: runner, Incarnation: 1, Running: running})
}

// waitForRoom lets urgent work that finds no room wait until it may preempt, and
// returns the stops.
func (w *world) waitForRoom() []Order {
	w.schedule()
	w.now += preemptWait
	return ofKind(w.schedule(), Stop)
}

func stoppedJobs(orders []Order) []jobs.ID {
	var ids []jobs.ID
	for _, o := range orders {
		ids = append(ids, o.Task.Job)
	}
	slices.Sort(ids)
	return ids
}

// Urgent work waited for the end of batch work that took the whole fleet. It must
// get the room of the task that loses least, while other work that waits must not
// take that room, and the batch task must resume from its checkpoint.
func TestUrgentWorkTakesTheRoomOfACheckpointingTask(t *testing.T) {
	w, batch := preemptWorld(t, []RunnerInfo{machine("a", 4000)}, batchStep(1, 2000, false), batchStep(1, 2000, true))
	w.now += 4 * time.Second
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{
		{Task: batch[0].Task, Run: 1, Percent: 20}, {Task: batch[1].Task, Run: 1, Percent: 20, Saved: "s1"}}})
	w.enqueue(batchQueue, batchID(3), batchStep(1, 1000, false))
	w.enqueue(urgentQueue, firstID, plain(1, 1000))
	stops := w.waitForRoom()
	if len(stops) != 1 || stops[0].Task.Job != batchID(2) {
		t.Fatalf("stops %+v, want that of the task with a checkpoint", stops)
	}
	if n := len(starts(w.schedule())); n != 0 {
		t.Fatalf("%d starts before the end of the stopped run is listed", n)
	}
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: batch[0].Task, Run: 1, Percent: 21}},
		Ended: []RunEnd{{Number: 1, Task: batch[1].Task, Run: 1, How: EndedStopped, Saved: "s2"}}})
	orders := starts(w.schedule())
	if len(orders) != 2 || orders[0].Task.Job != firstID || orders[1].Task.Job != batchID(3) {
		t.Fatalf("orders %+v, want the urgent task, then the batch task that fits beside it", orders)
	}
	w.core.Cancel(batchID(1), w.now)
	w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{
		{Number: 2, Task: batch[0].Task, Run: 1, How: EndedStopped}}})
	again := starts(w.schedule())
	if len(again) != 1 || again[0].Task.Job != batchID(2) || again[0].Saved != "s2" {
		t.Errorf("orders %+v, want the stopped task with its checkpoint", again)
	}
}

// The room of a stopped task must stay with the work that it was stopped for,
// also while that is too little for it, but not for good.
func TestClaimKeepsRoomForAWhile(t *testing.T) {
	w, batch := preemptWorld(t, []RunnerInfo{machine("a", 2000)}, batchStep(2, 1000, true))
	w.progress("a", batch)
	w.enqueue(urgentQueue, firstID, plain(1, 2000))
	stops := w.waitForRoom()
	if len(stops) != 2 {
		t.Fatalf("%d stops, want 2", len(stops))
	}
	w.enqueue(batchQueue, batchID(2), batchStep(1, 1000, false))
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: stops[1].Task, Run: 1, Percent: 20, Saved: "s1"}},
		Ended: []RunEnd{{Number: 1, Task: stops[0].Task, Run: 1, How: EndedStopped}}})
	if n := len(starts(w.schedule())); n != 0 {
		t.Errorf("%d starts of batch tasks in the room that is kept", n)
	}
	w.now += claimTime
	if n := len(starts(w.schedule())); n != 1 {
		t.Errorf("%d starts after the claim has lapsed, want 1", n)
	}
}

// No more may be stopped than the waiting tasks need, and nothing twice.
func TestNoMoreIsStoppedThanNeeded(t *testing.T) {
	w, batch := preemptWorld(t, []RunnerInfo{machine("a", 8000), machine("b", 8000)}, batchStep(8, 1000, true), batchStep(2, 4000, true))
	w.progress("a", batch)
	w.progress("b", batch)
	w.enqueue(urgentQueue, firstID, plain(3, 1000))
	if n := len(w.waitForRoom()); n != 3 {
		t.Errorf("%d stops for three tasks as large as the victims, want 3", n)
	}
	w.now += preemptEvery
	if n := len(ofKind(w.schedule(), Stop)); n != 0 {
		t.Errorf("%d more stops while the first ones are under way", n)
	}
}

// Nothing may be stopped for work that isn't more important, that fits within a
// short time anyway, that does less work than would be lost, or that would hold the
// room for good: on trial days with batch work that holds processors, serving tasks
// took its room and urgent work lacked it.
func TestNothingIsStoppedInVain(t *testing.T) {
	for name, test := range map[string]struct {
		queue   jobs.Queue
		step    jobs.Step
		victim  jobs.Step
		percent int
	}{
		"equal priority":     {batchQueue, plain(1, 1000), batchStep(1, 4000, true), 20},
		"room soon":          {urgentQueue, plain(1, 1000), batchStep(1, 4000, true), 90},
		"large loss":         {urgentQueue, plain(1, 1000), batchStep(1, 4000, false), 60},
		"long-running":       {urgentQueue, lasting(1, 0), batchStep(1, 4000, true), 20},
		"a gang would break": {urgentQueue, plain(1, 1000), func() jobs.Step { s := batchStep(2, 2000, true); s.Gang = true; return s }(), 20},
	} {
		w, batch := preemptWorld(t, []RunnerInfo{machine("a", 4000)}, test.victim)
		w.now += 4 * time.Second
		running := at(test.percent, batch...)
		for i := range running {
			running[i].Saved = "s1" // what does not checkpoint loses it nevertheless
		}
		w.report(Report{Runner: "a", Incarnation: 1, Running: running})
		j := w.enqueue(test.queue, firstID, test.step)
		w.core.jobs[j.ID].begun = true // long-running work of a new job waits for other reasons
		if n := len(w.waitForRoom()); n != 0 {
			t.Errorf("%s: %d stops", name, n)
		}
	}
}

// Long-running work must be preempted within its disruption budget.
func TestPreemptionKeepsTheDisruptionBudget(t *testing.T) {
	w, batch := preemptWorld(t, []RunnerInfo{machine("a", 3000)}, lasting(3, 1))
	if len(batch) != 3 {
		t.Fatalf("%d starts, want 3", len(batch))
	}
	w.report(Report{Runner: "a", Incarnation: 1, Running: at(100, batch...)})
	w.watch()
	w.enqueue(urgentQueue, firstID, batchStep(2, 1000, false))
	if n := len(w.waitForRoom()); n != 1 {
		t.Errorf("%d stops, want 1 as the budget allows", n)
	}
}

// The same task must not be stopped again and again: its job would never end.
func TestATaskIsPreemptedABoundedNumberOfTimes(t *testing.T) {
	w, batch := preemptWorld(t, []RunnerInfo{machine("a", 1000)}, batchStep(1, 1000, true))
	number := 0
	for round := range maxPreemptions + 1 {
		w.progress("a", batch)
		id := jobs.ID("00000000000000e" + string(rune('0'+round)))
		w.enqueue(urgentQueue, id, plain(1, 1000))
		stops := w.waitForRoom()
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
		w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{{Number: number, Task: batch[0].Task, Run: batch[0].Run, How: EndedStopped}}})
		urgent := starts(w.schedule())[0]
		w.answer(urgent, Accepted, false)
		number++
		w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{{Number: number, Task: urgent.Task, Run: 1, How: EndedDone}}})
		batch = starts(w.schedule())
		w.answer(batch[0], Accepted, false)
	}
}

// Filling tasks hold memory but no processors: stopping them must be no answer to
// a lack of processors, and the first one to a lack of memory.
func TestFillingTasksAreStoppedForMemory(t *testing.T) {
	fill := batchStep(1, 1000, true)
	fill.BestEffort, fill.Image, fill.Resources.MemoryMB = true, "render", 60_000
	firm := batchStep(1, 1000, true)
	firm.Resources.MemoryMB = 40_000
	w, batch := preemptWorld(t, []RunnerInfo{machine("a", 4000)}, fill, firm)
	if len(batch) != 2 {
		t.Fatalf("%d starts, want 2", len(batch))
	}
	w.progress("a", batch)
	urgent := plain(1, 1000)
	urgent.Resources.MemoryMB = 30_000
	w.enqueue(urgentQueue, firstID, urgent)
	if got := stoppedJobs(w.waitForRoom()); len(got) != 1 || got[0] != batchID(1) {
		t.Errorf("stopped %v for memory, want the filling task", got)
	}
	wide := plain(1, 3500)
	wide.Resources.MemoryMB = 10
	w, batch = preemptWorld(t, []RunnerInfo{machine("a", 4000)}, fill, firm)
	w.progress("a", batch)
	w.enqueue(urgentQueue, firstID, wide)
	if got := stoppedJobs(w.waitForRoom()); len(got) != 1 || got[0] != batchID(2) {
		t.Errorf("stopped %v for processors, want the task that holds some", got)
	}
}

// A claim on a runner that is lost must be given up: a step with claims doesn't share
// what is known of full runners, and would give up its later claims.
func TestClaimEndsWithItsRunner(t *testing.T) {
	w, batch := preemptWorld(t, []RunnerInfo{machine("a", 1000)}, batchStep(1, 1000, true))
	w.progress("a", batch)
	w.enqueue(urgentQueue, firstID, plain(1, 1000))
	if n := len(w.waitForRoom()); n != 1 {
		t.Fatalf("%d stops, want 1", n)
	}
	waiting := w.core.jobs[firstID].work[[2]int{0, 0}]
	if waiting.claims != 1 {
		t.Fatalf("%d claims, want 1", waiting.claims)
	}
	w.core.runners["a"].listed = false
	w.core.RunnerLapsed("a", w.now)
	if waiting.claims != 0 {
		t.Errorf("%d claims on a runner that is lost", waiting.claims)
	}
}
