package coordinator

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
	"bergamotstile/structs"
)

const (
	testService = "paths"
	firstID     = jobs.ID("00000000000000a1")
	secondID    = jobs.ID("00000000000000b2")
)

var testQueue = jobs.Queue{Name: "renders", Service: testService, MaxAttempts: 2, Stretch: 1.5, TargetLatency: time.Second}

// coreHarness drives a Core in a test. It stands for the platform, the runners and the
// coordinator's event loop.
type coreHarness struct {
	t    *testing.T
	core *Core
	now  time.Duration // simulated local time
}

// newCoreHarness returns a harness with the test queue and with runners that have
// reported.
func newCoreHarness(t *testing.T, runners ...RunnerInfo) *coreHarness {
	t.Helper()
	h := &coreHarness{t: t, core: New(Limits{RemoteDataFactor: 2}, discardLog(), nil), now: time.Second}
	h.core.Configure([]jobs.Queue{testQueue})
	for _, info := range runners {
		h.core.UpdateRunner(info, h.now)
		h.report(Report{Runner: info.ID, Incarnation: 1})
	}
	return h
}

// discardLog returns a logger that discards its lines.
func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// testRunner returns the registry entry of a runner, given its processors in thousandths.
func testRunner(id string, cpu int64) RunnerInfo {
	return RunnerInfo{ID: id, Service: testService, Rack: "r1", Capacity: structs.Resources{CPUMilli: cpu, MemoryMB: 100_000}}
}

// addJob adds a job of the test queue to the core.
func (h *coreHarness) addJob(id jobs.ID, inherited bool, steps ...jobs.Step) *jobs.Job {
	h.t.Helper()
	spec := jobs.Spec{Text: "text", Steps: steps}
	if err := spec.Check(); err != nil {
		h.t.Fatal(err)
	}
	j := jobs.New(id, testQueue, spec, 0, 1)
	h.core.AddJob(j, inherited, 0)
	return j
}

// schedule runs one scheduling round and returns the orders issued since the last one.
func (h *coreHarness) schedule() []Order {
	h.now += time.Millisecond
	h.core.Schedule(h.now, 0)
	return h.core.TakeOrders()
}

// report passes a report to the core. If the report does not say when its poll was sent,
// that is the present time.
func (h *coreHarness) report(r Report) {
	h.now += time.Millisecond
	if r.Sent == 0 {
		r.Sent = h.now
	}
	h.core.ApplyReport(r, h.now)
}

// answer passes a runner's answer to an order to the core.
func (h *coreHarness) answer(order Order, outcome Outcome, repeated bool) {
	h.now += time.Millisecond
	h.core.ApplyAnswer(Answer{Order: order, Outcome: outcome, Repeated: repeated}, h.now)
}

// startJob adds a job, confirms the starts of its tasks and returns the start orders.
func (h *coreHarness) startJob(id jobs.ID, steps ...jobs.Step) []Order {
	h.t.Helper()
	h.addJob(id, false, steps...)
	orders := startOrders(h.schedule())
	for _, order := range orders {
		h.answer(order, Accepted, false)
	}
	return orders
}

// startOrders returns the starts among the orders.
func startOrders(orders []Order) []Order { return ordersOfKind(orders, Start) }

// ordersOfKind returns the orders of one kind.
func ordersOfKind(orders []Order, kind OrderKind) []Order {
	var matching []Order
	for _, order := range orders {
		if order.Kind == kind {
			matching = append(matching, order)
		}
	}
	return matching
}

// taskID returns the ID of a task of a job's first occurrence.
func taskID(id jobs.ID, step, index int) jobs.TaskID {
	return jobs.TaskID{Job: id, Step: step, Index: index}
}

// plainStep returns a step of count tasks that each ask for cpu thousandths of a
// processor and are neither serving nor best-effort.
func plainStep(count int, cpu int64, after ...int) jobs.Step {
	return jobs.Step{Count: count, Resources: structs.Resources{CPUMilli: cpu, MemoryMB: 10}, Estimate: time.Second, After: after}
}

// doneResults returns results of ended-done first runs with consecutive numbers from first on.
func doneResults(first int, tasks ...jobs.TaskID) []RunResult {
	var results []RunResult
	for i, task := range tasks {
		results = append(results, RunResult{Number: first + i, Task: task, Run: 1, Kind: EndedDone})
	}
	return results
}

// startTasksOnOneRunner starts the tasks of a job on runner "a" and returns their IDs.
func startTasksOnOneRunner(t *testing.T, h *coreHarness, count int) []jobs.TaskID {
	t.Helper()
	var tasks []jobs.TaskID
	for _, order := range h.startJob(firstID, plainStep(count, 1000)) {
		tasks = append(tasks, order.Task)
	}
	if len(tasks) != count {
		t.Fatalf("%d tasks started, want %d", len(tasks), count)
	}
	return tasks
}

// hasReported returns a function that stands for the coordinator's links: a runner has answered if
// the core has a report of it.
func hasReported(c *Core) func(runnerID string) bool {
	return func(id string) bool { return c.runners[id] != nil && c.runners[id].hasReported }
}

// stateOf returns the state of a job that the core still holds.
func (h *coreHarness) stateOf(id jobs.ID) jobs.State { return h.core.jobs[id].State }
