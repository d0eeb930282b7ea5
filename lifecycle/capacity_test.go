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

// The benchmarks of this file give the slopes in docs/CAPACITY.md.

// capacityHost is what surrounds a core: a lease that never ends, a fixed
// list of workers, and a table that accepts everything.
type capacityHost struct {
	clock   clockwork.Clock
	workers []structs.Member
	pages   [][]byte // encoded answers to scans
	page    int
	bytes   int
}

func (h *capacityHost) Held(shard structs.ShardID) (ownership.Lease, bool) {
	return ownership.Lease{Shard: shard, Epoch: 1}, true
}
func (h *capacityHost) ServingUntil(structs.ShardID) time.Time     { return h.clock.Now().Add(time.Hour) }
func (h *capacityHost) Fenced(structs.ShardID, uint64)             {}
func (h *capacityHost) Workers(string) []structs.Member            { return h.workers }
func (h *capacityHost) WorkerGoneFor(string) time.Duration         { return 0 }
func (h *capacityHost) Schedule(scheduler.Snapshot) scheduler.Plan { return scheduler.Plan{} }
func (h *capacityHost) Read(context.Context, ...string) ([]platform.Row, error) {
	return nil, nil
}

// Scan decodes the next prepared page, as the adapter does.
func (h *capacityHost) Scan(_ context.Context, prefix, _ string, _ int) ([]platform.Row, error) {
	if h.page >= len(h.pages) || prefix != workPrefix(testShard) {
		return nil, nil
	}
	var rows []platform.Row
	err := json.Unmarshal(h.pages[h.page], &rows)
	h.page++
	return rows, err
}

// Commit encodes the transaction as the adapter does.
func (h *capacityHost) Commit(_ context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	data, err := json.Marshal(tx)
	h.bytes += len(data)
	return platform.CommitResult{Version: 2}, err
}

func newCapacityCore(workers int) (*core, *capacityHost) {
	h := &capacityHost{clock: clockwork.NewFakeClock()}
	for i := range workers {
		name := fmt.Sprintf("worker-ogbomoso-%05d", i)
		h.workers = append(h.workers, structs.Member{Name: name, Role: structs.RoleWorker, Domain: testShard.Domain,
			Rack: fmt.Sprintf("rack-%04d", i/8), Address: "10.11.12.13:20001", State: structs.MemberLive})
	}
	cfg := Config{Domain: testShard.Domain}.withDefaults()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	deps := Dependencies{Log: quiet, Table: h, View: h, Leases: h, Policy: h, NewWriteID: func() string { return "6ba7b810-9dad-11d1-80b4-00c04fd430c8" }}
	return newCore(cfg, deps, h.clock, ownership.Lease{Shard: testShard, Epoch: 1}), h
}

var (
	capacityWorker = structs.Resources{CPUMilli: 64000, MemoryMB: 250000, Accelerators: 2}
	capacityTask   = structs.Resources{CPUMilli: 2000, MemoryMB: 8000}
)

// capacityItem is item n, running on a worker, or queued if there is none.
func capacityItem(n int, worker string) structs.WorkItem {
	team := fmt.Sprintf("team-%03d", n%160)
	spec := structs.WorkSpec{Team: team, Key: fmt.Sprintf("order-%08d", n), Job: fmt.Sprintf("die-render-%d", n%40),
		Kind: structs.KindBatch, Class: structs.ClassNormal, Size: capacityTask, ExpectedRunMS: 60_000,
		MaxRunMS: 600_000, Idempotent: true, Payload: []byte(`{"order":"3e1f0f5a","sheet":17,"pattern":"aso-oke"}`)}
	item := structs.WorkItem{ID: spec.ID(), Shard: testShard, Spec: spec, State: structs.StateQueued,
		OwnerWrite: "6ba7b810-9dad-11d1-80b4-00c04fd430c8"}
	if worker != "" {
		item.State, item.Attempt, item.Worker, item.Epoch = structs.StateRunning, 1, worker, 1
		item.BootID = "1b4e28ba-2fa1-11d2-883f-0016d3cca427"
	}
	return item
}

