package coordinator

import (
	"context"
	"maps"
	"time"

	"bergamotstile/leadership"
)

// The roster is stored in one row or more and tells a successor which runners may run tasks. For a
// runner that does not answer, it also says when every lease there has expired: the
// runner's expiry. While the store holds an expiry, the coordinator extends no lease on the
// runner, so a successor can rely on the expiry whenever it was stored. A coordinator that
// is stopped as planned, or ends its term with ErrBehind, stores the expiries of all
// runners. Its successor removes the expiries of those that were answering before it polls
// any of them or sends orders to them.
//
// With an expiry, the roster names the tasks that may run on the runner, so that no other task
// waits for it, and says by when the last lease of a late call has expired. These times are on
// the store's clock and stay the same in each takeover that follows.

// minRecordedSilence is how long a runner has to be silent before its expiry is stored.
// A shorter time would cost more writes: if the runner answers after all, its expiry has to
// be removed before leases on it can be extended.
const minRecordedSilence = time.Second

// handoverTimeout bounds the write of the roster when a term ends.
const handoverTimeout = 500 * time.Millisecond

// recordedExpiry is an expiry that the store may hold, on both clocks.
type recordedExpiry struct {
	onLocalClock time.Duration
	onStoreClock time.Duration // as stored
}

// maxExpiryWait bounds the wait for a stored expiry. It covers the case that the coordinator
// before the predecessor goes on granting leases until its grace is over.
func maxExpiryWait(leaseDuration time.Duration) time.Duration {
	return expiryOnSlowClock(leadership.GracePeriod+leaseDuration+renewalSlack, leaseDuration)
}

// inheritRoster returns when the leases on each of the predecessor's runners have expired,
// and records the expiries that the store holds. For a runner without one it returns
// latest, the time by which all leases that the predecessor granted have expired. A stored
// expiry may be later than that: the predecessor may itself have waited for leases that an
// earlier coordinator granted.
func (coord *coordinator) inheritRoster(entries []rosterEntry, latest time.Duration) []InheritedRunner {
	maxWait := max(maxExpiryWait(coord.env.LeaseDuration), misdirectedExpiry(maxCallDelay, coord.env.MaxLeaseDuration))
	maxExpiry := coord.env.Clock() + maxWait
	inherited := make([]InheritedRunner, 0, len(entries))
	for _, e := range entries {
		expiry := latest
		if local, known := coord.localTimeAfter(e.expiry); known && e.expiry > 0 {
			expiry = min(local, maxExpiry)
			coord.recordedExpiries[e.id] = recordedExpiry{onLocalClock: expiry, onStoreClock: e.expiry}
		}
		if e.settledIncarnation != 0 {
			coord.settledIncarnations[e.id] = e.settledIncarnation
		}
		isComplete := coord.inheritTasks(e, maxExpiry)
		inherited = append(inherited, InheritedRunner{ID: e.id, ExpiredAt: expiry, TasksKnown: e.isIdle || isComplete})
	}
	return inherited
}

// localTimeAfter returns the local time at which the store's clock has passed a reading for
// certain, and whether that time is known.
func (coord *coordinator) localTimeAfter(reading time.Duration) (local time.Duration, known bool) {
	local = coord.env.Clock()
	// The second pass uses the bounds as of that time, which allow for the drift of the
	// clocks until then.
	for range 2 {
		earliest, _, ok := coord.env.StoreClockBounds(local)
		if !ok {
			return 0, false
		}
		local += reading - earliest
	}
	return local, true
}

// buildRoster returns the roster to store now, and the expiries in it by runner ID. If the
// coordinator is stopping, each runner has an expiry if the store's clock is known.
func (coord *coordinator) buildRoster(now time.Duration, isStopping bool) (entries []rosterEntry, expiries map[string]recordedExpiry) {
	expiries = map[string]recordedExpiry{}
	coord.storeTimes.beginRoster(coord.env.StoreClockBounds)
	for _, id := range coord.core.Roster() {
		e := rosterEntry{id: id, settledIncarnation: coord.settledIncarnations[id]}
		if l := coord.links[id]; l != nil {
			e.settledIncarnation = l.updateSettledIncarnation(now)
		}
		if e.settledIncarnation == 0 {
			e.fenced = coord.storedFencedProcess(id)
		}
		local, isAnswering, ok := coord.stopLeaseExtension(id, now, isStopping)
		_, latest, known := coord.env.StoreClockBounds(local)
		if ok && known {
			expiry := recordedExpiry{onLocalClock: local, onStoreClock: latest}
			if previous, isRecorded := coord.recordedExpiries[id]; isRecorded && previous.onLocalClock == local {
				expiry = previous
			}
			expiries[id] = expiry
			e.expiry, e.wasAnswering, e.isIdle = expiry.onStoreClock, isAnswering, coord.isIdle(id)
			coord.addTasks(&e, local, isAnswering)
		}
		entries = append(entries, e)
	}
	// Keep the earlier expiries: the store may hold them until this roster is stored.
	maps.Copy(coord.recordedExpiries, expiries)
	return entries, expiries
}

