package lifecycle

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// runScenario runs fixed steps in a simulation without randomly drawn faults.
func runScenario(t *testing.T, steps func(sim *simulation)) {
	t.Helper()
	previousChecks := flag.Lookup("rapid.checks").Value.String()
	_ = flag.Set("rapid.checks", "1")
	defer func() { _ = flag.Set("rapid.checks", previousChecks) }()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.faultsOff = true
		sim.runFor(2*time.Second, 200*time.Millisecond)
		steps(sim)
		sim.checker.checkCommitHistory()
	})
}

func (sim *simulation) submitSpec(spec structs.WorkSpec) structs.WorkID {
	if spec.Kind == "" {
		spec.Kind = structs.KindBatch
	}
	spec.Team = "t"
	sim.specs[spec.ID()] = spec
	if _, err := sim.instances[0].manager.Submit(context.Background(), spec); err != nil {
		sim.t.Fatal(err)
	}
	return spec.ID()
}

// expectItem fails the test unless the stored item has the given state and
// number of attempts. It returns the item.
func (sim *simulation) expectItem(id structs.WorkID, state structs.WorkState, attempts int) structs.WorkItem {
	item := sim.table.storedItem(testShard, id)
	if item.State != state || item.Attempt != attempts {
		sim.t.Fatalf("%s is %s after %d attempts (%s), expected %s after %d", id, item.State, item.Attempt, item.Detail, state, attempts)
	}
	return item
}

// submitAndWaitUntilRunning submits an item that fills a worker, waits until it
// runs and returns its worker.
func (sim *simulation) submitAndWaitUntilRunning() (id structs.WorkID, worker string) {
	id = sim.submitSpec(structs.WorkSpec{Key: "k", Size: fullWorkerSize, Idempotent: true})
	sim.runFor(3*time.Second, 500*time.Millisecond)
	return id, sim.expectItem(id, structs.StateRunning, 1).Worker
}

// submitUntilStartIsNext submits an item that fills a worker and continues
// until the next call of the owner is the start of that item.
func (sim *simulation) submitUntilStartIsNext() (structs.WorkID, *fakeInstance) {
	id := sim.submitSpec(structs.WorkSpec{Key: "k", Size: fullWorkerSize, Idempotent: true})
	inst := sim.committingInstance()
	for len(inst.calls) == 0 || inst.calls[0].name != "start" {
		sim.clock.Advance(100 * time.Millisecond)
		inst.leases.Step(context.Background(), testShard)
		sim.performCallsUntil(inst, "start")
	}
	return id, inst
}

// performCallsUntil performs calls until the next one has the given name.
func (sim *simulation) performCallsUntil(inst *fakeInstance, name string) {
	sim.tick(inst)
	for len(inst.calls) > 0 && inst.calls[0].name != name {
		sim.performCall(inst, 0)
		for len(inst.results) > 0 {
			sim.deliverResult(inst, 0)
		}
	}
}

var fullWorkerSize = structs.Resources{CPUMilli: 4000, MemoryMB: 4096, Accelerators: 2}

// Guards against a start that takes effect although a paused owner sends it
// long after its shard was taken over and its worker left the list.
func TestLateStartIsRefused(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		id, inst := sim.submitUntilStartIsNext()
		inst.frozen = true
		worker := sim.table.storedItem(testShard, id).Worker
		sim.toggleListed(worker)
		sim.runFor(40*time.Second, 500*time.Millisecond)
		sim.expectItem(id, structs.StateRunning, 2)
		for len(inst.calls) > 0 {
			sim.performCall(inst, 0) // the history checker checks P2
		}
		if len(sim.workerClient.workers[worker].running) > 0 {
			sim.t.Fatal("the late start took effect")
		}
	})
}

// Guards against evicted work that starts from the beginning, resumes twice, or
// resumes from a checkpoint that is not in the object store.
func TestEvictedItemResumesFromCheckpoint(t *testing.T) {
	for _, checkpointsLost := range []bool{false, true} {
		runScenario(t, func(sim *simulation) {
			idempotent := sim.submitSpec(structs.WorkSpec{Key: "a", Size: fullWorkerSize, Idempotent: true})
			nonIdempotent := sim.submitSpec(structs.WorkSpec{Key: "b", Size: fullWorkerSize})
			sim.runFor(3*time.Second, 100*time.Millisecond)
			sim.objects.losesWrites = checkpointsLost
			for _, id := range []structs.WorkID{idempotent, nonIdempotent} {
				if err := sim.committingInstance().core.evict(id, "test"); err != nil {
					sim.t.Fatal(err)
				}
			}
			sim.runFor(5*time.Second, 100*time.Millisecond)
			if checkpointsLost {
				sim.expectItem(nonIdempotent, structs.StateLost, 1)
				if item := sim.expectItem(idempotent, structs.StateRunning, 2); item.Checkpoint != "" {
					sim.t.Fatalf("resumed from %q, which was never stored", item.Checkpoint)
				}
				return
			}
			for _, id := range []structs.WorkID{idempotent, nonIdempotent} {
				if item := sim.expectItem(id, structs.StateRunning, 2); item.Checkpoint == "" {
					sim.t.Fatal("resumed without the checkpoint")
				}
			}
		})
	}
}

