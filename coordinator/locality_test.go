package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/structs"
)

// soonQuestion is a question for which a wait pays.
func soonQuestion() placementQuestion {
	return placementQuestion{estimate: 4 * time.Second, factor: 2, near: placeForecast{isKnown: true, in: time.Second, deviation: 200 * time.Millisecond},
		slack: time.Minute, freeShare: 0.5, mayAwaitRack: true}
}

// Guards against a wait that costs more than it saves, against a far start where a short wait
// would have paid, and against a wait that goes on after its forecast has turned out wrong.
func TestDecidePlacement(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(q *placementQuestion)
		wait   bool
		reason string
	}{
		{"place soon", func(*placementQuestion) {}, true, "near place is cheaper"},
		{"place too late", func(q *placementQuestion) { q.near.in = 5 * time.Second }, false, "far place is cheaper"},
		{"contended rack", func(q *placementQuestion) { q.near.in, q.ahead = 3*time.Second, contendedQueue }, false, "far place is cheaper"},
		{"contended rack, short fleet", func(q *placementQuestion) { q.near.in, q.ahead, q.freeShare = 3*time.Second, contendedQueue, 0 }, true, "near place is cheaper"},
		{"contended rack, on time only near", func(q *placementQuestion) {
			q.near.in, q.ahead, q.slack = 3*time.Second, contendedQueue, 3500*time.Millisecond
		}, true, "near place is cheaper"},
		{"on time only far", func(q *placementQuestion) { q.slack, q.near.in, q.factor = 2*time.Second, 1900*time.Millisecond, 1.5 }, false, "objective at risk"},
		{"no usable runner", func(q *placementQuestion) { q.near = placeForecast{} }, false, "no place expected"},
		{"no usable runner any more", func(q *placementQuestion) { q.near, q.isWaiting, q.remaining = placeForecast{}, true, time.Second }, false, "no place expected"},
		{"waits for the rack are suspended", func(q *placementQuestion) { q.mayAwaitRack = false }, false, "waits for the rack are suspended"},
		{"waits", func(q *placementQuestion) { q.isWaiting, q.remaining = true, 2*time.Second }, true, "waits on"},
		{"forecast later than the deadline", func(q *placementQuestion) { q.isWaiting, q.remaining = true, 900*time.Millisecond }, false, "place expected after the deadline"},
		{"deadline passed", func(q *placementQuestion) { q.isWaiting, q.near.in = true, 0 }, false, "no place by the deadline"},
		{"far factor 1", func(q *placementQuestion) { q.factor = 1 }, false, "far place is cheaper"},
	} {
		q := soonQuestion()
		c.change(&q)
		got := decidePlacement(q)
		if got.wait != c.wait || got.reason != c.reason {
			t.Errorf("%s: wait %v because %q, want %v because %q", c.name, got.wait, got.reason, c.wait, c.reason)
		}
	}
}

// Guards against waits without a bound: none may be longer than what the far place costs, nor than
// maxNearWait, whatever the forecast says.
func TestWaitIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 8))
	duration := func(most time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(most))) }
	waits := 0
	for range 10_000 {
		q := placementQuestion{estimate: duration(time.Minute), factor: 1 + 2*rng.Float64(), slack: duration(time.Minute) - 30*time.Second,
			near:  placeForecast{isKnown: rng.IntN(10) > 0, in: duration(20 * time.Second), deviation: duration(5 * time.Second)},
			ahead: rng.IntN(20), freeShare: rng.Float64(), mayAwaitRack: rng.IntN(10) > 0}
		answer := decidePlacement(q)
		if !answer.wait {
			continue
		}
		waits++
		if answer.deadline > q.lostTime() || answer.deadline > maxNearWait || q.near.in > answer.deadline {
			t.Fatalf("%+v: waits until %v", q, answer.deadline)
		}
		q.isWaiting, q.remaining = true, -duration(time.Second)
		if decidePlacement(q).wait {
			t.Fatalf("%+v: waits after its deadline", q)
		}
	}
	if waits == 0 {
		t.Error("no question was answered with a wait")
	}
}

