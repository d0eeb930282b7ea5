package coordinator

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/leadership"
	"bergamotstile/rowstore"
)

// neverAnswers stands for runners that stay silent.
func neverAnswers(string) bool { return false }

// Guards against a task that runs twice: the first attempt to start it had no answer, the second
// one was answered, and the runner was then cut off and restarted unseen. Its new process carries
// the first attempt out and keeps the run for the longest lease of the platform.
func TestTaskOfADelayedStartIsNotStartedElsewhereWhileItMayRun(t *testing.T) {
	h := newLoopHarness(t)
	coord, l := h.coordinator, h.link
	coord.env.MaxLeaseDuration = 10 * time.Second
	coord.term = leadership.NewTerm(1, 24*time.Hour, h.clock.now)
	run := coord.core.jobs[firstID].runs[h.task][0]
	l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
	answers := 0
	coord.env.Runners = scriptedRunner{send: func(Order, uint64) (OrderResponse, error) {
		if answers++; answers == 1 {
			return OrderResponse{}, errNoAnswer
		}
		return OrderResponse{Outcome: Accepted}, nil
	}}
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	sentAt := h.clock.now()
	l.sendOrder(ctx, Order{Kind: Start, Runner: testRunnerID, Task: h.task, Run: run.number, Settled: new(atomic.Bool)})
	if answers != 2 {
		t.Fatalf("%d attempts, want 2", answers)
	}
	l.recordUnanswered(h.clock.now())
	latestEnd := sentAt + maxCallDelay + coord.env.MaxLeaseDuration*100/(100-maxClockDriftPercent)
	for h.clock.now() < latestEnd {
		coord.expireLeases(h.clock.now())
		if len(coord.core.jobs[firstID].runs[h.task]) == 0 {
			t.Fatalf("the task is free %v after the first attempt, which may keep it running for %v", h.clock.now()-sentAt, latestEnd-sentAt)
		}
		h.clock.advance(500 * time.Millisecond)
	}
	if !l.isGone {
		t.Error("the leases on the silent runner have not expired")
	}
	h.clock.advance(time.Second)
	coord.expireLeases(h.clock.now())
	if len(coord.core.jobs[firstID].runs[h.task]) != 0 {
		t.Errorf("the task is not free %v after the first attempt", h.clock.now()-sentAt)
	}
}

// newHeldRunHarness returns a harness in which the run of a start without an answer is held, as the leases
// on its silent runner have expired, and a function by which the runner answers again.
func newHeldRunHarness(t *testing.T) (h *loopHarness, answer func()) {
	t.Helper()
	h = newLoopHarness(t)
	coord, l := h.coordinator, h.link
	coord.env.MaxLeaseDuration = 10 * time.Second
	coord.term = leadership.NewTerm(1, 24*time.Hour, h.clock.now)
	answer = func() { l.recordAnswer(1, time.Hour+h.clock.now(), h.clock.now(), h.clock.now(), l.token()) }
	answer()
	l.recordUnansweredOrder(Order{Kind: Start, Task: h.task}, h.clock.now(), errNoAnswer)
	answer()
	l.recordUnanswered(h.clock.now())
	h.clock.advance(12 * time.Second)
	coord.expireLeases(h.clock.now())
	if len(coord.core.delayedStartRuns) != 1 {
		t.Fatalf("%d runs are held, want 1", len(coord.core.delayedStartRuns))
	}
	return h, answer
}

// Guards against a task that runs twice: a coordinator that is cut off from the store ends the hold of
// its run while a successor may have extended the lease of that run.
func TestHoldEndsOnlyWhileNoSuccessorCanExist(t *testing.T) {
	h, _ := newHeldRunHarness(t)
	coord := h.coordinator
	coord.term = leadership.NewTerm(1, 0, h.clock.now)
	h.clock.advance(20 * time.Second)
	coord.expireLeases(h.clock.now())
	if len(coord.core.jobs[firstID].runs[h.task]) == 0 {
		t.Error("the task is free although a successor may have extended its lease")
	}
	coord.term = leadership.NewTerm(1, 24*time.Hour, h.clock.now)
	coord.expireLeases(h.clock.now())
	if len(coord.core.jobs[firstID].runs[h.task]) != 0 {
		t.Error("the task is not free once the coordinator holds its lease")
	}
}

