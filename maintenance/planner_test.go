package maintenance

import (
	"slices"
	"testing"
	"time"
)

// bench is a planner with lists that show every machine as up, on a runner of the
// same name.
type bench struct {
	*Planner
	now   time.Duration
	loads map[string]Load
	list  []Machine
}

func newBench(w Wave) *bench {
	b := &bench{Planner: New(testUpkeep), now: time.Minute, loads: map[string]Load{"": {Known: true}}}
	for _, id := range w.Machines {
		b.list = append(b.list, Machine{ID: id, Runner: id})
		b.loads[id] = Load{Known: true}
	}
	b.Request([]Wave{w}, b.now)
	return b
}

// round lets a time pass and returns the calls of a round of planning.
func (b *bench) round(d time.Duration) []string {
	b.now += d
	b.Observe(b.list, b.now)
	b.Plan(b.now, func(runner string) Load { return b.loads[runner] })
	change, _ := b.Unrecorded()
	b.Recorded(change)
	var called []string
	for _, c := range b.Calls(b.now, 10) {
		called = append(called, c.Machine)
	}
	return called
}

func (b *bench) answer(machine string, o Outcome) string {
	return b.Answered(Result{Call: Call{Wave: 1, Machine: machine}, Outcome: o, Sent: b.now}, b.now)
}

// Machines whose drain costs more must not go first: their work would be moved
// onto machines that have yet to go down.
func TestMachinesWithLittleWorkComeFirst(t *testing.T) {
	b := newBench(Wave{Number: 1, Machines: []string{"a", "b", "c"}, Within: time.Minute, MaxDown: 1})
	b.loads["a"] = Load{Known: true, Runs: 1, LongRunning: 1}
	b.loads["b"] = Load{Known: true, Runs: 1, CPUMilli: 100}
	if got := b.round(0); !slices.Equal(got, []string{"c"}) {
		t.Fatalf("called %v", got)
	}
	b.answer("c", Begun)
	b.round(0)
	if _, draining := b.Drains(b.now)["b"]; !draining || len(b.Drains(b.now)) != 2 {
		t.Errorf("drains %v", b.Drains(b.now))
	}
}

// An upkeep must not end a task beyond its disruption budget, however late the
// wave is, nor tasks that aren't known.
func TestBudgetedTasksAreNeverEnded(t *testing.T) {
	b := newBench(Wave{Number: 1, Machines: []string{"a"}, Within: 3 * time.Second, MaxDown: 1})
	for _, l := range []Load{{Known: true, Runs: 1, LongRunning: 1, Budgeted: 1}, {}} {
		b.loads["a"] = l
		if got := b.round(10 * time.Second); len(got) > 0 {
			t.Errorf("called %v with load %+v", got, l)
		}
	}
	b.loads["a"] = Load{Known: true, Runs: 1}
	if got := b.round(time.Second); !slices.Equal(got, []string{"a"}) {
		t.Errorf("called %v", got)
	}
}

// A machine with budgeted tasks that can't go elsewhere must not keep the others
// of its wave waiting.
func TestOthersGoBeforeAMachineThatCannotBeDrained(t *testing.T) {
	b := newBench(Wave{Number: 1, Machines: []string{"a"}, Within: time.Minute, MaxDown: 1})
	b.loads["a"] = Load{Known: true, Runs: 1, LongRunning: 1, Budgeted: 1}
	b.round(0)
	b.list = append(b.list, Machine{ID: "b", Runner: "b"})
	b.loads["b"] = Load{Known: true}
	b.Request([]Wave{{Number: 1, Machines: []string{"a", "b"}, MaxDown: 1}}, b.now)
	if got := b.round(drainTime); !slices.Equal(got, []string{"b"}) {
		t.Errorf("called %v", got)
	}
}

// Work that runs is given time to end, but not so long that the wave is late.
func TestRunningWorkIsGivenTheTimeThatIsLeft(t *testing.T) {
	for _, c := range []struct {
		within, until time.Duration
	}{{time.Minute, drainTime}, {testUpkeep + cycleMargin + 2*time.Second, 2 * time.Second}, {time.Second, minDrain}} {
		b := newBench(Wave{Number: 1, Machines: []string{"a"}, Within: c.within, MaxDown: 1})
		b.loads["a"] = Load{Known: true, Runs: 3}
		b.round(0)
		if got := b.round(c.until - time.Millisecond); len(got) > 0 {
			t.Errorf("within %v: called %v early", c.within, got)
		}
		if got := b.round(time.Millisecond); !slices.Equal(got, []string{"a"}) {
			t.Errorf("within %v: called %v", c.within, got)
		}
	}
}

// A call before its record is durable could be repeated or exceeded by a
// successor that doesn't know of it.
func TestCallsWaitForTheirRecord(t *testing.T) {
	b := newBench(Wave{Number: 1, Machines: []string{"a"}, Within: time.Minute, MaxDown: 1})
	b.Observe(b.list, b.now)
	b.Plan(b.now, func(string) Load { return Load{Known: true} })
	if got := b.Calls(b.now, 10); len(got) > 0 {
		t.Errorf("called %v", got)
	}
	change, waits := b.Unrecorded()
	b.Recorded(change)
	if got := b.Calls(b.now, 10); !waits || len(got) != 1 {
		t.Errorf("called %v", got)
	}
}

