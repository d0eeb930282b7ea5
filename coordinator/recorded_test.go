package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"bergamotstile/leadership"
	"bergamotstile/rowstore"
)

// recordedWorld is a coordinator over a store whose loop the test stands for.
type recordedWorld struct {
	t      *testing.T
	clock  *manualClock
	store  *rowstore.Memory
	leader *leader
}

func newRecordedWorld(t *testing.T) *recordedWorld {
	t.Helper()
	clock := startClock(time.Minute)
	store := rowstore.NewMemory()
	env := Environment{Store: store, Lease: 8 * time.Second, Clock: clock.now, StoreClock: clock.now, StoreBounds: sameClock,
		Log: silentLog(), Count: func(string, int64) {}}
	tn := steppedLeader(env, leadership.NewTerm(1, 24*time.Hour, clock.now))
	tn.journal = newJournal(store, 1, silentLog())
	tn.events, tn.failed, tn.ctx = make(chan posted, 16), make(chan error, 1), t.Context()
	if _, err := tn.journal.fence(t.Context(), sharedPart); err != nil {
		t.Fatal(err)
	}
	return &recordedWorld{t: t, clock: clock, store: store, leader: tn}
}

// register adds the runner to the registry and returns the link to it.
func (w *recordedWorld) register() *link {
	info := RunnerInfo{ID: rosterRunner}
	w.leader.core.RunnerSeen(info, w.clock.now())
	l := w.leader.linkTo(info, w.clock.now())
	l.stop = func() {}
	w.leader.links[rosterRunner] = l
	return l
}

// silentRunner registers a runner that has been silent for a time.
func (w *recordedWorld) silentRunner(since time.Duration) *link {
	l := w.register()
	l.answered(1, time.Hour, w.clock.now(), w.clock.now())
	l.request()
	l.unanswered(w.clock.now())
	w.clock.advance(since)
	return l
}

// awaitEvent waits for the event of a stored roster, which stays queued.
func (w *recordedWorld) awaitEvent() {
	w.t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if len(w.leader.events) > 0 {
			return
		}
	}
	w.t.Fatal("no roster is stored")
}

// checkGrant fails the test if a lease was extended beyond an expiry that the store
// holds.
func (w *recordedWorld) checkGrant(deadline time.Duration) {
	w.t.Helper()
	for _, e := range storedRoster(w.t, w.store) {
		if deadline > 0 && e.expiry > 0 {
			w.t.Errorf("a lease is extended while the store holds the expiry %v", e.expiry)
		}
	}
}

// Guards against the event of an earlier roster that lets leases be extended on a
// runner whose expiry a later one has stored.
func TestEventOfAnEarlierRosterWithdrawsNoLaterExpiry(t *testing.T) {
	w := newRecordedWorld(t)
	l := w.silentRunner(silenceRecorded - tickEvery/2)
	w.leader.writeSharedRows(w.clock.now()) // not silent for long enough
	w.awaitEvent()
	w.clock.advance(tickEvery)
	w.leader.writeSharedRows(w.clock.now()) // the tick comes before the event
	for until := time.Now().Add(patience / 25); time.Now().Before(until) && len(w.leader.events) < 2; {
		time.Sleep(time.Millisecond)
	}
	(<-w.leader.events).apply(w.leader)
	l.answered(1, time.Hour+time.Second, w.clock.now(), w.clock.now())
	w.checkGrant(l.request().Deadline)
}

// Guards against leases on a runner that comes back to the registry while the write
// that removes its expiry is under way: the expiry has passed, so that a successor
// would take the new leases as lapsed at once.
func TestRunnerThatComesBackIsNotLeasedBeforeItsExpiryIsRemoved(t *testing.T) {
	w := newRecordedWorld(t)
	w.silentRunner(silenceRecorded)
	w.leader.writeSharedRows(w.clock.now())
	w.awaitEvent()
	(<-w.leader.events).apply(w.leader)
	w.clock.advance(w.leader.env.Lease + time.Second)
	w.leader.core.runners[rosterRunner].listed = false
	w.leader.core.RunnerLapsed(rosterRunner, w.clock.now())
	w.leader.dropLinks()
	var refusing atomic.Bool
	refusing.Store(true)
	w.store.Fail = func(call string) error { // the next write is not carried out
		if call == "commit" && refusing.Load() {
			return rowstore.ErrRefused
		}
		return nil
	}
	w.leader.writeSharedRows(w.clock.now())
	again := w.register()
	again.answered(1, time.Hour+10*time.Second, w.clock.now(), w.clock.now())
	w.checkGrant(again.request().Deadline)
	refusing.Store(false)
	w.awaitEvent()
	(<-w.leader.events).apply(w.leader)
	if again.request().Deadline == 0 {
		t.Error("no lease is extended after the expiry was removed")
	}
}

