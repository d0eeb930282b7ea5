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

// Figures of the replayed load.
const (
	replayRunners  = 12
	replayCores    = 16
	replayStep     = 50 * time.Millisecond
	replayStop     = 100 * time.Millisecond // that a stop takes
	replaySave     = 500 * time.Millisecond // of work between checkpoints
	replayUrgent   = 40                     // jobs
	replayBatch    = 16                     // jobs
	replayLimit    = 20 * time.Minute
	urgentInterval = 3 * time.Second // mean
	// urgentObjective is how soon an urgent job should have ended: its tasks take
	// up to 1.5 s.
	urgentObjective = 4 * time.Second
)

// replayRun is a run on a simulated runner.
type replayRun struct {
	order   Order
	step    jobs.Step
	needs   time.Duration
	done    time.Duration
	resumed time.Duration
	gone    time.Duration // when a stop is carried out; zero if none was ordered
}

// saved is the progress of the newest checkpoint.
func (x *replayRun) saved() time.Duration {
	if !x.step.Checkpoints {
		return 0
	}
	return max(x.resumed, x.done/replaySave*replaySave)
}

type replayRunner struct {
	runs  []*replayRun
	ended []RunEnd
	count int
}

// replay drives a Core through a load in which urgent jobs come while batch jobs
// take the whole fleet.
type replay struct {
	*world
	rng     *rand.Rand
	names   []string
	runners map[string]*replayRunner
	factor  map[jobs.TaskID]float64 // of the estimate, true length
	jobs    map[jobs.ID]*jobs.Job
	arrived map[jobs.ID]time.Duration
	ended   map[jobs.ID]time.Duration
	work    float64 // core-seconds of all batch tasks
	lost    float64 // core-seconds of batch work done for nothing
	stops   int
}

func newReplay(t *testing.T, seed uint64, preempt bool) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(seed, 1)), runners: map[string]*replayRunner{}, factor: map[jobs.TaskID]float64{},
		jobs: map[jobs.ID]*jobs.Job{}, arrived: map[jobs.ID]time.Duration{}, ended: map[jobs.ID]time.Duration{}}
	r.world = newWorld(t)
	r.core.limits.Preempt = preempt
	r.core.Configure([]jobs.Queue{urgentQueue, batchQueue})
	for i := range replayRunners {
		id := fmt.Sprintf("m%02d", i)
		r.names = append(r.names, id)
		r.runners[id] = &replayRunner{}
		r.core.RunnerSeen(machine(id, replayCores*1000), r.now)
		r.report(Report{Runner: id, Incarnation: 1})
	}
	return r
}

// submit accepts a job whose tasks take up to half more or less than stated.
func (r *replay) submit(queue jobs.Queue, id jobs.ID, step jobs.Step) {
	r.jobs[id] = r.enqueue(queue, id, step)
	r.arrived[id] = r.now
	for i := range step.Count {
		factor := 0.5 + r.rng.Float64()
		r.factor[task(id, 0, i)] = factor
		if queue.Name == batchQueue.Name {
			r.work += factor * coreSeconds(step.Resources, step.Estimate)
		}
	}
}

// play runs the load until every job has ended.
func (r *replay) play() {
	for i := range replayBatch {
		step := batchStep(16+r.rng.IntN(17), 1000*int64(1+r.rng.IntN(4)), r.rng.Float64() < 0.6)
		step.Estimate = time.Duration(40+r.rng.IntN(80)) * time.Second
		r.submit(batchQueue, jobs.ID(fmt.Sprintf("b%015x", i)), step)
	}
	next, urgent := r.now+5*time.Second, 0
	for len(r.ended) < replayBatch+replayUrgent {
		if r.now > replayLimit {
			r.t.Fatalf("%d of %d jobs have ended after %v", len(r.ended), replayBatch+replayUrgent, r.now)
		}
		if urgent < replayUrgent && r.now >= next {
			step := plain(4+r.rng.IntN(9), 2000)
			r.submit(urgentQueue, jobs.ID(fmt.Sprintf("a%015x", urgent)), step)
			urgent++
			next += time.Duration(r.rng.ExpFloat64() * float64(urgentInterval))
		}
		r.advance()
	}
}

// advance lets one step of time pass.
func (r *replay) advance() {
	r.now += replayStep
	for _, name := range r.names {
		m := r.runners[name]
		m.work(r)
		rep := Report{Runner: name, Incarnation: 1, Sent: r.now, Ended: slices.Clone(m.ended)}
		for _, x := range m.runs {
			percent := int(fullPace * x.done / x.needs)
			text := ""
			if s := x.saved(); s > 0 {
				text = strconv.FormatInt(int64(s), 10)
			}
			rep.Running = append(rep.Running, RunStatus{Task: x.order.Task, Run: x.order.Run, Percent: percent, Saved: text, Load: int(x.step.Resources.CPUMilli)})
		}
		m.ended = nil
		r.core.Report(rep, r.now)
	}
	r.core.Watch(r.now)
	r.core.Schedule(r.now, 0)
	for _, o := range r.core.TakeOrders() {
		r.obey(o)
	}
	for id, j := range r.jobs {
		if _, known := r.ended[id]; !known && j.State.Terminal() {
			r.ended[id] = r.now
		}
	}
}

