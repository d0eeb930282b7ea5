package interference

import "math"

// StoredPair is the estimate of one measured pair in the form in which it is
// stored.
type StoredPair struct {
	Victim    string  `cbor:"1,keyasint"`
	Neighbour string  `cbor:"2,keyasint"`
	Band      int     `cbor:"3,keyasint,omitempty"`
	Mean      float64 `cbor:"4,keyasint"`
	Deviation float64 `cbor:"5,keyasint"`
}

// Export returns the estimates of all measured pairs.
func (m *Model) Export() []StoredPair {
	names := make([]string, len(m.kinds))
	for name, kind := range m.kinds {
		names[kind] = name
	}
	var out []StoredPair
	for victim := range m.pairs {
		for neighbour := range m.pairs[victim] {
			for band, c := range m.pairs[victim][neighbour] {
				if c.samples > 0 {
					out = append(out, StoredPair{names[victim], names[neighbour], band, c.mean, math.Sqrt(c.variance)})
				}
			}
		}
	}
	return out
}

// Import adds the estimates that another process has exported, except for those
// for which this model has measurements of its own. It ignores entries with
// values out of range.
func (m *Model) Import(storedPairs []StoredPair) {
	for _, stored := range storedPairs {
		valid := stored.Mean >= 0 && stored.Deviation >= 0 && !math.IsInf(stored.Mean+stored.Deviation, 0) && !math.IsNaN(stored.Mean+stored.Deviation)
		if !valid || stored.Band < 0 || stored.Band >= loadBandCount {
			continue
		}
		victim, neighbour := m.Kind(stored.Victim), m.Kind(stored.Neighbour)
		c := &m.pairs[victim][neighbour][stored.Band]
		if c.samples == 0 {
			*c = coefficient{mean: stored.Mean, variance: stored.Deviation * stored.Deviation, samples: 1}
		}
	}
}
