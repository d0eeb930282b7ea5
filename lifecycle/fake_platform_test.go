package lifecycle

import (
	"context"
	"slices"
	"strings"
	"sync"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// memTable is an in-process table. fault, if set, is asked before each call.
type memTable struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]platform.Row
	commits []committed
	delayed []platform.Transaction
	fault   func(op string) tableFault
}

// committed is one transaction that took effect.
type committed struct {
	version uint64
	tx      platform.Transaction
}

type tableFault int

const (
	tableFine       tableFault = iota
	tableDown                  // no effect, and the caller knows
	tableLostAnswer            // effect, but no answer
	tableLostCall              // no effect, but the caller cannot know
	tableDelayed               // effect at a later time, no answer
)

func newMemTable() *memTable {
	return &memTable{rows: map[string]platform.Row{}}
}

func (m *memTable) ask(op string) tableFault {
	if m.fault == nil {
		return tableFine
	}
	return m.fault(op)
}

func (m *memTable) Read(_ context.Context, keys ...string) ([]platform.Row, error) {
	if m.ask("read") != tableFine {
		return nil, platform.ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []platform.Row
	for _, key := range keys {
		if row, ok := m.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (m *memTable) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if m.ask("scan") != tableFine {
		return nil, platform.ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []platform.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (m *memTable) Commit(_ context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	fault := m.ask("commit")
	m.mu.Lock()
	defer m.mu.Unlock()
	switch fault {
	case tableDown:
		return platform.CommitResult{}, platform.ErrUnavailable
	case tableLostCall:
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	case tableDelayed:
		m.delayed = append(m.delayed, tx)
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	}
	result, err := m.apply(tx)
	if fault == tableLostAnswer {
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	}
	return result, err
}

func (m *memTable) apply(tx platform.Transaction) (platform.CommitResult, error) {
	for _, c := range tx.Conditions {
		if have := m.rows[c.Key].Version; have != c.Version {
			return platform.CommitResult{}, &platform.ConflictError{Key: c.Key, Version: have}
		}
	}
	m.version++
	for _, put := range tx.Puts {
		m.rows[put.Key] = platform.Row{Key: put.Key, Version: m.version, Value: put.Value}
	}
	for _, key := range tx.Deletes {
		delete(m.rows, key)
	}
	m.commits = append(m.commits, committed{m.version, tx})
	return platform.CommitResult{Version: m.version}, nil
}

// deliverDelayed lets the i-th delayed transaction take effect, if it can.
func (m *memTable) deliverDelayed(i int) {
	tx := m.delayed[i]
	m.delayed = slices.Delete(m.delayed, i, i+1)
	_, _ = m.apply(tx)
}

func (m *memTable) item(shard structs.ShardID, id structs.WorkID) structs.WorkItem {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[workKey(shard, id)]
	if !ok {
		return structs.WorkItem{}
	}
	item, err := decodeItem(row)
	if err != nil {
		panic(err)
	}
	return item
}

// memObjects is an in-process object store.
type memObjects struct {
	mu   sync.Mutex
	down bool
	data map[string][]byte
	// losing makes objects vanish although their writer is told otherwise.
	losing    bool
	stillborn map[string]bool
}

func (m *memObjects) Put(_ context.Context, name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return platform.ErrUnavailable
	}
	if m.losing {
		m.stillborn[name] = true
		return nil
	}
	m.data[name] = data
	return nil
}

func (m *memObjects) Get(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, ok := m.data[name]
	switch {
	case m.down:
		return nil, platform.ErrUnavailable
	case !ok:
		return nil, platform.ErrNotFound
	}
	return data, nil
}

func (m *memObjects) Head(ctx context.Context, name string) (int64, error) {
	data, err := m.Get(ctx, name)
	return int64(len(data)), err
}
