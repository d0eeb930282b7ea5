// Package rowstore declares the row store that the scheduler of job graphs
// keeps its durable state in. An adapter implements Store and converts its own
// errors into the ones here.
package rowstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors that every implementation returns, wrapped with detail.
var (
	// ErrRefused means that the call had no effect.
	ErrRefused = errors.New("store refused the call")
	// ErrUnknown means that the call may have taken effect, now or later.
	ErrUnknown = errors.New("outcome of the call unknown")
	// ErrHistoryGone means that the changes asked for are no longer kept.
	ErrHistoryGone = errors.New("history no longer kept")
)

// Key names a row. All rows of a transaction share one part.
type Key struct {
	Table, Part, Key string
}

// Row is one row. Version is never zero for a row that exists.
type Row struct {
	Key
	Value   []byte
	Version uint64
	Deleted bool // only in changes
}

// Condition requires that a row is at a version; zero requires its absence.
type Condition struct {
	Key
	Version uint64
}

// Put writes one row.
type Put struct {
	Key
	Value []byte
}

// Transaction applies all of its writes, or none if a condition fails.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// Limits of one transaction.
const (
	MaxTransactionEntries = 100
	MaxTransactionBytes   = 1 << 20
)

// Range selects the rows of one part with From <= key < To. An empty To has no
// upper bound.
type Range struct {
	Table, Part, From, To string
}

// Result is an answer with rows. Version is the newest version of the store and
// Now its steady clock.
type Result struct {
	Rows    []Row
	More    bool
	Version uint64
	Now     time.Duration
}

// ConflictError reports a transaction of which a condition did not hold. Rows
// are the present rows that the conditions name.
type ConflictError struct {
	Rows []Row
}

// Error returns the conflict as one line.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition did not hold; %d of its rows exist", len(e.Rows))
}

// Find returns the present row with the key.
func (e *ConflictError) Find(key Key) (Row, bool) {
	for _, row := range e.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// Store is the row store.
type Store interface {
	// Commit applies the transaction and returns the new version of the rows
	// written. It returns a *ConflictError, ErrRefused or ErrUnknown.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
	// Read returns rows as of one moment, in key order.
	Read(ctx context.Context, r Range) (Result, error)
	// Changes waits until there is a change after a version, or for wait, and
	// returns the changes in order.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Result, error)
}

// ReadAll reads a range page by page. The version of the first page is
// returned: following the changes from there misses none.
func ReadAll(ctx context.Context, s Store, r Range) (Result, error) {
	var all Result
	for {
		page, err := s.Read(ctx, r)
		if err != nil {
			return Result{}, err
		}
		if all.Version == 0 {
			all.Version, all.Now = page.Version, page.Now
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		r.From = page.Rows[len(page.Rows)-1].Key.Key + "\x00"
	}
}
