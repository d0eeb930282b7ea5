package membership

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"bergamotstile/peer"
	"bergamotstile/standin"
	"bergamotstile/structs"
)

var errLinkCut = errors.New("cut off")

// network passes heartbeats between the views of a test. Each direction between two views
// can be cut.
type network struct {
	mu    sync.Mutex
	views map[string]*View
	cut   map[[2]string]bool
}

func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

func (n *network) isOpen(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[[2]string{from, to}]
}

// viewLink is the peer client of one view. If only the way back is cut, the heartbeat
// arrives and its answer is lost.
type viewLink struct {
	from    string
	network *network
}

func (l viewLink) Heartbeat(_ context.Context, address string, m *peer.Heartbeat) (*peer.Heartbeat, error) {
	if !l.network.isOpen(l.from, address) {
		return nil, errLinkCut
	}
	answer := l.network.views[address].HandleHeartbeat(*m)
	if !l.network.isOpen(address, l.from) {
		return nil, errLinkCut
	}
	return &answer, nil
}

func entryMember(name string) structs.Member {
	return structs.Member{Name: name, Role: structs.RoleEntry, Domain: "d", Address: name, State: structs.MemberLive}
}

// viewPair holds two views and the platform, the runners and the network that they use.
type viewPair struct {
	clock    *clockwork.FakeClock
	platform *standin.Platform
	runners  *standin.RunnerClient
	network  *network
	a, b     *View
}

// newViewPair returns the views a and b, whose list contains both instances and the
// runner r0. change, if not nil, modifies the configuration of a.
func newViewPair(change func(a *Config)) *viewPair {
	clock := clockwork.NewFakeClock()
	p := &viewPair{
		clock: clock, platform: standin.NewPlatform(clock, 1), runners: &standin.RunnerClient{},
		network: &network{views: map[string]*View{}, cut: map[[2]string]bool{}},
	}
	log, _ := logtest.NewNullLogger()
	config := func(name string) Config {
		return Config{
			Self: entryMember(name), Incarnation: name + "-1", List: p.platform, Runners: p.runners,
			Peers: viewLink{from: name, network: p.network}, Clock: clock, Log: log,
		}
	}
	a := config("a")
	if change != nil {
		change(&a)
	}
	p.a, p.b = New(a), New(config("b"))
	p.network.views["a"], p.network.views["b"] = p.a, p.b
	p.platform.SetMember(entryMember("a"))
	p.platform.SetMember(entryMember("b"))
	p.platform.SetMember(runnerMember("r0", structs.MemberLive))
	p.runners.Add("r0:1", standin.NewRunner(clock, standin.RunnerOptions{Name: "r0"}))
	return p
}

// round lets both views read the list, exchange heartbeats and probe runners once, and
// moves the clock by DefaultPeerInterval.
func (p *viewPair) round() {
	ctx := context.Background()
	for _, v := range []*View{p.a, p.b} {
		_ = v.Refresh(ctx)
		for _, m := range v.takeDuePeers() {
			_ = v.exchangeHeartbeats(ctx, m)
		}
		for _, m := range v.takeDueRunners() {
			_ = v.probeRunner(ctx, m)
		}
	}
	p.clock.Advance(DefaultPeerInterval)
}

func (p *viewPair) rounds(n int) {
	for range n {
		p.round()
	}
}

// joinNames returns the names of members, separated by spaces.
func joinNames(members []structs.Member) string {
	var out []string
	for _, m := range members {
		out = append(out, m.Name)
	}
	return strings.Join(out, " ")
}

// Guards against requests that are forwarded to a peer whose heartbeats arrive but that
// cannot be reached, or to one that can be reached but whose answers are lost.
func TestOneWayCutMakesAPeerUnreachable(t *testing.T) {
	for _, direction := range [][2]string{{"a", "b"}, {"b", "a"}} {
		p := newViewPair(nil)
		p.rounds(2)
		if got := joinNames(p.a.Entries("d")); got != "a b" {
			t.Fatalf("entries %q before the cut", got)
		}
		p.network.setCut(direction[0], direction[1], true)
		p.rounds(5)
		if p.a.Reachable("b") || joinNames(p.a.Entries("")) != "a" || joinNames(p.a.Listed("d")) != "a b" {
			t.Errorf("cut %v: reachable %v, entries %q, listed %q", direction, p.a.Reachable("b"), joinNames(p.a.Entries("")), joinNames(p.a.Listed("d")))
		}
		p.network.setCut(direction[0], direction[1], false)
		p.rounds(1)
		if !p.a.Reachable("b") {
			t.Errorf("cut %v: unreachable after the cut was removed", direction)
		}
	}
}

// Guards against new work for a draining instance, and against a heartbeat that arrives
// late and resets the draining state.
func TestDrainingPeerIsNotAnEntry(t *testing.T) {
	draining := false
	p := newViewPair(func(a *Config) { a.Draining = func() bool { return draining } })
	p.rounds(2)
	lateHeartbeat := p.a.ownHeartbeat()
	draining = true
	p.rounds(1)
	p.b.HandleHeartbeat(lateHeartbeat)
	if got := joinNames(p.b.Entries("d")); got != "b" {
		t.Errorf("entries %q, want b alone", got)
	}
	if got := joinNames(p.a.Entries("d")); got != "b" {
		t.Errorf("entries of the draining instance %q, want b alone", got)
	}
}

