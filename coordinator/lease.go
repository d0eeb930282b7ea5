package coordinator

import (
	"errors"
	"time"
)

const (
	// maxClockDriftPercent is how much slower than the local clock a runner's clock may
	// run, in percent.
	maxClockDriftPercent = 2
	// expiryMargin covers the time that a runner takes to kill its runs once their leases
	// have expired.
	expiryMargin = 400 * time.Millisecond
	// maxCallDelay is how long after it was sent a call without an answer may be carried out.
	// Delays of 12 s occur.
	maxCallDelay = 15 * time.Second
)

// leaseState relates a runner's clock to the local one and holds when the leases that were
// granted on the runner expire.
type leaseState struct {
	// clockReading is the reading of the runner's clock in its last answer, and receivedAt
	// the local time at which that answer came. Both are zero before the first answer.
	clockReading, receivedAt time.Duration
	latestDeadline           time.Duration // latest deadline sent, on the runner's clock
	// expiresBy is the local time at which every lease on the runner has expired for
	// certain. It starts as the time for the leases that a predecessor granted.
	expiresBy time.Duration
	// misdirectedExpiresBy is the local time at which every lease has expired for certain that
	// calls to an earlier process granted to the present one, which compares their deadlines
	// with a clock of its own.
	misdirectedExpiresBy time.Duration
}

// expiry returns the local time at which every lease on the runner has expired for certain.
func (l *leaseState) expiry() time.Duration { return max(l.expiresBy, l.misdirectedExpiresBy) }

// extend records that leases are granted until a local time, and returns their deadline
// on the runner's clock. It returns zero and grants nothing while that clock is unknown.
func (l *leaseState) extend(until time.Duration) time.Duration {
	if l.clockReading == 0 {
		return 0
	}
	l.latestDeadline = max(l.latestDeadline, l.clockReading+until-l.receivedAt)
	localExpiry := l.receivedAt + (l.latestDeadline-l.clockReading)*100/(100-maxClockDriftPercent) + expiryMargin
	l.expiresBy = max(l.expiresBy, localExpiry)
	return l.latestDeadline
}

// resetForNewProcess discards the leases that were granted to an earlier process of the
// runner: the runs of that process no longer exist, and the new process has a new clock.
func (l *leaseState) resetForNewProcess(now time.Duration) {
	l.latestDeadline = 0
	l.expiresBy = now
}

// allowMisdirectedCalls records that a process of the runner may carry out calls until a local
// time whose deadlines were computed on the clock of an earlier process. Whatever the deadline,
// a runner keeps a lease for at most maxLease after the call has arrived.
func (l *leaseState) allowMisdirectedCalls(until, maxLease time.Duration) {
	l.misdirectedExpiresBy = max(l.misdirectedExpiresBy, misdirectedExpiry(until, maxLease))
}

// misdirectedExpiry returns the local time at which leases have expired for certain that were
// granted by calls which arrived until a local time, whatever their deadlines.
func misdirectedExpiry(until, maxLease time.Duration) time.Duration {
	return until + maxLease*100/(100-maxClockDriftPercent) + expiryMargin
}

// newLeaseEnd returns the local time at which leases on the runner end if they are granted
// now, or zero if none can be granted: the runner does not answer or may have restarted, the
// store may hold its expiry, the runner is not listed, or the coordinator may grant no leases. The
// caller holds mu.
func (l *link) newLeaseEnd() time.Duration {
	if !l.isAnswering() || l.isExpiryRecorded || l.awaitsListing || l.restartSuspectedAt > 0 {
		return 0
	}
	return l.coordinator.newLeaseEnd(l.coordinator.env.Clock())
}

// lastAnsweredPollTime returns when the last answered poll was sent, or zero if the runner has
// answered none.
func (l *link) lastAnsweredPollTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastAnsweredPollSentAt
}

// unansweredExpiry returns the expiry of misdirected leases on a runner that has not answered
// this coordinator, or zero if there can be none or the runner has answered.
func (l *link) unansweredExpiry() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation != 0 {
		return 0
	}
	return l.lease.misdirectedExpiresBy
}

// lowerInheritedExpiry brings forward the time at which a predecessor's leases on the
// runner have expired, unless the runner has answered this coordinator.
func (l *link) lowerInheritedExpiry(expiry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.clockReading == 0 {
		l.lease.expiresBy = min(l.lease.expiresBy, expiry)
	}
}

// isAnswering reports whether the runner answered the last poll that has ended. The caller holds
// mu.
func (l *link) isAnswering() bool { return !l.isSilent && l.lease.clockReading > 0 }

// stopLeaseExtension makes the link extend no lease on the runner until clearRecordedExpiry is
// called, and returns the local time at which every lease there has expired. The caller
// stores this expiry in the roster. It also returns whether the runner answers. While the
// coordinator is not stopping, it does so only for a runner that does not answer, and only if
// the store may hold an expiry already, or if the runner has been silent for
// minRecordedSilence and no other process can hold the coordinator's lease. Otherwise ok is
// false: nothing changes and no expiry is to be stored.
func (l *link) stopLeaseExtension(now time.Duration, isStopping bool) (expiry time.Duration, isAnswering, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isAnswering = l.isAnswering()
	// The term is not exclusive if the coordinator's lease could not be renewed, because the
	// store did not answer. The expiry could then be neither stored nor removed.
	isDue := l.isExpiryRecorded || now-l.unansweredSince >= minRecordedSilence && l.coordinator.term.IsExclusive()
	if !isStopping && (isAnswering || !isDue) {
		return 0, isAnswering, false
	}
	l.isExpiryRecorded = true
	return l.lease.expiry(), isAnswering, true
}

// clearRecordedExpiry records that the store holds no expiry for the runner, so that leases
// can be extended again.
func (l *link) clearRecordedExpiry() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isExpiryRecorded = false
}

// needsRosterWrite reports whether the roster has to be written for leases to be granted on the
// runner: it is not listed, or the store may hold an expiry for it although it answers.
func (l *link) needsRosterWrite() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.awaitsListing || l.isExpiryRecorded && l.isAnswering()
}

// markExpired marks a silent runner as gone, which means that nothing runs on it any more, if
// every lease there has expired. It reports whether it did, which happens once for each
// silence. While another process may hold the coordinator's lease, the runner is not marked:
// that process may have extended its leases.
func (l *link) markExpired(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isGone || !l.isSilent || now <= l.lease.expiry() || !l.coordinator.term.IsExclusive() {
		return false
	}
	l.isGone = true
	return true
}

// hasAnswered reports whether a runner has answered this coordinator, which may have granted leases
// there since, and has not been marked as gone since. The report in the answer may not have been
// applied yet.
func (coord *coordinator) hasAnswered(id string) bool {
	l := coord.links[id]
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation != 0 && !l.isGone
}

// markReplaced marks the runner as gone if the error of a poll says that another runner has
// its address, and reports whether it did. It does so once for each silence.
func (l *link) markReplaced(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isGone || !errors.Is(err, ErrWrongRunner) {
		return false
	}
	l.isGone = true
	return true
}

// isStillAt reports whether the runner is still registered with an address at which
// another runner answered. If it is not, the runner no longer counts as gone.
func (l *link) isStillAt(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address == address {
		return true
	}
	l.isGone = false
	return false
}
