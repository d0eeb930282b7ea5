package interference

import "math"

// Learned is one measured pair in a form that can be stored.
type Learned struct {
	Victim    string  `cbor:"1,keyasint"`
	Neighbour string  `cbor:"2,keyasint"`
	Band      int     `cbor:"3,keyasint,omitempty"`
	Mean      float64 `cbor:"4,keyasint"`
	Deviation float64 `cbor:"5,keyasint"`
}

// Export returns every measured pair.
func (m *Model) Export() []Learned {
	names := make([]string, len(m.kinds))
	for name, kind := range m.kinds {
		names[kind] = name
	}
	var out []Learned
	for victim := range m.pairs {
		for neighbour := range m.pairs[victim] {
			for b, c := range m.pairs[victim][neighbour] {
				if c.samples > 0 {
					out = append(out, Learned{names[victim], names[neighbour], b, c.mean, math.Sqrt(c.variance)})
				}
			}
		}
	}
	return out
}

// Import takes over pairs that another process has learned, where this model
// has no measurement of its own. Values out of range are left out.
func (m *Model) Import(learned []Learned) {
	for _, l := range learned {
		sound := l.Mean >= 0 && l.Deviation >= 0 && !math.IsInf(l.Mean+l.Deviation, 0) && !math.IsNaN(l.Mean+l.Deviation)
		if !sound || l.Band < 0 || l.Band >= loadBands {
			continue
		}
		victim, neighbour := m.Kind(l.Victim), m.Kind(l.Neighbour)
		c := &m.pairs[victim][neighbour][l.Band]
		if c.samples == 0 {
			*c = coefficient{mean: l.Mean, variance: l.Deviation * l.Deviation, samples: 1}
		}
	}
}
