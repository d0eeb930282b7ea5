package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"bergamotstile/leadership"
	"bergamotstile/rowstore"
)

// Guards against an expiry that a damaged or older roster is taken to hold, and
// against one that gets lost on the way to the successor.
func TestRosterKeepsExpiries(t *testing.T) {
	entries := []rosterEntry{{id: "a"}, {id: "b", expiry: 1500 * time.Millisecond}, {id: "c", expiry: time.Hour, answering: true}}
	if got := decodeRoster(encodeRoster(slices.Clone(entries))); !slices.Equal(got, entries) {
		t.Errorf("decoded %+v, want %+v", got, entries)
	}
	for _, line := range []string{"a", "a x", "a -5", "a 0", "a 9999999999999999999999", " a "} {
		if got := decodeRoster(line); len(got) != 1 || got[0] != (rosterEntry{id: "a"}) {
			t.Errorf("%q is decoded as %+v", line, got)
		}
	}
	if got := decodeRoster("\n\n"); len(got) != 0 {
		t.Errorf("empty lines are decoded as %+v", got)
	}
}

// rosterWorld is one runner and the coordinators that take turns in calling it.
// Local clock and store's clock differ by an offset, of which each coordinator knows
// bounds of its own.
type rosterWorld struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	leader *leader
	epoch  uint64
	// durable is the stored roster, writing one whose write is under way.
	durable  string
	writing  string
	expiries map[string]recordedExpiry
	busy     bool
	// leaseEnd is when the last lease ends that the runner was granted, on the
	// local clock, if the runner's clock is as slow as it may be.
	leaseEnd time.Duration
	// below and above are how far the coordinator's bounds are from the store's
	// clock.
	below, above time.Duration
}

const (
	rosterRunner = "r"
	clockOffset  = 7 * time.Hour
	clockError   = time.Second
)

func (w *rosterWorld) clock() time.Duration { return w.now }

func (w *rosterWorld) bounds(local time.Duration) (earliest, latest time.Duration, known bool) {
	return local + clockOffset - w.below, local + clockOffset + w.above, true
}

// takeOver makes a new coordinator, as takeover.go does.
func (w *rosterWorld) takeOver() {
	w.epoch++
	w.below, w.above = time.Duration(w.random.Int64N(int64(clockError))), time.Duration(w.random.Int64N(int64(clockError)))
	env := Environment{Store: rowstore.NewMemory(), Lease: 8 * time.Second, Clock: w.clock, StoreBounds: w.bounds, Log: discardLog()}
	w.leader = steppedLeader(env, leadership.NewTerm(w.epoch, w.now, w.clock))
	w.leader.journal = newJournal(env.Store, w.epoch, discardLog())
	if _, err := w.leader.journal.fence(context.Background(), sharedPart); err != nil {
		w.t.Fatal(err)
	}
	entries := decodeRoster(w.durable)
	latest := w.now + 8*time.Second*100/(100-clockDrift) + lapseMargin
	inherited := w.leader.inheritRoster(entries, latest)
	w.leader.core.SetInheritedRunners(inherited, latest)
	if lapsed := w.leader.core.InheritedExpiry(rosterRunner); lapsed < w.leaseEnd {
		w.t.Fatalf("epoch %d takes the leases as lapsed %v before they are", w.epoch, w.leaseEnd-lapsed)
	}
	if err := w.leader.dropAnswering(context.Background(), entries); err != nil {
		w.t.Fatal(err)
	}
	w.durable, w.busy = encodeRoster(entries), false
	info := RunnerInfo{ID: rosterRunner}
	w.leader.core.UpdateRunner(info, w.now)
	w.leader.links[rosterRunner] = w.leader.linkTo(info, w.now)
}

// call calls the runner, which may take the call and whose answer may get lost.
func (w *rosterWorld) call() {
	l := w.leader.links[rosterRunner]
	h := l.request()
	w.now += time.Duration(w.random.Int64N(int64(50 * time.Millisecond)))
	if w.random.IntN(4) > 0 {
		w.grant(h.Deadline)
		if w.random.IntN(4) > 0 {
			l.answered(1, w.now, w.now, w.now)
			return
		}
	}
	l.unanswered(w.now)
}

// grant extends the leases on the runner, whose clock reads as the local one and
// goes 2% slow from now on.
func (w *rosterWorld) grant(deadline time.Duration) {
	if deadline > 0 {
		w.leaseEnd = max(w.leaseEnd, w.now+(deadline-w.now)*100/(100-clockDrift))
	}
}

func (w *rosterWorld) step() {
	w.now += time.Duration(w.random.Int64N(int64(600 * time.Millisecond)))
	switch w.random.IntN(8) {
	case 0, 1, 2:
		w.call()
	case 3:
		_, deadline, _ := w.leader.links[rosterRunner].orderTarget(Start)
		w.grant(deadline)
	case 4:
		if !w.busy {
			entries, expiries := w.leader.roster(w.now, false)
			w.writing, w.expiries, w.busy = encodeRoster(entries), expiries, true
		}
	case 5:
		if w.busy {
			w.durable, w.busy = w.writing, false
			w.leader.withdrawn(w.expiries)
		}
	case 6:
		if w.busy && w.random.IntN(2) == 0 {
			w.durable = w.writing // the answer is lost, the coordinator dies
			w.takeOver()
		}
	case 7:
		if w.random.IntN(3) == 0 {
			if w.random.IntN(2) == 0 {
				entries, _ := w.leader.roster(w.now, true)
				w.durable = encodeRoster(entries)
			}
			w.takeOver()
		}
	}
}

