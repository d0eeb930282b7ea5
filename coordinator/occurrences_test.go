package coordinator

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// addOverdueJob adds a job all of whose occurrences are due.
func (h *coreHarness) addOverdueJob(id jobs.ID, repeats int, steps ...jobs.Step) *jobs.Job {
	h.t.Helper()
	spec := jobs.Spec{Steps: steps, Repeats: repeats, Interval: time.Minute}
	if err := spec.Check(); err != nil {
		h.t.Fatal(err)
	}
	j := jobs.New(id, testQueue, spec, 0, 1)
	h.core.AddJob(j, false, h.timeOfDay())
	return j
}

// timeOfDay returns a time at which all occurrences of the test's jobs are due.
func (h *coreHarness) timeOfDay() time.Duration { return jobs.MaxRepeats * time.Minute }

// scheduleOverdue runs one round at timeOfDay.
func (h *coreHarness) scheduleOverdue() []Order { return h.startsAt(h.timeOfDay()) }

// countOpenTasks returns the number of tasks in the open occurrences of all jobs.
func (h *coreHarness) countOpenTasks() int {
	n := 0
	for _, j := range h.core.jobs {
		n += len(j.Current) * j.occurrenceTasks()
	}
	return n
}

// Guards against a coordinator that exceeds its memory, and each successor after it, because it
// opens all occurrences of accepted jobs that are due at once: their progress took over 500 MB.
func TestOverdueOccurrencesAreOpenedWithinTheirShare(t *testing.T) {
	const maxTasks = 4000
	for _, count := range []int{1, 10} {
		h := newCoreHarness(t, testRunner("a", 4000))
		step := plainStep(maxTasks, 1000)
		step.RequiredLabel = "none"
		for i := range count {
			h.addOverdueJob(jobs.ID(fmt.Sprintf("%016x", i)), jobs.MaxRepeats, step)
		}
		for range 3 {
			h.scheduleOverdue()
		}
		if n := h.countOpenTasks(); n > maxOccurrenceTasks+count*maxTasks || n < maxOccurrenceTasks-count*maxTasks {
			t.Errorf("%d tasks of %d jobs are open, want about %d", n, count, maxOccurrenceTasks)
		}
		h.addJob(firstID, false, plainStep(1, 1000))
		if n := len(h.scheduleOverdue()); n != 1 {
			t.Errorf("%d starts of another job, want 1", n)
		}
	}
}

// Guards against work that is held back beside idle runners because occurrences wait for earlier
// ones: each job has one open at least, and as many as the fleet can run.
func TestWaitingOccurrencesLeaveNoRunnerIdle(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 2_000_000))
	for i := range 5 {
		h.addOverdueJob(jobs.ID(fmt.Sprintf("%016x", i)), 1000, plainStep(300, 1000))
	}
	started := len(h.scheduleOverdue()) + len(h.scheduleOverdue())
	if started != 2000 {
		t.Errorf("%d tasks started, want 2000", started)
	}
	for id, j := range h.core.jobs {
		if len(j.Current) == 0 {
			t.Errorf("job %s has no occurrence open", id)
		}
	}
}

// Guards against a job that never completes because occurrences which had to wait are forgotten,
// and against steps of finished occurrences that are kept in memory until the whole job ends.
func TestAllOverdueOccurrencesRunOnce(t *testing.T) {
	const repeats, tasks, running = 40, 4000, 2000
	h := newCoreHarness(t, testRunner("a", running))
	j := h.addOverdueJob(firstID, repeats, plainStep(tasks-1, 1), plainStep(1, 1, 0))
	number, mostSteps := 0, 0
	ran := map[jobs.TaskID]int{}
	for range 3 * repeats * tasks / running {
		orders := h.scheduleOverdue()
		if j.State == jobs.Completed {
			break
		}
		var results []RunResult
		for _, order := range orders {
			h.answer(order, Accepted, false)
			ran[order.Task]++
			number++
			results = append(results, RunResult{Number: number, Task: order.Task, Run: order.Run, Kind: EndedDone})
		}
		if open := h.core.jobs[firstID]; open != nil {
			mostSteps = max(mostSteps, len(open.openSteps))
		}
		h.report(Report{Runner: "a", Incarnation: 1, Ended: results})
	}
	if j.State != jobs.Completed || len(ran) != repeats*tasks {
		t.Errorf("the job is %v after %d of %d tasks", j.State, len(ran), repeats*tasks)
	}
	for task, n := range ran {
		if n != 1 {
			t.Fatalf("%v started %d times", task, n)
		}
	}
	if mostSteps > 2*maxOccurrenceTasks/tasks {
		t.Errorf("%d steps were kept at a time", mostSteps)
	}
}

// Guards against a job that stands still after a takeover: a predecessor had later occurrences
// open than those that the successor opens first, and runs of them are reported.
func TestRestoredOccurrencesAreOpenedBesideTheShare(t *testing.T) {
	const tasks = 5000
	h := newCoreHarness(t, testRunner("a", 4000))
	spec := jobs.Spec{Steps: []jobs.Step{plainStep(tasks, 1000)}, Repeats: 1000, Interval: time.Minute}
	j := jobs.New(firstID, testQueue, spec, 0, 1)
	for number := 500; number < 530; number++ {
		j.OpenOccurrence(number)
	}
	h.core.AddJob(j, true, h.timeOfDay())
	reported := jobs.TaskID{Job: firstID, Occurrence: 900}
	h.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: reported, Run: 1}}})
	orders := h.scheduleOverdue()
	if len(orders) != 3 {
		t.Fatalf("%d starts beside the reported run, want 3", len(orders))
	}
	if j.Task(reported) == nil || h.core.jobs[firstID].openSteps[[2]int{900, 0}] == nil {
		t.Error("the occurrence of the reported run is not open")
	}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: 1, Task: reported, Run: 1, Kind: EndedFailed}}})
	if n := len(h.scheduleOverdue()); n != 1 {
		t.Errorf("%d starts after the reported run has ended, want 1", n)
	}
}
