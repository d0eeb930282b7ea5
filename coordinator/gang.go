package coordinator

import (
	"cmp"
	"slices"
	"time"
)

// startGang starts all tasks of a gang or none of them. If the gang is slow across racks,
// it tries to place all members on one rack first.
func (c *Core) startGang(s *openStep, now time.Duration) {
	if len(s.pending) < s.step.Count {
		c.logWait(s, "members of the gang have not ended", now)
		return
	}
	if s.step.SameRack {
		for _, rack := range c.racksByFreeCapacity() {
			if c.tryStartGang(s, now, &rack) {
				return
			}
		}
	}
	chosen := c.chooseGangRunners(s, now, nil)
	if chosen == nil {
		c.logNoRunner(s, now)
		c.requestAdvice(s, now)
		return
	}
	if c.mayGangAwaitRack(s) && c.gangWaitsForRack(s, now) {
		c.logWait(s, "one rack is expected to have room for all members", now)
		return
	}
	c.startGangOn(s, chosen, now)
}

// racksByFreeCapacity returns the racks, the one with the most free processors first.
func (c *Core) racksByFreeCapacity() []string {
	freeMilli := map[string]int64{}
	for _, r := range c.runners {
		if !r.isInService() {
			continue
		}
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

// tryStartGang starts all members on one rack and reports whether they all fit there.
func (c *Core) tryStartGang(s *openStep, now time.Duration, rack *string) bool {
	chosen := c.chooseGangRunners(s, now, rack)
	if chosen == nil {
		return false
	}
	c.recordGangOnRack(s)
	c.startGangOn(s, chosen, now)
	return true
}

// chooseGangRunners returns a runner for each member, or nil if they don't all fit. Only runners
// in rack are considered, unless it is nil.
func (c *Core) chooseGangRunners(s *openStep, now time.Duration, rack *string) []*runner {
	var chosen []*runner
	reserved := s.step.Reserved()
	for range s.step.Count {
		r := c.pickRunner(s, now, rack, 0)
		if r == nil {
			break
		}
		chosen = append(chosen, r)
		r.held = r.held.Add(reserved)
		r.plannedStarts++
		s.runsByRunner[r]++
		r.domainReturn.count(1, now)
	}
	for _, r := range chosen {
		r.held = r.held.Sub(reserved)
		r.plannedStarts--
		s.runsByRunner[r]--
		r.domainReturn.count(-1, now)
	}
	if len(chosen) < s.step.Count {
		return nil
	}
	return chosen
}

// startGangOn starts the members on the chosen runners.
func (c *Core) startGangOn(s *openStep, chosen []*runner, now time.Duration) {
	number, checkpoint := c.gangRunAndCheckpoint(s)
	for index, r := range chosen {
		s.job.Task(s.taskID(index)).Checkpoint = checkpoint
		c.startTask(s, index, number, r, now)
	}
}

// gangRunAndCheckpoint returns the run number and the checkpoint that all members of a gang
// start with.
func (c *Core) gangRunAndCheckpoint(s *openStep) (number int, checkpoint string) {
	for index := range s.step.Count {
		task := s.job.Task(s.taskID(index))
		number = max(number, task.LastRun)
		if task.Checkpoint != "" {
			checkpoint = task.Checkpoint
		}
	}
	return number + 1, checkpoint
}
