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

func init() { proptest.Fix() }

// submission is one submit of a history, with its end.
type submission struct {
	afterMS int
	at      int
	key     int // 0 is un-keyed; odd keys are billed
	variant int
	leaveMS int // when the caller disconnects; 0 is never

	req     structs.Request
	answer  structs.Answer
	refusal *structs.Refusal
}

// faults are the shares of calls, in percent, that go wrong in each way.
type faults struct {
	slow, lost, failed, busy, unreachable, leaving   int
	tableDown, tableLost, tableDropped, tableDelayed int
	forwardUnreachable, forwardLost, forwardCrossed  int
	seed                                             uint64
	ownerChangeMS                                    []int
	graceful                                         bool
	overtaken                                        bool // the former owner does not notice
}

// drawFaults samples rates from a few values, since rapid's integers are
// mostly small and would leave most histories without faults.
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
		forwardCrossed: rapid.SampledFrom([]int{0, 0, 10}).Draw(t, "forward crossed"),
		seed:           rapid.Uint64().Draw(t, "seed"),
		ownerChangeMS:  rapid.SliceOfN(rapid.SampledFrom([]int{100, 400, 900, 2000}), 0, 4).Draw(t, "owner changes"),
		graceful:       rapid.Bool().Draw(t, "graceful"),
		overtaken:      rapid.SampledFrom([]bool{false, false, true}).Draw(t, "overtaken"),
	}
}

func drawSubmissions(t *rapid.T, billedOnly bool) []*submission {
	n := rapid.SampledFrom([]int{3, 20, 60}).Draw(t, "submissions")
	out := make([]*submission, n)
	for i := range out {
		s := &submission{
			afterMS: rapid.SampledFrom([]int{0, 5, 40, 200, 700}).Draw(t, "after"),
			at:      rapid.IntRange(0, 1).Draw(t, "at"),
			key:     rapid.SampledFrom([]int{0, 1, 2, 2, 3, 4, 4}).Draw(t, "key"),
			variant: rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "variant"),
			leaveMS: rapid.SampledFrom([]int{0, 0, 0, 30, 300}).Draw(t, "leave"),
		}
		if billedOnly {
			s.key |= 1
		}
		s.req = request(fmt.Sprint("r", i), "", fmt.Sprint("unkeyed-", i))
		if s.key > 0 {
			s.req.Key = fmt.Sprint("k", s.key)
			s.req.Body = fmt.Appendf(nil, "%s:%d", s.req.Key, s.variant)
			s.req.Idempotent = s.key%2 == 0
		}
		s.req.Timeout = time.Duration(rapid.SampledFrom([]int{100, 600, 1500}).Draw(t, "timeout")) * time.Millisecond
		out[i] = s
	}
	return out
}

// install makes the cluster's parts fail at the drawn rates.
func (f faults) install(c *cluster) {
	hit := newChance(f.seed)
	c.runners.setBehave(func(string, runnerapi.Dispatch) (time.Duration, error) { return f.atRunner(hit) })
	c.table.setFault(func(op string) string { return f.atTable(hit, op) })
	c.setForward(func(string) error { return f.atForward(hit) })
}

// chance is true in the given share of its calls.
type chance func(percent int) bool

func newChance(seed uint64) chance {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(percent int) bool {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(100) < percent
	}
}

// atRunner returns how long a dispatch takes and how it fails.
func (f faults) atRunner(hit chance) (time.Duration, error) {
	took := 30 * time.Millisecond
	if hit(f.slow) {
		took = 700 * time.Millisecond
	}
	if hit(f.slow) {
		took = 1400 * time.Millisecond
	}
	switch {
	case hit(f.unreachable):
		return 0, runnerapi.ErrUnreachable
	case hit(f.busy):
		return 0, runnerapi.ErrBusy
	case hit(f.leaving):
		return 0, runnerapi.ErrLeaving
	case hit(f.failed):
		return 0, runnerapi.ErrFailed
	case hit(f.lost):
		return took, runnerapi.ErrIncomplete
	}
	return took, nil
}

