package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotstile/policy"
	"bergamotstile/quota"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// The disturbances of a run.
const (
	demandOverCapacity = 1.05 // batch demand over the shared capacity
	noisyWaves         = 3
	noisyWaveLength    = 10 * time.Minute
	noisyWavePart      = 0.7
	cancelWaves        = 2
	cancelQueued       = 0.3
	neverRunsPart      = 0.015
	neverFitsPart      = 0.005
	urgentEvery        = 90 * time.Second
	instanceFailures   = 2
	instanceDown       = 2 * time.Minute
	failsAllLength     = 15 * time.Minute
	loadSpikes         = 2
	loadSpikeLength    = 3 * time.Minute
	initialBacklog     = 40
)

// span is an interval with a value.
type span struct {
	from, to time.Duration
	value    float64
}

// workload is all that happens in a run, drawn from the seed before it starts,
// so that each policy meets the same.
type workload struct {
	jobs     []*job // by arrival
	load     []span // of the service, as a part of its slots
	failures []span // value is the worker
	failsAll span   // value is the worker
	shifts   []span // value is the kind whose interference changes from then on
	onServe  []float64
	onBatch  [][]float64
	alone    float64 // true service time alone, ms
}

// stream returns an independent generator for one purpose.
func stream(seed int64, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(seed), purpose))
}

func lognormal(r *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Float64()*float64(high-low))
}

func newWorkload(d deployment, seed int64, length time.Duration) *workload {
	w := &workload{alone: d.aloneMS * lognormal(stream(seed, 1), 0.1)}
	w.drawInterference(d, stream(seed, 2))
	w.drawLoad(stream(seed, 3), length)
	w.drawFaults(d, stream(seed, 4), length)
	w.drawJobs(d, stream(seed, 5), length)
	return w
}

func (w *workload) drawInterference(d deployment, r *rand.Rand) {
	for range d.kinds {
		w.onBatch = append(w.onBatch, make([]float64, len(d.kinds)))
	}
	for i, k := range d.kinds {
		w.onServe = append(w.onServe, k.harm*lognormal(r, 0.35))
		for j := range d.kinds {
			w.onBatch[j][i] = 0.3 * k.harm * lognormal(r, 0.6)
		}
	}
}

func (w *workload) drawLoad(r *rand.Rand, length time.Duration) {
	for at := time.Duration(0); at < length; {
		to := at + between(r, 4*time.Minute, 12*time.Minute)
		w.load = append(w.load, span{at, to, 0.30 + 0.30*r.Float64()})
		at = to
	}
	for range loadSpikes {
		at := between(r, 0, length)
		w.load = append(w.load, span{at, at + loadSpikeLength, 0.70})
	}
}

// loadAt returns the demand on the service; the latest span counts.
func (w *workload) loadAt(now time.Duration) float64 {
	load := 0.0
	for _, s := range w.load {
		if s.from <= now && now < s.to {
			load = s.value
		}
	}
	return load
}

func (w *workload) drawFaults(d deployment, r *rand.Rand, length time.Duration) {
	for range instanceFailures {
		at := between(r, length/10, length)
		w.failures = append(w.failures, span{at, at + instanceDown, float64(r.IntN(d.workers))})
	}
	at := between(r, length/5, length*3/4)
	w.failsAll = span{at, at + failsAllLength, float64(r.IntN(d.workers))}
	for range 2 {
		w.shifts = append(w.shifts, span{from: between(r, length/4, length), value: float64(r.IntN(len(d.kinds)))})
	}
}

func (w *workload) drawJobs(d deployment, r *rand.Rand, length time.Duration) {
	waves := drawWaves(r, noisyWaves, noisyWaveLength, length)
	rate := demandOverCapacity * capacityCores(d) / meanWork(d)
	at := time.Duration(0)
	for i := 0; at < length; i++ {
		if i >= initialBacklog {
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		}
		w.jobs = append(w.jobs, drawJob(d, r, i, at, inside(waves, at)))
	}
	for at := time.Duration(0); at < length; {
		at += time.Duration(r.ExpFloat64() * float64(urgentEvery))
		w.jobs = append(w.jobs, drawUrgent(d, r, len(w.jobs), at))
	}
	slices.SortStableFunc(w.jobs, func(a, b *job) int { return int(a.arrive - b.arrive) })
	for range cancelWaves {
		w.cancelAround(r, between(r, length/6, length))
	}
}

