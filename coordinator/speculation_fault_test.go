package coordinator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// Parameters of the load with faults.
const (
	faultJobs       = 40
	faultTicks      = 6000
	faultFailShare  = 0.25
	faultAttempts   = 3
	faultStoreTicks = 4    // between two writes of progress
	faultTakeover   = 0.01 // probability of a takeover in a tick
	faultRestart    = 0.01 // probability of the restart of some runner in a tick
)

// faultyRunner is a simulated runner that lists its ends until they are acknowledged.
type faultyRunner struct {
	incarnation int64
	silentUntil time.Duration // of the reports
	runs        []*stragglerRun
	ended       []RunResult
	lastResult  int
}

// faultReplay drives Cores, each the successor of the one before, through a load of stragglers and
// failures, on runners that restart and answer a successor late. It holds what really happened.
type faultReplay struct {
	*coreHarness
	rng      *rand.Rand
	names    []string
	runners  map[string]*faultyRunner
	specs    map[jobs.ID]*jobs.Job
	stored   map[jobs.ID][]byte
	done     map[jobs.TaskID]bool
	failed   map[jobs.TaskID]int
	counts   map[string]int64
	takeover int
}

func (r *faultReplay) restored(id jobs.ID) *jobs.Job {
	j := jobs.New(id, r.specs[id].Queue, r.specs[id].Spec, 0, 1)
	if value := r.stored[id]; value != nil {
		if err := j.Restore(value); err != nil {
			r.t.Fatal(err)
		}
	}
	return j
}

// takeOver replaces the Core by one that knows only what is stored and what the runners will list.
func (r *faultReplay) takeOver() {
	r.takeover++
	r.core = New(Limits{RemoteDataFactor: 2}, discardLog(), func(name string, n int64) { r.counts[name] += n })
	r.core.Configure([]jobs.Queue{faultQueue})
	var inherited []InheritedRunner
	for _, name := range r.names {
		r.core.UpdateRunner(testRunner(name, 4000), r.now)
		inherited = append(inherited, InheritedRunner{ID: name, ExpiredAt: noDeadline})
		r.runners[name].silentUntil = r.now + time.Duration(r.rng.IntN(1500))*time.Millisecond
	}
	r.core.SetInheritedRunners(inherited, noDeadline)
	for _, id := range slices.Sorted(maps.Keys(r.specs)) {
		r.core.AddJob(r.restored(id), true, 0)
	}
	for i := range 2 * minRatios { // the successor has measured some runs
		r.core.speculation.runTimes.add(faultQueue.Name, false, 0.8+0.4*float64(i)/float64(2*minRatios))
	}
}

var faultQueue = jobs.Queue{Name: "faults", Service: testService, MaxAttempts: faultAttempts, Stretch: 1.5, TargetLatency: time.Hour}

func newFaultReplay(t *testing.T, seed uint64) *faultReplay {
	r := &faultReplay{coreHarness: &coreHarness{t: t, now: time.Second}, rng: rand.New(rand.NewPCG(seed, 3)), runners: map[string]*faultyRunner{}, specs: map[jobs.ID]*jobs.Job{},
		stored: map[jobs.ID][]byte{}, done: map[jobs.TaskID]bool{}, failed: map[jobs.TaskID]int{}, counts: map[string]int64{}}
	for i := range 8 {
		name := fmt.Sprintf("m%d", i)
		r.names = append(r.names, name)
		r.runners[name] = &faultyRunner{incarnation: 1}
	}
	r.takeOver()
	return r
}

// submit accepts a job of two steps, of which the first, the second or both may have copies.
func (r *faultReplay) submit(i int) {
	id := jobs.ID(fmt.Sprintf("f%015x", i))
	steps := []jobs.Step{plainStep(1+r.rng.IntN(4), 1000), plainStep(1+r.rng.IntN(3), 1000, 0)}
	steps[0].Speculative, steps[1].Speculative = i%3 != 0, i%3 != 1
	j := jobs.New(id, faultQueue, jobs.Spec{Text: "text", Steps: steps}, 0, 1)
	r.specs[id] = j
	r.core.AddJob(r.restored(id), false, 0)
}

// advance lets one stragglerTick pass.
func (r *faultReplay) advance(tick int) {
	r.now += stragglerTick
	if r.rng.Float64() < faultTakeover {
		r.takeOver()
	}
	for _, name := range r.names {
		runner := r.runners[name]
		r.runTasks(runner)
		if r.now >= runner.silentUntil {
			r.core.ApplyReport(runner.report(name, r.now), r.now)
		}
	}
	r.core.CheckRuns(r.now)
	r.core.Schedule(r.now, 0)
	for _, order := range r.core.TakeOrders() {
		r.carryOut(order)
	}
	r.checkRuns()
	if tick%faultStoreTicks == 0 {
		r.store()
	}
}

// runTasks lets the runs on a runner proceed, and restarts it now and then.
func (r *faultReplay) runTasks(runner *faultyRunner) {
	if r.rng.Float64() < faultRestart/float64(len(r.names)) && len(runner.ended) == 0 {
		*runner = faultyRunner{incarnation: runner.incarnation + 1, silentUntil: runner.silentUntil}
	}
	runner.runs = slices.DeleteFunc(runner.runs, func(run *stragglerRun) bool {
		result := RunResult{Task: run.order.Task, Run: run.order.Run, Kind: EndedStopped}
		switch {
		case r.now-run.began >= run.runTime:
			result.Kind = EndedDone
			if r.rng.Float64() < faultFailShare {
				result.Kind = EndedFailed
				r.failed[result.Task]++
			} else {
				r.done[result.Task] = true
			}
		case run.stopAt == 0 || r.now < run.stopAt:
			return false
		}
		runner.lastResult++
		result.Number = runner.lastResult
		runner.ended = append(runner.ended, result)
		return true
	})
}

