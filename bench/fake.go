package bench

import (
	"math/rand/v2"
	"time"

	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// The behaviour of workers.
const (
	startDelay      = 300 * time.Millisecond
	checkpointMin   = 500 * time.Millisecond
	checkpointRange = 900 * time.Millisecond
	checkpointLost  = 0.03 // part of checkpoints that fail
	checkpointEvery = 5 * time.Minute
	warmUp          = 20 * time.Second // without progress after a resume
	memoryRamp      = time.Minute      // until a task uses all its memory
	failsAfter      = 4 * time.Second  // tasks that fail do so early
	usageLag        = 5 * time.Second
	reportEvery     = time.Second
)

// job is one work item with what it truly needs.
type job struct {
	item      scheduler.Item
	kind      int
	arrive    time.Duration
	cancel    time.Duration // zero: never
	cores     float64
	memoryMB  float64
	work      float64 // core seconds
	neverRuns bool

	queuedAt   time.Duration
	started    bool
	done       float64 // core seconds at the last checkpoint
	ended      bool
	running    *task
	firstStart time.Duration
}

// task is one attempt of a job on a worker.
type task struct {
	job       *job
	id        structs.AttemptID
	state     structs.WorkState
	runsAt    time.Duration // start of progress
	began     time.Duration
	progress  float64
	throttle  float64
	stopsAt   time.Duration // end of an eviction
	savedAt   time.Duration
	usedNow   structs.Resources
	reported  structs.Resources
	usageRing [5]structs.Resources
}

// machine is one worker and the runner beside it.
type machine struct {
	name      string
	rack      string
	total     structs.Resources
	offered   structs.Resources // to batch work
	runners   int
	tasks     []*task
	downUntil time.Duration
	failsAll  bool
	busy      float64 // cores used by the service
	load      float64 // part of the service's slots in use
	slowdown  float64 // of the service
	ringAt    int
}

// end is an attempt that ended on its worker.
type end struct {
	task   *task
	worker *machine
	state  structs.WorkState // finished, failed or queued after an eviction
	lost   float64
}

// rackFake is the fake of one rack's workers.
type rackFake struct {
	machines []*machine
	onBatch  [][]float64 // pressure of a kind on another kind
	onServe  []float64   // pressure of a kind on the service
	random   *rand.Rand
}

func (m *machine) up(now time.Duration) bool { return now >= m.downUntil }

// start begins a task; a worker starts whatever it is given.
func (f *rackFake) start(m *machine, j *job, id structs.AttemptID, now time.Duration) {
	t := &task{job: j, id: id, state: structs.StateStarting, began: now + startDelay, runsAt: now + startDelay, progress: j.done, throttle: 1}
	if j.started {
		t.runsAt += warmUp
	}
	t.savedAt = t.began
	j.running = t
	m.tasks = append(m.tasks, t)
}

// evict asks for a checkpoint and a stop.
func (f *rackFake) evict(t *task, now time.Duration) {
	if t.state != structs.StateRunning {
		return
	}
	t.state = structs.StateEvicting
	t.stopsAt = now + checkpointMin + time.Duration(f.random.Float64()*float64(checkpointRange))
}

// fail stops a whole worker and returns its tasks.
func (f *rackFake) fail(m *machine, until time.Duration) []end {
	m.downUntil = until
	var ends []end
	for _, t := range m.tasks {
		ends = append(ends, end{t, m, structs.StateQueued, t.progress - t.job.done})
	}
	m.tasks = nil
	return ends
}

// step advances all workers and returns what ended.
func (f *rackFake) step(now, dt time.Duration) []end {
	var ends []end
	for _, m := range f.machines {
		contention := f.contend(m, now)
		pressure := f.pressures(m, contention)
		m.slowdown = contention * f.serviceFactor(m, pressure)
		for _, t := range m.tasks {
			f.advance(t, pressure, contention, m, now, dt)
		}
		ends = append(ends, f.collect(m, now)...)
	}
	return ends
}

// contend returns how far the demand for processors exceeds the machine.
func (f *rackFake) contend(m *machine, now time.Duration) float64 {
	demand := m.busy
	for _, t := range m.tasks {
		if t.state == structs.StateStarting && now >= t.began {
			t.state = structs.StateRunning
			if !t.job.started {
				t.job.started = true
				t.job.firstStart = t.began
			}
		}
		t.usedNow = structs.Resources{}
		if t.state == structs.StateStarting {
			continue
		}
		ramp := min(1, 0.5+0.5*float64(now-t.began)/float64(memoryRamp))
		t.usedNow = structs.Resources{
			CPUMilli:     int64(1000 * t.job.cores * t.throttle),
			MemoryMB:     int64(t.job.memoryMB * ramp),
			Accelerators: t.job.item.Size.Accelerators,
		}
		demand += t.job.cores * t.throttle
	}
	return max(1, demand*1000/float64(m.total.CPUMilli))
}

// pressures returns the use of each kind as a part of the machine.
func (f *rackFake) pressures(m *machine, contention float64) []float64 {
	use := make([]float64, len(f.onServe))
	for _, t := range m.tasks {
		t.usedNow.CPUMilli = int64(float64(t.usedNow.CPUMilli) / contention)
		use[t.job.kind] += float64(t.usedNow.CPUMilli) / float64(m.total.CPUMilli)
	}
	return use
}

// serviceFactor is the slowdown of the service by its neighbours. It grows
// faster than the pressure, as a shared memory bus does near saturation, and
// with the service's own load.
func (f *rackFake) serviceFactor(m *machine, use []float64) float64 {
	p := 0.0
	for k, u := range use {
		p += f.onServe[k] * u
	}
	return 1 + (0.4+0.8*m.load)*(0.3*p+p*p)
}

func (f *rackFake) advance(t *task, use []float64, contention float64, m *machine, now, dt time.Duration) {
	if now < t.runsAt || t.state == structs.StateStarting {
		return
	}
	own := float64(t.usedNow.CPUMilli) / float64(m.total.CPUMilli)
	slow := 1.0
	for k, u := range use {
		if k == t.job.kind {
			u -= own
		}
		slow += f.onBatch[t.job.kind][k] * u
	}
	t.progress += t.job.cores * t.throttle / contention / slow * dt.Seconds()
	if now-t.savedAt >= checkpointEvery {
		t.job.done, t.savedAt = t.progress, now
	}
}

// collect removes the tasks that ended.
func (f *rackFake) collect(m *machine, now time.Duration) []end {
	var ends []end
	memory := int64(m.runners) * runnerMemoryMB
	var largest *task
	kept := m.tasks[:0]
	for _, t := range m.tasks {
		if e, ended := f.ended(t, m, now); ended {
			ends = append(ends, e)
			continue
		}
		kept = append(kept, t)
		memory += t.usedNow.MemoryMB
		if largest == nil || overrun(t) > overrun(largest) {
			largest = t
		}
	}
	m.tasks = kept
	if memory > m.total.MemoryMB && largest != nil {
		ends = append(ends, end{largest, m, structs.StateFailed, largest.progress - largest.job.done})
		m.remove(largest)
	}
	return ends
}

// runnerMemoryMB is what a runner uses of its reserved memory.
const runnerMemoryMB = 12_000

func overrun(t *task) int64 { return t.usedNow.MemoryMB - t.job.item.Size.MemoryMB }

func (f *rackFake) ended(t *task, m *machine, now time.Duration) (end, bool) {
	running := t.state != structs.StateStarting
	switch {
	case running && (t.job.neverRuns || m.failsAll) && now >= t.began+failsAfter:
		return end{t, m, structs.StateFailed, t.progress - t.job.done}, true
	case running && t.progress >= t.job.work:
		return end{t, m, structs.StateFinished, 0}, true
	case t.state == structs.StateEvicting && now >= t.stopsAt:
		if f.random.Float64() < checkpointLost {
			return end{t, m, structs.StateQueued, t.progress - t.job.done}, true
		}
		t.job.done = t.progress
		return end{t, m, structs.StateQueued, 0}, true
	}
	return end{}, false
}

func (m *machine) remove(t *task) {
	for i := range m.tasks {
		if m.tasks[i] == t {
			m.tasks = append(m.tasks[:i], m.tasks[i+1:]...)
			return
		}
	}
}

// report makes the usage of usageLag ago visible.
func (m *machine) report() {
	for _, t := range m.tasks {
		slot := m.ringAt % len(t.usageRing)
		t.reported = t.usageRing[slot]
		t.usageRing[slot] = t.usedNow
	}
	m.ringAt++
}

// held returns the declared sizes of all tasks.
func (m *machine) held() structs.Resources {
	var sum structs.Resources
	for _, t := range m.tasks {
		sum = sum.Add(t.job.item.Size)
	}
	return sum
}
