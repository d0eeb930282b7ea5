// Package entry assembles an entry instance from its components, runs them under a
// supervisor and serves callers and peers. It also defines the order of the steps in
// which the instance starts and drains.
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

// Instance is one entry instance: the process that serves callers and peers.
type Instance struct {
	settings *settings.Settings
	log      logrus.FieldLogger
	clock    clockwork.Clock
	metrics  *metrics.Set

	platform *httpapi.Client
	// directTable calls the table on the platform. relayedTable does the same and,
	// if the table is unavailable, sends the call through another instance of the
	// failure domain.
	directTable  *tableMonitor
	relayedTable *relay.Table
	peers        *peer.Client
	runners      *runnerapi.HTTPClient
	workers      *workerapi.HTTPClient

	view   *membership.View
	config *configuration.Store
	// shardComponents holds nil until shardComponentLoader has found a configuration.
	shardComponents atomic.Pointer[shardComponents]
	draining        atomic.Bool
}

// New returns an instance that is idle until Run is called.
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
	i.directTable = newTableMonitor(i.platform, clock)
	i.view = membership.New(i.membershipConfig())
	i.relayedTable = relay.NewTable(i.directTable, i.selfMember(), i.view, i.peers)
	i.config = configuration.New(configuration.Options{
		Name: s.Name, Table: i.relayedTable, Objects: i.platform, Peers: i.peers, View: i.view,
		Clock: clock, Poll: s.ConfigPollMS.Duration(), Limits: s.Limits(),
		Log: i.log, Metrics: i.metrics,
	})
	return i
}

// Metrics returns the metrics of the instance.
func (i *Instance) Metrics() *metrics.Set {
	return i.metrics
}

func (i *Instance) membershipConfig() membership.Config {
	s := i.settings
	return membership.Config{
		Self:          i.selfMember(),
		Incarnation:   uuid.NewString(),
		List:          i.platform,
		Peers:         i.peers,
		Runners:       i.runners,
		Clock:         i.clock,
		Log:           i.log,
		Draining:      i.draining.Load,
		TableUp:       i.directTable.Up,
		ConfigVersion: func() uint64 { _, version := i.config.Current(); return version },
		Shards:        i.ownedShards,
		ShouldProbe:   func(m structs.Member) bool { return m.Domain == s.Domain },
		ListInterval:  s.MembershipPollMS.Duration(),
		PeerInterval:  s.HeartbeatMS.Duration(),
		ProbeInterval: s.ProbeMS.Duration(),
		SuspectAfter:  s.SuspectMS.Duration(),
		LeavingBound:  s.LeavingBoundMS.Duration(),
	}
}

func (i *Instance) selfMember() structs.Member {
	s := i.settings
	return structs.Member{
		Name: s.Name, Role: structs.RoleEntry, Domain: s.Domain,
		Address: s.AdvertisedPeerAddress(), State: structs.MemberLive,
	}
}

// Run serves until ctx ends, then drains. It returns an error if the instance cannot
// start, or if its supervised components fail too often.
func (i *Instance) Run(ctx context.Context) error {
	defer i.closeClients()
	log := logging.ForComponent(i.log, "entry")
	peerListener, callerListener, err := i.listen()
	if err != nil {
		return err
	}
	account := i.newConnectionAccount()
	peerServer, err := account.StartOn(peerListener, peer.NewHandler(&peerService{i}))
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	defer peerServer.Close()
	callerServer, err := account.StartOn(callerListener, i.newCallerHandler(), "/healthz", "/readyz", "/debug/vars")
	if err != nil {
		return fmt.Errorf("caller address: %w", err)
	}
	defer callerServer.Close()

	// The supervised components outlive ctx: they run until the instance has drained.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	tree := i.newSupervisorTree()
	treeResult := make(chan error, 1)
	go func() { treeResult <- tree.Serve(componentsCtx) }()
	log.Info("instance started")

	select {
	case <-ctx.Done():
	case err = <-treeResult:
	}
	i.drain(context.WithoutCancel(ctx), callerServer, peerServer)
	stopComponents()
	if err == nil {
		err = <-treeResult
	}
	log.Info("instance stopped")
	return err
}

// newConnectionAccount returns the account that the servers of the instance share.
func (i *Instance) newConnectionAccount() *httpserver.Account {
	limits := httpserver.Limits{MemoryBytes: i.settings.MemoryMB << 20, Descriptors: i.settings.MaxDescriptors}
	return httpserver.NewAccount(limits, logging.ForComponent(i.log, "connections"), i.metrics.Count)
}

// listen opens both listeners, or neither if one of them fails.
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

func (i *Instance) newSupervisorTree() *supervisor.Tree {
	tree := supervisor.New(i.settings.Name, i.log)
	tree.Add("table monitor", i.directTable)
	tree.Add("membership", i.view)
	tree.Add("configuration", i.config)
	tree.Add("core", &shardComponentLoader{instance: i, tree: tree})
	return tree
}

func (i *Instance) newCallerHandler() callerHandler {
	return callerapi.New(callerapi.Config{
		Requests:          &requestService{i},
		Work:              &workService{i},
		Declarations:      &declarationService{i},
		Catalog:           &catalog{i.config},
		Instance:          &statusService{i},
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
