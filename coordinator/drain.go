package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
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
	if !x.step.LongRunning {
		return c.mustLeave(x, x.runner.cordon.Until, now)
	}
	return c.mayDisrupt(x) && (x.runner.cordon.Pressing || c.fitsElsewhere(x, now))
}

// mayDisrupt reports whether the disruption budget of a long-running step allows
// to end one more of its tasks. Where there is no budget, one task is ended at a
// time. A task that isn't known to be at work may have become so since.
func (c *Core) mayDisrupt(x *run) bool {
	away := 0
	for index := range x.step.Count {
		id := x.task
		id.Index = index
		if index != x.task.Index && !x.job.atWork(id) {
			away++
		}
	}
	return away < max(1, x.step.MaxUnavailable)
}

// fullProgress is the progress in percent that a long-running task shows while it
// is at work.
const fullProgress = 100

// atWork reports whether a long-running task is known to be at work.
func (j *job) atWork(id jobs.TaskID) bool {
	for _, x := range j.runs[id] {
		if x.phase == running && x.percent >= fullProgress && !x.runner.suspect {
			return true
		}
	}
	return false
}

// fitsElsewhere reports whether another runner could take the task now.
func (c *Core) fitsElsewhere(x *run, now time.Duration) bool {
	if x.work == nil {
		return false
	}
	for _, r := range c.runners {
		if r != x.runner && c.eligible(x.work, r, now) {
			return true
		}
	}
	return false
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
