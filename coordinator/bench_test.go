package coordinator

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// BenchmarkBacklog measures one report of each of 48 runners, each followed by a
// scheduling round. The runners are full of serving tasks, and the tasks of 60
// best-effort jobs wait.
func BenchmarkBacklog(b *testing.B) {
	t := &testing.T{}
	var machines []RunnerInfo
	for i := range 48 {
		machines = append(machines, testRunner(fmt.Sprint("m", i), 32000))
	}
	h := newCoreHarness(t, machines...)
	for i := range 40 {
		step := servingStep(fmt.Sprint("shop", i%5))
		step.Count = 6
		h.addJob(jobs.ID(fmt.Sprintf("%016x", i)), false, step)
	}
	statusesByRunner := map[string][]RunStatus{}
	startAndRecord := func() {
		for _, order := range startOrders(h.schedule()) {
			h.answer(order, Accepted, false)
			load := 3000
			if order.Task.Step == 0 && order.Task.Job < "0000000000000100" {
				load = 12
			}
			statusesByRunner[order.Runner] = append(statusesByRunner[order.Runner], RunStatus{Task: order.Task, Run: order.Run, Percent: 100, Load: load})
		}
	}
	startAndRecord()
	for i := range 60 {
		h.addJob(jobs.ID(fmt.Sprintf("%016x", 0x100+i)), false, bestEffortStep(12, fmt.Sprint("render", i%9)))
	}
	startAndRecord()
	b.ResetTimer()
	for b.Loop() {
		for i := range 48 {
			id := fmt.Sprint("m", i)
			h.now += time.Millisecond
			h.core.ApplyReport(Report{Runner: id, Incarnation: 1, Running: statusesByRunner[id]}, h.now)
			h.core.Schedule(h.now, 0)
			h.core.TakeOrders()
		}
	}
}

// BenchmarkBlocked measures a scheduling round with a decision on preemption. Long-running
// tasks of the highest priority hold the processors of 48 runners, less important
// best-effort tasks run beside them, and 30 urgent steps wait.
func BenchmarkBlocked(b *testing.B) {
	t := &testing.T{}
	h := newCoreHarness(t)
	h.core.limits.Preempt = true
	h.core.Configure([]jobs.Queue{urgentQueue, batchQueue})
	for i := range 48 {
		h.core.UpdateRunner(testRunner(fmt.Sprint("m", i), 32_000), h.now)
		h.report(Report{Runner: fmt.Sprint("m", i), Incarnation: 1})
	}
	serving := servingStep("shop")
	serving.Count = 48 * 8
	h.enqueue(urgentQueue, "a000000000000000", serving)
	for _, order := range startOrders(h.schedule()) {
		h.answer(order, Accepted, false)
	}
	for i := range 40 {
		h.enqueue(batchQueue, jobs.ID(fmt.Sprintf("b%015x", i)), bestEffortStep(12, fmt.Sprint("render", i%9)))
	}
	for _, order := range startOrders(h.schedule()) {
		h.answer(order, Accepted, false)
	}
	for i := range 30 {
		h.enqueue(urgentQueue, jobs.ID(fmt.Sprintf("c%015x", i)), plainStep(8, 2000))
	}
	h.schedule()
	h.now += time.Second
	b.ResetTimer()
	for b.Loop() {
		h.now += preemptInterval
		h.schedule()
	}
}
