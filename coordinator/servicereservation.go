package coordinator

import (
	"math"
	"slices"
	"time"
)

// peakDecayTime is the time constant with which a past peak of the demand of plain work
// decays. Plain work consists of plain tasks, which are neither serving nor best-effort.
const peakDecayTime = 12 * time.Second

// Bounds of the time for which the reservation can keep new long-running work waiting.
const (
	// maxIdleReservedWait is how long a new long-running step waits for capacity that is kept for
	// plain work or displaced tasks while twice the capacity of all its tasks is free and under half
	// of the service's capacity is in use. Such a job may have nothing running for 3 s; the
	// difference is left for calls to runners, and for rounds and reports that are late.
	maxIdleReservedWait = time.Second
	// maxReservedWait is how long a new long-running step waits for capacity that is kept for plain
	// work while twice the capacity of one of its tasks is free. If less is free, but enough for one
	// task, the step waits for peakDecayTime.
	maxReservedWait = 2 * time.Second
	// maxDisplacedTime is how long capacity is kept for a displaced task: from when its runner
	// became unusable, and again from when the task began to wait. It covers the longest lease
	// on a lost runner, 10 s, and the time until the loss is noticed.
	maxDisplacedTime = 12 * time.Second
)

// serviceReservation is a capacity reservation in one service for plain work, whose demand
// rises and falls, and for displaced long-running tasks. New long-running work, which would
// keep the capacity for good, must leave it free.
// Values are in thousandths of a processor.
type serviceReservation struct {
	peakMilli float64 // decaying peak of demandMilli
	// demandMilli is asked for by plain tasks that run or wait, at most totalMilli: a backlog
	// can use no more than there is, and must not raise the peak beyond that.
	demandMilli float64
	// displacedMilli is asked for by long-running tasks of begun jobs that wait, or whose
	// runner is not usable, so that they may soon have to run elsewhere. Each counts for
	// maxDisplacedTime at most, and only if a usable runner is large enough for it.
	displacedMilli float64
	freeMilli      float64 // not held by any run
	totalMilli     float64
	returningMilli float64 // of freeMilli, that of runners on which starts are limited, see domainReturn
}

// largeFreeShare is the free share of a service's capacity, from 0 to 1, above which a waiting
// job counts as starved if none of its tasks has run for starvationTime.
const largeFreeShare = 0.4

func (r *serviceReservation) hasMuchFree() bool {
	return r.freeMilli-r.returningMilli > largeFreeShare*r.totalMilli
}

// serviceReservations holds the reservation of each service.
type serviceReservations struct {
	services  map[string]*serviceReservation
	updatedAt time.Duration
}

func (reservations *serviceReservations) forService(service string) *serviceReservation {
	res := reservations.services[service]
	if res == nil {
		res = &serviceReservation{}
		reservations.services[service] = res
	}
	return res
}

// keptForPlainMilli returns the capacity that new long-running work has to leave free for plain
// work.
func (r *serviceReservation) keptForPlainMilli() float64 {
	return min(r.peakMilli, r.totalMilli) - r.demandMilli
}

// updateServiceReservations updates the demand, the peaks and the free capacity.
func (c *Core) updateServiceReservations(now time.Duration) {
	decay := math.Exp(-float64(now-c.serviceReservations.updatedAt) / float64(peakDecayTime))
	c.serviceReservations.updatedAt = now
	for _, res := range c.serviceReservations.services {
		res.demandMilli, res.displacedMilli, res.freeMilli, res.totalMilli, res.returningMilli = 0, 0, 0, 0, 0
	}
	for _, r := range c.runners {
		res := c.serviceReservations.forService(r.Service)
		if !r.isUsable() {
			res.displacedMilli += c.displacedMilliOf(r, now)
			continue
		}
		r.unusableSince = 0
		res.demandMilli += float64(r.plainCPUMilli - r.plainLongRunningCPUMilli)
		res.totalMilli += float64(r.Capacity.CPUMilli)
		free := float64(max(0, r.Capacity.CPUMilli-r.held.CPUMilli))
		res.freeMilli += free
		if r.domainReturn.isLimited(now) {
			res.returningMilli += free
		}
	}
	for _, s := range c.waitingSteps {
		res := c.serviceReservations.forService(s.job.queue.Service)
		switch {
		case s.step.LongRunning && s.job.started:
			res.displacedMilli += float64(c.countDisplaced(s, now)) * float64(s.step.Reserved().CPUMilli)
		case !s.step.LongRunning && !s.step.BestEffort:
			res.demandMilli += float64(len(s.pending)) * float64(s.step.Resources.CPUMilli)
		}
	}
	for _, res := range c.serviceReservations.services {
		res.demandMilli = min(res.demandMilli, res.totalMilli)
		res.peakMilli = max(res.demandMilli, res.peakMilli*decay)
	}
}

