package coordinator

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/jobs"
)

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
	w.core.Inherit([]InheritedRunner{{"unseen", w.now + 10*time.Second}}, w.now+10*time.Second)
	w.accept(firstID, true, plain(1, 1000))
	w.accept(secondID, false, plain(1, 1000))
	orders := starts(w.schedule())
	if len(orders) != 1 || orders[0].Task.Job != secondID {
		t.Fatalf("orders %v, want only the job accepted after the takeover", orders)
	}
	w.core.LapseInherited(w.now)
	if n := len(starts(w.schedule())); n != 0 {
		t.Errorf("%d starts before the leases lapsed", n)
	}
	w.now += 11 * time.Second
	w.core.LapseInherited(w.now)
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
