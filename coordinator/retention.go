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
)

// removeExpiredJobRows removes the rows of jobs that ended longer ago than the retention
// plus retentionMargin.
func (coord *coordinator) removeExpiredJobRows() {
	expired := map[string][]jobs.ID{}
	endedBefore := coord.env.StoreClock() - coord.env.Retention - retentionMargin
	for id, ended := range coord.endedJobs {
		part := gateway.PartOf(id)
		if ended < endedBefore && len(expired[part]) < maxJobsPerRemoval {
			expired[part] = append(expired[part], id)
		}
	}
	for part, ids := range expired {
		for _, id := range ids {
			delete(coord.endedJobs, id)
			coord.core.ForgetFinished(id)
		}
		go func() {
			ctx, cancel := context.WithTimeout(coord.ctx, journalTimeout)
			defer cancel()
			if err := coord.journal.removeJobs(ctx, part, ids); err != nil {
				coord.env.Log.WithError(err).WithField("jobs", len(ids)).Warn("rows of ended jobs not removed")
			}
		}()
	}
}
