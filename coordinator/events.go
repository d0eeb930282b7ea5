package coordinator

import (
	"context"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// event is something that the event loop has to react to: an answer of a runner, a
// finished write, or changed rows of a table. The loop calls apply.
type event interface{ apply(coord *coordinator) }

type (
	// reportEvent brings a report that a runner sent over a link.
	reportEvent struct {
		report Report
		link   *link
	}
	// runnerSilentEvent says that a poll over a link failed: it was not answered, or another
	// runner answered at the address.
	runnerSilentEvent struct{ link *link }
	// runnerReplacedEvent says that another runner, which now has the address, answered a poll
	// over a link.
	runnerReplacedEvent struct {
		link    *link
		address string
	}
	// answerEvent brings a runner's answer to an order.
	answerEvent struct{ answer Answer }
	// jobsEvent brings rows of accepted and cancelled jobs. Once it is applied, the
	// coordinator knows all jobs that were accepted up to asOf on the store's clock. If asOf
	// is zero, no such time is known.
	jobsEvent struct {
		rows []rowstore.Row
		asOf time.Duration
	}
	// progressStoredEvent says that progress is durable, except for the rows that the store
	// refuses for good, and by runner ID which results the runner may forget.
	progressStoredEvent struct {
		acknowledged map[string]Acknowledgement
		writes       []ProgressWrite
		outcome      *rejectedRowsError
	}
	// adviceEvent brings the answer to a request for advice, or why there is none.
	adviceEvent struct {
		request AdviceRequest
		advice  Advice
		err     error
	}
	// registryEvent brings changed rows of the runner registry. If isSnapshot is set, it
	// brings all rows, and a runner without a row is no longer registered.
	registryEvent struct {
		rows       []rowstore.Row
		isSnapshot bool
	}
)

// post queues an event for the loop. It returns early if ctx ends.
func (coord *coordinator) post(ctx context.Context, e event) {
	select {
	case coord.channelFor(e) <- queuedEvent{e, coord.env.Clock()}:
	case <-ctx.Done():
	}
}

// channelFor returns the channel for an event. Changes of jobs and of the registry are
// urgent.
func (coord *coordinator) channelFor(e event) chan queuedEvent {
	switch e.(type) {
	case jobsEvent, registryEvent:
		return coord.urgentEvents
	}
	return coord.events
}

func (e adviceEvent) apply(coord *coordinator) {
	coord.core.ApplyAdvice(e.request, e.advice, e.err, coord.env.Clock())
}

func (e progressStoredEvent) apply(coord *coordinator) {
	coord.isStoringProgress = false
	coord.recordRejectedProgress(e.writes, e.outcome)
	takesOthers := coord.sharedRowsStoredAt > 0 && coord.env.Clock()-coord.sharedRowsStoredAt < maxSharedRowsAge
	if !coord.heldWrites.canAcknowledge(e.outcome.accepted, takesOthers) {
		return
	}
	for id, acknowledged := range e.acknowledged {
		coord.core.Acknowledge(id, acknowledged)
		if l := coord.links[id]; l != nil {
			l.setAcknowledged(acknowledged)
		}
	}
}

// isCurrentLink reports whether a link is still the one to its runner. A runner that left
// and is registered again has a new link. Events that were queued for the old link do not
// apply to it.
func (coord *coordinator) isCurrentLink(l *link) bool { return coord.links[l.runnerID] == l }

// apply passes a report to the core. It ignores a report if the link is not the current one,
// and if the poll that it answers was sent before the runs on the runner were recorded as lost
// because every lease there had expired: the report may list these runs.
func (e reportEvent) apply(coord *coordinator) {
	if coord.isCurrentLink(e.link) && e.report.Sent >= e.link.expiredAt {
		coord.core.ApplyReport(e.report, coord.env.Clock())
	}
	e.link.signalReportApplied()
}

func (e runnerSilentEvent) apply(coord *coordinator) {
	if coord.isCurrentLink(e.link) {
		coord.core.MarkRunnerSilent(e.link.runnerID)
	}
}

func (e answerEvent) apply(coord *coordinator) { coord.core.ApplyAnswer(e.answer, coord.env.Clock()) }

// apply records that nothing runs on the runner any more. It ignores the event if the runner
// has moved to another address since: tasks may have been started on it there.
func (e runnerReplacedEvent) apply(coord *coordinator) {
	if coord.isCurrentLink(e.link) && e.link.isStillAt(e.address) {
		coord.core.ExpireRunnerLeases(e.link.runnerID, coord.env.Clock())
	}
}

func (e jobsEvent) apply(coord *coordinator) {
	coord.jobsAsOf = max(coord.jobsAsOf, e.asOf)
	coord.core.Configure(coord.env.Queues())
	for _, row := range e.rows {
		coord.applyJobRow(row, false)
	}
}

// applyJobRow accepts or cancels the job that a row is about. A predecessor may have
// started tasks of an inherited job.
func (coord *coordinator) applyJobRow(row rowstore.Row, inherited bool) {
	id, isCancel, ok := gateway.ParseJobKey(row.Key.Key)
	if !ok || row.Deleted {
		return
	}
	now := coord.env.Clock()
	if isCancel {
		coord.cancelJob(id, now)
		return
	}
	if ended, ok := coord.endedJobs[id]; ok && ended.neverAccepted {
		delete(coord.endedJobs, id) // the mark was removed, and the job was submitted again
	}
	if _, hasEnded := coord.endedJobs[id]; hasEnded || coord.core.HasJob(id) {
		return
	}
	j, err := jobs.DecodeAccepted(id, row.Value, row.Version)
	if err != nil {
		coord.recordUnreadableJob(id, err)
		return
	}
	coord.core.AddJob(j, inherited, time.Duration(time.Now().UnixNano()))
}

func (e registryEvent) apply(coord *coordinator) {
	now := coord.env.Clock()
	seen := map[string]bool{}
	for _, row := range e.rows {
		id := row.Key.Key
		if row.Deleted {
			coord.core.MarkRunnerUnregistered(id, now)
			continue
		}
		info, err := coord.env.DecodeRunner(row)
		if err != nil {
			coord.env.Count("runners_unreadable", 1)
			coord.env.Log.WithError(err).Warn("unreadable registry entry ignored")
			continue
		}
		seen[id] = true
		coord.registerRunner(info, now)
	}
	if !e.isSnapshot {
		return
	}
	for id := range coord.core.runners {
		if !seen[id] {
			coord.core.MarkRunnerUnregistered(id, now)
		}
	}
}

// registerRunner passes a registry entry to the core. It creates a link to a runner that
// has none and starts to poll it.
func (coord *coordinator) registerRunner(info RunnerInfo, now time.Duration) {
	coord.core.UpdateRunner(info, now)
	if l := coord.links[info.ID]; l != nil {
		l.setRegistration(info, now)
		if expiry := l.unansweredExpiry(); expiry > 0 {
			coord.core.RaiseInheritedExpiry(info.ID, expiry)
		}
		if l.suspectsRestart() {
			coord.core.heldTasks.raiseUnconfirmed(info.ID, coord.lateCallExpiry(info.ID))
		}
		return
	}
	l := coord.createLink(info, now)
	ctx, cancel := context.WithCancel(coord.ctx)
	l.stop = cancel
	coord.links[info.ID] = l
	go l.pollLoop(ctx)
}
