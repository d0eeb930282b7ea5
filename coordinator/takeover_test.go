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

// failingCall names the calls of one kind to one part of a table.
type failingCall struct{ kind, table, part string }

// failingStore is a store that fails some of the calls.
type failingStore struct {
	*rowstore.Memory
	mu           sync.Mutex
	failures     map[failingCall]int // how often each call still has to fail
	failure      error
	epochCommits map[string]int // commits of the epoch that took effect, by part
	epochReads   map[string]int // reads of the epoch that were answered, by part
	onFail       func()
}

// shouldFail reports whether a call has to fail and counts the failure.
func (s *failingStore) shouldFail(call failingCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures[call] == 0 {
		return false
	}
	s.failures[call]--
	if s.onFail != nil {
		s.onFail()
	}
	return true
}

func (s *failingStore) Read(ctx context.Context, r rowstore.Range) (rowstore.Result, error) {
	if s.shouldFail(failingCall{"read", r.Table, r.Part}) {
		return rowstore.Result{}, s.failure
	}
	if r.Table == epochsTable {
		s.mu.Lock()
		s.epochReads[r.Part]++
		s.mu.Unlock()
	}
	return s.Memory.Read(ctx, r)
}

func (s *failingStore) Commit(ctx context.Context, tx rowstore.Transaction) (uint64, error) {
	key := tx.Puts[0].Key
	if key.Table != epochsTable {
		return s.Memory.Commit(ctx, tx)
	}
	isFailing := s.shouldFail(failingCall{"commit", key.Table, key.Part})
	if isFailing && errors.Is(s.failure, rowstore.ErrRefused) {
		return 0, s.failure
	}
	version, err := s.Memory.Commit(ctx, tx)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.epochCommits[key.Part]++
	s.mu.Unlock()
	if isFailing {
		return 0, s.failure
	}
	return version, nil
}

// newFailingStoreFleet returns a fleet with one runner and a store that fails some calls
// with an error.
func newFailingStoreFleet(t *testing.T, failure error, failures map[failingCall]int) (*fakeFleet, *failingStore, Environment, *manualClock) {
	t.Helper()
	f, memory, env, clock := newLongRunningFleet(t, 1)
	store := &failingStore{Memory: memory, failure: failure, failures: failures, epochCommits: map[string]int{}, epochReads: map[string]int{}}
	env.Store = store
	return f, store, env, clock
}

// Guards against terms that end at the first call that the store refuses or doesn't answer.
// While one part of the store was out for 2.8 s, ten instances held the coordinator's lease
// one after the other. Also guards against parts that are fenced more than once.
func TestTakeoverWaitsForTheStore(t *testing.T) {
	part := gateway.Parts()[1]
	for _, failure := range []error{rowstore.ErrRefused, rowstore.ErrOutcomeUnknown} {
		for _, call := range []failingCall{
			{"read", epochsTable, part},
			{"commit", epochsTable, part},
			{"read", gateway.JobsTable, part},
			{"read", gateway.ProgressTable, part},
			{"read", runnersTable, ""},
			{"read", rosterKey.Table, sharedPart},
		} {
			f, store, env, _ := newFailingStoreFleet(t, failure, map[failingCall]int{call: 2})
			log, logHook := test.NewNullLogger()
			env.Log = log
			stop := startCoordinator(env, 1)
			f.awaitEpoch(t, 1)
			stop()
			for _, fencedPart := range append(gateway.Parts(), sharedPart) {
				if n := store.epochCommits[fencedPart]; n != 1 {
					t.Errorf("%v of %v: part %q was fenced %d times", failure, call, fencedPart, n)
				}
			}
			counts := map[string]int{}
			for _, entry := range logHook.AllEntries() {
				counts[entry.Message]++
			}
			if counts["takeover waits for the store"] != 1 || counts["takeover continues"] != 1 {
				t.Errorf("%v of %v: lines %v, want one for the start and one for the end of the wait", failure, call, counts)
			}
		}
	}
}

// Guards against a fence whose commit is repeated without the read before it. After two
// calls without an answer, the platform's adapter sends no writes until a read is answered.
func TestFenceIsRetriedFromItsRead(t *testing.T) {
	part := gateway.Parts()[1]
	f, store, env, _ := newFailingStoreFleet(t, rowstore.ErrRefused, map[failingCall]int{{"commit", epochsTable, part}: 2})
	stop := startCoordinator(env, 1)
	f.awaitEpoch(t, 1)
	stop()
	if n := store.epochReads[part]; n != 3 {
		t.Errorf("the epoch was read %d times for three commits, want 3", n)
	}
}

// unlimitedFailures is more than the number of calls in any takeover.
const unlimitedFailures = 1 << 30

// Guards against an instance that keeps the coordinator's lease although the store goes on
// refusing its calls.
func TestTakeoverFailsAfterItsTimeout(t *testing.T) {
	call := failingCall{"commit", epochsTable, sharedPart}
	_, store, env, clock := newFailingStoreFleet(t, rowstore.ErrRefused, map[failingCall]int{call: unlimitedFailures})
	store.onFail = func() { clock.advance(takeoverTimeout / 4) }
	err := Lead(t.Context(), env, leadership.NewTerm(1, 24*time.Hour, env.Clock))
	if !errors.Is(err, rowstore.ErrRefused) {
		t.Errorf("the term ended with %v, want the store's refusal", err)
	}
	if attempts := unlimitedFailures - store.failures[call]; attempts != 4 {
		t.Errorf("%d attempts at 1.5 s each, want 4 within 6 s", attempts)
	}
}

// Guards against a takeover that waits although a later coordinator has fenced it off from
// the store, and against an error that doesn't say so.
func TestTakeoverEndsAtOnceForALaterCoordinator(t *testing.T) {
	_, store, env, _ := newFailingStoreFleet(t, rowstore.ErrRefused, map[failingCall]int{{"read", epochsTable, gateway.Parts()[0]}: unlimitedFailures})
	if _, err := newJournal(store, 2, discardLog()).fence(t.Context(), gateway.Parts()[1]); err != nil {
		t.Fatal(err)
	}
	err := Lead(t.Context(), env, leadership.NewTerm(1, 24*time.Hour, env.Clock))
	if !errors.Is(err, ErrDeposed) {
		t.Errorf("the term ended with %v, want deposed", err)
	}
}

// Guards against a takeover that goes on after the coordinator's lease is lost, and against
// an error that doesn't say what the takeover was waiting for.
func TestTakeoverEndsWithTheLease(t *testing.T) {
	lost := errors.New("lease lost")
	ctx, cancel := context.WithCancelCause(t.Context())
	_, store, env, _ := newFailingStoreFleet(t, rowstore.ErrRefused, map[failingCall]int{{"read", runnersTable, ""}: unlimitedFailures})
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
