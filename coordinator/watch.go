package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/interference"
)

// Bounds of the watch over running tasks.
const (
	// stallTime is how long a task at a usable pace may show no progress.
	stallTime = 2500 * time.Millisecond
	// stallPace is the least pace at which missing progress says anything.
	stallPace = 50
	// stallAvoid is how long a runner with a stalled task gets no new ones.
	stallAvoid = 3 * time.Second
	// A filling task at stuckPace or less for stuckTime goes on elsewhere if it
	// can resume there at betterPace. At most movesPerRound are moved at once.
	stuckPace     = 15 // percent
	stuckTime     = 900 * time.Millisecond
	betterPace    = 70 // percent
	movesPerRound = 3
	// nearlyDone is the progress from which a move isn't worth it, in percent.
	nearlyDone = 85
	// leaveMargin is kept free before a draining runner may be gone.
	leaveMargin = 500 * time.Millisecond
	// lastingMargin is the same for long-running tasks. All of those that are left
	// are stopped together, the registry tells of a notice late, and a task that
	// goes with its runner is away until its lease has lapsed.
	lastingMargin = 2 * time.Second
)

// Watch stops tasks that stand still, and tasks that would not end before
// their draining runner leaves or its machine goes down, so that they go on
// elsewhere.
func (c *Core) Watch(now time.Duration) {
	c.dropUnlisted(now)
	c.dropGone()
	c.noteAbsences(now)
	c.moveStuck(now)
	for _, r := range c.runners {
		if !r.reported || r.suspect {
			continue
		}
		for x := range r.runs {
			if x.phase != running {
				continue
			}
			switch {
			case r.Draining && c.mustLeave(x, now):
				c.move(x, now, "runner is leaving")
			case r.cordon != nil && c.evicts(x, now):
				c.move(x, now, "machine goes down for upkeep")
			case c.stalled(x, now):
				r.health.stalls++
				r.health.avoidUntil = max(r.health.avoidUntil, now+stallAvoid)
				c.move(x, now, "no progress")
			}
		}
	}
}

// dropGone forgets runners that have left and run nothing any more.
func (c *Core) dropGone() {
	for id, r := range c.runners {
		if !r.listed && r.suspect && len(r.runs) == 0 {
			r.forfeitClaims()
			delete(c.runners, id)
			c.sorted = nil
		}
	}
}

// moveStuck moves filling tasks that serving ones leave no room to runners that
// have some.
func (c *Core) moveStuck(now time.Duration) {
	moves := 0
	open := map[interference.Kind]bool{}
	for _, r := range c.runners {
		if !r.usable() {
			continue
		}
		for x := range r.runs {
			if !x.stuck(now) || !c.mayStop(x, now) {
				continue
			}
			better, known := open[x.kind]
			if !known {
				better = c.hasBetter(x, now)
				open[x.kind] = better
			}
			if !better {
				continue
			}
			open[x.kind] = false // one for each image in a round
			c.move(x, now, "slowed for serving tasks")
			if moves++; moves == movesPerRound {
				return
			}
		}
	}
}

// stuck reports whether a task gets next to nothing and would lose little.
func (x *run) stuck(now time.Duration) bool {
	return x.step.BestEffort && x.step.Checkpoints && !x.step.Gang && x.phase == running &&
		x.pace >= 0 && x.pace <= stuckPace && now-x.paced > stuckTime && x.percent < nearlyDone
}

// hasBetter reports whether another runner would run the task at betterPace.
func (c *Core) hasBetter(x *run, now time.Duration) bool {
	if x.work == nil {
		return false
	}
	for _, r := range c.runners {
		if r == x.runner || !c.eligible(x.work, r, now) || c.troubled(r, now) {
			continue
		}
		if p := c.forecast(r, x.step, x.kind, x.precedence); p.free >= x.step.Resources.CPUMilli && p.pace >= betterPace {
			return true
		}
	}
	return false
}

// hasPlace reports whether a run's task could start on another runner.
func (c *Core) hasPlace(x *run, now time.Duration) bool {
	return x.work == nil || c.pick(x.work, now, nil, 0) != nil
}

func (c *Core) move(x *run, now time.Duration, cause string) {
	c.counters("runs_moved", 1)
	c.log.WithFields(logrus.Fields{"task": x.task, "run": x.number, "runner": x.runner.ID, "percent": x.percent, "cause": cause}).Info("run is moved")
	c.displace(x, now)
}

// stalled reports whether a task that should progress does not.
func (c *Core) stalled(x *run, now time.Duration) bool {
	if x.step.LongRunning || x.step.Gang || x.pace < stallPace || x.moved == 0 {
		return false
	}
	return now-max(x.moved, x.began) > max(stallTime, x.job.estimates[x.task.Step]/2)
}

// mustLeave reports whether a task is to be moved from its draining runner now: a
// long-running one when its step's budget allows and another runner has room, or
// no time is left; another one if it would not end before the runner leaves.
func (c *Core) mustLeave(x *run, now time.Duration) bool {
	left := x.runner.leaves - now
	if x.step.LongRunning {
		return left <= lastingMargin || c.mayStop(x, now) && c.hasPlace(x, now)
	}
	return x.timeLeft(now) > left-leaveMargin
}
