package coordinator

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/durations"
	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// phase is where a run stands.
type phase uint8

const (
	starting phase = iota // ordered, not known to run
	running
	stopping
)

// run is one start of a task on a runner. It holds capacity there until its end
// is proved.
type run struct {
	job        *job
	task       jobs.TaskID
	number     int
	runner     *runner
	step       *jobs.Step
	work       *work             // nil if the step is not open
	kind       interference.Kind // of the step's image
	precedence precedence        // as of the runner's last report, if it fills
	phase      phase
	settled    *atomic.Bool // ends the repetition of its last order
	began      time.Duration
	workMeter  workMeter
	// adopted is when a predecessor's run was first listed here, zero for own
	// ones; located is set once only this coordinator can see its end.
	adopted time.Duration
	located bool
	// confirmed is when the last order for the run was answered.
	confirmed time.Duration
	percent   int
	// savedPercent is the progress when saved, the newest checkpoint, appeared.
	savedPercent int
	saved        string
	// moved is when percent last changed.
	moved time.Duration
	load  int
	pace  int           // percent of its full speed
	paced time.Duration // when pace last passed stuckPace
	// over is since when a serving task has been over its target; zero if it
	// is not.
	over time.Duration
	// ownPressure is the disturbance by a serving task's own load, once measured.
	ownPressure float64
	measured    bool
}

// job is an accepted job with its runs.
type job struct {
	*jobs.Job
	queue jobs.Queue
	// objective is when the job should be completed, on the store's clock.
	objective time.Duration
	allowed   time.Duration // from acceptance to objective
	work      map[[2]int]*work
	runs      map[jobs.TaskID][]*run
	begun     bool  // a task has started, see begin
	left      int64 // estimated work left, in milliseconds of a processor
	// estimates are the expected times of the steps' tasks; measured are those
	// steps' that have been seen at work, else zero.
	estimates, measured []time.Duration
	// inherited jobs may have runs that a predecessor started.
	inherited bool
	// preemptions counts how often each task was stopped for more important work.
	preemptions map[jobs.TaskID]int
}

// work is a step of an occurrence whose turn has come.
type work struct {
	job        *job
	number     int // of the occurrence
	index      int // of the step
	step       *jobs.Step
	kind       interference.Kind // of the step's image
	pending    []int             // tasks to start
	since      time.Duration     // when a task was first pending
	onRunner   map[*runner]int
	listed     bool // in Core.waiting
	advice     policyAdvice
	precedence precedence    // as of the present round
	chainLeft  time.Duration // estimated rest of the chain
	taskTimes  taskTimes
	wait       logThrottle
	// starved is set if the job needs something running at once.
	starved bool
	// openedHere is set if only this coordinator has seen the end that opened the step.
	openedHere bool
	// located are pending tasks whose last run only this coordinator saw end.
	located map[int]struct{}
	// lastChance is set while a task is placed whose next failure would be the
	// last.
	lastChance bool
	// absent are the tasks that are not at work, of a step with a disruption
	// budget.
	absent map[int]absence
	claims int // room that is kept for the step's tasks, see claim
}

// Core is the state of the coordinator. Its methods are called by one
// goroutine. Times are readings of a steady clock unless they say otherwise.
type Core struct {
	limits Limits
	log    logrus.FieldLogger
	queues map[string]jobs.Queue
	jobs   map[jobs.ID]*job
	// finished are the jobs whose final state is stored.
	finished map[jobs.ID]struct{}
	runners  map[string]*runner
	sorted   []*runner // see candidates; nil after a change
	cursor   int       // where the next search among them begins
	waiting  []*work
	timed    []*job // jobs with occurrences to come
	dirty    map[*job]struct{}
	urgent   bool
	orders   []Order
	requests []AdviceRequest
	// unresolved are the runners that may run tasks of a predecessor unseen, and
	// when their leases have lapsed for certain; resolveBy is when those of all
	// others have.
	unresolved map[string]time.Duration
	resolveBy  time.Duration
	// inherited is the number of the predecessor's runners, reached that of those
	// that have answered.
	inherited, reached int
	awaited            logThrottle // spaces the lines about unresolved runners
	// storeOffset is the store's clock less the local one.
	storeOffset time.Duration
	counters    Counter
	harm        harm
	now         time.Duration // of the report being processed
	full        fullFor
	changes     changeLog
	reserves    reserves
	// nextPreemption is when running work may be stopped next for work that
	// waits.
	nextPreemption time.Duration
	durations      map[string]*durations.Estimator // by queue
}

