package coordinator

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/logging"
	"bergamotstile/rowstore"
)

const (
	epochsTable = "epochs"
	epochKey    = "epoch"
	// sharedPart is the part that holds the rows which belong to no job.
	sharedPart = ""
	// rowsPerTransaction bounds the rows that one transaction writes. Each row takes a
	// condition and a put, and the epoch row takes a further condition.
	rowsPerTransaction = (rowstore.MaxTransactionEntries - 1) / 2
	journalTimeout     = 2 * time.Second // of one commit
	journalRetryPause  = 100 * time.Millisecond
	// bytesPerTransaction bounds the values in one transaction. The other half of the
	// limit is left for their encoding.
	bytesPerTransaction = rowstore.MaxTransactionBytes / 2
)

// ErrDeposed means that a later coordinator has fenced this one off from the store.
var ErrDeposed = errors.New("a later coordinator has taken over the stored state")

// journal writes the coordinator's rows. Each write is conditional on the coordinator's
// epoch and on the version of the row. So a write that the store carries out late neither
// takes effect after a takeover nor undoes a later write.
type journal struct {
	store         rowstore.Store
	epoch         uint64
	mu            sync.Mutex
	epochVersions map[string]uint64 // version of the epoch row, by part
	versions      map[rowstore.Key]uint64
	// parts holds the further rows of progress that the store may hold, by job and number. A
	// value is nil while it is not known which one the store holds.
	parts  map[jobs.ID]map[int][]byte
	outage logging.Outage
}

func newJournal(store rowstore.Store, epoch uint64, log logrus.FieldLogger) *journal {
	return &journal{store: store, epoch: epoch, epochVersions: map[string]uint64{}, versions: map[rowstore.Key]uint64{}, parts: map[jobs.ID]map[int][]byte{},
		outage: logging.Outage{Log: log, Lost: "journal write failed, retrying", Regained: "journal writes succeed again"}}
}

// fence writes this coordinator's epoch to a part, and returns the version of the store
// from which on no predecessor can write there. It may be repeated after any error: if an
// earlier attempt took effect and its answer was lost, fence finds the epoch in place.
func (j *journal) fence(ctx context.Context, part string) (uint64, error) {
	key := rowstore.Key{Table: epochsTable, Part: part, Key: epochKey}
	for {
		res, err := j.store.Read(ctx, rowstore.Range{Table: key.Table, Part: part, From: key.Key, To: key.Key + "\x00"})
		if err != nil {
			return 0, err
		}
		var current rowstore.Row
		if len(res.Rows) > 0 {
			current = res.Rows[0]
		}
		switch storedEpoch := decodeEpoch(current.Value); {
		case storedEpoch > j.epoch:
			return 0, fmt.Errorf("%w: epoch %d", ErrDeposed, storedEpoch)
		case storedEpoch == j.epoch:
			j.setEpochVersion(part, current.Version)
			return current.Version, nil
		}
		tx := rowstore.Transaction{
			Conditions: []rowstore.Condition{{Key: key, Version: current.Version}},
			Puts:       []rowstore.Put{{Key: key, Value: binary.BigEndian.AppendUint64(nil, j.epoch)}},
		}
		if part == sharedPart {
			if err := j.carryListingEpoch(ctx, &tx, decodeEpoch(current.Value)); err != nil {
				return 0, err
			}
		}
		version, err := j.store.Commit(ctx, tx)
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if err == nil {
			j.setEpochVersion(part, version)
		}
		return version, err
	}
}

// setEpochVersion records the version of the epoch row that this coordinator wrote.
func (j *journal) setEpochVersion(part string, version uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.epochVersions[part] = version
}

// decodeEpoch reads the value of an epoch row. It returns zero if the value is missing or
// unreadable.
func decodeEpoch(value []byte) uint64 {
	if len(value) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}

// epochCondition returns the condition that no later coordinator has fenced a part.
func (j *journal) epochCondition(part string) rowstore.Condition {
	j.mu.Lock()
	defer j.mu.Unlock()
	return rowstore.Condition{Key: rowstore.Key{Table: epochsTable, Part: part, Key: epochKey}, Version: j.epochVersions[part]}
}

// setVersion records the version of a row that was read or written.
func (j *journal) setVersion(key rowstore.Key, version uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.versions[key] = version
}

// versionOf returns the last known version of a row, or zero if no row is known.
func (j *journal) versionOf(key rowstore.Key) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.versions[key]
}

// rowWrite is the write or the removal of one row. If it belongs to a job, jobID is set.
type rowWrite struct {
	rowstore.Put
	isRemoval bool
	jobID     jobs.ID
}

