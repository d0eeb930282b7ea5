package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/logging"
	"bergamotstile/rowstore"
)

// Times of the feeds.
const (
	feedWait  = 2 * time.Second
	feedRetry = 100 * time.Millisecond
)

// startVersions are where the feeds begin.
type startVersions struct{ jobs, runners uint64 }

// takeOver bars predecessors from the store and rebuilds the state from its
// rows. While the store refuses calls or does not answer it waits for some seconds.
func (t *leader) takeOver(ctx context.Context) (startVersions, error) {
	var from startVersions
	store := newTakeOverStore(t.env.Store, t.env.Clock, t.env.Log)
	fence, err := t.fenceAll(ctx, store)
	if err != nil {
		return from, err
	}
	t.core.SetStoreClock(t.env.Clock(), t.env.StoreClock())
	t.core.Configure(t.env.Queues())
	if from.jobs, err = t.loadJobs(ctx, store, fence); err != nil {
		return from, err
	}
	registry, err := rowstore.ReadAll(ctx, store, rowstore.Range{Table: t.env.RunnersTable})
	if err != nil {
		return from, fmt.Errorf("load registry: %w", err)
	}
	from.runners = registry.Version
	if err := t.inherit(ctx, store, registry.Rows); err != nil {
		return from, fmt.Errorf("load shared rows: %w", err)
	}
	registryEvent{rows: registry.Rows, whole: true}.apply(t)
	return from, nil
}