func (runner *faultyRunner) report(name string, now time.Duration) Report {
	report := Report{Runner: name, Incarnation: runner.incarnation, Sent: now, Ended: slices.Clone(runner.ended)}
	for _, run := range runner.runs {
		percent := int(fullPace * (now - run.began) / run.runTime)
		report.Running = append(report.Running, RunStatus{Task: run.order.Task, Run: run.order.Run, Percent: percent, Load: 1000})
	}
	return report
}

// store stores the progress and lets the runners forget the acknowledged ends.
func (r *faultReplay) store() {
	writes, acknowledged, err := r.core.TakeWrites(r.now)
	if err != nil {
		r.t.Fatal(err)
	}
	for _, write := range writes {
		r.stored[write.Job.ID] = write.Value
	}
	for name, ack := range acknowledged {
		runner := r.runners[name]
		if runner.incarnation == ack.Incarnation {
			runner.ended = slices.DeleteFunc(runner.ended, func(result RunResult) bool { return result.Number <= ack.Number })
		}
	}
}

// carryOut carries out an order, and checks that the start of a task is allowed.
func (r *faultReplay) carryOut(order Order) {
	runner := r.runners[order.Runner]
	if order.Kind == Stop {
		for _, run := range runner.runs {
			if run.order.Task == order.Task && run.order.Run == order.Run && run.stopAt == 0 {
				run.stopAt = r.now + stragglerStopTime
			}
		}
		r.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, r.now)
		return
	}
	if order.Incarnation != 0 && order.Incarnation != runner.incarnation {
		r.core.ApplyAnswer(Answer{Order: order, Outcome: RunnerRestarted}, r.now)
		return
	}
	steps := r.specs[order.Task.Job].Spec.Steps
	if r.done[order.Task] {
		r.t.Fatalf("%v: task %v is started after it was done", r.now, order.Task)
	}
	for _, earlier := range steps[order.Task.Step].After {
		for index := range steps[earlier].Count {
			if !r.done[taskID(order.Task.Job, earlier, index)] {
				r.t.Fatalf("%v: task %v is started before step %d is done", r.now, order.Task, earlier)
			}
		}
	}
	runTime := time.Duration((0.9 + 0.2*r.rng.Float64()) * float64(time.Second))
	if r.rng.Float64() < 0.2 {
		runTime *= stragglerFactor
	}
	runner.runs = append(runner.runs, &stragglerRun{order: order, began: r.now, runTime: runTime})
	r.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, r.now)
}

// checkRuns checks how many runs the tasks have and how many have failed.
func (r *faultReplay) checkRuns() {
	runs := map[jobs.TaskID]int{}
	for _, runner := range r.runners {
		if len(runner.runs) > 4 {
			r.t.Fatalf("%v: %d runs on 4 processors", r.now, len(runner.runs))
		}
		for _, run := range runner.runs {
			task := run.order.Task
			runs[task]++
			if runs[task] > 1 && !r.specs[task.Job].Spec.Steps[task.Step].Speculative || runs[task] > 2 {
				r.t.Fatalf("%v: task %v has %d runs", r.now, task, runs[task])
			}
		}
	}
	for task, n := range r.failed {
		if n > faultAttempts {
			r.t.Fatalf("%v: task %v has %d failed runs", r.now, task, n)
		}
	}
}

// Guards against ends of copies that are lost, or counted twice, across takeovers, restarts of runners
// and ends of both copies at about the same time: no task may start after it was done or before its
// step is ready, have more than two runs (one if the step does not ask for copies) or more failed runs
// than attempts, and each job has to end, as failed only if one of its tasks has used up its attempts.
func TestCopiesSurviveFaults(t *testing.T) {
	for seed := range uint64(6) {
		r := newFaultReplay(t, seed)
		for tick := range faultTicks {
			if tick%60 == 0 && tick/60 < faultJobs {
				r.submit(tick / 60)
			}
			r.advance(tick)
		}
		r.store()
		completed := 0
		for id := range r.specs {
			j := r.restored(id)
			mostFailures := 0
			for task, n := range r.failed {
				if task.Job == id {
					mostFailures = max(mostFailures, n)
				}
			}
			switch {
			case j.State == jobs.Completed:
				completed++
			case j.State != jobs.Failed || mostFailures < faultAttempts:
				t.Errorf("seed %d: job %s is %v with at most %d failed runs of a task", seed, id, j.State, mostFailures)
			}
		}
		t.Logf("seed %d: %d takeovers, %d copies started, %d won, %d runs lost, %d of %d jobs completed",
			seed, r.takeover-1, r.counts["copies_started"], r.counts["copies_won"], r.counts["runs_lost"], completed, faultJobs)
		if r.counts["copies_won"] == 0 || r.takeover < 10 {
			t.Errorf("seed %d: the load had no copies that won or few takeovers", seed)
		}
	}
}
