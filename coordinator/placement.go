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
	// harmWeight weighs pressure on serving tasks against time lost.
	harmWeight = 4.0
	// mixPenalty is for each other image of serving tasks on a runner,
	// newPenalty for one that has not got the image yet.
	mixPenalty = 1.0
	newPenalty = 0.4
	// sampleSize bounds the runners that are compared for one task.
	sampleSize = 64
)

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
