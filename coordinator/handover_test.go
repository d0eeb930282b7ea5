package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/leadership"
	"bergamotstile/rowstore"
)

// manualClock is a clock that only the test moves.
type manualClock struct{ reading atomic.Int64 }

func (c *manualClock) now() time.Duration      { return time.Duration(c.reading.Load()) }
func (c *manualClock) advance(d time.Duration) { c.reading.Add(int64(d)) }
func newManualClock(reading time.Duration) *manualClock {
	c := &manualClock{}
	c.advance(reading)
	return c
}

// awaitTimeout is how long a test waits for a state before it fails.
const awaitTimeout = 5 * time.Second

// startCoordinator runs a term whose lease never expires. The returned function stops it as a
// planned stop does.
func startCoordinator(env Environment, epoch uint64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = Lead(ctx, env, leadership.NewTerm(epoch, 24*time.Hour, env.Clock))
	}()
	return func() {
		cancel()
		<-done
	}
}

// newCoordinatorWithoutLoop returns a coordinator whose loop does not run, for tests that
// call its methods themselves.
func newCoordinatorWithoutLoop(env Environment, term *leadership.Term) *coordinator {
	return &coordinator{env: env, core: New(Limits{}, discardLog(), nil), term: term,
		links: map[string]*link{}, sharedRows: map[rowstore.Key]string{}, recordedExpiries: map[string]recordedExpiry{}, settledIncarnations: map[string]int64{},
		lateCallExpiries: map[string]time.Duration{}, fencedProcesses: map[string]fencedProcess{}}
}

// crashableEnvironment returns a copy of an environment and a flag. Once the flag is set,
// the copy's store refuses writes, as if its coordinator had crashed.
func crashableEnvironment(env Environment) (Environment, *atomic.Bool) {
	crashed := new(atomic.Bool)
	env.Store = refusingStore{env.Store, crashed}
	return env, crashed
}

// refusingStore is a store that refuses writes once a flag is set.
type refusingStore struct {
	rowstore.Store
	refuses *atomic.Bool
}

func (s refusingStore) Commit(ctx context.Context, tx rowstore.Transaction) (uint64, error) {
	if s.refuses.Load() {
		return 0, rowstore.ErrRefused
	}
	return s.Store.Commit(ctx, tx)
}

// newLongRunningFleet returns a deployment of runners whose tasks don't end, with a clock
// that only the test moves.
func newLongRunningFleet(t *testing.T, runners int) (*fakeFleet, *rowstore.Memory, Environment, *manualClock) {
	t.Helper()
	f := newFakeFleet(runners, 1)
	f.runTime = time.Hour
	store, env := newDeployment(t, f)
	clock := newManualClock(time.Minute)
	env.Clock, env.StoreClock = clock.now, clock.now
	return f, store, env, clock
}

// submitLongRunningJob submits a job with one long-running task.
func submitLongRunningJob(t *testing.T, store rowstore.Store, clock *manualClock) jobs.TaskID {
	t.Helper()
	g := &gateway.Gateway{Store: store, Clock: clock.now}
	step := plainStep(1, 1000)
	step.LongRunning = true
	if err := g.Submit(context.Background(), testQueue, firstID, jobs.Spec{Text: "text", Steps: []jobs.Step{step}}); err != nil {
		t.Fatal(err)
	}
	return taskID(firstID, 0, 0)
}

// await polls a condition with the fleet locked, and reports whether it became true within
// awaitTimeout.
func (f *fakeFleet) await(condition func() bool) bool {
	for until := time.Now().Add(awaitTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		isMet := condition()
		f.mu.Unlock()
		if isMet {
			return true
		}
	}
	return false
}

// awaitRunner waits until a task runs and returns the ID of its runner.
func (f *fakeFleet) awaitRunner(t *testing.T, id jobs.TaskID) string {
	t.Helper()
	found := ""
	runs := func() bool {
		for name, r := range f.runners {
			if r.runs[id] != nil && !r.answersNothing {
				found = name
			}
		}
		return found != ""
	}
	if !f.await(runs) {
		t.Fatalf("task %v runs nowhere", id)
	}
	return found
}

// remove removes a runner for good, with all of its runs.
func (f *fakeFleet) remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runners[name]
	r.answersNothing = true
	for id := range r.runs {
		f.running[id]--
	}
	clear(r.runs)
}

