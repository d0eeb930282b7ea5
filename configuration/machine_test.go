package configuration

import (
	"fmt"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"bergamotstile/proptest"
	"bergamotstile/structs"
)

func init() { proptest.Fix() }

// machine drives several instances against one table through faults, and
// checks after each step what P9 promises.
type machine struct {
	c        *cluster
	applies  int
	notRun   map[string]bool
	accepted map[string]uint64
	floor    map[*Store]uint64
}

func (m *machine) pick(t *rapid.T) *instance {
	return rapid.SampledFrom(m.c.instances).Draw(t, "instance")
}

func (m *machine) operator() string {
	m.applies++
	return fmt.Sprint("operator-", m.applies)
}

// drawFaults sets what happens to the next commits of an instance.
func (m *machine) drawFaults(t *rapid.T, i *instance) {
	i.link.faults = rapid.SliceOfN(rapid.SampledFrom([]fault{faultNone, faultDown, faultLost, faultDropped, faultLate, faultSlow}), 0, 3).Draw(t, "faults")
	i.link.blackout = rapid.IntRange(0, 3).Draw(t, "blackout") == 0
}

func (m *machine) apply(t *rapid.T, i *instance, base uint64) {
	if i.paused {
		return
	}
	operator := m.operator()
	variant := rapid.IntRange(1, 4).Draw(t, "variant")
	version, err := i.apply(operator, base, variant)
	m.judge(t, operator, variant, version, err)
}

// judge compares the answer to an apply with the rows of the table.
func (m *machine) judge(t *rapid.T, operator string, variant int, version uint64, err error) {
	if err == nil {
		c, ok := m.c.table.change(version)
		if !ok || c.Digest != deployment(variant).Entries().Digest() {
			t.Fatalf("%s was told version %d, which holds something else", operator, version)
		}
		m.accepted[operator] = version
		return
	}
	r := structs.AsRefusal(err)
	m.notRun[operator] = r.Outcome == structs.OutcomeNotRun
	var lostTo uint64
	var winner string
	if n, _ := fmt.Sscanf(r.Detail, "lost to version %d of operator %q", &lostTo, &winner); n == 2 {
		if c, _ := m.c.table.change(lostTo); c.Operator != winner || winner == operator {
			t.Fatalf("%s lost to version %d of %q, which is of %q", operator, lostTo, winner, c.Operator)
		}
	}
}

// check is run after each step.
func (m *machine) check(t *rapid.T) {
	head := m.c.table.head().Version
	wins := map[string]uint64{}
	for v := uint64(1); v <= head; v++ {
		c, ok := m.c.table.change(v)
		if !ok || wins[c.Operator] != 0 {
			t.Fatalf("version %d of %q: recorded %v, and its apply won version %d before", v, c.Operator, ok, wins[c.Operator])
		}
		if m.notRun[c.Operator] {
			t.Fatalf("%s was told that its apply did not run, but it is version %d", c.Operator, v)
		}
		wins[c.Operator] = v
	}
	for operator, version := range m.accepted {
		if won, ok := wins[operator]; ok && won != version {
			t.Fatalf("%s was told version %d but won version %d", operator, version, won)
		}
	}
	for _, i := range m.c.instances {
		m.checkInstance(t, i, head)
	}
}

func (m *machine) checkInstance(t *rapid.T, i *instance, head uint64) {
	current := i.store.current()
	if current.version < m.floor[i.store] || current.version > head {
		t.Fatalf("%s went from version %d to %d, head is %d", i.name, m.floor[i.store], current.version, head)
	}
	m.floor[i.store] = current.version
	if c, _ := m.c.table.change(current.version); current.digest != c.Digest {
		t.Fatalf("%s has a version %d of its own", i.name, current.version)
	}
}

// heal ends every fault and polls each instance twice.
func (m *machine) heal(t *rapid.T) {
	m.c.cut = map[string]bool{}
	m.c.table.objectsDown = false
	for _, i := range m.c.instances {
		i.link.deliverLate()
		i.link.faults, i.link.blackout, i.paused = nil, false, false
		i.link.set(false, false)
	}
	for range 2 {
		for _, i := range m.c.instances {
			i.poll()
		}
	}
	for _, i := range m.c.instances {
		if head := m.c.table.head().Version; i.version() != head {
			t.Fatalf("%s has version %d two polls after the heal, head is %d", i.name, i.version(), head)
		}
	}
}

// restart starts a fresh instance. During an outage it must take the highest
// version that a reachable peer has.
func (m *machine) restart(t *rapid.T, i *instance) {
	i.restart()
	i.paused = false
	i.poll()
	var highest uint64
	for _, other := range m.c.instances {
		if _, err := i.dial(other.name); err == nil {
			highest = max(highest, other.version())
		}
	}
	if i.version() < highest {
		t.Fatalf("fresh %s has version %d, a peer has %d", i.name, i.version(), highest)
	}
}

// bubbleT hides T.Deadline, which rapid would call and which panics in a
// synctest bubble.
type bubbleT struct{ *testing.T }

// Guards against a breach of P9 in any order of applies, races, lost answers,
// outages, pauses, restarts, cuts and heals.
func TestP9StateMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleT{t}, func(t *rapid.T) {
			m := &machine{
				c:      newCluster("a1", "a2", "a3", "b1", "b2"),
				notRun: map[string]bool{}, accepted: map[string]uint64{}, floor: map[*Store]uint64{},
			}
			t.Repeat(map[string]func(*rapid.T){
				"": m.check,
				"apply": func(t *rapid.T) {
					m.apply(t, m.pick(t), 0)
				},
				"apply on a base": func(t *rapid.T) {
					m.apply(t, m.pick(t), rapid.Uint64Range(1, m.c.table.head().Version+1).Draw(t, "base"))
				},
				"apply with faults": func(t *rapid.T) {
					i := m.pick(t)
					m.drawFaults(t, i)
					m.apply(t, i, 0)
				},
				"race": func(t *rapid.T) {
					i, rival := m.pick(t), m.pick(t)
					if i != rival {
						i.link.before = func() { m.apply(t, rival, 0) }
					}
					m.apply(t, i, 0)
					i.link.before = nil
				},
				"late writes arrive": func(t *rapid.T) { m.pick(t).link.deliverLate() },
				"poll": func(t *rapid.T) {
					if i := m.pick(t); !i.paused {
						i.poll()
					}
				},
				"push": func(t *rapid.T) {
					if i := m.pick(t); !i.paused {
						i.push()
					}
				},
				"pause":        func(t *rapid.T) { m.pick(t).paused = true },
				"resume":       func(t *rapid.T) { m.pick(t).paused = false },
				"restart":      func(t *rapid.T) { m.restart(t, m.pick(t)) },
				"link down":    func(t *rapid.T) { m.pick(t).link.set(true, false) },
				"link slow":    func(t *rapid.T) { m.pick(t).link.set(false, true) },
				"link up":      func(t *rapid.T) { m.pick(t).link.set(false, false) },
				"objects down": func(*rapid.T) { m.c.table.objectsDown = true },
				"objects up":   func(*rapid.T) { m.c.table.objectsDown = false },
				"domain b cut off": func(*rapid.T) {
					m.c.cut["b"] = true
					m.c.instances[3].link.set(true, false)
					m.c.instances[4].link.set(true, false)
				},
				"heal": m.heal,
			})
			m.heal(t)
			m.check(t)
		})
	})
}
