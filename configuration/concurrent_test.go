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

// registerInput is the input of one call, in a model in which the head is a versioned
// register. The head is the row of the table that names the latest accepted version of the
// configuration.
type registerInput struct {
	operator string // empty for a read
	base     uint64 // version on which an apply is based
}

// registerOutput is the response to the caller.
type registerOutput struct {
	// version is the version that a read returned, that an apply created, or to which an
	// apply lost.
	version uint64
	// winner is the operator to whose version the call lost, if it lost.
	winner string
}

// headModel is the model of the head as a register. Its state lists the operators of all
// accepted versions in the order of the versions, separated by spaces.
var headModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		winners := strings.Fields(state.(string))
		in, out := input.(registerInput), output.(registerOutput)
		headVersion := uint64(len(winners))
		switch {
		case in.operator == "":
			return out.version == headVersion, state
		case out.winner != "":
			return headVersion > in.base && out.version <= headVersion && winners[out.version-1] == out.winner, state
		}
		return in.base == headVersion && out.version == headVersion+1, state.(string) + " " + in.operator
	},
}

// historyRecorder collects the calls of all clients, with times of a logical clock.
type historyRecorder struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
	unresolved []porcupine.Operation
	conflicts  int
}

// call makes one call to an instance and records it with its response. variant selects the
// deployment that an apply declares. A call that failed and certainly had no effect is
// recorded only if its error names the version to which it lost.
func (r *historyRecorder) call(client int, i *instance, in registerInput, variant int) {
	op := porcupine.Operation{ClientId: client, Input: in, Call: r.clock.Add(1)}
	out, err := registerOutput{}, error(nil)
	if in.operator == "" {
		var h headRow
		h, _, err = i.store.syncWithHead(context.Background())
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

// addUnresolved adds the applies of unknown outcome that took effect. They may have
// taken effect at any time until the end of the history.
func (r *historyRecorder) addUnresolved(table *fakeTable) {
	versions := map[string]uint64{}
	for version, c := range table.changes {
		versions[c.Operator] = version
	}
	for _, op := range r.unresolved {
		if version, ok := versions[op.Input.(registerInput).operator]; ok {
			op.Output, op.Return = registerOutput{version: version}, r.clock.Load()+1
			r.operations = append(r.operations, op)
		}
	}
}

// runClient calls a random instance several times. Each time it reads the head, and applies
// a change if the instance has a configuration.
func runClient(r *historyRecorder, n int, c *cluster, rng *rand.Rand) {
	for k := range 8 {
		i := c.instances[rng.Intn(len(c.instances))]
		time.Sleep(time.Duration(rng.Intn(100)) * time.Millisecond)
		r.call(n, i, registerInput{}, 0)
		base := i.version()
		if base == 0 {
			continue
		}
		r.call(n, i, registerInput{operator: fmt.Sprintf("client%d-%d", n, k), base: base}, 2+n*8+k)
	}
}

// Guards against a head that is not a linearizable register while operators race and
// answers are lost or writes are dropped or delayed: two winners of one version, a
// refusal that names a wrong winner, or an accepted version that is missing. The head is
// the row of the table that names the latest accepted version of the configuration.
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
					f := []commitFault{faultNone, faultNone, faultAnswerLost, faultWriteDropped, faultWriteDelayed, faultUnavailable}[rng.Intn(6)]
					i.link.faults = append(i.link.faults, f)
				}
				i.link.latency = rand.New(rand.NewSource(rng.Int63()))
			}
			r := &historyRecorder{}
			var clients sync.WaitGroup
			for n := range 5 {
				clientRNG := rand.New(rand.NewSource(rng.Int63()))
				clients.Go(func() { runClient(r, n, c, clientRNG) })
			}
			clients.Go(func() {
				for range 20 {
					time.Sleep(100 * time.Millisecond)
					for _, i := range c.instances {
						i.link.deliverDelayed()
					}
				}
			})
			clients.Wait()
			r.addUnresolved(c.table)
			// The history starts from the state after the first apply.
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

// serveAll runs the stores of a cluster until the test ends.
func serveAll(t *testing.T, c *cluster) {
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
	runInCluster(t, func(t *testing.T, c *cluster) {
		serveAll(t, c)
		for v := uint64(1); v <= 3; v++ {
			mustApply(t, c.instances[v], "operator", int(v))
			synctest.Wait()
			expectVersions(t, c, v)
		}
	}, "a1", "a2", "a3", "b1", "b2", "b3")
}

// Guards against an instance that missed a push and waits for its next poll although a
// later push shows the gap.
func TestServePollsWithoutDelayAfterAGap(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		serveAll(t, c)
		c.instances[1].paused = true
		mustApply(t, c.instances[0], "operator", 1)
		synctest.Wait()
		c.instances[1].paused = false
		mustApply(t, c.instances[0], "operator", 2)
		synctest.Wait()
		expectVersions(t, c, 2)
	}, "a1", "a2")
}

// Guards against instances that need more than two polls after all faults have ended: the
// two of a domain that was cut off, to one of which the table was down and to the other
// slow, and a paused one that missed two changes and to which the table was down.
func TestServeConvergesWithinTwoPollsOfAHeal(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		serveAll(t, c)
		c.cutDomains["b"] = true
		c.instances[3].link.setStatus(true, false)
		c.instances[4].link.setStatus(false, true)
		c.instances[2].paused = true
		c.instances[2].link.setStatus(true, false)
		mustApply(t, c.instances[0], "operator", 1)
		mustApply(t, c.instances[1], "operator", 2)
		time.Sleep(3*testPollInterval + testPollInterval/3)
		if got := c.instances[3].version(); got != 0 {
			t.Fatalf("an instance of the cut domain has version %d", got)
		}
		c.mu.Lock()
		c.cutDomains["b"], c.instances[2].paused = false, false
		c.mu.Unlock()
		for _, i := range c.instances {
			i.link.setStatus(false, false)
		}
		time.Sleep(2 * testPollInterval)
		expectVersions(t, c, 2)
	}, "a1", "a2", "a3", "b1", "b2")
}

// Guards against an instance that is cut off from the table and misses a push, but does
// not ask every peer that it reaches, in turn.
func TestServeAsksPeersWhileTheTableIsDown(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		serveAll(t, c)
		cutOff := c.instances[6]
		mustApply(t, c.instances[0], "operator", 1)
		mustApply(t, c.instances[0], "operator", 2)
		synctest.Wait()
		cutOff.paused = true
		cutOff.link.setStatus(true, false)
		mustApply(t, c.instances[0], "operator", 3)
		time.Sleep(testPollInterval / 2)
		c.mu.Lock()
		cutOff.paused = false
		for _, i := range c.instances[:4] {
			i.paused = true
		}
		c.mu.Unlock()
		time.Sleep(2 * testPollInterval)
		expectVersions(t, c, 3)
	}, "a1", "a2", "a3", "a4", "a5", "a6", "a7")
}
