package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/interference"
	"bergamotstile/jobs"
	"bergamotstile/structs"
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
	// failures, or on one that has done nothing lately if another failure of
	// the task would be the job's end.
	doubtPenalty = 3.0
	// harmWeight weighs pressure on serving tasks against time lost.
	harmWeight = 4.0
	// mixPenalty is for each other image of serving tasks on a runner,
	// newPenalty for one that has not got the image yet.
	mixPenalty = 1.0
	newPenalty = 0.4
	// starveTime is how long nothing of a job may run while there is much room.
	starveTime = 1200 * time.Millisecond
	// sampleSize bounds the runners that are compared for one task.
	sampleSize = 64
	// hopeless is how late, in times of the objective, a job is no longer worth
	// anything to its client.
	hopeless = 3
)

// Schedule gives start orders for tasks whose turn has come. Wall is the time
// of day.
func (c *Core) Schedule(now, wall time.Duration) {
	c.openTimed(wall)
	if len(c.unresolved) > 0 && now > c.resolveBy {
		c.log.WithField("runners", len(c.unresolved)).Warn("leases of the predecessor have lapsed")
		clear(c.unresolved)
	}
	c.dropEmpty()
	c.updateReserves(now)
	store := now + c.storeOffset
	for _, w := range c.waiting {
		w.slack = w.job.objective - store - w.rest
		w.starved = c.starved(w, now)
	}
	slices.SortFunc(c.waiting, order)
	clear(c.full)
	strays := c.strays()
	for _, w := range c.waiting {
		if w.job.inherited && len(c.unresolved) > 0 || strays[w.job.ID] {
			continue
		}
		if w.growth() > 0 && !c.reserves.allow(w) {
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

// rank groups waiting steps of one priority.
type rank uint8

const (
	starved rank = iota // nothing of the job runs although there is much room
	onTime              // the job can still meet its objective
	late
	worthless
)

func (w *work) rank() rank {
	switch {
	case w.starved:
		return starved
	case w.slack >= 0 || w.step.LongRunning:
		return onTime
	case w.slack >= -(hopeless-1)*w.job.allowed:
		return late
	}
	return worthless
}

// growth is 1 for long-running tasks that have not run yet, otherwise 0.
func (w *work) growth() int {
	if w.step.LongRunning && !w.job.begun {
		return 1
	}
	return 0
}

// effort is the estimated work left in a job that can still be on time: when
// not all can, the most are if small ones go first. Late jobs go by slack, so
// that large ones are not put off for good.
func (w *work) effort() int64 {
	if w.rank() != onTime || w.step.LongRunning {
		return 0
	}
	return w.job.left
}

// starved reports whether nothing of a step's job has run for a while although
// most of the service is free. The tail of a backlog would else wait for the
// room that serving tasks leave, or for smaller jobs.
func (c *Core) starved(w *work, now time.Duration) bool {
	return !w.step.LongRunning && w.since > 0 && now-w.since > starveTime && len(w.job.runs) == 0 &&
		c.reserves.of(w.job.queue.Service).mostlyFree()
}

// order says which of two waiting steps is served first: by priority, then
// those that can still meet their objective, the small ones first, then by
// slack. Long-running tasks that have not run yet come after work that ends:
// they hold what they get.
func order(a, b *work) int {
	return cmp.Or(
		cmp.Compare(a.job.queue.Priority, b.job.queue.Priority),
		cmp.Compare(a.growth(), b.growth()),
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(a.effort(), b.effort()),
		cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.job.ID, b.job.ID),
	)
}

// chainFrom is the estimated run time of the longest chain of steps that begins
// with a step.
func chainFrom(s *jobs.Spec, first int) time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	ends[first] = s.Steps[first].Estimate
	longest := ends[first]
	for i := first + 1; i < len(s.Steps); i++ {
		for _, before := range s.Steps[i].After {
			if ends[before] > 0 {
				ends[i] = max(ends[i], ends[before]+s.Steps[i].Estimate)
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// demand is what tasks have in common that find the same runners full.
type demand struct {
	service string
	kind    interference.Kind
	fills   bool
	waited  bool
	starved bool
}

// fullFor are the least resources for which a round has found no runner. It
// saves looking again for each of many equal tasks.
type fullFor map[demand]structs.Resources

func (w *work) demand(now time.Duration) demand {
	d := demand{service: w.job.queue.Service, fills: w.step.Fills, waited: now-w.since >= harmWait, starved: w.starved}
	if w.step.Fills {
		d.kind = w.kind
	}
	return d
}

// covers reports whether the step's tasks can't be placed in this round.
func (f fullFor) covers(w *work, now time.Duration) bool {
	least, ok := f[w.demand(now)]
	return ok && least.Fits(w.step.Ask)
}

// note records that no runner was found. Steps with conditions of their own say
// nothing about others.
func (f fullFor) note(w *work, now time.Duration) {
	if w.step.Label == "" && w.step.MaxPerRunner == 0 && !w.job.queue.Advised {
		f[w.demand(now)] = w.step.Ask
	}
}

func (c *Core) startTasks(w *work, now time.Duration) {
	for _, index := range slices.Clone(w.pending) {
		w.lastChance = w.job.queue.Attempts > 1 && w.job.Failures(w.taskID(index)) >= w.job.queue.Attempts-1
		if c.full.covers(w, now) {
			return
		}
		r := c.pick(w, now, nil)
		if r == nil {
			c.full.note(w, now)
			c.ask(w, now)
			return
		}
		c.start(w, index, c.nextRun(w, index), r, now)
		w.starved = false
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
	x := &run{job: w.job, task: id, number: number, runner: r, step: w.step, kind: w.kind, settled: new(atomic.Bool), began: now, pace: fullPace}
	if w.step.Fills {
		c.limitPace(r, w, now)
	}
	c.attach(x)
	saved := t.Saved
	if !w.step.Checkpoints {
		saved = ""
	}
	c.orders = append(c.orders, Order{Kind: Start, Runner: r.ID, Address: r.Address, Task: id, Run: number,
		Spec: w.job.Spec.Text, Saved: saved, Ticket: w.advice.tickets[r.ID].text, Settled: x.settled})
	c.counters("starts", 1)
	c.log.WithFields(logrus.Fields{"task": id, "run": number, "runner": r.ID, "free_milli": r.Capacity.CPUMilli - r.held.CPUMilli}).Info("start ordered")
}

// candidates returns the runners in the order of their IDs.
func (c *Core) candidates() []*runner {
	if len(c.sorted) != len(c.runners) {
		c.sorted = slices.SortedFunc(maps.Values(c.runners), func(a, b *runner) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c.sorted
}

// pick returns the runner on which the step's next task is expected to end
// first, or nil if none may take it now. Of many that could, sampleSize are
// compared, others each time. Rack, if set, confines the choice.
func (c *Core) pick(w *work, now time.Duration, rack *string) *runner {
	var best *runner
	var bestCost float64
	all := c.candidates()
	tried := 0
	for i := range all {
		r := all[(c.cursor+i)%len(all)]
		if rack != nil && r.Rack != *rack || !c.eligible(w, r, now) {
			continue
		}
		cost := c.cost(w, r, now)
		if cost < 0 {
			continue
		}
		if tried++; tried > sampleSize {
			c.cursor = (c.cursor + i) % len(all)
			break
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
	return r.fits(w) && w.permitted(r, now)
}

// fits reports whether the runner has room for one of the step's tasks.
func (r *runner) fits(w *work) bool {
	return r.held.Add(w.step.Reserved()).Fits(r.Capacity)
}

// cost compares runners for a task: how long it would take there, plus a small
// share for how full the runner would be. It is negative if waiting is better.
func (c *Core) cost(w *work, r *runner, now time.Duration) float64 {
	factor := 1.0
	if w.step.DataRack != "" && w.step.DataRack != r.Rack && c.limits.FarFactor > 1 {
		factor *= c.limits.FarFactor
	}
	if r.health.doubtful(now) || w.lastChance && !r.health.proven(now) {
		factor *= doubtPenalty
	}
	idle := r.idle()
	if w.step.Fills {
		return c.fillCost(w, r, factor, idle, now)
	}
	free := float64(r.Capacity.CPUMilli-r.held.CPUMilli) / float64(1+r.Capacity.CPUMilli)
	if w.step.TailTarget > 0 {
		return factor + c.mixCost(w, r) + free/4
	}
	return factor - free/4
}

// idle is what is expected to be left of the runner's processors.
func (r *runner) idle() int64 {
	return r.Capacity.CPUMilli - r.firm - r.serving*servingUse/100 - r.filling
}

// mixCost keeps serving tasks of one image together and apart from others: a
// runner with one image is open to every filling image that does not harm it.
func (c *Core) mixCost(w *work, r *runner) float64 {
	others := len(r.served)
	if r.served[w.kind] != nil {
		return mixPenalty * float64(others-1)
	}
	return mixPenalty*float64(others) + newPenalty
}

// fillCost is the cost for a filling task: how long it would take with the
// idle processors at the pace that spares the tasks that serve, and the harm
// that it would do them.
func (c *Core) fillCost(w *work, r *runner, factor float64, idle int64, now time.Duration) float64 {
	ask := max(1, w.step.Ask.CPUMilli)
	share := min(100, idle*100/ask)
	if share < fillShare || c.troubled(r, now) && !w.starved {
		return -1
	}
	pace, harm := c.safePace(r, w.kind, ask)
	pace = min(pace, r.paceOf(w.kind))
	pace = max(minPace, pace)
	if !w.starved && (pace < leastPace || pace < fullPace && now-w.since < harmWait) {
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
	if !c.tryGang(w, now, nil) {
		c.ask(w, now)
	}
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
