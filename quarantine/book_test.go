package quarantine

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/structs"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func item(i int) structs.WorkID { return structs.WorkID(fmt.Sprintf("item-%d", i)) }

// bookWithExcluded returns a book in which a worker is excluded since start: it failed
// three items.
func bookWithExcluded(worker string) *Book {
	b := New(DefaultSettings())
	for i := range 3 {
		b.Failed(worker, item(i), start)
	}
	return b
}

// Guards against excluding healthy workers because of items that fail
// everywhere.
func TestItemsThatNeverRunDoNotExcludeWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(DefaultSettings())
		workers := rapid.IntRange(5, 12).Draw(t, "workers")
		for i := range rapid.IntRange(1, 10).Draw(t, "items") {
			for w := 0; w < workers && !b.NeverRuns(item(i)); w++ {
				b.Failed(fmt.Sprint(w), item(i), start)
				b.Succeeded(fmt.Sprint(w), item(1000+i))
			}
			if !b.NeverRuns(item(i)) {
				t.Fatalf("item %d failed on %d workers and is still tried", i, workers)
			}
		}
		for w := range workers {
			if b.State(fmt.Sprint(w), start) != Usable {
				t.Fatalf("worker %d is excluded", w)
			}
		}
	})
}

// Guards against giving up items because of a worker that fails everything,
// and against sending it more than a few items.
func TestFailingWorkerIsExcludedAndItemsAreNotGivenUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(DefaultSettings())
		for i := range rapid.IntRange(3, 30).Draw(t, "items") {
			if b.State("bad", start) == Usable {
				b.Failed("bad", item(i), start)
			}
			if b.NeverRuns(item(i)) {
				t.Fatalf("item %d is given up", i)
			}
		}
		if b.State("bad", start) != Excluded {
			t.Fatal("worker is not excluded")
		}
	})
}

// Guards against a repaired worker that stays excluded, and against a second
// probe while the first is running.
func TestOneProbeReadmitsARepairedWorker(t *testing.T) {
	b := bookWithExcluded("w")
	later := start.Add(DefaultSettings().ProbeAfter)
	if b.State("w", later) != Probe {
		t.Fatal("no probe is due")
	}
	b.Placed("w", item(9))
	if b.State("w", later) != Excluded {
		t.Fatal("a second probe is allowed")
	}
	b.Succeeded("w", item(9))
	if b.State("w", later) != Usable {
		t.Fatal("worker stays excluded after a successful probe")
	}
}

// Guards against a repaired worker that runs a single probe for the whole
// length of a job, and against readmission by work other than the probe.
func TestProbeThatRunsLongEnoughReadmits(t *testing.T) {
	b := bookWithExcluded("w")
	later := start.Add(DefaultSettings().ProbeAfter)
	b.Placed("w", item(9))
	b.Ran("w", item(8), time.Hour)
	b.Ran("w", item(9), DefaultSettings().ProbePass-1)
	if b.State("w", later) != Excluded {
		t.Fatal("worker is readmitted too early")
	}
	b.Ran("w", item(9), DefaultSettings().ProbePass)
	if b.State("w", later) != Usable {
		t.Fatal("worker stays excluded")
	}
}

// Guards against probing a broken worker at a constant rate for ever.
func TestProbesBackOff(t *testing.T) {
	b := bookWithExcluded("w")
	now, previous := start, time.Duration(0)
	for i := range 8 {
		from := now
		for b.State("w", now) != Probe {
			now = now.Add(time.Second)
		}
		wait := now.Sub(from)
		if wait < previous || wait > DefaultSettings().ProbeAfterMax {
			t.Fatalf("probe %d after %v, the one before after %v", i, wait, previous)
		}
		previous = wait
		b.Placed("w", item(100+i))
		b.Failed("w", item(100+i), now)
	}
}
