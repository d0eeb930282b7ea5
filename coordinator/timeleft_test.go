package coordinator

import (
	"testing"
	"time"
)

// Guards against taking the time since a takeover for the time since the start of a run. All runs
// that had made progress were then expected to end at once after a takeover, and no run was
// preempted for urgent work for as long as the predecessor's runs had been at work.
func TestAdoptedRunIsNotExpectedToEndAtOnce(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 8_000))
	step := plainStep(1, 2000)
	step.Estimate = 100 * time.Second
	h.addJob(firstID, true, step)
	h.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: taskID(firstID, 0, 0), Run: 1, Percent: 40, Load: 2000}}})
	h.now += 100 * time.Millisecond
	run := h.core.jobs[firstID].runs[taskID(firstID, 0, 0)][0]
	if got := run.timeLeft(h.now); got != 60*time.Second {
		t.Errorf("a run adopted at 40%% of 100 s is expected to go on for %v, want 60 s", got)
	}
	if run.endsWithin(freeSoonTime, h.now) {
		t.Error("the run is expected to end soon")
	}
}
