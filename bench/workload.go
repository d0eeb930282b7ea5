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

// The batch demand, the load spikes and the faults of a run. In a noisy wave, most
// arriving jobs are of the kind that interferes most with the service.
const (
	batchDemandRatio   = 1.05 // ratio of the mean declared batch demand to sharedBatchCores
	noisyWaveCount     = 3
	noisyWaveDuration  = 10 * time.Minute
	noisyWaveShare     = 0.7 // part of the jobs in a noisy wave that are changed to deployment.noisyKind
	cancelWaveCount    = 2
	cancelShare        = 0.3              // part of the recently arrived jobs that a wave of cancellations cancels
	neverRunsShare     = 0.015            // part of the jobs that fail on every worker
	neverFitsShare     = 0.005            // part of the jobs that are larger than every worker
	urgentInterval     = 90 * time.Second // mean time between urgent jobs
	workerFailureCount = 2
	workerDownTime     = 2 * time.Minute  // duration of a worker's failure
	failsAllDuration   = 15 * time.Minute // time during which one worker fails all its tasks
	loadSpikeCount     = 2
	loadSpikeDuration  = 3 * time.Minute
	initialBacklog     = 40 // number of jobs that arrive at virtual time zero
)

// span is an interval of virtual time with a value. The meaning of the value is
// described at each field of workload that holds spans.
type span struct {
	from, to time.Duration
	value    float64
}

// workload holds the jobs, the load of the service and the faults of a run. They
// are drawn from the seed before the run starts, so that they are the same for
// each policy.
type workload struct {
	jobs            []*job      // in the order of arrival
	serviceLoad     []span      // value is the demand on the service as a part of its slots
	workerFailures  []span      // value is the index of the worker
	failingWorker   span        // value is the index of the worker that fails all its tasks
	pressureShifts  []span      // value is the index of the kind whose pressure on the service changes at from
	servicePressure []float64   // pressure on the service, by kind
	batchPressure   [][]float64 // pressure on batch work, by slowed kind and by the kind that slows it
	baseServiceMS   float64     // mean service time without interference, in milliseconds
}

// newRandom returns a random generator for one purpose. Generators for different
// purposes are independent.
func newRandom(seed int64, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(seed), purpose))
}

// lognormal draws a lognormally distributed factor with a mean of one.
func lognormal(r *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
}

// randomDuration draws a uniformly distributed duration between low and high.
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Float64()*float64(high-low))
}

// newWorkload draws the workload of a run that lasts duration.
func newWorkload(d deployment, seed int64, duration time.Duration) *workload {
	w := &workload{baseServiceMS: d.baseServiceMS * lognormal(newRandom(seed, 1), 0.1)}
	w.drawPressure(d, newRandom(seed, 2))
	w.drawServiceLoad(newRandom(seed, 3), duration)
	w.drawFaults(d, newRandom(seed, 4), duration)
	w.drawJobs(d, newRandom(seed, 5), duration)
	return w
}

// drawPressure draws the pressure of each batch kind on the service and on each
// batch kind.
func (w *workload) drawPressure(d deployment, r *rand.Rand) {
	for range d.kinds {
		w.batchPressure = append(w.batchPressure, make([]float64, len(d.kinds)))
	}
	for i, k := range d.kinds {
		w.servicePressure = append(w.servicePressure, k.meanServicePressure*lognormal(r, 0.35))
		for j := range d.kinds {
			w.batchPressure[j][i] = 0.3 * k.meanServicePressure * lognormal(r, 0.6)
		}
	}
}

// drawServiceLoad draws the base load, which changes every 4 to 12 minutes, and
// then the spikes.
func (w *workload) drawServiceLoad(r *rand.Rand, duration time.Duration) {
	for at := time.Duration(0); at < duration; {
		to := at + randomDuration(r, 4*time.Minute, 12*time.Minute)
		w.serviceLoad = append(w.serviceLoad, span{at, to, 0.30 + 0.30*r.Float64()})
		at = to
	}
	for range loadSpikeCount {
		at := randomDuration(r, 0, duration)
		w.serviceLoad = append(w.serviceLoad, span{at, at + loadSpikeDuration, 0.70})
	}
}

// serviceLoadAt returns the demand on the service as a part of its slots. If
// several spans contain the time, the last one in the list applies, so that
// spikes replace the base load.
func (w *workload) serviceLoadAt(now time.Duration) float64 {
	load := 0.0
	for _, s := range w.serviceLoad {
		if s.from <= now && now < s.to {
			load = s.value
		}
	}
	return load
}

// drawFaults draws the failures of workers, the worker that fails all its tasks
// for a while, and the shifts of pressure.
func (w *workload) drawFaults(d deployment, r *rand.Rand, duration time.Duration) {
	for range workerFailureCount {
		at := randomDuration(r, duration/10, duration)
		w.workerFailures = append(w.workerFailures, span{at, at + workerDownTime, float64(r.IntN(d.workers))})
	}
	at := randomDuration(r, duration/5, duration*3/4)
	w.failingWorker = span{at, at + failsAllDuration, float64(r.IntN(d.workers))}
	for range 2 {
		w.pressureShifts = append(w.pressureShifts, span{from: randomDuration(r, duration/4, duration), value: float64(r.IntN(len(d.kinds)))})
	}
}

