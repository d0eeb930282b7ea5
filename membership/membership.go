// Package membership combines the platform's membership list, which lags behind, with
// heartbeats between entry instances and health probes of runners. The list determines
// which members exist; heartbeats and probes determine which of them are usable.
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
	// DefaultSuspectAfter tolerates three lost heartbeats.
	DefaultSuspectAfter = 2 * time.Second
	// DefaultLeavingBound is the bound of property P7, the time after which a leaving
	// runner receives no new requests. It tolerates two lost probes.
	DefaultLeavingBound = 3 * time.Second
)

// PeerClient sends a heartbeat to a peer and returns the peer's heartbeat.
type PeerClient interface {
	Heartbeat(ctx context.Context, address string, m *peer.Heartbeat) (*peer.Heartbeat, error)
}

// RunnerClient asks a runner for its health, which includes whether it is leaving.
type RunnerClient interface {
	Health(ctx context.Context, address string) (runnerapi.HealthReport, error)
}

// Config holds the settings and the dependencies of a View. Zero intervals are replaced
// by the defaults.
type Config struct {
	// Self describes this instance as it appears on the platform's list.
	Self structs.Member
	// Incarnation identifies this process; it differs between two processes with the
	// same name.
	Incarnation string

	List    platform.MembershipList
	Peers   PeerClient
	Runners RunnerClient
	Clock   clockwork.Clock
	Log     logrus.FieldLogger

	// Draining, TableUp, ConfigVersion and Shards return the state of this instance, which
	// it sends in heartbeats. Each may be nil. They are called without the view's lock.

	Draining      func() bool
	TableUp       func() bool
	ConfigVersion func() uint64
	Shards        func() []peer.OwnedShard
	// ShouldProbe selects the runners that are probed; nil selects all. A runner that is not
	// probed is never confirmed and receives no requests. ShouldProbe is called with the
	// view's lock held and must not call the view.
	ShouldProbe func(structs.Member) bool

	ListInterval  time.Duration // between two reads of the list
	PeerInterval  time.Duration // between two heartbeats to a peer
	ProbeInterval time.Duration // between two probes of a runner
	// SuspectAfter is the age from which heartbeats no longer count: a peer is unreachable
	// if the last heartbeat that it answered is older, and its own heartbeats are ignored
	// if the last of them is older.
	SuspectAfter time.Duration
	// LeavingBound is the time after its last confirmation at which a runner no longer
	// receives new requests.
	LeavingBound time.Duration
}

// withDefaults returns the configuration with defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	c.Log = logging.ForComponent(c.Log, "membership")
	defaults.Set(&c.ListInterval, DefaultListInterval)
	defaults.Set(&c.PeerInterval, DefaultPeerInterval)
	defaults.Set(&c.ProbeInterval, DefaultProbeInterval)
	defaults.Set(&c.SuspectAfter, DefaultSuspectAfter)
	defaults.Set(&c.LeavingBound, DefaultLeavingBound)
	return c
}

// View is the membership as this instance sees it, combined from the list, heartbeats and
// probes. It is safe for concurrent use.
type View struct {
	config Config
	clock  clockwork.Clock

	peersAdded   chan struct{} // signals that the list has a new peer
	runnersAdded chan struct{} // signals that the list has a new runner

	mu      sync.Mutex
	list    listState
	peers   map[string]*peerState
	runners map[string]*runnerState
}

// New returns a view that has not read the list yet.
func New(config Config) *View {
	config = config.withDefaults()
	return &View{
		config:       config,
		clock:        config.Clock,
		peersAdded:   make(chan struct{}, 1),
		runnersAdded: make(chan struct{}, 1),
		list:         newListState(),
		peers:        map[string]*peerState{},
		runners:      map[string]*runnerState{},
	}
}

// Ready reports whether a reading of the list was accepted at least once.
func (v *View) Ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.hasRead
}

// Entries returns the entry instances of a domain that are live, reachable and not
// draining, including this one, in the order of their names; "" selects all domains.
func (v *View) Entries(domain string) []structs.Member {
	draining := v.selfDraining()
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	entries := v.list.members(structs.RoleEntry, domain, func(m structs.Member) bool {
		return m.Name != v.config.Self.Name && m.State == structs.MemberLive && v.isUsable(m.Name, now)
	})
	if !draining && inDomain(v.config.Self, domain) && !v.list.isLeaving(v.config.Self.Name) {
		entries = append(entries, v.config.Self)
	}
	slices.SortFunc(entries, compareByName)
	return entries
}

// Listed returns the entry instances of a domain that are on the last list, whether they
// are reachable or not.
func (v *View) Listed(domain string) []structs.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.members(structs.RoleEntry, domain, nil)
}

// Runners returns the runners of a service in a domain that may receive new requests
// now.
func (v *View) Runners(domain, service string) []structs.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	return v.list.members(structs.RoleRunner, domain, func(m structs.Member) bool {
		return m.Service == service && v.mayReceiveRequests(m, now)
	})
}

// Workers returns the workers of a domain that are on the list, including leaving ones.
func (v *View) Workers(domain string) []structs.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.members(structs.RoleWorker, domain, nil)
}

// Worker returns the worker with a name, and reports whether it is on the list.
func (v *View) Worker(name string) (structs.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.list.byName[name]
	return m, ok && m.Role == structs.RoleWorker
}

// WorkerUnlistedFor returns the time for which successful readings have shown that a
// worker is not on the list. It is zero if the last reading contained the worker. The time
// since the last successful reading does not count, because the worker may have come back
// since then. A list whose lag grows may still lack a worker that has come back. An owner
// must therefore not renew the task leases of a worker while this time is above zero, so
// that the worker's tasks end with their leases.
func (v *View) WorkerUnlistedFor(name string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.unlistedFor(name)
}

// Reachable reports whether an instance has recently answered a heartbeat of this one. A
// peer whose heartbeats arrive here but that does not answer is not reachable.
func (v *View) Reachable(instance string) bool {
	if instance == v.config.Self.Name {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[instance]
	return p != nil && v.isRecent(p.lastReached, v.clock.Now())
}

// OwnerHint returns the instance that reports that it owns a shard at the highest epoch,
// that epoch, and whether any instance reports that it owns the shard. It considers this
// instance and the listed instances from which a heartbeat arrived within SuspectAfter.
func (v *View) OwnerHint(shard structs.ShardID) (structs.Member, uint64, bool) {
	var owner structs.Member
	var epoch uint64
	found := false
	consider := func(m structs.Member, owned []peer.OwnedShard) {
		for _, s := range owned {
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
		if p := v.peers[m.Name]; p != nil && v.isRecent(p.lastHeard, now) {
			consider(m, p.heartbeat.Shards)
		}
	}
	return owner, epoch, found
}

// isRecent reports whether a time is less than SuspectAfter before now.
func (v *View) isRecent(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) < v.config.SuspectAfter
}

func inDomain(m structs.Member, domain string) bool {
	return domain == "" || m.Domain == domain
}

func compareByName(a, b structs.Member) int {
	return cmp.Compare(a.Name, b.Name)
}
