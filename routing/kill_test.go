package routing

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotstile/runnerapi"
	"bergamotstile/structs"
)

// claimSteps are the steps of a non-idempotent request, in order.
var claimSteps = []string{"commit", "committed", "dispatch", "dispatched", "commit", "committed"}

// killCase interrupts the owner at one step while one table fault is active.
type killCase struct {
	step  int
	pause bool // the owner goes on after the takeover instead of dying
	fault string
}

// outcomeOf is what two submits of one key were told, and what ran.
type outcomeOf struct {
	body    [2]string
	reason  [2]structs.Reason
	outcome [2]structs.Outcome
	runs    int
}

// interrupt submits a request at a, has b take over at the step, and submits
// the same request at b.
func (k killCase) interrupt(t *testing.T) outcomeOf {
	var out outcomeOf
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Settings{}, "a", "b")
		c.table.fault = k.faultOnce()
		retry := func() {
			c.own("b", time.Hour, 0)
			out.body[1], out.reason[1], out.outcome[1] = handle(c.nodes["b"], billed("second", "k", "x"))
		}
		reached := 0
		c.step = func(n *node, step string) {
			if n.name != "a" || step == "read" {
				return
			}
			if reached++; reached != k.step {
				return
			}
			if k.pause {
				retry()
			} else {
				n.kill()
			}
		}
		out.body[0], out.reason[0], out.outcome[0] = handle(c.nodes["a"], billed("first", "k", "x"))
		time.Sleep(3 * time.Second)
		c.table.land()
		if !k.pause {
			retry()
		}
		time.Sleep(time.Minute)
		c.table.land()
		// A last submit, after all memory of the key is gone.
		_, _, _ = handle(c.nodes["b"], billed("third", "k", "x"))
		out.runs = len(c.runners.record())
	})
	return out
}

// faultOnce applies the fault to the first commit.
func (k killCase) faultOnce() func(string) string {
	used := false
	return func(op string) string {
		if op != "commit" || used {
			return ""
		}
		used = true
		return k.fault
	}
}

// Guards against a billed request that runs twice, or whose caller is told
// something untrue, when its owner dies or is overtaken at any step between
// claim and outcome (P5, P6).
func TestOwnerLostAtEachStep(t *testing.T) {
	for _, fault := range []string{"", "lost", "dropped", "delayed", "down"} {
		for _, pause := range []bool{false, true} {
			for step := 1; step <= len(claimSteps); step++ {
				k := killCase{step: step, pause: pause, fault: fault}
				t.Run(fmt.Sprintf("%s-%v-%d-%s", fault, pause, step, claimSteps[step-1]), func(t *testing.T) {
					out := k.interrupt(t)
					if out.runs > 1 {
						t.Errorf("ran %d times: %+v", out.runs, out)
					}
					for i := range out.outcome {
						if out.body[i] != "" && (out.body[i] != "answer:x" || out.runs != 1) {
							t.Errorf("submit %d was answered %q after %d runs", i, out.body[i], out.runs)
						}
					}
				})
			}
		}
	}
}

// Guards against an owner that commits a claim after it was overtaken while
// it was paused.
func TestOvertakenOwnerIsFenced(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		var takeover sync.Once
		c.step = func(_ *node, step string) {
			if step == "commit" {
				takeover.Do(func() { c.own("b", time.Hour, 0) })
			}
		}
		if _, reason, outcome := handle(c.nodes["a"], billed("r", "k", "x")); reason != structs.ReasonNotOwner || outcome != structs.OutcomeNotRun {
			t.Errorf("got %s %s", reason, outcome)
		}
		if c.nodes["a"].router.isOwner(testShard) {
			t.Error("the overtaken owner was not told that it is fenced")
		}
	})
}

// Guards against a takeover that answers more or less than the claim shows.
func TestTakeoverAnswersFromClaim(t *testing.T) {
	for step, want := range map[int]outcomeOf{
		1: {body: [2]string{1: "answer:x"}, runs: 1},
		2: {reason: [2]structs.Reason{1: structs.ReasonClaimOpen}, runs: 0},
		3: {reason: [2]structs.Reason{1: structs.ReasonClaimOpen}, runs: 0},
		4: {reason: [2]structs.Reason{1: structs.ReasonClaimOpen}, runs: 1},
		5: {reason: [2]structs.Reason{1: structs.ReasonClaimOpen}, runs: 1},
		6: {body: [2]string{1: "answer:x"}, runs: 1},
	} {
		got := killCase{step: step}.interrupt(t)
		if got.body[1] != want.body[1] || got.reason[1] != want.reason[1] || got.runs != want.runs {
			t.Errorf("killed at step %d: got %+v, want %+v", step, got, want)
		}
		if got.reason[1] == structs.ReasonClaimOpen && got.outcome[1] != structs.OutcomeMayHaveRun {
			t.Errorf("killed at step %d: claim_open with outcome %s", step, got.outcome[1])
		}
	}
}

