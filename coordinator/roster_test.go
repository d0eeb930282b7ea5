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

// rosterSimulation is one runner and coordinators that take over from each other. The store's
// clock is the local clock plus storeClockOffset. Each coordinator knows other bounds of the
// store's clock.
type rosterSimulation struct {
	t           *testing.T
	random      *rand.Rand
	now         time.Duration
	coordinator *coordinator
	epoch       uint64
	// storedRoster is the roster in the store. While isWriting is set, pendingRoster is one
	// whose write is under way, and pendingExpiries holds its expiries.
	storedRoster    string
	pendingRoster   string
	pendingEntries  []rosterEntry
	pendingExpiries map[string]recordedExpiry
	isWriting       bool
	// leaseEnd is when the last lease that the runner was granted ends, on the local clock,
	// if the runner's clock is as slow as is allowed.
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

func (sim *rosterSimulation) clock() time.Duration { return sim.now }

func (sim *rosterSimulation) storeBounds(local time.Duration) (earliest, latest time.Duration, known bool) {
	return local + storeClockOffset - sim.lowerBoundError, local + storeClockOffset + sim.upperBoundError, true
}

// takeOver replaces the coordinator by a new one, with the steps of a real takeover.
func (sim *rosterSimulation) takeOver() {
	sim.epoch++
	sim.lowerBoundError, sim.upperBoundError = time.Duration(sim.random.Int64N(int64(maxBoundError))), time.Duration(sim.random.Int64N(int64(maxBoundError)))
	env := Environment{Store: rowstore.NewMemory(), LeaseDuration: 8 * time.Second, Clock: sim.clock, StoreClockBounds: sim.storeBounds, Log: discardLog()}
	sim.coordinator = newCoordinatorWithoutLoop(env, leadership.NewTerm(sim.epoch, sim.now, sim.clock))
	sim.coordinator.journal = newJournal(env.Store, sim.epoch, discardLog())
	if _, err := sim.coordinator.journal.fence(context.Background(), sharedPart); err != nil {
		sim.t.Fatal(err)
	}
	entries := decodeRoster(sim.storedRoster)
	latest := sim.now + 8*time.Second*100/(100-maxClockDriftPercent) + expiryMargin
	inherited := sim.coordinator.inheritRoster(entries, latest)
	sim.coordinator.core.SetInheritedRunners(inherited, latest)
	if inheritedExpiry := sim.coordinator.core.InheritedExpiry(testRunnerID); inheritedExpiry < sim.leaseEnd {
		sim.t.Fatalf("epoch %d takes the leases as expired %v before they are", sim.epoch, sim.leaseEnd-inheritedExpiry)
	}
	info := RunnerInfo{ID: testRunnerID}
	if err := sim.coordinator.storeInheritedRoster(context.Background(), entries, map[string]RunnerInfo{testRunnerID: info}); err != nil {
		sim.t.Fatal(err)
	}
	sim.storedRoster, sim.isWriting = readRosterRow(sim.t, env.Store, encodeRoster(entries)), false
	sim.coordinator.core.UpdateRunner(info, sim.now)
	sim.coordinator.links[testRunnerID] = sim.coordinator.createLink(info, sim.now)
}

// pollRunner polls the runner. The poll or the answer to it may get lost.
func (sim *rosterSimulation) pollRunner() {
	l := sim.coordinator.links[testRunnerID]
	request := l.nextRequest()
	sim.now += time.Duration(sim.random.Int64N(int64(50 * time.Millisecond)))
	if sim.random.IntN(4) > 0 {
		sim.recordGrant(request.Deadline)
		if sim.random.IntN(4) > 0 {
			l.recordAnswer(1, sim.now, sim.now, sim.now, l.token())
			return
		}
	}
	l.recordUnanswered(sim.now)
}

// recordGrant extends the leases on the runner. The runner's clock reads the same as the
// local one now, and runs 2% slower from now on.
func (sim *rosterSimulation) recordGrant(deadline time.Duration) {
	if deadline > 0 {
		sim.leaseEnd = max(sim.leaseEnd, sim.now+(deadline-sim.now)*100/(100-maxClockDriftPercent))
	}
}

// step moves the clock forward and lets one event happen at random.
func (sim *rosterSimulation) step() {
	sim.now += time.Duration(sim.random.Int64N(int64(600 * time.Millisecond)))
	switch sim.random.IntN(8) {
	case 0, 1, 2:
		sim.pollRunner()
	case 3:
		target, _ := sim.coordinator.links[testRunnerID].findOrderTarget(Order{Kind: Start})
		deadline := target.deadline
		sim.recordGrant(deadline)
	case 4:
		if !sim.isWriting {
			entries, expiries := sim.coordinator.buildRoster(sim.now, false)
			sim.coordinator.beginRosterWrite(entries)
			sim.pendingRoster, sim.pendingEntries, sim.pendingExpiries, sim.isWriting = encodeRoster(entries), entries, expiries, true
		}
	case 5:
		if sim.isWriting {
			sim.storedRoster, sim.isWriting = sim.pendingRoster, false
			sim.coordinator.confirmRecordedExpiries(sim.pendingExpiries)
			sim.coordinator.confirmListed(sim.pendingEntries)
		}
	case 6:
		if sim.isWriting && sim.random.IntN(2) == 0 {
			sim.storedRoster = sim.pendingRoster // the answer is lost and the coordinator crashes
			sim.takeOver()
		}
	case 7:
		if sim.random.IntN(3) == 0 {
			if sim.random.IntN(2) == 0 {
				entries, _ := sim.coordinator.buildRoster(sim.now, true)
				sim.storedRoster = encodeRoster(entries)
			}
			sim.takeOver()
		}
	}
}

// Guards against a successor that takes the leases on a runner as expired while the runner
// still has one: its tasks would run twice. Polls, orders, stored expiries, lost answers,
// crashes and planned stops happen in random order.
func TestStoredExpiryIsNeverBeforeALeaseEnds(t *testing.T) {
	shortenedWaits := 0
	for seed := range uint64(300) {
		sim := &rosterSimulation{t: t, random: rand.New(rand.NewPCG(seed, 3)), now: time.Minute}
		sim.takeOver()
		for range 200 {
			sim.step()
			for _, e := range decodeRoster(sim.storedRoster) {
				if e.expiry > 0 && !e.wasAnswering && e.expiry < sim.leaseEnd+storeClockOffset {
					t.Fatalf("seed %d: the stored expiry is %v before the lease ends", seed, sim.leaseEnd+storeClockOffset-e.expiry)
				}
			}
			if sim.coordinator.core.InheritedExpiry(testRunnerID) < sim.coordinator.core.otherLeasesExpireAt {
				shortenedWaits++
			}
		}
	}
	if shortenedWaits == 0 {
		t.Error("no successor waited for less than the full time")
	}
}

// Guards against leases that are never extended again on a runner that answers after a
// silence, because its expiry is never removed from the store.
func TestRunnerThatAnswersAgainIsGrantedLeasesOnceItsExpiryIsRemoved(t *testing.T) {
	clock := newManualClock(time.Minute)
	l := newLink(&coordinator{term: leadership.NewTerm(1, 24*time.Hour, clock.now), env: Environment{Clock: clock.now, LeaseDuration: 8 * time.Second}}, "r", "a", 0)
	l.recordAnswer(1, time.Second, clock.now(), clock.now(), l.token())
	l.recordUnanswered(clock.now())
	if _, _, ok := l.stopLeaseExtension(clock.now(), false); ok {
		t.Fatal("an expiry is stored at the first silence")
	}
	clock.advance(minRecordedSilence)
	if _, _, ok := l.stopLeaseExtension(clock.now(), false); !ok || l.needsRosterWrite() {
		t.Fatal("no expiry is stored for a silent runner, or it is to be removed at once")
	}
	if l.recordAnswer(1, 9*time.Second, clock.now(), clock.now(), l.token()).canExtend || l.nextRequest().Deadline != 0 || !l.needsRosterWrite() {
		t.Fatal("leases are extended while the store holds their expiry")
	}
	l.clearRecordedExpiry()
	if l.nextRequest().Deadline == 0 || l.needsRosterWrite() {
		t.Error("leases are not extended after the expiry was removed")
	}
}

// Guards against a successor that waits for another whole lease for a lost runner, because
// the coordinator before it crashed and could store no more expiries.
func TestCrashKeepsTheStoredExpiryOfALostRunner(t *testing.T) {
	f, store, env, clock := newLongRunningFleet(t, 2)
	firstEnv, crashed := crashableEnvironment(env)
	stop := startCoordinator(firstEnv, 1)
	id := submitLongRunningJob(t, store, clock)
	lostID := f.awaitRunner(t, id)
	f.remove(lostID)
	awaitStoredExpiry(t, store, clock, lostID)
	crashed.Store(true)
	stop()
	defer startCoordinator(env, 2)()
	f.awaitEpoch(t, 2)
	clock.advance(env.LeaseDuration)
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
	return decodeRoster(readRosterRow(t, store, ""))
}

// readRosterRow returns the first row of the roster in the store, or a value if there is none.
func readRosterRow(t *testing.T, store rowstore.Store, missing string) string {
	t.Helper()
	res, err := store.Read(context.Background(), rowstore.Range{Table: rosterKey.Table, Part: rosterKey.Part, From: rosterKey.Key, To: rosterKey.Key + "\x00"})
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Rows) == 0 {
		return missing
	}
	return string(res.Rows[0].Value)
}

