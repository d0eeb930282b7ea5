package coordinator

import (
	"fmt"
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

var renders = jobs.Queue{Name: "renders", Service: testService, Attempts: 2, Stretch: 1.5, Target: time.Second}

// world drives a Core as the platform would.
type world struct {
	t    *testing.T
	core *Core
	now  time.Duration
}

func newWorld(t *testing.T, runners ...RunnerInfo) *world {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &world{t: t, core: New(Limits{FarFactor: 2}, log, nil), now: time.Second}
	w.core.Configure([]jobs.Queue{renders})
	for _, r := range runners {
		w.core.RunnerSeen(r, w.now)
		w.report(Report{Runner: r.ID, Incarnation: 1})
	}
	return w
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
	return jobs.Step{Count: count, Ask: structs.Resources{CPUMilli: cpu, MemoryMB: 10}, Estimate: time.Second, After: after}
}

// A step whose predecessors are not all done must not start.
func TestStepsStartInOrder(t *testing.T) {
	w := newWorld(t, machine("a", 4000))
	j := w.accept(firstID, false, plain(2, 1000), plain(1, 1000, 0))
	first := starts(w.schedule())
	if len(first) != 2 {
		t.Fatalf("%d starts, want the two tasks of the first step", len(first))
	}
	for i, o := range first {
		w.answer(o, Accepted, false)
		w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{{Number: i + 1, Task: o.Task, Run: 1, How: EndedDone}}, Running: others(first, i)})
		if n := len(starts(w.schedule())); n != i {
			t.Fatalf("after %d ends %d starts", i+1, n)
		}
	}
	w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{{Number: 3, Task: task(firstID, 1, 0), Run: 1, How: EndedDone}}})
	if j.State != jobs.Completed {
		t.Errorf("state %v, want completed", j.State)
	}
}

// others lists the runs after the first n+1.
func others(orders []Order, n int) []RunStatus {
	var out []RunStatus
	for _, o := range orders[n+1:] {
		out = append(out, RunStatus{Task: o.Task, Run: o.Run})
	}
	return out
}

// A runner must not be given more than it has, counting orders without answer.
func TestCapacityIsHeldFromTheOrder(t *testing.T) {
	w := newWorld(t, machine("a", 4000))
	w.accept(firstID, false, plain(9, 1000))
	if n := len(starts(w.schedule())); n != 4 {
		t.Errorf("%d starts on 4 processors", n)
	}
	if n := len(starts(w.schedule())); n != 0 {
		t.Errorf("%d more starts while nothing has ended", n)
	}
}

// A run that is not known holds an unknown part of its runner until it has
// ended. A takeover found runs of cancelled jobs and gave their room away.
func TestNoStartBesideStrayRuns(t *testing.T) {
	w := newWorld(t, machine("a", 4000))
	w.core.NoteFinished(secondID)
	stray := RunStatus{Task: task(secondID, 0, 0), Run: 1}
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{stray}})
	w.accept(firstID, false, plain(1, 1000))
	orders := w.schedule()
	if n := len(starts(orders)); n != 0 {
		t.Errorf("%d starts beside a run that still has to stop", n)
	}
	if n := len(ofKind(orders, Stop)); n != 1 {
		t.Errorf("%d stops, want one for the stray run", n)
	}
	w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{{Number: 1, Task: stray.Task, Run: 1, How: EndedStopped}}})
	if n := len(starts(w.schedule())); n != 1 {
		t.Errorf("%d starts after the stray run has ended", n)
	}
}

// Tasks of an inherited job may run on a runner that has not answered; they
// must wait until it has, or until leases there have lapsed.
func TestInheritedTasksWaitForUnseenRunners(t *testing.T) {
	w := newWorld(t, machine("a", 4000))
	w.core.Inherit([]string{"unseen"}, w.now+10*time.Second)
	w.accept(firstID, true, plain(1, 1000))
	w.accept(secondID, false, plain(1, 1000))
	orders := starts(w.schedule())
	if len(orders) != 1 || orders[0].Task.Job != secondID {
		t.Fatalf("orders %v, want only the job accepted after the takeover", orders)
	}
	w.now += 11 * time.Second
	if n := len(starts(w.schedule())); n != 1 {
		t.Errorf("%d starts after the leases lapsed", n)
	}
}