// Guards against a task that runs twice: its runner answers again and gets leases, and maybe the start
// once more, while its task is held, but the report waits in the queue of a coordinator that is behind
// when the hold is over.
func TestHoldEndsWithoutEffectOnceTheRunnerAnswersAgain(t *testing.T) {
	h, answer := newHeldRunHarness(t)
	coord := h.coordinator
	answer()
	h.clock.advance(20 * time.Second)
	coord.expireLeases(h.clock.now())
	if len(coord.core.jobs[firstID].runs[h.task]) != 1 {
		t.Error("the task is free although its runner answers and its report has not been applied")
	}
	h.report().apply(coord)
	if len(coord.core.jobs[firstID].runs[h.task]) != 1 || len(coord.core.delayedStartRuns) != 0 {
		t.Error("the run that the runner lists is not known, or is still held")
	}
}

// Guards against tasks that wait for longer than the leases on a lost runner although each attempt
// to start them was answered or not sent, and against tasks that wait after their runner reports.
func TestOnlyTasksOfDelayedStartsAreHeld(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	orders := h.startJob(firstID, plainStep(3, 1000))
	held, expiry := orders[0].Task, h.now+20*time.Second
	h.core.HoldDelayedStarts("a", map[jobs.TaskID]time.Duration{held: expiry}, h.now)
	h.core.ExpireRunnerLeases("a", h.now)
	if n := len(h.core.jobs[firstID].runs); n != 1 || len(h.core.jobs[firstID].runs[held]) != 1 {
		t.Fatalf("%d tasks are held, want only %v", n, held)
	}
	h.now = expiry + time.Millisecond
	h.report(Report{Runner: "a", Incarnation: 2, Unfenced: true})
	h.report(Report{Runner: "a", Incarnation: 2})
	if n := len(h.core.jobs[firstID].runs); n != 0 {
		t.Errorf("%d tasks are held although their runner reports that it runs nothing", n)
	}
	h.core.ExpireDelayedStarts(h.now)
	if n := len(h.core.delayedStartRuns); n != 0 {
		t.Errorf("%d runs are still recorded as held", n)
	}
}

// Guards against a runner that is kept for ever because it was unregistered while a run was held.
func TestRunnerIsRemovedOnceNoDelayedStartIsHeld(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	order := h.startJob(firstID, plainStep(1, 1000))[0]
	h.core.MarkRunnerUnregistered("a", h.now)
	h.now += reregisterTime + time.Second
	h.schedule()
	h.core.unregisterMissingRunners(h.now)
	expiry := h.now + 20*time.Second
	h.core.HoldDelayedStarts("a", map[jobs.TaskID]time.Duration{order.Task: expiry}, h.now)
	h.core.ExpireRunnerLeases("a", h.now)
	if h.core.runners["a"] == nil {
		t.Fatal("the runner was removed while a run on it is held")
	}
	h.core.ExpireDelayedStarts(expiry + time.Millisecond)
	if h.core.runners["a"] != nil {
		t.Error("the runner is still there")
	}
}

