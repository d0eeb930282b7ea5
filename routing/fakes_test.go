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

// run is one execution in the record of the fake runners, the evidence of what
// ran. The body identifies the logical request.
type run struct {
	runner, dispatch, body string
	begin, end             time.Time
}

// fakeRunners are the runners of all instances. behave decides what a dispatch
// does, and is called with the lock held.
type fakeRunners struct {
	mu     sync.Mutex
	runs   []run
	behave func(address string, d runnerapi.Dispatch) (took time.Duration, err error)
}

func (f *fakeRunners) dispatch(ctx context.Context, address string, d runnerapi.Dispatch) ([]byte, error) {
	f.mu.Lock()
	took, err := f.behave(address, d)
	if err == runnerapi.ErrUnreachable || err == runnerapi.ErrBusy || err == runnerapi.ErrLeaving {
		f.mu.Unlock()
		return nil, err
	}
	now := time.Now()
	f.runs = append(f.runs, run{address, d.ID, string(d.Body), now, now.Add(min(took, d.Timeout))})
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if !sleep(ctx, clockwork.NewRealClock(), took) {
		return nil, fmt.Errorf("%w: %v", runnerapi.ErrTimeout, ctx.Err())
	}
	return answerTo(string(d.Body)), nil
}

func answerTo(body string) []byte { return []byte("answer:" + body) }

func (f *fakeRunners) setBehave(behave func(string, runnerapi.Dispatch) (time.Duration, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behave = behave
}

func (f *fakeRunners) record() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]run(nil), f.runs...)
}

// cluster is what the instances share: table, object store and runners, and
// the network between instances. Tests run it in a synctest bubble, where the
// real clock is virtual.
type cluster struct {
	t       testing.TB
	table   *fakeTable
	objects *fakeObjects
	runners *fakeRunners
	nodes   map[string]*node

	mu      sync.Mutex
	epoch   uint64
	owner   string
	members []structs.Member
	left    map[string]bool
	// forward decides about a call to a peer: an error other than
	// ErrUnreachable loses the answer of a call that arrived.
	forward func(to string) error
	// step is called at each step of an instance; it may kill it.
	step func(n *node, step string)
}

// node is one instance: its router and all that the router uses.
type node struct {
	*cluster
	name, domain string
	router       *Router
	stop         context.CancelFunc
	dead         chan struct{}

	lease Lease // what the instance believes, valid until until
	until time.Time
	after time.Time
}

func newCluster(t testing.TB, settings Settings, names ...string) *cluster {
	c := &cluster{t: t, nodes: map[string]*node{}, left: map[string]bool{}}
	c.table = newFakeTable()
	c.objects = &fakeObjects{data: map[string][]byte{}}
	c.runners = &fakeRunners{behave: func(string, runnerapi.Dispatch) (time.Duration, error) { return 10 * time.Millisecond, nil }}
	for i := range 3 {
		name := fmt.Sprint("runner-", i)
		c.members = append(c.members, structs.Member{Name: name, Address: name, Domain: testDomain, Service: testService})
	}
	for _, name := range names {
		c.add(name, testDomain, settings)
	}
	c.own(names[0], time.Hour, 0)
	return c
}

func (c *cluster) add(name, domain string, settings Settings) *node {
	n := &node{cluster: c, name: name, domain: domain, dead: make(chan struct{})}
	n.router = New(Config{
		Instance: name, Domain: domain, Settings: settings, Ownership: n, Members: n, Peers: n,
		Topology: n, Runners: nodeRunners{n}, Table: nodeTable{n}, Objects: c.objects,
	})
	c.nodes[name] = n
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { _ = n.router.Serve(ctx) }()
	c.t.Cleanup(cancel)
	return n
}

// own makes an instance the owner of the test domain's only shard. What the
// former owner believes is left as it is.
func (c *cluster) own(name string, lease, quiet time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch++
	c.owner = name
	c.table.force(epochKey, fmt.Sprint(c.epoch))
	n := c.nodes[name]
	n.until, n.after = time.Now().Add(lease), time.Now().Add(quiet)
	n.lease = Lease{Shard: testShard, Epoch: c.epoch, Fence: platform.Condition{Key: epochKey, Version: c.table.version(epochKey)}}
}

