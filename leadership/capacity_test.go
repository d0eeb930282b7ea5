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

// Capacities of the instances of the deployment on which weak ones coordinated.
const (
	weakMilli   = 110
	middleMilli = 192
	strongMilli = 800
)

// tick is the pause between polls of the replays.
const tick = 100 * time.Millisecond

// registered returns a candidate whose capacity the others can read.
func registered(t *testing.T, store rowstore.Store, holder string, milli int64, now *clock) *Candidate {
	t.Helper()
	c := candidate(store, holder, holder+"-1", now)
	c.CPUMilli = milli
	if err := c.storeRegistration(context.Background()); err != nil {
		t.Fatal(err)
	}
	return c
}

// begins returns what a candidate knows that starts to read the lease.
func begins(now *clock) *observed {
	seen := newObserved(now.now)
	return &seen
}

func polls(c *Candidate, seen *observed) bool {
	_, ok := c.poll(context.Background(), seen)
	return ok
}

// takenAfter polls until the lease may be taken and returns how long that took, or
// a minute.
func takenAfter(c *Candidate, seen *observed, now *clock) time.Duration {
	begun := now.now
	for now.now-begun < time.Minute {
		if polls(c, seen) {
			break
		}
		now.now += tick
	}
	return now.now - begun
}

// take takes the lease for a holder that does no work.
func take(t *testing.T, c *Candidate, epoch, version uint64) *held {
	t.Helper()
	h := &held{record: record{Holder: c.Holder, Process: c.Process, Epoch: epoch, CPUMilli: c.CPUMilli}, version: version}
	if _, err := c.writeRenewal(h); err != nil {
		t.Fatal(err)
	}
	return h
}

// released writes a lease that a planned stop released.
func released(t *testing.T, store rowstore.Store, now *clock) {
	t.Helper()
	c := candidate(store, "stopped", "1", now)
	c.CPUMilli = strongMilli
	c.release(take(t, c, 1, 0))
}

// tableDown refuses reads of the candidates' table.
type tableDown struct{ *rowstore.Memory }

func (s tableDown) Read(ctx context.Context, r rowstore.Range) (rowstore.Result, error) {
	if r.Table == candidatesTable {
		return rowstore.Result{}, rowstore.ErrRefused
	}
	return s.Memory.Read(ctx, r)
}

// Guards against a released lease that goes to whoever polls first: on a deployment
// of 8 capable and 30 weak instances a weak one took it 28 ms after a planned stop,
// needed 2 s to take over and fell behind.
func TestReleasedLeaseGoesToACapableInstance(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 17))
		store, now := rowstore.NewMemory(), &clock{now: time.Minute}
		all := mixedDeployment(t, store, now, random)
		released(t, store, now)
		if c := firstTaker(all, now, random); c.CPUMilli != strongMilli {
			t.Errorf("seed %d: %s with %d thousandths of a core takes the lease", seed, c.Holder, c.CPUMilli)
		}
	}
}

// mixedDeployment returns 8 capable and 30 weak candidates.
func mixedDeployment(t *testing.T, store rowstore.Store, now *clock, random *rand.Rand) []*Candidate {
	t.Helper()
	var all []*Candidate
	for i := range 38 {
		milli := int64(strongMilli)
		if i >= 8 {
			milli = weakMilli + random.Int64N(middleMilli-weakMilli)
		}
		all = append(all, registered(t, store, fmt.Sprint("front-", i), milli, now))
	}
	return all
}

// firstTaker lets candidates poll, each at its own phase.
func firstTaker(all []*Candidate, now *clock, random *rand.Rand) *Candidate {
	p := newPollers(all, now, random)
	for {
		i := p.next()
		if polls(all[i], p.seen[i]) {
			return all[i]
		}
	}
}

// pollers are candidates that poll in turn.
type pollers struct {
	now  *clock
	due  []time.Duration
	seen []*observed
}

func newPollers(all []*Candidate, now *clock, random *rand.Rand) *pollers {
	p := &pollers{now: now}
	for range all {
		p.due = append(p.due, now.now+time.Duration(random.Int64N(int64(pollEvery))))
		p.seen = append(p.seen, begins(now))
	}
	return p
}

