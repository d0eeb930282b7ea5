package jobs

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// State is where a job stands.
type State uint8

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s >= Completed }

// String returns the state's name for log lines.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// MarshalText implements encoding.TextMarshaler, for log lines.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// TaskID names a task of a job's occurrence.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the name that runners know the task by.
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

// ParseTaskID is the inverse of String.
func ParseTaskID(name string) (TaskID, error) {
	job, rest, _ := strings.Cut(name, ".")
	var numbers [3]int
	for i := range numbers {
		field, after, found := strings.Cut(rest, ".")
		if found != (i < len(numbers)-1) {
			return TaskID{}, fmt.Errorf("task %q: want four fields", name)
		}
		n, err := strconv.Atoi(field)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task %q: field %d is no index", name, i+1)
		}
		numbers[i], rest = n, after
	}
	return TaskID{Job: ID(job), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Task is what is known of one task. Runs that are under way are kept by the
// coordinator.
type Task struct {
	Done       bool
	LastRun    int    // highest run number ever used
	FailedRuns []int  // run numbers that ended as failed
	Saved      string // newest checkpoint
}

// StepState is the progress of one step of an occurrence.
type StepState struct {
	Tasks []Task
	Left  int // tasks that are not done
}

// Occurrence is one execution of all steps.
type Occurrence struct {
	Number int
	Steps  []StepState
	Left   int // steps that are not done
}

// Job is one accepted job and its progress.
type Job struct {
	ID       ID
	Queue    Queue // as it was when the job was accepted
	Spec     Spec
	Accepted time.Duration // on the store's clock
	Version  uint64        // version of the row that records the acceptance
	State    State
	// Current holds the occurrences that have begun and are not finished.
	Current map[int]*Occurrence
	// Finished marks occurrences all of whose tasks are done.
	Finished map[int]bool
}

// New returns a job without progress.
func New(id ID, queue Queue, spec Spec, accepted time.Duration, version uint64) *Job {
	j := &Job{ID: id, Queue: queue, Spec: spec, Accepted: accepted, Version: version}
	j.Current = map[int]*Occurrence{}
	j.Finished = map[int]bool{}
	return j
}

// Occurrences is the number of times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Spec.Repeats) }

// Due returns when an occurrence may start, as time since 1970; zero means at
// once.
func (j *Job) Due(number int) time.Duration {
	if j.Spec.Repeats == 0 {
		return 0
	}
	return j.Spec.First + time.Duration(number)*j.Spec.Interval
}

// Open returns the occurrence, creating it if it is neither begun nor finished.
// It returns nil for one that is finished or does not exist.
func (j *Job) Open(number int) *Occurrence {
	if o := j.Current[number]; o != nil {
		return o
	}
	if number < 0 || number >= j.Occurrences() || j.Finished[number] || j.State.Terminal() {
		return nil
	}
	o := &Occurrence{Number: number, Steps: make([]StepState, len(j.Spec.Steps)), Left: len(j.Spec.Steps)}
	for i, step := range j.Spec.Steps {
		o.Steps[i] = StepState{Tasks: make([]Task, step.Count), Left: step.Count}
	}
	j.Current[number] = o
	return o
}

// Task returns the task, or nil if there is none that is unfinished.
func (j *Job) Task(id TaskID) *Task {
	o := j.Current[id.Occurrence]
	if o == nil || id.Step >= len(o.Steps) || id.Index >= len(o.Steps[id.Step].Tasks) {
		return nil
	}
	return &o.Steps[id.Step].Tasks[id.Index]
}

// Ready reports whether all steps before the step are done.
func (j *Job) Ready(o *Occurrence, step int) bool {
	for _, before := range j.Spec.Steps[step].After {
		if o.Steps[before].Left > 0 {
			return false
		}
	}
	return true
}

// MarkDone records that a task is done; for a gang, that all of its tasks are.
// It reports whether that finished the step.
func (j *Job) MarkDone(id TaskID) bool {
	o := j.Current[id.Occurrence]
	if o == nil || j.Task(id) == nil {
		return false
	}
	step := &o.Steps[id.Step]
	if step.Left == 0 {
		return false
	}
	if j.Spec.Steps[id.Step].Gang {
		for i := range step.Tasks {
			step.Tasks[i].Done = true
		}
		step.Left = 0
	} else if t := &step.Tasks[id.Index]; !t.Done {
		t.Done = true
		step.Left--
	}
	if step.Left > 0 {
		return false
	}
	j.finishStep(o)
	return true
}

func (j *Job) finishStep(o *Occurrence) {
	o.Left--
	if o.Left > 0 {
		return
	}
	delete(j.Current, o.Number)
	j.Finished[o.Number] = true
	if len(j.Finished) == j.Occurrences() {
		j.State = Completed
	}
}

// MarkFailed records that a run failed and reports whether it was not recorded
// before. Members of a gang share one record, that of the first task.
func (j *Job) MarkFailed(id TaskID, run int) bool {
	if j.Spec.Steps[id.Step].Gang {
		id.Index = 0
	}
	t := j.Task(id)
	if t == nil || slices.Contains(t.FailedRuns, run) {
		return false
	}
	t.FailedRuns = append(t.FailedRuns, run)
	return true
}

// Failures returns how often a task, or its gang, has failed.
func (j *Job) Failures(id TaskID) int {
	if j.Spec.Steps[id.Step].Gang {
		id.Index = 0
	}
	t := j.Task(id)
	if t == nil {
		return 0
	}
	return len(t.FailedRuns)
}
