package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
	"bergamotstile/structs"
)

// Parameters of the replayed load of tasks with data on a rack.
const (
	localityRacks          = 6
	localityRunnersPerRack = 4
	localityCores          = 16 // of a runner
	localityJobs           = 300
	localityTick           = 100 * time.Millisecond
	localityTimeLimit      = 20 * time.Minute
	localityHotRack        = "rack0"
	// localityLossAt and localityLossTime are when the wanted rack is lost, and for how long.
	localityLossAt   = 20 * time.Second
	localityLossTime = 20 * time.Second
)

// localityLoad describes a load.
type localityLoad struct {
	name        string
	interval    time.Duration // mean time between the arrivals of two jobs
	wantedShare float64       // share of the jobs that want localityHotRack; the others want any rack
	noDataShare float64       // share of the jobs whose place does not matter
	gangShare   float64       // share of the jobs that are gangs, which are slow across racks
	rackIsLost  bool
	factor      float64
}

// placementPolicies are the decision and the baselines with which it is compared.
var placementPolicies = []struct {
	name   string
	decide func(placementQuestion) placementAnswer
}{
	{"never waiting", func(placementQuestion) placementAnswer { return placementAnswer{} }},
	{"fixed wait of 1 s", fixedWait(time.Second)},
	{"fixed wait of 4 s", fixedWait(4 * time.Second)},
	{"always waiting", func(q placementQuestion) placementAnswer {
		return placementAnswer{wait: true, deadline: localityTimeLimit}
	}},
	{"decision", decidePlacement},
}

func fixedWait(wait time.Duration) func(placementQuestion) placementAnswer {
	return func(q placementQuestion) placementAnswer {
		return placementAnswer{wait: !q.isWaiting || q.remaining > 0, deadline: wait}
	}
}

// localityRun is a run on a simulated runner.
type localityRun struct {
	order         Order
	step          jobs.Step
	runTime, done time.Duration
}

// localityReplay drives a Core through a load in virtual time. The runners of a lost rack answer
// nothing, and their leases are given up after localityLeaseTime.
type localityReplay struct {
	*coreHarness
	load          localityLoad
	rng           *rand.Rand
	racks         map[string]string // by runner
	names         []string
	runs          map[string][]*localityRun
	ended         map[string][]RunResult
	lastResult    map[string]int
	incarnation   int64
	lossBegan     bool
	leasesExpired bool
	runTimeFactor map[jobs.TaskID]float64
	gangRacks     map[jobs.ID]map[string]bool // racks on which the members of a gang run
	jobs          map[jobs.ID]*jobs.Job
	arrived       map[jobs.ID]time.Duration
	result        localityOutcome
	times         []time.Duration
	counters      map[string]int64
}

// localityLeaseTime is the time from the loss of a rack until the leases there have expired.
const localityLeaseTime = 9 * time.Second

// localityOutcome holds the results of a replay.
type localityOutcome struct {
	mean, p95 time.Duration // from the arrival of a job to its end
	onTime    int           // number of jobs
	coreHours float64       // processor time that all runs held
	// waits, paid, givenUp and far are the counters near_waits, near_waits_paid,
	// near_waits_given_up and far_starts.
	waits, paid, givenUp, far int64
}

func (o localityOutcome) String() string {
	return fmt.Sprintf("mean %5.2f s, p95 %6.2f s, on time %3d of %d, %5.2f core-hours, waits %4d (paid %4d, given up %3d), far starts %4d",
		o.mean.Seconds(), o.p95.Seconds(), o.onTime, localityJobs, o.coreHours, o.waits, o.paid, o.givenUp, o.far)
}

