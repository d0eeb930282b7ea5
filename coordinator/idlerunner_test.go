package coordinator

import (
	"slices"
	"testing"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/leadership"
)

// leavingRunnerID is the runner of these tests that leaves just before a planned stop.
const leavingRunnerID = "leaving"

// newCoordinatorOfLeavingRunner returns a coordinator with a runner that has answered it.
func newCoordinatorOfLeavingRunner(clock *manualClock) *coordinator {
	bounds := func(local time.Duration) (earliest, latest time.Duration, known bool) { return local, local, true }
	env := Environment{LeaseDuration: 8 * time.Second, Clock: clock.now, StoreClock: clock.now, StoreClockBounds: bounds, Log: discardLog()}
	coord := newCoordinatorWithoutLoop(env, leadership.NewTerm(1, 24*time.Hour, clock.now))
	coord.core.Configure([]jobs.Queue{testQueue})
	info := testRunner(leavingRunnerID, 1000)
	coord.core.UpdateRunner(info, clock.now())
	l := coord.createLink(info, clock.now())
	coord.links[leavingRunnerID] = l
	l.recordAnswer(1, time.Second, clock.now(), clock.now(), l.token())
	l.nextRequest() // extends the leases
	coord.core.ApplyReport(Report{Runner: leavingRunnerID, Incarnation: 1, Sent: clock.now()}, clock.now())
	return coord
}

// startOnLeavingRunner starts the only task of a job on the runner and returns its ID.
func startOnLeavingRunner(t *testing.T, coord *coordinator, clock *manualClock) jobs.TaskID {
	t.Helper()
	coord.core.AddJob(jobs.New(firstID, testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(1, 1000)}}, 0, 1), false, 0)
	coord.core.Schedule(clock.now(), 0)
	orders := startOrders(coord.core.TakeOrders())
	if len(orders) != 1 {
		t.Fatalf("%d starts, want 1", len(orders))
	}
	coord.core.ApplyAnswer(Answer{Order: orders[0], Outcome: Accepted}, clock.now())
	return orders[0].Task
}

// endOnLeavingRunner lets the runner report that its only run was stopped.
func endOnLeavingRunner(coord *coordinator, clock *manualClock, id jobs.TaskID) {
	clock.advance(time.Millisecond)
	coord.core.ApplyReport(Report{Runner: leavingRunnerID, Incarnation: 1, Sent: clock.now(),
		Ended: []RunResult{{Number: 1, Task: id, Run: 1, Kind: EndedStopped}}}, clock.now())
}

// startsAfterPlannedStop stops the coordinator as planned, lets a successor take over that
// reaches another runner only, and returns how many starts the successor orders at once.
func startsAfterPlannedStop(coord *coordinator, clock *manualClock) int {
	entries, _ := coord.buildRoster(clock.now(), true)
	successor := newCoordinatorWithoutLoop(coord.env, leadership.NewTerm(2, 24*time.Hour, clock.now))
	successor.core.Configure([]jobs.Queue{testQueue})
	latest := clock.now() + 10*time.Second
	successor.core.SetInheritedRunners(successor.inheritRoster(decodeRoster(encodeRoster(entries)), latest), latest)
	successor.core.AddJob(jobs.New(firstID, testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(1, 1000)}}, 0, 1), true, 0)
	successor.core.UpdateRunner(testRunner("other", 1000), clock.now())
	successor.core.ApplyReport(Report{Runner: "other", Incarnation: 1, Sent: clock.now()}, clock.now())
	successor.expireLeases(clock.now() + time.Millisecond)
	successor.core.Schedule(clock.now()+time.Millisecond, 0)
	return len(startOrders(successor.core.TakeOrders()))
}

// Guards against tasks that wait for the leases on a runner that left just before a planned
// stop, although the predecessor had seen the end of every run there (hunt, draining-runners
// seed 662060999636).
func TestSuccessorDoesNotWaitForALostRunnerWithoutRuns(t *testing.T) {
	clock := newManualClock(time.Minute)
	coord := newCoordinatorOfLeavingRunner(clock)
	id := startOnLeavingRunner(t, coord, clock)
	endOnLeavingRunner(coord, clock, id)
	coord.links[leavingRunnerID].setAcknowledged(Acknowledgement{1, 1})
	coord.links[leavingRunnerID].recordUnanswered(clock.now())
	if got := startsAfterPlannedStop(coord, clock); got != 1 {
		t.Errorf("%d starts, want 1", got)
	}
}

