package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of the watch over running tasks.
const (
	// stallTime is how long a task at a usable pace may show no progress.
	stallTime = 2500 * time.Millisecond
	// stallPace is the least pace at which missing progress says anything.
	stallPace = 50
	// stallAvoid is how long a runner with a stalled task gets no new ones.
	stallAvoid = 3 * time.Second
	// leaveMargin is kept free before a draining runner may be gone.
	leaveMargin = 500 * time.Millisecond
)

// Watch stops tasks that stand still, and tasks that would not end before
// their draining runner leaves, so that they go on elsewhere.
func (c *Core) Watch(now time.Duration) {
	c.dropUnlisted(now)
	c.dropGone()
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
			delete(c.runners, id)
		}
	}
}

func (c *Core) move(x *run, now time.Duration, cause string) {
	c.counters("runs_moved", 1)
	c.log.WithFields(logrus.Fields{"task": x.task, "run": x.number, "runner": x.runner.ID, "percent": x.percent, "cause": cause}).Info("run is moved")
	c.stop(x, now)
}

// stalled reports whether a task that should progress does not.
func (c *Core) stalled(x *run, now time.Duration) bool {
	if x.step.LongRunning || x.step.Gang || x.pace < stallPace || x.moved == 0 {
		return false
	}
	return now-max(x.moved, x.began) > max(stallTime, x.step.Estimate/2)
}

// mustLeave reports whether a task would not end before its runner leaves.
func (c *Core) mustLeave(x *run, now time.Duration) bool {
	if x.step.LongRunning {
		return true
	}
	left := x.runner.leaves - leaveMargin - now
	spent := now - x.began
	need := x.step.Estimate - spent
	if x.percent > 0 {
		need = spent * time.Duration(100-x.percent) / time.Duration(x.percent)
	}
	return need > left
}
