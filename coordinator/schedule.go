package coordinator

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// Schedule gives start orders for tasks whose turn has come. Wall is the time
// of day.
func (c *Core) Schedule(now, wall time.Duration) {
	c.openTimed(wall)
	c.dropEmpty()
	c.dropClaims(now)
	c.updateReserves(now)
	store := now + c.storeOffset
	for _, w := range c.waiting {
		w.starved = c.starved(w, now)
		w.precedence = w.precedenceAt(w.slack(store))
	}
	slices.SortFunc(c.waiting, func(a, b *work) int { return a.precedence.compare(b.precedence) })
	strays := c.strays()
	var blocked []*work
	for _, w := range c.waiting {
		tasks := c.startable(w)
		if len(tasks) == 0 {
			c.logWait(w, "runners of the predecessor are not resolved", now)
			continue
		}
		if strays[w.job.ID] {
			c.logWait(w, "a run of the job that was not known has to end", now)
			continue
		}
		if w.precedence.growth > 0 && !c.reserves.allow(w) {
			c.logWait(w, "room is kept for work that ends", now)
			continue
		}
		if w.since == 0 {
			w.since = now
		}
		if w.step.Gang {
			c.startGang(w, now)
			continue
		}
		if !c.startTasks(w, tasks, now) {
			blocked = append(blocked, w)
		}
	}
	if c.limits.Preempt {
		c.preempt(blocked, now)
	}
	c.dropEmpty()
}

// strays returns the jobs of runs that are being stopped because they were not
// known when they were seen, and of ends that wait for their job.
func (c *Core) strays() map[jobs.ID]bool {
	var found map[jobs.ID]bool
	for _, r := range c.runners {
		for _, id := range r.strays {
			if found == nil {
				found = map[jobs.ID]bool{}
			}
			found[id] = true
		}
	}
	return found
}

func (c *Core) openTimed(wall time.Duration) {
	for _, j := range c.timed {
		c.openDue(j, wall)
	}
}

func (c *Core) dropEmpty() {
	c.waiting = slices.DeleteFunc(c.waiting, func(w *work) bool {
		w.listed = len(w.pending) > 0 && !w.job.State.Terminal()
		if !w.listed {
			w.since = 0
		}
		return !w.listed
	})
}

// startTasks starts tasks of a step and reports whether there was a runner for
// each.
func (c *Core) startTasks(w *work, tasks []int, now time.Duration) bool {
	for i := 0; i < len(tasks); i++ {
		index := tasks[i]
		w.lastChance = w.job.queue.MaxAttempts > 1 && w.job.Failures(w.taskID(index)) >= w.job.queue.MaxAttempts-1
		since := c.full.since(w, now)
		r := c.pick(w, now, nil, since)
		if r == nil {
			c.full.note(w, since, c.changes.last, now)
			c.logNoRunner(w, now)
			c.ask(w, now)
			return false
		}
		if i == 0 {
			tasks = slices.Clone(tasks) // a start takes the task off the pending ones
		}
		c.start(w, index, c.nextRun(w, index), r, now)
		w.starved = false
	}
	return true
}

func (c *Core) nextRun(w *work, index int) int {
	return w.job.Task(w.taskID(index)).LastRun + 1
}

func (w *work) taskID(index int) jobs.TaskID {
	return jobs.TaskID{Job: w.job.ID, Occurrence: w.number, Step: w.index, Index: index}
}

// start orders one task to run.
func (c *Core) start(w *work, index, number int, r *runner, now time.Duration) {
	id := w.taskID(index)
	t := w.job.Task(id)
	t.LastRun = number
	delete(w.located, index)
	x := &run{located: true, job: w.job, task: id, number: number, runner: r, step: w.step, kind: w.kind, settled: new(atomic.Bool), began: now, pace: fullPace, precedence: w.precedence}
	if w.step.BestEffort {
		c.limitPace(r, w, now)
	}
	c.attach(x)
	r.useClaim(w)
	w.wait = logThrottle{}
	saved := t.Checkpoint
	if !w.step.Checkpoints {
		saved = ""
	}
	c.orders = append(c.orders, Order{Kind: Start, Runner: r.ID, Address: r.Address, Task: id, Run: number,
		Spec: w.job.Spec.Text, Saved: saved, Ticket: w.advice.tickets[r.ID].text, Settled: x.settled})
	c.counters("starts", 1)
	c.log.WithFields(logrus.Fields{"task": id, "run": number, "runner": r.ID, "free_milli": r.Capacity.CPUMilli - r.held.CPUMilli}).Info("start ordered")
}
