package quota

import (
	"cmp"
	"slices"

	"bergamotstile/structs"
)

// Running is batch work that may be preempted.
type Running struct {
	Size structs.Resources
	// Lost is the work that a preemption loses, in core seconds.
	Lost float64
}

// Preempt chooses running work whose release makes need fit into free. It
// takes the cheapest work for each core released and then returns to service
// what turns out not to be needed. It returns false if even all of it is too
// little.
func Preempt(need, free structs.Resources, running []Running) ([]int, bool) {
	order := make([]int, len(running))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(lossPerCore(running[a]), lossPerCore(running[b])), cmp.Compare(a, b))
	})
	var chosen []int
	for _, i := range order {
		if need.Fits(free) {
			break
		}
		chosen = append(chosen, i)
		free = free.Add(running[i].Size)
	}
	if !need.Fits(free) {
		return nil, false
	}
	return withoutNeedless(need, free, running, chosen), true
}

func lossPerCore(r Running) float64 {
	return r.Lost / float64(max(r.Size.CPUMilli, 1))
}

func withoutNeedless(need, free structs.Resources, running []Running, chosen []int) []int {
	slices.SortFunc(chosen, func(a, b int) int {
		return cmp.Or(cmp.Compare(running[b].Lost, running[a].Lost), cmp.Compare(a, b))
	})
	kept := chosen[:0]
	for _, i := range chosen {
		less := free.Sub(running[i].Size)
		if need.Fits(less) {
			free = less
			continue
		}
		kept = append(kept, i)
	}
	return kept
}
