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

var errCut = errors.New("cut off")

// network passes heartbeats between the views of one process and can cut
// single directions.
type network struct {
	mu    sync.Mutex
	views map[string]*View
	cut   map[[2]string]bool
}

func (n *network) set(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

func (n *network) passes(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[[2]string{from, to}]
}

// link is one view's client. A cut on the way back loses only the answer.
type link struct {
	from string
	net  *network
}

func (l link) Heartbeat(_ context.Context, address string, m *peer.Heartbeat) (*peer.Heartbeat, error) {
	if !l.net.passes(l.from, address) {
		return nil, errCut
	}
	answer := l.net.views[address].Observe(*m)
	if !l.net.passes(address, l.from) {
		return nil, errCut
	}
	return &answer, nil
}

func entryMember(name string) structs.Member {
	return structs.Member{Name: name, Role: structs.RoleEntry, Domain: "d", Address: name, State: structs.MemberLive}
}

type pair struct {
	clock    *clockwork.FakeClock
	platform *standin.Platform
	runners  *standin.RunnerClient
	net      *network
	a, b     *View
}

// newPair returns two views, a and b, that see each other and runner r0.
func newPair(change func(a *Config)) *pair {
	clock := clockwork.NewFakeClock()
	p := &pair{
		clock: clock, platform: standin.NewPlatform(clock, 1), runners: &standin.RunnerClient{},
		net: &network{views: map[string]*View{}, cut: map[[2]string]bool{}},
	}
	log, _ := logtest.NewNullLogger()
	config := func(name string) Config {
		return Config{
			Self: entryMember(name), Incarnation: name + "-1", List: p.platform, Runners: p.runners,
			Peers: link{from: name, net: p.net}, Clock: clock, Log: log,
		}
	}
	a := config("a")
	if change != nil {
		change(&a)
	}
	p.a, p.b = New(a), New(config("b"))
	p.net.views["a"], p.net.views["b"] = p.a, p.b
	p.platform.SetMember(entryMember("a"))
	p.platform.SetMember(entryMember("b"))
	p.platform.SetMember(runnerMember("r0", structs.MemberLive))
	p.runners.Add("r0:1", standin.NewRunner(clock, standin.RunnerOptions{Name: "r0"}))
	return p
}

// round polls, exchanges and probes once on both views.
func (p *pair) round() {
	ctx := context.Background()
	for _, v := range []*View{p.a, p.b} {
		_ = v.Refresh(ctx)
		for _, m := range v.duePeers() {
			_ = v.exchange(ctx, m)
		}
		for _, m := range v.dueRunners() {
			_ = v.probe(ctx, m)
		}
	}
	p.clock.Advance(DefaultPeerInterval)
}

func (p *pair) rounds(n int) {
	for range n {
		p.round()
	}
}

func names(members []structs.Member) string {
	var out []string
	for _, m := range members {
		out = append(out, m.Name)
	}
	return strings.Join(out, " ")
}

// Guards against forwarding to a peer that is heard but cannot be reached, or
// that reaches us but whose answers are lost.
func TestOneWayCutMakesPeerUnreachable(t *testing.T) {
	for _, way := range [][2]string{{"a", "b"}, {"b", "a"}} {
		p := newPair(nil)
		p.rounds(2)
		if got := names(p.a.Entries("d")); got != "a b" {
			t.Fatalf("entries %q before the cut", got)
		}
		p.net.set(way[0], way[1], true)
		p.rounds(5)
		if p.a.Reachable("b") || names(p.a.Entries("")) != "a" || names(p.a.Listed("d")) != "a b" {
			t.Errorf("cut %v: reachable %v, entries %q, listed %q", way, p.a.Reachable("b"), names(p.a.Entries("")), names(p.a.Listed("d")))
		}
		p.net.set(way[0], way[1], false)
		p.rounds(1)
		if !p.a.Reachable("b") {
			t.Errorf("cut %v: unreachable after the cut healed", way)
		}
	}
}

// Guards against new work for an instance that drains, and against a late
// heartbeat that undoes the news.
func TestDrainingPeerIsNoEntry(t *testing.T) {
	draining := false
	p := newPair(func(a *Config) { a.Draining = func() bool { return draining } })
	p.rounds(2)
	late := p.a.heartbeat()
	draining = true
	p.rounds(1)
	p.b.Observe(late)
	if got := names(p.b.Entries("d")); got != "b" {
		t.Errorf("entries %q, want b alone", got)
	}
	if got := names(p.a.Entries("d")); got != "b" {
		t.Errorf("entries of the draining instance %q, want b alone", got)
	}
}

// Guards against requests sent to a fenced owner because its older claim was
// heard last, and against heartbeats from outside the list.
func TestOwnerHintFollowsTheHighestEpoch(t *testing.T) {
	shard := structs.ShardID{Domain: "d"}
	p := newPair(func(a *Config) {
		a.Shards = func() []peer.OwnedShard { return []peer.OwnedShard{{Shard: shard, Epoch: 7}} }
	})
	p.rounds(2)
	p.a.Observe(peer.Heartbeat{Name: "b", Shards: []peer.OwnedShard{{Shard: shard, Epoch: 8}}})
	p.a.Observe(peer.Heartbeat{Name: "stranger", Shards: []peer.OwnedShard{{Shard: shard, Epoch: 9}}})
	if m, epoch, ok := p.a.OwnerHint(shard); !ok || m.Name != "b" || epoch != 8 {
		t.Errorf("owner %q at epoch %d, want b at 8", m.Name, epoch)
	}
	if m, epoch, ok := p.b.OwnerHint(shard); !ok || m.Name != "a" || epoch != 7 {
		t.Errorf("owner %q at epoch %d, want a at 7", m.Name, epoch)
	}
}

// Guards against peers that keep telling each other that a runner leaves after
// it was replaced: each must repeat only what it saw itself.
func TestGossipOfLeavingSpreadsAndEnds(t *testing.T) {
	p := newPair(nil)
	p.rounds(2)
	p.a.MarkLeaving("r0")
	p.rounds(1)
	if got := names(p.b.Runners("d", "s")); got != "" {
		t.Fatalf("b uses %q after a saw it leave", got)
	}
	p.rounds(20)
	if names(p.a.Runners("d", "s")) != "r0" || names(p.b.Runners("d", "s")) != "r0" {
		t.Error("the replaced runner is still kept out")
	}
}

// Guards against an instance that stops serving because the list is down, and
// against one that goes on with a runner that answers nothing.
func TestRunnersGoOnByProbesWhileTheListIsDown(t *testing.T) {
	p := newPair(nil)
	p.rounds(2)
	p.platform.SetFaults(standin.PlatformFaults{List: standin.ComponentFaults{Down: true}})
	p.rounds(20)
	if got := names(p.a.Runners("d", "s")); got != "r0" {
		t.Fatalf("runners %q during the outage", got)
	}
	p.runners.Add("r0:1", nil)
	p.rounds(6)
	if got := names(p.a.Runners("d", "s")); got != "" {
		t.Errorf("runner %q still used after 3 s without a confirmation", got)
	}
}

// eventually waits for a condition that other goroutines bring about while
// the fake clock moves.
func eventually(t *testing.T, clock *clockwork.FakeClock, what string, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		clock.Advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("never happened: %s", what)
}

// Guards against a duty that Serve does not run, a hung peer that holds up the
// others, and a panic that leaves members without calls for ever.
func TestServeRunsAllDutiesAndSurvivesAPanic(t *testing.T) {
	var mu sync.Mutex
	panics := false
	p := newPair(func(a *Config) {
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
	usable := func() bool { return p.a.Reachable("b") && names(p.a.Runners("d", "s")) == "r0" }
	eventually(t, p.clock, "peer and runner usable", usable)
	mu.Lock()
	panics = true
	mu.Unlock()
	eventually(t, p.clock, "Serve ends", func() bool { return len(served) == 1 })
	if err := <-served; err == nil || !strings.Contains(err.Error(), "panic") {
		t.Errorf("Serve returned %v, want the panic", err)
	}
	mu.Lock()
	panics = false
	mu.Unlock()
	p.clock.Advance(time.Minute)
	go serve()
	eventually(t, p.clock, "usable after the restart", usable)
	cancel()
	if err := <-served; !errors.Is(err, context.Canceled) {
		t.Errorf("Serve returned %v after its context ended", err)
	}
}

// hungPeer never answers for the member named hung.
type hungPeer struct{ PeerClient }

func (h hungPeer) Heartbeat(ctx context.Context, address string, m *peer.Heartbeat) (*peer.Heartbeat, error) {
	if address == "hung" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return h.PeerClient.Heartbeat(ctx, address, m)
}

// Guards against a log line for each failed poll of a long outage.
func TestOutageOfTheListIsLoggedOnce(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	p := newPair(func(a *Config) { a.Log = log })
	p.platform.SetFaults(standin.PlatformFaults{List: standin.ComponentFaults{Down: true}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = p.a.Serve(ctx) }()
	eventually(t, p.clock, "outage logged", func() bool { return len(hook.AllEntries()) == 1 })
	for range 50 {
		p.clock.Advance(time.Second)
		time.Sleep(time.Millisecond)
	}
	p.platform.SetFaults(standin.PlatformFaults{})
	eventually(t, p.clock, "recovery logged", func() bool { return len(hook.AllEntries()) >= 2 })
	levels := []logrus.Level{}
	for _, e := range hook.AllEntries() {
		levels = append(levels, e.Level)
	}
	if !slices.Equal(levels, []logrus.Level{logrus.WarnLevel, logrus.InfoLevel}) {
		t.Errorf("logged %v, want one warning and one recovery", levels)
	}
}
