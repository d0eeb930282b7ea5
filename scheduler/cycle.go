package scheduler

import "bergamotstile/structs"

// Limits bounds the work of one placement.
type Limits struct {
	// Tight is the number of feasible nodes scored from the least room up.
	Tight int
	// Roomy is the number of feasible nodes scored from the most room down.
	Roomy int
	// Visits bounds the nodes looked at in each direction before the cycle
	// falls back on a full scan.
	Visits int
}

// DefaultLimits returns the starting values.
func DefaultLimits() Limits {
	return Limits{Tight: 48, Roomy: 16, Visits: 256}
}

// Cycle places items on the workers of one snapshot. The declared sizes of
// what it places never exceed the room of any worker, whatever the plugins say.
type Cycle struct {
	nodes   []Node
	index   *roomIndex
	plugins Plugins
	limits  Limits
	seen    []int32 // last placement that scored the node
	stamp   int32
	refused map[string][]structs.Resources // by job: sizes that found no node
}

// NewCycle starts a cycle.
func NewCycle(s *Snapshot, plugins Plugins, limits Limits) *Cycle {
	c := &Cycle{
		nodes:   make([]Node, len(s.Workers)),
		plugins: plugins,
		limits:  limits,
		seen:    make([]int32, len(s.Workers)),
		refused: map[string][]structs.Resources{},
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		c.nodes[i] = Node{Worker: w, Index: i, Room: w.Free()}
	}
	c.index = newRoomIndex(c.nodes)
	return c
}

// Nodes returns the cycle's nodes in the order of the snapshot.
func (c *Cycle) Nodes() []Node {
	return c.nodes
}

// Place reserves room for an item on the best node found and returns it, or
// nil if no node can hold it.
func (c *Cycle) Place(item *Item) *Node {
	if c.knownRefused(item) {
		return nil
	}
	best := c.search(item)
	if best == nil {
		c.remember(item)
		return nil
	}
	c.Reserve(item, best)
	return best
}

// Reserve accounts for an item on a node chosen by the caller.
func (c *Cycle) Reserve(item *Item, node *Node) {
	node.Room = node.Room.Sub(item.Size)
	c.index.move(int32(node.Index), node.Room.CPUMilli)
	for _, p := range c.plugins.Reserves {
		p.Reserve(item, node)
	}
}

// Hold takes room away from a node without placing anything, so that later
// items of the cycle leave it alone. Room may become negative by it.
func (c *Cycle) Hold(node *Node, size structs.Resources) {
	node.Room = node.Room.Sub(size)
	c.index.move(int32(node.Index), node.Room.CPUMilli)
}

// Feasible reports whether an item may be placed on a node now.
func (c *Cycle) Feasible(item *Item, node *Node) bool {
	if !item.Size.Fits(node.Room) {
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
	for _, w := range c.plugins.Scores {
		total += w.Weight * w.Plugin.Score(item, node)
	}
	return total
}

// search scores a bounded number of nodes from both ends of the room index. A
// full scan follows only if the bounded visits found none.
func (c *Cycle) search(item *Item) *Node {
	c.stamp++
	best := &selection{cycle: c, item: item}
	c.index.ascend(item.Size.CPUMilli, best.visitor(c.limits.Tight, c.limits.Visits))
	c.index.descend(item.Size.CPUMilli, best.visitor(c.limits.Roomy, c.limits.Visits))
	if best.node == nil {
		c.index.ascend(item.Size.CPUMilli, best.visitor(1, len(c.nodes)))
	}
	return best.node
}

// selection is the best node seen in one search.
type selection struct {
	cycle *Cycle
	item  *Item
	node  *Node
	score float64
}

func (s *selection) visitor(feasible, visits int) func(int32) bool {
	return func(i int32) bool {
		if visits--; visits < 0 {
			return false
		}
		if s.cycle.seen[i] == s.cycle.stamp {
			return true
		}
		s.cycle.seen[i] = s.cycle.stamp
		node := &s.cycle.nodes[i]
		if !s.cycle.Feasible(s.item, node) {
			return true
		}
		score := s.cycle.score(s.item, node)
		if s.node == nil || score > s.score || (score == s.score && node.Index < s.node.Index) {
			s.node, s.score = node, score
		}
		feasible--
		return feasible > 0
	}
}

// knownRefused reports whether an item of the same job that was no larger
// found no node in this cycle. Room only shrinks within a cycle, so the search
// would fail again. Items with failures are searched for one by one.
func (c *Cycle) knownRefused(item *Item) bool {
	for _, size := range c.refused[item.Job] {
		if size.Fits(item.Size) {
			return true
		}
	}
	return false
}

func (c *Cycle) remember(item *Item) {
	if len(item.FailedOn) == 0 {
		c.refused[item.Job] = append(c.refused[item.Job], item.Size)
	}
}
