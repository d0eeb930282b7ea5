package leadership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"bergamotstile/rowstore"
)

// Capacities, in thousandths of a core, of instances in a deployment on which instances of
// small capacity became the coordinator. The tests call an instance weak, of medium capacity
// or capable by these values.
const (
	weakMilli   = 110
	middleMilli = 192
	strongMilli = 800
)

// pollStep is the time by which the tests move the clock between two polls.
const pollStep = 100 * time.Millisecond

// newRegisteredCandidate returns a candidate whose capacity is registered in the store.
func newRegisteredCandidate(t *testing.T, store rowstore.Store, holder string, milli int64, clock *testClock) *Candidate {
	t.Helper()
	c := newCandidate(store, holder, holder+"-1", clock)
	c.CPUMilli = milli
	if err := c.storeRegistration(context.Background()); err != nil {
		t.Fatal(err)
	}
	return c
}

// startObserving returns the state of a candidate that has not read the lease yet.
func startObserving(clock *testClock) *observedLease {
	observed := newObservedLease(clock.elapsed)
	return &observed
}

// pollOnce polls the lease and reports whether the candidate may take it.
func pollOnce(c *Candidate, observed *observedLease) bool {
	_, ok := c.poll(context.Background(), observed)
	return ok
}

// pollUntilMayTake polls until the candidate may take the lease, and returns how long that
// took. It stops after a minute.
func pollUntilMayTake(c *Candidate, observed *observedLease, clock *testClock) time.Duration {
	start := clock.elapsed
	for clock.elapsed-start < time.Minute {
		if pollOnce(c, observed) {
			break
		}
		clock.elapsed += pollStep
	}
	return clock.elapsed - start
}

// takeLease writes the lease row for a holder without running its work.
func takeLease(t *testing.T, c *Candidate, epoch, version uint64) *heldLease {
	t.Helper()
	held := &heldLease{record: record{Holder: c.Holder, Process: c.Process, Epoch: epoch, CPUMilli: c.CPUMilli}, version: version}
	if _, err := c.writeRenewal(held); err != nil {
		t.Fatal(err)
	}
	return held
}

// writeReleasedLease writes the lease row of an instance that released the lease in a
// planned stop.
func writeReleasedLease(t *testing.T, store rowstore.Store, clock *testClock) {
	t.Helper()
	c := newCandidate(store, "stopped", "1", clock)
	c.CPUMilli = strongMilli
	c.release(takeLease(t, c, 1, 0))
}

// unreadableCandidatesStore is a store that refuses reads of candidatesTable.
type unreadableCandidatesStore struct{ *rowstore.Memory }

func (s unreadableCandidatesStore) Read(ctx context.Context, r rowstore.Range) (rowstore.Result, error) {
	if r.Table == candidatesTable {
		return rowstore.Result{}, rowstore.ErrRefused
	}
	return s.Memory.Read(ctx, r)
}

// Guards against a released lease that goes to the instance that polls first. On a
// deployment of 8 capable and 30 weak instances, a weak one took the lease 28 ms after a
// planned stop, needed 2 s to take over and could not keep up with its work.
func TestReleasedLeaseGoesToAMuchMoreCapableInstance(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 17))
		store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
		all := mixedDeployment(t, store, clock, random)
		writeReleasedLease(t, store, clock)
		if c := firstTaker(all, clock, random); c.CPUMilli != strongMilli {
			t.Errorf("seed %d: %s with %d thousandths of a core takes the lease", seed, c.Holder, c.CPUMilli)
		}
	}
}

// mixedDeployment returns 8 capable and 30 weak candidates.
func mixedDeployment(t *testing.T, store rowstore.Store, clock *testClock, random *rand.Rand) []*Candidate {
	t.Helper()
	var all []*Candidate
	for i := range 38 {
		milli := int64(strongMilli)
		if i >= 8 {
			milli = weakMilli + random.Int64N(middleMilli-weakMilli)
		}
		all = append(all, newRegisteredCandidate(t, store, fmt.Sprint("front-", i), milli, clock))
	}
	return all
}

// firstTaker lets the candidates poll at the usual interval, each with a random offset,
// and returns the first one that may take the lease.
func firstTaker(all []*Candidate, clock *testClock, random *rand.Rand) *Candidate {
	p := newPollers(all, clock, random)
	for {
		i := p.next()
		if pollOnce(all[i], p.observed[i]) {
			return all[i]
		}
	}
}

// pollers schedules the polls of several candidates.
type pollers struct {
	clock    *testClock
	due      []time.Duration // time of each candidate's next poll
	observed []*observedLease
}

