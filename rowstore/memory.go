package rowstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// Memory is a Store in memory, for tests and embedders. Fail, if set, is asked
// before each call takes effect: a non-nil error refuses the call. Lose is
// asked after a commit took effect: a non-nil error replaces its answer.
type Memory struct {
	Fail func(call string) error
	Lose func(call string) error

	mu      sync.Mutex
	rows    map[Key]Row
	log     []Row
	gone    uint64
	version uint64
	changed chan struct{}
	started time.Time
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{rows: map[Key]Row{}, changed: make(chan struct{}), started: time.Now()}
}

func ask(hook func(string) error, call string) error {
	if hook == nil {
		return nil
	}
	return hook(call)
}

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, tx Transaction) (uint64, error) {
	if err := ask(m.Fail, "commit"); err != nil {
		return 0, err
	}
	m.mu.Lock()
	version, err := m.commit(tx)
	m.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if err := ask(m.Lose, "commit"); err != nil {
		return 0, err
	}
	return version, nil
}

func (m *Memory) commit(tx Transaction) (uint64, error) {
	conflict := &ConflictError{}
	failed := false
	for _, c := range tx.Conditions {
		row, ok := m.rows[c.Key]
		if ok {
			conflict.Rows = append(conflict.Rows, row)
		}
		failed = failed || row.Version != c.Version
	}
	if failed {
		return 0, conflict
	}
	m.version++
	for _, p := range tx.Puts {
		row := Row{Key: p.Key, Value: slices.Clone(p.Value), Version: m.version}
		m.rows[p.Key] = row
		m.log = append(m.log, row)
	}
	for _, k := range tx.Deletes {
		if _, ok := m.rows[k]; ok {
			delete(m.rows, k)
			m.log = append(m.log, Row{Key: k, Version: m.version, Deleted: true})
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.version, nil
}

// Read implements Store.
func (m *Memory) Read(_ context.Context, r Range) (Result, error) {
	if err := ask(m.Fail, "read"); err != nil {
		return Result{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	out := Result{Version: m.version, Now: time.Since(m.started)}
	for key, row := range m.rows {
		if key.Table == r.Table && key.Part == r.Part && key.Key >= r.From && (r.To == "" || key.Key < r.To) {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b Row) int { return strings.Compare(a.Key.Key, b.Key.Key) })
	return out, nil
}

// Changes implements Store.
func (m *Memory) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Result, error) {
	if err := ask(m.Fail, "changes"); err != nil {
		return Result{}, err
	}
	timeout := time.After(wait)
	for {
		m.mu.Lock()
		out, changed, gone := m.since(table, after), m.changed, after < m.gone
		m.mu.Unlock()
		if gone {
			return Result{}, ErrHistoryGone
		}
		if len(out.Rows) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return out, nil
		case <-ctx.Done():
			return Result{}, ctx.Err()
		}
	}
}

func (m *Memory) since(table string, after uint64) Result {
	out := Result{Version: m.version, Now: time.Since(m.started)}
	for _, row := range m.log {
		if row.Key.Table == table && row.Version > after {
			out.Rows = append(out.Rows, row)
		}
	}
	return out
}

// ForgetHistory drops the changes made so far.
func (m *Memory) ForgetHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log, m.gone = nil, m.version
}
