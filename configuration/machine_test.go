package configuration

import (
	"fmt"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"bergamotstile/proptest"
	"bergamotstile/structs"
)

func init() { proptest.FixSeed() }

// stateMachine applies, pushes and polls on several instances of one table, with faults.
// After each step, it checks what property P9 requires: all instances follow the versions
// of the table, and the responses to applies are true.
type stateMachine struct {
	cluster     *cluster
	applies     int               // number of applies so far; each has an operator of its own
	notRun      map[string]bool   // by operator: whether the apply was refused without effect
	accepted    map[string]uint64 // version in the response to an accepted apply, by operator
	lastVersion map[*Store]uint64 // version in force after the last step
}

func (m *stateMachine) drawInstance(t *rapid.T) *instance {
	return rapid.SampledFrom(m.cluster.instances).Draw(t, "instance")
}

func (m *stateMachine) newOperator() string {
	m.applies++
	return fmt.Sprint("operator-", m.applies)
}

// drawFaults draws the faults of the next commits of an instance.
func (m *stateMachine) drawFaults(t *rapid.T, i *instance) {
	i.link.faults = rapid.SliceOfN(rapid.SampledFrom([]commitFault{faultNone, faultUnavailable, faultAnswerLost, faultWriteDropped, faultWriteDelayed, faultNoAnswer}), 0, 3).Draw(t, "faults")
	i.link.downAfterFault = rapid.IntRange(0, 3).Draw(t, "blackout") == 0
}

func (m *stateMachine) apply(t *rapid.T, i *instance, base uint64) {
	if i.paused {
		return
	}
	operator := m.newOperator()
	variant := rapid.IntRange(1, 4).Draw(t, "variant")
	version, err := i.apply(operator, base, variant)
	m.checkAnswer(t, operator, variant, version, err)
}

// checkAnswer compares the response to an apply with the change rows of the table.
func (m *stateMachine) checkAnswer(t *rapid.T, operator string, variant int, version uint64, err error) {
	if err == nil {
		c, ok := m.cluster.table.change(version)
		if !ok || c.Digest != testDeployment(variant).Entries().Digest() {
			t.Fatalf("the apply of %s was answered with version %d, which is missing or has another digest", operator, version)
		}
		m.accepted[operator] = version
		return
	}
	r := structs.AsRefusal(err)
	m.notRun[operator] = r.Outcome == structs.OutcomeNotRun
	var lostTo uint64
	var winner string
	if n, _ := fmt.Sscanf(r.Detail, "lost to version %d of operator %q", &lostTo, &winner); n == 2 {
		if c, _ := m.cluster.table.change(lostTo); c.Operator != winner || winner == operator {
			t.Fatalf("%s lost to version %d of %q, which is of %q", operator, lostTo, winner, c.Operator)
		}
	}
}

