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

func logTo(w io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	return log
}

// stored returns the lease row.
func stored(t *testing.T, store rowstore.Store) (record, uint64) {
	t.Helper()
	res, err := store.Read(context.Background(), rowstore.Range{Table: Row.Table})
	if err != nil || len(res.Rows) != 1 {
		t.Fatalf("%d rows, error %v", len(res.Rows), err)
	}
	var r record
	if err := cbor.Unmarshal(res.Rows[0].Value, &r); err != nil {
		t.Fatal(err)
	}
	return r, res.Rows[0].Version
}

// tenure is a lease that a weak instance holds and renews.
type tenure struct {
	t     *testing.T
	store *rowstore.Memory
	now   *clock
	owner *Candidate
	held  *held
	term  *Term
}

func weakTenure(t *testing.T) *tenure {
	t.Helper()
	store, now := rowstore.NewMemory(), &clock{now: time.Minute}
	owner := registered(t, store, "weak", weakMilli, now)
	return &tenure{t, store, now, owner, take(t, owner, 1, 0), NewTerm(1, now.now, now.read)}
}

// requestedAfter polls and renews in turn until a request is in the row, and returns
// how long that took, or a minute.
func (w *tenure) requestedAfter(c *Candidate, seen *observed) time.Duration {
	w.t.Helper()
	begun := w.now.now
	for w.now.now-begun < time.Minute {
		if polls(c, seen) {
			w.t.Fatal("taken although it is held")
		}
		if r, _ := stored(w.t, w.store); r.RequestedBy != "" {
			break
		}
		w.now.now += tick
		if w.now.now-w.term.Renewed() >= renewEvery {
			if err := w.owner.renew(w.term, w.held); err != nil {
				w.t.Fatal(err)
			}
		}
	}
	return w.now.now - begun
}

// Guards against a weak instance that coordinates for good: once it has the lease
// and renews it, nobody asked it for it. Walks through the whole hand-over.
func TestWeakHolderHandsTheLeaseOver(t *testing.T) {
	w := weakTenure(t)
	strong := registered(t, w.store, "strong", strongMilli, w.now)
	equal := registered(t, w.store, "equal", strongMilli, w.now)
	weak := registered(t, w.store, "weak-2", weakMilli, w.now)
	seen := begins(w.now)
	if got := w.requestedAfter(strong, seen); got != steadyTime {
		t.Errorf("requested after %v, want %v", got, steadyTime)
	}
	if r, _ := stored(t, w.store); r.RequestedBy != "strong" || r.RequesterMilli != strongMilli || r.Holder != "weak" || r.Process != "weak-1" || r.Epoch != 1 {
		t.Errorf("row %+v", r)
	}
	if got := strong.pollPause(seen); got != requestPoll {
		t.Errorf("the requester polls every %v", got)
	}
	w.now.now += renewEvery
	if err := w.owner.renew(w.term, w.held); !errors.Is(err, ErrYielded) {
		t.Fatalf("error %v, want that the holder yields", err)
	}
	if !w.term.Exclusive() || w.term.Renewed() != w.now.now {
		t.Error("the lease was not renewed for the end of the work")
	}
	if polls(strong, seen) {
		t.Fatal("taken before it was released")
	}
	w.owner.release(w.held)
	equalSeen, weakSeen := begins(w.now), begins(w.now)
	if polls(equal, equalSeen) || polls(weak, weakSeen) {
		t.Error("taken by another than the requester")
	}
	if !polls(strong, seen) {
		t.Error("not taken by the requester at once")
	}
	// The requester may be gone.
	if got := takenAfter(equal, equalSeen, w.now); got != requesterWait {
		t.Errorf("taken by an equal of the requester after %v, want %v", got, requesterWait)
	}
	if got := takenAfter(weak, weakSeen, w.now); got != capacityWait-requesterWait {
		t.Errorf("taken by a weak instance %v later, want %v", got, capacityWait-requesterWait)
	}
}

