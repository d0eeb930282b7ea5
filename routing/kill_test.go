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

// requestSteps are the steps of a non-idempotent request at its owner, in order:
// the times before and after the commit of the claim, the dispatch to the runner
// and the commit of the outcome.
var requestSteps = []string{"commit", "committed", "dispatch", "dispatched", "commit", "committed"}

// interruptionCase interrupts the owner at one step of a request, with one
// fault of the table.
type interruptionCase struct {
	step    int    // 1 is the first of requestSteps
	resumes bool   // the owner continues after the takeover instead of dying
	fault   string // fault of the first commit; "" for none
}

// interruptionResult is what the two submissions of one key returned, and how
// often the request ran.
type interruptionResult struct {
	body    [2]string
	reason  [2]structs.Reason
	outcome [2]structs.Outcome
	runs    int
}

// run submits a request to instance a, interrupts a at the step, lets instance b
// take over, and submits the same request to b.
func (k interruptionCase) run(t *testing.T) interruptionResult {
	var got interruptionResult
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Settings{}, "a", "b")
		c.table.fault = k.faultFirstCommit()
		submitAtNewOwner := func() {
			c.makeOwner("b", time.Hour, 0)
			got.body[1], got.reason[1], got.outcome[1] = handle(c.instances["b"], nonIdempotent("second", "k", "x"))
		}
		stepsReached := 0
		c.onStep = func(instance *testInstance, step string) {
			if instance.name != "a" || step == "read" {
				return
			}
			if stepsReached++; stepsReached != k.step {
				return
			}
			if k.resumes {
				submitAtNewOwner()
			} else {
				instance.kill()
			}
		}
		got.body[0], got.reason[0], got.outcome[0] = handle(c.instances["a"], nonIdempotent("first", "k", "x"))
		time.Sleep(3 * time.Second)
		c.table.applyDelayed()
		if !k.resumes {
			submitAtNewOwner()
		}
		time.Sleep(time.Minute)
		c.table.applyDelayed()
		// Submit the request once more, after both instances have forgotten the
		// key.
		_, _, _ = handle(c.instances["b"], nonIdempotent("third", "k", "x"))
		got.runs = len(c.runners.recordedRuns())
	})
	return got
}

// faultFirstCommit returns a fault function that applies the fault only to the
// first commit.
func (k interruptionCase) faultFirstCommit() func(string) string {
	applied := false
	return func(op string) string {
		if op != "commit" || applied {
			return ""
		}
		applied = true
		return k.fault
	}
}

// Guards against a non-idempotent request that runs twice, or whose caller gets
// an untrue answer, if the owner dies or loses the shard at any step between
// claim and outcome (P5, P6).
func TestOwnerLossAtEachStepRunsAtMostOnce(t *testing.T) {
	for _, fault := range []string{"", "lost", "dropped", "delayed", "down"} {
		for _, resumes := range []bool{false, true} {
			for step := 1; step <= len(requestSteps); step++ {
				k := interruptionCase{step: step, resumes: resumes, fault: fault}
				t.Run(fmt.Sprintf("%s-%v-%d-%s", fault, resumes, step, requestSteps[step-1]), func(t *testing.T) {
					got := k.run(t)
					if got.runs > 1 {
						t.Errorf("ran %d times: %+v", got.runs, got)
					}
					for i := range got.outcome {
						if got.body[i] != "" && (got.body[i] != "answer:x" || got.runs != 1) {
							t.Errorf("submit %d was answered %q after %d runs", i, got.body[i], got.runs)
						}
					}
				})
			}
		}
	}
}

// Guards against a former owner that commits a claim after its shard has been
// taken over, and against one that serves the shard after that commit was
// rejected.
func TestCommitOfFormerOwnerIsFenced(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, c *cluster) {
		var takeover sync.Once
		c.onStep = func(_ *testInstance, step string) {
			if step == "commit" {
				takeover.Do(func() { c.makeOwner("b", time.Hour, 0) })
			}
		}
		if _, reason, outcome := handle(c.instances["a"], nonIdempotent("r", "k", "x")); reason != structs.ReasonNotOwner || outcome != structs.OutcomeNotRun {
			t.Errorf("got %s %s", reason, outcome)
		}
		if c.instances["a"].router.isOwner(testShard) {
			t.Error("the former owner still serves the shard after its write was fenced")
		}
	})
}

// Guards against a new owner that answers a retry differently from what the
// claim of the former owner proves. The former owner is killed at each of
// requestSteps in turn. Without a claim the retry runs, with an open claim it is
// refused, and with a recorded answer it gets that answer.
func TestTakeoverAnswersWhatTheClaimShows(t *testing.T) {
	for step, want := range map[int]interruptionResult{
		1: {body: [2]string{1: "answer:x"}, runs: 1},
		2: {reason: [2]structs.Reason{1: structs.ReasonClaimOpen}, runs: 0},
		3: {reason: [2]structs.Reason{1: structs.ReasonClaimOpen}, runs: 0},
		4: {reason: [2]structs.Reason{1: structs.ReasonClaimOpen}, runs: 1},
		5: {reason: [2]structs.Reason{1: structs.ReasonClaimOpen}, runs: 1},
		6: {body: [2]string{1: "answer:x"}, runs: 1},
	} {
		got := interruptionCase{step: step}.run(t)
		if got.body[1] != want.body[1] || got.reason[1] != want.reason[1] || got.runs != want.runs {
			t.Errorf("killed at step %d: got %+v, want %+v", step, got, want)
		}
		if got.reason[1] == structs.ReasonClaimOpen && got.outcome[1] != structs.OutcomeMayHaveRun {
			t.Errorf("killed at step %d: claim_open with outcome %s", step, got.outcome[1])
		}
	}
}

