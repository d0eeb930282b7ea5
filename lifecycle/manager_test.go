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

// permanentLease holds a lease that never expires.
type permanentLease struct{ lease ownership.Lease }

func (l permanentLease) HeldLease(structs.ShardID) (ownership.Lease, bool) { return l.lease, true }
func (l permanentLease) ServingUntil(structs.ShardID) time.Time            { return time.Now().Add(time.Hour) }
func (l permanentLease) NotifyFenced(structs.ShardID, uint64)              {}

// fixedWorkerList is a membership view whose workers never change.
type fixedWorkerList []structs.Member

func (l fixedWorkerList) Workers(string) []structs.Member        { return l }
func (l fixedWorkerList) WorkerUnlistedFor(string) time.Duration { return 0 }

// noLease is the state of leases in which no shard is held or served.
type noLease struct{}

func (noLease) HeldLease(structs.ShardID) (ownership.Lease, bool) { return ownership.Lease{}, false }
func (noLease) ServingUntil(structs.ShardID) time.Time            { return time.Time{} }
func (noLease) NotifyFenced(structs.ShardID, uint64)              {}

// Guards against a planned stop that hands over no grant ages: the shard is no
// longer served when its core is asked for them.
func TestReleasedShardReportsGrantAges(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := NewManager(Config{Domain: "d"}, Dependencies{Leases: noLease{}}, clock)
	core := m.newCoreForLease(ownership.Lease{Shard: testShard, Epoch: 1})
	core.ensureWorker("lost")
	listed := core.ensureWorker("listed")
	listed.listed = true
	clock.Advance(5 * time.Second)
	m.drivers[testShard] = newDriver(core)
	go m.drivers[testShard].run(t.Context())
	ages := m.GrantAges(t.Context(), testShard)
	if len(ages) != 1 || ages["lost"] != 5*time.Second {
		t.Fatalf("grant ages %v", ages)
	}
}

// singleWorkerSetup is a running manager that owns one shard with one worker.
type singleWorkerSetup struct {
	manager *Manager
	shard   structs.ShardID
	table   *memTable
	worker  *fakeWorker
	starts  chan structs.AttemptID
}

var singleWorkerSize = structs.Resources{CPUMilli: 1000, MemoryMB: 512}

func startSingleWorkerSetup(t *testing.T) *singleWorkerSetup {
	s := &singleWorkerSetup{shard: structs.ShardID{Domain: "d", Index: 0}, table: newMemTable(), starts: make(chan structs.AttemptID, 1)}
	epoch, err := s.table.Commit(t.Context(), platform.Transaction{Puts: []platform.Put{{Key: "epoch/d/0"}}})
	if err != nil {
		t.Fatal(err)
	}
	objects := &memObjects{data: map[string][]byte{}}
	clock := clockwork.NewRealClock()
	s.worker = newFakeWorker(clock, "w", singleWorkerSize, objects, func(e attemptEvent) {
		if e.kind == "start" {
			s.starts <- e.attempt
		}
	})
	var writes atomic.Int64
	s.manager = NewManager(Config{Domain: "d", Heartbeat: 10 * time.Millisecond}, Dependencies{
		Table: s.table, Objects: objects, Workers: &fakeWorkerClient{workers: map[string]*fakeWorker{"w": s.worker}},
		View:       fixedWorkerList{{Name: "w", Role: structs.RoleWorker, Domain: "d", Address: "w", State: structs.MemberLive}},
		Leases:     permanentLease{ownership.Lease{Shard: s.shard, Epoch: 1, Fence: platform.Condition{Key: "epoch/d/0", Version: epoch.Version}}},
		Policy:     scheduler.FirstFit{},
		Domains:    func() []string { return []string{"d"} },
		NewWriteID: func() string { return fmt.Sprint("write-", writes.Add(1)) },
	}, clock)
	go func() { _ = s.manager.Serve(t.Context()) }()
	return s
}

// finishNextStart waits for the next start and finishes the started task.
func (s *singleWorkerSetup) finishNextStart(result string) {
	attempt := <-s.starts
	s.worker.mu.Lock()
	defer s.worker.mu.Unlock()
	s.worker.endAttempt(attempt, workerapi.EndedAttempt{State: workerapi.EndFinished, Result: result}, "finished")
}

// waitUntilFinished polls the status of an item until it is finished or the
// call fails.
func (s *singleWorkerSetup) waitUntilFinished(ctx context.Context, id structs.WorkID) (structs.WorkStatus, error) {
	status, err := s.manager.Status(ctx, s.shard, id)
	for err == nil && status.State != structs.StateFinished {
		time.Sleep(time.Millisecond)
		status, err = s.manager.Status(ctx, s.shard, id)
	}
	return status, err
}

// Guards against faults in the connection of manager, core and committer: a
// submitted item that never reaches its worker, or an outcome that never
// reaches the table.
func TestSubmittedWorkRunsAndFinishes(t *testing.T) {
	s, ctx := startSingleWorkerSetup(t), t.Context()
	spec := structs.WorkSpec{Team: "t", Key: "k", Kind: structs.KindBatch, Size: singleWorkerSize}
	status, err := s.manager.Submit(ctx, spec)
	if err != nil || status.Outcome != structs.OutcomeNotRun {
		t.Fatalf("submit: %+v, %v", status, err)
	}
	s.finishNextStart("done")
	for s.table.storedItem(s.shard, spec.ID()).State != structs.StateFinished {
		time.Sleep(time.Millisecond)
	}
	status, err = s.waitUntilFinished(ctx, spec.ID())
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
