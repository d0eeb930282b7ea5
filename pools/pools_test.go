package pools

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const tick = 100 * time.Millisecond

// simulation is a platform on which each move takes moveTime.
type simulation struct {
	*Planner
	now       time.Duration
	pools     map[string]*Pool
	machines  map[string]*Machine
	arrivesAt map[string]time.Duration
	moves     []Move
}

const moveTime = 1500 * time.Millisecond

func newSimulation(active, standby int) *simulation {
	sim := &simulation{Planner: New(), now: time.Minute, machines: map[string]*Machine{}, arrivesAt: map[string]time.Duration{},
		pools: map[string]*Pool{"a": {Name: "a"}, "b": {Name: "b"}, "off": {Name: "off", Standby: true}}}
	for i := range active {
		sim.add(fmt.Sprint("a", i), "a", "")
	}
	for i := range standby {
		sim.add(fmt.Sprint("s", i), "off", "off")
	}
	return sim
}

func (sim *simulation) add(id, pool, home string) {
	sim.machines[id] = &Machine{ID: id, Pool: pool, Home: home, Kind: "k", Ready: true, Idle: pool == "off", CapacityMilli: 1000}
}

// run advances the clock by d and carries out the moves that the planner
// orders.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; sim.now += tick {
		var pools []Pool
		for _, p := range sim.pools {
			pools = append(pools, *p)
		}
		var machines []Machine
		for id, m := range sim.machines {
			if at := sim.arrivesAt[id]; at > 0 && sim.now >= at {
				m.Ready, sim.arrivesAt[id] = true, 0
			}
			machines = append(machines, *m)
		}
		sim.Observe(pools, machines, sim.now)
		if move, ok := sim.NextMove(sim.now); ok {
			m := sim.machines[move.Machine]
			m.Pool, m.Ready, m.Idle = move.Pool, false, true
			sim.arrivesAt[move.Machine] = sim.now + moveTime
			sim.moves = append(sim.moves, move)
		}
	}
}

// Guards against moving a machine because of a wait that ends by itself, or for
// too little work: a move costs more than that.
func TestShortWaitsMoveNothing(t *testing.T) {
	sim := newSimulation(1, 2)
	for range 5 {
		sim.pools["a"].WaitingMilli = 1000
		sim.run(shortageDelay - tick)
		sim.pools["a"].WaitingMilli = 0
		sim.run(time.Second)
	}
	sim.pools["a"].WaitingMilli = 1000*minMachineUsePercent/100 - 1
	sim.run(time.Minute)
	if len(sim.moves) > 0 {
		t.Errorf("moved %v", sim.moves)
	}
}

// Guards against giving waiting work too few machines or more than it needs;
// each machine in a pool costs money.
func TestWaitingWorkGetsTheMachinesItNeeds(t *testing.T) {
	for waiting, want := range map[int64]int{900: 1, 1300: 1, 1800: 2} {
		sim := newSimulation(1, 4)
		sim.pools["a"].WaitingMilli = waiting
		sim.run(shortageDelay + 2*minMoveInterval)
		sim.pools["a"].WaitingMilli = 0
		sim.run(2 * time.Second)
		if len(sim.moves) != want {
			t.Errorf("%d waiting: moved %v", waiting, sim.moves)
		}
	}
}

// Guards against idle machines that do not return, and against returning them
// before minStay, which would move machines back and forth under an oscillating
// load.
func TestIdleMachinesReturnAfterMinStay(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.pools["a"].WaitingMilli = 1000
	sim.run(shortageDelay + tick)
	sim.pools["a"].WaitingMilli = 0
	sim.run(minStay - tick)
	if len(sim.moves) != 1 {
		t.Fatalf("moved %v", sim.moves)
	}
	sim.run(2 * time.Second)
	if len(sim.moves) != 2 || sim.moves[1].Pool != "off" {
		t.Errorf("moved %v", sim.moves)
	}
}

// Guards against starting a machine from standby while a machine of another
// service is idle and already paid for.
func TestIdleMachinesOfOtherServicesMoveBeforeStandbyMachines(t *testing.T) {
	sim := newSimulation(0, 1)
	sim.add("b0", "b", "")
	sim.machines["b0"].Idle = true
	sim.run(idleDelay)
	sim.pools["a"].WaitingMilli = 1000
	sim.run(shortageDelay + tick)
	if len(sim.moves) != 1 || sim.moves[0].Machine != "b0" {
		t.Errorf("moved %v", sim.moves)
	}
}

// Guards against ordering another move of a machine kind that the pool has
// rejected.
func TestRejectedKindsAreNotMovedAgain(t *testing.T) {
	sim := newSimulation(0, 2)
	sim.pools["a"].WaitingMilli = 1000
	sim.run(shortageDelay)
	sim.Observe([]Pool{*sim.pools["a"], *sim.pools["off"]}, []Machine{*sim.machines["s0"], *sim.machines["s1"]}, sim.now)
	move, ok := sim.NextMove(sim.now)
	if !ok {
		t.Fatal("no move")
	}
	sim.RecordRefusedMove(move, true)
	sim.run(10 * time.Second)
	if len(sim.moves) > 0 {
		t.Errorf("moved %v", sim.moves)
	}
}

// Guards against moving a machine that is not idle, against moving a machine
// twice within minStay, and against standby machines that do not return home
// when no work waits.
func TestOnlyIdleMachinesMoveUnderRandomLoad(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		sim := newSimulation(3, 3)
		last := map[string]time.Duration{}
		for range 300 {
			for _, name := range []string{"a", "b"} {
				if random.IntN(10) == 0 {
					sim.pools[name].WaitingMilli = int64(random.IntN(3)) * 900
				}
			}
			for i := range 3 {
				for _, id := range []string{fmt.Sprint("a", i), fmt.Sprint("s", i)} {
					if m := sim.machines[id]; m.Ready && !sim.pools[m.Pool].Standby && random.IntN(30) == 0 {
						m.Idle = !m.Idle
					}
				}
			}
			idle := map[string]bool{}
			for id, m := range sim.machines {
				idle[id] = m.Idle
			}
			before := len(sim.moves)
			sim.run(tick)
			for _, m := range sim.moves[before:] {
				if !idle[m.Machine] || last[m.Machine] > 0 && sim.now-last[m.Machine] < minStay {
					t.Fatalf("seed %d: moved %v, idle %v, last at %v, now %v", seed, m, idle[m.Machine], last[m.Machine], sim.now)
				}
				last[m.Machine] = sim.now
			}
		}
		for _, m := range sim.machines {
			m.Idle = m.Idle || m.Home != ""
		}
		sim.pools["a"].WaitingMilli, sim.pools["b"].WaitingMilli = 0, 0
		sim.run(2 * minStay)
		for id, m := range sim.machines {
			if m.Home != "" && m.Pool != m.Home {
				t.Errorf("seed %d: %s is in %s", seed, id, m.Pool)
			}
		}
	}
}
