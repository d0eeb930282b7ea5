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

// reckless places everything on the same worker, whether it fits or not, and
// evicts what runs. The plan applier has to hold the line.
type reckless struct{}

func (reckless) Schedule(s scheduler.Snapshot) scheduler.Plan {
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

// Guards against every fault of section 1.4 of the design that the world can
// inject, alone and together: work beyond capacity (P1), in two places (P2),
// resumed twice (P3), run after "not run" (P5), repeated although it is not
// idempotent (P6), or forgotten.
func TestWorkSurvivesFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		if rapid.Bool().Draw(t, "reckless policy") {
			w.policy = reckless{}
		}
		w.pass(2*time.Second, 200*time.Millisecond)
		t.Repeat(w.actions())
		w.heal()
		w.settle()
	})
	t.Logf("what happened: %v", counts)
}

// counts tells how often the runs met what they look for.
var counts = map[string]int{}

func count(what string) { counts[what]++ }

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":      func(t *rapid.T) { w.submit() },
		"submit more": func(t *rapid.T) { w.submit(); w.submit() },
		"pass": func(t *rapid.T) {
			w.pass(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds"))*time.Second, 500*time.Millisecond)
		},
		"pump":         func(t *rapid.T) { w.pump(w.anyInstance()) },
		"tick":         func(t *rapid.T) { w.tick(w.anyInstance()) },
		"perform":      func(t *rapid.T) { w.performSome() },
		"perform more": func(t *rapid.T) { w.performSome(); w.performSome() },
		"deliver":      func(t *rapid.T) { w.deliverSome() },
		"deliver more": func(t *rapid.T) { w.deliverSome(); w.deliverSome() },
		"own":          func(t *rapid.T) { w.stepOwnership(w.anyInstance()) },
		"short time": func(t *rapid.T) {
			w.clock.Advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
		},
		"long time":      func(t *rapid.T) { w.clock.Advance(time.Duration(rapid.IntRange(1, 25).Draw(t, "s")) * time.Second) },
		"freeze":         func(t *rapid.T) { in := w.anyInstance(); in.frozen = !in.frozen || in.stopped },
		"restart entry":  func(t *rapid.T) { in := w.anyInstance(); w.stopOrStart(in); w.stopOrStart(in) },
		"stop entry":     func(t *rapid.T) { w.stopOrStart(w.anyInstance()) },
		"stale list":     func(t *rapid.T) { w.toggleStale(w.anyInstance()) },
		"offline":        func(t *rapid.T) { in := w.anyInstance(); in.offline = !in.offline },
		"finish":         func(t *rapid.T) { w.endTask(workerapi.EndFinished) },
		"fail":           func(t *rapid.T) { w.endTask(workerapi.EndFailed) },
		"restart worker": func(t *rapid.T) { w.anyWorker().restart() },
		"cut worker":     func(t *rapid.T) { name := w.anyWorker().name; w.cut[name] = !w.cut[name] },
		"list worker":    func(t *rapid.T) { w.toggleListed(w.anyWorker().name) },
		"cancel":         func(t *rapid.T) { w.cancel() },
		"cancel wave":    func(t *rapid.T) { w.cancel(); w.cancel(); w.cancel() },
		"cancel by row":  func(t *rapid.T) { w.cancelByRow() },
		"evict":          func(t *rapid.T) { w.evict() },
		"objects":        func(t *rapid.T) { w.objects.down = !w.objects.down },
		"lose object":    func(t *rapid.T) { clear(w.objects.data) },
		"half pump":      func(t *rapid.T) { w.halfPump(w.anyInstance(), rapid.IntRange(1, 12).Draw(t, "calls")) },
		"half pump more": func(t *rapid.T) { w.halfPump(w.anyInstance(), rapid.IntRange(1, 12).Draw(t, "calls")) },
		"pass on":        func(t *rapid.T) { w.pass(time.Second, 500*time.Millisecond) },
		"pass lease":     func(t *rapid.T) { w.pass(23*time.Second, time.Second) },
		"finish one":     func(t *rapid.T) { w.endTask(workerapi.EndFinished) },
		"lose objects":   func(t *rapid.T) { w.objects.losing = !w.objects.losing },
		"evict one":      func(t *rapid.T) { w.evict() },
		"freeze owner":   func(t *rapid.T) { w.freezeOwner() },
		"late write":     func(t *rapid.T) { w.deliverLateWrite() },
		"": func(t *rapid.T) {
			for _, worker := range w.fleet.all() {
				worker.lapse()
			}
			w.truth.checkCapacity()
		},
	}
}

