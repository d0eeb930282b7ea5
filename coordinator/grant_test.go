package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/leadership"
)

// successionWorld is a coordinator that can't renew its lease any more, the one that
// succeeds it, and runners that each of them reaches at times.
type successionWorld struct {
	random  *rand.Rand
	now     time.Duration
	runners map[string]*leasedRunner
	pending []delivery
	old, in *leader
	fenced  bool
	reaches map[*leader]map[string]bool
	// divided is set if each runner is reached by one of the coordinators only.
	divided bool
}

// leasedRunner is a runner with a clock of its own.
type leasedRunner struct {
	epoch uint64
	rate  float64       // of its clock
	ends  time.Duration // of its lease, on its clock
}

func (r *leasedRunner) clock(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now)*r.rate)
}

// delivery is a call that arrives, or an answer that does.
type delivery struct {
	at  time.Duration
	run func()
}

func newSuccessionWorld(seed uint64) *successionWorld {
	w := &successionWorld{random: rand.New(rand.NewPCG(seed, 9)), now: time.Minute, runners: map[string]*leasedRunner{}, reaches: map[*leader]map[string]bool{}}
	for i := range 3 + w.random.IntN(6) {
		w.runners[fmt.Sprint("r", i)] = &leasedRunner{rate: 1 - 0.02*w.random.Float64()}
	}
	w.old = w.leader(1, leadership.NewTerm(1, w.now, w.clock))
	return w
}

func (w *successionWorld) clock() time.Duration { return w.now }

func (w *successionWorld) leader(epoch uint64, term *leadership.Term) *leader {
	env := Environment{Lease: 8 * time.Second, Clock: w.clock, Log: silentLog(), Count: func(string, int64) {}}
	t := steppedLeader(env, term)
	w.reaches[t] = map[string]bool{}
	return t
}

// connect makes the links of a coordinator.
func (w *successionWorld) connect(t *leader) {
	for id := range w.runners {
		t.core.RunnerSeen(RunnerInfo{ID: id}, w.now)
		t.links[id] = t.linkTo(RunnerInfo{ID: id}, w.now)
		w.reaches[t][id] = true
	}
}

// succeed lets another coordinator take over.
func (w *successionWorld) succeed(renewed time.Duration) {
	term := leadership.NewTerm(2, 24*time.Hour, w.clock)
	seen := renewed + time.Duration(w.random.Int64N(int64(400*time.Millisecond)))
	term.PredecessorRenewed, term.PredecessorActsUntil = seen, seen+leadership.GracePeriod
	w.in = w.leader(2, term)
	w.in.predecessor = predecessor{renewed: term.PredecessorRenewed, gone: term.PredecessorActsUntil, lease: w.in.env.Lease}
	latest := w.in.predecessor.latest(w.now)
	var inherited []InheritedRunner
	for id := range w.runners {
		inherited = append(inherited, InheritedRunner{id, latest})
	}
	w.in.core.Inherit(inherited, latest)
	w.connect(w.in)
	if w.divided = w.random.IntN(4) > 0; w.divided {
		for id := range w.runners {
			w.reaches[w.old][id] = w.random.IntN(3) == 0
			w.reaches[w.in][id] = !w.reaches[w.old][id]
		}
	}
}

func (w *successionWorld) deliver(delay time.Duration, run func()) {
	w.pending = append(w.pending, delivery{w.now + delay, run})
}

// advance moves the clock on, with all that arrives until then.
func (w *successionWorld) advance(d time.Duration) {
	until := w.now + d
	for {
		slices.SortStableFunc(w.pending, func(a, b delivery) int { return int(a.at - b.at) })
		if len(w.pending) == 0 || w.pending[0].at > until {
			break
		}
		next := w.pending[0]
		w.pending = w.pending[1:]
		w.now = max(w.now, next.at)
		next.run()
	}
	w.now = until
}

// call makes one call of a coordinator to a runner.
func (w *successionWorld) call(t *leader, epoch uint64, id string) {
	l, r, sent := t.links[id], w.runners[id], w.now
	h := l.request()
	delay := func() time.Duration { return time.Duration(w.random.Int64N(int64(400 * time.Millisecond))) }
	if !w.reaches[t][id] {
		w.deliver(delay(), func() { l.unanswered(w.now) })
		return
	}
	w.deliver(delay(), func() {
		if r.epoch > epoch {
			w.fenced = true
			return
		}
		r.epoch = epoch
		r.ends = max(r.ends, h.Deadline)
		reading := r.clock(w.now)
		w.deliver(delay(), func() {
			l.answered(1, reading, sent, w.now)
			if epoch == 2 {
				t.core.Report(Report{Runner: id, Incarnation: 1, Sent: sent}, w.now)
			}
		})
	})
}

