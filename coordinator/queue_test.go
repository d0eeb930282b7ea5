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

// probeEvent is an event that calls a function of the test when it is applied.
type probeEvent func(coord *leader)

func (p probeEvent) apply(coord *leader) { p(coord) }

// acceptingRunners are runners that accept every order.
type acceptingRunners struct{ orders chan Order }

func (o acceptingRunners) Hold(context.Context, PollRequest) (PollResponse, error) {
	return PollResponse{}, errNoAnswer
}

func (o acceptingRunners) Send(_ context.Context, order Order, _ uint64, _ time.Duration) (Outcome, error) {
	o.orders <- order
	return Accepted, nil
}

// loopWorld is a leader whose event loop the test drives, with one runner that runs one
// task.
type loopWorld struct {
	*rosterHarness
	link   *link
	orders chan Order
	task   jobs.TaskID
}

func newLoopWorld(t *testing.T) *loopWorld {
	t.Helper()
	w := &loopWorld{rosterHarness: newRosterHarness(t), orders: make(chan Order, 16), task: taskID(firstID, 0, 0)}
	coord := w.leader
	coord.env.Runners = acceptingRunners{w.orders}
	coord.env.Queues = func() []jobs.Queue { return []jobs.Queue{testQueue} }
	coord.events, coord.urgentEvents = make(chan queuedEvent, eventBufferSize), make(chan queuedEvent, urgentBufferSize)
	coord.endedJobs = map[jobs.ID]time.Duration{}
	coord.core.Configure([]jobs.Queue{testQueue})
	w.link = w.register()
	info := RunnerInfo{ID: testRunnerID, Service: testService, Capacity: structs.Resources{CPUMilli: 4000, MemoryMB: 1 << 20}}
	coord.core.UpdateRunner(info, w.clock.now())
	coord.core.ApplyReport(Report{Runner: testRunnerID, Incarnation: 1, Sent: w.clock.now()}, w.clock.now())
	coord.core.Accept(jobs.New(firstID, testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(1, 1000)}}, 0, 1), false, 0)
	coord.core.Schedule(w.clock.now(), 0)
	for _, o := range coord.core.TakeOrders() {
		coord.core.ApplyAnswer(Answer{Order: o, Outcome: Accepted}, w.clock.now())
	}
	if len(coord.core.jobs[firstID].runs[w.task]) != 1 {
		t.Fatal("the task does not run")
	}
	return w
}

// report returns the event of a report in which the runner lists the task as running.
func (w *loopWorld) report() event {
	return reportEvent{Report{Runner: testRunnerID, Incarnation: 1, Sent: w.clock.now(), Running: []RunStatus{{Task: w.task, Run: 1, Percent: 1}}}, w.link}
}

// cancel posts the cancel of the job.
func (w *loopWorld) cancel() {
	row := rowstore.Row{Key: gateway.CancelKey(firstID), Version: 1}
	w.leader.post(w.t.Context(), jobsEvent{rows: []rowstore.Row{row}})
}

// awaitStop waits until the order to stop the task reaches the runner.
func (w *loopWorld) awaitStop() {
	w.t.Helper()
	select {
	case o := <-w.orders:
		if o.Kind != Stop || o.Task != w.task {
			w.t.Errorf("order %v for %v, want the stop of %v", o.Kind, o.Task, w.task)
		}
	case <-time.After(awaitTimeout):
		w.t.Error("the task of the cancelled job is not stopped")
	}
}

// Guards against cancels that wait behind reports: a coordinator that was behind stopped
// tasks of cancelled jobs seconds late.
func TestCancelOvertakesAFullQueueOfReports(t *testing.T) {
	w := newLoopWorld(t)
	appliedProbes, beforeStop := 0, 0 // number of probes that were applied, and of those applied before the stop was sent
	countingProbe := probeEvent(func(coord *leader) {
		appliedProbes++
		if coord.core.jobs[firstID].State != jobs.Cancelled || len(coord.core.orders) > 0 {
			beforeStop++
		}
	})
	for len(w.leader.events) < eventBufferSize-2 {
		w.leader.post(t.Context(), w.report())
		w.leader.post(t.Context(), countingProbe)
	}
	w.cancel()
	w.leader.applyWaitingEvents()
	w.awaitStop()
	if appliedProbes == 0 || beforeStop > 0 {
		t.Errorf("%d of %d probes were applied before the stop was sent", beforeStop, appliedProbes)
	}
}

// Guards against a stop that waits until a batch of reports is applied. The loop may take an
// event from either queue first. The fault occurred if it took the cancel first.
func TestStopIsSentBeforeReportsWhicheverQueueIsTakenFirst(t *testing.T) {
	for range 10 {
		w := newLoopWorld(t)
		appliedProbes, beforeStop := 0, 0
		for range maxEventBatch / 2 {
			w.leader.post(t.Context(), w.report())
			w.leader.post(t.Context(), probeEvent(func(coord *leader) {
				appliedProbes++
				if coord.core.jobs[firstID] != nil && coord.core.jobs[firstID].State != jobs.Cancelled || len(coord.core.orders) > 0 {
					beforeStop++
				}
			}))
		}
		w.cancel()
		_ = w.runLoop()
		if appliedProbes != maxEventBatch/2 || beforeStop > 0 {
			t.Errorf("%d of %d probes were applied before the stop was sent", beforeStop, appliedProbes)
		}
	}
}

