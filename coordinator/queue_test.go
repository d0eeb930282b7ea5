package coordinator

import (
	"context"
	"errors"
	"testing"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/leadership"
	"bergamotstile/rowstore"
	"bergamotstile/structs"
)

// probe is an event that runs a check of the test in its turn.
type probe func(t *leader)

func (p probe) apply(t *leader) { p(t) }

// obedient are runners that accept every order.
type obedient struct{ orders chan Order }

func (o obedient) Hold(context.Context, HoldRequest) (HoldResponse, error) {
	return HoldResponse{}, errNoAnswer
}

func (o obedient) Send(_ context.Context, order Order, _ uint64, _ time.Duration) (Outcome, error) {
	o.orders <- order
	return Accepted, nil
}

// queueWorld is a leader whose loop the test runs, with one runner that runs one task.
type queueWorld struct {
	*rosterHarness
	link   *link
	orders chan Order
	task   jobs.TaskID
}

func newQueueWorld(t *testing.T) *queueWorld {
	t.Helper()
	w := &queueWorld{rosterHarness: newRosterHarness(t), orders: make(chan Order, 16), task: taskID(firstID, 0, 0)}
	l := w.leader
	l.env.Runners = obedient{w.orders}
	l.env.Queues = func() []jobs.Queue { return []jobs.Queue{testQueue} }
	l.events, l.urgent = make(chan posted, eventBuffer), make(chan posted, urgentBuffer)
	l.ended = map[jobs.ID]time.Duration{}
	l.core.Configure([]jobs.Queue{testQueue})
	w.link = w.register()
	info := RunnerInfo{ID: rosterRunner, Service: testService, Capacity: structs.Resources{CPUMilli: 4000, MemoryMB: 1 << 20}}
	l.core.UpdateRunner(info, w.clock.now())
	l.core.ApplyReport(Report{Runner: rosterRunner, Incarnation: 1, Sent: w.clock.now()}, w.clock.now())
	l.core.Accept(jobs.New(firstID, testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(1, 1000)}}, 0, 1), false, 0)
	l.core.Schedule(w.clock.now(), 0)
	for _, o := range l.core.TakeOrders() {
		l.core.ApplyAnswer(Answer{Order: o, Outcome: Accepted}, w.clock.now())
	}
	if len(l.core.jobs[firstID].runs[w.task]) != 1 {
		t.Fatal("the task does not run")
	}
	return w
}

// report returns the report of the runner in which the task goes on.
func (w *queueWorld) report() event {
	return reportEvent{Report{Runner: rosterRunner, Incarnation: 1, Sent: w.clock.now(), Running: []RunStatus{{Task: w.task, Run: 1, Percent: 1}}}, w.link}
}

func (w *queueWorld) cancel() {
	row := rowstore.Row{Key: gateway.CancelKey(firstID), Version: 1}
	w.leader.post(w.t.Context(), jobsEvent{rows: []rowstore.Row{row}})
}

// awaitStop waits until the runner has been told to stop the task.
func (w *queueWorld) awaitStop() {
	w.t.Helper()
	select {
	case o := <-w.orders:
		if o.Kind != Stop || o.Task != w.task {
			w.t.Errorf("order %v for %v, want the stop of %v", o.Kind, o.Task, w.task)
		}
	case <-time.After(patience):
		w.t.Error("the task of the cancelled job is not stopped")
	}
}

// Guards against cancels that wait behind reports: tasks of cancelled jobs were stopped
// seconds late by a coordinator that was behind.
func TestCancelOvertakesAFullQueueOfReports(t *testing.T) {
	w := newQueueWorld(t)
	reports, late := 0, 0 // probes that were applied, and those before the stop was sent
	counted := probe(func(l *leader) {
		reports++
		if l.core.jobs[firstID].State != jobs.Cancelled || len(l.core.orders) > 0 {
			late++
		}
	})
	for len(w.leader.events) < eventBuffer-2 {
		w.leader.post(t.Context(), w.report())
		w.leader.post(t.Context(), counted)
	}
	w.cancel()
	w.leader.drain()
	w.awaitStop()
	if reports == 0 || late > 0 {
		t.Errorf("%d of %d reports were applied before the stop", late, reports)
	}
}

// Guards against a stop that waits for a batch of reports because the loop, which takes
// from either queue, took the cancel first.
func TestStopIsSentBeforeReportsWhicheverQueueIsTakenFirst(t *testing.T) {
	for range 10 {
		w := newQueueWorld(t)
		reports, late := 0, 0
		for range maxBatch / 2 {
			w.leader.post(t.Context(), w.report())
			w.leader.post(t.Context(), probe(func(l *leader) {
				reports++
				if l.core.jobs[firstID] != nil && l.core.jobs[firstID].State != jobs.Cancelled || len(l.core.orders) > 0 {
					late++
				}
			}))
		}
		w.cancel()
		_ = w.runLoop()
		if reports != maxBatch/2 || late > 0 {
			t.Errorf("%d of %d reports were applied before the stop was sent", late, reports)
		}
	}
}

