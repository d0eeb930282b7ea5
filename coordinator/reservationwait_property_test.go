package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// Rules of the platform for long-running jobs beside free capacity.
const (
	// allowedAway is how long after the end of its last run a task of a begun long-running job may
	// be without a run, in addition to allowedIdle.
	allowedAway = 6 * time.Second
	// maxTestLatency leaves a few calls their time within allowedIdle.
	maxTestLatency = 300 * time.Millisecond
	// silenceUntilExpiry is how long after a runner was lost its leases have expired.
	silenceUntilExpiry = 8600 * time.Millisecond
)

// reservationSimulation plays bursts of plain work, new long-running jobs and lost runners against
// a Core, on a fleet whose runners are simulated.
type reservationSimulation struct {
	*coreHarness
	random   *rand.Rand
	runners  []*fleetRunner
	jobs     []*watchedJob
	nextJob  int
	latency  time.Duration // of each message between the coordinator and a runner
	messages []delayedMessage
	worst    time.Duration // longest wait of a long-running job or task beside twice its capacity
	measured int           // rounds in which one waited beside twice its capacity
}

// delayedMessage is a message that arrives at a time.
type delayedMessage struct {
	at    time.Duration
	apply func()
}

// send lets a message arrive after the latency.
func (sim *reservationSimulation) send(apply func()) {
	sim.messages = append(sim.messages, delayedMessage{sim.now + sim.latency, apply})
}

// deliver applies the messages that have arrived.
func (sim *reservationSimulation) deliver() {
	for len(sim.messages) > 0 && sim.messages[0].at <= sim.now {
		message := sim.messages[0]
		sim.messages = sim.messages[1:]
		message.apply()
	}
}

// fleetRunner is a runner and the runs on it.
type fleetRunner struct {
	info   RunnerInfo
	lostAt time.Duration // zero while it answers
	isGone bool          // its leases have expired
	number int           // of its last result
	runs   map[jobs.TaskID]fleetRun
}

type fleetRun struct {
	endsAt time.Duration // zero for a long-running task
	number int
	cpu    int64
}

// watchedJob is a long-running job whose waits are measured.
type watchedJob struct {
	id    jobs.ID
	count int
	cpu   int64
	// waitsSince holds since when each task waits beside capacity for twice the job; the entry -1 is
	// for the whole job while it has not begun.
	waitsSince map[int]time.Duration
	// lastRunEnd holds when the last run of each task ended.
	lastRunEnd map[int]time.Duration
	hasBegun   bool
}

func (sim *reservationSimulation) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(sim.random.Int64N(int64(longest-shortest)+1))
}

// newReservationSimulation returns a simulation with a fleet of random size.
func newReservationSimulation(t *testing.T, seed uint64) *reservationSimulation {
	sim := &reservationSimulation{random: rand.New(rand.NewPCG(seed, 45))}
	sim.latency = sim.between(0, maxTestLatency)
	var infos []RunnerInfo
	for i := range 1 + sim.random.IntN(24) {
		cpu := []int64{8000, 16_000, 32_000, 64_000}[sim.random.IntN(4)]
		info := testRunner(fmt.Sprintf("r%02d", i), cpu)
		info.Incarnation = 1
		infos = append(infos, info)
		sim.runners = append(sim.runners, &fleetRunner{info: info, runs: map[jobs.TaskID]fleetRun{}})
	}
	sim.coreHarness = newCoreHarness(t, infos...)
	return sim
}

// capacity returns the processors of all runners that answer.
func (sim *reservationSimulation) capacity() int64 {
	var sum int64
	for _, r := range sim.runners {
		if r.lostAt == 0 {
			sum += r.info.Capacity.CPUMilli
		}
	}
	return sum
}

func (r *fleetRunner) used() int64 {
	var sum int64
	for _, run := range r.runs {
		sum += run.cpu
	}
	return sum
}