func newPollers(all []*Candidate, clock *testClock, random *rand.Rand) *pollers {
	p := &pollers{clock: clock}
	for range all {
		p.due = append(p.due, clock.elapsed+time.Duration(random.Int64N(int64(pollInterval))))
		p.observed = append(p.observed, startObserving(clock))
	}
	return p
}

// next moves the clock to the next poll and returns the index of the candidate that
// polls.
func (p *pollers) next() int {
	first := 0
	for i := range p.due {
		if p.due[i] < p.due[first] {
			first = i
		}
	}
	p.clock.elapsed = max(p.clock.elapsed, p.due[first])
	p.due[first] = p.clock.elapsed + pollInterval
	return first
}

// Guards against a lease that passes through all instances. While one part of the store
// answered with status 503, ten instances took the lease one after the other within
// 0.8 s, and the term of each ended after 30 ms.
func TestFailingTermsDoNotPassTheLeaseAround(t *testing.T) {
	const failsAfter = 30 * time.Millisecond
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 18))
		store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
		all := mixedDeployment(t, store, clock, random)
		writeReleasedLease(t, store, clock)
		terms := map[string]int{}
		for _, c := range all {
			c.Lead = func(context.Context, *Term) error {
				terms[c.Holder]++
				if c.CPUMilli != strongMilli {
					t.Errorf("seed %d: %s with %d thousandths of a core takes the lease", seed, c.Holder, c.CPUMilli)
				}
				clock.elapsed += failsAfter
				return errors.New("take over: status 503")
			}
		}
		p := newPollers(all, clock, random)
		for end := clock.elapsed + capacityWait; clock.elapsed < end; {
			i := p.next()
			if vacancy, ok := all[i].poll(context.Background(), p.observed[i]); ok {
				all[i].runTerm(context.Background(), p.observed[i], vacancy)
			}
		}
		for holder, count := range terms {
			if count > 1 {
				t.Errorf("seed %d: %s has %d terms within %v", seed, holder, count, capacityWait)
			}
		}
	}
}

