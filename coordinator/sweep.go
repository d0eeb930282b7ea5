package coordinator

import (
	"context"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

const (
	sweepEvery  = 10 * time.Second
	sweepMargin = 30 * time.Second
	sweepJobs   = rowstore.MaxTransactionEntries/3 - 1
)

// sweep removes the rows of jobs that ended long ago.
func (t *leader) sweep() {
	old := map[string][]jobs.ID{}
	limit := t.env.StoreClock() - t.env.Retention - sweepMargin
	for id, ended := range t.endedJobs {
		part := gateway.PartOf(id)
		if ended < limit && len(old[part]) < sweepJobs {
			old[part] = append(old[part], id)
		}
	}
	for part, ids := range old {
		for _, id := range ids {
			delete(t.endedJobs, id)
			t.core.Forget(id)
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
