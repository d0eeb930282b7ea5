package jobs

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// restoreRows returns the job whose progress is in the rows.
func restoreRows(t testing.TB, j *Job, rows ProgressRows) *Job {
	t.Helper()
	restored := New(j.ID, j.Queue, j.Spec, 0, 1)
	if err := restored.Restore(rows.Head); err != nil {
		t.Fatal(err)
	}
	for number, value := range rows.Parts {
		if err := restored.RestorePart(number, value); err != nil {
			t.Fatal(err)
		}
	}
	return restored
}

// encodeRows returns the rows of a job's progress.
func encodeRows(t testing.TB, j *Job, maxRowBytes int) ProgressRows {
	t.Helper()
	rows, err := EncodeProgressRows(j, time.Minute, maxRowBytes)
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// Guards against progress that changes when it is split over several rows: a task that is lost,
// or done by mistake, would run twice or never. The rows have room for one or two tasks, so any
// progress at all is split.
func TestSplitProgressIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		j := New(testID, Queue{}, spec, 0, 1)
		j.TasksPerRow = rapid.IntRange(1, 3).Draw(t, "tasks per row")
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			if j.State.IsTerminal() {
				break
			}
			advanceOneTask(t, j)
		}
		rows, err := EncodeProgressRows(j, time.Minute, 2000)
		if err != nil {
			t.Fatal(err)
		}
		restored := New(testID, Queue{}, spec, 0, 1)
		if err := restored.Restore(rows.Head); err != nil {
			t.Fatal(err)
		}
		for number, value := range rows.Parts {
			if err := restored.RestorePart(number, value); err != nil {
				t.Fatal(err)
			}
		}
		if !j.State.IsTerminal() && restored.TasksPerRow != j.TasksPerRow {
			t.Fatalf("%d tasks per row, want %d", restored.TasksPerRow, j.TasksPerRow)
		}
		// An occurrence all of whose tasks are in their initial state has no rows.
		for number := range j.Current {
			restored.OpenOccurrence(number)
		}
		compareJobs(t, j, restored)
	})
}

// largestJob returns a job of MaxTasks tasks whose progress takes as much space as it can.
func largestJob(repeats int) *Job {
	spec := Spec{Steps: []Step{{Count: MaxTasks, Checkpoints: true}}, Repeats: repeats}
	j := New(testID, Queue{}, spec, 0, 1)
	o := j.OpenOccurrence(j.Occurrences() - 1)
	for i := range o.Steps[0].Tasks {
		id := TaskID{Job: testID, Occurrence: o.Number, Index: i}
		task := j.Task(id)
		task.RecordCheckpoint(strings.Repeat("x", MaxCheckpointBytes))
		task.LastRun = 1 << 40
		for run := range 2 * MaxFailedRuns {
			j.MarkFailed(id, 1<<40+2*run)
		}
	}
	return j
}

// Guards against an accepted job whose progress no longer fits into the rows of the store. The
// store refused such a row for good, and with it the progress of all other jobs.
func TestRowsOfTheLargestProgressFit(t *testing.T) {
	for _, maxRowBytes := range []int{4 << 10, 64 << 10} {
		for _, repeats := range []int{0, MaxRepeats} {
			j := largestJob(repeats)
			for number := range j.Occurrences() - 1 {
				j.Finished[number] = true
			}
			rows := encodeRows(t, j, maxRowBytes)
			if len(rows.Head) > maxRowBytes*3/4 || len(rows.Parts) < 2 {
				t.Errorf("row-bytes %d: the head has %d bytes, %d parts", maxRowBytes, len(rows.Head), len(rows.Parts))
			}
			for number, value := range rows.Parts {
				if len(value) > maxRowBytes*3/4 {
					t.Fatalf("row-bytes %d: part %d has %d bytes", maxRowBytes, number, len(value))
				}
			}
			restored := restoreRows(t, j, rows)
			last := j.Occurrences() - 1
			for i := range j.Current[last].Steps[0].Tasks {
				want, got := j.Current[last].Steps[0].Tasks[i], restored.Current[last].Steps[0].Tasks[i]
				if want.Checkpoint != got.Checkpoint || want.LastRun != got.LastRun || want.EarlierFailures != got.EarlierFailures || !slices.Equal(want.FailedRuns, got.FailedRuns) {
					t.Fatalf("task %d is %+v, want %+v", i, got, want)
				}
			}
			if len(restored.Finished) != len(j.Finished) {
				t.Errorf("%d finished occurrences, want %d", len(restored.Finished), len(j.Finished))
			}
		}
	}
}

// Guards against the numbers of all failed runs of a task that fails again and again: after
// 26,000 failures the row of its job was too large. Also guards against a failure that counts
// twice because it is listed again after its number was dropped.
func TestFailedRunsOfATaskAreBounded(t *testing.T) {
	j := New(testID, Queue{}, Spec{Steps: []Step{{Count: 1, LongRunning: true}}}, 0, 1)
	j.OpenOccurrence(0)
	id := TaskID{Job: testID}
	const failures = 20_000
	for run := 1; run <= 2*failures; run += 2 {
		if !j.MarkFailed(id, run) {
			t.Fatalf("the failure of run %d does not count", run)
		}
	}
	rows := encodeRows(t, j, 64<<10)
	if len(rows.Head) > 200 || len(rows.Parts) != 0 {
		t.Errorf("%d bytes, %d parts", len(rows.Head), len(rows.Parts))
	}
	for _, job := range []*Job{j, restoreRows(t, j, rows)} {
		for run := 1; run <= 2*failures; run += 2 {
			if job.MarkFailed(id, run) {
				t.Fatalf("the failure of run %d counts twice", run)
			}
		}
		if got := job.Failures(id); got != failures {
			t.Errorf("%d failures, want %d", got, failures)
		}
	}
}

