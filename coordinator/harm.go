package coordinator

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// Tasks that fill disturb tasks that serve, some pairs of images much, most
// hardly. The tail latency of a serving task grows like that of a queue: the
// share of quiet time over tail falls linearly with its own load and with what
// its neighbours press. That share is what the model learns from.
const (
	fullPace = 100 // percent
	minPace  = 1
	// tailNoise is the deviation that a serving task's own changes of load
	// cause in a measurement.
	tailNoise = 0.3
	// quietGain is the weight of one undisturbed measurement in the quiet tail.
	quietGain = 0.02
	// quietPressure is the predicted pressure below which a measurement counts
	// as undisturbed.
	quietPressure = 0.05
	// slowAbove and raiseBelow are shares of the tail's target, in percent.
	slowAbove  = 85
	raiseBelow = 65
	// relief is the share of the measured excess that a slowdown aims below the
	// target, to leave room for the serving task's own changes.
	relief = 0.25
	// paceSettle is how long a change takes to show in figures that cover the
	// last half second.
	paceSettle = 700 * time.Millisecond
	raiseStep  = 20 // percent
	// leastBlame is the pressure below which an image is not slowed.
	leastBlame = 0.04
	// calmPressure is the pressure that a serving task bears whatever its own
	// load; mostPressure is what a filling task may add up to.
	calmPressure = 0.15
	mostPressure = 0.4
	// A serving task that stays over its target for suspectAll has all images
	// slowed, whatever the model says, and for stopAll has them at minPace.
	suspectAll = 1400 * time.Millisecond
	stopAll    = 2300 * time.Millisecond
	// harmWait is how long a filling task waits for a runner where it does
	// little harm.
	harmWait = 1500 * time.Millisecond
)

// quietTail is the learned tail of undisturbed tasks of an image.
type quietTail struct {
	ms      float64
	samples int
}

// harm is what is known of how tasks disturb each other.
type harm struct {
	model *interference.Model
	quiet map[string]*quietTail
}

func newHarm() harm {
	settings := interference.DefaultSettings()
	settings.NoiseDeviation = tailNoise
	return harm{model: interference.New(settings), quiet: map[string]*quietTail{}}
}

// between is the pressure of a neighbour's image on a serving image, for a
// neighbour that uses all of a runner's processors.
func (h *harm) between(serving, filling string) float64 {
	return h.model.Pair(h.model.Kind(serving), h.model.Kind(filling), 0).Mean
}

// disturbance is how far a tail is from a quiet one: 0 undisturbed, 1 endless.
func (h *harm) disturbance(image string, tail int) float64 {
	q := h.quiet[image]
	if q == nil || tail <= 0 {
		return 0
	}
	return 1 - q.ms/float64(tail)
}

// measure learns from a serving task's tail beside the filling images.
func (h *harm) measure(x *run, beside []interference.Pressure) {
	if x.load <= 0 || x.percent < fullPace {
		return
	}
	image := x.step.Image
	pressure := h.model.Predict(h.model.Kind(image), 0, beside).Mean
	q := h.quiet[image]
	if q == nil {
		// A target is set a few times above the quiet tail.
		q = &quietTail{ms: float64(x.step.TailTarget/time.Millisecond) / 2}
		h.quiet[image] = q
	}
	if pressure < quietPressure {
		q.samples++
		gain := max(quietGain, 1/float64(q.samples+1))
		q.ms += gain * (float64(x.load) - q.ms)
	}
	if len(beside) == 0 {
		return
	}
	h.model.Observe(interference.Measurement{
		Victim:     h.model.Kind(image),
		Slowdown:   1 + max(-0.9, h.disturbance(image, x.load)),
		Neighbours: beside,
	})
}

// fillState is the pace of the filling tasks of one image on a runner.
type fillState struct {
	pace    int // percent
	changed time.Duration
}

// pressures returns what the filling images of the runner use of it.
func (h *harm) pressures(r *runner) []interference.Pressure {
	used := map[string]int{}
	for x := range r.runs {
		if x.step.Fills && x.phase == running {
			used[x.step.Image] += x.load
		}
	}
	out := make([]interference.Pressure, 0, len(used))
	for _, image := range sortedKeys(used) {
		out = append(out, interference.Pressure{Kind: h.model.Kind(image), Share: float64(used[image]) / float64(max(1, r.Capacity.CPUMilli))})
	}
	return out
}

// controlPace learns from the runner's last report and adjusts the pace of its
// filling tasks.
func (c *Core) controlPace(r *runner, now time.Duration) {
	beside := c.harm.pressures(r)
	for x := range r.runs {
		if x.step.TailTarget <= 0 || x.phase != running || x.load <= 0 {
			continue
		}
		c.harm.measure(x, beside)
		percent := tailPercent(x)
		x.noteTail(percent, now)
		if percent <= slowAbove || r.filling == 0 {
			continue
		}
		c.slowDown(r, x, now)
		c.slowAll(r, x, now)
	}
	c.speedUp(r, now)
	c.orderPaces(r)
}

// tailPercent is a serving task's tail in percent of its target.
func tailPercent(x *run) int {
	return x.load * 100 / max(1, int(x.step.TailTarget/time.Millisecond))
}

