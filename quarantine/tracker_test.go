package quarantine

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/structs"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

// itemID returns the ID of test item i.
func itemID(i int) structs.WorkID { return structs.WorkID(fmt.Sprintf("item-%d", i)) }

// newTrackerWithExcludedWorker returns a tracker in which a worker is excluded
// since start because three items failed on it.
func newTrackerWithExcludedWorker(worker string) *Tracker {
	tracker := New(DefaultSettings())
	for i := range 3 {
		tracker.RecordFailure(worker, itemID(i), start)
	}
	return tracker
}

// Guards against excluding healthy workers because of items that fail on every
// worker.
func TestItemsThatNeverRunDoNotExcludeWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(DefaultSettings())
		workers := rapid.IntRange(5, 12).Draw(t, "workers")
		for i := range rapid.IntRange(1, 10).Draw(t, "items") {
			for w := 0; w < workers && !tracker.NeverRuns(itemID(i)); w++ {
				tracker.RecordFailure(fmt.Sprint(w), itemID(i), start)
				tracker.RecordSuccess(fmt.Sprint(w), itemID(1000+i))
			}
			if !tracker.NeverRuns(itemID(i)) {
				t.Fatalf("item %d failed on %d workers and is not refused", i, workers)
			}
		}
		for w := range workers {
			if tracker.State(fmt.Sprint(w), start) != Usable {
				t.Fatalf("worker %d is excluded", w)
			}
		}
	})
}

// Guards against refusing items because of a worker on which everything fails,
// and against sending that worker more than a few items.
func TestFailingWorkerIsExcludedAndItemsAreNotRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(DefaultSettings())
		for i := range rapid.IntRange(3, 30).Draw(t, "items") {
			if tracker.State("bad", start) == Usable {
				tracker.RecordFailure("bad", itemID(i), start)
			}
			if tracker.NeverRuns(itemID(i)) {
				t.Fatalf("item %d is refused", i)
			}
		}
		if tracker.State("bad", start) != Excluded {
			t.Fatal("worker is not excluded")
		}
	})
}

// Guards against a repaired worker that stays excluded, and against a second
// probe while the first one is running.
func TestOneProbeReadmitsARepairedWorker(t *testing.T) {
	tracker := newTrackerWithExcludedWorker("w")
	probeTime := start.Add(DefaultSettings().ProbeAfter)
	if tracker.State("w", probeTime) != ProbeDue {
		t.Fatal("no probe is due")
	}
	tracker.RecordPlacement("w", itemID(9))
	if tracker.State("w", probeTime) != Excluded {
		t.Fatal("a second probe is allowed")
	}
	tracker.RecordSuccess("w", itemID(9))
	if tracker.State("w", probeTime) != Usable {
		t.Fatal("worker stays excluded after a successful probe")
	}
}

// Guards against a repaired worker that runs nothing but its probe until that
// job ends, and against readmission by an item other than the probe.
func TestProbeThatRunsLongEnoughReadmits(t *testing.T) {
	tracker := newTrackerWithExcludedWorker("w")
	probeTime := start.Add(DefaultSettings().ProbeAfter)
	tracker.RecordPlacement("w", itemID(9))
	tracker.RecordRunTime("w", itemID(8), time.Hour)
	tracker.RecordRunTime("w", itemID(9), DefaultSettings().ProbePassTime-1)
	if tracker.State("w", probeTime) != Excluded {
		t.Fatal("worker is readmitted too early")
	}
	tracker.RecordRunTime("w", itemID(9), DefaultSettings().ProbePassTime)
	if tracker.State("w", probeTime) != Usable {
		t.Fatal("worker stays excluded")
	}
}

// Guards against sending probes to a broken worker at a constant rate for ever.
func TestProbesBackOff(t *testing.T) {
	tracker := newTrackerWithExcludedWorker("w")
	now, previous := start, time.Duration(0)
	for i := range 8 {
		waitStart := now
		for tracker.State("w", now) != ProbeDue {
			now = now.Add(time.Second)
		}
		wait := now.Sub(waitStart)
		if wait < previous || wait > DefaultSettings().ProbeAfterMax {
			t.Fatalf("probe %d came after %v, the one before it after %v", i, wait, previous)
		}
		previous = wait
		tracker.RecordPlacement("w", itemID(100+i))
		tracker.RecordFailure("w", itemID(100+i), now)
	}
}
