package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/durations"
	"bergamotstile/jobs"
)

// Core holds the coordinator's state and makes its scheduling decisions. Only one
// goroutine may call its methods. Times are readings of the local monotonic clock
// unless a comment names another clock.
type Core struct {
	limits Limits
	log    logrus.FieldLogger
	queues map[string]jobs.Queue
	// configured holds the queues as Configure was last given them.
	configured []jobs.Queue
	jobs       map[jobs.ID]*job
	// finishedJobs holds the ended jobs that were removed from jobs or that ended under
	// a predecessor.
	finishedJobs map[jobs.ID]struct{}
	// absentJobs holds the unknown jobs for which results have waited in vain.
	absentJobs     map[jobs.ID]struct{}
	runners        map[string]*runner
	runnersByID    []*runner         // sorted by ID, see sortedRunners; nil after a runner was added or removed
	searchStart    int               // index in runnersByID at which the next search begins
	waitingSteps   []*openStep       // open steps with pending tasks
	newlyWaiting   []*openStep       // those that were added since the last round
	scheduledJobs  []*job            // jobs whose occurrences have due times
	unstoredJobs   map[*job]struct{} // jobs whose progress has to be stored
	storeNow       bool              // the progress of a job has to be stored at once
	orders         []Order
	adviceRequests []AdviceRequest
	// unresolved holds, by ID, the runners that may run tasks that a predecessor has started
	// and this coordinator does not know of. A runner is resolved, and removed, once it has
	// sent this coordinator a complete report, every lease on it has expired, another runner has
	// its address, or maintenance has ended it. The value is the time by which the predecessor's leases on
	// the runner have expired for certain; otherLeasesExpireAt is that time for all other
	// runners.
	unresolved map[string]time.Duration
	givenUp    map[string]time.Duration // unresolved runners that were given up, with their expiry
	// expiredTasks holds, by runner ID, the tasks that became pending again because the leases on the
	// runner expired, until its next complete report. awaitedTasks holds those for whose runner's
	// report they have to wait.
	expiredTasks        map[string][]jobs.TaskID
	awaitedTasks        map[jobs.TaskID]struct{}
	otherLeasesExpireAt time.Duration
	// misdirectedExpiries holds, by runner ID, the lower bounds of these times that
	// InheritedRunner.MisdirectedExpiredAt sets.
	misdirectedExpiries map[string]time.Duration
	// inheritedRunnerCount is the number of the predecessor's runners at the takeover.
	// unansweredInherited holds those that have not answered this coordinator since.
	inheritedRunnerCount int
	unansweredInherited  map[string]struct{}
	// inherited holds the predecessor's runners at the takeover.
	inherited             map[string]struct{}
	unresolvedLogThrottle logThrottle // limits how often the unresolved runners are logged
	// storeOffset is the store's clock minus the local clock.
	storeOffset         time.Duration
	counters            Counter
	interference        interferenceModel
	now                 time.Duration  // time of the report or answer that is being processed
	failedSearches      failedSearches // searches that found no runner
	changes             changeLog
	serviceReservations serviceReservations // by service, the capacity kept for plain tasks (neither serving nor best-effort)
	// nextPreemption is when runs may next be preempted.
	nextPreemption     time.Duration
	durationEstimators map[string]*durations.Estimator // by name of the queue
	evacuation         evacuation
	// hasNewResults is set while results are applied that TakeWrites has not returned as stored.
	// Results of ended jobs change no progress, but a runner lists further results only once
	// they are acknowledged.
	hasNewResults bool
	locality      locality
	speculation   speculation
	// delayedStartRuns holds until when HoldDelayedStarts keeps runs. Some of them no longer exist.
	delayedStartRuns map[*taskRun]time.Duration
	heldTasks        heldTasks
}

// Counter adds n to the counter of a name.
type Counter func(name string, n int64)

