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

// Guards against an expiry that is decoded from a damaged or older roster without one, and
// against an expiry that is lost between encoding and decoding.
func TestRosterEncodingKeepsExpiries(t *testing.T) {
	entries := []rosterEntry{{id: "a"}, {id: "b", expiry: 1500 * time.Millisecond}, {id: "c", expiry: time.Hour, wasAnswering: true}}
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

// rosterWorld is one runner and coordinators that take over from each other. The store's
// clock is the local clock plus storeClockOffset. Each coordinator knows other bounds of the
// store's clock.
type rosterWorld struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	leader *leader
	epoch  uint64
	// storedRoster is the roster in the store. While isWriting is set, pendingRoster is one
	// whose write is under way, and pendingExpiries holds its expiries.
	storedRoster    string
	pendingRoster   string
	pendingExpiries map[string]recordedExpiry
	isWriting       bool
	// leaseEnd is when the last lease ends that the runner was granted, on the local
	// clock, if the runner's clock is as slow as is allowed.
	leaseEnd time.Duration
	// lowerBoundError and upperBoundError are how far the coordinator's bounds are below
	// and above the store's clock.
	lowerBoundError, upperBoundError time.Duration
}

const (
	testRunnerID     = "r"
	storeClockOffset = 7 * time.Hour
	maxBoundError    = time.Second
)

func (w *rosterWorld) clock() time.Duration { return w.now }

func (w *rosterWorld) storeBounds(local time.Duration) (earliest, latest time.Duration, known bool) {
	return local + storeClockOffset - w.lowerBoundError, local + storeClockOffset + w.upperBoundError, true
}

// takeOver replaces the coordinator by a new one, with the steps of a real takeover.
func (w *rosterWorld) takeOver() {
	w.epoch++
	w.lowerBoundError, w.upperBoundError = time.Duration(w.random.Int64N(int64(maxBoundError))), time.Duration(w.random.Int64N(int64(maxBoundError)))
	env := Environment{Store: rowstore.NewMemory(), Lease: 8 * time.Second, Clock: w.clock, StoreBounds: w.storeBounds, Log: discardLog()}
	w.leader = newLeaderWithoutLoop(env, leadership.NewTerm(w.epoch, w.now, w.clock))
	w.leader.journal = newJournal(env.Store, w.epoch, discardLog())
	if _, err := w.leader.journal.fence(context.Background(), sharedPart); err != nil {
		w.t.Fatal(err)
	}
	entries := decodeRoster(w.storedRoster)
	latest := w.now + 8*time.Second*100/(100-maxClockDriftPercent) + expiryMargin
	inherited := w.leader.inheritRoster(entries, latest)
	w.leader.core.SetInheritedRunners(inherited, latest)
	if inheritedExpiry := w.leader.core.InheritedExpiry(testRunnerID); inheritedExpiry < w.leaseEnd {
		w.t.Fatalf("epoch %d takes the leases as expired %v before they are", w.epoch, w.leaseEnd-inheritedExpiry)
	}
	if err := w.leader.removeAnsweringExpiries(context.Background(), entries); err != nil {
		w.t.Fatal(err)
	}
	w.storedRoster, w.isWriting = encodeRoster(entries), false
	info := RunnerInfo{ID: testRunnerID}
	w.leader.core.UpdateRunner(info, w.now)
	w.leader.links[testRunnerID] = w.leader.createLink(info, w.now)
}

// callRunner polls the runner. The poll or the answer to it may get lost.
func (w *rosterWorld) callRunner() {
	l := w.leader.links[testRunnerID]
	request := l.nextRequest()
	w.now += time.Duration(w.random.Int64N(int64(50 * time.Millisecond)))
	if w.random.IntN(4) > 0 {
		w.recordGrant(request.Deadline)
		if w.random.IntN(4) > 0 {
			l.recordAnswer(1, w.now, w.now, w.now)
			return
		}
	}
	l.recordUnanswered(w.now)
}

// recordGrant extends the leases on the runner. The runner's clock reads the same as the
// local one now, and runs 2% slower from now on.
func (w *rosterWorld) recordGrant(deadline time.Duration) {
	if deadline > 0 {
		w.leaseEnd = max(w.leaseEnd, w.now+(deadline-w.now)*100/(100-maxClockDriftPercent))
	}
}

// step moves the clock forward and lets one event happen at random.
func (w *rosterWorld) step() {
	w.now += time.Duration(w.random.Int64N(int64(600 * time.Millisecond)))
	switch w.random.IntN(8) {
	case 0, 1, 2:
		w.callRunner()
	case 3:
		_, deadline, _ := w.leader.links[testRunnerID].orderTarget(Start)
		w.recordGrant(deadline)
	case 4:
		if !w.isWriting {
			entries, expiries := w.leader.buildRoster(w.now, false)
			w.pendingRoster, w.pendingExpiries, w.isWriting = encodeRoster(entries), expiries, true
		}
	case 5:
		if w.isWriting {
			w.storedRoster, w.isWriting = w.pendingRoster, false
			w.leader.confirmRecordedExpiries(w.pendingExpiries)
		}
	case 6:
		if w.isWriting && w.random.IntN(2) == 0 {
			w.storedRoster = w.pendingRoster // the answer is lost and the coordinator crashes
			w.takeOver()
		}
	case 7:
		if w.random.IntN(3) == 0 {
			if w.random.IntN(2) == 0 {
				entries, _ := w.leader.buildRoster(w.now, true)
				w.storedRoster = encodeRoster(entries)
			}
			w.takeOver()
		}
	}
}