// nextID returns the ID of a new job.
func (sim *reservationSimulation) nextID() jobs.ID {
	sim.nextJob++
	return jobs.ID(fmt.Sprintf("%016x", sim.nextJob))
}

// addBurst adds plain jobs that ask for a multiple of the whole capacity.
func (sim *reservationSimulation) addBurst(multiple float64) {
	cpu := int64(500 + sim.random.IntN(4000))
	tasks := int(multiple * float64(sim.capacity()) / float64(cpu))
	for tasks > 0 {
		step := plainStep(min(tasks, 1+sim.random.IntN(40)), cpu)
		step.Estimate = sim.between(100*time.Millisecond, 3*time.Second)
		sim.addJob(sim.nextID(), false, step)
		tasks -= step.Count
	}
}

// addLongRunning adds a long-running job whose waits are measured. One in three is large.
func (sim *reservationSimulation) addLongRunning() {
	maxCount, maxCPU := 8, 8000
	if sim.random.IntN(3) == 0 {
		maxCount, maxCPU = 24, 24_000
	}
	j := &watchedJob{id: sim.nextID(), count: 1 + sim.random.IntN(maxCount), cpu: int64(500 + sim.random.IntN(maxCPU)), waitsSince: map[int]time.Duration{}, lastRunEnd: map[int]time.Duration{}}
	sim.addJob(j.id, false, standingStep(j.count, j.cpu))
	sim.jobs = append(sim.jobs, j)
}

// lose makes a runner that answers silent for good.
func (sim *reservationSimulation) lose() {
	r := sim.runners[sim.random.IntN(len(sim.runners))]
	if r.lostAt > 0 || len(sim.runners) == 1 {
		return
	}
	r.lostAt = sim.now
	for task := range r.runs {
		for _, j := range sim.jobs {
			if j.id == task.Job {
				j.lastRunEnd[task.Index] = sim.now
			}
		}
	}
	clear(r.runs)
}

// carryOut carries out the orders on runners that answer.
func (sim *reservationSimulation) carryOut(orders []Order) {
	for _, order := range orders {
		i := slices.IndexFunc(sim.runners, func(r *fleetRunner) bool { return r.info.ID == order.Runner })
		if order.Kind == Start {
			sim.send(func() { sim.start(sim.runners[i], order) })
		}
	}
}

// start carries out a start on a runner that answers.
func (sim *reservationSimulation) start(r *fleetRunner, order Order) {
	if r.lostAt > 0 {
		return
	}
	step := &sim.core.jobs[order.Task.Job].Spec.Steps[0]
	run := fleetRun{number: order.Run, cpu: step.Resources.CPUMilli}
	if !step.LongRunning {
		run.endsAt = sim.now + step.Estimate
	}
	r.runs[order.Task] = run
	sim.send(func() { sim.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, sim.now) })
}

// pollRunners passes on the reports of the runners, and the expiry of the leases of lost ones. The
// report of each runner may be late.
func (sim *reservationSimulation) pollRunners() {
	for _, r := range sim.runners {
		silence := sim.now - r.lostAt
		switch {
		case r.isGone:
		case r.lostAt > 0 && silence > silenceUntilExpiry:
			r.isGone = true
			sim.core.ExpireRunnerLeases(r.info.ID, sim.now)
		case r.lostAt > 0 && silence > time.Second:
			sim.core.MarkRunnerSilent(r.info.ID)
			sim.core.MarkRunnerUnregistered(r.info.ID, sim.now)
		case r.lostAt == 0 && sim.random.IntN(3) > 0:
			report := r.report(sim.now - sim.latency)
			sim.send(func() { sim.core.ApplyReport(report, sim.now) })
		}
	}
}

// report returns the report of a runner in answer to a poll that was sent at a time. Runs that have
// ended are removed.
func (r *fleetRunner) report(sent time.Duration) Report {
	report := Report{Runner: r.info.ID, Incarnation: 1, Sent: sent}
	for task, run := range r.runs {
		if run.endsAt > 0 && run.endsAt <= sent {
			r.number++
			report.Ended = append(report.Ended, RunResult{Number: r.number, Task: task, Run: run.number, Kind: EndedDone})
			delete(r.runs, task)
			continue
		}
		report.Running = append(report.Running, RunStatus{Task: task, Run: run.number, Percent: 100})
	}
	return report
}

