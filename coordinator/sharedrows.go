package coordinator

import (
	"maps"
	"slices"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/rowstore"
)

const (
	sharedRowsEvery = time.Second
	// learnedEvery is how often what is known of interference is stored.
	learnedEvery = 4 * time.Second
)

// Rows that a successor starts from.
var (
	rosterKey  = rowstore.Key{Table: "lease", Part: sharedPart, Key: "roster"}
	learnedKey = rowstore.Key{Table: "lease", Part: sharedPart, Key: "interference"}
)

// writeSharedRows stores the numbers of pending jobs and the roster where they have
// changed. One write is under way at a time, until its event has been applied.
func (t *leader) writeSharedRows(now time.Duration) {
	if t.storingShared {
		return
	}
	t.storingShared = true
	roster, expiries := t.roster(now, false)
	rows := map[rowstore.Key]string{rosterKey: encodeRoster(roster)}
	t.addPending(rows)
	t.addLearned(rows, now)
	maps.DeleteFunc(rows, func(k rowstore.Key, v string) bool { return t.sharedRows[k] == v })
	maps.Copy(t.sharedRows, rows)
	stored := rosterEvent{expiries}
	go func() {
		if t.putSharedRows(rows) {
			t.post(t.ctx, stored)
		}
	}()
}

// addPending adds the numbers of pending jobs and the time as of which they are known.
func (t *leader) addPending(rows map[rowstore.Key]string) {
	value, err := gateway.PendingCounts{AsOf: t.jobsAsOf, Jobs: t.core.PendingJobs()}.Encode()
	if err != nil {
		t.env.Log.WithError(err).Error("pending jobs not stored")
		return
	}
	rows[gateway.PendingKey] = string(value)
}

// addLearned adds what is known of interference, now and then.
func (t *leader) addLearned(rows map[rowstore.Key]string, now time.Duration) {
	if now < t.nextLearn {
		return
	}
	t.nextLearn = now + learnedEvery
	value, err := t.core.EncodeInterference()
	if err != nil {
		t.env.Log.WithError(err).Error("learned interference not stored")
		return
	}
	rows[learnedKey] = string(value)
}

// putSharedRows stores rows and reports whether they are durable. It ends the term if
// they can't be.
func (t *leader) putSharedRows(rows map[rowstore.Key]string) bool {
	var puts []rowstore.Put
	for key, value := range rows {
		puts = append(puts, rowstore.Put{Key: key, Value: []byte(value)})
	}
	for chunk := range slices.Chunk(puts, jobsPerTransaction) {
		if err := t.journal.put(t.ctx, sharedPart, chunk); err != nil {
			t.fail(err)
			return false
		}
	}
	return true
}
