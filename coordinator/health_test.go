package coordinator

import (
	"fmt"
	"testing"
	"time"

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
	h := newCoreHarness(t, machines...)
	failing := testQueue
	failing.MaxAttempts = 100
	h.core.Configure([]jobs.Queue{failing})
	numbers := map[string]int{}
	for job := range 40 {
		h.addJob(jobs.ID(fmt.Sprintf("%016x", job)), false, plainStep(1, 4000))
		for _, order := range startOrders(h.schedule()) {
			h.answer(order, Accepted, false)
			numbers[order.Runner]++
			h.report(Report{Runner: order.Runner, Incarnation: 1, Ended: []RunResult{{Number: numbers[order.Runner], Task: order.Task, Run: order.Run, Kind: EndedFailed}}})
		}
	}
	avoided := 0
	for _, r := range h.core.runners {
		if r.health.isAvoided(h.now) {
			avoided++
		}
	}
	if avoided == 0 || avoided > runners/runnersPerAvoided {
		t.Errorf("%d of %d runners are avoided, want some and at most a third", avoided, runners)
	}
}

// Guards against a runner that is put last for good because a run stalled there: only the end of a
// finite task cleared the mark, which a runner of long-running tasks never has.
func TestStalledRunIsHeldAgainstItsRunnerForABoundedTime(t *testing.T) {
	var h health
	h.recordStall(time.Minute)
	if !h.isUnreliable(time.Minute + stallAvoidTime) {
		t.Error("the runner counts as reliable again at once")
	}
	if h.isUnreliable(time.Minute + stallMemory) {
		t.Error("the runner counts as unreliable for good")
	}
}
