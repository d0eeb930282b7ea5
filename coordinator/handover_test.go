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
func startClock(reading time.Duration) *manualClock {
	c := &manualClock{}
	c.advance(reading)
	return c
}

// patience ends a test whose awaited state does not come.
const patience = 5 * time.Second

// lead runs a term whose lease never runs out. The returned function stops it as
// a planned stop does.
func lead(env Environment, epoch uint64) (stop func()) {
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

// steppedLeader returns a leader without its loop, for tests that call its steps
// themselves.
func steppedLeader(env Environment, term *leadership.Term) *leader {
	return &leader{env: env, core: New(Limits{}, silentLog(), nil), term: term,
		links: map[string]*link{}, sharedRows: map[rowstore.Key]string{}, expiries: map[string]recordedExpiry{}}
}

// crashing returns a copy of an environment and a flag. Once the flag is set, the copy's
// store refuses writes, as if its coordinator had crashed.
func crashing(env Environment) (Environment, *atomic.Bool) {
	crashed := new(atomic.Bool)
	env.Store = refusing{env.Store, crashed}
	return env, crashed
}

// refusing is a store that refuses writes once a flag is set.
type refusing struct {
	rowstore.Store
	refuses *atomic.Bool
}

func (s refusing) Commit(ctx context.Context, tx rowstore.Transaction) (uint64, error) {
	if s.refuses.Load() {
		return 0, rowstore.ErrRefused
	}
	return s.Store.Commit(ctx, tx)
}

// lastingFleet is a deployment of runners whose tasks don't end, on a clock that only
// the test moves.
func lastingFleet(t *testing.T, runners int) (*fleet, *rowstore.Memory, Environment, *manualClock) {
	t.Helper()
	f := newFleet(runners, 1)
	f.runTime = time.Hour
	store, env := deployment(t, f)
	clock := startClock(time.Minute)
	env.Clock, env.StoreClock = clock.now, clock.now
	return f, store, env, clock
}

// lastingJob submits a job with one long-running task.
func lastingJob(t *testing.T, store rowstore.Store, clock *manualClock) jobs.TaskID {
	t.Helper()
	g := &gateway.Gateway{Store: store, Clock: clock.now}
	step := plain(1, 1000)
	step.LongRunning = true
	if err := g.Submit(context.Background(), renders, firstID, jobs.Spec{Text: "text", Steps: []jobs.Step{step}}); err != nil {
		t.Fatal(err)
	}
	return task(firstID, 0, 0)
}

// await polls a condition, with the fleet locked, and reports whether it came to hold
// in time.
func (f *fleet) await(condition func() bool) bool {
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		holds := condition()
		f.mu.Unlock()
		if holds {
			return true
		}
	}
	return false
}

// awaitRunner returns the runner on which a task runs.
func (f *fleet) awaitRunner(t *testing.T, id jobs.TaskID) string {
	t.Helper()
	found := ""
	runs := func() bool {
		for name, r := range f.runners {
			if r.runs[id] != nil && !r.gone {
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

// remove takes a runner away for good, with all that it runs.
func (f *fleet) remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runners[name]
	r.gone = true
	for id := range r.runs {
		f.running[id]--
	}
	clear(r.runs)
}

// obeying counts the runners that obey the coordinator of an epoch and have been called
// by it for their lists at least a number of times.
func (f *fleet) obeying(epoch uint64, calls int) int {
	n := 0
	for _, r := range f.runners {
		if r.epoch == epoch && r.holds >= calls {
			n++
		}
	}
	return n
}

// awaitEpoch waits until a runner has obeyed the coordinator of an epoch.
func (f *fleet) awaitEpoch(t *testing.T, epoch uint64) {
	t.Helper()
	if !f.await(func() bool { return f.obeying(epoch, 0) > 0 }) {
		t.Fatalf("no runner obeys epoch %d", epoch)
	}
}

// Guards against a long-running task of a lost runner that stands still for the
// whole lease again after each takeover (incident inc1).
func TestPlannedTakeoverDoesNotWaitAnewForLostRunner(t *testing.T) {
	f, store, env, clock := lastingFleet(t, 2)
	stop := lead(env, 1)
	id := lastingJob(t, store, clock)
	f.remove(f.awaitRunner(t, id))
	clock.advance(env.Lease / 2)
	stop()
	defer lead(env, 2)()
	f.awaitEpoch(t, 2)
	clock.advance(env.Lease/2 + time.Second) // the leases of the lost runner have lapsed
	f.awaitRunner(t, id)
}

// hanging are runners of which one answers no call for as long as the caller waits,
// but for the first one after it was lost.
type hanging struct {
	*fleet
	lost  atomic.Value // string
	calls atomic.Int32
}

func (h *hanging) Hold(ctx context.Context, r HoldRequest) (HoldResponse, error) {
	if r.Runner == h.lost.Load() && h.calls.Add(1) > 1 {
		<-ctx.Done()
		return HoldResponse{}, ctx.Err()
	}
	return h.fleet.Hold(ctx, r)
}

// Guards against tasks of a lost runner that stand still beyond their leases, until
// a call that hangs times out.
func TestLapseIsNoticedWhileACallHangs(t *testing.T) {
	f, store, env, clock := lastingFleet(t, 2)
	runners := &hanging{fleet: f}
	env.Runners = runners
	defer lead(env, 1)()
	id := lastingJob(t, store, clock)
	lost := f.awaitRunner(t, id)
	runners.lost.Store(lost)
	f.remove(lost)
	for runners.calls.Load() < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	clock.advance(env.Lease + time.Second)
	f.awaitRunner(t, id)
}

// Guards against tasks of a predecessor that are started a second time by a
// coordinator which has been succeeded itself without knowing: the successor may
// extend leases on runners that this one can't reach.
func TestInheritedLeasesLapseOnlyForTheHolderOfTheLease(t *testing.T) {
	clock := startClock(time.Minute)
	tn := &leader{core: New(Limits{}, silentLog(), nil), term: leadership.NewTerm(1, clock.now(), clock.now)}
	tn.core.Inherit([]InheritedRunner{{"unseen", clock.now() + time.Second}}, clock.now())
	clock.advance(leadership.ExclusiveTime)
	tn.lapse(clock.now())
	tn.core.Schedule(clock.now(), 0)
	if tn.core.Unresolved() != 1 {
		t.Error("leases of the predecessor count as lapsed without the lease")
	}
	tn.term = leadership.NewTerm(1, clock.now(), clock.now)
	tn.lapse(clock.now())
	if tn.core.Unresolved() != 0 {
		t.Error("leases of the predecessor have not lapsed for the holder of the lease")
	}
}
