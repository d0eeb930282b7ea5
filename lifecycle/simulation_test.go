package lifecycle

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"bergamotstile/ownership"
	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// simulation is a failure domain that runs on one goroutine. It has two
// instances with their ownership managers and cores, three workers, a table and
// an object store. The test decides when each call of a core is performed and
// when its result is delivered.
type simulation struct {
	t            *rapid.T
	clock        *clockwork.FakeClock
	table        *memTable
	objects      *memObjects
	workerClient *fakeWorkerClient
	instances    []*fakeInstance
	unreachable  map[string]bool      // workers that no call reaches
	unlistedAt   map[string]time.Time // when a worker left the list; zero if it is listed
	// faultsOff is set while calls are performed without randomly drawn faults.
	faultsOff bool
	specs     map[structs.WorkID]structs.WorkSpec
	checker   *historyChecker
	policy    Policy
}

// fakeInstance is one instance and its current process.
type fakeInstance struct {
	name             string
	leases           *ownership.Manager
	manager          *Manager
	core             *core
	calls            []call
	results          []func()
	frozen           bool // the process is paused
	tableUnreachable bool
	stopped          bool // no process runs
	writeCount       int
	// startedAt is when the process first read the list of workers.
	startedAt time.Time
	// staleList is the last list that the process read, if it cannot read the
	// list now, or nil.
	staleList *workerListCopy
}

// workerListCopy is the state of the membership list at an earlier time.
type workerListCopy struct {
	unlistedAt map[string]time.Time
	readAt     time.Time
}

var testShard = structs.ShardID{Domain: "d", Index: 0}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, clock: clockwork.NewFakeClockAt(time.Unix(1_000_000, 0)), table: newMemTable(),
		objects:      &memObjects{data: map[string][]byte{}, lostWrites: map[string]bool{}},
		workerClient: &fakeWorkerClient{workers: map[string]*fakeWorker{}},
		unreachable:  map[string]bool{}, unlistedAt: map[string]time.Time{},
		specs:  map[structs.WorkID]structs.WorkSpec{},
		policy: scheduler.FirstFit{},
	}
	sim.checker = newHistoryChecker(sim)
	sim.workerClient.injectFault = sim.drawCallFault
	for i := range 3 {
		name := fmt.Sprintf("worker-%d", i)
		capacity := structs.Resources{CPUMilli: 4000, MemoryMB: 4096, Accelerators: 2}
		sim.workerClient.workers[name] = newFakeWorker(sim.clock, name, capacity, sim.objects, sim.checker.recordEvent)
	}
	for i := range 2 {
		sim.addInstance(fmt.Sprintf("entry-%d", i))
	}
	return sim
}

func (sim *simulation) addInstance(name string) {
	inst := &fakeInstance{name: name}
	sim.startProcess(inst)
	sim.instances = append(sim.instances, inst)
}

// startProcess gives the instance a new process without any state.
func (sim *simulation) startProcess(inst *fakeInstance) {
	table, name := &instanceTable{sim, inst}, inst.name
	inst.startedAt = sim.clock.Now()
	inst.leases = ownership.NewManager(
		ownership.Config{Self: structs.Member{Name: name, Address: name, Domain: "d"}},
		ownership.Dependencies{Table: table, Members: sim, Peers: sim, NewWriteID: inst.newWriteID}, sim.clock)
	inst.manager = NewManager(Config{Domain: "d", Heartbeat: time.Second, CommitMax: 4}, Dependencies{
		Table: table, Objects: sim.objects, Workers: sim.workerClient, View: &instanceWorkerView{sim: sim, inst: inst}, Leases: inst.leases,
		Policy: sim, Domains: func() []string { return []string{"d"} }, NewWriteID: inst.newWriteID,
	}, sim.clock)
}

// releaseAndStop performs a planned stop of the instance's process, which tries
// once to release its shard. Calls that the process has requested can still be
// performed later.
func (sim *simulation) releaseAndStop(inst *fakeInstance) {
	cancelledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = inst.leases.Release(cancelledCtx, func(structs.ShardID) ownership.Handover { return inst.handover() })
	if inst.core != nil {
		inst.core.stepDown()
		inst.core = nil
	}
	inst.stopped, inst.frozen = true, true
}

func (inst *fakeInstance) handover() ownership.Handover {
	if inst.core == nil {
		return ownership.Handover{}
	}
	return ownership.Handover{SinceGrant: inst.core.grantAges()}
}

