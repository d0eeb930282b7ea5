// Package maintenance decides which machines of a maintenance wave are drained
// and taken down for upkeep next. It is pure: it is told of requested waves, of
// machine lists and of the answers to calls, and answers with runners to drain
// and with calls.
//
// Each order is recorded before its call may be sent. A successor that reads the
// record counts every machine whose call may still be carried out as down.
package maintenance

import (
	"cmp"
	"time"
)

// Wave is a request that each of its machines has its upkeep.
type Wave struct {
	Number   int
	Machines []string
	// Within is how long after the request the wave has to be finished.
	Within time.Duration
	// MaxDown is how many of the machines may be down for upkeep at a time.
	MaxDown int
}

// State is what a machine list says of a machine.
type State uint8

// States of machines.
const (
	Up State = iota
	Moving
	Upkeep
	Down
)

// Machine is an entry of a machine list.
type Machine struct {
	ID     string
	Pool   string
	State  State
	Runner string // that lives on the machine, empty if none does
}

// Call asks the platform to take a machine down for upkeep. Calls are
// idempotent for each machine and wave.
type Call struct {
	Wave    int
	Machine string
}

// Outcome is what became of a call.
type Outcome uint8

// Outcomes of calls.
const (
	Begun      Outcome = iota // the upkeep has begun, by this call or an earlier one
	Busy                      // the machine is not up, or leaving
	OtherWave                 // the platform doesn't count the machine to the wave
	NoMachine                 // there is no such machine
	Limited                   // too many calls; nothing was done
	NotSent                   // the call can't have reached the platform
	Unanswered                // the call may be carried out, now or later
)

// String returns the name for log lines and counters.
func (o Outcome) String() string {
	return [...]string{"begun", "busy", "other_wave", "no_machine", "limited", "not_sent", "unanswered"}[o]
}

// MarshalText implements encoding.TextMarshaler, for log lines.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// Load is what runs on a machine.
type Load struct {
	// Known is false while it isn't known what runs there.
	Known bool
	Runs  int
	// LongRunning counts the tasks that run until their job is cancelled.
	LongRunning int
	// Budgeted counts those of them whose step has a disruption budget. An
	// upkeep must not end them.
	Budgeted int
	CPUMilli int64 // held by what runs
}

// idle reports whether the upkeep would end nothing.
func (l Load) idle() bool { return l.Known && l.Runs == 0 }

// compare orders loads by what a drain costs.
func (l Load) compare(o Load) int {
	return cmp.Or(cmp.Compare(l.Budgeted, o.Budgeted), cmp.Compare(l.LongRunning, o.LongRunning), cmp.Compare(l.CPUMilli, o.CPUMilli))
}

// Drain says that a runner takes no new tasks because its machine is to go down.
type Drain struct {
	// Until is when the machine is expected to go down.
	Until time.Duration
	// Pressing is set if the wave would otherwise end late.
	Pressing bool
}

// Status is what is reported of a wave.
type Status uint8

// Statuses of waves.
const (
	Unreported Status = iota
	Running
	Completed
)

// String returns the name for log lines.
func (s Status) String() string { return [...]string{"unreported", "running", "completed"}[s] }

// MarshalText implements encoding.TextMarshaler, for log lines.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Report is a wave's status to be stored.
type Report struct {
	Wave   int
	Status Status
}
