package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"bergamotstile/gateway"
	"bergamotstile/logging"
	"bergamotstile/rowstore"
)

// changesRetryPause is the pause after a failed request for changes.
const changesRetryPause = 100 * time.Millisecond

// followVersions holds, for each table whose changes the coordinator follows after a takeover,
// the version after which it reads the changes.
type followVersions struct{ jobs, runners uint64 }

// takeOver fences predecessors off from the store and rebuilds the state from the stored
// rows. It repeats calls for up to takeoverTimeout while the store refuses them or does not
// answer.
func (coord *coordinator) takeOver(ctx context.Context) (followVersions, error) {
	var versions followVersions
	store := newTakeoverStore(coord.env.Store, coord.env.Clock, coord.env.Log)
	fenceVersion, err := coord.fenceAll(ctx, store)
	if err != nil {
		return versions, err
	}
	coord.core.SetStoreClock(coord.env.Clock(), coord.env.StoreClock())
	coord.core.Configure(coord.env.Queues())
	if versions.jobs, err = coord.loadJobs(ctx, store, fenceVersion); err != nil {
		return versions, err
	}
	registry, err := rowstore.ReadAll(ctx, store, rowstore.Range{Table: coord.env.RunnersTable})
	if err != nil {
		return versions, fmt.Errorf("load registry: %w", err)
	}
	versions.runners = registry.Version
	if err := coord.inheritSharedRows(ctx, store, registry.Rows); err != nil {
		return versions, fmt.Errorf("load shared rows: %w", err)
	}
	registryEvent{rows: registry.Rows, isSnapshot: true}.apply(coord)
	if err := coord.inheritEvacuations(ctx, store); err != nil {
		return versions, fmt.Errorf("load evacuations: %w", err)
	}
	return versions, nil
}