// rosterReadingClient sends the stored roster as it was at the first poll to firstRoster.
type rosterReadingClient struct {
	RunnerClient
	store       rowstore.Store
	firstRoster chan string
}

func (c rosterReadingClient) Poll(ctx context.Context, request PollRequest) (PollResponse, error) {
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
	return c.RunnerClient.Poll(ctx, request)
}

// Guards against leases that are extended beyond an expiry which the store still holds from
// a planned stop: after another takeover they would count as expired.
func TestExpiriesOfAPlannedStopAreRemovedBeforeTheFirstPoll(t *testing.T) {
	f := newFakeFleet(2, 1)
	store, env := newDeployment(t, f)
	roster := encodeRoster([]rosterEntry{{id: "r0", expiry: time.Hour, wasAnswering: true}, {id: "r1"}, {id: "lost", expiry: time.Hour}})
	if _, err := store.Commit(context.Background(), rowstore.Transaction{Puts: []rowstore.Put{{Key: rosterKey, Value: []byte(roster)}}}); err != nil {
		t.Fatal(err)
	}
	client := rosterReadingClient{f, store, make(chan string, 1)}
	env.Runners = client
	defer startCoordinator(env, 1)()
	select {
	case got := <-client.firstRoster:
		if strings.Contains(got, answeringMarker) || !strings.Contains(got, "lost 3600000") {
			t.Errorf("roster %q at the first poll", got)
		}
	case <-time.After(awaitTimeout):
		t.Fatal("no runner is polled")
	}
}
