package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bergamotstile/peer"
	"bergamotstile/proptest"
	"bergamotstile/runnerapi"
	"bergamotstile/structs"
)

func init() { proptest.FixSeed() }

// submission is one request of a history and its result.
type submission struct {
	afterMS           int // delay after the previous submission
	instanceIndex     int // 0 submits to instance a, 1 to instance b
	key               int // 0 is un-keyed; odd keys are not idempotent
	bodyVariant       int
	disconnectAfterMS int // 0 is never

	req     structs.Request
	answer  structs.Answer
	refusal *structs.Refusal
}

// faults holds the share of calls, in percent, that fail in each way, and the
// times between changes of the owner.
type faults struct {
	slow, lost, failed, busy, unreachable, leaving      int
	tableDown, tableLost, tableDropped, tableDelayed    int
	forwardUnreachable, forwardLost, forwardWrongAnswer int
	seed                                                uint64
	ownerChangeMS                                       []int // time between owner changes
	release                                             bool  // the former owner stops serving and its quiet period is passed on
	ownerUnaware                                        bool  // the former owner does not notice the change
}

// drawFaults draws the percentages from a few values. Integers drawn by rapid
// are mostly small and would leave most histories without faults.
func drawFaults(t *rapid.T) faults {
	percent := func(name string) int {
		return rapid.SampledFrom([]int{0, 0, 10, 30, 60}).Draw(t, name)
	}
	return faults{
		slow: percent("slow"), lost: percent("lost"), failed: percent("failed"),
		busy: percent("busy"), unreachable: percent("unreachable"),
		leaving:   rapid.SampledFrom([]int{0, 0, 0, 3}).Draw(t, "leaving"),
		tableDown: percent("table down"), tableLost: percent("table lost"),
		tableDropped: percent("table dropped"), tableDelayed: percent("table delayed"),
		forwardUnreachable: percent("forward unreachable"), forwardLost: percent("forward lost"),
		forwardWrongAnswer: rapid.SampledFrom([]int{0, 0, 10}).Draw(t, "forward crossed"),
		seed:               rapid.Uint64().Draw(t, "seed"),
		ownerChangeMS:      rapid.SliceOfN(rapid.SampledFrom([]int{100, 400, 900, 2000}), 0, 4).Draw(t, "owner changes"),
		release:            rapid.Bool().Draw(t, "graceful"),
		ownerUnaware:       rapid.SampledFrom([]bool{false, false, true}).Draw(t, "overtaken"),
	}
}

func drawSubmissions(t *rapid.T, nonIdempotentOnly bool) []*submission {
	total := rapid.SampledFrom([]int{3, 20, 60}).Draw(t, "submissions")
	subs := make([]*submission, total)
	for i := range subs {
		sub := &submission{
			afterMS:           rapid.SampledFrom([]int{0, 5, 40, 200, 700}).Draw(t, "after"),
			instanceIndex:     rapid.IntRange(0, 1).Draw(t, "at"),
			key:               rapid.SampledFrom([]int{0, 1, 2, 2, 3, 4, 4}).Draw(t, "key"),
			bodyVariant:       rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "variant"),
			disconnectAfterMS: rapid.SampledFrom([]int{0, 0, 0, 30, 300}).Draw(t, "leave"),
		}
		if nonIdempotentOnly {
			sub.key |= 1
		}
		sub.req = request(fmt.Sprint("r", i), "", fmt.Sprint("unkeyed-", i))
		if sub.key > 0 {
			sub.req.Key = fmt.Sprint("k", sub.key)
			sub.req.Body = fmt.Appendf(nil, "%s:%d", sub.req.Key, sub.bodyVariant)
			sub.req.Idempotent = sub.key%2 == 0
		}
		sub.req.Timeout = time.Duration(rapid.SampledFrom([]int{100, 600, 1500}).Draw(t, "timeout")) * time.Millisecond
		subs[i] = sub
	}
	return subs
}

// install makes the runners, the table and the forwards of a cluster fail at
// the drawn rates.
func (f faults) install(c *cluster) {
	chance := newRandomChance(f.seed)
	c.runners.setRespond(func(string, runnerapi.Dispatch) (time.Duration, error) { return f.runnerFault(chance) })
	c.table.setFault(func(op string) string { return f.tableFault(chance, op) })
	c.setForwardFault(func(string) error { return f.forwardFault(chance) })
}

// randomChance returns true in the given percentage of its calls.
type randomChance func(percent int) bool

func newRandomChance(seed uint64) randomChance {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(percent int) bool {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(100) < percent
	}
}

