package coordinator

import (
	"slices"
	"time"
)

// ScheduleUrgent orders the start of waiting tasks that need not wait for the next round of
// Schedule: those of finite steps of the highest priority, which are neither gangs nor best-effort,
// that have begun to wait since the last round, unless other such work waits already.
//
// Rounds may be 100 ms apart. Without this, each step of a short urgent job would wait for one
// beside a backlog of less important work, although there is room for its tasks.
func (c *Core) ScheduleUrgent(now time.Duration) {
	if len(c.newlyWaiting) == 0 {
		return
	}
	urgent := c.takeUrgent()
	if len(urgent) == 0 {
		return
	}
	storeTime := now + c.storeOffset
	for _, s := range urgent {
		s.starved = false
		s.precedence = s.precedenceWithSlack(s.slack(storeTime))
	}
	slices.SortFunc(urgent, func(a, b *openStep) int { return a.precedence.compare(b.precedence) })
	blockedJobs := c.collectBlockedJobs()
	for _, s := range urgent {
		tasks := c.startableTasks(s)
		if len(tasks) == 0 || blockedJobs[s.job.ID] {
			continue
		}
		if s.waitingSince == 0 {
			s.waitingSince = now
		}
		if !c.startTasks(s, tasks, now) {
			return // the rest waits for the round, in the order of precedence
		}
	}
}

// takeUrgent returns the newly waiting steps that may be served before the next round, and
// forgets all newly waiting ones.
func (c *Core) takeUrgent() []*openStep {
	newly := make(map[*openStep]bool, len(c.newlyWaiting))
	for _, s := range c.newlyWaiting {
		newly[s] = true
	}
	c.newlyWaiting = c.newlyWaiting[:0]
	var urgent []*openStep
	for _, s := range c.waitingSteps {
		if !s.isFiniteSingle() || len(s.pending) == 0 || s.job.State.IsTerminal() || s.job.queue.Priority != highestPriority {
			continue
		}
		if !newly[s] {
			return nil
		}
		urgent = append(urgent, s)
	}
	return urgent
}

// highestPriority is the priority of the queues that come first; smaller numbers are more
// important.
const highestPriority = 0

// isFiniteSingle reports whether the step's tasks end by themselves, are placed one by one and count
// against the capacity of runners.
func (s *openStep) isFiniteSingle() bool {
	return !s.step.LongRunning && !s.step.BestEffort && !s.step.Gang
}
