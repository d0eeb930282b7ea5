package coordinator

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// Best-effort tasks interfere with serving tasks: a few pairs of images strongly, most
// of them hardly at all. The tail latency of a serving task grows like that of a
// queue: the ratio of the quiet tail to the measured tail falls linearly with the
// task's own load and with the pressure of its neighbours. One minus this ratio is
// called degradation. The interference model is learned from degradation, and the
// paces of best-effort tasks are set by it.
const (
	// assumedQuietTailPercent is the assumed quiet tail of an image, in percent of its
	// tail target, until the quiet tail has been measured.
	assumedQuietTailPercent = 45
	quietTailPriorSamples   = 30   // samples that the assumption counts for
	maxQuietTailSamples     = 400  // samples over which the mean of the quiet tail moves
	quietBestEffortShare    = 0.04 // best-effort use of the processors below which a tail is quiet
	// tailNoiseDeviation is the standard deviation of a measured degradation. It covers
	// the imprecision of the reported tail and the change of the serving task's own load
	// since the previous report.
	tailNoiseDeviation = 0.2
	// Most pairs have a pressure of about 0.3, a few have ten times as much. The model must
	// distinguish these after a few measurements.
	priorPressureMean      = 0.5
	priorPressureDeviation = 1.5
	pressureDrift          = 0.01
	// negligiblePressure is the pressure below which an estimate is mostly noise.
	negligiblePressure = 0.6
	// saturatedDegradation is the degradation above which a tail says only that the
	// pressure is at least as large as predicted.
	saturatedDegradation = 0.85
	// assumedTolerance is the tolerance, from 0 to 1, of a serving image for a
	// best-effort image while the pair has hardly been measured.
	assumedTolerance = 0.4
	// sufficientImageShare is the share of the best-effort images that is enough to use
	// all free capacity of a runner.
	sufficientImageShare = 0.33
	// usualPressureLimit is the pressure that serving tasks tolerate most of the time.
	// usualProcessorShare is the share of a runner's processors that the tasks of one
	// best-effort image usually use.
	usualPressureLimit  = 0.4
	usualProcessorShare = 0.4
)

// quietTail is the learned tail latency, in milliseconds, of an image's serving tasks
// when almost no best-effort tasks run beside them.
type quietTail struct {
	ms      float64
	samples float64
}

// interferenceModel predicts how much best-effort tasks slow serving tasks.
type interferenceModel struct {
	model      *interference.Model
	quietTails map[string]*quietTail
	// bestEffortKinds are the images of all best-effort steps opened so far.
	bestEffortKinds map[interference.Kind]struct{}
}

func newInterferenceModel() interferenceModel {
	settings := interference.DefaultSettings()
	settings.NoiseDeviation = tailNoiseDeviation
	settings.PriorMean = priorPressureMean
	settings.PriorDeviation = priorPressureDeviation
	settings.DriftPerMeasurement = pressureDrift
	return interferenceModel{model: interference.New(settings), quietTails: map[string]*quietTail{}, bestEffortKinds: map[interference.Kind]struct{}{}}
}

// storedInterference is the stored form of the interference model.
type storedInterference struct {
	Pairs        []interference.StoredPair `cbor:"1,keyasint"`
	QuietTailsMS map[string]float64        `cbor:"2,keyasint"` // in milliseconds, by image
}

// EncodeInterference returns the stored form of the interference model, from which a
// successor starts. If it does not fit into one row, it holds only a part of the model.
func (c *Core) EncodeInterference() ([]byte, error) {
	stored := storedInterference{Pairs: c.interference.model.Export(), QuietTailsMS: map[string]float64{}}
	for image, tail := range c.interference.quietTails {
		stored.QuietTailsMS[image] = tail.ms
	}
	value, err := cbor.Marshal(stored)
	for limit := c.limits.maxRowBytes(); err == nil && len(value) > limit && len(stored.Pairs)+len(stored.QuietTailsMS) > 0; {
		stored.shrink()
		value, err = cbor.Marshal(stored)
	}
	return value, err
}

// shrink drops the half of the pairs of which least is known and, once there are no pairs,
// the half of the tails. What is dropped has to be learned again after a takeover.
func (s *storedInterference) shrink() {
	if len(s.Pairs) > 0 {
		slices.SortFunc(s.Pairs, func(a, b interference.StoredPair) int { return cmp.Compare(a.Deviation, b.Deviation) })
		s.Pairs = s.Pairs[:len(s.Pairs)/2]
		return
	}
	images := slices.Sorted(maps.Keys(s.QuietTailsMS))
	for _, image := range images[len(images)/2:] {
		delete(s.QuietTailsMS, image)
	}
}

// RestoreInterference adds the interference model that a predecessor stored.
func (c *Core) RestoreInterference(value []byte) error {
	var stored storedInterference
	if err := cbor.Unmarshal(value, &stored); err != nil {
		return fmt.Errorf("decode stored interference model: %w", err)
	}
	c.interference.model.Import(stored.Pairs)
	for image, ms := range stored.QuietTailsMS {
		if ms > 0 {
			c.interference.quietTails[image] = &quietTail{ms: ms, samples: quietTailPriorSamples}
		}
	}
	return nil
}

