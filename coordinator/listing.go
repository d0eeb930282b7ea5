package coordinator

import (
	"context"
	"errors"
	"maps"
	"strconv"

	"bergamotstile/rowstore"
)

// A runner is listed while the store holds a roster that names it. The coordinator grants no lease
// on a runner that is not listed, and so starts no task there. A successor therefore knows every
// runner that may run tasks of its predecessor, also if the runner joined just before the
// coordinator was lost and its registry entry expired in an outage of the store. The roster is
// written as soon as there is a runner to be listed, so that one write lists all that have joined
// since the last one.
//
// A successor also knows that nothing runs on a runner that is not listed, unless a predecessor was of
// a version that did not wait, or the store refused its roster. So each coordinator stores its epoch
// once the roster names all registered runners, or with its fence if its predecessor had done so, and
// removes it once it uses runners that it can't list.

// listingEpochKey is the key of the row with the epoch of the newest coordinator that grants leases
// on listed runners only.
var listingEpochKey = rowstore.Key{Table: rosterKey.Table, Part: sharedPart, Key: "listing-epoch"}

// encodeListingEpoch returns the value of the row.
func encodeListingEpoch(epoch uint64) []byte { return strconv.AppendUint(nil, epoch, 10) }

// decodeListingEpoch decodes the row. It returns zero, which is no epoch, if it is unreadable.
func decodeListingEpoch(value []byte) uint64 {
	epoch, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0
	}
	return epoch
}

// runnerSet is a set of runner IDs.
type runnerSet map[string]struct{}

// has reports whether the set contains a runner.
func (s runnerSet) has(id string) bool {
	_, ok := s[id]
	return ok
}

// rosterRunners returns the runners that a roster names.
func rosterRunners(roster []rosterEntry) runnerSet {
	set := make(runnerSet, len(roster))
	for _, e := range roster {
		set[e.id] = struct{}{}
	}
	return set
}

// beginRosterWrite records that a roster is being written: from now on the store may no longer
// name the runners that this roster leaves out.
func (coord *coordinator) beginRosterWrite(roster []rosterEntry) {
	written := rosterRunners(roster)
	for id := range coord.listedRunners {
		if !written.has(id) {
			delete(coord.listedRunners, id)
		}
	}
}

// confirmListed records that the store holds a roster, so that leases can be granted on the runners
// that it names.
func (coord *coordinator) confirmListed(roster []rosterEntry) {
	coord.listedRunners = rosterRunners(roster)
	joined := 0
	for id, l := range coord.links {
		if coord.listedRunners.has(id) && l.endListingWait() {
			joined++
		}
	}
	if joined > 0 {
		coord.env.Log.WithField("runners", joined).Info("runners that joined are listed in the stored roster")
	}
}

// endListingWaits allows leases to be granted on runners that can't be listed, because the store
// refuses the roster for good. Otherwise nothing would be started on any runner that joins.
func (coord *coordinator) endListingWaits() {
	for _, l := range coord.links {
		l.endListingWait()
	}
}

// endListingWait allows leases to be granted on the runner if they are held back because it is not
// listed, and reports whether they were.
func (l *link) endListingWait() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	awaited := l.awaitsListing
	l.awaitsListing = false
	return awaited
}

// carryListingEpoch adds to the transaction that fences the shared part the row with this coordinator's
// epoch if the row has that of the last coordinator which fenced the part. A coordinator that is lost
// during its takeover so leaves its successor what it knew.
func (j *journal) carryListingEpoch(ctx context.Context, tx *rowstore.Transaction, predecessorEpoch uint64) error {
	res, err := j.store.Read(ctx, rowstore.Range{Table: listingEpochKey.Table, Part: sharedPart, From: listingEpochKey.Key, To: listingEpochKey.Key + "\x00"})
	if err != nil {
		return err
	}
	if len(res.Rows) == 0 || predecessorEpoch == 0 || decodeListingEpoch(res.Rows[0].Value) != predecessorEpoch {
		return nil
	}
	tx.Conditions = append(tx.Conditions, rowstore.Condition{Key: listingEpochKey, Version: res.Rows[0].Version})
	tx.Puts = append(tx.Puts, rowstore.Put{Key: listingEpochKey, Value: encodeListingEpoch(j.epoch)})
	return nil
}

// withdrawListingEpoch stores that this coordinator may grant leases on runners that are not listed.
func (coord *coordinator) withdrawListingEpoch() error {
	_, err := coord.putSharedRows(map[rowstore.Key]string{listingEpochKey: ""})
	return err
}

// storeInheritedRoster stores the roster that a takeover begins with, if it differs from the stored
// one, which it is given, and then the listing epoch if the fence has not. It removes the expiries of
// the runners that were answering the predecessor when it stopped, and adds the registered runners. It
// has to be called before the first poll of any runner and the first order to any.
func (coord *coordinator) storeInheritedRoster(ctx context.Context, stored []rosterEntry, registered map[string]RunnerInfo) error {
	coord.listedRunners = rosterRunners(stored)
	roster, hasRemoved := coord.withoutAnsweringExpiries(stored)
	for id := range registered {
		if !coord.listedRunners.has(id) {
			roster = append(roster, rosterEntry{id: id})
		}
	}
	if hasRemoved || len(roster) > len(stored) {
		rows := coord.encodeRosterRows(roster)
		err := coord.journal.put(ctx, sharedPart, toPuts(rows))
		rejected := &rejectedRowsError{}
		if errors.As(err, &rejected) && !hasRemoved {
			coord.recordRejectedSharedRows(rejected)
			return nil // the runners wait to be listed by the first roster of the term
		}
		if err != nil {
			return err
		}
		maps.Copy(coord.sharedRows, rows)
		coord.confirmListed(roster)
	}
	if coord.predecessorsList {
		return nil // the fence has stored the epoch
	}
	epoch := map[rowstore.Key]string{listingEpochKey: string(encodeListingEpoch(coord.term.Epoch))}
	return coord.journal.put(ctx, sharedPart, toPuts(epoch))
}

// withoutAnsweringExpiries returns a roster without the expiries of the runners that were answering
// the predecessor when it stopped, and whether there were any.
func (coord *coordinator) withoutAnsweringExpiries(stored []rosterEntry) (roster []rosterEntry, hasRemoved bool) {
	for _, e := range stored {
		if e.wasAnswering {
			delete(coord.recordedExpiries, e.id)
			e = rosterEntry{id: e.id, settledIncarnation: e.settledIncarnation, fenced: e.fenced}
			hasRemoved = true
		}
		roster = append(roster, e)
	}
	return roster, hasRemoved
}
