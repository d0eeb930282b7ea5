package scheduler

import "bergamotstile/structs"

// Node is one worker during a planning cycle, with the free capacity that
// remains after the placements of the cycle.
type Node struct {
	*Worker
	// Index is the worker's position in the snapshot. Plugins use it to index
	// slices in which they keep state for each node.
	Index int
	// FreeCapacity is the capacity that is neither allocated in the snapshot
	// nor used or withheld by the cycle. Place never makes it negative.
	FreeCapacity structs.Resources
}

// FilterPlugin decides whether an item may run on a node.
type FilterPlugin interface {
	Filter(item *Item, node *Node) bool
}

// ScorePlugin rates a node that passed the filters; the node with the highest
// score is chosen.
type ScorePlugin interface {
	Score(item *Item, node *Node) float64
}

// ReservePlugin records a placement, so that its filters and scores take the
// placement into account for later items of the same cycle.
type ReservePlugin interface {
	Reserve(item *Item, node *Node)
}

// WeightedScore is a score plugin with its weight in the total score.
type WeightedScore struct {
	Plugin ScorePlugin
	Weight float64
}

// Plugins holds the plugins of a cycle. For each item, the filters run first,
// then the scores, and then, on the chosen node, the reserve plugins.
type Plugins struct {
	Filters  []FilterPlugin
	Scores   []WeightedScore
	Reserves []ReservePlugin
}

// EligibilityFilter rejects workers that are leaving or unreachable, and
// workers on which an attempt of the item has failed.
type EligibilityFilter struct{}

// Filter implements FilterPlugin.
func (EligibilityFilter) Filter(item *Item, node *Node) bool {
	if node.Leaving || !node.Reachable {
		return false
	}
	for _, name := range item.FailedOn {
		if name == node.Name {
			return false
		}
	}
	return true
}

// Packing prefers the node that a placement leaves with the least free
// capacity, so that other nodes keep enough for large items.
type Packing struct{}

// Score implements ScorePlugin. It returns the mean of two fractions: those of
// the node's processors and of its memory that are in use after the placement.
// It subtracts acceleratorPenalty if the node has free accelerators that the
// item does not need.
func (Packing) Score(item *Item, node *Node) float64 {
	cpu := usedFraction(node.FreeCapacity.CPUMilli-item.Size.CPUMilli, node.Capacity.CPUMilli)
	memory := usedFraction(node.FreeCapacity.MemoryMB-item.Size.MemoryMB, node.Capacity.MemoryMB)
	score := (cpu + memory) / 2
	if item.Size.Accelerators == 0 && node.FreeCapacity.Accelerators > 0 {
		score -= acceleratorPenalty
	}
	return score
}

// acceleratorPenalty keeps work without accelerators away from workers with
// free accelerators. Such work could use up the processors or the memory that
// work with accelerators needs on the same worker.
const acceleratorPenalty = 0.2

// usedFraction returns the fraction of the capacity that is not free. A worker
// without capacity counts as fully used.
func usedFraction(free, capacity int64) float64 {
	if capacity <= 0 {
		return 1
	}
	return 1 - float64(free)/float64(capacity)
}

// RackSpread prefers racks that run the fewest tasks of the item's job, so that
// the loss of a rack or switch stops few of them.
type RackSpread struct {
	jobs map[string]*rackCounts
}

// rackCounts counts the tasks of one job, in total and by rack.
type rackCounts struct {
	total  int
	byRack map[string]int
}

// NewRackSpread counts the running tasks of all jobs that have an item in the
// snapshot's queue.
func NewRackSpread(s *Snapshot) *RackSpread {
	r := &RackSpread{jobs: map[string]*rackCounts{}}
	for i := range s.Queue {
		if r.jobs[s.Queue[i].Job] == nil {
			r.jobs[s.Queue[i].Job] = &rackCounts{byRack: map[string]int{}}
		}
	}
	for i := range s.Workers {
		for j := range s.Workers[i].Running {
			r.addTask(s.Workers[i].Rack, s.Workers[i].Running[j].Job)
		}
	}
	return r
}

func (r *RackSpread) addTask(rack, job string) {
	if counts := r.jobs[job]; counts != nil {
		counts.total++
		counts.byRack[rack]++
	}
}

// Score implements ScorePlugin. It returns the negated fraction of the job's
// tasks that run in the node's rack, from -1 to 0.
func (r *RackSpread) Score(item *Item, node *Node) float64 {
	counts := r.jobs[item.Job]
	if counts == nil || counts.total == 0 {
		return 0
	}
	return -float64(counts.byRack[node.Rack]) / float64(counts.total)
}

// Reserve implements ReservePlugin.
func (r *RackSpread) Reserve(item *Item, node *Node) {
	r.addTask(node.Rack, item.Job)
}