// Guards against a forecast that gives the same place to each task in a queue.
func TestRackPlanCountsTheQueueInFront(t *testing.T) {
	two := structs.Resources{CPUMilli: 2000}
	plan := rackPlan{runners: []runnerPlan{{free: structs.Resources{CPUMilli: 1000}, releases: []release{
		{in: time.Second, resources: structs.Resources{CPUMilli: 1000}}, {in: 3 * time.Second, resources: two}}}}}
	for i, want := range []time.Duration{time.Second, 3 * time.Second, 6*time.Second + placeDelay} {
		got, place, releases := plan.place(two, nil)
		if place != 0 || got.in != want {
			t.Fatalf("task %d: place %d in %v, want one in %v", i, place, got.in, want)
		}
		plan.runners[place].take(two, got, releases, 5*time.Second)
	}
	if _, place, _ := plan.place(structs.Resources{CPUMilli: 8000}, nil); place >= 0 {
		t.Error("a place is expected for a task that is larger than the runner")
	}
}

// rackRunner returns the registry entry of a runner of four processors on a rack.
func rackRunner(id, rack string) RunnerInfo {
	info := testRunner(id, 4000)
	info.Rack = rack
	return info
}

// localityHarness is a core with a runner on the rack "near", which is in use, and another one on
// the rack "far", which is free.
type localityHarness struct {
	*coreHarness
	counts map[string]int64
	busy   Order // the start of the run that uses the runner "near"
}

const busyJob = jobs.ID("00000000000000ff")

func newLocalityHarness(t *testing.T) *localityHarness {
	t.Helper()
	h := &localityHarness{coreHarness: newCoreHarness(t, rackRunner("near", "near")), counts: map[string]int64{}}
	h.core.counters = func(name string, n int64) { h.counts[name] += n }
	step := plainStep(1, 4000)
	step.Estimate = 2 * time.Second
	h.busy = h.startJob(busyJob, step)[0]
	h.core.UpdateRunner(rackRunner("far", "far"), h.now)
	h.report(Report{Runner: "far", Incarnation: 1})
	return h
}

// nearStep returns a step of tasks that take three seconds on the rack "near".
func nearStep(count int) jobs.Step {
	step := plainStep(count, 4000)
	step.DataRack, step.Estimate = "near", 3*time.Second
	return step
}

// reportBusy reports the progress of the run on the runner "near", or its end at 100%.
func (h *localityHarness) reportBusy(percent int) {
	report := Report{Runner: "near", Incarnation: 1}
	if percent < 100 {
		report.Running = []RunStatus{{Task: h.busy.Task, Run: h.busy.Run, Percent: percent, Load: 4000}}
	} else {
		report.Ended = []RunResult{{Number: 1, Task: h.busy.Task, Run: h.busy.Run, Kind: EndedDone}}
	}
	h.report(report)
}

// wantStarts checks the runners of the starts that the next round orders, by the index of the task.
func (h *localityHarness) wantStarts(want ...string) []Order {
	h.t.Helper()
	orders := startOrders(h.schedule())
	var got []string
	for _, order := range orders {
		got = append(got, order.Runner)
		h.answer(order, Accepted, false)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		h.t.Fatalf("%v: started on %v, want %v", h.now, got, want)
	}
	return orders
}

// Guards against a far start of a task for which a near place is about to be free. Only the first
// of several tasks waits for it: the next place there comes too late.
func TestTaskWaitsForNearPlace(t *testing.T) {
	h := newLocalityHarness(t)
	h.addJob(firstID, false, nearStep(2))
	h.wantStarts("far")
	if h.counts["near_waits"] != 1 || h.counts["far_starts"] != 1 {
		t.Errorf("counters %v, want one wait and one far start", h.counts)
	}
	h.now += 500 * time.Millisecond
	h.reportBusy(100)
	h.wantStarts("near")
	if h.counts["near_waits_paid"] != 1 || h.counts["near_waits_given_up"] != 0 {
		t.Errorf("counters %v, want one wait that paid", h.counts)
	}
}

