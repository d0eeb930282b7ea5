package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

// copyHarness drives a Core with one slow run of a task. The run is on runner "a"; runner "b" is idle.
type copyHarness struct {
	*coreHarness
	counts map[string]int64
	first  Order // the start of the run
	began  time.Duration
}

// speculativeStep returns a step of tasks of one processor that may have copies.
func speculativeStep(count int, after ...int) jobs.Step {
	step := plainStep(count, 1000, after...)
	step.Speculative = true
	return step
}

// newCopyCore returns a harness with the two runners. The run times measured so far are within a fifth
// of the usual ones.
func newCopyCore(t *testing.T) *copyHarness {
	t.Helper()
	h := &copyHarness{coreHarness: newCoreHarness(t), counts: map[string]int64{}}
	h.core.counters = func(name string, n int64) { h.counts[name] += n }
	for i := range 2 * minRatios {
		h.core.speculation.runTimes.add(testQueue.Name, false, 0.8+0.4*float64(i)/float64(2*minRatios))
	}
	return h
}

// addRunners registers runners with one processor each.
func (h *copyHarness) addRunners(ids ...string) {
	for _, id := range ids {
		h.core.UpdateRunner(testRunner(id, 1000), h.now)
		h.report(Report{Runner: id, Incarnation: 1})
	}
}

// newCopyHarness returns a harness in which a task of the job's first step runs on runner "a".
func newCopyHarness(t *testing.T, steps ...jobs.Step) *copyHarness {
	t.Helper()
	h := newCopyCore(t)
	h.addRunners("a")
	h.first = h.startJob(firstID, steps...)[0]
	h.began = h.now
	h.addRunners("b")
	return h
}

// reportSlow lets the run go on until the given time after its start. Its progress is that of a run
// which takes seven times the usual time.
func (h *copyHarness) reportSlow(elapsed time.Duration) {
	for h.now < h.began+elapsed {
		h.now += 50 * time.Millisecond
		percent := int(fullPace * (h.now - h.began) / (7 * time.Second))
		h.report(Report{Runner: h.first.Runner, Incarnation: 1, Running: []RunStatus{{Task: h.first.Task, Run: h.first.Run, Percent: percent, Load: 1000}}})
	}
}

// startCopy lets the run be slow until it gets a copy, and confirms the copy's start.
func (h *copyHarness) startCopy() Order {
	h.t.Helper()
	h.reportSlow(900 * time.Millisecond)
	orders := startOrders(h.schedule())
	if len(orders) != 1 || orders[0].Task != h.first.Task || orders[0].Run != h.first.Run+1 || orders[0].Runner != "b" {
		h.t.Fatalf("orders %+v, want one copy on the other runner", orders)
	}
	h.answer(orders[0], Accepted, false)
	return orders[0]
}

// end reports the end of a run as the result with the given number of its runner.
func (h *copyHarness) end(order Order, number int, kind ResultKind) {
	h.report(Report{Runner: order.Runner, Incarnation: 1, Ended: []RunResult{{Number: number, Task: order.Task, Run: order.Run, Kind: kind}}})
}

// expectCounts compares counters.
func (h *copyHarness) expectCounts(want map[string]int64) {
	h.t.Helper()
	for name, n := range want {
		if h.counts[name] != n {
			h.t.Errorf("counter %s is %d, want %d", name, h.counts[name], n)
		}
	}
}

// Guards against a straggler that holds up the job's chain of steps, and against a loser that runs
// on: the copy ends first, the first run is stopped and the next step starts.
func TestLoserIsStoppedWhenTheCopyIsDone(t *testing.T) {
	h := newCopyHarness(t, speculativeStep(1), plainStep(1, 1000, 0))
	copied := h.startCopy()
	h.end(copied, 1, EndedDone)
	orders := h.schedule()
	stops, starts := ordersOfKind(orders, Stop), startOrders(orders)
	if len(stops) != 1 || stops[0].Runner != "a" || stops[0].Run != h.first.Run {
		t.Errorf("stops %+v, want that of the first run", stops)
	}
	if len(starts) != 1 || starts[0].Task.Step != 1 {
		t.Errorf("starts %+v, want the next step", starts)
	}
	h.end(h.first, 1, EndedStopped)
	if orders := startOrders(h.schedule()); len(orders) != 0 {
		t.Errorf("starts %+v after the end of the loser", orders)
	}
	h.expectCounts(map[string]int64{"copies_started": 1, "copies_won": 1, "copies_lost": 0})
}

