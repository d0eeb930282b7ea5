package coordinator

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/interference"
)

// Bounds of the pace control.
const (
	fullPace = 100 // percent
	minPace  = 1
	// unknownPace is that of a run which a predecessor paced.
	unknownPace = -1
	// headroom is kept below the target's disturbance, for changes of the
	// serving task's own load before the next reading.
	headroom = 0.17
	// calmPressure is the pressure that filling tasks may always cause.
	calmPressure = 0.06
	// smallPart is the part of all pressure on a task below which an image is
	// not slowed for it.
	smallPart = 0.15
	// paceStep is the least change of pace that is ordered, in percent, and
	// paceShare the least one as a part of the present pace.
	paceStep  = 5
	paceShare = 0.15
	// A pace is raised by at most raiseStep and half of itself each raisePause.
	raiseStep  = 50 // percent
	raisePause = 150 * time.Millisecond
	// A serving task counts as over its target from overAt of it until its
	// tail is below overUntil of it.
	overAt    = 0.95
	overUntil = 0.7
	// harmWait is how long a filling task waits for a runner where it can work
	// at full pace; after that leastPace is enough.
	harmWait  = 500 * time.Millisecond
	leastPace = 50 // percent
	// A serving task that stays over its target for suspectAll of the time that
	// harm is allowed has every image beside it slowed, whatever the model says,
	// and from stopAll on all but stopped. The rest covers the age of readings and
	// the time that orders take.
	suspectAll = 0.25
	stopAll    = 0.4
	// defaultHarmTime is used if the platform names none.
	defaultHarmTime = 4 * time.Second
	// suspectPace is the share of its pace that an image keeps meanwhile.
	suspectPace = 0.2
	// usualUse is the share of what a serving task asks for that it uses most of
	// the time, in percent; filling tasks that go first may use the rest.
	usualUse = 40
)

// fillState is the pace of the filling tasks of one image on a runner.
type fillState struct {
	pace    int // percent
	changed time.Duration
}

// controlPace learns from the runner's last report and sets the paces of its
// filling tasks.
func (c *Core) controlPace(r *runner, now time.Duration) {
	beside := c.harm.neighbours(r)
	r.overSince = 0
	paces := make(map[interference.Kind]float64, len(r.filled))
	for kind := range r.filled {
		paces[kind] = 1
	}
	for x := range r.runs {
		if x.step.TailLatencyTarget <= 0 || x.phase != running || x.load <= 0 || x.percent < fullPace {
			continue
		}
		c.harm.measure(x, beside)
		x.noteTail(now)
		if x.over > 0 && (r.overSince == 0 || x.over < r.overSince) {
			r.overSince = x.over
		}
		if len(paces) > 0 {
			c.spare(r, x, paces)
			x.slowAll(paces, c.limits, now)
		}
	}
	for kind := range r.fills {
		if r.filled[kind] == 0 {
			delete(r.fills, kind)
		}
	}
	for kind, pace := range paces {
		r.fill(kind).set(int(pace*fullPace), now)
	}
	r.pressed = nil
	for _, x := range r.fillers {
		x.precedence = c.precedenceOf(x)
	}
	slices.SortFunc(r.fillers, func(a, b *run) int { return a.precedence.compare(b.precedence) })
	c.orderPaces(r)
}

// set lowers the pace at once and raises it step by step: a single reading is
// rough. Small changes aren't worth an order.
func (s *fillState) set(pace int, now time.Duration) {
	pace = min(fullPace, max(minPace, pace))
	if pace > s.pace {
		if now-s.changed < raisePause {
			return
		}
		pace = min(pace, s.pace+raiseStep+s.pace/2)
	}
	small := pace >= s.pace-paceStep && pace <= s.pace+paceStep
	if pace == s.pace || small && pace != fullPace && pace >= paceStep {
		return
	}
	s.pace, s.changed = pace, now
}

// spare lowers the paces so that a serving task stays below its target, given
// the disturbance by its own load. The images that press most are slowed.
func (c *Core) spare(r *runner, x *run, paces map[interference.Kind]float64) {
	allowed := max(calmPressure, c.harm.disturbance(x.step, targetMS(x.step))-headroom-x.ownPressure)
	var total, large float64
	for kind := range paces {
		total += c.pressureOf(r, x.kind, kind)
	}
	if total <= allowed {
		return
	}
	for kind := range paces {
		if part := c.pressureOf(r, x.kind, kind); part > smallPart*total {
			large += part
		}
	}
	keep := max(0, 1-(total-allowed)/max(large, 1e-9))
	for kind := range paces {
		if c.pressureOf(r, x.kind, kind) > smallPart*total {
			paces[kind] = min(paces[kind], keep)
		}
	}
}

// pressureOf is the pressure of an image's tasks on the runner at full pace.
func (c *Core) pressureOf(r *runner, serving, filling interference.Kind) float64 {
	share := float64(r.filled[filling]) / float64(max(1, r.Capacity.CPUMilli))
	return share * c.harm.between(serving, filling)
}

