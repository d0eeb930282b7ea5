package interference

import (
	"math"
	"testing"
)

// Guards against losing the predecessor's estimates at a takeover, and against
// estimates from a damaged record.
func TestImportRestoresEstimatesAndRejectsDamagedRecords(t *testing.T) {
	m := New(DefaultSettings())
	victim, neighbour := m.Kind("shop"), m.Kind("render")
	for range 50 {
		m.Observe(Measurement{Victim: victim, Slowdown: 1.5, Neighbours: []Pressure{{neighbour, 0.2}}})
	}
	want := m.Pair(victim, neighbour, 0).Mean
	imported := New(DefaultSettings())
	imported.Kind("another")
	imported.Import(append(m.Export(), StoredPair{Victim: "shop", Neighbour: "bad", Mean: math.NaN()}, StoredPair{Victim: "x", Neighbour: "y", Band: 99}))
	if got := imported.Pair(imported.Kind("shop"), imported.Kind("render"), 0).Mean; math.Abs(got-want) > 1e-9 {
		t.Errorf("imported mean %v, want %v", got, want)
	}
	if got := imported.Pair(imported.Kind("shop"), imported.Kind("bad"), 0).Mean; got != DefaultSettings().PriorMean {
		t.Errorf("estimate after a damaged record is %v", got)
	}
}
