package lifecycle

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotstile/scheduler"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// overcommittingPolicy places all items of a plan on the same worker, whether
// they fit or not, and evicts the attempts that have run there for more than 3 s.
// The worker changes every second. The policy serves to check that the core
// carries out only those changes of a plan that are possible.
type overcommittingPolicy struct{}

func (overcommittingPolicy) Schedule(s scheduler.Snapshot) scheduler.Plan {
	var plan scheduler.Plan
	if len(s.Workers) == 0 {
		return plan
	}
	target := s.Workers[int(s.Now.UnixMilli()/1000)%len(s.Workers)]
	for _, item := range s.Queue {
		plan.Placements = append(plan.Placements, scheduler.Placement{Work: item.Work, Worker: target.Name})
	}
	for _, attempt := range target.Running {
		if attempt.RunningFor > 3*time.Second {
			plan.Evictions = append(plan.Evictions, scheduler.Eviction{Work: attempt.Work, Cause: "reckless"})
		}
	}
	return plan
}

// Guards against violations of the properties under all faults of section 1.4
// of the design that the simulation can inject, alone and in combination: work
// beyond capacity (P1), in two places (P2), resumed twice (P3), run after the
// outcome not_run was reported (P5), repeated although it is not idempotent
// (P6), or never finished.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		if rapid.Bool().Draw(t, "reckless policy") {
			sim.policy = overcommittingPolicy{}
		}
		sim.runFor(2*time.Second, 200*time.Millisecond)
		t.Repeat(sim.actions())
		sim.endFaults()
		sim.finishAndCheck()
	})
	t.Logf("cases covered: %v", caseCounts)
}

// caseCounts holds how often the runs covered each case that the test logs,
// such as takeovers and resumed work.
var caseCounts = map[string]int{}

// count adds one to the number of times that the runs covered the named case.
func count(caseName string) { caseCounts[caseName]++ }

// actions returns the actions from which rapid draws. A second entry for an
// action makes it more frequent. The entry with the empty name runs after each
// action.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":      func(t *rapid.T) { sim.submitDrawnSpec() },
		"submit more": func(t *rapid.T) { sim.submitDrawnSpec(); sim.submitDrawnSpec() },
		"pass": func(t *rapid.T) {
			sim.runFor(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds"))*time.Second, 500*time.Millisecond)
		},
		"pump":         func(t *rapid.T) { sim.runUntilIdle(sim.drawInstance()) },
		"tick":         func(t *rapid.T) { sim.tick(sim.drawInstance()) },
		"perform":      func(t *rapid.T) { sim.performDrawnCall() },
		"perform more": func(t *rapid.T) { sim.performDrawnCall(); sim.performDrawnCall() },
		"deliver":      func(t *rapid.T) { sim.deliverDrawnResult() },
		"deliver more": func(t *rapid.T) { sim.deliverDrawnResult(); sim.deliverDrawnResult() },
		"own":          func(t *rapid.T) { sim.stepOwnership(sim.drawInstance()) },
		"short time": func(t *rapid.T) {
			sim.clock.Advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
		},
		"long time":      func(t *rapid.T) { sim.clock.Advance(time.Duration(rapid.IntRange(1, 25).Draw(t, "s")) * time.Second) },
		"freeze":         func(t *rapid.T) { inst := sim.drawInstance(); inst.frozen = !inst.frozen || inst.stopped },
		"restart entry":  func(t *rapid.T) { inst := sim.drawInstance(); sim.toggleStopped(inst); sim.toggleStopped(inst) },
		"stop entry":     func(t *rapid.T) { sim.toggleStopped(sim.drawInstance()) },
		"stale list":     func(t *rapid.T) { sim.toggleStaleList(sim.drawInstance()) },
		"offline":        func(t *rapid.T) { inst := sim.drawInstance(); inst.tableUnreachable = !inst.tableUnreachable },
		"finish":         func(t *rapid.T) { sim.endDrawnTask(workerapi.EndFinished) },
		"fail":           func(t *rapid.T) { sim.endDrawnTask(workerapi.EndFailed) },
		"restart worker": func(t *rapid.T) { sim.drawWorker().restart() },
		"cut worker":     func(t *rapid.T) { name := sim.drawWorker().name; sim.unreachable[name] = !sim.unreachable[name] },
		"list worker":    func(t *rapid.T) { sim.toggleListed(sim.drawWorker().name) },
		"cancel":         func(t *rapid.T) { sim.cancelDrawnItem() },
		"cancel wave":    func(t *rapid.T) { sim.cancelDrawnItem(); sim.cancelDrawnItem(); sim.cancelDrawnItem() },
		"cancel by row":  func(t *rapid.T) { sim.cancelDrawnItemByRow() },
		"evict":          func(t *rapid.T) { sim.evictDrawnItem() },
		"objects":        func(t *rapid.T) { sim.objects.down = !sim.objects.down },
		"lose object":    func(t *rapid.T) { clear(sim.objects.data) },
		"half pump":      func(t *rapid.T) { sim.performSomeCalls(sim.drawInstance(), rapid.IntRange(1, 12).Draw(t, "calls")) },
		"half pump more": func(t *rapid.T) { sim.performSomeCalls(sim.drawInstance(), rapid.IntRange(1, 12).Draw(t, "calls")) },
		"pass on":        func(t *rapid.T) { sim.runFor(time.Second, 500*time.Millisecond) },
		"pass lease":     func(t *rapid.T) { sim.runFor(23*time.Second, time.Second) },
		"finish one":     func(t *rapid.T) { sim.endDrawnTask(workerapi.EndFinished) },
		"lose objects":   func(t *rapid.T) { sim.objects.losesWrites = !sim.objects.losesWrites },
		"evict one":      func(t *rapid.T) { sim.evictDrawnItem() },
		"freeze owner":   func(t *rapid.T) { sim.freezeOwner() },
		"late write":     func(t *rapid.T) { sim.applyDrawnDelayedWrite() },
		"": func(t *rapid.T) {
			for _, worker := range sim.workerClient.sortedWorkers() {
				worker.expireLeases()
			}
			sim.checker.checkCapacity()
		},
	}
}