func (w *world) anyInstance() *instance {
	return w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(w.t, "instance")]
}

func (w *world) anyWorker() *fakeWorker {
	return w.fleet.workers[rapid.SampledFrom(slices.Sorted(maps.Keys(w.fleet.workers))).Draw(w.t, "worker")]
}

func (w *world) anyWork() (structs.WorkID, bool) {
	ids := slices.Sorted(maps.Keys(w.specs))
	if len(ids) == 0 {
		return "", false
	}
	return rapid.SampledFrom(ids).Draw(w.t, "work"), true
}

func (w *world) submit() {
	spec := structs.WorkSpec{
		Team: "t", Key: fmt.Sprint("key-", rapid.IntRange(0, 30).Draw(w.t, "key")), Kind: structs.KindBatch,
	}
	if before, again := w.specs[spec.ID()]; again {
		spec = before
	} else {
		spec.Idempotent = rapid.Bool().Draw(w.t, "idempotent")
		if rapid.IntRange(0, 9).Draw(w.t, "standing") == 0 {
			spec.Kind = structs.KindStanding
		}
		spec.Size = structs.Resources{
			CPUMilli:     int64(rapid.IntRange(1, 4).Draw(w.t, "cpu")) * 1000,
			MemoryMB:     int64(rapid.IntRange(1, 4).Draw(w.t, "memory")) * 1024,
			Accelerators: int64(rapid.IntRange(0, 2).Draw(w.t, "accelerators")),
		}
	}
	w.specs[spec.ID()] = spec
	w.table.fault = w.tableFault
	status, err := w.anyInstance().manager.Submit(context.Background(), spec)
	w.table.fault = nil
	if err == nil {
		w.truth.told(status)
	}
}

func (w *world) performSome() {
	in := w.anyInstance()
	if len(in.calls) > 0 {
		w.perform(in, rapid.IntRange(0, len(in.calls)-1).Draw(w.t, "call"))
	}
}

func (w *world) deliverSome() {
	in := w.anyInstance()
	if len(in.results) > 0 && !in.frozen {
		w.deliver(in, rapid.IntRange(0, len(in.results)-1).Draw(w.t, "result"))
	}
}

func (w *world) stepOwnership(in *instance) {
	if !in.frozen {
		w.table.fault = w.tableFault
		in.leases.Step(context.Background(), testShard)
		w.table.fault = nil
	}
}

func (w *world) endTask(state workerapi.EndState) {
	worker := w.anyWorker()
	worker.lapse()
	if len(worker.running) == 0 {
		return
	}
	attempt := rapid.SampledFrom(slices.Sorted(maps.Keys(worker.running))).Draw(w.t, "attempt")
	worker.end(attempt, workerapi.EndedAttempt{State: state}, string(state))
}

func (w *world) toggleListed(name string) {
	if w.goneAt[name].IsZero() {
		w.goneAt[name] = w.clock.Now()
		return
	}
	w.truth.forgetGone()
	w.goneAt[name] = time.Time{}
}

// stopOrStart stops an instance as planned, or starts a stopped one.
func (w *world) stopOrStart(in *instance) {
	switch {
	case in.stopped:
		w.start(in)
	case !in.frozen:
		w.table.fault = w.tableFault
		w.stop(in)
		w.table.fault = nil
	}
}

// toggleStale lets an instance lose its way to the membership list or find it.
func (w *world) toggleStale(in *instance) {
	if in.list != nil {
		in.list = nil
		return
	}
	in.list = &staleList{goneAt: maps.Clone(w.goneAt), readAt: w.clock.Now()}
}

func (w *world) freezeOwner() {
	if in := w.owner(); in != nil {
		in.frozen = true
	}
}

// cancel asks an instance that believes that it serves the shard.
func (w *world) cancel() {
	id, any := w.anyWork()
	in := w.anyInstance()
	if !any || in.core == nil || in.frozen || !in.core.serving() {
		return
	}
	w.truth.cancels[id] = true
	in.core.cancelByID(id, func(status structs.WorkStatus, err error) {
		if err == nil {
			w.truth.told(status)
		}
	})
	in.calls = append(in.calls, in.core.takeCalls()...)
}

