package coordinator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// loadJobs reads every job, and returns the version after which the changes of jobs are to
// be read. A job whose row is older than fenceVersion is inherited: a predecessor may have
// started its tasks.
func (coord *coordinator) loadJobs(ctx context.Context, store rowstore.Store, fenceVersion uint64) (uint64, error) {
	loader := &jobLoader{coordinator: coord, store: store, fenceVersion: fenceVersion}
	group, ctx := errgroup.WithContext(ctx)
	for _, part := range gateway.Parts() {
		group.Go(func() error { return loader.loadPart(ctx, part) })
	}
	if err := group.Wait(); err != nil {
		return 0, fmt.Errorf("load jobs: %w", err)
	}
	coord.jobsAsOf = loader.asOf
	return loader.followFrom, nil
}

// jobLoader restores the jobs from their rows in a takeover.
//
// It answers this load: far more rows of ended jobs than open jobs, since the rows of an ended job
// stay for some minutes, and longer while they can't be removed. It reads the rows page by page, and
// keeps of an ended job only when it ended.
type jobLoader struct {
	coordinator  *coordinator
	store        rowstore.Store
	fenceVersion uint64

	mu sync.Mutex // guards the fields below and the coordinator
	// followFrom and asOf are the lowest version and time of the first pages of accepted jobs.
	followFrom uint64
	asOf       time.Duration
	hasRead    bool // followFrom and asOf are set
}

// loadPart restores the jobs of one part. It reads their progress first: while this coordinator has
// not taken over, nobody can change it, so the order makes no difference.
func (l *jobLoader) loadPart(ctx context.Context, part string) error {
	open, err := l.loadProgress(ctx, part)
	if err != nil {
		return err
	}
	return l.loadAccepted(ctx, part, open)
}

// loadProgress reads the progress of the jobs of one part. It returns that of the jobs that have not
// ended, and records the others.
func (l *jobLoader) loadProgress(ctx context.Context, part string) (map[jobs.ID]storedProgress, error) {
	open := map[jobs.ID]storedProgress{}
	rows := rowstore.Range{Table: gateway.ProgressTable, Part: part}
	_, _, err := rowstore.ReadPages(ctx, l.store, rows, func(page []rowstore.Row) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, row := range page {
			l.addProgress(open, row)
		}
		return nil
	})
	return open, err
}

// loadAccepted reads the accepted jobs of one part and their marks as cancelled, and restores those
// that have not ended, given their progress.
func (l *jobLoader) loadAccepted(ctx context.Context, part string, open map[jobs.ID]storedProgress) error {
	var cancelled []jobs.ID
	rows := rowstore.Range{Table: gateway.JobsTable, Part: part}
	version, now, err := rowstore.ReadPages(ctx, l.store, rows, func(page []rowstore.Row) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, row := range page {
			id, isCancel, ok := gateway.ParseJobKey(row.Key.Key)
			switch {
			case !ok:
			case isCancel:
				cancelled = append(cancelled, id)
			default:
				l.restoreJob(id, row, open[id])
				delete(open, id)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range cancelled {
		l.coordinator.cancelJob(id, l.coordinator.env.Clock())
	}
	l.recordRead(version, now)
	return nil
}

// recordRead records the version and the time of the first page of a part. The caller holds mu.
func (l *jobLoader) recordRead(version uint64, now time.Duration) {
	if !l.hasRead {
		l.followFrom, l.asOf, l.hasRead = version, now, true
		return
	}
	l.followFrom, l.asOf = min(l.followFrom, version), min(l.asOf, now)
}

// addProgress records a row of progress: of an ended job when it ended, and of any other job the
// row itself. The caller holds mu.
func (l *jobLoader) addProgress(open map[jobs.ID]storedProgress, row rowstore.Row) {
	id, number, ok := gateway.ParseProgressKey(row.Key.Key)
	if !ok {
		return
	}
	if number == 0 {
		state, endedAt, err := jobs.DecodeState(row.Value)
		if err == nil && state.IsTerminal() {
			l.addEnded(id, endedAt)
			return
		}
	}
	l.coordinator.journal.recordRead(row)
	progress := open[id]
	progress.add(number, row.Value)
	open[id] = progress
}

// addEnded records a job that ended under a predecessor. Results of its runs may still be listed for
// some time, but not for as long as its rows are kept. The caller holds mu.
func (l *jobLoader) addEnded(id jobs.ID, endedAt time.Duration) {
	l.coordinator.endedJobs[id] = &endedJob{endedAt: endedAt}
	if !l.coordinator.isRetentionOver(endedAt) {
		l.coordinator.core.MarkFinished(id)
	}
}

// restoreJob adds a job that has not ended to the core, with its stored progress. The caller holds
// mu.
func (l *jobLoader) restoreJob(id jobs.ID, row rowstore.Row, progress storedProgress) {
	if _, hasEnded := l.coordinator.endedJobs[id]; hasEnded {
		return
	}
	j, err := jobs.DecodeAccepted(id, row.Value, row.Version)
	if err == nil {
		err = progress.restore(j)
	}
	if err != nil {
		l.coordinator.recordUnreadableJob(id, err)
		return
	}
	l.coordinator.core.AddJob(j, row.Version < l.fenceVersion, time.Duration(time.Now().UnixNano()))
}
