package coordinator

import (
	"cmp"
	"slices"
	"time"

	"bergamotstile/structs"
)

// Bounds of the wait for a near place: one on the rack of a task's data, or for a gang that is
// slow across racks one rack with room for all members.
const (
	// maxNearWait bounds each wait, however much time a near place would save.
	maxNearWait = 15 * time.Second
	// nearWaitShare is the part of the time saved by a near place that a wait may take while the
	// rack is contended and much of the service's capacity is free. It is below 1 since a wait also
	// delays those that queue behind it for the same rack.
	nearWaitShare = 0.6
	// contendedQueue is the number of tasks in front with which a rack counts as contended.
	contendedQueue = 8
	// shortFreeShare is the free share of a service's capacity, from 0 to 1, below which the fleet
	// counts as short, the more so the less is free. The longer run on another rack then takes
	// capacity from other work, and the whole time saved may be spent on the wait.
	shortFreeShare = 0.2
	// placeDelay is the time from the end of a run until a task can start in its place: the report
	// of the end and a round of scheduling.
	placeDelay = 100 * time.Millisecond
	// waitSuspension is how long nothing waits for a rack on which a place has not come in time.
	waitSuspension = 2 * time.Second
	// wantedRackPenalty is added to the expected time, relative to the usual one, on a rack for
	// which other tasks wait. Work that runs equally well elsewhere leaves the rack to them.
	wantedRackPenalty = 0.5
)

// placeForecast is a forecast of when a task can start on a rack.
type placeForecast struct {
	isKnown   bool          // a place is expected within maxNearWait
	in        time.Duration // expected time until then
	deviation time.Duration // standard deviation of that time
}

// placementQuestion holds what the choice between a free far place and the wait for a near one
// depends on.
type placementQuestion struct {
	estimate time.Duration // expected run time in a near place
	factor   float64       // by which it is longer in a far place
	near     placeForecast
	// ahead is the number of waiting tasks of higher precedence that were given places on the rack
	// by the forecast.
	ahead int
	// slack is the time that is left until the job's objective if the rest of its chain of steps
	// begins now in near places.
	slack time.Duration
	// freeShare is the free share of the service's capacity, from 0 to 1.
	freeShare float64
	// mayAwaitRack is false while the rack counts as not draining.
	mayAwaitRack bool
	// waited is how long the task has declined far places. remaining is the time until the
	// deadline of that wait, and isWaiting says that there is one.
	waited, remaining time.Duration
	isWaiting         bool
}

// placementAnswer is the answer to a placementQuestion.
type placementAnswer struct {
	wait   bool
	reason string // for the log
	// deadline is the time until the end of a new wait.
	deadline time.Duration
	// isOvertaken is set if a wait ends because no place has come by its deadline or is expected by
	// then any more.
	isOvertaken bool
}

// lostTime returns how much longer the task runs in a far place.
func (q placementQuestion) lostTime() time.Duration {
	return time.Duration((q.factor - 1) * float64(q.estimate))
}

// maxWait returns the bound of the whole wait: what a far place costs, at most maxNearWait.
func (q placementQuestion) maxWait() time.Duration { return min(q.lostTime(), maxNearWait) }

// shortage returns how short the fleet is, from 0 to 1.
func (q placementQuestion) shortage() float64 {
	return min(1, max(0, 1-q.freeShare/shortFreeShare))
}

// contention returns how contended the rack is, from 0 to 1.
func (q placementQuestion) contention() float64 { return min(1, float64(q.ahead)/contendedQueue) }

// worthwhileWait returns the longest forecast for which a wait pays. It is the time that a near
// place saves, less the delay of others in the queue while there is enough capacity for all.
func (q placementQuestion) worthwhileWait() time.Duration {
	share := 1 - (1-nearWaitShare)*q.contention()*(1-q.shortage())
	if q.slack < q.lostTime() && q.slack >= q.near.in+q.near.deviation {
		share = 1 // only a near place lets the job meet its objective
	}
	return time.Duration(share * float64(q.maxWait()))
}

// risksObjective reports whether the job would meet its objective from a far place, but might
// not after the wait.
func (q placementQuestion) risksObjective() bool {
	return q.slack >= q.lostTime() && q.slack < q.near.in+q.near.deviation
}

// decidePlacement decides whether a task that could start in a far place waits for a near one.
func decidePlacement(q placementQuestion) placementAnswer {
	switch {
	case q.isWaiting && q.remaining <= 0:
		return placementAnswer{reason: "no place by the deadline", isOvertaken: true}
	case !q.mayAwaitRack:
		return placementAnswer{reason: "waits for the rack are suspended"}
	case !q.near.isKnown:
		return placementAnswer{reason: "no place expected"}
	case q.risksObjective():
		return placementAnswer{reason: "objective at risk"}
	case q.isWaiting && q.near.in > q.remaining:
		return placementAnswer{reason: "place expected after the deadline", isOvertaken: true}
	case q.isWaiting:
		return placementAnswer{wait: true, reason: "waits on"}
	case q.near.in > q.worthwhileWait():
		return placementAnswer{reason: "far place is cheaper"}
	}
	return placementAnswer{wait: true, reason: "near place is cheaper", deadline: q.maxWait()}
}