// Counter counts decisions by name.
type Counter func(name string, n int64)

// New returns a core without jobs and runners.
func New(limits Limits, log logrus.FieldLogger, count Counter) *Core {
	if count == nil {
		count = func(string, int64) {}
	}
	return &Core{
		limits:     limits,
		log:        log,
		queues:     map[string]jobs.Queue{},
		jobs:       map[jobs.ID]*job{},
		finished:   map[jobs.ID]struct{}{},
		runners:    map[string]*runner{},
		dirty:      map[*job]struct{}{},
		unresolved: map[string]time.Duration{},
		counters:   count,
		harm:       newHarm(),
		full:       fullFor{},
		durations:  map[string]*durations.Estimator{},
		reserves:   reserves{services: map[string]*reserve{}},
	}
}

// Configure replaces the queues in force.
func (c *Core) Configure(queues []jobs.Queue) {
	clear(c.queues)
	for _, q := range queues {
		c.queues[q.Name] = q
	}
	for _, j := range c.jobs {
		j.queue = c.queueOf(j.Job)
	}
}

// queueOf returns a job's queue as it is in force, or as it was when the job was
// accepted if it has been removed since.
func (c *Core) queueOf(j *jobs.Job) jobs.Queue {
	if q, ok := c.queues[j.Queue.Name]; ok {
		return q
	}
	return j.Queue
}

// SetStoreClock tells the core the store's clock.
func (c *Core) SetStoreClock(local, store time.Duration) { c.storeOffset = store - local }

// Accept adds a job. An inherited one may have runs of a predecessor.
func (c *Core) Accept(accepted *jobs.Job, inherited bool, wall time.Duration) {
	if _, known := c.jobs[accepted.ID]; known || accepted.State.Terminal() {
		return
	}
	j := &job{Job: accepted, work: map[[2]int]*work{}, runs: map[jobs.TaskID][]*run{}, inherited: inherited, preemptions: map[jobs.TaskID]int{}}
	j.queue = c.queueOf(accepted)
	j.begun = j.State == jobs.Running
	j.measured = make([]time.Duration, len(j.Spec.Steps))
	c.reestimate(j)
	c.jobs[j.ID] = j
	if j.Spec.Repeats > 0 {
		c.timed = append(c.timed, j)
	}
	c.openDue(j, wall)
	c.log.WithFields(logrus.Fields{"job": j.ID, "queue": j.Queue.Name, "inherited": inherited}).Info("job taken on")
}

// openDue opens the occurrences that are due at the time of day.
func (c *Core) openDue(j *job, wall time.Duration) {
	for number := range j.Occurrences() {
		if j.Finished[number] || j.Current[number] != nil && j.work[[2]int{number, 0}] != nil {
			continue
		}
		if j.Spec.Repeats > 0 && j.DueTime(number) > wall+c.limits.ScheduleLead {
			break
		}
		if o := j.OpenOccurrence(number); o != nil {
			c.openSteps(j, o, false)
		}
	}
}

// openSteps lists the tasks of the steps whose turn has come. They are opened here if
// no predecessor can have opened them.
func (c *Core) openSteps(j *job, o *jobs.Occurrence, openedHere bool) {
	for i := range o.Steps {
		key := [2]int{o.Number, i}
		if o.Steps[i].UnfinishedTasks == 0 || j.work[key] != nil || !j.IsStepReady(o, i) {
			continue
		}
		w := &work{job: j, number: o.Number, index: i, step: &j.Spec.Steps[i], openedHere: openedHere, onRunner: map[*runner]int{},
			kind: c.harm.model.Kind(j.Spec.Steps[i].Image), chainLeft: j.chainFrom(i),
			advice: policyAdvice{tickets: map[string]ticket{}}}
		if w.step.BestEffort {
			c.harm.fills[w.kind] = struct{}{}
		}
		j.work[key] = w
		for index := range o.Steps[i].Tasks {
			id := jobs.TaskID{Job: j.ID, Occurrence: o.Number, Step: i, Index: index}
			if !o.Steps[i].Tasks[index].Done && len(j.runs[id]) == 0 {
				w.pending = append(w.pending, index)
			}
			for _, r := range j.runs[id] {
				w.onRunner[r.runner]++
			}
		}
		c.list(w)
	}
}

// list puts work with pending tasks on the waiting list.
func (c *Core) list(w *work) {
	if !w.listed && len(w.pending) > 0 {
		w.listed = true
		c.waiting = append(c.waiting, w)
	}
}