func (sim *simulation) drawInstance() *fakeInstance {
	return sim.instances[rapid.IntRange(0, len(sim.instances)-1).Draw(sim.t, "instance")]
}

func (sim *simulation) drawWorker() *fakeWorker {
	return sim.workerClient.workers[rapid.SampledFrom(slices.Sorted(maps.Keys(sim.workerClient.workers))).Draw(sim.t, "worker")]
}

func (sim *simulation) drawWorkID() (structs.WorkID, bool) {
	ids := slices.Sorted(maps.Keys(sim.specs))
	if len(ids) == 0 {
		return "", false
	}
	return rapid.SampledFrom(ids).Draw(sim.t, "work"), true
}

func (sim *simulation) submitDrawnSpec() {
	spec := structs.WorkSpec{
		Team: "t", Key: fmt.Sprint("key-", rapid.IntRange(0, 30).Draw(sim.t, "key")), Kind: structs.KindBatch,
	}
	if previousSpec, isRepeat := sim.specs[spec.ID()]; isRepeat {
		spec = previousSpec
	} else {
		spec.Idempotent = rapid.Bool().Draw(sim.t, "idempotent")
		if rapid.IntRange(0, 9).Draw(sim.t, "standing") == 0 {
			spec.Kind = structs.KindStanding
		}
		spec.Size = structs.Resources{
			CPUMilli:     int64(rapid.IntRange(1, 4).Draw(sim.t, "cpu")) * 1000,
			MemoryMB:     int64(rapid.IntRange(1, 4).Draw(sim.t, "memory")) * 1024,
			Accelerators: int64(rapid.IntRange(0, 2).Draw(sim.t, "accelerators")),
		}
	}
	sim.specs[spec.ID()] = spec
	sim.table.injectFault = sim.drawTableFault
	status, err := sim.drawInstance().manager.Submit(context.Background(), spec)
	sim.table.injectFault = nil
	if err == nil {
		sim.checker.checkStatus(status)
	}
}