// next moves the clock to the next poll and returns whose it is.
func (p *pollers) next() int {
	first := 0
	for i := range p.due {
		if p.due[i] < p.due[first] {
			first = i
		}
	}
	p.now.now = max(p.now.now, p.due[first])
	p.due[first] = p.now.now + pollEvery
	return first
}

// Guards against a lease that goes round all instances: while one part of the store
// answered 503 ten instances took it one after the other in 0.8 s and gave it up after
// 30 ms each.
func TestLeaseOfFailingTermsDoesNotGoRound(t *testing.T) {
	const failsAfter = 30 * time.Millisecond
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 18))
		store, now := rowstore.NewMemory(), &clock{now: time.Minute}
		all := mixedDeployment(t, store, now, random)
		released(t, store, now)
		terms := map[string]int{}
		for _, c := range all {
			c.Lead = func(context.Context, *Term) error {
				terms[c.Holder]++
				if c.CPUMilli != strongMilli {
					t.Errorf("seed %d: %s with %d thousandths of a core takes the lease", seed, c.Holder, c.CPUMilli)
				}
				now.now += failsAfter
				return errors.New("take over: status 503")
			}
		}
		p := newPollers(all, now, random)
		for end := now.now + capacityWait; now.now < end; {
			i := p.next()
			if why, ok := all[i].poll(context.Background(), p.seen[i]); ok {
				all[i].lead(context.Background(), p.seen[i], why)
			}
		}
		for holder, count := range terms {
			if count > 1 {
				t.Errorf("seed %d: %s has %d terms within %v", seed, holder, count, capacityWait)
			}
		}
	}
}

// Guards against a deployment whose instances are all weak, or an instance whose
// capable neighbours left, waiting for nobody: the delay used to depend on the own
// share alone. Also says how long a weak one waits in the worst case.
func TestWaitForMoreCapableInstances(t *testing.T) {
	for _, test := range []struct {
		name   string
		others []int64
		down   bool // the table can't be read
		lapsed bool
		want   time.Duration
	}{
		{name: "equals, released", others: []int64{weakMilli, 160}, want: 0},
		{name: "equals, lapsed", others: []int64{weakMilli, 160}, lapsed: true, want: Duration},
		{name: "alone, released", want: 0},
		{name: "capable one left, released", others: []int64{strongMilli}, want: capacityWait},
		{name: "capable one left, lapsed", others: []int64{strongMilli}, lapsed: true, want: Duration + capacityWait},
		{name: "table away, released", down: true, want: capacityWait},
		{name: "table away, lapsed", down: true, lapsed: true, want: Duration + capacityWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			memory, now := rowstore.NewMemory(), &clock{now: time.Minute}
			for i, milli := range test.others {
				registered(t, memory, fmt.Sprint("other-", i), milli, now)
			}
			c := registered(t, memory, "own", weakMilli, now)
			if test.down {
				c.Store = tableDown{memory}
			}
			if test.lapsed {
				take(t, candidate(memory, "dead", "1", now), 1, 0)
			} else {
				released(t, memory, now)
			}
			if got := takenAfter(c, begins(now), now); got != test.want {
				t.Errorf("taken after %v, want %v", got, test.want)
			}
		})
	}
}

// A lease that was never held must not be taken by a weak instance at once either,
// and the table is read once for it, not at each poll.
func TestCandidatesAreReadOnceForAFreeLease(t *testing.T) {
	store, now := rowstore.NewMemory(), &clock{now: time.Minute}
	registered(t, store, "strong", strongMilli, now)
	c := registered(t, store, "weak", weakMilli, now)
	counted := &countingStore{Memory: store}
	c.Store = counted
	if got := takenAfter(c, begins(now), now); got != capacityWait || counted.tableReads != 1 {
		t.Errorf("taken after %v with %d reads of the candidates, want %v with 1", got, counted.tableReads, capacityWait)
	}
}

// countingStore counts the reads of the candidates' table.
type countingStore struct {
	*rowstore.Memory
	tableReads int
}

func (s *countingStore) Read(ctx context.Context, r rowstore.Range) (rowstore.Result, error) {
	if r.Table == candidatesTable {
		s.tableReads++
	}
	return s.Memory.Read(ctx, r)
}

