package coordinator

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// stopRun orders a run to stop. The run holds its capacity until the runner has reported its
// result.
func (c *Core) stopRun(run *taskRun, now time.Duration) {
	if run.state == stateStopping {
		return
	}
	run.lastOrderSettled.Store(true)
	run.lastOrderSettled = new(atomic.Bool)
	run.state = stateStopping
	run.confirmedAt = 0
	c.orders = append(c.orders, Order{Kind: Stop, Runner: run.runner.ID, Address: run.runner.Address, Task: run.task, Run: run.number, Settled: run.lastOrderSettled})
}

// ApplyAnswer applies a runner's answer to an order. It ignores answers to orders that
// have been superseded by a later order for the same run.
func (c *Core) ApplyAnswer(answer Answer, now time.Duration) {
	c.now = now
	r := c.runners[answer.Order.Runner]
	if r == nil {
		return
	}
	run := r.findRun(answer.Order.Task, answer.Order.Run)
	if run == nil || run.lastOrderSettled != answer.Order.Settled {
		return
	}
	switch answer.Order.Kind {
	case Start:
		c.applyStartAnswer(run, answer, now)
	case Stop:
		c.applyStopAnswer(run, answer, now)
	}
}

// applyStopAnswer applies the answer to an order to stop a run. It orders the stop
// again if the answer is RefusedOther, since the runner may not have stopped the run.
func (c *Core) applyStopAnswer(run *taskRun, answer Answer, now time.Duration) {
	switch answer.Outcome {
	case WrongRunner:
		c.removeLostRun(run, now, answer.Outcome.String())
	case RefusedOther:
		run.state = stateRunning
		c.stopRun(run, now)
	default:
		run.confirmedAt = now
	}
}

// applyStartAnswer applies the answer to an order to start a run. If the start was
// refused, the task becomes pending again, unless an earlier attempt may have started
// the run.
func (c *Core) applyStartAnswer(run *taskRun, answer Answer, now time.Duration) {
	c.counters("starts_"+answer.Outcome.String(), 1)
	if answer.Outcome == Accepted {
		c.markStarted(run.job)
		run.confirmedAt = now
		if run.state == stateStarting {
			run.state = stateRunning
			c.allocatePaces(run.runner)
		}
		return
	}
	if run.state != stateStarting {
		return
	}
	c.log.WithFields(logrus.Fields{"task": run.task, "run": run.number, "runner": run.runner.ID, "outcome": answer.Outcome, "repeated": answer.Repeated}).Warn("start refused")
	if answer.Repeated && answer.Outcome == RefusedUsedRun {
		// An earlier attempt to send the order started the run, which has ended. The runner
		// reports its result.
		c.markStarted(run.job)
		run.lastOrderSettled.Store(true)
		run.state, run.confirmedAt = stateStopping, now
		return
	}
	if answer.Repeated {
		// The runner may still carry out an earlier attempt to send the order. A stop
		// prevents that.
		c.stopRun(run, now)
		return
	}
	c.detachRun(run)
	c.recordCopyEnd(run, answer.Outcome.String(), false)
	if answer.Outcome == RefusedOther || answer.Outcome == RefusedNoCapacity {
		// The runner would refuse another start at once in the same way.
		run.runner.health.recordRefusal(now)
	}
	if s := run.job.openSteps[[2]int{run.task.Occurrence, run.task.Step}]; s != nil && answer.Outcome == RefusedTicket {
		delete(s.advice.tickets, run.runner.ID)
	}
	c.requeue(run.job, run.task)
}
