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

// clock is set by the test.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

func candidate(store rowstore.Store, holder, process string, c *clock) *Candidate {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Candidate{Store: store, Holder: holder, Process: process, Clock: c.read, Log: log}
}

// holds writes the lease row for a holder.
func holds(t *testing.T, c *Candidate, epoch, version uint64) *held {
	t.Helper()
	h := &held{record: record{Holder: c.Holder, Process: c.Process, Epoch: epoch}}
	v, err := c.write(context.Background(), h.record, version)
	if err != nil {
		t.Fatal(err)
	}
	h.version = v
	return h
}

func look(t *testing.T, c *Candidate, seen *observed) bool {
	t.Helper()
	if err := c.read(context.Background(), seen); err != nil {
		t.Fatal(err)
	}
	_, ok := c.mayTake(seen)
	return ok
}

// A lease that is renewed must not be taken; one that is not must be, after its
// duration and no sooner.
func TestLeaseIsTakenOnlyAfterItsDuration(t *testing.T) {
	store, now := rowstore.NewMemory(), &clock{now: time.Minute}
	owner, other := candidate(store, "a", "1", now), candidate(store, "b", "2", now)
	h := holds(t, owner, 1, 0)
	term := &Term{Epoch: 1, clock: now.read}
	var seen observed
	for range 20 {
		now.now += 500 * time.Millisecond
		if err := owner.renew(term, h); err != nil {
			t.Fatal(err)
		}
		if look(t, other, &seen) {
			t.Fatal("taken although it is renewed")
		}
	}
	for range 5 {
		now.now += 500 * time.Millisecond
		if look(t, other, &seen) {
			t.Fatalf("taken too soon")
		}
	}
	now.now += time.Second
	if !look(t, other, &seen) {
		t.Error("not taken after its duration")
	}
}

// While the store is away the holder can't renew. It gets a moment to do so
// when the store is back, before others take the lease: each outage used to
// change the coordinator.
func TestHolderMayRenewAfterAnOutage(t *testing.T) {
	store, now := rowstore.NewMemory(), &clock{now: time.Minute}
	owner, other := candidate(store, "a", "1", now), candidate(store, "b", "2", now)
	h := holds(t, owner, 1, 0)
	seen := observed{read: now.now}
	look(t, other, &seen)
	now.now += 8 * time.Second
	if look(t, other, &seen) {
		t.Fatal("taken with the first answer after the outage")
	}
	if err := owner.renew(&Term{Epoch: 1, clock: now.read}, h); err != nil {
		t.Fatal(err)
	}
	now.now += 500 * time.Millisecond
	if look(t, other, &seen) {
		t.Error("taken although it was renewed after the outage")
	}
}

// A restarted process takes over from its predecessor on the same machine at
// once: that process is gone.
func TestRestartedHolderTakesAtOnce(t *testing.T) {
	store, now := rowstore.NewMemory(), &clock{now: time.Minute}
	holds(t, candidate(store, "a", "1", now), 1, 0)
	var seen observed
	if !look(t, candidate(store, "a", "2", now), &seen) {
		t.Error("not taken")
	}
}

// A renewal whose answer is lost must not end the term, and one that another
// process has overtaken must.
func TestRenewalAfterALostAnswer(t *testing.T) {
	store, now := rowstore.NewMemory(), &clock{now: time.Minute}
	owner := candidate(store, "a", "1", now)
	h := holds(t, owner, 1, 0)
	term := &Term{Epoch: 1, clock: now.read}
	store.Lose = func(string) error { return rowstore.ErrUnknown }
	if err := owner.renew(term, h); !errors.Is(err, rowstore.ErrUnknown) {
		t.Fatalf("error %v", err)
	}
	store.Lose = nil
	if err := owner.renew(term, h); err != nil {
		t.Fatalf("after a lost answer: %v", err)
	}
	holds(t, candidate(store, "b", "2", now), 2, h.version)
	if err := owner.renew(term, h); !errors.Is(err, ErrDeposed) {
		t.Errorf("error %v, want deposed", err)
	}
}

// The holder may rely on the lease only for the time that others leave it alone,
// which they count from the renewal that took effect. An old renewal found in
// the row, after its answer was lost, used to count as a new one; then two
// coordinators started the same task.
func TestOldRenewalDoesNotCountAsNew(t *testing.T) {
	store, now := rowstore.NewMemory(), &clock{now: time.Minute}
	owner := candidate(store, "a", "1", now)
	h := holds(t, owner, 1, 0)
	term := &Term{Epoch: 1, clock: now.read}
	term.renewed.Store(int64(now.now))
	store.Lose = func(string) error { return rowstore.ErrUnknown }
	_ = owner.renew(term, h)
	store.Lose = nil
	now.now += 2 * time.Second
	calls := 0
	store.Fail = func(string) error {
		if calls++; calls > 1 {
			return rowstore.ErrRefused
		}
		return nil
	}
	if err := owner.renew(term, h); err == nil {
		t.Error("no error although nothing was written")
	}
	now.now += time.Second
	if term.Exclusive() {
		t.Error("relies on the lease 3 s after the last renewal that took effect")
	}
}

// A planned stop releases the lease only once the holder's work has stopped.
func TestStopReleasesTheLease(t *testing.T) {
	store := rowstore.NewMemory()
	started := time.Now()
	c := candidate(store, "a", "1", nil)
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
	var seen observed
	if !stopped || !look(t, candidate(store, "b", "2", &clock{now: time.Hour}), &seen) || !seen.Released {
		t.Errorf("stopped %v, row %+v", stopped, seen)
	}
}

// Guards against a successor that takes a predecessor for gone because a term between
// them ended before it had begun to coordinate: that predecessor was not renewed, and may
// act for its grace. Its leases on runners would be counted too short.
func TestUnsettledTermDoesNotHideItsPredecessor(t *testing.T) {
	for _, c := range []struct {
		name            string
		settles         bool
		second, process string // the instance that takes the lease after the unsettled term
	}{
		{"another instance", false, "c", "3"},
		{"the same instance, restarted", false, "b", "4"},
		{"another instance after a settled term", true, "c", "3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			store, now := rowstore.NewMemory(), &clock{now: time.Minute}
			holds(t, candidate(store, "a", "1", now), 1, 0)
			first := candidate(store, "b", "2", now)
			first.Lead = func(_ context.Context, term *Term) error {
				if c.settles {
					term.Settle()
				}
				return errors.New("no rows")
			}
			var seen observed
			look(t, first, &seen)
			now.now += Duration
			claim, ok := first.mayTake(&seen)
			if !ok || claim.gone <= now.now {
				t.Fatalf("claim %+v, free %v: the lease has lapsed, its holder may act", claim, ok)
			}
			first.lead(t.Context(), &seen, claim)
			next := candidate(store, c.second, c.process, now)
			var found observed
			if err := next.read(t.Context(), &found); err != nil {
				t.Fatal(err)
			}
			got, ok := next.mayTake(&found)
			if !ok || (got.gone > now.now) == c.settles {
				t.Errorf("claim %+v, free %v", got, ok)
			}
		})
	}
}
