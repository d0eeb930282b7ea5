package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

const (
	// rejectedRetryInterval is the time after which progress that the store refuses for good
	// is sent again. The store may allow larger rows by then, or the progress may be smaller.
	rejectedRetryInterval = 30 * time.Second
	// maxLoggedRejections bounds the log lines about one write of progress.
	maxLoggedRejections = 10
)

// rejectedRow is a row that the store refuses for good.
type rejectedRow struct {
	rowWrite
	err error
}

// rejectedRowsError reports rows that the store refuses for good. All other rows of the same
// write are durable, except for those that follow a refused one of the same job.
type rejectedRowsError struct {
	rows     []rejectedRow
	accepted int // rows that were written or removed
}

// Error returns the first refused row as one line.
func (e *rejectedRowsError) Error() string {
	return fmt.Sprintf("%d rows refused for good, first %s/%s of %d bytes: %v", len(e.rows), e.rows[0].Key.Table, e.rows[0].Key.Key, len(e.rows[0].Value), e.rows[0].err)
}

// Unwrap returns rowstore.ErrRejected.
func (e *rejectedRowsError) Unwrap() error { return rowstore.ErrRejected }

// asError returns e, or nil if no row was refused.
func (e *rejectedRowsError) asError() error {
	if len(e.rows) == 0 {
		return nil
	}
	return e
}

// withoutRejectedJobs returns the writes without those of jobs one of whose rows was refused.
func (e *rejectedRowsError) withoutRejectedJobs(writes []rowWrite) []rowWrite {
	if len(e.rows) == 0 {
		return writes
	}
	var kept []rowWrite
	for _, write := range writes {
		isRejected := func(row rejectedRow) bool { return row.jobID != "" && row.jobID == write.jobID }
		if !slices.ContainsFunc(e.rows, isRejected) {
			kept = append(kept, write)
		}
	}
	return kept
}

// heldWrite is the newest progress of a job whose rows the store has refused for good. It is
// not sent again before retryAt, on the local clock.
type heldWrite struct {
	write   ProgressWrite
	retryAt time.Duration
}

// heldWrites holds back the progress that the store refuses for good, by job.
type heldWrites map[jobs.ID]*heldWrite

// hold returns the writes to send now. It keeps the others, which replace those that it kept
// before, and adds those that are due for a retry.
func (h heldWrites) hold(writes []ProgressWrite, now time.Duration) []ProgressWrite {
	if len(h) == 0 {
		return writes
	}
	var due []ProgressWrite
	for _, write := range writes {
		if held := h[write.Job.ID]; held != nil {
			held.write = write
			continue
		}
		due = append(due, write)
	}
	for _, held := range h {
		if held.retryAt <= now {
			due = append(due, held.write)
		}
	}
	return due
}

// isDue reports whether a held write is to be sent again.
func (h heldWrites) isDue(now time.Duration) bool {
	for _, held := range h {
		if held.retryAt <= now {
			return true
		}
	}
	return false
}

// recordOutcome records which of the writes that were sent the store has refused for good.
func (h heldWrites) recordOutcome(sent []ProgressWrite, rejected map[jobs.ID]bool, now time.Duration) {
	for _, write := range sent {
		if rejected[write.Job.ID] {
			h[write.Job.ID] = &heldWrite{write, now + rejectedRetryInterval}
		} else {
			delete(h, write.Job.ID)
		}
	}
}

// canAcknowledge reports whether runners may forget the results that a write of progress
// covered. accepted is the number of rows that the store took. The results of a job whose rows
// are refused are acknowledged although only this coordinator knows them: unacknowledged ones
// would soon fill the lists of the runners, and no result of any job could be processed. If
// the store took no row at all, it may refuse all of them, as in an outage, unless it has just
// taken others (takesOthers).
func (h heldWrites) canAcknowledge(accepted int, takesOthers bool) bool {
	return len(h) == 0 || accepted > 0 || takesOthers
}

// recordRejectedProgress counts and logs the rows of progress that the store has refused for
// good, and holds their jobs' progress back.
func (coord *coordinator) recordRejectedProgress(sent []ProgressWrite, outcome *rejectedRowsError) {
	rejected := map[jobs.ID]bool{}
	for i, row := range outcome.rows {
		rejected[row.jobID] = true
		if i < maxLoggedRejections {
			coord.env.Log.WithError(row.err).WithFields(logrus.Fields{"job": row.jobID, "key": row.Key.Key, "bytes": len(row.Value), "retry_after_ms": rejectedRetryInterval.Milliseconds()}).
				Error("progress of a job not stored: the store refuses its row for good")
		}
	}
	if len(rejected) > 0 {
		coord.env.Count("progress_rejected", int64(len(rejected)))
	}
	before := len(coord.heldWrites)
	coord.heldWrites.recordOutcome(sent, rejected, coord.env.Clock())
	if before != len(coord.heldWrites) && coord.env.Gauge != nil {
		coord.env.Gauge("progress_rejected_jobs", int64(len(coord.heldWrites)))
	}
}

// sharedRowsRejectedEvent says that a write of shared rows is over and that the store refuses
// the roster for good. The expiries of the roster before it stay recorded, and no runner waits to be
// listed.
type sharedRowsRejectedEvent struct{}

func (sharedRowsRejectedEvent) apply(coord *coordinator) {
	coord.isWritingSharedRows = false
	coord.sharedRowsHeldUntil = coord.env.Clock() + sharedRowsInterval
	coord.endListingWaits()
	maps.DeleteFunc(coord.sharedRows, func(key rowstore.Key, _ string) bool {
		_, isRoster := parseRosterRowKey(key)
		return isRoster
	})
}

// recordRejectedSharedRows counts and logs shared rows that the store refuses for good.
func (coord *coordinator) recordRejectedSharedRows(outcome *rejectedRowsError) {
	coord.env.Count("shared_rows_rejected", int64(len(outcome.rows)))
	for _, row := range outcome.rows {
		coord.env.Log.WithError(row.err).WithFields(logrus.Fields{"table": row.Key.Table, "key": row.Key.Key, "bytes": len(row.Value)}).
			Error("shared row not stored: the store refuses it for good")
	}
}

// wavesRejectedEvent says that the store refuses the record of the maintenance waves or a
// status for good. It is written again after a pause; no maintenance begins before.
type wavesRejectedEvent struct{}

func (wavesRejectedEvent) apply(coord *coordinator) {
	coord.waveManager.isRecording = false
	coord.waveManager.recordHeldUntil = coord.env.Clock() + rejectedRetryInterval
}

// storedProgress holds the values of the rows of a job's progress.
type storedProgress struct {
	head  []byte // nil if there is no progress
	parts map[int][]byte
}

// add adds a row of the progress, given its number.
func (p *storedProgress) add(number int, value []byte) {
	if number == 0 {
		p.head = value
		return
	}
	if p.parts == nil {
		p.parts = map[int][]byte{}
	}
	p.parts[number] = value
}

// restore applies the stored progress to a job without progress.
func (p storedProgress) restore(j *jobs.Job) error {
	if p.head == nil {
		return nil
	}
	if err := j.Restore(p.head); err != nil {
		return err
	}
	for number, value := range p.parts {
		if err := j.RestorePart(number, value); err != nil {
			return err
		}
	}
	return nil
}
