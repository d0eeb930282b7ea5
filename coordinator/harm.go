package coordinator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// Tasks that fill disturb tasks that serve, some pairs of images much, most
// hardly. The tail latency of a serving task grows like that of a queue: the
// share of quiet time over tail falls linearly with its own load and with what
// its neighbours press. Disturbance is one minus that share; it is what the
// model learns and what the paces are set by.
const (
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
	mostOwn = 0.4
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
	// unknownTolerance is how far a serving image is expected to tolerate a
	// filling one of which nothing is known, from 0 to 1.
	unknownTolerance = 0.4
	// enoughKinds is the part of the filling images that suffices to use a
	// runner's room.
	enoughKinds = 0.33
	// usualLimit is the pressure that serving tasks bear for most of the time,
	// and usualShare the share of a runner that one filling image uses.
	usualLimit = 0.4
	usualShare = 0.4
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
	// fills are the filling images seen so far.
	fills map[interference.Kind]struct{}
}

func newHarm() harm {
	settings := interference.DefaultSettings()
	settings.NoiseDeviation = tailNoise
	settings.PriorMean = priorPressure
	settings.PriorDeviation = priorDeviation
	settings.DriftPerMeasurement = pressureDrift
	return harm{model: interference.New(settings), quiet: map[string]*quietTail{}, fills: map[interference.Kind]struct{}{}}
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

// openTo is how far filling tasks can use a runner with these serving images,
// from 0 to 1: it suffices if a part of the filling images is tolerated.
func (h *harm) openTo(served []interference.Kind) float64 {
	if len(h.fills) == 0 {
		return min(1, math.Pow(unknownTolerance, float64(len(served)))/enoughKinds)
	}
	var tolerated float64
	for filling := range h.fills {
		all := 1.0
		for _, s := range served {
			all *= h.tolerance(s, filling)
		}
		tolerated += all
	}
	return min(1, tolerated/float64(len(h.fills))/enoughKinds)
}

// tolerance is how far tasks of a filling image can work at full pace beside a
// serving image, from 0 to 1.
func (h *harm) tolerance(serving, filling interference.Kind) float64 {
	if h.model.Pair(serving, filling, 0).Deviation > priorDeviation/2 {
		return unknownTolerance
	}
	pace := min(1, usualLimit/(usualShare*max(1e-9, h.between(serving, filling))))
	return pace * pace
}

func targetMS(s *jobs.Step) float64 { return float64(s.TailLatencyTarget) / float64(time.Millisecond) }

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
		if x.step.BestEffort && x.phase == running {
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
	surprise := now - x.ownPressure - h.model.Predict(x.kind, 0, beside.pressures).Mean
	capped := now > saturated
	if len(beside.pressures) > 0 && x.measured && (!capped || surprise > 0) {
		h.model.Observe(interference.Measurement{Victim: x.kind, Slowdown: max(0.01, 1+now-x.ownPressure), Neighbours: beside.pressures})
		surprise = now - x.ownPressure - h.model.Predict(x.kind, 0, beside.pressures).Mean
	}
	if !capped || surprise > 0 {
		x.ownPressure = min(mostOwn, max(-mostOwn, x.ownPressure+ownGain*surprise))
	}
	x.measured = true
}
