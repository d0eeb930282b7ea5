package policy

import (
	"time"

	"bergamotstile/interference"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// ServiceSample is what the request path measured of one service beside one
// worker during a short window.
type ServiceSample struct {
	Service string
	Worker  string
	// Load is the part of the service's slots that were busy, 0 to 1.
	Load float64
	// Queue is the present number of waiting requests for each slot.
	Queue float64
	// Requests is the number of answers in the window; zero means that only
	// Load and Queue are known.
	Requests int
	// MeanMS is the mean time from dispatch to answer in the window.
	MeanMS float64
	// Age is the time since the window.
	Age time.Duration
}

// Outcome tells how an attempt ended.
type Outcome struct {
	Work   structs.WorkID
	Job    string
	Worker string
	// Succeeded is false for an attempt that failed. Stopped attempts are not
	// reported.
	Succeeded bool
}

// Observation carries measurements and outcomes that arrived since the last one.
type Observation struct {
	Now      time.Time
	Services []ServiceSample
	Outcomes []Outcome
	// Forgotten names items that ended without an outcome, such as cancelled ones.
	Forgotten []structs.WorkID
}

// service is what the policy knows of the service beside one worker.
type service struct {
	kind  interference.Kind
	load  float64
	queue float64
	// residual is the smoothed difference between measured and predicted
	// excess. It covers what the pairs do not explain.
	residual float64
	measured time.Time
	excess   float64 // smoothed measured excess
}

// baseline is the learned time of a service without neighbours.
type baseline struct {
	ms float64
}

const (
	// quietShare is the use by neighbours below which a window counts as
	// undisturbed.
	quietShare = 0.15
	// quietStep and busyStep are the weights of one window in the baseline.
	// A busy window is first divided by its predicted slowdown, so its weight
	// is small.
	quietStep = 0.05
	busyStep  = 0.002
	// minRequests is the number of answers that a window needs to be learned from.
	minRequests = 5
	// serviceTimeSpread is the relative deviation of one service time.
	serviceTimeSpread = 0.6
	// residualStep smooths the residual over about ten windows.
	residualStep = 0.1
	// maxAgeGap is the largest difference in age between a usage report and a
	// latency window that are compared.
	maxAgeGap = 3 * time.Second
)

// Observe records measurements and outcomes. It is safe for concurrent use.
func (p *Policy) Observe(o Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, outcome := range o.Outcomes {
		p.observeOutcome(o.Now, outcome)
	}
	for _, id := range o.Forgotten {
		p.book.Forget(id)
	}
	for _, sample := range o.Services {
		s := p.service(sample)
		s.queue = sample.Queue
		if sample.Requests == 0 {
			s.load = sample.Load
			continue
		}
		p.samples = append(p.samples, sample)
	}
}

func (p *Policy) observeOutcome(now time.Time, o Outcome) {
	if o.Succeeded {
		p.book.Succeeded(o.Worker, o.Work)
		return
	}
	p.book.Failed(o.Worker, o.Work, now)
}

func (p *Policy) service(sample ServiceSample) *service {
	s, ok := p.services[sample.Worker]
	if !ok {
		s = &service{kind: p.model.Kind(sample.Service), load: sample.Load}
		p.services[sample.Worker] = s
	}
	return s
}

// learn takes the usage reports of a snapshot and the latency windows that
// arrived with them.
func (p *Policy) learn(s *scheduler.Snapshot) {
	if s.Now.Sub(p.learned) < learnEvery {
		return
	}
	p.learned = s.Now
	workers := make(map[string]*scheduler.Worker, len(s.Workers))
	for i := range s.Workers {
		w := &s.Workers[i]
		workers[w.Name] = w
		p.learnRunning(w)
	}
	for _, sample := range p.samples {
		if w, ok := workers[sample.Worker]; ok {
			p.learnInterference(s.Now, w, sample)
		}
	}
	if len(p.samples) > 0 {
		p.feedback.adjust(p.limits.placeExcess)
	}
	p.samples = p.samples[:0]
}

// learnEvery bounds how often usage reports are read; workers report each second.
const learnEvery = time.Second

func (p *Policy) learnRunning(w *scheduler.Worker) {
	for i := range w.Running {
		a := &w.Running[i]
		p.book.Ran(w.Name, a.Work, a.RunningFor)
		if a.State == structs.StateRunning && a.Used.CPUMilli > 0 && share(a) == 1 {
			p.sizes.Observe(a.Job, a.Size, a.Used)
		}
	}
}

func (p *Policy) learnInterference(now time.Time, w *scheduler.Worker, sample ServiceSample) {
	gap := sample.Age - w.UsageAge
	if sample.Requests < minRequests || gap > maxAgeGap || gap < -maxAgeGap {
		return
	}
	s := p.service(sample)
	neighbours, total := p.reported(w)
	predicted := p.model.Predict(s.kind, sample.Load, neighbours)
	alone := p.alone(sample, total, predicted.Mean)
	deviation := serviceTimeSpread / sqrt(float64(sample.Requests))
	slowdown := sample.MeanMS / alone
	p.model.Observe(interference.Measurement{
		Victim: s.kind, Load: sample.Load, Slowdown: slowdown,
		Neighbours: neighbours, Deviation: deviation,
	})
	p.feedback.measured(slowdown-1, len(p.services))
	s.residual += residualStep * (slowdown - 1 - predicted.Mean - s.residual)
	if s.measured.IsZero() {
		s.excess = slowdown - 1
	}
	s.excess += 3 * residualStep * (slowdown - 1 - s.excess)
	s.measured = now.Add(-sample.Age)
}

// reported returns the reported use of a worker's tasks by job, as parts of
// the worker's processors.
func (p *Policy) reported(w *scheduler.Worker) ([]interference.Pressure, float64) {
	var list []interference.Pressure
	total := 0.0
	for i := range w.Running {
		a := &w.Running[i]
		if a.Used.CPUMilli <= 0 || w.Capacity.CPUMilli <= 0 {
			continue
		}
		part := float64(a.Used.CPUMilli) / float64(w.Capacity.CPUMilli)
		total += part
		list = addPressure(list, p.model.Kind(a.Job), part)
	}
	return list, total
}

func addPressure(list []interference.Pressure, kind interference.Kind, part float64) []interference.Pressure {
	for i := range list {
		if list[i].Kind == kind {
			list[i].Share += part
			return list
		}
	}
	return append(list, interference.Pressure{Kind: kind, Share: part})
}

// alone returns the service's time without neighbours and corrects it by a
// window.
func (p *Policy) alone(sample ServiceSample, total, predicted float64) float64 {
	b, ok := p.alones[sample.Service]
	if !ok {
		b = &baseline{ms: p.settings.AloneMS[sample.Service]}
		if b.ms <= 0 {
			b.ms = sample.MeanMS
		}
		p.alones[sample.Service] = b
	}
	step := busyStep
	if total < quietShare {
		step = quietStep
	}
	b.ms += step * (sample.MeanMS/(1+predicted) - b.ms)
	return b.ms
}
