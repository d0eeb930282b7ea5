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
type event interface{ apply(t *leader) }

type (
	// reportEvent brings a report that a runner sent over a link.
	reportEvent struct {
		report Report
		link   *link
	}
	// silentEvent says that a call over a link was not answered.
	silentEvent struct{ link *link }
	// runnerReplacedEvent says that a call over a link was answered by another runner,
	// which now has the address.
	runnerReplacedEvent struct {
		link    *link
		address string
	}
	// answerEvent brings a runner's answer to an order.
	answerEvent struct{ answer Answer }
	// jobsEvent brings rows of accepted and cancelled jobs. Once it is applied, the
	// coordinator knows all jobs that were accepted up to asOf on the store's clock.
	// A zero asOf says nothing about that.
	jobsEvent struct {
		rows []rowstore.Row
		asOf time.Duration
	}
	// progressStoredEvent says that progress is durable, and up to which result each
	// runner may forget its results, by runner ID.
	progressStoredEvent struct{ acknowledged map[string]AcknowledgedEnds }
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
func (t *leader) post(ctx context.Context, e event) {
	select {
	case t.channelFor(e) <- queuedEvent{e, t.env.Clock()}:
	case <-ctx.Done():
	}
}

// channelFor returns the channel for an event. Changes of jobs and of the registry are
// urgent.
func (t *leader) channelFor(e event) chan queuedEvent {
	switch e.(type) {
	case jobsEvent, registryEvent:
		return t.urgentEvents
	}
	return t.events
}

func (e adviceEvent) apply(t *leader) {
	t.core.AdviceAnswered(e.request, e.advice, e.err, t.env.Clock())
}

func (e progressStoredEvent) apply(t *leader) {
	t.isStoringProgress = false
	for id, a := range e.acknowledged {
		if l := t.links[id]; l != nil {
			l.setAcknowledged(a)
		}
	}
}

// isCurrentLink reports whether a link is still the one to its runner. A runner that
// left and is registered again has a new link. Events that were queued for the old link
// say nothing about it.
func (t *leader) isCurrentLink(l *link) bool { return t.links[l.runnerID] == l }

// apply ignores a report if its call was sent before every lease on the runner had
// expired: the runs that it lists have been given up as lost.
func (e reportEvent) apply(t *leader) {
	if t.isCurrentLink(e.link) && e.report.Sent >= e.link.expiredAt {
		t.core.ApplyReport(e.report, t.env.Clock())
	}
	e.link.signalReportApplied()
}

func (e silentEvent) apply(t *leader) {
	if t.isCurrentLink(e.link) {
		t.core.MarkRunnerSilent(e.link.runnerID)
	}
}

func (e answerEvent) apply(t *leader) { t.core.ApplyAnswer(e.answer, t.env.Clock()) }

// apply records that nothing runs on the runner any more. It ignores the event if the
// runner has moved to another address since: tasks may have been started there.
func (e runnerReplacedEvent) apply(t *leader) {
	if t.isCurrentLink(e.link) && e.link.isStillAt(e.address) {
		t.core.ExpireRunnerLeases(e.link.runnerID, t.env.Clock())
	}
}

func (e jobsEvent) apply(t *leader) {
	t.jobsAsOf = max(t.jobsAsOf, e.asOf)
	t.core.Configure(t.env.Queues())
	for _, row := range e.rows {
		t.applyJobRow(row, false)
	}
}

// applyJobRow accepts or cancels the job that a row is about. A predecessor may have
// started tasks of an inherited job.
func (t *leader) applyJobRow(row rowstore.Row, inherited bool) {
	id, isCancel, ok := gateway.ParseJobKey(row.Key.Key)
	if !ok || row.Deleted {
		return
	}
	now := t.env.Clock()
	if isCancel {
		t.core.Cancel(id, now)
		return
	}
	if _, hasEnded := t.endedJobs[id]; hasEnded || t.core.HasJob(id) {
		return
	}
	j, err := jobs.DecodeAccepted(id, row.Value, row.Version)
	if err != nil {
		t.env.Count("jobs_unreadable", 1)
		t.env.Log.WithError(err).Error("unreadable job ignored")
		return
	}
	t.core.Accept(j, inherited, time.Duration(time.Now().UnixNano()))
}

func (e registryEvent) apply(t *leader) {
	now := t.env.Clock()
	seen := map[string]bool{}
	for _, row := range e.rows {
		id := row.Key.Key
		if row.Deleted {
			t.core.MarkRunnerUnregistered(id, now)
			continue
		}
		info, err := t.env.DecodeRunner(row)
		if err != nil {
			t.env.Count("runners_unreadable", 1)
			t.env.Log.WithError(err).Warn("unreadable registry entry ignored")
			continue
		}
		seen[id] = true
		t.registerRunner(info, now)
	}
	if !e.isSnapshot {
		return
	}
	for id := range t.core.runners {
		if !seen[id] {
			t.core.MarkRunnerUnregistered(id, now)
		}
	}
}

// registerRunner passes a registry entry to the core. It creates a link to a runner that
// has none and starts to poll it.
func (t *leader) registerRunner(info RunnerInfo, now time.Duration) {
	t.core.UpdateRunner(info, now)
	if l := t.links[info.ID]; l != nil {
		l.setAddress(info.Address)
		return
	}
	l := t.createLink(info, now)
	ctx, cancel := context.WithCancel(t.ctx)
	l.stop = cancel
	t.links[info.ID] = l
	go l.pollLoop(ctx)
}
