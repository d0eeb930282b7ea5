package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"bergamotstile/leadership"
	"bergamotstile/rowstore"
)

// rosterHarness is a coordinator with a store in memory. The test takes the place of its
// event loop.
type rosterHarness struct {
	t           *testing.T
	clock       *manualClock
	store       *rowstore.Memory
	coordinator *coordinator
}

// newRosterHarness returns a harness in the first term of a coordinator, without runners. The store
// holds a roster that names the runner testRunnerID.
func newRosterHarness(t *testing.T) *rosterHarness {
	t.Helper()
	clock := newManualClock(time.Minute)
	store := rowstore.NewMemory()
	env := Environment{Store: store, LeaseDuration: 8 * time.Second, Clock: clock.now, StoreClock: clock.now, StoreClockBounds: exactBounds,
		Log: discardLog(), Count: func(string, int64) {}}
	coord := newCoordinatorWithoutLoop(env, leadership.NewTerm(1, 24*time.Hour, clock.now))
	coord.journal = newJournal(store, 1, discardLog())
	coord.listedRunners, coord.takenOverAt = runnerSet{testRunnerID: {}}, clock.now()
	coord.events, coord.fatalErrors, coord.ctx = make(chan queuedEvent, 16), make(chan error, 1), t.Context()
	if _, err := coord.journal.fence(t.Context(), sharedPart); err != nil {
		t.Fatal(err)
	}
	return &rosterHarness{t: t, clock: clock, store: store, coordinator: coord}
}

// register registers the runner testRunnerID and returns the link to it.
func (h *rosterHarness) register() *link {
	info := RunnerInfo{ID: testRunnerID}
	h.coordinator.core.UpdateRunner(info, h.clock.now())
	l := h.coordinator.createLink(info, h.clock.now())
	l.stop = func() {}
	h.coordinator.links[testRunnerID] = l
	return l
}

// registerSilentRunner registers a runner that answered once and has since been silent for
// the given time.
func (h *rosterHarness) registerSilentRunner(silence time.Duration) *link {
	l := h.register()
	l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
	l.nextRequest()
	l.recordUnanswered(h.clock.now())
	h.clock.advance(silence)
	return l
}

// awaitStoredRoster waits until a roster has been stored and its event is queued, without
// applying the event.
func (h *rosterHarness) awaitStoredRoster() {
	h.t.Helper()
	for until := time.Now().Add(awaitTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if len(h.coordinator.events) > 0 {
			return
		}
	}
	h.t.Fatal("no roster was stored")
}

// checkNoLeaseBeyondStoredExpiry fails the test if a lease was extended, which a deadline
// other than zero shows, while the store holds an expiry for the runner.
func (h *rosterHarness) checkNoLeaseBeyondStoredExpiry(deadline time.Duration) {
	h.t.Helper()
	for _, entry := range readStoredRoster(h.t, h.store) {
		if deadline > 0 && entry.expiry > 0 {
			h.t.Errorf("a lease was extended while the store holds the expiry %v", entry.expiry)
		}
	}
}

// Guards against the event of an earlier stored roster that permits leases to be extended
// on a runner whose expiry a later roster has stored.
func TestEventOfAnEarlierRosterKeepsALaterExpiry(t *testing.T) {
	h := newRosterHarness(t)
	l := h.registerSilentRunner(minRecordedSilence - tickInterval/2)
	h.coordinator.writeSharedRows(h.clock.now()) // the runner has not been silent for long enough
	h.awaitStoredRoster()
	h.clock.advance(tickInterval)
	h.coordinator.writeSharedRows(h.clock.now()) // the next tick comes before the event is applied
	for until := time.Now().Add(awaitTimeout / 25); time.Now().Before(until) && len(h.coordinator.events) < 2; {
		time.Sleep(time.Millisecond)
	}
	(<-h.coordinator.events).apply(h.coordinator)
	l.recordAnswer(1, time.Hour+time.Second, h.clock.now(), h.clock.now(), l.token())
	h.checkNoLeaseBeyondStoredExpiry(l.nextRequest().Deadline)
}

// Guards against leases on a runner that registers again while the write that removes its
// expiry is under way: the expiry has passed, so that a successor would consider the
// new leases as expired at once.
func TestNoLeaseOnAReregisteredRunnerBeforeItsExpiryIsRemoved(t *testing.T) {
	h := newRosterHarness(t)
	h.registerSilentRunner(minRecordedSilence)
	h.coordinator.writeSharedRows(h.clock.now())
	h.awaitStoredRoster()
	(<-h.coordinator.events).apply(h.coordinator)
	h.clock.advance(h.coordinator.env.LeaseDuration + time.Second)
	h.coordinator.core.runners[testRunnerID].registered = false
	h.coordinator.core.ExpireRunnerLeases(testRunnerID, h.clock.now())
	h.coordinator.removeStaleLinks()
	var refusing atomic.Bool
	refusing.Store(true)
	h.store.BeforeCall = func(call string) error { // the next write is not carried out
		if call == "commit" && refusing.Load() {
			return rowstore.ErrRefused
		}
		return nil
	}
	h.coordinator.writeSharedRows(h.clock.now())
	newLink := h.register()
	newLink.recordAnswer(1, time.Hour+10*time.Second, h.clock.now(), h.clock.now(), newLink.token())
	h.checkNoLeaseBeyondStoredExpiry(newLink.nextRequest().Deadline)
	refusing.Store(false)
	h.awaitStoredRoster()
	(<-h.coordinator.events).apply(h.coordinator)
	if newLink.nextRequest().Deadline != 0 || !h.coordinator.needsRosterWrite() {
		t.Error("a lease was extended although the stored roster does not name the runner, or no other one is due")
	}
	h.coordinator.writeSharedRows(h.clock.now())
	h.awaitStoredRoster()
	(<-h.coordinator.events).apply(h.coordinator)
	if newLink.nextRequest().Deadline == 0 {
		t.Error("no lease was extended after the expiry was removed and the runner was listed")
	}
}

