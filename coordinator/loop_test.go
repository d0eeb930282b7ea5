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
type probeEvent func(coord *coordinator)

func (p probeEvent) apply(coord *coordinator) { p(coord) }

// acceptingRunners are runners that accept every order.
type acceptingRunners struct{ orders chan Order }

func (runners acceptingRunners) Poll(context.Context, PollRequest) (PollResponse, error) {
	return PollResponse{}, errNoAnswer
}

func (runners acceptingRunners) Send(_ context.Context, order Order, _ uint64, _ time.Duration) (OrderResponse, error) {
	runners.orders <- order
	return OrderResponse{Outcome: Accepted}, nil
}

// loopHarness is a coordinator whose event loop the test drives, with one runner that runs
// one task.
type loopHarness struct {
	*rosterHarness
	link   *link
	orders chan Order
	task   jobs.TaskID
}

func newLoopHarness(t *testing.T) *loopHarness {
	t.Helper()
	h := &loopHarness{rosterHarness: newRosterHarness(t), orders: make(chan Order, 16), task: taskID(firstID, 0, 0)}
	coord := h.coordinator
	coord.env.Runners = acceptingRunners{h.orders}
	coord.env.Queues = func() []jobs.Queue { return []jobs.Queue{testQueue} }
	coord.events, coord.urgentEvents = make(chan queuedEvent, eventBufferSize), make(chan queuedEvent, urgentBufferSize)
	coord.endedJobs = map[jobs.ID]*endedJob{}
	coord.core.Configure([]jobs.Queue{testQueue})
	h.link = h.register()
	info := RunnerInfo{ID: testRunnerID, Service: testService, Capacity: structs.Resources{CPUMilli: 4000, MemoryMB: 1 << 20}}
	coord.core.UpdateRunner(info, h.clock.now())
	coord.core.ApplyReport(Report{Runner: testRunnerID, Incarnation: 1, Sent: h.clock.now()}, h.clock.now())
	coord.core.AddJob(jobs.New(firstID, testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(1, 1000)}}, 0, 1), false, 0)
	coord.core.Schedule(h.clock.now(), 0)
	for _, order := range coord.core.TakeOrders() {
		coord.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, h.clock.now())
	}
	if len(coord.core.jobs[firstID].runs[h.task]) != 1 {
		t.Fatal("the task does not run")
	}
	return h
}

// report returns the event of a report in which the runner lists the task as running.
func (h *loopHarness) report() event {
	return reportEvent{Report{Runner: testRunnerID, Incarnation: 1, Sent: h.clock.now(), Running: []RunStatus{{Task: h.task, Run: 1, Percent: 1}}}, h.link}
}

// cancel posts the cancel of the job.
func (h *loopHarness) cancel() {
	row := rowstore.Row{Key: gateway.CancelKey(firstID), Version: 1}
	h.coordinator.post(h.t.Context(), jobsEvent{rows: []rowstore.Row{row}})
}

// awaitStop waits until the order to stop the task reaches the runner.
func (h *loopHarness) awaitStop() {
	h.t.Helper()
	select {
	case order := <-h.orders:
		if order.Kind != Stop || order.Task != h.task {
			h.t.Errorf("order %v for %v, want the stop of %v", order.Kind, order.Task, h.task)
		}
	case <-time.After(awaitTimeout):
		h.t.Error("the task of the cancelled job is not stopped")
	}
}

// Guards against cancels that wait behind reports: a coordinator that was behind stopped
// tasks of cancelled jobs seconds late.
func TestCancelOvertakesAFullQueueOfReports(t *testing.T) {
	h := newLoopHarness(t)
	appliedProbes, beforeStop := 0, 0 // number of probes that were applied, and of those applied before the stop was sent
	countingProbe := probeEvent(func(coord *coordinator) {
		appliedProbes++
		if coord.core.jobs[firstID].State != jobs.Cancelled || len(coord.core.orders) > 0 {
			beforeStop++
		}
	})
	for len(h.coordinator.events) < eventBufferSize-2 {
		h.coordinator.post(t.Context(), h.report())
		h.coordinator.post(t.Context(), countingProbe)
	}
	h.cancel()
	h.coordinator.applyWaitingEvents()
	h.awaitStop()
	if appliedProbes == 0 || beforeStop > 0 {
		t.Errorf("%d of %d probes were applied before the stop was sent", beforeStop, appliedProbes)
	}
}

// Guards against a stop that waits until a batch of reports is applied. The loop may take an
// event from either queue first. The fault occurred if it took the cancel first.
func TestStopIsSentBeforeReportsWhicheverQueueIsTakenFirst(t *testing.T) {
	for range 10 {
		h := newLoopHarness(t)
		appliedProbes, beforeStop := 0, 0
		for range maxEventBatch / 2 {
			h.coordinator.post(t.Context(), h.report())
			h.coordinator.post(t.Context(), probeEvent(func(coord *coordinator) {
				appliedProbes++
				if coord.core.jobs[firstID] != nil && coord.core.jobs[firstID].State != jobs.Cancelled || len(coord.core.orders) > 0 {
					beforeStop++
				}
			}))
		}
		h.cancel()
		_ = h.runLoop()
		if appliedProbes != maxEventBatch/2 || beforeStop > 0 {
			t.Errorf("%d of %d probes were applied before the stop was sent", beforeStop, appliedProbes)
		}
	}
}

