package coordinator

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// maxAwaitedNamed bounds the runners that a line about a predecessor's runners
// names.
const maxAwaitedNamed = 6

// Inherit names the runners that may run a predecessor's tasks and the time at
// which their leases have lapsed for certain.
func (c *Core) Inherit(runners []string, lapsed time.Duration) {
	for _, id := range runners {
		c.unresolved[id] = struct{}{}
	}
	c.resolveBy = lapsed
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

// lapseInherited resolves the runners on which a predecessor's leases have lapsed.
func (c *Core) lapseInherited(now time.Duration) {
	if len(c.unresolved) == 0 {
		return
	}
	if now > c.resolveBy {
		c.log.WithField("runners", len(c.unresolved)).Warn("leases of the predecessor have lapsed")
		clear(c.unresolved)
		return
	}
	c.tellAwaited(now)
}

// tellAwaited logs which runners of a predecessor are waited for.
func (c *Core) tellAwaited(now time.Duration) {
	if !c.awaited.due(now) {
		return
	}
	c.awaited.told(now)
	var named []string
	for id := range c.unresolved {
		named = append(named, id)
	}
	slices.Sort(named)
	named = named[:min(len(named), maxAwaitedNamed)]
	c.log.WithFields(logrus.Fields{"runners": len(c.unresolved), "first": named, "left_ms": (c.resolveBy - now).Milliseconds()}).
		Warn("waiting for runners of the predecessor")
}
