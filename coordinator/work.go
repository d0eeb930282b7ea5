package coordinator

import (
	"sync/atomic"
	"time"

	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// runState is the state of a run as far as the coordinator knows it.
type runState uint8

const (
	stateStarting runState = iota // the start has been ordered and is not yet confirmed
	stateRunning                  // an answer or a report of the runner has confirmed the start
	stateStopping                 // a stop is ordered or the run has ended, and its result has not been applied
)

// taskRun is one run of a task on a runner. It holds capacity there until the runner has
// reported its result or it is certain that the run no longer exists.
type taskRun struct {
	job              *job
	task             jobs.TaskID
	number           int
	runner           *runner
	step             *jobs.Step
	openStep         *openStep         // nil if the step was not open when the run was attached
	kind             interference.Kind // of the step's image
	precedence       precedence        // of a best-effort run, as of the runner's last report
	state            runState
	lastOrderSettled *atomic.Bool // the field Settled of the last order for the run
	startAttempted   *atomic.Bool // the field Attempted of the start order; nil if the run was adopted
	startedAt        time.Duration
	workMeter        workMeter
	// adoptedAt is when a runner first listed this run of a predecessor to this
	// coordinator. It is zero for the runs that this coordinator started.
	adoptedAt time.Duration
	// endHiddenFromPredecessor is set once no predecessor can learn that the run ends: the
	// runner refuses a predecessor's new polls, and all of its earlier long polls must have
	// returned (see hiddenend.go). It is set from the start for the runs that this coordinator
	// started, of which no predecessor knows.
	endHiddenFromPredecessor bool
	// confirmedAt is when the runner confirmed the last order for the run by an answer
	// or a report; zero while it has not.
	confirmedAt time.Duration
	percent     int // progress
	// checkpointPercent is the progress that the runner reported together with
	// checkpoint, the newest checkpoint.
	checkpointPercent int
	checkpoint        string
	// progressedAt is when percent last changed.
	progressedAt time.Duration
	load         int // as in RunStatus
	pace         int // percent of full speed, or unknownPace
	// throttledSince is since when the pace has been throttledPace or less. While the pace
	// is higher, it is the time of the last change of pace that was ordered, or zero
	// if there was none. It stays zero if the first pace that this coordinator orders
	// for an adopted run is throttledPace or less.
	throttledSince time.Duration
	// overTargetSince is since when a serving task has been over its latency target;
	// zero if it is not.
	overTargetSince time.Duration
	// ownLoad estimates the part of a serving task's degradation that is attributed to the
	// task's own load, see learnFromTail.
	ownLoad ownLoadTracker
	base    progressBase
	// isResumed is set if the run was started from a checkpoint.
	isResumed bool
	// isCopy is set if this coordinator started the run while another run of its task existed.
	isCopy bool
}

// job is an accepted job with its open steps and its runs.
type job struct {
	*jobs.Job
	queue jobs.Queue
	// objective is the time by which the job should be completed, on the store's clock.
	objective          time.Duration
	allowedTime        time.Duration        // from acceptance to objective
	openSteps          map[[2]int]*openStep // by number of the occurrence and index of the step
	window             occurrenceWindow
	runs               map[jobs.TaskID][]*taskRun
	started            bool  // a task has started, see markStarted
	remainingCPUTimeMS int64 // estimated processor time of the tasks that are not done
	// taskEstimates holds the expected run time of one task of each step.
	// measuredTaskTimes holds the measured ones; they are zero for steps whose tasks
	// have not been measured.
	taskEstimates, measuredTaskTimes []time.Duration
	// inherited is set if a predecessor may have started runs of the job.
	inherited bool
	// preemptions counts how often each task was preempted by a task of a more
	// important queue.
	preemptions map[jobs.TaskID]int
	stalls      map[jobs.TaskID]int // how many runs of each task were stopped as stalled
}

// openStep is a step of an occurrence all of whose preceding steps are done.
type openStep struct {
	job             *job
	occurrence      int // number of the occurrence
	index           int // of the step in the job
	step            *jobs.Step
	kind            interference.Kind // of the step's image
	pending         []int             // indexes of the tasks that wait to be started
	waitingSince    time.Duration     // when Schedule first tried to start the pending tasks; zero if it has not
	runsByRunner    map[*runner]int   // number of the step's runs
	isWaiting       bool              // the step is in Core.waitingSteps
	advice          policyAdvice
	precedence      precedence    // as of the current scheduling round
	chainTime       time.Duration // estimated run time of the longest chain of steps from this one on
	taskTimes       taskTimes
	waitLogThrottle logThrottle
	ownFailedSearch ownFailedSearch
	// starved is set in each scheduling round if isStarved reports it, and cleared once a task
	// of the step has been started.
	starved bool
	// openedByHiddenEnd is set if the end of a run opened the step and no predecessor can have
	// learned of that end (see hiddenend.go). No predecessor can then have started the step's
	// tasks, so they need not wait for unresolved runners.
	openedByHiddenEnd bool
	// hiddenEnds holds the indexes of the pending tasks whose last run ended without a
	// predecessor being able to learn of it.
	hiddenEnds map[int]struct{}
	// isLastAttempt is set while a runner is chosen for a task whose next failure would
	// make the job fail.
	isLastAttempt bool
	// unavailable holds the tasks that are unavailable, for a step with a disruption
	// budget.
	unavailable      map[int]unavailability
	reservationCount int // capacity reservations for the step's tasks on all runners
	reservationWait  reservationWait
	// displacedSince holds since when each pending task of a begun long-running step has waited.
	displacedSince map[int]time.Duration
	// fitsSomewhere and fitCheckedAt are the result and the time of the last check of
	// hasLargeEnoughRunner.
	fitsSomewhere bool
	fitCheckedAt  time.Duration
	// nearWaits holds the pending tasks that have declined a far place, see startNearData.
	nearWaits map[int]nearWait
	// farPlace is a runner that the step's tasks have declined, see hasFarPlace.
	farPlace     *runner
	gangWait     gangWait
	siblingTimes siblingTimes
}
