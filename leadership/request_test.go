package leadership

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"bergamotstile/rowstore"
)

func newLogger(w io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	return log
}

// storedLease returns the lease record in the store and the version of its row.
func storedLease(t *testing.T, store rowstore.Store) (record, uint64) {
	t.Helper()
	res, err := store.Read(context.Background(), rowstore.Range{Table: LeaseKey.Table})
	if err != nil || len(res.Rows) != 1 {
		t.Fatalf("%d rows, error %v", len(res.Rows), err)
	}
	var r record
	if err := cbor.Unmarshal(res.Rows[0].Value, &r); err != nil {
		t.Fatal(err)
	}
	return r, res.Rows[0].Version
}

// weakTerm is a term of a holder with the capacity weakMilli, which renews the lease.
type weakTerm struct {
	t      *testing.T
	store  *rowstore.Memory
	clock  *testClock
	holder *Candidate
	held   *heldLease
	term   *Term
}

func newWeakTerm(t *testing.T) *weakTerm {
	t.Helper()
	store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
	holder := newRegisteredCandidate(t, store, "weak", weakMilli, clock)
	return &weakTerm{t, store, clock, holder, takeLease(t, holder, 1, 0), NewTerm(1, clock.elapsed, clock.read)}
}

// pollUntilRequested lets the candidate poll and the holder renew until the row contains a
// request, and returns how long that took. It stops after a minute.
func (w *weakTerm) pollUntilRequested(c *Candidate, observed *observedLease) time.Duration {
	w.t.Helper()
	start := w.clock.elapsed
	for w.clock.elapsed-start < time.Minute {
		if pollOnce(c, observed) {
			w.t.Fatal("the lease was taken although it is held")
		}
		if r, _ := storedLease(w.t, w.store); r.RequestedBy != "" {
			break
		}
		w.clock.elapsed += pollStep
		if w.clock.elapsed-w.term.LastRenewal() >= renewInterval {
			if err := w.holder.renew(w.term, w.held); err != nil {
				w.t.Fatal(err)
			}
		}
	}
	return w.clock.elapsed - start
}

// Guards against a weak instance that remains the coordinator for ever, because nobody
// requests the lease from an instance that keeps renewing it. The test covers the whole
// handover.
func TestWeakHolderEndsItsTermOnRequestOfAMuchMoreCapableInstance(t *testing.T) {
	w := newWeakTerm(t)
	strong := newRegisteredCandidate(t, w.store, "strong", strongMilli, w.clock)
	equal := newRegisteredCandidate(t, w.store, "equal", strongMilli, w.clock)
	weak := newRegisteredCandidate(t, w.store, "other-weak", weakMilli, w.clock)
	observed := startObserving(w.clock)
	if got := w.pollUntilRequested(strong, observed); got != minSteadyTime {
		t.Errorf("requested after %v, want %v", got, minSteadyTime)
	}
	if r, _ := storedLease(t, w.store); r.RequestedBy != "strong" || r.RequesterMilli != strongMilli || r.Holder != "weak" || r.Process != "weak-1" || r.Epoch != 1 {
		t.Errorf("row %+v", r)
	}
	if got := strong.pollPause(observed); got != fastPollInterval {
		t.Errorf("the requester polls every %v", got)
	}
	w.clock.elapsed += renewInterval
	if err := w.holder.renew(w.term, w.held); !errors.Is(err, ErrLeaseRequested) {
		t.Fatalf("error %v, want that the holder ends its term on request", err)
	}
	if !w.term.IsExclusive() || w.term.LastRenewal() != w.clock.elapsed {
		t.Error("the lease was not renewed for the time in which the work ends")
	}
	if pollOnce(strong, observed) {
		t.Fatal("the lease was taken before it was released")
	}
	w.holder.release(w.held)
	equalObserved, weakObserved := startObserving(w.clock), startObserving(w.clock)
	if pollOnce(equal, equalObserved) || pollOnce(weak, weakObserved) {
		t.Error("the lease was taken by an instance that did not request it")
	}
	if !pollOnce(strong, observed) {
		t.Error("not taken by the requester at once")
	}
	// Others take the lease after a wait, as the requester may have died.
	if got := pollUntilMayTake(equal, equalObserved, w.clock); got != requesterWait {
		t.Errorf("taken by an equal of the requester after %v, want %v", got, requesterWait)
	}
	if got := pollUntilMayTake(weak, weakObserved, w.clock); got != capacityWait-requesterWait {
		t.Errorf("taken by a weak instance %v later, want %v", got, capacityWait-requesterWait)
	}
}