// atTable returns the fault of a table call.
func (f faults) atTable(hit chance, op string) string {
	switch {
	case hit(f.tableDown):
		return "down"
	case op == "commit" && hit(f.tableLost):
		return "lost"
	case op == "commit" && hit(f.tableDropped):
		return "dropped"
	case op == "commit" && hit(f.tableDelayed):
		return "delayed"
	}
	return ""
}

// atForward returns how a forwarded request fails.
func (f faults) atForward(hit chance) error {
	switch {
	case hit(f.forwardUnreachable):
		return peer.ErrUnreachable
	case hit(f.forwardLost):
		return peer.ErrOutcomeUnknown
	case hit(f.forwardCrossed):
		return errCrossed
	}
	return nil
}

const testLease = 2500 * time.Millisecond

// renew keeps the owner's lease and changes owners at the drawn times. A new
// owner starts after the lease of the former one, or after its quiet time.
func (f faults) renew(ctx context.Context, c *cluster) {
	owner := 0
	names := []string{"a", "b"}
	c.own(names[0], testLease, 0)
	for _, ms := range f.ownerChangeMS {
		if !c.keepLease(ctx, names[owner], time.Duration(ms)*time.Millisecond) {
			return
		}
		former := c.nodes[names[owner]]
		owner = 1 - owner
		switch {
		case f.overtaken:
			c.own(names[owner], testLease, 0)
		case f.graceful:
			c.expire(former)
			c.own(names[owner], testLease, former.router.QuietTime(testShard))
		default:
			time.Sleep(testLease + 500*time.Millisecond)
			c.own(names[owner], testLease, 0)
		}
		c.table.land()
	}
	c.keepLease(ctx, names[owner], time.Hour)
}

// keepLease renews for a time, and reports false if ctx ended.
func (c *cluster) keepLease(ctx context.Context, name string, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.mu.Lock()
		c.nodes[name].until = time.Now().Add(testLease)
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return false
		case <-time.After(min(time.Until(end), time.Second)):
		}
	}
	return true
}

func (c *cluster) expire(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.until = time.Time{}
}

// play runs the submissions under the faults and returns what ran. Afterwards
// the faults end, and new requests must be served.
func play(t *testing.T, f faults, subs []*submission) (runs []run, problems []string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Settings{}, "a", "b")
		f.install(c)
		ctx, cancel := context.WithCancel(t.Context())
		go f.renew(ctx, c)
		var wg sync.WaitGroup
		for _, s := range subs {
			time.Sleep(time.Duration(s.afterMS) * time.Millisecond)
			wg.Go(func() { s.run(c) })
		}
		wg.Wait()
		time.Sleep(10 * time.Second)
		c.table.land()
		runs = c.runners.record()
		problems = c.recover()
		cancel()
	})
	return runs, problems
}

func (s *submission) run(c *cluster) {
	ctx := context.Background()
	if s.leaveMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(s.leaveMS)*time.Millisecond)
		defer cancel()
	}
	answer, err := c.nodes[[]string{"a", "b"}[s.at]].router.Handle(ctx, s.req)
	if err != nil {
		s.refusal = structs.AsRefusal(err)
		return
	}
	s.answer = answer
}

// recover ends the faults and checks that nothing is stuck: no slot is held,
// and new requests are answered.
func (c *cluster) recover() (problems []string) {
	faults{}.install(c)
	c.mu.Lock()
	c.left = map[string]bool{}
	c.mu.Unlock()
	time.Sleep(10 * time.Second)
	for name, n := range c.nodes {
		for _, l := range n.router.allPools() {
			for runner, u := range l.runnerStates {
				if u.inUse != 0 {
					problems = append(problems, fmt.Sprintf("%s holds %d slots of %s for ever", name, u.inUse, runner))
				}
			}
		}
		for _, req := range []structs.Request{request("after-"+name, "", "after"), request("after-"+name, "after-"+name, "after"), billed("after-"+name, "bill-after-"+name, "after")} {
			if body, reason, _ := handle(n, req); body != "answer:after" {
				problems = append(problems, fmt.Sprintf("after the faults %s refused key %q: %s", name, req.Key, reason))
			}
		}
	}
	return problems
}

