package coordinator

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// Parameters of the tests of the capacity that new long-running work must leave free.
const (
	testRound    = 100 * time.Millisecond // time between two scheduling rounds
	allowedIdle  = 3 * time.Second        // longest wait of a long-running job beside free capacity
	plainService = jobs.ID("00000000000000c3")
)

// waitForStart runs scheduling rounds until a task of the job is started, for at most limit. It
// returns how long that took and whether a task was started.
func (h *coreHarness) waitForStart(id jobs.ID, limit time.Duration) (time.Duration, bool) {
	began := h.now
	for h.now-began <= limit {
		for _, order := range startOrders(h.schedule()) {
			if order.Task.Job == id {
				return h.now - began, true
			}
		}
		h.now += testRound
	}
	return h.now - began, false
}

// cancelJob cancels a job and reports the ends of its runs.
func (h *coreHarness) cancelJob(id jobs.ID, starts []Order) {
	h.core.Cancel(id, h.now)
	h.core.TakeOrders()
	ended := map[string][]RunResult{}
	for _, order := range starts {
		if order.Task.Job != id {
			continue
		}
		number := h.core.runners[order.Runner].lastAppliedResult + len(ended[order.Runner]) + 1
		ended[order.Runner] = append(ended[order.Runner], RunResult{Number: number, Task: order.Task, Run: order.Run, Kind: EndedStopped})
	}
	for runner, results := range ended {
		h.report(Report{Runner: runner, Incarnation: 1, Ended: results})
	}
}

// playBurst lets plain work ask for more than the runners of the harness have, and ends it.
func (h *coreHarness) playBurst(tasks int, cpu int64) {
	h.t.Helper()
	starts := h.startJob(plainService, plainStep(tasks, cpu))
	if len(starts) == 0 || len(starts) == tasks {
		h.t.Fatalf("%d of %d tasks of the burst are started, want some and not all", len(starts), tasks)
	}
	h.cancelJob(plainService, starts)
}

// standingStep returns a long-running step without a disruption budget.
func standingStep(count int, cpu int64) jobs.Step {
	step := plainStep(count, cpu)
	step.LongRunning = true
	return step
}

func fourRunners() []RunnerInfo {
	var infos []RunnerInfo
	for i := range 4 {
		infos = append(infos, testRunner(fmt.Sprintf("r%d", i), 32_000))
	}
	return infos
}

// Guards against a standing job that has nothing running for many seconds beside an idle fleet:
// the waiting work of a burst counted as demand beyond all capacity, and the capacity that is kept
// for plain work was that peak until it had decayed (review case 4: 18 s).
func TestStandingJobStartsSoonAfterABurst(t *testing.T) {
	for _, tasks := range []int{120, 1200} {
		h := newCoreHarness(t, fourRunners()...)
		h.playBurst(tasks, 2300)
		h.addJob(firstID, false, standingStep(6, 8000))
		if waited, started := h.waitForStart(firstID, time.Minute); !started || waited > allowedIdle {
			t.Errorf("after a burst of %d tasks: started %v after %v, want after %v at most", tasks, started, waited, allowedIdle)
		}
	}
}

// Guards against a standing job that never starts since it asks for all or more than the free
// capacity, which a reservation that only decays never leaves.
func TestStandingJobAsLargeAsTheFleetStartsAfterABurst(t *testing.T) {
	for name, step := range map[string]jobs.Step{"many tasks": standingStep(40, 8000), "one task": standingStep(1, 32_000)} {
		h := newCoreHarness(t, fourRunners()[:1]...)
		h.playBurst(100, 2300)
		h.addJob(firstID, false, step)
		if waited, started := h.waitForStart(firstID, time.Minute); !started || waited > peakDecayTime+time.Second {
			t.Errorf("%s: started %v after %v", name, started, waited)
		}
	}
}

// Guards against losing the purpose of the reservation: a new standing job must not take the
// capacity that plain work needed a moment ago.
func TestNewLongRunningWorkWaitsForPlainWorkToReturn(t *testing.T) {
	h := newCoreHarness(t, fourRunners()...)
	h.playBurst(120, 2300)
	h.addJob(firstID, false, standingStep(6, 8000))
	if waited, started := h.waitForStart(firstID, time.Second); started {
		t.Fatalf("the standing job takes the capacity %v after plain work ended", waited)
	}
	h.addJob(secondID, false, plainStep(52, 2300))
	if n := len(startOrders(h.schedule())); n != 52 {
		t.Errorf("%d plain tasks are started, want all 52", n)
	}
}

