package coordinator

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// unknownWait is how long the end of a run waits for its job to become known.
const unknownWait = 3 * time.Second

// Report brings the state in line with what a runner lists.
func (c *Core) Report(rep Report, now time.Duration) {
	c.now = now
	r := c.runners[rep.Runner]
	if r == nil {
		r = newRunner()
		r.ID = rep.Runner
		c.runners[rep.Runner] = r
		c.sorted = nil
	}
	if rep.Incarnation == r.terminated && r.terminated != 0 {
		return // the answer was under way when the machine went down
	}
	c.noteIncarnation(r, rep)
	c.reach(rep.Runner)
	r.reported, r.suspect = true, rep.Unleased
	r.strays = nil
	for i, end := range rep.Ended {
		if end.Number <= r.seen {
			continue
		}
		if c.early(r, end, now) {
			r.noteStrays(rep.Ended[i:])
			break
		}
		c.end(r, end, now)
		r.seen = end.Number
	}
	listed := make(map[*run]struct{}, len(rep.Running))
	for _, status := range rep.Running {
		if x := c.noteRunning(r, status, rep, now); x != nil {
			listed[x] = struct{}{}
		}
	}
	c.dropMissing(r, listed, rep, now)
	c.controlPace(r, now)
	c.changed(r)
}

// early reports whether an end is of a job that is not known yet: after a
// takeover a run may end before the feed has brought its job. The end must not
// be acknowledged before that, or the task would run again.
func (c *Core) early(r *runner, e RunEnd, now time.Duration) bool {
	if _, over := c.finished[e.Task.Job]; over || c.jobs[e.Task.Job] != nil {
		r.unknownSince = 0
		return false
	}
	if r.unknownSince == 0 {
		r.unknownSince = now
	}
	if now-r.unknownSince < unknownWait {
		return true
	}
	r.unknownSince = 0
	c.counters("ends_unknown", 1)
	c.log.WithFields(logrus.Fields{"task": e.Task, "run": e.Run, "runner": r.ID, "how": e.How}).Warn("end of an unknown job")
	return false
}

// noteStrays keeps the jobs of ends that are not processed yet from starting
// their tasks.
func (r *runner) noteStrays(ends []RunEnd) {
	for _, e := range ends {
		r.strays = append(r.strays, e.Task.Job)
	}
}

func (c *Core) noteIncarnation(r *runner, rep Report) {
	if r.incarnation == rep.Incarnation {
		return
	}
	if r.incarnation != 0 {
		c.log.WithFields(logrus.Fields{"runner": r.ID, "runs": len(r.runs)}).Warn("runner started anew")
		r.health = health{}
		clear(r.fills)
	}
	r.incarnation = rep.Incarnation
	r.seen = 0
}

// noteRunning updates or adopts a run that the runner lists. It returns nil for
// one that should not run.
func (c *Core) noteRunning(r *runner, s RunStatus, rep Report, now time.Duration) *run {
	x := r.find(s.Task, s.Run)
	if x == nil {
		return c.adopt(r, s, now)
	}
	c.begin(x.job)
	x.located = x.located || rep.Sent-x.adopted >= locateTime
	if x.phase == starting {
		x.phase = running
		x.confirmed = rep.Sent
		x.settled.Store(true)
	}
	c.measureRun(x, s, now)
	x.observe(s, now)
	return x
}

func (x *run) observe(s RunStatus, now time.Duration) {
	if s.Percent != x.percent || x.moved == 0 {
		x.percent, x.moved = s.Percent, now
	}
	if s.Saved != x.saved {
		x.saved, x.savedPercent = s.Saved, s.Percent
	}
	x.load = s.Load
	if t := x.job.Task(x.task); t != nil && s.Saved != "" {
		t.Checkpoint = s.Saved
	}
}

func (r *runner) find(task jobs.TaskID, number int) *run {
	for x := range r.runs {
		if x.number == number && x.task == task {
			return x
		}
	}
	return nil
}

