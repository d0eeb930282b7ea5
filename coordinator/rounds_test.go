package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a loop that spends all of its time on scheduling when each round is slow,
// and against one round for each event when events come fast.
func TestRoundsAreSpaced(t *testing.T) {
	for _, c := range []struct {
		took, busy, want time.Duration // time for the round, for events after it, and until the next round
	}{
		{time.Millisecond, 0, 4 * time.Millisecond},
		{time.Millisecond, 4 * time.Millisecond, 0},
		{40 * time.Millisecond, 10 * time.Millisecond, 110 * time.Millisecond},
		{40 * time.Millisecond, time.Second, 0},
		{10 * time.Second, 0, maxRoundPause}, // the machine was suspended
	} {
		var pacer roundPacer
		began := time.Unix(100, 0)
		if wait := pacer.waitTime(began); wait != 0 {
			t.Errorf("the first round waits for %v", wait)
		}
		ended := began.Add(c.took)
		pacer.recordRound(began, ended)
		if got := pacer.waitTime(ended.Add(c.busy)); got != c.want {
			t.Errorf("after a round of %v and %v of events: %v, want %v", c.took, c.busy, got, c.want)
		}
	}
}

// answeringRunner is a runner that answers every poll at once, with a new result each time.
type answeringRunner struct {
	acceptingRunners
	polls atomic.Int32
}

func (r *answeringRunner) Poll(_ context.Context, request PollRequest) (PollResponse, error) {
	number := int(r.polls.Add(1))
	result := RunResult{Number: number, Task: taskID(firstID, 0, number), Run: 1}
	return PollResponse{Clock: time.Hour, Report: Report{Runner: request.Runner, Incarnation: 1, Ended: []RunResult{result}}}, nil
}

// Guards against a coordinator that is behind and goes on polling its runners: each report
// would wait behind earlier ones with the same content.
func TestRunnerIsPolledAgainOnceItsReportIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLoopHarness(t)
		runners := &answeringRunner{}
		h.coordinator.env.Runners = runners
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.link.pollLoop(ctx)
		for want := int32(1); want <= 3; want++ {
			time.Sleep(maxAppliedWait / 2)
			synctest.Wait()
			if got := runners.polls.Load(); got != want {
				t.Fatalf("%d polls, want %d while a report waits", got, want)
			}
			h.coordinator.applyEvent(<-h.coordinator.events)
			h.link.setAcknowledged(Acknowledgement{Incarnation: 1, Number: int(want)})
		}
		time.Sleep(2 * maxAppliedWait)
		synctest.Wait()
		if got := runners.polls.Load(); got < 5 {
			t.Errorf("%d polls: leases are not extended while a report waits for longer", got)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against events for answers to pace orders, with which the loop does nothing.
func TestAnswerToPaceOrderIsNotPosted(t *testing.T) {
	h := newLoopHarness(t)
	h.link.sendOrder(t.Context(), Order{Kind: Pace, Runner: testRunnerID, Task: h.task, Run: 1, Percent: 50, Settled: new(atomic.Bool)})
	h.link.sendOrder(t.Context(), Order{Kind: Stop, Runner: testRunnerID, Task: h.task, Run: 1, Settled: new(atomic.Bool)})
	if count := len(h.coordinator.events); count != 1 {
		t.Errorf("%d answers are queued, want only the one to the stop", count)
	}
}
