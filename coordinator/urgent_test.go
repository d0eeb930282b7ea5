package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

// urgentOrders runs the scheduling between two rounds and returns the starts.
func (h *coreHarness) urgentOrders() []Order {
	h.now += time.Millisecond
	h.core.ScheduleUrgent(h.now)
	return startOrders(h.core.TakeOrders())
}

// Guards against urgent jobs that wait for the next round although there is room for them, at
// their start and between their steps.
func TestUrgentStepDoesNotWaitForTheNextRound(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	h.schedule()
	h.addJob(firstID, false, plainStep(1, 1000), plainStep(2, 1000, 0))
	orders := h.urgentOrders()
	if len(orders) != 1 {
		t.Fatalf("%d starts before the next round, want 1", len(orders))
	}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: 1, Task: orders[0].Task, Run: 1, Kind: EndedDone}}})
	if n := len(h.urgentOrders()); n != 2 {
		t.Errorf("%d starts of the second step before the next round, want 2", n)
	}
}

// Guards against work that passes other work of its priority because it came later, and against
// best-effort and less important work that is served out of its order.
func TestOnlyUrgentWorkIsServedBetweenRounds(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	h.addJob(firstID, false, plainStep(5, 1000)) // one more than there is room for
	first := startOrders(h.schedule())
	h.addJob(secondID, false, plainStep(1, 500))
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: 1, Task: first[0].Task, Run: 1, Kind: EndedDone}}})
	if orders := h.urgentOrders(); len(orders) != 0 {
		t.Errorf("%d starts while earlier work of the same priority waits", len(orders))
	}
	for name, setUp := range map[string]func(h *coreHarness){
		"best effort": func(h *coreHarness) { h.addJob(firstID, false, bestEffortStep(1, "render")) },
		"less important": func(h *coreHarness) {
			queue := testQueue
			queue.Priority = 1
			h.core.Configure([]jobs.Queue{queue})
			h.addJob(firstID, false, plainStep(1, 1000))
		},
	} {
		h := newCoreHarness(t, testRunner("a", 4000))
		h.schedule()
		setUp(h)
		if orders := h.urgentOrders(); len(orders) != 0 {
			t.Errorf("%s: %d starts between rounds", name, len(orders))
		}
		if orders := startOrders(h.schedule()); len(orders) != 1 {
			t.Errorf("%s: %d starts in the next round, want 1", name, len(orders))
		}
	}
}