// New returns a Core without jobs and runners. The count function may be nil.
func New(limits Limits, log logrus.FieldLogger, count Counter) *Core {
	if count == nil {
		count = func(string, int64) {}
	}
	return &Core{
		limits:              limits,
		log:                 log,
		queues:              map[string]jobs.Queue{},
		jobs:                map[jobs.ID]*job{},
		finishedJobs:        map[jobs.ID]struct{}{},
		absentJobs:          map[jobs.ID]struct{}{},
		runners:             map[string]*runner{},
		unstoredJobs:        map[*job]struct{}{},
		unresolved:          map[string]time.Duration{},
		givenUp:             map[string]time.Duration{},
		expiredTasks:        map[string][]jobs.TaskID{},
		awaitedTasks:        map[jobs.TaskID]struct{}{},
		unansweredInherited: map[string]struct{}{},
		misdirectedExpiries: map[string]time.Duration{},
		inherited:           map[string]struct{}{},
		counters:            count,
		interference:        newInterferenceModel(),
		failedSearches:      newFailedSearches(),
		durationEstimators:  map[string]*durations.Estimator{},
		serviceReservations: serviceReservations{services: map[string]*serviceReservation{}},
		locality:            locality{decide: decidePlacement},
		delayedStartRuns:    map[*taskRun]time.Duration{},
	}
}

// Configure replaces the configured queues. It costs little if they have not changed.
func (c *Core) Configure(queues []jobs.Queue) {
	if c.configured != nil && slices.Equal(queues, c.configured) {
		return
	}
	c.configured = append([]jobs.Queue{}, queues...)
	clear(c.queues)
	for _, queue := range queues {
		c.queues[queue.Name] = queue
	}
	for _, j := range c.jobs {
		j.queue = c.queueOf(j.Job)
	}
}

// queueOf returns the configured queue of a job. If the queue has been removed from
// the configuration, it returns the queue as it was when the job was accepted.
func (c *Core) queueOf(j *jobs.Job) jobs.Queue {
	if queue, ok := c.queues[j.Queue.Name]; ok {
		return queue
	}
	return j.Queue
}

// SetStoreClock records that the store's clock reads store when the local clock reads
// local.
func (c *Core) SetStoreClock(local, store time.Duration) { c.storeOffset = store - local }

// AddJob adds an accepted job, unless the core already has it or the job's state says that it
// has ended. inherited says whether a predecessor may have started runs of the job. timeOfDay,
// the time since 1970, decides which of its occurrences are due.
func (c *Core) AddJob(accepted *jobs.Job, inherited bool, timeOfDay time.Duration) {
	if _, exists := c.jobs[accepted.ID]; exists || accepted.State.IsTerminal() {
		return
	}
	j := &job{Job: accepted, openSteps: map[[2]int]*openStep{}, runs: map[jobs.TaskID][]*taskRun{}, inherited: inherited, preemptions: map[jobs.TaskID]int{}, stalls: map[jobs.TaskID]int{},
		window: occurrenceWindow{unopened: map[int]struct{}{}}}
	j.queue = c.queueOf(accepted)
	j.started = j.State == jobs.Running
	j.measuredTaskTimes = make([]time.Duration, len(j.Spec.Steps))
	c.updateEstimates(j)
	c.jobs[j.ID] = j
	delete(c.absentJobs, j.ID)
	for number := range j.Current {
		j.window.unopened[number] = struct{}{}
	}
	if j.Spec.Repeats > 0 {
		c.scheduledJobs = append(c.scheduledJobs, j)
	}
	c.openRestoredOccurrences(j, timeOfDay)
	c.openNextOccurrences(j, 0, c.now, timeOfDay)
	c.log.WithFields(logrus.Fields{"job": j.ID, "queue": j.Queue.Name, "inherited": inherited}).Info("job loaded")
}

