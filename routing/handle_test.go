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

// handle returns the answer, or the refusal's reason and outcome.
func handle(n *node, req structs.Request) (string, structs.Reason, structs.Outcome) {
	answer, err := n.router.Handle(context.Background(), req)
	if err != nil {
		refusal := structs.AsRefusal(err)
		return "", refusal.Reason, refusal.Outcome
	}
	return string(answer.Body), "", structs.OutcomeRan
}

// bubble runs a test in virtual time.
func bubble(t *testing.T, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Settings{}, "a", "b")
		f(t, c)
		// Dispatches that overrun their deadline are waited for beyond the test.
		time.Sleep(time.Minute)
	})
}

// Guards against a request that is answered only on the shard owner, and
// against a keyed request that runs again while its answer is remembered.
func TestHandleLocallyAndForwarded(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		for _, at := range []string{"a", "b"} {
			for _, req := range []structs.Request{request(at, "", "x"+at), request(at, "k", "y"), billed(at, "l", "z")} {
				answer, err := c.nodes[at].router.Handle(t.Context(), req)
				if err != nil || string(answer.Body) != "answer:"+string(req.Body) || answer.RequestID != at {
					t.Errorf("at %s %q: %+v %v", at, req.Body, answer, err)
				}
			}
		}
		if runs := c.runners.record(); len(runs) != 4 {
			t.Errorf("ran %d times, want 4: %v", len(runs), runs)
		}
	})
}

// Guards against each refusal that a caller relies on being given for another
// cause, or with an outcome that is not true.
func TestRefusalsOfRouting(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(c *cluster)
		at      string
		req     structs.Request
		reason  structs.Reason
		outcome structs.Outcome
	}{
		{"key required", nil, "a", billed("r", "", "x"), structs.ReasonKeyRequired, structs.OutcomeNotRun},
		{"key reused", func(c *cluster) { handle(c.nodes["a"], request("q", "k", "other")) }, "a", request("r", "k", "x"), structs.ReasonKeyReused, structs.OutcomeNotRun},
		{"key reused after its memory", func(c *cluster) { handle(c.nodes["a"], billed("q", "k", "other")); time.Sleep(time.Minute) }, "a", billed("r", "k", "x"), structs.ReasonKeyReused, structs.OutcomeNotRun},
		{"owner unreachable", func(c *cluster) { c.forward = func(string) error { return peer.ErrUnreachable } }, "b", request("r", "k", "x"), structs.ReasonOwnerUnreachable, structs.OutcomeNotRun},
		{"forward lost", func(c *cluster) { c.forward = func(string) error { return peer.ErrOutcomeUnknown } }, "b", request("r", "k", "x"), structs.ReasonOwnerUnreachable, structs.OutcomeMayHaveRun},
		{"forward crossed", func(c *cluster) { c.forward = func(string) error { return errCrossed } }, "b", request("r", "k", "x"), structs.ReasonAnswerIncomplete, structs.OutcomeMayHaveRun},
		{"lease too short", func(c *cluster) { c.own("a", 900*time.Millisecond, 0) }, "a", request("r", "k", "x"), structs.ReasonOwnershipUnproven, structs.OutcomeNotRun},
		{"predecessor not quiet", func(c *cluster) { c.own("a", time.Hour, 2*time.Second) }, "a", request("r", "k", "x"), structs.ReasonOwnershipUnproven, structs.OutcomeNotRun},
		{"no runner", func(c *cluster) { c.setMembers(nil) }, "a", request("r", "k", "x"), structs.ReasonNoRunner, structs.OutcomeNotRun},
		{"answer cut off", func(c *cluster) { c.runners.behave = always(0, runnerapi.ErrIncomplete) }, "a", request("r", "k", "x"), structs.ReasonAnswerIncomplete, structs.OutcomeMayHaveRun},
		{"too slow", func(c *cluster) { c.runners.behave = always(time.Hour, nil) }, "a", request("r", "", "x"), structs.ReasonDeadlineExceeded, structs.OutcomeMayHaveRun},
		{"failed", func(c *cluster) { c.runners.behave = always(0, runnerapi.ErrFailed) }, "a", request("r", "", "x"), structs.ReasonRunnerFailed, structs.OutcomeMayHaveRun},
		{"budget", func(c *cluster) { c.runners.behave = always(0, runnerapi.ErrBusy) }, "a", request("r", "", "x"), structs.ReasonRetryBudget, structs.OutcomeNotRun},
		{"table down", func(c *cluster) { c.table.fault = func(string) string { return "down" } }, "a", billed("r", "k", "x"), structs.ReasonStoreUnavailable, structs.OutcomeNotRun},
		{"claim dropped", func(c *cluster) { c.table.fault = func(string) string { return "dropped" } }, "a", billed("r", "k", "x"), structs.ReasonWriteUnresolved, structs.OutcomeMayHaveRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, c *cluster) {
				if tc.prepare != nil {
					tc.prepare(c)
				}
				before := len(c.runners.record())
				_, reason, outcome := handle(c.nodes[tc.at], tc.req)
				if reason != tc.reason || outcome != tc.outcome {
					t.Errorf("got %s %s, want %s %s", reason, outcome, tc.reason, tc.outcome)
				}
				if ran := len(c.runners.record()) - before; outcome == structs.OutcomeNotRun && ran > 0 {
					t.Errorf("answered not_run, but %d dispatches ran", ran)
				}
			})
		})
	}
}

