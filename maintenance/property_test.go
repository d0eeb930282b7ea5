package maintenance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testMaintenanceTime = 2 * time.Second
	simStep             = 100 * time.Millisecond
	// faultsEnd is when the simulated faults end. Every wave must be completed
	// by completionLimit.
	faultsEnd       = 40 * time.Second
	completionLimit = 120 * time.Second
)

// simMachine is a machine of the simulated platform.
type simMachine struct {
	runner         string
	runnerNumber   int           // number of the current runner
	maintenanceEnd time.Duration // end of its maintenance; zero if the machine is up
	wave           int           // of the current maintenance
	maintained     map[int]bool  // by wave: whether its maintenance has begun
	highestToken   uint64        // highest fencing token of the calls received
	load           Load
}

// sentCall is a call that was sent.
type sentCall struct {
	call      Call
	token     uint64
	planner   *Planner
	sentAt    time.Duration
	executeAt time.Duration // when the platform carries it out
	answerAt  time.Duration // when the answer arrives; zero if never
	isLost    bool          // the call never reaches the platform
}

// simulation is a platform whose machines are maintained by a sequence of
// coordinators.
type simulation struct {
	t             *testing.T
	seed          uint64
	random        *rand.Rand    // nil if there are no faults
	listLag       time.Duration // upper limit of the lag of the machine lists
	now           time.Duration
	machines      map[string]*simMachine
	waves         []Wave
	listHistory   [][]Machine // machine lists, one for each step
	lastListed    int         // index in listHistory of the newest list that was returned
	callsInFlight []sentCall
	planner       *Planner
	token         uint64 // fencing token of the current coordinator
	record        []byte // last durable record
	nextListAt    time.Duration
	// resultsByStep holds the results for the current planner, by the step in
	// which they arrive.
	resultsByStep map[int][]Result
}

// chance returns true with probability p, and never after the faults have ended.
func (s *simulation) chance(p float64) bool { return s.now < faultsEnd && s.random.Float64() < p }

// randomBelow returns a random number below n, or n-1 without faults.
func (s *simulation) randomBelow(n int) int {
	if s.random == nil {
		return n - 1
	}
	return s.random.IntN(n)
}

// newSimulation returns a platform with random machines and waves and a first
// coordinator.
func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, seed: seed, listLag: maxListLag, random: rand.New(rand.NewPCG(seed, 7)), machines: map[string]*simMachine{}, token: 1, planner: New(testMaintenanceTime), resultsByStep: map[int][]Result{}}
	var names []string
	for i := range 3 + s.random.IntN(10) {
		names = append(names, fmt.Sprint("m", i))
		s.machines[names[i]] = &simMachine{maintained: map[int]bool{}, load: Load{Known: true, Runs: s.random.IntN(3)}}
		s.startRunner(names[i])
	}
	for index := range 1 + s.random.IntN(2) {
		s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		s.waves = append(s.waves, Wave{Number: index + 1, Machines: slices.Clone(names[:1+s.random.IntN(len(names))]), FinishWithin: 30 * time.Second, MaxDown: 1 + s.random.IntN(3)})
	}
	return s
}

// startRunner starts a new runner on a machine, sometimes under the name of the
// former one.
func (s *simulation) startRunner(id string) {
	m := s.machines[id]
	if m.runnerNumber == 0 || s.randomBelow(10) > 1 {
		m.runnerNumber++
	}
	m.runner = fmt.Sprintf("%s-r%d", id, m.runnerNumber)
}

// machineIDs returns the machines in a fixed order, so that a seed always gives
// the same events.
func (s *simulation) machineIDs() []string { return slices.Sorted(maps.Keys(s.machines)) }

// machineList returns the list of machines as they are now.
func (s *simulation) machineList() []Machine {
	var list []Machine
	for _, id := range s.machineIDs() {
		m := s.machines[id]
		entry := Machine{ID: id, Runner: m.runner}
		if m.maintenanceEnd > 0 {
			entry.State, entry.Runner = UnderMaintenance, ""
		}
		list = append(list, entry)
	}
	return list
}

