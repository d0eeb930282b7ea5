package policy

import (
	"fmt"
	"slices"

	"bergamotstile/quarantine"
	"bergamotstile/quota"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// planning is the work on one plan.
type planning struct {
	*Policy
	snapshot *scheduler.Snapshot
	cycle    *scheduler.Cycle
	beside   *beside
	used     map[string]structs.Resources // by team
	evicted  map[structs.WorkID]bool      // chosen in this plan
	plan     scheduler.Plan
}

func (p *Policy) newPlanning(s *scheduler.Snapshot) *planning {
	c := &planning{Policy: p, snapshot: s, evicted: map[structs.WorkID]bool{}, used: map[string]structs.Resources{}}
	c.beside = newBeside(p, s)
	c.cycle = scheduler.NewCycle(s, c.plugins(), p.settings.Limits)
	for i := range s.Workers {
		for j := range s.Workers[i].Running {
			a := &s.Workers[i].Running[j]
			c.used[a.Team] = c.used[a.Team].Add(a.Size)
		}
	}
	return c
}

// plugins puts the steps of a placement together with the objective weights.
func (c *planning) plugins() scheduler.Plugins {
	w := c.settings.Weights.normalised()
	plugins := scheduler.Plugins{
		Filters: []scheduler.FilterPlugin{scheduler.Placeable{}, healthy{c}},
	}
	if c.enabled(MechanismHeadroom) {
		headroom := scheduler.NewHeadroom(c.sizes, c.snapshot)
		plugins.Filters = append(plugins.Filters, headroom)
		plugins.Reserves = append(plugins.Reserves, headroom)
	}
	if c.enabled(MechanismInterference) {
		plugins.Filters = append(plugins.Filters, c.beside)
		plugins.Scores = append(plugins.Scores, scheduler.Weighted{Plugin: c.beside, Weight: interferenceScale * (w.TailLatency + w.Evictions)})
		plugins.Reserves = append(plugins.Reserves, c.beside)
	}
	if c.enabled(MechanismPacking) {
		plugins.Scores = append(plugins.Scores, scheduler.Weighted{Plugin: scheduler.Packing{}, Weight: w.BatchThroughput})
	}
	if c.enabled(MechanismSpread) {
		spread := scheduler.NewRackSpread(c.snapshot)
		plugins.Scores = append(plugins.Scores, scheduler.Weighted{Plugin: spread, Weight: spreadScale})
		plugins.Reserves = append(plugins.Reserves, spread)
	}
	return plugins
}

const (
	// interferenceScale makes one unit of squared slowdown outweigh any
	// difference in packing.
	interferenceScale = 10
	// spreadScale lets spreading decide between nodes that are otherwise alike.
	spreadScale = 0.1
)

// healthy refuses quarantined workers, but for one probe at a time.
type healthy struct{ *planning }

// Filter implements scheduler.FilterPlugin.
func (h healthy) Filter(item *scheduler.Item, node *scheduler.Node) bool {
	if !h.enabled(MechanismQuarantine) {
		return true
	}
	switch h.book.State(node.Name, h.snapshot.Now) {
	case quarantine.Usable:
		return !node.Quarantined
	case quarantine.Probe:
		return item.Class != structs.ClassUrgent && item.Idempotent
	default:
		return false
	}
}

// place orders the queue and places what fits.
func (c *planning) place() {
	queue := c.candidates()
	held := false
	for _, i := range c.order(queue) {
		item := queue[i]
		urgent := item.Class == structs.ClassUrgent
		if !c.withinQuota(item) {
			if urgent {
				c.awaitRoom(item)
			}
			continue
		}
		node := c.cycle.Place(item)
		switch {
		case node != nil:
			c.placed(item, node)
		case urgent:
			c.awaitRoom(item)
		case !held && c.settings.Quota.AgeLimit <= item.Waiting:
			held = c.holdRoom(item)
		}
	}
}

// awaitRoom clears room for an urgent item and charges its team for it already.
// Otherwise batch work of the team takes the quota again that the first of
// several victims releases.
func (c *planning) awaitRoom(item *scheduler.Item) {
	c.preempt(item)
	c.used[item.Team] = c.used[item.Team].Add(item.Size)
}

func (c *planning) withinQuota(item *scheduler.Item) bool {
	return c.settings.Teams[item.Team].Within(c.used[item.Team], item.Size)
}

// candidates returns the queued items that can run at all and refuses the rest.
func (c *planning) candidates() []*scheduler.Item {
	largest := c.capacities()
	var queue []*scheduler.Item
	for i := range c.snapshot.Queue {
		item := &c.snapshot.Queue[i]
		if len(queue) >= c.settings.PlanItems && item.Class != structs.ClassUrgent {
			continue
		}
		switch {
		case c.neverFits(item, largest):
			c.refuse(item, structs.ReasonNeverFits, "declared size exceeds every worker")
		case c.enabled(MechanismQuarantine) && c.book.NeverRuns(item.Work):
			c.refuse(item, structs.ReasonNeverRuns, fmt.Sprintf("failed on %v", item.FailedOn))
		default:
			queue = append(queue, item)
		}
	}
	return queue
}

func (c *planning) refuse(item *scheduler.Item, reason structs.Reason, detail string) {
	c.plan.Refusals = append(c.plan.Refusals, scheduler.Refusal{Work: item.Work, Reason: reason, Detail: detail})
	c.book.Forget(item.Work)
}

// neverFits reports an item that no worker of the shard can hold. A worker
// that has not reported yet has no capacity, and the membership list lags, so
// an item is judged only after it has waited and every worker has reported.
func (c *planning) neverFits(item *scheduler.Item, capacities []structs.Resources) bool {
	if len(capacities) == 0 || slices.Contains(capacities, structs.Resources{}) {
		return false
	}
	return item.Waiting >= c.settings.NeverFitsAfter && !fitsAny(item.Size, capacities)
}

// capacities returns the distinct capacities of the shard's workers.
func (c *planning) capacities() []structs.Resources {
	var list []structs.Resources
	for i := range c.snapshot.Workers {
		if capacity := c.snapshot.Workers[i].Capacity; !slices.Contains(list, capacity) {
			list = append(list, capacity)
		}
	}
	return list
}

func fitsAny(size structs.Resources, capacities []structs.Resources) bool {
	return slices.ContainsFunc(capacities, size.Fits)
}

func (c *planning) order(queue []*scheduler.Item) []int {
	items := make([]quota.Item, len(queue))
	capacity := structs.Resources{}
	for i := range c.snapshot.Workers {
		capacity = capacity.Add(c.snapshot.Workers[i].Capacity)
	}
	for i, item := range queue {
		items[i] = quota.Item{Team: item.Team, Class: item.Class, Size: item.Size, Waiting: item.Waiting}
		if !c.enabled(MechanismFairShare) {
			items[i].Team = ""
		}
	}
	return quota.Order(items, c.used, c.settings.Teams, capacity, c.settings.Quota)
}

func (c *planning) placed(item *scheduler.Item, node *scheduler.Node) {
	c.plan.Placements = append(c.plan.Placements, scheduler.Placement{Work: item.Work, Worker: node.Name})
	c.used[item.Team] = c.used[item.Team].Add(item.Size)
	c.book.Placed(node.Name, item.Work)
	delete(c.holds, item.Work)
}

// holdRoom keeps the node with the most room from filling up again before an
// aged item fits on it. An item that fits and was refused for another reason
// holds nothing, since more room would not help it.
func (c *planning) holdRoom(item *scheduler.Item) bool {
	var best *scheduler.Node
	nodes := c.cycle.Nodes()
	for i := range nodes {
		n := &nodes[i]
		if !item.Size.Fits(n.Capacity) || !(scheduler.Placeable{}).Filter(item, n) || !(healthy{c}).Filter(item, n) {
			continue
		}
		if item.Size.Fits(n.Room) {
			return false
		}
		if best == nil || n.Room.CPUMilli > best.Room.CPUMilli {
			best = n
		}
	}
	if best == nil {
		return false
	}
	c.cycle.Hold(best, item.Size)
	return true
}