// Guards against new standing work that is given capacity which plain work took earlier in the
// same round: its first task would then make the rest of the job compete with plain work.
func TestCapacityTakenInTheSameRoundIsNotCountedAsFree(t *testing.T) {
	h := newCoreHarness(t, testRunner("r1", 32_000))
	h.addJob(secondID, false, plainStep(13, 2300))
	h.addJob(firstID, false, standingStep(3, 2000))
	for _, order := range startOrders(h.schedule()) {
		if order.Task.Job == firstID {
			t.Errorf("%v is started beside too little free capacity for its step", order.Task)
		}
	}
}

// Guards against capacity that stays reserved for plain work although a standing job held it: its
// tasks were counted as plain demand.
func TestCapacityOfAnEndedStandingJobIsNotKeptForPlainWork(t *testing.T) {
	h := newCoreHarness(t, testRunner("r1", 32_000))
	starts := h.startJob(secondID, standingStep(3, 8000))
	h.schedule()
	h.cancelJob(secondID, starts)
	h.addJob(firstID, false, standingStep(3, 8000))
	if waited, started := h.waitForStart(firstID, time.Second); !started {
		t.Errorf("not started within %v of the end of the other standing job", waited)
	}
}

// newDisplacedHarness returns a harness in which runner lost no longer answers and runs a standing
// job with a task of the given step, and an idle runner with less capacity than the task asks for
// and the new job together.
func newDisplacedHarness(t *testing.T, step jobs.Step) *coreHarness {
	lost := testRunner("lost", 32_000)
	lost.Labels = []string{"large"}
	h := newCoreHarness(t, lost)
	if n := len(h.startJob(secondID, step)); n != step.Count {
		t.Fatalf("%d starts, want %d", n, step.Count)
	}
	h.core.UpdateRunner(testRunner("other", 16_000), h.now)
	h.report(Report{Runner: "other", Incarnation: 1})
	h.core.MarkRunnerSilent("lost")
	h.addJob(firstID, false, standingStep(1, 9000))
	return h
}

// Guards against a new standing job that has nothing running for longer than the platform allows,
// beside capacity for twice the job in a service of which under half is in use: the rest was kept
// for the tasks of a lost runner.
func TestNoCapacityIsKeptForDisplacedTasksBesideAnIdleService(t *testing.T) {
	for _, expired := range []bool{false, true} {
		h := newDisplacedHarness(t, standingStep(1, 14_000))
		h.core.Cancel(firstID, h.now)
		if expired {
			if n := len(h.startJob("00000000000000d4", plainStep(1, 3000))); n != 1 {
				t.Fatal("the plain task is not started")
			}
			h.core.ExpireRunnerLeases("lost", h.now)
		}
		const newID = jobs.ID("00000000000000e5")
		h.addJob(newID, false, standingStep(1, 4000))
		if waited, started := h.waitForStart(newID, allowedIdle); !started {
			t.Errorf("expired %v: not started within %v", expired, waited)
		}
	}
}

// Guards against capacity that is kept for tasks which can't use it: no usable runner is large
// enough for them or has the label that they require, or their job was cancelled.
func TestNoCapacityIsKeptForDisplacedTasksThatCannotUseIt(t *testing.T) {
	labelled := standingStep(1, 14_000)
	labelled.RequiredLabel = "large"
	for name, test := range map[string]struct {
		step   jobs.Step
		cancel bool
	}{"too large": {standingStep(1, 20_000), false}, "without label": {labelled, false}, "cancelled": {standingStep(1, 14_000), true}} {
		for _, expired := range []bool{false, true} {
			h := newDisplacedHarness(t, test.step)
			if test.cancel {
				h.core.Cancel(secondID, h.now)
			}
			if expired {
				h.core.ExpireRunnerLeases("lost", h.now)
			}
			if waited, started := h.waitForStart(firstID, time.Second); !started {
				t.Errorf("%s, leases expired %v: not started within %v", name, expired, waited)
			}
		}
	}
}

// Guards against capacity that is kept without a limit of time for the tasks of a runner that
// stays unusable, and for displaced tasks that find no runner.
func TestCapacityIsKeptForDisplacedTasksForABoundedTime(t *testing.T) {
	for _, expired := range []bool{false, true} {
		h := newDisplacedHarness(t, standingStep(1, 14_000))
		if expired {
			// The task fits on the other runner, but not beside this one.
			if n := len(h.startJob("00000000000000d4", plainStep(1, 3000))); n != 1 {
				t.Fatal("the plain task is not started")
			}
			h.core.ExpireRunnerLeases("lost", h.now)
		}
		if waited, started := h.waitForStart(firstID, 5*time.Second); started {
			t.Errorf("expired %v: started %v after the runner was lost, want capacity for its task to be kept", expired, waited)
		}
		if waited, started := h.waitForStart(firstID, maxDisplacedTime); !started {
			t.Errorf("expired %v: not started for %v more", expired, waited)
		}
	}
}