// release is capacity that a run is expected to free.
type release struct {
	in, deviation time.Duration
	resources     structs.Resources
}

// runnerPlan forecasts the free capacity of one runner.
type runnerPlan struct {
	runner    *runner
	free      structs.Resources // from readyIn on
	readyIn   time.Duration
	deviation time.Duration // of readyIn
	releases  []release     // later ones, the earliest first
	taken     int           // tasks of the current step that were given places
}

// earliest returns when the runner is expected to have the requested capacity, and the number of
// releases until then.
func (p *runnerPlan) earliest(requested structs.Resources) (forecast placeForecast, releases int) {
	free := p.free
	forecast = placeForecast{isKnown: true, in: p.readyIn, deviation: p.deviation}
	for !requested.Fits(free) {
		if releases == len(p.releases) {
			return placeForecast{}, 0
		}
		next := p.releases[releases]
		free = free.Add(next.resources)
		forecast.in, forecast.deviation = next.in, max(forecast.deviation, next.deviation)
		releases++
	}
	return forecast, releases
}

// take gives the requested capacity, which is free after the given number of releases, to a task
// with the given run time.
func (p *runnerPlan) take(requested structs.Resources, at placeForecast, releases int, runTime time.Duration) {
	for _, r := range p.releases[:releases] {
		p.free = p.free.Add(r.resources)
	}
	p.releases = p.releases[releases:]
	p.free = p.free.Sub(requested)
	p.readyIn, p.deviation = at.in, at.deviation
	p.addRelease(release{in: at.in + placeDelay + runTime, deviation: at.deviation, resources: requested})
}

// addRelease adds a release that lies within the horizon of forecasts.
func (p *runnerPlan) addRelease(added release) {
	if added.in > maxNearWait {
		return
	}
	i, _ := slices.BinarySearchFunc(p.releases, added, compareReleases)
	// The list may share its array with a copy of the plan.
	p.releases = slices.Insert(slices.Clip(p.releases), i, added)
}

// compareReleases orders releases by time. Equal times are told apart so that a plan does not
// depend on the order in which runs are visited.
func compareReleases(a, b release) int {
	return cmp.Or(cmp.Compare(a.in, b.in), cmp.Compare(a.deviation, b.deviation), cmp.Compare(a.resources.CPUMilli, b.resources.CPUMilli))
}

// rackPlan forecasts the places on the usable runners of one service on a rack. Tasks that wait
// for the rack are given their expected places in the order of their precedence, so that each
// forecast counts the queue in front.
type rackPlan struct {
	runners []runnerPlan
	ahead   int                 // waiting tasks that were given places
	unfit   []structs.Resources // requests for which no place is expected within the horizon
}

// clone returns a copy for a plan that may be dropped.
func (p *rackPlan) clone() *rackPlan {
	return &rackPlan{runners: slices.Clone(p.runners), unfit: slices.Clip(p.unfit)}
}

// place finds the earliest expected place for a task. It returns -1 if there is none. accepts
// limits the runners that are considered; nil stands for all.
func (p *rackPlan) place(requested structs.Resources, accepts func(*runnerPlan) bool) (forecast placeForecast, runner, releases int) {
	if slices.ContainsFunc(p.unfit, func(least structs.Resources) bool { return least.Fits(requested) }) {
		return placeForecast{}, -1, 0
	}
	best := -1
	for i := range p.runners {
		if accepts != nil && !accepts(&p.runners[i]) {
			continue
		}
		found, count := p.runners[i].earliest(requested)
		if found.isKnown && (best < 0 || found.in < forecast.in) {
			forecast, best, releases = found, i, count
		}
	}
	if best < 0 && accepts == nil {
		p.unfit = append(p.unfit, requested)
	}
	return forecast, best, releases
}

// placeGroup gives places to n equal tasks. The forecast is that of the last place; the runners
// are those of the members. It is unknown if they don't all fit.
func (p *rackPlan) placeGroup(n int, requested structs.Resources, accepts func(*runnerPlan) bool) (group placeForecast, members []*runner) {
	for range n {
		forecast, i, releases := p.place(requested, accepts)
		if i < 0 {
			return placeForecast{}, nil
		}
		chosen := &p.runners[i]
		chosen.take(requested, forecast, releases, maxNearWait)
		chosen.taken++
		members = append(members, chosen.runner)
		group = placeForecast{isKnown: true, in: max(group.in, forecast.in), deviation: max(group.deviation, forecast.deviation)}
	}
	return group, members
}
