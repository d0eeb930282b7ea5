package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// runnerInDomain returns the registry entry of a runner with four processors in a failure
// domain.
func runnerInDomain(id, domain string) RunnerInfo {
	info := testRunner(id, 4000)
	info.Domain = domain
	return info
}

// evacuate sets the evacuated domains.
func (h *coreHarness) evacuate(domains ...string) {
	h.now += time.Millisecond
	h.core.SetEvacuatedDomains(domains, h.now)
}

// runnersOf returns the runners of the orders, sorted.
func runnersOf(orders []Order) []string {
	var ids []string
	for _, order := range orders {
		ids = append(ids, order.Runner)
	}
	slices.Sort(ids)
	return ids
}

// hasMessage reports whether a line with the message was logged at the level.
func hasMessage(hook *test.Hook, level logrus.Level, message string) bool {
	return slices.ContainsFunc(hook.AllEntries(), func(e *logrus.Entry) bool { return e.Level == level && e.Message == message })
}

// Guards against starts in an evacuated domain: of waiting tasks, on a runner that registers
// later, and on one that moves there.
func TestNothingStartsInAnEvacuatedDomain(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"), runnerInDomain("b", "west"))
	h.evacuate("east")
	h.addJob(firstID, false, plainStep(8, 1000))
	if got := runnersOf(startOrders(h.schedule())); !slices.Equal(got, []string{"b", "b", "b", "b"}) {
		t.Errorf("started on %v, want on b only", got)
	}
	h.core.UpdateRunner(runnerInDomain("c", "east"), h.now)
	h.report(Report{Runner: "c", Incarnation: 1})
	h.core.UpdateRunner(runnerInDomain("d", "north"), h.now)
	h.report(Report{Runner: "d", Incarnation: 1})
	h.core.UpdateRunner(runnerInDomain("d", "east"), h.now)
	if got := startOrders(h.schedule()); len(got) != 0 {
		t.Errorf("started on %v, whose domain is evacuated", runnersOf(got))
	}
	waiting := h.core.waitingSteps[0]
	if got, want := h.core.describeObstacles(waiting, h.now), "in an evacuated domain 3, no free capacity 1"; got != want {
		t.Errorf("the log says %q, want %q", got, want)
	}
}

// Guards against capacity of an evacuated domain that counts as free: a rack there would be
// tried first for a gang, and work would be put off for room that it can't use.
func TestCapacityOfAnEvacuatedDomainIsNoRoom(t *testing.T) {
	evacuated := runnerInDomain("a", "east")
	evacuated.Rack, evacuated.Capacity.CPUMilli = "r9", 64_000
	h := newCoreHarness(t, evacuated, runnerInDomain("b", "west"))
	h.evacuate("east")
	if got := h.core.racksByFreeCapacity(); !slices.Equal(got, []string{"r1"}) {
		t.Errorf("racks with free capacity: %v", got)
	}
	h.schedule()
	if res := h.core.serviceReservations.forService(testService); res.totalMilli != 4000 || res.freeMilli != 4000 {
		t.Errorf("%v of %v thousandths count as free", res.freeMilli, res.totalMilli)
	}
}

// Guards against a start that was ordered before an evacuation, has not been sent, and is sent
// after it.
func TestStartThatWasNotSentIsWithdrawn(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"))
	h.addJob(firstID, false, plainStep(1, 1000))
	order := startOrders(h.schedule())[0]
	h.core.UpdateRunner(runnerInDomain("b", "west"), h.now)
	h.report(Report{Runner: "b", Incarnation: 1})
	h.evacuate("east")
	if order.beginAttempt() {
		t.Error("the order may still be sent")
	}
	again := h.schedule()
	if len(again) != 1 || again[0].Kind != Start || again[0].Runner != "b" || again[0].Run <= order.Run {
		t.Errorf("orders %+v after the evacuation, want a start with a new run number on b", again)
	}
	if n := len(h.core.runners["a"].runs); n != 0 || h.core.runners["a"].held.CPUMilli != 0 {
		t.Errorf("%d runs are left on the evacuated runner", n)
	}
	h.answer(order, Accepted, false)
	if run := h.core.jobs[firstID].runs[again[0].Task][0]; run.state != stateStarting {
		t.Error("an answer to the withdrawn order is applied to the new run")
	}
}

