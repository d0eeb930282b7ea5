package ownership

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"

	"bergamotstile/peer"
	"bergamotstile/platform"
)

// outage takes the table away from every instance.
func (d *domain) outage() {
	for _, l := range d.links {
		l.fault = func(string) fault { return down }
	}
}

func (d *domain) back(i int) {
	d.links[i].fault = func(string) fault { return fine }
}

// Guards against a taker that forgets its promise as soon as the table is
// back for it, while the owner relies on the promise.
func TestPromiseHoldsWhenTheTableComesBack(t *testing.T) {
	d, owner := startedDomain(t, 2)
	other := 1 - owner
	d.outage()
	d.run(6 * time.Second)
	d.cut = func(string, string) bool { return true }
	d.back(other)
	for range 60 {
		d.managers[other].Step(context.Background(), shard)
		d.clock.Advance(50 * time.Millisecond)
		if d.managers[other].ServingUntil(shard).IsZero() {
			continue
		}
		if !d.managers[owner].ServingUntil(shard).IsZero() {
			t.Fatal("taken within the promise")
		}
	}
}

// Guards against a taker that the owner does not know, and that does not ask
// the owner while that extends its lease.
func TestUnlistedTakerAsksTheOwner(t *testing.T) {
	d, owner := startedDomain(t, 3)
	stranger := (owner + 1) % 3
	d.listed = slices.Delete(slices.Clone(d.names), stranger, stranger+1)
	for i := range d.links {
		if i != stranger {
			d.links[i].fault = func(string) fault { return down }
		}
	}
	for range 20 {
		d.run(time.Second)
		if d.managers[owner].ServingUntil(shard).IsZero() || !d.managers[stranger].ServingUntil(shard).IsZero() {
			t.Fatal("taken from an owner that answers")
		}
	}
}

// Guards against a promise to an owner whose shard the promising instance is
// about to take: its unanswered takeover may take effect at any time.
func TestNoPromiseDuringATakeover(t *testing.T) {
	d, owner := startedDomain(t, 2)
	other := 1 - owner
	d.cut = func(string, string) bool { return true }
	d.links[other].fault = func(op string) fault {
		if op == "commit" {
			return delayed
		}
		return fine
	}
	for range 200 {
		d.managers[other].Step(context.Background(), shard)
		if len(d.table.delayed) > 0 {
			break
		}
		d.clock.Advance(100 * time.Millisecond)
	}
	d.outage()
	d.managers[other].Step(context.Background(), shard)
	if d.managers[other].Promise(peer.PromiseRequest{Shard: shard, Epoch: 1, LeaseMS: 3000}).Granted {
		t.Fatal("promised while a takeover is under way")
	}
}

// Guards against an extension that begins after the lease ended: the shard
// may have been taken and lost again in between.
func TestNoExtensionOverAGap(t *testing.T) {
	d, owner := startedDomain(t, 2)
	d.outage()
	d.clock.Advance(2 * time.Second)
	// The answer of the promise comes when the lease is over.
	d.cut = func(from, _ string) bool {
		if from == d.names[owner] {
			d.clock.Advance(time.Second)
		}
		return false
	}
	d.managers[1-owner].Step(context.Background(), shard)
	d.managers[owner].Step(context.Background(), shard)
	if !d.managers[owner].ServingUntil(shard).IsZero() {
		t.Fatal("the lease was extended after its end")
	}
}

// lockInput is one operation on a shard as a lock with fencing.
type lockInput struct {
	take  bool
	epoch uint64
}

// lockModel: a takeover raises the epoch by one; a commit with an epoch
// succeeds exactly while that is the present one.
var lockModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		epoch, in := state.(uint64), input.(lockInput)
		if in.take {
			return in.epoch == epoch+1, in.epoch
		}
		return output.(bool) == (in.epoch == epoch), epoch
	},
}

// unlearned returns the takeovers that took effect although their instance
// never learned of it, since their answers got lost and another instance was
// next. They took effect at some time.
func (d *domain) unlearned(history []porcupine.Operation) []porcupine.Operation {
	learned := map[uint64]bool{}
	for _, op := range history {
		in := op.Input.(lockInput)
		learned[in.epoch] = learned[in.epoch] || in.take
	}
	var missing []porcupine.Operation
	for _, tx := range d.table.applied {
		for _, put := range tx.Puts {
			var row epochRow
			if put.Key != EpochKey(shard) || json.Unmarshal(put.Value, &row) != nil || learned[row.Epoch] {
				continue
			}
			missing = append(missing, porcupine.Operation{
				ClientId: len(d.managers) + len(missing), Input: lockInput{take: true, epoch: row.Epoch},
				Output: true, Return: math.MaxInt64,
			})
		}
	}
	return missing
}

// Guards against histories of takeovers and fenced commits that no lock with
// fencing allows, with instances that run at the same time and lose answers.
func TestOwnershipIsLinearizable(t *testing.T) {
	d := newDomain(3, clockwork.NewRealClock(), Config{Lease: 4 * time.Millisecond, Margin: time.Millisecond})
	d.cut = func(string, string) bool { return true }
	var lock sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	record := func(client int, in lockInput, out bool, call time.Duration) {
		lock.Lock()
		defer lock.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(time.Since(start)),
		})
	}
	var instances sync.WaitGroup
	for i, m := range d.managers {
		calls := 0
		d.links[i].fault = func(string) fault {
			calls++
			return []fault{fine, fine, fine, lostAnswer, fine, lostCall, fine}[calls%7]
		}
		instances.Go(func() {
			var call time.Duration
			for step := range 60 {
				if m.shards[shard].pending == nil {
					call = time.Since(start)
				}
				m.Step(context.Background(), shard)
				for _, e := range m.takeEvents() {
					if e.Acquired {
						record(i, lockInput{take: true, epoch: e.Lease.Epoch}, true, call)
					}
				}
				lease := m.shards[shard].lease // also one that is over
				if lease.Epoch > 0 {
					at := time.Since(start)
					_, err := d.table.apply(platform.Transaction{Conditions: []platform.Condition{lease.Fence}})
					record(i, lockInput{epoch: lease.Epoch}, err == nil, at)
				}
				// One instance is paused past its lease now and then.
				time.Sleep(time.Duration(1+9*(step/8%2*(i+1)%2)) * time.Millisecond)
			}
		})
	}
	instances.Wait()
	history = append(history, d.unlearned(history)...)
	if len(history) == 0 {
		t.Fatal("nothing happened")
	}
	if !porcupine.CheckOperations(lockModel, history) {
		t.Fatalf("not linearizable: %+v", history)
	}
}
