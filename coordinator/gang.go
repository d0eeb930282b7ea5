package coordinator

import (
	"cmp"
	"slices"
	"time"
)

// startGang starts all tasks of a gang or none of them. If the gang is slow across racks,
// it tries to place all members on one rack first.
func (c *Core) startGang(w *openStep, now time.Duration) {
	if len(w.pending) < w.step.Count {
		return
	}
	if w.step.SameRack {
		for _, rack := range c.racksByFreeCapacity() {
			if c.tryStartGang(w, now, &rack) {
				return
			}
		}
	}
	if !c.tryStartGang(w, now, nil) {
		c.logNoRunner(w, now)
		c.requestAdvice(w, now)
	}
}

// racksByFreeCapacity returns the racks, the one with the most free processors first.
func (c *Core) racksByFreeCapacity() []string {
	freeMilli := map[string]int64{}
	for _, r := range c.runners {
		freeMilli[r.Rack] += r.Capacity.CPUMilli - r.held.CPUMilli
	}
	racks := make([]string, 0, len(freeMilli))
	for rack := range freeMilli {
		racks = append(racks, rack)
	}
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(cmp.Compare(freeMilli[b], freeMilli[a]), cmp.Compare(a, b))
	})
	return racks
}

// tryStartGang finds a runner for every member before it orders the first start, and reports
// whether it found them all. Only runners in rack are considered, unless it is nil.
func (c *Core) tryStartGang(w *openStep, now time.Duration, rack *string) bool {
	var chosen []*runner
	reserved := w.step.Reserved()
	for range w.step.Count {
		r := c.pickRunner(w, now, rack, 0)
		if r == nil {
			break
		}
		chosen = append(chosen, r)
		r.held = r.held.Add(reserved)
		w.runsByRunner[r]++
	}
	for _, r := range chosen {
		r.held = r.held.Sub(reserved)
		w.runsByRunner[r]--
	}
	if len(chosen) < w.step.Count {
		return false
	}
	number, saved := c.gangRunAndCheckpoint(w)
	for index, r := range chosen {
		w.job.Task(w.taskID(index)).Checkpoint = saved
		c.startTask(w, index, number, r, now)
	}
	return true
}

// gangRunAndCheckpoint returns the run number and the checkpoint that all members of a gang
// start with.
func (c *Core) gangRunAndCheckpoint(w *openStep) (number int, saved string) {
	for index := range w.step.Count {
		t := w.job.Task(w.taskID(index))
		number = max(number, t.LastRun)
		if t.Checkpoint != "" {
			saved = t.Checkpoint
		}
	}
	return number + 1, saved
}