// Guards against requests that bring no improvement: from an instance that is hardly
// more capable than the holder or of unknown capacity, or to a holder of unknown
// capacity.
func TestOnlyAMuchMoreCapableInstanceRequestsTheLease(t *testing.T) {
	for _, test := range []struct{ own, holder int64 }{{160, weakMilli}, {0, weakMilli}, {strongMilli, 0}, {weakMilli, strongMilli}} {
		w := newWeakTerm(t)
		w.held.CPUMilli = test.holder
		c := newCandidate(w.store, "other", "1", w.clock)
		c.CPUMilli = test.own
		if got := w.pollUntilRequested(c, startObserving(w.clock)); got < time.Minute {
			t.Errorf("an instance with capacity %d requests the lease from a holder with %d after %v", test.own, test.holder, got)
		}
	}
}

// Guards against a candidate that requests the lease right after it had an outage
// itself, and against a request to a holder that has only just taken the lease.
func TestRequestWaitsForSteadyReadsAndTenure(t *testing.T) {
	w := newWeakTerm(t)
	strong := newRegisteredCandidate(t, w.store, "strong", strongMilli, w.clock)
	observed := startObserving(w.clock)
	pollOnce(strong, observed)
	w.clock.elapsed += time.Second
	w.store.BeforeCall = func(string) error { return rowstore.ErrRefused }
	pollOnce(strong, observed)
	w.store.BeforeCall = nil
	if got := w.pollUntilRequested(strong, observed); got != minSteadyTime {
		t.Errorf("requested %v after a failed read, want %v", got, minSteadyTime)
	}

	w = newWeakTerm(t)
	strong = newRegisteredCandidate(t, w.store, "strong", strongMilli, w.clock)
	observed = startObserving(w.clock)
	observed.steadySince -= time.Minute
	if got := w.pollUntilRequested(strong, observed); got != minTenure {
		t.Errorf("requested after a tenure of %v, want %v", got, minTenure)
	}
}

// Guards against two handovers in a row. An instance of medium capacity leaves the
// request to a more capable one, but only for a time, as that one may have left.
func TestMostCapableInstanceRequestsFirst(t *testing.T) {
	w := newWeakTerm(t)
	newRegisteredCandidate(t, w.store, "strong", strongMilli, w.clock)
	middle := newRegisteredCandidate(t, w.store, "middle", middleMilli, w.clock)
	if got := w.pollUntilRequested(middle, startObserving(w.clock)); got != minSteadyTime+capacityWait {
		t.Errorf("requested after %v, want %v", got, minSteadyTime+capacityWait)
	}
}

// Guards against candidates that overwrite each other's requests, and against a
// candidate that sends repeated requests to the same holder: each request makes one of
// the holder's renewals fail. A holder of an earlier program version drops requests.
func TestEachEpochIsRequestedAtMostOnce(t *testing.T) {
	w := newWeakTerm(t)
	first := newRegisteredCandidate(t, w.store, "first", strongMilli, w.clock)
	second := newRegisteredCandidate(t, w.store, "second", strongMilli, w.clock)
	observed := startObserving(w.clock)
	w.pollUntilRequested(first, observed)
	secondObserved := startObserving(w.clock)
	pollOnce(second, secondObserved)
	secondObserved.steadySince -= time.Minute
	secondObserved.epochSince -= time.Minute
	pollOnce(second, secondObserved)
	if r, _ := storedLease(t, w.store); r.RequestedBy != "first" {
		t.Errorf("request of %q", r.RequestedBy)
	}
	_, w.held.version = storedLease(t, w.store)
	if _, err := w.holder.writeRenewal(w.held); err != nil {
		t.Fatal(err)
	}
	w.term = NewTerm(1, w.clock.elapsed, w.clock.read)
	if got := w.pollUntilRequested(first, observed); got < time.Minute {
		t.Errorf("requested again after %v", got)
	}
}

// Guards against a requester that does not repeat a request that was lost together with
// its answer, and against one that does not recognise its stored request because the
// answer was lost.
func TestRequestWhoseAnswerIsLost(t *testing.T) {
	for _, wasStored := range []bool{true, false} {
		w := newWeakTerm(t)
		strong := newRegisteredCandidate(t, w.store, "strong", strongMilli, w.clock)
		observed := startObserving(w.clock)
		observed.steadySince -= time.Minute
		pollOnce(strong, observed)
		w.clock.elapsed += minTenure
		unknownOutcome := func(string) error { return rowstore.ErrOutcomeUnknown }
		if wasStored {
			w.store.AfterCommit = unknownOutcome
		} else {
			w.store.BeforeCall = func(call string) error {
				if call == "commit" {
					return rowstore.ErrOutcomeUnknown
				}
				return nil
			}
		}
		// Without this, the pause of 2 s since the last read would count as an outage.
		observed.lastRead, observed.expiryCountedFrom = w.clock.elapsed, w.clock.elapsed
		pollOnce(strong, observed)
		w.store.AfterCommit, w.store.BeforeCall = nil, nil
		if r, _ := storedLease(t, w.store); (r.RequestedBy != "") != wasStored {
			t.Fatalf("row %+v, want a request: %v", r, wasStored)
		}
		pollOnce(strong, observed)
		if r, _ := storedLease(t, w.store); r.RequestedBy != "strong" || strong.pollPause(observed) != fastPollInterval {
			t.Errorf("stored %v: row %+v, polls every %v", wasStored, r, strong.pollPause(observed))
		}
	}
}