// Guards against a task that is started elsewhere while the runner of an evacuated domain may
// have started it: the answer to the order got lost, or the order is on its way.
func TestStartThatMayHaveBeenSentIsStopped(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"))
	h.addJob(firstID, false, plainStep(1, 1000))
	order := startOrders(h.schedule())[0]
	h.core.UpdateRunner(runnerInDomain("b", "west"), h.now)
	h.report(Report{Runner: "b", Incarnation: 1})
	if !order.beginAttempt() {
		t.Fatal("the order is not sent")
	}
	h.evacuate("east")
	if order.beginAttempt() {
		t.Error("the order is sent again")
	}
	orders := h.schedule()
	if len(orders) != 1 || orders[0].Kind != Stop || orders[0].Runner != "a" || orders[0].Run != order.Run {
		t.Fatalf("orders %+v after the evacuation, want the stop of the run only", orders)
	}
	h.answer(orders[0], Accepted, false)
	if got := h.schedule(); len(got) != 0 {
		t.Errorf("orders %+v before the runner's report", got)
	}
	h.report(Report{Runner: "a", Incarnation: 1})
	if got := h.schedule(); len(got) != 1 || got[0].Runner != "b" {
		t.Errorf("orders %+v after the runner's report, want a start on b", got)
	}
}

// blockingRunners are runners that hold every order back until the test releases them.
type blockingRunners struct {
	acceptingRunners
	release chan struct{}
}

func (runners blockingRunners) Send(ctx context.Context, order Order, token uint64, deadline time.Duration) (OrderResponse, error) {
	response, err := runners.acceptingRunners.Send(ctx, order, token, deadline)
	<-runners.release
	return response, err
}

// Guards against a link that sends an order without recording the attempt: the start would be
// taken as never sent, and its task would run twice.
func TestLinkRecordsAttemptsToStart(t *testing.T) {
	h := newLoopHarness(t)
	coord := h.coordinator
	runners := blockingRunners{acceptingRunners{h.orders}, make(chan struct{})}
	coord.env.Runners = runners
	info := coord.core.runners[testRunnerID].RunnerInfo
	info.Domain = "east"
	coord.core.UpdateRunner(info, h.clock.now())
	h.link.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), h.link.token())
	coord.core.AddJob(jobs.New(secondID, testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(1, 1000)}}, 0, 1), false, 0)
	coord.core.Schedule(h.clock.now(), 0)
	coord.sendOrders()
	select {
	case order := <-h.orders:
		if order.Kind != Start || order.Task.Job != secondID {
			t.Fatalf("order %+v", order)
		}
	case <-time.After(awaitTimeout):
		t.Fatal("the start is not sent")
	}
	coord.core.SetEvacuatedDomains([]string{"east"}, h.clock.now())
	close(runners.release)
	if orders := coord.core.TakeOrders(); len(orders) != 1 || orders[0].Kind != Stop || orders[0].Task.Job != secondID {
		t.Errorf("orders %+v while the start is on its way, want its stop", orders)
	}
}

// Guards against a start that is delayed on its way for as long as the leases last, and is
// carried out later than an evacuation permits. The leases must not be taken to end earlier.
func TestDelayedStartIsRefused(t *testing.T) {
	h := newLoopHarness(t)
	const reading = time.Hour
	h.link.recordAnswer(1, reading, h.clock.now(), h.clock.now(), h.link.token())
	h.clock.advance(time.Second)
	granted := h.link.nextRequest().Deadline
	expiresBy := h.link.lease.expiresBy
	target, err := h.link.findOrderTarget(Order{Kind: Start})
	deadline := target.deadline
	if err != nil || deadline != reading+time.Second+maxStartDelay || deadline >= granted {
		t.Errorf("a start may be carried out until %v, leases end at %v; want %v", deadline-reading, granted-reading, time.Second+maxStartDelay)
	}
	if h.link.lease.expiresBy < expiresBy {
		t.Errorf("leases are taken to expire %v earlier", expiresBy-h.link.lease.expiresBy)
	}
}

// evacuations stands for the platform's requests for evacuations. What a coordinator sees of
// them is out of date until it reads them again.
type evacuations struct {
	mu               sync.Mutex
	requested, known []string
}

func (e *evacuations) request(domains ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requested = domains
}

func (e *evacuations) refresh(context.Context, rowstore.Store) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = e.requested
	return nil
}

