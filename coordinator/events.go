package coordinator

import (
	"context"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// event is something that happened; apply is called by the loop.
type event interface{ apply(t *leader) }

type (
	reportEvent struct {
		report Report
		link   *link
	}
	silentEvent struct{ link *link }
	// goneEvent says that another runner has the address.
	goneEvent struct {
		link    *link
		address string
	}
	answerEvent struct{ answer Answer }
	// jobsEvent lists accepted and cancelled jobs; with it all are known up to asOf
	// on the store's clock.
	jobsEvent struct {
		rows []rowstore.Row
		asOf time.Duration
	}
	storedEvent struct{ acknowledged map[string]AcknowledgedEnds }
	adviceEvent struct {
		request AdviceRequest
		advice  Advice
		err     error
	}
	// registryEvent lists changed runners; whole means that others are gone.
	registryEvent struct {
		rows  []rowstore.Row
		whole bool
	}
)

func (t *leader) post(ctx context.Context, e event) {
	select {
	case t.queueOf(e) <- posted{e, t.env.Clock()}:
	case <-ctx.Done():
	}
}

func (t *leader) queueOf(e event) chan posted {
	switch e.(type) {
	case jobsEvent, registryEvent:
		return t.urgent
	}
	return t.events
}

func (e adviceEvent) apply(t *leader) {
	t.core.AdviceAnswered(e.request, e.advice, e.err, t.env.Clock())
}

func (e storedEvent) apply(t *leader) {
	t.storing = false
	for id, a := range e.acknowledged {
		if l := t.links[id]; l != nil {
			l.acknowledge(a)
		}
	}
}

// serves reports whether a link is still the one to its runner. An event that was
// queued when its runner left says nothing of one that is registered anew.
func (t *leader) serves(l *link) bool { return t.links[l.runner] == l }

func (e reportEvent) apply(t *leader) {
	if t.serves(e.link) && e.report.Sent >= e.link.lapsedAt {
		t.core.ApplyReport(e.report, t.env.Clock())
	}
	e.link.noteApplied()
}

func (e silentEvent) apply(t *leader) {
	if t.serves(e.link) {
		t.core.MarkRunnerSilent(e.link.runner)
	}
}

func (e answerEvent) apply(t *leader) { t.core.ApplyAnswer(e.answer, t.env.Clock()) }

// apply ignores what was found at an address that the runner has left since: tasks may
// have been started at its new one.
func (e goneEvent) apply(t *leader) {
	if t.serves(e.link) && e.link.remainsAt(e.address) {
		t.core.ExpireRunnerLeases(e.link.runner, t.env.Clock())
	}
}

func (e jobsEvent) apply(t *leader) {
	t.jobsAsOf = max(t.jobsAsOf, e.asOf)
	t.core.Configure(t.env.Queues())
	for _, row := range e.rows {
		t.noteJob(row, false)
	}
}

// noteJob takes on or cancels the job that a row is about.
func (t *leader) noteJob(row rowstore.Row, inherited bool) {
	id, cancel, ok := gateway.ParseJobKey(row.Key.Key)
	if !ok || row.Deleted {
		return
	}
	now := t.env.Clock()
	if cancel {
		t.core.Cancel(id, now)
		return
	}
	if _, over := t.ended[id]; over || t.core.HasJob(id) {
		return
	}
	j, err := jobs.DecodeAccepted(id, row.Value, row.Version)
	if err != nil {
		t.env.Count("jobs_unreadable", 1)
		t.env.Log.WithError(err).Error("job not taken on")
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
			t.env.Log.WithError(err).Warn("registry entry ignored")
			continue
		}
		seen[id] = true
		t.noteRunner(info, now)
	}
	if !e.whole {
		return
	}
	for id := range t.core.runners {
		if !seen[id] {
			t.core.MarkRunnerUnregistered(id, now)
		}
	}
}

func (t *leader) noteRunner(info RunnerInfo, now time.Duration) {
	t.core.UpdateRunner(info, now)
	if l := t.links[info.ID]; l != nil {
		l.setAddress(info.Address)
		return
	}
	l := t.linkTo(info, now)
	ctx, cancel := context.WithCancel(t.ctx)
	l.stop = cancel
	t.links[info.ID] = l
	go l.serve(ctx)
}
