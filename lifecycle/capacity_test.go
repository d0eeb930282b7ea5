package lifecycle

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"bergamotstile/ownership"
	"bergamotstile/platform"
	"bergamotstile/policy"
	"bergamotstile/procstat"
	"bergamotstile/quota"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// The benchmarks in this file yield the slopes in docs/CAPACITY.md.

// coreStubs provides stubs for the dependencies of a core: a lease that never
// ends, a fixed list of workers, a policy that plans nothing, and a table that
// returns prepared pages to scans of the work rows and accepts every
// transaction.
type coreStubs struct {
	clock          clockwork.Clock
	workers        []structs.Member
	pages          [][]byte // encoded results of scans of the work rows
	nextPage       int      // index in pages of the result of the next scan
	committedBytes int      // total size of the encoded transactions
}

func (s *coreStubs) HeldLease(shard structs.ShardID) (ownership.Lease, bool) {
	return ownership.Lease{Shard: shard, Epoch: 1}, true
}
func (s *coreStubs) ServingUntil(structs.ShardID) time.Time     { return s.clock.Now().Add(time.Hour) }
func (s *coreStubs) NotifyFenced(structs.ShardID, uint64)       {}
func (s *coreStubs) Workers(string) []structs.Member            { return s.workers }
func (s *coreStubs) WorkerUnlistedFor(string) time.Duration     { return 0 }
func (s *coreStubs) Schedule(scheduler.Snapshot) scheduler.Plan { return scheduler.Plan{} }

// Read returns no rows. No benchmark runs a call that reads by key: the cores
// find all items by scans or are given them, and no commit conflicts.
func (s *coreStubs) Read(context.Context, ...string) ([]platform.Row, error) {
	return nil, nil
}

// Scan returns the next prepared page, which it decodes as the platform's
// adapter does. After the last page, and for rows other than work rows, it
// returns no rows, which ends a scan.
func (s *coreStubs) Scan(_ context.Context, prefix, _ string, _ int) ([]platform.Row, error) {
	if s.nextPage >= len(s.pages) || prefix != workPrefix(testShard) {
		return nil, nil
	}
	var rows []platform.Row
	err := json.Unmarshal(s.pages[s.nextPage], &rows)
	s.nextPage++
	return rows, err
}

// Commit accepts the transaction. It encodes it as the platform's adapter does
// and counts the bytes.
func (s *coreStubs) Commit(_ context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	data, err := json.Marshal(tx)
	s.committedBytes += len(data)
	return platform.CommitResult{Version: 2}, err
}

func newBenchmarkCore(workers int) (*core, *coreStubs) {
	stubs := &coreStubs{clock: clockwork.NewFakeClock()}
	for i := range workers {
		name := fmt.Sprintf("worker-ogbomoso-%05d", i)
		stubs.workers = append(stubs.workers, structs.Member{Name: name, Role: structs.RoleWorker, Domain: testShard.Domain,
			Rack: fmt.Sprintf("rack-%04d", i/8), Address: "10.11.12.13:20001", State: structs.MemberLive})
	}
	cfg := Config{Domain: testShard.Domain}.withDefaults()
	silentLog := logrus.New()
	silentLog.SetOutput(io.Discard)
	deps := Dependencies{Log: silentLog, Table: stubs, View: stubs, Leases: stubs, Policy: stubs, NewWriteID: func() string { return "6ba7b810-9dad-11d1-80b4-00c04fd430c8" }}
	return newCore(cfg, deps, stubs.clock, ownership.Lease{Shard: testShard, Epoch: 1}), stubs
}

var (
	benchmarkWorkerCapacity = structs.Resources{CPUMilli: 64000, MemoryMB: 250000, Accelerators: 2}
	benchmarkTaskSize       = structs.Resources{CPUMilli: 2000, MemoryMB: 8000}
)

// benchmarkItem returns item n. It runs on the worker, or is queued if worker
// is empty.
func benchmarkItem(n int, worker string) structs.WorkItem {
	team := fmt.Sprintf("team-%03d", n%160)
	spec := structs.WorkSpec{Team: team, Key: fmt.Sprintf("order-%08d", n), Job: fmt.Sprintf("die-render-%d", n%40),
		Kind: structs.KindBatch, Class: structs.ClassNormal, Size: benchmarkTaskSize, ExpectedRunMS: 60_000,
		MaxRunMS: 600_000, Idempotent: true, Payload: []byte(`{"order":"3e1f0f5a","sheet":17,"pattern":"aso-oke"}`)}
	item := structs.WorkItem{ID: spec.ID(), Shard: testShard, Spec: spec, State: structs.StateQueued,
		WriteID: "6ba7b810-9dad-11d1-80b4-00c04fd430c8"}
	if worker != "" {
		item.State, item.Attempt, item.Worker, item.Epoch = structs.StateRunning, 1, worker, 1
		item.BootID = "1b4e28ba-2fa1-11d2-883f-0016d3cca427"
	}
	return item
}

