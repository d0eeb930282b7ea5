package coordinator

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bergamotstile/rowstore"
)

// pagedChanges is a store whose answers to requests for changes hold one change each. The
// version of each answer is the store's newest.
type pagedChanges struct{ *rowstore.Memory }

func (s pagedChanges) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Result, error) {
	result, err := s.Memory.Changes(ctx, table, after, wait)
	result.More = len(result.Rows) > 1
	result.Rows = result.Rows[:min(1, len(result.Rows))]
	return result, err
}

// Guards against accepted jobs and registered runners that are passed over: the store may have
// more changes than its answer holds.
func TestFollowedTablePassesOverNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstore.NewMemory()
		for _, key := range []string{"a", "b", "c"} {
			if _, err := store.Commit(t.Context(), rowstore.Transaction{Puts: []rowstore.Put{{Key: rowstore.Key{Table: "t", Key: key}}}}); err != nil {
				t.Fatal(err)
			}
		}
		coord := newCoordinatorWithoutLoop(Environment{Store: pagedChanges{store}, Log: discardLog(), Count: func(string, int64) {}}, nil)
		ctx, cancel := context.WithCancel(t.Context())
		var seen []string
		coord.followTable(ctx, "t", 0, nil, func(res rowstore.Result, _ bool) bool {
			for _, row := range res.Rows {
				seen = append(seen, row.Key.Key)
			}
			if len(res.Rows) == 0 {
				cancel()
			}
			return true
		})
		if !slices.Equal(seen, []string{"a", "b", "c"}) {
			t.Errorf("rows %v, want all three", seen)
		}
	})
}