func (sim *simulation) performDrawnCall() {
	inst := sim.drawInstance()
	if len(inst.calls) > 0 {
		sim.performCall(inst, rapid.IntRange(0, len(inst.calls)-1).Draw(sim.t, "call"))
	}
}

func (sim *simulation) deliverDrawnResult() {
	inst := sim.drawInstance()
	if len(inst.results) > 0 && !inst.frozen {
		sim.deliverResult(inst, rapid.IntRange(0, len(inst.results)-1).Draw(sim.t, "result"))
	}
}

func (sim *simulation) stepOwnership(inst *fakeInstance) {
	if !inst.frozen {
		sim.table.injectFault = sim.drawTableFault
		inst.leases.Step(context.Background(), testShard)
		sim.table.injectFault = nil
	}
}

func (sim *simulation) endDrawnTask(state workerapi.EndState) {
	worker := sim.drawWorker()
	worker.expireLeases()
	if len(worker.running) == 0 {
		return
	}
	attempt := rapid.SampledFrom(slices.Sorted(maps.Keys(worker.running))).Draw(sim.t, "attempt")
	worker.endAttempt(attempt, workerapi.EndedAttempt{State: state}, string(state))
}

// toggleListed takes a worker off the membership list, or puts it back.
func (sim *simulation) toggleListed(name string) {
	if sim.unlistedAt[name].IsZero() {
		sim.unlistedAt[name] = sim.clock.Now()
		return
	}
	sim.checker.markUnlistedReportsLost()
	sim.unlistedAt[name] = time.Time{}
}

// toggleStopped restarts an instance that is stopped, and performs a planned stop
// of one that runs. It does nothing to an instance that is frozen but not stopped.
func (sim *simulation) toggleStopped(inst *fakeInstance) {
	switch {
	case inst.stopped:
		sim.restart(inst)
	case !inst.frozen:
		sim.table.injectFault = sim.drawTableFault
		sim.releaseAndStop(inst)
		sim.table.injectFault = nil
	}
}

// toggleStaleList makes an instance lose or regain access to the membership
// list.
func (sim *simulation) toggleStaleList(inst *fakeInstance) {
	if inst.staleList != nil {
		inst.staleList = nil
		return
	}
	inst.staleList = &workerListCopy{unlistedAt: maps.Clone(sim.unlistedAt), readAt: sim.clock.Now()}
}

// freezeOwner freezes the instance that may commit for the shard, if there is one.
func (sim *simulation) freezeOwner() {
	if inst := sim.committingInstance(); inst != nil {
		inst.frozen = true
	}
}

// cancelDrawnItem cancels a drawn item through a drawn instance. It does nothing
// if that instance is frozen or has no core that may serve the shard.
func (sim *simulation) cancelDrawnItem() {
	id, found := sim.drawWorkID()
	inst := sim.drawInstance()
	if !found || inst.core == nil || inst.frozen || !inst.core.isServing() {
		return
	}
	sim.checker.cancelRequested[id] = true
	inst.core.cancelByID(id, func(status structs.WorkStatus, err error) {
		if err == nil {
			sim.checker.checkStatus(status)
		}
	})
	inst.calls = append(inst.calls, inst.core.takeCalls()...)
}

// cancelDrawnItemByRow cancels a drawn item by a cancel row, through a drawn
// instance that need not own the shard.
func (sim *simulation) cancelDrawnItemByRow() {
	id, found := sim.drawWorkID()
	if !found {
		return
	}
	sim.table.injectFault = sim.drawTableFault
	status, err := sim.drawInstance().manager.CancelByRow(context.Background(), testShard, id)
	sim.table.injectFault = nil
	if err == nil {
		sim.checker.checkStatus(status)
	}
	sim.checker.cancelRequested[id] = true
}

func (sim *simulation) evictDrawnItem() {
	inst, id, found := sim.committingInstance(), structs.WorkID(""), false
	running := slices.SortedFunc(maps.Keys(sim.checker.running), compareIDs)
	if found = len(running) > 0; found && inst != nil {
		id = rapid.SampledFrom(running).Draw(sim.t, "running")
		_ = inst.core.evict(id, "test")
		inst.calls = append(inst.calls, inst.core.takeCalls()...)
	}
}