func always(took time.Duration, err error) func(string, runnerapi.Dispatch) (time.Duration, error) {
	return func(string, runnerapi.Dispatch) (time.Duration, error) { return took, err }
}

// Guards against a caller whose disconnect cuts off the others that joined its
// attempt.
func TestFirstCallerLeaves(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.runners.behave = always(300*time.Millisecond, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = c.nodes["a"].router.Handle(ctx, request("first", "k", "x")) }()
		time.Sleep(100 * time.Millisecond)
		go func() { time.Sleep(50 * time.Millisecond); cancel() }()
		body, reason, _ := handle(c.nodes["b"], request("second", "k", "x"))
		if body != "answer:x" || len(c.runners.record()) != 1 {
			t.Errorf("second caller got %q %s after %d runs", body, reason, len(c.runners.record()))
		}
	})
}

// Guards against a shared attempt that ends with its first caller while it
// still waits for a slot.
func TestFirstCallerLeavesWhileQueued(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.runners.behave = always(300*time.Millisecond, nil)
		for range 24 {
			go func() { _, _, _ = handle(c.nodes["a"], request("r", "", "x")) }()
		}
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = c.nodes["a"].router.Handle(ctx, request("first", "k", "y")) }()
		time.Sleep(50 * time.Millisecond)
		go func() { time.Sleep(50 * time.Millisecond); cancel() }()
		if body, reason, _ := handle(c.nodes["b"], request("second", "k", "y")); body != "answer:y" {
			t.Errorf("second caller: %s", reason)
		}
	})
}

// Guards against a retry under a key that overlaps a dispatch whose answer was
// lost before its deadline.
func TestRetryWaitsForLostDispatch(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.runners.behave = always(time.Second, runnerapi.ErrIncomplete)
		handle(c.nodes["a"], request("r", "k", "x"))
		c.runners.behave = always(10*time.Millisecond, nil)
		if _, reason, outcome := handle(c.nodes["a"], request("s", "k", "x")); reason != structs.ReasonAnswerIncomplete || outcome != structs.OutcomeMayHaveRun {
			t.Errorf("retry while the first may run: %s %s", reason, outcome)
		}
		time.Sleep(1100 * time.Millisecond)
		if body, reason, _ := handle(c.nodes["a"], request("s", "k", "x")); body != "answer:x" {
			t.Errorf("retry after the first ended: %s", reason)
		}
	})
}

// Guards against un-keyed requests that fail although other runners of the
// domain accept them, and against keyed ones that are dispatched by a
// non-owner.
func TestFallbackWithoutOwner(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.forward = func(string) error { return peer.ErrUnreachable }
		c.runners.behave = always(100*time.Millisecond, nil)
		done := make(chan string)
		for range 12 {
			go func() { body, _, _ := handle(c.nodes["b"], request("r", "", "x")); done <- body }()
		}
		time.Sleep(50 * time.Millisecond)
		// Three runners with two reserved connections each.
		if n := len(c.runners.record()); n != 6 {
			t.Errorf("%d dispatches at once on reserved connections, want 6", n)
		}
		for range 12 {
			if body := <-done; body != "answer:x" {
				t.Errorf("answer %q", body)
			}
		}
	})
}

