package coordinator

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// Parameters of the load with stragglers.
const (
	stragglerJobs     = 250
	stragglerRunners  = 12
	stragglerCores    = 8 // of each runner
	stragglerFactor   = 7
	stragglerTick     = 20 * time.Millisecond
	stragglerStopTime = 200 * time.Millisecond
	stragglerLimit    = 20 * time.Minute
	// baselineFactor is the multiple of the stated run time after which the baseline makes a copy.
	baselineFactor = 2
)

// stragglerLoad is a load: the mean time between two jobs, and the share of stragglers among the runs.
type stragglerLoad struct {
	interval time.Duration
	share    float64
}

// moderateLoad uses about half of the capacity, and heavyLoad nearly all of it.
var (
	moderateLoad = stragglerLoad{420 * time.Millisecond, 0.03}
	heavyLoad    = stragglerLoad{210 * time.Millisecond, 0.03}
	uniformLoad  = stragglerLoad{420 * time.Millisecond, 0}
)

// stragglerRun is a run on a simulated runner. It takes runTime, and is stopped at stopAt unless that
// is zero.
type stragglerRun struct {
	order                  Order
	began, runTime, stopAt time.Duration
	milli                  int64
}

// stragglerReplay drives a Core through a load of chains of steps, on runners of unequal speed, in which
// some runs take stragglerFactor times the usual time.
type stragglerReplay struct {
	*coreHarness
	load     stragglerLoad
	rng      *rand.Rand
	seed     uint64
	names    []string
	slowness map[string]float64
	running  map[string][]*stragglerRun
	results  map[string]int // number of the last result, by runner
	taskTime map[jobs.TaskID]time.Duration
	jobs     map[jobs.ID]*jobs.Job
	arrived  map[jobs.ID]time.Duration
	ended    map[jobs.ID]time.Duration
	counts   map[string]int64
	busy     float64 // processor time used, in core-seconds
	copies   int     // number of copies after the last tick
}

func newStragglerReplay(t *testing.T, load stragglerLoad, seed uint64, policy copyPolicy) *stragglerReplay {
	r := &stragglerReplay{load: load, rng: rand.New(rand.NewPCG(seed, 7)), seed: seed, slowness: map[string]float64{}, running: map[string][]*stragglerRun{},
		results: map[string]int{}, taskTime: map[jobs.TaskID]time.Duration{}, jobs: map[jobs.ID]*jobs.Job{}, arrived: map[jobs.ID]time.Duration{},
		ended: map[jobs.ID]time.Duration{}, counts: map[string]int64{}}
	r.coreHarness = newCoreHarness(t)
	r.core.counters = func(name string, n int64) { r.counts[name] += n }
	r.core.speculation.policy = policy
	for i := range stragglerRunners {
		id := fmt.Sprintf("m%02d", i)
		r.names = append(r.names, id)
		r.slowness[id] = 0.7 + 0.9*float64(i)/float64(stragglerRunners-1)
		r.core.UpdateRunner(testRunner(id, stragglerCores*1000), r.now)
		r.report(Report{Runner: id, Incarnation: 1})
	}
	return r
}

// submit accepts a job of one to three steps. The caller's estimate of each step is off by up to
// 60%, and the tasks of a step differ by up to 10%.
func (r *stragglerReplay) submit(i int) {
	id := jobs.ID(fmt.Sprintf("c%015x", i))
	steps := make([]jobs.Step, 1+r.rng.IntN(3))
	trueTimes := make([]time.Duration, len(steps))
	for k := range steps {
		trueTimes[k] = time.Duration((0.6 + 2.4*r.rng.Float64()) * float64(time.Second))
		steps[k] = plainStep(1+r.rng.IntN(8), 1000)
		steps[k].Estimate = time.Duration((0.6 + r.rng.Float64()) * float64(trueTimes[k]))
		steps[k].Speculative = true
		if k > 0 {
			steps[k].After = []int{k - 1}
		}
		for index := range steps[k].Count {
			r.taskTime[taskID(id, k, index)] = time.Duration((0.9 + 0.2*r.rng.Float64()) * float64(trueTimes[k]))
		}
	}
	r.jobs[id] = r.addJobAt(id, steps...)
	r.arrived[id] = r.now
}

