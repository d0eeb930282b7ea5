package admission

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/structs"
)

const (
	// predictedQuantile of the measured service times is taken as a request's
	// service time. A mean would admit half of the requests that cannot finish.
	predictedQuantile = 0.9
	// samplesPerKind and sampleMaxAge bound the measurements that count. A kind
	// without recent ones is admitted, so that it is measured again.
	samplesPerKind = 128
	sampleMaxAge   = 10 * time.Second
	// maxKinds bounds the kinds that are measured.
	maxKinds = 256
	// recomputeEvery is the number of measurements after which a kind's figures
	// are computed again; sorting at each request would cost more than it gains.
	recomputeEvery = 8
	// minRetryAfter keeps refused callers from returning at once.
	minRetryAfter = 20 * time.Millisecond
)

// predict refuses a request whose expected wait and service time exceed the
// time that it has left.
func (q *Queue[S]) predict(w Waiter) error {
	left := w.Deadline.Sub(q.clock.Now())
	if left <= 0 {
		return &Refused{Reason: structs.ReasonDeadlineExceeded, Detail: "the deadline passed before the request was queued"}
	}
	service, known := q.times.quantile(w.Kind)
	if !known || q.isProbe(w) {
		service = 0
	}
	wait := q.expectedWait(w)
	if wait+service <= left {
		return nil
	}
	e := q.refused(structs.ReasonDeadlineUnreachable, "expected wait %v and service time %v exceed the remaining %v", wait, service, left)
	return e
}

// isProbe reports whether the request is the only one of its kind, with
// nothing waiting. It is admitted whatever the measurements say: if every
// request of a kind were refused, its service time would not be measured.
func (q *Queue[S]) isProbe(w Waiter) bool {
	return q.granted[w.Kind] == 0 && q.waiting.len() == 0
}

// expectedWait is the time until the requests that are served before this one
// have been given slots. It is zero while slots are free.
func (q *Queue[S]) expectedWait(w Waiter) time.Duration {
	if q.waiting.len() == 0 && q.held() < q.slots.Size() {
		return 0
	}
	return q.drainTime(q.waiting.ahead(w.Class, w.Caller) + 1)
}

// drainTime is queue depth over service rate.
func (q *Queue[S]) drainTime(depth int) time.Duration {
	mean, known := q.times.mean()
	if !known {
		return minRetryAfter
	}
	d := time.Duration(float64(mean) * float64(depth) / float64(max(q.slots.Size(), 1)))
	return max(d, minRetryAfter)
}

func (q *Queue[S]) held() int {
	n := 0
	for _, held := range q.granted {
		n += held
	}
	return n
}

// serviceTimes is the recent service times of each kind.
type serviceTimes struct {
	clock clockwork.Clock
	kinds map[string]*kindTimes
}

type kindTimes struct {
	at       [samplesPerKind]time.Time
	took     [samplesPerKind]time.Duration
	count    int
	fresh    int // measurements since the figures were computed
	computed time.Time
	quantile time.Duration
	mean     time.Duration
	used     int // measurements behind the figures
}

func newServiceTimes(clock clockwork.Clock) *serviceTimes {
	return &serviceTimes{clock: clock, kinds: map[string]*kindTimes{}}
}

func (s *serviceTimes) observe(kind string, took time.Duration) {
	k := s.kinds[kind]
	if k == nil {
		if len(s.kinds) >= maxKinds {
			return
		}
		k = &kindTimes{}
		s.kinds[kind] = k
	}
	i := k.count % samplesPerKind
	k.at[i], k.took[i] = s.clock.Now(), took
	k.count++
	k.fresh++
}

// quantile returns the predicted service time of a kind, if it was measured.
func (s *serviceTimes) quantile(kind string) (time.Duration, bool) {
	k := s.kinds[kind]
	if k == nil {
		return 0, false
	}
	k.refresh(s.clock.Now())
	return k.quantile, k.used > 0
}

// mean returns the mean service time over all kinds, weighted by their counts.
func (s *serviceTimes) mean() (time.Duration, bool) {
	var sum time.Duration
	n := 0
	now := s.clock.Now()
	for _, k := range s.kinds {
		k.refresh(now)
		sum += k.mean * time.Duration(k.used)
		n += k.used
	}
	if n == 0 {
		return 0, false
	}
	return sum / time.Duration(n), true
}

// refresh computes the figures again if enough changed or they are old.
func (k *kindTimes) refresh(now time.Time) {
	if k.fresh < min(k.count, recomputeEvery) && now.Sub(k.computed) < sampleMaxAge/recomputeEvery {
		return
	}
	k.fresh, k.computed = 0, now
	recent := make([]time.Duration, 0, samplesPerKind)
	var sum time.Duration
	for i := range min(k.count, samplesPerKind) {
		if now.Sub(k.at[i]) < sampleMaxAge {
			recent = append(recent, k.took[i])
			sum += k.took[i]
		}
	}
	k.used, k.quantile, k.mean = len(recent), 0, 0
	if k.used == 0 {
		return
	}
	slices.Sort(recent)
	k.quantile = recent[min(int(predictedQuantile*float64(k.used)), k.used-1)]
	k.mean = sum / time.Duration(k.used)
}