// noteTail records since when a serving task has been over its target.
func (x *run) noteTail(percent int, now time.Duration) {
	if percent < 100 {
		x.over = 0
	} else if x.over == 0 {
		x.over = now
	}
}

// slowAll slows every image beside a serving task that has been over its target
// for long.
func (c *Core) slowAll(r *runner, victim *run, now time.Duration) {
	if victim.over == 0 || now-victim.over < suspectAll {
		return
	}
	for image := range r.fillingImages {
		s := r.fill(image)
		if now-s.changed < paceSettle && now-victim.over < stopAll || s.pace == minPace {
			continue
		}
		s.pace, s.changed = max(minPace, s.pace/3), now
		if now-victim.over >= stopAll {
			s.pace = minPace
		}
		c.counters("paces_forced", 1)
	}
}

// slowDown slows the images that press most on a serving task, as far as the
// model says it takes.
func (c *Core) slowDown(r *runner, victim *run, now time.Duration) {
	target := int(victim.step.TailTarget / time.Millisecond)
	tail := c.harm.disturbance(victim.step.Image, victim.load)
	excess := tail - c.harm.disturbance(victim.step.Image, target) + relief*max(0, tail)
	blames := c.blame(r, victim)
	for _, b := range blames {
		if excess <= 0 || b.pressure < leastBlame {
			return
		}
		s := r.fill(b.image)
		if now-s.changed < paceSettle {
			excess -= b.pressure / 2
			continue
		}
		keep := max(0.1, 1-excess/b.pressure)
		pace := max(minPace, int(float64(s.pace)*keep))
		excess -= b.pressure * (1 - keep)
		if pace < s.pace {
			c.counters("paces_lowered", 1)
			c.log.WithFields(logrus.Fields{"runner": r.ID, "image": b.image, "pace": pace, "task": victim.task,
				"tail_ms": victim.load, "target_ms": target}).Info("filling tasks slowed")
			s.pace, s.changed = pace, now
		}
	}
}

// blamed is the present pressure of an image on a serving task.
type blamed struct {
	image    string
	pressure float64
}

// blame lists the filling images by their pressure on a serving task.
func (c *Core) blame(r *runner, victim *run) []blamed {
	used := map[string]int{}
	for x := range r.runs {
		if x.step.Fills && x.phase == running {
			used[x.step.Image] += max(x.load, int(x.step.Ask.CPUMilli)*x.pace/fullPace)
		}
	}
	out := make([]blamed, 0, len(used))
	for _, image := range sortedKeys(used) {
		share := float64(used[image]) / float64(max(1, r.Capacity.CPUMilli))
		out = append(out, blamed{image, share * c.harm.between(victim.step.Image, image)})
	}
	slices.SortStableFunc(out, func(a, b blamed) int {
		switch {
		case a.pressure > b.pressure:
			return -1
		case a.pressure < b.pressure:
			return 1
		}
		return 0
	})
	return out
}

// speedUp raises the pace of images whose victims are well below their target.
func (c *Core) speedUp(r *runner, now time.Duration) {
	for image, s := range r.fills {
		if s.pace == fullPace || now-s.changed < paceSettle || !c.calm(r, image) {
			continue
		}
		s.pace = min(fullPace, s.pace+max(raiseStep, s.pace/2))
		s.changed = now
	}
}

// calm reports whether no serving task that the image presses on is near its
// target.
func (c *Core) calm(r *runner, image string) bool {
	for x := range r.runs {
		if x.step.TailTarget > 0 && x.phase == running && tailPercent(x) > raiseBelow &&
			c.harm.between(x.step.Image, image) > calmPressure {
			return false
		}
	}
	return true
}

// fill returns the pace of an image on the runner.
func (r *runner) fill(image string) *fillState {
	s := r.fills[image]
	if s == nil {
		s = &fillState{pace: fullPace}
		r.fills[image] = s
	}
	return s
}

func (c *Core) orderPaces(r *runner) {
	for x := range r.runs {
		if !x.step.Fills || x.phase != running {
			continue
		}
		if pace := r.fill(x.step.Image).pace; x.pace != pace {
			c.orderPace(x, pace)
		}
	}
}

func (c *Core) orderPace(x *run, percent int) {
	x.pace = percent
	x.settled.Store(true)
	x.settled = new(atomic.Bool)
	c.orders = append(c.orders, Order{Kind: Pace, Runner: x.runner.ID, Address: x.runner.Address, Task: x.task, Run: x.number, Percent: percent, Settled: x.settled})
}

// added is the pressure on the worst and on all serving tasks of a runner if a
// filling task came to it.
func (c *Core) added(r *runner, step *jobs.Step) (worst, sum float64) {
	cpu := float64(max(1, r.Capacity.CPUMilli))
	for image := range r.servingImages {
		var present float64
		for other, milli := range r.fillingImages {
			present += float64(milli) / cpu * c.harm.between(image, other)
		}
		more := float64(step.Ask.CPUMilli) / cpu * c.harm.between(image, step.Image)
		worst = max(worst, present+more)
		sum += more * float64(r.servingImages[image])
	}
	return worst, sum
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