func newLocalityReplay(t *testing.T, load localityLoad, seed uint64, decide func(placementQuestion) placementAnswer) *localityReplay {
	r := &localityReplay{load: load, rng: rand.New(rand.NewPCG(seed, 8)), racks: map[string]string{}, runs: map[string][]*localityRun{},
		ended: map[string][]RunResult{}, lastResult: map[string]int{}, incarnation: 1, runTimeFactor: map[jobs.TaskID]float64{},
		gangRacks: map[jobs.ID]map[string]bool{}, jobs: map[jobs.ID]*jobs.Job{}, arrived: map[jobs.ID]time.Duration{}, counters: map[string]int64{}}
	r.coreHarness = newCoreHarness(t)
	r.core.counters = func(name string, n int64) { r.counters[name] += n }
	quiet := discardLog()
	quiet.SetLevel(logrus.ErrorLevel)
	r.core.log = quiet
	r.core.limits.RemoteDataFactor = load.factor
	r.core.locality.decide = decide
	for i := range localityRacks * localityRunnersPerRack {
		info := testRunner(fmt.Sprintf("m%02d", i), localityCores*1000)
		info.Rack = fmt.Sprint("rack", i%localityRacks)
		r.names = append(r.names, info.ID)
		r.racks[info.ID] = info.Rack
		r.core.UpdateRunner(info, r.now)
		r.report(Report{Runner: info.ID, Incarnation: r.incarnation})
	}
	return r
}

// submit accepts the next job: one or two steps, each of a few tasks that take between half and one
// and a half times the stated time.
func (r *localityReplay) submit() {
	id := jobs.ID(fmt.Sprintf("%016x", len(r.jobs)+1))
	rack := fmt.Sprint("rack", r.rng.IntN(localityRacks))
	switch share := r.rng.Float64(); {
	case share < r.load.wantedShare:
		rack = localityHotRack
	case share < r.load.wantedShare+r.load.noDataShare:
		rack = ""
	}
	step := plainStep(1+r.rng.IntN(8), 1000*int64(1+r.rng.IntN(4)))
	step.DataRack, step.Estimate = rack, time.Duration(1000+r.rng.IntN(5000))*time.Millisecond
	isGang := r.load.gangShare > 0 && r.rng.Float64() < r.load.gangShare
	if isGang {
		step.Count, step.Resources.CPUMilli = 4+r.rng.IntN(5), 4000
		step.DataRack, step.Gang, step.SameRack = "", true, true
		r.gangRacks[id] = map[string]bool{}
	}
	steps := []jobs.Step{step}
	if !isGang && r.rng.Float64() < 0.5 {
		step.After = []int{0}
		steps = append(steps, step)
	}
	for i, step := range steps {
		for index := range step.Count {
			r.runTimeFactor[taskID(id, i, index)] = 0.5 + r.rng.Float64()
			if isGang { // its members end together
				r.runTimeFactor[taskID(id, i, index)] = r.runTimeFactor[taskID(id, i, 0)]
			}
		}
	}
	j := jobs.New(id, testQueue, jobs.Spec{Text: "text", Steps: steps}, r.now, 1)
	r.jobs[id], r.arrived[id] = j, r.now
	r.core.AddJob(j, false, 0)
}

// isLost reports whether a rack is lost at present.
func (r *localityReplay) isLost(rack string) bool {
	return r.load.rackIsLost && rack == localityHotRack && r.now >= localityLossAt && r.now < localityLossAt+localityLossTime
}

// run submits the jobs and lets them run until all have ended.
func (r *localityReplay) run() localityOutcome {
	next := r.now
	for len(r.times) < localityJobs {
		if r.now > localityTimeLimit {
			r.t.Fatalf("%s: %d of %d jobs have ended after %v", r.load.name, len(r.times), localityJobs, r.now)
		}
		for len(r.jobs) < localityJobs && r.now >= next {
			r.submit()
			next += time.Duration(r.rng.ExpFloat64() * float64(r.load.interval))
		}
		r.advance()
	}
	slices.Sort(r.times)
	for _, took := range r.times {
		r.result.mean += took / localityJobs
	}
	r.result.p95 = r.times[localityJobs*95/100]
	r.result.waits, r.result.paid = r.counters["near_waits"], r.counters["near_waits_paid"]
	r.result.givenUp, r.result.far = r.counters["near_waits_given_up"], r.counters["far_starts"]
	return r.result
}

