package coordinator

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// placementLogInterval is the least time between two lines on the choice between near and far
	// places, over all jobs.
	placementLogInterval = 250 * time.Millisecond
	// gangForecastInterval is the time between two forecasts for a gang, which have to look at all
	// racks.
	gangForecastInterval = 200 * time.Millisecond
)

// locality is the state of the choice between near and far places, known as delay scheduling.
// runnersByRack and plans last for one scheduling round, the other fields longer. Nothing of it is
// stored.
type locality struct {
	decide func(placementQuestion) placementAnswer
	// runnersByRack and plans are those of the current round; nil if nothing has needed them.
	runnersByRack map[rackKey][]*runner
	plans         map[rackKey]*rackPlan
	// waitsSuspendedUntil holds until when nothing waits for a rack.
	waitsSuspendedUntil map[rackKey]time.Duration
	// lastPlaceAt is when a task last got a place on the rack of its data.
	lastPlaceAt map[rackKey]time.Duration
	nextLogAt   time.Duration
	// wanted and wantedBefore hold the racks for which tasks have waited in this round and in the
	// previous one; nil if none has.
	wanted, wantedBefore map[rackKey]struct{}
}

// nearWait is the wait of a task that has declined a far place.
type nearWait struct{ since, deadline time.Duration }

// gangWait is the wait of a gang for a rack with room for all members.
type gangWait struct {
	nearWait
	rack        rackKey
	forecastAt  time.Duration // time of the last forecast; zero before the first one
	waits       bool          // the answer to the last forecast
	hasReserved bool          // capacity was reserved in this wait
}

// startRound drops the forecasts of the previous scheduling round.
func (l *locality) startRound() {
	l.runnersByRack, l.plans = nil, nil
	l.wanted, l.wantedBefore = nil, l.wanted
}

// markWanted records that a task waits for the rack.
func (l *locality) markWanted(key rackKey) {
	if l.wanted == nil {
		l.wanted = map[rackKey]struct{}{}
	}
	l.wanted[key] = struct{}{}
}

// isWanted reports whether tasks wait for the runner's rack.
func (l *locality) isWanted(r *runner) bool {
	if l.wanted == nil && l.wantedBefore == nil {
		return false
	}
	key := rackKey{r.Service, r.Rack}
	_, now := l.wanted[key]
	_, before := l.wantedBefore[key]
	return now || before
}

// mayAwait reports whether tasks may wait for the rack.
func (l *locality) mayAwait(key rackKey, now time.Duration) bool {
	return now >= l.waitsSuspendedUntil[key]
}

// suspendWaits ends the waits for a rack for waitSuspension, unless the rack has had a place for
// another task since the given time: then only the order of the queue has changed.
func (l *locality) suspendWaits(key rackKey, since, now time.Duration) {
	if l.lastPlaceAt[key] >= since {
		return
	}
	if l.waitsSuspendedUntil == nil {
		l.waitsSuspendedUntil = map[rackKey]time.Duration{}
	}
	for other, until := range l.waitsSuspendedUntil {
		if now >= until {
			delete(l.waitsSuspendedUntil, other)
		}
	}
	l.waitsSuspendedUntil[key] = now + waitSuspension
}

// recordNearPlace records that a task gets a place on the rack of its data.
func (l *locality) recordNearPlace(key rackKey, now time.Duration) {
	if l.lastPlaceAt == nil {
		l.lastPlaceAt = map[rackKey]time.Duration{}
	}
	l.lastPlaceAt[key] = now
}

// awaitsNearPlace reports whether the step waits although it could have started in far places.
func (s *openStep) awaitsNearPlace(now time.Duration) bool {
	if s.gangWait.waits && now < s.gangWait.deadline {
		return true
	}
	for _, wait := range s.nearWaits {
		if now < wait.deadline {
			return true
		}
	}
	return false
}

// mayAwaitNearPlace reports whether the step's tasks may wait for a place on the rack of their
// data. Long-running tasks have no run time that a near place could shorten, and best-effort
// tasks depend on processors that others leave idle, which the forecast does not tell.
func (c *Core) mayAwaitNearPlace(s *openStep) bool {
	return s.step.DataRack != "" && c.limits.RemoteDataFactor > 1 && !s.step.LongRunning && !s.step.BestEffort
}

// nearSearch is the search for places for the tasks of one step in one scheduling round.
type nearSearch struct {
	core *Core
	step *openStep
	now  time.Duration
	key  rackKey
	// allFar is set once a task goes far because of the forecast. Places for later tasks come no
	// earlier.
	allFar bool
}

