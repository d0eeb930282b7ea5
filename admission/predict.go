package admission

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/structs"
)

const (
	// predictedQuantile is the quantile of the measured service times that is
	// used as the predicted service time. The mean would admit half of the
	// requests that cannot finish.
	predictedQuantile = 0.9
	// samplesPerKind and sampleMaxAge bound the number and the age of the
	// measurements that a prediction uses. A kind without recent measurements
	// is admitted, so that it is measured again.
	samplesPerKind = 128
	sampleMaxAge   = 10 * time.Second
	// maxKinds bounds the number of kinds for which service times are kept.
	maxKinds = 256
	// recomputeEvery is the number of new measurements after which the
	// statistics of a kind are computed again. Sorting at each request would
	// cost more than it gains.
	recomputeEvery = 8
	// minRetryAfter keeps callers that were refused from retrying at once.
	minRetryAfter = 20 * time.Millisecond
)

// checkDeadline refuses a request if the sum of its expected wait and its
// predicted service time exceeds the time left until its deadline.
func (q *Queue[S]) checkDeadline(r Request) error {
	timeLeft := r.Deadline.Sub(q.clock.Now())
	if timeLeft <= 0 {
		return &RefusalError{Reason: structs.ReasonDeadlineExceeded, Detail: "the deadline passed before the request was queued"}
	}
	serviceTime, known := q.serviceTimes.predictedTime(r.Kind)
	if !known || q.isProbe(r) {
		serviceTime = 0
	}
	wait := q.expectedWait(r)
	if wait+serviceTime <= timeLeft {
		return nil
	}
	refusal := q.newRefusal(structs.ReasonDeadlineUnreachable, "expected wait %v and service time %v exceed the remaining %v", wait, serviceTime, timeLeft)
	return refusal
}

// isProbe reports whether no request of the same kind holds a slot and no
// request waits. Such a request is admitted whatever the measurements say: if
// every request of a kind were refused, its service time would not be measured
// again.
func (q *Queue[S]) isProbe(r Request) bool {
	return q.grantedByKind[r.Kind] == 0 && q.waiting.len() == 0
}

// expectedWait returns the time until all requests that are served before this
// one have been given slots. It is zero while slots are free.
func (q *Queue[S]) expectedWait(r Request) time.Duration {
	if q.waiting.len() == 0 && q.grantedTotal() < q.slots.Size() {
		return 0
	}
	return q.drainTime(q.waiting.countAhead(r.Class, r.Caller) + 1)
}

// drainTime returns the time to serve depth requests: the mean service time
// times depth, divided by the number of slots, and at least minRetryAfter.
func (q *Queue[S]) drainTime(depth int) time.Duration {
	mean, known := q.serviceTimes.mean()
	if !known {
		return minRetryAfter
	}
	d := time.Duration(float64(mean) * float64(depth) / float64(max(q.slots.Size(), 1)))
	return max(d, minRetryAfter)
}

// grantedTotal returns the number of slots in use.
func (q *Queue[S]) grantedTotal() int {
	total := 0
	for _, granted := range q.grantedByKind {
		total += granted
	}
	return total
}

// serviceTimes holds the recent service times of each kind of request.
type serviceTimes struct {
	clock clockwork.Clock
	kinds map[string]*kindTimes
}

// kindTimes holds the recent service times of one kind in a ring buffer, and
// the statistics that were computed from them.
type kindTimes struct {
	observedAt   [samplesPerKind]time.Time
	durations    [samplesPerKind]time.Duration
	totalSamples int // number of all measurements so far
	newSamples   int // measurements since the statistics were computed
	computedAt   time.Time
	quantileTime time.Duration
	meanTime     time.Duration
	usedSamples  int // number of measurements that the statistics cover
}

func newServiceTimes(clock clockwork.Clock) *serviceTimes {
	return &serviceTimes{clock: clock, kinds: map[string]*kindTimes{}}
}

// observe records a measured service time. It ignores a new kind if maxKinds
// kinds are recorded already.
func (s *serviceTimes) observe(kind string, took time.Duration) {
	k := s.kinds[kind]
	if k == nil {
		if len(s.kinds) >= maxKinds {
			return
		}
		k = &kindTimes{}
		s.kinds[kind] = k
	}
	i := k.totalSamples % samplesPerKind
	k.observedAt[i], k.durations[i] = s.clock.Now(), took
	k.totalSamples++
	k.newSamples++
}

// predictedTime returns the predicted service time of a kind, or false if the
// kind has no recent measurements.
func (s *serviceTimes) predictedTime(kind string) (time.Duration, bool) {
	k := s.kinds[kind]
	if k == nil {
		return 0, false
	}
	k.refreshIfStale(s.clock.Now())
	return k.quantileTime, k.usedSamples > 0
}

// mean returns the mean service time over all kinds, weighted by their numbers
// of measurements, or false if there are none.
func (s *serviceTimes) mean() (time.Duration, bool) {
	var sum time.Duration
	samples := 0
	now := s.clock.Now()
	for _, k := range s.kinds {
		k.refreshIfStale(now)
		sum += k.meanTime * time.Duration(k.usedSamples)
		samples += k.usedSamples
	}
	if samples == 0 {
		return 0, false
	}
	return sum / time.Duration(samples), true
}

// refreshIfStale computes the statistics again if there are enough new
// measurements or if the last computation is at least
// sampleMaxAge/recomputeEvery old.
func (k *kindTimes) refreshIfStale(now time.Time) {
	if k.newSamples < min(k.totalSamples, recomputeEvery) && now.Sub(k.computedAt) < sampleMaxAge/recomputeEvery {
		return
	}
	k.newSamples, k.computedAt = 0, now
	recent := make([]time.Duration, 0, samplesPerKind)
	var sum time.Duration
	for i := range min(k.totalSamples, samplesPerKind) {
		if now.Sub(k.observedAt[i]) < sampleMaxAge {
			recent = append(recent, k.durations[i])
			sum += k.durations[i]
		}
	}
	k.usedSamples, k.quantileTime, k.meanTime = len(recent), 0, 0
	if k.usedSamples == 0 {
		return
	}
	slices.Sort(recent)
	k.quantileTime = recent[min(int(predictedQuantile*float64(k.usedSamples)), k.usedSamples-1)]
	k.meanTime = sum / time.Duration(k.usedSamples)
}
