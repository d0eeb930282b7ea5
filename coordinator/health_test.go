package coordinator

import (
	"fmt"
	"testing"

	"bergamotstile/jobs"
)

// Guards against a service without usable runners because tasks that fail by their own fault
// make every runner look faulty. Jobs would wait although there is free capacity.
func TestFailuresLeaveMostRunnersInUse(t *testing.T) {
	const runners = 8
	var machines []RunnerInfo
	for i := range runners {
		machines = append(machines, testRunner(fmt.Sprint("m", i), 4000))
	}
	w := newCoreHarness(t, machines...)
	failing := testQueue
	failing.MaxAttempts = 100
	w.core.Configure([]jobs.Queue{failing})
	numbers := map[string]int{}
	for job := range 40 {
		w.accept(jobs.ID(fmt.Sprintf("%016x", job)), false, plainStep(1, 4000))
		for _, o := range startOrders(w.schedule()) {
			w.answer(o, Accepted, false)
			numbers[o.Runner]++
			w.report(Report{Runner: o.Runner, Incarnation: 1, Ended: []RunEnd{{Number: numbers[o.Runner], Task: o.Task, Run: o.Run, Kind: EndedFailed}}})
		}
	}
	avoided := 0
	for _, r := range w.core.runners {
		if r.health.isAvoided(w.now) {
			avoided++
		}
	}
	if avoided == 0 || avoided > runners/runnersPerAvoided {
		t.Errorf("%d of %d runners are avoided, want some and at most a third", avoided, runners)
	}
}
