package coordinator

import (
	"testing"
	"time"
)

// inheritedWorld has two jobs taken over with a running task each, listed by
// runner "a", while runner "gone" may still run tasks of the predecessor.
func inheritedWorld(t *testing.T) *world {
	t.Helper()
	w := newWorld(t)
	w.core.Inherit([]InheritedRunner{{"a", w.now + time.Hour}, {"gone", w.now + time.Hour}}, w.now+time.Hour)
	lasting := plain(1, 1000)
	lasting.LongRunning = true
	w.accept(firstID, true, lasting)
	w.accept(secondID, true, plain(1, 1000), plain(1, 1000, 0))
	w.core.RunnerSeen(machine("a", 4000), w.now)
	w.listInherited()
	return w
}

func (w *world) listInherited() {
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{
		{Task: task(firstID, 0, 0), Run: 1, Percent: 100}, {Task: task(secondID, 0, 0), Run: 1}}})
}

// endInherited ends both runs and returns what is started then.
func (w *world) endInherited() []Order {
	w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{
		{Number: 1, Task: task(firstID, 0, 0), Run: 1, How: EndedFailed}, {Number: 2, Task: task(secondID, 0, 0), Run: 1, How: EndedDone}}})
	return starts(w.schedule())
}

// A run that ends long after this coordinator has raised the runner's token has
// been seen to end by nobody else. Its task, and the step that its end opens, need
// not wait for runners that can't be reached: a long-running task stood still for
// 12 s (Lavigne store-in-pieces, seed 395662796584).
func TestTaskThatOnlyThisCoordinatorSawEndStartsAtOnce(t *testing.T) {
	w := inheritedWorld(t)
	w.now += locateTime
	w.listInherited()
	orders := w.endInherited()
	if len(orders) != 2 {
		t.Fatalf("orders %+v, want a restart and the next step", orders)
	}
	for _, o := range orders {
		if o.Task.Job == firstID && o.Run != 2 || o.Task.Job == secondID && o.Task.Step != 1 {
			t.Errorf("order %+v", o)
		}
	}
}

// A call of the predecessor may have waited at the runner when its token was
// raised, and tell the predecessor of an end that comes soon after: it may have
// started the task on a runner that does not answer here.
func TestTaskWhoseEndThePredecessorMaySeeWaits(t *testing.T) {
	w := inheritedWorld(t)
	w.now += time.Minute // the end is seen late, and may have come early
	if orders := w.endInherited(); len(orders) != 0 {
		t.Errorf("orders %+v while a runner of the predecessor is not resolved", orders)
	}
	w.core.RunnerLapsed("gone", w.now)
	if orders := starts(w.schedule()); len(orders) != 2 {
		t.Errorf("orders %+v once every runner is resolved, want 2", orders)
	}
}
