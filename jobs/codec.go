package jobs

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// acceptedRecord is the stored form of an accepted job. It holds the queue, so
// that the job runs also after the queue was removed.
type acceptedRecord struct {
	Queue    Queue         `cbor:"1,keyasint"`
	Spec     Spec          `cbor:"2,keyasint"`
	Accepted time.Duration `cbor:"3,keyasint"`
}

// EncodeAccepted returns the record of a newly accepted job.
func EncodeAccepted(queue Queue, spec Spec, accepted time.Duration) ([]byte, error) {
	return cbor.Marshal(acceptedRecord{queue, spec, accepted})
}

// DecodeAccepted is the inverse of EncodeAccepted.
func DecodeAccepted(id ID, value []byte, version uint64) (*Job, error) {
	var r acceptedRecord
	if err := cbor.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("accepted job %s: %w", id, err)
	}
	if err := r.Spec.Check(); err != nil {
		return nil, fmt.Errorf("accepted job %s: %w", id, err)
	}
	return New(id, r.Queue, r.Spec, r.Accepted, version), nil
}

// progressRecord is the stored form of a job's progress.
type progressRecord struct {
	State    State              `cbor:"1,keyasint"`
	Finished []int              `cbor:"2,keyasint,omitempty"`
	Current  []occurrenceRecord `cbor:"3,keyasint,omitempty"`
	// Ended is when the state became final, on the store's clock.
	Ended time.Duration `cbor:"4,keyasint,omitempty"`
}

type occurrenceRecord struct {
	Number int          `cbor:"1,keyasint"`
	Steps  []stepRecord `cbor:"2,keyasint"`
}

// stepRecord lists only the tasks that differ from new ones. Finished is set
// instead if all tasks are done.
type stepRecord struct {
	Finished bool         `cbor:"1,keyasint,omitempty"`
	Done     []byte       `cbor:"2,keyasint,omitempty"` // one bit a task
	Tasks    []taskRecord `cbor:"3,keyasint,omitempty"`
}

type taskRecord struct {
	Index   int    `cbor:"1,keyasint"`
	LastRun int    `cbor:"2,keyasint,omitempty"`
	Failed  []int  `cbor:"3,keyasint,omitempty"`
	Saved   string `cbor:"4,keyasint,omitempty"`
}

// EncodeProgress returns the record of the job's progress. Ended is when the
// state became final, if it is.
func EncodeProgress(j *Job, ended time.Duration) ([]byte, error) {
	r := progressRecord{State: j.State}
	if j.State.Terminal() {
		r.Ended = ended
		return cbor.Marshal(r)
	}
	r.Finished = slices.Sorted(maps.Keys(j.Finished))
	for _, number := range slices.Sorted(maps.Keys(j.Current)) {
		r.Current = append(r.Current, encodeOccurrence(j.Current[number]))
	}
	return cbor.Marshal(r)
}

func encodeOccurrence(o *Occurrence) occurrenceRecord {
	r := occurrenceRecord{Number: o.Number, Steps: make([]stepRecord, len(o.Steps))}
	for i := range o.Steps {
		r.Steps[i] = encodeStep(&o.Steps[i])
	}
	return r
}

func encodeStep(s *StepState) stepRecord {
	if s.Left == 0 {
		return stepRecord{Finished: true}
	}
	var r stepRecord
	if s.Left < len(s.Tasks) {
		r.Done = make([]byte, (len(s.Tasks)+7)/8)
	}
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if t.Done {
			r.Done[i/8] |= 1 << (i % 8)
			continue
		}
		// A first run that is under way says nothing that runners don't list.
		if t.LastRun > 1 || len(t.FailedRuns) > 0 || t.Saved != "" {
			r.Tasks = append(r.Tasks, taskRecord{i, t.LastRun, t.FailedRuns, t.Saved})
		}
	}
	return r
}

// DecodeState returns the state and, for final ones, when it became final.
func DecodeState(value []byte) (State, time.Duration, error) {
	var r progressRecord
	if err := cbor.Unmarshal(value, &r); err != nil {
		return 0, 0, fmt.Errorf("progress: %w", err)
	}
	if r.State > Cancelled {
		return 0, 0, fmt.Errorf("progress: unknown state %d", r.State)
	}
	return r.State, r.Ended, nil
}

// Restore applies a stored record to a job without progress.
func (j *Job) Restore(value []byte) error {
	var r progressRecord
	if err := cbor.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("progress of job %s: %w", j.ID, err)
	}
	if r.State > Cancelled {
		return fmt.Errorf("progress of job %s: unknown state %d", j.ID, r.State)
	}
	for _, number := range r.Finished {
		j.Finished[number] = true
	}
	for _, o := range r.Current {
		if err := j.restoreOccurrence(o); err != nil {
			return err
		}
	}
	j.State = r.State
	return nil
}

func (j *Job) restoreOccurrence(r occurrenceRecord) error {
	o := j.Open(r.Number)
	if o == nil || len(r.Steps) != len(o.Steps) {
		return fmt.Errorf("progress of job %s: occurrence %d does not match the job", j.ID, r.Number)
	}
	for i, step := range r.Steps {
		if err := o.Steps[i].restore(step); err != nil {
			return fmt.Errorf("progress of job %s: %w", j.ID, err)
		}
		if o.Steps[i].Left == 0 {
			o.Left--
		}
	}
	return nil
}

func (s *StepState) restore(r stepRecord) error {
	for i := range s.Tasks {
		if r.Finished || i/8 < len(r.Done) && r.Done[i/8]&(1<<(i%8)) != 0 {
			s.Tasks[i].Done = true
			s.Left--
		}
	}
	for _, t := range r.Tasks {
		if t.Index < 0 || t.Index >= len(s.Tasks) {
			return fmt.Errorf("task %d does not exist", t.Index)
		}
		task := &s.Tasks[t.Index]
		task.LastRun, task.FailedRuns, task.Saved = t.LastRun, t.Failed, t.Saved
	}
	return nil
}
