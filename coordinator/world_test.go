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

var renders = jobs.Queue{Name: "renders", Service: testService, MaxAttempts: 2, Stretch: 1.5, TargetLatency: time.Second}

// world drives a Core as the platform would.
type world struct {
	t    *testing.T
	core *Core
	now  time.Duration
}

func newWorld(t *testing.T, runners ...RunnerInfo) *world {
	t.Helper()
	w := &world{t: t, core: New(Limits{FarFactor: 2}, silentLog(), nil), now: time.Second}
	w.core.Configure([]jobs.Queue{renders})
	for _, r := range runners {
		w.core.RunnerSeen(r, w.now)
		w.report(Report{Runner: r.ID, Incarnation: 1})
	}
	return w
}

func silentLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func machine(id string, cpu int64) RunnerInfo {
	return RunnerInfo{ID: id, Service: testService, Rack: "r1", Capacity: structs.Resources{CPUMilli: cpu, MemoryMB: 100_000}}
}

func (w *world) accept(id jobs.ID, inherited bool, steps ...jobs.Step) *jobs.Job {
	w.t.Helper()
	spec := jobs.Spec{Text: "text", Steps: steps}
	if err := spec.Check(); err != nil {
		w.t.Fatal(err)
	}
	j := jobs.New(id, renders, spec, 0, 1)
	w.core.Accept(j, inherited, 0)
	return j
}

// schedule returns the orders that a round gives.
func (w *world) schedule() []Order {
	w.now += time.Millisecond
	w.core.Schedule(w.now, 0)
	return w.core.TakeOrders()
}

func (w *world) report(r Report) {
	w.now += time.Millisecond
	if r.Sent == 0 {
		r.Sent = w.now
	}
	w.core.Report(r, w.now)
}

func (w *world) answer(o Order, outcome Outcome, repeated bool) {
	w.now += time.Millisecond
	w.core.Answered(Answer{Order: o, Outcome: outcome, Repeated: repeated}, w.now)
}

// begin accepts a job and returns the starts of its tasks, which the runners have
// accepted.
func (w *world) begin(id jobs.ID, steps ...jobs.Step) []Order {
	w.t.Helper()
	w.accept(id, false, steps...)
	orders := starts(w.schedule())
	for _, o := range orders {
		w.answer(o, Accepted, false)
	}
	return orders
}

func starts(orders []Order) []Order { return ofKind(orders, Start) }

func ofKind(orders []Order, kind OrderKind) []Order {
	var out []Order
	for _, o := range orders {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out
}

func task(id jobs.ID, step, index int) jobs.TaskID {
	return jobs.TaskID{Job: id, Step: step, Index: index}
}

func plain(count int, cpu int64, after ...int) jobs.Step {
	return jobs.Step{Count: count, Resources: structs.Resources{CPUMilli: cpu, MemoryMB: 10}, Estimate: time.Second, After: after}
}
