package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"bergamotstile/rowstore"
)

// clockAheadStore returns readings of the store's clock to which ahead is added.
type clockAheadStore struct {
	rowstore.Store
	ahead time.Duration
}

func (s *clockAheadStore) Read(ctx context.Context, r rowstore.Range) (rowstore.Result, error) {
	res, err := s.Store.Read(ctx, r)
	res.Now += s.ahead
	return res, err
}

// Guards against returning a pending count that is too old or was never stored.
func TestOutdatedPendingCountIsNotReturned(t *testing.T) {
	store := &clockAheadStore{Store: rowstore.NewMemory(), ahead: time.Hour}
	g := newGateway(store)
	g.MaxPendingAge = 4 * time.Second
	if p, err := g.Pending(shortContext(t), queue.Name); !errors.Is(err, ErrOutdated) {
		t.Errorf("got %d jobs, error %v, though no count was ever stored", p.Jobs, err)
	}
	value, err := PendingCounts{AsOf: time.Hour, Jobs: map[string]int{queue.Name: 3}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(shortContext(t), rowstore.Transaction{Puts: []rowstore.Put{{Key: PendingKey, Value: value}}}); err != nil {
		t.Fatal(err)
	}
	store.ahead = time.Hour + 3*time.Second
	if p, err := g.Pending(shortContext(t), queue.Name); err != nil || p.Jobs != 3 {
		t.Errorf("got %d jobs, error %v, want 3", p.Jobs, err)
	}
	store.ahead = time.Hour + 5*time.Second
	if p, err := g.Pending(shortContext(t), queue.Name); !errors.Is(err, ErrOutdated) {
		t.Errorf("got %d jobs, error %v, though the count is 5 s old", p.Jobs, err)
	}
}
