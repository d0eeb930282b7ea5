package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// Tasks that fill disturb tasks that serve, some pairs of images much, most
// hardly. The tail latency of a serving task grows like that of a queue: the
// share of quiet time over tail falls linearly with its own load and with what
// its neighbours press. Disturbance is one minus that share; it is what the
// model learns and what the paces are set by.
const (
	fullPace = 100 // percent
	minPace  = 1
	// unknownPace is that of a run which a predecessor paced.
	unknownPace = -1
	// quietOfTarget is the assumed quiet tail in percent of the target, until
	// it is measured.
	quietOfTarget  = 45
	quietPrior     = 30 // samples that the assumption counts for
	quietSamples   = 400
	quietFillShare = 0.04 // of the processors, below which tails count as quiet
	// tailNoise is the deviation of a measurement by the roughness of the figure
	// and the change of a serving task's own load since the last one.
	tailNoise = 0.2
	// ownGain is the part of an unexplained change that is laid to the serving
	// task's own load; mostOwn bounds the disturbance by it.
	ownGain = 0.4
	mostOwn = 0.6
	// Most pairs press by about 0.3, a few by ten times as much; the model must
	// tell them apart after a few readings.
	priorPressure  = 0.5
	priorDeviation = 1.5
	pressureDrift  = 0.01
	// harmlessPressure is the pressure below which an estimate is mostly noise.
	harmlessPressure = 0.6
	// saturated is the disturbance above which a tail says only that the
	// pressure is at least as large as predicted.
	saturated = 0.85
	// headroom is kept below the target's disturbance, for changes of the
	// serving task's own load before the next reading.
	headroom = 0.17
	// calmPressure is the pressure that filling tasks may always cause.
	calmPressure = 0.06
	// plannedLoad is the disturbance by a serving task's own load that
	// placement reckons with, beside headroom.
	plannedLoad = 0.2
	// smallPart is the part of all pressure on a task below which an image is
	// not slowed for it.
	smallPart = 0.15
	// paceStep is the least change of pace that is ordered, in percent.
	paceStep = 5
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
)

// quietTail is the learned tail of undisturbed tasks of an image.
type quietTail struct {
	ms      float64
	samples float64
}

// harm is what is known of how tasks disturb each other.
type harm struct {
	model *interference.Model
	quiet map[string]*quietTail
}

func newHarm() harm {
	settings := interference.DefaultSettings()
	settings.NoiseDeviation = tailNoise
	settings.PriorMean = priorPressure
	settings.PriorDeviation = priorDeviation
	settings.DriftPerMeasurement = pressureDrift
	return harm{model: interference.New(settings), quiet: map[string]*quietTail{}}
}

// learned is the stored form of what is known.
type learned struct {
	Pairs []interference.Learned `cbor:"1,keyasint"`
	Quiet map[string]float64     `cbor:"2,keyasint"` // tails in milliseconds
}

// Learned returns what is known of interference, for a successor.
func (c *Core) Learned() ([]byte, error) {
	l := learned{Pairs: c.harm.model.Export(), Quiet: map[string]float64{}}
	for image, q := range c.harm.quiet {
		l.Quiet[image] = q.ms
	}
	return cbor.Marshal(l)
}

// Learn takes over what a predecessor knew of interference.
func (c *Core) Learn(value []byte) error {
	var l learned
	if err := cbor.Unmarshal(value, &l); err != nil {
		return fmt.Errorf("learned interference: %w", err)
	}
	c.harm.model.Import(l.Pairs)
	for image, ms := range l.Quiet {
		if ms > 0 {
			c.harm.quiet[image] = &quietTail{ms: ms, samples: quietPrior}
		}
	}
	return nil
}

// between is the pressure of a neighbour's image on a serving image, for a
// neighbour that uses all of a runner's processors.
func (h *harm) between(serving, filling interference.Kind) float64 {
	mean := h.model.Pair(serving, filling, 0).Mean
	if mean < harmlessPressure {
		// Estimates can't be negative, so noise makes harmless pairs look worse
		// than they are.
		return mean * mean / harmlessPressure
	}
	return mean
}

func targetMS(s *jobs.Step) float64 { return float64(s.TailTarget) / float64(time.Millisecond) }

// quietMS is the undisturbed tail of a serving step's image.
func (h *harm) quietMS(s *jobs.Step) *quietTail {
	q := h.quiet[s.Image]
	if q == nil {
		q = &quietTail{ms: targetMS(s) * quietOfTarget / 100, samples: quietPrior}
		h.quiet[s.Image] = q
	}
	return q
}

// disturbance is how far a tail is from a quiet one: 0 undisturbed, 1 endless.
func (h *harm) disturbance(s *jobs.Step, tailMS float64) float64 {
	return 1 - h.quietMS(s).ms/max(1, tailMS)
}

// neighbours is what the filling images of a runner use of it.
type neighbours struct {
	pressures []interference.Pressure
	total     float64
}