// pairPressure returns the pressure on a serving image of a best-effort image whose
// tasks use all processors of a runner.
func (m *interferenceModel) pairPressure(serving, bestEffort interference.Kind) float64 {
	mean := m.model.Pair(serving, bestEffort, 0).Mean
	if mean < negligiblePressure {
		// Estimates can't be negative, so noise makes harmless pairs look worse than
		// they are.
		return mean * mean / negligiblePressure
	}
	return mean
}

// usableShare returns the share, from 0 to 1, of the free capacity that best-effort
// tasks can use on a runner with the given serving images. It is 1 if a sufficient
// share of the best-effort images is tolerated.
func (m *interferenceModel) usableShare(servingKinds []interference.Kind) float64 {
	if len(m.bestEffortKinds) == 0 {
		return min(1, math.Pow(assumedTolerance, float64(len(servingKinds)))/sufficientImageShare)
	}
	var tolerated float64
	for bestEffort := range m.bestEffortKinds {
		product := 1.0
		for _, serving := range servingKinds {
			product *= m.tolerance(serving, bestEffort)
		}
		tolerated += product
	}
	return min(1, tolerated/float64(len(m.bestEffortKinds))/sufficientImageShare)
}

// tolerance returns how well tasks of a best-effort image can run beside a serving
// image: from 0, not at all, to 1, at full pace.
func (m *interferenceModel) tolerance(serving, bestEffort interference.Kind) float64 {
	if m.model.Pair(serving, bestEffort, 0).Deviation > priorPressureDeviation/2 {
		return assumedTolerance
	}
	pace := min(1, usualPressureLimit/(usualProcessorShare*max(1e-9, m.pairPressure(serving, bestEffort))))
	return pace * pace
}

// targetMS returns the tail target of a serving step in milliseconds.
func targetMS(s *jobs.Step) float64 { return float64(s.TailLatencyTarget) / float64(time.Millisecond) }

// quietTailOf returns the quiet tail of a serving step's image.
func (m *interferenceModel) quietTailOf(step *jobs.Step) *quietTail {
	tail := m.quietTails[step.Image]
	if tail == nil {
		tail = &quietTail{ms: targetMS(step) * assumedQuietTailPercent / 100, samples: quietTailPriorSamples}
		m.quietTails[step.Image] = tail
	}
	return tail
}

// degradation returns one minus the ratio of the step's quiet tail to the given tail: 0
// if they are equal, approaching 1 as the given tail grows without bound.
func (m *interferenceModel) degradation(step *jobs.Step, tailMS float64) float64 {
	return 1 - m.quietTailOf(step).ms/max(1, tailMS)
}

// bestEffortUse holds the shares of a runner's processors that best-effort tasks use.
type bestEffortUse struct {
	shares     []interference.Pressure
	totalShare float64
}

// bestEffortUseOn returns the reported use of the runner's best-effort tasks by image.
func (m *interferenceModel) bestEffortUseOn(r *runner) bestEffortUse {
	usedMilli := map[interference.Kind]int64{}
	for run := range r.runs {
		if run.step.BestEffort && run.state == stateRunning {
			usedMilli[run.kind] += int64(run.load)
		}
	}
	var use bestEffortUse
	for _, kind := range slices.Sorted(maps.Keys(usedMilli)) {
		share := float64(usedMilli[kind]) / float64(max(1, r.Capacity.CPUMilli))
		use.shares = append(use.shares, interference.Pressure{Kind: kind, Share: share})
		use.totalShare += share
	}
	return use
}

// learnFromTail updates the model from the reported tail of a serving task. Degradation
// that the present pressures don't explain is attributed to the task's own load, which
// changes slowly, so that a sudden change that comes with a change of the neighbours'
// use updates the learned pressures. A model that compared levels of degradation
// instead would learn that strongly interfering images are harmless, since they are
// slowed just when the serving task's own load is high.
func (m *interferenceModel) learnFromTail(run *taskRun, neighbours bestEffortUse, now time.Duration) {
	quiet := m.quietTailOf(run.step)
	if neighbours.totalShare < quietBestEffortShare {
		quiet.samples = min(maxQuietTailSamples, quiet.samples+1)
		quiet.ms = 1 / (1/quiet.ms + (1/float64(run.load)-1/quiet.ms)/quiet.samples)
	}
	degradation := max(-1, m.degradation(run.step, float64(run.load)))
	ownLoad := run.ownLoad.at(now)
	unexplained := degradation - ownLoad - m.model.Predict(run.kind, 0, neighbours.shares).Mean
	saturated := degradation > saturatedDegradation
	if len(neighbours.shares) > 0 && run.ownLoad.isKnown && (!saturated || unexplained > 0) {
		m.model.Observe(interference.Measurement{Victim: run.kind, Slowdown: max(0.01, 1+degradation-ownLoad), Neighbours: neighbours.shares})
		unexplained = degradation - ownLoad - m.model.Predict(run.kind, 0, neighbours.shares).Mean
	}
	if !saturated || unexplained > 0 {
		run.ownLoad.correct(unexplained, now)
	}
}
