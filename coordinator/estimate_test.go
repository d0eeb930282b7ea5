package coordinator

import (
	"testing"
	"time"
)

// Guards against judging a job by run times that its client stated wrongly; those of one
// site are off by a factor of up to 2.5 either way. With such times, a job that can be on
// time is served after all others, or a job that can't be is served before them.
func TestProgressCorrectsTheStatedRunTime(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 8_000))
	j := h.addJob(firstID, false, plainStep(2, 2000), plainStep(1, 2000, 0))
	orders := startOrders(h.schedule())
	for _, order := range orders {
		h.answer(order, Accepted, false)
	}
	for percent := 0; percent <= 50; percent += 10 {
		var running []RunStatus
		for _, order := range orders {
			running = append(running, RunStatus{Task: order.Task, Run: order.Run, Percent: percent, Load: 2000})
		}
		h.now += 499 * time.Millisecond // 1 ms more passes with the report
		h.report(Report{Runner: "a", Incarnation: 1, Running: running})
	}
	const want = 5 * time.Second
	if got := h.core.jobs[firstID].measuredTaskTimes[0]; got < want*9/10 || got > want*11/10 {
		t.Errorf("tasks that do a tenth of their work in 0.5 s are estimated at %v, want %v", got, want)
	}
	// The queue has measured one task of five seconds for which one second was stated.
	if got := h.core.durationEstimatorOf(h.core.jobs[firstID]).Estimate(time.Second); got <= time.Second {
		t.Errorf("the next task is expected to take %v, want more than 1 s", got)
	}
	if got := h.core.jobs[firstID].allowedTime; got < j.Queue.TargetLatency+time.Duration(j.Queue.Stretch*float64(want)) {
		t.Errorf("the job is allowed %v", got)
	}
}

// Guards against taking tasks that are slowed for tasks with more work.
func TestSlowedTaskIsNotEstimatedAsLonger(t *testing.T) {
	var meter workMeter
	var taskTime time.Duration
	for i := range 9 {
		taskTime = meter.addReading(5*i, 400, 2000, time.Duration(i+1)*500*time.Millisecond)
	}
	const want = 2 * time.Second // a tenth of the work per second with a fifth of the processors
	if taskTime < want*9/10 || taskTime > want*11/10 {
		t.Errorf("measured %v, want %v", taskTime, want)
	}
}

// Guards against measuring tasks that run away from their data as tasks with more work. The step's
// estimate, and that of the whole queue, were then too long by the factor for far places.
func TestFarTaskIsNotEstimatedAsLonger(t *testing.T) {
	near, far := testRunner("a", 1000), testRunner("b", 8000)
	near.Rack, far.Rack = "near", "far"
	h := newCoreHarness(t, near, far)
	step := plainStep(1, 2000)
	step.DataRack = "near"
	h.addJob(firstID, false, step)
	orders := startOrders(h.schedule())
	if len(orders) != 1 || orders[0].Runner != "b" {
		t.Fatalf("orders %+v, want a start on the far runner, as the near one is too small", orders)
	}
	h.answer(orders[0], Accepted, false)
	for percent := 0; percent <= 50; percent += 10 {
		h.now += 499 * time.Millisecond // 1 ms more passes with the report
		h.report(Report{Runner: "b", Incarnation: 1, Running: []RunStatus{{Task: orders[0].Task, Run: orders[0].Run, Percent: percent, Load: 2000}}})
	}
	const want = 2500 * time.Millisecond // a tenth of the work in 0.5 s at half speed
	if got := h.core.jobs[firstID].measuredTaskTimes[0]; got < want*9/10 || got > want*11/10 {
		t.Errorf("tasks are estimated at %v, want %v", got, want)
	}
}
