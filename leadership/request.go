package leadership

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/rowstore"
)

const (
	// steadyTime is how long a candidate must have read the lease without a failure
	// before it asks for it: one that has just come back from an outage may be away
	// again soon.
	steadyTime = 3 * time.Second
	// minTenure is how long a holder is left alone before it is asked.
	minTenure = 2 * time.Second
	// requestPoll is the pause between reads of the lease while an own request is
	// pending, for at most requestTime: the holder's next renewal, the end of its
	// work and the release.
	requestPoll = 50 * time.Millisecond
	requestTime = 3 * time.Second
)

// ownRequest is what a candidate remembers of its request.
type ownRequest struct {
	epoch uint64        // for which it was stored
	since time.Duration // when the request in the row was first read or written
}

// meantForThis reports whether the lease was released for this candidate.
func (c *Candidate) meantForThis(seen *observed) bool {
	return seen.Released && seen.RequestedBy == c.Holder
}

// wantsLease reports whether this candidate should ask the holder for the lease,
// unless a more capable one does.
func (c *Candidate) wantsLease(seen *observed, now time.Duration) bool {
	held := seen.version != 0 && !seen.Released && seen.Holder != c.Holder
	asked := seen.RequestedBy != "" || seen.request.epoch == seen.Epoch
	return held && !asked && outranks(c.CPUMilli, seen.CPUMilli) && now >= seen.restUntil && seen.settledFor(now, 0)
}

// settledFor reports whether the holder and the reads of the lease have been steady
// long enough for a request, and for an extra time.
func (o *observed) settledFor(now, extra time.Duration) bool {
	return now-o.steady >= steadyTime+extra && now-o.epochSince >= minTenure+extra
}

// mayRequest reports whether this candidate asks the holder for the lease now. A
// more capable one goes first, so that the lease is not handed over twice.
func (c *Candidate) mayRequest(seen *observed) bool {
	now := c.Clock()
	if _, _, free := c.free(seen, now); free || !c.wantsLease(seen, now) {
		return false
	}
	if c.outranked(seen.others, seen.others.knownForEpoch(seen)) {
		return seen.settledFor(now, capacityWait)
	}
	return true
}

// sendRequest adds a request to the holder's record, which stays as it is otherwise. If
// the answer is lost, the next read shows whether it was stored; sending it again for
// the same version does no harm.
func (c *Candidate) sendRequest(ctx context.Context, seen *observed) {
	next := seen.record
	next.RequestedBy, next.RequesterMilli = c.Holder, c.CPUMilli
	log := c.Log.WithFields(logrus.Fields{"epoch": seen.Epoch, "holder": seen.Holder, "holder_milli": seen.CPUMilli, "cpu_milli": c.CPUMilli})
	version, err := c.write(ctx, next, seen.version)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		return // renewed meanwhile; the next read decides
	}
	if err != nil {
		log.WithError(err).Info("lease not requested")
		return
	}
	c.count("lease_requested")
	log.Info("lease requested")
	seen.note(next, version, c.Clock())
	seen.request.epoch = seen.Epoch
}

// pollPause returns the pause before the next read of the lease.
func (c *Candidate) pollPause(seen *observed) time.Duration {
	pending := seen.RequestedBy == c.Holder && !seen.Released && seen.Holder != c.Holder
	if pending && c.Clock()-seen.request.since < requestTime {
		return requestPoll
	}
	return pollEvery
}