// Guards against an item that fails on all workers and is retried for ever, and
// against one that becomes failed because it failed on a single worker.
func TestItemThatFailsEverywhereBecomesFailed(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		id := sim.submitSpec(structs.WorkSpec{Key: "k", Size: fullWorkerSize, Idempotent: true})
		for range 20 {
			sim.runFor(time.Second, 100*time.Millisecond)
			for _, worker := range sim.workerClient.sortedWorkers() {
				for attempt := range worker.running {
					worker.endAttempt(attempt, workerapi.EndedAttempt{State: workerapi.EndFailed}, "failed")
				}
			}
		}
		if item := sim.expectItem(id, structs.StateFailed, 3); countDistinct(item.FailedOn) != 3 {
			sim.t.Fatalf("failed on %v", item.FailedOn)
		}
	})
}

// Guards against a standing job that is not restarted, and against one that is
// restarted without a delay although it fails at once.
func TestStandingJobRestartsWithBackoff(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		id := sim.submitSpec(structs.WorkSpec{Key: "k", Size: fullWorkerSize, Kind: structs.KindStanding})
		for range 60 {
			sim.runFor(time.Second, 100*time.Millisecond)
			for _, worker := range sim.workerClient.sortedWorkers() {
				for attempt := range worker.running {
					worker.endAttempt(attempt, workerapi.EndedAttempt{State: workerapi.EndFailed}, "failed")
				}
			}
		}
		if n := len(sim.checker.starts[id]); n < 4 || n > 8 {
			sim.t.Fatalf("%d starts in a minute", n)
		}
	})
}

// Guards against a cancel that waits for the table although the owner could
// stop the task, and against one that is not recorded after the outage.
func TestCancelDuringTableOutageStopsTask(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		id := sim.submitSpec(structs.WorkSpec{Key: "k", Size: fullWorkerSize})
		queued := sim.submitSpec(structs.WorkSpec{Key: "too big", Size: fullWorkerSize.Add(fullWorkerSize)})
		sim.runFor(3*time.Second, 100*time.Millisecond)
		for _, inst := range sim.instances {
			inst.tableUnreachable = true
		}
		sim.runFor(10*time.Second, 100*time.Millisecond)
		sim.checker.cancelRequested[id] = true
		inst := sim.servingInstance()
		var status structs.WorkStatus
		inst.core.cancelByID(id, func(s structs.WorkStatus, err error) { status = s })
		var refusal error
		inst.core.cancelByID(queued, func(_ structs.WorkStatus, err error) { refusal = err })
		sim.runFor(time.Second, 100*time.Millisecond)
		if !status.Unconfirmed || len(sim.checker.running) > 0 {
			sim.t.Fatalf("status %+v, running %v", status, sim.checker.running)
		}
		if structs.AsRefusal(refusal).Reason != structs.ReasonStoreUnavailable {
			sim.t.Fatalf("the cancel of queued work returned %v", refusal)
		}
		for _, inst := range sim.instances {
			inst.tableUnreachable = false
		}
		sim.runFor(5*time.Second, 100*time.Millisecond)
		sim.expectItem(id, structs.StateCancelled, 1)
		sim.expectItem(queued, structs.StateQueued, 0)
	})
}

// servingInstance returns the instance that serves the shard, possibly with an
// extended lease.
func (sim *simulation) servingInstance() *fakeInstance {
	for _, inst := range sim.instances {
		if inst.core != nil && inst.core.isServing() {
			return inst
		}
	}
	sim.t.Fatal("the shard is not served")
	return nil
}