// adopt takes over a run that is not known, or stops it if its task must not
// run.
func (c *Core) adopt(r *runner, s RunStatus, now time.Duration) *run {
	j := c.jobs[s.Task.Job]
	if j == nil || j.State.Terminal() || j.Task(s.Task) == nil || j.Task(s.Task).Done || c.runsElsewhere(j, s.Task) {
		r.strays = append(r.strays, s.Task.Job)
		c.log.WithFields(logrus.Fields{"task": s.Task, "run": s.Run, "runner": r.ID}).Warn("stopping a run that should not be there")
		c.orders = append(c.orders, Order{Kind: Stop, Runner: r.ID, Address: r.Address, Task: s.Task, Run: s.Run, Settled: new(atomic.Bool)})
		return nil
	}
	x := &run{job: j, task: s.Task, number: s.Run, runner: r, step: &j.Spec.Steps[s.Task.Step], kind: c.harm.model.Kind(j.Spec.Steps[s.Task.Step].Image), phase: running,
		settled: new(atomic.Bool), began: now, adopted: now, confirmed: now, pace: unknownPace}
	c.attach(x)
	c.begin(j)
	x.observe(s, now)
	t := j.Task(s.Task)
	t.LastRun = max(t.LastRun, s.Run)
	c.log.WithFields(logrus.Fields{"task": s.Task, "run": s.Run, "runner": r.ID}).Info("run adopted")
	return x
}

func (c *Core) runsElsewhere(j *job, id jobs.TaskID) bool {
	return len(j.runs[id]) > 0 && !j.Spec.Steps[id.Step].Speculative
}

// attach counts a new run against its runner, its task and its step.
func (c *Core) attach(x *run) {
	x.runner.hold(x)
	j := x.job
	j.runs[x.task] = append(j.runs[x.task], x)
	x.work = j.work[[2]int{x.task.Occurrence, x.task.Step}]
	if w := x.work; w != nil {
		w.unlist(x.task.Index)
		w.onRunner[x.runner]++
	}
}

// begin records that a task of the job has started. Only what a runner says shows that:
// an order may not reach it, or be refused.
func (c *Core) begin(j *job) {
	if j.begun || j.State.Terminal() {
		return
	}
	j.begun = true
	j.State = jobs.Running
	c.touch(j, false)
	c.log.WithField("job", j.ID).Info("job begun")
}

// detach frees what a run held.
func (c *Core) detach(x *run) {
	x.settled.Store(true)
	x.runner.release(x)
	c.changed(x.runner)
	j := x.job
	rest := slices.DeleteFunc(j.runs[x.task], func(o *run) bool { return o == x })
	if len(rest) == 0 {
		delete(j.runs, x.task)
	} else {
		j.runs[x.task] = rest
	}
	if x.work != nil {
		x.work.onRunner[x.runner]--
	}
}

// lose ends a run that is proved gone without an end of its own.
func (c *Core) lose(x *run, now time.Duration, cause string) {
	c.detach(x)
	c.counters("runs_lost", 1)
	c.log.WithFields(logrus.Fields{"task": x.task, "run": x.number, "runner": x.runner.ID, "cause": cause}).Warn("run lost")
	c.requeue(x.job, x.task)
}

// dropMissing loses runs that must be listed and are not. A run whose last
// order was answered after the call left may be missing from the list; one
// whose start is not answered may still come.
func (c *Core) dropMissing(r *runner, listed map[*run]struct{}, rep Report, now time.Duration) {
	for x := range r.runs {
		if _, ok := listed[x]; ok {
			continue
		}
		if x.phase != starting && x.confirmed > 0 && x.confirmed < rep.Sent {
			c.lose(x, now, "not listed")
		}
	}
}

// end processes the end of a run.
func (c *Core) end(r *runner, e RunEnd, now time.Duration) {
	c.counters("runs_"+e.How.String(), 1)
	j := c.jobs[e.Task.Job]
	x := r.find(e.Task, e.Run)
	if x != nil {
		c.detach(x)
		j = x.job
		c.noteHealth(x, e.How, now)
	}
	c.log.WithFields(logrus.Fields{"task": e.Task, "run": e.Run, "runner": r.ID, "how": e.How}).Info("run ended")
	if j == nil || j.State.Terminal() || j.Task(e.Task) == nil {
		return
	}
	c.begin(j)
	t := j.Task(e.Task)
	t.LastRun = max(t.LastRun, e.Run)
	if e.Saved != "" {
		t.Checkpoint = e.Saved
	}
	switch e.How {
	case EndedDone:
		c.done(j, e, x, now)
	case EndedFailed:
		c.failed(j, e, now)
	default:
		c.touch(j, false)
	}
	if x != nil && x.located {
		x.work.noteLocated(e.Task.Index)
	}
	c.requeue(j, e.Task)
}