// execute carries out a call on the platform and checks the limit of machines
// that are down.
func (s *simulation) execute(c sentCall) Outcome {
	m := s.machines[c.call.Machine]
	if m == nil {
		return NoMachine
	}
	if c.token < m.highestToken {
		return Unanswered // the fence refuses the call; its planner was replaced
	}
	m.highestToken = c.token
	w := s.waves[c.call.Wave-1]
	switch {
	case !slices.Contains(w.Machines, c.call.Machine):
		return OtherWave
	case m.maintained[w.Number]:
		return Begun
	case m.maintenanceEnd > 0:
		return Busy
	}
	down := 0
	for _, other := range s.machines {
		if other.maintenanceEnd > 0 && other.wave == w.Number {
			down++
		}
	}
	if down >= w.MaxDown {
		s.t.Errorf("seed %d, %v: maintenance of %s begins while %d of %d are down", s.seed, s.now, c.call.Machine, down, w.MaxDown)
	}
	m.maintained[w.Number], m.wave, m.maintenanceEnd = true, w.Number, s.now+testMaintenanceTime
	return Begun
}

// advance lets one step pass on the platform: maintenance ends, runners
// restart, machines vanish and calls are carried out.
func (s *simulation) advance() {
	s.now += simStep
	for _, id := range s.machineIDs() {
		m := s.machines[id]
		switch {
		case m.maintenanceEnd > 0 && s.now >= m.maintenanceEnd:
			m.maintenanceEnd = 0
			s.startRunner(id)
		case m.maintenanceEnd == 0 && s.chance(0.005):
			s.startRunner(id)
		}
		m.load.Runs = max(0, m.load.Runs-s.randomBelow(40)/39)
		if s.chance(0.0007) {
			delete(s.machines, id)
		}
	}
	s.listHistory = append(s.listHistory, s.machineList())
	pending := s.callsInFlight
	s.callsInFlight = nil
	for _, c := range pending {
		switch {
		case s.now >= c.executeAt:
			outcome := Unanswered
			if !c.isLost {
				outcome = s.execute(c)
			}
			if c.answerAt == 0 {
				outcome = Unanswered
			}
			s.deliver(c, outcome)
		default:
			s.callsInFlight = append(s.callsInFlight, c)
		}
	}
}

// deliver schedules the result of a call for its sender, if the answer is not
// lost and the sender has not been replaced.
func (s *simulation) deliver(c sentCall, outcome Outcome) {
	if c.planner != s.planner || c.answerAt == 0 {
		return
	}
	at := int(max(c.answerAt, s.now) / simStep)
	s.resultsByStep[at] = append(s.resultsByStep[at], Result{Call: c.call, Outcome: outcome, SentAt: c.sentAt})
}

// send sends a call, which may be rate-limited, lost or delayed. A sender
// without an answer gets the outcome Unanswered after ten steps, although the
// call may be carried out later.
func (s *simulation) send(c Call, p *Planner, token uint64) {
	call := sentCall{call: c, token: token, planner: p, sentAt: s.now, executeAt: s.now + simStep, answerAt: s.now + 2*simStep}
	scheduleTimeout := func() {
		at := int((s.now + 10*simStep) / simStep)
		if p == s.planner {
			s.resultsByStep[at] = append(s.resultsByStep[at], Result{Call: c, Outcome: Unanswered, SentAt: s.now})
		}
	}
	switch {
	case s.chance(0.1):
		if p == s.planner {
			s.resultsByStep[int(s.now/simStep)+1] = append(s.resultsByStep[int(s.now/simStep)+1], Result{Call: c, Outcome: RateLimited, SentAt: s.now})
		}
		return
	case s.chance(0.1):
		call.answerAt, call.isLost = 0, true
		scheduleTimeout()
	case s.chance(0.15): // carried out, but the answer is lost
		call.answerAt = 0
		scheduleTimeout()
	case s.chance(0.15): // carried out late
		call.executeAt, call.answerAt = s.now+time.Duration(10+s.random.IntN(50))*simStep, 0
		scheduleTimeout()
	}
	s.callsInFlight = append(s.callsInFlight, call)
}

