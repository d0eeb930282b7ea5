package maintenance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// handoverGap is the least time between calls of two coordinators for one machine.
const handoverGap = 3 * time.Second

// exactOffset returns an offset of clocks that is known exactly.
func exactOffset(offset time.Duration) ClockOffset { return ClockOffset{offset, offset, offset} }

// takeOver replaces a planner by a successor that restores its record.
func takeOver(t *testing.T, first *plannerTest, w Wave) *plannerTest {
	t.Helper()
	data, err := first.Encode(exactOffset(time.Hour), first.now)
	if err != nil {
		t.Fatal(err)
	}
	return restore(t, data, first.now, w)
}

// restore returns a planner that restores a record at a time.
func restore(t *testing.T, data []byte, now time.Duration, w Wave) *plannerTest {
	t.Helper()
	next := newPlannerTest(w)
	next.Planner, next.now = New(testMaintenanceTime), now
	if _, err := next.Restore(data, exactOffset(time.Hour), now, now+handoverGap); err != nil {
		t.Fatal(err)
	}
	next.SetRequestedWaves([]Wave{w}, now)
	return next
}

// awaitCall plans in short steps and returns when a machine is called for.
func (pt *plannerTest) awaitCall(t *testing.T, machine string) time.Duration {
	t.Helper()
	for range 100 {
		if slices.Contains(pt.planAndCall(100*time.Millisecond), machine) {
			return pt.now
		}
	}
	t.Fatalf("no call for %s", machine)
	return 0
}

// Guards against two live coordinators that call for one machine too soon after each other
// (review/12): the call of the first was refused as busy, so the machine was waiting again. Takeovers in a
// row don't prolong the wait.
func TestSuccessorDoesNotCallSoonAfterARefusedCall(t *testing.T) {
	for _, outcome := range []Outcome{Busy, OtherWave} {
		for takeovers := range 4 {
			t.Run(fmt.Sprint(outcome, takeovers+1), func(t *testing.T) {
				w := Wave{Number: 1, Machines: []string{"a"}, FinishWithin: time.Minute, MaxDown: 1}
				pt := newPlannerTest(w)
				pt.planAndCall(0)
				pt.answer("a", outcome)
				calledAt := pt.now
				for range takeovers + 1 {
					pt.now += 500 * time.Millisecond
					pt = takeOver(t, pt, w)
				}
				if gap := pt.awaitCall(t, "a") - calledAt; gap < handoverGap || gap > handoverGap+time.Second {
					t.Errorf("called %v after the predecessor's call, want %v", gap, handoverGap)
				}
			})
		}
	}
}

// Guards against a wait for machines for which the predecessor has not called, and against a call for a
// machine of another wave for which it has.
func TestOnlyMachinesOfAPredecessorsCallsAreHeld(t *testing.T) {
	w := Wave{Number: 1, Machines: []string{"a", "b"}, FinishWithin: time.Minute, MaxDown: 2}
	first := newPlannerTest(Wave{Number: 1, Machines: []string{"a"}, FinishWithin: time.Minute, MaxDown: 1})
	first.planAndCall(0)
	first.answer("a", Busy)
	for number := 1; number <= 2; number++ {
		w.Number = number
		next := takeOver(t, first, w)
		if got := next.planAndCall(100 * time.Millisecond); !slices.Equal(got, []string{"b"}) {
			t.Errorf("wave %d: called %v, want the machine for which the predecessor has not called", number, got)
		}
	}
}

// Guards against a call soon after one of a predecessor of an earlier version, whose record leaves refused
// calls out, and against a record that an earlier version can't read.
func TestRecordsOfEarlierVersions(t *testing.T) {
	type earlierRecord struct {
		Waves []waveRecord `cbor:"1,keyasint,omitempty"`
	}
	w := Wave{Number: 1, Machines: []string{"a"}, FinishWithin: time.Minute, MaxDown: 1}
	first := newPlannerTest(w)
	first.planAndCall(0)
	first.answer("a", Busy)
	data, err := first.Encode(exactOffset(time.Hour), first.now)
	if err != nil {
		t.Fatal(err)
	}
	var earlier earlierRecord
	if err := cbor.Unmarshal(data, &earlier); err != nil || len(earlier.Waves) != 1 {
		t.Fatalf("an earlier version reads %+v, error %v", earlier, err)
	}
	data, err = cbor.Marshal(earlier)
	if err != nil {
		t.Fatal(err)
	}
	next := restore(t, data, first.now, w)
	if gap := next.awaitCall(t, "a") - first.now; gap < handoverGap {
		t.Errorf("called %v after the takeover", gap)
	}
}
