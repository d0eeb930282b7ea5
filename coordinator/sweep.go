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
	sweepInterval = 10 * time.Second
	sweepMargin   = 30 * time.Second                     // added to the retention of the rows
	maxSweptJobs  = rowstore.MaxTransactionEntries/3 - 1 // in one part of the store; each job has three rows
)

// sweepEndedJobs removes the rows of jobs that ended longer ago than the retention and
// sweepMargin.
func (t *leader) sweepEndedJobs() {
	expired := map[string][]jobs.ID{}
	endedBefore := t.env.StoreClock() - t.env.Retention - sweepMargin
	for id, ended := range t.endedJobs {
		part := gateway.PartOf(id)
		if ended < endedBefore && len(expired[part]) < maxSweptJobs {
			expired[part] = append(expired[part], id)
		}
	}
	for part, ids := range expired {
		for _, id := range ids {
			delete(t.endedJobs, id)
			t.core.ForgetFinished(id)
		}
		go func() {
			ctx, cancel := context.WithTimeout(t.ctx, journalTimeout)
			defer cancel()
			if err := t.journal.removeJobs(ctx, part, ids); err != nil {
				t.env.Log.WithError(err).WithField("jobs", len(ids)).Warn("rows of ended jobs not removed")
			}
		}()
	}
}
