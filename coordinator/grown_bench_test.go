package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/structs"
)

// Size and load of the simulatedFleet of BenchmarkGrownFleet. There is more best-effort work than
// fits, so that several hundred jobs wait.
const (
	simulatedRunners  = 490
	runnersPerRack    = 20
	servingJobs       = 90                   // long-running jobs, accepted first
	jobsPerSecond     = 110                  // of best-effort and of plain tasks (neither serving nor best-effort), in virtual time
	simulatedSeconds  = 12                   // of virtual time
	simulatedRoundGap = 5 * time.Millisecond // of virtual time between two rounds
)

// simulatedFleet carries out the orders of a Core and reports to it in virtual time. Unlike
// fakeFleet, no coordinator calls it: the benchmark moves the time and passes on the reports.
type simulatedFleet struct {
	harness    *coreHarness
	random     *rand.Rand
	runs       map[string]map[jobs.TaskID]*simulatedRun // by runner
	ended      map[string][]RunResult                   // by runner, not reported yet
	lastResult map[string]int                           // by runner, the number of the last result
}

// simulatedRun is a run on a runner of a simulatedFleet.
type simulatedRun struct {
	number     int
	pace       int // percent
	load       int
	remaining  time.Duration // at full pace; zero for long-running tasks
	advancedAt time.Duration // when remaining was last updated
}

// newSimulatedFleet returns a simulatedFleet of simulatedRunners runners. The starts of the
// serving tasks that the first round of scheduling ordered have been carried out.
func newSimulatedFleet(t testing.TB) *simulatedFleet {
	f := &simulatedFleet{harness: newCoreHarness(&testing.T{}), random: rand.New(rand.NewPCG(1, 2)), runs: map[string]map[jobs.TaskID]*simulatedRun{},
		ended: map[string][]RunResult{}, lastResult: map[string]int{}}
	for i := range simulatedRunners {
		info := testRunner(fmt.Sprintf("m%03d", i), 64_000)
		info.Rack = fmt.Sprint("r", i/runnersPerRack)
		info.Capacity.MemoryMB = 256_000
		f.harness.core.UpdateRunner(info, f.harness.now)
		f.harness.report(Report{Runner: info.ID, Incarnation: 1})
		f.runs[info.ID] = map[jobs.TaskID]*simulatedRun{}
	}
	for i := range servingJobs {
		step := servingStep(fmt.Sprint("shop", i%5))
		step.Count, step.Resources = 14, structs.Resources{CPUMilli: 13_000, MemoryMB: 26_000}
		f.harness.addJob(jobs.ID(fmt.Sprintf("%016x", i)), false, step)
	}
	f.runRound(0)
	return f
}

// submitJob accepts one job, of best-effort or of plain tasks depending on its number.
func (f *simulatedFleet) submitJob(number int) {
	id := jobs.ID(fmt.Sprintf("%016x", 0x10000+number))
	if number%5 < 2 {
		step := plainStep(10, 11_000)
		step.Resources.MemoryMB, step.Estimate = 22_000, 800*time.Millisecond
		f.harness.addJob(id, false, step)
		return
	}
	first := bestEffortStep(20, fmt.Sprint("render", number%9))
	first.Resources = structs.Resources{CPUMilli: 7000, MemoryMB: 13_000}
	first.Estimate = 2200 * time.Millisecond
	second := first
	second.After = []int{0}
	f.harness.addJob(id, false, first, second)
}

// runRound runs a scheduling round of the core and carries out its orders.
func (f *simulatedFleet) runRound(now time.Duration) {
	h := f.harness
	h.core.Schedule(h.now, 0)
	for _, order := range h.core.TakeOrders() {
		runs := f.runs[order.Runner]
		switch order.Kind {
		case Start:
			j := h.core.jobs[order.Task.Job]
			run := &simulatedRun{number: order.Run, pace: fullPace, advancedAt: h.now, load: 3000}
			if step := j.Spec.Steps[order.Task.Step]; step.LongRunning {
				run.load = 10 + f.random.IntN(25)
			} else {
				run.remaining = step.Estimate
			}
			runs[order.Task] = run
			h.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, h.now)
		case Stop:
			if runs[order.Task] != nil {
				f.endRun(order.Runner, order.Task, EndedStopped)
			}
			h.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, h.now)
		case Pace:
			if run := runs[order.Task]; run != nil {
				run.pace = order.Percent
			}
		}
	}
}

// endRun ends a run and adds the result to the runner's next report.
func (f *simulatedFleet) endRun(runner string, id jobs.TaskID, kind ResultKind) {
	f.lastResult[runner]++
	f.ended[runner] = append(f.ended[runner], RunResult{Number: f.lastResult[runner], Task: id, Run: f.runs[runner][id].number, Kind: kind})
	delete(f.runs[runner], id)
}

// advanceRuns advances the runs on a runner to the present time and reports whether the
// runner has results to report.
func (f *simulatedFleet) advanceRuns(runner string) bool {
	for id, run := range f.runs[runner] {
		if run.remaining == 0 {
			run.load = max(5, min(44, run.load+f.random.IntN(7)-3))
			continue
		}
		run.remaining -= (f.harness.now - run.advancedAt) * time.Duration(run.pace) / fullPace
		run.advancedAt = f.harness.now
		if run.remaining <= 0 {
			f.endRun(runner, id, EndedDone)
		}
	}
	return len(f.ended[runner]) > 0
}

// sendReport passes a runner's report to the core.
func (f *simulatedFleet) sendReport(runner string) {
	report := Report{Runner: runner, Incarnation: 1, Ended: f.ended[runner], Sent: f.harness.now}
	for id, run := range f.runs[runner] {
		report.Running = append(report.Running, RunStatus{Task: id, Run: run.number, Percent: 100, Load: run.load})
	}
	f.ended[runner] = nil
	f.harness.core.ApplyReport(report, f.harness.now)
}

// BenchmarkGrownFleet measures the scheduling decisions for a large fleet, of 490 runners, with
// a backlog of jobs during simulatedSeconds of virtual time. It reports the time that the
// decisions and the simulation of the runners take for each second of virtual time.
func BenchmarkGrownFleet(b *testing.B) {
	for b.Loop() {
		f := newSimulatedFleet(b)
		h := f.harness
		virtualStart, reports, submitted := h.now, 0, 0
		lastReported := make([]time.Duration, simulatedRunners)
		wallStart := time.Now()
		for elapsed := time.Duration(0); elapsed < simulatedSeconds*time.Second; elapsed += simulatedRoundGap {
			h.now = virtualStart + elapsed
			for due := int(elapsed * jobsPerSecond / time.Second); submitted < due; submitted++ {
				f.submitJob(submitted)
			}
			for i := range simulatedRunners {
				id := fmt.Sprintf("m%03d", i)
				if elapsed-lastReported[i] < 20*time.Millisecond {
					continue
				}
				if f.advanceRuns(id) || elapsed-lastReported[i] >= 500*time.Millisecond {
					lastReported[i] = elapsed
					f.sendReport(id)
					reports++
				}
			}
			f.runRound(h.now)
			if elapsed%(100*time.Millisecond) == 0 {
				h.core.CheckRuns(h.now)
			}
			if _, _, err := h.core.TakeWrites(h.now); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(time.Since(wallStart).Seconds()*1000/simulatedSeconds, "ms/s")
		b.ReportMetric(float64(reports)/simulatedSeconds, "reports/s")
		b.ReportMetric(float64(len(h.core.waitingSteps)), "waiting")
	}
}
