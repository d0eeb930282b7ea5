package coordinator

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the moves out of evacuated domains.
const (
	// maxEvacuationMoves bounds the long-running tasks that are on their way out of evacuated
	// domains at a time: those that have been stopped and have not been started again.
	maxEvacuationMoves = 8
	// evacuationMoveTime is how long a move may hold back others. A stop takes up to 0.9 s, and
	// the runner then has to report it. A task that has not been started by then has lost the
	// free capacity to other work.
	evacuationMoveTime = 5 * time.Second
)

// evacuationMove is a task that was stopped in an evacuated domain and has not been started
// elsewhere yet.
type evacuationMove struct {
	step   *openStep
	index  int // of the task in the step
	number int // of the run that was stopped
	expiry time.Duration
}

// collectEvacuationDepartures returns long-running tasks that should leave evacuated domains: as
// many as may be moved in addition to those on their way, in turn, so that tasks for which there
// is no room don't hold back the others.
func (c *Core) collectEvacuationDepartures(now time.Duration) []departure {
	c.evacuation.moves = slices.DeleteFunc(c.evacuation.moves, func(m evacuationMove) bool { return m.isOver(now) })
	left := c.longRunningInEvacuatedDomains()
	count := min(len(left), maxEvacuationMoves-len(c.evacuation.moves))
	var departures []departure
	for i := range count {
		run := left[(c.evacuation.nextCandidate+i)%len(left)]
		departures = append(departures, departure{run: run, deadline: noDeadline, oneAtATime: true, cause: "domain is evacuated"})
	}
	return departures
}

// recordEvacuationMoves records which of the departures from evacuated domains were carried out.
// The remaining ones are those of all departures that were not.
func (c *Core) recordEvacuationMoves(departures, remaining []departure, now time.Duration) {
	if len(departures) == 0 {
		c.evacuation.nextCandidate = 0
		return
	}
	stays := make(map[*taskRun]bool, len(remaining))
	for _, d := range remaining {
		stays[d.run] = true
	}
	left := 0
	for _, d := range departures {
		if stays[d.run] {
			left++
			c.requestAdvice(d.run.openStep, now)
			continue
		}
		c.evacuation.moves = append(c.evacuation.moves, evacuationMove{d.run.openStep, d.run.task.Index, d.run.number, now + evacuationMoveTime})
	}
	c.evacuation.nextCandidate += left
	c.logLeftInEvacuatedDomains(left, now)
}

// isOver reports whether the task has been started again or needs no start any more, or
// whether the time for the move has passed.
func (m evacuationMove) isOver(now time.Duration) bool {
	id := m.step.taskID(m.index)
	task := m.step.job.Task(id)
	if now >= m.expiry || m.step.job.State.IsTerminal() || task == nil || task.Done {
		return true
	}
	return slices.ContainsFunc(m.step.job.runs[id], func(run *taskRun) bool { return run.number > m.number })
}

// longRunningInEvacuatedDomains returns the long-running tasks that may be moved out of
// evacuated domains, those with a checkpoint first.
func (c *Core) longRunningInEvacuatedDomains() []*taskRun {
	var runs []*taskRun
	for _, r := range c.runners {
		if !r.evacuated || r.Draining || r.cordon != nil || !r.hasReported || r.cannotExtendLeases {
			continue
		}
		for run := range r.runs {
			if run.step.LongRunning && !run.step.Gang && run.state == stateRunning && run.openStep != nil {
				runs = append(runs, run)
			}
		}
	}
	slices.SortFunc(runs, func(a, b *taskRun) int {
		return cmp.Or(compareBool(b.checkpoint != "", a.checkpoint != ""), cmp.Compare(a.task.String(), b.task.String()))
	})
	return runs
}

// logLeftInEvacuatedDomains logs that long-running tasks stay in evacuated domains, with how many
// of those that were examined, if a line is due.
func (c *Core) logLeftInEvacuatedDomains(left int, now time.Duration) {
	if left == 0 || !c.evacuation.leftLogThrottle.isDue(now) {
		return
	}
	c.evacuation.leftLogThrottle.recordLogged(now)
	c.log.WithField("tasks", left).Warn("long-running tasks stay in evacuated domains")
}