// Guards against a task that counts twice when both of its runs end done before either can be
// stopped, or that starts the next step twice.
func TestBothRunsDoneAtOnceCountOnce(t *testing.T) {
	h := newCopyHarness(t, speculativeStep(1), plainStep(1, 1000, 0))
	copied := h.startCopy()
	h.end(h.first, 1, EndedDone)
	h.end(copied, 1, EndedDone)
	if starts := startOrders(h.schedule()); len(starts) != 1 || starts[0].Task.Step != 1 {
		t.Errorf("starts %+v, want the next step once", starts)
	}
	if j := h.core.jobs[firstID]; j.State != jobs.Running || j.remainingCPUTimeMS != j.taskCPUTimeMS(1) {
		t.Errorf("state %v, %d ms of processor time left, want that of the second step, %d", j.State, j.remainingCPUTimeMS, j.taskCPUTimeMS(1))
	}
	h.expectCounts(map[string]int64{"copies_won": 0, "copies_lost": 1, "runs_done": 2})
}

// Guards against copies where the step does not allow them or where they can't pay, where a further
// failure would fail the job, and on capacity that is not idle. Steps that do not ask for copies have
// to be scheduled as if there were none.
func TestNoCopyWhereItIsNotAllowed(t *testing.T) {
	notSpeculative := plainStep(1, 1000)
	bestEffort := speculativeStep(1)
	bestEffort.BestEffort = true
	gang := speculativeStep(1)
	gang.Gang = true
	longRunning := speculativeStep(1)
	longRunning.LongRunning = true
	none := func(*copyHarness) {}
	setAttempts := func(h *copyHarness, n int) {
		queue := testQueue
		queue.MaxAttempts = n
		h.core.Configure([]jobs.Queue{queue})
	}
	for name, test := range map[string]struct {
		step   jobs.Step
		change func(h *copyHarness)
	}{
		"not speculative": {notSpeculative, none},
		"best-effort":     {bestEffort, none},
		"gang":            {gang, none},
		"long-running":    {longRunning, none},
		"only attempt":    {speculativeStep(1), func(h *copyHarness) { setAttempts(h, 1) }},
		"last attempt":    {speculativeStep(1), func(h *copyHarness) { h.core.jobs[firstID].MarkFailed(h.first.Task, 7) }},
		"first run waits": {speculativeStep(1), func(h *copyHarness) {
			h.core.UpdateRunner(testRunner("large", 4000), h.now)
			h.report(Report{Runner: "large", Incarnation: 1})
			h.addJob(secondID, false, plainStep(3, 2000)) // one task of the three waits and does not fit on runner "b"
		}},
		"same runner only": {speculativeStep(1), func(h *copyHarness) {
			h.core.UpdateRunner(testRunner("a", 4000), h.now)
			h.core.UpdateRunner(RunnerInfo{ID: "b", Service: "other"}, h.now)
		}},
		"failures on the runner": {speculativeStep(1), func(h *copyHarness) {
			h.core.runners["b"].health.failures, h.core.runners["b"].health.lastFailedAt = 1, h.now+time.Second
		}},
		"reserved capacity": {speculativeStep(1), func(h *copyHarness) {
			h.core.runners["b"].reservations = []reservation{{step: &openStep{job: h.core.jobs[firstID], step: &jobs.Step{}}, expiry: noDeadline, leaving: h.aRun()}}
		}},
		"few measurements":         {speculativeStep(1), func(h *copyHarness) { h.core.speculation.runTimes = runTimes{} }},
		"predecessor's runs":       {speculativeStep(1), func(h *copyHarness) { h.core.jobs[firstID].inherited = true; h.core.unresolved["gone"] = noDeadline }},
		"usual times spread a lot": {speculativeStep(1), func(h *copyHarness) { h.addRatios(maxRatios, 9) }},
		"far too late":             {speculativeStep(1), func(h *copyHarness) { h.core.SetStoreClock(0, time.Hour) }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newCopyHarness(t, test.step)
			test.change(h)
			h.reportSlow(900 * time.Millisecond)
			for range 3 {
				h.now += copyInterval
				for _, order := range startOrders(h.schedule()) {
					if order.Task == h.first.Task {
						t.Errorf("copy %+v", order)
					}
				}
			}
			h.expectCounts(map[string]int64{"copies_started": 0})
		})
	}
}

