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

// successionSimulation holds a coordinator that can't renew its lease any more, its
// successor, and runners. Each coordinator can reach each runner only at times.
type successionSimulation struct {
	random                 *rand.Rand
	now                    time.Duration
	runners                map[string]*leasedRunner
	deliveries             []delivery
	predecessor, successor *coordinator
	isFenced               bool                             // a runner has refused the predecessor
	reachable              map[*coordinator]map[string]bool // by coordinator and runner ID
	// isPartitioned is set if each runner can be reached by only one of the coordinators,
	// always the same.
	isPartitioned bool
}

// leasedRunner is a runner whose clock may run slower than those of the coordinators.
type leasedRunner struct {
	epoch     uint64
	clockRate float64       // speed of its clock relative to those of the coordinators
	leaseEnd  time.Duration // on its clock
}

func (r *leasedRunner) clock(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now)*r.clockRate)
}

// delivery is a poll or an answer that arrives at a time.
type delivery struct {
	arrivesAt time.Duration
	deliver   func()
}

func newSuccessionSimulation(seed uint64) *successionSimulation {
	sim := &successionSimulation{random: rand.New(rand.NewPCG(seed, 9)), now: time.Minute, runners: map[string]*leasedRunner{}, reachable: map[*coordinator]map[string]bool{}}
	for i := range 3 + sim.random.IntN(6) {
		sim.runners[fmt.Sprint("r", i)] = &leasedRunner{clockRate: 1 - 0.02*sim.random.Float64()}
	}
	sim.predecessor = sim.newCoordinator(1, leadership.NewTerm(1, sim.now, sim.clock))
	return sim
}

func (sim *successionSimulation) clock() time.Duration { return sim.now }

func (sim *successionSimulation) newCoordinator(epoch uint64, term *leadership.Term) *coordinator {
	env := Environment{LeaseDuration: 8 * time.Second, Clock: sim.clock, Log: discardLog(), Count: func(string, int64) {}}
	coord := newCoordinatorWithoutLoop(env, term)
	coord.listedRunners = runnerSet{}
	for id := range sim.runners {
		coord.listedRunners[id] = struct{}{}
	}
	sim.reachable[coord] = map[string]bool{}
	return coord
}

// connect creates links from a coordinator to all runners.
func (sim *successionSimulation) connect(coord *coordinator) {
	for id := range sim.runners {
		coord.core.UpdateRunner(RunnerInfo{ID: id}, sim.now)
		coord.links[id] = coord.createLink(RunnerInfo{ID: id}, sim.now)
		sim.reachable[coord][id] = true
	}
}

// startSuccessor lets another coordinator take over. The predecessor renewed its lease for
// the last time at renewed. The successor assumes a time up to 400 ms later.
func (sim *successionSimulation) startSuccessor(renewed time.Duration) {
	term := leadership.NewTerm(2, 24*time.Hour, sim.clock)
	lastRenewal := renewed + time.Duration(sim.random.Int64N(int64(400*time.Millisecond)))
	term.PredecessorLastRenewal, term.PredecessorActsUntil = lastRenewal, lastRenewal+leadership.GracePeriod
	sim.successor = sim.newCoordinator(2, term)
	sim.successor.predecessor = predecessor{lastRenewal: term.PredecessorLastRenewal, actingUntil: term.PredecessorActsUntil, leaseDuration: sim.successor.env.LeaseDuration}
	latest := sim.successor.predecessor.latestExpiry(sim.now)
	var inherited []InheritedRunner
	for id := range sim.runners {
		inherited = append(inherited, InheritedRunner{ID: id, ExpiredAt: latest})
	}
	sim.successor.core.SetInheritedRunners(inherited, latest)
	sim.connect(sim.successor)
	if sim.isPartitioned = sim.random.IntN(4) > 0; sim.isPartitioned {
		for id := range sim.runners {
			sim.reachable[sim.predecessor][id] = sim.random.IntN(3) == 0
			sim.reachable[sim.successor][id] = !sim.reachable[sim.predecessor][id]
		}
	}
}

