package lifecycle

import (
	"context"
	"slices"
	"strings"
	"sync"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// memTable is an in-memory table. It calls injectFault, if set, before each
// operation to determine the fault of that operation.
type memTable struct {
	mu          sync.Mutex
	version     uint64
	rows        map[string]platform.Row
	commits     []committedTx
	delayed     []platform.Transaction // transactions that have not taken effect yet
	injectFault func(op string) tableFault
}

// committedTx is a transaction that took effect.
type committedTx struct {
	version uint64
	tx      platform.Transaction
}

// tableFault is the fault of one table operation.
type tableFault int

const (
	tableOK           tableFault = iota
	tableUnavailable             // the operation has no effect, and the caller learns that
	tableAnswerLost              // the commit takes effect, but its answer is lost
	tableCallLost                // the commit has no effect, but its outcome is unknown to the caller
	tableWriteDelayed            // the commit takes effect later, and its outcome is unknown to the caller
)

func newMemTable() *memTable {
	return &memTable{rows: map[string]platform.Row{}}
}

func (m *memTable) nextFault(op string) tableFault {
	if m.injectFault == nil {
		return tableOK
	}
	return m.injectFault(op)
}

func (m *memTable) Read(_ context.Context, keys ...string) ([]platform.Row, error) {
	if m.nextFault("read") != tableOK {
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
	if m.nextFault("scan") != tableOK {
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
	fault := m.nextFault("commit")
	m.mu.Lock()
	defer m.mu.Unlock()
	switch fault {
	case tableUnavailable:
		return platform.CommitResult{}, platform.ErrUnavailable
	case tableCallLost:
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	case tableWriteDelayed:
		m.delayed = append(m.delayed, tx)
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	}
	result, err := m.apply(tx)
	if fault == tableAnswerLost {
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	}
	return result, err
}

func (m *memTable) apply(tx platform.Transaction) (platform.CommitResult, error) {
	for _, c := range tx.Conditions {
		if rowVersion := m.rows[c.Key].Version; rowVersion != c.Version {
			return platform.CommitResult{}, &platform.ConflictError{Key: c.Key, Version: rowVersion}
		}
	}
	m.version++
	for _, put := range tx.Puts {
		m.rows[put.Key] = platform.Row{Key: put.Key, Version: m.version, Value: put.Value}
	}
	for _, key := range tx.Deletes {
		delete(m.rows, key)
	}
	m.commits = append(m.commits, committedTx{m.version, tx})
	return platform.CommitResult{Version: m.version}, nil
}

// applyDelayed applies the i-th delayed transaction if its conditions still
// hold.
func (m *memTable) applyDelayed(i int) {
	tx := m.delayed[i]
	m.delayed = slices.Delete(m.delayed, i, i+1)
	_, _ = m.apply(tx)
}

func (m *memTable) storedItem(shard structs.ShardID, id structs.WorkID) structs.WorkItem {
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

// memObjects is an in-memory object store.
type memObjects struct {
	mu   sync.Mutex
	down bool
	data map[string][]byte
	// losesWrites makes Put report success without storing the object. It
	// records the name in lostWrites.
	losesWrites bool
	lostWrites  map[string]bool
}

func (m *memObjects) Put(_ context.Context, name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return platform.ErrUnavailable
	}
	if m.losesWrites {
		m.lostWrites[name] = true
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
