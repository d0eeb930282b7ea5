package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// generationBits is the number of low bits of a fencing token that hold the generation of a
	// link. Tokens are numbers in JSON, of which 53 bits are exact, so 29 bits are left for the
	// epoch of the coordinator. A term does not see 16 million restarts of runners.
	generationBits = 24
	// maxClockDeviation is how far a reading of a runner's clock may be from the one expected,
	// beyond the drift of the clocks and the time that the call took. It covers the time that the
	// answer to the last poll took. A new process starts a new clock, whose readings are
	// unrelated to those of the earlier one.
	maxClockDeviation = 2 * time.Second
)

// token returns the fencing token of calls to the runner. It is higher than that of each call
// of an earlier coordinator, and than that of each call of this one to an earlier process of the
// runner. The caller holds mu.
func (l *link) token() uint64 { return fencingToken(l.coordinator.term.Epoch, l.generation) }

// fencingToken returns the token of an epoch and a generation.
func fencingToken(epoch, generation uint64) uint64 { return epoch<<generationBits | generation }

// isSuperseded reports whether a token has been replaced by a higher one of this coordinator,
// also by that of a later link to the runner, so that a call with it may be refused although no
// later coordinator exists.
func (l *link) isSuperseded(token uint64) bool {
	return token < fencingToken(l.coordinator.term.Epoch, l.coordinator.tokens.newest(l.runnerID))
}

// setRegistration records the runner's registry entry. An entry of another process than the one
// that answered last shows that the runner has restarted.
func (l *link) setRegistration(info RunnerInfo, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address, l.isDraining = info.Address, info.Draining
	changed := info.Incarnation != l.registeredIncarnation
	l.registeredIncarnation = info.Incarnation
	known := l.incarnation
	if known == 0 {
		known = l.settledIncarnation
	}
	if known == 0 {
		known = l.inheritedIncarnation
	}
	if !changed || info.Incarnation == 0 || known == 0 || info.Incarnation == known {
		return
	}
	l.suspectRestart(now, "registry entry of another process")
	l.raiseGeneration()
	select {
	case l.restarted <- struct{}{}:
	default:
	}
}

// raiseGeneration makes the next calls carry a higher token. Once the runner has answered one,
// it refuses all earlier calls. The caller holds mu.
func (l *link) raiseGeneration() {
	l.generation = l.coordinator.tokens.nextGeneration(l.runnerID)
	l.isFenced = false
}

// suspectRestart records that the process that answered last is not the present one. Calls to it
// that are under way may be carried out by the present one. The caller holds mu.
func (l *link) suspectRestart(now time.Duration, evidence string) {
	if l.restartSuspectedAt == 0 {
		l.misdirectedExpiryBefore = l.lease.misdirectedExpiresBy
		l.coordinator.env.Count("restarts_suspected", 1)
		l.coordinator.env.Log.WithFields(logrus.Fields{"runner": l.runnerID, "evidence": evidence}).Warn("runner may have restarted")
	}
	l.restartSuspectedAt = now
	l.lease.allowMisdirectedCalls(now+maxCallDelay, l.coordinator.env.MaxLeaseDuration)
}

// recordFencing records that the present process has answered a poll with a token. Once it has
// seen the present token, it carries out no more misdirected calls. The caller holds mu.
func (l *link) recordFencing(token uint64, now time.Duration) {
	if l.isFenced || token != l.token() {
		return
	}
	l.isFenced = true
	l.lease.misdirectedExpiresBy = 0
	if l.incarnation != l.settledIncarnation {
		l.lease.allowMisdirectedCalls(now, l.coordinator.env.MaxLeaseDuration)
	}
}

// suspectsRestart reports whether the process that answered last, or that a predecessor's roster names,
// is not the present one.
func (l *link) suspectsRestart() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restartSuspectedAt > 0
}

// fencedProcess returns the process that answers and the local time at which every misdirected lease
// there has expired, and whether that process refuses misdirected calls.
func (l *link) fencedProcess() (process fencedProcess, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fencedProcess{l.incarnation, l.lease.misdirectedExpiresBy}, l.incarnation != 0 && l.isFenced && l.restartSuspectedAt == 0
}

// updateSettledIncarnation returns the incarnation of the process on which no misdirected call can
// hold a lease any more, and records it. It returns zero if there may be such a call. Before the
// first answer it returns the recorded one.
func (l *link) updateSettledIncarnation(now time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.incarnation == 0:
		return l.settledIncarnation
	case l.isFenced && l.restartSuspectedAt == 0 && now > l.lease.misdirectedExpiresBy:
		l.settledIncarnation = l.incarnation
		return l.incarnation
	}
	return 0
}
