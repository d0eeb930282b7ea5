package policy

import (
	"time"

	"bergamotstile/interference"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// ServiceSample holds the measurements that the request path took of the
// service beside one worker during a short window.
type ServiceSample struct {
	Service string
	Worker  string
	// Load is the fraction of the service's slots that were busy, from 0 to 1.
	Load float64
	// Queue is the number of requests that wait now, divided by the number of
	// slots.
	Queue float64
	// Requests is the number of requests answered in the window. If it is zero,
	// only Load and Queue are valid.
	Requests int
	// MeanMS is the mean time from dispatch to answer in the window, in
	// milliseconds.
	MeanMS float64
	// Age is the time that has passed since the window.
	Age time.Duration
}

// Outcome is the result of an attempt that ended.
type Outcome struct {
	Work   structs.WorkID
	Job    string
	Worker string
	// Succeeded is false for an attempt that failed. Attempts that were stopped
	// are not reported as outcomes.
	Succeeded bool
}

// Observation holds the measurements and outcomes that arrived since the
// previous observation.
type Observation struct {
	Now      time.Time
	Services []ServiceSample
	Outcomes []Outcome
	// EndedWithoutOutcome names the items that ended without an outcome, such
	// as cancelled ones.
	EndedWithoutOutcome []structs.WorkID
}

// serviceState holds what the policy has learned from measurements of the
// service that runs beside one worker.
type serviceState struct {
	kind         interference.Kind
	load         float64
	queuePerSlot float64
	// residual is the smoothed difference between the measured and the
	// predicted excess slowdown. It covers the slowdown that the interference
	// model does not explain.
	residual   float64
	measuredAt time.Time
	excess     float64 // smoothed measured excess slowdown
}

// baseline is the learned service time of a service without neighbours.
type baseline struct {
	ms float64
}

const (
	// idleNeighbourUse is the use of the worker's processors by neighbours
	// below which a window counts as free of interference.
	idleNeighbourUse = 0.15
	// baselineStepIdle and baselineStepBusy are the weights of one window in
	// the baseline, with neighbour use below and above idleNeighbourUse. The
	// time measured in a window is first divided by its predicted slowdown. In
	// a busy window, an error of the prediction distorts the result more, so
	// the weight is small.
	baselineStepIdle = 0.05
	baselineStepBusy = 0.002
	// minRequests is the number of answered requests that a window must have to
	// be used for learning.
	minRequests = 5
	// serviceTimeDeviation is the relative standard deviation of the service
	// time of one request.
	serviceTimeDeviation = 0.6
	// residualStep smooths the residual over about ten windows.
	residualStep = 0.1
	// maxAgeGap is the largest difference in age at which a usage report and a
	// latency window are still compared.
	maxAgeGap = 3 * time.Second
)

// Observe records measurements and outcomes. Windows with answered requests are
// kept until the next learning step. It is safe for concurrent use.
func (p *Policy) Observe(observation Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, outcome := range observation.Outcomes {
		p.observeOutcome(observation.Now, outcome)
	}
	for _, id := range observation.EndedWithoutOutcome {
		p.quarantine.Forget(id)
	}
	for _, sample := range observation.Services {
		s := p.serviceFor(sample)
		s.queuePerSlot = sample.Queue
		if sample.Requests == 0 {
			s.load = sample.Load
			continue
		}
		p.pendingSamples = append(p.pendingSamples, sample)
	}
}

func (p *Policy) observeOutcome(now time.Time, outcome Outcome) {
	if outcome.Succeeded {
		p.quarantine.RecordSuccess(outcome.Worker, outcome.Work)
		return
	}
	p.quarantine.RecordFailure(outcome.Worker, outcome.Work, now)
}

// serviceFor returns the state of the service beside the sample's worker and
// creates it if there is none.
func (p *Policy) serviceFor(sample ServiceSample) *serviceState {
	s, ok := p.services[sample.Worker]
	if !ok {
		s = &serviceState{kind: p.model.Kind(sample.Service), load: sample.Load}
		p.services[sample.Worker] = s
	}
	return s
}

// learnFromSnapshot performs a learning step. It learns from the usage reports
// in a snapshot and from the latency windows that arrived since the last step,
// at most once per learnInterval.
func (p *Policy) learnFromSnapshot(s *scheduler.Snapshot) {
	if s.Now.Sub(p.lastLearned) < learnInterval {
		return
	}
	p.lastLearned = s.Now
	workers := make(map[string]*scheduler.Worker, len(s.Workers))
	for i := range s.Workers {
		w := &s.Workers[i]
		workers[w.Name] = w
		p.learnFromUsage(w)
	}
	for _, sample := range p.pendingSamples {
		if w, ok := workers[sample.Worker]; ok {
			p.learnFromWindow(s.Now, w, sample)
		}
	}
	if len(p.pendingSamples) > 0 {
		p.feedback.adjust(p.thresholds.placementLimit)
	}
	p.pendingSamples = p.pendingSamples[:0]
}

// learnInterval is the minimum time between two learning steps. Workers report
// their usage every second.
const learnInterval = time.Second

// learnFromUsage updates the usage estimates and the quarantine from the
// attempts that run on a worker. It ignores the usage of throttled attempts.
func (p *Policy) learnFromUsage(w *scheduler.Worker) {
	for i := range w.Running {
		a := &w.Running[i]
		p.quarantine.RecordRunTime(w.Name, a.Work, a.RunningFor)
		if a.State == structs.StateRunning && a.Used.CPUMilli > 0 && throttleShare(a) == 1 {
			p.usage.Observe(a.Job, a.Size, a.Used)
		}
	}
}

// learnFromWindow updates the interference model and the service's state from
// one latency window and the worker's usage report. It ignores windows with few
// requests and windows whose age differs too much from that of the usage
// report.
func (p *Policy) learnFromWindow(now time.Time, w *scheduler.Worker, sample ServiceSample) {
	ageGap := sample.Age - w.UsageAge
	if sample.Requests < minRequests || ageGap > maxAgeGap || ageGap < -maxAgeGap {
		return
	}
	s := p.serviceFor(sample)
	pressures, neighbourUse := p.reportedPressures(w)
	predicted := p.model.Predict(s.kind, sample.Load, pressures)
	baselineMS := p.updateBaseline(sample, neighbourUse, predicted.Mean)
	deviation := serviceTimeDeviation / sqrt(float64(sample.Requests))
	slowdown := sample.MeanMS / baselineMS
	p.model.Observe(interference.Measurement{
		Victim: s.kind, Load: sample.Load, Slowdown: slowdown,
		Neighbours: pressures, Deviation: deviation,
	})
	p.feedback.addWindow(slowdown-1, len(p.services))
	s.residual += residualStep * (slowdown - 1 - predicted.Mean - s.residual)
	if s.measuredAt.IsZero() {
		s.excess = slowdown - 1
	}
	s.excess += 3 * residualStep * (slowdown - 1 - s.excess)
	s.measuredAt = now.Add(-sample.Age)
}

// reportedPressures returns the reported use of a worker's tasks by job, as
// fractions of the worker's processors, and the sum of all fractions.
func (p *Policy) reportedPressures(w *scheduler.Worker) ([]interference.Pressure, float64) {
	var pressures []interference.Pressure
	totalUse := 0.0
	for i := range w.Running {
		a := &w.Running[i]
		if a.Used.CPUMilli <= 0 || w.Capacity.CPUMilli <= 0 {
			continue
		}
		share := float64(a.Used.CPUMilli) / float64(w.Capacity.CPUMilli)
		totalUse += share
		pressures = addPressure(pressures, p.model.Kind(a.Job), share)
	}
	return pressures, totalUse
}

// addPressure adds share to the pressure of a kind and returns the extended
// list.
func addPressure(pressures []interference.Pressure, kind interference.Kind, share float64) []interference.Pressure {
	for i := range pressures {
		if pressures[i].Kind == kind {
			pressures[i].Share += share
			return pressures
		}
	}
	return append(pressures, interference.Pressure{Kind: kind, Share: share})
}

// updateBaseline corrects the baseline of the sample's service by the sample
// and returns the corrected baseline in milliseconds.
func (p *Policy) updateBaseline(sample ServiceSample, neighbourUse, predictedExcess float64) float64 {
	b, ok := p.baselines[sample.Service]
	if !ok {
		b = &baseline{ms: p.settings.BaselineMS[sample.Service]}
		if b.ms <= 0 {
			b.ms = sample.MeanMS
		}
		p.baselines[sample.Service] = b
	}
	step := baselineStepBusy
	if neighbourUse < idleNeighbourUse {
		step = baselineStepIdle
	}
	b.ms += step * (sample.MeanMS/(1+predictedExcess) - b.ms)
	return b.ms
}
