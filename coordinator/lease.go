package coordinator

import (
	"errors"
	"time"
)

const (
	// clockDrift is how much slower a runner's clock may be, in percent.
	clockDrift = 2
	// lapseMargin covers the time that a runner takes to kill its runs.
	lapseMargin = 400 * time.Millisecond
)

// lease models a runner's clock and what it was granted.
type lease struct {
	// reading is the runner's clock as of an answer received at a local time.
	reading, received time.Duration
	granted           time.Duration // latest deadline sent, on the runner's clock
	// lapsed is the local time at which it has passed for certain. It begins
	// with the time for a predecessor's grants.
	lapsed time.Duration
}

// extend returns a new deadline for leases that last until a local time, or zero
// while the runner's clock is unknown.
func (l *lease) extend(until time.Duration) time.Duration {
	if l.reading == 0 {
		return 0
	}
	l.granted = max(l.granted, l.reading+until-l.received)
	latest := l.received + (l.granted-l.reading)*100/(100-clockDrift) + lapseMargin
	l.lapsed = max(l.lapsed, latest)
	return l.granted
}

// startAnew voids what was granted to an earlier process of the runner: its runs
// are gone, and the clock of the new one starts anew.
func (l *lease) startAnew(now time.Duration) {
	l.granted = 0
	l.lapsed = now
}

// leasesUntil returns until when leases last that are granted on the runner now;
// zero if none can be granted.
func (l *link) leasesUntil() time.Duration {
	if !l.answering() || l.recorded {
		return 0
	}
	return l.t.grantedUntil(l.t.env.Clock())
}

// lastHeard returns when the last call was sent that the runner answered.
func (l *link) lastHeard() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard
}

// lowerInherited brings forward when a predecessor's leases have lapsed on a runner
// that has never answered.
func (l *link) lowerInherited(lapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.reading == 0 {
		l.lease.lapsed = min(l.lease.lapsed, lapsed)
	}
}

// answering reports whether the last call was answered.
func (l *link) answering() bool { return !l.silent && l.lease.reading > 0 }

// recordExpiry returns when every lease on the runner has expired, for the store,
// and whether the runner answers. From then on no lease is extended there until
// withdrawExpiry. There is nothing to store for a runner that answers, unless the
// coordinator is stopping.
func (l *link) recordExpiry(now time.Duration, stopping bool) (expiry time.Duration, answering, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answering = l.answering()
	// While the store is away the expiry could be neither stored nor removed.
	due := l.recorded || now-l.silentSince >= silenceRecorded && l.t.term.IsExclusive()
	if !stopping && (answering || !due) {
		return 0, answering, false
	}
	l.recorded = true
	return l.lease.lapsed, answering, true
}

// withdrawExpiry records that the store does not hold an expiry for the runner.
func (l *link) withdrawExpiry() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorded = false
}

// withdraws reports whether the store holds an expiry although the runner answers.
func (l *link) withdraws() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recorded && l.answering()
}

// lapses reports, once for each silence, that every lease on a silent runner has
// lapsed. While another process may hold the coordinator's lease nothing is proved:
// it may have extended those of the runs.
func (l *link) lapses(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone || !l.silent || now <= l.lease.lapsed || !l.t.term.IsExclusive() {
		return false
	}
	l.gone = true
	return true
}

// replaced reports, once for each silence, that another runner has the address.
func (l *link) replaced(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone || !errors.Is(err, ErrWrongRunner) {
		return false
	}
	l.gone = true
	return true
}

// remainsAt reports whether the runner still has an address at which another one was
// found. If not, nothing is known to be gone.
func (l *link) remainsAt(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address == address {
		return true
	}
	l.gone = false
	return false
}
