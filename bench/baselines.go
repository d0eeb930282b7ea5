package bench

import (
	"slices"

	"bergamotstile/policy"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// measuredPolicy is the interface through which a run uses a policy.
type measuredPolicy interface {
	Schedule(scheduler.Snapshot) scheduler.Plan
	Observe(policy.Observation)
}

// baseline is a simple policy for comparison. It places items by declared size
// in the order of class and age, preferring the worker with the least free
// capacity left. It refuses items that failed on maxFailedWorkers workers and
// items that fit no worker.
type baseline struct {
	// allowsPlacement reports whether an item may be placed on a worker. If it is
	// nil, every placement is allowed.
	allowsPlacement func(item *scheduler.Item, node *scheduler.Node) bool
	// selectEvictions returns the running items to evict from a worker. If it is
	// nil, nothing is evicted.
	selectEvictions func(w *scheduler.Worker) []structs.WorkID
}

// maxFailedWorkers is the number of workers on which an item must have failed to
// be refused.
const maxFailedWorkers = 3

// Observe implements measuredPolicy. It ignores the observation.
func (b *baseline) Observe(policy.Observation) {}

// Schedule implements measuredPolicy.
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
		if reason, refused := refusalReason(item, s.Workers); refused {
			plan.Refusals = append(plan.Refusals, scheduler.Refusal{Work: item.Work, Reason: reason})
			continue
		}
		if node := cycle.Place(item); node != nil {
			plan.Placements = append(plan.Placements, scheduler.Placement{Work: item.Work, Worker: node.Name})
		}
	}
	if b.selectEvictions != nil {
		for i := range s.Workers {
			for _, id := range b.selectEvictions(&s.Workers[i]) {
				plan.Evictions = append(plan.Evictions, scheduler.Eviction{Work: id, Cause: "utilisation"})
			}
		}
	}
	return plan
}

// Filter implements scheduler.FilterPlugin.
func (b *baseline) Filter(item *scheduler.Item, node *scheduler.Node) bool {
	return b.allowsPlacement == nil || b.allowsPlacement(item, node)
}

// refusalReason returns the reason to refuse an item, or false if it may be
// placed.
func refusalReason(item *scheduler.Item, workers []scheduler.Worker) (structs.Reason, bool) {
	if len(item.FailedOn) >= maxFailedWorkers {
		return structs.ReasonNeverRuns, true
	}
	fits := func(w scheduler.Worker) bool { return item.Size.Fits(w.Capacity) }
	if !slices.ContainsFunc(workers, fits) {
		return structs.ReasonNeverFits, true
	}
	return "", false
}

// Fixed thresholds of the utilisation of a machine's processors.
const (
	placementThreshold = 0.80 // a placement may raise the utilisation up to this
	evictionThreshold  = 0.90 // work is evicted while the utilisation is above this
)

// thresholdPolicy is a baseline that places and evicts work by the reported
// utilisation of the machine's processors, including those that the service uses.
type thresholdPolicy struct {
	baseline
	deployment   deployment
	serviceCores map[string]float64 // cores that the service uses, by worker
}

// newThresholdPolicy returns a threshold policy that has no observation yet.
func newThresholdPolicy(d deployment) *thresholdPolicy {
	t := &thresholdPolicy{deployment: d, serviceCores: map[string]float64{}}
	t.allowsPlacement = func(item *scheduler.Item, node *scheduler.Node) bool {
		added := node.Unallocated().Sub(node.FreeCapacity).Add(item.Size)
		return t.utilisation(node.Worker)+float64(added.CPUMilli)/float64(d.machineCapacity.CPUMilli) <= placementThreshold
	}
	t.selectEvictions = t.selectYoungest
	return t
}

// Observe implements measuredPolicy. It keeps the number of cores that the
// service uses on each worker.
func (t *thresholdPolicy) Observe(o policy.Observation) {
	for _, s := range o.Services {
		t.serviceCores[s.Worker] = s.Load * float64(t.deployment.slotsPerRunner) * t.deployment.coresPerSlot
	}
}

// utilisation returns the part of the machine's processors that the service and
// the running tasks use, by the latest reports.
func (t *thresholdPolicy) utilisation(w *scheduler.Worker) float64 {
	used := t.serviceCores[w.Name] * 1000
	for i := range w.Running {
		a := &w.Running[i]
		// A task without reported use counts with its declared size.
		// Otherwise the policy would fill the worker beyond the threshold in
		// the time until the use of new tasks is reported.
		if a.Used.CPUMilli == 0 {
			used += float64(a.Size.CPUMilli)
		}
		used += float64(a.Used.CPUMilli)
	}
	return used / float64(t.deployment.machineCapacity.CPUMilli)
}

// selectYoungest returns the task that has run for the shortest time, and so
// loses least, if the utilisation is above evictionThreshold. Urgent tasks are not
// selected. While a task of the worker is being evicted it selects none, because
// the next report shows whether one eviction was enough.
func (t *thresholdPolicy) selectYoungest(w *scheduler.Worker) []structs.WorkID {
	if t.utilisation(w) <= evictionThreshold {
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