// Guards against a successor that starts a task while a new process of a lost runner may run it:
// the predecessor's attempt to start it had no answer, and the successor learned of it from nothing
// but the leases, which expire earlier.
func TestSuccessorHoldsTheTasksOfDelayedStarts(t *testing.T) {
	predecessor := newLoopHarness(t)
	coord, l := predecessor.coordinator, predecessor.link
	coord.env.MaxLeaseDuration = 10 * time.Second
	l.recordAnswer(1, time.Hour, predecessor.clock.now(), predecessor.clock.now(), l.token())
	l.recordUnansweredOrder(Order{Kind: Start, Task: predecessor.task}, predecessor.clock.now(), errNoAnswer)
	coord.handOverLeases()

	h := newCoreHarness(t, testRunner("other", 4000))
	successor := newCoordinatorWithoutLoop(coord.env, leadership.NewTerm(2, 24*time.Hour, predecessor.clock.now))
	successor.core, successor.journal = h.core, newJournal(predecessor.store, 2, discardLog())
	if _, err := successor.journal.fence(t.Context(), sharedPart); err != nil {
		t.Fatal(err)
	}
	if err := successor.inheritSharedRows(t.Context(), predecessor.store, nil); err != nil {
		t.Fatal(err)
	}
	h.core.unresolved = map[string]time.Duration{} // the leases on the lost runner have expired
	h.addJob(firstID, true, plainStep(2, 1000))
	began := predecessor.clock.now()
	for h.now = began; h.now < began+maxCallDelay+coord.env.MaxLeaseDuration; h.now += time.Second {
		h.core.ReleaseExpiredTasks(h.now, neverAnswers)
		for _, order := range startOrders(h.schedule()) {
			if order.Task == predecessor.task {
				t.Fatalf("the task is started %v after the takeover", h.now-began)
			}
			h.answer(order, Accepted, false)
		}
	}
	if n := len(h.core.jobs[firstID].runs); n != 1 {
		t.Errorf("%d tasks run, want the one of which no start was without an answer", n)
	}
	h.now += 2 * time.Second
	h.core.ReleaseExpiredTasks(h.now, neverAnswers)
	if n := len(startOrders(h.schedule())); n != 1 {
		t.Errorf("%d starts once the run has ended for certain, want 1", n)
	}
}

// Guards against a task that waits for a predecessor's start although its runner has reported.
func TestReportEndsTheWaitForAPredecessorsStart(t *testing.T) {
	h := newCoreHarness(t, testRunner("other", 4000))
	h.core.HoldTask("a", heldTask{taskID(firstID, 0, 0), heldDelayed, time.Hour})
	h.addJob(firstID, true, plainStep(1, 1000))
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatalf("%d starts before the runner reports", n)
	}
	h.report(Report{Runner: "a", Incarnation: 3})
	if n := len(startOrders(h.schedule())); n != 1 {
		t.Errorf("%d starts once the runner reports that it runs nothing, want 1", n)
	}
}

// Guards against rows of starts without an answer that the store refuses as too large, or that a
// successor can't read.
func TestDelayedStartsFitIntoTheirRows(t *testing.T) {
	const runners, startsPerRunner = 400, 6
	h := newRosterHarness(t)
	for i := range runners {
		for index := range startsPerRunner {
			h.coordinator.core.HoldTask(fmt.Sprintf("i-%010x", i), heldTask{taskID(firstID, i, index), heldDelayed, time.Hour})
		}
	}
	h.coordinator.rosterRowCount = 3
	rows := map[rowstore.Key]string{}
	h.coordinator.addDelayedStarts(rows)
	read := 0
	for key, value := range rows {
		if len(value) > rowstore.DefaultMaxRowBytes || !isDelayedStartsRow(key) {
			t.Errorf("row %v has %d bytes", key, len(value))
		}
		starts, unreadable := decodeDelayedStarts(value)
		read += len(starts)
		if unreadable > 0 {
			t.Errorf("row %v has %d unreadable lines", key, unreadable)
		}
	}
	if read != runners*startsPerRunner {
		t.Errorf("%d starts are read, want %d", read, runners*startsPerRunner)
	}
	h.coordinator.env.Limits.MaxRowBytes = 1000
	h.coordinator.addDelayedStarts(rows)
	for key, value := range rows {
		if starts, _ := decodeDelayedStarts(value); len(value) > 1000 || len(starts) == 0 {
			t.Errorf("row %v has %d bytes, of which 1000 are allowed", key, len(value))
		}
	}
}

