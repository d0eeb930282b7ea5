package policy

import (
	"fmt"
	"slices"

	"bergamotstile/quarantine"
	"bergamotstile/quota"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// planner holds the state of the computation of one plan.
type planner struct {
	*Policy
	snapshot     *scheduler.Snapshot
	cycle        *scheduler.Cycle
	interference *interferencePlugin
	teamUse      map[string]structs.Resources // by team; includes the items that the plan places
	evicted      map[structs.WorkID]bool      // work that the plan evicts
	plan         scheduler.Plan
}

// newPlanner returns a planner with an empty plan for a snapshot.
func (p *Policy) newPlanner(s *scheduler.Snapshot) *planner {
	pl := &planner{Policy: p, snapshot: s, evicted: map[structs.WorkID]bool{}, teamUse: map[string]structs.Resources{}}
	pl.interference = newInterferencePlugin(p, s)
	pl.cycle = scheduler.NewCycle(s, pl.plugins(), p.settings.Limits)
	for i := range s.Workers {
		for j := range s.Workers[i].Running {
			a := &s.Workers[i].Running[j]
			pl.teamUse[a.Team] = pl.teamUse[a.Team].Add(a.Size)
		}
	}
	return pl
}

// plugins assembles the plugins of the enabled mechanisms, with weights that
// follow from the objective weights.
func (p *planner) plugins() scheduler.Plugins {
	w := p.settings.Weights.normalised()
	plugins := scheduler.Plugins{
		Filters: []scheduler.FilterPlugin{scheduler.EligibilityFilter{}, quarantineFilter{p}},
	}
	if p.isEnabled(MechanismHeadroom) {
		headroom := scheduler.NewHeadroom(p.usage, p.snapshot)
		plugins.Filters = append(plugins.Filters, headroom)
		plugins.Reserves = append(plugins.Reserves, headroom)
	}
	if p.isEnabled(MechanismInterference) {
		plugins.Filters = append(plugins.Filters, p.interference)
		plugins.Scores = append(plugins.Scores, scheduler.WeightedScore{Plugin: p.interference, Weight: interferenceScale * (w.TailLatency + w.Evictions)})
		plugins.Reserves = append(plugins.Reserves, p.interference)
	}
	if p.isEnabled(MechanismPacking) {
		plugins.Scores = append(plugins.Scores, scheduler.WeightedScore{Plugin: scheduler.Packing{}, Weight: w.BatchThroughput})
	}
	if p.isEnabled(MechanismSpread) {
		spread := scheduler.NewRackSpread(p.snapshot)
		plugins.Scores = append(plugins.Scores, scheduler.WeightedScore{Plugin: spread, Weight: spreadScale})
		plugins.Reserves = append(plugins.Reserves, spread)
	}
	return plugins
}

const (
	// interferenceScale gives one unit of squared slowdown more weight than any
	// difference in packing.
	interferenceScale = 10
	// spreadScale lets rack spreading decide between nodes that otherwise have
	// equal scores.
	spreadScale = 0.1
)

// quarantineFilter rejects quarantined workers, except for one probe at a time.
type quarantineFilter struct{ *planner }

// Filter implements scheduler.FilterPlugin. A probe must be idempotent and not
// urgent.
func (f quarantineFilter) Filter(item *scheduler.Item, node *scheduler.Node) bool {
	if !f.isEnabled(MechanismQuarantine) {
		return true
	}
	switch f.quarantine.State(node.Name, f.snapshot.Now) {
	case quarantine.Usable:
		return !node.Quarantined
	case quarantine.ProbeDue:
		return item.Class != structs.ClassUrgent && item.Idempotent
	default:
		return false
	}
}

// placeQueue places the queued items that fit, in the order of placementOrder
// and as far as quotas allow. For each urgent item that does not fit, it
// preempts batch work. For one aged item that does not fit, it withholds
// capacity.
func (p *planner) placeQueue() {
	queue := p.selectCandidates()
	reservedForAged := false
	for _, i := range p.placementOrder(queue) {
		item := queue[i]
		urgent := item.Class == structs.ClassUrgent
		if !p.isWithinQuota(item) {
			if urgent {
				p.preemptAndCharge(item)
			}
			continue
		}
		node := p.cycle.Place(item)
		switch {
		case node != nil:
			p.recordPlacement(item, node)
		case urgent:
			p.preemptAndCharge(item)
		case !reservedForAged && p.settings.Quota.AgeLimit <= item.Waiting:
			reservedForAged = p.reserveForAgedItem(item)
		}
	}
}

// preemptAndCharge preempts batch work for an urgent item and adds the item to
// the use of its team, although the item is not placed yet. Without this
// addition, batch work of the team could take the quota that the first of
// several victims releases.
func (p *planner) preemptAndCharge(item *scheduler.Item) {
	p.preemptFor(item)
	p.teamUse[item.Team] = p.teamUse[item.Team].Add(item.Size)
}

// isWithinQuota reports whether the team of an item may use the item's size in
// addition to its present use.
func (p *planner) isWithinQuota(item *scheduler.Item) bool {
	return p.settings.Teams[item.Team].Allows(p.teamUse[item.Team], item.Size)
}

// selectCandidates returns the queued items that the plan considers. It refuses
// the items that can never run.
func (p *planner) selectCandidates() []*scheduler.Item {
	capacities := p.distinctCapacities()
	var queue []*scheduler.Item
	for i := range p.snapshot.Queue {
		item := &p.snapshot.Queue[i]
		if len(queue) >= p.settings.MaxPlanItems && item.Class != structs.ClassUrgent {
			continue
		}
		switch {
		case p.neverFits(item, capacities):
			p.refuse(item, structs.ReasonNeverFits, "declared size exceeds every worker")
		case p.isEnabled(MechanismQuarantine) && p.quarantine.NeverRuns(item.Work):
			p.refuse(item, structs.ReasonNeverRuns, fmt.Sprintf("failed on %v", item.FailedOn))
		default:
			queue = append(queue, item)
		}
	}
	return queue
}

// refuse adds the refusal of an item to the plan and drops its failures from
// the quarantine.
func (p *planner) refuse(item *scheduler.Item, reason structs.Reason, detail string) {
	p.plan.Refusals = append(p.plan.Refusals, scheduler.Refusal{Work: item.Work, Reason: reason, Detail: detail})
	p.quarantine.Forget(item.Work)
}

// neverFits reports whether no worker of the shard is large enough for an item.
// A worker that has not reported yet has no capacity, and the membership list
// lags behind. An item therefore counts as too large only after it has waited
// for NeverFitsAfter and every worker has reported.
func (p *planner) neverFits(item *scheduler.Item, capacities []structs.Resources) bool {
	if len(capacities) == 0 || slices.Contains(capacities, structs.Resources{}) {
		return false
	}
	return item.Waiting >= p.settings.NeverFitsAfter && !fitsAny(item.Size, capacities)
}

// distinctCapacities returns the distinct capacities of the shard's workers.
func (p *planner) distinctCapacities() []structs.Resources {
	var distinct []structs.Resources
	for i := range p.snapshot.Workers {
		if capacity := p.snapshot.Workers[i].Capacity; !slices.Contains(distinct, capacity) {
			distinct = append(distinct, capacity)
		}
	}
	return distinct
}

// fitsAny reports whether a size fits into one of the capacities.
func fitsAny(size structs.Resources, capacities []structs.Resources) bool {
	return slices.ContainsFunc(capacities, size.Fits)
}

// placementOrder returns the indexes of the queued items in the order in which
// they are to be placed.
func (p *planner) placementOrder(queue []*scheduler.Item) []int {
	items := make([]quota.Item, len(queue))
	capacity := structs.Resources{}
	for i := range p.snapshot.Workers {
		capacity = capacity.Add(p.snapshot.Workers[i].Capacity)
	}
	for i, item := range queue {
		items[i] = quota.Item{Team: item.Team, Class: item.Class, Size: item.Size, Waiting: item.Waiting}
		if !p.isEnabled(MechanismFairShare) {
			items[i].Team = ""
		}
	}
	return quota.Order(items, p.teamUse, p.settings.Teams, capacity, p.settings.Quota)
}

// recordPlacement adds a placement to the plan, to the use of the team and to
// the quarantine, and drops the item's reservation.
func (p *planner) recordPlacement(item *scheduler.Item, node *scheduler.Node) {
	p.plan.Placements = append(p.plan.Placements, scheduler.Placement{Work: item.Work, Worker: node.Name})
	p.teamUse[item.Team] = p.teamUse[item.Team].Add(item.Size)
	p.quarantine.RecordPlacement(node.Name, item.Work)
	delete(p.reservations, item.Work)
}

// reserveForAgedItem withholds capacity on the node with the most free
// processors, so that other items do not take the capacity before the aged item
// fits there. It reports whether it withheld capacity. If the item already fits
// on a node, another filter has rejected the item there. More free capacity
// would not help, so nothing is withheld.
func (p *planner) reserveForAgedItem(item *scheduler.Item) bool {
	var best *scheduler.Node
	nodes := p.cycle.Nodes()
	for i := range nodes {
		n := &nodes[i]
		if !item.Size.Fits(n.Capacity) || !(scheduler.EligibilityFilter{}).Filter(item, n) || !(quarantineFilter{p}).Filter(item, n) {
			continue
		}
		if item.Size.Fits(n.FreeCapacity) {
			return false
		}
		if best == nil || n.FreeCapacity.CPUMilli > best.FreeCapacity.CPUMilli {
			best = n
		}
	}
	if best == nil {
		return false
	}
	p.cycle.Withhold(best, item.Size)
	return true
}
