package scheduler

import (
	"slices"

	"bergamotstile/structs"
)

// FirstFit places each item on the first worker with room for it. It serves
// tests and deployments that need no policy of their own.
type FirstFit struct{}

// Schedule places the queue in order of class, then age.
func (FirstFit) Schedule(s Snapshot) Plan {
	queue := slices.Clone(s.Queue)
	slices.SortStableFunc(queue, func(a, b Item) int { return int(a.Class) - int(b.Class) })
	free := make([]structs.Resources, len(s.Workers))
	for i, w := range s.Workers {
		free[i] = w.Free()
	}
	var plan Plan
	for _, item := range queue {
		i := firstFit(s.Workers, free, item)
		if i < 0 {
			continue
		}
		free[i] = free[i].Sub(item.Size)
		plan.Placements = append(plan.Placements, Placement{Work: item.Work, Worker: s.Workers[i].Name})
	}
	return plan
}

// firstFit returns the index of a worker with room for the item, or -1. A
// worker on which the item failed is used only if no other could ever hold it.
func firstFit(workers []Worker, free []structs.Resources, item Item) int {
	fallback, otherCouldHold := -1, false
	for i, w := range workers {
		if w.Leaving || w.Quarantined || !w.Reachable || !item.Size.Fits(w.Capacity) {
			continue
		}
		failed := slices.Contains(item.FailedOn, w.Name)
		otherCouldHold = otherCouldHold || !failed
		if !item.Size.Fits(free[i]) {
			continue
		}
		if !failed {
			return i
		}
		if fallback < 0 {
			fallback = i
		}
	}
	if otherCouldHold {
		return -1
	}
	return fallback
}
