package scheduler

import (
	"fmt"
	"testing"

	"bergamotstile/structs"
	"pgregory.net/rapid"
)

func drawSnapshot(t *rapid.T) *Snapshot {
	s := &Snapshot{}
	for i := range rapid.IntRange(1, 80).Draw(t, "workers") {
		s.Workers = append(s.Workers, Worker{
			Name: fmt.Sprint(i), Rack: fmt.Sprint(i / 6), Reachable: true,
			Capacity:  structs.Resources{CPUMilli: 32_000, MemoryMB: 125_000},
			Allocated: structs.Resources{CPUMilli: rapid.Int64Range(0, 32_000).Draw(t, "allocated")},
		})
	}
	return s
}

// Guards against a bounded search that misses the only node with enough free
// capacity.
func TestPlaceFindsAnyNodeWithFreeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		c := NewCycle(s, Plugins{Filters: []FilterPlugin{EligibilityFilter{}}}, Limits{MaxScoredAscending: 2, MaxScoredDescending: 1, MaxVisits: 3})
		for i := range 60 {
			item := Item{Work: structs.WorkID(fmt.Sprint(i)), Job: "j", Size: structs.Resources{CPUMilli: rapid.Int64Range(1, 20_000).Draw(t, "cpu")}}
			fits := false
			for _, n := range c.Nodes() {
				fits = fits || item.Size.Fits(n.FreeCapacity)
			}
			if got := c.Place(&item) != nil; got != fits {
				t.Fatalf("item %d of %v: placed %v, free capacity exists %v", i, item.Size, got, fits)
			}
		}
		for _, n := range c.Nodes() {
			if n.FreeCapacity.CPUMilli < 0 {
				t.Fatalf("node %s is allocated beyond its capacity", n.Name)
			}
		}
	})
}

// Guards against a headroom filter that allows more than the declared capacity,
// and against one that ignores measured use above the declared size.
func TestHeadroomOnlyRestrictsPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := NewUsageEstimator(DefaultUsageSettings())
		declared := structs.Resources{CPUMilli: 4000, MemoryMB: 8000}
		factor := rapid.Float64Range(0.2, 3).Draw(t, "factor")
		for range 50 {
			estimator.Observe("j", declared, structs.Resources{CPUMilli: int64(4000 * factor), MemoryMB: 8000})
		}
		s := &Snapshot{Workers: []Worker{{Name: "w", Reachable: true, Capacity: structs.Resources{CPUMilli: 24_000, MemoryMB: 100_000}}}}
		headroom := NewHeadroom(estimator, s)
		c := NewCycle(s, Plugins{Filters: []FilterPlugin{headroom}, Reserves: []ReservePlugin{headroom}}, DefaultLimits())
		s.Workers[0].Running = []Attempt{{Job: "j", Size: declared}}
		placed := 1
		for c.Place(&Item{Job: "j", Class: structs.ClassNormal, Size: declared}) != nil {
			placed++
		}
		if placed > 7 || (factor > 1.3 && float64(placed)*factor*4000 > 24_000+4000*factor) {
			t.Fatalf("%d placed with use %.2f of declared", placed, factor)
		}
	})
}

// Guards against an index that loses or repeats nodes when their free capacity
// changes.
func TestIndexVisitsEachNodeOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		c := NewCycle(s, Plugins{}, DefaultLimits())
		for range 50 {
			i := rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")
			c.nodes[i].FreeCapacity.CPUMilli = rapid.Int64Range(-5000, 200_000).Draw(t, "free")
			c.index.move(int32(i), c.nodes[i].FreeCapacity.CPUMilli)
		}
		seen := map[int32]int{}
		c.index.ascend(0, func(n int32) bool { seen[n]++; return true })
		c.index.descend(0, func(n int32) bool { seen[n]++; return true })
		for i := range c.nodes {
			if seen[int32(i)] != 2 {
				t.Fatalf("node %d is visited %d times in two passes", i, seen[int32(i)])
			}
		}
	})
}

// Guards against placing all tasks of a job in one rack while other racks have
// free capacity, so that the failure of one switch would stop all of them.
func TestRackSpreadUsesAllRacks(t *testing.T) {
	s := &Snapshot{}
	for i := range 12 {
		s.Workers = append(s.Workers, Worker{Name: fmt.Sprint(i), Rack: fmt.Sprint(i / 3), Reachable: true, Capacity: structs.Resources{CPUMilli: 32_000}})
	}
	item := Item{Job: "j", Size: structs.Resources{CPUMilli: 1000}}
	s.Queue = []Item{item}
	spread := NewRackSpread(s)
	c := NewCycle(s, Plugins{Scores: []WeightedScore{{Plugin: spread, Weight: 1}}, Reserves: []ReservePlugin{spread}}, DefaultLimits())
	racks := map[string]int{}
	for range 8 {
		racks[c.Place(&item).Rack]++
	}
	for rack, n := range racks {
		if n != 2 {
			t.Errorf("rack %s runs %d of 8 tasks", rack, n)
		}
	}
}
