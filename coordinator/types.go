// Package coordinator decides where and when the tasks of accepted jobs run.
// Core holds the state and makes the decisions without any I/O: its callers pass
// it reports, answers and changes of jobs, and take from it the orders to send to
// runners and the progress of jobs to store.
package coordinator

import (
	"sync/atomic"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/rowstore"
	"bergamotstile/structs"
)

// RunnerInfo is a runner's entry in the registry.
type RunnerInfo struct {
	ID       string
	Address  string
	Service  string
	Rack     string
	Domain   string // failure domain; empty if it is not known
	Labels   []string
	Capacity structs.Resources
	Draining bool
	// Incarnation identifies the process that wrote the entry, as in Report; zero if the entry
	// does not tell.
	Incarnation int64
	// Remaining is the least time until a draining runner stops.
	Remaining time.Duration
}

// RunStatus describes one run that a runner reports as running.
type RunStatus struct {
	Task       jobs.TaskID
	Run        int
	Checkpoint string // the newest one
	Percent    int    // progress
	// Load is the tail latency in milliseconds of a serving task. For other tasks
	// it is the processor time in use, in thousandths of a processor.
	Load int
}

// ResultKind is the way in which a run ended.
type ResultKind uint8

// Ways in which a run ends.
const (
	EndedDone           ResultKind = iota
	EndedFailed                    // because of a fault of the task or of its runner
	EndedStopped                   // on the coordinator's request
	EndedExpired                   // because its lease expired
	EndedGangBroken                // because another member of its gang ended
	EndedGangIncomplete            // because the other members of its gang did not start
)

// String returns the name of the kind for log lines and counters.
func (kind ResultKind) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[kind]
}

// MarshalText implements encoding.TextMarshaler, for log lines.
func (kind ResultKind) MarshalText() ([]byte, error) { return []byte(kind.String()), nil }

// RunResult is the result of a run that has ended. The runner includes it in every
// report until the coordinator acknowledges it.
type RunResult struct {
	Number     int // results of an incarnation are numbered consecutively from 1
	Task       jobs.TaskID
	Run        int
	Kind       ResultKind
	Checkpoint string // the newest one
}

// Report lists the runs on a runner and the results of the runs that have ended there.
type Report struct {
	Runner string
	// Incarnation identifies the runner's process by its start; a new value means that the
	// runner has restarted.
	Incarnation int64
	// Sent is when the poll that the runner answered with this report was sent, on
	// the local clock.
	Sent time.Duration
	// CannotExtendLeases is set while the coordinator can't extend any lease on the runner.
	CannotExtendLeases bool
	// Unfenced is set while the runner may still carry out calls that were meant for an earlier
	// process of it. Runs that such a report does not list may start after it.
	Unfenced bool
	Running  []RunStatus
	Ended    []RunResult // in the order of their numbers
	// Incomplete is set if the runner may have further results, with higher numbers than those in
	// Ended. A run that such a report does not list may have ended.
	Incomplete bool
}

// OrderKind is the action that an order asks a runner for.
type OrderKind uint8

// Kinds of orders.
const (
	Start OrderKind = iota
	Stop
	Pace
)

// Order asks a runner to start or stop a run or to change its pace. The
// coordinator sends it again until the runner answers or Settled is set. A change of
// pace is sent a few times at most.
type Order struct {
	Kind        OrderKind
	Runner      string
	Incarnation int64 // for a start: of the runner's process for which the start was decided; zero if any may carry it out
	Address     string
	Task        jobs.TaskID
	Run         int
	Spec        string // for a start: the text of the job
	Checkpoint  string // for a start: the checkpoint to resume from
	Ticket      string // for a start: the ticket by which the queue's policy permits it, if one is needed
	Percent     int    // for a change of pace: the new pace
	// Settled is set once the order need not be sent again: a report has confirmed the start,
	// the run no longer exists, or a later order for the run has replaced this one.
	Settled *atomic.Bool
	// Attempted is set by beginAttempt for a start. It is nil for other orders.
	Attempted *atomic.Bool
}

// Outcome is a runner's answer to an order.
type Outcome uint8

// Outcomes of orders.
const (
	Accepted          Outcome = iota
	RefusedUsedRun            // the runner has already used the run number for the task
	RefusedLate               // the deadline had passed when the order arrived
	RefusedNoCapacity         // the runner has too little free capacity
	RefusedTicket             // the ticket is not valid
	RefusedOther              // the runner refused for another reason, for example because it takes no orders at present
	WrongRunner               // another runner has the address
	RunnerRestarted           // the runner's process for which the start was decided has ended
	RunnerDraining            // the start is not sent any more because the runner is draining
)

// String returns the name for log lines and counters.
func (o Outcome) String() string {
	return [...]string{"accepted", "old", "late", "room", "ticket", "unhealthy", "wrong_runner", "restarted", "draining"}[o]
}

// MarshalText implements encoding.TextMarshaler, for log lines.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// OrderResponse is a runner's response to an order.
type OrderResponse struct {
	Outcome Outcome
	// Clock is a reading of the runner's clock, or zero if the response has none.
	Clock time.Duration
}

// Answer is a runner's answer to an order.
type Answer struct {
	Order   Order
	Outcome Outcome
	// Repeated is set if an earlier attempt to send the order got no answer, so that
	// the runner may have carried it out or may still do so.
	Repeated bool
}

// ProgressWrite is a job with its encoded progress, to be stored.
type ProgressWrite struct {
	Job   *jobs.Job
	Value []byte // of the job's row of progress
	// Parts holds, by number, the values of all further rows of progress that the job has.
	Parts map[int][]byte
}

// Acknowledgement says up to which number the results of a runner's incarnation are stored,
// so that the runner may forget them.
type Acknowledgement struct {
	Incarnation int64
	Number      int
}

// Limits holds the settings of the platform on which scheduling decisions depend.
type Limits struct {
	// RemoteDataFactor is the factor by which a task takes longer on a rack other than
	// that of its data.
	RemoteDataFactor float64
	// MaxTimeOverTarget is how long best-effort tasks may keep a serving task over its
	// latency target.
	MaxTimeOverTarget time.Duration
	// UnavailableGrace is how long a long-running task may be unavailable before it
	// counts against the disruption budget of its step.
	UnavailableGrace time.Duration
	// Preempt allows the coordinator to stop runs in favour of waiting tasks of a more
	// important queue.
	Preempt bool
	// ScheduleLead is how long before its due time an occurrence of a scheduled job may
	// start.
	ScheduleLead time.Duration
	// MaxListedResults is the number of results that a report can list. The starts on a runner
	// are limited so that its unacknowledged results fit into one report. Zero means no limit.
	MaxListedResults int
	// MaxRowBytes is the size of the largest value of a row that the store accepts; zero
	// stands for rowstore.DefaultMaxRowBytes.
	MaxRowBytes int
}

// maxRowBytes returns MaxRowBytes or its default.
func (l Limits) maxRowBytes() int {
	if l.MaxRowBytes <= 0 {
		return rowstore.DefaultMaxRowBytes
	}
	return l.MaxRowBytes
}
