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

// soleWorker is a served manager that owns one shard with one worker.
type soleWorker struct {
	manager *Manager
	shard   structs.ShardID
	table   *memTable
	worker  *fakeWorker
	starts  chan structs.AttemptID
}

var soleWorkerSize = structs.Resources{CPUMilli: 1000, MemoryMB: 512}

func serveSoleWorker(t *testing.T) *soleWorker {
	s := &soleWorker{shard: structs.ShardID{Domain: "d", Index: 0}, table: newMemTable(), starts: make(chan structs.AttemptID, 1)}
	epoch, err := s.table.Commit(t.Context(), platform.Transaction{Puts: []platform.Put{{Key: "epoch/d/0"}}})
	if err != nil {
		t.Fatal(err)
	}
	objects := &memObjects{data: map[string][]byte{}}
	clock := clockwork.NewRealClock()
	s.worker = newFakeWorker(clock, "w", soleWorkerSize, objects, func(e runEntry) {
		if e.what == "start" {
			s.starts <- e.attempt
		}
	})
	var writes atomic.Int64
	s.manager = NewManager(Config{Domain: "d", Heartbeat: 10 * time.Millisecond}, Dependencies{
		Table: s.table, Objects: objects, Workers: &fleet{workers: map[string]*fakeWorker{"w": s.worker}},
		View:       fixedView{{Name: "w", Role: structs.RoleWorker, Domain: "d", Address: "w", State: structs.MemberLive}},
		Leases:     fixedLease{ownership.Lease{Shard: s.shard, Epoch: 1, Fence: platform.Condition{Key: "epoch/d/0", Version: epoch.Version}}},
		Policy:     scheduler.FirstFit{},
		Domains:    func() []string { return []string{"d"} },
		NewWriteID: func() string { return fmt.Sprint("write-", writes.Add(1)) },
	}, clock)
	go func() { _ = s.manager.Serve(t.Context()) }()
	return s
}

// finishNext ends the task of the next start.
func (s *soleWorker) finishNext(result string) {
	attempt := <-s.starts
	s.worker.mu.Lock()
	defer s.worker.mu.Unlock()
	s.worker.end(attempt, workerapi.EndedAttempt{State: workerapi.EndFinished, Result: result}, "finished")
}

// finished waits until an item's status is finished, or cannot be asked for.
func (s *soleWorker) finished(ctx context.Context, id structs.WorkID) (structs.WorkStatus, error) {
	status, err := s.manager.Status(ctx, s.shard, id)
	for err == nil && status.State != structs.StateFinished {
		time.Sleep(time.Millisecond)
		status, err = s.manager.Status(ctx, s.shard, id)
	}
	return status, err
}

// Guards against a wiring of manager, core and applier in which a submitted
// item never reaches its worker, or its outcome never reaches the table.
func TestSubmittedWorkRunsAndFinishes(t *testing.T) {
	s, ctx := serveSoleWorker(t), t.Context()
	spec := structs.WorkSpec{Team: "t", Key: "k", Kind: structs.KindBatch, Size: soleWorkerSize}
	status, err := s.manager.Submit(ctx, spec)
	if err != nil || status.Outcome != structs.OutcomeNotRun {
		t.Fatalf("submit: %+v, %v", status, err)
	}
	s.finishNext("done")
	for s.table.item(s.shard, spec.ID()).State != structs.StateFinished {
		time.Sleep(time.Millisecond)
	}
	status, err = s.finished(ctx, spec.ID())
	if err != nil || status.Outcome != structs.OutcomeRan || status.Result != "done" || status.Attempts != 1 {
		t.Fatalf("status: %+v, %v", status, err)
	}
	if _, err := s.manager.Submit(ctx, spec); err != nil {
		t.Fatalf("submit again: %v", err)
	}
	spec.Payload = []byte("other")
	if _, err := s.manager.Submit(ctx, spec); structs.AsRefusal(err).Reason != structs.ReasonKeyReused {
		t.Fatalf("submit of other work with the same key: %v", err)
	}
}
