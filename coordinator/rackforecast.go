package coordinator

import (
	"slices"
	"time"

	"bergamotstile/structs"
)

const (
	// overdueShare is the part of the time spent that a run without reported progress is expected
	// to go on after its estimate has passed.
	overdueShare = 0.25
	// minSpread is the least relative standard deviation of an expected run time. Progress is
	// reported in whole percents, and runs slow down beside others.
	minSpread = 0.05
)

// rackKey identifies the runners of one service on a rack.
type rackKey struct{ service, rack string }

// racks returns the runners of each service on each rack, in the order of their IDs. The index is
// built once in a scheduling round, and only if a waiting step needs it.
func (l *locality) racks(c *Core) map[rackKey][]*runner {
	if l.runnersByRack == nil {
		l.runnersByRack = map[rackKey][]*runner{}
		for _, r := range c.sortedRunners() {
			key := rackKey{r.Service, r.Rack}
			l.runnersByRack[key] = append(l.runnersByRack[key], r)
		}
	}
	return l.runnersByRack
}

// plan returns the forecast of a rack in the current scheduling round.
func (l *locality) plan(c *Core, key rackKey, now time.Duration) *rackPlan {
	if p := l.plans[key]; p != nil {
		return p
	}
	p := &rackPlan{}
	for _, r := range l.racks(c)[key] {
		if r.isUsable() && !r.health.isAvoided(now) {
			p.runners = append(p.runners, c.planRunner(r, now))
		}
	}
	if l.plans == nil {
		l.plans = map[rackKey]*rackPlan{}
	}
	l.plans[key] = p
	return p
}

// planRunner forecasts the free capacity of a runner from its runs.
func (c *Core) planRunner(r *runner, now time.Duration) runnerPlan {
	p := runnerPlan{runner: r, free: r.Capacity.Sub(r.held)}
	for _, res := range r.reservations {
		p.free = p.free.Sub(res.step.step.Reserved())
	}
	cached := c.releasesOf(r, now)
	p.releases = make([]release, len(cached.releases), len(cached.releases)+1)
	for i, known := range cached.releases {
		known.in = max(0, known.in-(now-cached.at))
		p.releases[i] = known
	}
	return p
}

// releaseCacheTime is how long the releases of a runner are reused while nothing is known to have
// changed there.
const releaseCacheTime = 100 * time.Millisecond

// releaseCache holds the releases that were forecast for a runner.
type releaseCache struct {
	at         time.Duration // when they were forecast; zero if they were not
	lastChange uint64        // of the runner, at that time
	runs       int           // on the runner, at that time
	releases   []release     // relative to at, the earliest first
}

// releasesOf returns when the runs on a runner are expected to free their capacity. With hundreds
// of runners, these forecasts took most of the time for tasks that wait for many racks.
func (c *Core) releasesOf(r *runner, now time.Duration) *releaseCache {
	cached := &r.releases
	if cached.at > 0 && now-cached.at < releaseCacheTime && cached.lastChange == r.lastChange && cached.runs == len(r.runs) {
		return cached
	}
	*cached = releaseCache{at: now, lastChange: r.lastChange, runs: len(r.runs), releases: cached.releases[:0]}
	for run := range r.runs {
		if remaining, deviation, ends := c.expectedRemaining(run, now); ends && remaining <= maxNearWait {
			cached.releases = append(cached.releases, release{remaining + placeDelay, deviation, run.step.Reserved()})
		}
	}
	slices.SortFunc(cached.releases, compareReleases)
	return cached
}

// addReservationsOf counts the capacity that is reserved for the step as free.
func (p *rackPlan) addReservationsOf(s *openStep) {
	for i := range p.runners {
		own := p.runners[i].runner.countReservationsOf(s)
		p.runners[i].free = p.runners[i].free.Add(multiplyResources(s.step.Reserved(), own))
	}
}

// expectedRemaining returns how long a run is expected to hold its capacity, and the standard
// deviation of that time. The result ends is false for long-running tasks.
func (c *Core) expectedRemaining(run *taskRun, now time.Duration) (remaining, deviation time.Duration, ends bool) {
	if run.state == stateStopping {
		return restartTime, restartTime / 2, true
	}
	if run.step.LongRunning {
		return 0, 0, false
	}
	spread := max(minSpread, c.durationEstimatorOf(run.job).Spread())
	total := time.Duration(c.farFactor(run.step.DataRack, run.runner) * float64(run.job.taskEstimates[run.task.Step]))
	left := time.Duration(fullPace-run.percent) * total / fullPace
	spent := now - run.startedAt
	switch {
	case run.adoptedAt > 0:
		// The start is not known, so the progress can't be related to the time spent.
		remaining = left
	case run.percent > 0:
		remaining = run.timeLeft(now)
		spread = max(minSpread, spread*float64(fullPace-run.percent)/fullPace)
	default:
		remaining = max(left-spent, time.Duration(overdueShare*float64(spent)))
	}
	return remaining, time.Duration(spread * float64(max(remaining, minMeasuredPercent*total/fullPace))), true
}

// recordStart counts a start in the plan of the runner's rack.
func (l *locality) recordStart(run *taskRun) {
	if len(l.plans) == 0 {
		return
	}
	p := l.plans[rackKey{run.runner.Service, run.runner.Rack}]
	if p == nil {
		return
	}
	for i := range p.runners {
		if p.runners[i].runner == run.runner {
			p.runners[i].start(run.step.Reserved(), run.job.taskEstimates[run.task.Step], run.step.LongRunning)
		}
	}
}

// start gives capacity that is free now to a task.
func (p *runnerPlan) start(requested structs.Resources, runTime time.Duration, isLongRunning bool) {
	p.free = p.free.Sub(requested)
	if !isLongRunning {
		p.addRelease(release{in: placeDelay + runTime, resources: requested})
	}
}
