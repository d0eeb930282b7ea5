// Package interference estimates from measurements that arrive with a delay how
// much each kind of task slows each other kind. It predicts a mean and an
// uncertainty, so that a pair without measurements is not assumed to be
// harmless.
package interference

import "math"

// Kind is the number of a kind of task, as Model.Kind assigns it.
type Kind int32

// Pressure is the load on a worker by all neighbours of one kind.
type Pressure struct {
	Kind Kind
	// Share is the fraction of the worker's processors that the neighbours use.
	Share float64
}

// Measurement is one measured slowdown of a task, the victim, while its
// neighbours ran beside it.
type Measurement struct {
	Victim Kind
	// Load is the fraction of the victim's slots that were busy, from 0 to 1.
	Load float64
	// Slowdown is the measured time divided by the time without neighbours; 1
	// means no slowdown.
	Slowdown   float64
	Neighbours []Pressure
	// Deviation is the standard error of Slowdown. Zero selects
	// Settings.NoiseDeviation.
	Deviation float64
}

// Estimate is a predicted excess slowdown; 0.2 means 20% slower than without
// neighbours.
type Estimate struct {
	Mean      float64
	Deviation float64
}

// UpperBound returns the mean plus k standard deviations, or zero if that is
// negative.
func (e Estimate) UpperBound(k float64) float64 {
	return max(0, e.Mean+k*e.Deviation)
}

// Settings holds the constants of the estimator.
type Settings struct {
	// PriorMean is the assumed excess slowdown per unit of share for a pair
	// without measurements.
	PriorMean float64
	// PriorDeviation is the standard deviation of PriorMean.
	PriorDeviation float64
	// NoiseDeviation is the standard error of a measured slowdown that does not
	// state its own.
	NoiseDeviation float64
	// DriftPerMeasurement is the standard deviation by which the true value of
	// a pair may change between two measurements. It ensures that an estimate
	// from many measurements still follows a change.
	DriftPerMeasurement float64
	// BandDeviation is the standard deviation added for each step between the
	// requested load band and the band from which an estimate is taken.
	BandDeviation float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		PriorMean:           0.6,
		PriorDeviation:      0.5,
		NoiseDeviation:      0.15,
		DriftPerMeasurement: 0.01,
		BandDeviation:       0.15,
	}
}

// loadBandCount is the number of intervals into which the victim's load is
// divided. Each interval has its own estimates, because interference grows with
// load in a way that differs from pair to pair.
const loadBandCount = 3

// coefficient is the estimated excess slowdown per unit of share.
type coefficient struct {
	mean     float64
	variance float64
	samples  int
}

// pairCoefficients holds the coefficients of a victim and a neighbour, by load
// band.
type pairCoefficients [loadBandCount]coefficient

// Model holds the estimates of all pairs of kinds. It is not safe for
// concurrent use.
type Model struct {
	settings Settings
	kinds    map[string]Kind
	pairs    [][]pairCoefficients // by victim, then by neighbour
}

// New returns a model without measurements.
func New(settings Settings) *Model {
	return &Model{settings: settings, kinds: map[string]Kind{}}
}

// Kind returns the number of the kind with this name. It assigns the next
// number to a new name.
func (m *Model) Kind(name string) Kind {
	if k, ok := m.kinds[name]; ok {
		return k
	}
	k := Kind(len(m.kinds))
	m.kinds[name] = k
	for i := range m.pairs {
		m.pairs[i] = append(m.pairs[i], pairCoefficients{})
	}
	m.pairs = append(m.pairs, make([]pairCoefficients, int(k)+1))
	return k
}

// loadBand returns the index of the load band of a load from 0 to 1.
func loadBand(load float64) int {
	return int(min(max(load, 0), 0.999) * loadBandCount)
}

// Pair returns the estimated excess slowdown of a victim for one unit of share
// of a neighbour.
func (m *Model) Pair(victim, neighbour Kind, load float64) Estimate {
	c := m.coefficient(victim, neighbour, loadBand(load))
	return Estimate{Mean: c.mean, Deviation: math.Sqrt(c.variance)}
}

// coefficient returns the estimate of a load band. If the band has no
// measurements, it returns the estimate of the nearest band that has
// measurements, with a larger variance. If no band has any, it returns the
// prior.
func (m *Model) coefficient(victim, neighbour Kind, band int) coefficient {
	bands := &m.pairs[victim][neighbour]
	if bands[band].samples > 0 {
		return bands[band]
	}
	for distance := 1; distance < loadBandCount; distance++ {
		for _, other := range [2]int{band - distance, band + distance} {
			if other < 0 || other >= loadBandCount || bands[other].samples == 0 {
				continue
			}
			c := bands[other]
			c.variance += m.settings.BandDeviation * m.settings.BandDeviation * float64(distance)
			return c
		}
	}
	return coefficient{mean: m.settings.PriorMean, variance: m.settings.PriorDeviation * m.settings.PriorDeviation}
}

// Predict returns the predicted excess slowdown of a victim that runs beside
// the given neighbours.
func (m *Model) Predict(victim Kind, load float64, neighbours []Pressure) Estimate {
	band := loadBand(load)
	var mean, variance float64
	for _, n := range neighbours {
		c := m.coefficient(victim, n.Kind, band)
		mean += n.Share * c.mean
		variance += n.Share * n.Share * c.variance
	}
	return Estimate{Mean: mean, Deviation: math.Sqrt(variance)}
}

// Observe corrects the estimates of the pairs of the victim and its neighbours.
// Each estimate is corrected in proportion to its uncertainty, as in a Kalman
// filter with independent coefficients. A slowdown that is not a positive
// finite number is ignored.
func (m *Model) Observe(measurement Measurement) {
	if measurement.Slowdown <= 0 || math.IsNaN(measurement.Slowdown) || math.IsInf(measurement.Slowdown, 0) {
		return
	}
	band := loadBand(measurement.Load)
	noiseDeviation := measurement.Deviation
	if noiseDeviation <= 0 {
		noiseDeviation = m.settings.NoiseDeviation
	}
	expectedExcess, totalVariance := 0.0, noiseDeviation*noiseDeviation
	for _, n := range measurement.Neighbours {
		c := m.coefficient(measurement.Victim, n.Kind, band)
		expectedExcess += n.Share * c.mean
		totalVariance += n.Share * n.Share * m.withDrift(c.variance)
	}
	m.correctPairs(measurement, band, measurement.Slowdown-1-expectedExcess, totalVariance)
}

// correctPairs applies the difference between the measured and the predicted
// slowdown to each pair. totalVariance is the variance of that difference.
func (m *Model) correctPairs(measurement Measurement, band int, predictionError, totalVariance float64) {
	for _, n := range measurement.Neighbours {
		if n.Share <= 0 {
			continue
		}
		c := m.coefficient(measurement.Victim, n.Kind, band)
		variance := m.withDrift(c.variance)
		gain := variance * n.Share / totalVariance
		c.mean = max(0, c.mean+gain*predictionError)
		c.variance = variance * (1 - gain*n.Share)
		c.samples++
		m.pairs[measurement.Victim][n.Kind][band] = c
	}
}

// withDrift adds the variance by which a pair may have changed since its last
// measurement.
func (m *Model) withDrift(variance float64) float64 {
	return variance + m.settings.DriftPerMeasurement*m.settings.DriftPerMeasurement
}
