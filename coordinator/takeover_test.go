package coordinator

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"bergamotstile/gateway"
	"bergamotstile/leadership"
	"bergamotstile/rowstore"
)

// refusedCall names calls of one kind to one table and part.
type refusedCall struct{ call, table, part string }

// troubled is a store that fails some of the calls.
type troubled struct {
	*rowstore.Memory
	mu       sync.Mutex
	failures map[refusedCall]int // how often each is still to fail
	failure  error
	commits  map[string]int // of epochs that took effect, by part
	reads    map[string]int // of epochs that were answered, by part
	onFail   func()
}

func (s *troubled) fails(c refusedCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures[c] == 0 {
		return false
	}
	s.failures[c]--
	if s.onFail != nil {
		s.onFail()
	}
	return true
}

func (s *troubled) Read(ctx context.Context, r rowstore.Range) (rowstore.Result, error) {
	if s.fails(refusedCall{"read", r.Table, r.Part}) {
		return rowstore.Result{}, s.failure
	}
	if r.Table == epochsTable {
		s.mu.Lock()
		s.reads[r.Part]++
		s.mu.Unlock()
	}
	return s.Memory.Read(ctx, r)
}

func (s *troubled) Commit(ctx context.Context, tx rowstore.Transaction) (uint64, error) {
	key := tx.Puts[0].Key
	if key.Table != epochsTable {
		return s.Memory.Commit(ctx, tx)
	}
	failing := s.fails(refusedCall{"commit", key.Table, key.Part})
	if failing && errors.Is(s.failure, rowstore.ErrRefused) {
		return 0, s.failure
	}
	version, err := s.Memory.Commit(ctx, tx)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.commits[key.Part]++
	s.mu.Unlock()
	if failing {
		return 0, s.failure
	}
	return version, nil
}

// troubledFleet is a fleet whose store fails calls with an error.
func troubledFleet(t *testing.T, failure error, failures map[refusedCall]int) (*fleet, *troubled, Environment, *manualClock) {
	t.Helper()
	f, memory, env, clock := lastingFleet(t, 1)
	store := &troubled{Memory: memory, failure: failure, failures: failures, commits: map[string]int{}, reads: map[string]int{}}
	env.Store = store
	return f, store, env, clock
}

// Guards against terms that end at the first call that the store refuses or doesn't
// answer: in an outage of one part of 2.8 s the lease went round ten instances. Parts
// that are fenced must not be fenced again.
func TestTakeoverWaitsForTheStore(t *testing.T) {
	part := gateway.Parts()[1]
	for _, failure := range []error{rowstore.ErrRefused, rowstore.ErrUnknown} {
		for _, call := range []refusedCall{
			{"read", epochsTable, part},
			{"commit", epochsTable, part},
			{"read", gateway.JobsTable, part},
			{"read", gateway.ProgressTable, part},
			{"read", runnersTable, ""},
			{"read", rosterKey.Table, sharedPart},
		} {
			f, store, env, _ := troubledFleet(t, failure, map[refusedCall]int{call: 2})
			log, lines := test.NewNullLogger()
			env.Log = log
			stop := lead(env, 1)
			f.awaitEpoch(t, 1)
			stop()
			for _, p := range append(gateway.Parts(), sharedPart) {
				if n := store.commits[p]; n != 1 {
					t.Errorf("%v of %v: part %q was fenced %d times", failure, call, p, n)
				}
			}
			counts := map[string]int{}
			for _, l := range lines.AllEntries() {
				counts[l.Message]++
			}
			if counts["takeover waits for the store"] != 1 || counts["takeover goes on"] != 1 {
				t.Errorf("%v of %v: lines %v, want one of each end of the wait", failure, call, counts)
			}
		}
	}
}

// Guards against a fence whose commit is repeated alone: the platform's adapter sends no
// writes after two calls without an answer until a read is answered.
func TestFenceIsRepeatedFromItsRead(t *testing.T) {
	part := gateway.Parts()[1]
	f, store, env, _ := troubledFleet(t, rowstore.ErrRefused, map[refusedCall]int{{"commit", epochsTable, part}: 2})
	stop := lead(env, 1)
	f.awaitEpoch(t, 1)
	stop()
	if n := store.reads[part]; n != 3 {
		t.Errorf("the epoch was read %d times before three commits", n)
	}
}

// always is more failures than any takeover sees.
const always = 1 << 30

// Guards against an instance that keeps the lease while the store refuses it for good.
func TestTakeoverGivesUpInTheEnd(t *testing.T) {
	call := refusedCall{"commit", epochsTable, sharedPart}
	_, store, env, clock := troubledFleet(t, rowstore.ErrRefused, map[refusedCall]int{call: always})
	store.onFail = func() { clock.advance(takeOverTimeout / 4) }
	err := Lead(t.Context(), env, leadership.NewTerm(1, 24*time.Hour, env.Clock))
	if !errors.Is(err, rowstore.ErrRefused) {
		t.Errorf("the term ended with %v, want the store's refusal", err)
	}
	if attempts := always - store.failures[call]; attempts != 4 {
		t.Errorf("%d attempts at 1.5 s each, want 4 within 6 s", attempts)
	}
}

// Guards against a takeover that waits although a later coordinator has the store, and
// against an error that doesn't say so.
func TestTakeoverEndsAtOnceForALaterCoordinator(t *testing.T) {
	_, store, env, _ := troubledFleet(t, rowstore.ErrRefused, map[refusedCall]int{{"read", epochsTable, gateway.Parts()[0]}: always})
	if _, err := newJournal(store, 2, discardLog()).fence(t.Context(), gateway.Parts()[1]); err != nil {
		t.Fatal(err)
	}
	err := Lead(t.Context(), env, leadership.NewTerm(1, 24*time.Hour, env.Clock))
	if !errors.Is(err, ErrDeposed) {
		t.Errorf("the term ended with %v, want deposed", err)
	}
}

// Guards against a takeover that goes on after the lease is lost, and against an error
// that hides what it waited for.
func TestTakeoverEndsWithTheLease(t *testing.T) {
	lost := errors.New("lease lost")
	ctx, cancel := context.WithCancelCause(t.Context())
	_, store, env, _ := troubledFleet(t, rowstore.ErrRefused, map[refusedCall]int{{"read", runnersTable, ""}: always})
	attempts := 0
	store.onFail = func() {
		if attempts++; attempts == 2 {
			cancel(lost)
		}
	}
	err := Lead(ctx, env, leadership.NewTerm(1, 24*time.Hour, env.Clock))
	if !errors.Is(err, lost) || !errors.Is(err, rowstore.ErrRefused) {
		t.Errorf("the term ended with %v, want the loss of the lease and the store's refusal", err)
	}
}
