package jobs

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// State is the state of a job.
type State uint8

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// IsTerminal reports whether a job in this state has ended: completed, failed or
// cancelled. Such a state never changes.
func (s State) IsTerminal() bool { return s >= Completed }

// String returns the name of the state for log lines.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// MarshalText implements encoding.TextMarshaler, for log lines.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// TaskID identifies a task: its job, its occurrence of the job, its step and
// its index in the step.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the name under which runners know the task.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// MarshalText implements encoding.TextMarshaler, for log lines.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// ParseTaskID returns the task with the given name. It is the inverse of
// String.
func ParseTaskID(name string) (TaskID, error) {
	job, rest, _ := strings.Cut(name, ".")
	var numbers [3]int
	for i := range numbers {
		field, remainder, found := strings.Cut(rest, ".")
		if found != (i < len(numbers)-1) {
			return TaskID{}, fmt.Errorf("task name %q: want four fields", name)
		}
		n, err := strconv.Atoi(field)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task name %q: field %d is not an index", name, i+1)
		}
		numbers[i], rest = n, remainder
	}
	return TaskID{Job: ID(job), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Task is the stored progress of one task. The coordinator keeps track of the
// runs that are in progress.
type Task struct {
	Done       bool
	LastRun    int    // highest run number that was used
	FailedRuns []int  // numbers of the newest runs that failed, at most MaxFailedRuns
	Checkpoint string // newest checkpoint; empty if there is none
	// EarlierFailures counts the failed runs that FailedRuns no longer holds. Runs up to the
	// number FailuresUpTo are not counted again.
	EarlierFailures, FailuresUpTo int
}

// Limits of the stored progress of one task. They bound the size of its record.
const (
	// MaxFailedRuns bounds the numbers of failed runs that are kept so that a failure which
	// is listed twice counts once. The failures of long-running tasks, and those in queues
	// without a limit of attempts, are unlimited.
	MaxFailedRuns = 16
	// MaxCheckpointBytes is the length of the longest checkpoint that is kept.
	MaxCheckpointBytes = 512
)

// RecordCheckpoint records the newest checkpoint of the task; an empty one changes nothing. It
// reports false, and keeps the earlier checkpoint, if the new one is too long to be stored.
func (t *Task) RecordCheckpoint(checkpoint string) bool {
	if len(checkpoint) > MaxCheckpointBytes {
		return false
	}
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	return true
}

// trimFailedRuns replaces the lowest numbers of failed runs by their count while there are
// more than MaxFailedRuns.
func (t *Task) trimFailedRuns() {
	excess := len(t.FailedRuns) - MaxFailedRuns
	if excess <= 0 {
		return
	}
	slices.Sort(t.FailedRuns)
	t.EarlierFailures += excess
	t.FailuresUpTo = max(t.FailuresUpTo, t.FailedRuns[excess-1])
	t.FailedRuns = slices.Delete(t.FailedRuns, 0, excess)
}

// StepState is the progress of one step in one occurrence.
type StepState struct {
	Tasks           []Task
	UnfinishedTasks int // number of tasks that are not done
}

// Occurrence is the progress of one execution of all steps of a job.
type Occurrence struct {
	Number          int
	Steps           []StepState
	UnfinishedSteps int // number of steps that are not done
}

// Job is an accepted job and its progress.
type Job struct {
	ID         ID
	Queue      Queue // as it was configured when the job was accepted
	Spec       Spec
	AcceptedAt time.Duration // on the store's clock
	Version    uint64        // of the row that records the acceptance
	State      State
	// Current holds the occurrences that have begun and are not finished, by
	// number.
	Current map[int]*Occurrence
	// Finished holds the numbers of the occurrences whose tasks are all done.
	Finished map[int]bool
	// TasksPerRow is the number of consecutive tasks whose progress one further row holds. It is
	// zero while all progress fits into one row, and does not change any more once it is set.
	TasksPerRow int
}

// New returns an accepted job without progress.
func New(id ID, queue Queue, spec Spec, acceptedAt time.Duration, version uint64) *Job {
	j := &Job{ID: id, Queue: queue, Spec: spec, AcceptedAt: acceptedAt, Version: version}
	j.Current = map[int]*Occurrence{}
	j.Finished = map[int]bool{}
	return j
}

// Occurrences returns the number of times that the steps of the job are
// executed.
func (j *Job) Occurrences() int { return max(1, j.Spec.Repeats) }

// DueTime returns when an occurrence may start, as time since 1970. It is zero
// if the occurrence may start at once.
func (j *Job) DueTime(number int) time.Duration {
	if j.Spec.Repeats == 0 {
		return 0
	}
	return j.Spec.FirstDue + time.Duration(number)*j.Spec.Interval
}

// OpenOccurrence returns an occurrence that is not finished, and creates its
// progress on first use. It returns nil if the occurrence is finished or does
// not exist, or if the job has ended.
func (j *Job) OpenOccurrence(number int) *Occurrence {
	if o := j.Current[number]; o != nil {
		return o
	}
	if number < 0 || number >= j.Occurrences() || j.Finished[number] || j.State.IsTerminal() {
		return nil
	}
	o := &Occurrence{Number: number, Steps: make([]StepState, len(j.Spec.Steps)), UnfinishedSteps: len(j.Spec.Steps)}
	for i, step := range j.Spec.Steps {
		o.Steps[i] = StepState{Tasks: make([]Task, step.Count), UnfinishedTasks: step.Count}
	}
	j.Current[number] = o
	return o
}

// Task returns the progress of a task. It returns nil if the task does not
// exist or its occurrence is not in progress.
func (j *Job) Task(id TaskID) *Task {
	o := j.Current[id.Occurrence]
	if o == nil || id.Step >= len(o.Steps) || id.Index >= len(o.Steps[id.Step].Tasks) {
		return nil
	}
	return &o.Steps[id.Step].Tasks[id.Index]
}

// IsStepReady reports whether all steps are done that must precede the step.
func (j *Job) IsStepReady(o *Occurrence, step int) bool {
	for _, earlier := range j.Spec.Steps[step].After {
		if o.Steps[earlier].UnfinishedTasks > 0 {
			return false
		}
	}
	return true
}

// MarkDone records that a task is done. For a gang it records that all tasks of
// the gang are done. It reports whether this finished the step.
func (j *Job) MarkDone(id TaskID) bool {
	o := j.Current[id.Occurrence]
	if o == nil || j.Task(id) == nil {
		return false
	}
	step := &o.Steps[id.Step]
	if step.UnfinishedTasks == 0 {
		return false
	}
	if j.Spec.Steps[id.Step].Gang {
		for i := range step.Tasks {
			step.Tasks[i].Done = true
		}
		step.UnfinishedTasks = 0
	} else if t := &step.Tasks[id.Index]; !t.Done {
		t.Done = true
		step.UnfinishedTasks--
	}
	if step.UnfinishedTasks > 0 {
		return false
	}
	j.finishStep(o)
	return true
}

// finishStep records that a step of the occurrence is done, and with the last
// step the occurrence and with the last occurrence the job.
func (j *Job) finishStep(o *Occurrence) {
	o.UnfinishedSteps--
	if o.UnfinishedSteps > 0 {
		return
	}
	delete(j.Current, o.Number)
	j.Finished[o.Number] = true
	if len(j.Finished) == j.Occurrences() {
		j.State = Completed
	}
}

// MarkFailed records that a run of a task failed. It reports whether the
// failure is new. The failures of all members of a gang are recorded with the
// gang's first task.
func (j *Job) MarkFailed(id TaskID, run int) bool {
	if j.Spec.Steps[id.Step].Gang {
		id.Index = 0
	}
	t := j.Task(id)
	if t == nil || run <= t.FailuresUpTo || slices.Contains(t.FailedRuns, run) {
		return false
	}
	t.FailedRuns = append(t.FailedRuns, run)
	t.trimFailedRuns()
	return true
}

// Failures returns the number of failed runs of a task, or of its gang.
func (j *Job) Failures(id TaskID) int {
	if j.Spec.Steps[id.Step].Gang {
		id.Index = 0
	}
	t := j.Task(id)
	if t == nil {
		return 0
	}
	return len(t.FailedRuns) + t.EarlierFailures
}