// Guards against requests that change nothing for the better: from an instance that
// is hardly stronger, of unknown capacity, or to a holder of unknown capacity.
func TestHolderIsNotAskedByItsLike(t *testing.T) {
	for _, test := range []struct{ own, holder int64 }{{160, weakMilli}, {0, weakMilli}, {strongMilli, 0}, {weakMilli, strongMilli}} {
		w := weakTenure(t)
		w.held.CPUMilli = test.holder
		c := candidate(w.store, "other", "1", w.now)
		c.CPUMilli = test.own
		if got := w.requestedAfter(c, begins(w.now)); got < time.Minute {
			t.Errorf("capacity %d asks a holder with %d after %v", test.own, test.holder, got)
		}
	}
}

// Guards against a candidate that asks right after an outage of its own, and against
// a holder that is asked before it could do anything.
func TestRequestWaitsForSteadyTimes(t *testing.T) {
	w := weakTenure(t)
	strong := registered(t, w.store, "strong", strongMilli, w.now)
	seen := begins(w.now)
	polls(strong, seen)
	w.now.now += time.Second
	w.store.Fail = func(string) error { return rowstore.ErrRefused }
	polls(strong, seen)
	w.store.Fail = nil
	if got := w.requestedAfter(strong, seen); got != steadyTime {
		t.Errorf("requested %v after a failed read, want %v", got, steadyTime)
	}

	w = weakTenure(t)
	strong = registered(t, w.store, "strong", strongMilli, w.now)
	seen = begins(w.now)
	seen.steady -= time.Minute
	if got := w.requestedAfter(strong, seen); got != minTenure {
		t.Errorf("requested after a tenure of %v, want %v", got, minTenure)
	}
}

// Guards against two hand-overs in a row: a middling instance leaves the request to a
// stronger one, but not for good, as that one may have left.
func TestStrongestAsksFirst(t *testing.T) {
	w := weakTenure(t)
	registered(t, w.store, "strong", strongMilli, w.now)
	middle := registered(t, w.store, "middle", middleMilli, w.now)
	if got := w.requestedAfter(middle, begins(w.now)); got != steadyTime+capacityWait {
		t.Errorf("requested after %v, want %v", got, steadyTime+capacityWait)
	}
}

// Guards against candidates that overwrite each other's requests, and against a
// candidate that asks the same holder again and again: each request costs the holder
// a renewal that fails. A holder of an earlier version drops requests.
func TestOneRequestForAnEpoch(t *testing.T) {
	w := weakTenure(t)
	first := registered(t, w.store, "first", strongMilli, w.now)
	second := registered(t, w.store, "second", strongMilli, w.now)
	seen := begins(w.now)
	w.requestedAfter(first, seen)
	secondSeen := begins(w.now)
	polls(second, secondSeen)
	secondSeen.steady -= time.Minute
	secondSeen.epochSince -= time.Minute
	polls(second, secondSeen)
	if r, _ := stored(t, w.store); r.RequestedBy != "first" {
		t.Errorf("request of %q", r.RequestedBy)
	}
	_, w.held.version = stored(t, w.store)
	if _, err := w.owner.writeRenewal(w.held); err != nil {
		t.Fatal(err)
	}
	w.term = NewTerm(1, w.now.now, w.now.read)
	if got := w.requestedAfter(first, seen); got < time.Minute {
		t.Errorf("asked again after %v", got)
	}
}

