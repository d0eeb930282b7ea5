package coordinator

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// Estimates that placement uses.
const (
	// servingUse is the share of what a serving task asks for that it uses, in
	// percent.
	servingUse = 55
	// fillShare is the least share of its processors, in percent, with which a
	// filling task is started.
	fillShare = 70
	// doubtPenalty multiplies the expected time on a runner with recent
	// failures.
	doubtPenalty = 3.0
	// harmWeight weighs pressure on serving tasks against time lost.
	harmWeight = 4.0
	// mixPenalty keeps serving tasks of different images apart: a runner with
	// one image is open to every filling image that does not harm that one.
	mixPenalty = 1.0
)

// Schedule gives start orders for tasks whose turn has come. Wall is the time
// of day, store the store's clock.
func (c *Core) Schedule(now, wall time.Duration) {
	c.openTimed(wall)
	if len(c.unresolved) > 0 && now > c.resolveBy {
		c.log.WithField("runners", len(c.unresolved)).Warn("leases of the predecessor have lapsed")
		clear(c.unresolved)
	}
	c.dropEmpty()
	store := now + c.storeOffset
	slices.SortFunc(c.waiting, func(a, b *work) int { return c.order(a, b, store) })
	for _, w := range c.waiting {
		if w.job.inherited && len(c.unresolved) > 0 || w.notUntil > now {
			continue
		}
		if w.since == 0 {
			w.since = now
		}
		if w.step.Gang {
			c.startGang(w, now)
			continue
		}
		c.startTasks(w, now)
	}
	c.dropEmpty()
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

// order says which of two waiting steps is served first: by priority, then
// those that can still meet their objective, then by objective.
func (c *Core) order(a, b *work, store time.Duration) int {
	if d := cmp.Compare(a.job.queue.Priority, b.job.queue.Priority); d != 0 {
		return d
	}
	lateA, lateB := a.job.objective < store, b.job.objective < store
	if lateA != lateB {
		if lateA {
			return 1
		}
		return -1
	}
	if d := cmp.Compare(a.job.objective, b.job.objective); d != 0 {
		return d
	}
	return cmp.Compare(a.job.ID, b.job.ID)
}

func (c *Core) startTasks(w *work, now time.Duration) {
	for _, index := range slices.Clone(w.pending) {
		r := c.pick(w, now, nil)
		if r == nil {
			return
		}
		c.start(w, index, c.nextRun(w, index), r, now)
	}
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
	x := &run{job: w.job, task: id, number: number, runner: r, step: w.step, settled: new(atomic.Bool), began: now, pace: fullPace}
	if w.step.Fills {
		c.limitPace(r, w.step)
	}
	c.attach(x)
	saved := t.Saved
	if !w.step.Checkpoints {
		saved = ""
	}
	c.orders = append(c.orders, Order{Kind: Start, Runner: r.ID, Address: r.Address, Task: id, Run: number,
		Spec: w.job.Spec.Text, Saved: saved, Settled: x.settled})
	c.counters("starts", 1)
	c.log.WithFields(logrus.Fields{"task": id, "run": number, "runner": r.ID, "free_milli": r.Capacity.CPUMilli - r.held.CPUMilli}).Info("start ordered")
}

// pick returns the runner on which the step's next task is expected to end
// first, or nil if none may take it now. Rack, if set, confines the choice.
func (c *Core) pick(w *work, now time.Duration, rack *string) *runner {
	var best *runner
	var bestCost float64
	for _, r := range c.runners {
		if rack != nil && r.Rack != *rack || !c.eligible(w, r, now) {
			continue
		}
		cost := c.cost(w, r, now)
		if cost < 0 {
			continue
		}
		if best == nil || cost < bestCost || cost == bestCost && r.ID < best.ID {
			best, bestCost = r, cost
		}
	}
	return best
}

// eligible reports whether the step's task may be started on the runner.
func (c *Core) eligible(w *work, r *runner, now time.Duration) bool {
	if !r.usable() || r.health.avoided(now) || r.Service != w.job.queue.Service {
		return false
	}
	if w.step.Label != "" && !slices.Contains(r.Labels, w.step.Label) {
		return false
	}
	if w.step.MaxPerRunner > 0 && w.onRunner[r] >= w.step.MaxPerRunner {
		return false
	}
	return r.held.Add(w.step.Reserved()).Fits(r.Capacity)
}

// cost compares runners for a task: how long it would take there, plus a small
// share for how full the runner would be. It is negative if waiting is better.
func (c *Core) cost(w *work, r *runner, now time.Duration) float64 {
	factor := 1.0
	if w.step.DataRack != "" && w.step.DataRack != r.Rack && c.limits.FarFactor > 1 {
		factor *= c.limits.FarFactor
	}
	if r.health.doubtful(now) {
		factor *= doubtPenalty
	}
	idle := r.Capacity.CPUMilli - r.firm - r.serving*servingUse/100 - r.filling
	if w.step.Fills {
		return c.fillCost(w, r, factor, idle, now)
	}
	free := r.Capacity.CPUMilli - r.held.CPUMilli
	cost := factor - float64(free)/float64(1+r.Capacity.CPUMilli)/4
	if w.step.TailTarget > 0 {
		cost += mixPenalty * float64(r.otherServing(w.step.Image))
	}
	return cost
}

// otherServing counts the images of serving tasks other than the one given.
func (r *runner) otherServing(image string) int {
	n := len(r.servingImages)
	if r.servingImages[image] != nil {
		n--
	}
	return n
}

// fillCost is the cost for a filling task: how long it would take with the
// idle processors at the pace that spares the tasks that serve, and the harm
// that it would do them.
func (c *Core) fillCost(w *work, r *runner, factor float64, idle int64, now time.Duration) float64 {
	ask := max(1, w.step.Ask.CPUMilli)
	share := min(100, idle*100/ask)
	if share < fillShare {
		return -1
	}
	pace, harm := c.safePace(r, w.step)
	pace = min(pace, r.paceOf(w.step.Image))
	if pace < leastPace || pace < fullPace && now-w.since < harmWait {
		return -1
	}
	return factor*100/float64(share)*fullPace/float64(pace) + harmWeight*harm - float64(idle)/float64(1+r.Capacity.CPUMilli)/4
}

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
	c.tryGang(w, now, nil)
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
		r := c.pick(w, now, rack)
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
		w.job.Task(w.taskID(index)).Saved = saved
		c.start(w, index, number, r, now)
	}
	return true
}

// gangRun returns the run number and the checkpoint that all members share.
func (c *Core) gangRun(w *work) (number int, saved string) {
	for index := range w.step.Count {
		t := w.job.Task(w.taskID(index))
		number = max(number, t.LastRun)
		if t.Saved != "" {
			saved = t.Saved
		}
	}
	return number + 1, saved
}
