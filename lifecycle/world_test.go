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

// world is a failure domain in one goroutine: two instances with their
// ownership and cores, three workers, the table and the object store. Every
// call of a core is performed, and its result delivered, when a test says so.
type world struct {
	t         *rapid.T
	clock     *clockwork.FakeClock
	table     *memTable
	objects   *memObjects
	fleet     *fleet
	instances []*instance
	cut       map[string]bool
	goneAt    map[string]time.Time
	// quiet is set while calls are performed without drawn faults.
	quiet  bool
	specs  map[structs.WorkID]structs.WorkSpec
	truth  *truth
	policy Policy
}

type instance struct {
	name    string
	leases  *ownership.Manager
	manager *Manager
	core    *core
	calls   []call
	results []func()
	frozen  bool
	offline bool // cannot reach the table
	stopped bool // between two processes
	writes  int
	// startedAt is when the process read the list of workers first.
	startedAt time.Time
	list      *staleList // the last reading, if the list cannot be read now
}

// staleList is an old reading of the membership list.
type staleList struct {
	goneAt map[string]time.Time
	readAt time.Time
}

var testShard = structs.ShardID{Domain: "d", Index: 0}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, clock: clockwork.NewFakeClockAt(time.Unix(1_000_000, 0)), table: newMemTable(),
		objects: &memObjects{data: map[string][]byte{}, stillborn: map[string]bool{}},
		fleet:   &fleet{workers: map[string]*fakeWorker{}},
		cut:     map[string]bool{}, goneAt: map[string]time.Time{},
		specs:  map[structs.WorkID]structs.WorkSpec{},
		policy: scheduler.FirstFit{},
	}
	w.truth = newTruth(w)
	w.fleet.fault = w.callFault
	for i := range 3 {
		name := fmt.Sprintf("worker-%d", i)
		capacity := structs.Resources{CPUMilli: 4000, MemoryMB: 4096, Accelerators: 2}
		w.fleet.workers[name] = newFakeWorker(w.clock, name, capacity, w.objects, w.truth.record)
	}
	for i := range 2 {
		w.addInstance(fmt.Sprintf("entry-%d", i))
	}
	return w
}

func (w *world) addInstance(name string) {
	in := &instance{name: name}
	w.boot(in)
	w.instances = append(w.instances, in)
}

// boot gives the instance a process that knows nothing yet.
func (w *world) boot(in *instance) {
	table, name := &tableLink{w, in}, in.name
	in.startedAt = w.clock.Now()
	in.leases = ownership.NewManager(
		ownership.Config{Self: structs.Member{Name: name, Address: name, Domain: "d"}},
		ownership.Dependencies{Table: table, Members: w, Peers: w, NewWriteID: in.newWriteID}, w.clock)
	in.manager = NewManager(Config{Domain: "d", Heartbeat: time.Second, CommitMax: 4}, Dependencies{
		Table: table, Objects: w.objects, Workers: w.fleet, View: &viewLink{w: w, in: in}, Leases: in.leases,
		Policy: w, Domains: func() []string { return []string{"d"} }, NewWriteID: in.newWriteID,
	}, w.clock)
}

// stop ends the instance's process as planned: it releases its shard, unless
// the table does not take the release at once. Its calls may arrive later.
func (w *world) stop(in *instance) {
	once, cancel := context.WithCancel(context.Background())
	cancel()
	_ = in.leases.Release(once, func(structs.ShardID) ownership.Handover { return in.handover() })
	if in.core != nil {
		in.core.stepDown()
		in.core = nil
	}
	in.stopped, in.frozen = true, true
}

func (in *instance) handover() ownership.Handover {
	if in.core == nil {
		return ownership.Handover{}
	}
	return ownership.Handover{SinceGrant: in.core.sinceGrant()}
}

// start replaces a stopped process by a new one.
func (w *world) start(in *instance) {
	in.stopped, in.frozen, in.list = false, false, nil
	w.boot(in)
}

func (in *instance) newWriteID() string {
	in.writes++
	return fmt.Sprintf("%s %d", in.name, in.writes)
}

// Schedule lets a test change the policy.
func (w *world) Schedule(s scheduler.Snapshot) scheduler.Plan { return w.policy.Schedule(s) }

// Entries and Listed are the membership view.
func (w *world) Entries(string) []structs.Member {
	var members []structs.Member
	for _, in := range w.instances {
		if in.stopped {
			continue
		}
		members = append(members, structs.Member{Name: in.name, Address: in.name, Domain: "d"})
	}
	return members
}

func (w *world) Listed(domain string) []structs.Member { return w.Entries(domain) }

func (w *world) workersWithout(goneAt map[string]time.Time) []structs.Member {
	var members []structs.Member
	for name, worker := range w.fleet.workers {
		if goneAt[name].IsZero() {
			members = append(members, structs.Member{
				Name: name, Address: name, Domain: "d", State: structs.MemberLive, Capacity: worker.capacity,
			})
		}
	}
	return members
}

func (w *world) WorkerGoneFor(name string) time.Duration {
	if w.goneAt[name].IsZero() {
		return 0
	}
	return w.clock.Now().Sub(w.goneAt[name])
}

// viewLink is one process's view of the workers: it knows of no time before
// its first reading of the list, and none after its last.
type viewLink struct {
	w  *world
	in *instance
}

func (v *viewLink) Workers(string) []structs.Member {
	if v.in.list != nil {
		return v.w.workersWithout(v.in.list.goneAt)
	}
	return v.w.workersWithout(v.w.goneAt)
}

