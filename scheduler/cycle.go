package scheduler

import "bergamotstile/structs"

// Limits bounds the number of nodes that one placement visits and scores.
type Limits struct {
	// MaxScoredAscending is the number of feasible nodes that are scored when
	// nodes are visited from the least free processors upwards.
	MaxScoredAscending int
	// MaxScoredDescending is the number of feasible nodes that are scored when
	// nodes are visited from the most free processors downwards.
	MaxScoredDescending int
	// MaxVisits bounds the nodes visited in each direction. If none of them is
	// feasible, the cycle scans all nodes.
	MaxVisits int
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{MaxScoredAscending: 48, MaxScoredDescending: 16, MaxVisits: 256}
}

// Cycle places items on the workers of one snapshot. Place allocates at most
// the free capacity of a worker, whatever the plugins return.
type Cycle struct {
	nodes        []Node
	index        *freeCPUIndex
	plugins      Plugins
	limits       Limits
	lastSearch   []int32 // by node: number of the last search that visited it
	searchNumber int32
	unplaceable  map[string][]structs.Resources // by job: declared sizes that no node could take
}

// NewCycle returns a cycle in which nothing has been placed yet.
func NewCycle(s *Snapshot, plugins Plugins, limits Limits) *Cycle {
	c := &Cycle{
		nodes:       make([]Node, len(s.Workers)),
		plugins:     plugins,
		limits:      limits,
		lastSearch:  make([]int32, len(s.Workers)),
		unplaceable: map[string][]structs.Resources{},
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		c.nodes[i] = Node{Worker: w, Index: i, FreeCapacity: w.Unallocated()}
	}
	c.index = newFreeCPUIndex(c.nodes)
	return c
}

// Nodes returns the cycle's nodes in the order of the snapshot.
func (c *Cycle) Nodes() []Node {
	return c.nodes
}

// Place allocates capacity for an item on the best node found and returns that
// node, or nil if no node is feasible for the item.
func (c *Cycle) Place(item *Item) *Node {
	if c.isKnownUnplaceable(item) {
		return nil
	}
	best := c.findBestNode(item)
	if best == nil {
		c.recordUnplaceable(item)
		return nil
	}
	c.Reserve(item, best)
	return best
}

// Reserve allocates capacity for an item on a node that the caller has chosen.
// It does not check whether the node is feasible.
func (c *Cycle) Reserve(item *Item, node *Node) {
	node.FreeCapacity = node.FreeCapacity.Sub(item.Size)
	c.index.move(int32(node.Index), node.FreeCapacity.CPUMilli)
	for _, p := range c.plugins.Reserves {
		p.Reserve(item, node)
	}
}

// Withhold subtracts size from a node's free capacity without placing anything,
// so that Place cannot use that capacity for later items of the cycle. The free
// capacity may become negative.
func (c *Cycle) Withhold(node *Node, size structs.Resources) {
	node.FreeCapacity = node.FreeCapacity.Sub(size)
	c.index.move(int32(node.Index), node.FreeCapacity.CPUMilli)
}

// IsFeasible reports whether an item fits into the node's free capacity now and
// passes all filters.
func (c *Cycle) IsFeasible(item *Item, node *Node) bool {
	if !item.Size.Fits(node.FreeCapacity) {
		return false
	}
	for _, p := range c.plugins.Filters {
		if !p.Filter(item, node) {
			return false
		}
	}
	return true
}

func (c *Cycle) score(item *Item, node *Node) float64 {
	total := 0.0
	for _, weighted := range c.plugins.Scores {
		total += weighted.Weight * weighted.Plugin.Score(item, node)
	}
	return total
}

// findBestNode scores a bounded number of nodes from both ends of the index. If
// none of the visited nodes is feasible, it scans all nodes and returns the
// first feasible one.
func (c *Cycle) findBestNode(item *Item) *Node {
	c.searchNumber++
	search := &nodeSearch{cycle: c, item: item}
	c.index.ascend(item.Size.CPUMilli, search.visitor(c.limits.MaxScoredAscending, c.limits.MaxVisits))
	c.index.descend(item.Size.CPUMilli, search.visitor(c.limits.MaxScoredDescending, c.limits.MaxVisits))
	if search.bestNode == nil {
		c.index.ascend(item.Size.CPUMilli, search.visitor(1, len(c.nodes)))
	}
	return search.bestNode
}

// nodeSearch holds the item to place and the best node found for it so far.
type nodeSearch struct {
	cycle     *Cycle
	item      *Item
	bestNode  *Node
	bestScore float64
}

// visitor returns a function that the index calls for each node. The function
// returns false, which ends the pass, after maxVisits nodes or once it has
// scored maxScored feasible nodes. It skips nodes that an earlier pass of the
// same search visited.
func (s *nodeSearch) visitor(maxScored, maxVisits int) func(int32) bool {
	return func(i int32) bool {
		if maxVisits--; maxVisits < 0 {
			return false
		}
		if s.cycle.lastSearch[i] == s.cycle.searchNumber {
			return true
		}
		s.cycle.lastSearch[i] = s.cycle.searchNumber
		node := &s.cycle.nodes[i]
		if !s.cycle.IsFeasible(s.item, node) {
			return true
		}
		score := s.cycle.score(s.item, node)
		if s.bestNode == nil || score > s.bestScore || (score == s.bestScore && node.Index < s.bestNode.Index) {
			s.bestNode, s.bestScore = node, score
		}
		maxScored--
		return maxScored > 0
	}
}

// isKnownUnplaceable reports whether an item of the same job that was no larger
// found no node in this cycle. Free capacity only shrinks within a cycle, so
// another search would fail too.
func (c *Cycle) isKnownUnplaceable(item *Item) bool {
	for _, size := range c.unplaceable[item.Job] {
		if size.Fits(item.Size) {
			return true
		}
	}
	return false
}

// recordUnplaceable remembers the size of an item that found no node. Items
// that have failed on a worker are left out: they exclude that worker, which
// may still be feasible for other items of the job.
func (c *Cycle) recordUnplaceable(item *Item) {
	if len(item.FailedOn) == 0 {
		c.unplaceable[item.Job] = append(c.unplaceable[item.Job], item.Size)
	}
}