func workRow(item structs.WorkItem) platform.Row {
	return platform.Row{Key: workKey(testShard, item.ID), Version: 1, Value: encodeItem(item)}
}

// addRunningTasks gives each worker a number of running tasks and makes it
// reachable.
func addRunningTasks(c *core, stubs *coreStubs, tasks int) {
	c.ready = true
	c.syncWorkers()
	for i, m := range stubs.workers {
		for task := range tasks {
			c.addItemFromRow(workRow(benchmarkItem(i*tasks+task, m.Name)))
		}
		c.handleHeartbeat(c.workers[m.Name], workerReport(c, m.Name), nil)
	}
	c.takeCalls()
}

// workerReport returns a heartbeat response in which a worker reports as running
// all attempts that the core has allocated to it.
func workerReport(c *core, worker string) workerapi.HeartbeatResponse {
	resp := workerapi.HeartbeatResponse{BootID: "1b4e28ba-2fa1-11d2-883f-0016d3cca427", UptimeMS: 86_400_000, Capacity: benchmarkWorkerCapacity, UsageAgeMS: 900}
	for _, record := range c.recordsOn(worker) {
		resp.Running = append(resp.Running, workerapi.RunningAttempt{Attempt: record.item.AttemptID(), Size: benchmarkTaskSize, Used: benchmarkTaskSize, Throttle: 1})
	}
	return resp
}

// measureCPU runs f b.N times and reports the processor time per unit, where
// one run of f processes the given number of units.
func measureCPU(b *testing.B, unit string, units int, f func()) {
	b.ReportAllocs()
	start := procstat.CPUTime()
	for b.Loop() {
		f()
	}
	b.ReportMetric(float64(procstat.CPUTime()-start)/1000/float64(b.N*units), "cpu-us/"+unit)
}

// BenchmarkHeartbeatCore measures the core's processing of one worker's
// heartbeat response.
func BenchmarkHeartbeatCore(b *testing.B) {
	for _, tasks := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c, stubs := newBenchmarkCore(1)
			addRunningTasks(c, stubs, tasks)
			w, resp := c.workers[stubs.workers[0].Name], workerReport(c, stubs.workers[0].Name)
			measureCPU(b, "op", 1, func() { c.handleHeartbeat(w, resp, nil) })
		})
	}
}

// BenchmarkIdleTick measures a full tick, which processes all workers. A core
// performs 40 full ticks per second. The clock stands still, so the benchmark
// makes the next full tick due itself.
func BenchmarkIdleTick(b *testing.B) {
	for _, workers := range []int{65, 530, 5300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c, stubs := newBenchmarkCore(workers)
			addRunningTasks(c, stubs, 16)
			c.scanner.inFlight, c.planner.inFlight = true, true
			for _, w := range c.workers {
				w.heartbeatInFlight = true
			}
			c.planner.nextWorkerSync = stubs.clock.Now().Add(time.Hour)
			measureCPU(b, "op", 1, func() {
				c.nextFullTick = time.Time{}
				c.tick()
			})
		})
	}
}

// BenchmarkRecovery measures reading a whole shard after a takeover.
func BenchmarkRecovery(b *testing.B) {
	for _, items := range []int{1000, 3000, 10000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			c, stubs := newBenchmarkCore(items / 16)
			cfg, deps, lease := c.cfg, c.deps, c.lease
			var rows []platform.Row
			for n := range items {
				rows = append(rows, workRow(benchmarkItem(n, stubs.workers[n%len(stubs.workers)].Name)))
			}
			encodedBytes := 0
			for page := range slices.Chunk(rows, c.cfg.ScanPage) {
				data, _ := json.Marshal(page)
				stubs.pages = append(stubs.pages, data)
				encodedBytes += len(data)
			}
			c = nil
			heapBefore := procstat.LiveHeapBytes()
			measureCPU(b, "item", items, func() {
				c = newCore(cfg, deps, stubs.clock, lease)
				stubs.nextPage = 0
				runRecovery(c)
			})
			b.ReportMetric((float64(procstat.LiveHeapBytes())-float64(heapBefore))/float64(items), "live-B/item")
			b.ReportMetric(float64(encodedBytes)/float64(items), "wire-B/item")
			runtime.KeepAlive(c)
			runtime.KeepAlive(rows)
		})
	}
}