func rowOf(item structs.WorkItem) platform.Row {
	return platform.Row{Key: workKey(testShard, item.ID), Version: 1, Value: encodeItem(item)}
}

// fill gives each worker some running tasks and makes it reachable.
func fill(c *core, h *capacityHost, tasks int) {
	c.ready = true
	c.syncWorkers()
	for i, m := range h.workers {
		for t := range tasks {
			c.learn(rowOf(capacityItem(i*tasks+t, m.Name)))
		}
		c.onBeat(c.workers[m.Name], report(c, m.Name), nil)
	}
	c.takeCalls()
}

// report is a worker's account of the attempts that are recorded for it.
func report(c *core, worker string) workerapi.HeartbeatResponse {
	resp := workerapi.HeartbeatResponse{BootID: "1b4e28ba-2fa1-11d2-883f-0016d3cca427", UptimeMS: 86_400_000, Capacity: capacityWorker, UsageAgeMS: 900}
	for _, r := range c.recordsOn(worker) {
		resp.Running = append(resp.Running, workerapi.RunningAttempt{Attempt: r.item.AttemptID(), Size: capacityTask, Used: capacityTask, Throttle: 1})
	}
	return resp
}

// measured runs f b.N times and reports processor time per unit of work.
func measured(b *testing.B, unit string, units int, f func()) {
	b.ReportAllocs()
	start := procstat.CPU()
	for b.Loop() {
		f()
	}
	b.ReportMetric(float64(procstat.CPU()-start)/1000/float64(b.N*units), "cpu-us/"+unit)
}

// BenchmarkHeartbeatCore measures the owner's step for one worker's report.
func BenchmarkHeartbeatCore(b *testing.B) {
	for _, tasks := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c, h := newCapacityCore(1)
			fill(c, h, tasks)
			w, resp := c.workers[h.workers[0].Name], report(c, h.workers[0].Name)
			measured(b, "op", 1, func() { c.onBeat(w, resp, nil) })
		})
	}
}

// BenchmarkIdleTick measures a tick that walks over all workers, 40 of which
// run each second. The clock stands still, so the next walk is made due by hand.
func BenchmarkIdleTick(b *testing.B) {
	for _, workers := range []int{65, 530, 5300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c, h := newCapacityCore(workers)
			fill(c, h, 16)
			c.scan.busy, c.planner.busy = true, true
			for _, w := range c.workers {
				w.beating = true
			}
			c.planner.nextView = h.clock.Now().Add(time.Hour)
			measured(b, "op", 1, func() {
				c.nextWalk = time.Time{}
				c.tick()
			})
		})
	}
}

// BenchmarkRecovery measures the reading of a whole shard after a takeover.
func BenchmarkRecovery(b *testing.B) {
	for _, items := range []int{1000, 3000, 10000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			c, h := newCapacityCore(items / 16)
			cfg, deps, lease := c.cfg, c.deps, c.lease
			var rows []platform.Row
			for n := range items {
				rows = append(rows, rowOf(capacityItem(n, h.workers[n%len(h.workers)].Name)))
			}
			wire := 0
			for page := range slices.Chunk(rows, c.cfg.ScanPage) {
				data, _ := json.Marshal(page)
				h.pages = append(h.pages, data)
				wire += len(data)
			}
			c = nil
			before := procstat.LiveHeap()
			measured(b, "item", items, func() {
				c = newCore(cfg, deps, h.clock, lease)
				h.page = 0
				recoverAll(c)
			})
			b.ReportMetric((float64(procstat.LiveHeap())-float64(before))/float64(items), "live-B/item")
			b.ReportMetric(float64(wire)/float64(items), "wire-B/item")
			runtime.KeepAlive(c)
			runtime.KeepAlive(rows)
		})
	}
}

