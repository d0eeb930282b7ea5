package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/leadership"
	"bergamotstile/structs"
)

// newGivenUpHarness returns a coordinator that has inherited the job firstID with one task, the idle
// runner "b" and the silent runner testRunnerID, whose leases expire in the given time.
func newGivenUpHarness(t *testing.T, expiry time.Duration) (*rosterHarness, *link) {
	t.Helper()
	h := newRosterHarness(t)
	core := h.coordinator.core
	core.Configure([]jobs.Queue{testQueue})
	core.SetInheritedRunners([]InheritedRunner{{ID: testRunnerID, ExpiredAt: h.clock.now() + expiry}}, h.clock.now()+expiry)
	core.UpdateRunner(RunnerInfo{ID: "b", Service: testService, Capacity: structs.Resources{CPUMilli: 4000, MemoryMB: 1 << 20}}, h.clock.now())
	core.ApplyReport(Report{Runner: "b", Incarnation: 1, Sent: h.clock.now()}, h.clock.now())
	core.AddJob(jobs.New(firstID, testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(1, 1000)}}, 0, 1), true, 0)
	return h, h.register()
}

// scheduledStarts runs a round of scheduling and returns the starts that it orders.
func (h *rosterHarness) scheduledStarts() []jobs.TaskID {
	h.coordinator.roundPacer = roundPacer{}
	h.coordinator.schedule(h.clock.now())
	var tasks []jobs.TaskID
	for _, order := range h.coordinator.core.TakeOrders() {
		if order.Kind == Start {
			tasks = append(tasks, order.Task)
		}
	}
	return tasks
}

// Guards against a task that is started again after the end of its run was received: its runner
// answered once the predecessor's leases there had expired, and the report with the end waits in the
// queue of a coordinator that is behind.
func TestTaskIsNotStartedWhileTheReportOfAGivenUpRunnerWaits(t *testing.T) {
	const expiry = 9 * time.Second
	h, l := newGivenUpHarness(t, expiry)
	core := h.coordinator.core
	h.clock.advance(expiry + time.Second)
	h.coordinator.expireLeases(h.clock.now())
	l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
	if tasks := h.scheduledStarts(); len(tasks) > 0 {
		t.Fatalf("%v started although the end of a run may be listed in a report that waits", tasks)
	}
	result := RunResult{Number: 1, Task: taskID(firstID, 0, 0), Run: 1, Kind: EndedDone}
	core.ApplyReport(Report{Runner: testRunnerID, Incarnation: 1, Sent: h.clock.now(), Ended: []RunResult{result}}, h.clock.now())
	if tasks := h.scheduledStarts(); len(tasks) > 0 {
		t.Errorf("%v started although it is done", tasks)
	}
}

// Guards against tasks that wait for good for a runner that was given up, has answered since, and was
// lost before its report was applied.
func TestGivenUpRunnerIsAwaitedNoLongerOnceItIsLostAgain(t *testing.T) {
	const expiry = 9 * time.Second
	h, l := newGivenUpHarness(t, expiry)
	h.clock.advance(expiry + time.Second)
	h.coordinator.expireLeases(h.clock.now())
	l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
	if tasks := h.scheduledStarts(); len(tasks) > 0 {
		t.Fatalf("%v started before the report was applied", tasks)
	}
	l.recordUnanswered(h.clock.now())
	h.clock.advance(time.Minute)
	h.coordinator.expireLeases(h.clock.now())
	h.coordinator.expireLeases(h.clock.now())
	if tasks := h.scheduledStarts(); len(tasks) != 1 {
		t.Errorf("%v started once the runner was lost again, want one task", tasks)
	}
}

// Guards against the same after a run of this coordinator: the leases on its runner have expired, and
// the runner answers before the task is started elsewhere.
func TestTaskIsNotStartedWhileTheReportOfItsLostRunnerWaits(t *testing.T) {
	for name, isLostAgain := range map[string]bool{"report applied": false, "lost again": true} {
		h := newLoopHarness(t)
		coord, l := h.coordinator, h.link
		coord.term = leadership.NewTerm(1, 24*time.Hour, h.clock.now)
		coord.core.UpdateRunner(RunnerInfo{ID: "b", Service: testService, Capacity: structs.Resources{CPUMilli: 4000, MemoryMB: 1 << 20}}, h.clock.now())
		coord.core.ApplyReport(Report{Runner: "b", Incarnation: 1, Sent: h.clock.now()}, h.clock.now())
		answer := func() { l.recordAnswer(1, time.Hour+h.clock.now(), h.clock.now(), h.clock.now(), l.token()) }
		answer()
		l.recordUnanswered(h.clock.now())
		h.clock.advance(12 * time.Second)
		coord.expireLeases(h.clock.now())
		answer()
		if tasks := h.scheduledStarts(); len(tasks) > 0 {
			t.Fatalf("%s: %v started although the end of its run may be listed in a report that waits", name, tasks)
		}
		wanted := 0
		if isLostAgain {
			l.recordUnanswered(h.clock.now())
			h.clock.advance(12 * time.Second)
			coord.expireLeases(h.clock.now())
			wanted = 1
		} else {
			result := RunResult{Number: 1, Task: h.task, Run: 1, Kind: EndedDone}
			coord.core.ApplyReport(Report{Runner: testRunnerID, Incarnation: 1, Sent: h.clock.now(), Ended: []RunResult{result}}, h.clock.now())
		}
		if tasks := h.scheduledStarts(); len(tasks) != wanted {
			t.Errorf("%s: %v started, want %d tasks", name, tasks, wanted)
		}
	}
}
