package coordinator

import (
	"errors"
	"maps"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/rowstore"
)

const (
	// sharedRowsInterval is the time between two writes of shared rows, unless an expiry has to be
	// removed or a runner to be listed earlier.
	sharedRowsInterval = time.Second
	// maxSharedRowsAge is how long a stored write of shared rows shows that the store takes rows.
	maxSharedRowsAge = 2 * sharedRowsInterval
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
func (coord *coordinator) writeSharedRows(now time.Duration) {
	if coord.isWritingSharedRows || now < coord.sharedRowsHeldUntil {
		return
	}
	coord.isWritingSharedRows = true
	roster, expiries := coord.buildRoster(now, false)
	coord.beginRosterWrite(roster)
	rows := coord.encodeRosterRows(roster)
	coord.addDelayedStarts(rows)
	coord.addPendingCounts(rows)
	coord.addInterferenceModel(rows, now)
	maps.DeleteFunc(rows, func(k rowstore.Key, v string) bool { return coord.sharedRows[k] == v })
	maps.Copy(coord.sharedRows, rows)
	rosterStored := rosterStoredEvent{roster, expiries}
	go func() {
		rejected, err := coord.putSharedRows(rows)
		if err == nil && rejected.hasRosterRow() {
			err = coord.withdrawListingEpoch()
		}
		switch {
		case err != nil:
			coord.fail(err)
		case rejected.hasRosterRow():
			coord.post(coord.ctx, sharedRowsRejectedEvent{})
		default:
			coord.post(coord.ctx, rosterStored)
		}
	}()
}

// addPendingCounts adds the row with the numbers of pending jobs and the time up to which
// accepted jobs are counted.
func (coord *coordinator) addPendingCounts(rows map[rowstore.Key]string) {
	value, err := gateway.PendingCounts{AsOf: coord.jobsAsOf, Jobs: coord.core.PendingJobs()}.Encode()
	if err == nil && len(value) > coord.env.Limits.maxRowBytes() {
		// Clients can ask only for the queues of the configuration, which is itself one row.
		value, err = gateway.PendingCounts{AsOf: coord.jobsAsOf, Jobs: coord.core.PendingJobsOfConfiguredQueues()}.Encode()
	}
	if err != nil {
		coord.env.Log.WithError(err).Error("numbers of pending jobs not encoded")
		return
	}
	rows[gateway.PendingKey] = string(value)
}

// addInterferenceModel adds the row with the interference model if it is due.
func (coord *coordinator) addInterferenceModel(rows map[rowstore.Key]string, now time.Duration) {
	if now < coord.nextModelWrite {
		return
	}
	coord.nextModelWrite = now + modelWriteInterval
	value, err := coord.core.EncodeInterference()
	if err != nil {
		coord.env.Log.WithError(err).Error("interference model not encoded")
		return
	}
	rows[interferenceModelKey] = string(value)
}

// putSharedRows writes rows and returns those that the store refuses for good. An error ends
// the term.
func (coord *coordinator) putSharedRows(rows map[rowstore.Key]string) (*rejectedRowsError, error) {
	rejected := &rejectedRowsError{}
	if err := coord.journal.put(coord.ctx, sharedPart, toPuts(rows)); err != nil && !errors.As(err, &rejected) {
		return nil, err
	}
	if len(rejected.rows) > 0 {
		coord.recordRejectedSharedRows(rejected)
	}
	return rejected, nil
}