// BenchmarkRescan measures the reading of a page of marker rows whose items
// are known already, as each scan does while they are queued.
func BenchmarkRescan(b *testing.B) {
	const items = 1000
	c, _ := newCapacityCore(1)
	c.ready = true
	queueItems(c, items)
	var rows []platform.Row
	for id := range c.items {
		rows = append(rows, platform.Row{Key: newKey(testShard, id), Version: 1, Value: []byte(`{}`)})
	}
	data, _ := json.Marshal(rows)
	c.takeCalls()
	measured(b, "item", items, func() {
		var page []platform.Row
		if err := json.Unmarshal(data, &page); err != nil {
			b.Fatal(err)
		}
		c.takeInPage(page)
	})
	if len(c.takeCalls()) > 0 {
		b.Fatal("a known item is read again")
	}
	b.ReportMetric(float64(len(data))/items, "wire-B/item")
}

func recoverAll(c *core) {
	for !c.ready {
		c.tickScan()
		for _, one := range c.takeCalls() {
			one.run(context.Background())()
		}
	}
	c.takeCalls()
}

// BenchmarkGroupCommit measures placing queued items: a transition each, one
// transaction for all, and the step after the commit.
func BenchmarkGroupCommit(b *testing.B) {
	for _, group := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("group=%d", group), func(b *testing.B) {
			c, h := newCapacityCore(32)
			fill(c, h, 0)
			sent := 0
			var spent time.Duration
			for b.Loop() {
				queueItems(c, group)
				start := procstat.CPU()
				for i, id := range sortedIDs(c.queue) {
					c.place(scheduler.Placement{Work: id, Worker: h.workers[i%32].Name})
				}
				c.startGroup()
				calls := c.takeCalls()
				calls[len(calls)-1].run(context.Background())()
				spent += procstat.CPU() - start
				sent++
				c.takeCalls()
				for _, r := range c.items {
					c.ledger.release(r.item.AttemptID())
				}
				clear(c.items)
			}
			b.ReportMetric(float64(spent)/1000/float64(sent*group), "cpu-us/transition")
			b.ReportMetric(float64(h.bytes)/float64(sent*group), "wire-B/transition")
		})
	}
}

// queuedFrom keeps the numbers of queued items apart from those of running ones.
const queuedFrom = 1_000_000

func queueItems(c *core, n int) {
	for i := range n {
		c.learn(rowOf(capacityItem(queuedFrom+i, "")))
	}
}

// BenchmarkSnapshot measures the copy that each plan starts from.
func BenchmarkSnapshot(b *testing.B) { benchmarkPlan(b, false) }

// BenchmarkSchedule measures a plan by the real policy, with the learning from
// usage reports that happens once a second.
func BenchmarkSchedule(b *testing.B) { benchmarkPlan(b, true) }

func benchmarkPlan(b *testing.B, schedule bool) {
	for _, workers := range []int{65, 530, 5300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			before := procstat.LiveHeap()
			c, h := newCapacityCore(workers)
			fill(c, h, 16)
			live := (float64(procstat.LiveHeap()) - float64(before)) / float64(workers)
			queueItems(c, 64)
			p := capacityPolicy()
			s := c.snapshot()
			placed := 0
			measured(b, "worker", workers, func() {
				if !schedule {
					s = c.snapshot()
					return
				}
				s.Now = s.Now.Add(time.Second)
				placed = max(placed, len(p.Schedule(s).Placements))
			})
			b.ReportMetric(live, "live-B/worker")
			if schedule && placed == 0 {
				b.Fatal("nothing was placed")
			}
			runtime.KeepAlive(c)
		})
	}
}

func capacityPolicy() *policy.Policy {
	p := policy.New(policy.Settings{})
	teams := map[string]quota.Team{}
	for i := range 160 {
		teams[fmt.Sprintf("team-%03d", i)] = quota.Team{Weight: 1, Limit: structs.Resources{CPUMilli: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 20}}
	}
	p.Configure(policy.Weights{TailLatency: 0.5, BatchThroughput: 0.3, Evictions: 0.2}, teams)
	return p
}