// checkHistory returns every violation of P2, P4, P5 and P6 by the record of
// what ran.
func checkHistory(subs []*submission, runs []run) (problems []string) {
	fail := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	byKey, byBody := map[string][]run{}, map[string]int{}
	for _, r := range runs {
		key, _, _ := strings.Cut(r.body, ":")
		byKey[key] = append(byKey[key], r)
		byBody[r.body]++
	}
	for key, rs := range byKey {
		slices.SortFunc(rs, func(a, b run) int { return a.begin.Compare(b.begin) })
		for i := 1; i < len(rs); i++ {
			if rs[i].begin.Before(rs[i-1].end) {
				fail("P2: %s runs at %s and %s at once", key, rs[i-1].runner, rs[i].runner)
			}
		}
	}
	claimedRun := map[string]bool{} // bodies of which a caller was told more than not_run
	for _, s := range subs {
		body := string(s.req.Body)
		if s.refusal == nil && (string(s.answer.Body) != "answer:"+body || s.answer.RequestID != s.req.ID) {
			fail("P4: %s with body %q was answered %q for %s", s.req.ID, body, s.answer.Body, s.answer.RequestID)
		}
		if (s.refusal == nil || s.refusal.Outcome == structs.OutcomeRan) && byBody[body] == 0 {
			fail("P4: %s was told that %q ran, which it did not", s.req.ID, body)
		}
		if !s.req.Idempotent && len(byKey[s.req.Key]) > 1 {
			fail("P6: %s ran %d times", s.req.Key, len(byKey[s.req.Key]))
		}
		claimedRun[body] = claimedRun[body] || s.refusal == nil || s.refusal.Outcome != structs.OutcomeNotRun
	}
	for body, told := range claimedRun {
		if !told && byBody[body] > 0 {
			fail("P5: every caller of %q was told not_run, but it ran %d times", body, byBody[body])
		}
	}
	return problems
}

// Guards against violations of P2, P4, P5 and P6, stuck slots and stuck keys
// under slow runners, lost, crossed and cut-off answers, lost table answers
// and owner changes.
func TestHistories(t *testing.T) {
	answered, ran, reasons := 0, 0, map[structs.Reason]int{}
	rapid.Check(t, func(rt *rapid.T) {
		f := drawFaults(rt)
		// An owner that does not notice a takeover is excluded by time for
		// idempotent requests, and by the fence for the others.
		subs := drawSubmissions(rt, f.overtaken)
		runs, problems := play(t, f, subs)
		problems = append(problems, checkHistory(subs, runs)...)
		for _, s := range subs {
			if s.refusal == nil {
				answered++
			} else {
				reasons[s.refusal.Reason]++
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
// at once (P2). Runs are slow and keys few, so that a retry meets the run of
// the former owner.
func TestHandovers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := faults{
			slow:          60,
			lost:          rapid.SampledFrom([]int{0, 30}).Draw(rt, "lost"),
			seed:          rapid.Uint64().Draw(rt, "seed"),
			ownerChangeMS: rapid.SliceOfN(rapid.SampledFrom([]int{100, 400, 900, 2000}), 1, 4).Draw(rt, "owner changes"),
			graceful:      rapid.Bool().Draw(rt, "graceful"),
		}
		subs := make([]*submission, 80)
		for i := range subs {
			key := rapid.SampledFrom([]string{"k2", "k4"}).Draw(rt, "key")
			subs[i] = &submission{afterMS: rapid.SampledFrom([]int{5, 40, 200}).Draw(rt, "after"), at: i % 2}
			subs[i].req = request(fmt.Sprint("r", i), key, key+":0")
			subs[i].req.Timeout = 1500 * time.Millisecond
		}
		runs, problems := play(t, f, subs)
		if problems = append(problems, checkHistory(subs, runs)...); len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}
