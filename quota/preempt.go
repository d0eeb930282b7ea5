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
// plus the sizes of the preempted work. It selects work with the least loss for
// each millicore first, and then drops the victims that are not needed. It
// returns the indexes of the selected work, or false if preempting all running
// work would not suffice.
func SelectVictims(need, free structs.Resources, running []PreemptibleWork) ([]int, bool) {
	order := make([]int, len(running))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(lossPerMillicore(running[a]), lossPerMillicore(running[b])), cmp.Compare(a, b))
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

// lossPerMillicore returns the work that a preemption would lose, in core
// seconds, for each millicore that it releases.
func lossPerMillicore(r PreemptibleWork) float64 {
	return r.Lost / float64(max(r.Size.CPUMilli, 1))
}

// dropUnneededVictims returns the chosen victims that have to be preempted so
// that need fits. It considers the victim with the largest loss first, and
// drops a victim if need fits without the resources that it would release. free
// includes the resources of all chosen victims.
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
