package routing

import (
	"context"
	"errors"
	"sync"

	"bergamotstile/platform"
)

// fakeTable is a transactional table in memory. fault decides what happens to
// a call: "" applies it, "lost" applies it and loses the answer, "dropped"
// loses the call, "delayed" loses the call and applies it at land, "down"
// refuses it.
type fakeTable struct {
	mu      sync.Mutex
	next    uint64
	rows    map[string]platform.Row
	fault   func(op string) string
	delayed []platform.Transaction
	commits int
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}}
}

func (f *fakeTable) version(key string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[key].Version
}

func (f *fakeTable) committed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.commits
}

func (f *fakeTable) force(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	f.rows[key] = platform.Row{Key: key, Version: f.next, Value: []byte(value)}
}

// setFault replaces the fault while calls are under way.
func (f *fakeTable) setFault(fault func(op string) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *fakeTable) decide(op string) string {
	if f.fault == nil {
		return ""
	}
	return f.fault(op)
}

func (f *fakeTable) Read(_ context.Context, keys ...string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.decide("read") != "" {
		return nil, platform.ErrUnavailable
	}
	var out []platform.Row
	for _, key := range keys {
		if row, ok := f.rows[key]; ok {
			out = append(out, row)
		}
	}
	return out, nil
}

func (f *fakeTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, errors.New("not used")
}

func (f *fakeTable) Commit(_ context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.decide("commit") {
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

func (f *fakeTable) apply(tx platform.Transaction) (platform.CommitResult, error) {
	for _, c := range tx.Conditions {
		if v := f.rows[c.Key].Version; v != c.Version {
			return platform.CommitResult{}, &platform.ConflictError{Key: c.Key, Version: v}
		}
	}
	f.next++
	f.commits++
	for _, p := range tx.Puts {
		f.rows[p.Key] = platform.Row{Key: p.Key, Version: f.next, Value: p.Value}
	}
	return platform.CommitResult{Version: f.next}, nil
}

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

// land applies the transactions that were delayed in the network.
func (f *fakeTable) land() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, tx := range f.delayed {
		_, _ = f.apply(tx)
	}
	f.delayed = nil
}
