package coordinator

// A predecessor that can still act may start tasks on runners that have not heard
// of its successor. It learns of an end that happens after a runner has obeyed the
// successor only from a call that was waiting there at that time. So if a run was
// still listed here after any such call must have been answered, and ended then,
// its task runs nowhere else.

// locateTime is how long after a run was first listed here it has to be listed
// again for its end to be seen by nobody else: calls wait for an end for longPollWait.
const locateTime = 2 * longPollWait

// noteLocated records that only this coordinator saw a task's run end. The step
// is nil if it is not open.
func (w *work) noteLocated(index int) {
	if w == nil || !w.job.inherited {
		return
	}
	if w.located == nil {
		w.located = map[int]struct{}{}
	}
	w.located[index] = struct{}{}
}

// startable returns the pending tasks of a step that may be started now: all of
// them, unless a predecessor may have started some on runners that are not
// resolved. The result changes with the pending tasks.
func (c *Core) startable(w *work) []int {
	if !w.job.inherited || len(c.unresolved) == 0 || w.openedHere {
		return w.pending
	}
	var tasks []int
	for _, index := range w.pending {
		if _, located := w.located[index]; located {
			tasks = append(tasks, index)
		}
	}
	if w.step.Gang && len(tasks) < len(w.pending) {
		return nil
	}
	return tasks
}