// scheduleDelivery lets a poll or an answer arrive after a delay.
func (sim *successionSimulation) scheduleDelivery(delay time.Duration, run func()) {
	sim.deliveries = append(sim.deliveries, delivery{sim.now + delay, run})
}

// advance moves the clock forward and delivers all that arrives meanwhile.
func (sim *successionSimulation) advance(d time.Duration) {
	until := sim.now + d
	for {
		slices.SortStableFunc(sim.deliveries, func(a, b delivery) int { return int(a.arrivesAt - b.arrivesAt) })
		if len(sim.deliveries) == 0 || sim.deliveries[0].arrivesAt > until {
			break
		}
		next := sim.deliveries[0]
		sim.deliveries = sim.deliveries[1:]
		sim.now = max(sim.now, next.arrivesAt)
		next.deliver()
	}
	sim.now = until
}

// pollRunner sends one poll of a coordinator to a runner, if the runner can be reached.
func (sim *successionSimulation) pollRunner(coord *coordinator, epoch uint64, id string) {
	l, r, sent := coord.links[id], sim.runners[id], sim.now
	request := l.nextRequest()
	delay := func() time.Duration { return time.Duration(sim.random.Int64N(int64(400 * time.Millisecond))) }
	if !sim.reachable[coord][id] {
		sim.scheduleDelivery(delay(), func() { l.recordUnanswered(sim.now) })
		return
	}
	sim.scheduleDelivery(delay(), func() {
		if r.epoch > epoch {
			sim.isFenced = true
			return
		}
		r.epoch = epoch
		r.leaseEnd = max(r.leaseEnd, request.Deadline)
		reading := r.clock(sim.now)
		sim.scheduleDelivery(delay(), func() {
			l.recordAnswer(1, reading, sent, sim.now, l.token())
			if epoch == 2 {
				coord.core.ApplyReport(Report{Runner: id, Incarnation: 1, Sent: sent}, sim.now)
			}
		})
	})
}

// step lets the coordinators poll some of the runners, moves the clock forward by a tick and
// changes at random which runners can be reached.
func (sim *successionSimulation) step() {
	for id := range sim.runners {
		if !sim.isFenced && sim.random.IntN(3) == 0 {
			sim.pollRunner(sim.predecessor, 1, id)
		}
		if sim.successor != nil && sim.random.IntN(3) == 0 {
			sim.pollRunner(sim.successor, 2, id)
		}
	}
	sim.advance(tickInterval)
	sim.predecessor.updateMajority()
	for _, reachableRunners := range sim.reachable {
		for id := range sim.runners {
			if !sim.isPartitioned && sim.random.IntN(40) == 0 {
				reachableRunners[id] = sim.random.IntN(2) == 0
			}
		}
	}
}

// Guards against a successor that takes the leases on runners which it can't reach as
// expired, while its predecessor can't reach the store and goes on granting them.
func TestSuccessorExpiresNoLeaseThatARunnerStillHolds(t *testing.T) {
	earlyExpiries := 0
	for seed := range uint64(1500) {
		sim := newSuccessionSimulation(seed)
		sim.connect(sim.predecessor)
		renewed := sim.now
		until := sim.now + leadership.LeaseDuration + time.Duration(sim.random.Int64N(int64(2*time.Second)))
		for sim.now < until {
			sim.step()
		}
		sim.startSuccessor(renewed)
		for sim.successor.core.UnresolvedRunners() > 0 {
			sim.step()
			sim.successor.lowerInheritedExpiries(sim.now)
			roster := sim.successor.core.Roster()
			wasUnresolved := map[string]bool{}
			for _, id := range roster {
				_, wasUnresolved[id] = sim.successor.core.unresolved[id]
			}
			sim.successor.core.ResolveExpiredRunners(sim.now, sim.successor.hasAnswered)
			for id, r := range sim.runners {
				if _, isUnresolved := sim.successor.core.unresolved[id]; !wasUnresolved[id] || isUnresolved {
					continue
				}
				if r.clock(sim.now) < r.leaseEnd {
					t.Fatalf("seed %d: %s holds a lease for %v more", seed, id, r.leaseEnd-r.clock(sim.now))
				}
				if sim.now < renewed+leadership.GracePeriod+2*time.Second {
					earlyExpiries++
				}
			}
		}
	}
	if earlyExpiries == 0 {
		t.Error("no successor resolved a runner before its predecessor could no longer act")
	}
}

