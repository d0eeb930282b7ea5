package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

const tailTargetMS = 20

func serving(image string) jobs.Step {
	s := plain(1, 4000)
	s.LongRunning, s.Image, s.TailLatencyTarget = true, image, tailTargetMS*time.Millisecond
	return s
}

func filling(count int, image string) jobs.Step {
	s := plain(count, 4000)
	s.BestEffort, s.Image = true, image
	return s
}

// harmWorld has one runner with a serving task at work.
func harmWorld(t *testing.T) (*world, Order) {
	w := newWorld(t, machine("a", 32000))
	o := w.begin(firstID, serving("shop"))[0]
	return w, o
}

// tails reports a tail of the serving task beside the running orders, each
// using all it asked for.
func (w *world) tails(victim Order, beside []Order, ms int) []Order {
	w.now += 500 * time.Millisecond
	running := []RunStatus{{Task: victim.Task, Run: victim.Run, Percent: 100, Load: ms}}
	for _, o := range beside {
		running = append(running, RunStatus{Task: o.Task, Run: o.Run, Percent: 1, Load: 4000})
	}
	w.report(Report{Runner: "a", Incarnation: 1, Running: running})
	return w.core.TakeOrders()
}

// A serving task that stays over its target must have every filling task beside
// it slowed to the least within the time that harm is allowed, also if the
// model blames none of them, and though single readings dip below the target.
func TestLastingHarmSlowsEverything(t *testing.T) {
	w, victim := harmWorld(t)
	w.accept(secondID, false, filling(2, "render"))
	fills := starts(w.schedule())
	if len(fills) != 2 {
		t.Fatalf("%d filling tasks started, want 2", len(fills))
	}
	for _, o := range fills {
		w.answer(o, Accepted, false)
	}
	for range 200 {
		w.core.harm.measure(w.core.runners["a"].find(victim.Task, 1), w.core.harm.neighbours(w.core.runners["a"]))
	}
	pace := map[jobs.TaskID]int{}
	for i := range 4 {
		tail := 30
		if i%2 == 1 {
			tail = 19
		}
		for _, o := range ofKind(w.tails(victim, fills, tail), Pace) {
			pace[o.Task] = o.Percent
		}
	}
	for _, o := range fills {
		if p, ok := pace[o.Task]; !ok || p > minPace {
			t.Errorf("pace of %v is %d after 2 s of harm", o.Task, p)
		}
	}
}

// No filling task may join a serving task that has been over its target for a
// while: it would work at full pace until its first pace is set.
func TestNoFillingTaskJoinsATroubledOne(t *testing.T) {
	w, victim := harmWorld(t)
	for range 4 {
		w.tails(victim, nil, 30)
	}
	w.accept(secondID, false, filling(1, "render"))
	if n := len(starts(w.schedule())); n != 0 {
		t.Errorf("%d filling tasks started beside it", n)
	}
	w.tails(victim, nil, 5)
	if n := len(starts(w.schedule())); n != 1 {
		t.Errorf("%d filling tasks started after it recovered", n)
	}
}

// Images that were seen to disturb each other must not be placed together while
// another runner is free of the victim.
func TestHarmfulImageIsPlacedElsewhere(t *testing.T) {
	w, victim := harmWorld(t)
	fills := w.begin(secondID, filling(2, "render"))
	for range 40 {
		w.tails(victim, fills, 200)
	}
	w.core.RunnerSeen(machine("b", 8000), w.now)
	w.report(Report{Runner: "b", Incarnation: 1})
	w.accept("00000000000000c3", false, filling(1, "render"))
	w.accept("00000000000000d4", false, filling(1, "calm"))
	for _, o := range starts(w.schedule()) {
		if o.Task.Job == "00000000000000c3" && o.Runner != "b" {
			t.Errorf("harmful image placed beside its victim")
		}
	}
}

// A runner paced down by a predecessor must get the pace of this coordinator:
// its tasks crawled on for good.
func TestAdoptedFillingTaskGetsItsPace(t *testing.T) {
	w := newWorld(t, machine("a", 32000))
	w.accept(firstID, true, filling(1, "render"))
	status := RunStatus{Task: task(firstID, 0, 0), Run: 1, Load: 40}
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{status}})
	paces := ofKind(w.core.TakeOrders(), Pace)
	if len(paces) != 1 || paces[0].Percent != fullPace {
		t.Errorf("orders %+v, want full pace", paces)
	}
}

// A pace that was set for tasks that are gone must not keep others of their
// image away: jobs waited for good although runners had become free.
func TestPaceIsForgottenWithItsTasks(t *testing.T) {
	w, victim := harmWorld(t)
	fill := w.begin(secondID, filling(1, "render"))[0]
	for range 6 {
		w.tails(victim, []Order{fill}, 200)
	}
	w.core.Cancel(firstID, w.now)
	w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{
		{Number: 1, Task: fill.Task, Run: fill.Run, How: EndedDone}, {Number: 2, Task: victim.Task, Run: victim.Run, How: EndedStopped}}})
	w.accept("00000000000000c3", false, filling(1, "render"))
	if n := len(starts(w.schedule())); n != 1 {
		t.Errorf("%d starts on an empty runner, want 1", n)
	}
}

// A filling task that is slowed to next to nothing must go on where there is
// room for it; it held its job up for the rest of the day.
func TestStuckFillingTaskMoves(t *testing.T) {
	w, victim := harmWorld(t)
	render := filling(1, "render")
	render.Checkpoints = true
	fill := w.begin(secondID, render)[0]
	for range 9 { // the pace has to fall first, then to stay low
		w.tails(victim, []Order{fill}, 200)
		w.core.Watch(w.now)
	}
	if n := len(ofKind(w.schedule(), Stop)); n != 0 {
		t.Fatalf("%d stops although no other runner is there", n)
	}
	w.core.RunnerSeen(machine("b", 8000), w.now)
	w.report(Report{Runner: "b", Incarnation: 1})
	w.core.Watch(w.now)
	if n := len(ofKind(w.schedule(), Stop)); n != 1 {
		t.Errorf("%d stops, want one", n)
	}
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: victim.Task, Run: 1, Percent: 100, Load: 5}},
		Ended: []RunEnd{{Number: 1, Task: fill.Task, Run: fill.Run, How: EndedStopped, Saved: "s"}}})
	orders := starts(w.schedule())
	if len(orders) != 1 || orders[0].Runner != "b" || orders[0].Saved != "s" {
		t.Errorf("orders %+v, want a start on b from the checkpoint", orders)
	}
}

// At the end of a day, with most of the room free, no job may be left with
// nothing running, also if its tasks would disturb whoever serves.
func TestNoJobStarvesWhileMostRoomIsFree(t *testing.T) {
	w, victim := harmWorld(t)
	fill := w.begin(secondID, filling(1, "render"))[0]
	for range 8 {
		w.tails(victim, []Order{fill}, 300)
	}
	w.accept("00000000000000c3", false, filling(3, "render"))
	if n := len(starts(w.schedule())); n != 0 {
		t.Fatalf("%d starts beside a troubled serving task", n)
	}
	w.now += 2 * time.Second
	if n := len(starts(w.schedule())); n != 1 {
		t.Errorf("%d starts after 2 s, want one", n)
	}
	if n := len(starts(w.schedule())); n != 0 {
		t.Errorf("%d more starts once something of the job runs", n)
	}
}