// Guards against a successor that takes a runner's leases as lapsed while the
// runner still has one: its tasks would run twice. Calls, orders, stored expiries,
// lost answers, crashes and planned stops come in any order.
func TestStoredExpiryIsNeverBeforeALeaseEnds(t *testing.T) {
	early := 0
	for seed := range uint64(300) {
		w := &rosterWorld{t: t, random: rand.New(rand.NewPCG(seed, 3)), now: time.Minute}
		w.takeOver()
		for range 200 {
			w.step()
			for _, e := range decodeRoster(w.durable) {
				if e.expiry > 0 && !e.answering && e.expiry < w.leaseEnd+clockOffset {
					t.Fatalf("seed %d: the stored expiry is %v before the lease ends", seed, w.leaseEnd+clockOffset-e.expiry)
				}
			}
			if w.leader.core.InheritedExpiry(rosterRunner) < w.leader.core.otherLeasesExpireAt {
				early++
			}
		}
	}
	if early == 0 {
		t.Error("no successor was spared the full wait")
	}
}

// Guards against leases that end although the runner answers again, as its expiry
// stays stored.
func TestRunnerThatAnswersAgainIsLeasedOnceItsExpiryIsDropped(t *testing.T) {
	clock := startClock(time.Minute)
	l := newLink(&leader{term: leadership.NewTerm(1, 24*time.Hour, clock.now), env: Environment{Clock: clock.now, Lease: 8 * time.Second}}, "r", "a", 0)
	l.answered(1, time.Second, clock.now(), clock.now())
	l.unanswered(clock.now())
	if _, _, ok := l.recordExpiry(clock.now(), false); ok {
		t.Fatal("an expiry is stored at the first silence")
	}
	clock.advance(silenceRecorded)
	if _, _, ok := l.recordExpiry(clock.now(), false); !ok || l.withdraws() {
		t.Fatal("no expiry of a silent runner, or one withdrawn at once")
	}
	if l.answered(1, 9*time.Second, clock.now(), clock.now()) || l.request().Deadline != 0 || !l.withdraws() {
		t.Fatal("leases are extended while the store holds their expiry")
	}
	l.withdrawExpiry()
	if l.request().Deadline == 0 || l.withdraws() {
		t.Error("leases are not extended after the expiry was dropped")
	}
}

// Guards against a lost runner that a successor waits for anew after its
// coordinator was killed and stored nothing more.
func TestCrashDoesNotHideTheExpiryOfALostRunner(t *testing.T) {
	f, store, env, clock := lastingFleet(t, 2)
	first, crashed := crashing(env)
	stop := lead(first, 1)
	id := lastingJob(t, store, clock)
	lost := f.awaitRunner(t, id)
	f.remove(lost)
	awaitStored(t, store, clock, lost)
	crashed.Store(true)
	stop()
	defer lead(env, 2)()
	f.awaitEpoch(t, 2)
	clock.advance(env.Lease)
	f.awaitRunner(t, id)
}

// awaitStored moves the clock on until the roster holds a runner's expiry.
func awaitStored(t *testing.T, store rowstore.Store, clock *manualClock, id string) {
	t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		clock.advance(50 * time.Millisecond)
		for _, e := range storedRoster(t, store) {
			if e.id == id && e.expiry > 0 {
				return
			}
		}
	}
	t.Fatalf("no expiry of %s is stored", id)
}

func storedRoster(t *testing.T, store rowstore.Store) []rosterEntry {
	t.Helper()
	res, err := store.Read(context.Background(), rowstore.Range{Table: rosterKey.Table, Part: rosterKey.Part, From: rosterKey.Key, To: rosterKey.Key + "\x00"})
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Rows) == 0 {
		return nil
	}
	return decodeRoster(string(res.Rows[0].Value))
}

// watched notes what the roster holds when a runner is first called.
type watched struct {
	RunnerClient
	store rowstore.Store
	first chan string
}

func (c watched) Hold(ctx context.Context, h HoldRequest) (HoldResponse, error) {
	res, err := c.store.Read(ctx, rowstore.Range{Table: rosterKey.Table, Part: rosterKey.Part})
	if err != nil {
		return HoldResponse{}, err
	}
	for _, row := range res.Rows {
		if row.Key == rosterKey {
			select {
			case c.first <- string(row.Value):
			default:
			}
		}
	}
	return c.RunnerClient.Hold(ctx, h)
}

// Guards against leases that are extended beyond an expiry which the store still
// holds from a planned stop: another takeover would count them as lapsed.
func TestExpiriesOfAPlannedStopAreDroppedBeforeTheFirstCall(t *testing.T) {
	f := newFleet(2, 1)
	store, env := deployment(t, f)
	roster := encodeRoster([]rosterEntry{{id: "r0", expiry: time.Hour, answering: true}, {id: "r1"}, {id: "lost", expiry: time.Hour}})
	if _, err := store.Commit(context.Background(), rowstore.Transaction{Puts: []rowstore.Put{{Key: rosterKey, Value: []byte(roster)}}}); err != nil {
		t.Fatal(err)
	}
	calls := watched{f, store, make(chan string, 1)}
	env.Runners = calls
	defer lead(env, 1)()
	select {
	case got := <-calls.first:
		if strings.Contains(got, answeringMark) || !strings.Contains(got, "lost 3600000") {
			t.Errorf("roster %q at the first call", got)
		}
	case <-time.After(patience):
		t.Fatal("no runner is called")
	}
}
