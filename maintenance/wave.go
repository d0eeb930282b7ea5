// Package maintenance plans maintenance waves: it decides which machines of a
// wave are drained and taken down for maintenance next. The package does no
// I/O. Its caller passes in the requested waves, the machine lists and the
// results of calls, and gets back the runners to cordon and the calls to send.
//
// The order to take a machine down is recorded before its call may be sent. A
// successor that reads the record counts every machine whose call may still be
// carried out as down.
package maintenance

import (
	"cmp"
	"time"
)

// Wave is a request to perform maintenance once on each of its machines.
type Wave struct {
	Number   int
	Machines []string
	// FinishWithin is the time from the request to the planned end of the wave.
	FinishWithin time.Duration
	// MaxDown is how many of the machines may be down for maintenance at the
	// same time.
	MaxDown int
}

// State is the state in which a machine list shows a machine.
type State uint8

// States of machines in machine lists. A machine in an unknown state counts as
// Down.
const (
	Up State = iota
	Moving
	UnderMaintenance
	Down
)

// Machine is an entry of a machine list.
type Machine struct {
	ID     string
	Pool   string
	State  State
	Runner string // ID of the runner on the machine; empty if there is none
}

// Call asks the platform to take a machine down for maintenance. A repeated
// call for the same machine and wave has no further effect.
type Call struct {
	Wave    int
	Machine string
}

// Outcome is the outcome of a call, as far as its sender knows it.
type Outcome uint8

// Outcomes of calls.
const (
	Begun       Outcome = iota // the maintenance has begun, through this call or an earlier one
	Busy                       // the machine is not up, or it is leaving
	OtherWave                  // according to the platform the machine does not belong to the wave
	NoMachine                  // the machine does not exist
	RateLimited                // the platform refused the call because there were too many
	NotSent                    // the call did not reach the platform and never will
	Unanswered                 // the call may have been carried out, or may be later
)

// String returns the outcome's name for log lines and counters.
func (o Outcome) String() string {
	return [...]string{"begun", "busy", "other_wave", "no_machine", "limited", "not_sent", "unanswered"}[o]
}

// MarshalText implements encoding.TextMarshaler, for log lines.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// Load describes the tasks that run on a runner, for the decision whether its
// machine may go down.
type Load struct {
	// Known is false if the other fields can't be relied on.
	Known bool
	Runs  int // number of runs
	// LongRunning counts the runs of tasks that run until their job is
	// cancelled.
	LongRunning int
	// Budgeted counts the long-running tasks whose step has a disruption
	// budget. Maintenance must not end them.
	Budgeted int
	CPUMilli int64 // thousandths of a processor that the runs hold
}

// isIdle reports whether maintenance would end no run.
func (l Load) isIdle() bool { return l.Known && l.Runs == 0 }

// compare orders loads by the cost of draining them.
func (l Load) compare(other Load) int {
	return cmp.Or(cmp.Compare(l.Budgeted, other.Budgeted), cmp.Compare(l.LongRunning, other.LongRunning), cmp.Compare(l.CPUMilli, other.CPUMilli))
}

// Cordon describes why a runner must get no new tasks: its machine will go down,
// or may be down already, for maintenance.
type Cordon struct {
	// Until is the end of the drain time, at which the machine is expected to go
	// down. It is zero if the record of a predecessor says that the maintenance
	// was ordered or had begun.
	Until time.Duration
	// Urgent is set if the wave would end late if the machine went down later.
	Urgent bool
}

// Status is the progress of a wave as it is reported to the operator.
type Status uint8

// Statuses of waves.
const (
	Unreported Status = iota
	Running
	Completed
)

// String returns the status's name for log lines.
func (s Status) String() string { return [...]string{"unreported", "running", "completed"}[s] }

// MarshalText implements encoding.TextMarshaler, for log lines.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Report is the status of a wave, to be stored for the operator.
type Report struct {
	Wave   int
	Status Status
}