// A failed run that is listed again, because its acknowledgement was lost, must
// count once.
func TestFailuresCountOnce(t *testing.T) {
	w := newWorld(t, machine("a", 4000), machine("b", 4000))
	j := w.accept(firstID, false, plain(1, 1000))
	o := starts(w.schedule())[0]
	w.answer(o, Accepted, false)
	end := RunEnd{Number: 1, Task: o.Task, Run: 1, How: EndedFailed}
	w.report(Report{Runner: o.Runner, Incarnation: 1, Ended: []RunEnd{end}})
	w.report(Report{Runner: o.Runner, Incarnation: 1, Ended: []RunEnd{end}})
	w.report(Report{Runner: o.Runner, Incarnation: 2, Ended: []RunEnd{end}})
	if j.State.Terminal() {
		t.Errorf("state %v after one failure of two", j.State)
	}
	o = starts(w.schedule())[0]
	w.answer(o, Accepted, false)
	w.report(Report{Runner: o.Runner, Incarnation: 2, Ended: []RunEnd{{Number: 2, Task: o.Task, Run: 2, How: EndedFailed}}})
	if j.State != jobs.Failed {
		t.Errorf("state %v after two failures", j.State)
	}
}

// An order without answer may be carried out later. Its task must not start
// elsewhere before a stop was acknowledged and a later list shows nothing.
func TestUnansweredStartIsRuledOutFirst(t *testing.T) {
	w := newWorld(t, machine("a", 4000), machine("b", 4000))
	w.accept(firstID, false, plain(1, 1000))
	o := starts(w.schedule())[0]
	w.answer(o, RefusedOther, true)
	stops := ofKind(w.schedule(), Stop)
	if len(stops) != 1 {
		t.Fatalf("%d stops, want one", len(stops))
	}
	w.report(Report{Runner: o.Runner, Incarnation: 1})
	if n := len(starts(w.schedule())); n != 0 {
		t.Fatal("started again before the stop was acknowledged")
	}
	w.answer(stops[0], Accepted, false)
	w.report(Report{Runner: o.Runner, Incarnation: 1})
	again := starts(w.schedule())
	if len(again) != 1 || again[0].Run != 2 {
		t.Errorf("orders %v, want run 2", again)
	}
}

// A start that the runner refuses as used up, after an attempt without answer,
// has run there: its end is in the list.
func TestUsedRunAfterLostAnswerIsNotStartedAgain(t *testing.T) {
	w := newWorld(t, machine("a", 4000))
	j := w.accept(firstID, false, plain(1, 1000))
	o := starts(w.schedule())[0]
	w.answer(o, RefusedOld, true)
	if n := len(starts(w.schedule())); n != 0 {
		t.Fatal("started again although the run has ended there")
	}
	w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{{Number: 1, Task: o.Task, Run: 1, How: EndedDone}}})
	if j.State != jobs.Completed {
		t.Errorf("state %v, want completed", j.State)
	}
}

// Work on a runner that started anew is lost and must run again.
func TestRestartedRunnerLosesItsRuns(t *testing.T) {
	w := newWorld(t, machine("a", 4000))
	w.accept(firstID, false, plain(1, 1000))
	o := starts(w.schedule())[0]
	w.answer(o, Accepted, false)
	w.report(Report{Runner: "a", Incarnation: 2})
	if again := starts(w.schedule()); len(again) != 1 || again[0].Run != 2 {
		t.Errorf("orders %v, want run 2", again)
	}
}

// A cancelled job's tasks are stopped, and none starts after that.
func TestCancelStops(t *testing.T) {
	w := newWorld(t, machine("a", 2000))
	j := w.accept(firstID, false, plain(4, 1000))
	for _, o := range starts(w.schedule()) {
		w.answer(o, Accepted, false)
	}
	w.core.Cancel(firstID, w.now)
	orders := w.schedule()
	if len(starts(orders)) != 0 || len(ofKind(orders, Stop)) != 2 || j.State != jobs.Cancelled {
		t.Errorf("orders %v, state %v", orders, j.State)
	}
	w.accept(secondID, false, plain(1, 1000))
	if n := len(starts(w.schedule())); n != 0 {
		t.Error("room of runs that are being stopped was given away")
	}
}

