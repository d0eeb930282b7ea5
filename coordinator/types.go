// Package coordinator decides where and when the tasks of accepted jobs run.
// Core is the pure part: it is told what happened and answers with orders to
// runners and with jobs whose progress must be written.
package coordinator

import (
	"sync/atomic"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/structs"
)

// RunnerInfo is what a runner says of itself in the registry.
type RunnerInfo struct {
	ID       string
	Address  string
	Service  string
	Rack     string
	Labels   []string
	Capacity structs.Resources
	Draining bool
	// Remaining is the least time that is left to a draining runner.
	Remaining time.Duration
}

// RunStatus is one run that a runner lists as running.
type RunStatus struct {
	Task    jobs.TaskID
	Run     int
	Saved   string
	Percent int
	// Tail is the tail latency in milliseconds of a task that serves. For other
	// tasks the same number is the thousandths of a processor in use.
	Load int
}

// How a run ended.
type How uint8

// Ways in which a run ends.
const (
	EndedDone    How = iota
	EndedFailed      // by its own fault or the runner's
	EndedStopped     // on request
	EndedLapsed      // its lease lapsed
	EndedBroken      // another member of its gang ended
	EndedAlone       // the other members of its gang did not come
)

// String returns the name for log lines.
func (h How) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[h]
}

// MarshalText implements encoding.TextMarshaler, for log lines.
func (h How) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// RunEnd is one end that a runner lists until it is acknowledged.
type RunEnd struct {
	Number int // rises by one with each end of an incarnation
	Task   jobs.TaskID
	Run    int
	How    How
	Saved  string
}

// Report is a runner's list of what runs and what has ended.
type Report struct {
	Runner string
	// Incarnation is the runner's start; another value means a new process.
	Incarnation int64
	// Sent is when the call left, on the local clock.
	Sent time.Duration
	// Unleased is set while no lease can be extended on the runner.
	Unleased bool
	Running  []RunStatus
	Ended    []RunEnd
}

// OrderKind is what a runner is told to do.
type OrderKind uint8

// Kinds of orders.
const (
	Start OrderKind = iota
	Stop
	Pace
)

// Order is a call to a runner. It is repeated until it is answered or Settled
// is set.
type Order struct {
	Kind    OrderKind
	Runner  string
	Address string
	Task    jobs.TaskID
	Run     int
	Spec    string // start: the job's text
	Saved   string // start: the checkpoint to resume from
	Ticket  string // start: the policy's permission, if the queue needs one
	Percent int    // pace
	// Settled is set once the outcome no longer matters.
	Settled *atomic.Bool
}

// Outcome is a runner's answer to an order.
type Outcome uint8

// Outcomes of orders.
const (
	Accepted      Outcome = iota
	RefusedOld            // the run number was used there before
	RefusedLate           // the deadline had passed
	RefusedRoom           // the runner has no room
	RefusedTicket         // the ticket does not hold
	RefusedOther          // the runner does not take orders now, or not this one
	WrongRunner           // another process has the address
)

// String returns the name for log lines and counters.
func (o Outcome) String() string {
	return [...]string{"accepted", "old", "late", "room", "ticket", "unhealthy", "wrong_runner"}[o]
}

// MarshalText implements encoding.TextMarshaler, for log lines.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// Answer is the outcome of an order.
type Answer struct {
	Order   Order
	Outcome Outcome
	// Repeated is set if an earlier attempt got no answer and may still be
	// carried out.
	Repeated bool
}

// Write is the progress of a job that must be stored.
type Write struct {
	Job   *jobs.Job
	Value []byte
}

// Acknowledged is how far the ends of a runner's incarnation are stored.
type Acknowledged struct {
	Incarnation int64
	Number      int
}

// Limits are the platform's bounds that decisions depend on.
type Limits struct {
	// FarFactor is how much longer a task takes away from its data.
	FarFactor float64
	// HarmTime is how long a serving task may be over its target because of
	// tasks that fill.
	HarmTime time.Duration
	// NoticeTime is how long a long-running task may be away from work before
	// that counts against its step's disruption budget.
	NoticeTime time.Duration
	// Preempt allows running work to be stopped for waiting work of a more
	// important queue.
	Preempt bool
	// ScheduleLead is how much before its due time an occurrence may start.
	ScheduleLead time.Duration
}