// runnerFault returns how long a dispatch takes and the error that it ends
// with.
func (f faults) runnerFault(chance randomChance) (time.Duration, error) {
	took := 30 * time.Millisecond
	if chance(f.slow) {
		took = 700 * time.Millisecond
	}
	if chance(f.slow) {
		took = 1400 * time.Millisecond
	}
	switch {
	case chance(f.unreachable):
		return 0, runnerapi.ErrUnreachable
	case chance(f.busy):
		return 0, runnerapi.ErrBusy
	case chance(f.leaving):
		return 0, runnerapi.ErrLeaving
	case chance(f.failed):
		return 0, runnerapi.ErrFailed
	case chance(f.lost):
		return took, runnerapi.ErrIncomplete
	}
	return took, nil
}

// tableFault returns the fault of a table call.
func (f faults) tableFault(chance randomChance, op string) string {
	switch {
	case chance(f.tableDown):
		return "down"
	case op == "commit" && chance(f.tableLost):
		return "lost"
	case op == "commit" && chance(f.tableDropped):
		return "dropped"
	case op == "commit" && chance(f.tableDelayed):
		return "delayed"
	}
	return ""
}

// forwardFault returns the error of a forwarded request.
func (f faults) forwardFault(chance randomChance) error {
	switch {
	case chance(f.forwardUnreachable):
		return peer.ErrUnreachable
	case chance(f.forwardLost):
		return peer.ErrOutcomeUnknown
	case chance(f.forwardWrongAnswer):
		return errWrongAnswer
	}
	return nil
}

// testLease is the duration of the leases in histories.
const testLease = 2500 * time.Millisecond

// changeOwners renews the owner's lease and changes the owner at the drawn
// times. A new owner starts after the lease of the former owner has expired, or
// with the quiet period that a former owner reports on release. If the former
// owner is unaware, the new owner starts at once.
func (f faults) changeOwners(ctx context.Context, c *cluster) {
	ownerIndex := 0
	names := []string{"a", "b"}
	c.makeOwner(names[0], testLease, 0)
	for _, ms := range f.ownerChangeMS {
		if !c.renewLease(ctx, names[ownerIndex], time.Duration(ms)*time.Millisecond) {
			return
		}
		former := c.instances[names[ownerIndex]]
		ownerIndex = 1 - ownerIndex
		switch {
		case f.ownerUnaware:
			c.makeOwner(names[ownerIndex], testLease, 0)
		case f.release:
			c.endLease(former)
			c.makeOwner(names[ownerIndex], testLease, former.router.QuietPeriod(testShard))
		default:
			time.Sleep(testLease + 500*time.Millisecond)
			c.makeOwner(names[ownerIndex], testLease, 0)
		}
		c.table.applyDelayed()
	}
	c.renewLease(ctx, names[ownerIndex], time.Hour)
}

// renewLease renews an instance's lease for the duration d. It reports false if
// ctx ends first.
func (c *cluster) renewLease(ctx context.Context, name string, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.mu.Lock()
		c.instances[name].leaseUntil = time.Now().Add(testLease)
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return false
		case <-time.After(min(time.Until(end), time.Second)):
		}
	}
	return true
}

// endLease makes an instance stop serving.
func (c *cluster) endLease(instance *testInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	instance.leaseUntil = time.Time{}
}

// runHistory submits the requests under the faults and returns the runs and the
// problems found afterwards, when the faults have ended.
func runHistory(t *testing.T, f faults, subs []*submission) (runs []runnerRun, problems []string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Settings{}, "a", "b")
		f.install(c)
		ctx, cancel := context.WithCancel(t.Context())
		go f.changeOwners(ctx, c)
		var wg sync.WaitGroup
		for _, sub := range subs {
			time.Sleep(time.Duration(sub.afterMS) * time.Millisecond)
			wg.Go(func() { sub.submit(c) })
		}
		wg.Wait()
		time.Sleep(10 * time.Second)
		c.table.applyDelayed()
		runs = c.runners.recordedRuns()
		problems = c.checkRecovery()
		cancel()
	})
	return runs, problems
}

func (s *submission) submit(c *cluster) {
	ctx := context.Background()
	if s.disconnectAfterMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(s.disconnectAfterMS)*time.Millisecond)
		defer cancel()
	}
	answer, err := c.instances[[]string{"a", "b"}[s.instanceIndex]].router.Handle(ctx, s.req)
	if err != nil {
		s.refusal = structs.AsRefusal(err)
		return
	}
	s.answer = answer
}

// checkRecovery ends the faults and checks that nothing is stuck: all slots are
// free and new requests are answered.
func (c *cluster) checkRecovery() (problems []string) {
	faults{}.install(c)
	c.mu.Lock()
	c.leaving = map[string]bool{}
	c.mu.Unlock()
	time.Sleep(10 * time.Second)
	for name, instance := range c.instances {
		for _, pool := range instance.router.allPools() {
			for runner, state := range pool.runnerStates {
				if state.inUse != 0 {
					problems = append(problems, fmt.Sprintf("%s never releases %d slots of %s", name, state.inUse, runner))
				}
			}
		}
		for _, req := range []structs.Request{request("after-"+name, "", "after"), request("after-"+name, "after-"+name, "after"), nonIdempotent("after-"+name, "bill-after-"+name, "after")} {
			if body, reason, _ := handle(instance, req); body != "answer:after" {
				problems = append(problems, fmt.Sprintf("after the faults %s refused key %q: %s", name, req.Key, reason))
			}
		}
	}
	return problems
}

