package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/structs"
)

// Parameters of the replayed load.
const (
	replayRunners            = 12
	replayCores              = 16
	replayTick               = 50 * time.Millisecond
	replayStopTime           = 100 * time.Millisecond // duration of a stop
	replayCheckpointInterval = 500 * time.Millisecond // run time between checkpoints
	replayUrgentJobs         = 40                     // number of jobs
	replayBatchJobs          = 16                     // number of jobs
	replayTimeLimit          = 20 * time.Minute
	urgentInterval           = 3 * time.Second // mean
	// urgentObjective is the time within which an urgent job should be completed. Its tasks
	// take up to 1.5 s.
	urgentObjective = 4 * time.Second
)

// replayRun is a run on a simulated runner.
type replayRun struct {
	order   Order
	step    jobs.Step
	runTime time.Duration
	done    time.Duration
	resumed time.Duration
	stopAt  time.Duration // when an ordered stop is carried out; zero if none was ordered
}

// saved returns the run time that the newest checkpoint covers.
func (run *replayRun) saved() time.Duration {
	if !run.step.Checkpoints {
		return 0
	}
	return max(run.resumed, run.done/replayCheckpointInterval*replayCheckpointInterval)
}

// replayRunner is a simulated runner.
type replayRunner struct {
	runs       []*replayRun
	ended      []RunResult
	lastResult int
}

// replay drives a Core through a load in which urgent jobs arrive while batch jobs use the
// capacity of all runners.
type replay struct {
	*coreHarness
	rng           *rand.Rand
	runnerNames   []string
	runners       map[string]*replayRunner
	runTimeFactor map[jobs.TaskID]float64 // true run time as a multiple of the estimate
	jobs          map[jobs.ID]*jobs.Job
	arrived       map[jobs.ID]time.Duration
	ended         map[jobs.ID]time.Duration
	batchWork     float64 // work of all batch tasks in core-seconds
	lostWork      float64 // batch work that was lost, in core-seconds
	stops         int
}

func newReplay(t *testing.T, seed uint64, preempt bool) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(seed, 1)), runners: map[string]*replayRunner{}, runTimeFactor: map[jobs.TaskID]float64{},
		jobs: map[jobs.ID]*jobs.Job{}, arrived: map[jobs.ID]time.Duration{}, ended: map[jobs.ID]time.Duration{}}
	r.coreHarness = newCoreHarness(t)
	r.core.limits.Preempt = preempt
	r.core.Configure([]jobs.Queue{urgentQueue, batchQueue})
	for i := range replayRunners {
		id := fmt.Sprintf("m%02d", i)
		r.runnerNames = append(r.runnerNames, id)
		r.runners[id] = &replayRunner{}
		r.core.UpdateRunner(testRunner(id, replayCores*1000), r.now)
		r.report(Report{Runner: id, Incarnation: 1})
	}
	return r
}

// submit accepts a job whose tasks take between half and one and a half times the stated
// time.
func (r *replay) submit(queue jobs.Queue, id jobs.ID, step jobs.Step) {
	r.jobs[id] = r.enqueue(queue, id, step)
	r.arrived[id] = r.now
	for i := range step.Count {
		factor := 0.5 + r.rng.Float64()
		r.runTimeFactor[taskID(id, 0, i)] = factor
		if queue.Name == batchQueue.Name {
			r.batchWork += factor * coreSeconds(step.Resources, step.Estimate)
		}
	}
}

// runLoad submits the jobs and runs them until every job has ended.
func (r *replay) runLoad() {
	for i := range replayBatchJobs {
		step := batchStep(16+r.rng.IntN(17), 1000*int64(1+r.rng.IntN(4)), r.rng.Float64() < 0.6)
		step.Estimate = time.Duration(40+r.rng.IntN(80)) * time.Second
		r.submit(batchQueue, jobs.ID(fmt.Sprintf("b%015x", i)), step)
	}
	nextUrgent, submittedUrgent := r.now+5*time.Second, 0
	for len(r.ended) < replayBatchJobs+replayUrgentJobs {
		if r.now > replayTimeLimit {
			r.t.Fatalf("%d of %d jobs have ended after %v", len(r.ended), replayBatchJobs+replayUrgentJobs, r.now)
		}
		if submittedUrgent < replayUrgentJobs && r.now >= nextUrgent {
			step := plainStep(4+r.rng.IntN(9), 2000)
			r.submit(urgentQueue, jobs.ID(fmt.Sprintf("a%015x", submittedUrgent)), step)
			submittedUrgent++
			nextUrgent += time.Duration(r.rng.ExpFloat64() * float64(urgentInterval))
		}
		r.advance()
	}
}

// advance lets one replayTick pass.
func (r *replay) advance() {
	r.now += replayTick
	for _, name := range r.runnerNames {
		runner := r.runners[name]
		runner.runTasks(r)
		report := Report{Runner: name, Incarnation: 1, Sent: r.now, Ended: slices.Clone(runner.ended)}
		for _, run := range runner.runs {
			percent := int(fullPace * run.done / run.runTime)
			text := ""
			if s := run.saved(); s > 0 {
				text = strconv.FormatInt(int64(s), 10)
			}
			report.Running = append(report.Running, RunStatus{Task: run.order.Task, Run: run.order.Run, Percent: percent, Checkpoint: text, Load: int(run.step.Resources.CPUMilli)})
		}
		runner.ended = nil
		r.core.ApplyReport(report, r.now)
	}
	r.core.CheckRuns(r.now)
	r.core.Schedule(r.now, 0)
	for _, order := range r.core.TakeOrders() {
		r.carryOut(order)
	}
	for id, j := range r.jobs {
		if _, known := r.ended[id]; !known && j.State.IsTerminal() {
			r.ended[id] = r.now
		}
	}
}

