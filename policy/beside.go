package policy

import (
	"math"

	"bergamotstile/interference"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// beside predicts how much a service is slowed by the work beside it. As a
// plugin it refuses nodes where the service would become too slow and prefers
// those where an item adds least.
type beside struct {
	policy *Policy
	nodes  []besideNode
}

// besideNode is the predicted slowdown on one node, kept as sums so that one
// more item costs a constant time.
type besideNode struct {
	known    bool
	service  *service
	mean     float64
	variance float64
}

func newBeside(p *Policy, s *scheduler.Snapshot) *beside {
	return &beside{policy: p, nodes: make([]besideNode, len(s.Workers))}
}

// at returns the sums of a worker, computed when first needed.
func (b *beside) at(index int, w *scheduler.Worker) *besideNode {
	n := &b.nodes[index]
	if n.known {
		return n
	}
	n.known = true
	n.service = b.policy.services[w.Name]
	if n.service == nil {
		return n
	}
	for i := range w.Running {
		a := &w.Running[i]
		if a.State != structs.StateEvicting {
			b.add(n, a.Job, b.policy.use(a, w))
		}
	}
	return n
}

// use returns the present use of an attempt as a part of the worker's
// processors, with its throttle.
func (p *Policy) use(a *scheduler.Attempt, w *scheduler.Worker) float64 {
	return share(a) * p.expected(a.Job, a.Size, w)
}

func (b *beside) add(n *besideNode, job string, part float64) {
	e := b.pair(n, job)
	n.mean += part * e.Mean
	n.variance += part * part * e.Deviation * e.Deviation
}

func (b *beside) pair(n *besideNode, job string) interference.Estimate {
	return b.policy.model.Pair(n.service.kind, b.policy.model.Kind(job), n.service.load)
}

// estimate returns the prediction on a node.
func (n *besideNode) estimate() interference.Estimate {
	return interference.Estimate{Mean: n.mean, Deviation: math.Sqrt(n.variance)}
}

// after returns the excess on a node before and after an item is added.
func (b *beside) after(item *scheduler.Item, node *scheduler.Node) (float64, float64) {
	n := b.at(node.Index, node.Worker)
	if n.service == nil {
		return 0, 0
	}
	with := *n
	b.add(&with, item.Job, b.policy.expected(item.Job, item.Size, node.Worker))
	k := b.policy.confidence()
	residual := max(0, n.service.residual)
	return n.estimate().Upper(k) + residual, with.estimate().Upper(k) + residual
}

func (p *Policy) confidence() float64 {
	if !p.enabled(MechanismUncertainty) {
		return 0
	}
	return p.limits.confidence
}

// Filter implements scheduler.FilterPlugin.
func (b *beside) Filter(item *scheduler.Item, node *scheduler.Node) bool {
	if item.Class == structs.ClassUrgent {
		return true
	}
	before, after := b.after(item, node)
	return after <= b.policy.placeExcess() || after-before < negligibleExcess
}

// negligibleExcess is the added slowdown below which an item is not refused.
const negligibleExcess = 0.01

// Score implements scheduler.ScorePlugin. Squares make an even spread of
// harmful work better than a pile of it on one worker.
func (b *beside) Score(item *scheduler.Item, node *scheduler.Node) float64 {
	before, after := b.after(item, node)
	return before*before - after*after
}

// Reserve implements scheduler.ReservePlugin.
func (b *beside) Reserve(item *scheduler.Item, node *scheduler.Node) {
	if n := b.at(node.Index, node.Worker); n.service != nil {
		b.add(n, item.Job, b.policy.expected(item.Job, item.Size, node.Worker))
	}
}