// advance lets one localityTick pass.
func (r *localityReplay) advance() {
	r.now += localityTick
	r.loseRack()
	for _, name := range r.names {
		if r.isLost(r.racks[name]) {
			continue
		}
		report := Report{Runner: name, Incarnation: 1, Sent: r.now}
		if r.racks[name] == localityHotRack {
			report.Incarnation = r.incarnation
		}
		report.Running = r.runTasks(name)
		report.Ended, r.ended[name] = r.ended[name], nil
		r.core.ApplyReport(report, r.now)
	}
	r.core.Schedule(r.now, 0)
	for _, order := range r.core.TakeOrders() {
		r.carryOut(order)
	}
	for id, j := range r.jobs {
		if _, running := r.arrived[id]; running && j.State.IsTerminal() {
			took := r.now - r.arrived[id]
			r.times = append(r.times, took)
			if late := r.now - r.core.jobs[id].objective; late <= 0 {
				r.result.onTime++
			}
			delete(r.arrived, id)
		}
	}
}

// loseRack tells the core that the wanted rack does not answer, once it is lost, and later that the
// leases there have expired. Its runners come back without their runs.
func (r *localityReplay) loseRack() {
	if !r.isLost(localityHotRack) {
		return
	}
	expired := r.now >= localityLossAt+localityLeaseTime && !r.leasesExpired
	for _, name := range r.names {
		if r.racks[name] != localityHotRack {
			continue
		}
		if !r.lossBegan {
			r.core.MarkRunnerSilent(name)
			r.runs[name], r.ended[name], r.lastResult[name] = nil, nil, 0
		}
		if expired {
			r.core.ExpireRunnerLeases(name, r.now)
			r.sortPending()
		}
	}
	if !r.lossBegan {
		r.incarnation++
	}
	r.lossBegan, r.leasesExpired = true, r.leasesExpired || expired
}

// sortPending sorts the pending tasks. The core makes the tasks of a lost runner pending in no
// particular order, which would make outcomes differ between two replays.
func (r *localityReplay) sortPending() {
	for _, s := range r.core.waitingSteps {
		slices.Sort(s.pending)
	}
}

// runTasks lets the runs on a runner proceed for one localityTick, ends those that are done and
// returns the others.
func (r *localityReplay) runTasks(name string) []RunStatus {
	var running []RunStatus
	r.runs[name] = slices.DeleteFunc(r.runs[name], func(run *localityRun) bool {
		run.done += localityTick
		if len(r.gangRacks[run.order.Task.Job]) > 1 {
			run.done -= time.Duration((1 - 1/r.load.factor) * float64(localityTick))
		}
		r.result.coreHours += coreSeconds(run.step.Resources, localityTick) / 3600
		if run.done >= run.runTime {
			r.lastResult[name]++
			r.ended[name] = append(r.ended[name], RunResult{Number: r.lastResult[name], Task: run.order.Task, Run: run.order.Run, Kind: EndedDone})
			return true
		}
		running = append(running, RunStatus{Task: run.order.Task, Run: run.order.Run, Percent: int(fullPace * run.done / run.runTime), Load: int(run.step.Resources.CPUMilli)})
		return false
	})
	return running
}

// carryOut carries out a start. Orders to a lost rack are lost with it.
func (r *localityReplay) carryOut(order Order) {
	if order.Kind != Start || r.isLost(r.racks[order.Runner]) {
		return
	}
	step := r.jobs[order.Task.Job].Spec.Steps[order.Task.Step]
	factor := r.runTimeFactor[order.Task]
	if step.DataRack != "" && step.DataRack != r.racks[order.Runner] {
		factor *= r.load.factor
	}
	run := &localityRun{order: order, step: step, runTime: time.Duration(factor * float64(step.Estimate))}
	r.runs[order.Runner] = append(r.runs[order.Runner], run)
	if step.Gang {
		r.gangRacks[order.Task.Job][r.racks[order.Runner]] = true
	}
	var used structs.Resources
	for _, other := range r.runs[order.Runner] {
		used = used.Add(other.step.Reserved())
	}
	if used.CPUMilli > localityCores*1000 {
		r.t.Errorf("%v: runner %s is given %d of %d processors", r.now, order.Runner, used.CPUMilli, localityCores*1000)
	}
	r.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, r.now)
}

