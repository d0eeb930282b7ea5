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
	// checkpointFailureRate is the assumed fraction of evictions whose
	// checkpoint fails, so that all work since the start of the attempt is
	// lost.
	checkpointFailureRate = 0.05
	// restartTime is the assumed duration of a restart from a checkpoint.
	restartTime = 20 * time.Second
	// queueWeight converts the number of waiting requests per slot into an
	// excess slowdown.
	queueWeight = 0.5
	// maxMeasurementAge is the age up to which a measured excess slowdown is
	// used.
	maxMeasurementAge = 15 * time.Second
)

// reactToInterference throttles and evicts work on the workers that run beside
// a service, and lifts throttles there.
func (p *planner) reactToInterference() {
	for i := range p.snapshot.Workers {
		w := &p.snapshot.Workers[i]
		if s := p.services[w.Name]; s != nil && len(w.Running) > 0 {
			p.reactOnWorker(i, w, s)
		}
	}
}

// reactOnWorker passes the state of the service beside one worker to the
// controller and adds the resulting actions to the plan.
func (p *planner) reactOnWorker(index int, w *scheduler.Worker, s *serviceState) {
	predicted := p.interference.forNode(index, w).mean
	reading := qos.Reading{Worker: w.Name, Excess: max(0, predicted+s.residual)}
	if p.isEnabled(MechanismQueue) {
		reading.Excess += queueWeight * s.queuePerSlot
	}
	fresh := p.snapshot.Now.Sub(s.measuredAt) < maxMeasurementAge
	reading.Measured = fresh && s.excess > p.settings.QoS.Limit
	var neighbours []qos.Neighbour
	if reading.Excess > p.settings.QoS.Limit || hasThrottledAttempt(w) {
		neighbours = p.batchNeighbours(w, s, max(predicted, 1e-9), predicted+s.residual)
	}
	for _, action := range p.controller.React(p.snapshot.Now, reading, neighbours) {
		p.applyAction(action)
	}
}

// hasThrottledAttempt reports whether a worker runs a throttled attempt, so
// that a throttle may have to be lifted.
func hasThrottledAttempt(w *scheduler.Worker) bool {
	return slices.ContainsFunc(w.Running, func(a scheduler.Attempt) bool { return throttleShare(&a) < 1 })
}

// applyAction adds an action of the controller to the plan, unless its
// mechanism is disabled. While evictions are suspended it ignores evictions.
func (p *planner) applyAction(a qos.Action) {
	if !a.Evict {
		if p.isEnabled(MechanismThrottle) {
			p.plan.Throttles = append(p.plan.Throttles, scheduler.Throttle{Work: a.Work, Share: a.Share})
		}
		return
	}
	if p.isEnabled(MechanismEvict) && !p.snapshot.EvictionsSuspended {
		p.evict(a.Work, "service hurt")
	}
}

func (p *planner) evict(id structs.WorkID, cause string) {
	p.evicted[id] = true
	p.plan.Evictions = append(p.plan.Evictions, scheduler.Eviction{Work: id, Cause: cause})
}

// batchNeighbours returns the running batch work of a worker with the
// interference that is attributed to each item. If the excess slowdown is
// larger than predicted, the interference of all items is scaled up by the same
// factor.
func (p *planner) batchNeighbours(w *scheduler.Worker, s *serviceState, predicted, excess float64) []qos.Neighbour {
	scale := max(1, excess/predicted)
	var neighbours []qos.Neighbour
	for i := range w.Running {
		a := &w.Running[i]
		if a.State != structs.StateRunning || a.Class == structs.ClassUrgent {
			continue
		}
		pair := p.model.Pair(s.kind, p.model.Kind(a.Job), s.load)
		neighbours = append(neighbours, qos.Neighbour{
			Work:         a.Work,
			Interference: scale * pair.Mean * p.currentUse(a, w),
			Lost:         evictionLoss(a),
			Share:        throttleShare(a),
			Evictable:    isEvictable(a),
		})
	}
	return neighbours
}

// isEvictable reports whether the policy may choose to evict an attempt. Work
// that is not idempotent would be lost if its checkpoint failed, so it is never
// evicted.
func isEvictable(a *scheduler.Attempt) bool {
	return a.State == structs.StateRunning && a.Idempotent && a.Class != structs.ClassUrgent && a.Evictions < maxEvictions
}

// maxEvictions bounds the evictions of one item, so that it finishes
// eventually.
const maxEvictions = 3

