package quota

import (
	"cmp"
	"slices"

	"bergamotstile/structs"
)

// PreemptibleWork is batch work that may be preempted.
type PreemptibleWork struct {
	Size structs.Resources
	// Lost is the work that a preemption would lose, in core seconds.
	Lost float64
}

// SelectVictims selects running work to preempt so that need fits into free
// plus the released sizes. It selects work with the least loss for each core
// first, and then drops victims that turn out not to be needed. It returns the
// indexes of the selected work, or false if preempting all of it would not
// suffice.
func SelectVictims(need, free structs.Resources, running []PreemptibleWork) ([]int, bool) {
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
	return dropUnneededVictims(need, free, running, chosen), true
}

// lossPerCore returns the loss for each released millicore.
func lossPerCore(r PreemptibleWork) float64 {
	return r.Lost / float64(max(r.Size.CPUMilli, 1))
}

// dropUnneededVictims drops chosen victims without which need still fits, the
// one with the largest loss first.
func dropUnneededVictims(need, free structs.Resources, running []PreemptibleWork, chosen []int) []int {
	slices.SortFunc(chosen, func(a, b int) int {
		return cmp.Or(cmp.Compare(running[b].Lost, running[a].Lost), cmp.Compare(a, b))
	})
	kept := chosen[:0]
	for _, i := range chosen {
		reduced := free.Sub(running[i].Size)
		if need.Fits(reduced) {
			free = reduced
			continue
		}
		kept = append(kept, i)
	}
	return kept
}
