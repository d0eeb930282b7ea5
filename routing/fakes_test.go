package routing

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/runnerapi"
	"bergamotstile/structs"
)

const (
	testDomain  = "saki"
	testService = "pathworks"
	epochKey    = "epoch/" + testDomain + "/0"
)

var testShard = structs.ShardID{Domain: testDomain}

// runnerRun is one execution of a request as the fake runners record it when the
// execution starts. end is the expected end, at the latest at the timeout of the
// dispatch. Tests compare the records with the results that callers receive. The
// body identifies the request, which may be dispatched several times.
type runnerRun struct {
	runner, dispatchID, body string
	start, end               time.Time
}

// fakeRunners stands for the runners that all instances dispatch to. respond
// decides how long a dispatch takes and how it fails; it is called with the
// lock held.
type fakeRunners struct {
	mu      sync.Mutex
	runs    []runnerRun
	respond func(address string, d runnerapi.Dispatch) (took time.Duration, err error)
}

func (f *fakeRunners) dispatch(ctx context.Context, address string, dispatch runnerapi.Dispatch) ([]byte, error) {
	f.mu.Lock()
	took, err := f.respond(address, dispatch)
	if err == runnerapi.ErrUnreachable || err == runnerapi.ErrBusy || err == runnerapi.ErrLeaving {
		f.mu.Unlock()
		return nil, err
	}
	now := time.Now()
	f.runs = append(f.runs, runnerRun{address, dispatch.ID, string(dispatch.Body), now, now.Add(min(took, dispatch.Timeout))})
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if !sleep(ctx, clockwork.NewRealClock(), took) {
		return nil, fmt.Errorf("%w: %v", runnerapi.ErrTimeout, ctx.Err())
	}
	return answerTo(string(dispatch.Body)), nil
}

func answerTo(body string) []byte { return []byte("answer:" + body) }

func (f *fakeRunners) setRespond(respond func(string, runnerapi.Dispatch) (time.Duration, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.respond = respond
}

func (f *fakeRunners) recordedRuns() []runnerRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]runnerRun(nil), f.runs...)
}

// cluster holds what the instances share: the table, the object store, the
// runners and the network between the instances. Tests run it in a synctest
// bubble, in which the real clock is virtual.
type cluster struct {
	t         testing.TB
	table     *fakeTable
	objects   *fakeObjects
	runners   *fakeRunners
	instances map[string]*testInstance

	mu      sync.Mutex
	epoch   uint64
	owner   string
	members []structs.Member
	leaving map[string]bool
	// forwardFault returns the fault of a call to a peer. With ErrUnreachable
	// the call is not sent. With errWrongAnswer the call arrives, and the answer
	// to another request comes back. With any other error the call arrives and
	// its answer is lost.
	forwardFault func(to string) error
	// onStep is a hook that is called at each step of an instance. A step is a
	// point in a call to the table or to a runner: "commit" and "committed" are
	// before and after a commit, "dispatch" and "dispatched" are before and after
	// a dispatch, and "read" is before a read of rows by key. The hook may kill
	// the instance.
	onStep func(instance *testInstance, step string)
}

// testInstance is one entry instance: its router and the dependencies of the
// router.
type testInstance struct {
	*cluster
	name, domain string
	router       *Router
	stopServing  context.CancelFunc
	dead         chan struct{} // closed when the instance is killed

	lease         Lease
	leaseUntil    time.Time // until when the instance believes that it holds the lease
	dispatchAfter time.Time
}

// newCluster returns a cluster with three runners and an instance for each
// name. The first instance owns the shard.
func newCluster(t testing.TB, settings Settings, names ...string) *cluster {
	c := &cluster{t: t, instances: map[string]*testInstance{}, leaving: map[string]bool{}}
	c.table = newFakeTable()
	c.objects = &fakeObjects{data: map[string][]byte{}}
	c.runners = &fakeRunners{respond: func(string, runnerapi.Dispatch) (time.Duration, error) { return 10 * time.Millisecond, nil }}
	for i := range 3 {
		name := fmt.Sprint("runner-", i)
		c.members = append(c.members, structs.Member{Name: name, Address: name, Domain: testDomain, Service: testService})
	}
	for _, name := range names {
		c.addInstance(name, testDomain, settings)
	}
	c.makeOwner(names[0], time.Hour, 0)
	return c
}

// addInstance starts an instance in a failure domain.
func (c *cluster) addInstance(name, domain string, settings Settings) *testInstance {
	instance := &testInstance{cluster: c, name: name, domain: domain, dead: make(chan struct{})}
	instance.router = New(Config{
		Instance: name, Domain: domain, Settings: settings, Ownership: instance, Members: instance, Peers: instance,
		Topology: instance, Runners: instanceRunners{instance}, Table: instanceTable{instance}, Objects: c.objects,
	})
	c.instances[name] = instance
	ctx, cancel := context.WithCancel(context.Background())
	instance.stopServing = cancel
	go func() { _ = instance.router.Serve(ctx) }()
	c.t.Cleanup(cancel)
	return instance
}

// makeOwner makes an instance the owner of the test domain's only shard. The
// former owner does not notice.
func (c *cluster) makeOwner(name string, lease, quietPeriod time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch++
	c.owner = name
	c.table.putRow(epochKey, fmt.Sprint(c.epoch))
	instance := c.instances[name]
	instance.leaseUntil, instance.dispatchAfter = time.Now().Add(lease), time.Now().Add(quietPeriod)
	instance.lease = Lease{Shard: testShard, Epoch: c.epoch, Fence: platform.Condition{Key: epochKey, Version: c.table.version(epochKey)}}
}