// aRun returns the first run.
func (h *copyHarness) aRun() *taskRun { return h.core.jobs[firstID].runs[h.first.Task][0] }

// addRatios records n equal ratios of measured to usual run times.
func (h *copyHarness) addRatios(n int, ratio float64) {
	for range n {
		h.core.speculation.runTimes.add(testQueue.Name, false, ratio)
	}
}

// Guards against copies that keep capacity from first runs that arrive later. Of the two runs the one
// that would go on for longest is stopped, so the task goes on.
func TestCopyGivesWayToWaitingTask(t *testing.T) {
	h := newCopyHarness(t, speculativeStep(1))
	copied := h.startCopy()
	h.now += 500 * time.Millisecond
	h.report(Report{Runner: "b", Incarnation: 1, Running: []RunStatus{{Task: copied.Task, Run: copied.Run, Percent: 50, Load: 1000}}})
	h.addJob(secondID, false, plainStep(1, 1000))
	stops := ordersOfKind(h.schedule(), Stop)
	if len(stops) != 1 || stops[0].Runner != "a" {
		t.Fatalf("stops %+v, want that of the straggler", stops)
	}
	h.now += copyInterval
	if orders := h.schedule(); len(orders) != 0 {
		t.Errorf("orders %+v while the stop is under way", orders)
	}
	h.end(h.first, 1, EndedStopped)
	if starts := startOrders(h.schedule()); len(starts) != 1 || starts[0].Task.Job != secondID {
		t.Errorf("starts %+v, want the waiting task", starts)
	}
	h.end(copied, 1, EndedDone)
	if state := h.core.jobs[firstID].State; state != jobs.Completed {
		t.Errorf("state %v, want completed", state)
	}
	h.expectCounts(map[string]int64{"copies_yielded": 1, "copies_won": 1})
}

// Guards against one copy after the other that gives way to the same waiting task while the first stop
// is under way. The pairs of runs are adopted, so it also guards against adopted copies that keep
// their capacity.
func TestOneCopyGivesWayToOneTask(t *testing.T) {
	h := newCopyCore(t)
	h.addRunners("a", "b", "c", "d")
	h.addJob(firstID, true, speculativeStep(2))
	for i, id := range []string{"a", "b", "c", "d"} {
		h.report(Report{Runner: id, Incarnation: 1, Running: []RunStatus{{Task: taskID(firstID, 0, i/2), Run: 1 + i%2}}})
	}
	h.addJob(secondID, false, plainStep(1, 1000))
	stops := 0
	for range 3 {
		stops += len(ordersOfKind(h.schedule(), Stop))
		h.now += copyInterval
	}
	if stops != 1 {
		t.Errorf("%d stops for one waiting task, want 1", stops)
	}
}

// Guards against a task that is queued again when one of its runs is gone while the other goes on, and
// against a copy whose end is not counted. The runner of one of the runs restarts, or its leases
// expire.
func TestTaskIsNotQueuedAgainWhileItsOtherRunGoesOn(t *testing.T) {
	losses := map[string]func(h *copyHarness, order Order){
		"restart": func(h *copyHarness, order Order) { h.report(Report{Runner: order.Runner, Incarnation: 2}) },
		"lease":   func(h *copyHarness, order Order) { h.core.ExpireRunnerLeases(order.Runner, h.now) },
	}
	for name, lose := range losses {
		for _, copyIsLost := range []bool{true, false} {
			h := newCopyHarness(t, speculativeStep(1))
			gone, left := h.first, h.startCopy()
			if copyIsLost {
				gone, left = left, gone
			}
			h.now += time.Millisecond
			lose(h, gone)
			runs := h.core.jobs[firstID].runs[h.first.Task]
			if len(runs) != 1 || runs[0].number != left.Run {
				t.Fatalf("%s: %d runs, want the one left", name, len(runs))
			}
			if s := h.core.jobs[firstID].openSteps[[2]int{0, 0}]; len(s.pending) != 0 {
				t.Errorf("%s: the task is pending although a run of it goes on", name)
			}
			h.end(left, 1, EndedDone)
			if state := h.core.jobs[firstID].State; state != jobs.Completed {
				t.Errorf("%s: state %v, want completed", name, state)
			}
			won := int64(1)
			if copyIsLost {
				won = 0
			}
			h.expectCounts(map[string]int64{"runs_lost": 1, "copies_won": won, "copies_lost": 1 - won})
		}
	}
}

