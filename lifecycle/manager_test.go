package lifecycle

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/ownership"
	"bergamotstile/platform"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// fixedLease owns one shard for ever.
type fixedLease struct{ lease ownership.Lease }

func (f fixedLease) Held(structs.ShardID) (ownership.Lease, bool) { return f.lease, true }
func (f fixedLease) ServingUntil(structs.ShardID) time.Time       { return time.Now().Add(time.Hour) }
func (f fixedLease) Fenced(structs.ShardID, uint64)               {}

type fixedView []structs.Member

func (v fixedView) Workers(string) []structs.Member    { return v }
func (v fixedView) WorkerGoneFor(string) time.Duration { return 0 }

// lostLease is a shard that is no longer served.
type lostLease struct{}

func (lostLease) Held(structs.ShardID) (ownership.Lease, bool) { return ownership.Lease{}, false }
func (lostLease) ServingUntil(structs.ShardID) time.Time       { return time.Time{} }
func (lostLease) Fenced(structs.ShardID, uint64)               {}

// Guards against a planned stop that hands over nothing, since the shard is not
// served any more when its core is asked.
func TestReleasedShardTellsItsGrants(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := NewManager(Config{Domain: "d"}, Dependencies{Leases: lostLease{}}, clock)
	core := m.coreFor(ownership.Lease{Shard: testShard, Epoch: 1})
	core.workerFor("lost")
	listed := core.workerFor("listed")
	listed.listed = true
	clock.Advance(5 * time.Second)
	m.shards[testShard] = newDriver(core)
	go m.shards[testShard].run(t.Context())
	ages := m.SinceGrant(t.Context(), testShard)
	if len(ages) != 1 || ages["lost"] != 5*time.Second {
		t.Fatalf("told %v", ages)
	}
}

// Guards against a wiring of manager, core and applier in which a submitted
// item never reaches its worker, or its outcome never reaches the table.
func TestSubmittedWorkRunsAndFinishes(t *testing.T) {
	shard := structs.ShardID{Domain: "d", Index: 0}
	table := newMemTable()
	epoch, err := table.Commit(t.Context(), platform.Transaction{Puts: []platform.Put{{Key: "epoch/d/0"}}})
	if err != nil {
		t.Fatal(err)
	}
	starts := make(chan structs.AttemptID, 1)
	objects := &memObjects{data: map[string][]byte{}}
	size := structs.Resources{CPUMilli: 1000, MemoryMB: 512}
	clock := clockwork.NewRealClock()
	w := newFakeWorker(clock, "w", size, objects, func(e runEntry) {
		if e.what == "start" {
			starts <- e.attempt
		}
	})
	var writes atomic.Int64
	m := NewManager(Config{Domain: "d", Heartbeat: 10 * time.Millisecond}, Dependencies{
		Table: table, Objects: objects, Workers: &fleet{workers: map[string]*fakeWorker{"w": w}},
		View:       fixedView{{Name: "w", Role: structs.RoleWorker, Domain: "d", Address: "w", State: structs.MemberLive}},
		Leases:     fixedLease{ownership.Lease{Shard: shard, Epoch: 1, Fence: platform.Condition{Key: "epoch/d/0", Version: epoch.Version}}},
		Policy:     scheduler.FirstFit{},
		Domains:    func() []string { return []string{"d"} },
		NewWriteID: func() string { return fmt.Sprint("write-", writes.Add(1)) },
	}, clock)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.Serve(ctx) }()

	spec := structs.WorkSpec{Team: "t", Key: "k", Kind: structs.KindBatch, Size: size}
	status, err := m.Submit(ctx, spec)
	if err != nil || status.Outcome != structs.OutcomeNotRun {
		t.Fatalf("submit: %+v, %v", status, err)
	}
	attempt := <-starts
	w.mu.Lock()
	w.end(attempt, workerapi.Ended{State: workerapi.EndFinished, Result: "done"}, "finished")
	w.mu.Unlock()
	for table.item(shard, spec.ID()).State != structs.StateFinished {
		time.Sleep(time.Millisecond)
	}
	status, err = m.Status(ctx, shard, spec.ID())
	for err == nil && status.State != structs.StateFinished {
		time.Sleep(time.Millisecond)
		status, err = m.Status(ctx, shard, spec.ID())
	}
	if err != nil || status.Outcome != structs.OutcomeRan || status.Result != "done" || status.Attempts != 1 {
		t.Fatalf("status: %+v, %v", status, err)
	}
	if _, err := m.Submit(ctx, spec); err != nil {
		t.Fatalf("submit again: %v", err)
	}
	spec.Payload = []byte("other")
	if _, err := m.Submit(ctx, spec); structs.AsRefusal(err).Reason != structs.ReasonKeyReused {
		t.Fatalf("submit of other work with the same key: %v", err)
	}
}