func (e *evacuations) current() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// setDomain moves a runner of the registry into a failure domain.
func setDomain(t *testing.T, store rowstore.Store, env Environment, id, domain string) {
	t.Helper()
	registry, err := store.Read(t.Context(), rowstore.Range{Table: runnersTable, From: id, To: id + "\x00"})
	if err != nil || len(registry.Rows) != 1 {
		t.Fatalf("registry of %s: %v, %v", id, registry.Rows, err)
	}
	info, err := env.DecodeRunner(registry.Rows[0])
	if err != nil {
		t.Fatal(err)
	}
	info.Domain = domain
	value, err := json.Marshal(info)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(t.Context(), rowstore.Transaction{Puts: []rowstore.Put{{Key: registry.Rows[0].Key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a successor that starts tasks in an evacuated domain, because what it has
// followed of the requests is older than what its predecessor acted on. Also guards against an
// evacuation that is not taken back.
func TestSuccessorReadsEvacuationsBeforeItsFirstStart(t *testing.T) {
	f, store, env, clock := newLongRunningFleet(t, 2)
	setDomain(t, store, env, "r0", "east")
	setDomain(t, store, env, "r1", "west")
	requests := &evacuations{}
	requests.request("east")
	env.EvacuatedDomains, env.RefreshEvacuatedDomains = requests.current, requests.refresh
	g := &gateway.Gateway{Store: store, Clock: clock.now}
	if err := g.Submit(t.Context(), testQueue, firstID, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(8, 1000)}}); err != nil {
		t.Fatal(err)
	}
	defer startCoordinator(env, 1)()
	if !f.await(func() bool { return len(f.runners["r1"].runs) == 4 }) {
		t.Fatal("the tasks are not started outside of the evacuated domain")
	}
	f.mu.Lock()
	n := len(f.runners["r0"].runs) + len(f.runners["r0"].highestRun)
	f.mu.Unlock()
	if n != 0 {
		t.Errorf("%d runs or stops in the evacuated domain", n)
	}
	requests.request()
	_ = requests.refresh(t.Context(), nil)
	if !f.await(func() bool { return len(f.runners["r0"].runs) > 0 }) {
		t.Error("nothing is started after the evacuation was withdrawn")
	}
}

// Guards against an operator who gets no answer to a mistake: the evacuation of a domain that
// does not exist, and of all domains. Also guards against one of all domains that is not obeyed.
func TestUnknownAndCompleteEvacuationsAreReported(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"), runnerInDomain("b", "west"))
	log, hook := test.NewNullLogger()
	h.core.log = log
	h.evacuate("esat")
	if !hasMessage(hook, logrus.ErrorLevel, "evacuation of an unknown domain: no registered runner is in it") {
		t.Error("an unknown domain is not reported")
	}
	h.addJob(firstID, false, plainStep(1, 1000))
	h.evacuate("east", "esat", "west")
	if !hasMessage(hook, logrus.ErrorLevel, "every runner is in an evacuated domain: nothing is started") {
		t.Error("the evacuation of all domains is not reported")
	}
	if got := startOrders(h.schedule()); len(got) != 0 {
		t.Errorf("started on %v although all domains are evacuated", runnersOf(got))
	}
	hook.Reset()
	h.evacuate("east", "esat", "west")
	if n := len(hook.AllEntries()); n != 0 {
		t.Errorf("%d lines for an evacuation that is requested twice", n)
	}
	h.evacuate()
	if got := startOrders(h.schedule()); len(got) != 1 {
		t.Errorf("%d starts after the evacuations were withdrawn, want 1", len(got))
	}
}

// Guards against runners of an evacuated domain, and draining and cordoned ones, that count when
// the share of runners that may be avoided for failures is taken. Where most runners of a service
// were out of service, all others could be avoided, and nothing started for 4 s.
func TestRunnersOutOfServiceAllowNoMoreToBeAvoided(t *testing.T) {
	draining := runnerInDomain("d", "west")
	draining.Draining, draining.Remaining = true, time.Minute
	h := newCoreHarness(t, runnerInDomain("a", "east"), runnerInDomain("b", "east"), runnerInDomain("c", "east"), draining,
		runnerInDomain("x", "west"), runnerInDomain("y", "west"), runnerInDomain("z", "west"))
	if !h.core.mayAvoid(h.core.runners["x"], h.now) {
		t.Fatal("none of 6 runners may be avoided")
	}
	h.core.runners["x"].health.avoidUntil = h.now + time.Minute
	if !h.core.mayAvoid(h.core.runners["y"], h.now) {
		t.Fatal("no second one of 6 runners may be avoided")
	}
	h.evacuate("east")
	if h.core.mayAvoid(h.core.runners["y"], h.now) {
		t.Error("2 of 3 runners in service may be avoided")
	}
	h.core.runners["x"].health.avoidUntil = 0
	h.cordonAndCheck("z", time.Second, false)
	if h.core.mayAvoid(h.core.runners["y"], h.now) {
		t.Error("1 of 2 runners in service may be avoided")
	}
}