// Guards against failed copies that do not count as attempts: a task has at most as many failed runs
// as its queue allows, and no copy once one more failure would fail the job.
func TestFailedCopyCountsAsAttempt(t *testing.T) {
	h := newCopyHarness(t, speculativeStep(1))
	copied := h.startCopy()
	h.end(copied, 1, EndedFailed)
	h.end(copied, 1, EndedFailed) // listed again
	j := h.core.jobs[firstID]
	if n := j.Failures(h.first.Task); n != 1 || j.State != jobs.Running {
		t.Fatalf("%d failures, state %v", n, j.State)
	}
	h.core.runners["b"].health = health{}
	h.reportSlow(2 * time.Second)
	if orders := h.schedule(); len(orders) != 0 {
		t.Errorf("orders %+v, want no copy on the last attempt", orders)
	}
	h.end(h.first, 1, EndedFailed)
	if j.State != jobs.Failed {
		t.Errorf("state %v after %d failures, want failed", j.State, j.Failures(h.first.Task))
	}
	h.expectCounts(map[string]int64{"copies_started": 1, "copies_lost": 1})
}

// newTakeoverHarness returns a harness of a successor. The predecessor has started a run on "a" and a
// copy of it on "b"; the runners have not answered yet.
func newTakeoverHarness(t *testing.T) (h *copyHarness, copied Order) {
	t.Helper()
	h = newCopyCore(t)
	h.core.SetInheritedRunners([]InheritedRunner{{ID: "a", ExpiredAt: h.now + time.Hour}, {ID: "b", ExpiredAt: h.now + time.Hour}}, h.now+time.Hour)
	h.addJob(firstID, true, speculativeStep(1), plainStep(1, 1000, 0))
	h.core.UpdateRunner(testRunner("a", 1000), h.now)
	h.core.UpdateRunner(testRunner("b", 1000), h.now)
	h.first = Order{Runner: "a", Task: taskID(firstID, 0, 0), Run: 1}
	return h, Order{Runner: "b", Task: h.first.Task, Run: 2}
}

// reportRunning reports a run as running.
func (h *copyHarness) reportRunning(order Order) {
	h.report(Report{Runner: order.Runner, Incarnation: 1, Running: []RunStatus{{Task: order.Task, Run: order.Run, Percent: 40, Load: 1000}}})
}

// Guards against a successor that stops one of two copies, or both, makes a third one, or counts
// their ends twice. The ends come before, between and after the first reports.
func TestSuccessorAdoptsBothCopies(t *testing.T) {
	h, copied := newTakeoverHarness(t)
	h.reportRunning(h.first)
	h.now += copyInterval
	if orders := h.schedule(); len(orders) != 0 {
		t.Fatalf("orders %+v while the runner of the copy has not answered", orders)
	}
	h.reportRunning(copied)
	h.now += time.Minute
	if orders := h.schedule(); len(orders) != 0 {
		t.Fatalf("orders %+v, want none for two adopted copies", orders)
	}
	if n := len(h.core.jobs[firstID].runs[h.first.Task]); n != 2 {
		t.Fatalf("%d runs adopted, want 2", n)
	}
	h.end(copied, 1, EndedDone)
	orders := h.schedule()
	if stops, starts := ordersOfKind(orders, Stop), startOrders(orders); len(stops) != 1 || stops[0].Runner != "a" || len(starts) != 1 || starts[0].Task.Step != 1 {
		t.Errorf("orders %+v, want the stop of the other copy and the next step", orders)
	}
	h.end(h.first, 1, EndedDone)
	if orders := startOrders(h.schedule()); len(orders) != 0 {
		t.Errorf("starts %+v after the second end", orders)
	}
	h.expectCounts(map[string]int64{"runs_done": 2, "jobs_completed": 0})
}

