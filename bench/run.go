package bench

import (
	"fmt"
	"slices"
	"time"

	"bergamotstile/policy"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// tick is the step of virtual time. The policy plans once in each step.
const tick = 250 * time.Millisecond

// virtualStart is the time that the policy sees at virtual time zero.
var virtualStart = time.Unix(1_700_000_000, 0)

// run is the state of one simulated run of a policy.
type run struct {
	deployment        deployment
	options           Options
	workload          *workload
	rack              *simulatedRack
	requestPath       *requestPath
	policy            measuredPolicy
	now               time.Duration // virtual time since the start of the run
	arrivedCount      int           // number of jobs of the workload that have arrived
	queue             []*job
	outcomes          []policy.Outcome   // not yet reported to the policy
	cancelled         []structs.WorkID   // not yet reported to the policy
	delayedSamples    []delayedSamples   // not yet reported to the policy, oldest first
	result            Result             // result so far
	urgentStartWaitsS []float64          // time from arrival to start of each urgent job, in seconds
	workerBuffer      []scheduler.Worker // reused by each snapshot
	itemBuffer        []scheduler.Item   // reused by each snapshot
}

// delayedSamples holds measurements that the policy receives at deliverAt.
type delayedSamples struct {
	deliverAt time.Duration
	samples   []policy.ServiceSample
}

// Run simulates one policy on the workload of one seed and returns what it
// measured. It panics if the policy places an item on a worker that is down or
// lacks the capacity.
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
	return r.summarise(), nil
}

// newRun returns a run at virtual time zero with its machines and runners.
func newRun(d deployment, o Options) *run {
	r := &run{deployment: d, options: o, workload: newWorkload(d, o.Seed, o.Duration)}
	r.result = Result{Deployment: d.name, Policy: o.Policy, Seed: o.Seed, Refusals: map[structs.Reason]int{}}
	r.rack = &simulatedRack{batchPressure: r.workload.batchPressure, servicePressure: r.workload.servicePressure, random: newRandom(o.Seed, 7)}
	var runners []*runner
	for i := range d.workers {
		m := &machine{name: fmt.Sprintf("w%02d", i), rack: "rack-0", capacity: d.machineCapacity, serviceSlowdown: 1}
		if i >= d.acceleratedWorkers {
			m.capacity.Accelerators = 0
		}
		runnerCount := runnerCountBeside(d, o.Policy, i)
		runners = append(runners, newRunners(m, runnerCount, d.slotsPerRunner)...)
		m.batchCapacity = remainingCapacity(d, m.capacity, runnerCount)
		r.rack.machines = append(r.rack.machines, m)
	}
	r.requestPath = newRequestPath(d, r.workload.baseServiceMS, runners, o.Seed)
	r.policy = newPolicy(d, o)
	return r
}

// runnerCountBeside returns the number of runners beside worker i. Under
// PolicySeparate the runners share the last machines, because the first ones have
// the accelerators, which only batch work uses.
func runnerCountBeside(d deployment, policyName string, i int) int {
	switch {
	case policyName != PolicySeparate:
		return 1
	case i < d.workers-d.dedicatedWorkers:
		return 0
	default:
		return d.workers / d.dedicatedWorkers
	}
}

// newPolicy returns the policy that the options name. PolicySeparate places batch
// work only on machines without runners, which offer all their processors.
func newPolicy(d deployment, o Options) measuredPolicy {
	switch o.Policy {
	case PolicyBestFit:
		return &baseline{}
	case PolicySeparate:
		return &baseline{allowsPlacement: func(_ *scheduler.Item, node *scheduler.Node) bool {
			return node.Capacity.CPUMilli == d.machineCapacity.CPUMilli
		}}
	case PolicyThreshold:
		return newThresholdPolicy(d)
	}
	return policy.New(policySettings(d, o.Disabled))
}

// step advances the run by one tick and carries out the plan that the policy
// makes at the end of the tick.
func (r *run) step() {
	r.now += tick
	r.injectFaults()
	r.processArrivals()
	r.requestPath.serveUntil(r.now, r.workload.serviceLoadAt(r.now))
	for _, e := range r.rack.step(r.now, tick) {
		r.handleEnd(e)
	}
	if r.now%reportInterval == 0 {
		r.reportToPolicy()
	}
	r.applyPlan(r.policy.Schedule(r.snapshot()))
}

// injectFaults applies the faults that are due. A shift of pressure doubles the
// pressure of a kind on the service or, every second time, halves it.
func (r *run) injectFaults() {
	for _, failure := range r.workload.workerFailures {
		if isDue(failure.from, r.now) {
			// The runner with the machine's index goes down, even if it is
			// beside another machine as under PolicySeparate. Each policy thus
			// loses the same part of the service.
			index := int(failure.value)
			r.requestPath.runners[index].downUntil = failure.to
			for _, e := range r.rack.failMachine(r.rack.machines[index], failure.to) {
				r.handleEnd(e)
			}
		}
	}
	failingMachine := r.rack.machines[int(r.workload.failingWorker.value)]
	failingMachine.failsAllTasks = r.workload.failingWorker.from <= r.now && r.now < r.workload.failingWorker.to
	for i, shift := range r.workload.pressureShifts {
		if isDue(shift.from, r.now) {
			factor := 2.0
			if i%2 == 1 {
				factor = 0.5
			}
			r.workload.servicePressure[int(shift.value)] *= factor
		}
	}
}

// isDue reports whether at lies in the step that ends now.
func isDue(at, now time.Duration) bool {
	return at <= now && at > now-tick
}