// storeAll writes progress, all parts at the same time, and returns once all of it is
// durable or an error ends the term. Rows that the store refuses for good do not keep it from
// writing the others; it returns them as a *rejectedRowsError.
func (j *journal) storeAll(ctx context.Context, writes []ProgressWrite) error {
	batches := map[string][]rowWrite{}
	for _, write := range writes {
		part := gateway.PartOf(write.Job.ID)
		batches[part] = append(batches[part], j.progressRows(write)...)
	}
	var mu sync.Mutex
	var total rejectedRowsError
	var errs []error
	var wg sync.WaitGroup
	for part, rows := range batches {
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcome, err := j.writeAll(ctx, part, rows)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
			total.accepted += outcome.accepted
			total.rows = append(total.rows, outcome.rows...)
		}()
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return total.asError()
}

// progressRows returns the writes that store the progress of a job, in the order in which
// EncodeProgressRows requires them. It leaves out further rows that are stored already, and
// removes those that the progress no longer has.
func (j *journal) progressRows(write ProgressWrite) []rowWrite {
	j.mu.Lock()
	defer j.mu.Unlock()
	id := write.Job.ID
	var rows []rowWrite
	for _, number := range slices.Sorted(maps.Keys(write.Parts)) {
		key := gateway.ProgressPartKey(id, number)
		if stored, ok := j.parts[id][number]; ok && stored != nil && bytes.Equal(stored, write.Parts[number]) {
			continue
		}
		j.setPart(id, number, nil)
		rows = append(rows, rowWrite{Put: rowstore.Put{Key: key, Value: write.Parts[number]}, jobID: id})
	}
	rows = append(rows, rowWrite{Put: rowstore.Put{Key: gateway.ProgressKey(id), Value: write.Value}, jobID: id})
	for _, number := range slices.Sorted(maps.Keys(j.parts[id])) {
		if _, exists := write.Parts[number]; !exists {
			rows = append(rows, rowWrite{Put: rowstore.Put{Key: gateway.ProgressPartKey(id, number)}, isRemoval: true, jobID: id})
		}
	}
	return rows
}

// setPart records that the store holds a further row of a job's progress. The value is nil if
// it is not known. The caller holds mu.
func (j *journal) setPart(id jobs.ID, number int, value []byte) {
	if j.parts[id] == nil {
		j.parts[id] = map[int][]byte{}
	}
	j.parts[id][number] = value
}

// recordRead records a row of progress that was read in a takeover.
func (j *journal) recordRead(row rowstore.Row) {
	j.setVersion(row.Key, row.Version)
	if id, number, ok := gateway.ParseProgressKey(row.Key.Key); ok && number > 0 {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.setPart(id, number, row.Value)
	}
}

// writeAll writes rows of one part in their order, in as many transactions as it takes. It
// returns an error only if it ends the term.
func (j *journal) writeAll(ctx context.Context, part string, writes []rowWrite) (rejectedRowsError, error) {
	var outcome rejectedRowsError
	for len(writes) > 0 {
		count, size := 0, 0
		for count < len(writes) && count < rowsPerTransaction && (count == 0 || size+len(writes[count].Value) < bytesPerTransaction) {
			size += len(writes[count].Value)
			count++
		}
		if err := j.writeSome(ctx, part, writes[:count], &outcome); err != nil {
			return outcome, err
		}
		writes = writes[count:]
	}
	return outcome, nil
}

// writeSome writes rows that fit into one transaction. If the store refuses them together for
// good, it halves them until the rows are found that the store refuses. Rows of a job that
// follow one that was refused are not written, as they may refer to it.
func (j *journal) writeSome(ctx context.Context, part string, writes []rowWrite, outcome *rejectedRowsError) error {
	writes = outcome.withoutRejectedJobs(writes)
	if len(writes) == 0 {
		return nil
	}
	err := j.commit(ctx, part, writes)
	switch {
	case err == nil:
		outcome.accepted += len(writes)
		return nil
	case !errors.Is(err, rowstore.ErrRejected):
		return err
	case len(writes) == 1:
		outcome.rows = append(outcome.rows, rejectedRow{writes[0], err})
		return nil
	}
	half := len(writes) / 2
	if err := j.writeSome(ctx, part, writes[:half], outcome); err != nil {
		return err
	}
	return j.writeSome(ctx, part, writes[half:], outcome)
}

// put writes rows of one part that belong to no job. Rows that the store refuses for good do
// not keep it from writing the others; it returns them as a *rejectedRowsError.
func (j *journal) put(ctx context.Context, part string, puts []rowstore.Put) error {
	writes := make([]rowWrite, len(puts))
	for i := range puts {
		writes[i].Put = puts[i]
	}
	outcome, err := j.writeAll(ctx, part, writes)
	if err != nil {
		return err
	}
	return outcome.asError()
}