// openReadySteps opens the steps of an occurrence all of whose preceding steps are done, and
// adds them to the waiting steps. byHiddenEnd is set if no predecessor can have learned of
// the result that made them ready.
func (c *Core) openReadySteps(j *job, occurrence *jobs.Occurrence, byHiddenEnd bool) {
	for i := range occurrence.Steps {
		key := [2]int{occurrence.Number, i}
		if occurrence.Steps[i].UnfinishedTasks == 0 || j.openSteps[key] != nil || !j.IsStepReady(occurrence, i) {
			continue
		}
		s := &openStep{job: j, occurrence: occurrence.Number, index: i, step: &j.Spec.Steps[i], openedByHiddenEnd: byHiddenEnd, runsByRunner: map[*runner]int{},
			kind: c.interference.model.Kind(j.Spec.Steps[i].Image), chainTime: j.longestChainFrom(i),
			advice: policyAdvice{tickets: map[string]ticket{}}}
		if s.step.BestEffort {
			c.interference.bestEffortKinds[s.kind] = struct{}{}
		}
		j.openSteps[key] = s
		for index := range occurrence.Steps[i].Tasks {
			id := jobs.TaskID{Job: j.ID, Occurrence: occurrence.Number, Step: i, Index: index}
			if !occurrence.Steps[i].Tasks[index].Done && len(j.runs[id]) == 0 {
				s.pending = append(s.pending, index)
			}
			for _, run := range j.runs[id] {
				s.runsByRunner[run.runner]++
				run.openStep = s
			}
		}
		c.addWaiting(s)
	}
}

// addWaiting adds a step with pending tasks to the waiting steps.
func (c *Core) addWaiting(s *openStep) {
	if !s.isWaiting && len(s.pending) > 0 {
		s.isWaiting = true
		c.waitingSteps = append(c.waitingSteps, s)
		c.newlyWaiting = append(c.newlyWaiting, s)
	}
}

// requeue makes a task pending again unless it is done, another run of it exists or
// its job has ended.
func (c *Core) requeue(j *job, id jobs.TaskID) {
	task := j.Task(id)
	if j.State.IsTerminal() || task == nil || task.Done || len(j.runs[id]) > 0 {
		return
	}
	s := j.openSteps[[2]int{id.Occurrence, id.Step}]
	if s == nil || slices.Contains(s.pending, id.Index) {
		return
	}
	s.pending = append(s.pending, id.Index)
	c.addWaiting(s)
}

// removePending removes a task from the pending tasks.
func (s *openStep) removePending(index int) {
	s.pending = slices.DeleteFunc(s.pending, func(i int) bool { return i == index })
}

// Cancel ends a job as cancelled.
func (c *Core) Cancel(id jobs.ID, now time.Duration) {
	j := c.jobs[id]
	if j == nil || j.State.IsTerminal() {
		return
	}
	c.finishJob(j, jobs.Cancelled, now)
}

// HasJob reports whether the core holds the job. A job that has ended is held until TakeWrites
// has returned its final progress.
func (c *Core) HasJob(id jobs.ID) bool { return c.jobs[id] != nil }

// finishJob sets a job's final state, removes its pending tasks and orders its runs to stop.
func (c *Core) finishJob(j *job, state jobs.State, now time.Duration) {
	j.State = state
	for _, s := range j.openSteps {
		s.pending = nil
	}
	for _, runs := range j.runs {
		for _, run := range runs {
			c.stopRun(run, now)
		}
	}
	c.markUnstored(j, true)
	c.counters("jobs_"+state.String(), 1)
	c.log.WithFields(logrus.Fields{"job": j.ID, "state": state, "late_ms": (now + c.storeOffset - j.objective).Milliseconds()}).Info("job ended")
}

// markUnstored records that the progress of a job has to be stored. Urgent progress is
// stored at once; other progress waits so that one write stores the progress of
// several jobs.
func (c *Core) markUnstored(j *job, urgent bool) {
	c.unstoredJobs[j] = struct{}{}
	c.storeNow = c.storeNow || urgent
}

