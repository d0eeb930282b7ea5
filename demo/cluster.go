package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"bergamotstile/declaration"
	"bergamotstile/entry"
	"bergamotstile/platform/httpapi"
	"bergamotstile/settings"
	"bergamotstile/standin"
	"bergamotstile/structs"
)

const (
	// instancesPerDomain gives the Society's four domains eight instances, as
	// they have seven to nine.
	instancesPerDomain = 2
	// runnerServiceMS is the time that a runner takes for a request.
	runnerServiceMS = 15
	// usageLagMS is the age of reported usage.
	usageLagMS = 500
	// anyLoopbackPort lets the system choose a free port on loopback.
	anyLoopbackPort = "127.0.0.1:0"
)

// entryInstance is one entry instance and the address that callers use.
type entryInstance struct {
	*entry.Instance
	settings *settings.Settings
	stop     context.CancelFunc
	// ended is closed when Run has returned err.
	ended chan struct{}
	err   error
}

// cluster is a deployment whose parts share this process and talk over
// loopback.
type cluster struct {
	deployment *declaration.Deployment
	clock      clockwork.Clock
	log        *logrus.Logger
	seed       uint64
	platform   *standin.Platform
	// platformAddress is where instances and workers reach the platform.
	platformAddress string
	workers         []*standin.Worker
	runners         []*standin.Runner
	instances       []*entryInstance

	// countStandIns ends the stand-ins' own goroutines.
	standInContext context.Context
	workerLoops    sync.WaitGroup
	closers        []func()
}

// startCluster brings up all parts. Nothing is declared yet.
func startCluster(ctx context.Context, d *declaration.Deployment, seed uint64, log *logrus.Logger) (*cluster, error) {
	c := &cluster{deployment: d, clock: clockwork.NewRealClock(), log: log, seed: seed}
	standInContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	c.standInContext = standInContext
	c.closers = append(c.closers, stop)
	if err := c.startAll(); err != nil {
		c.stopAll()
		return nil, err
	}
	return c, nil
}

func (c *cluster) startAll() error {
	if err := c.startPlatform(); err != nil {
		return err
	}
	for _, domain := range c.deployment.Domains {
		if err := c.startWorkers(domain); err != nil {
			return err
		}
	}
	for _, service := range c.deployment.Services {
		if err := c.startRunners(service); err != nil {
			return err
		}
	}
	return c.startInstances()
}

func (c *cluster) startPlatform() error {
	c.platform = standin.NewPlatform(c.clock, c.seed)
	server, err := c.platform.Start(anyLoopbackPort)
	if err != nil {
		return err
	}
	c.closers = append(c.closers, server.Close)
	c.platformAddress = server.Address()
	return nil
}

func (c *cluster) startWorkers(domain declaration.Domain) error {
	capacityByShape := capacityByShape(c.deployment)
	index := 0
	for _, group := range domain.Workers {
		for range group.Count {
			m := structs.Member{
				Name: fmt.Sprintf("worker-%s-%d", domain.Name, index), Role: structs.RoleWorker, Domain: domain.Name,
				Rack: fmt.Sprintf("rack-%d", index/max(group.RackSize, 1)), State: structs.MemberLive, Capacity: capacityByShape[group.Shape],
			}
			if err := c.startWorker(m); err != nil {
				return err
			}
			index++
		}
	}
	return nil
}

func (c *cluster) startWorker(m structs.Member) error {
	objectStore := httpapi.New(httpapi.Options{Address: c.platformAddress})
	c.closers = append(c.closers, objectStore.Close)
	w := standin.NewWorker(c.clock, standin.WorkerOptions{
		Name: m.Name, Capacity: m.Capacity, UsageLagMS: usageLagMS, Seed: c.seed, Objects: objectStore,
	})
	server, err := w.Start(anyLoopbackPort)
	if err != nil {
		return err
	}
	c.closers = append(c.closers, server.Close)
	c.workerLoops.Go(func() { _ = w.Serve(c.standInContext) })
	m.Address = server.Address()
	c.platform.SetMember(m)
	c.workers = append(c.workers, w)
	return nil
}

func (c *cluster) startRunners(s declaration.Service) error {
	for _, group := range s.Runners {
		for n := range group.Count {
			name := fmt.Sprintf("runner-%s-%s-%d", s.Name, group.Domain, n)
			r := standin.NewRunner(c.clock, standin.RunnerOptions{Name: name, Slots: s.Slots, ServiceMS: runnerServiceMS, Seed: c.seed})
			server, err := r.Start(anyLoopbackPort)
			if err != nil {
				return err
			}
			c.closers = append(c.closers, server.Close)
			c.platform.SetMember(structs.Member{
				Name: name, Role: structs.RoleRunner, Domain: group.Domain, Address: server.Address(),
				State: structs.MemberLive, Service: s.Name, Slots: s.Slots, Connections: s.Connections,
			})
			c.runners = append(c.runners, r)
		}
	}
	return nil
}

func (c *cluster) startInstances() error {
	var names, domains []string
	for _, domain := range c.deployment.Domains {
		for n := range instancesPerDomain {
			names = append(names, fmt.Sprintf("entry-%s-%d", domain.Name, n))
			domains = append(domains, domain.Name)
		}
	}
	addresses, err := freeAddresses(2 * len(names))
	if err != nil {
		return err
	}
	for i, name := range names {
		instanceSettings := settings.Default()
		instanceSettings.Name, instanceSettings.Domain, instanceSettings.PlatformAddress = name, domains[i], c.platformAddress
		instanceSettings.CallerAddress, instanceSettings.PeerAddress = addresses[2*i], addresses[2*i+1]
		if err := instanceSettings.Check(); err != nil {
			return err
		}
		c.startInstance(instanceSettings)
	}
	return nil
}

func (c *cluster) startInstance(s *settings.Settings) {
	ctx, stop := context.WithCancel(c.standInContext)
	e := &entryInstance{Instance: entry.New(s, c.log), settings: s, stop: stop, ended: make(chan struct{})}
	c.platform.SetMember(e.member(structs.MemberLive))
	c.instances = append(c.instances, e)
	go func() {
		defer close(e.ended)
		e.err = e.Run(ctx)
	}()
}

func (e *entryInstance) member(state structs.MemberState) structs.Member {
	return structs.Member{
		Name: e.settings.Name, Role: structs.RoleEntry, Domain: e.settings.Domain,
		Address: e.settings.Advertised(), State: state,
	}
}

// drain stops instances as a planned replacement does, and waits for them.
func (c *cluster) drain(entries ...*entryInstance) error {
	for _, e := range entries {
		c.platform.SetMember(e.member(structs.MemberLeaving))
		e.stop()
	}
	var errs []error
	for _, e := range entries {
		<-e.ended
		c.platform.RemoveMember(e.settings.Name)
		if e.err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", e.settings.Name, e.err))
		}
	}
	return errors.Join(errs...)
}

// stopAll ends every part that still runs.
func (c *cluster) stopAll() {
	for _, e := range c.instances {
		e.stop()
	}
	for _, e := range c.instances {
		<-e.ended
	}
	for _, closer := range slices.Backward(c.closers) {
		closer()
	}
	c.workerLoops.Wait()
}

// freeAddresses asks the system for ports. Instances need to know theirs
// before they listen, since peers are told them.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", anyLoopbackPort)
		if err != nil {
			return nil, fmt.Errorf("no free port: %w", err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