// startNearData does what startTasks does for a step whose data is on a rack. A task for which
// there is only a far place may wait for a near one. It reports whether there was a place for
// each task, near or far.
func (c *Core) startNearData(s *openStep, tasks []int, now time.Duration) bool {
	search := nearSearch{core: c, step: s, now: now, key: rackKey{s.job.queue.Service, s.step.DataRack}}
	for _, index := range slices.Clone(tasks) { // startTask removes the task from the pending ones
		s.isLastAttempt = s.job.queue.MaxAttempts > 1 && s.job.Failures(s.taskID(index)) >= s.job.queue.MaxAttempts-1
		r := search.pickNear()
		if r == nil {
			if search.hasFarPlace() && search.waits(index) {
				continue
			}
			r = search.pickAny()
		}
		if r == nil {
			c.logNoRunner(s, now)
			c.requestAdvice(s, now)
			return false
		}
		search.recordPlace(index, r)
		c.startTask(s, index, c.nextRunNumber(s, index), r, now)
		s.starved = false
	}
	return true
}

// pickNear returns the best runner on the rack, or nil if none can take the next task there for
// less than a far place costs.
func (search *nearSearch) pickNear() *runner {
	c, s := search.core, search.step
	since := c.failedSearches.scanSince(s, search.now)
	near := runnerSearch{core: c, step: s, now: search.now, maxCompared: maxComparedRunners}
	for _, r := range c.locality.racks(c)[search.key] {
		if r.lastChange > since && !near.consider(r) {
			break
		}
	}
	if near.best == nil || near.bestCost >= c.limits.RemoteDataFactor {
		return nil
	}
	return near.best
}

// pickAny returns the best runner for the next task, or nil if there is none.
func (search *nearSearch) pickAny() *runner {
	c, s := search.core, search.step
	since := c.failedSearches.scanSince(s, search.now)
	r := c.pickRunner(s, search.now, nil, since)
	if r == nil {
		c.failedSearches.record(s, since, c.changes.last, search.now)
	}
	return r
}

// hasFarPlace reports whether a far runner is the best one for the next task. A far place that was
// found before is still one if the runner can take the task; only a start needs the best one.
func (search *nearSearch) hasFarPlace() bool {
	c, s := search.core, search.step
	if s.farPlace != nil && c.runners[s.farPlace.ID] == s.farPlace && c.isEligible(s, s.farPlace, search.now) {
		return true
	}
	s.farPlace = nil
	if r := search.pickAny(); r != nil && c.isFarFromData(s.step.DataRack, r) {
		s.farPlace = r
	}
	return s.farPlace != nil
}

// waits decides whether a task that could start in a far place waits for a near one.
func (search *nearSearch) waits(index int) bool {
	c, s, now := search.core, search.step, search.now
	wait, isWaiting := s.nearWaits[index]
	if search.allFar && !isWaiting {
		return false
	}
	q := c.placementQuestion(s, now)
	q.isWaiting, q.waited, q.remaining = isWaiting, now-wait.since, wait.deadline-now
	q.mayAwaitRack = c.locality.mayAwait(search.key, now)
	plan := c.locality.plan(c, search.key, now)
	var place, releases int
	q.near, place, releases = plan.place(s.step.Reserved(), s.acceptsPlan())
	q.ahead = plan.ahead
	answer := c.locality.decide(q)
	if answer.isOvertaken {
		c.locality.suspendWaits(search.key, wait.since, now)
	}
	if !answer.wait {
		search.allFar = true
		c.logPlacement(s, search.key, q, answer, now)
		return false
	}
	if q.near.isKnown {
		plan.runners[place].take(s.step.Reserved(), q.near, releases, q.estimate)
		plan.ahead++
	}
	c.locality.markWanted(search.key)
	if !isWaiting {
		c.counters("near_waits", 1)
		c.logPlacement(s, search.key, q, answer, now)
		if s.nearWaits == nil {
			s.nearWaits = map[int]nearWait{}
		}
		s.nearWaits[index] = nearWait{now, now + answer.deadline}
	}
	return true
}

// recordPlace counts how the wait of a task that starts now has ended.
func (search *nearSearch) recordPlace(index int, r *runner) {
	c, s := search.core, search.step
	isFar := c.isFarFromData(s.step.DataRack, r)
	if isFar {
		c.counters("far_starts", 1)
	} else {
		c.locality.recordNearPlace(search.key, search.now)
	}
	if _, waited := s.nearWaits[index]; waited {
		delete(s.nearWaits, index)
		c.countWaitEnd(!isFar)
	}
}

// countWaitEnd counts the end of a wait for a near place.
func (c *Core) countWaitEnd(paid bool) {
	if paid {
		c.counters("near_waits_paid", 1)
	} else {
		c.counters("near_waits_given_up", 1)
	}
}

// acceptsPlan returns the condition that a runner has to meet for the step's tasks beside free
// capacity, or nil if there is none.
func (s *openStep) acceptsPlan() func(*runnerPlan) bool {
	if s.step.RequiredLabel == "" && s.step.MaxPerRunner == 0 {
		return nil
	}
	return func(p *runnerPlan) bool {
		return (s.step.RequiredLabel == "" || slices.Contains(p.runner.Labels, s.step.RequiredLabel)) &&
			(s.step.MaxPerRunner == 0 || s.runsByRunner[p.runner]+p.taken < s.step.MaxPerRunner)
	}
}