func (w *successionWorld) step() {
	for id := range w.runners {
		if !w.fenced && w.random.IntN(3) == 0 {
			w.call(w.old, 1, id)
		}
		if w.in != nil && w.random.IntN(3) == 0 {
			w.call(w.in, 2, id)
		}
	}
	w.advance(tickEvery)
	w.old.noteMajority()
	for _, reached := range w.reaches {
		for id := range w.runners {
			if !w.divided && w.random.IntN(40) == 0 {
				reached[id] = w.random.IntN(2) == 0
			}
		}
	}
}

// Guards against a successor that takes the leases of runners which it can't reach as
// lapsed while its predecessor, cut off from the store, goes on granting them.
func TestNoLeaseOutlastsTheBoundOfASuccessor(t *testing.T) {
	early := 0
	for seed := range uint64(1500) {
		w := newSuccessionWorld(seed)
		w.connect(w.old)
		renewed := w.now
		until := w.now + leadership.LeaseDuration + time.Duration(w.random.Int64N(int64(2*time.Second)))
		for w.now < until {
			w.step()
		}
		w.succeed(renewed)
		for w.in.core.Unresolved() > 0 {
			w.step()
			w.in.noteSuccession(w.now)
			before := w.in.core.Roster()
			open := map[string]bool{}
			for _, id := range before {
				_, open[id] = w.in.core.unresolved[id]
			}
			w.in.core.LapseInherited(w.now)
			for id, r := range w.runners {
				if _, still := w.in.core.unresolved[id]; !open[id] || still {
					continue
				}
				if r.clock(w.now) < r.ends {
					t.Fatalf("seed %d: %s holds a lease for %v more", seed, id, r.ends-r.clock(w.now))
				}
				if w.now < renewed+leadership.GracePeriod+2*time.Second {
					early++
				}
			}
		}
	}
	if early == 0 {
		t.Error("no successor was spared the time in which its predecessor may act")
	}
}

// Guards against a task of a runner that is lost together with its coordinator, which
// stands still for the time in which the predecessor might act and a lease beside:
// 18.6 s in a trial on the bench.
func TestRunnerLostWithItsCoordinatorIsNotWaitedForTwice(t *testing.T) {
	f, store, env, clock := lastingFleet(t, 4)
	first, crashed := crashing(env)
	stop := lead(first, 1)
	id := lastingJob(t, store, clock)
	lost := f.awaitRunner(t, id)
	crashed.Store(true)
	f.remove(lost)
	stop()
	at := clock.now()
	clock.advance(leadership.LeaseDuration)
	term := leadership.NewTerm(2, 24*time.Hour, clock.now)
	term.PredecessorRenewed, term.PredecessorActsUntil = at, at+leadership.GracePeriod
	var ticks atomic.Int32
	queues := env.Queues
	env.Queues = func() []jobs.Queue { // asked for at each tick
		ticks.Add(1)
		return queues()
	}
	ctx := t.Context()
	go func() { _ = Lead(ctx, env, term) }()
	f.awaitReached(t, 2, len(f.runners)-1)
	for before := ticks.Load(); ticks.Load() < before+3; {
		time.Sleep(5 * time.Millisecond)
	}
	clock.advance(env.Lease) // 11 s after the loss
	f.awaitRunner(t, id)
}

// awaitReached waits until a number of runners have answered the coordinator of an
// epoch twice: the first answers have been passed on then.
func (f *fleet) awaitReached(t *testing.T, epoch uint64, runners int) {
	t.Helper()
	if !f.await(func() bool { return f.obeying(epoch, 2) >= runners }) {
		t.Fatalf("fewer than %d runners obey epoch %d", runners, epoch)
	}
}

// Guards against a bound that is too early for the slowest clock that a runner may
// have.
func TestLapseOfAPredecessorAllowsForASlowClock(t *testing.T) {
	p := predecessor{renewed: time.Minute, gone: time.Minute + leadership.GracePeriod, lease: 8 * time.Second}
	granted := 8*time.Second + renewalSlack
	if least := p.renewed + granted*100/(100-clockDrift); p.whileRenewed() < least {
		t.Errorf("lapsed at %v, want at least %v", p.whileRenewed(), least)
	}
	if least := p.gone + aloneLease*100/(100-clockDrift); p.latest(p.renewed) < least {
		t.Errorf("lapsed at %v without a majority, want at least %v", p.latest(p.renewed), least)
	}
	if least := p.gone + time.Second + p.lease*100/(100-clockDrift); p.latest(p.gone+time.Second) < least {
		t.Errorf("lapsed at %v after a release, want at least %v", p.latest(p.gone+time.Second), least)
	}
}
