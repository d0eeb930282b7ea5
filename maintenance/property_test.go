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
	testUpkeep = 2 * time.Second
	step       = 100 * time.Millisecond
	// calmFrom is when the simulated faults end; by endBy every wave must be
	// completed.
	calmFrom = 40 * time.Second
	endBy    = 120 * time.Second
)

// simMachine is a machine of the simulated platform.
type simMachine struct {
	runner string
	lives  int
	until  time.Duration // end of its upkeep, zero if it is up
	wave   int           // of the present upkeep
	done   map[int]bool
	token  uint64
	load   Load
}

// sent is a call on its way.
type sent struct {
	call    Call
	token   uint64
	planner *Planner
	sent    time.Duration
	at      time.Duration // when it is carried out
	answer  time.Duration // when the answer arrives, zero if never
	never   bool          // it is lost on its way
}

// sim is a platform with coordinators that take turns.
type sim struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand // nil on a calm platform
	lag      time.Duration
	now      time.Duration
	machines map[string]*simMachine
	waves    []Wave
	history  [][]Machine // machine lists, one a step
	listed   int         // newest entry of history that a list has shown
	calls    []sent
	planner  *Planner
	token    uint64
	record   []byte
	nextLook time.Duration
	late     map[int][]Result // answers to the present planner, by step
}

func (s *sim) chance(p float64) bool { return s.now < calmFrom && s.random.Float64() < p }

// roll returns a random number below n, or n-1 on a calm platform without one.
func (s *sim) roll(n int) int {
	if s.random == nil {
		return n - 1
	}
	return s.random.IntN(n)
}

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{t: t, seed: seed, lag: listLag, random: rand.New(rand.NewPCG(seed, 7)), machines: map[string]*simMachine{}, token: 1, planner: New(testUpkeep), late: map[int][]Result{}}
	var names []string
	for i := range 3 + s.random.IntN(10) {
		names = append(names, fmt.Sprint("m", i))
		s.machines[names[i]] = &simMachine{done: map[int]bool{}, load: Load{Known: true, Runs: s.random.IntN(3)}}
		s.newLife(names[i])
	}
	for n := range 1 + s.random.IntN(2) {
		s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		s.waves = append(s.waves, Wave{Number: n + 1, Machines: slices.Clone(names[:1+s.random.IntN(len(names))]), Within: 30 * time.Second, MaxDown: 1 + s.random.IntN(3)})
	}
	return s
}

// newLife gives a machine a new runner, at times under the name of the last one.
func (s *sim) newLife(id string) {
	m := s.machines[id]
	if m.lives == 0 || s.roll(10) > 1 {
		m.lives++
	}
	m.runner = fmt.Sprintf("%s-r%d", id, m.lives)
}

// ids returns the machines in one order, so that a seed is one sequence of
// events.
func (s *sim) ids() []string { return slices.Sorted(maps.Keys(s.machines)) }

func (s *sim) list() []Machine {
	var list []Machine
	for _, id := range s.ids() {
		m := s.machines[id]
		entry := Machine{ID: id, Runner: m.runner}
		if m.until > 0 {
			entry.State, entry.Runner = Upkeep, ""
		}
		list = append(list, entry)
	}
	return list
}

// execute carries a call out on the platform and checks the limit.
func (s *sim) execute(c sent) Outcome {
	m := s.machines[c.call.Machine]
	if m == nil {
		return NoMachine
	}
	if c.token < m.token {
		return Unanswered // refused by the fence; its planner is deposed
	}
	m.token = c.token
	w := s.waves[c.call.Wave-1]
	switch {
	case !slices.Contains(w.Machines, c.call.Machine):
		return OtherWave
	case m.done[w.Number]:
		return Begun
	case m.until > 0:
		return Busy
	}
	down := 0
	for _, o := range s.machines {
		if o.until > 0 && o.wave == w.Number {
			down++
		}
	}
	if down >= w.MaxDown {
		s.t.Errorf("seed %d, %v: upkeep of %s begins while %d of %d are down", s.seed, s.now, c.call.Machine, down, w.MaxDown)
	}
	m.done[w.Number], m.wave, m.until = true, w.Number, s.now+testUpkeep
	return Begun
}

func (s *sim) advance() {
	s.now += step
	for _, id := range s.ids() {
		m := s.machines[id]
		switch {
		case m.until > 0 && s.now >= m.until:
			m.until = 0
			s.newLife(id)
		case m.until == 0 && s.chance(0.005):
			s.newLife(id)
		}
		m.load.Runs = max(0, m.load.Runs-s.roll(40)/39)
		if s.chance(0.0007) {
			delete(s.machines, id)
		}
	}
	s.history = append(s.history, s.list())
	pending := s.calls
	s.calls = nil
	for _, c := range pending {
		switch {
		case s.now >= c.at:
			outcome := Unanswered
			if !c.never {
				outcome = s.execute(c)
			}
			if c.answer == 0 {
				outcome = Unanswered
			}
			s.deliver(c, outcome)
		default:
			s.calls = append(s.calls, c)
		}
	}
}