// Guards against a runner without a link that stays in the roster forever: each successor
// would wait for the expiry of a whole lease on it.
func TestReportAfterItsLinkWasRemovedAddsNoRunner(t *testing.T) {
	h := newRosterHarness(t)
	l := h.register()
	h.coordinator.core.runners[testRunnerID].registered = false
	h.coordinator.core.MarkRunnerSilent(testRunnerID)
	h.coordinator.core.CheckRuns(h.clock.now())
	h.coordinator.removeStaleLinks()
	reportEvent{Report{Runner: testRunnerID, Incarnation: 1}, l}.apply(h.coordinator) // was queued before the link was removed
	h.clock.advance(time.Minute)
	h.coordinator.core.CheckRuns(h.clock.now())
	h.coordinator.removeStaleLinks()
	if remaining := h.coordinator.core.Roster(); len(remaining) > 0 {
		t.Errorf("roster %v without a registered runner", remaining)
	}
}

// startRecorder is a RunnerClient that sends on a channel the orders that reach a runner.
type startRecorder struct{ sent chan Order }

func (s startRecorder) Poll(context.Context, PollRequest) (PollResponse, error) {
	return PollResponse{}, errNoAnswer
}

func (s startRecorder) Send(_ context.Context, order Order, _ uint64, _ time.Duration) (OrderResponse, error) {
	s.sent <- order
	return OrderResponse{Outcome: Accepted}, nil
}

// Guards against a start that reaches a runner with an outdated deadline: a runner that
// has restarted with a new clock would keep the run for longer than was granted.
func TestNoStartIsSentToASilentRunner(t *testing.T) {
	h := newRosterHarness(t)
	runners := startRecorder{make(chan Order, 1)}
	h.coordinator.env.Runners = runners
	l := h.registerSilentRunner(0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.sendOrder(ctx, Order{Kind: Start, Runner: testRunnerID, Settled: new(atomic.Bool)})
	select {
	case <-runners.sent:
		t.Fatal("a start was sent to a silent runner")
	case <-time.After(3 * minOrderRetryPause):
	}
	l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
	select {
	case <-runners.sent:
	case <-time.After(awaitTimeout):
		t.Error("the start was not sent after the runner had answered")
	}
}

// Guards against leases that are extended after the time from which a successor considers
// this coordinator as stopped.
func TestNoLeaseIsExtendedAfterTheGraceOfTheTerm(t *testing.T) {
	h := newRosterHarness(t)
	h.coordinator.term = leadership.NewTerm(1, h.clock.now(), h.clock.now)
	l := h.register()
	l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
	h.clock.advance(leadership.GracePeriod - time.Millisecond)
	l.recordAnswer(1, time.Hour+leadership.GracePeriod, h.clock.now(), h.clock.now(), l.token())
	h.coordinator.updateMajority()
	if l.nextRequest().Deadline == 0 {
		t.Error("no lease was extended within the grace")
	}
	h.clock.advance(time.Millisecond)
	if d := l.nextRequest().Deadline; d != 0 {
		t.Errorf("a lease was extended to %v after the grace", d)
	}
}

// Guards against leases that expire on a healthy runner while the store is unavailable,
// because its expiry was to be stored and can't be removed.
func TestNoExpiryIsRecordedWhileTheStoreIsUnavailable(t *testing.T) {
	h := newRosterHarness(t)
	h.coordinator.term = leadership.NewTerm(1, h.clock.now(), h.clock.now)
	l := h.registerSilentRunner(leadership.ExclusiveTime)
	h.coordinator.writeSharedRows(h.clock.now())
	l.recordAnswer(1, time.Hour+time.Second, h.clock.now(), h.clock.now(), l.token())
	h.coordinator.updateMajority()
	if l.nextRequest().Deadline == 0 {
		t.Error("no lease was extended on a runner that answers again")
	}
}

// Guards against a successor that waits for too short a time after a planned stop: the
// predecessor may itself have been waiting for the runners of an earlier coordinator that
// can't reach the store and still grants leases.
func TestStoredExpiryMayExceedThePredecessorsBound(t *testing.T) {
	h := newRosterHarness(t)
	now := h.clock.now()
	latest := now + 8*time.Second
	for _, c := range []struct{ expiry, want time.Duration }{
		{now + 3*time.Second, now + 3*time.Second},
		{now + 14*time.Second, now + 14*time.Second},
		{now + time.Hour, now + maxExpiryWait(h.coordinator.env.LeaseDuration)}, // from a store clock that was reset
		{0, latest},
	} {
		got := h.coordinator.inheritRoster([]rosterEntry{{id: testRunnerID, expiry: c.expiry}}, latest)
		if len(got) != 1 || got[0].ExpiredAt != c.want {
			t.Errorf("expiry %v: waits until %+v, want %v", c.expiry, got, c.want)
		}
	}
}
