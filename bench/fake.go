package bench

import (
	"math/rand/v2"
	"time"

	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// Properties of the simulated workers.
const (
	startDelay = 300 * time.Millisecond // from the placement to the start of a task
	// The checkpoint of an eviction takes minCheckpointTime plus a random part of
	// checkpointTimeRange.
	minCheckpointTime      = 500 * time.Millisecond
	checkpointTimeRange    = 900 * time.Millisecond
	checkpointFailureShare = 0.03             // part of the checkpoints of evictions that fail
	checkpointInterval     = 5 * time.Minute  // between the checkpoints of a task that keeps running
	warmUpTime             = 20 * time.Second // without progress after every start but the first
	memoryRampTime         = time.Minute      // from the start of a task, with half its memory, until it uses all of it
	failureDelay           = 4 * time.Second  // from the start of a task that fails to the failure
	usageLag               = 5 * time.Second  // age of reported use and of measured latencies
	reportInterval         = time.Second
)

// job is one work item, with its real needs and its state. The policy sees only
// the item, which holds the declared values.
type job struct {
	item      scheduler.Item
	kindIndex int           // index in deployment.kinds
	arrivesAt time.Duration // virtual time, as all times of jobs, tasks and machines
	cancelAt  time.Duration // zero: the job is not cancelled
	cores     float64       // cores used without a throttle
	memoryMB  float64       // memory used after memoryRampTime
	workCoreS float64       // core seconds until the job finishes
	neverRuns bool          // every task of the job fails

	queuedAt    time.Duration // time of the latest entry into the queue
	hasStarted  bool
	savedCoreS  float64       // progress at the latest checkpoint, in core seconds
	hasEnded    bool          // finished, cancelled or refused
	currentTask *task         // nil while no task of the job runs
	firstStart  time.Duration // time at which the first task of the job started
}

// task is one attempt of a job on a worker.
type task struct {
	job            *job
	id             structs.AttemptID
	state          structs.WorkState
	progressesFrom time.Duration // startsAt, plus warmUpTime if the job started before
	startsAt       time.Duration
	progressCoreS  float64              // progress of the job, in core seconds
	throttleShare  float64              // share of its cores that the task may use, 0 to 1
	evictionEndsAt time.Duration        // end of the checkpoint of an eviction
	checkpointedAt time.Duration        // time of the latest checkpoint, or startsAt
	currentUse     structs.Resources    // use in this step
	reportedUse    structs.Resources    // use as the policy sees it, which is usageLag old
	recentUse      [5]structs.Resources // ring of the uses at the latest reports, which span usageLag
}

// machine is one worker and the runners beside it.
type machine struct {
	name            string
	rack            string
	capacity        structs.Resources
	batchCapacity   structs.Resources // capacity that is not reserved for runners
	runnerCount     int
	tasks           []*task
	downUntil       time.Duration // the machine is down before this time
	failsAllTasks   bool
	serviceCores    float64 // cores that the service demands
	serviceLoad     float64 // part of the runners' slots in use, 0 to 1
	serviceSlowdown float64 // ratio of the service time to that without interference and contention
	reportCount     int
}

// attemptEnd describes a task that ended on a machine.
type attemptEnd struct {
	task    *task
	machine *machine
	// state is the state of the work item after the end: finished, failed, or
	// queued after an eviction or a failure of the machine.
	state structs.WorkState
	// lostCoreS is the progress since the latest checkpoint if it was lost, in core
	// seconds.
	lostCoreS float64
}

// simulatedRack simulates the machines of one rack and their tasks.
type simulatedRack struct {
	machines []*machine
	// batchPressure holds the pressure of batch kinds on batch kinds, by the index
	// of the slowed kind and then of the kind that slows it.
	batchPressure   [][]float64
	servicePressure []float64 // pressure on the service, by the index of the batch kind
	random          *rand.Rand
}

// isUp reports whether the machine is up. Only a failure takes it down.
func (m *machine) isUp(now time.Duration) bool { return now >= m.downUntil }

// startTask starts a task of the job on the machine, which does not check whether
// it has the capacity. The task runs after startDelay and resumes from the job's
// latest checkpoint.
func (r *simulatedRack) startTask(m *machine, j *job, id structs.AttemptID, now time.Duration) {
	t := &task{job: j, id: id, state: structs.StateStarting, startsAt: now + startDelay, progressesFrom: now + startDelay, progressCoreS: j.savedCoreS, throttleShare: 1}
	if j.hasStarted {
		t.progressesFrom += warmUpTime
	}
	t.checkpointedAt = t.startsAt
	j.currentTask = t
	m.tasks = append(m.tasks, t)
}

// beginEviction makes a running task write a checkpoint and then stop.
func (r *simulatedRack) beginEviction(t *task, now time.Duration) {
	if t.state != structs.StateRunning {
		return
	}
	t.state = structs.StateEvicting
	t.evictionEndsAt = now + minCheckpointTime + time.Duration(r.random.Float64()*float64(checkpointTimeRange))
}

// failMachine takes a machine down until the given time. All its tasks end and
// lose the progress since their latest checkpoint.
func (r *simulatedRack) failMachine(m *machine, until time.Duration) []attemptEnd {
	m.downUntil = until
	var ends []attemptEnd
	for _, t := range m.tasks {
		ends = append(ends, attemptEnd{t, m, structs.StateQueued, t.progressCoreS - t.job.savedCoreS})
	}
	m.tasks = nil
	return ends
}

// step advances all machines by dt to the time now and returns the tasks that
// ended.
func (r *simulatedRack) step(now, dt time.Duration) []attemptEnd {
	var ends []attemptEnd
	for _, m := range r.machines {
		contention := r.updateUse(m, now)
		kindUse := r.applyContention(m, contention)
		m.serviceSlowdown = contention * r.serviceInterference(m, kindUse)
		for _, t := range m.tasks {
			r.advanceTask(t, kindUse, contention, m, now, dt)
		}
		ends = append(ends, r.removeEndedTasks(m, now)...)
	}
	return ends
}

// updateUse marks tasks as running that are due to start, and sets the use of
// each task to what it would use without contention. It returns the contention:
// the ratio of the demanded to the existing cores of the machine, at least 1.
func (r *simulatedRack) updateUse(m *machine, now time.Duration) float64 {
	demand := m.serviceCores
	for _, t := range m.tasks {
		if t.state == structs.StateStarting && now >= t.startsAt {
			t.state = structs.StateRunning
			if !t.job.hasStarted {
				t.job.hasStarted = true
				t.job.firstStart = t.startsAt
			}
		}
		t.currentUse = structs.Resources{}
		if t.state == structs.StateStarting {
			continue
		}
		ramp := min(1, 0.5+0.5*float64(now-t.startsAt)/float64(memoryRampTime))
		t.currentUse = structs.Resources{
			CPUMilli:     int64(1000 * t.job.cores * t.throttleShare),
			MemoryMB:     int64(t.job.memoryMB * ramp),
			Accelerators: t.job.item.Size.Accelerators,
		}
		demand += t.job.cores * t.throttleShare
	}
	return max(1, demand*1000/float64(m.capacity.CPUMilli))
}

// applyContention divides the cores that each task uses by the contention. It
// returns the use of processors by kind, as a part of the machine's processors.
func (r *simulatedRack) applyContention(m *machine, contention float64) []float64 {
	kindUse := make([]float64, len(r.servicePressure))
	for _, t := range m.tasks {
		t.currentUse.CPUMilli = int64(float64(t.currentUse.CPUMilli) / contention)
		kindUse[t.job.kindIndex] += float64(t.currentUse.CPUMilli) / float64(m.capacity.CPUMilli)
	}
	return kindUse
}

// serviceInterference returns the factor by which the batch tasks on a machine
// slow its service, apart from contention for processors. The slowdown grows
// faster than the pressure, as that of a shared memory bus does near saturation,
// and it grows with the load of the service.
func (r *simulatedRack) serviceInterference(m *machine, kindUse []float64) float64 {
	pressure := 0.0
	for k, u := range kindUse {
		pressure += r.servicePressure[k] * u
	}
	return 1 + (0.4+0.8*m.serviceLoad)*(0.3*pressure+pressure*pressure)
}

// advanceTask adds the progress of a running task during dt. Contention, the
// throttle and the pressure of the machine's other batch tasks slow it. The task
// writes a checkpoint each checkpointInterval.
func (r *simulatedRack) advanceTask(t *task, kindUse []float64, contention float64, m *machine, now, dt time.Duration) {
	if now < t.progressesFrom || t.state == structs.StateStarting {
		return
	}
	ownUse := float64(t.currentUse.CPUMilli) / float64(m.capacity.CPUMilli)
	slowdown := 1.0
	for k, u := range kindUse {
		if k == t.job.kindIndex {
			u -= ownUse
		}
		slowdown += r.batchPressure[t.job.kindIndex][k] * u
	}
	t.progressCoreS += t.job.cores * t.throttleShare / contention / slowdown * dt.Seconds()
	if now-t.checkpointedAt >= checkpointInterval {
		t.job.savedCoreS, t.checkpointedAt = t.progressCoreS, now
	}
}

// removeEndedTasks removes the tasks that ended from the machine and returns
// them. If the remaining tasks and the runners use more memory than the machine
// has, the task that exceeds its declared memory most fails as well.
func (r *simulatedRack) removeEndedTasks(m *machine, now time.Duration) []attemptEnd {
	var ends []attemptEnd
	memoryMB := int64(m.runnerCount) * runnerMemoryMB
	var largestOverrun *task
	kept := m.tasks[:0]
	for _, t := range m.tasks {
		if e, ended := r.endOfTask(t, m, now); ended {
			ends = append(ends, e)
			continue
		}
		kept = append(kept, t)
		memoryMB += t.currentUse.MemoryMB
		if largestOverrun == nil || memoryOverrunMB(t) > memoryOverrunMB(largestOverrun) {
			largestOverrun = t
		}
	}
	m.tasks = kept
	if memoryMB > m.capacity.MemoryMB && largestOverrun != nil {
		ends = append(ends, attemptEnd{largestOverrun, m, structs.StateFailed, largestOverrun.progressCoreS - largestOverrun.job.savedCoreS})
		m.removeTask(largestOverrun)
	}
	return ends
}

// runnerMemoryMB is the memory that a runner uses, which is less than the memory
// reserved for it.
const runnerMemoryMB = 12_000

// memoryOverrunMB returns the memory that a task uses beyond its declared size. It
// is negative if the task uses less.
func memoryOverrunMB(t *task) int64 { return t.currentUse.MemoryMB - t.job.item.Size.MemoryMB }

// endOfTask returns how a task ends in this step, or false if it goes on. The
// checkpoint of an eviction may fail; the progress since the checkpoint before is
// then lost.
func (r *simulatedRack) endOfTask(t *task, m *machine, now time.Duration) (attemptEnd, bool) {
	running := t.state != structs.StateStarting
	switch {
	case running && (t.job.neverRuns || m.failsAllTasks) && now >= t.startsAt+failureDelay:
		return attemptEnd{t, m, structs.StateFailed, t.progressCoreS - t.job.savedCoreS}, true
	case running && t.progressCoreS >= t.job.workCoreS:
		return attemptEnd{t, m, structs.StateFinished, 0}, true
	case t.state == structs.StateEvicting && now >= t.evictionEndsAt:
		if r.random.Float64() < checkpointFailureShare {
			return attemptEnd{t, m, structs.StateQueued, t.progressCoreS - t.job.savedCoreS}, true
		}
		t.job.savedCoreS = t.progressCoreS
		return attemptEnd{t, m, structs.StateQueued, 0}, true
	}
	return attemptEnd{}, false
}

// removeTask removes a task from the machine if the machine runs it.
func (m *machine) removeTask(t *task) {
	for i := range m.tasks {
		if m.tasks[i] == t {
			m.tasks = append(m.tasks[:i], m.tasks[i+1:]...)
			return
		}
	}
}

// reportUse sets the reported use of each task to the use that it had usageLag
// ago. It must be called once each reportInterval.
func (m *machine) reportUse() {
	for _, t := range m.tasks {
		slot := m.reportCount % len(t.recentUse)
		t.reportedUse = t.recentUse[slot]
		t.recentUse[slot] = t.currentUse
	}
	m.reportCount++
}

// allocated returns the sum of the declared sizes of all tasks on the machine.
func (m *machine) allocated() structs.Resources {
	var sum structs.Resources
	for _, t := range m.tasks {
		sum = sum.Add(t.job.item.Size)
	}
	return sum
}
