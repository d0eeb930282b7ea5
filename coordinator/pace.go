package coordinator

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Control of the tasks that fill, beside tasks that serve.
const (
	fullPace = 100 // percent
	minPace  = 2
	// slowBelow and raiseBelow are shares of the target in percent.
	slowAbove  = 90
	raiseBelow = 60
	// paceSettle is how long a change takes to show in the figures, which cover
	// the last half second.
	paceSettle = 700 * time.Millisecond
	raiseStep  = 15 // percent
)

// pacing is the speed limit of the filling tasks of one runner.
type pacing struct {
	limit   int // percent
	changed time.Duration
}

// controlPace slows the filling tasks of a runner whose serving tasks near
// their target, at once and by half, and lets them speed up again step by step.
func (c *Core) controlPace(r *runner, now time.Duration) {
	if worst, serves := r.worstTail(); serves && r.filling > 0 {
		c.adjustPace(r, worst, now)
	} else if r.pacing.limit < fullPace {
		r.pacing = pacing{limit: fullPace, changed: now}
	}
	for x := range r.runs {
		if x.step.Fills && x.phase == running && x.pace != r.pacing.limit {
			c.orderPace(x, r.pacing.limit)
		}
	}
}

func (c *Core) adjustPace(r *runner, worst int, now time.Duration) {
	p := &r.pacing
	if now-p.changed < paceSettle {
		return
	}
	limit := p.limit
	switch {
	case worst >= slowAbove*3/2:
		limit = max(minPace, p.limit/4)
	case worst >= slowAbove:
		limit = max(minPace, p.limit/2)
	case worst < raiseBelow:
		limit = min(fullPace, p.limit+max(raiseStep, p.limit/2))
	}
	if limit == p.limit {
		return
	}
	c.log.WithFields(logrus.Fields{"runner": r.ID, "tail_percent_of_target": worst, "pace": limit}).Debug("pace of filling tasks changed")
	c.counters("pace_changes", 1)
	p.limit, p.changed = limit, now
}

// worstTail returns the tail latency nearest to its target, in percent of it.
func (r *runner) worstTail() (percent int, serves bool) {
	for x := range r.runs {
		target := int(x.step.TailTarget / time.Millisecond)
		if target <= 0 || x.phase != running {
			continue
		}
		serves = true
		percent = max(percent, x.load*100/target)
	}
	return percent, serves
}

func (c *Core) orderPace(x *run, percent int) {
	x.pace = percent
	x.settled.Store(true)
	x.settled = new(atomic.Bool)
	c.orders = append(c.orders, Order{Kind: Pace, Runner: x.runner.ID, Address: x.runner.Address, Task: x.task, Run: x.number, Percent: percent, Settled: x.settled})
}