// Guards against more dispatches to a runner than it has slots, and against a
// leaving runner that gets new requests.
func TestSlotsOfOwner(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.runners.behave = always(100*time.Millisecond, nil)
		done := make(chan string)
		for range 40 {
			go func() { body, _, _ := handle(c.nodes["a"], request("r", "", "x")); done <- body }()
		}
		time.Sleep(50 * time.Millisecond)
		perRunner := map[string]int{}
		for _, r := range c.runners.record() {
			perRunner[r.runner]++
		}
		if perRunner["runner-0"] != 8 || perRunner["runner-1"] != 8 || perRunner["runner-2"] != 8 {
			t.Errorf("dispatches at once: %v, want 8 each", perRunner)
		}
		for range 40 {
			<-done
		}
		c.runners.setBehave(func(address string, _ runnerapi.Dispatch) (time.Duration, error) {
			if address == "runner-0" {
				return 0, runnerapi.ErrLeaving
			}
			return 0, nil
		})
		for range 10 {
			if body, reason, _ := handle(c.nodes["a"], request("r", "", "x")); body != "answer:x" {
				t.Errorf("beside a leaving runner: %s", reason)
			}
		}
		if !c.left["runner-0"] {
			t.Error("the leaving runner was not reported")
		}
	})
}

// Guards against a request that fails in a domain without runners although
// another domain has some, and against one that crosses domains for ever.
func TestOtherDomainServes(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		far := c.add("far", "iseyin", Settings{})
		req := request("r", "", "x")
		req.Domain = ""
		if body, reason, _ := handle(far, req); body != "answer:x" {
			t.Errorf("refused: %s", reason)
		}
		c.setMembers(nil)
		time.Sleep(time.Second) // longer than a reading of the runners is used
		if _, reason, outcome := handle(far, req); reason != structs.ReasonNoRunner || outcome != structs.OutcomeNotRun {
			t.Errorf("without any runner: %s %s", reason, outcome)
		}
	})
}

// Guards against a large answer that is lost with the in-memory table, and
// against a claim whose missing answer is taken for a request that did not run.
func TestLargeAnswerOfClaim(t *testing.T) {
	for _, down := range []bool{false, true} {
		bubble(t, func(t *testing.T, c *cluster) {
			c.objects.down = down
			body := strings.Repeat("x", 65<<10)
			if got, reason, _ := handle(c.nodes["a"], billed("r", "k", body)); got != "answer:"+body {
				t.Fatalf("first answer: %s", reason)
			}
			time.Sleep(time.Minute)
			got, reason, outcome := handle(c.nodes["a"], billed("r", "k", body))
			if !down && got != "answer:"+body || down && (reason != structs.ReasonAnswerUnavailable || outcome != structs.OutcomeRan) {
				t.Errorf("object store down %v: second answer: %s %s", down, reason, outcome)
			}
			if len(c.runners.record()) != 1 {
				t.Errorf("ran %d times", len(c.runners.record()))
			}
		})
	}
}

// Guards against a latency sample that keeps old measurements, which would
// have batch work throttled long after a service recovered.
func TestLatencySampleIsRecent(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		for i := range 100 {
			c.runners.setBehave(always(time.Duration(i+1)*time.Millisecond, nil))
			handle(c.nodes["a"], request("r", "", "x"))
		}
		c.runners.setBehave(always(time.Hour, nil))
		handle(c.nodes["a"], request("r", "", "x"))
		want := LatencySample{Count: 101, P50: 51 * time.Millisecond, P99: 100 * time.Millisecond, Late: 1}
		if got := c.nodes["a"].router.Latency(testService); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
		time.Sleep(latencyWindow + time.Second)
		if got := c.nodes["a"].router.Latency(testService); got != (LatencySample{}) {
			t.Errorf("after the window: %+v", got)
		}
	})
}
