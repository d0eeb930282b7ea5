package routing

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotstile/peer"
	"bergamotstile/runnerapi"
	"bergamotstile/structs"
)

// handle returns the body of the answer, or the reason and the outcome of the
// refusal.
func handle(instance *testInstance, req structs.Request) (string, structs.Reason, structs.Outcome) {
	answer, err := instance.router.Handle(context.Background(), req)
	if err != nil {
		refusal := structs.AsRefusal(err)
		return "", refusal.Reason, refusal.Outcome
	}
	return string(answer.Body), "", structs.OutcomeRan
}

// runInVirtualTime runs a test of a cluster with two instances in virtual time.
func runInVirtualTime(t *testing.T, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Settings{}, "a", "b")
		f(t, c)
		// Let dispatches end that overrun their deadline: the router waits for
		// them beyond the test.
		time.Sleep(time.Minute)
	})
}

// Guards against a request that is answered only if it arrives at the shard's
// owner, and against a keyed request that runs again while its answer is
// remembered.
func TestRequestsAreAnsweredAtOwnerAndThroughForward(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, c *cluster) {
		for _, instanceName := range []string{"a", "b"} {
			for _, req := range []structs.Request{request(instanceName, "", "x"+instanceName), request(instanceName, "k", "y"), nonIdempotent(instanceName, "l", "z")} {
				answer, err := c.instances[instanceName].router.Handle(t.Context(), req)
				if err != nil || string(answer.Body) != "answer:"+string(req.Body) || answer.RequestID != instanceName {
					t.Errorf("at %s %q: %+v %v", instanceName, req.Body, answer, err)
				}
			}
		}
		if runs := c.runners.recordedRuns(); len(runs) != 4 {
			t.Errorf("ran %d times, want 4: %v", len(runs), runs)
		}
	})
}

// Guards against refusals with a wrong reason, and against refusals with an
// untrue outcome. Callers rely on both.
func TestRefusalsHaveTheirReasonAndOutcome(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(c *cluster)
		at      string
		req     structs.Request
		reason  structs.Reason
		outcome structs.Outcome
	}{
		{"key required", nil, "a", nonIdempotent("r", "", "x"), structs.ReasonKeyRequired, structs.OutcomeNotRun},
		{"key reused", func(c *cluster) { handle(c.instances["a"], request("q", "k", "other")) }, "a", request("r", "k", "x"), structs.ReasonKeyReused, structs.OutcomeNotRun},
		{"key reused after its entry expired", func(c *cluster) { handle(c.instances["a"], nonIdempotent("q", "k", "other")); time.Sleep(time.Minute) }, "a", nonIdempotent("r", "k", "x"), structs.ReasonKeyReused, structs.OutcomeNotRun},
		{"owner unreachable", func(c *cluster) { c.forwardFault = func(string) error { return peer.ErrUnreachable } }, "b", request("r", "k", "x"), structs.ReasonOwnerUnreachable, structs.OutcomeNotRun},
		{"forward lost", func(c *cluster) { c.forwardFault = func(string) error { return peer.ErrOutcomeUnknown } }, "b", request("r", "k", "x"), structs.ReasonOwnerUnreachable, structs.OutcomeMayHaveRun},
		{"forward returns another answer", func(c *cluster) { c.forwardFault = func(string) error { return errWrongAnswer } }, "b", request("r", "k", "x"), structs.ReasonAnswerIncomplete, structs.OutcomeMayHaveRun},
		{"lease too short", func(c *cluster) { c.makeOwner("a", 900*time.Millisecond, 0) }, "a", request("r", "k", "x"), structs.ReasonOwnershipUnproven, structs.OutcomeNotRun},
		{"quiet period not over", func(c *cluster) { c.makeOwner("a", time.Hour, 2*time.Second) }, "a", request("r", "k", "x"), structs.ReasonOwnershipUnproven, structs.OutcomeNotRun},
		{"no runner", func(c *cluster) { c.setMembers(nil) }, "a", request("r", "k", "x"), structs.ReasonNoRunner, structs.OutcomeNotRun},
		{"answer cut off", func(c *cluster) { c.runners.respond = alwaysRespond(0, runnerapi.ErrIncomplete) }, "a", request("r", "k", "x"), structs.ReasonAnswerIncomplete, structs.OutcomeMayHaveRun},
		{"too slow", func(c *cluster) { c.runners.respond = alwaysRespond(time.Hour, nil) }, "a", request("r", "", "x"), structs.ReasonDeadlineExceeded, structs.OutcomeMayHaveRun},
		{"failed", func(c *cluster) { c.runners.respond = alwaysRespond(0, runnerapi.ErrFailed) }, "a", request("r", "", "x"), structs.ReasonRunnerFailed, structs.OutcomeMayHaveRun},
		{"budget", func(c *cluster) { c.runners.respond = alwaysRespond(0, runnerapi.ErrBusy) }, "a", request("r", "", "x"), structs.ReasonRetryBudget, structs.OutcomeNotRun},
		{"table down", func(c *cluster) { c.table.fault = func(string) string { return "down" } }, "a", nonIdempotent("r", "k", "x"), structs.ReasonStoreUnavailable, structs.OutcomeNotRun},
		{"claim dropped", func(c *cluster) { c.table.fault = func(string) string { return "dropped" } }, "a", nonIdempotent("r", "k", "x"), structs.ReasonWriteUnresolved, structs.OutcomeMayHaveRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, c *cluster) {
				if tc.prepare != nil {
					tc.prepare(c)
				}
				before := len(c.runners.recordedRuns())
				_, reason, outcome := handle(c.instances[tc.at], tc.req)
				if reason != tc.reason || outcome != tc.outcome {
					t.Errorf("got %s %s, want %s %s", reason, outcome, tc.reason, tc.outcome)
				}
				if ran := len(c.runners.recordedRuns()) - before; outcome == structs.OutcomeNotRun && ran > 0 {
					t.Errorf("answered not_run, but %d dispatches ran", ran)
				}
			})
		})
	}
}