// isIdle reports whether no run can exist on a runner and the end of every earlier run there
// is stored. An incomplete report does not show that, nor one of a runner that may still carry
// out calls to an earlier process. isIdle may be called only while no lease on the runner is
// extended, so that no task is started there either.
func (coord *coordinator) isIdle(id string) bool {
	r := coord.core.runners[id]
	return r != nil && len(r.runs) == 0 && coord.knowsAllRuns(id)
}

// knowsAllRuns reports whether a runner has reported all of its runs to this coordinator, and the end
// of every run there that it does not hold is stored.
func (coord *coordinator) knowsAllRuns(id string) bool {
	l, r := coord.links[id], coord.core.runners[id]
	if l == nil || r == nil || !r.hasReported || r.isUnfenced || r.results.isIncomplete || len(r.blockedJobs) > 0 {
		return false
	}
	return r.lastAppliedResult == 0 || l.isAcknowledged(Acknowledgement{r.incarnation, r.lastAppliedResult})
}

// stopLeaseExtension returns the local time at which every lease on a runner has expired,
// whether the runner answers, and whether the expiry is to be stored. If it is, no lease on
// the runner is extended from now on, until clearRecordedExpiry is called on the runner's link.
func (coord *coordinator) stopLeaseExtension(id string, now time.Duration, isStopping bool) (expiry time.Duration, isAnswering, ok bool) {
	l := coord.links[id]
	if l == nil {
		// The runner is not registered, so this coordinator does not extend its leases.
		expiry, ok = coord.core.unresolved[id]
		if !ok && coord.core.heldTasks.hasRunner(id) {
			expiry, ok = now, true
			if recorded, isRecorded := coord.recordedExpiries[id]; isRecorded {
				expiry = recorded.onLocalClock
			}
		}
		return expiry, false, ok
	}
	return l.stopLeaseExtension(now, isStopping)
}

// confirmRecordedExpiries records which expiries the store holds, once a roster is stored.
// It allows leases to be extended on all other runners that are listed.
func (coord *coordinator) confirmRecordedExpiries(stored map[string]recordedExpiry) {
	coord.recordedExpiries = maps.Clone(stored)
	for id, l := range coord.links {
		if _, isRecorded := stored[id]; !isRecorded {
			l.clearRecordedExpiry()
		}
	}
}

// needsRosterWrite reports whether the roster has to be written for leases to be granted on some
// runner.
func (coord *coordinator) needsRosterWrite() bool {
	for _, l := range coord.links {
		if l.needsRosterWrite() {
			return true
		}
	}
	return false
}

// rosterStoredEvent says that a write of shared rows is over and that the store holds the
// roster with these expiries, by runner ID.
type rosterStoredEvent struct {
	roster   []rosterEntry
	expiries map[string]recordedExpiry
}

func (e rosterStoredEvent) apply(coord *coordinator) {
	coord.isWritingSharedRows = false
	coord.sharedRowsStoredAt = coord.env.Clock()
	coord.confirmRecordedExpiries(e.expiries)
	coord.confirmListed(e.roster)
}

// handOverLeases stores a roster with the expiries of all runners for a successor. From
// then on this coordinator extends no lease.
func (coord *coordinator) handOverLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	entries, _ := coord.buildRoster(coord.env.Clock(), true)
	rows := coord.encodeRosterRows(entries)
	coord.addDelayedStarts(rows)
	if err := coord.journal.put(ctx, sharedPart, toPuts(rows)); err != nil {
		coord.env.Log.WithError(err).Warn("expiries of runner leases not handed over")
		return
	}
	coord.env.Log.WithField("runners", len(entries)).Info("expiries of runner leases handed over")
}
