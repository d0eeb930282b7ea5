package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// newBusyFleet returns a harness with runners of unequal size.
func newBusyFleet(t *testing.T, runners int) *coreHarness {
	var infos []RunnerInfo
	for i := range runners {
		infos = append(infos, testRunner(fmt.Sprintf("r%02d", i), int64(4000+1000*(i%5))))
	}
	return newCoreHarness(t, infos...)
}

// Guards against one search for all tasks of a step that places them elsewhere than a search for
// each of them, or beyond the capacity of a runner.
func TestOneSearchPlacesTheTasksOfAStepAsASearchForEach(t *testing.T) {
	steps := map[string]jobs.Step{"plain": plainStep(40, 1300), "limited": plainStep(40, 900), "best effort": bestEffortStep(40, "render")}
	limited := steps["limited"]
	limited.MaxPerRunner = 2
	steps["limited"] = limited
	for name, step := range steps {
		var got, want []string
		h := newBusyFleet(t, 20)
		h.addJob(firstID, false, step)
		for _, order := range startOrders(h.schedule()) {
			got = append(got, order.Runner)
		}
		h = newBusyFleet(t, 20)
		h.addJob(firstID, false, step)
		s := h.core.waitingSteps[0]
		h.now += time.Millisecond
		s.waitingSince = h.now
		for index := range step.Count {
			r := h.core.pickRunner(s, h.now, nil, 0)
			if r == nil {
				break
			}
			h.core.startTask(s, index, 1, r, h.now)
			want = append(want, r.ID)
		}
		if len(want) == 0 || !slices.Equal(got, want) {
			t.Errorf("%s: started on %v, want %v", name, got, want)
		}
	}
}

// Guards against rounds in which every waiting step compares all runners again at the same time:
// with hundreds of steps new jobs waited for 100 ms and more.
func TestComparisonsOfAllRunnersInARoundAreBounded(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 1000))
	for i := range 3 * maxRescans {
		step := bestEffortStep(1, fmt.Sprint("image", i))
		step.Resources.CPUMilli = 9000
		h.addJob(jobs.ID(fmt.Sprintf("%016x", i)), false, step)
	}
	h.schedule()
	countRescans := func() int {
		rescans := 0
		for _, s := range h.core.waitingSteps {
			if h.core.failedSearches.scanSince(s, h.now) == 0 {
				rescans++
			}
		}
		return rescans
	}
	h.core.failedSearches.rescansLeft = maxRescans
	if n := countRescans(); n != 0 {
		t.Errorf("%d steps compare all runners again at once", n)
	}
	h.now += fullScanInterval
	h.core.failedSearches.rescansLeft = maxRescans
	if n := countRescans(); n != maxRescans {
		t.Errorf("%d steps compare all runners again, want %d", n, maxRescans)
	}
	h.now += maxFullScanAge
	if n := countRescans(); n != 3*maxRescans {
		t.Errorf("%d of %d steps compare all runners after the longest time", n, 3*maxRescans)
	}
}

// Guards against steps with a limit of tasks per runner that compare all runners in each round,
// and against such a step that is not started once a runner has free capacity for it.
func TestLimitedStepComparesOnlyRunnersThatChanged(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 1000), testRunner("b", 1000))
	running := h.startJob(firstID, plainStep(2, 1000))
	step := plainStep(1, 1000)
	step.MaxPerRunner = 1
	h.addJob(secondID, false, step)
	h.schedule()
	s := h.core.waitingSteps[0]
	if h.core.failedSearches.scanSince(s, h.now) == 0 {
		t.Error("all runners are compared again")
	}
	h.report(Report{Runner: running[1].Runner, Incarnation: 1, Ended: []RunResult{{Number: 1, Task: running[1].Task, Run: 1, Kind: EndedDone}}})
	if orders := startOrders(h.schedule()); len(orders) != 1 || orders[0].Runner != running[1].Runner {
		t.Errorf("orders %+v after a runner has become free", orders)
	}
}