// placementQuestion returns what the choice between near and far depends on apart from the rack.
func (c *Core) placementQuestion(s *openStep, now time.Duration) placementQuestion {
	res := c.serviceReservations.forService(s.job.queue.Service)
	return placementQuestion{estimate: s.job.taskEstimates[s.index], factor: c.limits.RemoteDataFactor, slack: s.slack(now + c.storeOffset),
		freeShare: res.freeMilli / max(1, res.totalMilli)}
}

// logPlacement logs a choice between near and far, if a line is due.
func (c *Core) logPlacement(s *openStep, key rackKey, q placementQuestion, answer placementAnswer, now time.Duration) {
	if now < c.locality.nextLogAt {
		return
	}
	c.locality.nextLogAt = now + placementLogInterval
	c.log.WithFields(logrus.Fields{"job": s.job.ID, "step": s.index, "rack": key.rack, "wait": answer.wait, "reason": answer.reason,
		"place_known": q.near.isKnown, "place_ms": q.near.in.Milliseconds(), "deviation_ms": q.near.deviation.Milliseconds(),
		"lost_ms": q.lostTime().Milliseconds(), "ahead": q.ahead, "slack_ms": q.slack.Milliseconds(), "free_percent": int(100 * q.freeShare),
		"waited_ms": q.waited.Milliseconds(), "deadline_ms": answer.deadline.Milliseconds()}).Info("near placement weighed")
}

// mayGangAwaitRack reports whether the gang may wait for a rack with room for all members.
func (c *Core) mayGangAwaitRack(s *openStep) bool {
	return s.step.SameRack && c.limits.RemoteDataFactor > 1 && !s.step.LongRunning && !s.step.BestEffort
}

// gangWaitsForRack decides whether a gang that could start across racks waits for one rack. The
// answer holds for gangForecastInterval, or until the deadline of the wait.
func (c *Core) gangWaitsForRack(s *openStep, now time.Duration) bool {
	w := &s.gangWait
	if w.waits && now < w.deadline && now-w.forecastAt < gangForecastInterval {
		return true
	}
	q := c.placementQuestion(s, now)
	q.isWaiting, q.waited, q.remaining = w.waits, now-w.since, w.deadline-now
	key, forecast, members := c.bestGangRack(s, now)
	q.near, q.mayAwaitRack = forecast, true
	answer := c.locality.decide(q)
	if answer.isOvertaken {
		c.locality.suspendWaits(w.rack, w.since, now)
	}
	if answer.wait != w.waits || !answer.wait {
		c.logPlacement(s, key, q, answer, now)
	}
	if !answer.wait {
		c.counters("far_starts", int64(s.step.Count))
		if w.waits {
			c.countWaitEnd(false)
		}
		*w = gangWait{}
		return false
	}
	if !w.waits {
		c.counters("near_waits", 1)
		w.nearWait = nearWait{now, now + answer.deadline}
	}
	w.waits, w.rack, w.forecastAt = true, key, now
	c.reserveRackOnce(s, forecast, members, now)
	return true
}

// bestGangRack returns the rack that is expected to be the first with room for all members, and
// the runners of the members there.
func (c *Core) bestGangRack(s *openStep, now time.Duration) (best rackKey, forecast placeForecast, members []*runner) {
	for _, rack := range c.racksByFreeCapacity() {
		key := rackKey{s.job.queue.Service, rack}
		if !c.locality.mayAwait(key, now) {
			continue
		}
		p := c.locality.plan(c, key, now).clone()
		p.addReservationsOf(s)
		found, chosen := p.placeGroup(s.step.Count, s.step.Reserved(), s.acceptsPlan())
		if found.isKnown && (!forecast.isKnown || found.in < forecast.in) {
			best, forecast, members = key, found, chosen
		}
	}
	return best, forecast, members
}

// reserveRackOnce reserves the expected places of a gang's members if all of them are expected
// within reservationTime. Without that, small work would take each place as it becomes free. A gang
// reserves once in a wait, so that the capacity is kept for reservationTime at most.
func (c *Core) reserveRackOnce(s *openStep, forecast placeForecast, members []*runner, now time.Duration) {
	if s.gangWait.hasReserved || forecast.in+forecast.deviation > reservationTime {
		return
	}
	s.gangWait.hasReserved = true
	for _, r := range members {
		c.reserveCapacity(s, r, now)
	}
}

// recordGangOnRack counts the end of a gang's wait that ends on one rack.
func (c *Core) recordGangOnRack(s *openStep) {
	if s.gangWait.waits {
		c.countWaitEnd(true)
	}
	s.gangWait = gangWait{}
}