// Guards against work that waits beside an idle fleet for 25 s because its start went to a runner
// that was lost already: nothing was answered after that start was sent.
func TestStartToALostRunnerIsNotHeld(t *testing.T) {
	h := newRosterHarness(t)
	h.coordinator.env.MaxLeaseDuration = 10 * time.Second
	l := h.register()
	answer := func() { l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token()) }
	before, after := taskID(firstID, 0, 0), taskID(firstID, 0, 1)
	answer()
	l.recordUnansweredOrder(Order{Kind: Start, Task: before}, h.clock.now(), errNoAnswer)
	h.clock.advance(time.Second)
	answer()
	h.clock.advance(time.Second)
	for _, task := range []jobs.TaskID{before, after} {
		l.recordUnansweredOrder(Order{Kind: Start, Task: task}, h.clock.now(), errNoAnswer)
	}
	expiries := l.delayedStartExpiries()
	if _, held := expiries[before]; !held || len(expiries) != 1 {
		t.Errorf("held are %v, want only %v", expiries, before)
	}
}

// Guards against a task that runs twice after a takeover: its runner has answered, so that its leases
// are extended, but the report waits in the queue of a coordinator that is behind when the
// predecessor's leases have expired, or its start without an answer is over.
func TestRunnerThatHasAnsweredIsAwaitedUntilItsReportIsApplied(t *testing.T) {
	for name, isDelayed := range map[string]bool{"leases": false, "delayed start": true} {
		h := newRosterHarness(t)
		coord := h.coordinator
		coord.term = leadership.NewTerm(2, 24*time.Hour, h.clock.now)
		expiry, task := h.clock.now()+9*time.Second, taskID(firstID, 0, 0)
		coord.core.SetInheritedRunners([]InheritedRunner{{ID: testRunnerID, ExpiredAt: expiry, TasksKnown: isDelayed}}, expiry)
		if isDelayed {
			coord.core.HoldTask(testRunnerID, heldTask{task, heldDelayed, expiry})
		}
		l := h.register()
		isAwaited := func() bool {
			h.clock.advance(20 * time.Second)
			coord.expireLeases(h.clock.now())
			return coord.core.UnresolvedRunners() > 0 || coord.core.heldTasks.isHeld(task)
		}
		l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
		if !isAwaited() {
			t.Errorf("%s: the runner is not awaited although its report has not been applied", name)
		}
		coord.core.ApplyReport(Report{Runner: testRunnerID, Incarnation: 1, Sent: h.clock.now()}, h.clock.now())
		if isAwaited() {
			t.Errorf("%s: the runner is awaited although its report was applied", name)
		}
	}
}

// Guards against tasks that wait for good for a runner that has answered and was lost before its
// report was applied.
func TestRunnerLostBeforeItsReportWasAppliedIsGivenUp(t *testing.T) {
	h := newRosterHarness(t)
	coord := h.coordinator
	coord.env.MaxLeaseDuration = 10 * time.Second
	coord.term = leadership.NewTerm(2, 24*time.Hour, h.clock.now)
	expiry, task := h.clock.now()+9*time.Second, taskID(firstID, 0, 0)
	coord.core.SetInheritedRunners([]InheritedRunner{{ID: testRunnerID, ExpiredAt: expiry}}, expiry)
	coord.core.HoldTask(testRunnerID, heldTask{task, heldDelayed, expiry})
	l := h.register()
	l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
	l.recordUnanswered(h.clock.now())
	h.clock.advance(20 * time.Second)
	coord.expireLeases(h.clock.now())
	coord.expireLeases(h.clock.now())
	if coord.core.UnresolvedRunners() > 0 || coord.core.heldTasks.isHeld(task) {
		t.Error("tasks wait for a runner whose leases have expired")
	}
}