// The capacity is written until it is stored, and not again by the next process of
// the instance.
func TestCapacityIsRegisteredOnce(t *testing.T) {
	store, now := rowstore.NewMemory(), &clock{now: time.Minute}
	commits := 0
	store.Fail = func(call string) error {
		if call != "commit" {
			return nil
		}
		if commits++; commits == 1 {
			return rowstore.ErrRefused
		}
		return nil
	}
	c := candidate(store, "own", "1", now)
	c.CPUMilli = weakMilli
	c.register(context.Background())
	next := candidate(store, "own", "2", now)
	next.CPUMilli = weakMilli
	next.register(context.Background())
	if commits != 2 {
		t.Errorf("%d writes, want one that failed and one that did not", commits)
	}
	other := candidate(store, "other", "1", now)
	if found, err := other.listOthers(context.Background()); err != nil || found.most != weakMilli || found.holder != "own" {
		t.Errorf("others %+v, error %v", found, err)
	}
}

// Guards against a lease that goes round: an instance that gave its term up because
// one part of the store refused its calls took the lease back at once. A new process
// of the instance need not wait.
func TestFailedTermIsNotBegunAgainAtOnce(t *testing.T) {
	store, now := rowstore.NewMemory(), &clock{now: time.Minute}
	c := registered(t, store, "own", weakMilli, now)
	c.Lead = func(context.Context, *Term) error { return errors.New("take over: status 503") }
	seen := begins(now)
	why, ok := c.poll(context.Background(), seen)
	if !ok {
		t.Fatal("not taken")
	}
	c.lead(context.Background(), seen, why)
	restarted := registered(t, store, "own", weakMilli, now)
	if !polls(restarted, begins(now)) {
		t.Error("a new process of the instance waits")
	}
	if got := takenAfter(c, seen, now); got != restTime {
		t.Errorf("taken back after %v, want %v", got, restTime)
	}
}

// The same for a lease whose release was lost: it is held by the own instance.
func TestFailedTermThatWasNotReleasedIsNotBegunAgainAtOnce(t *testing.T) {
	store, now := rowstore.NewMemory(), &clock{now: time.Minute}
	c := registered(t, store, "own", weakMilli, now)
	c.Lead = func(context.Context, *Term) error {
		store.Lose = func(string) error { return rowstore.ErrUnknown }
		store.Fail = func(call string) error {
			if call == "commit" {
				return rowstore.ErrRefused
			}
			return nil
		}
		return errors.New("take over: status 503")
	}
	seen := begins(now)
	why, _ := c.poll(context.Background(), seen)
	c.lead(context.Background(), seen, why)
	store.Fail, store.Lose = nil, nil
	if got := takenAfter(c, seen, now); got < restTime || got > Duration {
		t.Errorf("taken back after %v", got)
	}
}

// A deposed instance has nothing to wait for: the lease is another's.
func TestDeposedInstanceDoesNotRest(t *testing.T) {
	store, now := rowstore.NewMemory(), &clock{now: time.Minute}
	c := registered(t, store, "own", strongMilli, now)
	deposed := errors.New("not deposed")
	c.Lead = func(ctx context.Context, term *Term) error {
		row, err := store.Read(ctx, rowstore.Range{Table: Row.Table})
		if err != nil {
			return err
		}
		take(t, candidate(store, "other", "1", now), term.Epoch+1, row.Rows[0].Version)
		<-ctx.Done()
		deposed = context.Cause(ctx)
		return ctx.Err()
	}
	seen := begins(now)
	why, _ := c.poll(context.Background(), seen)
	c.lead(context.Background(), seen, why)
	if !errors.Is(deposed, ErrDeposed) || seen.restUntil != 0 {
		t.Errorf("term ended with %v, rests until %v", deposed, seen.restUntil)
	}
}

// Every reason to wait is logged once, with the capacities.
func TestWaitIsLoggedOnce(t *testing.T) {
	store, now := rowstore.NewMemory(), &clock{now: time.Minute}
	registered(t, store, "strong", strongMilli, now)
	c := registered(t, store, "weak", weakMilli, now)
	var lines strings.Builder
	c.Log = logTo(&lines)
	released(t, store, now)
	takenAfter(c, begins(now), now)
	text := lines.String()
	if strings.Count(text, "more capable") != 1 || !strings.Contains(text, "cpu_milli=110") || !strings.Contains(text, "most_milli=800") {
		t.Errorf("log:\n%s", text)
	}
}