// addJobAt adds a job that is accepted now.
func (h *coreHarness) addJobAt(id jobs.ID, steps ...jobs.Step) *jobs.Job {
	h.t.Helper()
	spec := jobs.Spec{Text: "text", Steps: steps}
	if err := spec.Check(); err != nil {
		h.t.Fatal(err)
	}
	j := jobs.New(id, testQueue, spec, h.now, 1)
	h.core.AddJob(j, false, 0)
	return j
}

// runLoad submits the jobs and runs them until every job has ended.
func (r *stragglerReplay) runLoad() {
	next, submitted := r.now, 0
	for len(r.ended) < stragglerJobs {
		if r.now > stragglerLimit {
			r.t.Fatalf("%d of %d jobs have ended after %v", len(r.ended), stragglerJobs, r.now)
		}
		for submitted < stragglerJobs && r.now >= next {
			r.submit(submitted)
			submitted++
			next += time.Duration(r.rng.ExpFloat64() * float64(r.load.interval))
		}
		r.advance()
	}
}

// advance lets one stragglerTick pass.
func (r *stragglerReplay) advance() {
	r.now += stragglerTick
	for _, name := range r.names {
		report := Report{Runner: name, Incarnation: 1, Sent: r.now}
		r.running[name] = slices.DeleteFunc(r.running[name], func(run *stragglerRun) bool {
			r.busy += float64(run.milli) / 1000 * stragglerTick.Seconds()
			result := RunResult{Task: run.order.Task, Run: run.order.Run, Kind: EndedDone}
			if r.now-run.began < run.runTime {
				if run.stopAt == 0 || r.now < run.stopAt {
					percent := int(fullPace * (r.now - run.began) / run.runTime)
					report.Running = append(report.Running, RunStatus{Task: run.order.Task, Run: run.order.Run, Percent: percent, Load: int(run.milli)})
					return false
				}
				result.Kind = EndedStopped
			}
			r.results[name]++
			result.Number = r.results[name]
			report.Ended = append(report.Ended, result)
			return true
		})
		r.core.ApplyReport(report, r.now)
	}
	r.core.CheckRuns(r.now)
	r.core.Schedule(r.now, 0)
	for _, order := range r.core.TakeOrders() {
		r.carryOut(order)
	}
	r.checkRuns()
	for id, j := range r.jobs {
		if _, known := r.ended[id]; !known && j.State.IsTerminal() {
			r.ended[id] = r.now
		}
	}
}

// carryOut carries out an order. Whether a run is a straggler depends on the task and the number of
// the run only, so that it does not depend on the policy which first runs are.
func (r *stragglerReplay) carryOut(order Order) {
	if order.Kind == Stop {
		for _, run := range r.running[order.Runner] {
			if run.order.Task == order.Task && run.order.Run == order.Run && run.stopAt == 0 {
				run.stopAt = r.now + stragglerStopTime
			}
		}
		r.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, r.now)
		return
	}
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%v %d %d", order.Task, order.Run, r.seed)
	runTime := float64(r.taskTime[order.Task]) * r.slowness[order.Runner]
	if rand.New(rand.NewPCG(hash.Sum64(), 1)).Float64() < r.load.share {
		runTime *= stragglerFactor
	}
	step := r.jobs[order.Task.Job].Spec.Steps[order.Task.Step]
	r.running[order.Runner] = append(r.running[order.Runner], &stragglerRun{order: order, began: r.now, runTime: time.Duration(runTime), milli: step.Resources.CPUMilli})
	r.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, r.now)
}

// checkRuns checks that runners are given no more than they have, that no task has more than two runs
// or two on one runner, and that copies are started only up to their bound.
func (r *stragglerReplay) checkRuns() {
	runners := map[jobs.TaskID][]string{}
	total, copies := 0, 0
	for _, name := range r.names {
		if n := len(r.running[name]); n > stragglerCores {
			r.t.Fatalf("%v: runner %s has %d runs on %d processors", r.now, name, n, stragglerCores)
		}
		for _, run := range r.running[name] {
			total++
			task := run.order.Task
			if len(runners[task]) > 0 {
				copies++
			}
			if len(runners[task]) > 1 || slices.Contains(runners[task], name) {
				r.t.Fatalf("%v: task %v runs on %v and on %s", r.now, task, runners[task], name)
			}
			runners[task] = append(runners[task], name)
		}
	}
	if bound := max(1, (total-copies)*maxCopyPercent/100); copies > r.copies && copies > bound {
		r.t.Fatalf("%v: %d of %d runs are copies, want at most %d", r.now, copies, total, bound)
	}
	r.copies = copies
}

