// Package membership merges the platform's lagging membership list with
// heartbeats between entry instances and health probes of runners. The list
// decides which members exist; heartbeats and probes decide which are usable.
package membership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"bergamotstile/defaults"
	"bergamotstile/logging"
	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/runnerapi"
	"bergamotstile/structs"
)

// Defaults of Config.
const (
	DefaultListInterval  = time.Second
	DefaultPeerInterval  = 500 * time.Millisecond
	DefaultProbeInterval = time.Second
	// DefaultSuspectAfter allows three lost heartbeats.
	DefaultSuspectAfter = 2 * time.Second
	// DefaultLeavingBound is the bound of property P7 and allows two lost
	// probes.
	DefaultLeavingBound = 3 * time.Second
)

// PeerClient exchanges heartbeats with a peer.
type PeerClient interface {
	Heartbeat(ctx context.Context, address string, m *peer.Heartbeat) (*peer.Heartbeat, error)
}

// RunnerClient asks runners for their state.
type RunnerClient interface {
	Health(ctx context.Context, address string) (runnerapi.Health, error)
}

// Config is what a view works with. The provider functions fill heartbeats;
// they may be nil. They are called without any lock of the view.
type Config struct {
	// Self is this instance as the list has it.
	Self structs.Member
	// Incarnation differs between two processes with the same name.
	Incarnation string

	List    platform.MembershipList
	Peers   PeerClient
	Runners RunnerClient
	Clock   clockwork.Clock
	Log     logrus.FieldLogger

	Draining      func() bool
	TableUp       func() bool
	ConfigVersion func() uint64
	Shards        func() []peer.OwnedShard
	// Probe selects the runners that are probed; nil probes all. A runner that
	// is not probed is never confirmed and receives no requests.
	Probe func(structs.Member) bool

	ListInterval  time.Duration
	PeerInterval  time.Duration
	ProbeInterval time.Duration
	SuspectAfter  time.Duration
	LeavingBound  time.Duration
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	c.Log = logging.Part(c.Log, "membership")
	defaults.Set(&c.ListInterval, DefaultListInterval)
	defaults.Set(&c.PeerInterval, DefaultPeerInterval)
	defaults.Set(&c.ProbeInterval, DefaultProbeInterval)
	defaults.Set(&c.SuspectAfter, DefaultSuspectAfter)
	defaults.Set(&c.LeavingBound, DefaultLeavingBound)
	return c
}

// View is the merged membership as this instance sees it. It is safe for
// concurrent use.
type View struct {
	config Config
	clock  clockwork.Clock

	peerKick  chan struct{}
	probeKick chan struct{}

	mu      sync.Mutex
	list    listState
	peers   map[string]*peerState
	runners map[string]*runnerState
}

// New returns a view that has read nothing yet.
func New(config Config) *View {
	config = config.withDefaults()
	return &View{
		config:    config,
		clock:     config.Clock,
		peerKick:  make(chan struct{}, 1),
		probeKick: make(chan struct{}, 1),
		list:      newListState(),
		peers:     map[string]*peerState{},
		runners:   map[string]*runnerState{},
	}
}

// Ready reports whether the list was read at least once.
func (v *View) Ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.read
}

// Entries returns the entry instances of a domain that are live, reachable
// and not draining, this one included; "" selects all domains.
func (v *View) Entries(domain string) []structs.Member {
	draining := v.selfDraining()
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	entries := v.list.members(structs.RoleEntry, domain, func(m structs.Member) bool {
		return m.Name != v.config.Self.Name && m.State == structs.MemberLive && v.usable(m.Name, now)
	})
	if !draining && inDomain(v.config.Self, domain) && !v.list.leaving(v.config.Self.Name) {
		entries = append(entries, v.config.Self)
	}
	slices.SortFunc(entries, byName)
	return entries
}

// Listed returns the entry instances of the last list, whether they are
// reachable or not.
func (v *View) Listed(domain string) []structs.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.members(structs.RoleEntry, domain, nil)
}

// Runners returns the runners of a service that may receive new requests now.
func (v *View) Runners(domain, service string) []structs.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	return v.list.members(structs.RoleRunner, domain, func(m structs.Member) bool {
		return m.Service == service && v.mayReceive(m, now)
	})
}

// Workers returns the workers on the list, leaving ones included.
func (v *View) Workers(domain string) []structs.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.members(structs.RoleWorker, domain, nil)
}

// Worker returns a worker that is on the list.
func (v *View) Worker(name string) (structs.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.list.byName[name]
	return m, ok && m.Role == structs.RoleWorker
}

// WorkerGoneFor returns for how long successful readings have shown that a
// worker is not on the list. Time in which the list cannot be read does not
// count, since nothing is known of it. A list whose lag grows may show a worker
// as gone after it has come back, so an owner must not renew the task leases of
// a worker while this is above zero; then the leases bound its tasks.
func (v *View) WorkerGoneFor(name string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.goneFor(name)
}

// Reachable reports whether a heartbeat that this instance sent was answered
// recently. A peer that is heard but does not answer is not reachable.
func (v *View) Reachable(instance string) bool {
	if instance == v.config.Self.Name {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[instance]
	return p != nil && v.fresh(p.reached, v.clock.Now())
}

// OwnerHint returns the instance that claims a shard with the highest epoch.
func (v *View) OwnerHint(shard structs.ShardID) (structs.Member, uint64, bool) {
	var owner structs.Member
	var epoch uint64
	found := false
	consider := func(m structs.Member, claimed []peer.OwnedShard) {
		for _, s := range claimed {
			if s.Shard == shard && (!found || s.Epoch > epoch) {
				owner, epoch, found = m, s.Epoch, true
			}
		}
	}
	consider(v.config.Self, v.selfShards())
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for _, m := range v.list.members(structs.RoleEntry, "", nil) {
		if p := v.peers[m.Name]; p != nil && v.fresh(p.heard, now) {
			consider(m, p.beat.Shards)
		}
	}
	return owner, epoch, found
}

// fresh reports whether something happened less than the suspicion time ago.
func (v *View) fresh(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) < v.config.SuspectAfter
}

func inDomain(m structs.Member, domain string) bool {
	return domain == "" || m.Domain == domain
}

func byName(a, b structs.Member) int {
	return cmp.Compare(a.Name, b.Name)
}