// work lets the runs of a runner go on and ends those that are done or stopped.
func (m *replayRunner) work(r *replay) {
	m.runs = slices.DeleteFunc(m.runs, func(x *replayRun) bool {
		x.done += replayStep
		end := RunEnd{Task: x.order.Task, Run: x.order.Run}
		switch {
		case x.done >= x.needs:
			end.How = EndedDone
		case x.gone > 0 && r.now >= x.gone:
			end.How = EndedStopped
			if x.step.Checkpoints {
				end.Saved = strconv.FormatInt(int64(x.done), 10)
			} else {
				r.lost += coreSeconds(x.step.Resources, x.done)
			}
		default:
			return false
		}
		m.count++
		end.Number = m.count
		m.ended = append(m.ended, end)
		return true
	})
}

// obey carries an order out and checks that the runner has room and that the
// task runs nowhere else.
func (r *replay) obey(o Order) {
	m := r.runners[o.Runner]
	if o.Kind == Stop {
		for _, x := range m.runs {
			if x.order.Task == o.Task && x.order.Run == o.Run && x.gone == 0 {
				x.gone = r.now + replayStop
				r.stops++
			}
		}
		r.core.Answered(Answer{Order: o, Outcome: Accepted}, r.now)
		return
	}
	step := r.jobs[o.Task.Job].Spec.Steps[0]
	x := &replayRun{order: o, step: step, needs: time.Duration(float64(step.Estimate) * r.factor[o.Task])}
	if o.Saved != "" {
		done, err := strconv.ParseInt(o.Saved, 10, 64)
		if err != nil {
			r.t.Fatal(err)
		}
		x.done, x.resumed = time.Duration(done), time.Duration(done)
	}
	for _, other := range r.runners {
		if slices.ContainsFunc(other.runs, func(y *replayRun) bool { return y.order.Task == o.Task }) {
			r.t.Errorf("%v: task %v is started while it runs", r.now, o.Task)
		}
	}
	m.runs = append(m.runs, x)
	var used structs.Resources
	for _, y := range m.runs {
		used = used.Add(y.step.Reserved())
	}
	if used.CPUMilli > replayCores*1000 {
		r.t.Errorf("%v: runner %s is given %d of %d processors", r.now, o.Runner, used.CPUMilli, replayCores*1000)
	}
	r.core.Answered(Answer{Order: o, Outcome: Accepted}, r.now)
}

// maxReplayLoss is the part of the batch work that may be lost.
const maxReplayLoss = 0.01

// outcome is what a replay came to.
type outcome struct {
	median, worst time.Duration // from the arrival of an urgent job to its end
	onTime        int           // urgent jobs
	batchMean     time.Duration // to the end of a batch job
	batchEnd      time.Duration // of the last batch job
	batchWork     float64       // core-seconds
	lost          float64       // of batchWork, done for nothing
	stops         int
}

func (r *replay) outcome() outcome {
	out := outcome{batchWork: r.work, lost: r.lost, stops: r.stops}
	var waits []time.Duration
	for id, end := range r.ended {
		took := end - r.arrived[id]
		if r.jobs[id].Queue.Name == batchQueue.Name {
			out.batchMean += took / replayBatch
			out.batchEnd = max(out.batchEnd, took)
			continue
		}
		waits = append(waits, took)
		if took <= urgentObjective {
			out.onTime++
		}
	}
	slices.Sort(waits)
	out.median, out.worst = waits[len(waits)/2], waits[len(waits)-1]
	return out
}

func replayLoad(t *testing.T, seed uint64, preempt bool) outcome {
	r := newReplay(t, seed, preempt)
	r.play()
	return r.outcome()
}

// Urgent work that comes while batch work fills the fleet must gain by preemption,
// beside the baseline in which it only goes first among what waits, and batch work
// must lose little. The decision must depend on nothing but what the core is told.
func TestReplayOfUrgentWorkOnAFullFleet(t *testing.T) {
	for seed := range uint64(4) {
		with, without := replayLoad(t, seed, true), replayLoad(t, seed, false)
		t.Logf("seed %d\n  with    %+v\n  without %+v", seed, with, without)
		if again := replayLoad(t, seed, true); again != with {
			t.Errorf("seed %d: the replay came to %+v, then to %+v", seed, with, again)
		}
		if with.onTime < replayUrgent*9/10 || with.median >= without.median {
			t.Errorf("seed %d: %d of %d urgent jobs on time, half within %v; without preemption %d, within %v",
				seed, with.onTime, replayUrgent, with.median, without.onTime, without.median)
		}
		if with.lost > maxReplayLoss*with.batchWork {
			t.Errorf("seed %d: %.0f of %.0f core-seconds of batch work lost", seed, with.lost, with.batchWork)
		}
		if limit := without.batchMean * 21 / 20; with.batchMean > limit {
			t.Errorf("seed %d: batch jobs take %v on average, want at most %v", seed, with.batchMean, limit)
		}
	}
}
