// Package entry wires one entry instance: its adapters, its duties under a
// supervisor tree, its two servers, and the order in which it joins and
// leaves.
package entry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"bergamotstile/callerapi"
	"bergamotstile/configuration"
	"bergamotstile/httpserver"
	"bergamotstile/logging"
	"bergamotstile/membership"
	"bergamotstile/metrics"
	"bergamotstile/peer"
	"bergamotstile/platform/httpapi"
	"bergamotstile/relay"
	"bergamotstile/runnerapi"
	"bergamotstile/settings"
	"bergamotstile/structs"
	"bergamotstile/supervisor"
	"bergamotstile/workerapi"
)

// Instance is one entry instance.
type Instance struct {
	settings *settings.Settings
	log      logrus.FieldLogger
	clock    clockwork.Clock
	metrics  *metrics.Set

	platform *httpapi.Client
	// direct is the platform's table; table also goes through neighbours.
	direct  *tableMonitor
	table   *relay.Table
	peers   *peer.Client
	runners *runnerapi.HTTPClient
	workers *workerapi.HTTPClient

	view   *membership.View
	config *configuration.Store
	// core is nil until there is a configuration.
	core     atomic.Pointer[core]
	draining atomic.Bool
}

// New returns an instance that does nothing until Run.
func New(s *settings.Settings, log logrus.FieldLogger) *Instance {
	clock := clockwork.NewRealClock()
	i := &Instance{
		settings: s,
		log:      log.WithField("instance", s.Name),
		clock:    clock,
		metrics:  metrics.NewSet(),
		platform: httpapi.New(httpapi.Options{Address: s.PlatformAddress}),
		peers:    peer.NewClient(),
		runners:  runnerapi.NewHTTPClient(0),
		workers:  workerapi.NewHTTPClient(),
	}
	i.direct = newTableMonitor(i.platform, clock)
	i.view = membership.New(i.membershipConfig())
	i.table = relay.NewTable(i.direct, i.member(), i.view, i.peers)
	i.config = configuration.New(configuration.Options{
		Name: s.Name, Table: i.table, Objects: i.platform, Peers: i.peers, View: i.view,
		Clock: clock, Poll: s.ConfigPollMS.Duration(), Limits: s.Limits(),
		Log: i.log, Metrics: i.metrics,
	})
	return i
}

// Metrics returns the instance's counters.
func (i *Instance) Metrics() *metrics.Set {
	return i.metrics
}

func (i *Instance) membershipConfig() membership.Config {
	s := i.settings
	return membership.Config{
		Self:          i.member(),
		Incarnation:   uuid.NewString(),
		List:          i.platform,
		Peers:         i.peers,
		Runners:       i.runners,
		Clock:         i.clock,
		Log:           i.log,
		Draining:      i.draining.Load,
		TableUp:       i.direct.Up,
		ConfigVersion: func() uint64 { _, version := i.config.Current(); return version },
		Shards:        i.ownedShards,
		Probe:         func(m structs.Member) bool { return m.Domain == s.Domain },
		ListInterval:  s.MembershipPollMS.Duration(),
		PeerInterval:  s.HeartbeatMS.Duration(),
		ProbeInterval: s.ProbeMS.Duration(),
		SuspectAfter:  s.SuspectMS.Duration(),
		LeavingBound:  s.LeavingBoundMS.Duration(),
	}
}

func (i *Instance) member() structs.Member {
	s := i.settings
	return structs.Member{
		Name: s.Name, Role: structs.RoleEntry, Domain: s.Domain,
		Address: s.Advertised(), State: structs.MemberLive,
	}
}

// Run serves until ctx ends, then drains. It returns an error if the instance
// cannot start, or if its parts keep failing.
func (i *Instance) Run(ctx context.Context) error {
	defer i.closeClients()
	log := logging.Part(i.log, "entry")
	peerListener, callerListener, err := i.listen()
	if err != nil {
		return err
	}
	peerServer, err := httpserver.StartOn(peerListener, peer.NewHandler(&peerService{i}))
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	defer peerServer.Close()
	callerServer, err := httpserver.StartOn(callerListener, i.callerHandler(), "/healthz", "/readyz", "/debug/vars")
	if err != nil {
		return fmt.Errorf("caller address: %w", err)
	}
	defer callerServer.Close()

	// Duties outlive ctx: they go on while the instance drains.
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	tree := i.newTree()
	ended := make(chan error, 1)
	go func() { ended <- tree.Serve(duties) }()
	log.Info("instance serves")

	select {
	case <-ctx.Done():
	case err = <-ended:
	}
	i.drain(context.WithoutCancel(ctx), callerServer, peerServer)
	stopDuties()
	if err == nil {
		err = <-ended
	}
	log.Info("instance stopped")
	return err
}

// listen takes both addresses or none.
func (i *Instance) listen() (peers, callers net.Listener, err error) {
	if peers, err = net.Listen("tcp", i.settings.PeerAddress); err != nil {
		return nil, nil, fmt.Errorf("peer address: %w", err)
	}
	if callers, err = net.Listen("tcp", i.settings.CallerAddress); err != nil {
		_ = peers.Close()
		return nil, nil, fmt.Errorf("caller address: %w", err)
	}
	return peers, callers, nil
}

func (i *Instance) newTree() *supervisor.Tree {
	tree := supervisor.New(i.settings.Name, i.log)
	tree.Add("table monitor", i.direct)
	tree.Add("membership", i.view)
	tree.Add("configuration", i.config)
	tree.Add("core", &coreLoader{instance: i, tree: tree})
	return tree
}

func (i *Instance) callerHandler() callerHandler {
	return callerapi.New(callerapi.Config{
		Requests:          &requests{i},
		Work:              &work{i},
		Declarations:      &declarations{i},
		Catalog:           &catalog{i.config},
		Instance:          &instanceStatus{i},
		Metrics:           i.metrics,
		RequestTimeoutMax: i.settings.RequestTimeoutMaxMS.Duration(),
	})
}

func (i *Instance) closeClients() {
	i.peers.Close()
	i.runners.Close()
	i.workers.Close()
	i.platform.Close()
}
