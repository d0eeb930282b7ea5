package rowstore

import (
	"context"
	"errors"
	"testing"
	"time"
)

// pagedStore is a store that returns one row or one change in each answer.
type pagedStore struct {
	*Memory
	emptyPage bool // each page but the last is without rows
}

func (s pagedStore) Read(ctx context.Context, r Range) (Result, error) {
	result, err := s.Memory.Read(ctx, r)
	result.More = len(result.Rows) > 1
	result.Rows = result.Rows[:min(1, len(result.Rows))]
	if s.emptyPage && result.More {
		result.Rows = nil
	}
	return result, err
}

// commitRows commits transactions of the given numbers of rows.
func commitRows(t *testing.T, s Store, counts ...int) {
	t.Helper()
	next := byte('a')
	for _, count := range counts {
		var tx Transaction
		for range count {
			tx.Puts = append(tx.Puts, Put{Key: Key{Table: "t", Key: string(next)}, Value: []byte{next}})
			next++
		}
		if _, err := s.Commit(t.Context(), tx); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a table that counts as read although pages are missing: jobs and runners
// would be taken as not existing.
func TestReadAllReturnsAllPagesOrAnError(t *testing.T) {
	store := NewMemory()
	commitRows(t, store, 3)
	if all, err := ReadAll(t.Context(), pagedStore{Memory: store}, Range{Table: "t"}); err != nil || len(all.Rows) != 3 {
		t.Errorf("%d rows, error %v, want 3 rows", len(all.Rows), err)
	}
	if all, err := ReadAll(t.Context(), pagedStore{store, true}, Range{Table: "t"}); !errors.Is(err, ErrRefused) {
		t.Errorf("%d rows, error %v, want an error after an empty page that is not the last", len(all.Rows), err)
	}
}

// Guards against changes that are passed over: the version of an answer is the store's newest,
// also if the answer does not hold all changes up to it, and the rows of one transaction may be
// split between two answers.
func TestPagesOfChangesPassOverNone(t *testing.T) {
	for pageSize := 3; pageSize <= 6; pageSize++ {
		store := NewMemory()
		commitRows(t, store, 1, 3, 1, 2, 3, 1)
		seen := map[string]bool{}
		after := uint64(0)
		for calls := 0; ; calls++ {
			answer, err := store.Changes(t.Context(), "t", after, time.Millisecond)
			if err != nil || calls > 20 {
				t.Fatalf("page size %d: %d calls, error %v", pageSize, calls, err)
			}
			answer.More = len(answer.Rows) > pageSize
			answer.Rows = answer.Rows[:min(pageSize, len(answer.Rows))]
			for _, row := range answer.Rows {
				seen[row.Key.Key] = true
			}
			after = answer.NextAfter(after)
			if !answer.More {
				break
			}
		}
		if len(seen) != 11 {
			t.Errorf("page size %d: %d rows seen, want 11", pageSize, len(seen))
		}
	}
}
