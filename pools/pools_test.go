package pools

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const tick = 100 * time.Millisecond

// yard is a platform whose moves take moveTime.
type yard struct {
	*Planner
	now      time.Duration
	pools    map[string]*Pool
	machines map[string]*Machine
	arrives  map[string]time.Duration
	moves    []Move
}

const moveTime = 1500 * time.Millisecond

func newYard(busy, standby int) *yard {
	y := &yard{Planner: New(), now: time.Minute, machines: map[string]*Machine{}, arrives: map[string]time.Duration{},
		pools: map[string]*Pool{"a": {Name: "a"}, "b": {Name: "b"}, "off": {Name: "off", Standby: true}}}
	for i := range busy {
		y.add(fmt.Sprint("a", i), "a", "")
	}
	for i := range standby {
		y.add(fmt.Sprint("s", i), "off", "off")
	}
	return y
}

func (y *yard) add(id, pool, home string) {
	y.machines[id] = &Machine{ID: id, Pool: pool, Home: home, Kind: "k", Ready: true, Idle: pool == "off", CapacityMilli: 1000}
}

// run lets a time pass.
func (y *yard) run(d time.Duration) {
	for end := y.now + d; y.now < end; y.now += tick {
		var pools []Pool
		for _, p := range y.pools {
			pools = append(pools, *p)
		}
		var machines []Machine
		for id, m := range y.machines {
			if at := y.arrives[id]; at > 0 && y.now >= at {
				m.Ready, y.arrives[id] = true, 0
			}
			machines = append(machines, *m)
		}
		y.Observe(pools, machines, y.now)
		if move, ok := y.Next(y.now); ok {
			m := y.machines[move.Machine]
			m.Pool, m.Ready, m.Idle = move.Pool, false, true
			y.arrives[move.Machine] = y.now + moveTime
			y.moves = append(y.moves, move)
		}
	}
}

// A wait that ends by itself is not worth the price of a move.
func TestShortWaitsMoveNothing(t *testing.T) {
	y := newYard(1, 2)
	for range 5 {
		y.pools["a"].WaitingMilli = 1000
		y.run(shortTime - tick)
		y.pools["a"].WaitingMilli = 0
		y.run(time.Second)
	}
	y.pools["a"].WaitingMilli = 1000*worthPercent/100 - 1
	y.run(time.Minute)
	if len(y.moves) > 0 {
		t.Errorf("moved %v", y.moves)
	}
}

// Waiting work gets as many machines as it needs and no more: each is paid for.
func TestWaitingWorkGetsTheMachinesItNeeds(t *testing.T) {
	for waiting, want := range map[int64]int{900: 1, 1300: 1, 1800: 2} {
		y := newYard(1, 4)
		y.pools["a"].WaitingMilli = waiting
		y.run(shortTime + 2*moveGap)
		y.pools["a"].WaitingMilli = 0
		y.run(2 * time.Second)
		if len(y.moves) != want {
			t.Errorf("%d waiting: moved %v", waiting, y.moves)
		}
	}
}

// Idle machines return, but not before minStay, or a swinging load would move them
// to and fro.
func TestIdleMachinesReturnLate(t *testing.T) {
	y := newYard(1, 1)
	y.pools["a"].WaitingMilli = 1000
	y.run(shortTime + tick)
	y.pools["a"].WaitingMilli = 0
	y.run(minStay - tick)
	if len(y.moves) != 1 {
		t.Fatalf("moved %v", y.moves)
	}
	y.run(2 * time.Second)
	if len(y.moves) != 2 || y.moves[1].Pool != "off" {
		t.Errorf("moved %v", y.moves)
	}
}

// A machine that is paid for and idle goes before one on standby.
func TestIdleMachinesOfOtherServicesGoFirst(t *testing.T) {
	y := newYard(0, 1)
	y.add("b0", "b", "")
	y.machines["b0"].Idle = true
	y.run(idleTime)
	y.pools["a"].WaitingMilli = 1000
	y.run(shortTime + tick)
	if len(y.moves) != 1 || y.moves[0].Machine != "b0" {
		t.Errorf("moved %v", y.moves)
	}
}

// A pool that doesn't take a kind of machine must not be offered it again.
func TestBarredKindsAreNotOfferedAgain(t *testing.T) {
	y := newYard(0, 2)
	y.pools["a"].WaitingMilli = 1000
	y.run(shortTime)
	y.Observe([]Pool{*y.pools["a"], *y.pools["off"]}, []Machine{*y.machines["s0"], *y.machines["s1"]}, y.now)
	move, ok := y.Next(y.now)
	if !ok {
		t.Fatal("no move")
	}
	y.Refused(move, true)
	y.run(10 * time.Second)
	if len(y.moves) > 0 {
		t.Errorf("moved %v", y.moves)
	}
}

// Under any load no machine moves that isn't idle, none moves twice within
// minStay, and standby machines are home again once nothing waits.
func TestMovesUnderRandomLoad(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		y := newYard(3, 3)
		last := map[string]time.Duration{}
		for range 300 {
			for _, name := range []string{"a", "b"} {
				if random.IntN(10) == 0 {
					y.pools[name].WaitingMilli = int64(random.IntN(3)) * 900
				}
			}
			for i := range 3 {
				for _, id := range []string{fmt.Sprint("a", i), fmt.Sprint("s", i)} {
					if m := y.machines[id]; m.Ready && !y.pools[m.Pool].Standby && random.IntN(30) == 0 {
						m.Idle = !m.Idle
					}
				}
			}
			idle := map[string]bool{}
			for id, m := range y.machines {
				idle[id] = m.Idle
			}
			before := len(y.moves)
			y.run(tick)
			for _, m := range y.moves[before:] {
				if !idle[m.Machine] || last[m.Machine] > 0 && y.now-last[m.Machine] < minStay {
					t.Fatalf("seed %d: moved %v, idle %v, last at %v, now %v", seed, m, idle[m.Machine], last[m.Machine], y.now)
				}
				last[m.Machine] = y.now
			}
		}
		for _, m := range y.machines {
			m.Idle = m.Idle || m.Home != ""
		}
		y.pools["a"].WaitingMilli, y.pools["b"].WaitingMilli = 0, 0
		y.run(2 * minStay)
		for id, m := range y.machines {
			if m.Home != "" && m.Pool != m.Home {
				t.Errorf("seed %d: %s is in %s", seed, id, m.Pool)
			}
		}
	}
}
