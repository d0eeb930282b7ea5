package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/structs"
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

// moveFromEvacuatedDomains stops long-running tasks in evacuated domains for which another
// runner has free capacity, as far as their disruption budgets allow it. Several tasks don't
// count on the same free capacity, nor on that which tasks stopped earlier need. Tasks on
// draining and cordoned runners follow the rules for these. Members of gangs stay, since the
// stop of one ends the whole gang.
func (c *Core) moveFromEvacuatedDomains(now time.Duration) {
	c.evacuation.moves = slices.DeleteFunc(c.evacuation.moves, func(m evacuationMove) bool { return m.isOver(now) })
	left := c.longRunningInEvacuatedDomains()
	if len(left) == 0 {
		return
	}
	planned := plannedCapacity{core: c, now: now}
	defer planned.release()
	noRoom, overBudget := 0, 0
	for _, m := range c.evacuation.moves {
		if !planned.take(m.step) {
			return // other work has taken the capacity that this task was stopped for
		}
	}
	for _, run := range left {
		switch {
		case len(c.evacuation.moves) >= maxEvacuationMoves:
			return
		case !c.mayDisrupt(run, now):
			overBudget++
		case !planned.take(run.openStep):
			noRoom++
			c.requestAdvice(run.openStep, now)
		default:
			c.evacuation.moves = append(c.evacuation.moves, evacuationMove{run.openStep, run.task.Index, run.number, now + evacuationMoveTime})
			c.moveRun(run, now, "domain is evacuated")
		}
	}
	c.logLeftInEvacuatedDomains(noRoom, overBudget, now)
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

// plannedCapacity holds capacity of runners for tasks that are planned but not started, during
// one decision.
type plannedCapacity struct {
	core  *Core
	now   time.Duration
	taken []plannedTask
}

// plannedTask is a task with the runner whose capacity is held for it.
type plannedTask struct {
	step   *openStep
	runner *runner
}

// take holds capacity for one more of the step's tasks, and reports whether a runner has it.
func (p *plannedCapacity) take(s *openStep) bool {
	r := p.core.pickRunner(s, p.now, nil, 0)
	if r == nil {
		return false
	}
	p.hold(s, r, s.step.Reserved(), 1)
	p.taken = append(p.taken, plannedTask{s, r})
	return true
}

// release ends the decision: the runners hold only what their runs hold.
func (p *plannedCapacity) release() {
	for _, t := range p.taken {
		p.hold(t.step, t.runner, structs.Resources{}.Sub(t.step.step.Reserved()), -1)
	}
	p.taken = nil
}

func (p *plannedCapacity) hold(s *openStep, r *runner, amount structs.Resources, tasks int) {
	r.held = r.held.Add(amount)
	s.runsByRunner[r] += tasks
}

// logLeftInEvacuatedDomains logs how many long-running tasks stay in evacuated domains, and why,
// if a line is due.
func (c *Core) logLeftInEvacuatedDomains(noRoom, overBudget int, now time.Duration) {
	if noRoom+overBudget == 0 || !c.evacuation.leftLogThrottle.isDue(now) {
		return
	}
	c.evacuation.leftLogThrottle.recordLogged(now)
	c.log.WithFields(logrus.Fields{"without_room": noRoom, "over_budget": overBudget}).Warn("long-running tasks stay in evacuated domains")
}
