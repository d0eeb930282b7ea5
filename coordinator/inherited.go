package coordinator

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// maxLoggedRunners bounds the number of runners that a log line about a predecessor's
// runners names.
const maxLoggedRunners = 6

// InheritedRunner is a runner of a predecessor. ExpiredAt is the time by which the
// predecessor's leases on it have expired for certain. TasksKnown is set if none of the
// predecessor's tasks runs there but those that HoldTask holds. MisdirectedExpiredAt is the
// time by which leases have expired that calls of the predecessor to an earlier process of the
// runner granted to a later one; zero if there can be none.
type InheritedRunner struct {
	ID                   string
	ExpiredAt            time.Duration
	MisdirectedExpiredAt time.Duration
	TasksKnown           bool
}

// SetInheritedRunners sets the runners of a predecessor, and the time by which its leases on
// any other runner have expired.
func (c *Core) SetInheritedRunners(runners []InheritedRunner, otherLeasesExpireAt time.Duration) {
	for _, r := range runners {
		if !r.TasksKnown {
			c.unresolved[r.ID] = max(r.ExpiredAt, r.MisdirectedExpiredAt)
		}
		if r.MisdirectedExpiredAt > 0 {
			c.misdirectedExpiries[r.ID] = r.MisdirectedExpiredAt
		}
		c.unansweredInherited[r.ID] = struct{}{}
		c.inherited[r.ID] = struct{}{}
	}
	c.inheritedRunnerCount = len(c.unansweredInherited)
	c.otherLeasesExpireAt = otherLeasesExpireAt
}

// isInherited reports whether a predecessor knew the runner.
func (c *Core) isInherited(id string) bool {
	_, ok := c.inherited[id]
	return ok
}

// RaiseInheritedExpiry raises the time by which a predecessor's leases on an unresolved runner
// have expired, because the runner has restarted around the takeover.
func (c *Core) RaiseInheritedExpiry(id string, expiry time.Duration) {
	if current, ok := c.unresolved[id]; ok {
		c.misdirectedExpiries[id] = max(expiry, c.misdirectedExpiries[id])
		c.unresolved[id] = max(current, expiry)
	}
}

// HoldTask keeps a task that may run on a predecessor's runner from being started elsewhere.
func (c *Core) HoldTask(runnerID string, t heldTask) { c.heldTasks.add(runnerID, t) }

// ReleaseExpiredTasks ends the holds of the tasks whose runs have ended for certain. Like
// ResolveExpiredRunners, it must be called only while no successor can have extended leases.
func (c *Core) ReleaseExpiredTasks(now time.Duration, hasAnswered func(runnerID string) bool) {
	c.heldTasks.releaseExpired(now, hasAnswered, c.recordExpiredTask)
}

// haveMostAnswered reports whether at least successorMajorityPercent percent of the
// predecessor's runners have answered this coordinator.
func (c *Core) haveMostAnswered() bool {
	answered := c.inheritedRunnerCount - len(c.unansweredInherited)
	return answered*100 >= c.inheritedRunnerCount*successorMajorityPercent
}

// markAnswered records that a runner has answered this coordinator.
func (c *Core) markAnswered(id string) { delete(c.unansweredInherited, id) }

// LowerInheritedExpiry lowers the time by which a predecessor's leases have expired to
// expiry on all runners, but not below the expiry of misdirected leases. It changes nothing and
// returns false if expiry is not earlier than otherLeasesExpireAt.
func (c *Core) LowerInheritedExpiry(expiry time.Duration) bool {
	if expiry >= c.otherLeasesExpireAt {
		return false
	}
	c.otherLeasesExpireAt = expiry
	for id, current := range c.unresolved {
		c.unresolved[id] = max(min(current, expiry), c.misdirectedExpiries[id])
	}
	return true
}

// InheritedExpiry returns the time by which a predecessor's leases on a runner have
// expired.
func (c *Core) InheritedExpiry(id string) time.Duration {
	if expiry, ok := c.unresolved[id]; ok {
		return expiry
	}
	return max(c.otherLeasesExpireAt, c.misdirectedExpiries[id])
}

// UnresolvedRunners returns the number of unresolved runners: those that may run tasks that a
// predecessor has started and this coordinator does not know of.
func (c *Core) UnresolvedRunners() int { return len(c.unresolved) }

// resolveRunner records that a runner is resolved: it runs no tasks that a predecessor has
// started and this coordinator does not know of.
func (c *Core) resolveRunner(id string) {
	delete(c.givenUp, id)
	if _, ok := c.unresolved[id]; !ok {
		return
	}
	delete(c.unresolved, id)
	if len(c.unresolved) == 0 {
		c.log.Info("no runner can run unknown tasks of the predecessor any more")
	}
}

// ResolveExpiredRunners resolves the runners on which a predecessor's leases have expired. It
// leaves out those that have answered: this coordinator may have extended their leases, and what
// they run is known only once a complete report has been applied, which resolves them, as does the
// expiry of their leases.
// It must be called only while no successor of this coordinator can have extended them.
func (c *Core) ResolveExpiredRunners(now time.Duration, hasAnswered func(runnerID string) bool) {
	for id, expiry := range c.unresolved {
		if now > expiry && !hasAnswered(id) {
			c.log.WithField("runner", id).Warn("leases of the predecessor expired")
			c.giveUpRunner(id)
		}
	}
	if len(c.unresolved) > 0 {
		c.logUnresolved(now)
	}
}

// logUnresolved logs the unresolved runners from time to time.
func (c *Core) logUnresolved(now time.Duration) {
	if !c.unresolvedLogThrottle.isDue(now) {
		return
	}
	c.unresolvedLogThrottle.recordLogged(now)
	var ids []string
	var last time.Duration
	for id, expiry := range c.unresolved {
		ids = append(ids, id)
		last = max(last, expiry)
	}
	slices.Sort(ids)
	ids = ids[:min(len(ids), maxLoggedRunners)]
	c.log.WithFields(logrus.Fields{"runners": len(c.unresolved), "first": ids, "left_ms": (last - now).Milliseconds()}).
		Warn("runners that have not answered may run tasks of the predecessor")
}
