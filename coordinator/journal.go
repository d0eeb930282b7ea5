package coordinator

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
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
	outage        logging.Outage
}

func newJournal(store rowstore.Store, epoch uint64, log logrus.FieldLogger) *journal {
	return &journal{store: store, epoch: epoch, epochVersions: map[string]uint64{}, versions: map[rowstore.Key]uint64{},
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
		version, err := j.store.Commit(ctx, rowstore.Transaction{
			Conditions: []rowstore.Condition{{Key: key, Version: current.Version}},
			Puts:       []rowstore.Put{{Key: key, Value: binary.BigEndian.AppendUint64(nil, j.epoch)}},
		})
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

// storeAll writes progress, all parts at the same time, and returns once all of it is
// durable or an error ends the term.
func (j *journal) storeAll(ctx context.Context, writes []ProgressWrite) error {
	batches := map[string][]rowstore.Put{}
	for _, write := range writes {
		key := gateway.ProgressKey(write.Job.ID)
		batches[key.Part] = append(batches[key.Part], rowstore.Put{Key: key, Value: write.Value})
	}
	var wg sync.WaitGroup
	results := make(chan error, len(batches))
	for part, puts := range batches {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results <- j.putAll(ctx, part, puts)
		}()
	}
	wg.Wait()
	close(results)
	var errs []error
	for err := range results {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// putAll writes rows of one part, in as many transactions as it takes.
func (j *journal) putAll(ctx context.Context, part string, puts []rowstore.Put) error {
	for len(puts) > 0 {
		count, size := 0, 0
		for count < len(puts) && count < rowsPerTransaction && (count == 0 || size+len(puts[count].Value) < bytesPerTransaction) {
			size += len(puts[count].Value)
			count++
		}
		if err := j.put(ctx, part, puts[:count]); err != nil {
			return err
		}
		puts = puts[count:]
	}
	return nil
}

// put repeats one transaction until it is durable, a later coordinator has fenced the part
// or ctx ends.
func (j *journal) put(ctx context.Context, part string, puts []rowstore.Put) error {
	for {
		err := j.tryPut(ctx, part, puts)
		j.outage.Record(err)
		if err == nil || errors.Is(err, ErrDeposed) || ctx.Err() != nil {
			return err
		}
		pause(ctx, journalRetryPause)
	}
}

// tryPut attempts one transaction once.
func (j *journal) tryPut(ctx context.Context, part string, puts []rowstore.Put) error {
	callCtx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	tx := rowstore.Transaction{Conditions: []rowstore.Condition{j.epochCondition(part)}, Puts: puts}
	for _, put := range puts {
		tx.Conditions = append(tx.Conditions, rowstore.Condition{Key: put.Key, Version: j.versionOf(put.Key)})
	}
	version, err := j.store.Commit(callCtx, tx)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		return j.resolveConflict(part, puts, conflict)
	}
	if err != nil {
		return err
	}
	for _, put := range puts {
		j.setVersion(put.Key, version)
	}
	return nil
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

// removeJobs deletes all rows of some jobs.
func (j *journal) removeJobs(ctx context.Context, part string, ids []jobs.ID) error {
	tx := rowstore.Transaction{Conditions: []rowstore.Condition{j.epochCondition(part)}}
	for _, id := range ids {
		tx.Deletes = append(tx.Deletes, gateway.AcceptedKey(id), gateway.CancelKey(id), gateway.ProgressKey(id))
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
