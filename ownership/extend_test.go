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

// failAllTables makes the table unavailable to every instance.
func (d *domain) failAllTables() {
	for _, l := range d.links {
		l.fault = func(string) fault { return unavailable }
	}
}

// restoreTable makes the table available to instance i again.
func (d *domain) restoreTable(i int) {
	d.links[i].fault = func(string) fault { return noFault }
}

// Guards against an instance that breaks its promise and takes the shard as soon as
// it can reach the table again, while the owner still relies on the promise.
func TestPromiseOutlastsTheOutage(t *testing.T) {
	d, owner := newOwnedDomain(t, 2)
	other := 1 - owner
	d.failAllTables()
	d.stepFor(6 * time.Second)
	d.isCut = func(string, string) bool { return true }
	d.restoreTable(other)
	for range 60 {
		d.managers[other].Step(context.Background(), shard)
		d.clock.Advance(50 * time.Millisecond)
		if d.managers[other].ServingUntil(shard).IsZero() {
			continue
		}
		if !d.managers[owner].ServingUntil(shard).IsZero() {
			t.Fatal("the shard was taken while the owner served it under a promise")
		}
	}
}

// Guards against a takeover by an instance that is not on the list, while the owner
// extends its lease. The owner asks only listed instances for promises, so an
// unlisted one must probe the owner before it takes the shard.
func TestUnlistedInstanceProbesTheOwnerBeforeTakeover(t *testing.T) {
	d, owner := newOwnedDomain(t, 3)
	unlisted := (owner + 1) % 3
	d.listedNames = slices.Delete(slices.Clone(d.names), unlisted, unlisted+1)
	for i := range d.links {
		if i != unlisted {
			d.links[i].fault = func(string) fault { return unavailable }
		}
	}
	for range 20 {
		d.stepFor(time.Second)
		if d.managers[owner].ServingUntil(shard).IsZero() || !d.managers[unlisted].ServingUntil(shard).IsZero() {
			t.Fatal("the shard was taken from an owner that answers probes")
		}
	}
}

// Guards against a promise by an instance that is about to take the shard itself: a
// takeover that it sent without getting an answer may take effect at any time.
func TestNoPromiseDuringATakeover(t *testing.T) {
	d, owner := newOwnedDomain(t, 2)
	other := 1 - owner
	d.isCut = func(string, string) bool { return true }
	d.links[other].fault = func(op string) fault {
		if op == "commit" {
			return delayedWrite
		}
		return noFault
	}
	for range 200 {
		d.managers[other].Step(context.Background(), shard)
		if len(d.table.delayed) > 0 {
			break
		}
		d.clock.Advance(100 * time.Millisecond)
	}
	d.failAllTables()
	d.managers[other].Step(context.Background(), shard)
	if d.managers[other].Promise(peer.PromiseRequest{Shard: shard, Epoch: 1, LeaseMS: 3000}).Granted {
		t.Fatal("a promise was granted while a takeover is pending")
	}
}

// Guards against an extension that begins after the lease has ended: another
// instance may have taken the shard and lost it again in between.
func TestNoExtensionAfterTheLeaseEnded(t *testing.T) {
	d, owner := newOwnedDomain(t, 2)
	d.failAllTables()
	d.clock.Advance(2 * time.Second)
	// The clock moves past the end of the lease before the promise is answered.
	d.isCut = func(from, _ string) bool {
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

// lockInput is one operation on a shard, which the model treats as a lock with
// fencing: a takeover, or else a commit with the given epoch.
type lockInput struct {
	take  bool
	epoch uint64
}

// lockModel is the sequential specification of a shard. A takeover raises the epoch
// by one; a commit succeeds if and only if its epoch is the current one.
var lockModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		epoch, op := state.(uint64), input.(lockInput)
		if op.take {
			return op.epoch == epoch+1, op.epoch
		}
		return output.(bool) == (op.epoch == epoch), epoch
	},
}

// unnoticedTakeovers returns the takeovers in the table that are not in the history.
// The instance that sent such a takeover never learned that it took effect, because
// the answer was lost and another instance took the shard next. The time at which it
// took effect is unknown, so the operation spans the whole history.
func (d *domain) unnoticedTakeovers(history []porcupine.Operation) []porcupine.Operation {
	noticed := map[uint64]bool{}
	for _, op := range history {
		input := op.Input.(lockInput)
		noticed[input.epoch] = noticed[input.epoch] || input.take
	}
	var unnoticed []porcupine.Operation
	for _, tx := range d.table.applied {
		for _, put := range tx.Puts {
			var row epochRow
			if put.Key != EpochKey(shard) || json.Unmarshal(put.Value, &row) != nil || noticed[row.Epoch] {
				continue
			}
			unnoticed = append(unnoticed, porcupine.Operation{
				ClientId: len(d.managers) + len(unnoticed), Input: lockInput{take: true, epoch: row.Epoch},
				Output: true, Return: math.MaxInt64,
			})
		}
	}
	return unnoticed
}

// Guards against histories of takeovers and fenced commits that are not linearizable
// as a lock with fencing. The instances run concurrently and lose calls and answers.
func TestOwnershipIsLinearizable(t *testing.T) {
	d := newDomain(3, clockwork.NewRealClock(), Config{Lease: 4 * time.Millisecond, Margin: time.Millisecond})
	d.isCut = func(string, string) bool { return true }
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	recordOperation := func(client int, input lockInput, succeeded bool, calledAt time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client, Input: input, Output: succeeded, Call: int64(calledAt), Return: int64(time.Since(start)),
		})
	}
	var instances sync.WaitGroup
	for i, m := range d.managers {
		calls := 0
		d.links[i].fault = func(string) fault {
			calls++
			return []fault{noFault, noFault, noFault, lostAnswer, noFault, lostCall, noFault}[calls%7]
		}
		instances.Go(func() {
			var takeoverSent time.Duration
			for step := range 60 {
				if m.shards[shard].pending == nil {
					takeoverSent = time.Since(start)
				}
				m.Step(context.Background(), shard)
				for _, e := range m.dequeueEvents() {
					if e.Acquired {
						recordOperation(i, lockInput{take: true, epoch: e.Lease.Epoch}, true, takeoverSent)
					}
				}
				lease := m.shards[shard].lease // may have ended already
				if lease.Epoch > 0 {
					commitSent := time.Since(start)
					_, err := d.table.apply(platform.Transaction{Conditions: []platform.Condition{lease.Fence}})
					recordOperation(i, lockInput{epoch: lease.Epoch}, err == nil, commitSent)
				}
				// Now and then an instance pauses for longer than its lease.
				time.Sleep(time.Duration(1+9*(step/8%2*(i+1)%2)) * time.Millisecond)
			}
		})
	}
	instances.Wait()
	history = append(history, d.unnoticedTakeovers(history)...)
	if len(history) == 0 {
		t.Fatal("the history is empty")
	}
	if !porcupine.CheckOperations(lockModel, history) {
		t.Fatalf("history is not linearizable: %+v", history)
	}
}