// Guards against the same when both copies have ended before the successor's first polls.
func TestSuccessorCountsTheEndsOfBothCopiesOnce(t *testing.T) {
	h, copied := newTakeoverHarness(t)
	h.end(copied, 1, EndedDone)
	h.end(h.first, 1, EndedDone)
	if starts := startOrders(h.schedule()); len(starts) != 1 || starts[0].Task.Step != 1 {
		t.Errorf("starts %+v, want the next step once", starts)
	}
	if state := h.core.jobs[firstID].State; state != jobs.Running {
		t.Errorf("state %v, want running", state)
	}
}

// Guards against two runs of a task of the next step: a predecessor that still acts may learn that a
// copy which this coordinator does not know of has done the task, and may start the next step on a
// runner that has not answered this coordinator. The end of the run that is known is then not hidden
// from it.
func TestEndOfARunThatMayHaveACopyIsNotHidden(t *testing.T) {
	h, _ := newTakeoverHarness(t)
	h.reportRunning(h.first)
	h.now += 2 * hiddenEndTime
	h.reportRunning(h.first)
	h.end(h.first, 1, EndedDone)
	if orders := startOrders(h.schedule()); len(orders) != 0 {
		t.Errorf("starts %+v while runner b may run unknown tasks", orders)
	}
	h.core.ExpireRunnerLeases("b", h.now)
	if orders := startOrders(h.schedule()); len(orders) != 1 {
		t.Errorf("starts %+v once every runner is resolved, want the next step", orders)
	}
}

// Guards against a job that fails because the loser fails after the task is done: the number of
// attempts may have been lowered since the copy was started.
func TestFailureOfALoserDoesNotFailTheJob(t *testing.T) {
	h := newCopyHarness(t, speculativeStep(1), plainStep(1, 1000, 0))
	copied := h.startCopy()
	queue := testQueue
	queue.MaxAttempts = 1
	h.core.Configure([]jobs.Queue{queue})
	h.end(h.first, 1, EndedDone)
	h.end(copied, 1, EndedFailed)
	if j := h.core.jobs[firstID]; j.State != jobs.Running || j.Failures(h.first.Task) != 1 {
		t.Errorf("state %v, %d failures, want a running job with one", j.State, j.Failures(h.first.Task))
	}
}

// Guards against the checkpoint of a copy that replaces a newer one of the first run: if both are
// lost, the task would resume from the older one.
func TestOlderCheckpointDoesNotReplaceANewerOne(t *testing.T) {
	step := speculativeStep(1)
	step.Checkpoints = true
	h := newCopyHarness(t, step)
	copied := h.startCopy()
	h.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: h.first.Task, Run: h.first.Run, Percent: 30, Checkpoint: "newer", Load: 1000}}})
	h.report(Report{Runner: "b", Incarnation: 1, Running: []RunStatus{{Task: copied.Task, Run: copied.Run, Percent: 10, Checkpoint: "older", Load: 1000}}})
	if got := h.core.jobs[firstID].Task(h.first.Task).Checkpoint; got != "newer" {
		t.Errorf("checkpoint %q, want the newer one", got)
	}
	h.report(Report{Runner: "b", Incarnation: 1, Ended: []RunResult{{Number: 1, Task: copied.Task, Run: copied.Run, Kind: EndedStopped, Checkpoint: "older"}}})
	if got := h.core.jobs[firstID].Task(h.first.Task).Checkpoint; got != "newer" {
		t.Errorf("checkpoint %q after the end of the copy, want the newer one", got)
	}
}

// Guards against a copy that uses the number of a run of the predecessor, so that the failures of the
// two would count once: the progress that is stored after the start of a copy has its number.
func TestNumberOfACopyIsStored(t *testing.T) {
	h := newCopyHarness(t, speculativeStep(1))
	if _, _, err := h.core.TakeWrites(h.now); err != nil {
		t.Fatal(err)
	}
	copied := h.startCopy()
	writes, _, err := h.core.TakeWrites(h.now)
	if err != nil || len(writes) != 1 {
		t.Fatalf("%d writes, error %v, want one", len(writes), err)
	}
	restored := jobs.New(firstID, testQueue, writes[0].Job.Spec, 0, 1)
	if err := restored.Restore(writes[0].Value); err != nil {
		t.Fatal(err)
	}
	if got := restored.Task(copied.Task).LastRun; got != copied.Run {
		t.Errorf("last run %d, want %d", got, copied.Run)
	}
}
