package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/maintenance"
)

// Cordon sets which runners take no new tasks because their machine is to go down
// for upkeep, and which others will have to later.
func (c *Core) Cordon(drains map[string]maintenance.Drain, due map[string]struct{}) {
	for id, r := range c.runners {
		_, r.upkeepDue = due[id]
		drain, cordoned := drains[id]
		if cordoned != (r.cordon != nil) {
			c.changed(r)
			c.noteCordon(r, cordoned)
		}
		r.cordon = nil
		if cordoned {
			r.cordon = &drain
		}
	}
}

func (c *Core) noteCordon(r *runner, cordoned bool) {
	line := c.log.WithFields(logrus.Fields{"runner": r.ID, "runs": len(r.runs)})
	if !cordoned {
		line.Info("drain for upkeep ended")
		return
	}
	c.counters("cordons", 1)
	line.Info("runner is drained for upkeep")
}

// evicts reports whether a task is to leave a cordoned runner now. Work that
// would not end in time leaves early, so that little of it is lost; long-running
// tasks leave as their disruption budget allows, where another runner has room.
func (c *Core) evicts(x *run, now time.Duration) bool {
	cordon := x.runner.cordon
	if !x.step.LongRunning {
		return x.timeLeft(now) > cordon.Until-leaveMargin-now
	}
	return c.mayDisrupt(x, now) && (cordon.Urgent || c.hasPlace(x, now))
}

// mayDisrupt reports whether one more task of a long-running step may be ended for
// an upkeep, which can wait: within the step's disruption budget, or one at a time
// where it has none.
func (c *Core) mayDisrupt(x *run, now time.Duration) bool {
	if budgeted(x.step) {
		return c.mayStop(x, now)
	}
	if x.work == nil {
		return true
	}
	for index := range x.step.Count {
		if index != x.task.Index && !x.work.atWork(index) {
			return false
		}
	}
	return true
}

// Load returns what runs on a runner, for the planning of upkeep. It isn't known
// while the runner does not answer: another may live on its machine already, which
// the machine list doesn't show yet.
func (c *Core) Load(id string) maintenance.Load {
	r := c.runners[id]
	if r == nil {
		_, unresolved := c.unresolved[id]
		return maintenance.Load{Known: !unresolved}
	}
	load := maintenance.Load{Known: r.reported && !r.suspect && len(r.strays) == 0, Runs: len(r.runs), CPUMilli: r.held.CPUMilli}
	for x := range r.runs {
		if !x.step.LongRunning {
			continue
		}
		load.LongRunning++
		if x.step.MaxUnavailable > 0 && x.phase != stopping {
			load.Budgeted++
		}
	}
	return load
}

// RunnerTerminated records that a runner has ended with its machine, and with it
// everything that ran there.
func (c *Core) RunnerTerminated(id string, now time.Duration) {
	c.resolve(id)
	r := c.runners[id]
	if r == nil {
		return
	}
	r.terminated, r.suspect = r.incarnation, true
	for lost := range r.runs {
		c.lose(lost, now, "machine went down for upkeep")
	}
}
