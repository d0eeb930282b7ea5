package coordinator

import (
	"maps"
	"slices"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/rowstore"
)

const (
	// sharedRowsInterval is the time between two writes of shared rows, unless an expiry
	// has to be removed earlier.
	sharedRowsInterval = time.Second
	// modelWriteInterval is the least time between two writes of the interference model.
	modelWriteInterval = 4 * time.Second
)

// Keys of rows that a successor reads in its takeover.
var (
	rosterKey            = rowstore.Key{Table: "lease", Part: sharedPart, Key: "roster"}
	interferenceModelKey = rowstore.Key{Table: "lease", Part: sharedPart, Key: "interference"}
)

// writeSharedRows starts a write of those shared rows that have changed: the roster, the
// numbers of pending jobs and, if it is due, the interference model. It does nothing while
// another write is under way or its event has not been applied.
func (t *leader) writeSharedRows(now time.Duration) {
	if t.isWritingSharedRows {
		return
	}
	t.isWritingSharedRows = true
	roster, expiries := t.buildRoster(now, false)
	rows := map[rowstore.Key]string{rosterKey: encodeRoster(roster)}
	t.addPendingCounts(rows)
	t.addInterferenceModel(rows, now)
	maps.DeleteFunc(rows, func(k rowstore.Key, v string) bool { return t.sharedRows[k] == v })
	maps.Copy(t.sharedRows, rows)
	rosterStored := rosterStoredEvent{expiries}
	go func() {
		if t.putSharedRows(rows) {
			t.post(t.ctx, rosterStored)
		}
	}()
}

// addPendingCounts adds the row with the numbers of pending jobs and the time up to which
// accepted jobs are counted.
func (t *leader) addPendingCounts(rows map[rowstore.Key]string) {
	value, err := gateway.PendingCounts{AsOf: t.jobsAsOf, Jobs: t.core.PendingJobs()}.Encode()
	if err != nil {
		t.env.Log.WithError(err).Error("numbers of pending jobs not encoded")
		return
	}
	rows[gateway.PendingKey] = string(value)
}

// addInterferenceModel adds the row with the interference model if it is due.
func (t *leader) addInterferenceModel(rows map[rowstore.Key]string, now time.Duration) {
	if now < t.nextModelWrite {
		return
	}
	t.nextModelWrite = now + modelWriteInterval
	value, err := t.core.EncodeInterference()
	if err != nil {
		t.env.Log.WithError(err).Error("interference model not encoded")
		return
	}
	rows[interferenceModelKey] = string(value)
}

// putSharedRows writes rows and reports whether they are durable. It ends the term if they
// can't be written.
func (t *leader) putSharedRows(rows map[rowstore.Key]string) bool {
	var puts []rowstore.Put
	for key, value := range rows {
		puts = append(puts, rowstore.Put{Key: key, Value: []byte(value)})
	}
	for chunk := range slices.Chunk(puts, rowsPerTransaction) {
		if err := t.journal.put(t.ctx, sharedPart, chunk); err != nil {
			t.fail(err)
			return false
		}
	}
	return true
}