var localityLoads = []localityLoad{
	{name: "normal mix", interval: 240 * time.Millisecond, noDataShare: 0.4, factor: 2},
	{name: "normal mix", interval: 240 * time.Millisecond, noDataShare: 0.4, factor: 3},
	{name: "busy mix", interval: 175 * time.Millisecond, noDataShare: 0.4, factor: 2},
	{name: "busy mix", interval: 175 * time.Millisecond, noDataShare: 0.4, factor: 3},
	{name: "mix with gangs", interval: 280 * time.Millisecond, noDataShare: 0.4, gangShare: 0.2, factor: 2},
	{name: "mix with gangs", interval: 280 * time.Millisecond, noDataShare: 0.4, gangShare: 0.2, factor: 3},
	{name: "a third wants one rack", interval: 240 * time.Millisecond, wantedShare: 0.333, noDataShare: 0.267, factor: 2},
	{name: "a third wants one rack", interval: 240 * time.Millisecond, wantedShare: 0.333, noDataShare: 0.267, factor: 3},
	{name: "a third wants a lost rack", interval: 240 * time.Millisecond, wantedShare: 0.333, noDataShare: 0.267, rackIsLost: true, factor: 2},
	{name: "a third wants a lost rack", interval: 240 * time.Millisecond, wantedShare: 0.333, noDataShare: 0.267, rackIsLost: true, factor: 3},
}

// isEven reports whether no rack is wanted more than the others.
func (l localityLoad) isEven() bool { return l.wantedShare == 0 }

// maxEvenLoss bounds how much longer jobs may take on average, relative to the best baseline, where
// no rack is wanted more than others. There, a wait beyond the time that a far place costs pays
// since it keeps the whole fleet free; the bound of a wait forbids it.
const maxEvenLoss = 1.05

// Guards against waits for a near place that cost more than they save. The decision is compared
// with baselines that never wait, wait for a fixed time and wait always. A second replay must give
// the same outcome: decisions may depend only on what is reported to the core.
func TestWaitingForNearPlacesPays(t *testing.T) {
	for _, load := range localityLoads {
		means := map[string]time.Duration{}
		for _, policy := range placementPolicies {
			got := replayLocality(t, load, policy.decide)
			means[policy.name] = got.mean
			t.Logf("%-25s factor %.0f  %-18s %v", load.name, load.factor, policy.name, got)
		}
		for name, mean := range means {
			isFallible := name == "always waiting" || name == "fixed wait of 4 s"
			limit := mean
			if load.isEven() && isFallible {
				limit = time.Duration(maxEvenLoss * float64(mean))
			}
			if means["decision"] > limit {
				t.Errorf("%s, factor %.0f: jobs take %v on average, want at most %v; %s: %v", load.name, load.factor, means["decision"], limit, name, mean)
			}
		}
	}
	last := localityLoads[len(localityLoads)-1]
	first, second := newLocalityReplay(t, last, 0, decidePlacement).run(), newLocalityReplay(t, last, 0, decidePlacement).run()
	if first != second {
		t.Errorf("the first replay gave %v, the second %v", first, second)
	}
}

// localitySeeds is the number of seeds, from 0 on, over which a policy is measured.
const localitySeeds = 2

// replayLocality returns the mean outcome over the seeds.
func replayLocality(t *testing.T, load localityLoad, decide func(placementQuestion) placementAnswer) localityOutcome {
	var sum localityOutcome
	for seed := range uint64(localitySeeds) {
		got := newLocalityReplay(t, load, seed, decide).run()
		sum.mean += got.mean / localitySeeds
		sum.p95 += got.p95 / localitySeeds
		sum.onTime += got.onTime
		sum.coreHours += got.coreHours / localitySeeds
		sum.waits += got.waits
		sum.paid += got.paid
		sum.givenUp += got.givenUp
		sum.far += got.far
	}
	sum.onTime /= localitySeeds
	sum.waits, sum.paid, sum.givenUp, sum.far = sum.waits/localitySeeds, sum.paid/localitySeeds, sum.givenUp/localitySeeds, sum.far/localitySeeds
	return sum
}
