package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"bergamotstile/policy"
	"bergamotstile/structs"
	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

// runner is one process of the service.
type runner struct {
	machine   *machine
	busyUntil []float64 // by slot, seconds
	downUntil time.Duration
	window    window
}

// window collects what the request path measures in one second.
type window struct {
	requests int
	sumMS    float64
}

// requestPath is the queue before the runners: one queue, served in order by
// whichever slot is free first.
type requestPath struct {
	d        deployment
	alone    float64
	runners  []*runner
	random   *rand.Rand
	next     float64 // time of the next arrival, seconds
	latency  *hdrhistogram.Histogram
	answered int
	onTime   int
	refused  int
	waiting  float64 // requests that wait now
}

const serviceTimeSigma = 0.5

func newRequestPath(d deployment, alone float64, runners []*runner, seed int64) *requestPath {
	return &requestPath{
		d: d, alone: alone, runners: runners, random: stream(seed, 6),
		latency: hdrhistogram.New(1, 60_000_000, 3),
	}
}

// serve handles all requests that arrive until the time.
func (q *requestPath) serve(now time.Duration, load float64) {
	until := now.Seconds()
	rate := load * float64(len(q.runners)*q.d.slots) / (q.alone / 1000)
	for q.next < until {
		q.one(q.next, lognormal(q.random, serviceTimeSigma))
		q.next += q.random.ExpFloat64() / rate
	}
	q.account(until)
}

// one serves a request. A request whose wait alone makes it late is refused.
func (q *requestPath) one(at, factor float64) {
	r, slot := q.choose(at)
	if r == nil {
		q.refused++
		return
	}
	begin := max(at, r.busyUntil[slot])
	if (begin-at)*1000+q.alone > q.d.deadlineMS {
		q.refused++
		return
	}
	took := q.alone / 1000 * factor * max(1, r.machine.slowdown)
	r.busyUntil[slot] = begin + took
	r.window.requests++
	r.window.sumMS += took * 1000
	total := begin + took - at
	_ = q.latency.RecordValue(int64(total * 1e6))
	q.answered++
	if total*1000 <= q.d.deadlineMS {
		q.onTime++
	}
}

// choose returns an idle slot of the runner with the most idle slots, else the
// slot that is free first.
func (q *requestPath) choose(at float64) (*runner, int) {
	var best *runner
	bestSlot, most := 0, 0
	var first *runner
	firstSlot, earliest := 0, math.Inf(1)
	offset := q.random.IntN(len(q.runners))
	for i := range q.runners {
		r := q.runners[(i+offset)%len(q.runners)]
		if at < r.downUntil.Seconds() {
			continue
		}
		idle, idleSlot := 0, 0
		for s, busy := range r.busyUntil {
			if busy <= at {
				idle++
				idleSlot = s
			}
			if busy < earliest {
				first, firstSlot, earliest = r, s, busy
			}
		}
		if idle > most {
			best, bestSlot, most = r, idleSlot, idle
		}
	}
	if best != nil {
		return best, bestSlot
	}
	return first, firstSlot
}

// account updates the load on machines from the slots in use.
func (q *requestPath) account(at float64) {
	for _, r := range q.runners {
		r.machine.busy, r.machine.load = 0, 0
	}
	waiting := 0.0
	for _, r := range q.runners {
		busy := 0
		for _, until := range r.busyUntil {
			if until > at {
				busy++
				waiting += max(0, until-at-2*q.alone/1000) / (q.alone / 1000)
			}
		}
		r.machine.busy += float64(busy) * q.d.slotCores
		r.machine.load += float64(busy) / float64(q.d.slots*r.machine.runners)
	}
	q.waiting = waiting
}

// present returns what the request path knows at once.
func (q *requestPath) present() []policy.ServiceSample {
	var list []policy.ServiceSample
	for _, r := range q.runners {
		list = append(list, q.sample(r))
	}
	return list
}

func (q *requestPath) sample(r *runner) policy.ServiceSample {
	return policy.ServiceSample{
		Service: q.d.service, Worker: r.machine.name, Load: r.machine.load,
		Queue: q.waiting / float64(len(q.runners)*q.d.slots),
	}
}

// closeWindow returns the measurements of the last second; they are delivered
// late.
func (q *requestPath) closeWindow() []policy.ServiceSample {
	var list []policy.ServiceSample
	for _, r := range q.runners {
		s := q.sample(r)
		s.Requests = r.window.requests
		if s.Requests > 0 {
			s.MeanMS = r.window.sumMS / float64(s.Requests)
		}
		s.Age = usageLag
		r.window = window{}
		list = append(list, s)
	}
	return list
}

func runnersOn(m *machine, n, slots int) []*runner {
	m.runners = n
	var list []*runner
	for range n {
		list = append(list, &runner{machine: m, busyUntil: make([]float64, slots)})
	}
	return list
}

// offered returns what a machine with n runners offers to batch work.
func offered(d deployment, m structs.Resources, n int) structs.Resources {
	for range n {
		m = m.Sub(d.runner)
	}
	return m
}
