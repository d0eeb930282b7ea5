package policy

import (
	"slices"
	"time"

	"bergamotstile/qos"
	"bergamotstile/quota"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

const (
	// checkpointFailure is the assumed part of evictions whose checkpoint
	// fails, so that all work since the start is lost.
	checkpointFailure = 0.05
	// restartLoss is the assumed time that a restart from a checkpoint costs.
	restartLoss = 20 * time.Second
	// queueWeight converts waiting requests for each slot into an excess.
	queueWeight = 0.5
	// freshMeasurement is the age up to which a measured excess counts.
	freshMeasurement = 15 * time.Second
)

// react throttles, evicts and releases work beside services.
func (c *planning) react() {
	for i := range c.snapshot.Workers {
		w := &c.snapshot.Workers[i]
		if s := c.services[w.Name]; s != nil && len(w.Running) > 0 {
			c.reactOn(i, w, s)
		}
	}
}

func (c *planning) reactOn(index int, w *scheduler.Worker, s *service) {
	predicted := c.beside.at(index, w).mean
	reading := qos.Reading{Worker: w.Name, Excess: max(0, predicted+s.residual)}
	if c.enabled(MechanismQueue) {
		reading.Excess += queueWeight * s.queue
	}
	fresh := c.snapshot.Now.Sub(s.measured) < freshMeasurement
	reading.Measured = fresh && s.excess > c.settings.QoS.Limit
	var neighbours []qos.Neighbour
	if reading.Excess > c.settings.QoS.Limit || throttledAny(w) {
		neighbours = c.neighbours(w, s, max(predicted, 1e-9), predicted+s.residual)
	}
	for _, action := range c.reaction.React(c.snapshot.Now, reading, neighbours) {
		c.apply(action)
	}
}

// throttledAny reports whether a release could be due on a worker.
func throttledAny(w *scheduler.Worker) bool {
	return slices.ContainsFunc(w.Running, func(a scheduler.Attempt) bool { return share(&a) < 1 })
}

func (c *planning) apply(a qos.Action) {
	if !a.Evict {
		if c.enabled(MechanismThrottle) {
			c.plan.Throttles = append(c.plan.Throttles, scheduler.Throttle{Work: a.Work, Share: a.Share})
		}
		return
	}
	if c.enabled(MechanismEvict) && !c.snapshot.EvictionsSuspended {
		c.evict(a.Work, "service hurt")
	}
}

func (c *planning) evict(id structs.WorkID, cause string) {
	c.evicted[id] = true
	c.plan.Evictions = append(c.plan.Evictions, scheduler.Eviction{Work: id, Cause: cause})
}

// neighbours lists the running batch work of a worker with its harm, scaled so
// that the sum is the excess that is to be explained.
func (c *planning) neighbours(w *scheduler.Worker, s *service, predicted, excess float64) []qos.Neighbour {
	scale := max(1, excess/predicted)
	var list []qos.Neighbour
	for i := range w.Running {
		a := &w.Running[i]
		if a.State != structs.StateRunning || a.Class == structs.ClassUrgent {
			continue
		}
		pair := c.model.Pair(s.kind, c.model.Kind(a.Job), s.load)
		list = append(list, qos.Neighbour{
			Work:      a.Work,
			Harm:      scale * pair.Mean * c.use(a, w),
			Lost:      lost(a),
			Share:     share(a),
			Evictable: evictable(a),
		})
	}
	return list
}

// evictable reports whether an attempt may be evicted by choice. Work that is
// not idempotent is lost if its checkpoint fails, so it stays.
func evictable(a *scheduler.Attempt) bool {
	return a.State == structs.StateRunning && a.Idempotent && a.Class != structs.ClassUrgent && a.Evictions < maxEvictions
}

// maxEvictions bounds the evictions of one item, so that it finishes.
const maxEvictions = 3

// lost returns the work that an eviction is expected to lose, in core seconds.
func lost(a *scheduler.Attempt) float64 {
	cores := float64(a.Size.CPUMilli) / 1000
	return cores * (restartLoss.Seconds() + checkpointFailure*a.RunningFor.Seconds())
}

// preempt clears room for an urgent item that found none, or keeps holding
// the room that is being cleared.
func (c *planning) preempt(item *scheduler.Item) {
	if !c.enabled(MechanismPreemption) {
		return
	}
	if c.keepHold(item) {
		return
	}
	if c.snapshot.EvictionsSuspended {
		return
	}
	node, victims := c.cheapest(item)
	if node == nil {
		return
	}
	for _, id := range victims {
		c.evict(id, "urgent work")
	}
	c.holds[item.Work] = hold{worker: node.Name, team: item.Team, size: item.Size, until: c.snapshot.Now.Add(c.settings.HoldPreempted)}
	c.cycle.Hold(node, item.Size)
}

// keepHold keeps the room that is being cleared for an item. It returns false
// if there is none, or if its worker can no longer take the item.
func (c *planning) keepHold(item *scheduler.Item) bool {
	h, ok := c.holds[item.Work]
	if !ok || !c.snapshot.Now.Before(h.until) {
		return false
	}
	nodes := c.cycle.Nodes()
	for i := range nodes {
		n := &nodes[i]
		if n.Name == h.worker && (scheduler.Placeable{}).Filter(item, n) && (healthy{c}).Filter(item, n) {
			c.cycle.Hold(n, item.Size)
			return true
		}
	}
	return false
}

// cheapest returns the node where room for an item costs the least work.
func (c *planning) cheapest(item *scheduler.Item) (*scheduler.Node, []structs.WorkID) {
	var best *scheduler.Node
	var victims []structs.WorkID
	least := 0.0
	nodes := c.cycle.Nodes()
	for i := range nodes {
		n := &nodes[i]
		if !item.Size.Fits(n.Capacity) || !(scheduler.Placeable{}).Filter(item, n) || !(healthy{c}).Filter(item, n) {
			continue
		}
		ids, cost, ok := c.clear(item, n)
		if ok && (best == nil || cost < least) {
			best, victims, least = n, ids, cost
		}
	}
	return best, victims
}

// heldForTeam returns what is being cleared on a worker for other urgent items
// of the same team. Two items must not count on the same evicted work.
func (c *planning) heldForTeam(item *scheduler.Item, worker string) structs.Resources {
	var sum structs.Resources
	for id, h := range c.holds {
		if id != item.Work && h.worker == worker && h.team == item.Team && c.snapshot.Now.Before(h.until) {
			sum = sum.Add(h.size)
		}
	}
	return sum
}

// clear returns the batch work to evict from a node for an item, and what
// that loses. An item whose team is at its quota replaces as much of its own
// team's work, whatever room there is.
func (c *planning) clear(item *scheduler.Item, n *scheduler.Node) ([]structs.WorkID, float64, bool) {
	free := n.Room
	atQuota := !c.withinQuota(item)
	if atQuota {
		free = structs.Resources{}.Sub(c.heldForTeam(item, n.Name))
	}
	var running []quota.Running
	var ids []structs.WorkID
	for i := range n.Running {
		a := &n.Running[i]
		if atQuota && a.Team != item.Team {
			continue
		}
		if a.State == structs.StateEvicting || c.evicted[a.Work] {
			free = free.Add(a.Size)
			continue
		}
		if evictable(a) {
			running = append(running, quota.Running{Size: a.Size, Lost: lost(a)})
			ids = append(ids, a.Work)
		}
	}
	chosen, ok := quota.Preempt(item.Size, free, running)
	if !ok {
		return nil, 0, false
	}
	var victims []structs.WorkID
	cost := 0.0
	for _, i := range chosen {
		victims = append(victims, ids[i])
		cost += running[i].Lost
	}
	return victims, cost, true
}
