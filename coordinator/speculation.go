package coordinator

import (
	"cmp"
	"slices"
	"time"

	"bergamotstile/jobs"
)

// Parameters of the decision whether a speculative copy of a run pays.
const (
	// copyDelay is the time from the decision for a copy until it begins to work.
	copyDelay = 200 * time.Millisecond
	// minWinProbability is the least probability with which a copy has to end before the run.
	minWinProbability = 0.75
	// A run is slow if its task takes at least slowFactor times the upper quartile of run times. The
	// quartile does not depend on stragglers while they are less than a quarter of the runs.
	// Without this rule a task that is merely larger than its caller stated would get a copy,
	// which is as large.
	slowFactor = 1.25
	// minCopyGain is the least time by which a copy has to bring the end of a job forward.
	minCopyGain = 200 * time.Millisecond
	// A copy also has to bring the end forward by lateGainShare of the usual run time if the
	// job would miss its objective without it, and by onTimeGainShare otherwise.
	lateGainShare   = 0.25
	onTimeGainShare = 1.0
)

// copyInputs is a run together with what a decision on a copy of it depends on.
type copyInputs struct {
	task jobs.TaskID
	// stated is the run time that the caller states, and usual the one that is expected of a
	// whole task on a usual runner. elapsed is how long the run has gone on as far as this
	// coordinator knows.
	stated, usual, elapsed time.Duration
	// fullTime and remaining are projected from the run's progress: how long the whole task
	// takes at the run's rate, and how long the run will go on. They are zero unless hasProjection
	// is set.
	hasProjection       bool
	fullTime, remaining time.Duration
	ratios              []float64 // of run times to usual ones, in ascending order
	restShare           float64   // part of the task that a copy has to do, from 0 to 1
	// timeAfterStep is the estimated run time of the longest chain of steps after the task's step.
	timeAfterStep time.Duration
	// otherPath is when the rest of the job, without the task and its successors, is expected to
	// be done, as time from now, if its other slow runs get copies too.
	otherPath time.Duration
	// untilObjective is the time left until the job's objective; negative if that has passed.
	untilObjective time.Duration
}

// copyForecast is what a copy of a run is expected to achieve.
type copyForecast struct {
	winProbability float64       // probability that the copy ends before the run
	gain           time.Duration // expected value of the time by which the job ends earlier
	// rescues is set if the job is expected to meet its objective with the copy and to miss it
	// without.
	rescues bool
}

// copyPolicy decides whether a copy pays on a runner on which tasks take factor times the usual
// time.
type copyPolicy func(option copyInputs, factor float64) (forecast copyForecast, pays bool)

// remainingTimes returns equally probable values of how long the run will go on. Without a
// projection they are those of the runs that took longer than this one has taken. If none has,
// the run is expected to go on for as long as it has taken.
func (o copyInputs) remainingTimes() []time.Duration {
	if o.hasProjection {
		return []time.Duration{o.remaining}
	}
	var times []time.Duration
	for _, ratio := range o.ratios {
		if total := time.Duration(ratio * float64(o.usual)); total > o.elapsed {
			times = append(times, total-o.elapsed)
		}
	}
	if len(times) == 0 {
		return []time.Duration{o.elapsed}
	}
	return times
}

// copyTime returns how long a copy takes if its run time has the given ratio to the usual one.
func (o copyInputs) copyTime(ratio, factor float64) time.Duration {
	return copyDelay + time.Duration(ratio*factor*o.restShare*float64(o.usual))
}

// expectedRemaining returns the median of how long the run will go on.
func (o copyInputs) expectedRemaining() time.Duration {
	times := o.remainingTimes()
	return times[len(times)/2]
}

// expectedEndWithCopy returns how long the task is expected to go on if it may get a copy on a
// usual runner.
func (o copyInputs) expectedEndWithCopy() time.Duration {
	if len(o.ratios) == 0 {
		return o.expectedRemaining()
	}
	return min(o.expectedRemaining(), o.copyTime(o.ratios[len(o.ratios)/2], 1))
}

