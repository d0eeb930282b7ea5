package coordinator

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"bergamotstile/leadership"
	"bergamotstile/rowstore"
)

// The roster tells a successor which runners may run tasks. For a runner that does
// not answer it also says when every lease there has expired. While the store
// holds such an expiry no lease on the runner is extended, so that a successor can
// rely on it whatever has happened since. A coordinator that is stopped as planned
// stores the expiries of all runners; its successor removes those of runners that
// answered before it calls them.

// silenceRecorded is how long a runner has to be silent for its expiry to be
// stored: each one that answers after all costs a write before its leases can be
// extended.
const silenceRecorded = time.Second

// handOverTimeout bounds how long a planned stop waits for the store.
const handOverTimeout = 500 * time.Millisecond

// answeringMark ends the line of a runner that answered when its expiry was stored.
const answeringMark = "answering"

// rosterEntry is one runner of the roster.
type rosterEntry struct {
	id string
	// expiry is when every lease on the runner has expired, on the store's clock;
	// zero if that is not known.
	expiry time.Duration
	// answering is set if the runner answered when the expiry was stored, just
	// before its coordinator stopped.
	answering bool
}

// encodeRoster returns one line for each runner, in the order of their names.
func encodeRoster(entries []rosterEntry) string {
	slices.SortFunc(entries, func(a, b rosterEntry) int { return strings.Compare(a.id, b.id) })
	lines := make([]string, 0, len(entries))
	for _, e := range entries {
		line := e.id
		if e.expiry > 0 {
			line += " " + strconv.FormatInt(int64((e.expiry+time.Millisecond-1)/time.Millisecond), 10)
			if e.answering {
				line += " " + answeringMark
			}
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// decodeRoster reads a roster. An expiry that can't be read counts as not known.
func decodeRoster(value string) []rosterEntry {
	var entries []rosterEntry
	for line := range strings.Lines(value) {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		e := rosterEntry{id: fields[0]}
		if len(fields) > 1 {
			if ms, err := strconv.ParseInt(fields[1], 10, 64); err == nil && ms > 0 {
				e.expiry = time.Duration(ms) * time.Millisecond
				e.answering = len(fields) > 2 && fields[2] == answeringMark
			}
		}
		entries = append(entries, e)
	}
	return entries
}

// recordedExpiry is an expiry that the store may hold.
type recordedExpiry struct {
	local  time.Duration // on the local clock
	stored time.Duration // on the store's
}

// longestWait bounds how long a stored expiry is waited for: an earlier predecessor may
// act for its grace, and grant leases until then.
func longestWait(granted time.Duration) time.Duration {
	return lapse(leadership.GracePeriod+granted+renewalSlack, granted)
}

// inheritRoster returns when the leases on a predecessor's runners have lapsed, and
// keeps in mind the expiries that stay stored. Where none is stored that is the latest
// time at which the predecessor's own have. An expiry may be later than that: the
// predecessor may have waited for the leases of an earlier one.
func (t *leader) inheritRoster(entries []rosterEntry, latest time.Duration) []InheritedRunner {
	longest := t.env.Clock() + longestWait(t.env.Lease)
	inherited := make([]InheritedRunner, 0, len(entries))
	for _, e := range entries {
		lapsed := latest
		if local, known := t.localTime(e.expiry); known && e.expiry > 0 {
			lapsed = min(local, longest)
			t.expiries[e.id] = recordedExpiry{local: lapsed, stored: e.expiry}
		}
		inherited = append(inherited, InheritedRunner{ID: e.id, Lapsed: lapsed})
	}
	return inherited
}

// localTime returns the local time from which on the store's clock has passed a
// reading for certain.
func (t *leader) localTime(reading time.Duration) (local time.Duration, known bool) {
	local = t.env.Clock()
	// The second pass allows for the drift of the clocks until then.
	for range 2 {
		earliest, _, ok := t.env.StoreBounds(local)
		if !ok {
			return 0, false
		}
		local += reading - earliest
	}
	return local, true
}

// dropAnswering removes the expiries of runners that answered the predecessor when
// it stopped, before the first call to any of them.
func (t *leader) dropAnswering(ctx context.Context, entries []rosterEntry) error {
	changed := false
	for i := range entries {
		if entries[i].answering {
			delete(t.expiries, entries[i].id)
			entries[i].expiry, entries[i].answering = 0, false
			changed = true
		}
	}
	if !changed {
		return nil
	}
	value := encodeRoster(entries)
	t.sharedRows[rosterKey] = value
	return t.journal.put(ctx, sharedPart, []rowstore.Put{{Key: rosterKey, Value: []byte(value)}})
}

// roster returns the entries to store now, and the expiries among them. All runners
// get an expiry if this coordinator is about to stop.
func (t *leader) roster(now time.Duration, stopping bool) (entries []rosterEntry, recorded map[string]recordedExpiry) {
	recorded = map[string]recordedExpiry{}
	for _, id := range t.core.Roster() {
		e := rosterEntry{id: id}
		local, answering, ok := t.expiryOf(id, now, stopping)
		_, latest, known := t.env.StoreBounds(local)
		if ok && known {
			x := recordedExpiry{local: local, stored: latest}
			if before, held := t.expiries[id]; held && before.local == local {
				x = before
			}
			recorded[id] = x
			e.expiry, e.answering = x.stored, answering
		}
		entries = append(entries, e)
	}
	// The store may hold what was there before until the roster is stored.
	maps.Copy(t.expiries, recorded)
	return entries, recorded
}

// expiryOf returns when every lease on a runner has expired, if that is to be
// stored, and whether the runner answers.
func (t *leader) expiryOf(id string, now time.Duration, stopping bool) (expiry time.Duration, answering, ok bool) {
	l := t.links[id]
	if l == nil {
		// It is not registered, so nobody extends its leases.
		expiry, ok = t.core.unresolved[id]
		return expiry, false, ok
	}
	return l.recordExpiry(now, stopping)
}

// withdrawn lets leases be extended on the runners whose expiries the store does
// not hold any more.
func (t *leader) withdrawn(stored map[string]recordedExpiry) {
	t.expiries = maps.Clone(stored)
	for id, l := range t.links {
		if _, held := stored[id]; !held {
			l.withdrawExpiry()
		}
	}
}

// withdraws reports whether an expiry has to be removed from the store, as its
// runner answers again.
func (t *leader) withdraws() bool {
	for _, l := range t.links {
		if l.withdraws() {
			return true
		}
	}
	return false
}

// rosterEvent follows a stored roster.
type rosterEvent struct{ expiries map[string]recordedExpiry }

func (e rosterEvent) apply(t *leader) {
	t.storingShared = false
	t.withdrawn(e.expiries)
}

// handOver stores the expiries of all runners for a successor. No lease is
// extended from then on.
func (t *leader) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	entries, _ := t.roster(t.env.Clock(), true)
	value := encodeRoster(entries)
	if err := t.journal.put(ctx, sharedPart, []rowstore.Put{{Key: rosterKey, Value: []byte(value)}}); err != nil {
		t.env.Log.WithError(err).Warn("leases of runners not handed over")
		return
	}
	t.env.Log.WithField("runners", len(entries)).Info("leases of runners handed over")
}

func inRoster(entries []rosterEntry, id string) bool {
	return slices.ContainsFunc(entries, func(e rosterEntry) bool { return e.id == id })
}
