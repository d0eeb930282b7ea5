package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bergamotstile/interference"
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
	// upkeepPenalty keeps long-running tasks off runners whose machine is about
	// to go down: they would have to be moved again.
	upkeepPenalty = 2.0
	// harmWeight weighs pressure on serving tasks against time lost.
	harmWeight = 4.0
	// packWeight prefers full runners among those that lose alike.
	packWeight = 0.01
	// unknownOpenness marks a runner whose openness has to be worked out.
	unknownOpenness = -1
	// sampleSize bounds the runners that are compared for one task.
	sampleSize = 64
)

// demand is what tasks have in common that find the same runners full.
type demand struct {
	service string
	kind    interference.Kind
	fills   bool
	waited  bool
	rank    rank
}

func (w *work) demand(now time.Duration) demand {
	d := demand{service: w.job.queue.Service, fills: w.step.BestEffort, waited: now-w.since >= harmWait}
	if w.step.BestEffort {
		d.kind, d.rank = w.kind, w.precedence.rank
	}
	return d
}

// refreshTime is after how long every runner is looked at again for work that
// found none: some obstacles end with time.
const refreshTime = 200 * time.Millisecond

// fullMark records that no runner had room for work that asks for least.
type fullMark struct {
	least structs.Resources
	seen  uint64        // the newest change at that time
	whole time.Duration // when every runner was looked at last
}

// fullFor are the marks of work that found no runner. They save looking at all
// runners again for each of many equal tasks, and in the next rounds at those
// that haven't changed: with hundreds of runners and a backlog that took most of
// the coordinator's processor time.
type fullFor map[demand]fullMark

// since returns the change after which a runner must have changed
// to be worth a look for the step's next task. It is zero if all are.
func (f fullFor) since(w *work, now time.Duration) uint64 {
	m, ok := f[w.demand(now)]
	if !ok || !w.plainDemand() || !m.least.Fits(w.step.Resources) || now-m.whole >= refreshTime {
		return 0
	}
	return m.seen
}

// plainDemand reports whether the step finds the same runners full as others of
// its demand.
func (w *work) plainDemand() bool {
	return w.claims == 0 && w.step.RequiredLabel == "" && w.step.MaxPerRunner == 0 && !w.job.queue.Advised
}

// note records that no runner was found among those that changed after since.
func (f fullFor) note(w *work, since, changes uint64, now time.Duration) {
	if !w.plainDemand() {
		return
	}
	d := w.demand(now)
	m := fullMark{w.step.Resources, changes, now}
	if since > 0 {
		m.least, m.whole = f[d].least, f[d].whole
	}
	f[d] = m
}