// A successor must count the machine of a predecessor's call as down, and must not
// call for it while the predecessor may.
func TestSuccessorCountsCallsThatMayBeCarriedOut(t *testing.T) {
	w := Wave{Number: 1, Machines: []string{"a", "b"}, Within: time.Minute, MaxDown: 1}
	first := newBench(w)
	if got := first.round(0); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("called %v", got)
	}
	data, err := first.Encode(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	next := newBench(w)
	next.Planner = New(testUpkeep)
	if _, err := next.Restore(data, time.Hour, next.now, next.now+3*time.Second); err != nil {
		t.Fatal(err)
	}
	next.Request([]Wave{w}, next.now)
	if got := next.round(time.Second); len(got) > 0 {
		t.Errorf("called %v while the predecessor may call", got)
	}
	if got := next.round(2 * time.Second); !slices.Equal(got, []string{"a"}) {
		t.Errorf("called %v", got)
	}
	if finishBy := next.waves[1].finishBy; finishBy != first.waves[1].finishBy {
		t.Errorf("finish by %v, the predecessor's is %v", finishBy, first.waves[1].finishBy)
	}
}

// A refusal that proves that nothing was done gives the turn to another machine;
// one after a call without an answer proves nothing about that call.
func TestRefusalsGiveTheTurnToOthers(t *testing.T) {
	for _, o := range []Outcome{Busy, OtherWave} {
		b := newBench(Wave{Number: 1, Machines: []string{"a", "b"}, Within: time.Minute, MaxDown: 1})
		b.round(0)
		b.answer("a", o)
		if got := b.round(0); !slices.Equal(got, []string{"b"}) {
			t.Errorf("after %v: called %v", o, got)
		}
		b.answer("b", Unanswered)
		if got := b.round(unansweredPause); !slices.Equal(got, []string{"b"}) {
			t.Errorf("after no answer: called %v", got)
		}
		b.answer("b", o)
		if got := b.round(refusedPause); !slices.Equal(got, []string{"b"}) {
			t.Errorf("after no answer and %v: called %v", o, got)
		}
	}
}

// Calls beyond the platform's rate must come back slower and slower.
func TestCallsBeyondTheRateBackOff(t *testing.T) {
	b := newBench(Wave{Number: 1, Machines: []string{"a"}, Within: time.Minute, MaxDown: 1})
	b.round(0)
	for pause := firstLimitedPause; pause < maxLimitedPause; pause *= 2 {
		b.answer("a", Limited)
		if got := b.round(pause - time.Millisecond); len(got) > 0 {
			t.Fatalf("called %v before %v", got, pause)
		}
		if got := b.round(time.Millisecond); !slices.Equal(got, []string{"a"}) {
			t.Fatalf("called %v after %v", got, pause)
		}
	}
}

// Only the first, prompt answer proves that the runner named is the one that was
// ended: its successor may have the same name.
func TestOnlyAPromptAnswerEndsARunner(t *testing.T) {
	w := Wave{Number: 1, Machines: []string{"a"}, Within: time.Minute, MaxDown: 1}
	b := newBench(w)
	b.round(0)
	if ended := b.answer("a", Begun); ended != "a" {
		t.Errorf("ended %q", ended)
	}
	b = newBench(w)
	b.round(0)
	b.answer("a", Unanswered)
	b.round(unansweredPause)
	if ended := b.answer("a", Begun); ended != "" {
		t.Errorf("ended %q after a call without an answer", ended)
	}
}

// A machine that left counts as gone only when the platform says so: a list may
// lack one that stays.
func TestMissingMachinesAreAskedFor(t *testing.T) {
	b := newBench(Wave{Number: 1, Machines: []string{"a"}, Within: time.Minute, MaxDown: 1})
	b.list = nil
	for range 2 {
		if got := b.round(time.Second); len(got) > 0 || b.Reports()[0].Status != Running {
			t.Fatalf("called %v, %v", got, b.Reports())
		}
	}
	if got := b.round(absentTime); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("called %v", got)
	}
	b.answer("a", Busy) // it is there after all
	b.loads["a"] = Load{Known: true, Runs: 1, LongRunning: 1, Budgeted: 1}
	b.list = []Machine{{ID: "a", Runner: "a"}}
	b.round(0)
	b.list = nil
	b.round(refusedPause)
	if got := b.round(absentTime); len(got) > 0 {
		t.Fatalf("called %v though tasks with a budget run there", got)
	}
	b.loads["a"] = Load{Known: true}
	if got := b.round(0); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("called %v", got)
	}
	b.answer("a", NoMachine)
	if b.round(0); b.Reports()[0].Status != Completed || b.Open() {
		t.Errorf("%v", b.Reports())
	}
}

// A request that a new coordinator has not seen yet must not make it forget what
// the record says.
func TestWavesOutliveALaggingRequest(t *testing.T) {
	w := Wave{Number: 1, Machines: []string{"a"}, Within: time.Minute, MaxDown: 1}
	b := newBench(w)
	b.round(0)
	b.answer("a", Begun)
	b.round(0)
	b.Request(nil, b.now+time.Second)
	b.Request([]Wave{w}, b.now+2*time.Second)
	if r := b.Reports(); len(r) != 1 || r[0].Status != Completed {
		t.Errorf("%v", r)
	}
	b.Request(nil, b.now+3*time.Second)
	b.Request(nil, b.now+3*time.Second+withdrawnTime)
	if r := b.Reports(); len(r) != 0 {
		t.Errorf("%v after the request was withdrawn", r)
	}
}
