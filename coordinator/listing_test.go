package coordinator

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/leadership"
	"bergamotstile/rowstore"
	"bergamotstile/structs"
)

// joinRunner adds a runner to the fleet and to the registry.
func (f *fakeFleet) joinRunner(t *testing.T, store rowstore.Store, id string) {
	t.Helper()
	f.mu.Lock()
	f.runners[id] = &fakeRunner{capacity: 4000, runs: map[jobs.TaskID]*fakeRun{}, highestRun: map[jobs.TaskID]int{}}
	f.mu.Unlock()
	value, err := json.Marshal(RunnerInfo{ID: id, Address: id, Service: testService, Labels: []string{id}, Capacity: structs.Resources{CPUMilli: 4000, MemoryMB: 1 << 20}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(t.Context(), rowstore.Transaction{Puts: []rowstore.Put{{Key: rowstore.Key{Table: runnersTable, Key: id}, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// listingCheckingClient records the starts on runners that the stored roster does not name.
type listingCheckingClient struct {
	*fakeFleet
	store rowstore.Store
}

func (c listingCheckingClient) Send(ctx context.Context, order Order, token uint64, deadline time.Duration) (OrderResponse, error) {
	if order.Kind == Start {
		res, err := c.store.Read(ctx, rowstore.Range{Table: rosterKey.Table, Part: rosterKey.Part, From: rosterKey.Key, To: rosterKey.Key + "\x00"})
		if err != nil {
			return OrderResponse{}, err
		}
		if len(res.Rows) == 0 || !rosterRunners(decodeRoster(string(res.Rows[0].Value))).has(order.Runner) {
			c.mu.Lock()
			c.violations = append(c.violations, "start on runner "+order.Runner+", which no stored roster names")
			c.mu.Unlock()
		}
	}
	return c.fakeFleet.Send(ctx, order, token, deadline)
}

// Guards against tasks that run twice: a runner joins just before an outage of the store, in which its
// registry entry expires and the coordinator is lost, so that the successor knows nothing of the
// runner and starts the tasks that run there once more.
func TestNothingIsStartedOnARunnerThatASuccessorWouldNotKnow(t *testing.T) {
	f := newFakeFleet(1, 1)
	f.runTime = time.Hour
	store, env := newDeployment(t, f)
	firstEnv, isDown := crashableEnvironment(env)
	firstEnv.Runners = listingCheckingClient{f, store}
	stop := startCoordinator(firstEnv, 1)
	f.awaitEpoch(t, 1)
	isDown.Store(true)
	f.joinRunner(t, store, "joined")
	g := &gateway.Gateway{Store: store, Clock: env.Clock}
	spec := jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(8, 1000)}} // more than the first runner can take
	if err := g.Submit(t.Context(), testQueue, firstID, spec); err != nil {
		t.Fatal(err)
	}
	f.await(func() bool { return f.runners["joined"].polls > 10 && len(f.runners["r0"].runs) == 4 })
	stop()
	if _, err := store.Commit(t.Context(), rowstore.Transaction{Deletes: []rowstore.Key{{Table: runnersTable, Key: "joined"}}}); err != nil {
		t.Fatal(err)
	}
	f.joinRunner(t, store, "other")
	defer startCoordinator(env, 2)()
	f.await(func() bool { return len(f.runners["other"].runs) == 4 })
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.runners["other"].runs) != 4 {
		t.Errorf("%d tasks run on the other runner, want those that were not started", len(f.runners["other"].runs))
	}
	for _, violation := range f.violations {
		t.Error(violation)
	}
}

// Guards against a runner that is never used because the roster that names it is written only once
// something else changes, and against one write of the roster for each runner that joins.
func TestRunnerThatJoinsIsListedAtTheNextTick(t *testing.T) {
	h := newRosterHarness(t)
	coord := h.coordinator
	coord.listedRunners = nil
	l := h.register()
	l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
	if l.nextRequest().Deadline != 0 {
		t.Fatal("a lease is granted on a runner that no stored roster names")
	}
	if !coord.needsRosterWrite() {
		t.Fatal("no roster is due although a runner waits to be listed")
	}
	coord.writeSharedRows(h.clock.now())
	h.awaitStoredRoster()
	if l.nextRequest().Deadline != 0 {
		t.Error("a lease is granted before the write of the roster is confirmed")
	}
	(<-coord.events).apply(coord)
	if l.nextRequest().Deadline == 0 || coord.needsRosterWrite() {
		t.Error("no lease is granted on a listed runner, or another roster is due")
	}
}

// Guards against a runner that counts as listed although the write under way leaves it out: it left
// and joined again while that write was on its way.
func TestRunnerThatRejoinsWhileTheRosterIsWrittenIsNotListed(t *testing.T) {
	h := newRosterHarness(t)
	coord := h.coordinator
	coord.beginRosterWrite([]rosterEntry{{id: "other"}})
	l := h.register()
	l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
	coord.confirmListed([]rosterEntry{{id: "other"}})
	if l.nextRequest().Deadline != 0 {
		t.Error("a lease is granted on a runner that the stored roster leaves out")
	}
}

// Guards against a fleet on which nothing is started because the store refuses the roster for good.
func TestRefusedRosterKeepsNoRunnerFromBeingUsed(t *testing.T) {
	h := newRosterHarness(t)
	h.coordinator.listedRunners = nil
	l := h.register()
	l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
	sharedRowsRejectedEvent{}.apply(h.coordinator)
	if l.nextRequest().Deadline == 0 {
		t.Error("no lease is granted although the runner can't be listed")
	}
}

// Guards against a successor that takes a runner for idle which its predecessor used although the store
// refused to list it.
func TestRefusedRosterWithdrawsTheListingEpoch(t *testing.T) {
	h := newChainHarness(t)
	h.addJob(1, false)
	h.takeOver(1)
	h.coordinator.journal.store = &limitedStore{Memory: h.store, maxRowBytes: 4}
	h.coordinator.writeSharedRows(h.clock.now())
	if e := <-h.coordinator.events; e.event != (sharedRowsRejectedEvent{}) {
		t.Fatalf("event %T, want that the roster is refused", e.event)
	}
	h.registered = []RunnerInfo{{ID: "joined", Incarnation: 7, Service: testService}}
	h.takeOver(1)
	if got := h.startable(); len(got) > 0 {
		t.Errorf("startable are %v although the predecessor may have started tasks on any runner", got)
	}
}

// Guards against a takeover after which the fleet waits for the first roster of the term, and against
// runners that an earlier roster does not name being polled with a lease before they are listed.
func TestTakeoverListsTheRegisteredRunners(t *testing.T) {
	h := newRosterHarness(t)
	successor := newCoordinatorWithoutLoop(h.coordinator.env, leadership.NewTerm(2, 24*time.Hour, h.clock.now))
	successor.journal = newJournal(h.store, 2, discardLog())
	if _, err := successor.journal.fence(t.Context(), sharedPart); err != nil {
		t.Fatal(err)
	}
	stored := []rosterEntry{{id: "a"}, {id: "lost", expiry: time.Hour}}
	if err := successor.storeInheritedRoster(t.Context(), stored, map[string]RunnerInfo{"a": {ID: "a"}, "joined": {ID: "joined"}}); err != nil {
		t.Fatal(err)
	}
	if row := readRosterRow(t, h.store, ""); !strings.Contains(row, "joined") || !strings.Contains(row, "lost 3600000") {
		t.Errorf("the stored roster is %q", row)
	}
	if !successor.listedRunners.has("joined") || !successor.listedRunners.has("a") {
		t.Errorf("listed are %v", successor.listedRunners)
	}
}
