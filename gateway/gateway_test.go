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

func newGateway(store rowstore.Store) *Gateway {
	return &Gateway{Store: store, Clock: func() time.Duration { return time.Second }}
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a second job, or a second write of the row, when a client sends a job
// again, also after the answer to its first write was lost.
func TestSubmitIsIdempotent(t *testing.T) {
	store := rowstore.NewMemory()
	g := newGateway(store)
	commits := 0
	store.AfterCommit = func(string) error {
		commits++
		if commits == 1 {
			return rowstore.ErrOutcomeUnknown
		}
		return nil
	}
	for range 3 {
		if err := g.Submit(shortContext(t), queue, id, spec); err != nil {
			t.Fatal(err)
		}
	}
	res, _ := store.Read(shortContext(t), JobRange(id))
	if len(res.Rows) != 1 || res.Rows[0].Version != 1 {
		t.Errorf("rows %v", res.Rows)
	}
}

// Guards against ErrNotAccepted while an attempt may have taken effect or may still do
// so.
func TestNotAcceptedOnlyIfNoAttemptCanTakeEffect(t *testing.T) {
	cases := []struct {
		name string
		errs []error // the outcome of each attempt; the last one repeats
		want error
	}{
		{"refused", []error{rowstore.ErrRefused}, ErrNotAccepted},
		{"unknown, then refused", []error{rowstore.ErrOutcomeUnknown, rowstore.ErrRefused}, ErrOutcomeUnknown},
		{"refused, then unknown", []error{rowstore.ErrRefused, rowstore.ErrOutcomeUnknown}, ErrOutcomeUnknown},
		{"refused once", []error{rowstore.ErrRefused, nil}, nil},
	}
	for _, c := range cases {
		store := rowstore.NewMemory()
		var attempts atomic.Int32 // two attempts of one write may be sent at the same time
		store.BeforeCall = func(string) error {
			attempt := int(attempts.Add(1)) - 1
			return c.errs[min(attempt, len(c.errs)-1)]
		}
		if err := newGateway(store).Submit(shortContext(t), queue, id, spec); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

// Guards against holding the client until its deadline although the store refuses.
func TestRefusalIsReportedBeforeDeadline(t *testing.T) {
	store := rowstore.NewMemory()
	store.BeforeCall = func(string) error { return rowstore.ErrRefused }
	calls := 0
	store.BeforeCall = func(string) error { calls++; return rowstore.ErrRefused }
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if err := newGateway(store).Submit(ctx, queue, id, spec); !errors.Is(err, ErrNotAccepted) || calls > 2 {
		t.Errorf("%d calls, error %v", calls, err)
	}
}

// Guards against holding the client until its deadline although more attempts can't
// settle an unknown outcome: an earlier answer lets the client ask another instance.
func TestUnknownOutcomeIsReportedBeforeDeadline(t *testing.T) {
	store := rowstore.NewMemory()
	calls := 0
	store.BeforeCall = func(string) error {
		if calls++; calls == 1 {
			return rowstore.ErrOutcomeUnknown
		}
		return rowstore.ErrRefused
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if err := newGateway(store).Submit(ctx, queue, id, spec); !errors.Is(err, ErrOutcomeUnknown) || calls != 2 {
		t.Errorf("%d calls, error %v", calls, err)
	}
}

// Guards against a status that differs from the stored progress, and against an
// acknowledged cancel that the status does not show.
func TestStatusAndCancel(t *testing.T) {
	store := rowstore.NewMemory()
	g := newGateway(store)
	if _, exists, err := g.Status(shortContext(t), id); exists || err != nil {
		t.Fatalf("unknown job: exists %v, error %v", exists, err)
	}
	if exists, err := g.Cancel(shortContext(t), "00000000000000b2"); exists || err != nil {
		t.Fatalf("cancel of an unknown job: exists %v, error %v", exists, err)
	}
	if err := g.Submit(shortContext(t), queue, id, spec); err != nil {
		t.Fatal(err)
	}
	expect := func(want jobs.State) {
		t.Helper()
		if state, exists, err := g.Status(shortContext(t), id); state != want || !exists || err != nil {
			t.Errorf("state %v, exists %v, error %v, want %v", state, exists, err, want)
		}
	}
	expect(jobs.Queued)
	storeProgress := func(state jobs.State) {
		j := jobs.New(id, queue, spec, 0, 1)
		j.State = state
		value, err := jobs.EncodeProgress(j, 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Commit(shortContext(t), rowstore.Transaction{Puts: []rowstore.Put{{Key: ProgressKey(id), Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	storeProgress(jobs.Completed)
	if exists, err := g.Cancel(shortContext(t), id); !exists || err != nil {
		t.Fatal(exists, err)
	}
	expect(jobs.Completed)
	storeProgress(jobs.Running)
	expect(jobs.Running)
	if exists, err := g.Cancel(shortContext(t), id); !exists || err != nil {
		t.Fatal(exists, err)
	}
	expect(jobs.Cancelled)
}

// silentStore executes every commit, but answers only the calls for which answers
// returns true.
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
	return 0, rowstore.ErrOutcomeUnknown
}

// Guards against holding the client until its deadline when the store does not answer:
// the client could ask another instance.
func TestUnansweredWriteIsReportedBeforeDeadline(t *testing.T) {
	store := &silentStore{Store: rowstore.NewMemory(), answers: func(int) bool { return false }}
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if err := newGateway(store).Submit(ctx, queue, id, spec); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error %v, want unknown", err)
	}
	if n := store.calls.Load(); n > 3 {
		t.Errorf("%d calls to a store that does not answer", n)
	}
}

// Guards against waiting for the time-out of a write whose answer was lost: a second
// attempt shows at once that the write took effect.
func TestWriteIsSentAgainAfterLostAnswer(t *testing.T) {
	store := &silentStore{Store: rowstore.NewMemory(), answers: func(call int) bool { return call > 1 }}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	if err := newGateway(store).Submit(ctx, queue, id, spec); err != nil || store.calls.Load() != 2 {
		t.Errorf("%d calls, error %v", store.calls.Load(), err)
	}
}

// Guards against sending every write twice to a store that is slow for all clients.
func TestHedgeDelayFollowsStoreLatency(t *testing.T) {
	var writes meanLatency
	for range 30 {
		writes.observe(500 * time.Millisecond)
	}
	if got := writes.hedgeDelay(); got < outcomeTimeout {
		t.Errorf("a write is sent again after %v though the store takes 500 ms", got)
	}
	for range 30 {
		writes.observe(20 * time.Millisecond)
	}
	if got := writes.hedgeDelay(); got != minHedgeDelay {
		t.Errorf("a write is sent again after %v though the store takes 20 ms", got)
	}
}
