package coordinator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// Steps and faults of chainSimulation.
const (
	chainSeeds    = 60
	chainStep     = 100 * time.Millisecond
	chainSteps    = 500
	chainTasks    = 4
	chainMaxDelay = 12 * time.Second // of a call that is carried out late
)

// simulatedProcess is the process of a runner as the platform describes it: it obeys the newest token, and
// what runs there ends with its lease.
type simulatedProcess struct {
	newestToken uint64
	leaseEnd    time.Duration
	running     map[jobs.TaskID]int // run numbers
}

// obeys reports whether the process carries out a call, and records its token and deadline.
func (p *simulatedProcess) obeys(token uint64, deadline, now time.Duration) bool {
	if token < p.newestToken {
		return false
	}
	p.newestToken = token
	p.leaseEnd = max(p.leaseEnd, deadline)
	return deadline == 0 || now <= deadline
}

// lateStart is a start that is carried out at a time.
type lateStart struct {
	at       time.Duration
	order    Order
	token    uint64
	deadline time.Duration
}

// chainSimulation plays faults of one runner and of the coordinators: starts and polls without an answer,
// late starts, cuts, kills of coordinators in series. The clock of the runner shows the local time.
type chainSimulation struct {
	*chainHarness
	random    *rand.Rand
	process   simulatedProcess
	late      []lateStart
	cutUntil  time.Duration
	takeovers int
}

// chance reports true with a probability.
func (s *chainSimulation) chance(p float64) bool { return s.random.Float64() < p }

// isCut reports whether no call reaches the runner.
func (s *chainSimulation) isCut() bool { return s.clock.now() < s.cutUntil }

// link returns the link to the runner, which it registers if need be and if it can write its entry.
func (s *chainSimulation) link() *link {
	l := s.coordinator.links[testRunnerID]
	if l == nil && !s.isCut() {
		l = s.register()
	}
	return l
}

// cut cuts the runner off for up to 15 s, unless it is cut off already.
func (s *chainSimulation) cut() {
	if !s.isCut() {
		s.cutUntil = s.clock.now() + time.Duration(s.random.IntN(150))*chainStep
	}
}

// runProcess ends what has no lease and carries out late starts.
func (s *chainSimulation) runProcess() {
	now := s.clock.now()
	if now > s.process.leaseEnd {
		clear(s.process.running)
	}
	s.late = slices.DeleteFunc(s.late, func(late lateStart) bool {
		if late.at > now {
			return false
		}
		if s.process.obeys(late.token, late.deadline, now) {
			s.process.running[late.order.Task] = late.order.Run
		}
		return true
	})
}

// poll polls the runner once and applies its report.
func (s *chainSimulation) poll(l *link) {
	now := s.clock.now()
	request := l.nextRequest()
	isCarriedOut := !s.isCut() && s.process.obeys(request.Token, request.Deadline, now)
	if !isCarriedOut || s.chance(0.1) {
		l.recordUnanswered(now)
		s.coordinator.core.MarkRunnerSilent(testRunnerID)
		return
	}
	answer := l.recordAnswer(1, now, now, now, request.Token)
	report := Report{Runner: testRunnerID, Incarnation: 1, Sent: now, CannotExtendLeases: !answer.canExtend, Unfenced: answer.unfenced}
	for task, run := range s.process.running {
		report.Running = append(report.Running, RunStatus{Task: task, Run: run, Percent: 1})
	}
	s.coordinator.core.ApplyReport(report, now)
}

// schedule starts tasks on the runner. Some starts have no answer or are carried out late.
func (s *chainSimulation) schedule(l *link) {
	now := s.clock.now()
	s.coordinator.core.MarkRunnerSilent("other")
	s.coordinator.core.Schedule(now, 0)
	for _, order := range startOrders(s.coordinator.core.TakeOrders()) {
		s.send(l, order)
	}
}