// requeue makes a task pending again unless it is done, running elsewhere or
// its job has ended.
func (c *Core) requeue(j *job, id jobs.TaskID) {
	t := j.Task(id)
	if j.State.Terminal() || t == nil || t.Done || len(j.runs[id]) > 0 {
		return
	}
	w := j.work[[2]int{id.Occurrence, id.Step}]
	if w == nil || slices.Contains(w.pending, id.Index) {
		return
	}
	w.pending = append(w.pending, id.Index)
	c.list(w)
}

// unlist removes a task from the pending ones.
func (w *work) unlist(index int) {
	w.pending = slices.DeleteFunc(w.pending, func(i int) bool { return i == index })
}

// Cancel ends a job on its client's request.
func (c *Core) Cancel(id jobs.ID, now time.Duration) {
	j := c.jobs[id]
	if j == nil || j.State.Terminal() {
		return
	}
	c.finish(j, jobs.Cancelled, now)
}

// Knows reports whether the job is under way.
func (c *Core) Knows(id jobs.ID) bool { return c.jobs[id] != nil }

// finish gives a job its final state and stops what still runs for it.
func (c *Core) finish(j *job, state jobs.State, now time.Duration) {
	j.State = state
	for _, w := range j.work {
		w.pending = nil
	}
	for _, runs := range j.runs {
		for _, r := range runs {
			c.stop(r, now)
		}
	}
	c.touch(j, true)
	c.counters("jobs_"+state.String(), 1)
	c.log.WithFields(logrus.Fields{"job": j.ID, "state": state, "late_ms": (now + c.storeOffset - j.objective).Milliseconds()}).Info("job ended")
}

// touch marks the progress of a job for storing. Urgent progress is stored
// without waiting for more.
func (c *Core) touch(j *job, urgent bool) {
	c.dirty[j] = struct{}{}
	c.urgent = c.urgent || urgent
}

// Dirty reports whether progress waits to be stored, and whether at once.
func (c *Core) Dirty() (waits, urgent bool) { return len(c.dirty) > 0, c.urgent }

// TakeWrites returns the progress to store and how far each runner may forget
// its ends once that is stored.
func (c *Core) TakeWrites(now time.Duration) ([]Write, map[string]Acknowledged, error) {
	var writes []Write
	for j := range c.dirty {
		value, err := jobs.EncodeProgress(j.Job, now+c.storeOffset)
		if err != nil {
			return nil, nil, fmt.Errorf("progress of job %s: %w", j.ID, err)
		}
		writes = append(writes, Write{Job: j.Job, Value: value})
		if j.State.Terminal() {
			c.forget(j)
		}
	}
	clear(c.dirty)
	c.urgent = false
	acknowledged := make(map[string]Acknowledged, len(c.runners))
	for id, r := range c.runners {
		acknowledged[id] = Acknowledged{r.incarnation, r.seen}
	}
	return writes, acknowledged, nil
}

// NoteFinished records a job that ended before this coordinator's time.
func (c *Core) NoteFinished(id jobs.ID) { c.finished[id] = struct{}{} }

// Forget drops what is known of a job whose rows are being removed.
func (c *Core) Forget(id jobs.ID) { delete(c.finished, id) }

// forget drops a job that has ended. Its runs stay with their runners until
// their ends are proved.
func (c *Core) forget(j *job) {
	delete(c.jobs, j.ID)
	c.finished[j.ID] = struct{}{}
	c.timed = slices.DeleteFunc(c.timed, func(o *job) bool { return o == j })
}

// TakeOrders returns the orders given since the last call.
func (c *Core) TakeOrders() []Order {
	orders := c.orders
	c.orders = nil
	return orders
}

// Pending returns the number of jobs of each queue none of whose tasks has
// started. Scheduled jobs don't count.
func (c *Core) Pending() map[string]int {
	counts := make(map[string]int, len(c.queues))
	for name := range c.queues {
		counts[name] = 0
	}
	for _, j := range c.jobs {
		if !j.begun && j.Spec.Repeats == 0 && !j.State.Terminal() {
			counts[j.Queue.Name]++
		}
	}
	return counts
}

// Roster returns the runners that may run tasks now.
func (c *Core) Roster() []string {
	ids := make([]string, 0, len(c.runners))
	for id := range c.runners {
		ids = append(ids, id)
	}
	for id := range c.unresolved {
		if c.runners[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