// stragglerOutcome holds the results of a replay.
type stragglerOutcome struct {
	mean, p95, worst    time.Duration // time from the arrival of a job to its end
	late                int           // jobs that ended after their objective, with estimates as stated
	busy                float64       // core-seconds
	started, won, ended int64         // copies
	doneRuns            int64
}

func runStragglerReplay(t *testing.T, load stragglerLoad, seed uint64, policy copyPolicy) stragglerOutcome {
	r := newStragglerReplay(t, load, seed, policy)
	r.runLoad()
	for range 50 { // let the runs end that are being stopped
		r.advance()
	}
	result := stragglerOutcome{busy: r.busy, doneRuns: r.counts["runs_done"], started: r.counts["copies_started"], won: r.counts["copies_won"]}
	result.ended = result.won + r.counts["copies_lost"]
	var times []time.Duration
	for id, end := range r.ended {
		took := end - r.arrived[id]
		times = append(times, took)
		result.mean += took / stragglerJobs
		var chain time.Duration
		for _, step := range r.jobs[id].Spec.Steps {
			chain += step.Estimate
		}
		if took > testQueue.TargetLatency+time.Duration(testQueue.Stretch*float64(chain)) {
			result.late++
		}
		if r.jobs[id].State != jobs.Completed {
			t.Errorf("job %s: %v", id, r.jobs[id].State)
		}
	}
	slices.Sort(times)
	result.p95, result.worst = times[len(times)*95/100], times[len(times)-1]
	return result
}

// noCopies never makes a copy. copyAfterFixedMultiple is the baseline: it makes a copy of a run that has
// gone on for baselineFactor times the time that its caller stated.
func noCopies(copyInputs, float64) (copyForecast, bool) { return copyForecast{}, false }

func copyAfterFixedMultiple(o copyInputs, _ float64) (copyForecast, bool) {
	return copyForecast{}, o.elapsed > baselineFactor*o.stated
}

// Guards against copies that do not bring the ends of jobs forward, that come too late because they
// follow the caller's estimate, or that cost much. The decision is compared with none and with a
// copy after a fixed multiple of the stated time. It also guards against ends that are counted
// twice: each job completes, and each copy ends once. A second replay must give the same outcome.
func TestCopiesOfStragglersBringChainsForward(t *testing.T) {
	for seed := range uint64(3) {
		with, baseline := runStragglerReplay(t, moderateLoad, seed, nil), runStragglerReplay(t, moderateLoad, seed, copyAfterFixedMultiple)
		without := runStragglerReplay(t, moderateLoad, seed, noCopies)
		t.Logf("seed %d\n  with     %+v\n  baseline %+v\n  without  %+v", seed, with, baseline, without)
		if seed == 0 {
			if again := runStragglerReplay(t, moderateLoad, seed, nil); again != with {
				t.Errorf("the first replay gave %+v, the second %+v", with, again)
			}
		}
		if with.mean >= baseline.mean*9/10 || with.p95 >= baseline.p95*9/10 || with.late >= baseline.late/2 {
			t.Errorf("seed %d: not better than a fixed multiple", seed)
		}
		if with.mean >= without.mean*7/10 || with.p95 >= without.p95*6/10 || with.late >= without.late/2 {
			t.Errorf("seed %d: not better than no copies", seed)
		}
		if with.busy > baseline.busy {
			t.Errorf("seed %d: %.0f core-seconds used, %.0f by the baseline", seed, with.busy, baseline.busy)
		}
		if with.started == 0 || with.ended != with.started {
			t.Errorf("seed %d: %d copies started, %d ended", seed, with.started, with.ended)
		}
	}
}

// Guards against copies that slow other work where little capacity is idle, and against copies of
// runs that are not slow.
func TestCopiesDoNotSlowAFullOrUniformFleet(t *testing.T) {
	for name, load := range map[string]stragglerLoad{"heavy": heavyLoad, "uniform": uniformLoad} {
		with, without := runStragglerReplay(t, load, 1, nil), runStragglerReplay(t, load, 1, noCopies)
		t.Logf("%s\n  with    %+v\n  without %+v", name, with, without)
		if with.mean > without.mean*101/100 || with.p95 > without.p95*101/100 || with.busy > without.busy*1.02 {
			t.Errorf("%s: worse than no copies", name)
		}
	}
}
