package leadership

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/rowstore"
)

// testClock is a clock that only the test moves.
type testClock struct{ elapsed time.Duration }

func (c *testClock) read() time.Duration { return c.elapsed }

func newCandidate(store rowstore.Store, holder, process string, clock *testClock) *Candidate {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Candidate{Store: store, Holder: holder, Process: process, Clock: clock.read, Log: log}
}

// writeLease writes the lease row for a holder that has not renewed it yet.
func writeLease(t *testing.T, c *Candidate, epoch, version uint64) *heldLease {
	t.Helper()
	held := &heldLease{record: record{Holder: c.Holder, Process: c.Process, Epoch: epoch}}
	written, err := c.write(context.Background(), held.record, version)
	if err != nil {
		t.Fatal(err)
	}
	held.version = written
	return held
}

// mayTakeAfterRead reads the lease and reports whether the candidate may take it.
func mayTakeAfterRead(t *testing.T, c *Candidate, observed *observedLease) bool {
	t.Helper()
	if err := c.readLease(context.Background(), observed); err != nil {
		t.Fatal(err)
	}
	_, ok := c.mayTake(observed)
	return ok
}

// Guards against a candidate that takes a lease that is renewed, that takes one before
// it has expired, or that does not take one that has expired.
func TestLeaseIsTakenOnlyAfterItExpires(t *testing.T) {
	store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
	holder, other := newCandidate(store, "a", "1", clock), newCandidate(store, "b", "2", clock)
	held := writeLease(t, holder, 1, 0)
	term := &Term{Epoch: 1, clock: clock.read}
	var observed observedLease
	for range 20 {
		clock.elapsed += 500 * time.Millisecond
		if err := holder.renew(term, held); err != nil {
			t.Fatal(err)
		}
		if mayTakeAfterRead(t, other, &observed) {
			t.Fatal("the lease was taken although it is renewed")
		}
	}
	for range 5 {
		clock.elapsed += 500 * time.Millisecond
		if mayTakeAfterRead(t, other, &observed) {
			t.Fatalf("the lease was taken before it expired")
		}
	}
	clock.elapsed += time.Second
	if !mayTakeAfterRead(t, other, &observed) {
		t.Error("the lease was not taken after it expired")
	}
}

// Guards against a change of the coordinator after each outage of the store. The holder
// can't renew the lease during the outage, so it gets time to renew it afterwards before
// others take it.
func TestHolderMayRenewAfterAnOutage(t *testing.T) {
	store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
	holder, other := newCandidate(store, "a", "1", clock), newCandidate(store, "b", "2", clock)
	held := writeLease(t, holder, 1, 0)
	observed := observedLease{lastRead: clock.elapsed}
	mayTakeAfterRead(t, other, &observed)
	clock.elapsed += 8 * time.Second
	if mayTakeAfterRead(t, other, &observed) {
		t.Fatal("the lease was taken at the first read after the outage")
	}
	if err := holder.renew(&Term{Epoch: 1, clock: clock.read}, held); err != nil {
		t.Fatal(err)
	}
	clock.elapsed += 500 * time.Millisecond
	if mayTakeAfterRead(t, other, &observed) {
		t.Error("the lease was taken although it was renewed after the outage")
	}
}

// Guards against a restarted process that waits for the lease of its predecessor on the
// same instance to expire: that process has ended.
func TestRestartedHolderTakesAtOnce(t *testing.T) {
	store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
	writeLease(t, newCandidate(store, "a", "1", clock), 1, 0)
	var observed observedLease
	if !mayTakeAfterRead(t, newCandidate(store, "a", "2", clock), &observed) {
		t.Error("not taken")
	}
}

// Guards against a term that ends because the answer to a renewal was lost, and against
// one that does not end after another process has taken the lease.
func TestRenewalAfterALostAnswer(t *testing.T) {
	store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
	holder := newCandidate(store, "a", "1", clock)
	held := writeLease(t, holder, 1, 0)
	term := &Term{Epoch: 1, clock: clock.read}
	store.AfterCommit = func(string) error { return rowstore.ErrOutcomeUnknown }
	if err := holder.renew(term, held); !errors.Is(err, rowstore.ErrOutcomeUnknown) {
		t.Fatalf("error %v", err)
	}
	store.AfterCommit = nil
	if err := holder.renew(term, held); err != nil {
		t.Fatalf("after a lost answer: %v", err)
	}
	writeLease(t, newCandidate(store, "b", "2", clock), 2, held.version)
	if err := holder.renew(term, held); !errors.Is(err, ErrDeposed) {
		t.Errorf("error %v, want deposed", err)
	}
}

