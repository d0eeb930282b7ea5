package scheduler

import (
	"math"

	"bergamotstile/structs"
)

// UsageSettings holds the constants for estimating use from declared sizes.
type UsageSettings struct {
	// MemoryConfidence is the number of standard deviations of a node's total
	// expected memory use that are kept free, because tasks fail when the
	// memory of their worker is exhausted. Processors are shared, so only their
	// mean expected use must fit.
	MemoryConfidence float64
	// PriorDeviation is the assumed relative error of the declared size of a
	// job without usage reports.
	PriorDeviation float64
	// MaxSamples bounds the number of reports that an estimate averages over,
	// so that it follows a job whose use changes.
	MaxSamples float64
}

// DefaultUsageSettings returns the default settings.
func DefaultUsageSettings() UsageSettings {
	return UsageSettings{MemoryConfidence: 1, PriorDeviation: 0.2, MaxSamples: 400}
}

// usageRatio is a running mean and variance of the ratio of used to declared
// resources.
type usageRatio struct {
	mean     float64
	variance float64
	samples  float64
}

func (r *usageRatio) add(value, maxSamples float64) {
	r.samples = min(r.samples+1, maxSamples)
	step := 1 / r.samples
	delta := value - r.mean
	r.mean += step * delta
	r.variance = (1 - step) * (r.variance + step*delta*delta)
}

// estimate returns the mean and the variance of the ratio. The fewer samples
// there are, the more of the prior variance is added.
func (r *usageRatio) estimate(s UsageSettings) (float64, float64) {
	priorVariance := s.PriorDeviation * s.PriorDeviation
	if r.samples == 0 {
		return 1, priorVariance
	}
	return r.mean, r.variance + priorVariance/r.samples
}

// jobUsage holds the usage ratios of one job.
type jobUsage struct{ cpu, memory usageRatio }

// UsageEstimator estimates for each job how much of their declared size its
// tasks use. It derives the estimates from usage reports.
type UsageEstimator struct {
	settings UsageSettings
	jobs     map[string]*jobUsage
}

// NewUsageEstimator returns an estimator that has received no usage reports.
func NewUsageEstimator(settings UsageSettings) *UsageEstimator {
	return &UsageEstimator{settings: settings, jobs: map[string]*jobUsage{}}
}

// Observe records a usage report of an attempt that is not throttled.
func (u *UsageEstimator) Observe(job string, declared, used structs.Resources) {
	if declared.CPUMilli <= 0 || declared.MemoryMB <= 0 || used.CPUMilli <= 0 {
		return
	}
	usage, ok := u.jobs[job]
	if !ok {
		usage = &jobUsage{}
		u.jobs[job] = usage
	}
	usage.cpu.add(float64(used.CPUMilli)/float64(declared.CPUMilli), u.settings.MaxSamples)
	usage.memory.add(float64(used.MemoryMB)/float64(declared.MemoryMB), u.settings.MaxSamples)
}

// ExpectedUsage is the expected use of processors and memory.
type ExpectedUsage struct {
	CPUMilli       float64
	MemoryMB       float64
	MemoryVariance float64
}

// Add returns the expected use of two independent tasks together.
func (u ExpectedUsage) Add(other ExpectedUsage) ExpectedUsage {
	return ExpectedUsage{u.CPUMilli + other.CPUMilli, u.MemoryMB + other.MemoryMB, u.MemoryVariance + other.MemoryVariance}
}

// Expected returns the expected use of a task of the job with the declared
// size.
func (u *UsageEstimator) Expected(job string, declared structs.Resources) ExpectedUsage {
	usage, ok := u.jobs[job]
	if !ok {
		usage = &jobUsage{}
	}
	cpu, _ := usage.cpu.estimate(u.settings)
	memory, variance := usage.memory.estimate(u.settings)
	declaredMB := float64(declared.MemoryMB)
	return ExpectedUsage{CPUMilli: cpu * float64(declared.CPUMilli), MemoryMB: memory * declaredMB, MemoryVariance: variance * declaredMB * declaredMB}
}

// Headroom is a filter that rejects a node whose expected use would exceed its
// capacity. It applies in addition to the rule that declared sizes must fit.
// The estimation errors of independent tasks partly cancel out, so the filter
// adds the deviation of their sum. Reserving a deviation for each task
// separately left 3% of the processors of the benchmark deployment Lavigne
// unused.
type Headroom struct {
	estimator *UsageEstimator
	expected  []ExpectedUsage // by node; valid if computed is set
	computed  []bool
}

// NewHeadroom returns the plugin for one snapshot.
func NewHeadroom(estimator *UsageEstimator, s *Snapshot) *Headroom {
	return &Headroom{estimator: estimator, expected: make([]ExpectedUsage, len(s.Workers)), computed: make([]bool, len(s.Workers))}
}

// Filter implements FilterPlugin. An urgent item needs only its declared size,
// because batch work can be evicted to free capacity for it. A node without
// running attempts always passes.
func (h *Headroom) Filter(item *Item, node *Node) bool {
	if item.Class == structs.ClassUrgent || len(node.Running) == 0 {
		return true
	}
	usageAfter := h.expectedUsage(node).Add(h.estimator.Expected(item.Job, item.Size))
	memoryMB := usageAfter.MemoryMB + h.estimator.settings.MemoryConfidence*math.Sqrt(usageAfter.MemoryVariance)
	return usageAfter.CPUMilli <= float64(node.Capacity.CPUMilli) && memoryMB <= float64(node.Capacity.MemoryMB)
}

// Reserve implements ReservePlugin.
func (h *Headroom) Reserve(item *Item, node *Node) {
	h.expected[node.Index] = h.expectedUsage(node).Add(h.estimator.Expected(item.Job, item.Size))
}

// expectedUsage returns the expected use of the attempts that run on a node and
// of the items that the cycle has placed there. The reported use of processors
// replaces the estimate, unless the attempt is throttled. Memory use grows
// after a start, so a report can raise the estimate of memory but not lower it.
func (h *Headroom) expectedUsage(node *Node) ExpectedUsage {
	if h.computed[node.Index] {
		return h.expected[node.Index]
	}
	var sum ExpectedUsage
	for i := range node.Running {
		attempt := &node.Running[i]
		usage := h.estimator.Expected(attempt.Job, attempt.Size)
		if attempt.Used.CPUMilli > 0 && !(attempt.Throttle > 0 && attempt.Throttle < 1) {
			usage.CPUMilli = float64(attempt.Used.CPUMilli)
		}
		usage.MemoryMB = max(usage.MemoryMB, float64(attempt.Used.MemoryMB))
		sum = sum.Add(usage)
	}
	h.expected[node.Index], h.computed[node.Index] = sum, true
	return sum
}
