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
	machine        *machine
	slotBusyUntilS []float64     // by slot: virtual time at which it becomes free, in seconds
	downUntil      time.Duration // the runner is down before this time
	window         latencyWindow
}

// latencyWindow sums the service times that one runner has measured since the
// latest report.
type latencyWindow struct {
	requests int
	sumMS    float64
}

// requestPath simulates the requests of the service. They wait in one queue for
// all runners and are served in the order of arrival.
type requestPath struct {
	deployment      deployment
	baseServiceMS   float64
	runners         []*runner
	random          *rand.Rand
	nextArrivalS    float64                 // virtual time of the next arrival, in seconds
	latency         *hdrhistogram.Histogram // from arrival to answer, in microseconds
	answered        int
	onTime          int // answered within the deadline
	refused         int
	waitingRequests float64 // estimated number of waiting requests
}

// serviceTimeSigma is the standard deviation of the logarithm of the service time
// of one request.
const serviceTimeSigma = 0.5

// newRequestPath returns a request path without requests.
func newRequestPath(d deployment, baseServiceMS float64, runners []*runner, seed int64) *requestPath {
	return &requestPath{
		deployment: d, baseServiceMS: baseServiceMS, runners: runners, random: newRandom(seed, 6),
		latency: hdrhistogram.New(1, 60_000_000, 3),
	}
}

// serveUntil handles all requests that arrive before now, at a rate that keeps
// the given part of all slots busy without interference. It then updates the
// load.
func (q *requestPath) serveUntil(now time.Duration, serviceLoad float64) {
	untilS := now.Seconds()
	requestsPerS := serviceLoad * float64(len(q.runners)*q.deployment.slotsPerRunner) / (q.baseServiceMS / 1000)
	for q.nextArrivalS < untilS {
		q.serveRequest(q.nextArrivalS, lognormal(q.random, serviceTimeSigma))
		q.nextArrivalS += q.random.ExpFloat64() / requestsPerS
	}
	q.updateLoad(untilS)
}

// serveRequest serves one request. It refuses the request if all runners are down
// or if the wait plus the mean service time exceeds the deadline.
func (q *requestPath) serveRequest(arrivalS, serviceTimeFactor float64) {
	r, slot := q.chooseSlot(arrivalS)
	if r == nil {
		q.refused++
		return
	}
	startS := max(arrivalS, r.slotBusyUntilS[slot])
	if (startS-arrivalS)*1000+q.baseServiceMS > q.deployment.deadlineMS {
		q.refused++
		return
	}
	serviceS := q.baseServiceMS / 1000 * serviceTimeFactor * max(1, r.machine.serviceSlowdown)
	r.slotBusyUntilS[slot] = startS + serviceS
	r.window.requests++
	r.window.sumMS += serviceS * 1000
	latencyS := startS + serviceS - arrivalS
	_ = q.latency.RecordValue(int64(latencyS * 1e6))
	q.answered++
	if latencyS*1000 <= q.deployment.deadlineMS {
		q.onTime++
	}
}

// chooseSlot returns a slot of a runner that is up: an idle slot of the runner
// with the most idle slots, or the slot that becomes free first if none is idle.
// A random order of the runners decides between equals. The runner is nil if all
// runners are down.
func (q *requestPath) chooseSlot(nowS float64) (*runner, int) {
	var best *runner
	bestSlot, mostIdle := 0, 0
	var soonest *runner
	soonestSlot, soonestFreeS := 0, math.Inf(1)
	offset := q.random.IntN(len(q.runners))
	for i := range q.runners {
		r := q.runners[(i+offset)%len(q.runners)]
		if nowS < r.downUntil.Seconds() {
			continue
		}
		idleSlots, lastIdleSlot := 0, 0
		for s, busyUntilS := range r.slotBusyUntilS {
			if busyUntilS <= nowS {
				idleSlots++
				lastIdleSlot = s
			}
			if busyUntilS < soonestFreeS {
				soonest, soonestSlot, soonestFreeS = r, s, busyUntilS
			}
		}
		if idleSlots > mostIdle {
			best, bestSlot, mostIdle = r, lastIdleSlot, idleSlots
		}
	}
	if best != nil {
		return best, bestSlot
	}
	return soonest, soonestSlot
}

// updateLoad sets the service's load and use of cores on each machine from the
// slots that are busy. It estimates the number of waiting requests: a slot that
// is busy for longer than two mean service times has requests waiting for it, one
// for each further service time.
func (q *requestPath) updateLoad(nowS float64) {
	for _, r := range q.runners {
		r.machine.serviceCores, r.machine.serviceLoad = 0, 0
	}
	waiting := 0.0
	for _, r := range q.runners {
		busySlots := 0
		for _, busyUntilS := range r.slotBusyUntilS {
			if busyUntilS > nowS {
				busySlots++
				waiting += max(0, busyUntilS-nowS-2*q.baseServiceMS/1000) / (q.baseServiceMS / 1000)
			}
		}
		r.machine.serviceCores += float64(busySlots) * q.deployment.coresPerSlot
		r.machine.serviceLoad += float64(busySlots) / float64(q.deployment.slotsPerRunner*r.machine.runnerCount)
	}
	q.waitingRequests = waiting
}

// loadSamples returns the current load of each runner's machine and the length of
// the queue.
func (q *requestPath) loadSamples() []policy.ServiceSample {
	var samples []policy.ServiceSample
	for _, r := range q.runners {
		samples = append(samples, q.loadSample(r))
	}
	return samples
}

// loadSample returns a sample for one runner without measured latencies.
func (q *requestPath) loadSample(r *runner) policy.ServiceSample {
	return policy.ServiceSample{
		Service: q.deployment.service, Worker: r.machine.name, Load: r.machine.serviceLoad,
		Queue: q.waitingRequests / float64(len(q.runners)*q.deployment.slotsPerRunner),
	}
}

// closeWindows returns the measurements of each runner's window and begins new
// windows. The samples have the age that they will have when the policy receives
// them.
func (q *requestPath) closeWindows() []policy.ServiceSample {
	var samples []policy.ServiceSample
	for _, r := range q.runners {
		s := q.loadSample(r)
		s.Requests = r.window.requests
		if s.Requests > 0 {
			s.MeanMS = r.window.sumMS / float64(s.Requests)
		}
		s.Age = usageLag
		r.window = latencyWindow{}
		samples = append(samples, s)
	}
	return samples
}

// newRunners returns idle runners on the machine and sets its number of runners.
func newRunners(m *machine, runnerCount, slots int) []*runner {
	m.runnerCount = runnerCount
	var runners []*runner
	for range runnerCount {
		runners = append(runners, &runner{machine: m, slotBusyUntilS: make([]float64, slots)})
	}
	return runners
}

// remainingCapacity returns the part of a machine's capacity that is not reserved
// for its runners.
func remainingCapacity(d deployment, capacity structs.Resources, runnerCount int) structs.Resources {
	for range runnerCount {
		capacity = capacity.Sub(d.runnerReservation)
	}
	return capacity
}
