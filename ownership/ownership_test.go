package ownership

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// stepFor steps every instance once per 100 ms of the clock, for the given time.
func (d *domain) stepFor(total time.Duration) {
	const step = 100 * time.Millisecond
	for ; total > 0; total -= step {
		for _, m := range d.managers {
			m.Step(context.Background(), shard)
		}
		d.clock.Advance(step)
	}
}

// servingIndex returns the index of the first instance that serves the shard, or -1.
func (d *domain) servingIndex() int {
	for i, m := range d.managers {
		if !m.ServingUntil(shard).IsZero() {
			return i
		}
	}
	return -1
}

// newOwnedDomain returns a domain of n instances, one of which owns the shard, and the
// index of the owner.
func newOwnedDomain(t *testing.T, n int) (*domain, int) {
	t.Helper()
	d := newDomain(n, clockwork.NewFakeClockAt(time.Unix(1_000_000, 0)), Config{})
	d.stepFor(time.Second)
	owner := d.servingIndex()
	if owner < 0 {
		t.Fatal("no instance took a free shard")
	}
	return d, owner
}

// Guards against an outage of the table that ends ownership although all instances
// notice the outage, and against a loss of the shard when the outage ends.
func TestTableOutageExtendsOwnership(t *testing.T) {
	d, owner := newOwnedDomain(t, 3)
	tableDown := true
	for _, l := range d.links {
		l.fault = func(string) fault {
			if tableDown {
				return unavailable
			}
			return noFault
		}
	}
	for range 20 {
		d.stepFor(time.Second)
		if d.servingIndex() != owner {
			t.Fatalf("owner %d does not serve during the outage", owner)
		}
	}
	if _, held := d.managers[owner].HeldLease(shard); held {
		t.Fatal("the lease is held without a renewal")
	}
	tableDown = false
	d.stepFor(10 * time.Second)
	lease, held := d.managers[owner].HeldLease(shard)
	if !held || lease.Epoch != 1 {
		t.Fatalf("after the outage: held %v, epoch %d", held, lease.Epoch)
	}
}

// Guards against an extension although one listed instance does not answer or can
// reach the table: that instance could take the shard.
func TestNoExtensionWithoutEveryPromise(t *testing.T) {
	for _, silent := range []bool{true, false} {
		d, owner := newOwnedDomain(t, 3)
		other := (owner + 1) % 3
		for i, l := range d.links {
			if i != other || silent {
				l.fault = func(string) fault { return unavailable }
			}
		}
		d.isCut = func(from, to string) bool {
			return silent && (from == d.names[other]) != (to == d.names[other])
		}
		d.stepFor(2900 * time.Millisecond)
		if d.servingIndex() == owner {
			t.Fatalf("silent %v: owner still serves", silent)
		}
	}
}

// Guards against a takeover before the owner's lease has expired, and against a shard
// that stays without an owner after its owner dies.
func TestTakeoverAfterTheOwnerDies(t *testing.T) {
	d, owner := newOwnedDomain(t, 3)
	dead := d.managers[owner]
	others := &domain{clock: d.clock}
	for i, m := range d.managers {
		if i != owner {
			others.managers = append(others.managers, m)
		}
	}
	others.stepFor(2 * time.Second)
	if others.servingIndex() >= 0 {
		t.Fatal("the shard was taken before the lease expired")
	}
	others.stepFor(8 * time.Second)
	next := others.servingIndex()
	if next < 0 {
		t.Fatal("the shard was not taken after the owner died")
	}
	lease, _ := others.managers[next].HeldLease(shard)
	if lease.Epoch != 2 || !dead.ServingUntil(shard).IsZero() {
		t.Fatalf("epoch %d, dead owner serves until %v", lease.Epoch, dead.ServingUntil(shard))
	}
	dead.Step(context.Background(), shard)
	if events := dead.dequeueEvents(); len(events) != 2 || events[1].Acquired {
		t.Fatalf("the dead owner's events: %+v", events)
	}
}

// Guards against a successor that dispatches while requests of the predecessor, which
// shut down, are still in flight, and against an instance that takes its shard again
// after it released it.
func TestSuccessorWaitsForTheQuietPeriod(t *testing.T) {
	d, owner := newOwnedDomain(t, 2)
	handover := func(structs.ShardID) Handover { return Handover{QuietPeriod: 1200 * time.Millisecond} }
	if err := d.managers[owner].Release(context.Background(), handover); err != nil {
		t.Fatal(err)
	}
	releasedAt := d.clock.Now()
	d.stepFor(6 * time.Second)
	next := d.servingIndex()
	if next < 0 || next == owner {
		t.Fatalf("owner after the release: %d", next)
	}
	if dispatchAfter := d.managers[next].DispatchAfter(shard); dispatchAfter.Before(releasedAt.Add(1200 * time.Millisecond)) {
		t.Fatalf("the successor dispatches %v after the release", dispatchAfter.Sub(releasedAt))
	}
}

