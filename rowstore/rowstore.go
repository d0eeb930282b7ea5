// Package rowstore declares the store in which the scheduler of job graphs keeps
// its durable state as rows. An adapter to a store implements Store and converts
// the errors of that store to those of this package.
package rowstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors that implementations of Store return, wrapped with details.
var (
	// ErrRefused means that the call had no effect.
	ErrRefused = errors.New("store refused the call")
	// ErrOutcomeUnknown means that the call may have taken effect, now or later.
	ErrOutcomeUnknown = errors.New("outcome of the call unknown")
	// ErrRejected is added to ErrRefused if the store would refuse the same call again, however
	// often it is repeated: a row is too large, for example.
	ErrRejected = errors.New("store refuses the call for good")
	// ErrNoAnswer is added to ErrRefused if a read got no answer. The store may be fine and
	// only the connection dead.
	ErrNoAnswer = errors.New("store did not answer")
	// ErrHistoryGone means that the store has dropped some of the requested
	// changes. The caller has to read the whole table instead.
	ErrHistoryGone = errors.New("history no longer kept")
)

// Key identifies a row by its table, its part of the table and its key within
// the part. All rows of a transaction must belong to the same part.
type Key struct {
	Table, Part, Key string
}

// Row is a row with the version at which it was last written or deleted. The
// version of a row that exists is never zero.
type Row struct {
	Key
	Value   []byte
	Version uint64
	// Deleted is set if the row was deleted. Only Changes returns such rows.
	Deleted bool
}

// Condition requires that a row has the given version. Version zero requires that
// the row does not exist.
type Condition struct {
	Key
	Version uint64
}

// Put writes one row.
type Put struct {
	Key
	Value []byte
}

// Transaction is a set of writes that take effect together. If one of the
// conditions does not hold, none of them takes effect.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// Limits of the number of entries and of the size of one transaction.
const (
	MaxTransactionEntries = 100
	MaxTransactionBytes   = 1 << 20
)

// DefaultMaxRowBytes is the size of the largest value of a row if the platform does not
// state one.
const DefaultMaxRowBytes = 64 << 10

// ChangesWait is the time for which readers of Changes let the store wait for a change.
// A lost response is noticed only after that time, so it bounds how late a change is read
// then.
const ChangesWait = 800 * time.Millisecond

// Range selects the rows of one part with From <= key < To. If To is empty, the
// range has no upper bound.
type Range struct {
	Table, Part, From, To string
}

// Result holds the rows that a read returns. More is set if the range contains
// further rows. Version is the newest version of the store, and Now the reading
// of its monotonic clock.
type Result struct {
	Rows    []Row
	More    bool
	Version uint64
	Now     time.Duration
}

// NextAfter returns the version after which to ask for changes next, once the rows of this answer
// to a request for the changes after a version have been handled. If the store has more changes
// than the answer holds, it returns a version that does not pass over any: the rows of the last
// transaction may be split between two answers, so they are asked for again unless the answer
// has no others.
func (r Result) NextAfter(after uint64) uint64 {
	if !r.More {
		return max(after, r.Version)
	}
	if len(r.Rows) == 0 {
		return after
	}
	last := r.Rows[len(r.Rows)-1].Version
	if last > after+1 && r.Rows[0].Version != last {
		return last - 1
	}
	return max(after, last)
}

// ConflictError reports that a condition of a transaction did not hold. Rows
// holds the rows named in the conditions that exist, as they are now.
type ConflictError struct {
	Rows []Row
}

// Error returns the conflict as one line.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition did not hold; %d of the rows in the conditions exist", len(e.Rows))
}

// Find returns the row with the key, and false if Rows does not contain it.
func (e *ConflictError) Find(key Key) (Row, bool) {
	for _, row := range e.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// Store is the interface of a row store.
type Store interface {
	// Commit applies the transaction and returns the new version of the rows
	// that it wrote. Its errors are *ConflictError, ErrRefused and
	// ErrOutcomeUnknown.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
	// Read returns the rows of a range in key order, all as of the same time.
	Read(ctx context.Context, r Range) (Result, error)
	// Changes returns the changes of a table after a version, in the order in
	// which they were made. If there are none, it waits for a change for at most
	// the time wait. It returns ErrHistoryGone if the store has dropped some of the
	// changes.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Result, error)
}

// ReadPages reads all rows of a range and passes them to handle page by page, so that not all of
// them are held in memory. The returned version and time are those of the first page, so that a
// caller that follows the changes from that version misses none. It returns the first error of
// handle, and ErrRefused if the rows can't be read to their end; some were passed on then.
func ReadPages(ctx context.Context, s Store, r Range, handle func(rows []Row) error) (version uint64, now time.Duration, err error) {
	for {
		page, err := s.Read(ctx, r)
		if err != nil {
			return 0, 0, err
		}
		if version == 0 {
			version, now = page.Version, page.Now
		}
		if err := handle(page.Rows); err != nil {
			return 0, 0, err
		}
		if !page.More {
			return version, now, nil
		}
		if len(page.Rows) == 0 {
			return 0, 0, fmt.Errorf("%w: a page without rows that is not the last one", ErrRefused)
		}
		r.From = page.Rows[len(page.Rows)-1].Key.Key + "\x00"
	}
}

// ReadAll reads all rows of a range, page by page. The result has the version of
// the first page. It returns ErrRefused rather than a part of the rows.
func ReadAll(ctx context.Context, s Store, r Range) (Result, error) {
	var all Result
	version, now, err := ReadPages(ctx, s, r, func(rows []Row) error {
		all.Rows = append(all.Rows, rows...)
		return nil
	})
	if err != nil {
		return Result{}, err
	}
	all.Version, all.Now = version, now
	return all, nil
}
