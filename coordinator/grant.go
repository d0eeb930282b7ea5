package coordinator

import (
	"slices"
	"time"
)

// A successor has to know when the leases that its predecessor granted have expired,
// also on runners that it can't reach and when it can't tell whether the predecessor
// is dead or only cut off from the store. Two rules bound them:
//
//   - While the coordinator surely holds its lease it grants leases up to a fixed time
//     after the last renewal that it knows of.
//   - While others may have taken it, it grants short ones, and only with recent
//     answers from more than half of the runners. Once a successor has been answered
//     by most of them the predecessor gets no such majority: a runner that has seen
//     the successor refuses it.
const (
	// renewalSlack lets leases be granted in full between two renewals.
	renewalSlack = time.Second
	// aloneLease is how long leases last that are granted without the lease of the
	// coordinator being renewed.
	aloneLease = 4 * time.Second
	// majorityAge is how old the calls may be whose answers make the majority.
	majorityAge = 2 * time.Second
	// successorShare is the share of its predecessor's runners whose answers tell a
	// successor that the predecessor has no majority, in percent. It is more than
	// half, as the two may not know the same runners.
	successorShare = 67
	// readingAge bounds the age of a runner's clock reading that a lease is
	// granted by: leases are extended only where the last call was answered.
	readingAge = 3 * time.Second
)

// grantedUntil returns until when leases last that are granted now, on the local
// clock; zero if none may be granted.
func (t *leader) grantedUntil(now time.Duration) time.Duration {
	renewed := t.term.LastRenewal()
	switch {
	case t.term.IsExclusive():
		return min(now+t.env.Lease, renewed+t.env.Lease+renewalSlack)
	case t.term.MayAct() && now < time.Duration(t.majorityUntil.Load()):
		return now + min(aloneLease, t.env.Lease)
	}
	return 0
}

// noteMajority works out until when answers from more than half of the runners are
// recent enough.
func (t *leader) noteMajority() {
	t.majorityUntil.Store(0)
	if t.term.IsExclusive() || len(t.links) == 0 {
		return
	}
	heard := make([]time.Duration, 0, len(t.links))
	for _, l := range t.links {
		heard = append(heard, l.lastHeard())
	}
	slices.Sort(heard)
	// More than half were called then or later.
	if oldest := heard[(len(heard)-1)/2]; oldest > 0 {
		t.majorityUntil.Store(int64(oldest + majorityAge))
	}
}

// predecessor is what a successor knows of the coordinator before it.
type predecessor struct {
	renewed time.Duration // the latest time of its last renewal
	gone    time.Duration // when it can't act any more
	lease   time.Duration // that it grants
}

// lapse returns when a lease that lasts until a local time has lapsed for certain,
// for a runner whose clock is slow.
func lapse(until, lasts time.Duration) time.Duration {
	return until + (lasts+readingAge)*clockDrift/(100-clockDrift) + lapseMargin
}

// latest returns when all leases of the predecessor have lapsed, if nothing is known
// of its majority.
func (p predecessor) latest(now time.Duration) time.Duration {
	if p.gone <= now {
		return lapse(now+p.lease, p.lease)
	}
	return max(p.whileRenewed(), lapse(p.gone+aloneLease, aloneLease))
}

// whileRenewed returns when the leases have lapsed that it granted while it surely
// held its lease.
func (p predecessor) whileRenewed() time.Duration {
	lasts := p.lease + renewalSlack
	return lapse(p.renewed+lasts, lasts)
}

// withoutMajority returns when its leases have lapsed if it can't have had a majority
// of calls that were sent later than a time.
func (p predecessor) withoutMajority(since time.Duration) time.Duration {
	return max(p.whileRenewed(), lapse(since+majorityAge+aloneLease, aloneLease))
}