// Guards against a successor that takes the last grant of a task lease to be older
// than it is, and against a handover that is still used after the next takeover
// without a release.
func TestReleaseHandsOverTheLastGrantTimes(t *testing.T) {
	d, owner := newOwnedDomain(t, 3)
	const age = 12*time.Second + 1999*time.Microsecond
	handover := func(structs.ShardID) Handover {
		return Handover{SinceGrant: map[string]time.Duration{"worker": age}}
	}
	grantedAt := d.clock.Now().Add(-age)
	if err := d.managers[owner].Release(context.Background(), handover); err != nil {
		t.Fatal(err)
	}
	d.stepFor(10 * time.Second)
	next := d.servingIndex()
	lease, held := d.managers[next].HeldLease(shard)
	if !held || next == owner {
		t.Fatalf("owner after the release: %d, held %v", next, held)
	}
	const slack = 4 * time.Second // one lease, for which the instance of the next rank waits, and one second more
	if handedOver := lease.LastGrants["worker"]; handedOver.Before(grantedAt) || handedOver.After(grantedAt.Add(slack)) {
		t.Fatalf("the time of the last grant was handed over as %v after the actual time", handedOver.Sub(grantedAt))
	}
	third := 3 - owner - next
	remaining := &domain{clock: d.clock, managers: d.managers[third : third+1]}
	remaining.stepFor(20 * time.Second)
	if remaining.servingIndex() < 0 {
		t.Fatal("the shard was not taken after the owner died")
	}
	if lease, _ := remaining.managers[0].HeldLease(shard); lease.Epoch != 3 || len(lease.LastGrants) > 0 {
		t.Fatalf("after a crash the lease of epoch %d has last grants %v", lease.Epoch, lease.LastGrants)
	}
}

// Guards against a shard that stays without an owner after a planned stop until its
// next owner reads the row at its usual interval: keyed requests are refused in the
// meantime.
func TestReleasedShardIsTakenAtOnce(t *testing.T) {
	d, owner := newOwnedDomain(t, 2)
	next := d.managers[1-owner]
	d.names = []string{d.names[1-owner]} // the owner is draining
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	go func() { _ = next.Serve(ctx) }()
	// The shard's loop now waits for its next step. The clock does not move from here
	// on, so only the notice of the release can start that step.
	if err := d.clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	noHandover := func(structs.ShardID) Handover { return Handover{} }
	if err := d.managers[owner].Release(ctx, noHandover); err != nil {
		t.Fatal(err)
	}
	next.NotifyReleased(shard)
	select {
	case e := <-next.Events():
		if !e.Acquired {
			t.Fatalf("event %+v", e)
		}
	case <-ctx.Done():
		t.Fatal("the released shard was not taken")
	}
}

// fencedCommit is a conditional write that an owner has decided on while it held the
// lease, and that it may send at any later time.
type fencedCommit struct {
	lease Lease
	owner int
}

