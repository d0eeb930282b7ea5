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

// scenario runs one fixed course of events in a world without drawn faults.
func scenario(t *testing.T, course func(w *world)) {
	t.Helper()
	before := flag.Lookup("rapid.checks").Value.String()
	_ = flag.Set("rapid.checks", "1")
	defer func() { _ = flag.Set("rapid.checks", before) }()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.quiet = true
		w.pass(2*time.Second, 200*time.Millisecond)
		course(w)
		w.truth.checkHistory()
	})
}

func (w *world) submitSpec(spec structs.WorkSpec) structs.WorkID {
	if spec.Kind == "" {
		spec.Kind = structs.KindBatch
	}
	spec.Team = "t"
	w.specs[spec.ID()] = spec
	if _, err := w.instances[0].manager.Submit(context.Background(), spec); err != nil {
		w.t.Fatal(err)
	}
	return spec.ID()
}

func (w *world) expect(id structs.WorkID, state structs.WorkState, attempts int) structs.WorkItem {
	item := w.table.item(testShard, id)
	if item.State != state || item.Attempt != attempts {
		w.t.Fatalf("%s is %s after %d attempts (%s), expected %s after %d", id, item.State, item.Attempt, item.Detail, state, attempts)
	}
	return item
}

// submitRunning submits an item that fills a worker, waits until it runs and returns
// its worker.
func (w *world) submitRunning() (id structs.WorkID, worker string) {
	id = w.submitSpec(structs.WorkSpec{Key: "k", Size: fullWorker, Idempotent: true})
	w.pass(3*time.Second, 500*time.Millisecond)
	return id, w.expect(id, structs.StateRunning, 1).Worker
}

// submitBeforeStart submits an item that fills a worker and goes on until the call that
// starts it is the next of its owner.
func (w *world) submitBeforeStart() (structs.WorkID, *instance) {
	id := w.submitSpec(structs.WorkSpec{Key: "k", Size: fullWorker, Idempotent: true})
	in := w.owner()
	for len(in.calls) == 0 || in.calls[0].name != "start" {
		w.clock.Advance(100 * time.Millisecond)
		in.leases.Step(context.Background(), testShard)
		w.halfPumpUntil(in, "start")
	}
	return id, in
}

// halfPumpUntil performs calls until one of the name is next.
func (w *world) halfPumpUntil(in *instance, name string) {
	w.tick(in)
	for len(in.calls) > 0 && in.calls[0].name != name {
		w.perform(in, 0)
		for len(in.results) > 0 {
			w.deliver(in, 0)
		}
	}
}

var fullWorker = structs.Resources{CPUMilli: 4000, MemoryMB: 4096, Accelerators: 2}

// Guards against a start that a paused owner's process sends long after its
// shard was taken over and its worker left the list.
func TestLateStartIsRefused(t *testing.T) {
	scenario(t, func(w *world) {
		id, in := w.submitBeforeStart()
		in.frozen = true
		placed := w.table.item(testShard, id).Worker
		w.toggleListed(placed)
		w.pass(40*time.Second, 500*time.Millisecond)
		w.expect(id, structs.StateRunning, 2)
		for len(in.calls) > 0 {
			w.perform(in, 0) // P2 is checked by the worker's record
		}
		if len(w.fleet.workers[placed].running) > 0 {
			w.t.Fatal("the late start took effect")
		}
	})
}

// Guards against evicted work that starts over, resumes twice, or resumes
// from a checkpoint that is not in the object store.
func TestEvictionResumesFromItsCheckpoint(t *testing.T) {
	for _, lost := range []bool{false, true} {
		scenario(t, func(w *world) {
			idempotent := w.submitSpec(structs.WorkSpec{Key: "a", Size: fullWorker, Idempotent: true})
			billed := w.submitSpec(structs.WorkSpec{Key: "b", Size: fullWorker})
			w.pass(3*time.Second, 100*time.Millisecond)
			w.objects.losing = lost
			for _, id := range []structs.WorkID{idempotent, billed} {
				if err := w.owner().core.evict(id, "test"); err != nil {
					w.t.Fatal(err)
				}
			}
			w.pass(5*time.Second, 100*time.Millisecond)
			if lost {
				w.expect(billed, structs.StateLost, 1)
				if item := w.expect(idempotent, structs.StateRunning, 2); item.Checkpoint != "" {
					w.t.Fatalf("resumed from %q, which was never stored", item.Checkpoint)
				}
				return
			}
			for _, id := range []structs.WorkID{idempotent, billed} {
				if item := w.expect(id, structs.StateRunning, 2); item.Checkpoint == "" {
					w.t.Fatal("resumed without the checkpoint")
				}
			}
		})
	}
}

