package bench

import (
	"slices"

	"bergamotstile/policy"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// decider is what a run needs of a policy.
type decider interface {
	Schedule(scheduler.Snapshot) scheduler.Plan
	Observe(policy.Observation)
}

// baseline is a policy to compare with. It packs by declared sizes in order of
// class and age, and gives items up that failed on several workers.
type baseline struct {
	// usable restricts placement; nil allows every worker.
	usable func(item *scheduler.Item, node *scheduler.Node) bool
	// evict names running items to evict from a worker; nil evicts nothing.
	evict func(w *scheduler.Worker) []structs.WorkID
}

// failuresGivenUp is the number of workers on which an item must fail.
const failuresGivenUp = 3

// Observe implements decider; a baseline learns nothing.
func (b *baseline) Observe(policy.Observation) {}

// Schedule implements decider.
func (b *baseline) Schedule(s scheduler.Snapshot) scheduler.Plan {
	var plan scheduler.Plan
	cycle := scheduler.NewCycle(&s, scheduler.Plugins{
		Filters: []scheduler.FilterPlugin{scheduler.EligibilityFilter{}, b},
		Scores:  []scheduler.WeightedScore{{Plugin: scheduler.Packing{}, Weight: 1}},
	}, scheduler.DefaultLimits())
	queue := slices.Clone(s.Queue)
	slices.SortStableFunc(queue, func(x, y scheduler.Item) int { return int(x.Class) - int(y.Class) })
	for i := range queue {
		item := &queue[i]
		if reason, refused := givenUp(item, s.Workers); refused {
			plan.Refusals = append(plan.Refusals, scheduler.Refusal{Work: item.Work, Reason: reason})
			continue
		}
		if node := cycle.Place(item); node != nil {
			plan.Placements = append(plan.Placements, scheduler.Placement{Work: item.Work, Worker: node.Name})
		}
	}
	if b.evict != nil {
		for i := range s.Workers {
			for _, id := range b.evict(&s.Workers[i]) {
				plan.Evictions = append(plan.Evictions, scheduler.Eviction{Work: id, Cause: "utilisation"})
			}
		}
	}
	return plan
}

// Filter implements scheduler.FilterPlugin.
func (b *baseline) Filter(item *scheduler.Item, node *scheduler.Node) bool {
	return b.usable == nil || b.usable(item, node)
}

func givenUp(item *scheduler.Item, workers []scheduler.Worker) (structs.Reason, bool) {
	if len(item.FailedOn) >= failuresGivenUp {
		return structs.ReasonNeverRuns, true
	}
	fits := func(w scheduler.Worker) bool { return item.Size.Fits(w.Capacity) }
	if !slices.ContainsFunc(workers, fits) {
		return structs.ReasonNeverFits, true
	}
	return "", false
}

// The fixed utilisation thresholds: a placement may fill a worker up to the
// first, and above the second work is evicted.
const (
	thresholdPlace = 0.80
	thresholdEvict = 0.90
)

// threshold shares workers up to a fixed reported utilisation of the machine.
type threshold struct {
	baseline
	d       deployment
	service map[string]float64 // cores that the service uses, by worker
}

func newThreshold(d deployment) *threshold {
	t := &threshold{d: d, service: map[string]float64{}}
	t.usable = func(item *scheduler.Item, node *scheduler.Node) bool {
		placed := node.Unallocated().Sub(node.FreeCapacity).Add(item.Size)
		return t.utilisation(node.Worker)+float64(placed.CPUMilli)/float64(d.machine.CPUMilli) <= thresholdPlace
	}
	t.evict = t.youngestAbove
	return t
}

// Observe implements decider.
func (t *threshold) Observe(o policy.Observation) {
	for _, s := range o.Services {
		t.service[s.Worker] = s.Load * float64(t.d.slots) * t.d.slotCores
	}
}

func (t *threshold) utilisation(w *scheduler.Worker) float64 {
	used := t.service[w.Name] * 1000
	for i := range w.Running {
		a := &w.Running[i]
		// Work that no report covers yet counts as declared. Without that,
		// every report lag would fill the worker beyond the threshold.
		if a.Used.CPUMilli == 0 {
			used += float64(a.Size.CPUMilli)
		}
		used += float64(a.Used.CPUMilli)
	}
	return used / float64(t.d.machine.CPUMilli)
}

// youngestAbove evicts the task that lost least while utilisation is too high.
// One at a time: the next report shows whether it was enough.
func (t *threshold) youngestAbove(w *scheduler.Worker) []structs.WorkID {
	if t.utilisation(w) <= thresholdEvict {
		return nil
	}
	var youngest *scheduler.Attempt
	for i := range w.Running {
		a := &w.Running[i]
		if a.State == structs.StateEvicting {
			return nil
		}
		if a.State == structs.StateRunning && a.Class != structs.ClassUrgent && (youngest == nil || a.RunningFor < youngest.RunningFor) {
			youngest = a
		}
	}
	if youngest == nil {
		return nil
	}
	return []structs.WorkID{youngest.Work}
}
