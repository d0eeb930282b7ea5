package scheduler

import (
	"math"

	"bergamotstile/structs"
)

// SizeSettings holds the constants of learning declared sizes.
type SizeSettings struct {
	// Confidence is the number of deviations kept above the mean use.
	Confidence float64
	// PriorDeviation is the assumed relative error of a job without reports.
	PriorDeviation float64
	// MaxSamples bounds the memory of old reports, so that a job that changes
	// is followed.
	MaxSamples float64
}

// DefaultSizeSettings returns the starting values.
func DefaultSizeSettings() SizeSettings {
	return SizeSettings{Confidence: 0.5, PriorDeviation: 0.2, MaxSamples: 400}
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

// upper returns the mean plus the given number of deviations. Few samples
// leave a part of the prior's uncertainty.
func (r *ratio) upper(s SizeSettings) float64 {
	if r.samples == 0 {
		return 1 + s.Confidence*s.PriorDeviation
	}
	prior := s.PriorDeviation * s.PriorDeviation / r.samples
	return r.mean + s.Confidence*math.Sqrt(r.variance+prior)
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

// Expected returns the use to expect of a declared size.
func (z *Sizes) Expected(job string, declared structs.Resources) structs.Resources {
	cpu, memory := 1+z.settings.Confidence*z.settings.PriorDeviation, 1+z.settings.Confidence*z.settings.PriorDeviation
	if j, ok := z.jobs[job]; ok {
		cpu, memory = j.cpu.upper(z.settings), j.memory.upper(z.settings)
	}
	return structs.Resources{
		CPUMilli:     int64(cpu * float64(declared.CPUMilli)),
		MemoryMB:     int64(memory * float64(declared.MemoryMB)),
		Accelerators: declared.Accelerators,
	}
}

// Headroom refuses a node whose expected use would pass its capacity. It only
// ever tightens the rule that declared sizes must fit.
type Headroom struct {
	sizes    *Sizes
	expected []structs.Resources // by node, computed when first needed
	known    []bool
}

// NewHeadroom returns the plugin for a snapshot.
func NewHeadroom(sizes *Sizes, s *Snapshot) *Headroom {
	return &Headroom{sizes: sizes, expected: make([]structs.Resources, len(s.Workers)), known: make([]bool, len(s.Workers))}
}

// Filter implements FilterPlugin. Urgent work needs only its declared size, as
// others make room for it.
func (h *Headroom) Filter(item *Item, node *Node) bool {
	if item.Class == structs.ClassUrgent {
		return true
	}
	add := h.sizes.Expected(item.Job, item.Size)
	after := h.use(node).Add(add)
	return after.CPUMilli <= node.Capacity.CPUMilli && after.MemoryMB <= node.Capacity.MemoryMB ||
		len(node.Running) == 0
}

// Reserve implements ReservePlugin.
func (h *Headroom) Reserve(item *Item, node *Node) {
	h.expected[node.Index] = h.use(node).Add(h.sizes.Expected(item.Job, item.Size))
}

// use returns the expected use of what runs on a node. A report replaces the
// expectation, but never below half of it, since use grows after a start.
func (h *Headroom) use(node *Node) structs.Resources {
	if h.known[node.Index] {
		return h.expected[node.Index]
	}
	var sum structs.Resources
	for i := range node.Running {
		a := &node.Running[i]
		e := h.sizes.Expected(a.Job, a.Size)
		if a.Used.CPUMilli > 0 && !(a.Throttle > 0 && a.Throttle < 1) {
			e.CPUMilli = max(a.Used.CPUMilli, e.CPUMilli/2)
			e.MemoryMB = max(a.Used.MemoryMB, e.MemoryMB/2)
		}
		sum = sum.Add(e)
	}
	h.expected[node.Index], h.known[node.Index] = sum, true
	return sum
}