func drawWaves(r *rand.Rand, n int, each, length time.Duration) []span {
	var waves []span
	for range n {
		at := between(r, 0, length)
		waves = append(waves, span{from: at, to: at + each})
	}
	return waves
}

func inside(spans []span, at time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from <= at && at < s.to })
}

func capacityCores(d deployment) float64 {
	return float64(d.workers) * float64(d.machine.CPUMilli-d.runner.CPUMilli) / 1000
}

// meanWork is the mean of declared cores times run time of a job.
func meanWork(d deployment) float64 {
	sum := 0.0
	for _, k := range d.kinds {
		sum += k.weight * float64(k.declared.CPUMilli) / 1000 * k.runS
	}
	return sum
}

func pickKind(d deployment, r *rand.Rand) int {
	x := r.Float64()
	for i, k := range d.kinds {
		if x -= k.weight; x < 0 {
			return i
		}
	}
	return len(d.kinds) - 1
}

func drawJob(d deployment, r *rand.Rand, i int, at time.Duration, wave bool) *job {
	n := pickKind(d, r)
	if r.Float64() < noisyWavePart && wave {
		n = d.noisy
	}
	k := d.kinds[n]
	cores := float64(k.declared.CPUMilli) / 1000 * k.cpuBias * lognormal(r, 0.25)
	run := k.runS * lognormal(r, 0.5)
	j := &job{
		kind: n, arrive: at, cores: cores, work: cores * run,
		memoryMB:  float64(k.declared.MemoryMB) * k.memBias * lognormal(r, 0.2),
		neverRuns: r.Float64() < neverRunsPart,
	}
	j.item = scheduler.Item{
		Work: structs.WorkID(fmt.Sprintf("j%05d", i)), Team: fmt.Sprintf("team-%d", r.IntN(len(teamWeights))),
		Job: k.job, Kind: structs.KindBatch, Class: structs.ClassNormal, Size: k.declared,
		Idempotent:  r.Float64() < 0.8,
		ExpectedRun: time.Duration(run * lognormal(r, 0.8) * float64(time.Second)),
	}
	if r.Float64() < neverFitsPart {
		j.item.Size = d.machine.Add(d.machine)
	}
	return j
}

// urgentCores is the declared size of urgent work, which is true.
const urgentCores = 4

func drawUrgent(d deployment, r *rand.Rand, i int, at time.Duration) *job {
	j := drawJob(d, r, i, at, false)
	j.kind, j.cores, j.memoryMB, j.neverRuns = 0, urgentCores, 6000, false
	j.work = urgentCores * 60 * lognormal(r, 0.3)
	j.item.Job, j.item.Class, j.item.Size = d.kinds[0].job, structs.ClassUrgent, size(urgentCores, 8, 0)
	return j
}

// cancelAround cancels a part of the jobs that arrived shortly before.
func (w *workload) cancelAround(r *rand.Rand, at time.Duration) {
	for _, j := range w.jobs {
		if j.arrive < at && j.arrive > at-10*time.Minute && r.Float64() < cancelQueued {
			j.cancel = at
		}
	}
}

var teamWeights = []float64{1, 1, 2, 3}

// teams returns the quotas of the run: the second team has a limit.
func teams(d deployment) map[string]quota.Team {
	list := map[string]quota.Team{}
	for i, weight := range teamWeights {
		list[fmt.Sprintf("team-%d", i)] = quota.Team{Weight: weight}
	}
	limited := list["team-1"]
	limited.Limit.CPUMilli = int64(capacityCores(d) * 400)
	list["team-1"] = limited
	return list
}

func settingsFor(d deployment, disabled []policy.Mechanism) policy.Settings {
	s := policy.Settings{
		Weights: d.weights, Teams: teams(d), Disabled: map[policy.Mechanism]bool{},
		BaselineMS: map[string]float64{d.service: d.aloneMS},
	}
	for _, m := range disabled {
		s.Disabled[m] = true
	}
	return s
}