// send sends a start up to three times, until it is answered.
func (s *chainSimulation) send(l *link, order Order) {
	now := s.clock.now()
	repeated := false
	for range 3 {
		target, err := l.findOrderTarget(order)
		if err != nil {
			continue
		}
		isLate := s.chance(0.3)
		if isLate {
			delay := time.Duration(s.random.Int64N(int64(chainMaxDelay)))
			s.late = append(s.late, lateStart{now + delay, order, target.token, target.deadline})
		}
		if isLate || s.isCut() || !s.process.obeys(target.token, target.deadline, now) {
			repeated = true
			l.recordUnansweredOrder(order, now, errors.New("no answer"))
			continue
		}
		s.process.running[order.Task] = order.Run
		if s.chance(0.2) {
			repeated = true
			l.recordUnansweredOrder(order, now, errors.New("no answer"))
			if s.chance(0.3) {
				s.cut()
			}
			continue
		}
		l.recordOrderAnswer(0, now, now)
		s.coordinator.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted, Repeated: repeated}, now)
		return
	}
}

// takeOverByChance kills the coordinator from time to time, mostly soon after the last kill.
func (s *chainSimulation) takeOverByChance() {
	if !s.chance(0.01) && (s.takeovers == 0 || !s.chance(0.04)) {
		return
	}
	s.takeovers++
	s.registered = nil
	if s.chance(0.5) {
		s.registered = []RunnerInfo{testRunner(testRunnerID, 32_000)}
		s.registered[0].Incarnation = 1
	}
	s.clock.advance(time.Duration(s.random.IntN(20)) * chainStep)
	s.takeOver(chainTasks)
}

// step advances the simulation and checks that no task may be started that runs.
func (s *chainSimulation) step(seed uint64) {
	s.clock.advance(chainStep)
	s.runProcess()
	s.takeOverByChance()
	s.runProcess()
	if s.chance(0.005) {
		s.cut()
	}
	if l := s.link(); l != nil {
		if s.chance(0.3) {
			s.poll(l)
		}
		if s.chance(0.2) {
			s.schedule(l)
		}
	}
	if s.chance(0.1) {
		s.coordinator.writeSharedRows(s.clock.now())
		(<-s.coordinator.events).apply(s.coordinator)
	}
	startable := s.startable()
	for task := range s.process.running {
		if slices.Contains(startable, task) {
			s.t.Fatalf("seed %d: task %v may be started %v after the beginning, after %d takeovers, although it runs until %v",
				seed, task, s.clock.now(), s.takeovers, s.process.leaseEnd)
		}
	}
}

// hasStoredExpiry reports whether the stored roster has an expiry for the runner.
func (s *chainSimulation) hasStoredExpiry() bool {
	return slices.ContainsFunc(readStoredRoster(s.t, s.store), func(e rosterEntry) bool { return e.id == testRunnerID && e.expiry > 0 })
}

// loseRunner cuts the runner off for good, and checks that its tasks are startable once each run that a late
// call can have started has ended, counted from when the store has an expiry for the runner.
func (s *chainSimulation) loseRunner(seed uint64) {
	s.cutUntil = time.Duration(1 << 62)
	limit := misdirectedExpiry(maxCallDelay, s.coordinator.env.MaxLeaseDuration) + time.Second
	var storedAt time.Duration
	for len(s.startable()) < chainTasks {
		s.step(seed)
		if storedAt == 0 && s.hasStoredExpiry() {
			storedAt = s.clock.now()
		}
		startable := s.startable()
		if storedAt > 0 && s.clock.now()-storedAt > limit && len(startable) < chainTasks {
			s.t.Fatalf("seed %d: startable are only %v %v after the loss of the runner was stored, after %d takeovers", seed, startable, limit, s.takeovers)
		}
	}
}

// Guards against a task that is started while it runs, and against one that is not startable long after its
// runner was lost for good, whatever the number of takeovers: the successors know too little of their
// predecessors' starts, or hold them for too long (review/11, 13 and 15).
func TestNoTaskIsStartableWhileItRunsInAChainOfTakeovers(t *testing.T) {
	for seed := range uint64(chainSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := &chainSimulation{chainHarness: newChainHarness(t), random: rand.New(rand.NewPCG(seed, 0)), process: simulatedProcess{running: map[jobs.TaskID]int{}}}
			s.coordinator.listedRunners = nil
			s.addJob(chainTasks, false)
			for range chainSteps {
				s.step(seed)
			}
			s.loseRunner(seed)
		})
	}
}