// Guards against a successor that starts a task a second time because the roster calls a
// runner idle on which a run may exist or whose last result may not be stored.
func TestRosterDoesNotCallARunnerIdleWithoutProof(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(t *testing.T, coord *coordinator, clock *manualClock)
	}{
		{"a run is under way", func(t *testing.T, coord *coordinator, clock *manualClock) {
			startOnLeavingRunner(t, coord, clock)
		}},
		{"a start has no answer", func(_ *testing.T, coord *coordinator, clock *manualClock) {
			coord.core.AddJob(jobs.New(firstID, testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(1, 1000)}}, 0, 1), false, 0)
			coord.core.Schedule(clock.now(), 0)
		}},
		{"the last result is not stored", func(t *testing.T, coord *coordinator, clock *manualClock) {
			endOnLeavingRunner(coord, clock, startOnLeavingRunner(t, coord, clock))
		}},
		{"only results of an earlier process are stored", func(t *testing.T, coord *coordinator, clock *manualClock) {
			coord.links[leavingRunnerID].setAcknowledged(Acknowledgement{7, 1})
			endOnLeavingRunner(coord, clock, startOnLeavingRunner(t, coord, clock))
		}},
		{"results are not listed yet", func(t *testing.T, coord *coordinator, clock *manualClock) {
			endOnLeavingRunner(coord, clock, startOnLeavingRunner(t, coord, clock))
			coord.links[leavingRunnerID].setAcknowledged(Acknowledgement{1, 1})
			coord.core.ApplyReport(Report{Runner: leavingRunnerID, Incarnation: 1, Sent: clock.now(), Incomplete: true}, clock.now())
		}},
		{"a call to an earlier process may start a run", func(_ *testing.T, coord *coordinator, clock *manualClock) {
			coord.core.ApplyReport(Report{Runner: leavingRunnerID, Incarnation: 2, Sent: clock.now(), Unfenced: true}, clock.now())
		}},
		{"an unexpected run was listed", func(_ *testing.T, coord *coordinator, clock *manualClock) {
			coord.core.ApplyReport(Report{Runner: leavingRunnerID, Incarnation: 1, Sent: clock.now(),
				Running: []RunStatus{{Task: taskID(firstID, 0, 0), Run: 3}}}, clock.now())
		}},
		{"it has not reported to this coordinator", func(_ *testing.T, coord *coordinator, clock *manualClock) {
			delete(coord.core.runners, leavingRunnerID)
			coord.core.UpdateRunner(testRunner(leavingRunnerID, 1000), clock.now())
			coord.core.SetInheritedRunners([]InheritedRunner{{ID: leavingRunnerID, ExpiredAt: clock.now() + time.Hour}}, clock.now())
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := newManualClock(time.Minute)
			coord := newCoordinatorOfLeavingRunner(clock)
			test.prepare(t, coord, clock)
			coord.links[leavingRunnerID].recordUnanswered(clock.now())
			if got := startsAfterPlannedStop(coord, clock); got != 0 {
				t.Errorf("%d starts, want none", got)
			}
		})
	}
}

// Guards against a majority that is counted without the runners that the roster calls idle: a
// predecessor that can still act may be answered by them.
func TestIdleRunnersCountTowardsTheMajority(t *testing.T) {
	core := New(Limits{}, discardLog(), nil)
	core.SetInheritedRunners([]InheritedRunner{{ID: "busy", ExpiredAt: time.Hour}, {ID: "idle", ExpiredAt: time.Hour, TasksKnown: true}}, time.Hour)
	core.markAnswered("busy")
	if core.haveMostAnswered() {
		t.Error("one of two runners counts as most of them")
	}
	core.markAnswered("idle")
	if !core.haveMostAnswered() {
		t.Error("both runners have answered and do not count as most of them")
	}
}

// Guards against a roster that still calls a runner idle once tasks may be started on it.
func TestIdleMarkerIsRemovedBeforeTasksAreStarted(t *testing.T) {
	clock := newManualClock(time.Minute)
	coord := newCoordinatorOfLeavingRunner(clock)
	entries, _ := coord.buildRoster(clock.now(), true)
	if !entries[0].wasAnswering || !entries[0].isIdle {
		t.Fatalf("handed over %+v, want an answering and idle runner", entries[0])
	}
	l := coord.links[leavingRunnerID]
	for range 2 { // while the expiry is stored, and after its removal
		entries, stored := coord.buildRoster(clock.now(), false)
		_, err := l.findOrderTarget(Order{Kind: Start})
		if entries[0].isIdle && err == nil {
			t.Errorf("tasks can be started on a runner that is stored as idle")
		}
		coord.confirmRecordedExpiries(stored)
		coord.confirmListed(entries)
	}
	if _, err := l.findOrderTarget(Order{Kind: Start}); err != nil {
		t.Error("no task can be started on the runner after its expiry was removed")
	}
}

// Guards against a marker of the roster that is lost, or that an older decoder takes for
// another one.
func TestRosterEncodingKeepsIdleMarker(t *testing.T) {
	entries := []rosterEntry{{id: "a", expiry: time.Hour, isIdle: true}, {id: "b", expiry: time.Hour, wasAnswering: true, isIdle: true}}
	if got := decodeRoster(encodeRoster(slices.Clone(entries))); !slices.Equal(got, entries) {
		t.Errorf("decoded %+v, want %+v", got, entries)
	}
	for _, line := range []string{"a idle", "a 5 other idle"} {
		if got := decodeRoster(line); len(got) != 1 || got[0].wasAnswering || got[0].expiry == 0 && got[0].isIdle {
			t.Errorf("%q is decoded as %+v", line, got)
		}
	}
}