func (c *cluster) setMembers(members []structs.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
}

func (c *cluster) setForward(forward func(string) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forward = forward
}

// at passes a step of the instance. A dead instance does nothing more: its
// call hangs until the caller gives up.
func (n *node) at(ctx context.Context, step string) error {
	if n.step != nil {
		n.step(n, step)
	}
	select {
	case <-n.dead:
		<-ctx.Done()
		return ctx.Err()
	default:
		return nil
	}
}

// kill ends the instance: nothing that it does has an effect any more.
func (n *node) kill() {
	close(n.dead)
	n.stop()
}

func (n *node) Held(shard structs.ShardID) (Lease, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lease, shard == testShard && time.Now().Before(n.until)
}

func (n *node) ServingUntil(shard structs.ShardID) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if shard != testShard {
		return time.Time{}
	}
	return n.until
}

func (n *node) DispatchAfter(structs.ShardID) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.after
}

func (n *node) Owner(shard structs.ShardID) (structs.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return structs.Member{Name: n.owner, Address: n.owner, Domain: testDomain}, n.owner != "" && shard == testShard
}

func (n *node) Fenced(_ structs.ShardID, epoch uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lease.Epoch == epoch {
		n.until = time.Time{}
	}
}

func (n *node) Entries(domain string) []structs.Member {
	var out []structs.Member
	for name, other := range n.nodes {
		if other.domain == domain {
			out = append(out, structs.Member{Name: name, Address: name, Domain: domain})
		}
	}
	return out
}

func (n *node) Runners(domain, service string) []structs.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []structs.Member
	for _, m := range n.members {
		if m.Domain == domain && m.Service == service && !n.left[m.Name] {
			out = append(out, m)
		}
	}
	return out
}

func (n *node) Reachable(string) bool { return true }

func (n *node) MarkLeaving(runner string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.left[runner] = true
}

func (n *node) Domains() []string { return []string{testDomain, "iseyin"} }
func (n *node) Shards() int       { return 1 }

func (n *node) Forward(ctx context.Context, address string, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	n.mu.Lock()
	var fault error
	if n.forward != nil {
		fault = n.forward(address)
	}
	to := n.nodes[address]
	n.mu.Unlock()
	if fault == peer.ErrUnreachable {
		return nil, fault
	}
	answer, err := to.router.HandleForwarded(ctx, m.Request, m.Hops)
	if fault == errCrossed {
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

var errCrossed = fmt.Errorf("answer of another request")

type nodeRunners struct{ *node }

func (n nodeRunners) Health(context.Context, string) (runnerapi.Health, error) {
	return runnerapi.Health{}, nil
}

func (n nodeRunners) Dispatch(ctx context.Context, address string, d runnerapi.Dispatch) ([]byte, error) {
	if err := n.at(ctx, "dispatch"); err != nil {
		return nil, err
	}
	body, err := n.runners.dispatch(ctx, address, d)
	if dead := n.at(ctx, "dispatched"); dead != nil {
		return nil, dead
	}
	return body, err
}

type nodeTable struct{ *node }

func (n nodeTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := n.at(ctx, "read"); err != nil {
		return nil, err
	}
	return n.table.Read(ctx, keys...)
}

func (n nodeTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	return n.table.Scan(ctx, prefix, after, limit)
}

func (n nodeTable) Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	if err := n.at(ctx, "commit"); err != nil {
		return platform.CommitResult{}, err
	}
	res, err := n.table.Commit(ctx, tx)
	if dead := n.at(ctx, "committed"); dead != nil {
		return platform.CommitResult{}, dead
	}
	return res, err
}

func request(id, key, body string) structs.Request {
	return structs.Request{ID: id, Service: testService, Kind: "proof", Key: key, Domain: testDomain, Idempotent: true, Timeout: time.Second, Body: []byte(body)}
}

func billed(id, key, body string) structs.Request {
	req := request(id, key, body)
	req.Kind, req.Idempotent = "bill", false
	return req
}
