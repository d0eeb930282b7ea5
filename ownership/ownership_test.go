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

// run steps every instance and advances the clock until the time is over.
func (d *domain) run(total time.Duration) {
	const step = 100 * time.Millisecond
	for ; total > 0; total -= step {
		for _, m := range d.managers {
			m.Step(context.Background(), shard)
		}
		d.clock.Advance(step)
	}
}

func (d *domain) owner() int {
	for i, m := range d.managers {
		if !m.ServingUntil(shard).IsZero() {
			return i
		}
	}
	return -1
}

func startedDomain(t *testing.T, n int) (*domain, int) {
	t.Helper()
	d := newDomain(n, clockwork.NewFakeClockAt(time.Unix(1_000_000, 0)), Config{})
	d.run(time.Second)
	owner := d.owner()
	if owner < 0 {
		t.Fatal("no instance took a free shard")
	}
	return d, owner
}

// Guards against an outage of the table that ends ownership although every
// instance sees the outage, and against a loss after it.
func TestOutageExtendsOwnership(t *testing.T) {
	d, owner := startedDomain(t, 3)
	broken := true
	for _, l := range d.links {
		l.fault = func(string) fault {
			if broken {
				return down
			}
			return fine
		}
	}
	for range 20 {
		d.run(time.Second)
		if d.owner() != owner {
			t.Fatalf("owner %d does not serve in the outage", owner)
		}
	}
	if _, held := d.managers[owner].Held(shard); held {
		t.Fatal("the lease is held without a renewal")
	}
	broken = false
	d.run(10 * time.Second)
	lease, held := d.managers[owner].Held(shard)
	if !held || lease.Epoch != 1 {
		t.Fatalf("after the outage: held %v, epoch %d", held, lease.Epoch)
	}
}

// Guards against an extension although one listed instance is silent or
// reaches the table: that instance could take the shard.
func TestNoExtensionWithoutEveryPromise(t *testing.T) {
	for _, silent := range []bool{true, false} {
		d, owner := startedDomain(t, 3)
		other := (owner + 1) % 3
		for i, l := range d.links {
			if i != other || silent {
				l.fault = func(string) fault { return down }
			}
		}
		d.cut = func(from, to string) bool {
			return silent && (from == d.names[other]) != (to == d.names[other])
		}
		d.run(2900 * time.Millisecond)
		if d.owner() == owner {
			t.Fatalf("silent %v: owner still serves", silent)
		}
	}
}

// Guards against a takeover from an owner that answers, and against a shard
// that stays without an owner after its owner dies.
func TestTakeover(t *testing.T) {
	d, owner := startedDomain(t, 3)
	dead := d.managers[owner]
	live := &domain{clock: d.clock}
	for i, m := range d.managers {
		if i != owner {
			live.managers = append(live.managers, m)
		}
	}
	live.run(2 * time.Second)
	if live.owner() >= 0 {
		t.Fatal("taken before the lease was over")
	}
	live.run(8 * time.Second)
	next := live.owner()
	if next < 0 {
		t.Fatal("not taken after the owner died")
	}
	lease, _ := live.managers[next].Held(shard)
	if lease.Epoch != 2 || !dead.ServingUntil(shard).IsZero() {
		t.Fatalf("epoch %d, dead owner serves until %v", lease.Epoch, dead.ServingUntil(shard))
	}
	dead.Step(context.Background(), shard)
	if events := dead.takeEvents(); len(events) != 2 || events[1].Acquired {
		t.Fatalf("the dead owner's events: %+v", events)
	}
}

// Guards against a successor that dispatches while requests of a predecessor
// that shut down are in flight, and against a release that takes a lease.
func TestReleasePassesQuietTimeOn(t *testing.T) {
	d, owner := startedDomain(t, 2)
	handover := func(structs.ShardID) Handover { return Handover{Quiet: 1200 * time.Millisecond} }
	if err := d.managers[owner].Release(context.Background(), handover); err != nil {
		t.Fatal(err)
	}
	released := d.clock.Now()
	d.run(6 * time.Second)
	next := d.owner()
	if next < 0 || next == owner {
		t.Fatalf("owner after the release: %d", next)
	}
	if after := d.managers[next].DispatchAfter(shard); after.Before(released.Add(1200 * time.Millisecond)) {
		t.Fatalf("the successor dispatches %v after the release", after.Sub(released))
	}
}

// Guards against a successor that believes the last grant of a task lease to be
// older than it is, and against a handover that outlives the next takeover.
func TestReleaseHandsOverTheLastGrants(t *testing.T) {
	d, owner := startedDomain(t, 3)
	const age = 12*time.Second + 1999*time.Microsecond
	handover := func(structs.ShardID) Handover {
		return Handover{SinceGrant: map[string]time.Duration{"worker": age}}
	}
	granted := d.clock.Now().Add(-age)
	if err := d.managers[owner].Release(context.Background(), handover); err != nil {
		t.Fatal(err)
	}
	d.run(10 * time.Second)
	next := d.owner()
	lease, held := d.managers[next].Held(shard)
	if !held || next == owner {
		t.Fatalf("owner after the release: %d, held %v", next, held)
	}
	const slack = 4 * time.Second // a lease until the next rank looks again, and a round
	if at := lease.LastGrants["worker"]; at.Before(granted) || at.After(granted.Add(slack)) {
		t.Fatalf("last grant handed over as %v after it was", at.Sub(granted))
	}
	third := 3 - owner - next
	live := &domain{clock: d.clock, managers: d.managers[third : third+1]}
	live.run(20 * time.Second)
	if live.owner() < 0 {
		t.Fatal("not taken after the owner died")
	}
	if lease, _ := live.managers[0].Held(shard); lease.Epoch != 3 || len(lease.LastGrants) > 0 {
		t.Fatalf("the lease of epoch %d tells %v after a crash", lease.Epoch, lease.LastGrants)
	}
}