// alwaysRespond returns a respond function with the same result for every
// dispatch.
func alwaysRespond(took time.Duration, err error) func(string, runnerapi.Dispatch) (time.Duration, error) {
	return func(string, runnerapi.Dispatch) (time.Duration, error) { return took, err }
}

// Guards against an attempt that ends when its first caller disconnects,
// although other callers have joined it.
func TestDisconnectOfFirstCallerKeepsSharedAttempt(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, c *cluster) {
		c.runners.respond = alwaysRespond(300*time.Millisecond, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = c.instances["a"].router.Handle(ctx, request("first", "k", "x")) }()
		time.Sleep(100 * time.Millisecond)
		go func() { time.Sleep(50 * time.Millisecond); cancel() }()
		body, reason, _ := handle(c.instances["b"], request("second", "k", "x"))
		if body != "answer:x" || len(c.runners.recordedRuns()) != 1 {
			t.Errorf("second caller got %q %s after %d runs", body, reason, len(c.runners.recordedRuns()))
		}
	})
}

// Guards against an attempt that is shared, still waits for a slot, and ends
// when its first caller disconnects.
func TestDisconnectOfFirstCallerKeepsQueuedAttempt(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, c *cluster) {
		c.runners.respond = alwaysRespond(300*time.Millisecond, nil)
		for range 24 {
			go func() { _, _, _ = handle(c.instances["a"], request("r", "", "x")) }()
		}
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = c.instances["a"].router.Handle(ctx, request("first", "k", "y")) }()
		time.Sleep(50 * time.Millisecond)
		go func() { time.Sleep(50 * time.Millisecond); cancel() }()
		if body, reason, _ := handle(c.instances["b"], request("second", "k", "y")); body != "answer:y" {
			t.Errorf("second caller: %s", reason)
		}
	})
}

// Guards against a retry under a key that overlaps with an earlier dispatch.
// The answer of that dispatch was lost, so it may run until its deadline.
func TestRetryDoesNotOverlapLostDispatch(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, c *cluster) {
		c.runners.respond = alwaysRespond(time.Second, runnerapi.ErrIncomplete)
		handle(c.instances["a"], request("r", "k", "x"))
		c.runners.respond = alwaysRespond(10*time.Millisecond, nil)
		if _, reason, outcome := handle(c.instances["a"], request("s", "k", "x")); reason != structs.ReasonAnswerIncomplete || outcome != structs.OutcomeMayHaveRun {
			t.Errorf("retry while the first may run: %s %s", reason, outcome)
		}
		time.Sleep(1100 * time.Millisecond)
		if body, reason, _ := handle(c.instances["a"], request("s", "k", "x")); body != "answer:x" {
			t.Errorf("retry after the first ended: %s", reason)
		}
	})
}