// A request whose answer is lost counts if it was stored, and is sent again if not.
func TestRequestWhoseAnswerIsLost(t *testing.T) {
	for _, landed := range []bool{true, false} {
		w := weakTenure(t)
		strong := registered(t, w.store, "strong", strongMilli, w.now)
		seen := begins(w.now)
		seen.steady -= time.Minute
		polls(strong, seen)
		w.now.now += minTenure
		lose := func(string) error { return rowstore.ErrUnknown }
		if landed {
			w.store.Lose = lose
		} else {
			w.store.Fail = func(call string) error {
				if call == "commit" {
					return rowstore.ErrUnknown
				}
				return nil
			}
		}
		// A pause of 2 s between reads would be an outage.
		seen.read, seen.patient = w.now.now, w.now.now
		polls(strong, seen)
		w.store.Lose, w.store.Fail = nil, nil
		if r, _ := stored(t, w.store); (r.RequestedBy != "") != landed {
			t.Fatalf("row %+v, want a request: %v", r, landed)
		}
		polls(strong, seen)
		if r, _ := stored(t, w.store); r.RequestedBy != "strong" || strong.pollPause(seen) != requestPoll {
			t.Errorf("landed %v: row %+v, polls every %v", landed, r, strong.pollPause(seen))
		}
	}
}

// Guards against a request that counts as a renewal: the lease of a holder that died
// would lapse later.
func TestRequestDoesNotRenewTheLease(t *testing.T) {
	w := weakTenure(t)
	other := registered(t, w.store, "other", weakMilli, w.now)
	seen := begins(w.now)
	polls(other, seen)
	renewed := w.now.now
	w.now.now += time.Second
	polls(other, seen)
	r, version := stored(t, w.store)
	r.RequestedBy, r.RequesterMilli = "strong", strongMilli
	if _, err := other.write(context.Background(), r, version); err != nil {
		t.Fatal(err)
	}
	takenAfter(other, seen, w.now)
	if got := w.now.now - renewed; got != Duration {
		t.Errorf("taken %v after the last renewal, want %v", got, Duration)
	}
	if why, ok := other.mayTake(seen); !ok || why.renewed != renewed {
		t.Errorf("claim %+v, want renewed at %v", why, renewed)
	}
}

// The holder relies on a renewal that it repeats because the first answer was lost.
// Others must see it as a new one, also with a request in between.
func TestRepeatedRenewalHasANewNumber(t *testing.T) {
	w := weakTenure(t)
	w.store.Lose = func(string) error { return rowstore.ErrUnknown }
	_ = w.owner.renew(w.term, w.held)
	w.store.Lose = nil
	first, version := stored(t, w.store)
	asked := first
	asked.RequestedBy, asked.RequesterMilli = "strong", strongMilli
	if _, err := w.owner.write(context.Background(), asked, version); err != nil {
		t.Fatal(err)
	}
	w.now.now += time.Second
	if err := w.owner.renew(w.term, w.held); !errors.Is(err, ErrYielded) {
		t.Fatalf("error %v", err)
	}
	if r, _ := stored(t, w.store); r.Renewal <= first.Renewal || r.RequestedBy != "strong" {
		t.Errorf("row %+v after renewal %d", r, first.Renewal)
	}
}

// Guards against a request that is lost because the write that follows it is refused,
// and against a holder that relies on a renewal that was not written.
func TestRequestOutlastsARefusedRenewal(t *testing.T) {
	w := weakTenure(t)
	strong := registered(t, w.store, "strong", strongMilli, w.now)
	w.requestedAfter(strong, begins(w.now))
	before := w.term.Renewed()
	calls := 0
	w.store.Fail = func(string) error {
		if calls++; calls > 1 {
			return rowstore.ErrRefused
		}
		return nil
	}
	if err := w.owner.renew(w.term, w.held); !errors.Is(err, rowstore.ErrRefused) || w.term.Renewed() != before {
		t.Errorf("error %v, renewed %v later", err, w.term.Renewed()-before)
	}
	w.store.Fail = nil
	if err := w.owner.renew(w.term, w.held); !errors.Is(err, ErrYielded) {
		t.Errorf("error %v, want that the holder yields", err)
	}
}