func (c *cluster) setMembers(members []structs.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
}

func (c *cluster) setForwardFault(fault func(string) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwardFault = fault
}

// reportStep calls the hook onStep, if it is set, for a step of the instance. If
// the instance is dead afterwards, reportStep waits until ctx ends and returns the
// error of ctx, which the call then returns. A call that hangs at the step before
// it has no effect, and one that hangs at the step after it loses its answer.
func (instance *testInstance) reportStep(ctx context.Context, step string) error {
	if instance.onStep != nil {
		instance.onStep(instance, step)
	}
	select {
	case <-instance.dead:
		<-ctx.Done()
		return ctx.Err()
	default:
		return nil
	}
}

// kill stops the instance. Its later commits and dispatches have no effect, and
// its later reads of rows by key get no answer.
func (instance *testInstance) kill() {
	close(instance.dead)
	instance.stopServing()
}

func (instance *testInstance) HeldLease(shard structs.ShardID) (Lease, bool) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.lease, shard == testShard && time.Now().Before(instance.leaseUntil)
}

func (instance *testInstance) ServingUntil(shard structs.ShardID) time.Time {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if shard != testShard {
		return time.Time{}
	}
	return instance.leaseUntil
}

func (instance *testInstance) DispatchAfter(structs.ShardID) time.Time {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.dispatchAfter
}

func (instance *testInstance) Owner(shard structs.ShardID) (structs.Member, bool) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return structs.Member{Name: instance.owner, Address: instance.owner, Domain: testDomain}, instance.owner != "" && shard == testShard
}

func (instance *testInstance) NotifyFenced(_ structs.ShardID, epoch uint64) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if instance.lease.Epoch == epoch {
		instance.leaseUntil = time.Time{}
	}
}

func (instance *testInstance) Entries(domain string) []structs.Member {
	var entries []structs.Member
	for name, other := range instance.instances {
		if other.domain == domain {
			entries = append(entries, structs.Member{Name: name, Address: name, Domain: domain})
		}
	}
	return entries
}

func (instance *testInstance) Runners(domain, service string) []structs.Member {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	var runners []structs.Member
	for _, m := range instance.members {
		if m.Domain == domain && m.Service == service && !instance.leaving[m.Name] {
			runners = append(runners, m)
		}
	}
	return runners
}

func (instance *testInstance) Reachable(string) bool { return true }

func (instance *testInstance) MarkLeaving(runner string) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.leaving[runner] = true
}

func (instance *testInstance) Domains() []string { return []string{testDomain, "iseyin"} }
func (instance *testInstance) Shards() int       { return 1 }

func (instance *testInstance) Forward(ctx context.Context, address string, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	instance.mu.Lock()
	var fault error
	if instance.forwardFault != nil {
		fault = instance.forwardFault(address)
	}
	target := instance.instances[address]
	instance.mu.Unlock()
	if fault == peer.ErrUnreachable {
		return nil, fault
	}
	answer, err := target.router.HandleForwarded(ctx, m.Request, m.Hops)
	if fault == errWrongAnswer {
		answer.RequestID = "another"
		return &peer.ForwardResponse{Answer: &answer}, nil
	}
	if fault != nil {
		return nil, fault
	}
	if err != nil {
		return &peer.ForwardResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return &peer.ForwardResponse{Answer: &answer}, nil
}

// errWrongAnswer makes a forwarded request return the answer to another
// request.
var errWrongAnswer = fmt.Errorf("answer of another request")

// instanceRunners dispatches for one instance. It calls onStep, through
// reportStep, before and after each dispatch. Health does not call it.
type instanceRunners struct{ *testInstance }

func (r instanceRunners) Health(context.Context, string) (runnerapi.HealthReport, error) {
	return runnerapi.HealthReport{}, nil
}

func (r instanceRunners) Dispatch(ctx context.Context, address string, d runnerapi.Dispatch) ([]byte, error) {
	if err := r.reportStep(ctx, "dispatch"); err != nil {
		return nil, err
	}
	body, err := r.runners.dispatch(ctx, address, d)
	if deadErr := r.reportStep(ctx, "dispatched"); deadErr != nil {
		return nil, deadErr
	}
	return body, err
}

// instanceTable calls the table for one instance. It calls onStep, through
// reportStep, before and after each commit and before each Read. Scan does not
// call it.
type instanceTable struct{ *testInstance }

func (t instanceTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := t.reportStep(ctx, "read"); err != nil {
		return nil, err
	}
	return t.table.Read(ctx, keys...)
}

func (t instanceTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	return t.table.Scan(ctx, prefix, after, limit)
}

func (t instanceTable) Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	if err := t.reportStep(ctx, "commit"); err != nil {
		return platform.CommitResult{}, err
	}
	res, err := t.table.Commit(ctx, tx)
	if deadErr := t.reportStep(ctx, "committed"); deadErr != nil {
		return platform.CommitResult{}, deadErr
	}
	return res, err
}

// request returns an idempotent request.
func request(id, key, body string) structs.Request {
	return structs.Request{ID: id, Service: testService, Kind: "proof", Key: key, Domain: testDomain, Idempotent: true, Timeout: time.Second, Body: []byte(body)}
}

// nonIdempotent returns a request that must not run twice.
func nonIdempotent(id, key, body string) structs.Request {
	req := request(id, key, body)
	req.Kind, req.Idempotent = "bill", false
	return req
}