func (w *world) cancelByRow() {
	id, any := w.anyWork()
	if !any {
		return
	}
	w.table.fault = w.tableFault
	status, err := w.anyInstance().manager.CancelByRow(context.Background(), testShard, id)
	w.table.fault = nil
	if err == nil {
		w.truth.told(status)
	}
	w.truth.cancels[id] = true
}

func (w *world) evict() {
	in, id, any := w.owner(), structs.WorkID(""), false
	running := slices.SortedFunc(maps.Keys(w.truth.running), compareIDs)
	if any = len(running) > 0; any && in != nil {
		id = rapid.SampledFrom(running).Draw(w.t, "running")
		_ = in.core.evict(id, "test")
		in.calls = append(in.calls, in.core.takeCalls()...)
	}
}

func (w *world) deliverLateWrite() {
	if n := len(w.table.delayed); n > 0 {
		w.table.deliverDelayed(rapid.IntRange(0, n-1).Draw(w.t, "write"))
	}
}

// heal ends all faults and lets what is delayed arrive.
func (w *world) heal() {
	w.quiet = true
	w.truth.forgetGone()
	clear(w.cut)
	clear(w.goneAt)
	w.objects.down, w.objects.losing = false, false
	for _, in := range w.instances {
		if in.stopped {
			w.start(in)
		}
		in.frozen, in.offline, in.list = false, false, nil
	}
	for len(w.table.delayed) > 0 {
		w.table.deliverDelayed(0)
	}
}

// settle lets everything finish and compares each row with what ran. Standing
// jobs are cancelled, since they may fill the workers for ever.
func (w *world) settle() {
	w.policy = scheduler.FirstFit{}
	w.pass(5*time.Second, 500*time.Millisecond)
	for _, id := range slices.Sorted(maps.Keys(w.specs)) {
		if w.specs[id].Kind == structs.KindStanding {
			w.truth.cancels[id] = true
			_, _ = w.instances[0].manager.CancelByRow(context.Background(), testShard, id)
		}
	}
	for round := 0; round < 60 && !w.allOver(); round++ {
		w.pass(2*time.Second, 500*time.Millisecond)
		for _, name := range slices.Sorted(maps.Keys(w.fleet.workers)) {
			w.finishAll(w.fleet.workers[name])
		}
	}
	w.pass(5*time.Second, 500*time.Millisecond)
	for _, item := range w.rows() {
		w.truth.checkRecord(item)
	}
	w.truth.checkHistory()
	w.checkIdle()
	for key := range w.table.rows {
		if strings.HasPrefix(key, "new/") || strings.HasPrefix(key, "cancel/") {
			w.t.Fatalf("row %s is left over", key)
		}
	}
}

func (w *world) rows() []structs.WorkItem {
	var items []structs.WorkItem
	rows, _ := w.table.Scan(context.Background(), workPrefix(testShard), "", 1000)
	for _, row := range rows {
		item, err := decodeItem(row)
		if err != nil {
			w.t.Fatal(err)
		}
		items = append(items, item)
	}
	return items
}

func (w *world) allOver() bool {
	return !slices.ContainsFunc(w.rows(), func(item structs.WorkItem) bool { return !over(item) })
}

func (w *world) finishAll(worker *fakeWorker) {
	for _, attempt := range slices.Sorted(maps.Keys(worker.running)) {
		if worker.running[attempt].spec.Kind == structs.KindBatch {
			worker.end(attempt, workerapi.EndedAttempt{State: workerapi.EndFinished}, "finished")
		}
	}
}

// checkIdle guards against capacity that stays held and outcomes that are
// never acknowledged.
func (w *world) checkIdle() {
	in := w.owner()
	if in == nil {
		w.t.Fatal("the shard has no owner")
	}
	for name, worker := range w.fleet.all() {
		var used structs.Resources
		for _, task := range worker.running {
			used = used.Add(task.spec.Size)
		}
		if held := in.core.ledger.account(name).used; held != used {
			w.t.Fatalf("%s: %+v held, %+v runs", name, held, used)
		}
		if len(worker.ended) > 0 {
			w.t.Fatalf("%s: ends not acknowledged: %+v", name, worker.ended)
		}
	}
}