func (t *leader) fenceAll(ctx context.Context, store *takeOverStore) (uint64, error) {
	parts := append(gateway.Parts(), sharedPart)
	versions := make([]uint64, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	for i, part := range parts {
		group.Go(func() error {
			return store.repeat(ctx, fenceTimeout, func(call context.Context) (err error) {
				versions[i], err = t.journal.fence(call, part)
				return err
			})
		})
	}
	if err := group.Wait(); err != nil {
		return 0, fmt.Errorf("fence: %w", err)
	}
	lowest := versions[0]
	for _, v := range versions {
		lowest = min(lowest, v)
	}
	return lowest, nil
}

// loadJobs reads every job and returns the version from which on changes are to
// be followed. A predecessor may have started tasks of jobs older than fence.
func (t *leader) loadJobs(ctx context.Context, store rowstore.Store, fence uint64) (uint64, error) {
	parts := gateway.Parts()
	accepted := make([]rowstore.Result, len(parts))
	progress := make([]rowstore.Result, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	for i, part := range parts {
		group.Go(func() (err error) {
			accepted[i], err = rowstore.ReadAll(ctx, store, rowstore.Range{Table: gateway.JobsTable, Part: part})
			return err
		})
		group.Go(func() (err error) {
			progress[i], err = rowstore.ReadAll(ctx, store, rowstore.Range{Table: gateway.ProgressTable, Part: part})
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return 0, fmt.Errorf("load jobs: %w", err)
	}
	from := accepted[0].Version
	t.jobsAsOf = accepted[0].Now
	for i := range parts {
		from = min(from, accepted[i].Version)
		t.jobsAsOf = min(t.jobsAsOf, accepted[i].Now)
		t.restore(accepted[i].Rows, progress[i].Rows, fence)
	}
	return from, nil
}

func (t *leader) restore(accepted, progress []rowstore.Row, fence uint64) {
	records := make(map[jobs.ID][]byte, len(progress))
	for _, row := range progress {
		records[jobs.ID(row.Key.Key)] = row.Value
		t.journal.loaded(row.Key, row.Version)
	}
	var cancelled []jobs.ID
	for _, row := range accepted {
		id, cancel, ok := gateway.ParseJobKey(row.Key.Key)
		if !ok {
			continue
		}
		if cancel {
			cancelled = append(cancelled, id)
			continue
		}
		if err := t.restoreJob(id, row, records[id], row.Version < fence); err != nil {
			t.env.Count("jobs_unreadable", 1)
			t.env.Log.WithError(err).Error("job not taken on")
		}
	}
	for _, id := range cancelled {
		t.core.Cancel(id, t.env.Clock())
	}
}

func (t *leader) restoreJob(id jobs.ID, row rowstore.Row, record []byte, inherited bool) error {
	j, err := jobs.DecodeAccepted(id, row.Value, row.Version)
	if err != nil {
		return err
	}
	if record != nil {
		if err := j.Restore(record); err != nil {
			return err
		}
	}
	if j.State.Terminal() {
		_, ended, err := jobs.DecodeState(record)
		t.ended[id] = ended
		t.core.NoteFinished(id)
		return err
	}
	t.core.Accept(j, inherited, time.Duration(time.Now().UnixNano()))
	return nil
}

// inherit notes which runners may run a predecessor's tasks, and what it had
// learned.
func (t *leader) inherit(ctx context.Context, store rowstore.Store, registry []rowstore.Row) error {
	notes, err := rowstore.ReadAll(ctx, store, rowstore.Range{Table: rosterKey.Table, Part: sharedPart})
	if err != nil {
		return err
	}
	var roster []rosterEntry
	for _, row := range notes.Rows {
		t.journal.loaded(row.Key, row.Version)
		switch row.Key {
		case rosterKey:
			t.sharedRows[row.Key] = string(row.Value)
			roster = decodeRoster(string(row.Value))
		case wavesKey:
			if err := t.inheritWaves(ctx, store, row.Value); err != nil {
				return err
			}
		case learnedKey:
			if err := t.core.Learn(row.Value); err != nil {
				t.env.Log.WithError(err).Warn("starting without what was learned")
			}
		}
	}
	t.predecessor = predecessor{renewed: t.term.PredecessorRenewed, gone: t.term.PredecessorActsUntil, lease: t.env.Lease}
	latest := t.predecessor.latest(t.env.Clock())
	inherited := t.inheritRoster(roster, latest)
	for _, row := range registry {
		if _, err := t.env.DecodeRunner(row); err == nil && !inRoster(roster, row.Key.Key) {
			inherited = append(inherited, InheritedRunner{ID: row.Key.Key, Lapsed: latest})
		}
	}
	t.core.Inherit(inherited, latest)
	return t.dropAnswering(ctx, roster)
}

// followJobs passes on accepted and cancelled jobs. While another process may
// hold the lease, it passes nothing on: that process may start those jobs.
func (t *leader) followJobs(ctx context.Context, after uint64) {
	t.follow(ctx, gateway.JobsTable, after, t.rereadJobs, func(res rowstore.Result, _ bool) bool {
		if !t.term.IsExclusive() {
			return false
		}
		event := jobsEvent{rows: res.Rows, asOf: res.Now}
		if res.More {
			event.asOf = 0 // there are changes that the answer leaves out
		}
		t.post(ctx, event)
		return true
	})
}

func (t *leader) followRunners(ctx context.Context, after uint64) {
	reread := func(ctx context.Context) (rowstore.Result, error) {
		return rowstore.ReadAll(ctx, t.env.Store, rowstore.Range{Table: t.env.RunnersTable})
	}
	t.follow(ctx, t.env.RunnersTable, after, reread, func(res rowstore.Result, whole bool) bool {
		if len(res.Rows) > 0 {
			t.post(ctx, registryEvent{res.Rows, whole})
		}
		return true
	})
}

func (t *leader) rereadJobs(ctx context.Context) (rowstore.Result, error) {
	var all rowstore.Result
	for i, part := range gateway.Parts() {
		res, err := rowstore.ReadAll(ctx, t.env.Store, rowstore.Range{Table: gateway.JobsTable, Part: part})
		if err != nil {
			return rowstore.Result{}, err
		}
		if i == 0 {
			all.Version, all.Now = res.Version, res.Now
		}
		all.Rows = append(all.Rows, res.Rows...)
	}
	return all, nil
}

// follow passes the changes of a table on, also that there were none. Where the history is gone, all rows
// are read again.
func (t *leader) follow(ctx context.Context, table string, after uint64, reread func(context.Context) (rowstore.Result, error), take func(res rowstore.Result, whole bool) bool) {
	outage := logging.Outage{Log: t.env.Log.WithField("table", table), Lost: "changes not read", Regained: "changes read again"}
	for ctx.Err() == nil {
		res, err := t.env.Store.Changes(ctx, table, after, feedWait)
		whole := errors.Is(err, rowstore.ErrHistoryGone)
		if whole {
			t.env.Count("history_gone", 1)
			res, err = reread(ctx)
		}
		outage.Note(err)
		if err != nil {
			t.env.Count("feed_retry", 1)
			pause(ctx, feedRetry)
			continue
		}
		if !take(res, whole) {
			pause(ctx, feedRetry)
			continue
		}
		after = max(after, res.Version)
	}
}
