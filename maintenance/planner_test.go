package maintenance

import (
	"slices"
	"testing"
	"time"
)

// plannerTest is a planner whose machine lists show every machine as up, with a
// runner of the same name.
type plannerTest struct {
	*Planner
	now      time.Duration
	loads    map[string]Load
	machines []Machine
}

func newPlannerTest(w Wave) *plannerTest {
	pt := &plannerTest{Planner: New(testMaintenanceTime), now: time.Minute, loads: map[string]Load{"": {Known: true}}}
	for _, id := range w.Machines {
		pt.machines = append(pt.machines, Machine{ID: id, Runner: id})
		pt.loads[id] = Load{Known: true}
	}
	pt.SetRequestedWaves([]Wave{w}, pt.now)
	return pt
}

// planAndCall lets the time d pass, runs one round of planning and returns the
// machines for which calls are sent.
func (pt *plannerTest) planAndCall(d time.Duration) []string {
	pt.now += d
	pt.RecordMachineList(pt.machines, pt.now)
	pt.Plan(pt.now, func(runner string) Load { return pt.loads[runner] })
	change, _ := pt.LastChange()
	pt.MarkRecorded(change)
	var called []string
	for _, c := range pt.TakeCalls(pt.now, 10) {
		called = append(called, c.Machine)
	}
	return called
}

// answer passes the outcome of a call for the machine to the planner and
// returns the runner that it reports as ended.
func (pt *plannerTest) answer(machine string, outcome Outcome) string {
	return pt.RecordResult(Result{Call: Call{Wave: 1, Machine: machine}, Outcome: outcome, SentAt: pt.now}, pt.now)
}

// Machines that cost more to drain must go later. Otherwise their work would be
// moved onto machines of the wave that have yet to go down.
func TestMachinesThatAreCheapToDrainGoFirst(t *testing.T) {
	pt := newPlannerTest(Wave{Number: 1, Machines: []string{"a", "b", "c"}, FinishWithin: time.Minute, MaxDown: 1})
	pt.loads["a"] = Load{Known: true, Runs: 1, LongRunning: 1}
	pt.loads["b"] = Load{Known: true, Runs: 1, CPUMilli: 100}
	if got := pt.planAndCall(0); !slices.Equal(got, []string{"c"}) {
		t.Fatalf("called %v", got)
	}
	pt.answer("c", Begun)
	pt.planAndCall(0)
	if _, cordoned := pt.RunnersToCordon(pt.now)["b"]; !cordoned || len(pt.RunnersToCordon(pt.now)) != 2 {
		t.Errorf("cordons %v", pt.RunnersToCordon(pt.now))
	}
}

// Maintenance must not end a task whose step has a disruption budget, however
// late the wave is, nor go ahead while it is unknown what runs on the machine.
func TestMaintenanceNeverEndsBudgetedOrUnknownTasks(t *testing.T) {
	pt := newPlannerTest(Wave{Number: 1, Machines: []string{"a"}, FinishWithin: 3 * time.Second, MaxDown: 1})
	for _, load := range []Load{{Known: true, Runs: 1, LongRunning: 1, Budgeted: 1}, {}} {
		pt.loads["a"] = load
		if got := pt.planAndCall(10 * time.Second); len(got) > 0 {
			t.Errorf("called %v with load %+v", got, load)
		}
	}
	pt.loads["a"] = Load{Known: true, Runs: 1}
	if got := pt.planAndCall(time.Second); !slices.Equal(got, []string{"a"}) {
		t.Errorf("called %v", got)
	}
}

// A machine with budgeted tasks that fit on no other runner must not delay the
// other machines of its wave.
func TestUndrainableMachineDoesNotDelayOthers(t *testing.T) {
	pt := newPlannerTest(Wave{Number: 1, Machines: []string{"a"}, FinishWithin: time.Minute, MaxDown: 1})
	pt.loads["a"] = Load{Known: true, Runs: 1, LongRunning: 1, Budgeted: 1}
	pt.planAndCall(0)
	pt.machines = append(pt.machines, Machine{ID: "b", Runner: "b"})
	pt.loads["b"] = Load{Known: true}
	pt.SetRequestedWaves([]Wave{{Number: 1, Machines: []string{"a", "b"}, MaxDown: 1}}, pt.now)
	if got := pt.planAndCall(maxDrainTime); !slices.Equal(got, []string{"b"}) {
		t.Errorf("called %v", got)
	}
}

