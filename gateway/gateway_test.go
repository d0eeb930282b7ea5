package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

const id = jobs.ID("00000000000000a1")

var queue = jobs.Queue{Name: "q", Service: "s"}

var spec = jobs.Spec{Text: "text", Steps: []jobs.Step{{Count: 2}}}

func gatewayOn(store rowstore.Store) *Gateway {
	return &Gateway{Store: store, Clock: func() time.Duration { return time.Second }}
}

func short(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// A job that is sent again, also after its answer was lost, stays one job.
func TestSubmitIsIdempotent(t *testing.T) {
	store := rowstore.NewMemory()
	g := gatewayOn(store)
	lost := 0
	store.Lose = func(string) error {
		lost++
		if lost == 1 {
			return rowstore.ErrUnknown
		}
		return nil
	}
	for range 3 {
		if err := g.Submit(short(t), queue, id, spec); err != nil {
			t.Fatal(err)
		}
	}
	res, _ := store.Read(short(t), JobRange(id))
	if len(res.Rows) != 1 || res.Rows[0].Version != 1 {
		t.Errorf("rows %v", res.Rows)
	}
}

// "Not accepted" must be true: it may be said only if no attempt can take
// effect any more.
func TestRefusalsAreTrue(t *testing.T) {
	cases := []struct {
		name string
		errs []error // one for each attempt, then the last again
		want error
	}{
		{"refused", []error{rowstore.ErrRefused}, ErrNotAccepted},
		{"unknown, then refused", []error{rowstore.ErrUnknown, rowstore.ErrRefused}, ErrUnknown},
		{"refused, then unknown", []error{rowstore.ErrRefused, rowstore.ErrUnknown}, ErrUnknown},
		{"refused once", []error{rowstore.ErrRefused, nil}, nil},
	}
	for _, c := range cases {
		store := rowstore.NewMemory()
		attempt := 0
		store.Fail = func(string) error {
			err := c.errs[min(attempt, len(c.errs)-1)]
			attempt++
			return err
		}
		if err := gatewayOn(store).Submit(short(t), queue, id, spec); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

// A store that refuses must be reported at once, not at the client's deadline.
func TestRefusalComesAtOnce(t *testing.T) {
	store := rowstore.NewMemory()
	store.Fail = func(string) error { return rowstore.ErrRefused }
	calls := 0
	store.Fail = func(string) error { calls++; return rowstore.ErrRefused }
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if err := gatewayOn(store).Submit(ctx, queue, id, spec); !errors.Is(err, ErrNotAccepted) || calls > 2 {
		t.Errorf("%d calls, error %v", calls, err)
	}
}

// Once the outcome can't be learned any more, the client is told at once: held
// back to its deadline it could not ask elsewhere.
func TestUnknownOutcomeIsToldAtOnce(t *testing.T) {
	store := rowstore.NewMemory()
	calls := 0
	store.Fail = func(string) error {
		if calls++; calls == 1 {
			return rowstore.ErrUnknown
		}
		return rowstore.ErrRefused
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if err := gatewayOn(store).Submit(ctx, queue, id, spec); !errors.Is(err, ErrUnknown) || calls != 2 {
		t.Errorf("%d calls, error %v", calls, err)
	}
}

// The state that clients see must follow the stored progress, and a cancel that
// was acknowledged must show.
func TestStatusAndCancel(t *testing.T) {
	store := rowstore.NewMemory()
	g := gatewayOn(store)
	if _, exists, err := g.Status(short(t), id); exists || err != nil {
		t.Fatalf("unknown job: exists %v, error %v", exists, err)
	}
	if exists, err := g.Cancel(short(t), id); exists || err != nil {
		t.Fatalf("cancel of an unknown job: exists %v, error %v", exists, err)
	}
	if err := g.Submit(short(t), queue, id, spec); err != nil {
		t.Fatal(err)
	}
	expect := func(want jobs.State) {
		t.Helper()
		if state, exists, err := g.Status(short(t), id); state != want || !exists || err != nil {
			t.Errorf("state %v, exists %v, error %v, want %v", state, exists, err, want)
		}
	}
	expect(jobs.Queued)
	store2 := func(state jobs.State) {
		j := jobs.New(id, queue, spec, 0, 1)
		j.State = state
		value, err := jobs.EncodeProgress(j, 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Commit(short(t), rowstore.Transaction{Puts: []rowstore.Put{{Key: ProgressKey(id), Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	store2(jobs.Completed)
	if exists, err := g.Cancel(short(t), id); !exists || err != nil {
		t.Fatal(exists, err)
	}
	expect(jobs.Completed)
	store2(jobs.Running)
	expect(jobs.Running)
	if exists, err := g.Cancel(short(t), id); !exists || err != nil {
		t.Fatal(exists, err)
	}
	expect(jobs.Cancelled)
}

// silentStore carries writes out and answers only some of them.
type silentStore struct {
	rowstore.Store
	answers func(call int) bool
	calls   atomic.Int32
}

func (s *silentStore) Commit(ctx context.Context, tx rowstore.Transaction) (uint64, error) {
	call := int(s.calls.Add(1))
	version, err := s.Store.Commit(ctx, tx)
	if s.answers(call) {
		return version, err
	}
	<-ctx.Done()
	return 0, rowstore.ErrUnknown
}

// Guards against a client that is held for as long as it waits although the store
// does not answer: it could ask another instance.
func TestClientIsToldOfASilentStoreBeforeItsTimeIsOver(t *testing.T) {
	store := &silentStore{Store: rowstore.NewMemory(), answers: func(int) bool { return false }}
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if err := gatewayOn(store).Submit(ctx, queue, id, spec); !errors.Is(err, ErrUnknown) {
		t.Errorf("error %v, want unknown", err)
	}
	if n := store.calls.Load(); n > 3 {
		t.Errorf("%d calls to a store that does not answer", n)
	}
}

// Guards against a client that waits for the time-out of a write whose answer was
// lost: a second attempt tells at once that it took effect.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	store := &silentStore{Store: rowstore.NewMemory(), answers: func(call int) bool { return call > 1 }}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if err := gatewayOn(store).Submit(ctx, queue, id, spec); err != nil || store.calls.Load() != 2 {
		t.Errorf("%d calls, error %v", store.calls.Load(), err)
	}
}

// Guards against twice the writes to a store that is slow for all.
func TestSlowStoreIsNotAskedTwice(t *testing.T) {
	var writes latency
	for range 30 {
		writes.note(500 * time.Millisecond)
	}
	if got := writes.hedge(); got < unknownTime {
		t.Errorf("a write is sent again after %v though the store takes 500 ms", got)
	}
	for range 30 {
		writes.note(20 * time.Millisecond)
	}
	if got := writes.hedge(); got != hedgeTime {
		t.Errorf("a write is sent again after %v though the store takes 20 ms", got)
	}
}