// Guards against two owners of one shard: at no time do two instances serve the shard,
// and in the order of the table's transactions no owner commits with the epoch of
// another one or with a lower one. The faults are a table that is unavailable to some
// instances, lost answers and calls, writes that take effect later, owners that are
// frozen past the end of their lease, and peers that cannot reach each other.
func TestNeverTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDomain(3, clockwork.NewFakeClockAt(time.Unix(1_000_000, 0)), Config{})
		frozen := make([]bool, 3)
		tableDown := make([]bool, 3)
		cutPairs := map[string]bool{}
		d.isCut = func(from, to string) bool {
			return cutPairs[from+to] || frozen[slices.Index(d.names, from)] || frozen[slices.Index(d.names, to)]
		}
		faultRate := rapid.SampledFrom([]int{0, 1, 3}).Draw(t, "fault rate")
		callDelaysMS := rapid.SampledFrom([][]int{{0}, {0, 0, 0, 0, 50, 700}, {0, 0, 0, 0, 1, 700, 3100}}).Draw(t, "slowness")
		nestedSteps := 0
		checkServing := func() {
			serving := 0
			for _, m := range d.managers {
				if !m.ServingUntil(shard).IsZero() {
					serving++
				}
			}
			if serving > 1 {
				t.Fatalf("%d instances serve the shard", serving)
			}
		}
		for i, l := range d.links {
			l.fault = func(string) fault {
				if tableDown[i] {
					return unavailable
				}
				if d.activePromises.Load() > 0 {
					return noFault
				}
				if rapid.IntRange(0, 9).Draw(t, "luck") >= faultRate {
					return noFault
				}
				return rapid.SampledFrom([]fault{unavailable, lostAnswer, lostCall, delayedWrite, delayedWrite}).Draw(t, "fault")
			}
			l.duringCall = func() {
				if d.activePromises.Load() > 0 {
					return
				}
				d.clock.Advance(time.Duration(rapid.SampledFrom(callDelaysMS).Draw(t, "slow")) * time.Millisecond)
				checkServing()
				other := rapid.IntRange(0, 5).Draw(t, "during")
				if nestedSteps == 0 && other < 3 && other != i && !frozen[other] {
					nestedSteps++
					d.managers[other].Step(context.Background(), shard)
					nestedSteps--
				}
			}
		}
		var decided []fencedCommit
		actions := map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "instance")
				if !frozen[i] {
					d.managers[i].Step(context.Background(), shard)
				}
			},
			"round": func(*rapid.T) {
				for i, m := range d.managers {
					if !frozen[i] {
						m.Step(context.Background(), shard)
					}
				}
				d.clock.Advance(time.Second)
			},
			"rounds": func(t *rapid.T) {
				for range rapid.IntRange(4, 12).Draw(t, "rounds") {
					for i, m := range d.managers {
						if !frozen[i] {
							m.Step(context.Background(), shard)
						}
					}
					d.clock.Advance(900 * time.Millisecond)
				}
			},
			"advance": func(t *rapid.T) {
				d.clock.Advance(time.Duration(rapid.IntRange(1, 3500).Draw(t, "ms")) * time.Millisecond)
			},
			"freeze": func(t *rapid.T) { flipOne(t, frozen) },
			"break":  func(t *rapid.T) { flipOne(t, tableDown) },
			"break all": func(t *rapid.T) {
				down := rapid.Bool().Draw(t, "down")
				for i := range tableDown {
					tableDown[i] = down
				}
			},
			"cut": func(t *rapid.T) {
				pair := rapid.SampledFrom(d.names).Draw(t, "from") + rapid.SampledFrom(d.names).Draw(t, "to")
				cutPairs[pair] = !cutPairs[pair]
			},
			"delayed write": func(t *rapid.T) {
				if n := len(d.table.delayed); n > 0 {
					d.table.deliverDelayed(rapid.IntRange(0, n-1).Draw(t, "write"))
				}
			},
			"decide": func(*rapid.T) {
				for i, m := range d.managers {
					if lease, held := m.HeldLease(shard); held {
						decided = append(decided, fencedCommit{lease, i})
					}
				}
			},
			"commit": func(t *rapid.T) {
				if len(decided) == 0 {
					return
				}
				c := decided[rapid.IntRange(0, len(decided)-1).Draw(t, "commit")]
				_, _ = d.table.apply(platform.Transaction{
					WriteID:    d.names[c.owner],
					Conditions: []platform.Condition{c.lease.Fence},
					Puts:       []platform.Put{{Key: "work/x", Value: encodeRow(c.lease.Epoch)}},
				})
			},
			"": func(t *rapid.T) { checkServing() },
		}
		t.Repeat(actions)
		checkEpochs(t, d)
	})
}

// flipOne inverts the flag of a random instance.
func flipOne(t *rapid.T, flags []bool) {
	i := rapid.IntRange(0, len(flags)-1).Draw(t, "instance")
	flags[i] = !flags[i]
}

// checkEpochs checks, in the transactions that the table applied, that every takeover
// raised the epoch and that only the owner of the current epoch committed.
func checkEpochs(t *rapid.T, d *domain) {
	var epoch uint64
	owners := map[uint64]string{}
	for _, tx := range d.table.applied {
		for _, put := range tx.Puts {
			switch {
			case strings.HasPrefix(put.Key, "epoch/"):
				var row epochRow
				_ = json.Unmarshal(put.Value, &row)
				if row.Epoch <= epoch {
					t.Fatalf("takeover with epoch %d after %d", row.Epoch, epoch)
				}
				epoch = row.Epoch
				owners[epoch] = row.Owner
			case put.Key == "work/x":
				var written uint64
				_ = json.Unmarshal(put.Value, &written)
				if written != epoch || owners[epoch] != tx.WriteID {
					t.Fatalf("%s committed with epoch %d at epoch %d of %s", tx.WriteID, written, epoch, owners[epoch])
				}
			}
		}
	}
}