// Running tasks get time to end, but no more than the wave's deadline leaves.
func TestDrainTimeIsBoundedByTheWavesDeadline(t *testing.T) {
	for _, tc := range []struct {
		finishWithin, wantDrainTime time.Duration
	}{{time.Minute, maxDrainTime}, {testMaintenanceTime + groupMargin + 2*time.Second, 2 * time.Second}, {time.Second, minDrainTime}} {
		pt := newPlannerTest(Wave{Number: 1, Machines: []string{"a"}, FinishWithin: tc.finishWithin, MaxDown: 1})
		pt.loads["a"] = Load{Known: true, Runs: 3}
		pt.planAndCall(0)
		if got := pt.planAndCall(tc.wantDrainTime - time.Millisecond); len(got) > 0 {
			t.Errorf("within %v: called %v early", tc.finishWithin, got)
		}
		if got := pt.planAndCall(time.Millisecond); !slices.Equal(got, []string{"a"}) {
			t.Errorf("within %v: called %v", tc.finishWithin, got)
		}
	}
}

// If a call were sent before its record is durable, a successor would not know
// of it: it could repeat the call, or take down more machines than the limit
// allows.
func TestCallsAreSentOnlyAfterTheirRecordIsDurable(t *testing.T) {
	pt := newPlannerTest(Wave{Number: 1, Machines: []string{"a"}, FinishWithin: time.Minute, MaxDown: 1})
	pt.RecordMachineList(pt.machines, pt.now)
	pt.Plan(pt.now, func(string) Load { return Load{Known: true} })
	if got := pt.TakeCalls(pt.now, 10); len(got) > 0 {
		t.Errorf("called %v", got)
	}
	change, isUnrecorded := pt.LastChange()
	pt.MarkRecorded(change)
	if got := pt.TakeCalls(pt.now, 10); !isUnrecorded || len(got) != 1 {
		t.Errorf("called %v", got)
	}
}

// A successor must count a machine as down if its predecessor may have called
// for it, and must not call for it while the predecessor still may.
func TestSuccessorCountsMachinesOfUnresolvedCallsAsDown(t *testing.T) {
	w := Wave{Number: 1, Machines: []string{"a", "b"}, FinishWithin: time.Minute, MaxDown: 1}
	first := newPlannerTest(w)
	if got := first.planAndCall(0); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("called %v", got)
	}
	data, err := first.Encode(exactOffset(time.Hour), first.now)
	if err != nil {
		t.Fatal(err)
	}
	next := newPlannerTest(w)
	next.Planner = New(testMaintenanceTime)
	if _, err := next.Restore(data, exactOffset(time.Hour), next.now, next.now+3*time.Second); err != nil {
		t.Fatal(err)
	}
	next.SetRequestedWaves([]Wave{w}, next.now)
	if got := next.planAndCall(time.Second); len(got) > 0 {
		t.Errorf("called %v while the predecessor may call", got)
	}
	if got := next.planAndCall(2 * time.Second); !slices.Equal(got, []string{"a"}) {
		t.Errorf("called %v", got)
	}
	if finishBy := next.waves[1].finishBy; finishBy != first.waves[1].finishBy {
		t.Errorf("finish by %v, the predecessor's is %v", finishBy, first.waves[1].finishBy)
	}
}

// After a refusal that proves that nothing was done, another machine goes down
// instead. A refusal after a call without an answer proves nothing about that
// call.
func TestRefusedMachineLetsAnotherGoDownFirst(t *testing.T) {
	for _, outcome := range []Outcome{Busy, OtherWave} {
		pt := newPlannerTest(Wave{Number: 1, Machines: []string{"a", "b"}, FinishWithin: time.Minute, MaxDown: 1})
		pt.planAndCall(0)
		pt.answer("a", outcome)
		if got := pt.planAndCall(0); !slices.Equal(got, []string{"b"}) {
			t.Errorf("after %v: called %v", outcome, got)
		}
		pt.answer("b", Unanswered)
		if got := pt.planAndCall(unansweredRetryPause); !slices.Equal(got, []string{"b"}) {
			t.Errorf("after no answer: called %v", got)
		}
		pt.answer("b", outcome)
		if got := pt.planAndCall(refusalRetryPause); !slices.Equal(got, []string{"b"}) {
			t.Errorf("after no answer and %v: called %v", outcome, got)
		}
	}
}

