package rowstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// Memory is a Store in memory, for tests and for programs that embed it.
type Memory struct {
	// BeforeCall, if set, is called before each call takes effect, with the name
	// of the call: "commit", "read" or "changes". If it returns an error, the
	// call has no effect and returns that error.
	BeforeCall func(call string) error
	// AfterCommit, if set, is called after each commit that took effect, with
	// the name "commit". If it returns an error, the commit returns that error
	// although it took effect.
	AfterCommit func(call string) error

	mu           sync.Mutex
	rows         map[Key]Row
	changeLog    []Row
	historyStart uint64 // changes up to this version have been dropped
	version      uint64
	changed      chan struct{} // closed and replaced by each commit
	started      time.Time
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{rows: map[Key]Row{}, changed: make(chan struct{}), started: time.Now()}
}

// callHook calls a hook if it is set, and returns its error.
func callHook(hook func(string) error, call string) error {
	if hook == nil {
		return nil
	}
	return hook(call)
}

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, tx Transaction) (uint64, error) {
	if err := callHook(m.BeforeCall, "commit"); err != nil {
		return 0, err
	}
	m.mu.Lock()
	version, err := m.commit(tx)
	m.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if err := callHook(m.AfterCommit, "commit"); err != nil {
		return 0, err
	}
	return version, nil
}

func (m *Memory) commit(tx Transaction) (uint64, error) {
	conflict := &ConflictError{}
	hasConflict := false
	for _, c := range tx.Conditions {
		row, ok := m.rows[c.Key]
		if ok {
			conflict.Rows = append(conflict.Rows, row)
		}
		hasConflict = hasConflict || row.Version != c.Version
	}
	if hasConflict {
		return 0, conflict
	}
	m.version++
	for _, p := range tx.Puts {
		row := Row{Key: p.Key, Value: slices.Clone(p.Value), Version: m.version}
		m.rows[p.Key] = row
		m.changeLog = append(m.changeLog, row)
	}
	for _, k := range tx.Deletes {
		if _, ok := m.rows[k]; ok {
			delete(m.rows, k)
			m.changeLog = append(m.changeLog, Row{Key: k, Version: m.version, Deleted: true})
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.version, nil
}

// Read implements Store.
func (m *Memory) Read(_ context.Context, r Range) (Result, error) {
	if err := callHook(m.BeforeCall, "read"); err != nil {
		return Result{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := Result{Version: m.version, Now: time.Since(m.started)}
	for key, row := range m.rows {
		if key.Table == r.Table && key.Part == r.Part && key.Key >= r.From && (r.To == "" || key.Key < r.To) {
			result.Rows = append(result.Rows, row)
		}
	}
	slices.SortFunc(result.Rows, func(a, b Row) int { return strings.Compare(a.Key.Key, b.Key.Key) })
	return result, nil
}

// Changes implements Store.
func (m *Memory) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Result, error) {
	if err := callHook(m.BeforeCall, "changes"); err != nil {
		return Result{}, err
	}
	timeout := time.After(wait)
	for {
		m.mu.Lock()
		result, changed, historyGone := m.changesSince(table, after), m.changed, after < m.historyStart
		m.mu.Unlock()
		if historyGone {
			return Result{}, ErrHistoryGone
		}
		if len(result.Rows) > 0 {
			return result, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return result, nil
		case <-ctx.Done():
			return Result{}, ctx.Err()
		}
	}
}

func (m *Memory) changesSince(table string, after uint64) Result {
	result := Result{Version: m.version, Now: time.Since(m.started)}
	for _, row := range m.changeLog {
		if row.Key.Table == table && row.Version > after {
			result.Rows = append(result.Rows, row)
		}
	}
	return result
}

// DropHistory drops the record of the changes made so far. From then on, Changes
// returns ErrHistoryGone for each version that is lower than the version of the store
// at the time of the DropHistory call.
func (m *Memory) DropHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changeLog, m.historyStart = nil, m.version
}
