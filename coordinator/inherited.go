package coordinator

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// maxAwaitedNamed bounds the runners that a line about a predecessor's runners
// names.
const maxAwaitedNamed = 6

// InheritedRunner is a runner that may run a predecessor's tasks. Lapsed is when
// their leases have lapsed for certain.
type InheritedRunner struct {
	ID     string
	Lapsed time.Duration
}

// Inherit names the runners that may run a predecessor's tasks, and when its leases
// have lapsed on any other.
func (c *Core) Inherit(runners []InheritedRunner, others time.Duration) {
	for _, r := range runners {
		c.unresolved[r.ID] = r.Lapsed
	}
	c.inherited = len(c.unresolved)
	c.resolveBy = others
}

// mostReached reports whether most of the predecessor's runners have answered.
func (c *Core) mostReached() bool {
	return c.reached*100 >= c.inherited*successorMajorityPercent
}

// reach resolves a runner that has answered.
func (c *Core) reach(id string) {
	if _, ok := c.unresolved[id]; ok {
		c.reached++
	}
	c.resolve(id)
}

// LowerInherited brings forward when a predecessor's leases have lapsed, and reports
// whether that changes anything.
func (c *Core) LowerInherited(lapsed time.Duration) bool {
	if lapsed >= c.resolveBy {
		return false
	}
	c.resolveBy = lapsed
	for id, at := range c.unresolved {
		c.unresolved[id] = min(at, lapsed)
	}
	return true
}

// InheritedLapse returns when a predecessor's leases on a runner have lapsed.
func (c *Core) InheritedLapse(id string) time.Duration {
	if lapsed, ok := c.unresolved[id]; ok {
		return lapsed
	}
	return c.resolveBy
}

// Unresolved returns the number of runners that may run a predecessor's tasks
// unseen.
func (c *Core) Unresolved() int { return len(c.unresolved) }

// resolve records that a runner runs no tasks of a predecessor unseen.
func (c *Core) resolve(id string) {
	if _, ok := c.unresolved[id]; !ok {
		return
	}
	delete(c.unresolved, id)
	if len(c.unresolved) == 0 {
		c.log.Info("every runner of the predecessor is resolved")
	}
}

// LapseInherited resolves the runners on which a predecessor's leases have lapsed.
// It must be called only while no successor can have extended them.
func (c *Core) LapseInherited(now time.Duration) {
	for id, lapsed := range c.unresolved {
		if now > lapsed {
			c.log.WithField("runner", id).Warn("leases of the predecessor have lapsed")
			c.resolve(id)
		}
	}
	if len(c.unresolved) > 0 {
		c.logAwaited(now)
	}
}

// logAwaited logs which runners of a predecessor are waited for.
func (c *Core) logAwaited(now time.Duration) {
	if !c.awaited.due(now) {
		return
	}
	c.awaited.logged(now)
	var named []string
	var last time.Duration
	for id, lapsed := range c.unresolved {
		named = append(named, id)
		last = max(last, lapsed)
	}
	slices.Sort(named)
	named = named[:min(len(named), maxAwaitedNamed)]
	c.log.WithFields(logrus.Fields{"runners": len(c.unresolved), "first": named, "left_ms": (last - now).Milliseconds()}).
		Warn("waiting for runners of the predecessor")
}
