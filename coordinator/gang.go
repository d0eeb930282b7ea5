package coordinator

import (
	"cmp"
	"slices"
	"time"
)

// startGang starts all tasks of a gang or none.
func (c *Core) startGang(w *work, now time.Duration) {
	if len(w.pending) < w.step.Count {
		return
	}
	if w.step.SameRack {
		for _, rack := range c.racks() {
			if c.tryGang(w, now, &rack) {
				return
			}
		}
	}
	if !c.tryGang(w, now, nil) {
		c.logNoRunner(w, now)
		c.ask(w, now)
	}
}

func (c *Core) racks() []string {
	seen := map[string]int64{}
	for _, r := range c.runners {
		seen[r.Rack] += r.Capacity.CPUMilli - r.held.CPUMilli
	}
	racks := make([]string, 0, len(seen))
	for rack := range seen {
		racks = append(racks, rack)
	}
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(cmp.Compare(seen[b], seen[a]), cmp.Compare(a, b))
	})
	return racks
}

// tryGang reserves room for every member before the first order is given.
func (c *Core) tryGang(w *work, now time.Duration, rack *string) bool {
	var places []*runner
	reserved := w.step.Reserved()
	for range w.step.Count {
		r := c.pick(w, now, rack, 0)
		if r == nil {
			break
		}
		places = append(places, r)
		r.held = r.held.Add(reserved)
		w.onRunner[r]++
	}
	for _, r := range places {
		r.held = r.held.Sub(reserved)
		w.onRunner[r]--
	}
	if len(places) < w.step.Count {
		return false
	}
	number, saved := c.gangRun(w)
	for index, r := range places {
		w.job.Task(w.taskID(index)).Checkpoint = saved
		c.start(w, index, number, r, now)
	}
	return true
}

// gangRun returns the run number and the checkpoint that all members share.
func (c *Core) gangRun(w *work) (number int, saved string) {
	for index := range w.step.Count {
		t := w.job.Task(w.taskID(index))
		number = max(number, t.LastRun)
		if t.Checkpoint != "" {
			saved = t.Checkpoint
		}
	}
	return number + 1, saved
}