// restart starts a new process of a stopped instance.
func (sim *simulation) restart(inst *fakeInstance) {
	inst.stopped, inst.frozen, inst.staleList = false, false, nil
	sim.startProcess(inst)
}

func (inst *fakeInstance) newWriteID() string {
	inst.writeCount++
	return fmt.Sprintf("%s %d", inst.name, inst.writeCount)
}

// Schedule delegates to the current policy, so that a test can change it.
func (sim *simulation) Schedule(s scheduler.Snapshot) scheduler.Plan { return sim.policy.Schedule(s) }

// Entries and Listed return the instances that run a process. They make up the
// membership view of the ownership managers.
func (sim *simulation) Entries(string) []structs.Member {
	var members []structs.Member
	for _, inst := range sim.instances {
		if inst.stopped {
			continue
		}
		members = append(members, structs.Member{Name: inst.name, Address: inst.name, Domain: "d"})
	}
	return members
}

func (sim *simulation) Listed(domain string) []structs.Member { return sim.Entries(domain) }

// listedWorkers returns the workers for which unlistedAt holds no time.
func (sim *simulation) listedWorkers(unlistedAt map[string]time.Time) []structs.Member {
	var members []structs.Member
	for name, worker := range sim.workerClient.workers {
		if unlistedAt[name].IsZero() {
			members = append(members, structs.Member{
				Name: name, Address: name, Domain: "d", State: structs.MemberLive, Capacity: worker.capacity,
			})
		}
	}
	return members
}

// WorkerUnlistedFor returns for how long a worker has really been off the list,
// whatever the instances have read.
func (sim *simulation) WorkerUnlistedFor(name string) time.Duration {
	if sim.unlistedAt[name].IsZero() {
		return 0
	}
	return sim.clock.Now().Sub(sim.unlistedAt[name])
}

// instanceWorkerView is the view of the workers that one process has. It covers
// only the time between the first and the last read of the list by that
// process.
type instanceWorkerView struct {
	sim  *simulation
	inst *fakeInstance
}

func (v *instanceWorkerView) Workers(string) []structs.Member {
	if v.inst.staleList != nil {
		return v.sim.listedWorkers(v.inst.staleList.unlistedAt)
	}
	return v.sim.listedWorkers(v.sim.unlistedAt)
}

func (v *instanceWorkerView) WorkerUnlistedFor(name string) time.Duration {
	unlistedAt, readAt := v.sim.unlistedAt[name], v.sim.clock.Now()
	if v.inst.staleList != nil {
		unlistedAt, readAt = v.inst.staleList.unlistedAt[name], v.inst.staleList.readAt
	}
	if unlistedAt.IsZero() {
		return 0
	}
	if v.inst.startedAt.After(unlistedAt) {
		unlistedAt = v.inst.startedAt
	}
	return max(readAt.Sub(unlistedAt), 0)
}

// reachablePeer returns the instance with the given address, or nil if it is
// frozen.
func (sim *simulation) reachablePeer(address string) *fakeInstance {
	i := slices.IndexFunc(sim.instances, func(inst *fakeInstance) bool { return inst.name == address })
	if sim.instances[i].frozen {
		return nil
	}
	return sim.instances[i]
}

func (sim *simulation) Promise(_ context.Context, address string, req *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	if inst := sim.reachablePeer(address); inst != nil {
		answer := inst.leases.Promise(*req)
		return &answer, nil
	}
	return nil, peer.ErrUnreachable
}

func (sim *simulation) Probe(_ context.Context, address string, req *peer.ProbeRequest) (*peer.ProbeResponse, error) {
	if inst := sim.reachablePeer(address); inst != nil {
		answer := inst.leases.Probe(*req)
		return &answer, nil
	}
	return nil, peer.ErrUnreachable
}

// instanceTable is the table as one instance reaches it.
type instanceTable struct {
	sim  *simulation
	inst *fakeInstance
}

func (t *instanceTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if t.inst.tableUnreachable {
		return nil, platform.ErrUnavailable
	}
	return t.sim.table.Read(ctx, keys...)
}

func (t *instanceTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if t.inst.tableUnreachable {
		return nil, platform.ErrUnavailable
	}
	return t.sim.table.Scan(ctx, prefix, after, limit)
}

func (t *instanceTable) Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	if t.inst.tableUnreachable {
		return platform.CommitResult{}, platform.ErrUnavailable
	}
	return t.sim.table.Commit(ctx, tx)
}

