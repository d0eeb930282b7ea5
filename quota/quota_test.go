package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bergamotstile/structs"
	"pgregory.net/rapid"
)

var rack = structs.Resources{CPUMilli: 192_000, MemoryMB: 750_000}

func drawItems(t *rapid.T) []Item {
	items := make([]Item, rapid.IntRange(0, 40).Draw(t, "items"))
	for i := range items {
		items[i] = Item{
			Team:    fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "team")),
			Class:   structs.Class(rapid.IntRange(0, 2).Draw(t, "class")),
			Size:    structs.Resources{CPUMilli: rapid.Int64Range(1, 32).Draw(t, "cores") * 1000, MemoryMB: 1000},
			Waiting: time.Duration(rapid.IntRange(0, 3600).Draw(t, "waiting")) * time.Second,
		}
	}
	return items
}

// Guards against lost or repeated items, against batch work ordered before
// urgent work, and against younger items ordered before aged ones.
func TestOrderIsAPermutationWithUrgentAndAgedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := drawItems(t)
		s := DefaultSettings()
		order := Order(items, nil, nil, rack, s)
		rank := func(i int) int {
			switch {
			case items[i].Class == structs.ClassUrgent:
				return 0
			case s.IsAged(items[i]):
				return 1
			}
			return 2
		}
		if !slices.IsSortedFunc(order, func(a, b int) int { return rank(a) - rank(b) }) {
			t.Fatalf("wrong order %v", order)
		}
		sorted := slices.Sorted(slices.Values(order))
		for i, v := range sorted {
			if i != v {
				t.Fatalf("not a permutation: %v", order)
			}
		}
		if len(order) != len(items) {
			t.Fatalf("%d of %d items ordered", len(order), len(items))
		}
	})
}

// Guards against shares that ignore the weights of the teams.
func TestOrderFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.IntRange(1, 5).Draw(t, "weight")
		var items []Item
		for range 60 {
			for _, team := range []string{"a", "b"} {
				items = append(items, Item{Team: team, Class: structs.ClassNormal, Size: structs.Resources{CPUMilli: 1000}})
			}
		}
		teams := map[string]Team{"a": {Weight: float64(weight)}, "b": {Weight: 1}}
		counts := map[string]int{}
		for _, i := range Order(items, nil, teams, rack, DefaultSettings())[:36] {
			counts[items[i].Team]++
		}
		want := 36 * weight / (weight + 1)
		if d := counts["a"] - want; d < -1 || d > 1 {
			t.Fatalf("weight %d: team a gets %d of 36, want %d", weight, counts["a"], want)
		}
	})
}

// Guards against preemption that frees too little, or that evicts more than
// needed.
func TestSelectVictimsIsEnoughAndMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		running := make([]PreemptibleWork, rapid.IntRange(0, 12).Draw(t, "running"))
		all := structs.Resources{}
		for i := range running {
			running[i] = PreemptibleWork{
				Size: structs.Resources{CPUMilli: rapid.Int64Range(1, 8000).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(1, 9000).Draw(t, "memory")},
				Lost: rapid.Float64Range(0, 100).Draw(t, "lost"),
			}
			all = all.Add(running[i].Size)
		}
		need := structs.Resources{CPUMilli: rapid.Int64Range(1, 30000).Draw(t, "need"), MemoryMB: rapid.Int64Range(1, 30000).Draw(t, "needMemory")}
		chosen, ok := SelectVictims(need, structs.Resources{}, running)
		if ok != need.Fits(all) {
			t.Fatalf("ok = %v, needed %v, preemptible %v", ok, need, all)
		}
		freed := structs.Resources{}
		for _, i := range chosen {
			freed = freed.Add(running[i].Size)
		}
		if ok && !need.Fits(freed) {
			t.Fatalf("freed %v, needed %v", freed, need)
		}
		for _, i := range chosen {
			if need.Fits(freed.Sub(running[i].Size)) {
				t.Fatalf("item %d is preempted although it is not needed", i)
			}
		}
	})
}

// Guards against a team that uses more than its quota.
func TestAllowsNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		team := Team{Limit: structs.Resources{CPUMilli: rapid.Int64Range(1, 1e6).Draw(t, "limit")}}
		used := structs.Resources{}
		for range 20 {
			size := structs.Resources{CPUMilli: rapid.Int64Range(0, 1e5).Draw(t, "size"), Accelerators: 1}
			if team.Allows(used, size) {
				used = used.Add(size)
			}
		}
		if used.CPUMilli > team.Limit.CPUMilli {
			t.Fatalf("uses %d, the limit is %d", used.CPUMilli, team.Limit.CPUMilli)
		}
	})
}
