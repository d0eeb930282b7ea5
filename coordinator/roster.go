package coordinator

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
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

// minRecordedSilence is how long a runner has to be silent before its expiry is stored.
// A shorter time would cost more writes: if the runner answers after all, its expiry has to
// be removed before leases on it can be extended.
const minRecordedSilence = time.Second

// handoverTimeout bounds the write of the roster when a term ends.
const handoverTimeout = 500 * time.Millisecond

// Markers that follow the expiry in the line of a runner. Readers ignore markers that they
// do not know.
const (
	answeringMarker = "answering" // the runner was answering when its expiry was stored
	idleMarker      = "idle"      // no run existed on the runner when its expiry was stored
)

// incarnationPrefix begins the marker with the runner's settled incarnation, in base 36. It may
// follow the runner's ID without an expiry.
const (
	incarnationPrefix = "@"
	incarnationBase   = 36
)

// rosterEntry is the line for one runner in the roster.
type rosterEntry struct {
	id string
	// expiry is when every lease on the runner has expired, on the store's clock, or zero
	// if none is stored.
	expiry time.Duration
	// wasAnswering is set if the runner was answering when the expiry was stored, just
	// before the coordinator stopped.
	wasAnswering bool
	// isIdle is set if no run existed on the runner when the expiry was stored, and the end
	// of every earlier run there was stored. It stays so while the expiry is stored, as no
	// task is started on the runner meanwhile.
	isIdle bool
	// settledIncarnation identifies the runner's process if no misdirected call can hold a lease
	// on it beyond those that its clock bounds; zero if that is not known. A runner that has
	// started anew since, or only just before, may hold leases longer than those.
	settledIncarnation int64
}

// encodeRoster returns one line for each runner, in the order of their IDs. It rounds
// expiries up to milliseconds, and sorts entries.
func encodeRoster(entries []rosterEntry) string {
	slices.SortFunc(entries, func(a, b rosterEntry) int { return strings.Compare(a.id, b.id) })
	lines := make([]string, 0, len(entries))
	for _, e := range entries {
		line := e.id
		if e.expiry > 0 {
			line += " " + strconv.FormatInt(int64((e.expiry+time.Millisecond-1)/time.Millisecond), 10)
			if e.wasAnswering {
				line += " " + answeringMarker
			}
			if e.isIdle {
				line += " " + idleMarker
			}
		}
		if e.settledIncarnation != 0 {
			line += " " + incarnationPrefix + strconv.FormatInt(e.settledIncarnation, incarnationBase)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// decodeIncarnation returns the incarnation in the markers of a line, or zero.
func decodeIncarnation(markers []string) int64 {
	for _, marker := range markers {
		if digits, ok := strings.CutPrefix(marker, incarnationPrefix); ok {
			incarnation, err := strconv.ParseInt(digits, incarnationBase, 64)
			if err == nil {
				return incarnation
			}
		}
	}
	return 0
}

// decodeRoster is the inverse of encodeRoster. It ignores an unreadable expiry.
func decodeRoster(value string) []rosterEntry {
	var entries []rosterEntry
	for line := range strings.Lines(value) {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		e := rosterEntry{id: fields[0], settledIncarnation: decodeIncarnation(fields[1:])}
		if len(fields) > 1 {
			if ms, err := strconv.ParseInt(fields[1], 10, 64); err == nil && ms > 0 {
				e.expiry = time.Duration(ms) * time.Millisecond
				e.wasAnswering = slices.Contains(fields[2:], answeringMarker)
				e.isIdle = slices.Contains(fields[2:], idleMarker)
			}
		}
		entries = append(entries, e)
	}
	return entries
}

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
		inherited = append(inherited, InheritedRunner{ID: e.id, ExpiredAt: expiry, IsIdle: e.isIdle})
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
	for _, id := range coord.core.Roster() {
		e := rosterEntry{id: id, settledIncarnation: coord.settledIncarnations[id]}
		if l := coord.links[id]; l != nil {
			e.settledIncarnation = l.updateSettledIncarnation(now)
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
	l, r := coord.links[id], coord.core.runners[id]
	if l == nil || r == nil || !r.hasReported || r.isUnfenced || r.results.isIncomplete || len(r.runs) > 0 || len(r.blockedJobs) > 0 {
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

// isInRoster reports whether a roster has an entry for a runner.
func isInRoster(entries []rosterEntry, id string) bool {
	return slices.ContainsFunc(entries, func(e rosterEntry) bool { return e.id == id })
}
