package leadership

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/rowstore"
)

const (
	// minSteadyTime is the time for which a candidate must have read the lease without
	// a failure before it requests it. A candidate that has just come back from an
	// outage may become unavailable again soon.
	minSteadyTime = 3 * time.Second
	// minTenure is the time for which a candidate leaves the lease to a new holder
	// before it requests the lease from it. It counts from the candidate's first read of
	// the holder's epoch.
	minTenure = 2 * time.Second
	// fastPollInterval is the pause between reads of the lease while a request of this
	// candidate is pending. It applies for at most maxFastPollTime, in which the holder
	// sends its next renewal, ends its work and releases the lease.
	fastPollInterval = 50 * time.Millisecond
	maxFastPollTime  = 3 * time.Second
)

// requestState holds what a candidate knows about requests for the lease.
type requestState struct {
	epoch uint64        // epoch in which this candidate last stored a request
	since time.Duration // time at which the row's current requester was first read or written
}

// isReleasedForSelf reports whether the lease was released at the request of this
// candidate.
func (c *Candidate) isReleasedForSelf(observed *observedLease) bool {
	return observed.Released && observed.RequestedBy == c.Holder
}

// shouldRequest reports whether this candidate should request the lease from its
// holder if no more capable candidate takes precedence.
func (c *Candidate) shouldRequest(observed *observedLease, now time.Duration) bool {
	heldByOther := observed.version != 0 && !observed.Released && observed.Holder != c.Holder
	requested := observed.RequestedBy != "" || observed.request.epoch == observed.Epoch
	return heldByOther && !requested && outranks(c.CPUMilli, observed.CPUMilli) && now >= observed.backoffUntil && observed.isSteady(now, 0)
}

// isSteady reports whether reads have succeeded for minSteadyTime and the holder's
// epoch has been observed for minTenure, each prolonged by extra.
func (o *observedLease) isSteady(now, extra time.Duration) bool {
	return now-o.steadySince >= minSteadyTime+extra && now-o.epochSince >= minTenure+extra
}

// mayRequest reports whether this candidate may request the lease from its holder now.
// A more capable candidate gets capacityWait to do so first, so that the lease is not
// handed over twice.
func (c *Candidate) mayRequest(observed *observedLease) bool {
	now := c.Clock()
	if _, _, free := c.detectVacancy(observed, now); free || !c.shouldRequest(observed, now) {
		return false
	}
	if c.isOutranked(observed.otherCapacities, observed.otherCapacities.knownForEpoch(observed)) {
		return observed.isSteady(now, capacityWait)
	}
	return true
}

// sendRequest adds a request to the holder's record, which stays unchanged otherwise. If
// the answer is lost, the next read shows whether the request was stored. If it was
// not, it is safe to send it again, because the write is conditional on the version.
func (c *Candidate) sendRequest(ctx context.Context, observed *observedLease) {
	next := observed.record
	next.RequestedBy, next.RequesterMilli = c.Holder, c.CPUMilli
	log := c.Log.WithFields(logrus.Fields{"epoch": observed.Epoch, "holder": observed.Holder, "holder_milli": observed.CPUMilli, "cpu_milli": c.CPUMilli})
	version, err := c.write(ctx, next, observed.version)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		return // the row has changed since it was read, for example by a renewal; the next read decides
	}
	if err != nil {
		log.WithError(err).Info("lease not requested")
		return
	}
	c.count("lease_requested")
	log.Info("lease requested")
	observed.updateRow(next, version, c.Clock())
	observed.request.epoch = observed.Epoch
}

// pollPause returns the pause before the next read of the lease, which is shorter while
// a request of this candidate is pending.
func (c *Candidate) pollPause(observed *observedLease) time.Duration {
	pending := observed.RequestedBy == c.Holder && !observed.Released && observed.Holder != c.Holder
	if pending && c.Clock()-observed.request.since < maxFastPollTime {
		return fastPollInterval
	}
	return pollInterval
}
