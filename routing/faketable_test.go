package routing

import (
	"context"
	"errors"
	"sync"

	"bergamotstile/platform"
)

// fakeTable is a transactional table in memory. fault returns what happens to a
// call: "" applies it; "lost" applies it and loses the answer; "dropped" loses
// the call; "delayed" loses the call, which applyDelayed carries out later;
// "down" refuses it.
type fakeTable struct {
	mu          sync.Mutex
	lastVersion uint64
	rows        map[string]platform.Row
	fault       func(op string) string
	delayed     []platform.Transaction
	commits     int
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}}
}

func (f *fakeTable) version(key string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[key].Version
}

// commitTotal returns the number of transactions that were applied.
func (f *fakeTable) commitTotal() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.commits
}

// putRow writes a row without conditions.
func (f *fakeTable) putRow(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastVersion++
	f.rows[key] = platform.Row{Key: key, Version: f.lastVersion, Value: []byte(value)}
}

// setFault replaces the fault. It may be called while calls are in progress.
func (f *fakeTable) setFault(fault func(op string) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// nextFault returns the fault of a call. The lock is held.
func (f *fakeTable) nextFault(op string) string {
	if f.fault == nil {
		return ""
	}
	return f.fault(op)
}

func (f *fakeTable) Read(_ context.Context, keys ...string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextFault("read") != "" {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for _, key := range keys {
		if row, ok := f.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (f *fakeTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, errors.New("not used")
}

func (f *fakeTable) Commit(_ context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.nextFault("commit") {
	case "down":
		return platform.CommitResult{}, platform.ErrUnavailable
	case "dropped":
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	case "delayed":
		f.delayed = append(f.delayed, tx)
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	case "lost":
		_, _ = f.apply(tx)
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	}
	return f.apply(tx)
}

// apply carries out a transaction. The lock is held.
func (f *fakeTable) apply(tx platform.Transaction) (platform.CommitResult, error) {
	for _, condition := range tx.Conditions {
		if version := f.rows[condition.Key].Version; version != condition.Version {
			return platform.CommitResult{}, &platform.ConflictError{Key: condition.Key, Version: version}
		}
	}
	f.lastVersion++
	f.commits++
	for _, put := range tx.Puts {
		f.rows[put.Key] = platform.Row{Key: put.Key, Version: f.lastVersion, Value: put.Value}
	}
	return platform.CommitResult{Version: f.lastVersion}, nil
}

// fakeObjects is an object store in memory, which refuses all calls while down
// is set.
type fakeObjects struct {
	mu   sync.Mutex
	down bool
	data map[string][]byte
}

func (f *fakeObjects) Put(_ context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.ErrUnavailable
	}
	f.data[name] = append([]byte(nil), data...)
	return nil
}

func (f *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	if data, ok := f.data[name]; ok {
		return data, nil
	}
	return nil, platform.ErrNotFound
}

func (f *fakeObjects) Head(_ context.Context, name string) (int64, error) {
	data, err := f.Get(context.Background(), name)
	return int64(len(data)), err
}

// applyDelayed carries out the delayed transactions, as if their calls had
// arrived only now.
func (f *fakeTable) applyDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, tx := range f.delayed {
		_, _ = f.apply(tx)
	}
	f.delayed = nil
}