// Guards against a holder that relies on the lease for longer than others leave it to the
// holder. The others count from the renewal that took effect. The holder once counted an
// earlier renewal, which it found in the row after its answer was lost, as a new one;
// then two coordinators started the same task.
func TestOldRenewalDoesNotCountAsNew(t *testing.T) {
	store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
	holder := newCandidate(store, "a", "1", clock)
	held := writeLease(t, holder, 1, 0)
	term := &Term{Epoch: 1, clock: clock.read}
	term.lastRenewal.Store(int64(clock.elapsed))
	store.AfterCommit = func(string) error { return rowstore.ErrOutcomeUnknown }
	_ = holder.renew(term, held)
	store.AfterCommit = nil
	clock.elapsed += 2 * time.Second
	calls := 0
	store.BeforeCall = func(string) error {
		if calls++; calls > 1 {
			return rowstore.ErrRefused
		}
		return nil
	}
	if err := holder.renew(term, held); err == nil {
		t.Error("no error although nothing was written")
	}
	clock.elapsed += time.Second
	if term.IsExclusive() {
		t.Error("relies on the lease 3 s after the last renewal that took effect")
	}
}

// Guards against a planned stop that does not release the lease, or that releases it
// before the holder's work has stopped.
func TestStopReleasesTheLease(t *testing.T) {
	store := rowstore.NewMemory()
	started := time.Now()
	c := newCandidate(store, "a", "1", nil)
	c.Clock = func() time.Duration { return time.Since(started) + time.Minute }
	leading, stopped := make(chan struct{}), false
	c.Lead = func(ctx context.Context, term *Term) error {
		close(leading)
		<-ctx.Done()
		stopped = true
		return ctx.Err()
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- c.Serve(ctx) }()
	<-leading
	cancel()
	<-done
	var observed observedLease
	if !stopped || !mayTakeAfterRead(t, newCandidate(store, "b", "2", &testClock{elapsed: time.Hour}), &observed) || !observed.Released {
		t.Errorf("stopped %v, row %+v", stopped, observed)
	}
}

// Guards against a successor that assumes a predecessor can no longer act because a term
// between the two ended before it had begun to coordinate. That predecessor may still act
// during its grace period, although it no longer renews the lease. The successor would
// assume too early an expiry of the leases that the predecessor granted on runners.
func TestIncompleteTakeoverDoesNotHideThePredecessor(t *testing.T) {
	for _, test := range []struct {
		name                    string
		completesTakeover       bool
		nextHolder, nextProcess string // the instance and the process that take the lease after the incomplete takeover
	}{
		{"another instance", false, "c", "3"},
		{"the same instance, restarted", false, "b", "4"},
		{"another instance after a completed takeover", true, "c", "3"},
	} {
		t.Run(test.name, func(t *testing.T) {
			store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
			writeLease(t, newCandidate(store, "a", "1", clock), 1, 0)
			first := newCandidate(store, "b", "2", clock)
			first.Lead = func(_ context.Context, term *Term) error {
				if test.completesTakeover {
					term.CompleteTakeover()
				}
				return errors.New("no rows")
			}
			var observed observedLease
			mayTakeAfterRead(t, first, &observed)
			clock.elapsed += LeaseDuration
			vacancy, ok := first.mayTake(&observed)
			if !ok || vacancy.actsUntil <= clock.elapsed {
				t.Fatalf("vacancy %+v, free %v: the lease has expired, but its holder may still act", vacancy, ok)
			}
			first.runTerm(t.Context(), &observed, vacancy)
			next := newCandidate(store, test.nextHolder, test.nextProcess, clock)
			var nextObserved observedLease
			if err := next.readLease(t.Context(), &nextObserved); err != nil {
				t.Fatal(err)
			}
			nextVacancy, ok := next.mayTake(&nextObserved)
			if !ok || (nextVacancy.actsUntil > clock.elapsed) == test.completesTakeover {
				t.Errorf("vacancy %+v, free %v", nextVacancy, ok)
			}
		})
	}
}
