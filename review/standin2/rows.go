//go:build review

package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"bergamotstile/rowstore"
)

// historyTime is how long the changes of rows are kept: history-s of the settings.
const historyTime = 20 * time.Second

// rowTables holds the rows of the store. The rows of a part are sorted by key.
type rowTables struct {
	mu      sync.Mutex
	parts   map[partID][]rowstore.Row
	changes []change
	dropped uint64 // changes up to this version are no longer kept
	version uint64
	changed chan struct{}
}

type partID struct{ table, part string }

type change struct {
	row rowstore.Row
	at  time.Time
}

func newRowTables() *rowTables {
	return &rowTables{parts: map[partID][]rowstore.Row{}, changed: make(chan struct{})}
}

func compareKey(row rowstore.Row, key string) int {
	switch {
	case row.Key.Key < key:
		return -1
	case row.Key.Key > key:
		return 1
	}
	return 0
}

// find returns the index of a row in its part. The caller holds mu.
func (t *rowTables) find(key rowstore.Key) (partID, int, bool) {
	id := partID{key.Table, key.Part}
	i, found := slices.BinarySearchFunc(t.parts[id], key.Key, compareKey)
	return id, i, found
}

// Commit applies a transaction, or returns a *rowstore.ConflictError.
func (t *rowTables) Commit(tx rowstore.Transaction) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conflict, failed := &rowstore.ConflictError{}, false
	for _, c := range tx.Conditions {
		id, i, found := t.find(c.Key)
		var version uint64
		if found {
			conflict.Rows = append(conflict.Rows, t.parts[id][i])
			version = t.parts[id][i].Version
		}
		failed = failed || version != c.Version
	}
	if failed {
		return 0, conflict
	}
	t.version++
	now := time.Now()
	for _, p := range tx.Puts {
		row := rowstore.Row{Key: p.Key, Value: p.Value, Version: t.version}
		id, i, found := t.find(p.Key)
		if found {
			t.parts[id][i] = row
		} else {
			t.parts[id] = slices.Insert(t.parts[id], i, row)
		}
		t.changes = append(t.changes, change{row, now})
	}
	for _, key := range tx.Deletes {
		if id, i, found := t.find(key); found {
			t.parts[id] = slices.Delete(t.parts[id], i, i+1)
			t.changes = append(t.changes, change{rowstore.Row{Key: key, Version: t.version, Deleted: true}, now})
		}
	}
	for len(t.changes) > 0 && now.Sub(t.changes[0].at) > historyTime {
		t.dropped = t.changes[0].row.Version
		t.changes = t.changes[1:]
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version, nil
}

// Read returns one page of a range.
func (t *rowTables) Read(r rowstore.Range) rowstore.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := t.parts[partID{r.Table, r.Part}]
	i, _ := slices.BinarySearchFunc(rows, r.From, compareKey)
	res := rowstore.Result{Version: t.version}
	bytes := 0
	for ; i < len(rows) && (r.To == "" || rows[i].Key.Key < r.To); i++ {
		if bytes += len(rows[i].Value); len(res.Rows) == maxPageRows || bytes > maxPageBytes {
			res.More = true
			break
		}
		res.Rows = append(res.Rows, rows[i])
	}
	return res
}

// Changes returns the changes of a table after a version, as soon as there is one.
func (t *rowTables) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Result, error) {
	timeout := time.After(wait)
	for {
		t.mu.Lock()
		res, changed, gone := rowstore.Result{Version: t.version}, t.changed, after < t.dropped
		i, _ := slices.BinarySearchFunc(t.changes, after+1, func(c change, v uint64) int { return int(c.row.Version) - int(v) })
		for _, c := range t.changes[i:] {
			if c.row.Key.Table == table {
				res.Rows = append(res.Rows, c.row)
			}
		}
		t.mu.Unlock()
		if gone {
			return rowstore.Result{}, rowstore.ErrHistoryGone
		}
		if len(res.Rows) > 0 {
			return res, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return res, nil
		case <-ctx.Done():
			return rowstore.Result{}, ctx.Err()
		}
	}
}

// DropHistory forgets the changes made so far.
func (t *rowTables) DropHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes, t.dropped = nil, t.version
}

// count returns the number of rows of a part.
func (t *rowTables) count(table, part string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.parts[partID{table, part}])
}
