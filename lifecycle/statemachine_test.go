package lifecycle

import (
	"strings"
	"testing"

	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// allowedTransitions lists, for each state, the states that may follow it, as
// in section 4 of the design.
var allowedTransitions = map[structs.WorkState]string{
	structs.StateQueued:     "starting cancelled failed",
	structs.StateStarting:   "running finished failed cancelling queued lost",
	structs.StateRunning:    "evicting finished failed cancelling queued lost",
	structs.StateEvicting:   "queued cancelling finished failed lost",
	structs.StateCancelling: "cancelled finished failed",
	structs.StateFinished:   "queued cancelled",
	structs.StateFailed:     "queued cancelled",
}

// Guards against transitions that the design does not allow: a second run of
// work that must not be repeated, a reported outcome that is dropped, or a
// change of a terminal state.
func TestEventsCauseOnlyDesignedTransitions(t *testing.T) {
	for _, item := range allItems() {
		for _, ev := range allEvents() {
			next, _, ok := ApplyEvent(item, ev, Limits{MaxFailedWorkers: 3, MaxFailures: 6})
			if !ok {
				continue
			}
			if !strings.Contains(" "+allowedTransitions[item.State]+" ", " "+string(next.State)+" ") {
				t.Errorf("%+v turns %s into %s", ev, item.State, next.State)
			}
			checkTransition(t, item, next, ev)
		}
	}
}

func allItems() []structs.WorkItem {
	var items []structs.WorkItem
	for _, state := range []structs.WorkState{
		structs.StateQueued, structs.StateStarting, structs.StateRunning, structs.StateEvicting,
		structs.StateCancelling, structs.StateFinished, structs.StateFailed, structs.StateCancelled, structs.StateLost,
	} {
		for _, kind := range []structs.WorkKind{structs.KindBatch, structs.KindStanding} {
			for _, idempotent := range []bool{false, true} {
				spec := structs.WorkSpec{Kind: kind, Idempotent: idempotent}
				items = append(items, structs.WorkItem{State: state, Attempt: 2, Worker: "w", Spec: spec, FailedOn: []string{"v"}})
			}
		}
	}
	return items
}

func allEvents() []Event {
	var events []Event
	for kind := EventPlace; kind <= EventRestart; kind++ {
		events = append(events, Event{Kind: kind}, Event{Kind: kind, NeverStarted: true})
	}
	for _, end := range []workerapi.EndState{workerapi.EndFinished, workerapi.EndFailed, workerapi.EndStopped} {
		ended := workerapi.EndedAttempt{State: end, Checkpoint: "c"}
		events = append(events, Event{Kind: EventEnded, Ended: ended}, Event{Kind: EventEnded, Ended: ended, Checkpoint: "c"})
	}
	return events
}

// checkTransition checks one transition against the rules that depend on more than
// the state.
func checkTransition(t *testing.T, item, next structs.WorkItem, ev Event) {
	t.Helper()
	finished := ev.Kind == EventEnded && ev.Ended.State == workerapi.EndFinished
	checkpointed := item.State == structs.StateEvicting && ev.Checkpoint != ""
	switch {
	case isTerminal(item):
		t.Errorf("%s left its terminal state", item.State)
	case finished && next.State != structs.StateFinished:
		t.Errorf("a finished attempt turns %s into %s", item.State, next.State)
	case next.State == structs.StateQueued && !mayRepeat(item) && !ev.NeverStarted && !checkpointed:
		t.Errorf("%+v queues non-idempotent work again", ev)
	case next.State == structs.StateLost && mayRepeat(item):
		t.Errorf("%+v loses work that may be repeated", ev)
	case next.Attempt != item.Attempt && ev.Kind != EventPlace:
		t.Errorf("%+v changes the attempt number", ev)
	}
}