// changed notes that what a runner can take may have changed.
func (c *Core) changed(r *runner) {
	c.changes.note(r, len(c.runners))
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
// compared, others each time. Rack and since, if set, confine the choice: to a
// rack, and to runners that have changed after since.
func (c *Core) pick(w *work, now time.Duration, rack *string, since uint64) *runner {
	best := choice{core: c, work: w, now: now}
	if since > 0 {
		for r := range c.changes.after(since) {
			if (rack == nil || r.Rack == *rack) && !best.compare(r) {
				break
			}
		}
		return best.runner
	}
	all := c.candidates()
	for i := range all {
		r := all[(c.cursor+i)%len(all)]
		if (rack == nil || r.Rack == *rack) && !best.compare(r) {
			c.cursor = (c.cursor + i) % len(all)
			break
		}
	}
	return best.runner
}

// choice is the best of the runners that were compared for a task.
type choice struct {
	core   *Core
	work   *work
	now    time.Duration
	runner *runner
	cost   float64
	tried  int
}

// compare considers one more runner. It returns false, without considering it, once
// enough were compared.
func (b *choice) compare(r *runner) bool {
	if !b.core.eligible(b.work, r, b.now) {
		return true
	}
	cost := b.core.cost(b.work, r, b.now)
	if cost < 0 {
		return true
	}
	if b.tried++; b.tried > sampleSize {
		return false
	}
	if b.runner == nil || cost < b.cost || cost == b.cost && r.ID < b.runner.ID {
		b.runner, b.cost = r, cost
	}
	return true
}

// eligible reports whether the step's task may be started on the runner.
func (c *Core) eligible(w *work, r *runner, now time.Duration) bool {
	return c.obstacle(w, r, now) == noObstacle
}

// obstacle returns why the step's task may not be started on the runner.
func (c *Core) obstacle(w *work, r *runner, now time.Duration) obstacle {
	switch {
	case r.Service != w.job.queue.Service:
		return otherService
	case !r.usable():
		return notUsable
	case r.health.avoided(now):
		return avoided
	case w.step.RequiredLabel != "" && !slices.Contains(r.Labels, w.step.RequiredLabel):
		return noLabel
	case w.step.MaxPerRunner > 0 && w.onRunner[r] >= w.step.MaxPerRunner:
		return spreadReached
	case !r.fits(w):
		return noRoom
	case !w.permitted(r, now):
		return noTicket
	}
	return noObstacle
}

// fits reports whether the runner has room for one of the step's tasks.
func (r *runner) fits(w *work) bool {
	return r.held.Add(r.claimedFrom(w)).Add(w.step.Reserved()).Fits(r.Capacity)
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
	if w.step.LongRunning && r.upkeepDue {
		factor *= upkeepPenalty
	}
	if w.step.BestEffort {
		return c.fillCost(w, r, factor, now)
	}
	free := float64(r.Capacity.CPUMilli-r.held.CPUMilli) / float64(1+r.Capacity.CPUMilli)
	return factor + c.lostRoom(w, r) + packWeight*free
}

// idle is what is expected to be left of the runner's processors.
func (r *runner) idle() int64 {
	return r.Capacity.CPUMilli - r.firm - r.serving*servingUse/100 - r.filling
}

// lostRoom is the room for filling tasks, as a share of the runner, that would be
// lost to one of the step's tasks. Serving tasks close a runner to the filling
// images that harm them, so they go where their image already is, else to an
// empty runner, else beside images that have closed the runner to the same
// images. Plain tasks go where little is lost.
func (c *Core) lostRoom(w *work, r *runner) float64 {
	room := r.Capacity.CPUMilli - r.firm - r.serving*servingUse/100
	use := w.step.Resources.CPUMilli
	before := c.openness(r)
	after := before
	if w.step.TailLatencyTarget > 0 {
		use = use * servingUse / 100
		if r.served[w.kind] == nil {
			after = c.harm.openTo(append(slices.Sorted(maps.Keys(r.served)), w.kind))
		}
	}
	lost := float64(max(0, room))*before - float64(max(0, room-use))*after
	return lost / float64(1+r.Capacity.CPUMilli)
}

// openness is how far filling tasks can use the room on the runner, from 0 to 1.
// It is kept until the runner's serving tasks change.
func (c *Core) openness(r *runner) float64 {
	if r.open < 0 {
		r.open = c.harm.openTo(slices.Sorted(maps.Keys(r.served)))
	}
	return r.open
}

// fillCost is the cost for a filling task: how long it would take with the
// idle processors at the pace that spares the tasks that serve, and the harm
// that it would do them.
func (c *Core) fillCost(w *work, r *runner, factor float64, now time.Duration) float64 {
	p := c.forecast(r, w.step, w.kind, w.precedence)
	if c.fillObstacle(w, r, p, now) != noObstacle {
		return -1
	}
	share := min(100, p.free*100/max(1, w.step.Resources.CPUMilli))
	pace := max(minPace, p.pace)
	return factor*100/float64(share)*fullPace/float64(pace) + harmWeight*p.harm - float64(p.free)/float64(1+r.Capacity.CPUMilli)/4
}

// fillObstacle returns why a filling task should wait rather than start there.
func (c *Core) fillObstacle(w *work, r *runner, p forecast, now time.Duration) obstacle {
	switch {
	case p.free*100/max(1, w.step.Resources.CPUMilli) < fillShare:
		return noProcessors
	case w.starved:
		return noObstacle
	case c.troubled(r, now):
		return troubledTasks
	case p.pace < leastPace, p.pace < fullPace && now-w.since < harmWait:
		return harmsTasks
	}
	return noObstacle
}
