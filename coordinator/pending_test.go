package coordinator

import (
	"fmt"
	"testing"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
)

// checkPendingJobs fails the test unless the test queue has the wanted number of pending
// jobs.
func (h *coreHarness) checkPendingJobs(want int, when string) {
	h.t.Helper()
	if got := h.core.PendingJobs()[testQueue.Name]; got != want {
		h.t.Errorf("%d jobs are pending %s, want %d", got, when, want)
	}
}

// Guards against a job that counts as started because a start was ordered: the runner may
// be unreachable or refuse the start, and then no task of the job runs until the leases
// on the runner have expired.
func TestJobIsPendingUntilAStartIsConfirmed(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000), testRunner("b", 4000))
	j := h.addJob(firstID, false, plainStep(1, 1000))
	order := startOrders(h.schedule())[0]
	h.checkPendingJobs(1, "while the start is not answered")
	if j.State != jobs.Queued {
		t.Errorf("state %v while the start is not answered", j.State)
	}
	h.core.MarkRunnerSilent(order.Runner)
	h.core.ExpireRunnerLeases(order.Runner, h.now)
	h.checkPendingJobs(1, "after the leases on the runner have expired")
	restart := startOrders(h.schedule())[0]
	h.answer(restart, RefusedOther, false)
	h.checkPendingJobs(1, "after the runner has refused the start")
}

// Guards against a job that stays pending although one of its tasks has started, for
// each way in which the coordinator can learn of the start.
func TestStartedJobIsNotPending(t *testing.T) {
	confirmations := map[string]func(h *coreHarness, order Order){
		"the start is answered": func(h *coreHarness, order Order) { h.answer(order, Accepted, false) },
		"the run is listed": func(h *coreHarness, order Order) {
			h.report(Report{Runner: order.Runner, Incarnation: 1, Running: []RunStatus{{Task: order.Task, Run: order.Run}}})
		},
		"the end is listed": func(h *coreHarness, order Order) {
			h.report(Report{Runner: order.Runner, Incarnation: 1, Ended: []RunResult{{Number: 1, Task: order.Task, Run: order.Run, Kind: EndedFailed}}})
		},
		"a repeated start is refused as old": func(h *coreHarness, order Order) { h.answer(order, RefusedUsedRun, true) },
	}
	for name, confirmStart := range confirmations {
		t.Run(name, func(t *testing.T) {
			h := newCoreHarness(t, testRunner("a", 4000))
			j := h.addJob(firstID, false, plainStep(2, 1000))
			confirmStart(h, startOrders(h.schedule())[0])
			h.checkPendingJobs(0, "once "+name)
			if j.State != jobs.Running {
				t.Errorf("state %v once %s", j.State, name)
			}
		})
	}
}

// Guards against a row of pending jobs that grows with the configured queues: at a few
// thousand routes it would exceed the size of a row, and the coordinator's term would end.
func TestStoredPendingCountsGrowWithTheWorkOnly(t *testing.T) {
	h := newCoreHarness(t)
	queues := []jobs.Queue{testQueue}
	for i := range 10_000 {
		queues = append(queues, jobs.Queue{Name: fmt.Sprintf("route-%d", i), Service: testService})
	}
	h.core.Configure(queues)
	h.addJob(firstID, false, plainStep(1, 1000))
	value, err := gateway.PendingCounts{Jobs: h.core.PendingJobs()}.Encode()
	if err != nil || len(value) > 100 {
		t.Errorf("the counts of one job and %d queues take %d bytes, error %v", len(queues), len(value), err)
	}
	h.checkPendingJobs(1, "beside many queues")
}

// Guards against a changed configuration that is taken for the previous one.
func TestChangedQueueIsConfigured(t *testing.T) {
	h := newCoreHarness(t)
	changed := testQueue
	changed.MaxAttempts++
	h.core.Configure([]jobs.Queue{testQueue})
	h.core.Configure([]jobs.Queue{changed})
	if got := h.core.queues[testQueue.Name]; got != changed {
		t.Errorf("queue %+v, want %+v", got, changed)
	}
	h.core.Configure(nil)
	if len(h.core.queues) != 0 {
		t.Error("a removed queue is still configured")
	}
}
