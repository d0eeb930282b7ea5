package coordinator

import (
	"fmt"
	"testing"

	"bergamotstile/jobs"
)

// Guards against a service that is left without runners because tasks that fail by
// themselves make every runner look faulty: jobs then wait though there is room.
func TestFailuresLeaveMostRunnersInUse(t *testing.T) {
	const runners = 8
	var machines []RunnerInfo
	for i := range runners {
		machines = append(machines, machine(fmt.Sprint("m", i), 4000))
	}
	w := newWorld(t, machines...)
	failing := renders
	failing.MaxAttempts = 100
	w.core.Configure([]jobs.Queue{failing})
	numbers := map[string]int{}
	for job := range 40 {
		w.accept(jobs.ID(fmt.Sprintf("%016x", job)), false, plain(1, 4000))
		for _, o := range starts(w.schedule()) {
			w.answer(o, Accepted, false)
			numbers[o.Runner]++
			w.report(Report{Runner: o.Runner, Incarnation: 1, Ended: []RunEnd{{Number: numbers[o.Runner], Task: o.Task, Run: o.Run, How: EndedFailed}}})
		}
	}
	avoided := 0
	for _, r := range w.core.runners {
		if r.health.avoided(w.now) {
			avoided++
		}
	}
	if avoided == 0 || avoided > runners/avoidedShare {
		t.Errorf("%d of %d runners are avoided, want some and at most a third", avoided, runners)
	}
}