// awaitSilence waits until the coordinator knows that a removed runner does not answer: from the second
// failed poll on, no call extends the leases there.
func (f *fakeFleet) awaitSilence(t *testing.T, name string) {
	t.Helper()
	if !f.await(func() bool { return f.runners[name].failedPolls >= 2 }) {
		t.Fatalf("runner %s was not polled twice since it was removed", name)
	}
}

// countRunnersAtEpoch counts the runners whose last accepted poll or order came from the
// coordinator of the given epoch and whose number of polls, see fakeRunner, is at least the
// given one.
func (f *fakeFleet) countRunnersAtEpoch(epoch uint64, polls int) int {
	count := 0
	for _, r := range f.runners {
		if r.token>>generationBits == epoch && r.polls >= polls {
			count++
		}
	}
	return count
}

// awaitEpoch waits until a runner has accepted a poll or an order of the coordinator of an
// epoch.
func (f *fakeFleet) awaitEpoch(t *testing.T, epoch uint64) {
	t.Helper()
	if !f.await(func() bool { return f.countRunnersAtEpoch(epoch, 0) > 0 }) {
		t.Fatalf("no runner has accepted a poll or an order of epoch %d", epoch)
	}
}

// Guards against a takeover after which a long-running task of a lost runner does not run
// for the duration of another whole lease (incident inc1).
func TestPlannedTakeoverDoesNotRestartTheWaitForALostRunner(t *testing.T) {
	f, store, env, clock := newLongRunningFleet(t, 2)
	stop := startCoordinator(env, 1)
	id := submitLongRunningJob(t, store, clock)
	lostID := f.awaitRunner(t, id)
	f.remove(lostID)
	f.awaitSilence(t, lostID)
	clock.advance(env.LeaseDuration / 2)
	stop()
	defer startCoordinator(env, 2)()
	f.awaitEpoch(t, 2)
	clock.advance(env.LeaseDuration/2 + time.Second) // the leases on the lost runner have expired
	f.awaitRunner(t, id)
}

// hangingRunners is a fakeFleet in which one runner is lost. The first poll of it after that
// fails at once. Later polls hang until the context of the poll ends.
type hangingRunners struct {
	*fakeFleet
	hangingID      atomic.Value // string, the lost runner
	pollsAfterLoss atomic.Int32
}

func (h *hangingRunners) Poll(ctx context.Context, request PollRequest) (PollResponse, error) {
	if request.Runner == h.hangingID.Load() && h.pollsAfterLoss.Add(1) > 1 {
		<-ctx.Done()
		return PollResponse{}, ctx.Err()
	}
	return h.fakeFleet.Poll(ctx, request)
}

// Guards against tasks of a lost runner that are not started again although their leases
// have expired, until a poll that hangs times out.
func TestLeaseExpiryIsNoticedWhileACallHangs(t *testing.T) {
	f, store, env, clock := newLongRunningFleet(t, 2)
	runners := &hangingRunners{fakeFleet: f}
	env.Runners = runners
	defer startCoordinator(env, 1)()
	id := submitLongRunningJob(t, store, clock)
	lostID := f.awaitRunner(t, id)
	runners.hangingID.Store(lostID)
	f.remove(lostID)
	for runners.pollsAfterLoss.Load() < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	clock.advance(env.LeaseDuration + time.Second)
	f.awaitRunner(t, id)
}

// Guards against a coordinator that does not know that it has a successor, and starts tasks
// of its own predecessor a second time. The successor may extend leases on runners that this
// coordinator can't reach.
func TestInheritedLeasesExpireOnlyForTheLeaseHolder(t *testing.T) {
	clock := newManualClock(time.Minute)
	coord := &coordinator{core: New(Limits{}, discardLog(), nil), term: leadership.NewTerm(1, clock.now(), clock.now)}
	coord.core.SetInheritedRunners([]InheritedRunner{{ID: "unseen", ExpiredAt: clock.now() + time.Second}}, clock.now())
	clock.advance(leadership.ExclusiveTime)
	coord.expireLeases(clock.now())
	coord.core.Schedule(clock.now(), 0)
	if coord.core.UnresolvedRunners() != 1 {
		t.Error("leases of the predecessor count as expired without the coordinator's lease")
	}
	coord.term = leadership.NewTerm(1, clock.now(), clock.now)
	coord.expireLeases(clock.now())
	if coord.core.UnresolvedRunners() != 0 {
		t.Error("leases of the predecessor have not expired for the holder of the coordinator's lease")
	}
}