// A gang needs room for all of its tasks, starts with one run number, and one
// end stands for all.
func TestGang(t *testing.T) {
	w := newWorld(t, machine("a", 2000), machine("b", 1000))
	gang := plain(4, 1000)
	gang.Gang = true
	j := w.accept(firstID, false, gang)
	if n := len(starts(w.schedule())); n != 0 {
		t.Fatalf("%d members started without room for all", n)
	}
	w.core.RunnerSeen(machine("c", 1000), w.now)
	w.report(Report{Runner: "c", Incarnation: 1})
	orders := starts(w.schedule())
	if len(orders) != 4 {
		t.Fatalf("%d members started, want 4", len(orders))
	}
	w.report(Report{Runner: orders[0].Runner, Incarnation: 1, Ended: []RunEnd{{Number: 1, Task: orders[0].Task, Run: 1, How: EndedDone}}})
	if j.State != jobs.Completed {
		t.Errorf("state %v after the end of a member", j.State)
	}
}

// Progress that is stored and read back must lose neither done tasks, failed
// runs nor checkpoints: a takeover would run them again.
func TestProgressSurvivesATakeover(t *testing.T) {
	w := newWorld(t, machine("a", 4000))
	saving := plain(4, 1000)
	saving.Checkpoints = true
	w.accept(firstID, false, saving)
	for i, o := range starts(w.schedule()) {
		w.answer(o, Accepted, false)
		how := []How{EndedDone, EndedFailed, EndedStopped, EndedDone}[i]
		w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{{Number: i + 1, Task: o.Task, Run: 1, How: how, Saved: fmt.Sprint("c", i)}}})
	}
	writes, acknowledged, err := w.core.TakeWrites(w.now)
	if err != nil || len(writes) != 1 || acknowledged["a"].Number != 4 {
		t.Fatalf("writes %v, acknowledged %v, error %v", writes, acknowledged, err)
	}
	next := newWorld(t, machine("a", 4000))
	j := jobs.New(firstID, renders, writes[0].Job.Spec, 0, 1)
	if err := j.Restore(writes[0].Value); err != nil {
		t.Fatal(err)
	}
	next.core.Accept(j, true, 0)
	orders := starts(next.schedule())
	if len(orders) != 2 || orders[0].Task.Index != 1 || orders[1].Saved != "c2" {
		t.Errorf("orders %+v, want the two tasks that are not done", orders)
	}
	if j.Failures(task(firstID, 0, 1)) != 1 {
		t.Error("a failed run was forgotten")
	}
}

// New long-running work must not take the room that plain work comes and goes
// in: on full days proofs waited behind it for seconds.
func TestNewLongRunningWorkLeavesRoomForPlainWork(t *testing.T) {
	w := newWorld(t, machine("a", 10_000))
	w.accept(firstID, false, plain(4, 2000))
	for i, o := range starts(w.schedule()) {
		w.answer(o, Accepted, false)
		w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{{Number: i + 1, Task: o.Task, Run: 1, How: EndedDone}}, Running: nil})
	}
	lasting := plain(1, 8000)
	lasting.LongRunning = true
	w.accept(secondID, false, lasting)
	if n := len(starts(w.schedule())); n != 0 {
		t.Error("long-running work took the room of plain work that was there a moment ago")
	}
	w.now += time.Minute
	if n := len(starts(w.schedule())); n != 1 {
		t.Errorf("%d starts after a minute without plain work, want 1", n)
	}
}

