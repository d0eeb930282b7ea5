package coordinator

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// BenchmarkBacklog measures a round of reports and scheduling with 48 runners
// full of serving tasks and 60 jobs of filling tasks that wait.
func BenchmarkBacklog(b *testing.B) {
	t := &testing.T{}
	var machines []RunnerInfo
	for i := range 48 {
		machines = append(machines, machine(fmt.Sprint("m", i), 32000))
	}
	w := newWorld(t, machines...)
	for i := range 40 {
		s := servingStep(fmt.Sprint("shop", i%5))
		s.Count = 6
		w.accept(jobs.ID(fmt.Sprintf("%016x", i)), false, s)
	}
	running := map[string][]RunStatus{}
	take := func() {
		for _, o := range starts(w.schedule()) {
			w.answer(o, Accepted, false)
			load := 3000
			if o.Task.Step == 0 && o.Task.Job < "0000000000000100" {
				load = 12
			}
			running[o.Runner] = append(running[o.Runner], RunStatus{Task: o.Task, Run: o.Run, Percent: 100, Load: load})
		}
	}
	take()
	for i := range 60 {
		w.accept(jobs.ID(fmt.Sprintf("%016x", 0x100+i)), false, bestEffortStep(12, fmt.Sprint("render", i%9)))
	}
	take()
	b.ResetTimer()
	for b.Loop() {
		for i := range 48 {
			id := fmt.Sprint("m", i)
			w.now += time.Millisecond
			w.core.Report(Report{Runner: id, Incarnation: 1, Running: running[id]}, w.now)
			w.core.Schedule(w.now, 0)
			w.core.TakeOrders()
		}
	}
}

// BenchmarkBlocked measures a decision on preemption with 48 runners whose
// processors long-running work of the first priority holds, less important filling
// tasks beside it, and 30 urgent steps that wait.
func BenchmarkBlocked(b *testing.B) {
	t := &testing.T{}
	w := newWorld(t)
	w.core.limits.Preempt = true
	w.core.Configure([]jobs.Queue{urgentQueue, batchQueue})
	for i := range 48 {
		w.core.RunnerSeen(machine(fmt.Sprint("m", i), 32_000), w.now)
		w.report(Report{Runner: fmt.Sprint("m", i), Incarnation: 1})
	}
	shop := servingStep("shop")
	shop.Count = 48 * 8
	w.enqueue(urgentQueue, "a000000000000000", shop)
	for _, o := range starts(w.schedule()) {
		w.answer(o, Accepted, false)
	}
	for i := range 40 {
		w.enqueue(batchQueue, jobs.ID(fmt.Sprintf("b%015x", i)), bestEffortStep(12, fmt.Sprint("render", i%9)))
	}
	for _, o := range starts(w.schedule()) {
		w.answer(o, Accepted, false)
	}
	for i := range 30 {
		w.enqueue(urgentQueue, jobs.ID(fmt.Sprintf("c%015x", i)), plain(8, 2000))
	}
	w.schedule()
	w.now += time.Second
	b.ResetTimer()
	for b.Loop() {
		w.now += preemptInterval
		w.schedule()
	}
}