// checkHistory compares the results that callers received with the recorded
// runs, and returns every violation of the properties P2 (no two runs of a key
// at the same time), P4 (an answer is whole and belongs to its request), P5 (a
// request reported as not_run did not run) and P6 (a request that is not
// idempotent runs at most once).
func checkHistory(subs []*submission, runs []runnerRun) (problems []string) {
	fail := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	byKey, byBody := map[string][]runnerRun{}, map[string]int{}
	for _, run := range runs {
		key, _, _ := strings.Cut(run.body, ":")
		byKey[key] = append(byKey[key], run)
		byBody[run.body]++
	}
	for key, keyRuns := range byKey {
		slices.SortFunc(keyRuns, func(a, b runnerRun) int { return a.start.Compare(b.start) })
		for i := 1; i < len(keyRuns); i++ {
			if keyRuns[i].start.Before(keyRuns[i-1].end) {
				fail("P2: %s runs at %s and %s at the same time", key, keyRuns[i-1].runner, keyRuns[i].runner)
			}
		}
	}
	mayHaveRun := map[string]bool{} // by body: whether a caller received an outcome other than not_run
	for _, sub := range subs {
		body := string(sub.req.Body)
		if sub.refusal == nil && (string(sub.answer.Body) != "answer:"+body || sub.answer.RequestID != sub.req.ID) {
			fail("P4: %s with body %q was answered %q for %s", sub.req.ID, body, sub.answer.Body, sub.answer.RequestID)
		}
		if (sub.refusal == nil || sub.refusal.Outcome == structs.OutcomeRan) && byBody[body] == 0 {
			fail("P4: %s was answered that %q ran, but no run is recorded", sub.req.ID, body)
		}
		if !sub.req.Idempotent && len(byKey[sub.req.Key]) > 1 {
			fail("P6: %s ran %d times", sub.req.Key, len(byKey[sub.req.Key]))
		}
		mayHaveRun[body] = mayHaveRun[body] || sub.refusal == nil || sub.refusal.Outcome != structs.OutcomeNotRun
	}
	for body, reportedMayHaveRun := range mayHaveRun {
		if !reportedMayHaveRun && byBody[body] > 0 {
			fail("P5: every caller of %q received not_run, but it ran %d times", body, byBody[body])
		}
	}
	return problems
}

// Guards against violations of the properties P2, P4, P5 and P6, against slots
// that are never released and against keys that stay unusable. The faults are
// slow runners, lost, wrong and incomplete answers, lost answers of the table,
// and owner changes.
func TestHistoriesKeepProperties(t *testing.T) {
	answered, ran, reasons := 0, 0, map[structs.Reason]int{}
	rapid.Check(t, func(rt *rapid.T) {
		f := drawFaults(rt)
		// If the former owner is unaware, the takeover does not wait until its
		// lease expires. Without that wait idempotent requests may run twice,
		// so such histories have only requests that are not idempotent, which
		// the fence protects.
		subs := drawSubmissions(rt, f.ownerUnaware)
		runs, problems := runHistory(t, f, subs)
		problems = append(problems, checkHistory(subs, runs)...)
		for _, sub := range subs {
			if sub.refusal == nil {
				answered++
			} else {
				reasons[sub.refusal.Reason]++
			}
		}
		ran += len(runs)
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
	t.Logf("%d runs, %d answers, refusals %v", ran, answered, reasons)
}

// Guards against a keyed request that runs at the former and at the new owner
// at the same time (P2). Runs are slow and keys are few, so that retries often
// meet a run of the former owner.
func TestOwnerChangesNeverOverlapRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := faults{
			slow:          60,
			lost:          rapid.SampledFrom([]int{0, 30}).Draw(rt, "lost"),
			seed:          rapid.Uint64().Draw(rt, "seed"),
			ownerChangeMS: rapid.SliceOfN(rapid.SampledFrom([]int{100, 400, 900, 2000}), 1, 4).Draw(rt, "owner changes"),
			release:       rapid.Bool().Draw(rt, "graceful"),
		}
		subs := make([]*submission, 80)
		for i := range subs {
			key := rapid.SampledFrom([]string{"k2", "k4"}).Draw(rt, "key")
			subs[i] = &submission{afterMS: rapid.SampledFrom([]int{5, 40, 200}).Draw(rt, "after"), instanceIndex: i % 2}
			subs[i].req = request(fmt.Sprint("r", i), key, key+":0")
			subs[i].req.Timeout = 1500 * time.Millisecond
		}
		runs, problems := runHistory(t, f, subs)
		if problems = append(problems, checkHistory(subs, runs)...); len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}