// Guards against a runner without a link that stays in the roster for good: each
// successor would wait a whole lease for it.
func TestReportAfterItsLinkWasDroppedLeavesNoRunnerBehind(t *testing.T) {
	w := newRecordedWorld(t)
	l := w.register()
	w.leader.core.runners[rosterRunner].listed = false
	w.leader.core.RunnerSilent(rosterRunner)
	w.leader.core.Watch(w.clock.now())
	w.leader.dropLinks()
	reportEvent{Report{Runner: rosterRunner, Incarnation: 1}, l}.apply(w.leader) // was queued
	w.clock.advance(time.Minute)
	w.leader.core.Watch(w.clock.now())
	w.leader.dropLinks()
	if left := w.leader.core.Roster(); len(left) > 0 {
		t.Errorf("roster %v without a registered runner", left)
	}
}

// sentStarts notes the starts that reach a runner.
type sentStarts struct{ sent chan Order }

func (s sentStarts) Hold(context.Context, HoldRequest) (HoldResponse, error) {
	return HoldResponse{}, errNoAnswer
}

func (s sentStarts) Send(_ context.Context, o Order, _ uint64, _ time.Duration) (Outcome, error) {
	s.sent <- o
	return Accepted, nil
}

// Guards against a start that reaches a runner with an old deadline: a process that
// has started anew with a new clock would hold it for longer than was granted.
func TestNoStartIsSentToASilentRunner(t *testing.T) {
	w := newRecordedWorld(t)
	runners := sentStarts{make(chan Order, 1)}
	w.leader.env.Runners = runners
	l := w.silentRunner(0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.send(ctx, Order{Kind: Start, Runner: rosterRunner, Settled: new(atomic.Bool)})
	select {
	case <-runners.sent:
		t.Fatal("a start is sent to a silent runner")
	case <-time.After(3 * firstOrderRetry):
	}
	l.answered(1, time.Hour, w.clock.now(), w.clock.now())
	select {
	case <-runners.sent:
	case <-time.After(patience):
		t.Error("the start is not sent after the runner has answered")
	}
}

// Guards against leases that are extended after the time at which a successor takes
// this coordinator as gone.
func TestNoLeaseIsExtendedAfterTheGraceOfTheTerm(t *testing.T) {
	w := newRecordedWorld(t)
	w.leader.term = leadership.NewTerm(1, w.clock.now(), w.clock.now)
	l := w.register()
	l.answered(1, time.Hour, w.clock.now(), w.clock.now())
	w.clock.advance(leadership.GracePeriod - time.Millisecond)
	l.answered(1, time.Hour+leadership.GracePeriod, w.clock.now(), w.clock.now())
	w.leader.noteMajority()
	if l.request().Deadline == 0 {
		t.Error("no lease is extended within the grace")
	}
	w.clock.advance(time.Millisecond)
	if d := l.request().Deadline; d != 0 {
		t.Errorf("a lease is extended to %v after the grace", d)
	}
}

// Guards against leases of a sound runner that end while the store is away, as
// its expiry was stored or would be, and can't be removed.
func TestNoExpiryIsRecordedWhileTheStoreIsAway(t *testing.T) {
	w := newRecordedWorld(t)
	w.leader.term = leadership.NewTerm(1, w.clock.now(), w.clock.now)
	l := w.silentRunner(leadership.ExclusiveTime)
	w.leader.writeSharedRows(w.clock.now())
	l.answered(1, time.Hour+time.Second, w.clock.now(), w.clock.now())
	w.leader.noteMajority()
	if l.request().Deadline == 0 {
		t.Error("no lease is extended on a runner that answers again")
	}
}

// Guards against a successor that waits too short after a planned stop: its
// predecessor may have waited itself for runners of an earlier one that is cut off
// from the store and still grants leases.
func TestStoredExpiryCountsBeyondTheSuccessorsOwnBound(t *testing.T) {
	w := newRecordedWorld(t)
	now := w.clock.now()
	latest := now + 8*time.Second
	for _, c := range []struct{ expiry, want time.Duration }{
		{now + 3*time.Second, now + 3*time.Second},
		{now + 14*time.Second, now + 14*time.Second},
		{now + time.Hour, now + longestWait(w.leader.env.Lease)}, // of a clock that has begun anew
		{0, latest},
	} {
		got := w.leader.inheritRoster([]rosterEntry{{id: rosterRunner, expiry: c.expiry}}, latest)
		if len(got) != 1 || got[0].Lapsed != c.want {
			t.Errorf("expiry %v: waits until %+v, want %v", c.expiry, got, c.want)
		}
	}
}