func (sim *simulation) drawCallFault(_, worker string) callFault {
	switch {
	case sim.unreachable[worker]:
		return callUndelivered
	case sim.faultsOff:
		return callOK
	}
	return rapid.SampledFrom([]callFault{callOK, callOK, callOK, callUndelivered, callAnswerLost}).Draw(sim.t, "worker call")
}

func (sim *simulation) drawTableFault(string) tableFault {
	if sim.faultsOff {
		return tableOK
	}
	return rapid.SampledFrom([]tableFault{
		tableOK, tableOK, tableOK, tableOK, tableUnavailable, tableAnswerLost, tableCallLost, tableWriteDelayed,
	}).Draw(sim.t, "table call")
}

// updateCore gives the instance a core for the lease that it holds, as
// Manager.updateDriver does.
func (sim *simulation) updateCore(inst *fakeInstance) {
	lease, held := inst.leases.HeldLease(testShard)
	if inst.core != nil && (inst.core.stopped || held && inst.core.lease.Epoch != lease.Epoch) {
		inst.core.stepDown()
		inst.core = nil
	}
	if inst.core == nil && held {
		inst.core = inst.manager.newCoreForLease(lease)
	}
}

// tick runs a tick of the instance's core and collects the calls that the core
// requests.
func (sim *simulation) tick(inst *fakeInstance) {
	if inst.frozen {
		return
	}
	sim.updateCore(inst)
	if inst.core != nil {
		inst.core.tick()
		inst.calls = append(inst.calls, inst.core.takeCalls()...)
	}
}

// performCall performs the i-th collected call. The instance may be frozen,
// which stands for a call that was sent just before the pause and arrives late.
// A heartbeat has no effect after its timeout, because the worker cannot derive
// the age of a heartbeat from its content.
func (sim *simulation) performCall(inst *fakeInstance, i int) {
	pending := inst.calls[i]
	inst.calls = slices.Delete(inst.calls, i, i+1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if pending.name == "heartbeat" && sim.clock.Since(pending.queuedAt) > pending.timeout {
		cancel()
	}
	sim.table.injectFault = sim.drawTableFault
	inst.results = append(inst.results, pending.run(ctx))
	sim.table.injectFault = nil
}

// deliverResult passes the i-th result to the core and collects the calls that
// the core requests.
func (sim *simulation) deliverResult(inst *fakeInstance, i int) {
	result := inst.results[i]
	inst.results = slices.Delete(inst.results, i, i+1)
	result()
	if inst.core != nil {
		inst.calls = append(inst.calls, inst.core.takeCalls()...)
	}
}

// runUntilIdle ticks an instance and performs all of its calls without faults,
// until it requests no more calls or after 30 rounds.
func (sim *simulation) runUntilIdle(inst *fakeInstance) {
	if inst.frozen {
		return
	}
	previouslyOff := sim.faultsOff
	sim.faultsOff = true
	defer func() { sim.faultsOff = previouslyOff }()
	for range 30 {
		sim.tick(inst)
		if len(inst.calls)+len(inst.results) == 0 {
			return
		}
		for len(inst.calls) > 0 {
			sim.performCall(inst, 0)
		}
		for len(inst.results) > 0 {
			sim.deliverResult(inst, 0)
		}
	}
}

// performSomeCalls runs n rounds of an instance without faults, with at most
// one call in each, so that the remaining calls are performed late.
func (sim *simulation) performSomeCalls(inst *fakeInstance, n int) {
	previouslyOff := sim.faultsOff
	sim.faultsOff = true
	defer func() { sim.faultsOff = previouslyOff }()
	for ; n > 0 && !inst.frozen; n-- {
		sim.tick(inst)
		if len(inst.calls) > 0 {
			sim.performCall(inst, 0)
		}
		for len(inst.results) > 0 {
			sim.deliverResult(inst, 0)
		}
	}
}

// runFor advances the clock by total in steps. Before each step, all instances
// that are not frozen renew their leases and run until they are idle.
func (sim *simulation) runFor(total, step time.Duration) {
	for ; total > 0; total -= step {
		for _, inst := range sim.instances {
			if !inst.frozen {
				inst.leases.Step(context.Background(), testShard)
			}
			sim.runUntilIdle(inst)
		}
		sim.clock.Advance(step)
	}
}

// committingInstance returns the instance that is not frozen and whose core may
// commit, or nil.
func (sim *simulation) committingInstance() *fakeInstance {
	for _, inst := range sim.instances {
		if inst.core != nil && !inst.frozen && inst.core.canCommit() {
			return inst
		}
	}
	return nil
}