// Guards against a claim whose write was unresolved and which lands after
// not_run was answered, or blocks its key for ever.
func TestUnresolvedClaimIsClosed(t *testing.T) {
	for _, fault := range []string{"lost", "dropped", "delayed"} {
		bubble(t, func(t *testing.T, c *cluster) {
			c.table.fault = func(op string) string {
				if op == "commit" {
					return fault
				}
				return "down"
			}
			if _, reason, outcome := handle(c.nodes["a"], billed("r", "k", "x")); reason != structs.ReasonWriteUnresolved || outcome != structs.OutcomeMayHaveRun {
				t.Errorf("%s: unresolved claim: %s %s", fault, reason, outcome)
			}
			if _, reason, _ := handle(c.nodes["a"], billed("s", "k", "x")); reason != structs.ReasonWriteUnresolved {
				t.Errorf("%s: duplicate while unresolved: %s", fault, reason)
			}
			c.table.setFault(nil)
			time.Sleep(3 * time.Second)
			c.table.land()
			row, _, err := c.nodes["a"].router.readClaim(context.Background(), claimKey(testShard, "k"))
			if err != nil || row.State != claimNotRun {
				t.Errorf("%s: claim row is %q after the outage: %v", fault, row.State, err)
			}
			if n := len(c.runners.record()); n != 0 {
				t.Errorf("%s: ran %d times before the claim was resolved", fault, n)
			}
			if body, reason, _ := handle(c.nodes["a"], billed("u", "k", "x")); body != "answer:x" {
				t.Errorf("%s: key is still taken: %s", fault, reason)
			}
		})
	}
}

// Guards against claims that are written one by one, which the table's write
// rate would not carry, and against one conflict that fails its whole group.
func TestClaimsShareTransactions(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.step = func(_ *node, step string) {
			if step == "commit" {
				time.Sleep(20 * time.Millisecond)
			}
		}
		handle(c.nodes["a"], billed("r", "k0", "x0"))
		time.Sleep(time.Minute)
		before := c.table.committed()
		answers := make(chan string)
		for i := range 20 {
			go func() {
				body, _, _ := handle(c.nodes["a"], billed(fmt.Sprint("r", i), fmt.Sprint("k", i), fmt.Sprint("x", i)))
				answers <- body
			}()
		}
		for range 20 {
			if body := <-answers; body == "" {
				t.Error("a claim failed")
			}
		}
		time.Sleep(time.Second)
		if n := c.table.committed() - before; n > 8 {
			t.Errorf("%d transactions for 20 claims and their outcomes", n)
		}
	})
}

// Guards against a lost answer of a claim's write that costs the request: it is
// resolved by reading back, and the request goes on.
func TestLostClaimAnswerIsResolved(t *testing.T) {
	for _, fault := range []string{"lost", "dropped", "delayed"} {
		bubble(t, func(t *testing.T, c *cluster) {
			c.table.fault = killCase{fault: fault}.faultOnce()
			if body, reason, _ := handle(c.nodes["a"], billed("r", "k", "x")); body != "answer:x" {
				t.Errorf("%s: %s", fault, reason)
			}
			c.table.land()
			time.Sleep(time.Minute)
			if body, reason, _ := handle(c.nodes["a"], billed("s", "k", "x")); body != "answer:x" {
				t.Errorf("%s: duplicate: %s", fault, reason)
			}
			if n := len(c.runners.record()); n != 1 {
				t.Errorf("%s: ran %d times", fault, n)
			}
		})
	}
}

// Guards against a request that was told not_run while its claim still blocks
// its key, and against not_run before the claim is closed.
func TestNotRunClosesTheClaim(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.runners.behave = always(0, runnerapi.ErrBusy)
		if _, reason, outcome := handle(c.nodes["a"], billed("r", "k", "x")); reason != structs.ReasonRetryBudget || outcome != structs.OutcomeNotRun {
			t.Errorf("busy runners: %s %s", reason, outcome)
		}
		var outage sync.Once
		c.step = func(_ *node, step string) {
			if step == "dispatch" {
				outage.Do(func() { c.table.setFault(func(string) string { return "down" }) })
			}
		}
		if _, reason, outcome := handle(c.nodes["a"], billed("s", "l", "y")); reason != structs.ReasonWriteUnresolved || outcome != structs.OutcomeMayHaveRun {
			t.Errorf("busy runners and no table: %s %s", reason, outcome)
		}
		c.table.setFault(nil)
		c.runners.setBehave(always(0, nil))
		time.Sleep(5 * time.Second)
		for key, body := range map[string]string{"k": "x", "l": "y"} {
			if got, reason, _ := handle(c.nodes["a"], billed("u", key, body)); got != "answer:"+body {
				t.Errorf("key %s is still taken: %s", key, reason)
			}
		}
	})
}
