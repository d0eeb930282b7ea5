package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"bergamotstile/rowstore"
)

// agedStore answers as if its clock were ahead.
type agedStore struct {
	rowstore.Store
	ahead time.Duration
}

func (s *agedStore) Read(ctx context.Context, r rowstore.Range) (rowstore.Result, error) {
	res, err := s.Store.Read(ctx, r)
	res.Now += s.ahead
	return res, err
}

// Guards against a number of pending jobs that nobody has counted for a while, or ever,
// being told as the present one.
func TestOutdatedNumberOfPendingJobsIsNotTold(t *testing.T) {
	store := &agedStore{Store: rowstore.NewMemory(), ahead: time.Hour}
	g := gatewayOn(store)
	g.MaxPendingAge = 4 * time.Second
	if p, err := g.Pending(short(t), queue.Name); !errors.Is(err, ErrOutdated) {
		t.Errorf("%d jobs told, error %v, though none were ever counted", p.Jobs, err)
	}
	value, err := PendingCounts{AsOf: time.Hour, Jobs: map[string]int{queue.Name: 3}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(short(t), rowstore.Transaction{Puts: []rowstore.Put{{Key: PendingKey, Value: value}}}); err != nil {
		t.Fatal(err)
	}
	store.ahead = time.Hour + 3*time.Second
	if p, err := g.Pending(short(t), queue.Name); err != nil || p.Jobs != 3 {
		t.Errorf("%d jobs told, error %v, want 3", p.Jobs, err)
	}
	store.ahead = time.Hour + 5*time.Second
	if p, err := g.Pending(short(t), queue.Name); !errors.Is(err, ErrOutdated) {
		t.Errorf("%d jobs told, error %v, though they were counted 5 s ago", p.Jobs, err)
	}
}