// previousProgress is the stored form of progress of the version that kept all progress in one
// row and all failed runs.
type previousProgress struct {
	State    State                `cbor:"1,keyasint"`
	Finished []int                `cbor:"2,keyasint,omitempty"`
	Current  []previousOccurrence `cbor:"3,keyasint,omitempty"`
	EndedAt  time.Duration        `cbor:"4,keyasint,omitempty"`
}

type previousOccurrence struct {
	Number int            `cbor:"1,keyasint"`
	Steps  []previousStep `cbor:"2,keyasint"`
}

type previousStep struct {
	Finished bool           `cbor:"1,keyasint,omitempty"`
	Done     []byte         `cbor:"2,keyasint,omitempty"`
	Tasks    []previousTask `cbor:"3,keyasint,omitempty"`
}

type previousTask struct {
	Index      int    `cbor:"1,keyasint"`
	LastRun    int    `cbor:"2,keyasint,omitempty"`
	FailedRuns []int  `cbor:"3,keyasint,omitempty"`
	Checkpoint string `cbor:"4,keyasint,omitempty"`
}

// Guards against rows of the previous version that are not read, or keep their long lists of
// failed runs.
func TestProgressOfThePreviousVersionIsRestored(t *testing.T) {
	var failed []int
	for run := range 5000 {
		failed = append(failed, 5000-run)
	}
	value, err := cbor.Marshal(previousProgress{State: Running, Finished: []int{0}, Current: []previousOccurrence{{Number: 1, Steps: []previousStep{
		{Done: []byte{2}, Tasks: []previousTask{{Index: 0, LastRun: 5001, FailedRuns: failed, Checkpoint: "saved"}}},
	}}}})
	if err != nil {
		t.Fatal(err)
	}
	j := New(testID, Queue{}, Spec{Steps: []Step{{Count: 2}}, Repeats: 2}, 0, 1)
	if err := j.Restore(value); err != nil {
		t.Fatal(err)
	}
	first, second := TaskID{Job: testID, Occurrence: 1}, TaskID{Job: testID, Occurrence: 1, Index: 1}
	if j.State != Running || !j.Finished[0] || !j.Task(second).Done || j.Task(first).Checkpoint != "saved" || j.Task(first).LastRun != 5001 {
		t.Errorf("restored %+v", j)
	}
	if j.Failures(first) != 5000 || len(j.Task(first).FailedRuns) != MaxFailedRuns || j.MarkFailed(first, 17) || !j.MarkFailed(first, 5001) {
		t.Errorf("%d failures, %d of them with their numbers", j.Failures(first), len(j.Task(first).FailedRuns))
	}
}

// Guards against an instance of the previous version that takes a job with split progress as
// one that has not begun, and runs tasks again that are done. It must read the state, which
// it returns to clients, but not the progress.
func TestPreviousVersionDoesNotTakeSplitProgressAsNone(t *testing.T) {
	j := largestJob(0)
	j.State = Running
	var decoded previousProgress
	if err := cbor.Unmarshal(encodeRows(t, j, 64<<10).Head, &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded.State != Running || len(decoded.Current) != 1 {
		t.Fatalf("decoded as %+v", decoded)
	}
	// The previous version fails for an occurrence that it can't open.
	if fresh := New(testID, Queue{}, j.Spec, 0, 1); fresh.OpenOccurrence(decoded.Current[0].Number) != nil {
		t.Error("the previous version restores the job without its progress")
	}
}

// Guards against progress that is lost if the rows of the first split are stored only in part:
// the row with the state is stored last, and the further rows do not count before.
func TestPartlyStoredFirstSplitKeepsTheUnsplitProgress(t *testing.T) {
	j := New(testID, Queue{}, Spec{Steps: []Step{{Count: 400}}}, 0, 1)
	j.OpenOccurrence(0)
	j.MarkDone(TaskID{Job: testID, Index: 3})
	before := encodeRows(t, j, 4<<10)
	for i := range 400 {
		j.Task(TaskID{Job: testID, Index: i}).RecordCheckpoint("0123456789abcdef")
	}
	j.MarkDone(TaskID{Job: testID, Index: 4})
	after := encodeRows(t, j, 4<<10)
	if len(before.Parts) != 0 || len(after.Parts) == 0 {
		t.Fatalf("%d parts before and %d after the checkpoints", len(before.Parts), len(after.Parts))
	}
	restored := restoreRows(t, j, ProgressRows{Head: before.Head, Parts: after.Parts})
	if o := restored.Current[0]; !o.Steps[0].Tasks[3].Done || o.Steps[0].Tasks[4].Done || o.Steps[0].UnfinishedTasks != 399 {
		t.Errorf("%d tasks are not done", o.Steps[0].UnfinishedTasks)
	}
}

// Guards against a checkpoint whose length is not limited and which makes a row too large.
func TestTooLongCheckpointIsNotKept(t *testing.T) {
	task := Task{Checkpoint: "earlier"}
	if task.RecordCheckpoint(strings.Repeat("x", MaxCheckpointBytes+1)) || task.Checkpoint != "earlier" {
		t.Errorf("the checkpoint is %.20q", task.Checkpoint)
	}
	if !task.RecordCheckpoint("") || task.Checkpoint != "earlier" {
		t.Error("an empty checkpoint replaces an earlier one")
	}
}
