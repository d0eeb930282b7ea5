package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a start on a runner that has said it drains, by another attempt to send a start that had no
// answer (review/finding-drain) or by a start that waited behind other orders.
func TestStartIsNotSentToADrainingRunner(t *testing.T) {
	for _, wasAttempted := range []bool{false, true} {
		h := newRosterHarness(t)
		coord, l := h.coordinator, h.register()
		l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
		drain := func() { l.setRegistration(RunnerInfo{ID: testRunnerID, Draining: true}, h.clock.now()) }
		attempts := 0
		coord.env.Runners = scriptedRunner{send: func(Order, uint64) (OrderResponse, error) {
			attempts++
			drain()
			return OrderResponse{}, errNoAnswer
		}}
		wantAttempts := 1
		if !wasAttempted {
			drain()
			wantAttempts = 0
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		l.sendOrder(ctx, Order{Kind: Start, Runner: testRunnerID, Task: taskID(firstID, 0, 0), Run: 1, Settled: new(atomic.Bool), Attempted: new(atomic.Bool)})
		if attempts != wantAttempts {
			t.Errorf("%d attempts, want %d", attempts, wantAttempts)
		}
		select {
		case queued := <-coord.events:
			e, ok := queued.event.(answerEvent)
			if !ok || e.answer.Outcome != RunnerDraining || e.answer.Repeated != wasAttempted {
				t.Errorf("event %+v", queued.event)
			}
		default:
			t.Error("the start is not given back")
		}
	}
}

// Guards against a task that waits for a start which is not sent any more, and against one that is started
// elsewhere although an earlier attempt may have reached the draining runner.
func TestStartThatIsGivenBackByADrainingRunner(t *testing.T) {
	for _, wasAttempted := range []bool{false, true} {
		h := newCoreHarness(t, testRunner("a", 4000))
		h.addJob(firstID, false, plainStep(1, 1000))
		order := startOrders(h.schedule())[0]
		h.drainRunner("a", 4000, 10*time.Second)
		h.core.UpdateRunner(testRunner("b", 4000), h.now)
		h.report(Report{Runner: "b", Incarnation: 1})
		h.answer(order, RunnerDraining, wasAttempted)
		stops := ordersOfKind(h.core.TakeOrders(), Stop)
		again := startOrders(h.schedule())
		if !wasAttempted {
			if len(stops) != 0 || len(again) != 1 || again[0].Runner != "b" {
				t.Errorf("%d stops and starts %+v, want a start on b", len(stops), again)
			}
			continue
		}
		if len(stops) != 1 || len(again) != 0 {
			t.Fatalf("%d stops and %d starts, want a stop first", len(stops), len(again))
		}
		h.answer(stops[0], Accepted, false)
		h.now += time.Millisecond
		h.report(Report{Runner: "a", Incarnation: 1, Sent: h.now})
		if again := startOrders(h.schedule()); len(again) != 1 || again[0].Runner != "b" {
			t.Errorf("starts %+v once the run is stopped, want one on b", again)
		}
	}
}
