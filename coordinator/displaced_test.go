package coordinator

import (
	"fmt"
	"math"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// displacedReplay is a runner with eight processors that a backlog of small tasks keeps full,
// and a long-running task of seven processors that has lost its runner.
type displacedReplay struct {
	*coreHarness
	nextJob int
	results int
	started int
	ends    map[time.Duration][]Order // small tasks by the time at which they end
	running map[jobs.TaskID]Order
}

const displacedID = jobs.ID("00000000000000d1")

func newDisplacedReplay(t *testing.T) *displacedReplay {
	replay := &displacedReplay{coreHarness: newCoreHarness(t, testRunner("lost", 7000)), ends: map[time.Duration][]Order{}, running: map[jobs.TaskID]Order{}}
	step := plainStep(1, 7000)
	step.LongRunning = true
	if len(replay.startJob(displacedID, step)) != 1 {
		t.Fatal("the long-running task is not started")
	}
	replay.core.UpdateRunner(testRunner("full", 8000), replay.now)
	replay.report(Report{Runner: "full", Incarnation: 1})
	replay.addBacklog()
	replay.run(2 * time.Second)
	replay.core.MarkRunnerUnregistered("lost", replay.now)
	replay.core.MarkRunnerSilent("lost")
	replay.core.ExpireRunnerLeases("lost", replay.now)
	return replay
}

// addBacklog keeps 20 small jobs waiting or running.
func (replay *displacedReplay) addBacklog() {
	for replay.nextJob-replay.results < 20 {
		replay.nextJob++
		replay.addJob(jobs.ID(fmt.Sprintf("%016x", 0x1000+replay.nextJob)), false, plainStep(1, 1000))
	}
}

// run plays a time in steps of 50 ms, in which small tasks end one second after their start.
// It returns true as soon as the displaced task is started.
func (replay *displacedReplay) run(d time.Duration) bool {
	for until := replay.now + d; replay.now < until; {
		replay.now = (replay.now/(50*time.Millisecond) + 1) * 50 * time.Millisecond
		var ended []RunResult
		for _, order := range replay.ends[replay.now] {
			replay.results++
			delete(replay.running, order.Task)
			ended = append(ended, RunResult{Number: replay.results, Task: order.Task, Run: order.Run, Kind: EndedDone})
		}
		var running []RunStatus
		for _, order := range replay.running {
			running = append(running, RunStatus{Task: order.Task, Run: order.Run})
		}
		replay.core.ApplyReport(Report{Runner: "full", Incarnation: 1, Sent: replay.now, Ended: ended, Running: running}, replay.now)
		replay.addBacklog()
		replay.core.Schedule(replay.now, 0)
		for _, order := range startOrders(replay.core.TakeOrders()) {
			if order.Task.Job == displacedID {
				return true
			}
			replay.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, replay.now)
			replay.running[order.Task] = order
			// The ends are spread, so that single processors become free.
			replay.started++
			end := replay.now + time.Second + time.Duration(replay.started%8)*100*time.Millisecond
			replay.ends[end] = append(replay.ends[end], order)
		}
	}
	return false
}

// Guards against a long-running task that waits for good after the loss of its runner, because
// small tasks take the capacity piece by piece (hunt, runner-lost-with-coordinator seed
// 990052579520 on the further grown deployment: 9 tasks waited for 10 s or more).
func TestDisplacedTaskGetsCapacityInABacklogOfSmallTasks(t *testing.T) {
	baseline := newDisplacedReplay(t)
	baseline.core.nextDisplacedReservation = math.MaxInt64
	if baseline.run(20 * time.Second) {
		t.Fatal("the task is started without a reservation; the replay does not show the fault")
	}
	if replay := newDisplacedReplay(t); !replay.run(4 * time.Second) {
		t.Error("the task is not started within 4 s")
	}
}

// Guards against reservations that keep capacity idle where it will not become free in time,
// and against more reservations than tasks.
func TestReservationsForDisplacedTasksAreBounded(t *testing.T) {
	h := newCoreHarness(t, testRunner("lost", 8000))
	step := plainStep(1, 7000)
	step.LongRunning = true
	h.startJob(displacedID, step)
	for _, id := range []string{"long", "short"} {
		h.core.UpdateRunner(testRunner(id, 8000), h.now)
		h.report(Report{Runner: id, Incarnation: 1})
	}
	long := plainStep(1, 8000)
	long.Estimate = time.Minute
	longRunner := h.startJob(firstID, long)[0].Runner
	shortRunner := h.startJob(secondID, plainStep(1, 8000))[0].Runner
	h.core.MarkRunnerSilent("lost")
	h.core.ExpireRunnerLeases("lost", h.now)
	h.schedule()
	h.now += displacedWait
	for range 3 {
		h.now += displacedInterval
		h.schedule()
	}
	if n := len(h.core.runners[longRunner].reservations); n != 0 {
		t.Errorf("%d reservations on a runner whose work takes a minute", n)
	}
	if n := len(h.core.runners[shortRunner].reservations); n != 1 {
		t.Errorf("%d reservations on the runner that is free first, want 1", n)
	}
}
