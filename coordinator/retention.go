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
	jobRemovalInterval = 10 * time.Second // between two removals
	// backlogRemovalPause is the time after a removal of maxJobsPerRemoval jobs of a part, after which
	// more may be due. The removals then take little of what the store can write.
	backlogRemovalPause = 500 * time.Millisecond
	retentionMargin     = 30 * time.Second                     // added to the retention of the rows
	maxJobsPerRemoval   = rowstore.MaxTransactionEntries/3 - 1 // in one part of the store; each job has three rows
	// forgetDelay is how long a job is still known to have ended once its rows are removed.
	// Rows that were read before the removal are applied within this time.
	forgetDelay = time.Minute
)

// endedJob is a job that has ended and whose rows may be stored or may still be read. As long
// as it is kept, its rows do not make the coordinator accept the job again.
type endedJob struct {
	endedAt        time.Duration // on the store's clock
	neverAccepted  bool          // cancelled before it was accepted; its only row is the mark
	isBeingRemoved bool          // a removal of the job's rows is under way or its event not applied
	removedAt      time.Duration // on the local clock; zero while the rows may be stored
}

// cancelJob applies a row that marks a job as cancelled. If the job is not known, it was cancelled
// before it was accepted, and the mark keeps it from being accepted until it is removed.
func (coord *coordinator) cancelJob(id jobs.ID, now time.Duration) {
	_, hasEnded := coord.endedJobs[id]
	_, isUnreadable := coord.unreadableJobs[id]
	if !hasEnded && !isUnreadable && !coord.core.HasJob(id) {
		coord.env.Count("cancels_before_acceptance", 1)
		coord.endedJobs[id] = &endedJob{endedAt: coord.env.StoreClock(), neverAccepted: true}
		return
	}
	coord.core.Cancel(id, now)
}

// recordUnreadableJob records that the row of an accepted job can't be read. The job is ignored, and
// its mark as cancelled, if there is one, is kept for a version that can read it.
func (coord *coordinator) recordUnreadableJob(id jobs.ID, err error) {
	coord.env.Count("jobs_unreadable", 1)
	coord.env.Log.WithError(err).Error("unreadable job ignored")
	coord.unreadableJobs[id] = struct{}{}
}

// isRetentionOver reports whether the rows of a job that ended at a time on the store's clock are
// to be removed.
func (coord *coordinator) isRetentionOver(endedAt time.Duration) bool {
	return endedAt < coord.env.StoreClock()-coord.env.Retention-retentionMargin
}

// removeExpiredJobRows starts to remove the rows of jobs that ended longer ago than the
// retention plus retentionMargin, up to maxJobsPerRemoval in each part, and forgets the jobs whose
// rows were removed longer than forgetDelay ago.
func (coord *coordinator) removeExpiredJobRows(now time.Duration) {
	expired := map[string][]expiredJob{}
	fullParts := 0
	for id, ended := range coord.endedJobs {
		if fullParts == len(gateway.Parts()) {
			break // there may be very many
		}
		part := gateway.PartOf(id)
		switch {
		case ended.removedAt > 0:
			if now-ended.removedAt >= forgetDelay {
				coord.forgetEndedJob(id)
			}
		case !ended.isBeingRemoved && coord.isRetentionOver(ended.endedAt) && len(expired[part]) < maxJobsPerRemoval:
			ended.isBeingRemoved = true
			delete(coord.heldWrites, id)
			expired[part] = append(expired[part], expiredJob{id, ended, ended.neverAccepted})
			if len(expired[part]) == maxJobsPerRemoval {
				fullParts++
			}
		}
	}
	for part, expiredJobs := range expired {
		go coord.removeJobRows(part, expiredJobs)
	}
}

// expiredJob is an ended job whose rows are to be removed.
type expiredJob struct {
	id            jobs.ID
	ended         *endedJob // only the event loop uses it
	neverAccepted bool      // as in endedJob
}

// removeJobRows removes the rows of ended jobs from one part of the store, and posts the
// outcome.
func (coord *coordinator) removeJobRows(part string, expired []expiredJob) {
	ctx, cancel := context.WithTimeout(coord.ctx, journalTimeout)
	defer cancel()
	err := coord.journal.removeJobs(ctx, part, expired)
	if err != nil {
		coord.env.Log.WithError(err).WithField("jobs", len(expired)).Warn("rows of ended jobs not removed")
	}
	coord.post(coord.ctx, jobRowsRemovedEvent{expired, err})
}

// jobRowsRemovedEvent brings the outcome of a removal of the rows of ended jobs.
type jobRowsRemovedEvent struct {
	jobs []expiredJob
	err  error
}

func (e jobRowsRemovedEvent) apply(coord *coordinator) {
	if e.err == nil && len(e.jobs) == maxJobsPerRemoval {
		coord.nextJobRemoval = min(coord.nextJobRemoval, coord.env.Clock()+backlogRemovalPause)
	}
	for _, expired := range e.jobs {
		ended := expired.ended
		ended.isBeingRemoved = false
		switch {
		case coord.endedJobs[expired.id] != ended: // the job was submitted again meanwhile
		case e.err != nil:
		case expired.neverAccepted:
			delete(coord.endedJobs, expired.id) // no row was read that would accept the job
		default:
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
