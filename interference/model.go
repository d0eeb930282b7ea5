// Package interference learns how much each kind of task slows each other
// kind, from measurements that arrive late. It predicts a mean and an
// uncertainty, so that a pair without measurements is not assumed harmless.
package interference

import "math"

// Kind numbers a kind of task. Numbers come from Model.Kind.
type Kind int32

// Pressure is the part of a worker's processors that neighbours of one kind use.
type Pressure struct {
	Kind  Kind
	Share float64
}

// Measurement is one observed slowdown of a victim beside its neighbours.
type Measurement struct {
	Victim Kind
	// Load is the victim's own use of its slots, 0 to 1.
	Load float64
	// Slowdown is the measured time over the time alone; 1 is undisturbed.
	Slowdown   float64
	Neighbours []Pressure
	// Deviation is the standard error of Slowdown; zero takes the default.
	Deviation float64
}

// Estimate is a predicted excess slowdown: 0.2 means 20% slower than alone.
type Estimate struct {
	Mean      float64
	Deviation float64
}

// Upper returns the mean plus k deviations, never below zero.
func (e Estimate) Upper(k float64) float64 {
	return max(0, e.Mean+k*e.Deviation)
}

// Settings holds the constants of the estimator.
type Settings struct {
	// PriorMean is the assumed excess per unit of share of an unmeasured pair.
	PriorMean float64
	// PriorDeviation is the uncertainty of an unmeasured pair.
	PriorDeviation float64
	// NoiseDeviation is the standard error of a measured slowdown.
	NoiseDeviation float64
	// DriftPerMeasurement is the deviation by which a pair may change between
	// two measurements. It keeps old estimates from becoming rigid.
	DriftPerMeasurement float64
	// BandDeviation is added to an estimate taken from another load band.
	BandDeviation float64
}

// DefaultSettings returns the starting values.
func DefaultSettings() Settings {
	return Settings{
		PriorMean:           0.6,
		PriorDeviation:      0.5,
		NoiseDeviation:      0.15,
		DriftPerMeasurement: 0.01,
		BandDeviation:       0.15,
	}
}

// loadBands is the number of intervals of the victim's load that are learned
// apart, because interference grows with load in a way that differs by pair.
const loadBands = 3

type coefficient struct {
	mean     float64
	variance float64
	samples  int
}

type pair [loadBands]coefficient

// Model holds the learned pairs. It is not safe for concurrent use.
type Model struct {
	settings Settings
	kinds    map[string]Kind
	pairs    [][]pair // by victim, then by neighbour
}

// New returns a model without measurements.
func New(settings Settings) *Model {
	return &Model{settings: settings, kinds: map[string]Kind{}}
}

// Kind returns the number of a kind and assigns one to a new name.
func (m *Model) Kind(name string) Kind {
	if k, ok := m.kinds[name]; ok {
		return k
	}
	k := Kind(len(m.kinds))
	m.kinds[name] = k
	for i := range m.pairs {
		m.pairs[i] = append(m.pairs[i], pair{})
	}
	m.pairs = append(m.pairs, make([]pair, int(k)+1))
	return k
}

func band(load float64) int {
	return int(min(max(load, 0), 0.999) * loadBands)
}

// Pair returns the estimate for one unit of share of a neighbour.
func (m *Model) Pair(victim, neighbour Kind, load float64) Estimate {
	c := m.coefficient(victim, neighbour, band(load))
	return Estimate{Mean: c.mean, Deviation: math.Sqrt(c.variance)}
}

// coefficient returns the estimate of a band, else that of the nearest
// measured band with more uncertainty, else the prior.
func (m *Model) coefficient(victim, neighbour Kind, b int) coefficient {
	p := &m.pairs[victim][neighbour]
	if p[b].samples > 0 {
		return p[b]
	}
	for distance := 1; distance < loadBands; distance++ {
		for _, other := range [2]int{b - distance, b + distance} {
			if other < 0 || other >= loadBands || p[other].samples == 0 {
				continue
			}
			c := p[other]
			c.variance += m.settings.BandDeviation * m.settings.BandDeviation * float64(distance)
			return c
		}
	}
	return coefficient{mean: m.settings.PriorMean, variance: m.settings.PriorDeviation * m.settings.PriorDeviation}
}

// Predict returns the excess slowdown of a victim beside the neighbours.
func (m *Model) Predict(victim Kind, load float64, neighbours []Pressure) Estimate {
	b := band(load)
	var mean, variance float64
	for _, n := range neighbours {
		c := m.coefficient(victim, n.Kind, b)
		mean += n.Share * c.mean
		variance += n.Share * n.Share * c.variance
	}
	return Estimate{Mean: mean, Deviation: math.Sqrt(variance)}
}

// Observe corrects the pairs that took part in a measurement. Each is
// corrected in proportion to its uncertainty, as in a Kalman filter with
// independent coefficients.
func (m *Model) Observe(o Measurement) {
	if o.Slowdown <= 0 || math.IsNaN(o.Slowdown) || math.IsInf(o.Slowdown, 0) {
		return
	}
	b := band(o.Load)
	noise := o.Deviation
	if noise <= 0 {
		noise = m.settings.NoiseDeviation
	}
	expected, total := 0.0, noise*noise
	for _, n := range o.Neighbours {
		c := m.coefficient(o.Victim, n.Kind, b)
		expected += n.Share * c.mean
		total += n.Share * n.Share * m.drifted(c.variance)
	}
	m.correct(o, b, o.Slowdown-1-expected, total)
}

func (m *Model) correct(o Measurement, b int, surprise, total float64) {
	for _, n := range o.Neighbours {
		if n.Share <= 0 {
			continue
		}
		c := m.coefficient(o.Victim, n.Kind, b)
		variance := m.drifted(c.variance)
		gain := variance * n.Share / total
		c.mean = max(0, c.mean+gain*surprise)
		c.variance = variance * (1 - gain*n.Share)
		c.samples++
		m.pairs[o.Victim][n.Kind][b] = c
	}
}

func (m *Model) drifted(variance float64) float64 {
	return variance + m.settings.DriftPerMeasurement*m.settings.DriftPerMeasurement
}