// Guards against a cancelled item that delays the other items of its group, and
// against many cancels that each take a commit of their own.
func TestManyCancelsShareCommits(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		inst := sim.committingInstance()
		var ids []structs.WorkID
		for i := range 12 {
			ids = append(ids, sim.submitSpec(structs.WorkSpec{Key: fmt.Sprint(i), Size: structs.Resources{CPUMilli: 1000}}))
		}
		for _, id := range ids[:3] {
			sim.checker.cancelRequested[id] = true
			_, _ = inst.manager.CancelByRow(context.Background(), testShard, id)
		}
		sim.runFor(3*time.Second, 100*time.Millisecond)
		for i, id := range ids {
			if i < 3 {
				sim.expectItem(id, structs.StateCancelled, 0)
				continue
			}
			sim.expectItem(id, structs.StateRunning, 1)
		}
		commitsBefore := len(sim.table.commits)
		for _, id := range ids[3:] {
			sim.checker.cancelRequested[id] = true
			inst.core.cancelByID(id, func(structs.WorkStatus, error) {})
		}
		sim.runUntilIdle(inst)
		sim.clock.Advance(100 * time.Millisecond)
		sim.runUntilIdle(inst)
		if n := len(sim.table.commits) - commitsBefore; n > 6 {
			sim.t.Fatalf("9 cancels took %d commits with groups of 4", n)
		}
		sim.runFor(2*time.Second, 100*time.Millisecond)
		for _, id := range ids[3:] {
			sim.expectItem(id, structs.StateCancelled, 1)
		}
	})
}

// Guards against a start that is sent to a worker off the list. The task lease
// of that start outlasts the time after which the worker's absence proves that
// the attempt ended. The property test found this fault with seed 47390981,
// after 9735 runs.
func TestUnlistedWorkerGetsNoStart(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		id, inst := sim.submitUntilStartIsNext()
		inst.results = append(inst.results, inst.calls[0].run(cancelledContext())) // the start does not reach the worker
		inst.calls = inst.calls[1:]
		sim.toggleListed(sim.table.storedItem(testShard, id).Worker)
		sim.clock.Advance(4 * time.Second)
		for range 60 {
			sim.runFor(time.Second, 500*time.Millisecond)
		}
		sim.expectItem(id, structs.StateRunning, 2)
	})
}

// Guards against work of a lost worker that does not resume while the owners of
// its shard are restarted one after another. Each new owner waited for a whole
// task lease again.
func TestTaskOfLostWorkerResumesDuringOwnerRestarts(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		id, worker := sim.submitAndWaitUntilRunning()
		sim.unreachable[worker] = true
		sim.toggleListed(worker)
		for range 6 {
			inst := sim.committingInstance()
			if ages := inst.core.grantAges(); len(ages) > 0 {
				sim.t.Fatalf("an owner that may still grant task leases hands over %v", ages)
			}
			sim.releaseAndStop(inst)
			sim.runFor(4*time.Second, 500*time.Millisecond)
			sim.restart(inst)
			sim.runFor(11*time.Second, 500*time.Millisecond)
		}
		sim.expectItem(id, structs.StateRunning, 2)
	})
}

// Guards against a release that hands over a grant age for a worker whose task
// leases the owner renewed until then, because its membership list was out of
// date. The worker's task would then run in two places.
func TestReleaseOmitsGrantAgeOfListedWorker(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		id, worker := sim.submitAndWaitUntilRunning()
		inst := sim.committingInstance()
		sim.toggleStaleList(inst)
		sim.toggleListed(worker)
		sim.runFor(40*time.Second, 500*time.Millisecond)
		sim.releaseAndStop(inst)
		sim.runFor(19*time.Second, 500*time.Millisecond)
		sim.expectItem(id, structs.StateRunning, 1)
		sim.runFor(9*time.Second, 500*time.Millisecond) // the history checker checks P2
		sim.expectItem(id, structs.StateRunning, 2)
	})
}

// Guards against a second core of the same epoch, or a second successor, that
// relies on the grant ages that a predecessor handed over, although task leases
// were granted since.
func TestLaterGrantsOverrideHandover(t *testing.T) {
	for _, planned := range []bool{false, true} {
		runScenario(t, func(sim *simulation) {
			id, worker := sim.submitAndWaitUntilRunning()
			sim.toggleListed(worker)
			sim.runFor(10*time.Second, 500*time.Millisecond)
			first := sim.committingInstance()
			sim.releaseAndStop(first)
			sim.runFor(4*time.Second, 500*time.Millisecond)
			second := sim.committingInstance()
			sim.restart(first)
			sim.toggleListed(worker)
			sim.runFor(2*time.Second, 500*time.Millisecond)
			sim.toggleStaleList(second)
			sim.toggleListed(worker)
			sim.runFor(30*time.Second, 500*time.Millisecond)
			if planned {
				sim.releaseAndStop(second)
			} else {
				second.core.stepDown()
				second.staleList = nil
			}
			sim.runFor(10*time.Second, 500*time.Millisecond)
			if (sim.committingInstance() == second) == planned {
				sim.t.Fatal("the shard is not owned by the expected instance")
			}
			sim.expectItem(id, structs.StateRunning, 1)
			sim.runFor(20*time.Second, 500*time.Millisecond) // the history checker checks P2
			sim.expectItem(id, structs.StateRunning, 2)
		})
	}
}

// cancelledContext returns a context that is already cancelled.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