func (v *viewLink) WorkerGoneFor(name string) time.Duration {
	goneAt, readAt := v.w.goneAt[name], v.w.clock.Now()
	if v.in.list != nil {
		goneAt, readAt = v.in.list.goneAt[name], v.in.list.readAt
	}
	if goneAt.IsZero() {
		return 0
	}
	if v.in.startedAt.After(goneAt) {
		goneAt = v.in.startedAt
	}
	return max(readAt.Sub(goneAt), 0)
}

func (w *world) peer(address string) *instance {
	i := slices.IndexFunc(w.instances, func(in *instance) bool { return in.name == address })
	if w.instances[i].frozen {
		return nil
	}
	return w.instances[i]
}

func (w *world) Promise(_ context.Context, address string, m *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	if in := w.peer(address); in != nil {
		answer := in.leases.Promise(*m)
		return &answer, nil
	}
	return nil, peer.ErrUnreachable
}

func (w *world) Probe(_ context.Context, address string, m *peer.ProbeRequest) (*peer.ProbeResponse, error) {
	if in := w.peer(address); in != nil {
		answer := in.leases.Probe(*m)
		return &answer, nil
	}
	return nil, peer.ErrUnreachable
}

// tableLink is one instance's way to the table.
type tableLink struct {
	w  *world
	in *instance
}

func (l *tableLink) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if l.in.offline {
		return nil, platform.ErrUnavailable
	}
	return l.w.table.Read(ctx, keys...)
}

func (l *tableLink) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if l.in.offline {
		return nil, platform.ErrUnavailable
	}
	return l.w.table.Scan(ctx, prefix, after, limit)
}

func (l *tableLink) Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	if l.in.offline {
		return platform.CommitResult{}, platform.ErrUnavailable
	}
	return l.w.table.Commit(ctx, tx)
}

func (w *world) callFault(_, worker string) callFault {
	switch {
	case w.cut[worker]:
		return callCut
	case w.quiet:
		return callFine
	}
	return rapid.SampledFrom([]callFault{callFine, callFine, callFine, callCut, callLostAnswer}).Draw(w.t, "worker call")
}

func (w *world) tableFault(string) tableFault {
	if w.quiet {
		return tableFine
	}
	return rapid.SampledFrom([]tableFault{
		tableFine, tableFine, tableFine, tableFine, tableDown, tableLostAnswer, tableLostCall, tableDelayed,
	}).Draw(w.t, "table call")
}

// follow gives the instance a core for the lease it holds.
func (w *world) follow(in *instance) {
	lease, held := in.leases.Held(testShard)
	if in.core != nil && (in.core.stopped || held && in.core.lease.Epoch != lease.Epoch) {
		in.core.stepDown()
		in.core = nil
	}
	if in.core == nil && held {
		in.core = in.manager.coreFor(lease)
	}
}

// tick lets the instance do what is due; its calls wait.
func (w *world) tick(in *instance) {
	if in.frozen {
		return
	}
	w.follow(in)
	if in.core != nil {
		in.core.tick()
		in.calls = append(in.calls, in.core.takeCalls()...)
	}
}

// perform does the i-th waiting call. A frozen process may have sent it just
// before, so it can arrive late. A heartbeat arrives within its timeout or not
// at all, since nothing in it tells the worker how old it is.
func (w *world) perform(in *instance, i int) {
	one := in.calls[i]
	in.calls = slices.Delete(in.calls, i, i+1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if one.name == "heartbeat" && w.clock.Since(one.queued) > one.timeout {
		cancel()
	}
	w.table.fault = w.tableFault
	in.results = append(in.results, one.run(ctx))
	w.table.fault = nil
}

func (w *world) deliver(in *instance, i int) {
	result := in.results[i]
	in.results = slices.Delete(in.results, i, i+1)
	result()
	if in.core != nil {
		in.calls = append(in.calls, in.core.takeCalls()...)
	}
}

// pump runs an instance without drawn faults until it has nothing to do.
func (w *world) pump(in *instance) {
	if in.frozen {
		return
	}
	was := w.quiet
	w.quiet = true
	defer func() { w.quiet = was }()
	for range 30 {
		w.tick(in)
		if len(in.calls)+len(in.results) == 0 {
			return
		}
		for len(in.calls) > 0 {
			w.perform(in, 0)
		}
		for len(in.results) > 0 {
			w.deliver(in, 0)
		}
	}
}

// halfPump stops a pump after some calls, so that the others arrive late.
func (w *world) halfPump(in *instance, n int) {
	was := w.quiet
	w.quiet = true
	defer func() { w.quiet = was }()
	for ; n > 0 && !in.frozen; n-- {
		w.tick(in)
		if len(in.calls) > 0 {
			w.perform(in, 0)
		}
		for len(in.results) > 0 {
			w.deliver(in, 0)
		}
	}
}

// pass lets time go by with everyone doing their duties.
func (w *world) pass(total, step time.Duration) {
	for ; total > 0; total -= step {
		for _, in := range w.instances {
			if !in.frozen {
				in.leases.Step(context.Background(), testShard)
			}
			w.pump(in)
		}
		w.clock.Advance(step)
	}
}

// owner returns the instance with a core that may commit, or nil.
func (w *world) owner() *instance {
	for _, in := range w.instances {
		if in.core != nil && !in.frozen && in.core.held() {
			return in
		}
	}
	return nil
}