// UnstoredProgress reports whether progress of any job has to be stored or results have to be
// acknowledged, and whether some of the progress is urgent.
func (c *Core) UnstoredProgress() (exists, urgent bool) {
	return len(c.unstoredJobs) > 0 || c.hasNewResults, c.storeNow
}

// TakeWrites returns the progress to store, and by runner ID the results that each runner
// may forget once the progress is stored.
func (c *Core) TakeWrites(now time.Duration) ([]ProgressWrite, map[string]Acknowledgement, error) {
	var writes []ProgressWrite
	for j := range c.unstoredJobs {
		rows, err := jobs.EncodeProgressRows(j.Job, now+c.storeOffset, c.limits.maxRowBytes())
		if err != nil {
			return nil, nil, fmt.Errorf("encode progress of job %s: %w", j.ID, err)
		}
		writes = append(writes, ProgressWrite{Job: j.Job, Value: rows.Head, Parts: rows.Parts})
		if j.State.IsTerminal() {
			c.removeJob(j)
		}
	}
	clear(c.unstoredJobs)
	c.storeNow, c.hasNewResults = false, false
	acknowledged := make(map[string]Acknowledgement, len(c.runners))
	for id, r := range c.runners {
		acknowledged[id] = Acknowledgement{r.incarnation, r.lastAppliedResult}
	}
	return writes, acknowledged, nil
}

// Acknowledge records up to which number the results of a runner are stored, so that it may
// forget them. That makes room in its list for the results of further runs.
func (c *Core) Acknowledge(id string, acknowledged Acknowledgement) {
	r := c.runners[id]
	if r == nil || r.incarnation != acknowledged.Incarnation {
		return
	}
	wasFull := !r.results.hasRoom(len(r.runs), c.limits.MaxListedResults)
	r.results.acknowledge(acknowledged.Number)
	if wasFull {
		c.recordChange(r)
	}
}

// MarkFinished records a job that ended before this coordinator took over.
func (c *Core) MarkFinished(id jobs.ID) { c.finishedJobs[id] = struct{}{} }

// ForgetFinished forgets an ended job whose rows are removed from the store.
func (c *Core) ForgetFinished(id jobs.ID) { delete(c.finishedJobs, id) }

// removeJob removes a job that has ended. Its runs stay in the state of their runners until
// the runners have reported their results or it is certain that the runs no longer exist.
func (c *Core) removeJob(j *job) {
	delete(c.jobs, j.ID)
	c.finishedJobs[j.ID] = struct{}{}
	c.scheduledJobs = slices.DeleteFunc(c.scheduledJobs, func(other *job) bool { return other == j })
}

// TakeOrders returns the orders that were issued since TakeOrders was last called.
func (c *Core) TakeOrders() []Order {
	orders := c.orders
	c.orders = nil
	return orders
}

// PendingJobs returns, for each queue that has any, the number of its jobs none of whose
// tasks has started. Scheduled jobs are not counted.
func (c *Core) PendingJobs() map[string]int {
	counts := map[string]int{}
	for _, j := range c.jobs {
		if !j.started && j.Spec.Repeats == 0 && !j.State.IsTerminal() {
			counts[j.Queue.Name]++
		}
	}
	return counts
}

// PendingJobsOfConfiguredQueues returns the numbers of PendingJobs without the queues that
// have been removed from the configuration.
func (c *Core) PendingJobsOfConfiguredQueues() map[string]int {
	counts := c.PendingJobs()
	maps.DeleteFunc(counts, func(queue string, _ int) bool {
		_, isConfigured := c.queues[queue]
		return !isConfigured
	})
	return counts
}

// Roster returns the sorted IDs of the runners on which tasks may be running.
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
	for id := range c.heldTasks.byRunner {
		if _, isUnresolved := c.unresolved[id]; !isUnresolved && c.runners[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
