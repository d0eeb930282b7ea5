package bench

import (
	"fmt"
	"slices"
	"time"

	"bergamotstile/policy"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// tick is the step of virtual time and the time between plans.
const tick = 250 * time.Millisecond

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// run is the state of one measurement.
type run struct {
	d        deployment
	options  Options
	load     *workload
	fake     *rackFake
	path     *requestPath
	decider  decider
	now      time.Duration
	arrived  int
	queue    []*job
	outcomes []policy.Outcome
	gone     []structs.WorkID
	late     []lateSamples
	result   Result
	urgent   []float64
	workers  []scheduler.Worker // buffers of the snapshot
	items    []scheduler.Item
}

// lateSamples are measurements on their way.
type lateSamples struct {
	at      time.Duration
	samples []policy.ServiceSample
}

// Run measures one policy on one seed.
func Run(o Options) (Result, error) {
	d, err := o.deployment()
	if err != nil {
		return Result{}, err
	}
	if err := checkPolicy(o.Policy); err != nil {
		return Result{}, err
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	r := newRun(d, o)
	for r.now < o.Duration {
		r.step()
	}
	return r.finish(), nil
}

func newRun(d deployment, o Options) *run {
	r := &run{d: d, options: o, load: newWorkload(d, o.Seed, o.Duration)}
	r.result = Result{Deployment: d.name, Policy: o.Policy, Seed: o.Seed, Refusals: map[structs.Reason]int{}}
	r.fake = &rackFake{onBatch: r.load.onBatch, onServe: r.load.onServe, random: stream(o.Seed, 7)}
	var runners []*runner
	for i := range d.workers {
		m := &machine{name: fmt.Sprintf("w%02d", i), rack: "rack-0", total: d.machine, slowdown: 1}
		if i >= d.accelerated {
			m.total.Accelerators = 0
		}
		n := runnersOf(d, o.Policy, i)
		runners = append(runners, runnersOn(m, n, d.slots)...)
		m.offered = offered(d, m.total, n)
		r.fake.machines = append(r.fake.machines, m)
	}
	r.path = newRequestPath(d, r.load.alone, runners, o.Seed)
	r.decider = newDecider(d, o)
	return r
}

// runnersOf returns the number of runners beside worker i. Under separate
// they share the last machines, so that accelerators go to batch work.
func runnersOf(d deployment, name string, i int) int {
	switch {
	case name != PolicySeparate:
		return 1
	case i < d.workers-d.dedicated:
		return 0
	default:
		return d.workers / d.dedicated
	}
}

func newDecider(d deployment, o Options) decider {
	switch o.Policy {
	case PolicyBestFit:
		return &baseline{}
	case PolicySeparate:
		return &baseline{usable: func(_ *scheduler.Item, node *scheduler.Node) bool {
			return node.Capacity.CPUMilli == d.machine.CPUMilli
		}}
	case PolicyThreshold:
		return newThreshold(d)
	}
	return policy.New(settingsFor(d, o.Disabled))
}

func (r *run) step() {
	r.now += tick
	r.disturb()
	r.arrive()
	r.path.serve(r.now, r.load.loadAt(r.now))
	for _, e := range r.fake.step(r.now, tick) {
		r.ended(e)
	}
	if r.now%reportEvery == 0 {
		r.report()
	}
	r.apply(r.decider.Schedule(r.snapshot()))
}

// disturb brings about the faults that are due.
func (r *run) disturb() {
	for _, f := range r.load.failures {
		if due(f.from, r.now) {
			// A runner is lost with its number, not with its machine, so
			// that each policy loses the same part of the service.
			i := int(f.value)
			r.path.runners[i].downUntil = f.to
			for _, e := range r.fake.fail(r.fake.machines[i], f.to) {
				r.ended(e)
			}
		}
	}
	bad := r.fake.machines[int(r.load.failsAll.value)]
	bad.failsAll = r.load.failsAll.from <= r.now && r.now < r.load.failsAll.to
	for i, s := range r.load.shifts {
		if due(s.from, r.now) {
			factor := 2.0
			if i%2 == 1 {
				factor = 0.5
			}
			r.load.onServe[int(s.value)] *= factor
		}
	}
}

func due(at, now time.Duration) bool {
	return at <= now && at > now-tick
}

func (r *run) arrive() {
	for r.arrived < len(r.load.jobs) && r.load.jobs[r.arrived].arrive <= r.now {
		j := r.load.jobs[r.arrived]
		j.queuedAt = j.arrive
		r.queue = append(r.queue, j)
		r.arrived++
	}
	for _, j := range r.load.jobs[:r.arrived] {
		if j.cancel > 0 && !j.ended && due(j.cancel, r.now) {
			r.cancel(j)
		}
	}
}

func (r *run) cancel(j *job) {
	j.ended = true
	r.gone = append(r.gone, j.item.Work)
	if j.running == nil {
		r.dequeue(j)
		return
	}
	for _, m := range r.fake.machines {
		m.remove(j.running)
	}
	j.running = nil
}

func (r *run) dequeue(j *job) {
	if i := slices.Index(r.queue, j); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
	}
}

func (r *run) ended(e end) {
	j := e.task.job
	j.running = nil
	r.result.WorkLostCoreHours += e.lost / 3600
	if e.state == structs.StateFinished {
		j.ended = true
		r.result.count(j)
		r.outcomes = append(r.outcomes, policy.Outcome{Work: j.item.Work, Job: j.item.Job, Worker: e.worker.name, Succeeded: true})
		return
	}
	if e.state == structs.StateFailed {
		if !slices.Contains(j.item.FailedOn, e.worker.name) {
			j.item.FailedOn = append(j.item.FailedOn, e.worker.name)
		}
		r.outcomes = append(r.outcomes, policy.Outcome{Work: j.item.Work, Job: j.item.Job, Worker: e.worker.name})
	}
	j.queuedAt = r.now
	r.queue = append(r.queue, j)
}

// report delivers what the request path knows: its load at once, and its
// measurements after the lag.
func (r *run) report() {
	for _, m := range r.fake.machines {
		m.report()
	}
	r.late = append(r.late, lateSamples{r.now + usageLag, r.path.closeWindow()})
	o := policy.Observation{Now: epoch.Add(r.now), Services: r.path.present(), Outcomes: r.outcomes, EndedWithoutOutcome: r.gone}
	for len(r.late) > 0 && r.late[0].at <= r.now {
		o.Services = append(o.Services, r.late[0].samples...)
		r.late = r.late[1:]
	}
	r.decider.Observe(o)
	r.outcomes, r.gone = nil, nil
}

func (r *run) apply(plan scheduler.Plan) {
	if len(plan.Placements)+len(plan.Evictions)+len(plan.Throttles)+len(plan.Refusals) == 0 {
		return
	}
	queued := map[structs.WorkID]*job{}
	for _, j := range r.queue {
		queued[j.item.Work] = j
	}
	for _, refusal := range plan.Refusals {
		if j := queued[refusal.Work]; j != nil {
			j.ended = true
			r.result.Refusals[refusal.Reason]++
			r.dequeue(j)
		}
	}
	for _, p := range plan.Placements {
		if j := queued[p.Work]; j != nil && !j.ended {
			r.startOn(j, p.Worker)
		}
	}
	for _, m := range r.fake.machines {
		for _, t := range m.tasks {
			r.change(t, plan)
		}
	}
}

// startOn starts a job. A placement beyond the declared capacity is a fault of
// the policy and ends the run.
func (r *run) startOn(j *job, worker string) {
	for _, m := range r.fake.machines {
		if m.name != worker {
			continue
		}
		if !m.held().Add(j.item.Size).Fits(m.offered) || !m.up(r.now) {
			panic(fmt.Sprintf("bench: %s placed beyond capacity of %s", j.item.Work, worker))
		}
		j.item.Attempts++
		wasStarted := j.started
		r.fake.start(m, j, structs.NewAttemptID(j.item.Work, j.item.Attempts), r.now)
		if wasStarted {
			r.result.WorkLostCoreHours += j.cores * warmUp.Hours()
		}
		if j.item.Class == structs.ClassUrgent && !wasStarted {
			r.urgent = append(r.urgent, (r.now + startDelay - j.arrive).Seconds())
		}
		r.dequeue(j)
	}
}

func (r *run) change(t *task, plan scheduler.Plan) {
	for _, x := range plan.Throttles {
		if x.Work == t.job.item.Work {
			t.throttle = x.Share
		}
	}
	for _, x := range plan.Evictions {
		if x.Work == t.job.item.Work && t.state == structs.StateRunning {
			r.result.Evictions++
			t.job.item.Evictions++
			r.fake.evict(t, r.now)
		}
	}
}