// Guards against work that is kept from a free place because another task, which declined it, waits.
func TestWaitingTaskBlocksNoOther(t *testing.T) {
	h := newLocalityHarness(t)
	h.addJob(firstID, false, nearStep(1))
	h.wantStarts()
	step := plainStep(1, 4000)
	step.Estimate = time.Minute // of lower precedence than the waiting task
	h.addJob(secondID, false, step)
	if orders := h.wantStarts("far"); orders[0].Task.Job != secondID {
		t.Errorf("started %v", orders[0].Task)
	}
}

// Guards against tasks that go on waiting for a rack whose runners are lost, drained or cordoned.
func TestWaitsEndWhenTheRackIsLost(t *testing.T) {
	for name, lose := range map[string]func(h *localityHarness){
		"silent":   func(h *localityHarness) { h.core.MarkRunnerSilent("near") },
		"draining": func(h *localityHarness) { drainRunner(h, "near") },
	} {
		h := newLocalityHarness(t)
		for i := range 3 {
			h.core.UpdateRunner(rackRunner(fmt.Sprint("far", i), "far"), h.now)
			h.report(Report{Runner: fmt.Sprint("far", i), Incarnation: 1})
		}
		h.addJob(firstID, false, nearStep(1))
		h.addJob(secondID, false, nearStep(1))
		h.wantStarts("far")
		lose(h)
		if starts := startOrders(h.schedule()); len(starts) != 1 || starts[0].Runner == "near" {
			t.Errorf("%s: orders %+v, want a far start", name, starts)
		}
		if h.counts["near_waits_given_up"] != 1 {
			t.Errorf("%s: counters %v, want a wait that was given up", name, h.counts)
		}
	}
}

func drainRunner(h *localityHarness, id string) {
	info := rackRunner(id, id)
	info.Draining, info.Remaining = true, time.Minute
	h.core.UpdateRunner(info, h.now)
}

// Guards against endless waits on a rack whose runs always seem to end soon. The first task goes far
// at the end of its bound. Later ones don't wait for waitSuspension, and wait again after it.
func TestRackThatDoesNotDrainIsGivenUp(t *testing.T) {
	h := newLocalityHarness(t)
	h.addJob(firstID, false, nearStep(1))
	began := h.now
	for h.counts["near_waits_given_up"] == 0 {
		h.now += 20 * time.Millisecond
		h.reportBusy(99)
		for _, order := range startOrders(h.schedule()) {
			h.answer(order, Accepted, false)
		}
		if waited := h.now - began; waited > 3*time.Second+100*time.Millisecond {
			t.Fatalf("the task has waited for %v, which is more than a far place costs", waited)
		}
	}
	h.core.UpdateRunner(rackRunner("far2", "far"), h.now)
	h.report(Report{Runner: "far2", Incarnation: 1})
	h.addJob(secondID, false, nearStep(1))
	h.wantStarts("far2")
	h.core.UpdateRunner(rackRunner("far3", "far"), h.now)
	h.report(Report{Runner: "far3", Incarnation: 1})
	h.now += waitSuspension
	h.reportBusy(99)
	h.addJob("00000000000000c3", false, nearStep(1))
	h.wantStarts()
}

// Guards against costs, or other decisions, where no step has data on a rack and no gang is slow
// across racks.
func TestFleetWithoutDataRacksWeighsNothing(t *testing.T) {
	h := newLocalityHarness(t)
	h.core.locality.decide = func(placementQuestion) placementAnswer {
		t.Error("a placement is weighed")
		return placementAnswer{}
	}
	gang := plainStep(2, 1000)
	gang.Gang = true
	h.addJob(firstID, false, plainStep(3, 1000), gang)
	h.addJob(secondID, false, plainStep(8, 1000))
	h.schedule()
	if l := h.core.locality; l.runnersByRack != nil || l.plans != nil || l.wanted != nil || l.waitsSuspendedUntil != nil {
		t.Errorf("state of placements %+v", l)
	}
}

// newGangHarness returns a core with a rack of two runners, one of which is in use, and a free runner on
// another rack.
func newGangHarness(t *testing.T) *localityHarness {
	h := newLocalityHarness(t)
	h.core.UpdateRunner(rackRunner("near2", "near"), h.now)
	h.report(Report{Runner: "near2", Incarnation: 1})
	return h
}

