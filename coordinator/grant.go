package coordinator

import (
	"slices"
	"time"
)

// A successor has to know when the leases that its predecessor granted on runners have
// expired. It has to know this even for runners that it can't reach, and even if it does not
// know whether the predecessor has stopped or only can't reach the store. Two rules bound
// these leases:
//
//   - While no other process can hold the coordinator's lease, the coordinator grants
//     leases on runners that end no later than a fixed time after the last renewal of its
//     own lease.
//   - While another process may hold the coordinator's lease, the coordinator grants only
//     short leases on runners, and only if more than half of the runners have answered it
//     recently. Once most runners have answered a successor, the predecessor can't get
//     such a majority any more: a runner that has seen the successor refuses the
//     predecessor.
const (
	// renewalSlack is added to the first bound, so that leases can be granted for their
	// full duration until the next renewal.
	renewalSlack = time.Second
	// majorityLease is how long leases on runners that are granted by the second rule last.
	majorityLease = 4 * time.Second
	// maxMajorityAge bounds the age of a poll whose answer counts towards the majority.
	maxMajorityAge = 2 * time.Second
	// successorMajorityPercent is the percentage of the predecessor's runners that must
	// have answered a successor before it concludes that the predecessor has no majority.
	// It is above 50 because the two may not know the same runners.
	successorMajorityPercent = 67
	// maxReadingAge bounds the age of the reading of a runner's clock that a deadline is
	// computed from. The bound holds because leases are extended only on runners that
	// answered the last poll.
	maxReadingAge = 3 * time.Second
)

// newLeaseEnd returns the local time at which leases on runners end if they are granted now,
// or zero if none may be granted.
func (coord *coordinator) newLeaseEnd(now time.Duration) time.Duration {
	renewed := coord.term.LastRenewal()
	switch {
	case coord.term.IsExclusive():
		return min(now+coord.env.LeaseDuration, renewed+coord.env.LeaseDuration+renewalSlack)
	case coord.term.MayAct() && now < time.Duration(coord.majorityUntil.Load()):
		return now + min(majorityLease, coord.env.LeaseDuration)
	}
	return 0
}

// updateMajority sets until when the answers from more than half of the runners are recent
// enough for leases to be granted. It sets no such time while no other process can hold the
// coordinator's lease, as no majority is needed then.
func (coord *coordinator) updateMajority() {
	coord.majorityUntil.Store(0)
	if coord.term.IsExclusive() || len(coord.links) == 0 {
		return
	}
	sentTimes := make([]time.Duration, 0, len(coord.links))
	for _, l := range coord.links {
		sentTimes = append(sentTimes, l.lastAnsweredPollTime())
	}
	slices.Sort(sentTimes)
	// More than half of the runners answered a poll that was sent at this time or later.
	if median := sentTimes[(len(sentTimes)-1)/2]; median > 0 {
		coord.majorityUntil.Store(int64(median + maxMajorityAge))
	}
}

// predecessor is what a coordinator knows of the one before it. Times are on the local
// clock.
type predecessor struct {
	lastRenewal   time.Duration // latest possible time of the last renewal of its lease
	actingUntil   time.Duration // when it has stopped acting for certain, see leadership.Term
	leaseDuration time.Duration // of the leases that it grants on runners
}

// expiryOnSlowClock returns the local time at which a lease of the given duration, granted
// until a local time, has expired for certain even if the runner's clock is slow.
func expiryOnSlowClock(until, duration time.Duration) time.Duration {
	return until + (duration+maxReadingAge)*maxClockDriftPercent/(100-maxClockDriftPercent) + expiryMargin
}

// latestExpiry returns when all leases on runners that the predecessor granted have
// expired, assuming that it had a majority for as long as it could act.
func (p predecessor) latestExpiry(now time.Duration) time.Duration {
	if p.actingUntil <= now {
		// The predecessor may have granted full leases until just now.
		return expiryOnSlowClock(now+p.leaseDuration, p.leaseDuration)
	}
	return max(p.renewedLeaseExpiry(), expiryOnSlowClock(p.actingUntil+majorityLease, majorityLease))
}

// renewedLeaseExpiry returns when the leases on runners have expired that the predecessor
// granted while no other process could hold the coordinator's lease.
func (p predecessor) renewedLeaseExpiry() time.Duration {
	duration := p.leaseDuration + renewalSlack
	return expiryOnSlowClock(p.lastRenewal+duration, duration)
}

// expiryWithoutMajority returns when all leases on runners that the predecessor granted have
// expired, if no polls that it sent after the given time were answered by a majority.
func (p predecessor) expiryWithoutMajority(since time.Duration) time.Duration {
	return max(p.renewedLeaseExpiry(), expiryOnSlowClock(since+maxMajorityAge+majorityLease, majorityLease))
}