// Guards against a cancel that arrives while a batch of events is applied and waits for the
// end of the batch.
func TestCancelIsAppliedWithinABatch(t *testing.T) {
	w := newLoopWorld(t)
	w.leader.post(t.Context(), w.report())
	w.leader.post(t.Context(), probeEvent(func(*leader) { w.cancel() }))
	state, waitingOrders := jobs.Queued, -1
	w.leader.post(t.Context(), probeEvent(func(coord *leader) {
		state, waitingOrders = coord.core.jobs[firstID].State, len(coord.core.orders)
	}))
	w.leader.post(t.Context(), w.report())
	w.leader.applyWaitingEvents()
	if state != jobs.Cancelled || waitingOrders != 0 {
		t.Errorf("at the next event the job was %v and %d orders waited, want it cancelled and the stop sent", state, waitingOrders)
	}
	w.awaitStop()
}

// Guards against reports and answers to orders that are applied in another order than they
// came: a run whose start was answered after a poll was sent may be missing from the report
// to that poll.
func TestReportsAndAnswersKeepTheirOrder(t *testing.T) {
	w := newLoopWorld(t)
	var applied []string
	mark := func(name string) event { return probeEvent(func(*leader) { applied = append(applied, name) }) }
	for _, e := range []event{answerEvent{}, reportEvent{}, silentEvent{}, runnerReplacedEvent{}, progressStoredEvent{}} {
		if w.leader.channelFor(e) != w.leader.channelFor(mark("")) {
			t.Errorf("%T has a queue of its own", e)
		}
	}
	w.leader.post(t.Context(), mark("answer"))
	w.leader.post(t.Context(), mark("report"))
	w.leader.applyWaitingEvents()
	if len(applied) != 2 || applied[0] != "answer" {
		t.Errorf("applied %v, want the answer first", applied)
	}
}

// Guards against events that were queued before a runner left and was registered again, and
// that are applied to the new registration. Events of the registry are applied before them.
// Runs that were started since would be given up and started a second time.
func TestQueuedEventsOfALinkThatEndedAreIgnored(t *testing.T) {
	w := newLoopWorld(t)
	old := w.link
	w.leader.links[testRunnerID] = newLink(w.leader, testRunnerID, "", 0)
	silentEvent{old}.apply(w.leader)
	runnerReplacedEvent{old, ""}.apply(w.leader)
	reportEvent{Report{Runner: testRunnerID, Incarnation: 2}, old}.apply(w.leader)
	r := w.leader.core.runners[testRunnerID]
	if r.suspect || len(r.runs) != 1 || r.incarnation != 1 {
		t.Errorf("suspect %v, %d runs, incarnation %d after events of the link that ended", r.suspect, len(r.runs), r.incarnation)
	}
}

// Guards against runs on a runner that has moved to a new address and that are given up
// because another runner answered at the old address.
func TestRunnerThatMovedKeepsItsRuns(t *testing.T) {
	w := newLoopWorld(t)
	w.link.recordUnanswered(w.clock.now())
	if !w.link.markReplaced(ErrWrongRunner) {
		t.Fatal("the runner does not count as replaced")
	}
	w.link.setAddress("new")
	runnerReplacedEvent{w.link, ""}.apply(w.leader)
	if n := len(w.leader.core.runners[testRunnerID].runs); n != 1 {
		t.Errorf("%d runs left", n)
	}
	w.clock.advance(time.Minute)
	if !w.link.markExpired(w.clock.now()) {
		t.Error("the leases on a runner that moved and is silent don't expire")
	}
}

// Guards against a report that is applied after the leases on its runner have expired, and
// that was requested before. It would bring back runs that were given up. Nothing would end
// them any more, and their tasks would stand still.
func TestReportFromBeforeLeaseExpiryIsIgnored(t *testing.T) {
	w := newLoopWorld(t)
	earlierReport := w.report()
	w.clock.advance(time.Minute)
	w.link.recordUnanswered(w.clock.now())
	w.leader.term = leadership.NewTerm(1, 24*time.Hour, w.clock.now)
	w.leader.expireLeases(w.clock.now())
	if n := len(w.leader.core.jobs[firstID].runs[w.task]); n != 0 {
		t.Fatalf("%d runs after the leases expired", n)
	}
	earlierReport.apply(w.leader)
	if n := len(w.leader.core.jobs[firstID].runs[w.task]); n != 0 {
		t.Errorf("%d runs after a report from before the leases expired", n)
	}
	w.clock.advance(time.Second)
	w.report().apply(w.leader)
	if n := len(w.leader.core.jobs[firstID].runs[w.task]); n != 1 {
		t.Errorf("%d runs after a report from after the leases expired", n)
	}
}

// Guards against a term whose end waits behind queued events. Nothing renews the
// coordinator's lease meanwhile, and it would expire instead of being released.
func TestEndOfTermPrecedesQueuedEvents(t *testing.T) {
	for range 20 {
		w := newLoopWorld(t)
		applied := 0
		for range 64 {
			w.leader.post(t.Context(), probeEvent(func(*leader) { applied++ }))
		}
		w.leader.fail(ErrFenced)
		if err := w.leader.loop(t.Context()); !errors.Is(err, ErrFenced) || applied > 0 {
			t.Fatalf("%d events applied before the end of the term, error %v", applied, err)
		}
	}
}