func (sim *simulation) applyDrawnDelayedWrite() {
	if n := len(sim.table.delayed); n > 0 {
		sim.table.applyDelayed(rapid.IntRange(0, n-1).Draw(sim.t, "write"))
	}
}

// endFaults ends all faults and applies the delayed transactions.
func (sim *simulation) endFaults() {
	sim.faultsOff = true
	sim.checker.markUnlistedReportsLost()
	clear(sim.unreachable)
	clear(sim.unlistedAt)
	sim.objects.down, sim.objects.losesWrites = false, false
	for _, inst := range sim.instances {
		if inst.stopped {
			sim.restart(inst)
		}
		inst.frozen, inst.tableUnreachable, inst.staleList = false, false, nil
	}
	for len(sim.table.delayed) > 0 {
		sim.table.applyDelayed(0)
	}
}

// finishAndCheck lets all work finish and checks each work row against the events
// of the workers. It also checks the history of commits, the capacity accounts and
// that no marker or cancel row remains. It cancels standing jobs, which could
// otherwise occupy the workers for ever.
func (sim *simulation) finishAndCheck() {
	sim.policy = scheduler.FirstFit{}
	sim.runFor(5*time.Second, 500*time.Millisecond)
	for _, id := range slices.Sorted(maps.Keys(sim.specs)) {
		if sim.specs[id].Kind == structs.KindStanding {
			sim.checker.cancelRequested[id] = true
			_, _ = sim.instances[0].manager.CancelByRow(context.Background(), testShard, id)
		}
	}
	for round := 0; round < 60 && !sim.allTerminal(); round++ {
		sim.runFor(2*time.Second, 500*time.Millisecond)
		for _, name := range slices.Sorted(maps.Keys(sim.workerClient.workers)) {
			sim.finishBatchTasks(sim.workerClient.workers[name])
		}
	}
	sim.runFor(5*time.Second, 500*time.Millisecond)
	for _, item := range sim.storedItems() {
		sim.checker.checkFinalItem(item)
	}
	sim.checker.checkCommitHistory()
	sim.checkAccountsAndReports()
	for key := range sim.table.rows {
		if strings.HasPrefix(key, "new/") || strings.HasPrefix(key, "cancel/") {
			sim.t.Fatalf("row %s is left over", key)
		}
	}
}

func (sim *simulation) storedItems() []structs.WorkItem {
	var items []structs.WorkItem
	rows, _ := sim.table.Scan(context.Background(), workPrefix(testShard), "", 1000)
	for _, row := range rows {
		item, err := decodeItem(row)
		if err != nil {
			sim.t.Fatal(err)
		}
		items = append(items, item)
	}
	return items
}

func (sim *simulation) allTerminal() bool {
	return !slices.ContainsFunc(sim.storedItems(), func(item structs.WorkItem) bool { return !isTerminal(item) })
}

func (sim *simulation) finishBatchTasks(worker *fakeWorker) {
	for _, attempt := range slices.Sorted(maps.Keys(worker.running)) {
		if worker.running[attempt].spec.Kind == structs.KindBatch {
			worker.endAttempt(attempt, workerapi.EndedAttempt{State: workerapi.EndFinished}, "finished")
		}
	}
}

// checkAccountsAndReports checks that only running attempts count against the
// workers and that all ended attempts were acknowledged.
func (sim *simulation) checkAccountsAndReports() {
	inst := sim.committingInstance()
	if inst == nil {
		sim.t.Fatal("the shard has no owner")
	}
	for name, worker := range sim.workerClient.sortedWorkers() {
		var used structs.Resources
		for _, task := range worker.running {
			used = used.Add(task.spec.Size)
		}
		if allocated := inst.core.ledger.ensureAccount(name).allocated; allocated != used {
			sim.t.Fatalf("%s: %+v allocated, %+v running", name, allocated, used)
		}
		if len(worker.ended) > 0 {
			sim.t.Fatalf("%s: ended attempts not acknowledged: %+v", name, worker.ended)
		}
	}
}
