package scheduler

import (
	"math"

	"bergamotstile/structs"
)

// SizeSettings holds the constants of learning declared sizes.
type SizeSettings struct {
	// MemoryConfidence is the number of deviations of the sum kept free of
	// memory, since an overrun fails a task. Processors are only shared, so
	// the mean is enough for them.
	MemoryConfidence float64
	// PriorDeviation is the assumed relative error of a job without reports.
	PriorDeviation float64
	// MaxSamples bounds the memory of old reports, so that a job that changes
	// is followed.
	MaxSamples float64
}

// DefaultSizeSettings returns the starting values.
func DefaultSizeSettings() SizeSettings {
	return SizeSettings{MemoryConfidence: 1, PriorDeviation: 0.2, MaxSamples: 400}
}

// ratio is a running mean and variance of use over declared size.
type ratio struct {
	mean     float64
	variance float64
	samples  float64
}

func (r *ratio) add(value, maxSamples float64) {
	r.samples = min(r.samples+1, maxSamples)
	step := 1 / r.samples
	delta := value - r.mean
	r.mean += step * delta
	r.variance = (1 - step) * (r.variance + step*delta*delta)
}

// estimate returns the mean and variance of a ratio. Few samples leave a part
// of the prior's uncertainty.
func (r *ratio) estimate(s SizeSettings) (float64, float64) {
	prior := s.PriorDeviation * s.PriorDeviation
	if r.samples == 0 {
		return 1, prior
	}
	return r.mean, r.variance + prior/r.samples
}

type jobSizes struct{ cpu, memory ratio }

// Sizes learns for each job how far its use is from its declared size.
type Sizes struct {
	settings SizeSettings
	jobs     map[string]*jobSizes
}

// NewSizes returns a learner without reports.
func NewSizes(settings SizeSettings) *Sizes {
	return &Sizes{settings: settings, jobs: map[string]*jobSizes{}}
}

// Observe records a usage report of an attempt that is not throttled.
func (z *Sizes) Observe(job string, declared, used structs.Resources) {
	if declared.CPUMilli <= 0 || declared.MemoryMB <= 0 || used.CPUMilli <= 0 {
		return
	}
	j, ok := z.jobs[job]
	if !ok {
		j = &jobSizes{}
		z.jobs[job] = j
	}
	j.cpu.add(float64(used.CPUMilli)/float64(declared.CPUMilli), z.settings.MaxSamples)
	j.memory.add(float64(used.MemoryMB)/float64(declared.MemoryMB), z.settings.MaxSamples)
}

// Use is an expected use of processors and memory.
type Use struct {
	CPUMilli       float64
	MemoryMB       float64
	MemoryVariance float64
}

// Add returns the expected use of two independent tasks.
func (u Use) Add(o Use) Use {
	return Use{u.CPUMilli + o.CPUMilli, u.MemoryMB + o.MemoryMB, u.MemoryVariance + o.MemoryVariance}
}

// Expected returns the use to expect of a declared size.
func (z *Sizes) Expected(job string, declared structs.Resources) Use {
	j, ok := z.jobs[job]
	if !ok {
		j = &jobSizes{}
	}
	cpu, _ := j.cpu.estimate(z.settings)
	memory, variance := j.memory.estimate(z.settings)
	size := float64(declared.MemoryMB)
	return Use{CPUMilli: cpu * float64(declared.CPUMilli), MemoryMB: memory * size, MemoryVariance: variance * size * size}
}

// Headroom refuses a node whose expected use would pass its capacity. It only
// ever tightens the rule that declared sizes must fit. Errors of independent
// tasks partly cancel, so the deviation is taken of the sum: kept for each
// task, it left 3% of Lavigne's processors unused.
type Headroom struct {
	sizes    *Sizes
	expected []Use // by node, computed when first needed
	known    []bool
}

// NewHeadroom returns the plugin for a snapshot.
func NewHeadroom(sizes *Sizes, s *Snapshot) *Headroom {
	return &Headroom{sizes: sizes, expected: make([]Use, len(s.Workers)), known: make([]bool, len(s.Workers))}
}

// Filter implements FilterPlugin. Urgent work needs only its declared size, as
// others make room for it.
func (h *Headroom) Filter(item *Item, node *Node) bool {
	if item.Class == structs.ClassUrgent || len(node.Running) == 0 {
		return true
	}
	after := h.use(node).Add(h.sizes.Expected(item.Job, item.Size))
	memory := after.MemoryMB + h.sizes.settings.MemoryConfidence*math.Sqrt(after.MemoryVariance)
	return after.CPUMilli <= float64(node.Capacity.CPUMilli) && memory <= float64(node.Capacity.MemoryMB)
}

// Reserve implements ReservePlugin.
func (h *Headroom) Reserve(item *Item, node *Node) {
	h.expected[node.Index] = h.use(node).Add(h.sizes.Expected(item.Job, item.Size))
}

// use returns the expected use of what runs on a node. A report replaces the
// expectation of processors. Memory grows after a start, so a report can only
// raise its expectation.
func (h *Headroom) use(node *Node) Use {
	if h.known[node.Index] {
		return h.expected[node.Index]
	}
	var sum Use
	for i := range node.Running {
		a := &node.Running[i]
		e := h.sizes.Expected(a.Job, a.Size)
		if a.Used.CPUMilli > 0 && !(a.Throttle > 0 && a.Throttle < 1) {
			e.CPUMilli = float64(a.Used.CPUMilli)
		}
		e.MemoryMB = max(e.MemoryMB, float64(a.Used.MemoryMB))
		sum = sum.Add(e)
	}
	h.expected[node.Index], h.known[node.Index] = sum, true
	return sum
}
