package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a loop that spends all of its time in rounds of scheduling once each
// of them is slow, and against one round for each event while events come fast.
func TestRoundsAreSpaced(t *testing.T) {
	for _, c := range []struct {
		took, busy, want time.Duration // of the round, after it, until the next one
	}{
		{time.Millisecond, 0, 4 * time.Millisecond},
		{time.Millisecond, 4 * time.Millisecond, 0},
		{40 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond},
		{40 * time.Millisecond, time.Second, 0},
		{10 * time.Second, 0, maxRoundGap}, // the machine was suspended
	} {
		var p roundPacer
		began := time.Unix(100, 0)
		if w := p.wait(began); w != 0 {
			t.Errorf("the first round waits for %v", w)
		}
		ended := began.Add(c.took)
		p.done(began, ended)
		if got := p.wait(ended.Add(c.busy)); got != c.want {
			t.Errorf("after a round of %v and %v of events: %v, want %v", c.took, c.busy, got, c.want)
		}
	}
}

// listing is a runner that answers every call at once.
type listing struct {
	obedient
	calls atomic.Int32
}

func (l *listing) Hold(_ context.Context, h HoldRequest) (HoldResponse, error) {
	n := int(l.calls.Add(1))
	end := RunEnd{Number: n, Task: taskID(firstID, 0, n), Run: 1}
	return HoldResponse{Clock: time.Hour, Report: Report{Runner: h.Runner, Incarnation: 1, Ended: []RunEnd{end}}}, nil
}

// Guards against a coordinator that is behind and goes on asking runners for their
// lists: each would wait behind those that it repeats.
func TestRunnerIsAskedAgainOnceItsReportIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newQueueWorld(t)
		runners := &listing{}
		w.leader.env.Runners = runners
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.link.serve(ctx)
		for want := int32(1); want <= 3; want++ {
			time.Sleep(appliedWait / 2)
			synctest.Wait()
			if got := runners.calls.Load(); got != want {
				t.Fatalf("%d calls, want %d while a report waits", got, want)
			}
			w.leader.take(<-w.leader.events)
			w.link.acknowledge(AcknowledgedEnds{Incarnation: 1, Number: int(want)})
		}
		time.Sleep(2 * appliedWait)
		synctest.Wait()
		if got := runners.calls.Load(); got < 5 {
			t.Errorf("%d calls: leases are not extended while a report waits for longer", got)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against work for the loop from answers of which nothing follows.
func TestAnswerToAPaceIsNotPosted(t *testing.T) {
	w := newQueueWorld(t)
	w.link.send(t.Context(), Order{Kind: Pace, Runner: rosterRunner, Task: w.task, Run: 1, Percent: 50, Settled: new(atomic.Bool)})
	w.link.send(t.Context(), Order{Kind: Stop, Runner: rosterRunner, Task: w.task, Run: 1, Settled: new(atomic.Bool)})
	if n := len(w.leader.events); n != 1 {
		t.Errorf("%d answers wait, want that to the stop only", n)
	}
}