// fenceAll fences all parts. It returns the lowest of the versions from which on no
// predecessor can write there.
func (coord *coordinator) fenceAll(ctx context.Context, store *takeoverStore) (uint64, error) {
	parts := append(gateway.Parts(), sharedPart)
	versions := make([]uint64, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	for i, part := range parts {
		group.Go(func() error {
			return store.retry(ctx, fenceTimeout, func(callCtx context.Context) (err error) {
				versions[i], err = coord.journal.fence(callCtx, part)
				return err
			})
		})
	}
	if err := group.Wait(); err != nil {
		return 0, fmt.Errorf("fence parts of the store: %w", err)
	}
	lowest := versions[0]
	for _, version := range versions {
		lowest = min(lowest, version)
	}
	return lowest, nil
}

// inheritSharedRows takes over what a predecessor stored for its successor: the roster, the
// record of maintenance waves and the interference model. Runners in the registry or in the
// roster may run tasks of the predecessor.
func (coord *coordinator) inheritSharedRows(ctx context.Context, store rowstore.Store, registry []rowstore.Row) error {
	shared, err := rowstore.ReadAll(ctx, store, rowstore.Range{Table: rosterKey.Table, Part: sharedPart})
	if err != nil {
		return err
	}
	var roster []rosterEntry
	var delayed []string
	for _, row := range shared.Rows {
		coord.journal.setVersion(row.Key, row.Version)
		if index, ok := parseRosterRowKey(row.Key); ok {
			coord.sharedRows[row.Key] = string(row.Value)
			coord.rosterRowCount = max(coord.rosterRowCount, index+1)
			roster = append(roster, decodeRoster(string(row.Value))...)
		}
		if isDelayedStartsRow(row.Key) {
			coord.sharedRows[row.Key] = string(row.Value)
			delayed = append(delayed, string(row.Value))
		}
		switch row.Key {
		case listingEpochKey:
			coord.predecessorsList = decodeListingEpoch(row.Value) == coord.term.Epoch
		case wavesKey:
			if err := coord.restoreWaves(ctx, store, row.Value); err != nil {
				return err
			}
		case interferenceModelKey:
			if err := coord.core.RestoreInterference(row.Value); err != nil {
				coord.env.Log.WithError(err).Warn("stored interference model ignored")
			}
		}
	}
	coord.takenOverAt = coord.env.Clock()
	coord.predecessor = predecessor{lastRenewal: coord.term.PredecessorLastRenewal, actingUntil: coord.term.PredecessorActsUntil, leaseDuration: coord.env.LeaseDuration}
	latest := coord.predecessor.latestExpiry(coord.env.Clock())
	inherited := coord.inheritRoster(roster, latest)
	registered := coord.decodeRegistry(registry)
	known := rosterRunners(roster)
	for id := range registered {
		if !known.has(id) {
			inherited = append(inherited, coord.inheritUnlisted(registered[id], latest))
		}
	}
	if coord.term.Epoch > 1 {
		coord.setMisdirectedExpiries(inherited, registered)
	}
	coord.core.SetInheritedRunners(inherited, latest)
	for _, value := range delayed {
		coord.inheritDelayedStarts(value)
	}
	return coord.storeInheritedRoster(ctx, roster, registered)
}

// inheritUnlisted returns what is known of a registered runner that the stored roster does not name.
// latest is when all leases have expired that a predecessor granted.
func (coord *coordinator) inheritUnlisted(info RunnerInfo, latest time.Duration) InheritedRunner {
	if !coord.predecessorsList {
		return InheritedRunner{ID: info.ID, ExpiredAt: latest}
	}
	return InheritedRunner{ID: info.ID, ExpiredAt: coord.takenOverAt, TasksKnown: true}
}

// decodeRegistry returns the entries of the registry by runner ID, without unreadable ones.
func (coord *coordinator) decodeRegistry(rows []rowstore.Row) map[string]RunnerInfo {
	entries := make(map[string]RunnerInfo, len(rows))
	for _, row := range rows {
		if info, err := coord.env.DecodeRunner(row); err == nil {
			entries[row.Key.Key] = info
		}
	}
	return entries
}

// setMisdirectedExpiries sets the expiry of misdirected leases on those runners whose registered
// process the predecessor did not know as settled. If it did not know either that this process
// refuses misdirected calls, the predecessor may have sent calls to an earlier process of the runner
// for as long as it granted leases there.
func (coord *coordinator) setMisdirectedExpiries(inherited []InheritedRunner, registered map[string]RunnerInfo) {
	for i, r := range inherited {
		info, isRegistered := registered[r.ID]
		if !isRegistered || info.Incarnation == 0 || info.Incarnation == coord.settledIncarnations[r.ID] {
			continue
		}
		if process := coord.fencedProcesses[r.ID]; process.incarnation == info.Incarnation {
			inherited[i].MisdirectedExpiredAt = process.expiry
			continue
		}
		inherited[i].MisdirectedExpiredAt = coord.lateCallExpiry(r.ID)
		coord.core.heldTasks.raiseUnconfirmed(r.ID, coord.lateCallExpiry(r.ID))
	}
}

// followJobs posts the rows of accepted and cancelled jobs. While another process may hold
// the coordinator's lease, it posts nothing and reads the same changes again later: that
// process may start tasks of these jobs.
func (coord *coordinator) followJobs(ctx context.Context, after uint64) {
	coord.followTable(ctx, gateway.JobsTable, after, coord.rereadJobs, func(res rowstore.Result, _ bool) bool {
		if !coord.term.IsExclusive() {
			return false
		}
		changes := jobsEvent{rows: res.Rows, asOf: res.Now}
		if res.More {
			changes.asOf = 0 // the store has more changes than this answer holds
		}
		coord.post(ctx, changes)
		return true
	})
}

// followRunners posts the changed rows of the runner registry.
func (coord *coordinator) followRunners(ctx context.Context, after uint64) {
	reread := func(ctx context.Context) (rowstore.Result, error) {
		return rowstore.ReadAll(ctx, coord.env.Store, rowstore.Range{Table: coord.env.RunnersTable})
	}
	coord.followTable(ctx, coord.env.RunnersTable, after, reread, func(res rowstore.Result, isSnapshot bool) bool {
		if len(res.Rows) > 0 {
			coord.post(ctx, registryEvent{res.Rows, isSnapshot})
		}
		return true
	})
}

// errNotExclusive means that another process may hold the coordinator's lease.
var errNotExclusive = errors.New("another process may coordinate")

// rereadJobs reads all rows of the jobs table and posts them page by page, as there may be far more
// of ended jobs than of others. Its result has no rows, and the version and the time of the part
// that it reads first, so that following the changes from there misses none.
func (coord *coordinator) rereadJobs(ctx context.Context) (rowstore.Result, error) {
	var first rowstore.Result
	for i, part := range gateway.Parts() {
		version, now, err := rowstore.ReadPages(ctx, coord.env.Store, rowstore.Range{Table: gateway.JobsTable, Part: part}, func(rows []rowstore.Row) error {
			if !coord.term.IsExclusive() {
				return errNotExclusive
			}
			coord.post(ctx, jobsEvent{rows: rows})
			return nil
		})
		if err != nil {
			return rowstore.Result{}, err
		}
		if i == 0 {
			first.Version, first.Now = version, now
		}
	}
	return first, nil
}

// followTable reads the changes of a table and passes each answer to handle, also one
// without changes. If the store no longer has the changes, it reads all rows again by
// reread and passes them as a snapshot. If handle returns false, it reads the same changes
// again after a pause.
func (coord *coordinator) followTable(ctx context.Context, table string, after uint64, reread func(context.Context) (rowstore.Result, error), handle func(res rowstore.Result, isSnapshot bool) bool) {
	outage := logging.Outage{Log: coord.env.Log.WithField("table", table), Lost: "table changes not read, retrying", Regained: "table changes read again"}
	for ctx.Err() == nil {
		res, err := coord.env.Store.Changes(ctx, table, after, rowstore.ChangesWait)
		isSnapshot := errors.Is(err, rowstore.ErrHistoryGone)
		if isSnapshot {
			coord.env.Count("history_gone", 1)
			res, err = reread(ctx)
		}
		outage.Record(err)
		if err != nil {
			coord.env.Count("feed_retry", 1)
			pause(ctx, changesRetryPause)
			continue
		}
		if !handle(res, isSnapshot) {
			pause(ctx, changesRetryPause)
			continue
		}
		if isSnapshot {
			after = max(after, res.Version)
		} else {
			after = res.NextAfter(after)
		}
	}
}
