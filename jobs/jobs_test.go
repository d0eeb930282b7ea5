package jobs

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const id = ID("5c0e7a21d94b36f8")

// genSpec draws a valid job.
func genSpec(t *rapid.T) Spec {
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

// Progress that was stored at any moment must be read back as it was: a task
// that is lost or done by mistake runs twice or never.
func TestProgressRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := genSpec(t)
		j := New(id, Queue{}, spec, 0, 1)
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			if j.State.Terminal() {
				break
			}
			advance(t, j)
		}
		value, err := EncodeProgress(j, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		back := New(id, Queue{}, spec, 0, 1)
		if err := back.Restore(value); err != nil {
			t.Fatal(err)
		}
		compare(t, j, back)
	})
}

// advance lets one task of an open occurrence end somehow.
func advance(t *rapid.T, j *Job) {
	o := j.Open(rapid.IntRange(0, j.Occurrences()-1).Draw(t, "occurrence"))
	if o == nil {
		return
	}
	step := rapid.IntRange(0, len(o.Steps)-1).Draw(t, "step")
	if !j.Ready(o, step) {
		return
	}
	task := TaskID{Job: id, Occurrence: o.Number, Step: step, Index: rapid.IntRange(0, len(o.Steps[step].Tasks)-1).Draw(t, "index")}
	run := rapid.IntRange(1, 5).Draw(t, "run")
	switch rapid.IntRange(0, 2).Draw(t, "how") {
	case 0:
		j.MarkDone(task)
	case 1:
		j.MarkFailed(task, run)
	case 2:
		j.Task(task).Saved = "saved"
		j.Task(task).LastRun = max(2, run)
	}
}

func compare(t *rapid.T, a, b *Job) {
	if a.State != b.State {
		t.Fatalf("state %v, was %v", b.State, a.State)
	}
	if a.State.Terminal() {
		return
	}
	for number := range a.Occurrences() {
		x, y := a.Current[number], b.Current[number]
		if (x == nil) != (y == nil) || a.Finished[number] != b.Finished[number] {
			t.Fatalf("occurrence %d: %v, was %v", number, y, x)
		}
		if x == nil {
			continue
		}
		if x.Left != y.Left {
			t.Fatalf("occurrence %d: %d steps left, was %d", number, y.Left, x.Left)
		}
		for i := range x.Steps {
			compareStep(t, &x.Steps[i], &y.Steps[i])
		}
	}
}

func compareStep(t *rapid.T, a, b *StepState) {
	if a.Left != b.Left {
		t.Fatalf("%d tasks left, was %d", b.Left, a.Left)
	}
	for i := range a.Tasks {
		x, y := a.Tasks[i], b.Tasks[i]
		same := x.Done == y.Done && (x.Done || x.Saved == y.Saved && slices.Equal(x.FailedRuns, y.FailedRuns) && (x.LastRun == y.LastRun || x.LastRun <= 1))
		if !same {
			t.Fatalf("task %d is %+v, was %+v", i, y, x)
		}
	}
}

// Task names are read from runners; one that is taken for another would end the
// wrong task.
func TestTaskNames(t *testing.T) {
	want := TaskID{Job: id, Occurrence: 3, Step: 1, Index: 17}
	if got, err := ParseTaskID(want.String()); err != nil || got != want {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"", "a.0.0", "a.0.0.x", "a.0.-1.0", "a.0.0.0.0"} {
		if got, err := ParseTaskID(bad); err == nil {
			t.Errorf("%q became %v", bad, got)
		}
	}
}

// Jobs that can't be run or stored must be refused at the door.
func TestCheck(t *testing.T) {
	sound := func() Spec { return Spec{Steps: []Step{{Count: 1}, {Count: 2, After: []int{0}}}} }
	for name, change := range map[string]func(*Spec){
		"no steps":        func(s *Spec) { s.Steps = nil },
		"no tasks":        func(s *Spec) { s.Steps[0].Count = 0 },
		"self reference":  func(s *Spec) { s.Steps[1].After = []int{1} },
		"later step":      func(s *Spec) { s.Steps[0].After = []int{1} },
		"too many tasks":  func(s *Spec) { s.Steps[0].Count, s.Steps[1].Count = MaxTasks, 1 },
		"negative ask":    func(s *Spec) { s.Steps[0].Ask.CPUMilli = -1 },
		"negative limit":  func(s *Spec) { s.Steps[0].MaxPerRunner = -1 },
		"long text":       func(s *Spec) { s.Text = string(make([]byte, MaxSpecBytes+1)) },
		"negative repeat": func(s *Spec) { s.Repeats = -1 },
	} {
		s := sound()
		change(&s)
		if s.Check() == nil {
			t.Errorf("%s is accepted", name)
		}
	}
	s := sound()
	if err := s.Check(); err != nil {
		t.Error(err)
	}
}
