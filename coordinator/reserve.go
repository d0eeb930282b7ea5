package coordinator

import (
	"math"
	"time"
)

// reserveMemory is the time constant in which a peak of plain work is
// forgotten.
const reserveMemory = 12 * time.Second

// reserve keeps room in one service for the plain work that comes and goes, when
// new long-running work would take it for good.
type reserve struct {
	peak float64 // thousandths of a processor, recent most of plain work
	plan float64 // what plain work runs or waits now
	free float64 // what nothing holds
	all  float64
}

// mostFree is the free share above which no job may be left with nothing
// running.
const mostFree = 0.4

func (r *reserve) mostlyFree() bool { return r.free > mostFree*r.all }

// reserves are those of each service.
type reserves struct {
	services map[string]*reserve
	updated  time.Duration
}

func (s *reserves) of(service string) *reserve {
	r := s.services[service]
	if r == nil {
		r = &reserve{}
		s.services[service] = r
	}
	return r
}

// updateReserves follows the peaks of plain work.
func (c *Core) updateReserves(now time.Duration) {
	decay := math.Exp(-float64(now-c.reserves.updated) / float64(reserveMemory))
	c.reserves.updated = now
	for _, r := range c.reserves.services {
		r.plan, r.free, r.all = 0, 0, 0
	}
	for _, x := range c.runners {
		if !x.usable() {
			continue
		}
		r := c.reserves.of(x.Service)
		r.plan += float64(x.firm)
		r.all += float64(x.Capacity.CPUMilli)
		r.free += float64(max(0, x.Capacity.CPUMilli-x.held.CPUMilli))
	}
	for _, w := range c.waiting {
		if !w.step.LongRunning && !w.step.BestEffort {
			c.reserves.of(w.job.queue.Service).plan += float64(len(w.pending)) * float64(w.step.Resources.CPUMilli)
		}
	}
	for _, r := range c.reserves.services {
		r.peak = max(r.plan, r.peak*decay)
	}
}

// allow reports whether a new long-running step leaves the room that plain work
// needed lately, and counts the step's tasks as placed.
func (s *reserves) allow(w *work) bool {
	r := s.of(w.job.queue.Service)
	need := float64(len(w.pending)) * float64(w.step.Reserved().CPUMilli)
	if r.free-need < r.peak-r.plan {
		return false
	}
	r.free -= need
	return true
}