// deliver tells the sender the outcome when its answer arrives, or that there is
// none.
func (s *sim) deliver(c sent, outcome Outcome) {
	if c.planner != s.planner || c.answer == 0 {
		return
	}
	at := int(max(c.answer, s.now) / step)
	s.late[at] = append(s.late[at], Result{Call: c.call, Outcome: outcome, Sent: c.sent})
}

// send puts a call on its way. A sender that hears nothing gives up after a
// while, though the call may be carried out later.
func (s *sim) send(c Call, p *Planner, token uint64) {
	x := sent{call: c, token: token, planner: p, sent: s.now, at: s.now + step, answer: s.now + 2*step}
	gaveUp := func() {
		at := int((s.now + 10*step) / step)
		if p == s.planner {
			s.late[at] = append(s.late[at], Result{Call: c, Outcome: Unanswered, Sent: s.now})
		}
	}
	switch {
	case s.chance(0.1):
		if p == s.planner {
			s.late[int(s.now/step)+1] = append(s.late[int(s.now/step)+1], Result{Call: c, Outcome: Limited, Sent: s.now})
		}
		return
	case s.chance(0.1):
		x.answer, x.never = 0, true
		gaveUp()
	case s.chance(0.15): // carried out, the answer is lost
		x.answer = 0
		gaveUp()
	case s.chance(0.15): // carried out late
		x.at, x.answer = s.now+time.Duration(10+s.random.IntN(50))*step, 0
		gaveUp()
	}
	s.calls = append(s.calls, x)
}

func (s *sim) load(runner string) Load {
	for _, m := range s.machines {
		if m.runner == runner && m.until == 0 {
			return m.load
		}
	}
	return Load{Known: true}
}

// takeOver replaces the coordinator. The old one may still send what it has
// recorded.
func (s *sim) takeOver() {
	for _, c := range s.planner.Calls(s.now, 3) {
		if s.random.IntN(2) == 0 {
			s.send(c, nil, s.token)
		}
	}
	s.token++
	s.planner = New(testUpkeep)
	clear(s.late)
	if s.record != nil {
		if _, err := s.planner.Restore(s.record, 0, s.now, s.now+time.Duration(s.random.IntN(30))*step); err != nil {
			s.t.Fatal(err)
		}
	}
	s.nextLook = s.now
}

func (s *sim) tick() {
	if s.chance(0.01) {
		s.takeOver()
	}
	for _, r := range s.late[int(s.now/step)] {
		s.planner.Answered(r, s.now)
	}
	delete(s.late, int(s.now/step))
	s.planner.Request(s.waves, s.now)
	if s.now >= s.nextLook && !s.chance(0.3) {
		s.nextLook = s.now + 5*step
		// A list lags behind, but never goes back.
		s.listed = max(s.listed, len(s.history)-1-s.roll(int(s.lag/step)))
		s.planner.Observe(s.history[s.listed], s.now)
	}
	s.planner.Plan(s.now, s.load)
	change, waits := s.planner.Unrecorded()
	if waits && !s.chance(0.3) {
		data, err := s.planner.Encode(0)
		if err != nil {
			s.t.Fatal(err)
		}
		s.record = data
		if s.chance(0.05) {
			s.takeOver() // the record is durable, its writer gone
			return
		}
		s.planner.Recorded(change)
	}
	for _, c := range s.planner.Calls(s.now, 3) {
		s.send(c, s.planner, s.token)
	}
	s.checkReports()
}

func (s *sim) checkReports() {
	for _, r := range s.planner.Reports() {
		if r.Status != Completed {
			continue
		}
		for _, id := range s.waves[r.Wave-1].Machines {
			if m := s.machines[id]; m != nil && !m.done[r.Wave] {
				s.t.Errorf("seed %d, %v: wave %d completed, upkeep of %s has not begun", s.seed, s.now, r.Wave, id)
			}
		}
	}
}

func (s *sim) completed() bool {
	for _, r := range s.planner.Reports() {
		if r.Status != Completed {
			return false
		}
	}
	return len(s.planner.Reports()) > 0
}

// Whatever is lost, late or taken over, no upkeep begins beyond the limit, no
// wave is completed before each of its machines has begun, and every wave ends.
func TestWavesKeepTheirLimitAndEnd(t *testing.T) {
	for seed := range uint64(1500) {
		s := newSim(t, seed)
		s.history = append(s.history, s.list())
		for s.now < endBy && !t.Failed() {
			s.advance()
			s.tick()
			if s.completed() && len(s.calls) == 0 {
				break
			}
		}
		if !s.completed() {
			t.Errorf("seed %d: waves not completed after %v: %+v", seed, endBy, s.planner.Reports())
		}
		if t.Failed() {
			return
		}
	}
}