// Guards against a needless or unbounded wait for more capable instances: where all
// instances are weak, and where the capable ones have left the deployment. The wait
// once depended only on the candidate's own CPU share. The cases also state how long a
// weak instance waits at most.
func TestWaitForMoreCapableInstancesIsBounded(t *testing.T) {
	for _, test := range []struct {
		name       string
		others     []int64
		unreadable bool // candidatesTable can't be read
		expired    bool
		want       time.Duration
	}{
		{name: "equals, released", others: []int64{weakMilli, 160}, want: 0},
		{name: "equals, expired", others: []int64{weakMilli, 160}, expired: true, want: LeaseDuration},
		{name: "alone, released", want: 0},
		{name: "capable one left, released", others: []int64{strongMilli}, want: capacityWait},
		{name: "capable one left, expired", others: []int64{strongMilli}, expired: true, want: LeaseDuration + capacityWait},
		{name: "table unreadable, released", unreadable: true, want: capacityWait},
		{name: "table unreadable, expired", unreadable: true, expired: true, want: LeaseDuration + capacityWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			memory, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
			for i, milli := range test.others {
				newRegisteredCandidate(t, memory, fmt.Sprint("other-", i), milli, clock)
			}
			c := newRegisteredCandidate(t, memory, "own", weakMilli, clock)
			if test.unreadable {
				c.Store = unreadableCandidatesStore{memory}
			}
			if test.expired {
				takeLease(t, newCandidate(memory, "dead", "1", clock), 1, 0)
			} else {
				writeReleasedLease(t, memory, clock)
			}
			if got := pollUntilMayTake(c, startObserving(clock), clock); got != test.want {
				t.Errorf("taken after %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a weak instance that takes a lease that was never held without
// waiting, and against a read of candidatesTable at each poll instead of once.
func TestCandidatesAreReadOnceForAFreeLease(t *testing.T) {
	store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
	newRegisteredCandidate(t, store, "strong", strongMilli, clock)
	c := newRegisteredCandidate(t, store, "weak", weakMilli, clock)
	counted := &countingStore{Memory: store}
	c.Store = counted
	if got := pollUntilMayTake(c, startObserving(clock), clock); got != capacityWait || counted.candidateReads != 1 {
		t.Errorf("taken after %v with %d reads of the candidates, want %v with 1", got, counted.candidateReads, capacityWait)
	}
}

// countingStore counts the reads of candidatesTable.
type countingStore struct {
	*rowstore.Memory
	candidateReads int
}

func (s *countingStore) Read(ctx context.Context, r rowstore.Range) (rowstore.Result, error) {
	if r.Table == candidatesTable {
		s.candidateReads++
	}
	return s.Memory.Read(ctx, r)
}

// Guards against a capacity that is not written again after a failed write, and against
// one that the next process of the instance writes although it is already stored.
func TestCapacityIsRegisteredOnce(t *testing.T) {
	store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
	commits := 0
	store.BeforeCall = func(call string) error {
		if call != "commit" {
			return nil
		}
		if commits++; commits == 1 {
			return rowstore.ErrRefused
		}
		return nil
	}
	c := newCandidate(store, "own", "1", clock)
	c.CPUMilli = weakMilli
	c.register(context.Background())
	next := newCandidate(store, "own", "2", clock)
	next.CPUMilli = weakMilli
	next.register(context.Background())
	if commits != 2 {
		t.Errorf("%d writes, want one that failed and one that succeeded", commits)
	}
	other := newCandidate(store, "other", "1", clock)
	if found, err := other.readOtherCandidates(context.Background()); err != nil || found.largestMilli != weakMilli || found.mostCapable != "own" {
		t.Errorf("capacities %+v, error %v", found, err)
	}
}

// Guards against an instance that takes the lease back at once after its term failed,
// which happened while one part of the store refused its calls. A new process of the
// instance need not wait.
func TestFailedTermBacksOff(t *testing.T) {
	store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
	c := newRegisteredCandidate(t, store, "own", weakMilli, clock)
	c.Lead = func(context.Context, *Term) error { return errors.New("take over: status 503") }
	observed := startObserving(clock)
	vacancy, ok := c.poll(context.Background(), observed)
	if !ok {
		t.Fatal("not taken")
	}
	c.runTerm(context.Background(), observed, vacancy)
	restarted := newRegisteredCandidate(t, store, "own", weakMilli, clock)
	if !pollOnce(restarted, startObserving(clock)) {
		t.Error("a new process of the instance does not take the lease at once")
	}
	if got := pollUntilMayTake(c, observed, clock); got != termBackoff {
		t.Errorf("taken back after %v, want %v", got, termBackoff)
	}
}

// Guards against an instance that takes the lease back at once after a failed term whose
// release was not stored, so that the row still names this instance as the holder.
func TestFailedTermBacksOffAfterALostRelease(t *testing.T) {
	store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
	c := newRegisteredCandidate(t, store, "own", weakMilli, clock)
	c.Lead = func(context.Context, *Term) error {
		store.AfterCommit = func(string) error { return rowstore.ErrOutcomeUnknown }
		store.BeforeCall = func(call string) error {
			if call == "commit" {
				return rowstore.ErrRefused
			}
			return nil
		}
		return errors.New("take over: status 503")
	}
	observed := startObserving(clock)
	vacancy, _ := c.poll(context.Background(), observed)
	c.runTerm(context.Background(), observed, vacancy)
	store.BeforeCall, store.AfterCommit = nil, nil
	if got := pollUntilMayTake(c, observed, clock); got < termBackoff || got > LeaseDuration {
		t.Errorf("taken back after %v", got)
	}
}

// Guards against a deposed instance that backs off. It need not, because another
// instance already holds the lease.
func TestDeposedInstanceDoesNotBackOff(t *testing.T) {
	store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
	c := newRegisteredCandidate(t, store, "own", strongMilli, clock)
	deposed := errors.New("not deposed")
	c.Lead = func(ctx context.Context, term *Term) error {
		row, err := store.Read(ctx, rowstore.Range{Table: LeaseKey.Table})
		if err != nil {
			return err
		}
		takeLease(t, newCandidate(store, "other", "1", clock), term.Epoch+1, row.Rows[0].Version)
		<-ctx.Done()
		deposed = context.Cause(ctx)
		return ctx.Err()
	}
	observed := startObserving(clock)
	vacancy, _ := c.poll(context.Background(), observed)
	c.runTerm(context.Background(), observed, vacancy)
	if !errors.Is(deposed, ErrDeposed) || observed.backoffUntil != 0 {
		t.Errorf("term ended with %v, backs off until %v", deposed, observed.backoffUntil)
	}
}

// Guards against a wait for a more capable instance that is not logged, that is logged
// at each poll, or that is logged without the capacities.
func TestReasonToWaitIsLoggedOnce(t *testing.T) {
	store, clock := rowstore.NewMemory(), &testClock{elapsed: time.Minute}
	newRegisteredCandidate(t, store, "strong", strongMilli, clock)
	c := newRegisteredCandidate(t, store, "weak", weakMilli, clock)
	var lines strings.Builder
	c.Log = newLogger(&lines)
	writeReleasedLease(t, store, clock)
	pollUntilMayTake(c, startObserving(clock), clock)
	text := lines.String()
	if strings.Count(text, "more capable") != 1 || !strings.Contains(text, "cpu_milli=110") || !strings.Contains(text, "most_milli=800") {
		t.Errorf("log:\n%s", text)
	}
}