// Guards against a claim whose write has an unknown outcome and is applied after
// the request was answered with not_run, and against such a claim that blocks its
// key for ever. The owner must mark the claim's row as not run after the outage.
func TestUnresolvedClaimIsClosed(t *testing.T) {
	for _, fault := range []string{"lost", "dropped", "delayed"} {
		runInVirtualTime(t, func(t *testing.T, c *cluster) {
			c.table.fault = func(op string) string {
				if op == "commit" {
					return fault
				}
				return "down"
			}
			if _, reason, outcome := handle(c.instances["a"], nonIdempotent("r", "k", "x")); reason != structs.ReasonWriteUnresolved || outcome != structs.OutcomeMayHaveRun {
				t.Errorf("%s: unresolved claim: %s %s", fault, reason, outcome)
			}
			if _, reason, _ := handle(c.instances["a"], nonIdempotent("s", "k", "x")); reason != structs.ReasonWriteUnresolved {
				t.Errorf("%s: duplicate while unresolved: %s", fault, reason)
			}
			c.table.setFault(nil)
			time.Sleep(3 * time.Second)
			c.table.applyDelayed()
			row, _, err := c.instances["a"].router.readClaim(context.Background(), claimKey(testShard, "k"))
			if err != nil || row.State != claimNotRun {
				t.Errorf("%s: claim row is %q after the outage: %v", fault, row.State, err)
			}
			if runs := len(c.runners.recordedRuns()); runs != 0 {
				t.Errorf("%s: ran %d times before the claim was resolved", fault, runs)
			}
			if body, reason, _ := handle(c.instances["a"], nonIdempotent("u", "k", "x")); body != "answer:x" {
				t.Errorf("%s: the key is still blocked: %s", fault, reason)
			}
		})
	}
}

// Guards against claims that are committed one by one, at a rate that the table
// would not sustain, and against one conflict that fails its whole group.
func TestClaimsShareTransactions(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, c *cluster) {
		c.onStep = func(_ *testInstance, step string) {
			if step == "commit" {
				time.Sleep(20 * time.Millisecond)
			}
		}
		handle(c.instances["a"], nonIdempotent("r", "k0", "x0"))
		time.Sleep(time.Minute)
		before := c.table.commitTotal()
		answers := make(chan string)
		for i := range 20 {
			go func() {
				body, _, _ := handle(c.instances["a"], nonIdempotent(fmt.Sprint("r", i), fmt.Sprint("k", i), fmt.Sprint("x", i)))
				answers <- body
			}()
		}
		for range 20 {
			if body := <-answers; body == "" {
				t.Error("a claim failed")
			}
		}
		time.Sleep(time.Second)
		if transactions := c.table.commitTotal() - before; transactions > 8 {
			t.Errorf("%d transactions for 20 claims and their outcomes", transactions)
		}
	})
}

// Guards against a request that fails because the table's answer to its claim
// write is lost. The writer reads the row back, and the request continues.
func TestLostClaimAnswerIsResolved(t *testing.T) {
	for _, fault := range []string{"lost", "dropped", "delayed"} {
		runInVirtualTime(t, func(t *testing.T, c *cluster) {
			c.table.fault = interruptionCase{fault: fault}.faultFirstCommit()
			if body, reason, _ := handle(c.instances["a"], nonIdempotent("r", "k", "x")); body != "answer:x" {
				t.Errorf("%s: %s", fault, reason)
			}
			c.table.applyDelayed()
			time.Sleep(time.Minute)
			if body, reason, _ := handle(c.instances["a"], nonIdempotent("s", "k", "x")); body != "answer:x" {
				t.Errorf("%s: duplicate: %s", fault, reason)
			}
			if runs := len(c.runners.recordedRuns()); runs != 1 {
				t.Errorf("%s: ran %d times", fault, runs)
			}
		})
	}
}

// Guards against an owner that answers not_run before the claim of the request is
// closed, that is, before the claim's row is marked as not run, and against a
// claim that blocks its key afterwards. If the table is down, the owner must
// answer may_have_run until the claim is closed.
func TestClaimIsClosedBeforeNotRunIsAnswered(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, c *cluster) {
		c.runners.respond = alwaysRespond(0, runnerapi.ErrBusy)
		if _, reason, outcome := handle(c.instances["a"], nonIdempotent("r", "k", "x")); reason != structs.ReasonRetryBudget || outcome != structs.OutcomeNotRun {
			t.Errorf("busy runners: %s %s", reason, outcome)
		}
		var outage sync.Once
		c.onStep = func(_ *testInstance, step string) {
			if step == "dispatch" {
				outage.Do(func() { c.table.setFault(func(string) string { return "down" }) })
			}
		}
		if _, reason, outcome := handle(c.instances["a"], nonIdempotent("s", "l", "y")); reason != structs.ReasonWriteUnresolved || outcome != structs.OutcomeMayHaveRun {
			t.Errorf("busy runners and no table: %s %s", reason, outcome)
		}
		c.table.setFault(nil)
		c.runners.setRespond(alwaysRespond(0, nil))
		time.Sleep(5 * time.Second)
		for key, body := range map[string]string{"k": "x", "l": "y"} {
			if got, reason, _ := handle(c.instances["a"], nonIdempotent("u", key, body)); got != "answer:"+body {
				t.Errorf("key %s is still blocked: %s", key, reason)
			}
		}
	})
}