// The pause after calls beyond the platform's rate must double up to a maximum.
func TestRateLimitedCallsBackOffExponentially(t *testing.T) {
	pt := newPlannerTest(Wave{Number: 1, Machines: []string{"a"}, FinishWithin: time.Minute, MaxDown: 1})
	pt.planAndCall(0)
	for pause := minRateLimitPause; pause < maxRateLimitPause; pause *= 2 {
		pt.answer("a", RateLimited)
		if got := pt.planAndCall(pause - time.Millisecond); len(got) > 0 {
			t.Fatalf("called %v before %v", got, pause)
		}
		if got := pt.planAndCall(time.Millisecond); !slices.Equal(got, []string{"a"}) {
			t.Fatalf("called %v after %v", got, pause)
		}
	}
}

// Only a prompt answer to the first call proves that the maintenance ended the
// named runner. After a repeated call, the next runner may already run under
// the same name.
func TestOnlyTheFirstAnswerReportsARunnerAsEnded(t *testing.T) {
	w := Wave{Number: 1, Machines: []string{"a"}, FinishWithin: time.Minute, MaxDown: 1}
	pt := newPlannerTest(w)
	pt.planAndCall(0)
	if ended := pt.answer("a", Begun); ended != "a" {
		t.Errorf("ended %q", ended)
	}
	pt = newPlannerTest(w)
	pt.planAndCall(0)
	pt.answer("a", Unanswered)
	pt.planAndCall(unansweredRetryPause)
	if ended := pt.answer("a", Begun); ended != "" {
		t.Errorf("ended %q after a call without an answer", ended)
	}
}

// A machine that is missing from the lists counts as gone only when the
// platform's answer says so, since a list may lack a machine that exists.
func TestMissingMachinesAreConfirmedByThePlatform(t *testing.T) {
	pt := newPlannerTest(Wave{Number: 1, Machines: []string{"a"}, FinishWithin: time.Minute, MaxDown: 1})
	pt.machines = nil
	for range 2 {
		if got := pt.planAndCall(time.Second); len(got) > 0 || pt.StatusReports()[0].Status != Running {
			t.Fatalf("called %v, %v", got, pt.StatusReports())
		}
	}
	if got := pt.planAndCall(minAbsence); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("called %v", got)
	}
	pt.answer("a", Busy) // the machine exists after all
	pt.loads["a"] = Load{Known: true, Runs: 1, LongRunning: 1, Budgeted: 1}
	pt.machines = []Machine{{ID: "a", Runner: "a"}}
	pt.planAndCall(0)
	pt.machines = nil
	pt.planAndCall(refusalRetryPause)
	if got := pt.planAndCall(minAbsence); len(got) > 0 {
		t.Fatalf("called %v though tasks with a budget run there", got)
	}
	pt.loads["a"] = Load{Known: true}
	if got := pt.planAndCall(0); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("called %v", got)
	}
	pt.answer("a", NoMachine)
	if pt.planAndCall(0); pt.StatusReports()[0].Status != Completed || pt.NeedsMachineLists() {
		t.Errorf("%v", pt.StatusReports())
	}
}

// A new coordinator may not see the request of a wave at once. It must keep the
// wave's state from the record until it does.
func TestWavesSurviveATemporarilyMissingRequest(t *testing.T) {
	w := Wave{Number: 1, Machines: []string{"a"}, FinishWithin: time.Minute, MaxDown: 1}
	pt := newPlannerTest(w)
	pt.planAndCall(0)
	pt.answer("a", Begun)
	pt.planAndCall(0)
	pt.SetRequestedWaves(nil, pt.now+time.Second)
	pt.SetRequestedWaves([]Wave{w}, pt.now+2*time.Second)
	if reports := pt.StatusReports(); len(reports) != 1 || reports[0].Status != Completed {
		t.Errorf("%v", reports)
	}
	pt.SetRequestedWaves(nil, pt.now+3*time.Second)
	pt.SetRequestedWaves(nil, pt.now+3*time.Second+withdrawnRetention)
	if reports := pt.StatusReports(); len(reports) != 0 {
		t.Errorf("%v after the request was withdrawn", reports)
	}
}