// evictionLoss returns the work that an eviction is expected to lose, in core
// seconds.
func evictionLoss(a *scheduler.Attempt) float64 {
	cores := float64(a.Size.CPUMilli) / 1000
	return cores * (restartTime.Seconds() + checkpointFailureRate*a.RunningFor.Seconds())
}

// preemptFor evicts batch work for an urgent item that did not fit, and
// reserves the capacity for the item. If an earlier plan has already reserved
// capacity for the item, it only applies that reservation.
func (p *planner) preemptFor(item *scheduler.Item) {
	if !p.isEnabled(MechanismPreemption) {
		return
	}
	if p.applyReservation(item) {
		return
	}
	if p.snapshot.EvictionsSuspended {
		return
	}
	node, victims := p.findCheapestNode(item)
	if node == nil {
		return
	}
	for _, id := range victims {
		p.evict(id, "urgent work")
	}
	p.reservations[item.Work] = reservation{worker: node.Name, team: item.Team, size: item.Size, until: p.snapshot.Now.Add(p.settings.ReservationTimeout)}
	p.cycle.Withhold(node, item.Size)
}

// applyReservation withholds the capacity that is reserved for an item. It
// returns false if there is no valid reservation, or if the reserved worker can
// no longer take the item.
func (p *planner) applyReservation(item *scheduler.Item) bool {
	r, ok := p.reservations[item.Work]
	if !ok || !p.snapshot.Now.Before(r.until) {
		return false
	}
	nodes := p.cycle.Nodes()
	for i := range nodes {
		n := &nodes[i]
		if n.Name == r.worker && (scheduler.EligibilityFilter{}).Filter(item, n) && (quarantineFilter{p}).Filter(item, n) {
			p.cycle.Withhold(n, item.Size)
			return true
		}
	}
	return false
}

// findCheapestNode returns the node on which the evictions for an item lose the
// least work, and the IDs of the work to evict. It returns nil if there is no
// such node.
func (p *planner) findCheapestNode(item *scheduler.Item) (*scheduler.Node, []structs.WorkID) {
	var best *scheduler.Node
	var victims []structs.WorkID
	leastCost := 0.0
	nodes := p.cycle.Nodes()
	for i := range nodes {
		n := &nodes[i]
		if !item.Size.Fits(n.Capacity) || !(scheduler.EligibilityFilter{}).Filter(item, n) || !(quarantineFilter{p}).Filter(item, n) {
			continue
		}
		ids, cost, ok := p.selectVictims(item, n)
		if ok && (best == nil || cost < leastCost) {
			best, victims, leastCost = n, ids, cost
		}
	}
	return best, victims
}

// reservedForTeam returns the capacity that is reserved on a worker for other
// urgent items of the same team. Two items must not both rely on the capacity
// of the same evicted work.
func (p *planner) reservedForTeam(item *scheduler.Item, worker string) structs.Resources {
	var sum structs.Resources
	for id, r := range p.reservations {
		if id != item.Work && r.worker == worker && r.team == item.Team && p.snapshot.Now.Before(r.until) {
			sum = sum.Add(r.size)
		}
	}
	return sum
}

// selectVictims returns the batch work to evict from a node for an item, and
// the work in core seconds that the evictions lose. If the item's team is at
// its quota, work of the same team and of at least the item's size must be
// evicted, regardless of free capacity. It returns false if evictions cannot
// free enough capacity.
func (p *planner) selectVictims(item *scheduler.Item, node *scheduler.Node) ([]structs.WorkID, float64, bool) {
	free := node.FreeCapacity
	atQuota := !p.isWithinQuota(item)
	if atQuota {
		free = structs.Resources{}.Sub(p.reservedForTeam(item, node.Name))
	}
	var running []quota.PreemptibleWork
	var runningIDs []structs.WorkID
	for i := range node.Running {
		a := &node.Running[i]
		if atQuota && a.Team != item.Team {
			continue
		}
		if a.State == structs.StateEvicting || p.evicted[a.Work] {
			free = free.Add(a.Size)
			continue
		}
		if isEvictable(a) {
			running = append(running, quota.PreemptibleWork{Size: a.Size, Lost: evictionLoss(a)})
			runningIDs = append(runningIDs, a.Work)
		}
	}
	chosen, ok := quota.SelectVictims(item.Size, free, running)
	if !ok {
		return nil, 0, false
	}
	var victims []structs.WorkID
	cost := 0.0
	for _, i := range chosen {
		victims = append(victims, runningIDs[i])
		cost += running[i].Lost
	}
	return victims, cost, true
}