// checkInvariants runs after each step.
func (m *stateMachine) checkInvariants(t *rapid.T) {
	head := m.cluster.table.head().Version
	wins := map[string]uint64{}
	for v := uint64(1); v <= head; v++ {
		c, ok := m.cluster.table.change(v)
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
	for _, i := range m.cluster.instances {
		m.checkInstance(t, i, head)
	}
}

// checkInstance checks that the version in force on an instance has not decreased, and
// that its digest is the digest of that version in the table.
func (m *stateMachine) checkInstance(t *rapid.T, i *instance, head uint64) {
	current := i.store.current()
	if current.version < m.lastVersion[i.store] || current.version > head {
		t.Fatalf("%s went from version %d to %d, head is %d", i.name, m.lastVersion[i.store], current.version, head)
	}
	m.lastVersion[i.store] = current.version
	if c, _ := m.cluster.table.change(current.version); current.digest != c.Digest {
		t.Fatalf("%s differs from the table at version %d", i.name, current.version)
	}
}

// healAll ends every fault, polls each instance twice, and checks that all have reached
// the head.
func (m *stateMachine) healAll(t *rapid.T) {
	m.cluster.cutDomains = map[string]bool{}
	m.cluster.table.objectsDown = false
	for _, i := range m.cluster.instances {
		i.link.deliverDelayed()
		i.link.faults, i.link.downAfterFault, i.paused = nil, false, false
		i.link.setStatus(false, false)
	}
	for range 2 {
		for _, i := range m.cluster.instances {
			i.poll()
		}
	}
	for _, i := range m.cluster.instances {
		if head := m.cluster.table.head().Version; i.version() != head {
			t.Fatalf("%s has version %d two polls after the heal, head is %d", i.name, i.version(), head)
		}
	}
}

// restart starts a new process of an instance. After its first poll, the instance must
// have at least the highest version of the peers that it reaches, also during an outage.
func (m *stateMachine) restart(t *rapid.T, i *instance) {
	i.restart()
	i.paused = false
	i.poll()
	var highest uint64
	for _, other := range m.cluster.instances {
		if _, err := i.dial(other.name); err == nil {
			highest = max(highest, other.version())
		}
	}
	if i.version() < highest {
		t.Fatalf("fresh %s has version %d, a peer has %d", i.name, i.version(), highest)
	}
}

// bubbleT hides T.Deadline: rapid would call it, and it panics in a synctest bubble.
type bubbleT struct{ *testing.T }

// Guards against a violation of property P9 in any order of applies, races, lost
// answers, outages, pauses, restarts, cut-off domains and recoveries.
func TestP9StateMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleT{t}, func(t *rapid.T) {
			m := &stateMachine{
				cluster: newCluster("a1", "a2", "a3", "b1", "b2"),
				notRun:  map[string]bool{}, accepted: map[string]uint64{}, lastVersion: map[*Store]uint64{},
			}
			t.Repeat(map[string]func(*rapid.T){
				"": m.checkInvariants,
				"apply": func(t *rapid.T) {
					m.apply(t, m.drawInstance(t), 0)
				},
				"apply on a base": func(t *rapid.T) {
					m.apply(t, m.drawInstance(t), rapid.Uint64Range(1, m.cluster.table.head().Version+1).Draw(t, "base"))
				},
				"apply with faults": func(t *rapid.T) {
					i := m.drawInstance(t)
					m.drawFaults(t, i)
					m.apply(t, i, 0)
				},
				"race": func(t *rapid.T) {
					i, rival := m.drawInstance(t), m.drawInstance(t)
					if i != rival {
						i.link.beforeCommit = func() { m.apply(t, rival, 0) }
					}
					m.apply(t, i, 0)
					i.link.beforeCommit = nil
				},
				"late writes arrive": func(t *rapid.T) { m.drawInstance(t).link.deliverDelayed() },
				"poll": func(t *rapid.T) {
					if i := m.drawInstance(t); !i.paused {
						i.poll()
					}
				},
				"push": func(t *rapid.T) {
					if i := m.drawInstance(t); !i.paused {
						i.push()
					}
				},
				"pause":        func(t *rapid.T) { m.drawInstance(t).paused = true },
				"resume":       func(t *rapid.T) { m.drawInstance(t).paused = false },
				"restart":      func(t *rapid.T) { m.restart(t, m.drawInstance(t)) },
				"link down":    func(t *rapid.T) { m.drawInstance(t).link.setStatus(true, false) },
				"link slow":    func(t *rapid.T) { m.drawInstance(t).link.setStatus(false, true) },
				"link up":      func(t *rapid.T) { m.drawInstance(t).link.setStatus(false, false) },
				"objects down": func(*rapid.T) { m.cluster.table.objectsDown = true },
				"objects up":   func(*rapid.T) { m.cluster.table.objectsDown = false },
				"domain b cut off": func(*rapid.T) {
					m.cluster.cutDomains["b"] = true
					m.cluster.instances[3].link.setStatus(true, false)
					m.cluster.instances[4].link.setStatus(true, false)
				},
				"heal": m.healAll,
			})
			m.healAll(t)
			m.checkInvariants(t)
		})
	})
}