// drawJobs draws the batch jobs, the urgent jobs and the cancellations.
func (w *workload) drawJobs(d deployment, r *rand.Rand, duration time.Duration) {
	waves := drawWaves(r, noisyWaveCount, noisyWaveDuration, duration)
	jobsPerS := batchDemandRatio * sharedBatchCores(d) / meanJobCoreS(d)
	at := time.Duration(0)
	for i := 0; at < duration; i++ {
		if i >= initialBacklog {
			at += time.Duration(r.ExpFloat64() / jobsPerS * float64(time.Second))
		}
		w.jobs = append(w.jobs, drawJob(d, r, i, at, isInsideAny(waves, at)))
	}
	for at := time.Duration(0); at < duration; {
		at += time.Duration(r.ExpFloat64() * float64(urgentInterval))
		w.jobs = append(w.jobs, drawUrgentJob(d, r, len(w.jobs), at))
	}
	slices.SortStableFunc(w.jobs, func(a, b *job) int { return int(a.arrivesAt - b.arrivesAt) })
	for range cancelWaveCount {
		w.drawCancellations(r, randomDuration(r, duration/6, duration))
	}
}

// drawWaves draws n intervals, which may overlap.
func drawWaves(r *rand.Rand, n int, waveDuration, duration time.Duration) []span {
	var waves []span
	for range n {
		at := randomDuration(r, 0, duration)
		waves = append(waves, span{from: at, to: at + waveDuration})
	}
	return waves
}

// isInsideAny reports whether one of the spans contains the time.
func isInsideAny(spans []span, at time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from <= at && at < s.to })
}

// sharedBatchCores returns the number of cores that all workers offer to batch
// work if one runner is beside each of them.
func sharedBatchCores(d deployment) float64 {
	return float64(d.workers) * float64(d.machineCapacity.CPUMilli-d.runnerReservation.CPUMilli) / 1000
}

// meanJobCoreS returns the mean declared work of a batch job, in core seconds: its
// declared cores times the mean run time of its kind.
func meanJobCoreS(d deployment) float64 {
	sum := 0.0
	for _, k := range d.kinds {
		sum += k.arrivalShare * float64(k.declared.CPUMilli) / 1000 * k.meanRunS
	}
	return sum
}

// drawKind draws the index of a batch kind according to the arrival shares.
func drawKind(d deployment, r *rand.Rand) int {
	draw := r.Float64()
	for i, k := range d.kinds {
		if draw -= k.arrivalShare; draw < 0 {
			return i
		}
	}
	return len(d.kinds) - 1
}

// drawJob draws a batch job that arrives at the given time. inWave says that it
// arrives during a noisy wave.
func drawJob(d deployment, r *rand.Rand, number int, at time.Duration, inWave bool) *job {
	kindIndex := drawKind(d, r)
	if r.Float64() < noisyWaveShare && inWave {
		kindIndex = d.noisyKind
	}
	k := d.kinds[kindIndex]
	cores := float64(k.declared.CPUMilli) / 1000 * k.cpuUseRatio * lognormal(r, 0.25)
	runS := k.meanRunS * lognormal(r, 0.5)
	j := &job{
		kindIndex: kindIndex, arrivesAt: at, cores: cores, workCoreS: cores * runS,
		memoryMB:  float64(k.declared.MemoryMB) * k.memoryUseRatio * lognormal(r, 0.2),
		neverRuns: r.Float64() < neverRunsShare,
	}
	j.item = scheduler.Item{
		Work: structs.WorkID(fmt.Sprintf("j%05d", number)), Team: fmt.Sprintf("team-%d", r.IntN(len(teamWeights))),
		Job: k.job, Kind: structs.KindBatch, Class: structs.ClassNormal, Size: k.declared,
		Idempotent:  r.Float64() < 0.8,
		ExpectedRun: time.Duration(runS * lognormal(r, 0.8) * float64(time.Second)),
	}
	if r.Float64() < neverFitsShare {
		j.item.Size = d.machineCapacity.Add(d.machineCapacity)
	}
	return j
}

// urgentCores is the number of cores that an urgent job both declares and uses.
const urgentCores = 4

// drawUrgentJob draws an urgent job that arrives at the given time and would run
// for about a minute without interference. Its pressure is that of the first
// batch kind.
func drawUrgentJob(d deployment, r *rand.Rand, number int, at time.Duration) *job {
	j := drawJob(d, r, number, at, false)
	j.kindIndex, j.cores, j.memoryMB, j.neverRuns = 0, urgentCores, 6000, false
	j.workCoreS = urgentCores * 60 * lognormal(r, 0.3)
	j.item.Job, j.item.Class, j.item.Size = d.kinds[0].job, structs.ClassUrgent, resources(urgentCores, 8, 0)
	return j
}

// drawCancellations marks some of the jobs that arrived in the ten minutes before
// the given time as cancelled at that time.
func (w *workload) drawCancellations(r *rand.Rand, at time.Duration) {
	for _, j := range w.jobs {
		if j.arrivesAt < at && j.arrivesAt > at-10*time.Minute && r.Float64() < cancelShare {
			j.cancelAt = at
		}
	}
}

// teamWeights lists the fair-share weights of the teams.
var teamWeights = []float64{1, 1, 2, 3}

// teamQuotas returns the quotas of the teams, by name. The second team is limited
// to 40 percent of sharedBatchCores.
func teamQuotas(d deployment) map[string]quota.Team {
	teams := map[string]quota.Team{}
	for i, weight := range teamWeights {
		teams[fmt.Sprintf("team-%d", i)] = quota.Team{Weight: weight}
	}
	limited := teams["team-1"]
	limited.Limit.CPUMilli = int64(sharedBatchCores(d) * 400)
	teams["team-1"] = limited
	return teams
}

// policySettings returns the settings of the policy bergamotstile.
func policySettings(d deployment, disabled []policy.Mechanism) policy.Settings {
	s := policy.Settings{
		Weights: d.weights, Teams: teamQuotas(d), Disabled: map[policy.Mechanism]bool{},
		BaselineMS: map[string]float64{d.service: d.baseServiceMS},
	}
	for _, m := range disabled {
		s.Disabled[m] = true
	}
	return s
}
