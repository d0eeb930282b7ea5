package scheduler

import (
	"fmt"
	"testing"

	"bergamotstile/structs"
	"pgregory.net/rapid"
)

func drawWorkers(t *rapid.T) *Snapshot {
	s := &Snapshot{}
	for i := range rapid.IntRange(1, 80).Draw(t, "workers") {
		s.Workers = append(s.Workers, Worker{
			Name: fmt.Sprint(i), Rack: fmt.Sprint(i / 6), Reachable: true,
			Capacity: structs.Resources{CPUMilli: 32_000, MemoryMB: 125_000},
			Held:     structs.Resources{CPUMilli: rapid.Int64Range(0, 32_000).Draw(t, "held")},
		})
	}
	return s
}

// Guards against a bounded search that overlooks the only node with room.
func TestPlaceFindsRoomWhereverItIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawWorkers(t)
		c := NewCycle(s, Plugins{Filters: []FilterPlugin{Placeable{}}}, Limits{Tight: 2, Roomy: 1, Visits: 3})
		for i := range 60 {
			item := Item{Work: structs.WorkID(fmt.Sprint(i)), Job: "j", Size: structs.Resources{CPUMilli: rapid.Int64Range(1, 20_000).Draw(t, "cpu")}}
			fits := false
			for _, n := range c.Nodes() {
				fits = fits || item.Size.Fits(n.Room)
			}
			if got := c.Place(&item) != nil; got != fits {
				t.Fatalf("item %d of %v: placed %v, room exists %v", i, item.Size, got, fits)
			}
		}
		for _, n := range c.Nodes() {
			if n.Room.CPUMilli < 0 {
				t.Fatalf("node %s is committed beyond its capacity", n.Name)
			}
		}
	})
}

// Guards against headroom that lets work through which the declared sizes
// would refuse, and against one that ignores measured overruns.
func TestHeadroomOnlyTightens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := NewSizes(DefaultSizeSettings())
		declared := structs.Resources{CPUMilli: 4000, MemoryMB: 8000}
		factor := rapid.Float64Range(0.2, 3).Draw(t, "factor")
		for range 50 {
			sizes.Observe("j", declared, structs.Resources{CPUMilli: int64(4000 * factor), MemoryMB: 8000})
		}
		s := &Snapshot{Workers: []Worker{{Name: "w", Reachable: true, Capacity: structs.Resources{CPUMilli: 24_000, MemoryMB: 100_000}}}}
		headroom := NewHeadroom(sizes, s)
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

// Guards against an index that loses or repeats nodes when rooms change.
func TestIndexVisitsEachNodeOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawWorkers(t)
		c := NewCycle(s, Plugins{}, DefaultLimits())
		for range 50 {
			i := rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")
			c.nodes[i].Room.CPUMilli = rapid.Int64Range(-5000, 200_000).Draw(t, "room")
			c.index.move(int32(i), c.nodes[i].Room.CPUMilli)
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

// Guards against a job whose tasks share one rack while others are free, so
// that one switch stops all of them.
func TestRackSpreadUsesAllRacks(t *testing.T) {
	s := &Snapshot{}
	for i := range 12 {
		s.Workers = append(s.Workers, Worker{Name: fmt.Sprint(i), Rack: fmt.Sprint(i / 3), Reachable: true, Capacity: structs.Resources{CPUMilli: 32_000}})
	}
	item := Item{Job: "j", Size: structs.Resources{CPUMilli: 1000}}
	s.Queue = []Item{item}
	spread := NewRackSpread(s)
	c := NewCycle(s, Plugins{Scores: []Weighted{{Plugin: spread, Weight: 1}}, Reserves: []ReservePlugin{spread}}, DefaultLimits())
	racks := map[string]int{}
	for range 8 {
		racks[c.Place(&item).Rack]++
	}
	for rack, n := range racks {
		if n != 2 {
			t.Errorf("rack %s holds %d of 8 tasks", rack, n)
		}
	}
}
