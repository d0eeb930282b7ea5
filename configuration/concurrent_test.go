package configuration

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"bergamotstile/structs"
)

// request is one call on the head as a versioned register.
type request struct {
	operator string // empty for a read
	base     uint64
}

// reply is what the caller was told.
type reply struct {
	version uint64
	// winner is set if the call lost to that operator's version.
	winner string
}

// headModel is a register whose state lists the operators of all versions.
var headModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		winners := strings.Fields(state.(string))
		in, out := input.(request), output.(reply)
		at := uint64(len(winners))
		switch {
		case in.operator == "":
			return out.version == at, state
		case out.winner != "":
			return at > in.base && out.version <= at && winners[out.version-1] == out.winner, state
		}
		return in.base == at && out.version == at+1, state.(string) + " " + in.operator
	},
}

// recorder collects the history of all clients on a logical clock.
type recorder struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
	unresolved []porcupine.Operation
	conflicts  int
}

func (r *recorder) call(client int, i *instance, in request, variant int) {
	op := porcupine.Operation{ClientId: client, Input: in, Call: r.clock.Add(1)}
	out, err := reply{}, error(nil)
	if in.operator == "" {
		var h headRow
		h, _, err = i.store.confirm(context.Background())
		out.version = h.Version
	} else {
		out.version, err = i.apply(in.operator, in.base, variant)
	}
	op.Output, op.Return = out, r.clock.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.operations = append(r.operations, op)
		return
	}
	refusal := structs.AsRefusal(err)
	if n, _ := fmt.Sscanf(refusal.Detail, "lost to version %d of operator %q", &out.version, &out.winner); n == 2 {
		op.Output = out
		r.operations = append(r.operations, op)
		r.conflicts++
	} else if refusal.Outcome == structs.OutcomeMayHaveRun {
		r.unresolved = append(r.unresolved, op)
	}
}

// settle adds the unresolved applies that took effect, which may have happened
// at any time until the end.
func (r *recorder) settle(table *fakeTable) {
	won := map[string]uint64{}
	for version, c := range table.changes {
		won[c.Operator] = version
	}
	for _, op := range r.unresolved {
		if version, ok := won[op.Input.(request).operator]; ok {
			op.Output, op.Return = reply{version: version}, r.clock.Load()+1
			r.operations = append(r.operations, op)
		}
	}
}

func client(r *recorder, n int, c *cluster, rng *rand.Rand) {
	for k := range 8 {
		i := c.instances[rng.Intn(len(c.instances))]
		time.Sleep(time.Duration(rng.Intn(100)) * time.Millisecond)
		r.call(n, i, request{}, 0)
		base := i.version()
		if base == 0 {
			continue
		}
		r.call(n, i, request{operator: fmt.Sprintf("client%d-%d", n, k), base: base}, 2+n*8+k)
	}
}

// Guards against a head that is not a linearizable register under racing
// operators and lost, dropped and late writes: two winners, a loser told of a
// wrong winner, or an accepted version that is not there.
func TestHeadIsLinearizable(t *testing.T) {
	for seed := range int64(20) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster("a1", "a2", "b1")
			if _, err := c.instances[0].apply("first", 0, 1); err != nil {
				t.Fatal(err)
			}
			rng := rand.New(rand.NewSource(seed))
			for _, i := range c.instances {
				for range 12 {
					f := []fault{faultNone, faultNone, faultLost, faultDropped, faultLate, faultDown}[rng.Intn(6)]
					i.link.faults = append(i.link.faults, f)
				}
				i.link.latency = rand.New(rand.NewSource(rng.Int63()))
			}
			r := &recorder{}
			var clients sync.WaitGroup
			for n := range 5 {
				own := rand.New(rand.NewSource(rng.Int63()))
				clients.Go(func() { client(r, n, c, own) })
			}
			clients.Go(func() {
				for range 20 {
					time.Sleep(100 * time.Millisecond)
					for _, i := range c.instances {
						i.link.deliverLate()
					}
				}
			})
			clients.Wait()
			r.settle(c.table)
			// The first apply is the state from which the history starts.
			model := headModel
			model.Init = func() any { return "first" }
			if !porcupine.CheckOperations(model, r.operations) {
				t.Errorf("seed %d: the history of %d operations is not linearizable", seed, len(r.operations))
			}
			if r.conflicts == 0 {
				t.Errorf("seed %d: no operators raced", seed)
			}
		})
	}
}

// serve runs the stores of a cluster until the bubble's test ends.
func serve(t *testing.T, c *cluster) {
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, i := range c.instances {
		running.Go(func() { _ = i.store.Serve(ctx) })
	}
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	synctest.Wait()
}

// Guards against changes that wait for a poll although every peer is reachable.
func TestServePushesBeforeTheNextPoll(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		serve(t, c)
		for v := uint64(1); v <= 3; v++ {
			mustApply(t, c.instances[v], "operator", int(v))
			synctest.Wait()
			expectVersions(t, c, v)
		}
	}, "a1", "a2", "a3", "b1", "b2", "b3")
}

// Guards against an instance that misses a push and waits for its next poll
// although a later push shows the gap.
func TestServePollsAtOnceAfterAGap(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		serve(t, c)
		c.instances[1].paused = true
		mustApply(t, c.instances[0], "operator", 1)
		synctest.Wait()
		c.instances[1].paused = false
		mustApply(t, c.instances[0], "operator", 2)
		synctest.Wait()
		expectVersions(t, c, 2)
	}, "a1", "a2")
}

// Guards against instances that need more than two polls after a heal: a cut
// domain, a paused instance that missed two changes, and one whose table is
// slow.
func TestServeConvergesWithinTwoPollsOfAHeal(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		serve(t, c)
		c.cut["b"] = true
		c.instances[3].link.set(true, false)
		c.instances[4].link.set(false, true)
		c.instances[2].paused = true
		c.instances[2].link.set(true, false)
		mustApply(t, c.instances[0], "operator", 1)
		mustApply(t, c.instances[1], "operator", 2)
		time.Sleep(3*testPoll + testPoll/3)
		if got := c.instances[3].version(); got != 0 {
			t.Fatalf("an instance of the cut domain has version %d", got)
		}
		c.mu.Lock()
		c.cut["b"], c.instances[2].paused = false, false
		c.mu.Unlock()
		for _, i := range c.instances {
			i.link.set(false, false)
		}
		time.Sleep(2 * testPoll)
		expectVersions(t, c, 2)
	}, "a1", "a2", "a3", "b1", "b2")
}

// Guards against an instance that is cut off from the table and misses a push,
// but does not ask the peers that it reaches, all of them in turn.
func TestServeAsksPeersWhileTheTableIsDown(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		serve(t, c)
		cutOff := c.instances[6]
		mustApply(t, c.instances[0], "operator", 1)
		mustApply(t, c.instances[0], "operator", 2)
		synctest.Wait()
		cutOff.paused = true
		cutOff.link.set(true, false)
		mustApply(t, c.instances[0], "operator", 3)
		time.Sleep(testPoll / 2)
		c.mu.Lock()
		cutOff.paused = false
		for _, i := range c.instances[:4] {
			i.paused = true
		}
		c.mu.Unlock()
		time.Sleep(2 * testPoll)
		expectVersions(t, c, 3)
	}, "a1", "a2", "a3", "a4", "a5", "a6", "a7")
}