// commit repeats one transaction until it is durable, the store refuses it for good, a later
// coordinator has fenced the part or ctx ends.
func (j *journal) commit(ctx context.Context, part string, writes []rowWrite) error {
	for {
		err := j.tryCommit(ctx, part, writes)
		if errors.Is(err, rowstore.ErrRejected) {
			return err
		}
		j.outage.Record(err)
		if err == nil || errors.Is(err, ErrDeposed) || ctx.Err() != nil {
			return err
		}
		pause(ctx, journalRetryPause)
	}
}

// tryCommit attempts one transaction once.
func (j *journal) tryCommit(ctx context.Context, part string, writes []rowWrite) error {
	callCtx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	tx := rowstore.Transaction{Conditions: []rowstore.Condition{j.epochCondition(part)}}
	for _, write := range writes {
		if write.isRemoval {
			tx.Deletes = append(tx.Deletes, write.Key)
			continue
		}
		tx.Puts = append(tx.Puts, write.Put)
		tx.Conditions = append(tx.Conditions, rowstore.Condition{Key: write.Key, Version: j.versionOf(write.Key)})
	}
	version, err := j.store.Commit(callCtx, tx)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		if err := j.resolveConflict(part, tx.Puts, conflict); err != nil {
			return err
		}
		j.recordWritten(writes)
		return nil
	}
	if err != nil {
		return err
	}
	for _, put := range tx.Puts {
		j.setVersion(put.Key, version)
	}
	j.recordWritten(writes)
	return nil
}

// recordWritten records the further rows of progress that are stored or removed.
func (j *journal) recordWritten(writes []rowWrite) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, write := range writes {
		id, number, ok := gateway.ParseProgressKey(write.Key.Key)
		if write.jobID == "" || !ok || number == 0 {
			continue
		}
		if write.isRemoval {
			delete(j.parts[id], number)
			delete(j.versions, write.Key)
			continue
		}
		j.setPart(id, number, write.Value)
	}
	for _, write := range writes {
		if len(j.parts[write.jobID]) == 0 {
			delete(j.parts, write.jobID)
		}
	}
}

// resolveConflict handles a transaction one of whose conditions failed. If an earlier
// attempt took effect and its answer was lost, the rows have newer versions, which it
// records. It returns nil if all rows already have the values to write, ErrDeposed if a
// later coordinator has fenced the part, and otherwise the conflict.
func (j *journal) resolveConflict(part string, puts []rowstore.Put, conflict *rowstore.ConflictError) error {
	condition := j.epochCondition(part)
	if row, ok := conflict.Find(condition.Key); !ok || row.Version != condition.Version {
		return ErrDeposed
	}
	allStored := true
	for _, put := range puts {
		row, ok := conflict.Find(put.Key)
		if !ok {
			j.setVersion(put.Key, 0)
			allStored = false
			continue
		}
		j.setVersion(put.Key, row.Version)
		allStored = allStored && bytes.Equal(row.Value, put.Value)
	}
	if allStored {
		return nil
	}
	return conflict
}

// removeJobs deletes all rows of some jobs, first the further rows of their progress. Of a job that
// was never accepted it deletes only the mark: a client may have submitted another one under its ID
// when a late call is carried out.
func (j *journal) removeJobs(ctx context.Context, part string, expired []expiredJob) error {
	var parts []rowWrite
	for _, job := range expired {
		id := job.id
		j.mu.Lock()
		for number := range j.parts[id] {
			parts = append(parts, rowWrite{Put: rowstore.Put{Key: gateway.ProgressPartKey(id, number)}, isRemoval: true, jobID: id})
		}
		j.mu.Unlock()
	}
	for chunk := range slices.Chunk(parts, rowsPerTransaction) {
		if err := j.tryCommit(ctx, part, chunk); err != nil {
			return err
		}
	}
	tx := rowstore.Transaction{Conditions: []rowstore.Condition{j.epochCondition(part)}}
	for _, job := range expired {
		tx.Deletes = append(tx.Deletes, gateway.CancelKey(job.id))
		if !job.neverAccepted {
			tx.Deletes = append(tx.Deletes, gateway.AcceptedKey(job.id), gateway.ProgressKey(job.id))
		}
	}
	_, err := j.store.Commit(ctx, tx)
	return err
}

// forgetVersion forgets the version of a row that was removed.
func (j *journal) forgetVersion(key rowstore.Key) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.versions, key)
}
