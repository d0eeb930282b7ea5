package coordinator

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
)

// A job that is late because it waited must say in the log what it waited for,
// and no more often than every few seconds: of a late job only its starts were
// there to be seen.
func TestLogSaysWhatAStepWaitsFor(t *testing.T) {
	w := newWorld(t, machine("a", 8_000), machine("b", 1_000))
	log, lines := test.NewNullLogger()
	w.core.log = log
	w.accept(firstID, false, plain(4, 4000))
	for range 120 { // twelve seconds
		w.now += 99 * time.Millisecond
		w.schedule()
	}
	var waits []string
	for _, l := range lines.AllEntries() {
		if l.Message == "step waits" && l.Data["job"] == firstID {
			waits = append(waits, l.Data["cause"].(string))
		}
	}
	if len(waits) != 3 || waits[0] != "no room 2" {
		t.Errorf("causes %q, want 'no room 2' three times in twelve seconds", waits)
	}
}

// Each obstacle to a start is told apart.
func TestObstaclesAreTold(t *testing.T) {
	w := newWorld(t, machine("a", 8_000), machine("b", 8_000), machine("c", 8_000))
	labelled := plain(1, 1000)
	labelled.RequiredLabel = "fast"
	w.accept(firstID, false, labelled)
	w.core.RunnerSilent("b")
	w.core.runners["c"].health.refused(w.now)
	got := w.core.obstaclesTo(w.core.jobs[firstID].work[[2]int{0, 0}], w.now)
	if want := "not usable 1, avoided 1, without label 1"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