// load returns the load of a runner.
func (s *simulation) load(runner string) Load {
	for _, m := range s.machines {
		if m.runner == runner && m.maintenanceEnd == 0 {
			return m.load
		}
	}
	return Load{Known: true}
}

// replaceCoordinator starts a new coordinator from the durable record. The
// former one may still send calls that it has recorded.
func (s *simulation) replaceCoordinator() {
	for _, c := range s.planner.TakeCalls(s.now, 3) {
		if s.random.IntN(2) == 0 {
			s.send(c, nil, s.token)
		}
	}
	s.token++
	s.planner = New(testMaintenanceTime)
	clear(s.resultsByStep)
	if s.record != nil {
		if _, err := s.planner.Restore(s.record, exactOffset(0), s.now, s.now+time.Duration(s.random.IntN(30))*simStep); err != nil {
			s.t.Fatal(err)
		}
	}
	s.nextListAt = s.now
}

// coordinate executes one step of the coordinator.
func (s *simulation) coordinate() {
	if s.chance(0.01) {
		s.replaceCoordinator()
	}
	for _, r := range s.resultsByStep[int(s.now/simStep)] {
		s.planner.RecordResult(r, s.now)
	}
	delete(s.resultsByStep, int(s.now/simStep))
	s.planner.SetRequestedWaves(s.waves, s.now)
	if s.now >= s.nextListAt && !s.chance(0.3) {
		s.nextListAt = s.now + 5*simStep
		// A list lags behind the machines but is never older than an earlier
		// one.
		s.lastListed = max(s.lastListed, len(s.listHistory)-1-s.randomBelow(int(s.listLag/simStep)))
		s.planner.RecordMachineList(s.listHistory[s.lastListed], s.now)
	}
	s.planner.Plan(s.now, s.load)
	change, isUnrecorded := s.planner.LastChange()
	if isUnrecorded && !s.chance(0.3) {
		data, err := s.planner.Encode(exactOffset(0), s.now)
		if err != nil {
			s.t.Fatal(err)
		}
		s.record = data
		if s.chance(0.05) {
			s.replaceCoordinator() // the record is durable, but its writer is replaced
			return
		}
		s.planner.MarkRecorded(change)
	}
	for _, c := range s.planner.TakeCalls(s.now, 3) {
		s.send(c, s.planner, s.token)
	}
	s.checkReports()
}

// checkReports checks that a wave is reported as completed only after the
// maintenance of each of its machines has begun.
func (s *simulation) checkReports() {
	for _, r := range s.planner.StatusReports() {
		if r.Status != Completed {
			continue
		}
		for _, id := range s.waves[r.Wave-1].Machines {
			if m := s.machines[id]; m != nil && !m.maintained[r.Wave] {
				s.t.Errorf("seed %d, %v: wave %d completed, maintenance of %s has not begun", s.seed, s.now, r.Wave, id)
			}
		}
	}
}

// allCompleted reports whether all waves are reported as completed.
func (s *simulation) allCompleted() bool {
	for _, r := range s.planner.StatusReports() {
		if r.Status != Completed {
			return false
		}
	}
	return len(s.planner.StatusReports()) > 0
}

// Under lost, late and repeated calls and changes of the coordinator, no more
// machines than the limit go down, no wave is completed before the maintenance
// of each of its machines has begun, and every wave completes.
func TestWavesRespectTheirLimitAndCompleteUnderFaults(t *testing.T) {
	for seed := range uint64(1500) {
		s := newSimulation(t, seed)
		s.listHistory = append(s.listHistory, s.machineList())
		for s.now < completionLimit && !t.Failed() {
			s.advance()
			s.coordinate()
			if s.allCompleted() && len(s.callsInFlight) == 0 {
				break
			}
		}
		if !s.allCompleted() {
			t.Errorf("seed %d: waves not completed after %v: %+v", seed, completionLimit, s.planner.StatusReports())
		}
		if t.Failed() {
			return
		}
	}
}