// processArrivals queues the jobs that have arrived and cancels those whose
// cancellation is due.
func (r *run) processArrivals() {
	for r.arrivedCount < len(r.workload.jobs) && r.workload.jobs[r.arrivedCount].arrivesAt <= r.now {
		j := r.workload.jobs[r.arrivedCount]
		j.queuedAt = j.arrivesAt
		r.queue = append(r.queue, j)
		r.arrivedCount++
	}
	for _, j := range r.workload.jobs[:r.arrivedCount] {
		if j.cancelAt > 0 && !j.hasEnded && isDue(j.cancelAt, r.now) {
			r.cancelJob(j)
		}
	}
}

// cancelJob removes a job from the queue, or its task from the machine that runs
// it.
func (r *run) cancelJob(j *job) {
	j.hasEnded = true
	r.cancelled = append(r.cancelled, j.item.Work)
	if j.currentTask == nil {
		r.removeFromQueue(j)
		return
	}
	for _, m := range r.rack.machines {
		m.removeTask(j.currentTask)
	}
	j.currentTask = nil
}

// removeFromQueue removes a job from the queue if the queue contains it.
func (r *run) removeFromQueue(j *job) {
	if i := slices.Index(r.queue, j); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
	}
}

// handleEnd records the end of a task. A job that has not finished returns to the
// queue, also after a failure.
func (r *run) handleEnd(e attemptEnd) {
	j := e.task.job
	j.currentTask = nil
	r.result.WorkLostCoreHours += e.lostCoreS / 3600
	if e.state == structs.StateFinished {
		j.hasEnded = true
		r.result.count(j)
		r.outcomes = append(r.outcomes, policy.Outcome{Work: j.item.Work, Job: j.item.Job, Worker: e.machine.name, Succeeded: true})
		return
	}
	if e.state == structs.StateFailed {
		if !slices.Contains(j.item.FailedOn, e.machine.name) {
			j.item.FailedOn = append(j.item.FailedOn, e.machine.name)
		}
		r.outcomes = append(r.outcomes, policy.Outcome{Work: j.item.Work, Job: j.item.Job, Worker: e.machine.name})
	}
	j.queuedAt = r.now
	r.queue = append(r.queue, j)
}

// reportToPolicy sends an observation to the policy. It contains the current load
// of the runners, the latencies measured usageLag ago, and the outcomes and
// cancellations since the previous report.
func (r *run) reportToPolicy() {
	for _, m := range r.rack.machines {
		m.reportUse()
	}
	r.delayedSamples = append(r.delayedSamples, delayedSamples{r.now + usageLag, r.requestPath.closeWindows()})
	o := policy.Observation{Now: virtualStart.Add(r.now), Services: r.requestPath.loadSamples(), Outcomes: r.outcomes, EndedWithoutOutcome: r.cancelled}
	for len(r.delayedSamples) > 0 && r.delayedSamples[0].deliverAt <= r.now {
		o.Services = append(o.Services, r.delayedSamples[0].samples...)
		r.delayedSamples = r.delayedSamples[1:]
	}
	r.policy.Observe(o)
	r.outcomes, r.cancelled = nil, nil
}

// applyPlan carries out a plan: first the refusals, then the placements, and then
// the throttles and evictions.
func (r *run) applyPlan(plan scheduler.Plan) {
	if len(plan.Placements)+len(plan.Evictions)+len(plan.Throttles)+len(plan.Refusals) == 0 {
		return
	}
	queued := map[structs.WorkID]*job{}
	for _, j := range r.queue {
		queued[j.item.Work] = j
	}
	for _, refusal := range plan.Refusals {
		if j := queued[refusal.Work]; j != nil {
			j.hasEnded = true
			r.result.Refusals[refusal.Reason]++
			r.removeFromQueue(j)
		}
	}
	for _, p := range plan.Placements {
		if j := queued[p.Work]; j != nil && !j.hasEnded {
			r.startJob(j, p.Worker)
		}
	}
	for _, m := range r.rack.machines {
		for _, t := range m.tasks {
			r.applyPlanToTask(t, plan)
		}
	}
}

// startJob starts a queued job on the named worker. It panics if the worker is
// down or if its tasks would declare more than its capacity, because such a
// placement is a fault of the policy.
func (r *run) startJob(j *job, worker string) {
	for _, m := range r.rack.machines {
		if m.name != worker {
			continue
		}
		if !m.allocated().Add(j.item.Size).Fits(m.batchCapacity) || !m.isUp(r.now) {
			panic(fmt.Sprintf("bench: %s was placed on %s, which is down or lacks the capacity", j.item.Work, worker))
		}
		j.item.Attempts++
		wasStarted := j.hasStarted
		r.rack.startTask(m, j, structs.NewAttemptID(j.item.Work, j.item.Attempts), r.now)
		if wasStarted {
			r.result.WorkLostCoreHours += j.cores * warmUpTime.Hours()
		}
		if j.item.Class == structs.ClassUrgent && !wasStarted {
			r.urgentStartWaitsS = append(r.urgentStartWaitsS, (r.now + startDelay - j.arrivesAt).Seconds())
		}
		r.removeFromQueue(j)
	}
}

// applyPlanToTask carries out the plan's throttles and evictions of one task.
func (r *run) applyPlanToTask(t *task, plan scheduler.Plan) {
	for _, throttle := range plan.Throttles {
		if throttle.Work == t.job.item.Work {
			t.throttleShare = throttle.Share
		}
	}
	for _, eviction := range plan.Evictions {
		if eviction.Work == t.job.item.Work && t.state == structs.StateRunning {
			r.result.Evictions++
			t.job.item.Evictions++
			r.rack.beginEviction(t, r.now)
		}
	}
}