// Work that can still meet its objective goes before work that can't.
func TestOnTimeWorkGoesFirst(t *testing.T) {
	w := newWorld(t, machine("a", 1000))
	w.now = time.Minute
	late := jobs.New(firstID, renders, jobs.Spec{Steps: []jobs.Step{plain(1, 1000)}}, 0, 1)
	w.core.Accept(late, false, 0)
	fresh := jobs.New(secondID, renders, jobs.Spec{Steps: []jobs.Step{plain(1, 1000)}}, w.now, 2)
	w.core.Accept(fresh, false, 0)
	w.report(Report{Runner: "a", Incarnation: 1})
	orders := starts(w.schedule())
	if len(orders) != 1 || orders[0].Task.Job != secondID {
		t.Errorf("orders %v, want the job that can be on time", orders)
	}
}

// A stop that an unhealthy runner refuses has done nothing; it must be given
// again, or the task of a cancelled job runs on.
func TestRefusedStopIsRepeated(t *testing.T) {
	w := newWorld(t, machine("a", 1000))
	w.accept(firstID, false, plain(1, 1000))
	w.answer(starts(w.schedule())[0], Accepted, false)
	w.core.Cancel(firstID, w.now)
	stop := ofKind(w.schedule(), Stop)[0]
	w.answer(stop, RefusedOther, false)
	if n := len(ofKind(w.schedule(), Stop)); n != 1 {
		t.Errorf("%d stops after a refused one, want 1", n)
	}
}

// A job whose queue was removed after it was accepted must still run, also under
// a successor that has never seen the queue.
func TestJobOfARemovedQueueRuns(t *testing.T) {
	w := newWorld(t, machine("a", 1000))
	w.core.Configure([]jobs.Queue{{Name: "another", Service: testService}})
	w.accept(firstID, false, plain(1, 1000))
	if n := len(starts(w.schedule())); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// A task whose next failure ends its job goes to a runner that has done
// something lately: with some runners failing all they start, a second unproven
// one failed the job.
func TestLastAttemptGoesToAProvenRunner(t *testing.T) {
	w := newWorld(t, machine("a", 8000), machine("b", 4000), machine("c", 2000))
	w.accept(firstID, false, plain(1, 1000))
	o := starts(w.schedule())[0]
	w.answer(o, Accepted, false)
	proven := map[string]string{"a": "c", "b": "c", "c": "b"}[o.Runner]
	other := jobs.New(secondID, renders, jobs.Spec{Steps: []jobs.Step{plain(1, 10)}}, 0, 1)
	w.core.Accept(other, false, 0)
	x := &run{job: w.core.jobs[secondID], runner: w.core.runners[proven]}
	w.core.noteHealth(x, EndedDone, w.now)
	w.core.Cancel(secondID, w.now)
	w.report(Report{Runner: o.Runner, Incarnation: 1, Ended: []RunEnd{{Number: 1, Task: o.Task, Run: 1, How: EndedFailed}}})
	again := starts(w.schedule())
	if len(again) != 1 || again[0].Runner != proven {
		t.Errorf("orders %+v, want a start on %s", again, proven)
	}
}

// A run may be seen before its job: the registry's answer and the feed of jobs
// are not in step. The job must not start that task again while the run is
// being stopped.
func TestJobSeenAfterItsRunWaitsForTheStop(t *testing.T) {
	w := newWorld(t, machine("a", 4000), machine("b", 4000))
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: task(firstID, 0, 0), Run: 1}}})
	w.accept(firstID, false, plain(1, 1000))
	if n := len(starts(w.schedule())); n != 0 {
		t.Fatal("started beside a run of the same task")
	}
	w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{{Number: 1, Task: task(firstID, 0, 0), Run: 1, How: EndedStopped}}})
	if orders := starts(w.schedule()); len(orders) != 1 || orders[0].Run != 2 {
		t.Errorf("orders %+v, want run 2", orders)
	}
}

// A run may end before its job is known. Acknowledging that end would lose it,
// and the task would run again.
func TestEndSeenBeforeItsJobIsKept(t *testing.T) {
	w := newWorld(t, machine("a", 4000))
	end := RunEnd{Number: 1, Task: task(firstID, 0, 0), Run: 1, How: EndedDone}
	w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{end}})
	if _, acknowledged, _ := w.core.TakeWrites(w.now); acknowledged["a"].Number != 0 {
		t.Error("the end of an unknown job was acknowledged")
	}
	j := w.accept(firstID, false, plain(1, 1000))
	if n := len(starts(w.schedule())); n != 0 {
		t.Error("started a task whose end is listed")
	}
	w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{end}})
	if j.State != jobs.Completed {
		t.Errorf("state %v, want completed", j.State)
	}
	w.core.TakeWrites(w.now)
	late := RunEnd{Number: 2, Task: task(firstID, 0, 0), Run: 2, How: EndedStopped}
	w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{late}})
	if _, acknowledged, _ := w.core.TakeWrites(w.now); acknowledged["a"].Number != 2 {
		t.Error("the end of a finished job is held back")
	}
}

