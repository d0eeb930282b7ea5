// Package jobs models jobs that are graphs of steps of equal tasks: what was
// submitted, how far each task has got, and what of that is kept.
package jobs

import (
	"errors"
	"fmt"
	"time"

	"bergamotstile/structs"
)

// Limits of a job. A job beyond them could neither be stored in one row nor be
// placed in bounded time.
const (
	MaxSteps     = 200
	MaxTasks     = 10_000
	MaxSpecBytes = 4000
	MaxRepeats   = 10_000
	IDLength     = 16
)

// ID names a job: 16 hexadecimal digits that the client chose.
type ID string

// Valid reports whether the ID is well formed.
func (id ID) Valid() bool {
	if len(id) != IDLength {
		return false
	}
	for _, c := range []byte(id) {
		digit := c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
		if !digit {
			return false
		}
	}
	return true
}

// Step is a set of equal tasks.
type Step struct {
	Count    int               `cbor:"1,keyasint"`
	Ask      structs.Resources `cbor:"2,keyasint"`
	Estimate time.Duration     `cbor:"3,keyasint,omitempty"` // rough run time of one task
	After    []int             `cbor:"4,keyasint,omitempty"` // earlier steps that must be done
	// Checkpoints is set if the tasks can resume from a saved state.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set if the tasks work only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is set if a gang is slow across racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label must be among the runner's labels, unless empty.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the tasks are fast, unless empty.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerRunner bounds the step's tasks on one runner, unless zero.
	MaxPerRunner int `cbor:"10,keyasint,omitempty"`
	// Speculative is set if copies of a task may run at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `cbor:"12,keyasint,omitempty"`
	Image       string `cbor:"13,keyasint,omitempty"`
	// TailTarget is the bound on the tail latency of tasks that serve.
	TailTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// Fills is set if the tasks use only processors that others leave idle.
	Fills bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the disruption budget of a step that is long-running;
	// zero if there is none.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved is the capacity that one task holds. Filling tasks hold no
// processors.
func (s *Step) Reserved() structs.Resources {
	r := s.Ask
	if s.Fills {
		r.CPUMilli = 0
	}
	return r
}

// Spec is a job as submitted.
type Spec struct {
	Text  string `cbor:"1,keyasint"`
	Steps []Step `cbor:"2,keyasint"`
	// Repeats is the number of occurrences of a scheduled job, otherwise zero.
	Repeats  int           `cbor:"3,keyasint,omitempty"`
	First    time.Duration `cbor:"4,keyasint,omitempty"` // due time of the first occurrence, since 1970
	Interval time.Duration `cbor:"5,keyasint,omitempty"`
}

// ErrInvalid is wrapped by every error of Check.
var ErrInvalid = errors.New("invalid job")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrInvalid}, args...)...)
}

// Check returns why the job can't be accepted.
func (s *Spec) Check() error {
	if len(s.Text) > MaxSpecBytes {
		return invalid("spec has %d bytes, at most %d are allowed", len(s.Text), MaxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return invalid("%d steps, want 1 to %d", len(s.Steps), MaxSteps)
	}
	if s.Repeats < 0 || s.Repeats > MaxRepeats || s.Interval < 0 {
		return invalid("repeats %d at an interval of %v", s.Repeats, s.Interval)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		return invalid("%d tasks, at most %d are allowed", tasks, MaxTasks)
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return invalid("steps[%d].count is %d", index, s.Count)
	}
	if s.Ask.CPUMilli < 0 || s.Ask.MemoryMB < 0 || s.Ask.Accelerators < 0 || s.Estimate < 0 {
		return invalid("steps[%d] asks for less than nothing", index)
	}
	if s.MaxPerRunner < 0 || s.MaxUnavailable < 0 || s.TailTarget < 0 {
		return invalid("steps[%d] has a negative limit", index)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return invalid("steps[%d].after names step %d, want an earlier one", index, before)
		}
	}
	return nil
}

// LongRunning reports whether a task of the job runs until it is cancelled.
func (s *Spec) LongRunning() bool {
	for _, step := range s.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}
