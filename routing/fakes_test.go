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
)

// run is one execution in the record of the fake runners, the evidence of what
// ran. The body identifies the logical request.
type run struct {
	runner, dispatch, body string
	begin, end             time.Time
}

// fakeRunners are runners by address. behave decides what a dispatch does.
type fakeRunners struct {
	clock  clockwork.Clock
	mu     sync.Mutex
	runs   []run
	behave func(address string, d runnerapi.Dispatch) (took time.Duration, err error)
}

func (f *fakeRunners) Health(context.Context, string) (runnerapi.Health, error) {
	return runnerapi.Health{}, nil
}

func proven(err error) bool {
	return err == runnerapi.ErrUnreachable || err == runnerapi.ErrBusy || err == runnerapi.ErrLeaving
}

func (f *fakeRunners) Dispatch(ctx context.Context, address string, d runnerapi.Dispatch) ([]byte, error) {
	f.mu.Lock()
	took, err := f.behave(address, d)
	if proven(err) {
		f.mu.Unlock()
		return nil, err
	}
	now := f.clock.Now()
	f.runs = append(f.runs, run{address, d.ID, string(d.Body), now, now.Add(min(took, d.Timeout))})
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if took > 0 {
		select {
		case <-f.clock.After(took):
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %v", runnerapi.ErrTimeout, ctx.Err())
		}
	}
	return answerTo(string(d.Body)), nil
}

func answerTo(body string) []byte { return []byte("answer:" + body) }

func (f *fakeRunners) record() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]run(nil), f.runs...)
}

// cluster is what the fakes of all instances share: the truth about ownership
// and the table, and the network between instances.
type cluster struct {
	t       testing.TB
	clock   clockwork.Clock
	table   *fakeTable
	objects *fakeObjects
	runners *fakeRunners
	nodes   map[string]*node

	mu         sync.Mutex
	owner      string
	epoch      uint64
	until      time.Time // of the owner's lease
	after      time.Time
	members    []structs.Member
	entryNames []string
	domains    []string
	forward    func(to string) error // error before or after the call
	left       map[string]bool
}

// node is one instance, and the fake of everything that its router uses.
type node struct {
	*cluster
	name, domain string
	router       *Router
}

func newCluster(t testing.TB, clock clockwork.Clock, names ...string) *cluster {
	c := &cluster{t: t, clock: clock, nodes: map[string]*node{}, domains: []string{testDomain}, left: map[string]bool{}}
	c.table = newFakeTable()
	c.objects = &fakeObjects{data: map[string][]byte{}}
	c.runners = &fakeRunners{clock: clock, behave: func(string, runnerapi.Dispatch) (time.Duration, error) { return 0, nil }}
	for i := range 3 {
		c.members = append(c.members, structs.Member{Name: fmt.Sprint("runner-", i), Address: fmt.Sprint("runner-", i), Domain: testDomain, Service: testService})
	}
	for _, name := range names {
		c.add(name, testDomain)
	}
	c.own(names[0], time.Hour)
	return c
}

func (c *cluster) add(name, domain string) *node {
	n := &node{cluster: c, name: name, domain: domain}
	n.router = New(Config{
		Instance: name, Domain: domain, Clock: c.clock, Ownership: n, Members: n, Peers: n,
		Topology: n, Runners: c.runners, Table: c.table, Objects: c.objects,
	})
	c.nodes[name] = n
	c.entryNames = append(c.entryNames, name)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.router.Serve(ctx) }()
	c.t.Cleanup(func() { cancel(); <-done })
	return n
}

// own makes an instance the owner of the test domain's only shard.
func (c *cluster) own(name string, lease time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner, c.epoch, c.until = name, c.epoch+1, c.clock.Now().Add(lease)
	c.table.force(epochKey, fmt.Sprint(c.epoch))
}

const epochKey = "epoch/" + testDomain + "/0"

func (n *node) Held(shard structs.ShardID) (Lease, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ok := shard.Domain == testDomain && n.owner == n.name && n.clock.Now().Before(n.until)
	return Lease{Shard: shard, Epoch: n.epoch, Fence: platform.Condition{Key: epochKey, Version: n.table.version(epochKey)}}, ok
}

func (n *node) ServingUntil(shard structs.ShardID) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if shard.Domain != testDomain || n.owner != n.name {
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
	return structs.Member{Name: n.owner, Address: n.owner, Domain: testDomain}, n.owner != "" && shard.Domain == testDomain
}

func (n *node) Fenced(structs.ShardID, uint64) {}

func (n *node) Entries(domain string) []structs.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []structs.Member
	for _, name := range n.entryNames {
		if d := n.nodes[name].domain; d == domain {
			out = append(out, structs.Member{Name: name, Address: name, Domain: d})
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

func (n *node) Domains() []string { return n.domains }
func (n *node) Shards() int       { return 1 }

func (n *node) Forward(ctx context.Context, address string, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	n.mu.Lock()
	var fault error
	if n.forward != nil {
		fault = n.forward(address)
	}
	to := n.nodes[address]
	n.mu.Unlock()
	if fault == peer.ErrUnreachable || to == nil {
		return nil, peer.ErrUnreachable
	}
	answer, err := to.router.Forwarded(ctx, m.Request, m.Hops)
	if fault != nil {
		return nil, fault
	}
	if err != nil {
		return &peer.ForwardResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return &peer.ForwardResponse{Answer: &answer}, nil
}

func request(id, key, body string) structs.Request {
	return structs.Request{ID: id, Service: testService, Kind: "proof", Key: key, Idempotent: true, Timeout: time.Second, Body: []byte(body)}
}