// Guards against a successor that takes the leases on a runner as expired while the runner
// still has one: its tasks would run twice. Polls, orders, stored expiries, lost answers,
// crashes and planned stops happen in random order.
func TestStoredExpiryIsNeverBeforeALeaseEnds(t *testing.T) {
	shortenedWaits := 0
	for seed := range uint64(300) {
		w := &rosterWorld{t: t, random: rand.New(rand.NewPCG(seed, 3)), now: time.Minute}
		w.takeOver()
		for range 200 {
			w.step()
			for _, e := range decodeRoster(w.storedRoster) {
				if e.expiry > 0 && !e.wasAnswering && e.expiry < w.leaseEnd+storeClockOffset {
					t.Fatalf("seed %d: the stored expiry is %v before the lease ends", seed, w.leaseEnd+storeClockOffset-e.expiry)
				}
			}
			if w.leader.core.InheritedExpiry(testRunnerID) < w.leader.core.otherLeasesExpireAt {
				shortenedWaits++
			}
		}
	}
	if shortenedWaits == 0 {
		t.Error("no successor was spared the full wait")
	}
}

// Guards against leases that are never extended again on a runner that answers after a
// silence, because its expiry is never removed from the store.
func TestRunnerThatAnswersAgainIsGrantedLeasesOnceItsExpiryIsRemoved(t *testing.T) {
	clock := newManualClock(time.Minute)
	l := newLink(&leader{term: leadership.NewTerm(1, 24*time.Hour, clock.now), env: Environment{Clock: clock.now, Lease: 8 * time.Second}}, "r", "a", 0)
	l.recordAnswer(1, time.Second, clock.now(), clock.now())
	l.recordUnanswered(clock.now())
	if _, _, ok := l.recordExpiry(clock.now(), false); ok {
		t.Fatal("an expiry is stored at the first silence")
	}
	clock.advance(minRecordedSilence)
	if _, _, ok := l.recordExpiry(clock.now(), false); !ok || l.needsExpiryRemoval() {
		t.Fatal("no expiry is stored for a silent runner, or it is to be removed at once")
	}
	if l.recordAnswer(1, 9*time.Second, clock.now(), clock.now()) || l.nextRequest().Deadline != 0 || !l.needsExpiryRemoval() {
		t.Fatal("leases are extended while the store holds their expiry")
	}
	l.clearRecordedExpiry()
	if l.nextRequest().Deadline == 0 || l.needsExpiryRemoval() {
		t.Error("leases are not extended after the expiry was removed")
	}
}

// Guards against a successor that waits for another whole lease for a lost runner, because
// the coordinator before it crashed and could store no more expiries.
func TestCrashKeepsTheStoredExpiryOfALostRunner(t *testing.T) {
	f, store, env, clock := newLongRunningFleet(t, 2)
	firstEnv, crashed := crashableEnvironment(env)
	stop := startLeader(firstEnv, 1)
	id := submitLongRunningJob(t, store, clock)
	lostID := f.awaitRunner(t, id)
	f.remove(lostID)
	awaitStoredExpiry(t, store, clock, lostID)
	crashed.Store(true)
	stop()
	defer startLeader(env, 2)()
	f.awaitEpoch(t, 2)
	clock.advance(env.Lease)
	f.awaitRunner(t, id)
}

// awaitStoredExpiry moves the clock forward until the stored roster holds a runner's expiry.
func awaitStoredExpiry(t *testing.T, store rowstore.Store, clock *manualClock, id string) {
	t.Helper()
	for until := time.Now().Add(awaitTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		clock.advance(50 * time.Millisecond)
		for _, e := range readStoredRoster(t, store) {
			if e.id == id && e.expiry > 0 {
				return
			}
		}
	}
	t.Fatalf("no expiry of %s is stored", id)
}

// readStoredRoster returns the entries of the roster in the store.
func readStoredRoster(t *testing.T, store rowstore.Store) []rosterEntry {
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

// rosterReadingClient sends the stored roster as it was at the first poll to firstRoster.
type rosterReadingClient struct {
	RunnerClient
	store       rowstore.Store
	firstRoster chan string
}

func (c rosterReadingClient) Hold(ctx context.Context, request PollRequest) (PollResponse, error) {
	res, err := c.store.Read(ctx, rowstore.Range{Table: rosterKey.Table, Part: rosterKey.Part})
	if err != nil {
		return PollResponse{}, err
	}
	for _, row := range res.Rows {
		if row.Key == rosterKey {
			select {
			case c.firstRoster <- string(row.Value):
			default:
			}
		}
	}
	return c.RunnerClient.Hold(ctx, request)
}

// Guards against leases that are extended beyond an expiry which the store still holds from
// a planned stop: after another takeover they would count as expired.
func TestExpiriesOfAPlannedStopAreRemovedBeforeTheFirstCall(t *testing.T) {
	f := newFleet(2, 1)
	store, env := newDeployment(t, f)
	roster := encodeRoster([]rosterEntry{{id: "r0", expiry: time.Hour, wasAnswering: true}, {id: "r1"}, {id: "lost", expiry: time.Hour}})
	if _, err := store.Commit(context.Background(), rowstore.Transaction{Puts: []rowstore.Put{{Key: rosterKey, Value: []byte(roster)}}}); err != nil {
		t.Fatal(err)
	}
	client := rosterReadingClient{f, store, make(chan string, 1)}
	env.Runners = client
	defer startLeader(env, 1)()
	select {
	case got := <-client.firstRoster:
		if strings.Contains(got, answeringMarker) || !strings.Contains(got, "lost 3600000") {
			t.Errorf("roster %q at the first call", got)
		}
	case <-time.After(awaitTimeout):
		t.Fatal("no runner is called")
	}
}