// done marks a task as done. Its run is nil if it is not known here.
func (c *Core) done(j *job, e RunEnd, x *run, now time.Duration) {
	step := &j.Spec.Steps[e.Task.Step]
	if x == nil && len(j.runs[e.Task]) > 0 && !step.Speculative {
		// The run was written off and its task started elsewhere; that run
		// decides.
		return
	}
	if step.LongRunning {
		c.touch(j, false)
		return
	}
	if t := j.Task(e.Task); t != nil && !t.Done {
		j.left -= j.workOf(e.Task.Step)
	}
	finished := j.MarkDone(e.Task)
	c.touch(j, false)
	for _, other := range slices.Clone(j.runs[e.Task]) {
		c.stop(other, now)
	}
	if w := j.work[[2]int{e.Task.Occurrence, e.Task.Step}]; w != nil {
		w.unlist(e.Task.Index)
		if finished {
			w.pending = nil
		}
	}
	if j.State == jobs.Completed {
		c.finish(j, jobs.Completed, now)
		return
	}
	if o := j.Current[e.Task.Occurrence]; finished && o != nil {
		c.openSteps(j, o, x != nil && x.located)
	}
}

func (c *Core) failed(j *job, e RunEnd, now time.Duration) {
	if !j.MarkFailed(e.Task, e.Run) {
		return
	}
	c.touch(j, false)
	if j.Spec.Steps[e.Task.Step].LongRunning {
		return
	}
	if j.queue.MaxAttempts > 0 && j.Failures(e.Task) >= j.queue.MaxAttempts {
		c.finish(j, jobs.Failed, now)
	}
}

// stop orders a run to end. Its capacity stays held until the end is listed.
func (c *Core) stop(x *run, now time.Duration) {
	if x.phase == stopping {
		return
	}
	x.settled.Store(true)
	x.settled = new(atomic.Bool)
	x.phase = stopping
	x.confirmed = 0
	c.orders = append(c.orders, Order{Kind: Stop, Runner: x.runner.ID, Address: x.runner.Address, Task: x.task, Run: x.number, Settled: x.settled})
}

// Answered records a runner's answer to an order.
func (c *Core) Answered(a Answer, now time.Duration) {
	c.now = now
	r := c.runners[a.Order.Runner]
	if r == nil {
		return
	}
	x := r.find(a.Order.Task, a.Order.Run)
	if x == nil || x.settled != a.Order.Settled {
		return
	}
	switch a.Order.Kind {
	case Start:
		c.startAnswered(x, a, now)
	case Stop:
		c.stopAnswered(x, a, now)
	}
}

// stopAnswered notes that a run is being stopped. A runner that takes no orders
// is asked again.
func (c *Core) stopAnswered(x *run, a Answer, now time.Duration) {
	switch a.Outcome {
	case WrongRunner:
		c.lose(x, now, a.Outcome.String())
	case RefusedOther:
		x.phase = running
		c.stop(x, now)
	default:
		x.confirmed = now
	}
}

func (c *Core) startAnswered(x *run, a Answer, now time.Duration) {
	c.counters("starts_"+a.Outcome.String(), 1)
	if a.Outcome == Accepted {
		c.begin(x.job)
		x.confirmed = now
		if x.phase == starting {
			x.phase = running
			c.orderPaces(x.runner)
		}
		return
	}
	if x.phase != starting {
		return
	}
	c.log.WithFields(logrus.Fields{"task": x.task, "run": x.number, "runner": x.runner.ID, "outcome": a.Outcome, "repeated": a.Repeated}).Warn("start refused")
	if a.Repeated && a.Outcome == RefusedOld {
		// An earlier attempt ran and has ended; the runner lists how.
		c.begin(x.job)
		x.settled.Store(true)
		x.phase, x.confirmed = stopping, now
		return
	}
	if a.Repeated {
		// An earlier attempt may still be carried out; a stop rules that out.
		c.stop(x, now)
		return
	}
	c.detach(x)
	if a.Outcome == RefusedOther || a.Outcome == RefusedRoom {
		// Asking again at once would get the same answer.
		x.runner.health.refused(now)
	}
	if w := x.job.work[[2]int{x.task.Occurrence, x.task.Step}]; w != nil && a.Outcome == RefusedTicket {
		delete(w.advice.tickets, x.runner.ID)
	}
	c.requeue(x.job, x.task)
}