// Guards against a shard that stays without an owner after a planned stop
// until its next owner happens to look: keyed requests are refused meanwhile.
func TestReleasedShardIsTakenAtOnce(t *testing.T) {
	d, owner := startedDomain(t, 2)
	next := d.managers[1-owner]
	d.names = []string{d.names[1-owner]} // the other one is draining
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	go func() { _ = next.Serve(ctx) }()
	// The shard's loop waits for its pace, and time stands still from here.
	if err := d.clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	nothing := func(structs.ShardID) Handover { return Handover{} }
	if err := d.managers[owner].Release(ctx, nothing); err != nil {
		t.Fatal(err)
	}
	next.Released(shard)
	select {
	case e := <-next.Events():
		if !e.Acquired {
			t.Fatalf("event %+v", e)
		}
	case <-ctx.Done():
		t.Fatal("the released shard was not taken")
	}
}

// fencedCommit is what an owner does with its lease: a conditional write.
type fencedCommit struct {
	lease Lease
	owner int
}

// Guards against two owners: at no time do two instances serve a shard, and
// in the order of the table no owner commits with the same epoch as another
// or with a lower one. Faults: table down for some, answers and calls lost,
// writes that take effect later, owners frozen past their lease, cut peers.
func TestNoTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDomain(3, clockwork.NewFakeClockAt(time.Unix(1_000_000, 0)), Config{})
		frozen := make([]bool, 3)
		broken := make([]bool, 3)
		cut := map[string]bool{}
		d.cut = func(from, to string) bool {
			return cut[from+to] || frozen[slices.Index(d.names, from)] || frozen[slices.Index(d.names, to)]
		}
		faultRate := rapid.SampledFrom([]int{0, 1, 3}).Draw(t, "fault rate")
		slowness := rapid.SampledFrom([][]int{{0}, {0, 0, 0, 0, 50, 700}, {0, 0, 0, 0, 1, 700, 3100}}).Draw(t, "slowness")
		depth := 0
		check := func() {
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
				if broken[i] {
					return down
				}
				if d.promising.Load() > 0 {
					return fine
				}
				if rapid.IntRange(0, 9).Draw(t, "luck") >= faultRate {
					return fine
				}
				return rapid.SampledFrom([]fault{down, lostAnswer, lostCall, delayed, delayed}).Draw(t, "fault")
			}
			l.during = func() {
				if d.promising.Load() > 0 {
					return
				}
				d.clock.Advance(time.Duration(rapid.SampledFrom(slowness).Draw(t, "slow")) * time.Millisecond)
				check()
				other := rapid.IntRange(0, 5).Draw(t, "during")
				if depth == 0 && other < 3 && other != i && !frozen[other] {
					depth++
					d.managers[other].Step(context.Background(), shard)
					depth--
				}
			}
		}
		var late []fencedCommit
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
			"freeze": func(t *rapid.T) { flip(t, frozen) },
			"break":  func(t *rapid.T) { flip(t, broken) },
			"break all": func(t *rapid.T) {
				down := rapid.Bool().Draw(t, "down")
				for i := range broken {
					broken[i] = down
				}
			},
			"cut": func(t *rapid.T) {
				pair := rapid.SampledFrom(d.names).Draw(t, "from") + rapid.SampledFrom(d.names).Draw(t, "to")
				cut[pair] = !cut[pair]
			},
			"delayed write": func(t *rapid.T) {
				if n := len(d.table.delayed); n > 0 {
					d.table.deliverDelayed(rapid.IntRange(0, n-1).Draw(t, "write"))
				}
			},
			"decide": func(*rapid.T) {
				for i, m := range d.managers {
					if lease, held := m.Held(shard); held {
						late = append(late, fencedCommit{lease, i})
					}
				}
			},
			"commit": func(t *rapid.T) {
				if len(late) == 0 {
					return
				}
				c := late[rapid.IntRange(0, len(late)-1).Draw(t, "commit")]
				_, _ = d.table.apply(platform.Transaction{
					WriteID:    d.names[c.owner],
					Conditions: []platform.Condition{c.lease.Fence},
					Puts:       []platform.Put{{Key: "work/x", Value: encode(c.lease.Epoch)}},
				})
			},
			"": func(t *rapid.T) { check() },
		}
		t.Repeat(actions)
		checkEpochs(t, d)
	})
}

func flip(t *rapid.T, flags []bool) {
	i := rapid.IntRange(0, len(flags)-1).Draw(t, "instance")
	flags[i] = !flags[i]
}

// checkEpochs reads the table's own history.
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
