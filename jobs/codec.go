package jobs

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// acceptedRecord is the stored form of an accepted job. It contains the queue,
// so that the job can run after its queue has been removed from the
// configuration.
type acceptedRecord struct {
	Queue      Queue         `cbor:"1,keyasint"`
	Spec       Spec          `cbor:"2,keyasint"`
	AcceptedAt time.Duration `cbor:"3,keyasint"`
}

// EncodeAccepted returns the stored form of a newly accepted job.
func EncodeAccepted(queue Queue, spec Spec, acceptedAt time.Duration) ([]byte, error) {
	return cbor.Marshal(acceptedRecord{queue, spec, acceptedAt})
}

// DecodeAccepted returns the job that EncodeAccepted encoded, without progress.
// version is the version of its row.
func DecodeAccepted(id ID, value []byte, version uint64) (*Job, error) {
	var record acceptedRecord
	if err := cbor.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("decode accepted job %s: %w", id, err)
	}
	if err := record.Spec.Check(); err != nil {
		return nil, fmt.Errorf("accepted job %s: %w", id, err)
	}
	return New(id, record.Queue, record.Spec, record.AcceptedAt, version), nil
}

// progressRecord is the stored form of a job's progress.
type progressRecord struct {
	State    State              `cbor:"1,keyasint"`
	Finished []int              `cbor:"2,keyasint,omitempty"`
	Current  []occurrenceRecord `cbor:"3,keyasint,omitempty"`
	// EndedAt is when the job ended, on the store's clock.
	EndedAt time.Duration `cbor:"4,keyasint,omitempty"`
	// TasksPerRow and FinishedBits are set if the tasks' progress is in further rows. Then
	// Finished is empty, and Current holds nothing but the marker splitOccurrence.
	TasksPerRow  int    `cbor:"5,keyasint,omitempty"`
	FinishedBits []byte `cbor:"6,keyasint,omitempty"` // one bit for each finished occurrence
}

// occurrenceRecord is the stored form of an Occurrence.
type occurrenceRecord struct {
	Number int          `cbor:"1,keyasint"`
	Steps  []stepRecord `cbor:"2,keyasint"`
}

// stepRecord is the stored form of a StepState. If all tasks are done, only
// Finished is set. Otherwise Done marks the tasks that are done, and Tasks
// contains the others, except for tasks in their initial state.
type stepRecord struct {
	Finished bool         `cbor:"1,keyasint,omitempty"`
	Done     []byte       `cbor:"2,keyasint,omitempty"` // one bit for each task
	Tasks    []taskRecord `cbor:"3,keyasint,omitempty"`
}

// taskRecord is the stored form of a Task that is not done.
type taskRecord struct {
	Index      int    `cbor:"1,keyasint"`
	LastRun    int    `cbor:"2,keyasint,omitempty"`
	FailedRuns []int  `cbor:"3,keyasint,omitempty"`
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// EarlierFailures and FailuresUpTo are ignored by versions that keep all failed runs.
	EarlierFailures int `cbor:"5,keyasint,omitempty"`
	FailuresUpTo    int `cbor:"6,keyasint,omitempty"`
}

// newTaskRecord returns the stored form of a task that is not done. ok is false if the task
// needs no record: it is in its initial state, or in its first run, which the runner reports.
func newTaskRecord(index int, t *Task) (record taskRecord, ok bool) {
	if t.LastRun <= 1 && len(t.FailedRuns) == 0 && t.Checkpoint == "" {
		return taskRecord{}, false
	}
	return taskRecord{index, t.LastRun, t.FailedRuns, t.Checkpoint, t.EarlierFailures, t.FailuresUpTo}, true
}

// restore applies a stored record to a task.
func (t *Task) restore(record taskRecord) {
	t.LastRun, t.FailedRuns = record.LastRun, record.FailedRuns
	t.EarlierFailures, t.FailuresUpTo = record.EarlierFailures, record.FailuresUpTo
	t.trimFailedRuns()
	t.RecordCheckpoint(record.Checkpoint)
}