// measure updates since when long-running jobs and tasks wait beside capacity for twice the job
// while under half of the capacity is in use. A task that was started on a lost runner does not count
// until the leases there have expired: it may run, and no reservation keeps it waiting.
func (sim *reservationSimulation) measure() {
	var used int64
	for _, r := range sim.runners {
		used += r.used()
	}
	for _, j := range sim.jobs {
		places := 0
		for _, r := range sim.runners {
			if r.lostAt == 0 {
				places += int((r.info.Capacity.CPUMilli - r.used()) / j.cpu)
			}
		}
		hasRoom := places >= 2*j.count && 2*used < sim.capacity()
		for index := range j.count {
			isRunning := sim.runsOrIsLost(taskID(j.id, 0, index))
			j.hasBegun = j.hasBegun || isRunning
			since, known := j.lastRunEnd[index]
			sim.track(j, index, known && hasRoom && !isRunning && sim.now-since > allowedAway)
		}
		sim.track(j, -1, !j.hasBegun && hasRoom)
	}
}

// runsOrIsLost reports whether a task runs, or may run on a lost runner.
func (sim *reservationSimulation) runsOrIsLost(task jobs.TaskID) bool {
	for _, run := range sim.core.jobs[task.Job].runs[task] {
		i := slices.IndexFunc(sim.runners, func(r *fleetRunner) bool { return r.info.ID == run.runner.ID })
		_, runs := sim.runners[i].runs[task]
		if runs || sim.runners[i].lostAt > 0 {
			return true
		}
	}
	return false
}

// track records that a state of a job or of one of its tasks holds or does not.
func (sim *reservationSimulation) track(j *watchedJob, index int, waits bool) {
	j.waitsSince[index] = startOfState(j.waitsSince[index], waits, sim.now)
	if waits {
		sim.measured++
		sim.worst = max(sim.worst, sim.now-j.waitsSince[index])
	}
}

// Guards against a reservation that keeps a long-running job or task waiting beside free capacity
// for longer than the platform allows, whatever bursts, losses of runners and pauses between
// rounds came before.
func TestReservationsHoldNoLongRunningWorkBackBesideAnIdleFleet(t *testing.T) {
	const length, settle = 30 * time.Second, 30 * time.Second
	measured, worst := 0, time.Duration(0)
	seeds := []uint64{341, 971, 1021, 1195} // that failed before
	for seed := range uint64(250) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		sim := newReservationSimulation(t, seed)
		sim.addLongRunning()
		for began := sim.now; sim.now-began < length+settle; {
			sim.now += sim.between(10*time.Millisecond, 250*time.Millisecond)
			sim.core.SetStoreClock(sim.now, sim.now+sim.between(0, time.Second))
			if sim.now-began < length {
				switch n := sim.random.IntN(60); {
				case n < 2:
					sim.addBurst(0.2 + 4*sim.random.Float64())
				case n < 3 && len(sim.jobs) < 4:
					sim.addLongRunning()
				case n < 6:
					sim.lose()
				}
			}
			sim.deliver()
			sim.pollRunners()
			sim.core.Schedule(sim.now, 0)
			sim.carryOut(sim.core.TakeOrders())
			sim.measure()
		}
		measured += sim.measured
		worst = max(worst, sim.worst)
		if sim.worst > allowedIdle {
			t.Errorf("seed %d: long-running work waited %v beside twice its capacity, allowed are %v", seed, sim.worst, allowedIdle)
		}
	}
	t.Logf("the longest wait was %v", worst)
	if measured < 1000 {
		t.Errorf("%d rounds of waits beside free capacity show too little", measured)
	}
}
