package jobs

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxTaskRecordBytes bounds the encoded size of one task in a further row: its record with
	// MaxFailedRuns numbers and a checkpoint of MaxCheckpointBytes, and its bit of Done.
	maxTaskRecordBytes = 705
	// partOverheadBytes bounds what a further row takes besides its tasks.
	partOverheadBytes = 32
	// splitOccurrence is the number of the only entry of Current in a record whose tasks are
	// in further rows. No job has such an occurrence, so a version that does not know of
	// further rows reads the state from the record, but takes the job as unreadable instead of
	// running all of its tasks again.
	splitOccurrence = -1
)

// ProgressRows is the stored form of a job's progress.
type ProgressRows struct {
	// Head is the value of the job's row of progress. It holds the state of the job and,
	// unless the progress is split, everything else.
	Head []byte
	// Parts holds the values of the further rows by their numbers, which start at 1. Each
	// covers a fixed range of TasksPerRow tasks of one occurrence. A range all of whose tasks
	// are in their initial state has no row.
	Parts map[int][]byte
}

// partRecord is the stored form of the progress of a range of an occurrence's tasks. The
// indexes of tasks count from the first task of the range.
type partRecord struct {
	Done  []byte       `cbor:"1,keyasint,omitempty"` // one bit for each task
	Tasks []taskRecord `cbor:"2,keyasint,omitempty"`
}

// EncodeProgressRows returns the stored form of the job's progress, each row of which has at
// most three quarters of maxRowBytes. The progress is split over several rows from the time
// on when it does not fit into one. endedAt is used as by EncodeProgress.
//
// The rows may be stored one after the other, the further ones before Head and removals of
// rows that are no longer in Parts after it. If only some are stored, each still holds what
// was true of its tasks at some time; no end of a run may be acknowledged before all are.
func EncodeProgressRows(j *Job, endedAt time.Duration, maxRowBytes int) (ProgressRows, error) {
	limit := maxRowBytes / 4 * 3
	if j.TasksPerRow == 0 || j.State.IsTerminal() {
		head, err := EncodeProgress(j, endedAt)
		if err != nil || len(head) <= limit || j.State.IsTerminal() {
			return ProgressRows{Head: head}, err
		}
		j.TasksPerRow = max(1, (limit-partOverheadBytes)/maxTaskRecordBytes)
	}
	record := progressRecord{State: j.State, Current: []occurrenceRecord{{Number: splitOccurrence}}, TasksPerRow: j.TasksPerRow, FinishedBits: j.finishedBits()}
	head, err := cbor.Marshal(record)
	if err != nil {
		return ProgressRows{}, err
	}
	rows := ProgressRows{Head: head, Parts: map[int][]byte{}}
	for _, o := range j.Current {
		if err := j.encodeParts(o, rows.Parts); err != nil {
			return ProgressRows{}, err
		}
	}
	return rows, nil
}

// encodeParts adds the further rows of an occurrence.
func (j *Job) encodeParts(o *Occurrence, parts map[int][]byte) error {
	records := map[int]*partRecord{}
	position := 0 // of the task among all tasks of the occurrence
	for i := range o.Steps {
		for k := range o.Steps[i].Tasks {
			t := &o.Steps[i].Tasks[k]
			index := position % j.TasksPerRow
			record, hasRecord := newTaskRecord(index, t)
			if t.Done || hasRecord {
				number := j.partNumber(o.Number, position)
				if records[number] == nil {
					records[number] = &partRecord{}
				}
				records[number].add(index, t.Done, record)
			}
			position++
		}
	}
	for number, record := range records {
		value, err := cbor.Marshal(record)
		if err != nil {
			return err
		}
		parts[number] = value
	}
	return nil
}

// add adds a task to the record: its bit if it is done, and otherwise its own record.
func (r *partRecord) add(index int, isDone bool, record taskRecord) {
	if !isDone {
		r.Tasks = append(r.Tasks, record)
		return
	}
	for len(r.Done) <= index/8 {
		r.Done = append(r.Done, 0)
	}
	r.Done[index/8] |= 1 << (index % 8)
}

// partsPerOccurrence returns the number of ranges into which the tasks of an occurrence are
// divided.
func (j *Job) partsPerOccurrence() int {
	tasks := 0
	for i := range j.Spec.Steps {
		tasks += j.Spec.Steps[i].Count
	}
	return (tasks + j.TasksPerRow - 1) / j.TasksPerRow
}

// partNumber returns the number of the row that covers the task at a position among all tasks
// of an occurrence.
func (j *Job) partNumber(occurrence, position int) int {
	return 1 + occurrence*j.partsPerOccurrence() + position/j.TasksPerRow
}

// RestorePart applies a further row of progress, after Restore has applied the row with the
// state. It ignores a row that the job does not have (any more): a row of a finished
// occurrence, or one that was stored before a row with the state that refers to it.
func (j *Job) RestorePart(number int, value []byte) error {
	if j.TasksPerRow == 0 || number < 1 {
		return nil
	}
	o := j.OpenOccurrence((number - 1) / j.partsPerOccurrence())
	if o == nil {
		return nil
	}
	var record partRecord
	if err := cbor.Unmarshal(value, &record); err != nil {
		return fmt.Errorf("decode row %d of the progress of job %s: %w", number, j.ID, err)
	}
	first := (number - 1) % j.partsPerOccurrence() * j.TasksPerRow
	for index := range len(record.Done) * 8 {
		if record.Done[index/8]&(1<<(index%8)) == 0 {
			continue
		}
		step, t := o.taskAt(first + index)
		if t == nil {
			return fmt.Errorf("row %d of the progress of job %s: task %d does not exist", number, j.ID, index)
		}
		if t.Done {
			continue
		}
		t.Done = true
		step.UnfinishedTasks--
		if step.UnfinishedTasks == 0 {
			o.UnfinishedSteps--
		}
	}
	for _, taskRecord := range record.Tasks {
		_, t := o.taskAt(first + taskRecord.Index)
		if t == nil {
			return fmt.Errorf("row %d of the progress of job %s: task %d does not exist", number, j.ID, taskRecord.Index)
		}
		t.restore(taskRecord)
	}
	return nil
}

// taskAt returns the task at a position among all tasks of the occurrence, and its step. It
// returns nil if there is none.
func (o *Occurrence) taskAt(position int) (*StepState, *Task) {
	for i := range o.Steps {
		step := &o.Steps[i]
		if position >= 0 && position < len(step.Tasks) {
			return step, &step.Tasks[position]
		}
		position -= len(step.Tasks)
	}
	return nil, nil
}

// finishedBits returns the numbers of the finished occurrences as a set of bits.
func (j *Job) finishedBits() []byte {
	if len(j.Finished) == 0 {
		return nil
	}
	highest := slices.Max(slices.Collect(maps.Keys(j.Finished)))
	bits := make([]byte, highest/8+1)
	for number := range j.Finished {
		bits[number/8] |= 1 << (number % 8)
	}
	return bits
}

// restoreFinishedBits is the inverse of finishedBits.
func (j *Job) restoreFinishedBits(bits []byte) {
	for number := range len(bits) * 8 {
		if bits[number/8]&(1<<(number%8)) != 0 {
			j.Finished[number] = true
		}
	}
}