// noteTail records since when a serving task has been over its target.
func (x *run) noteTail(now time.Duration) {
	tail, target := float64(x.load), targetMS(x.step)
	if tail < overUntil*target {
		x.over = 0
	} else if x.over == 0 && tail > overAt*target {
		x.over = now
	}
}

// slowAll slows every image beside a serving task that has been over its target
// for long.
func (x *run) slowAll(paces map[interference.Kind]float64, limits Limits, now time.Duration) {
	if x.over == 0 || now-x.over < limits.harm(suspectAll) {
		return
	}
	most := suspectPace
	if now-x.over >= limits.harm(stopAll) {
		most = 0
	}
	for kind := range paces {
		paces[kind] = min(paces[kind], most)
	}
}

// troubled reports whether a serving task of the runner has been over its
// target for long, so that no filling task may join it.
func (c *Core) troubled(r *runner, now time.Duration) bool {
	return r.overSince > 0 && now-r.overSince >= c.limits.harm(suspectAll)
}

// harm is a share of the time for which harm is allowed.
func (l Limits) harm(share float64) time.Duration {
	allowed := l.HarmTime
	if allowed <= 0 {
		allowed = defaultHarmTime
	}
	return time.Duration(share * float64(allowed))
}

// fill returns the pace of an image on the runner.
func (r *runner) fill(kind interference.Kind) *fillState {
	s := r.fills[kind]
	if s == nil {
		s = &fillState{pace: fullPace}
		r.fills[kind] = s
	}
	return s
}

// paceOf is the pace of all filling tasks of the image there together.
func (r *runner) paceOf(kind interference.Kind) int {
	if s := r.fills[kind]; s != nil {
		return s.pace
	}
	return fullPace
}

// orderPaces divides what each image may use, and what serving tasks leave
// free, among the filling tasks of a runner: first to jobs that can still be on
// time. If all were slowed alike, late jobs would make others late.
func (c *Core) orderPaces(r *runner) {
	free := r.Capacity.CPUMilli - r.firm - r.serving*usualUse/100
	allowed := make(map[interference.Kind]int64, len(r.filled))
	for kind, asked := range r.filled {
		if pace := r.paceOf(kind); pace > minPace {
			allowed[kind] = asked * int64(pace) / fullPace
		}
	}
	for rest := r.fillers; len(rest) > 0; {
		equals := rest
		for i, x := range rest {
			if x.precedence.class() != rest[0].precedence.class() {
				equals = rest[:i]
				break
			}
		}
		rest = rest[len(equals):]
		free -= c.share(equals, allowed, free)
	}
}

// share divides what is allowed among tasks of one class in proportion to what
// they ask for, and returns what they use.
func (c *Core) share(equals []*run, allowed map[interference.Kind]int64, free int64) (used int64) {
	asked := make(map[interference.Kind]int64, len(allowed))
	for _, x := range equals {
		asked[x.kind] += x.step.Resources.CPUMilli
	}
	free = max(0, free)
	var wanted int64
	for kind, ask := range asked {
		wanted += min(ask, allowed[kind])
	}
	paces := make(map[interference.Kind]int, len(asked))
	for kind, ask := range asked {
		use := min(ask, allowed[kind])
		if wanted > free {
			use = use * free / wanted
		}
		allowed[kind] -= use
		used += use
		paces[kind] = max(minPace, int(use*fullPace/max(1, ask)))
	}
	for _, x := range equals {
		if pace := paces[x.kind]; x.phase == running && x.worthPacing(pace) {
			c.orderPace(x, pace)
		}
	}
	return used
}

// worthPacing reports whether a change of pace is worth an order: each is a call
// to a runner.
func (x *run) worthPacing(pace int) bool {
	step := max(paceStep, int(paceShare*float64(x.pace)))
	switch {
	case pace == x.pace:
		return false
	case x.pace == unknownPace, pace == fullPace, pace == minPace:
		return true
	}
	return pace > x.pace+step || pace < x.pace-step
}

func (c *Core) orderPace(x *run, percent int) {
	c.counters("paces", 1)
	if (percent > stuckPace) != (x.pace > stuckPace || x.pace == unknownPace) {
		c.log.WithFields(logrus.Fields{"task": x.task, "run": x.number, "runner": x.runner.ID, "pace": percent, "before": x.pace}).Info("pace ordered")
	}
	if x.pace > stuckPace || percent > stuckPace {
		x.paced = c.now
	}
	x.pace = percent
	x.settled.Store(true)
	x.settled = new(atomic.Bool)
	c.orders = append(c.orders, Order{Kind: Pace, Runner: x.runner.ID, Address: x.runner.Address, Task: x.task, Run: x.number, Percent: percent, Settled: x.settled})
}
