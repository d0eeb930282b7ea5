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
	// sharedPart holds the rows that belong to no job.
	sharedPart = ""
	// jobsPerTransaction leaves room for the epoch: each job is a condition
	// and a write.
	jobsPerTransaction = (rowstore.MaxTransactionEntries - 1) / 2
	journalTimeout     = 2 * time.Second
	journalRetry       = 100 * time.Millisecond
	// bytesPerTransaction leaves room for the encoding.
	bytesPerTransaction = rowstore.MaxTransactionBytes / 2
)

// ErrDeposed means that a later coordinator writes to the store.
var ErrDeposed = errors.New("a later coordinator writes the progress")

// journal stores progress. Each write is conditional on the coordinator's epoch
// and on the version of the row, so that a write that is carried out late can
// neither follow a takeover nor undo a later one.
type journal struct {
	store    rowstore.Store
	epoch    uint64
	mu       sync.Mutex
	fences   map[string]uint64 // part: version of its epoch row
	versions map[rowstore.Key]uint64
	outage   logging.Outage
}

func newJournal(store rowstore.Store, epoch uint64, log logrus.FieldLogger) *journal {
	return &journal{store: store, epoch: epoch, fences: map[string]uint64{}, versions: map[rowstore.Key]uint64{},
		outage: logging.Outage{Log: log, Lost: "progress not stored", Regained: "progress stored again"}}
}

// fence takes a part over and returns the version from which on no predecessor
// writes there. It may be repeated after any error: a fence that took effect without
// an answer is found in place.
func (n *journal) fence(ctx context.Context, part string) (uint64, error) {
	key := rowstore.Key{Table: epochsTable, Part: part, Key: epochKey}
	for {
		res, err := n.store.Read(ctx, rowstore.Range{Table: key.Table, Part: part, From: key.Key, To: key.Key + "\x00"})
		if err != nil {
			return 0, err
		}
		var present rowstore.Row
		if len(res.Rows) > 0 {
			present = res.Rows[0]
		}
		switch held := decodeEpoch(present.Value); {
		case held > n.epoch:
			return 0, fmt.Errorf("%w: epoch %d", ErrDeposed, held)
		case held == n.epoch:
			n.setFence(part, present.Version)
			return present.Version, nil
		}
		version, err := n.store.Commit(ctx, rowstore.Transaction{
			Conditions: []rowstore.Condition{{Key: key, Version: present.Version}},
			Puts:       []rowstore.Put{{Key: key, Value: binary.BigEndian.AppendUint64(nil, n.epoch)}},
		})
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if err == nil {
			n.setFence(part, version)
		}
		return version, err
	}
}

func (n *journal) setFence(part string, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fences[part] = version
}

func decodeEpoch(value []byte) uint64 {
	if len(value) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}

func (n *journal) fenced(part string) rowstore.Condition {
	n.mu.Lock()
	defer n.mu.Unlock()
	return rowstore.Condition{Key: rowstore.Key{Table: epochsTable, Part: part, Key: epochKey}, Version: n.fences[part]}
}

// loaded records the version of a row that was read.
func (n *journal) loaded(key rowstore.Key, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versions[key] = version
}

func (n *journal) version(key rowstore.Key) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.versions[key]
}

// store writes progress and returns once all of it is durable.
func (n *journal) storeAll(ctx context.Context, writes []ProgressWrite) error {
	batches := map[string][]rowstore.Put{}
	for _, w := range writes {
		key := gateway.ProgressKey(w.Job.ID)
		batches[key.Part] = append(batches[key.Part], rowstore.Put{Key: key, Value: w.Value})
	}
	var wg sync.WaitGroup
	results := make(chan error, len(batches))
	for part, puts := range batches {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results <- n.putAll(ctx, part, puts)
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

func (n *journal) putAll(ctx context.Context, part string, puts []rowstore.Put) error {
	for len(puts) > 0 {
		count, size := 0, 0
		for count < len(puts) && count < jobsPerTransaction && (count == 0 || size+len(puts[count].Value) < bytesPerTransaction) {
			size += len(puts[count].Value)
			count++
		}
		if err := n.put(ctx, part, puts[:count]); err != nil {
			return err
		}
		puts = puts[count:]
	}
	return nil
}

// put repeats one transaction until it is durable.
func (n *journal) put(ctx context.Context, part string, puts []rowstore.Put) error {
	for {
		err := n.attempt(ctx, part, puts)
		n.outage.Note(err)
		if err == nil || errors.Is(err, ErrDeposed) || ctx.Err() != nil {
			return err
		}
		pause(ctx, journalRetry)
	}
}

func (n *journal) attempt(ctx context.Context, part string, puts []rowstore.Put) error {
	call, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	tx := rowstore.Transaction{Conditions: []rowstore.Condition{n.fenced(part)}, Puts: puts}
	for _, p := range puts {
		tx.Conditions = append(tx.Conditions, rowstore.Condition{Key: p.Key, Version: n.version(p.Key)})
	}
	version, err := n.store.Commit(call, tx)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		return n.resolve(part, puts, conflict)
	}
	if err != nil {
		return err
	}
	for _, p := range puts {
		n.loaded(p.Key, version)
	}
	return nil
}

// resolve takes over the versions of rows that an earlier attempt wrote, whose
// answer was lost. It returns nil if all of the rows are as they should be.
func (n *journal) resolve(part string, puts []rowstore.Put, conflict *rowstore.ConflictError) error {
	fence := n.fenced(part)
	if row, ok := conflict.Find(fence.Key); !ok || row.Version != fence.Version {
		return ErrDeposed
	}
	done := true
	for _, p := range puts {
		row, ok := conflict.Find(p.Key)
		if !ok {
			n.loaded(p.Key, 0)
			done = false
			continue
		}
		n.loaded(p.Key, row.Version)
		done = done && bytes.Equal(row.Value, p.Value)
	}
	if done {
		return nil
	}
	return conflict
}

// remove deletes the rows of jobs that ended long ago.
func (n *journal) remove(ctx context.Context, part string, ids []jobs.ID) error {
	tx := rowstore.Transaction{Conditions: []rowstore.Condition{n.fenced(part)}}
	for _, id := range ids {
		tx.Deletes = append(tx.Deletes, gateway.AcceptedKey(id), gateway.CancelKey(id), gateway.ProgressKey(id))
	}
	_, err := n.store.Commit(ctx, tx)
	return err
}
