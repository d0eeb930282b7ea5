package coordinator

// A predecessor that can still act may start tasks on runners to which its successor has sent
// no poll and no order yet. Once a runner has answered a poll or an order of the successor, it
// refuses the polls and orders of the predecessor. The predecessor can then learn that a run there has ended only from a long
// poll that was already waiting at the runner. So if the runner still lists the run to the
// successor at a time by which every such long poll must have returned, the predecessor
// cannot learn that the run ends: the end is hidden from it, and it cannot start the task
// again on another runner.

// hiddenEndTime is how long after a run was first listed to this coordinator it must be
// listed again for its end to be hidden from a predecessor. A long poll waits for a result
// for at most longPollWait.
const hiddenEndTime = 2 * longPollWait

// recordHiddenEnd records that no predecessor can have learned that the last run of a
// task ended. The receiver is nil if the step is not open.
func (s *openStep) recordHiddenEnd(index int) {
	if s == nil || !s.job.inherited {
		return
	}
	if s.hiddenEnds == nil {
		s.hiddenEnds = map[int]struct{}{}
	}
	s.hiddenEnds[index] = struct{}{}
}

// startableTasks returns the indexes of the pending tasks that may be started now. It
// leaves out the tasks that a predecessor may have started on unresolved runners, that are held, or
// that wait for a report of the runner on which their leases expired. Of a gang it returns all tasks
// or none. The result may share its memory with the pending tasks of the step.
func (c *Core) startableTasks(s *openStep) []int {
	awaitsRunners := s.job.inherited && len(c.unresolved) > 0 && !s.openedByHiddenEnd
	if !awaitsRunners && c.heldTasks.isEmpty() && len(c.awaitedTasks) == 0 {
		return s.pending
	}
	var tasks []int
	for _, index := range s.pending {
		_, hidden := s.hiddenEnds[index]
		task := s.taskID(index)
		_, isAwaited := c.awaitedTasks[task]
		if (hidden || !awaitsRunners) && !isAwaited && !c.heldTasks.isHeld(task) {
			tasks = append(tasks, index)
		}
	}
	if s.step.Gang && len(tasks) < len(s.pending) {
		return nil
	}
	return tasks
}