// Guards against a cancel that arrives while a batch of events is applied and waits for the
// end of the batch.
func TestCancelIsAppliedWithinABatch(t *testing.T) {
	h := newLoopHarness(t)
	h.coordinator.post(t.Context(), h.report())
	h.coordinator.post(t.Context(), probeEvent(func(*coordinator) { h.cancel() }))
	state, waitingOrders := jobs.Queued, -1
	h.coordinator.post(t.Context(), probeEvent(func(coord *coordinator) {
		state, waitingOrders = coord.core.jobs[firstID].State, len(coord.core.orders)
	}))
	h.coordinator.post(t.Context(), h.report())
	h.coordinator.applyWaitingEvents()
	if state != jobs.Cancelled || waitingOrders != 0 {
		t.Errorf("at the next event the job was %v and %d orders waited, want it cancelled and the stop sent", state, waitingOrders)
	}
	h.awaitStop()
}

// Guards against reports and answers to orders that are applied in another order than they
// came: a run whose start was answered after a poll was sent may be missing from the report
// to that poll.
func TestReportsAndAnswersKeepTheirOrder(t *testing.T) {
	h := newLoopHarness(t)
	var applied []string
	mark := func(name string) event { return probeEvent(func(*coordinator) { applied = append(applied, name) }) }
	for _, e := range []event{answerEvent{}, reportEvent{}, runnerSilentEvent{}, runnerReplacedEvent{}, progressStoredEvent{}} {
		if h.coordinator.channelFor(e) != h.coordinator.channelFor(mark("")) {
			t.Errorf("%T has a queue of its own", e)
		}
	}
	h.coordinator.post(t.Context(), mark("answer"))
	h.coordinator.post(t.Context(), mark("report"))
	h.coordinator.applyWaitingEvents()
	if len(applied) != 2 || applied[0] != "answer" {
		t.Errorf("applied %v, want the answer first", applied)
	}
}

// Guards against events that were queued before a runner left and was registered again, and
// that are applied to the new registration. Events of the registry are applied before them.
// Runs that were started since would be recorded as lost, and their tasks started a second
// time.
func TestQueuedEventsOfALinkThatEndedAreIgnored(t *testing.T) {
	h := newLoopHarness(t)
	old := h.link
	h.coordinator.links[testRunnerID] = newLink(h.coordinator, testRunnerID, "", 0)
	runnerSilentEvent{old}.apply(h.coordinator)
	runnerReplacedEvent{old, ""}.apply(h.coordinator)
	reportEvent{Report{Runner: testRunnerID, Incarnation: 2}, old}.apply(h.coordinator)
	r := h.coordinator.core.runners[testRunnerID]
	if r.cannotExtendLeases || len(r.runs) != 1 || r.incarnation != 1 {
		t.Errorf("cannot extend leases: %v, %d runs, incarnation %d after events of the link that ended", r.cannotExtendLeases, len(r.runs), r.incarnation)
	}
}

// Guards against runs that are recorded as lost because another runner answered at the old
// address of their runner, which has moved to a new address.
func TestRunnerThatMovedKeepsItsRuns(t *testing.T) {
	h := newLoopHarness(t)
	h.link.recordUnanswered(h.clock.now())
	if !h.link.markReplaced(ErrWrongRunner) {
		t.Fatal("the runner does not count as replaced")
	}
	h.link.setRegistration(RunnerInfo{Address: "new"}, h.clock.now())
	runnerReplacedEvent{h.link, ""}.apply(h.coordinator)
	if n := len(h.coordinator.core.runners[testRunnerID].runs); n != 1 {
		t.Errorf("%d runs left", n)
	}
	h.clock.advance(time.Minute)
	if !h.link.markExpired(h.clock.now()) {
		t.Error("the leases on a runner that moved and is silent don't expire")
	}
}

// Guards against a report that is applied after the leases on its runner have expired, and
// that was requested before. It would restore runs that were recorded as lost. Nothing would
// remove them any more, and their tasks would not run again.
func TestReportFromBeforeLeaseExpiryIsIgnored(t *testing.T) {
	h := newLoopHarness(t)
	earlierReport := h.report()
	h.clock.advance(time.Minute)
	h.link.recordUnanswered(h.clock.now())
	h.coordinator.term = leadership.NewTerm(1, 24*time.Hour, h.clock.now)
	h.coordinator.expireLeases(h.clock.now())
	if n := len(h.coordinator.core.jobs[firstID].runs[h.task]); n != 0 {
		t.Fatalf("%d runs after the leases expired", n)
	}
	earlierReport.apply(h.coordinator)
	if n := len(h.coordinator.core.jobs[firstID].runs[h.task]); n != 0 {
		t.Errorf("%d runs after a report from before the leases expired", n)
	}
	h.clock.advance(time.Second)
	h.report().apply(h.coordinator)
	if n := len(h.coordinator.core.jobs[firstID].runs[h.task]); n != 1 {
		t.Errorf("%d runs after a report from after the leases expired", n)
	}
}

// Guards against a term whose end waits behind queued events. Nothing renews the
// coordinator's lease meanwhile, and it would expire instead of being released.
func TestEndOfTermPrecedesQueuedEvents(t *testing.T) {
	for range 20 {
		h := newLoopHarness(t)
		applied := 0
		for range 64 {
			h.coordinator.post(t.Context(), probeEvent(func(*coordinator) { applied++ }))
		}
		h.coordinator.fail(ErrFenced)
		if err := h.coordinator.loop(t.Context()); !errors.Is(err, ErrFenced) || applied > 0 {
			t.Fatalf("%d events applied before the end of the term, error %v", applied, err)
		}
	}
}