// Guards against a cancel that comes during a batch and waits for the batch to end.
func TestCancelIsAppliedWithinABatch(t *testing.T) {
	w := newQueueWorld(t)
	w.leader.post(t.Context(), w.report())
	w.leader.post(t.Context(), probe(func(*leader) { w.cancel() }))
	state, waiting := jobs.Queued, -1
	w.leader.post(t.Context(), probe(func(l *leader) {
		state, waiting = l.core.jobs[firstID].State, len(l.core.orders)
	}))
	w.leader.post(t.Context(), w.report())
	w.leader.drain()
	if state != jobs.Cancelled || waiting != 0 {
		t.Errorf("at the next event the job was %v and %d orders waited, want it cancelled and the stop sent", state, waiting)
	}
	w.awaitStop()
}

// Guards against reports that lose their order relative to answers: a run whose start
// was answered after a call left may be missing from that call's list.
func TestReportsAndAnswersKeepTheirOrder(t *testing.T) {
	w := newQueueWorld(t)
	var order []string
	mark := func(name string) event { return probe(func(*leader) { order = append(order, name) }) }
	for _, e := range []event{answerEvent{}, reportEvent{}, silentEvent{}, goneEvent{}, storedEvent{}} {
		if w.leader.queueOf(e) != w.leader.queueOf(mark("")) {
			t.Errorf("%T has a queue of its own", e)
		}
	}
	w.leader.post(t.Context(), mark("answer"))
	w.leader.post(t.Context(), mark("report"))
	w.leader.drain()
	if len(order) != 2 || order[0] != "answer" {
		t.Errorf("applied %v, want the answer first", order)
	}
}

// Guards against events of an earlier registration that are applied to a runner that is
// registered anew meanwhile: the registry overtakes them, and runs that were started
// since would be given up and started a second time.
func TestQueuedEventsOfALinkThatEndedAreIgnored(t *testing.T) {
	w := newQueueWorld(t)
	old := w.link
	w.leader.links[rosterRunner] = newLink(w.leader, rosterRunner, "", 0)
	silentEvent{old}.apply(w.leader)
	goneEvent{old, ""}.apply(w.leader)
	reportEvent{Report{Runner: rosterRunner, Incarnation: 2}, old}.apply(w.leader)
	r := w.leader.core.runners[rosterRunner]
	if r.suspect || len(r.runs) != 1 || r.incarnation != 1 {
		t.Errorf("suspect %v, %d runs, incarnation %d after events of the link that ended", r.suspect, len(r.runs), r.incarnation)
	}
}

// Guards against runs at a runner's new address that are given up because another
// runner was found at the old one.
func TestRunnerThatMovedIsNotGone(t *testing.T) {
	w := newQueueWorld(t)
	w.link.unanswered(w.clock.now())
	if !w.link.replaced(ErrWrongRunner) {
		t.Fatal("not replaced")
	}
	w.link.setAddress("new")
	goneEvent{w.link, ""}.apply(w.leader)
	if n := len(w.leader.core.runners[rosterRunner].runs); n != 1 {
		t.Errorf("%d runs left", n)
	}
	w.clock.advance(time.Minute)
	if !w.link.lapses(w.clock.now()) {
		t.Error("the leases of a runner that moved and is silent don't lapse")
	}
}

// Guards against a run that is brought back by a report from before the lapse of its
// runner's leases: nothing would end it any more, and its task would stand still.
func TestReportFromBeforeALapseIsIgnored(t *testing.T) {
	w := newQueueWorld(t)
	before := w.report()
	w.clock.advance(time.Minute)
	w.link.unanswered(w.clock.now())
	w.leader.term = leadership.NewTerm(1, 24*time.Hour, w.clock.now)
	w.leader.lapse(w.clock.now())
	if n := len(w.leader.core.jobs[firstID].runs[w.task]); n != 0 {
		t.Fatalf("%d runs after the lapse", n)
	}
	before.apply(w.leader)
	if n := len(w.leader.core.jobs[firstID].runs[w.task]); n != 0 {
		t.Errorf("%d runs after a report from before the lapse", n)
	}
	w.clock.advance(time.Second)
	w.report().apply(w.leader)
	if n := len(w.leader.core.jobs[firstID].runs[w.task]); n != 1 {
		t.Errorf("%d runs after a report from after the lapse", n)
	}
}

// Guards against a term whose end waits behind queued events: nothing renews the lease
// meanwhile, and it would lapse instead of being released.
func TestEndOfATermGoesBeforeQueuedEvents(t *testing.T) {
	for range 20 {
		w := newQueueWorld(t)
		applied := 0
		for range 64 {
			w.leader.post(t.Context(), probe(func(*leader) { applied++ }))
		}
		w.leader.fail(ErrFenced)
		if err := w.leader.loop(t.Context()); !errors.Is(err, ErrFenced) || applied > 0 {
			t.Fatalf("%d events applied before the end of the term, error %v", applied, err)
		}
	}
}
