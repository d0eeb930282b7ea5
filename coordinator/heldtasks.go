package coordinator

import (
	"time"

	"bergamotstile/jobs"
)

// holdKind says why a task that a predecessor has sent to a runner may run there.
type holdKind uint8

const (
	// heldRunning: the runner has confirmed the run. It ends with the leases there.
	heldRunning holdKind = iota
	// heldUnconfirmed: the start had no answer yet and the runner has answered nothing since. It is
	// taken to have gone to a lost runner, unless another process of the runner turns out to exist.
	heldUnconfirmed
	// heldDelayed: the start had no answer, but the runner has answered a later call. A process that
	// starts later may still carry it out.
	heldDelayed
)

// heldTask is a task that may run on a runner because of a start by a predecessor.
type heldTask struct {
	task jobs.TaskID
	kind holdKind
	// expiry is the time by which such a run has ended for certain.
	expiry time.Duration
}

// taskHold is heldTask without the task.
type taskHold struct {
	kind   holdKind
	expiry time.Duration
}

// heldTasks holds the tasks that may run on certain runners because of starts by a predecessor. They
// are not started elsewhere until the runner reports, or the run has ended for certain.
//
// It answers this load: a takeover of thousands of runners with several such starts each, all of
// which report within a second.
type heldTasks struct {
	byRunner map[string]map[jobs.TaskID]taskHold
	runners  map[jobs.TaskID]int // number of runners that may run each task
}

// add holds a task. If it is held for the runner already, the kind and the expiry that hold it for
// longer count.
func (h *heldTasks) add(runner string, t heldTask) {
	if h.byRunner == nil {
		h.byRunner, h.runners = map[string]map[jobs.TaskID]taskHold{}, map[jobs.TaskID]int{}
	}
	if h.byRunner[runner] == nil {
		h.byRunner[runner] = map[jobs.TaskID]taskHold{}
	}
	current, isKnown := h.byRunner[runner][t.task]
	if !isKnown {
		h.runners[t.task]++
	}
	h.byRunner[runner][t.task] = taskHold{max(current.kind, t.kind), max(current.expiry, t.expiry)}
}

// of returns the tasks that are held for a runner.
func (h *heldTasks) of(runner string) []heldTask {
	tasks := make([]heldTask, 0, len(h.byRunner[runner]))
	for task, held := range h.byRunner[runner] {
		tasks = append(tasks, heldTask{task, held.kind, held.expiry})
	}
	return tasks
}

// hasRunner reports whether a task is held for a runner.
func (h *heldTasks) hasRunner(id string) bool { return len(h.byRunner[id]) > 0 }

// releaseRunner ends the holds for a runner that has reported or has ended.
func (h *heldTasks) releaseRunner(id string) {
	for task := range h.byRunner[id] {
		h.release(id, task)
	}
}

// release ends the hold of a task for a runner.
func (h *heldTasks) release(id string, task jobs.TaskID) {
	if h.runners[task]--; h.runners[task] == 0 {
		delete(h.runners, task)
	}
	if delete(h.byRunner[id], task); len(h.byRunner[id]) == 0 {
		delete(h.byRunner, id)
	}
}

// releaseExpired ends the holds that are over and passes them to released. It leaves out runners that
// have answered, as hasAnswered tells: their reports say what runs.
func (h *heldTasks) releaseExpired(now time.Duration, hasAnswered func(runnerID string) bool, released func(runnerID string, task jobs.TaskID)) {
	for id, tasks := range h.byRunner {
		if hasAnswered(id) {
			continue
		}
		for task, held := range tasks {
			if now > held.expiry {
				h.release(id, task)
				released(id, task)
			}
		}
	}
}

// raiseUnconfirmed makes the starts to a runner that had no answer count until a time at least: another
// process of the runner exists, which may carry them out.
func (h *heldTasks) raiseUnconfirmed(id string, expiry time.Duration) {
	for task, held := range h.byRunner[id] {
		if held.kind == heldUnconfirmed {
			h.byRunner[id][task] = taskHold{heldDelayed, max(held.expiry, expiry)}
		}
	}
}

// isEmpty reports whether no task is held.
func (h *heldTasks) isEmpty() bool { return len(h.runners) == 0 }

// isHeld reports whether a task may run because of a predecessor's start.
func (h *heldTasks) isHeld(task jobs.TaskID) bool { return h.runners[task] > 0 }