// Guards against a job that fails everywhere and is tried for ever, and
// against one that is given up because a single worker fails it.
func TestJobThatFailsEverywhereEndsAsFailed(t *testing.T) {
	scenario(t, func(w *world) {
		id := w.submitSpec(structs.WorkSpec{Key: "k", Size: fullWorker, Idempotent: true})
		for range 20 {
			w.pass(time.Second, 100*time.Millisecond)
			for _, worker := range w.fleet.all() {
				for attempt := range worker.running {
					worker.end(attempt, workerapi.EndedAttempt{State: workerapi.EndFailed}, "failed")
				}
			}
		}
		if item := w.expect(id, structs.StateFailed, 3); distinct(item.FailedOn) != 3 {
			w.t.Fatalf("failed on %v", item.FailedOn)
		}
	})
}

// Guards against a standing job that is not restarted, and against one that
// is restarted without a wait although it fails at once.
func TestStandingJobRestartsWithBackoff(t *testing.T) {
	scenario(t, func(w *world) {
		id := w.submitSpec(structs.WorkSpec{Key: "k", Size: fullWorker, Kind: structs.KindStanding})
		for range 60 {
			w.pass(time.Second, 100*time.Millisecond)
			for _, worker := range w.fleet.all() {
				for attempt := range worker.running {
					worker.end(attempt, workerapi.EndedAttempt{State: workerapi.EndFailed}, "failed")
				}
			}
		}
		if n := len(w.truth.starts[id]); n < 4 || n > 8 {
			w.t.Fatalf("%d starts in a minute", n)
		}
	})
}

// Guards against a cancel that waits for the table although the owner could
// stop the task, and against one that is not recorded afterwards.
func TestCancelInAnOutageStopsTheTask(t *testing.T) {
	scenario(t, func(w *world) {
		id := w.submitSpec(structs.WorkSpec{Key: "k", Size: fullWorker})
		queued := w.submitSpec(structs.WorkSpec{Key: "too big", Size: fullWorker.Add(fullWorker)})
		w.pass(3*time.Second, 100*time.Millisecond)
		for _, in := range w.instances {
			in.offline = true
		}
		w.pass(10*time.Second, 100*time.Millisecond)
		w.truth.cancels[id] = true
		in := w.serving()
		var status structs.WorkStatus
		in.core.cancelByID(id, func(s structs.WorkStatus, err error) { status = s })
		var refusal error
		in.core.cancelByID(queued, func(_ structs.WorkStatus, err error) { refusal = err })
		w.pass(time.Second, 100*time.Millisecond)
		if !status.Unconfirmed || len(w.truth.running) > 0 {
			w.t.Fatalf("told %+v, running %v", status, w.truth.running)
		}
		if structs.AsRefusal(refusal).Reason != structs.ReasonStoreUnavailable {
			w.t.Fatalf("the cancel of queued work got %v", refusal)
		}
		for _, in := range w.instances {
			in.offline = false
		}
		w.pass(5*time.Second, 100*time.Millisecond)
		w.expect(id, structs.StateCancelled, 1)
		w.expect(queued, structs.StateQueued, 0)
	})
}

// serving returns the instance that serves the shard, extended or not.
func (w *world) serving() *instance {
	for _, in := range w.instances {
		if in.core != nil && in.core.serving() {
			return in
		}
	}
	w.t.Fatal("the shard is not served")
	return nil
}