// Guards against a hint that names an owner with a lower epoch, which may be fenced, or an
// instance that is not on the list. Instance a considers itself the owner at epoch 7. Then
// it receives a heartbeat in which b reports that it owns the shard at epoch 8, and one in
// which an instance that is not on the list reports epoch 9. The hint of a must name b. The
// hint of b, which has heard only from a, must name a.
func TestOwnerHintFollowsTheHighestEpoch(t *testing.T) {
	shard := structs.ShardID{Domain: "d"}
	p := newViewPair(func(a *Config) {
		a.Shards = func() []peer.OwnedShard { return []peer.OwnedShard{{Shard: shard, Epoch: 7}} }
	})
	p.rounds(2)
	p.a.HandleHeartbeat(peer.Heartbeat{Name: "b", Shards: []peer.OwnedShard{{Shard: shard, Epoch: 8}}})
	p.a.HandleHeartbeat(peer.Heartbeat{Name: "stranger", Shards: []peer.OwnedShard{{Shard: shard, Epoch: 9}}})
	if m, epoch, ok := p.a.OwnerHint(shard); !ok || m.Name != "b" || epoch != 8 {
		t.Errorf("owner %q at epoch %d, want b at 8", m.Name, epoch)
	}
	if m, epoch, ok := p.b.OwnerHint(shard); !ok || m.Name != "a" || epoch != 7 {
		t.Errorf("owner %q at epoch %d, want a at 7", m.Name, epoch)
	}
}

// Guards against peers that keep reporting a runner as leaving to each other after it was
// replaced: each must report only what it observed itself.
func TestLeavingGossipSpreadsAndExpires(t *testing.T) {
	p := newViewPair(nil)
	p.rounds(2)
	p.a.MarkLeaving("r0")
	p.rounds(1)
	if got := joinNames(p.b.Runners("d", "s")); got != "" {
		t.Fatalf("b uses %q after a observed it leaving", got)
	}
	p.rounds(20)
	if joinNames(p.a.Runners("d", "s")) != "r0" || joinNames(p.b.Runners("d", "s")) != "r0" {
		t.Error("the replaced runner is still not used")
	}
}

// Guards against an instance that stops using runners because the list is unavailable,
// and against one that continues to use a runner that does not answer probes.
func TestProbesKeepRunnersInUseWhileTheListIsDown(t *testing.T) {
	p := newViewPair(nil)
	p.rounds(2)
	p.platform.SetFaults(standin.PlatformFaults{List: standin.ComponentFaults{Down: true}})
	p.rounds(20)
	if got := joinNames(p.a.Runners("d", "s")); got != "r0" {
		t.Fatalf("runners %q during the outage", got)
	}
	p.runners.Add("r0:1", nil)
	p.rounds(6)
	if got := joinNames(p.a.Runners("d", "s")); got != "" {
		t.Errorf("runner %q still used after 3 s without a confirmation", got)
	}
}

// waitFor waits for a condition that other goroutines fulfil, and moves the fake clock
// meanwhile.
func waitFor(t *testing.T, clock *clockwork.FakeClock, condition string, isMet func() bool) {
	t.Helper()
	for range 2000 {
		if isMet() {
			return
		}
		clock.Advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("condition not met: %s", condition)
}

// Guards against a loop that Serve does not run, a hung peer that delays the calls to
// others, and a panic after which members get no calls even though Serve runs again.
func TestServeRunsAllLoopsAndRecoversFromAPanic(t *testing.T) {
	var mu sync.Mutex
	panics := false
	p := newViewPair(func(a *Config) {
		a.ConfigVersion = func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			if panics {
				panic("provider")
			}
			return 3
		}
	})
	p.platform.SetMember(entryMember("hung"))
	p.a.config.Peers = hungPeer{p.a.config.Peers}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served := make(chan error, 1)
	serve := func() { served <- p.a.Serve(ctx) }
	go serve()
	usable := func() bool { return p.a.Reachable("b") && joinNames(p.a.Runners("d", "s")) == "r0" }
	waitFor(t, p.clock, "peer and runner usable", usable)
	mu.Lock()
	panics = true
	mu.Unlock()
	waitFor(t, p.clock, "Serve ends", func() bool { return len(served) == 1 })
	if err := <-served; err == nil || !strings.Contains(err.Error(), "panic") {
		t.Errorf("Serve returned %v, want the panic", err)
	}
	mu.Lock()
	panics = false
	mu.Unlock()
	p.clock.Advance(time.Minute)
	go serve()
	waitFor(t, p.clock, "usable after the restart", usable)
	cancel()
	if err := <-served; !errors.Is(err, context.Canceled) {
		t.Errorf("Serve returned %v after its context ended", err)
	}
}

// hungPeer is a peer client whose calls to the instance named hung get no answer.
type hungPeer struct{ PeerClient }

func (h hungPeer) Heartbeat(ctx context.Context, address string, m *peer.Heartbeat) (*peer.Heartbeat, error) {
	if address == "hung" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return h.PeerClient.Heartbeat(ctx, address, m)
}

// Guards against a log line for each failed read of the list during a long outage.
func TestListOutageIsLoggedOnce(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	p := newViewPair(func(a *Config) { a.Log = log })
	p.platform.SetFaults(standin.PlatformFaults{List: standin.ComponentFaults{Down: true}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = p.a.Serve(ctx) }()
	waitFor(t, p.clock, "outage logged", func() bool { return len(hook.AllEntries()) == 1 })
	for range 50 {
		p.clock.Advance(time.Second)
		time.Sleep(time.Millisecond)
	}
	p.platform.SetFaults(standin.PlatformFaults{})
	waitFor(t, p.clock, "recovery logged", func() bool { return len(hook.AllEntries()) >= 2 })
	levels := []logrus.Level{}
	for _, e := range hook.AllEntries() {
		levels = append(levels, e.Level)
	}
	if !slices.Equal(levels, []logrus.Level{logrus.WarnLevel, logrus.InfoLevel}) {
		t.Errorf("logged %v, want one warning and one recovery", levels)
	}
}
