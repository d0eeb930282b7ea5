package scheduler

import "bergamotstile/structs"

// Node is one worker during a planning cycle, with what the cycle has already
// placed on it.
type Node struct {
	*Worker
	// Index is the worker's position in the snapshot. Plugins keep their own
	// state for a node in slices by this index.
	Index int
	// Room is what the declared sizes still leave. It never goes below zero
	// by a placement.
	Room structs.Resources
}

// FilterPlugin decides whether an item may run on a node.
type FilterPlugin interface {
	Filter(item *Item, node *Node) bool
}

// ScorePlugin rates a node that passed the filters; higher is better.
type ScorePlugin interface {
	Score(item *Item, node *Node) float64
}

// ReservePlugin accounts for a placement, so that later items of the same
// cycle see it.
type ReservePlugin interface {
	Reserve(item *Item, node *Node)
}

// Weighted is a score plugin with its weight.
type Weighted struct {
	Plugin ScorePlugin
	Weight float64
}

// Plugins are the steps of a placement, in order.
type Plugins struct {
	Filters  []FilterPlugin
	Scores   []Weighted
	Reserves []ReservePlugin
}

// Placeable refuses workers that receive nothing new and workers on which the
// item failed before.
type Placeable struct{}

// Filter implements FilterPlugin.
func (Placeable) Filter(item *Item, node *Node) bool {
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

// Packing prefers the node that a placement leaves with the least room, so
// that large items still find a place.
type Packing struct{}

// Score implements ScorePlugin. It returns the used part of the node's tighter
// dimension, 0 to 1.
func (Packing) Score(item *Item, node *Node) float64 {
	cpu := usedPart(node.Room.CPUMilli-item.Size.CPUMilli, node.Capacity.CPUMilli)
	memory := usedPart(node.Room.MemoryMB-item.Size.MemoryMB, node.Capacity.MemoryMB)
	score := (cpu + memory) / 2
	if item.Size.Accelerators == 0 && node.Room.Accelerators > 0 {
		score -= acceleratorPenalty
	}
	return score
}

// acceleratorPenalty keeps work without accelerators away from workers whose
// accelerators are free, as it would strand them.
const acceleratorPenalty = 0.2

func usedPart(room, capacity int64) float64 {
	if capacity <= 0 {
		return 1
	}
	return 1 - float64(room)/float64(capacity)
}

// RackSpread prefers racks on which the item's job runs least, so that the
// loss of a rack or switch stops few of its tasks.
type RackSpread struct {
	jobs map[string]*jobRacks
}

// jobRacks counts the tasks of one job.
type jobRacks struct {
	total  int
	byRack map[string]int
}

// NewRackSpread counts what runs in a snapshot of the jobs that are queued.
func NewRackSpread(s *Snapshot) *RackSpread {
	r := &RackSpread{jobs: map[string]*jobRacks{}}
	for i := range s.Queue {
		if r.jobs[s.Queue[i].Job] == nil {
			r.jobs[s.Queue[i].Job] = &jobRacks{byRack: map[string]int{}}
		}
	}
	for i := range s.Workers {
		for j := range s.Workers[i].Running {
			r.add(s.Workers[i].Rack, s.Workers[i].Running[j].Job)
		}
	}
	return r
}

func (r *RackSpread) add(rack, job string) {
	if counts := r.jobs[job]; counts != nil {
		counts.total++
		counts.byRack[rack]++
	}
}

// Score implements ScorePlugin. It returns minus the part of the job's tasks
// that run in the node's rack.
func (r *RackSpread) Score(item *Item, node *Node) float64 {
	counts := r.jobs[item.Job]
	if counts == nil || counts.total == 0 {
		return 0
	}
	return -float64(counts.byRack[node.Rack]) / float64(counts.total)
}

// Reserve implements ReservePlugin.
func (r *RackSpread) Reserve(item *Item, node *Node) {
	r.add(node.Rack, item.Job)
}