// Guards against one cancelled item that holds back the group it is in, and
// against a wave of cancels that costs a commit each.
func TestCancelWave(t *testing.T) {
	scenario(t, func(w *world) {
		in := w.owner()
		var ids []structs.WorkID
		for i := range 12 {
			ids = append(ids, w.submitSpec(structs.WorkSpec{Key: fmt.Sprint(i), Size: structs.Resources{CPUMilli: 1000}}))
		}
		for _, id := range ids[:3] {
			w.truth.cancels[id] = true
			_, _ = in.manager.CancelByRow(context.Background(), testShard, id)
		}
		w.pass(3*time.Second, 100*time.Millisecond)
		for i, id := range ids {
			if i < 3 {
				w.expect(id, structs.StateCancelled, 0)
				continue
			}
			w.expect(id, structs.StateRunning, 1)
		}
		before := len(w.table.commits)
		for _, id := range ids[3:] {
			w.truth.cancels[id] = true
			in.core.cancelByID(id, func(structs.WorkStatus, error) {})
		}
		w.pump(in)
		w.clock.Advance(100 * time.Millisecond)
		w.pump(in)
		if n := len(w.table.commits) - before; n > 6 {
			w.t.Fatalf("9 cancels took %d commits with groups of 4", n)
		}
		w.pass(2*time.Second, 100*time.Millisecond)
		for _, id := range ids[3:] {
			w.expect(id, structs.StateCancelled, 1)
		}
	})
}

// Guards against a start that is sent to a worker off the list: its task lease
// outlasts the time after which the worker's absence proves the attempt ended.
// The property test found this with seed 47390981, after 9735 runs.
func TestNoStartAfterTheWorkerLeft(t *testing.T) {
	scenario(t, func(w *world) {
		id, in := w.submitBeforeStart()
		in.results = append(in.results, in.calls[0].run(canceled())) // never arrives
		in.calls = in.calls[1:]
		w.toggleListed(w.table.item(testShard, id).Worker)
		w.clock.Advance(4 * time.Second)
		for range 60 {
			w.pass(time.Second, 500*time.Millisecond)
		}
		w.expect(id, structs.StateRunning, 2)
	})
}

// Guards against work of a lost worker that stands still as long as its shard's
// owners are restarted in turn: each of them waited a whole task lease anew.
func TestLostWorkersTaskResumesDuringRestarts(t *testing.T) {
	scenario(t, func(w *world) {
		id, lost := w.submitRunning()
		w.cut[lost] = true
		w.toggleListed(lost)
		for range 6 {
			in := w.owner()
			if ages := in.core.sinceGrant(); len(ages) > 0 {
				w.t.Fatalf("an owner that may still grant task leases hands over %v", ages)
			}
			w.stop(in)
			w.pass(4*time.Second, 500*time.Millisecond)
			w.start(in)
			w.pass(11*time.Second, 500*time.Millisecond)
		}
		w.expect(id, structs.StateRunning, 2)
	})
}

// Guards against a release that hands over the absence of a worker whose task
// leases its owner renewed until then, since its list was out of date: the
// worker's task would run in two places.
func TestReleaseHandsOverNoAbsenceOfAWorkerWithALease(t *testing.T) {
	scenario(t, func(w *world) {
		id, placed := w.submitRunning()
		in := w.owner()
		w.toggleStale(in)
		w.toggleListed(placed)
		w.pass(40*time.Second, 500*time.Millisecond)
		w.stop(in)
		w.pass(19*time.Second, 500*time.Millisecond)
		w.expect(id, structs.StateRunning, 1)
		w.pass(9*time.Second, 500*time.Millisecond) // P2 is checked by the worker's record
		w.expect(id, structs.StateRunning, 2)
	})
}

// Guards against a second core of an epoch, or a second successor, that counts
// from what a predecessor handed over although task leases were granted since.
func TestGrantsAfterAHandoverCount(t *testing.T) {
	for _, planned := range []bool{false, true} {
		scenario(t, func(w *world) {
			id, placed := w.submitRunning()
			w.toggleListed(placed)
			w.pass(10*time.Second, 500*time.Millisecond)
			first := w.owner()
			w.stop(first)
			w.pass(4*time.Second, 500*time.Millisecond)
			second := w.owner()
			w.start(first)
			w.toggleListed(placed)
			w.pass(2*time.Second, 500*time.Millisecond)
			w.toggleStale(second)
			w.toggleListed(placed)
			w.pass(30*time.Second, 500*time.Millisecond)
			if planned {
				w.stop(second)
			} else {
				second.core.stepDown()
				second.list = nil
			}
			w.pass(10*time.Second, 500*time.Millisecond)
			if (w.owner() == second) == planned {
				w.t.Fatal("another instance owns the shard than expected")
			}
			w.expect(id, structs.StateRunning, 1)
			w.pass(20*time.Second, 500*time.Millisecond) // P2 is checked by the worker's record
			w.expect(id, structs.StateRunning, 2)
		})
	}
}

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
