package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

// playLongTasks lets the tasks of two jobs, whose estimates are far too low, work on the only runner
// that they may use, until the first one ends. It returns how often that one was started and how
// long its job had nothing running at most.
func playLongTasks(h *coreHarness, estimate, work time.Duration) (starts int, longestIdle time.Duration) {
	type progress struct {
		run   int
		began time.Duration
	}
	running := map[jobs.TaskID]progress{}
	idleSince, results := h.now, 0
	task := taskID(firstID, 0, 0)
	step := plainStep(1, 1000)
	step.Estimate = estimate
	h.addJob(firstID, false, step)
	h.addJob(secondID, false, step)
	for limit := h.now + 3*work + time.Minute; h.now < limit; h.now += 100 * time.Millisecond {
		report := Report{Runner: "a", Incarnation: 1}
		for id, p := range running {
			percent := int(100 * (h.now - p.began) / work)
			if percent >= 100 && id == task {
				return starts, longestIdle
			}
			report.Running = append(report.Running, RunStatus{Task: id, Run: p.run, Percent: min(percent, 99)})
		}
		h.report(report)
		h.core.CheckRuns(h.now)
		for _, order := range h.schedule() {
			switch order.Kind {
			case Start:
				running[order.Task] = progress{order.Run, h.now}
				h.answer(order, Accepted, false)
				if order.Task == task {
					starts++
					longestIdle = max(longestIdle, h.now-idleSince)
				}
			case Stop:
				delete(running, order.Task)
				results++
				h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: results, Task: order.Task, Run: order.Run, Kind: EndedStopped}}})
				if order.Task == task {
					idleSince = h.now
				}
			}
		}
	}
	return starts, time.Hour
}

// Guards against tasks that are begun anew for ever because they take far longer than estimated, so
// that a whole percent takes longer than a run may be without progress; and against jobs that have
// nothing running for 3 s because the only runner for them is avoided after each such stop.
func TestTasksWithFarTooLowEstimatesEnd(t *testing.T) {
	for work, mostStarts := range map[time.Duration]int{300 * time.Second: 2, 3000 * time.Second: 5} {
		h := newCoreHarness(t, testRunner("a", 32_000))
		starts, idle := playLongTasks(h, 2*time.Second, work)
		if starts > mostStarts || idle > allowedIdle {
			t.Errorf("a task of %v was started %d times and had nothing running for %v, want at most %d and %v", work, starts, idle, mostStarts, allowedIdle)
		}
	}
}

// Guards against a long task that is stopped once more by each successor, which knows nothing of its
// earlier stalls but its run number.
func TestSuccessorGivesAnAdoptedRunTheTimeOfItsEarlierStalls(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	step := plainStep(1, 1000)
	step.Estimate = 2 * time.Second
	h.addJob(firstID, true, step)
	report := Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: taskID(firstID, 0, 0), Run: 3, Percent: 7}}}
	h.report(report)
	h.core.jobs[firstID].runs[taskID(firstID, 0, 0)][0].pace = fullPace
	for range 20 {
		h.now += 250 * time.Millisecond
		h.report(report)
		h.core.CheckRuns(h.now)
	}
	if stops := ordersOfKind(h.core.TakeOrders(), Stop); len(stops) != 0 {
		t.Errorf("the run is stopped: %v", stops)
	}
	for range 60 {
		h.now += 250 * time.Millisecond
		h.report(report)
		h.core.CheckRuns(h.now)
	}
	if stops := ordersOfKind(h.core.TakeOrders(), Stop); len(stops) != 1 {
		t.Errorf("%d stops of a run without progress for 20 s, want 1", len(stops))
	}
}
