package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

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

// An occurrence starts when it is due and not before, and the job is completed
// after the last one.
func TestScheduledJob(t *testing.T) {
	w := newWorld(t, machine("a", 4000))
	spec := jobs.Spec{Steps: []jobs.Step{plain(1, 1000)}, Repeats: 2, FirstDue: time.Hour, Interval: time.Minute}
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

// Work that found no runner must look again only at runners that have changed,
// but soon at all of them: on a deployment of 490 runners looking at each in every
// round left the coordinator no time to stop the tasks of cancelled jobs.
func TestWaitingWorkLooksAtChangedRunners(t *testing.T) {
	w := newWorld(t, machine("a", 1000), machine("b", 1000))
	w.accept(firstID, false, plain(3, 1000))
	first := starts(w.schedule())
	if len(first) != 2 {
		t.Fatalf("%d starts, want 2", len(first))
	}
	waiting := w.core.jobs[firstID].work[[2]int{0, 0}]
	if since := w.core.full.since(waiting, w.now); since == 0 || w.core.pick(waiting, w.now, nil, since) != nil {
		t.Error("runners that have not changed are looked at again")
	}
	w.answer(first[0], Accepted, false)
	w.report(Report{Runner: first[0].Runner, Incarnation: 1, Ended: []RunEnd{{Number: 1, Task: first[0].Task, Run: 1, How: EndedDone}}})
	if n := len(starts(w.schedule())); n != 1 {
		t.Errorf("%d starts once a runner has room, want 1", n)
	}
	w.accept(secondID, false, plain(1, 1000))
	w.schedule()
	waiting = w.core.jobs[secondID].work[[2]int{0, 0}]
	if since := w.core.full.since(waiting, w.now+refreshTime); since != 0 {
		t.Error("some obstacles end with time, and not all runners are looked at again")
	}
}
