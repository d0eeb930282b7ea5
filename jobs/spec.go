// Package jobs models jobs as graphs of steps, each of which has several equal
// tasks. It holds the specification of a job, the progress of its tasks, and
// the stored form of both.
package jobs

import (
	"errors"
	"fmt"
	"time"

	"bergamotstile/structs"
)

// Limits of a job. They ensure that a job can be stored in one row and placed
// in bounded time.
const (
	MaxSteps     = 200
	MaxTasks     = 10_000
	MaxSpecBytes = 4000
	MaxRepeats   = 10_000
	IDLength     = 16
)

// ID identifies a job. It consists of 16 hexadecimal digits that the client
// chooses.
type ID string

// Valid reports whether the ID is well formed.
func (id ID) Valid() bool {
	if len(id) != IDLength {
		return false
	}
	for _, char := range []byte(id) {
		isHexDigit := char >= '0' && char <= '9' || char >= 'a' && char <= 'f' || char >= 'A' && char <= 'F'
		if !isHexDigit {
			return false
		}
	}
	return true
}

// Step is a set of equal tasks and what they require.
type Step struct {
	Count     int               `cbor:"1,keyasint"`           // number of tasks
	Resources structs.Resources `cbor:"2,keyasint"`           // that each task requests
	Estimate  time.Duration     `cbor:"3,keyasint,omitempty"` // estimated run time of one task
	After     []int             `cbor:"4,keyasint,omitempty"` // indexes of the earlier steps that must be done first
	// Checkpoints is set if the tasks can resume from a checkpoint.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set if the tasks make progress only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is set if a gang is slow when its tasks run on different racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// RequiredLabel is a label that the runner must have; empty if none is
	// required.
	RequiredLabel string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run fast; empty if the rack does
	// not matter.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerRunner bounds the tasks of the step on one runner; zero if there is
	// no bound.
	MaxPerRunner int `cbor:"10,keyasint,omitempty"`
	// Speculative is set if several runs of a task may be in progress at the
	// same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning is set if the tasks run until their job is cancelled.
	LongRunning bool   `cbor:"12,keyasint,omitempty"`
	Image       string `cbor:"13,keyasint,omitempty"` // what the tasks run; interference is estimated by image
	// TailLatencyTarget is the limit for the tail latency of serving tasks. It
	// is zero for all other tasks.
	TailLatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort is set if the tasks use only processors that other tasks leave
	// idle.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the disruption budget of a long-running step: how many
	// of its tasks may be unavailable at the same time. It is zero if there is
	// no budget.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the capacity that one task reserves on its runner.
// Best-effort tasks reserve no processors.
func (s *Step) Reserved() structs.Resources {
	reserved := s.Resources
	if s.BestEffort {
		reserved.CPUMilli = 0
	}
	return reserved
}

// Spec is the specification of a job as it was submitted.
type Spec struct {
	Text  string `cbor:"1,keyasint"` // passed to the runners unchanged
	Steps []Step `cbor:"2,keyasint"`
	// Repeats is the number of occurrences of a scheduled job. It is zero if
	// the job is not scheduled and runs once.
	Repeats  int           `cbor:"3,keyasint,omitempty"`
	FirstDue time.Duration `cbor:"4,keyasint,omitempty"` // due time of the first occurrence, as time since 1970
	Interval time.Duration `cbor:"5,keyasint,omitempty"` // between the due times of two occurrences
}

// ErrInvalid is wrapped by every error that Check returns.
var ErrInvalid = errors.New("invalid job")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrInvalid}, args...)...)
}

// Check returns an error if the job can't be accepted.
func (s *Spec) Check() error {
	if len(s.Text) > MaxSpecBytes {
		return invalid("spec has %d bytes, at most %d are allowed", len(s.Text), MaxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return invalid("%d steps, want 1 to %d", len(s.Steps), MaxSteps)
	}
	if s.Repeats < 0 || s.Repeats > MaxRepeats || s.Interval < 0 {
		return invalid("schedule has %d repeats at an interval of %v", s.Repeats, s.Interval)
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
	if s.Resources.CPUMilli < 0 || s.Resources.MemoryMB < 0 || s.Resources.Accelerators < 0 || s.Estimate < 0 {
		return invalid("steps[%d] has a negative resource amount or estimate", index)
	}
	if s.MaxPerRunner < 0 || s.MaxUnavailable < 0 || s.TailLatencyTarget < 0 {
		return invalid("steps[%d] has a negative limit", index)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return invalid("steps[%d].after refers to step %d, want an earlier step", index, earlier)
		}
	}
	return nil
}

// LongRunning reports whether the job has tasks that run until it is cancelled.
func (s *Spec) LongRunning() bool {
	for _, step := range s.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}