func sameRackGang() jobs.Step {
	step := plainStep(2, 3000)
	step.Gang, step.SameRack, step.Estimate = true, true, 3*time.Second
	return step
}

// Guards against a gang that starts across racks although one rack is about to have room for it,
// and against small work that takes that room place by place.
func TestGangWaitsForRack(t *testing.T) {
	h := newGangHarness(t)
	h.addJob(firstID, false, sameRackGang())
	h.wantStarts()
	h.addJob(secondID, false, plainStep(8, 1000)) // four fit on the runner "far"
	for _, order := range startOrders(h.schedule()) {
		if order.Runner != "far" && h.core.runners[order.Runner].held.CPUMilli > 1000 {
			t.Errorf("%v is started on %s", order.Task, order.Runner)
		}
		h.answer(order, Accepted, false)
	}
	h.now += time.Second
	h.reportBusy(100)
	members := map[string]string{} // racks by runner
	for _, order := range startOrders(h.schedule()) {
		if order.Task.Job == firstID {
			members[order.Runner] = h.core.runners[order.Runner].Rack
		}
	}
	if len(members) != 2 || members["near"] == "" || members["near2"] == "" {
		t.Errorf("members on %v, want both on the rack near", members)
	}
	if h.counts["near_waits_paid"] != 1 {
		t.Errorf("counters %v, want a wait that paid", h.counts)
	}
}

// Guards against a gang that waits, or keeps capacity of a rack from others, without a bound.
func TestGangGivesUpRackThatDoesNotDrain(t *testing.T) {
	h := newGangHarness(t)
	h.addJob(firstID, false, sameRackGang())
	h.wantStarts()
	began := h.now
	var reservedUntil time.Duration
	for {
		h.now += 20 * time.Millisecond
		h.reportBusy(99)
		orders := startOrders(h.schedule())
		if h.core.jobs[firstID].openSteps[[2]int{0, 0}].reservationCount > 0 {
			reservedUntil = h.now
		}
		if len(orders) > 0 {
			break
		}
		if h.now-began > 4*time.Second {
			t.Fatal("the gang waits for longer than the start across racks costs")
		}
	}
	if held := reservedUntil - began; held == 0 || held > reservationTime {
		t.Errorf("capacity was kept for %v, want some time and at most %v", held, reservationTime)
	}
	if h.counts["near_waits_given_up"] != 1 {
		t.Errorf("counters %v, want a wait that was given up", h.counts)
	}
}

// Guards against a forecast that takes the runs of a predecessor for nearly done right after a
// takeover, and against waits that last longer because of it.
func TestForecastOfAdoptedRuns(t *testing.T) {
	h := newCoreHarness(t, rackRunner("near", "near"), rackRunner("far", "far"))
	step := plainStep(1, 4000)
	step.Estimate = 100 * time.Second
	h.addJob(busyJob, true, step)
	h.report(Report{Runner: "near", Incarnation: 1, Running: []RunStatus{{Task: taskID(busyJob, 0, 0), Run: 1, Percent: 50, Load: 4000}}})
	h.addJob(firstID, false, nearStep(1))
	if orders := startOrders(h.schedule()); len(orders) != 1 || orders[0].Runner != "far" {
		t.Errorf("orders %+v, want a far start, as the near place is free in 50 s", orders)
	}
}

// Guards against a step that passes all other work as starved because it has chosen to wait.
func TestWaitForNearPlaceIsNoStarvation(t *testing.T) {
	h := newLocalityHarness(t)
	h.addJob(firstID, false, nearStep(1))
	h.wantStarts()
	h.now += starvationTime + 50*time.Millisecond
	h.reportBusy(60)
	h.wantStarts()
	if s := h.core.jobs[firstID].openSteps[[2]int{0, 0}]; !s.awaitsNearPlace(h.now) || s.starved {
		t.Errorf("waits %v, starved %v", s.nearWaits, s.starved)
	}
}
