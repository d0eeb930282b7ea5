package scheduler

import (
	"slices"

	"bergamotstile/structs"
)

// FirstFit places each item on the first worker with enough free capacity. It
// is meant for tests and for deployments that need no other policy.
type FirstFit struct{}

// Schedule places the queued items, the most urgent class first and the oldest
// item of a class first.
func (FirstFit) Schedule(s Snapshot) Plan {
	queue := slices.Clone(s.Queue)
	slices.SortStableFunc(queue, func(a, b Item) int { return int(a.Class) - int(b.Class) })
	free := make([]structs.Resources, len(s.Workers))
	for i, w := range s.Workers {
		free[i] = w.Unallocated()
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

// firstFit returns the index of the first worker with enough free capacity for
// the item, or -1. It uses a worker on which the item failed only if no other
// usable worker has a capacity as large as the item.
func firstFit(workers []Worker, free []structs.Resources, item Item) int {
	fallback, otherLargeEnough := -1, false
	for i, w := range workers {
		if w.Leaving || w.Quarantined || !w.Reachable || !item.Size.Fits(w.Capacity) {
			continue
		}
		failed := slices.Contains(item.FailedOn, w.Name)
		otherLargeEnough = otherLargeEnough || !failed
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
	if otherLargeEnough {
		return -1
	}
	return fallback
}