// EncodeProgress returns the stored form of the job's progress. endedAt is when
// the job ended; it is ignored if the job has not ended.
func EncodeProgress(j *Job, endedAt time.Duration) ([]byte, error) {
	record := progressRecord{State: j.State}
	if j.State.IsTerminal() {
		record.EndedAt = endedAt
		return cbor.Marshal(record)
	}
	record.Finished = slices.Sorted(maps.Keys(j.Finished))
	for _, number := range slices.Sorted(maps.Keys(j.Current)) {
		record.Current = append(record.Current, encodeOccurrence(j.Current[number]))
	}
	return cbor.Marshal(record)
}

func encodeOccurrence(o *Occurrence) occurrenceRecord {
	record := occurrenceRecord{Number: o.Number, Steps: make([]stepRecord, len(o.Steps))}
	for i := range o.Steps {
		record.Steps[i] = encodeStep(&o.Steps[i])
	}
	return record
}

func encodeStep(step *StepState) stepRecord {
	if step.UnfinishedTasks == 0 {
		return stepRecord{Finished: true}
	}
	var record stepRecord
	if step.UnfinishedTasks < len(step.Tasks) {
		record.Done = make([]byte, (len(step.Tasks)+7)/8)
	}
	for i := range step.Tasks {
		t := &step.Tasks[i]
		if t.Done {
			record.Done[i/8] |= 1 << (i % 8)
			continue
		}
		if taskRecord, ok := newTaskRecord(i, t); ok {
			record.Tasks = append(record.Tasks, taskRecord)
		}
	}
	return record
}

// DecodeState returns the state that is stored in a record of progress and, if
// the job has ended, when it ended.
func DecodeState(value []byte) (State, time.Duration, error) {
	var record progressRecord
	if err := cbor.Unmarshal(value, &record); err != nil {
		return 0, 0, fmt.Errorf("decode progress: %w", err)
	}
	if record.State > Cancelled {
		return 0, 0, fmt.Errorf("decode progress: unknown state %d", record.State)
	}
	return record.State, record.EndedAt, nil
}

// Restore applies a stored record of progress to a job without progress. If the progress is
// split over several rows (see EncodeProgressRows), RestorePart has to follow for each of the
// further rows.
func (j *Job) Restore(value []byte) error {
	var record progressRecord
	if err := cbor.Unmarshal(value, &record); err != nil {
		return fmt.Errorf("decode progress of job %s: %w", j.ID, err)
	}
	if record.State > Cancelled {
		return fmt.Errorf("progress of job %s: unknown state %d", j.ID, record.State)
	}
	for _, number := range record.Finished {
		j.Finished[number] = true
	}
	if record.TasksPerRow > 0 {
		j.TasksPerRow, j.State = record.TasksPerRow, record.State
		j.restoreFinishedBits(record.FinishedBits)
		return nil
	}
	for _, occurrence := range record.Current {
		if err := j.restoreOccurrence(occurrence); err != nil {
			return err
		}
	}
	j.State = record.State
	return nil
}

func (j *Job) restoreOccurrence(record occurrenceRecord) error {
	o := j.OpenOccurrence(record.Number)
	if o == nil || len(record.Steps) != len(o.Steps) {
		return fmt.Errorf("progress of job %s: occurrence %d does not match the job", j.ID, record.Number)
	}
	for i, step := range record.Steps {
		if err := o.Steps[i].restore(step); err != nil {
			return fmt.Errorf("decode progress of job %s: %w", j.ID, err)
		}
		if o.Steps[i].UnfinishedTasks == 0 {
			o.UnfinishedSteps--
		}
	}
	return nil
}

func (s *StepState) restore(record stepRecord) error {
	for i := range s.Tasks {
		if record.Finished || i/8 < len(record.Done) && record.Done[i/8]&(1<<(i%8)) != 0 {
			s.Tasks[i].Done = true
			s.UnfinishedTasks--
		}
	}
	for _, t := range record.Tasks {
		if t.Index < 0 || t.Index >= len(s.Tasks) {
			return fmt.Errorf("task %d does not exist", t.Index)
		}
		s.Tasks[t.Index].restore(t)
	}
	return nil
}