// Guards against waiting too long for a runner that is lost together with its coordinator.
// In a run on the test bench, a task of such a runner did not run for 18.6 s: for the time
// in which the predecessor might still act, and then for another lease.
func TestRunnerLostWithItsCoordinatorIsNotWaitedForTwice(t *testing.T) {
	f, store, env, clock := newLongRunningFleet(t, 4)
	firstEnv, crashed := crashableEnvironment(env)
	stop := startCoordinator(firstEnv, 1)
	id := submitLongRunningJob(t, store, clock)
	lostID := f.awaitRunner(t, id)
	crashed.Store(true)
	f.remove(lostID)
	stop()
	crashedAt := clock.now()
	clock.advance(leadership.LeaseDuration)
	term := leadership.NewTerm(2, 24*time.Hour, clock.now)
	term.PredecessorLastRenewal, term.PredecessorActsUntil = crashedAt, crashedAt+leadership.GracePeriod
	var ticks atomic.Int32
	queues := env.Queues
	env.Queues = func() []jobs.Queue { // called at each tick
		ticks.Add(1)
		return queues()
	}
	ctx := t.Context()
	go func() { _ = Lead(ctx, env, term) }()
	f.awaitRunnersAnswered(t, 2, len(f.runners)-1)
	for before := ticks.Load(); ticks.Load() < before+3; {
		time.Sleep(5 * time.Millisecond)
	}
	clock.advance(env.LeaseDuration) // 11 s after the loss
	f.awaitRunner(t, id)
}

// awaitRunnersAnswered waits until a number of runners have answered the coordinator of an
// epoch twice: by then their first answers have been posted.
func (f *fakeFleet) awaitRunnersAnswered(t *testing.T, epoch uint64, runners int) {
	t.Helper()
	if !f.await(func() bool { return f.countRunnersAtEpoch(epoch, 2) >= runners }) {
		t.Fatalf("fewer than %d runners answered two polls of epoch %d", runners, epoch)
	}
}

// Guards against inherited leases that count as expired too early for a runner with the
// slowest clock that is allowed.
func TestPredecessorExpiryAllowsForSlowClock(t *testing.T) {
	p := predecessor{lastRenewal: time.Minute, actingUntil: time.Minute + leadership.GracePeriod, leaseDuration: 8 * time.Second}
	duration := 8*time.Second + renewalSlack
	if minExpiry := p.lastRenewal + duration*100/(100-maxClockDriftPercent); p.renewedLeaseExpiry() < minExpiry {
		t.Errorf("expired at %v, want at least %v", p.renewedLeaseExpiry(), minExpiry)
	}
	if minExpiry := p.actingUntil + majorityLease*100/(100-maxClockDriftPercent); p.latestExpiry(p.lastRenewal) < minExpiry {
		t.Errorf("expired at %v with a majority until the end, want at least %v", p.latestExpiry(p.lastRenewal), minExpiry)
	}
	if minExpiry := p.actingUntil + time.Second + p.leaseDuration*100/(100-maxClockDriftPercent); p.latestExpiry(p.actingUntil+time.Second) < minExpiry {
		t.Errorf("expired at %v after a release, want at least %v", p.latestExpiry(p.actingUntil+time.Second), minExpiry)
	}
}