// displacedMilliOf returns the processors, in thousandths, that have to be kept elsewhere for the
// long-running tasks on a runner that is not usable.
func (c *Core) displacedMilliOf(r *runner, now time.Duration) float64 {
	if r.unusableSince == 0 {
		r.unusableSince = now
	}
	if now-r.unusableSince >= maxDisplacedTime {
		return 0
	}
	var sum int64
	for run := range r.runs {
		if run.step.LongRunning && !run.job.State.IsTerminal() && (run.openStep == nil || c.hasLargeEnoughRunner(run.openStep, now)) {
			sum += run.step.Reserved().CPUMilli
		}
	}
	return float64(sum)
}

// countDisplaced returns the number of pending tasks of a begun long-running step for which
// capacity has to be kept.
func (c *Core) countDisplaced(s *openStep, now time.Duration) int {
	since := make(map[int]time.Duration, len(s.pending))
	n := 0
	for _, index := range s.pending {
		from, known := s.displacedSince[index]
		if !known {
			from = now
		}
		since[index] = from
		if now-from < maxDisplacedTime {
			n++
		}
	}
	s.displacedSince = since
	if n > 0 && !c.hasLargeEnoughRunner(s, now) {
		return 0
	}
	return n
}

// hasLargeEnoughRunner reports whether a usable runner could hold a task of the step if nothing
// else ran there. The result is kept for fullScanInterval.
func (c *Core) hasLargeEnoughRunner(s *openStep, now time.Duration) bool {
	if s.fitCheckedAt > 0 && now-s.fitCheckedAt < fullScanInterval {
		return s.fitsSomewhere
	}
	s.fitCheckedAt = now
	s.fitsSomewhere = slices.ContainsFunc(c.sortedRunners(), func(r *runner) bool {
		return r.Service == s.job.queue.Service && r.isUsable() && s.step.Reserved().Fits(r.Capacity) &&
			(s.step.RequiredLabel == "" || slices.Contains(r.Labels, s.step.RequiredLabel))
	})
	return s.fitsSomewhere
}

// tryReserveForLongRunning returns how many tasks of a new long-running step may be started: all
// pending ones if they leave free the capacity that plain work needed recently and that displaced
// tasks need, or after maxIdleReservedWait, else none. After the step has waited for long enough
// beside less free capacity, it has to leave free only what displaced tasks need, and as many of its
// tasks as do so may be started. It counts them as placed.
func (reservations *serviceReservations) tryReserveForLongRunning(s *openStep, now time.Duration) int {
	res := reservations.forService(s.job.queue.Service)
	taskMilli := float64(s.step.Reserved().CPUMilli)
	n := len(s.pending)
	hasWaitedIdle := s.hasWaitedBesideIdleCapacity(res, now)
	if !hasWaitedIdle && res.freeMilli-float64(n)*taskMilli < res.keptForPlainMilli()+res.displacedMilli {
		if !s.hasWaitedForReservation(res.freeMilli, taskMilli, now) || res.freeMilli-taskMilli < res.displacedMilli {
			return 0
		}
		for res.freeMilli-float64(n)*taskMilli < res.displacedMilli {
			n--
		}
		if s.step.Gang && n < s.step.Count {
			return 0
		}
	}
	s.reservationWait = reservationWait{}
	res.freeMilli -= float64(n) * taskMilli
	return n
}

// reservationWait holds since when a new long-running step has waited for capacity that is kept for
// others, beside free capacity for one and for two of its tasks, and beside a service that is idle but
// for less than half; zero if it has not.
type reservationWait struct{ besideOne, besideTwo, besideIdle time.Duration }

// hasWaitedBesideIdleCapacity reports whether the step has waited for maxIdleReservedWait. It is to be
// called in each round in which the step waits.
func (s *openStep) hasWaitedBesideIdleCapacity(res *serviceReservation, now time.Duration) bool {
	allMilli := float64(s.step.Count) * float64(s.step.Reserved().CPUMilli)
	isIdle := res.freeMilli >= 2*allMilli && 2*res.freeMilli > res.totalMilli
	wait := &s.reservationWait
	wait.besideIdle = startOfState(wait.besideIdle, isIdle, now)
	return wait.besideIdle > 0 && now-wait.besideIdle >= maxIdleReservedWait
}

// hasWaitedForReservation reports whether the step has waited for as long as the reservation for
// plain work may keep it waiting. It is to be called in each round in which the step waits.
func (s *openStep) hasWaitedForReservation(freeMilli, taskMilli float64, now time.Duration) bool {
	wait := &s.reservationWait
	wait.besideOne = startOfState(wait.besideOne, freeMilli >= taskMilli, now)
	wait.besideTwo = startOfState(wait.besideTwo, freeMilli >= 2*taskMilli, now)
	return wait.besideOne > 0 && now-wait.besideOne >= peakDecayTime ||
		wait.besideTwo > 0 && now-wait.besideTwo >= maxReservedWait
}

// startOfState returns since when a state has lasted, given since when it had until now: zero if
// it does not hold.
func startOfState(since time.Duration, holds bool, now time.Duration) time.Duration {
	switch {
	case !holds:
		return 0
	case since == 0:
		return now
	}
	return since
}