// Guards against un-keyed requests that fail when no owner can be reached
// although the runners would accept them, and against requests that use more
// than the reserved connections then.
func TestUnkeyedRequestsUseReservedConnectionsWithoutOwner(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, c *cluster) {
		c.forwardFault = func(string) error { return peer.ErrUnreachable }
		c.runners.respond = alwaysRespond(100*time.Millisecond, nil)
		done := make(chan string)
		for range 12 {
			go func() { body, _, _ := handle(c.instances["b"], request("r", "", "x")); done <- body }()
		}
		time.Sleep(50 * time.Millisecond)
		// There are three runners with two reserved connections each.
		if dispatches := len(c.runners.recordedRuns()); dispatches != 6 {
			t.Errorf("%d dispatches at once on reserved connections, want 6", dispatches)
		}
		for range 12 {
			if body := <-done; body != "answer:x" {
				t.Errorf("answer %q", body)
			}
		}
	})
}

// Guards against more concurrent dispatches to a runner than it has slots, and
// against new requests to a runner that is leaving.
func TestOwnerRespectsSlotsAndLeavingRunners(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, c *cluster) {
		c.runners.respond = alwaysRespond(100*time.Millisecond, nil)
		done := make(chan string)
		for range 40 {
			go func() { body, _, _ := handle(c.instances["a"], request("r", "", "x")); done <- body }()
		}
		time.Sleep(50 * time.Millisecond)
		perRunner := map[string]int{}
		for _, run := range c.runners.recordedRuns() {
			perRunner[run.runner]++
		}
		if perRunner["runner-0"] != 8 || perRunner["runner-1"] != 8 || perRunner["runner-2"] != 8 {
			t.Errorf("dispatches at once: %v, want 8 each", perRunner)
		}
		for range 40 {
			<-done
		}
		c.runners.setRespond(func(address string, _ runnerapi.Dispatch) (time.Duration, error) {
			if address == "runner-0" {
				return 0, runnerapi.ErrLeaving
			}
			return 0, nil
		})
		for range 10 {
			if body, reason, _ := handle(c.instances["a"], request("r", "", "x")); body != "answer:x" {
				t.Errorf("with a leaving runner: %s", reason)
			}
		}
		if !c.leaving["runner-0"] {
			t.Error("the leaving runner was not marked as leaving")
		}
	})
}

// Guards against a request that fails in a domain without runners although
// another domain has some, and against a request that is forwarded between
// domains for ever.
func TestDomainWithoutRunnersForwardsToAnother(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, c *cluster) {
		remote := c.addInstance("far", "iseyin", Settings{})
		req := request("r", "", "x")
		req.Domain = ""
		if body, reason, _ := handle(remote, req); body != "answer:x" {
			t.Errorf("refused: %s", reason)
		}
		c.setMembers(nil)
		time.Sleep(time.Second) // longer than RunnersMaxAge
		if _, reason, outcome := handle(remote, req); reason != structs.ReasonNoRunner || outcome != structs.OutcomeNotRun {
			t.Errorf("without any runner: %s %s", reason, outcome)
		}
	})
}

// Guards against an answer too large for the claim row that is lost when the
// owner forgets the key, and against a claim whose answer could not be stored
// but which is taken for a request that did not run.
func TestLargeAnswerIsKeptInObjectStore(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		runInVirtualTime(t, func(t *testing.T, c *cluster) {
			c.objects.down = storeDown
			body := strings.Repeat("x", 65<<10)
			if got, reason, _ := handle(c.instances["a"], nonIdempotent("r", "k", body)); got != "answer:"+body {
				t.Fatalf("first answer: %s", reason)
			}
			time.Sleep(time.Minute)
			got, reason, outcome := handle(c.instances["a"], nonIdempotent("r", "k", body))
			if !storeDown && got != "answer:"+body || storeDown && (reason != structs.ReasonAnswerUnavailable || outcome != structs.OutcomeRan) {
				t.Errorf("object store down %v: second answer: %s %s", storeDown, reason, outcome)
			}
			if len(c.runners.recordedRuns()) != 1 {
				t.Errorf("ran %d times", len(c.runners.recordedRuns()))
			}
		})
	}
}

// Guards against a latency sample that contains old measurements. Batch work
// would then be throttled long after the service recovered.
func TestLatencySampleIsRecent(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, c *cluster) {
		for i := range 100 {
			c.runners.setRespond(alwaysRespond(time.Duration(i+1)*time.Millisecond, nil))
			handle(c.instances["a"], request("r", "", "x"))
		}
		c.runners.setRespond(alwaysRespond(time.Hour, nil))
		handle(c.instances["a"], request("r", "", "x"))
		want := LatencySample{Count: 101, P50: 51 * time.Millisecond, P99: 100 * time.Millisecond, Late: 1}
		if got := c.instances["a"].router.Latency(testService); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
		time.Sleep(latencyWindow + time.Second)
		if got := c.instances["a"].router.Latency(testService); got != (LatencySample{}) {
			t.Errorf("after the window: %+v", got)
		}
	})
}
