package coordinator

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
)

// Guards against a log that doesn't say why a job is late. While a step waits, the log must
// name the cause, but only every few seconds. Before, only the starts of a late job were
// logged.
func TestLogSaysWhatAStepWaitsFor(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 8_000), testRunner("b", 1_000))
	log, lines := test.NewNullLogger()
	h.core.log = log
	h.addJob(firstID, false, plainStep(4, 4000))
	for range 120 { // 12 s
		h.now += 99 * time.Millisecond
		h.schedule()
	}
	var waits []string
	for _, entry := range lines.AllEntries() {
		if entry.Message == "step waits" && entry.Data["job"] == firstID {
			waits = append(waits, entry.Data["cause"].(string))
		}
	}
	if len(waits) != 3 || waits[0] != "no free capacity 2" {
		t.Errorf("causes %q, want 'no free capacity 2' three times in 12 s", waits)
	}
}

// Guards against obstacles that the log does not distinguish.
func TestObstaclesAreCountedByKind(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 8_000), testRunner("b", 8_000), testRunner("c", 8_000))
	labelled := plainStep(1, 1000)
	labelled.RequiredLabel = "fast"
	h.addJob(firstID, false, labelled)
	h.core.MarkRunnerSilent("b")
	h.core.runners["c"].health.recordRefusal(h.now)
	got := h.core.describeObstacles(h.core.jobs[firstID].openSteps[[2]int{0, 0}], h.now)
	if want := "not usable 1, avoided 1, without label 1"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// Guards against a gang that waits without a line in the log, because a run of one of its members
// has not ended.
func TestLogSaysThatAGangWaitsForItsMembers(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 2000))
	log, lines := test.NewNullLogger()
	h.core.log = log
	step := plainStep(2, 1000)
	step.Gang = true
	starts := h.startJob(firstID, step)
	h.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(10, starts[0]),
		Ended: []RunResult{{Number: 1, Task: starts[1].Task, Run: 1, Kind: EndedFailed}}})
	h.schedule()
	h.now += 2 * firstWaitLogDelay
	h.schedule()
	if entry := lines.LastEntry(); entry.Message != "step waits" || entry.Data["cause"] != "members of the gang have not ended" {
		t.Errorf("last line %q %v", entry.Message, entry.Data)
	}
}
