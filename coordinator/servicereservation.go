package coordinator

import (
	"math"
	"time"
)

// peakDecayTime is the time constant with which a past peak of the demand of plain work
// decays. Plain work consists of plain tasks, which are neither serving nor best-effort.
const peakDecayTime = 12 * time.Second

// serviceReservation is a capacity reservation in one service for plain work, whose demand
// rises and falls, and for displaced long-running tasks. New long-running work, which would
// keep the capacity for good, must leave it free.
// Values are in thousandths of a processor.
type serviceReservation struct {
	peakMilli   float64 // decaying peak of demandMilli
	demandMilli float64 // asked for by plain tasks that run or wait
	// displacedMilli is asked for by long-running tasks of begun jobs that wait, or whose
	// runner is not usable, so that they may soon have to run elsewhere.
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
			res.displacedMilli += float64(r.longRunningMilli())
			continue
		}
		res.demandMilli += float64(r.plainCPUMilli)
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
			res.displacedMilli += float64(len(s.pending)) * float64(s.step.Reserved().CPUMilli)
		case !s.step.LongRunning && !s.step.BestEffort:
			res.demandMilli += float64(len(s.pending)) * float64(s.step.Resources.CPUMilli)
		}
	}
	for _, res := range c.serviceReservations.services {
		res.peakMilli = max(res.demandMilli, res.peakMilli*decay)
	}
}

// longRunningMilli returns the processors, in thousandths, that long-running tasks hold on the
// runner.
func (r *runner) longRunningMilli() int64 {
	var sum int64
	for run := range r.runs {
		if run.step.LongRunning {
			sum += run.step.Reserved().CPUMilli
		}
	}
	return sum
}

// tryReserveForLongRunning reports whether a new long-running step leaves free the capacity
// that plain work needed recently and that displaced tasks need. If so, it counts the step's
// tasks as placed.
func (reservations *serviceReservations) tryReserveForLongRunning(s *openStep) bool {
	res := reservations.forService(s.job.queue.Service)
	needed := float64(len(s.pending)) * float64(s.step.Reserved().CPUMilli)
	if res.freeMilli-needed < res.peakMilli-res.demandMilli+res.displacedMilli {
		return false
	}
	res.freeMilli -= needed
	return true
}
