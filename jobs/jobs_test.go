package jobs

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testID is a valid job ID.
const testID = ID("5c0e7a21d94b36f8")

// drawSpec draws a valid specification.
func drawSpec(t *rapid.T) Spec {
	spec := Spec{Text: rapid.StringN(0, 20, 40).Draw(t, "text")}
	for i := range rapid.IntRange(1, 5).Draw(t, "steps") {
		step := Step{Count: rapid.IntRange(1, 20).Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang"), Estimate: time.Second}
		if i > 0 {
			step.After = rapid.SliceOfDistinct(rapid.IntRange(0, i-1), func(n int) int { return n }).Draw(t, "after")
		}
		spec.Steps = append(spec.Steps, step)
	}
	if rapid.Bool().Draw(t, "scheduled") {
		spec.Repeats, spec.Interval = rapid.IntRange(1, 4).Draw(t, "repeats"), time.Second
	}
	return spec
}

// Progress must be the same after it was stored and read back, whatever has
// happened to the job. A task that is lost, or done by mistake, would run twice
// or never.
func TestProgressSurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		j := New(testID, Queue{}, spec, 0, 1)
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			if j.State.IsTerminal() {
				break
			}
			advanceOneTask(t, j)
		}
		value, err := EncodeProgress(j, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		restored := New(testID, Queue{}, spec, 0, 1)
		if err := restored.Restore(value); err != nil {
			t.Fatal(err)
		}
		compareJobs(t, j, restored)
	})
}

// advanceOneTask lets a task of an open occurrence finish, fail or save a
// checkpoint.
func advanceOneTask(t *rapid.T, j *Job) {
	o := j.OpenOccurrence(rapid.IntRange(0, j.Occurrences()-1).Draw(t, "occurrence"))
	if o == nil {
		return
	}
	step := rapid.IntRange(0, len(o.Steps)-1).Draw(t, "step")
	if !j.IsStepReady(o, step) {
		return
	}
	task := TaskID{Job: testID, Occurrence: o.Number, Step: step, Index: rapid.IntRange(0, len(o.Steps[step].Tasks)-1).Draw(t, "index")}
	run := rapid.IntRange(1, 5).Draw(t, "run")
	switch rapid.IntRange(0, 2).Draw(t, "how") {
	case 0:
		j.MarkDone(task)
	case 1:
		j.MarkFailed(task, run)
	case 2:
		j.Task(task).Checkpoint = "saved"
		j.Task(task).LastRun = max(2, run)
	}
}

// compareJobs fails the test if the progress of two jobs differs.
func compareJobs(t *rapid.T, want, got *Job) {
	if want.State != got.State {
		t.Fatalf("state %v, want %v", got.State, want.State)
	}
	if want.State.IsTerminal() {
		return
	}
	for number := range want.Occurrences() {
		wantOccurrence, gotOccurrence := want.Current[number], got.Current[number]
		if (wantOccurrence == nil) != (gotOccurrence == nil) || want.Finished[number] != got.Finished[number] {
			t.Fatalf("occurrence %d: %v, want %v", number, gotOccurrence, wantOccurrence)
		}
		if wantOccurrence == nil {
			continue
		}
		if wantOccurrence.UnfinishedSteps != gotOccurrence.UnfinishedSteps {
			t.Fatalf("occurrence %d: %d unfinished steps, want %d", number, gotOccurrence.UnfinishedSteps, wantOccurrence.UnfinishedSteps)
		}
		for i := range wantOccurrence.Steps {
			compareSteps(t, &wantOccurrence.Steps[i], &gotOccurrence.Steps[i])
		}
	}
}

// compareSteps fails the test if the progress of two steps differs. Details of
// tasks that are done and first runs are not stored, so they may differ.
func compareSteps(t *rapid.T, want, got *StepState) {
	if want.UnfinishedTasks != got.UnfinishedTasks {
		t.Fatalf("%d unfinished tasks, want %d", got.UnfinishedTasks, want.UnfinishedTasks)
	}
	for i := range want.Tasks {
		wantTask, gotTask := want.Tasks[i], got.Tasks[i]
		isEqual := wantTask.Done == gotTask.Done && (wantTask.Done || wantTask.Checkpoint == gotTask.Checkpoint && slices.Equal(wantTask.FailedRuns, gotTask.FailedRuns) && (wantTask.LastRun == gotTask.LastRun || wantTask.LastRun <= 1))
		if !isEqual {
			t.Fatalf("task %d is %+v, want %+v", i, gotTask, wantTask)
		}
	}
}

// Task names are read back from runners. A name that is taken for that of
// another task would end the wrong task.
func TestTaskNamesParseOnlyIfValid(t *testing.T) {
	want := TaskID{Job: testID, Occurrence: 3, Step: 1, Index: 17}
	if got, err := ParseTaskID(want.String()); err != nil || got != want {
		t.Errorf("%v, %v", got, err)
	}
	for _, invalidName := range []string{"", "a.0.0", "a.0.0.x", "a.0.-1.0", "a.0.0.0.0"} {
		if got, err := ParseTaskID(invalidName); err == nil {
			t.Errorf("%q became %v", invalidName, got)
		}
	}
}

// Jobs that can't be run or stored must be refused when they are submitted.
func TestCheckRefusesInvalidSpecs(t *testing.T) {
	validSpec := func() Spec { return Spec{Steps: []Step{{Count: 1}, {Count: 2, After: []int{0}}}} }
	for name, change := range map[string]func(*Spec){
		"no steps":        func(spec *Spec) { spec.Steps = nil },
		"no tasks":        func(spec *Spec) { spec.Steps[0].Count = 0 },
		"self reference":  func(spec *Spec) { spec.Steps[1].After = []int{1} },
		"later step":      func(spec *Spec) { spec.Steps[0].After = []int{1} },
		"too many tasks":  func(spec *Spec) { spec.Steps[0].Count, spec.Steps[1].Count = MaxTasks, 1 },
		"negative amount": func(spec *Spec) { spec.Steps[0].Resources.CPUMilli = -1 },
		"negative limit":  func(spec *Spec) { spec.Steps[0].MaxPerRunner = -1 },
		"long text":       func(spec *Spec) { spec.Text = string(make([]byte, MaxSpecBytes+1)) },
		"negative repeat": func(spec *Spec) { spec.Repeats = -1 },
	} {
		spec := validSpec()
		change(&spec)
		if spec.Check() == nil {
			t.Errorf("%s is accepted", name)
		}
	}
	spec := validSpec()
	if err := spec.Check(); err != nil {
		t.Error(err)
	}
}