// Guards against a request that counts as a renewal: the lease of a holder that has died
// would expire later.
func TestRequestDoesNotRenewTheLease(t *testing.T) {
	w := newWeakTerm(t)
	other := newRegisteredCandidate(t, w.store, "other", weakMilli, w.clock)
	observed := startObserving(w.clock)
	pollOnce(other, observed)
	renewed := w.clock.elapsed
	w.clock.elapsed += time.Second
	pollOnce(other, observed)
	r, version := storedLease(t, w.store)
	r.RequestedBy, r.RequesterMilli = "strong", strongMilli
	if _, err := other.write(context.Background(), r, version); err != nil {
		t.Fatal(err)
	}
	pollUntilMayTake(other, observed, w.clock)
	if got := w.clock.elapsed - renewed; got != LeaseDuration {
		t.Errorf("taken %v after the last renewal, want %v", got, LeaseDuration)
	}
	if vacancy, ok := other.mayTake(observed); !ok || vacancy.lastRenewal != renewed {
		t.Errorf("vacancy %+v, want renewed at %v", vacancy, renewed)
	}
}

// Guards against a repeated renewal that others do not recognise as a new one. The holder
// repeats a renewal whose answer was lost and then relies on the repetition, also if a
// request was added in between.
func TestRepeatedRenewalHasANewNumber(t *testing.T) {
	w := newWeakTerm(t)
	w.store.AfterCommit = func(string) error { return rowstore.ErrOutcomeUnknown }
	_ = w.holder.renew(w.term, w.held)
	w.store.AfterCommit = nil
	first, version := storedLease(t, w.store)
	requested := first
	requested.RequestedBy, requested.RequesterMilli = "strong", strongMilli
	if _, err := w.holder.write(context.Background(), requested, version); err != nil {
		t.Fatal(err)
	}
	w.clock.elapsed += time.Second
	if err := w.holder.renew(w.term, w.held); !errors.Is(err, ErrLeaseRequested) {
		t.Fatalf("error %v", err)
	}
	if r, _ := storedLease(t, w.store); r.Renewal <= first.Renewal || r.RequestedBy != "strong" {
		t.Errorf("row %+v after renewal %d", r, first.Renewal)
	}
}

// Guards against a request that is lost because the store refuses the holder's next
// renewal, and against a holder that relies on a renewal that was not written.
func TestRequestSurvivesARefusedRenewal(t *testing.T) {
	w := newWeakTerm(t)
	strong := newRegisteredCandidate(t, w.store, "strong", strongMilli, w.clock)
	w.pollUntilRequested(strong, startObserving(w.clock))
	before := w.term.LastRenewal()
	calls := 0
	w.store.BeforeCall = func(string) error {
		if calls++; calls > 1 {
			return rowstore.ErrRefused
		}
		return nil
	}
	if err := w.holder.renew(w.term, w.held); !errors.Is(err, rowstore.ErrRefused) || w.term.LastRenewal() != before {
		t.Errorf("error %v, renewed %v later", err, w.term.LastRenewal()-before)
	}
	w.store.BeforeCall = nil
	if err := w.holder.renew(w.term, w.held); !errors.Is(err, ErrLeaseRequested) {
		t.Errorf("error %v, want that the holder ends its term on request", err)
	}
}

// Guards against a planned stop that does not release the lease because a request was
// written after the last renewal: the other instances would wait 3 s.
func TestPlannedStopReleasesARequestedLease(t *testing.T) {
	w := newWeakTerm(t)
	strong := newRegisteredCandidate(t, w.store, "strong", strongMilli, w.clock)
	requested, version := storedLease(t, w.store)
	requested.RequestedBy, requested.RequesterMilli = "strong", strongMilli
	if _, err := strong.write(context.Background(), requested, version); err != nil {
		t.Fatal(err)
	}
	w.holder.release(w.held)
	if !pollOnce(strong, startObserving(w.clock)) {
		t.Error("not taken by the requester at once")
	}
}

