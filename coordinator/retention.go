package coordinator

import (
	"context"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// Limits of the removal of rows of ended jobs.
const (
	jobRemovalInterval = 10 * time.Second
	retentionMargin    = 30 * time.Second                     // added to the retention of the rows
	maxJobsPerRemoval  = rowstore.MaxTransactionEntries/3 - 1 // in one part of the store; each job has three rows
	// forgetDelay is how long a job is still known to have ended once its rows are removed.
	// Rows that were read before the removal are applied within this time.
	forgetDelay = time.Minute
)

// endedJob is a job that has ended and whose rows may be stored or may still be read. As long
// as it is kept, its rows do not make the coordinator accept the job again.
type endedJob struct {
	endedAt        time.Duration // on the store's clock
	isBeingRemoved bool          // a removal of the job's rows is under way or its event not applied
	removedAt      time.Duration // on the local clock; zero while the rows may be stored
}

// removeExpiredJobRows starts to remove the rows of jobs that ended longer ago than the
// retention plus retentionMargin, and forgets the jobs whose rows were removed longer than
// forgetDelay ago.
func (coord *coordinator) removeExpiredJobRows(now time.Duration) {
	expired := map[string][]jobs.ID{}
	endedBefore := coord.env.StoreClock() - coord.env.Retention - retentionMargin
	for id, ended := range coord.endedJobs {
		part := gateway.PartOf(id)
		switch {
		case ended.removedAt > 0:
			if now-ended.removedAt >= forgetDelay {
				coord.forgetEndedJob(id)
			}
		case !ended.isBeingRemoved && ended.endedAt < endedBefore && len(expired[part]) < maxJobsPerRemoval:
			ended.isBeingRemoved = true
			delete(coord.heldWrites, id)
			expired[part] = append(expired[part], id)
		}
	}
	for part, ids := range expired {
		go coord.removeJobRows(part, ids)
	}
}

// removeJobRows removes the rows of ended jobs from one part of the store, and posts the
// outcome.
func (coord *coordinator) removeJobRows(part string, ids []jobs.ID) {
	ctx, cancel := context.WithTimeout(coord.ctx, journalTimeout)
	defer cancel()
	err := coord.journal.removeJobs(ctx, part, ids)
	if err != nil {
		coord.env.Log.WithError(err).WithField("jobs", len(ids)).Warn("rows of ended jobs not removed")
	}
	coord.post(coord.ctx, jobRowsRemovedEvent{ids, err})
}

// jobRowsRemovedEvent brings the outcome of a removal of the rows of ended jobs.
type jobRowsRemovedEvent struct {
	ids []jobs.ID
	err error
}

func (e jobRowsRemovedEvent) apply(coord *coordinator) {
	for _, id := range e.ids {
		ended := coord.endedJobs[id]
		ended.isBeingRemoved = false
		if e.err == nil {
			ended.removedAt = coord.env.Clock()
		}
	}
}

// forgetEndedJob forgets an ended job whose rows can no longer be read.
func (coord *coordinator) forgetEndedJob(id jobs.ID) {
	delete(coord.endedJobs, id)
	coord.core.ForgetFinished(id)
	coord.journal.forgetVersion(gateway.ProgressKey(id))
}