func (h *harm) neighbours(r *runner) neighbours {
	used := map[interference.Kind]int64{}
	for x := range r.runs {
		if x.step.Fills && x.phase == running {
			used[x.kind] += int64(x.load)
		}
	}
	var n neighbours
	for _, kind := range slices.Sorted(maps.Keys(used)) {
		share := float64(used[kind]) / float64(max(1, r.Capacity.CPUMilli))
		n.pressures = append(n.pressures, interference.Pressure{Kind: kind, Share: share})
		n.total += share
	}
	return n
}

// measure learns from a serving task's tail. What the present pressures don't
// explain is the disturbance by the task's own load, which changes slowly; a
// sudden change beside a change of pressures teaches the model. Comparing
// levels instead would teach it that harmful images are harmless, since they
// are slowed just when the own load is high.
func (h *harm) measure(x *run, beside neighbours) {
	q := h.quietMS(x.step)
	if beside.total < quietFillShare {
		q.samples = min(quietSamples, q.samples+1)
		q.ms = 1 / (1/q.ms + (1/float64(x.load)-1/q.ms)/q.samples)
	}
	now := max(-1, h.disturbance(x.step, float64(x.load)))
	surprise := now - x.own - h.model.Predict(x.kind, 0, beside.pressures).Mean
	capped := now > saturated
	if len(beside.pressures) > 0 && x.measured && (!capped || surprise > 0) {
		h.model.Observe(interference.Measurement{Victim: x.kind, Slowdown: max(0.01, 1+now-x.own), Neighbours: beside.pressures})
		surprise = now - x.own - h.model.Predict(x.kind, 0, beside.pressures).Mean
	}
	if !capped || surprise > 0 {
		x.own = min(mostOwn, max(-mostOwn, x.own+ownGain*surprise))
	}
	x.measured = true
}

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
		if x.step.TailTarget <= 0 || x.phase != running || x.load <= 0 || x.percent < fullPace {
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
	allowed := max(calmPressure, c.harm.disturbance(x.step, targetMS(x.step))-headroom-max(0, x.own))
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

// paceOf is the pace at which filling tasks of the image run there.
func (r *runner) paceOf(kind interference.Kind) int {
	if s := r.fills[kind]; s != nil {
		return s.pace
	}
	return fullPace
}

func (c *Core) orderPaces(r *runner) {
	for x := range r.runs {
		if !x.step.Fills || x.phase != running {
			continue
		}
		if pace := r.fill(x.kind).pace; x.pace != pace {
			c.orderPace(x, pace)
		}
	}
}

func (c *Core) orderPace(x *run, percent int) {
	c.counters("paces", 1)
	c.log.WithFields(logrus.Fields{"task": x.task, "run": x.number, "runner": x.runner.ID, "pace": percent, "before": x.pace}).Info("pace ordered")
	if x.pace > stuckPace || percent > stuckPace {
		x.paced = c.now
	}
	x.pace = percent
	x.settled.Store(true)
	x.settled = new(atomic.Bool)
	c.orders = append(c.orders, Order{Kind: Pace, Runner: x.runner.ID, Address: x.runner.Address, Task: x.task, Run: x.number, Percent: percent, Settled: x.settled})
}

// pressed is a serving image on a runner with the pressure that it bears.
type pressed struct {
	kind    interference.Kind
	tasks   int
	limit   float64
	present float64 // of all filling tasks at their paces
}

// pressedOn returns the serving images of a runner. The result is kept until
// the runner's tasks or readings change.
func (c *Core) pressedOn(r *runner) []pressed {
	if r.pressed != nil || len(r.served) == 0 {
		return r.pressed
	}
	for kind, s := range r.served {
		p := pressed{kind: kind, tasks: s.tasks}
		p.limit = max(calmPressure, c.harm.disturbance(s.step, targetMS(s.step))-headroom-plannedLoad)
		for other := range r.filled {
			p.present += c.pressureOf(r, kind, other) * float64(r.paceOf(other)) / fullPace
		}
		r.pressed = append(r.pressed, p)
	}
	return r.pressed
}

// safePace is the pace in percent at which a further filling task, with those
// of its image that are there, spares every serving task of the runner. Harm is
// the pressure that it would add at full pace, summed over the serving tasks.
func (c *Core) safePace(r *runner, kind interference.Kind, ask int64) (pace int, harm float64) {
	cpu := float64(max(1, r.Capacity.CPUMilli))
	there := float64(r.filled[kind]) / cpu
	more := float64(ask) / cpu
	allowed := 1.0
	for _, p := range c.pressedOn(r) {
		between := c.harm.between(p.kind, kind)
		if between <= 0 {
			continue
		}
		others := p.present - there*between*float64(r.paceOf(kind))/fullPace
		allowed = min(allowed, (p.limit-others)/(between*(there+more)))
		harm += more * between * float64(p.tasks)
	}
	return int(fullPace * max(0, allowed)), harm
}

// limitPace sets the safe pace of an image before a task of it is started.
func (c *Core) limitPace(r *runner, w *work, now time.Duration) {
	pace, _ := c.safePace(r, w.kind, w.step.Ask.CPUMilli)
	if pace < r.paceOf(w.kind) {
		*r.fill(w.kind) = fillState{pace: max(minPace, pace), changed: now}
	}
}
