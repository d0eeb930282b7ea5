package policy

import (
	"math"

	"bergamotstile/interference"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// interferencePlugin predicts how much the work on a worker slows the service
// that runs beside the worker. As a plugin of the scheduler, it rejects nodes
// where the service would become too slow and prefers nodes where an item adds
// the least slowdown.
type interferencePlugin struct {
	policy *Policy
	nodes  []nodeInterference
}

// nodeInterference is the predicted excess slowdown on one node, kept as sums
// so that adding an item takes constant time.
type nodeInterference struct {
	computed bool          // whether the other fields are set
	service  *serviceState // nil if no service is known beside the worker
	mean     float64
	variance float64
}

func newInterferencePlugin(p *Policy, s *scheduler.Snapshot) *interferencePlugin {
	return &interferencePlugin{policy: p, nodes: make([]nodeInterference, len(s.Workers))}
}

// forNode returns the sums of a node. It computes them from the worker's
// running attempts at the first call for the node.
func (p *interferencePlugin) forNode(index int, w *scheduler.Worker) *nodeInterference {
	n := &p.nodes[index]
	if n.computed {
		return n
	}
	n.computed = true
	n.service = p.policy.services[w.Name]
	if n.service == nil {
		return n
	}
	for i := range w.Running {
		a := &w.Running[i]
		if a.State != structs.StateEvicting {
			p.addTask(n, a.Job, p.policy.currentUse(a, w))
		}
	}
	return n
}

// currentUse returns the processors that an attempt is expected to use under
// its throttle, as a fraction of the worker's processors.
func (p *Policy) currentUse(a *scheduler.Attempt, w *scheduler.Worker) float64 {
	return throttleShare(a) * p.expectedUse(a.Job, a.Size, w)
}

// addTask adds a task of the job to the sums. The task uses share of the
// worker's processors.
func (p *interferencePlugin) addTask(n *nodeInterference, job string, share float64) {
	estimate := p.pairEstimate(n, job)
	n.mean += share * estimate.Mean
	n.variance += share * share * estimate.Deviation * estimate.Deviation
}

// pairEstimate returns the estimated interference of a job with the service on
// a node.
func (p *interferencePlugin) pairEstimate(n *nodeInterference, job string) interference.Estimate {
	return p.policy.model.Pair(n.service.kind, p.policy.model.Kind(job), n.service.load)
}

// estimate returns the predicted excess slowdown on a node.
func (n *nodeInterference) estimate() interference.Estimate {
	return interference.Estimate{Mean: n.mean, Deviation: math.Sqrt(n.variance)}
}

// excessBeforeAndAfter returns the upper bounds of the predicted excess
// slowdown on a node before and after an item is added. Both are zero if no
// service is known beside the worker.
func (p *interferencePlugin) excessBeforeAndAfter(item *scheduler.Item, node *scheduler.Node) (float64, float64) {
	n := p.forNode(node.Index, node.Worker)
	if n.service == nil {
		return 0, 0
	}
	extended := *n
	p.addTask(&extended, item.Job, p.policy.expectedUse(item.Job, item.Size, node.Worker))
	confidence := p.policy.confidence()
	residual := max(0, n.service.residual)
	return n.estimate().UpperBound(confidence) + residual, extended.estimate().UpperBound(confidence) + residual
}

// confidence returns the number of standard deviations to add to predictions.
func (p *Policy) confidence() float64 {
	if !p.isEnabled(MechanismUncertainty) {
		return 0
	}
	return p.thresholds.confidence
}

// Filter implements scheduler.FilterPlugin. It accepts all urgent items.
func (p *interferencePlugin) Filter(item *scheduler.Item, node *scheduler.Node) bool {
	if item.Class == structs.ClassUrgent {
		return true
	}
	before, after := p.excessBeforeAndAfter(item, node)
	return after <= p.policy.placementLimit() || after-before < negligibleExcess
}

// negligibleExcess is the added slowdown below which an item is accepted even
// if the service is already slowed beyond the placement limit.
const negligibleExcess = 0.01

// Score implements scheduler.ScorePlugin. The slowdowns are squared so that an
// even spread of interfering work scores better than all of it on one worker.
func (p *interferencePlugin) Score(item *scheduler.Item, node *scheduler.Node) float64 {
	before, after := p.excessBeforeAndAfter(item, node)
	return before*before - after*after
}

// Reserve implements scheduler.ReservePlugin.
func (p *interferencePlugin) Reserve(item *scheduler.Item, node *scheduler.Node) {
	if n := p.forNode(node.Index, node.Worker); n.service != nil {
		p.addTask(n, item.Job, p.policy.expectedUse(item.Job, item.Size, node.Worker))
	}
}