// Guards against a planned stop that does not release the lease because a request was
// written since the last renewal: the others would wait 3 s.
func TestPlannedStopReleasesARequestedLease(t *testing.T) {
	w := weakTenure(t)
	strong := registered(t, w.store, "strong", strongMilli, w.now)
	asked, version := stored(t, w.store)
	asked.RequestedBy, asked.RequesterMilli = "strong", strongMilli
	if _, err := strong.write(context.Background(), asked, version); err != nil {
		t.Fatal(err)
	}
	w.owner.release(w.held)
	if !polls(strong, begins(w.now)) {
		t.Error("not taken by the requester at once")
	}
}

// Another process's record still deposes the holder, with a request in it or not.
func TestRequestToASuccessorDeposes(t *testing.T) {
	w := weakTenure(t)
	next := record{Holder: "weak", Process: "weak-2", Epoch: 2, RequestedBy: "strong", RequesterMilli: strongMilli}
	if _, err := w.owner.write(context.Background(), next, w.held.version); err != nil {
		t.Fatal(err)
	}
	if err := w.owner.renew(w.term, w.held); !errors.Is(err, ErrDeposed) {
		t.Errorf("error %v, want deposed", err)
	}
	w.owner.release(w.held)
	if r, _ := stored(t, w.store); r.Released {
		t.Error("the successor's lease was released")
	}
}

// A holder that restarts while it is asked takes the lease back as its next epoch and
// is asked again.
func TestRestartedHolderIsAskedAgain(t *testing.T) {
	w := weakTenure(t)
	strong := registered(t, w.store, "strong", strongMilli, w.now)
	seen := begins(w.now)
	w.requestedAfter(strong, seen)
	restarted := candidate(w.store, "weak", "weak-2", w.now)
	restarted.CPUMilli = weakMilli
	if !polls(restarted, begins(w.now)) {
		t.Fatal("not taken by the new process")
	}
	_, version := stored(t, w.store)
	w.owner, w.held = restarted, take(t, restarted, 2, version)
	w.term = NewTerm(2, w.now.now, w.now.read)
	if got := w.requestedAfter(strong, seen); got != minTenure {
		t.Errorf("requested after %v, want %v", got, minTenure)
	}
}

// A requester that never sees the release stops polling fast.
func TestRequesterPollsFastForABoundedTime(t *testing.T) {
	w := weakTenure(t)
	strong := registered(t, w.store, "strong", strongMilli, w.now)
	seen := begins(w.now)
	w.requestedAfter(strong, seen)
	w.now.now += requestTime
	if got := strong.pollPause(seen); got != pollEvery {
		t.Errorf("polls every %v", got)
	}
}

// Records of earlier versions have no capacity and no request; earlier versions read
// records that have.
func TestRecordsOfEarlierVersions(t *testing.T) {
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

// Two instances run as they do in a deployment: the weak one that has the lease must
// give it to the capable one, whose work begins only after the weak one's has ended.
func TestLeaseMovesToTheCapableInstance(t *testing.T) {
	store := rowstore.NewMemory()
	started := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	leading := map[string]bool{}
	moved := make(chan struct{})
	run := func(holder string, milli int64) chan struct{} {
		c := candidate(store, holder, holder+"-1", nil)
		c.Clock = func() time.Duration { return time.Since(started) + time.Minute }
		c.CPUMilli = milli
		begun := make(chan struct{})
		c.Lead = func(ctx context.Context, _ *Term) error {
			mu.Lock()
			if len(leading) > 0 {
				t.Errorf("%s begins while %v leads", holder, leading)
			}
			leading[holder] = true
			mu.Unlock()
			close(begun)
			<-ctx.Done()
			mu.Lock()
			delete(leading, holder)
			mu.Unlock()
			if holder == "weak" && !errors.Is(context.Cause(ctx), ErrYielded) {
				t.Errorf("the weak one's term ended with %v", context.Cause(ctx))
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
		t.Fatal("the weak one still leads")
	}
}