// runTasks lets the runs on a runner proceed for one replayTick, and ends those that are
// done or stopped.
func (runner *replayRunner) runTasks(r *replay) {
	runner.runs = slices.DeleteFunc(runner.runs, func(run *replayRun) bool {
		run.done += replayTick
		result := RunResult{Task: run.order.Task, Run: run.order.Run}
		switch {
		case run.done >= run.runTime:
			result.Kind = EndedDone
		case run.stopAt > 0 && r.now >= run.stopAt:
			result.Kind = EndedStopped
			if run.step.Checkpoints {
				result.Checkpoint = strconv.FormatInt(int64(run.done), 10)
			} else {
				r.lostWork += coreSeconds(run.step.Resources, run.done)
			}
		default:
			return false
		}
		runner.lastResult++
		result.Number = runner.lastResult
		runner.ended = append(runner.ended, result)
		return true
	})
}

// carryOut carries out an order. For a start it checks that the runner has free capacity and
// that the task runs nowhere else.
func (r *replay) carryOut(order Order) {
	runner := r.runners[order.Runner]
	if order.Kind == Stop {
		for _, run := range runner.runs {
			if run.order.Task == order.Task && run.order.Run == order.Run && run.stopAt == 0 {
				run.stopAt = r.now + replayStopTime
				r.stops++
			}
		}
		r.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, r.now)
		return
	}
	step := r.jobs[order.Task.Job].Spec.Steps[0]
	run := &replayRun{order: order, step: step, runTime: time.Duration(float64(step.Estimate) * r.runTimeFactor[order.Task])}
	if order.Checkpoint != "" {
		done, err := strconv.ParseInt(order.Checkpoint, 10, 64)
		if err != nil {
			r.t.Fatal(err)
		}
		run.done, run.resumed = time.Duration(done), time.Duration(done)
	}
	for _, peer := range r.runners {
		if slices.ContainsFunc(peer.runs, func(other *replayRun) bool { return other.order.Task == order.Task }) {
			r.t.Errorf("%v: task %v is started while it runs", r.now, order.Task)
		}
	}
	runner.runs = append(runner.runs, run)
	var used structs.Resources
	for _, other := range runner.runs {
		used = used.Add(other.step.Reserved())
	}
	if used.CPUMilli > replayCores*1000 {
		r.t.Errorf("%v: runner %s is given %d of %d processors", r.now, order.Runner, used.CPUMilli, replayCores*1000)
	}
	r.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, r.now)
}

// maxLostShare is the share of the batch work that may be lost.
const maxLostShare = 0.01

// outcome holds the results of a replay.
type outcome struct {
	median, worst time.Duration // time from the arrival of an urgent job to its end
	onTime        int           // number of urgent jobs
	batchMean     time.Duration // mean time from the arrival of a batch job to its end
	batchEnd      time.Duration // time from the arrival of the last batch job to end
	batchWork     float64       // in core-seconds
	lost          float64       // part of batchWork that was lost
	stops         int
}

func (r *replay) outcome() outcome {
	result := outcome{batchWork: r.batchWork, lost: r.lostWork, stops: r.stops}
	var waits []time.Duration
	for id, end := range r.ended {
		took := end - r.arrived[id]
		if r.jobs[id].Queue.Name == batchQueue.Name {
			result.batchMean += took / replayBatchJobs
			result.batchEnd = max(result.batchEnd, took)
			continue
		}
		waits = append(waits, took)
		if took <= urgentObjective {
			result.onTime++
		}
	}
	slices.Sort(waits)
	result.median, result.worst = waits[len(waits)/2], waits[len(waits)-1]
	return result
}

func runReplay(t *testing.T, seed uint64, preempt bool) outcome {
	r := newReplay(t, seed, preempt)
	r.runLoad()
	return r.outcome()
}

// Guards against preemption that does not help urgent work on full runners, or costs batch
// work much. It is compared with a baseline without preemption, in which urgent work only
// goes first among the waiting work. A second replay must give the same outcome: decisions
// may depend only on what is reported to the core.
func TestPreemptionHelpsUrgentWorkOnAFullFleet(t *testing.T) {
	for seed := range uint64(4) {
		with, without := runReplay(t, seed, true), runReplay(t, seed, false)
		t.Logf("seed %d\n  with    %+v\n  without %+v", seed, with, without)
		if again := runReplay(t, seed, true); again != with {
			t.Errorf("seed %d: the first replay gave %+v, the second %+v", seed, with, again)
		}
		if with.onTime < replayUrgentJobs*9/10 || with.median >= without.median {
			t.Errorf("seed %d: %d of %d urgent jobs on time, median %v; without preemption %d, median %v",
				seed, with.onTime, replayUrgentJobs, with.median, without.onTime, without.median)
		}
		if with.lost > maxLostShare*with.batchWork {
			t.Errorf("seed %d: %.0f of %.0f core-seconds of batch work lost", seed, with.lost, with.batchWork)
		}
		if limit := without.batchMean * 21 / 20; with.batchMean > limit {
			t.Errorf("seed %d: batch jobs take %v on average, want at most %v", seed, with.batchMean, limit)
		}
	}
}