// BenchmarkRescan measures processing a page of marker rows whose items are
// known already, as happens at each scan while these items are queued.
func BenchmarkRescan(b *testing.B) {
	const items = 1000
	c, _ := newBenchmarkCore(1)
	c.ready = true
	queueItems(c, items)
	var rows []platform.Row
	for id := range c.records {
		rows = append(rows, platform.Row{Key: markerKey(testShard, id), Version: 1, Value: []byte(`{}`)})
	}
	data, _ := json.Marshal(rows)
	c.takeCalls()
	measureCPU(b, "item", items, func() {
		var page []platform.Row
		if err := json.Unmarshal(data, &page); err != nil {
			b.Fatal(err)
		}
		c.processPage(page)
	})
	if len(c.takeCalls()) > 0 {
		b.Fatal("a known item is read again")
	}
	b.ReportMetric(float64(len(data))/items, "wire-B/item")
}

// runRecovery runs the scans of a core until it is ready.
func runRecovery(c *core) {
	for !c.ready {
		c.tickScan()
		for _, pending := range c.takeCalls() {
			pending.run(context.Background())()
		}
	}
	c.takeCalls()
}

// BenchmarkGroupCommit measures the placement of queued items: one transition
// per item, one transaction for all of them, and the processing of the commit.
func BenchmarkGroupCommit(b *testing.B) {
	for _, group := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("group=%d", group), func(b *testing.B) {
			c, stubs := newBenchmarkCore(32)
			addRunningTasks(c, stubs, 0)
			commits := 0
			var cpuTime time.Duration
			for b.Loop() {
				queueItems(c, group)
				start := procstat.CPUTime()
				for i, id := range sortedIDs(c.queue) {
					c.place(scheduler.Placement{Work: id, Worker: stubs.workers[i%32].Name})
				}
				c.startGroup()
				calls := c.takeCalls()
				calls[len(calls)-1].run(context.Background())()
				cpuTime += procstat.CPUTime() - start
				commits++
				c.takeCalls()
				for _, record := range c.records {
					c.ledger.release(record.item.AttemptID())
				}
				clear(c.records)
			}
			b.ReportMetric(float64(cpuTime)/1000/float64(commits*group), "cpu-us/transition")
			b.ReportMetric(float64(stubs.committedBytes)/float64(commits*group), "wire-B/transition")
		})
	}
}

// firstQueuedNumber is the number of the first queued item. It is above the
// numbers of all running items.
const firstQueuedNumber = 1_000_000

func queueItems(c *core, n int) {
	for i := range n {
		c.addItemFromRow(workRow(benchmarkItem(firstQueuedNumber+i, "")))
	}
}

// BenchmarkSnapshot measures taking the snapshot from which a plan is made.
func BenchmarkSnapshot(b *testing.B) { benchmarkPlan(b, false) }

// BenchmarkSchedule measures a plan by the production policy, including the
// learning from usage reports that it performs once a second.
func BenchmarkSchedule(b *testing.B) { benchmarkPlan(b, true) }

func benchmarkPlan(b *testing.B, schedule bool) {
	for _, workers := range []int{65, 530, 5300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			heapBefore := procstat.LiveHeapBytes()
			c, stubs := newBenchmarkCore(workers)
			addRunningTasks(c, stubs, 16)
			heapPerWorker := (float64(procstat.LiveHeapBytes()) - float64(heapBefore)) / float64(workers)
			queueItems(c, 64)
			p := benchmarkPolicy()
			s := c.snapshot()
			maxPlacements := 0
			measureCPU(b, "worker", workers, func() {
				if !schedule {
					s = c.snapshot()
					return
				}
				s.Now = s.Now.Add(time.Second)
				maxPlacements = max(maxPlacements, len(p.Schedule(s).Placements))
			})
			b.ReportMetric(heapPerWorker, "live-B/worker")
			if schedule && maxPlacements == 0 {
				b.Fatal("nothing was placed")
			}
			runtime.KeepAlive(c)
		})
	}
}

func benchmarkPolicy() *policy.Policy {
	p := policy.New(policy.Settings{})
	teams := map[string]quota.Team{}
	for i := range 160 {
		teams[fmt.Sprintf("team-%03d", i)] = quota.Team{Weight: 1, Limit: structs.Resources{CPUMilli: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 20}}
	}
	p.Configure(policy.Weights{TailLatency: 0.5, BatchThroughput: 0.3, Evictions: 0.2}, teams)
	return p
}