// Guards against a holder that is not deposed by the record of another process because
// the record contains a request.
func TestRecordOfASuccessorDeposesTheHolder(t *testing.T) {
	w := newWeakTerm(t)
	next := record{Holder: "weak", Process: "weak-2", Epoch: 2, RequestedBy: "strong", RequesterMilli: strongMilli}
	if _, err := w.holder.write(context.Background(), next, w.held.version); err != nil {
		t.Fatal(err)
	}
	if err := w.holder.renew(w.term, w.held); !errors.Is(err, ErrDeposed) {
		t.Errorf("error %v, want deposed", err)
	}
	w.holder.release(w.held)
	if r, _ := storedLease(t, w.store); r.Released {
		t.Error("the successor's lease was released")
	}
}

// Guards against a request that has no effect because the holder restarts. The new
// process takes the lease back with the next epoch, so it must be requested again.
func TestRestartedHolderIsRequestedAgain(t *testing.T) {
	w := newWeakTerm(t)
	strong := newRegisteredCandidate(t, w.store, "strong", strongMilli, w.clock)
	observed := startObserving(w.clock)
	w.pollUntilRequested(strong, observed)
	restarted := newCandidate(w.store, "weak", "weak-2", w.clock)
	restarted.CPUMilli = weakMilli
	if !pollOnce(restarted, startObserving(w.clock)) {
		t.Fatal("not taken by the new process")
	}
	_, version := storedLease(t, w.store)
	w.holder, w.held = restarted, takeLease(t, restarted, 2, version)
	w.term = NewTerm(2, w.clock.elapsed, w.clock.read)
	if got := w.pollUntilRequested(strong, observed); got != minTenure {
		t.Errorf("requested after %v, want %v", got, minTenure)
	}
}

// Guards against a requester that polls fast for ever if the holder never releases the
// lease.
func TestFastPollingIsBounded(t *testing.T) {
	w := newWeakTerm(t)
	strong := newRegisteredCandidate(t, w.store, "strong", strongMilli, w.clock)
	observed := startObserving(w.clock)
	w.pollUntilRequested(strong, observed)
	w.clock.elapsed += maxFastPollTime
	if got := strong.pollPause(observed); got != pollInterval {
		t.Errorf("polls every %v", got)
	}
}

// Guards against records that another program version cannot read. Earlier versions
// write records without a capacity and a request, and read records that have them.
func TestRecordsOfEarlierVersionsStayReadable(t *testing.T) {
	type earlier struct {
		Holder   string `cbor:"1,keyasint"`
		Process  string `cbor:"2,keyasint"`
		Epoch    uint64 `cbor:"3,keyasint"`
		Renewal  uint64 `cbor:"4,keyasint"`
		Released bool   `cbor:"5,keyasint,omitempty"`
	}
	value, err := cbor.Marshal(earlier{"a", "1", 3, 9, true})
	if err != nil {
		t.Fatal(err)
	}
	var r record
	if err := cbor.Unmarshal(value, &r); err != nil || r != (record{Holder: "a", Process: "1", Epoch: 3, Renewal: 9, Released: true}) {
		t.Errorf("read %+v, error %v", r, err)
	}
	value, err = cbor.Marshal(record{Holder: "a", Process: "1", Epoch: 3, CPUMilli: 1, RequestedBy: "b", RequesterMilli: 2})
	if err != nil {
		t.Fatal(err)
	}
	var old earlier
	if err := cbor.Unmarshal(value, &old); err != nil || old != (earlier{Holder: "a", Process: "1", Epoch: 3}) {
		t.Errorf("read by an earlier version %+v, error %v", old, err)
	}
}

// Guards against a weak holder that does not end its term when a much more capable instance
// requests the lease, and against work of the two at the same time. Both instances run as they do in a deployment.
func TestLeaseMovesToTheMuchMoreCapableInstance(t *testing.T) {
	store := rowstore.NewMemory()
	started := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	leading := map[string]bool{}
	moved := make(chan struct{})
	run := func(holder string, milli int64) chan struct{} {
		c := newCandidate(store, holder, holder+"-1", nil)
		c.Clock = func() time.Duration { return time.Since(started) + time.Minute }
		c.CPUMilli = milli
		begun := make(chan struct{})
		c.Lead = func(ctx context.Context, _ *Term) error {
			mu.Lock()
			if len(leading) > 0 {
				t.Errorf("the work of %s begins while that of %v runs", holder, leading)
			}
			leading[holder] = true
			mu.Unlock()
			close(begun)
			<-ctx.Done()
			mu.Lock()
			delete(leading, holder)
			mu.Unlock()
			if holder == "weak" && !errors.Is(context.Cause(ctx), ErrLeaseRequested) {
				t.Errorf("the weak instance's term ended with %v", context.Cause(ctx))
			}
			return ctx.Err()
		}
		go func() { _ = c.Serve(ctx) }()
		return begun
	}
	<-run("weak", weakMilli)
	go func() {
		<-run("strong", strongMilli)
		close(moved)
	}()
	select {
	case <-moved:
	case <-time.After(time.Minute):
		t.Fatal("the weak instance still holds the lease")
	}
}