// A queue whose policy allows only some runners must ask first, start only where
// it has a ticket that holds, and ask again when that has run out.
func TestAdvisedQueueStartsOnlyWithTickets(t *testing.T) {
	w := newWorld(t, machine("a", 4000), machine("b", 4000))
	advisedQueue := renders
	advisedQueue.Advised = true
	w.core.Configure([]jobs.Queue{advisedQueue})
	w.accept(firstID, false, plain(2, 3000))
	if n := len(starts(w.schedule())); n != 0 {
		t.Fatalf("%d starts without advice", n)
	}
	requests := w.core.TakeRequests()
	if len(requests) != 1 || len(requests[0].Runners) != 2 {
		t.Fatalf("requests %+v, want one about both runners", requests)
	}
	if w.schedule(); len(w.core.TakeRequests()) != 0 {
		t.Error("asked again before the answer")
	}
	w.core.Advised(requests[0], Advice{Tickets: map[string]string{"b": "t1"}, Valid: time.Second}, nil, w.now)
	orders := starts(w.schedule())
	if len(orders) != 1 || orders[0].Runner != "b" || orders[0].Ticket != "t1" {
		t.Fatalf("orders %+v, want one on b with its ticket", orders)
	}
	w.answer(orders[0], RefusedTicket, false)
	if n := len(starts(w.schedule())); n != 0 {
		t.Error("started with a ticket that was refused")
	}
	if n := len(w.core.TakeRequests()); n != 1 {
		t.Errorf("%d requests after a refused ticket, want 1", n)
	}
}

// An occurrence starts when it is due and not before, and the job is completed
// after the last one.
func TestScheduledJob(t *testing.T) {
	w := newWorld(t, machine("a", 4000))
	spec := jobs.Spec{Steps: []jobs.Step{plain(1, 1000)}, Repeats: 2, First: time.Hour, Interval: time.Minute}
	j := jobs.New(firstID, renders, spec, 0, 1)
	w.core.Accept(j, false, time.Hour-time.Second)
	for i, due := range []time.Duration{time.Hour, time.Hour + time.Minute} {
		w.core.Schedule(w.now, due-time.Second)
		if n := len(starts(w.core.TakeOrders())); n != 0 {
			t.Fatalf("occurrence %d started before its time", i)
		}
		w.core.Schedule(w.now, due)
		orders := starts(w.core.TakeOrders())
		if len(orders) != 1 || orders[0].Task.Occurrence != i {
			t.Fatalf("orders %+v, want occurrence %d", orders, i)
		}
		w.answer(orders[0], Accepted, false)
		w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{{Number: i + 1, Task: orders[0].Task, Run: 1, How: EndedDone}}})
	}
	if j.State != jobs.Completed {
		t.Errorf("state %v, want completed", j.State)
	}
}

// A runner that has no room, or takes no orders, must not be asked again with
// every round: each refused start is a call for nothing.
func TestRefusingRunnerIsLeftAloneForAWhile(t *testing.T) {
	for _, outcome := range []Outcome{RefusedRoom, RefusedOther} {
		w := newWorld(t, machine("a", 4000))
		w.accept(firstID, false, plain(1, 1000))
		w.answer(starts(w.schedule())[0], outcome, false)
		if n := len(starts(w.schedule())); n != 0 {
			t.Errorf("%v: started again at once", outcome)
		}
		w.now += 2 * time.Second
		if n := len(starts(w.schedule())); n != 1 {
			t.Errorf("%v: %d starts after a pause, want 1", outcome, n)
		}
	}
}