// isSlow reports whether the run is too slow to be explained by the usual spread of run times.
func (o copyInputs) isSlow() bool {
	if len(o.ratios) == 0 || o.usual <= 0 {
		return false
	}
	upperQuartile := o.ratios[len(o.ratios)*3/4]
	runTime := max(o.fullTime, o.elapsed+o.remaining)
	return float64(runTime) >= slowFactor*upperQuartile*float64(o.usual)
}

// forecastCopy compares the run with a copy on a runner on which tasks take factor times the
// usual time.
func (o copyInputs) forecastCopy(factor float64) copyForecast {
	remaining := o.remainingTimes()
	var forecast copyForecast
	var wins, gain float64
	for _, left := range remaining {
		for _, ratio := range o.ratios {
			end := o.copyTime(ratio, factor)
			if end < left {
				wins++
			}
			gain += float64(o.jobGain(left, end))
		}
	}
	n := float64(len(remaining) * len(o.ratios))
	forecast.winProbability, forecast.gain = wins/n, time.Duration(gain/n)
	without := max(o.expectedRemaining()+o.timeAfterStep, o.otherPath)
	with := max(o.copyTime(o.ratios[len(o.ratios)/2], factor)+o.timeAfterStep, o.otherPath)
	forecast.rescues = without > o.untilObjective && with <= o.untilObjective
	return forecast
}

// jobGain returns by how much earlier the job ends if a run that goes on for left has a copy that
// goes on for end.
func (o copyInputs) jobGain(left, end time.Duration) time.Duration {
	return max(left+o.timeAfterStep, o.otherPath) - max(min(left, end)+o.timeAfterStep, o.otherPath)
}

// copyPays is the copyPolicy in use.
func copyPays(o copyInputs, factor float64) (copyForecast, bool) {
	if !o.isSlow() {
		return copyForecast{}, false
	}
	forecast := o.forecastCopy(factor)
	share := onTimeGainShare
	if max(o.expectedRemaining()+o.timeAfterStep, o.otherPath) > o.untilObjective {
		share = lateGainShare
	}
	minGain := max(minCopyGain, time.Duration(share*float64(o.usual)))
	return forecast, forecast.winProbability >= minWinProbability && forecast.gain >= minGain
}

// jobPaths holds, for the tasks of a job that run, the two latest times at which the chain of steps
// from the task on is expected to be done, and the task of the latest one.
type jobPaths struct {
	latestTask     jobs.TaskID
	latest, second time.Duration
}

// add adds the expected end of the chain of steps from a running task on, as time from now.
func (p *jobPaths) add(task jobs.TaskID, end time.Duration) {
	switch {
	case end > p.latest:
		p.latestTask, p.latest, p.second = task, end, p.latest
	case end > p.second:
		p.second = end
	}
}

// without returns the latest end among all tasks but one.
func (p *jobPaths) without(task jobs.TaskID) time.Duration {
	if p.latestTask == task {
		return p.second
	}
	return p.latest
}

// copyCandidate is a copy that pays on a usual runner, or on the target once that is set.
type copyCandidate struct {
	option   copyInputs
	run      *taskRun
	target   *runner
	forecast copyForecast
}

// sortCandidates orders candidates so that copies by which a job meets its objective come
// first, and then those that gain most.
func sortCandidates(candidates []copyCandidate) {
	slices.SortFunc(candidates, func(a, b copyCandidate) int {
		return cmp.Or(compareBool(b.forecast.rescues, a.forecast.rescues), cmp.Compare(b.forecast.gain, a.forecast.gain),
			cmp.Compare(a.option.task.String(), b.option.task.String()))
	})
}

// Bounds of the number of copies.
const (
	// maxCopyPercent is the largest number of copies in a service, in percent of its runs of
	// finite plain tasks. One copy is allowed in any case.
	maxCopyPercent = 10
)

// allowedCopies returns how many more copies a service may have.
func allowedCopies(runs, copies int) int {
	return max(1, (runs-copies)*maxCopyPercent/100) - copies
}
