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
	// instancesPerDomain is the number of entry instances in each domain. With two,
	// the deployment that examples.Society declares has eight instances in its four
	// domains. The co-operative society whose deployment this is runs seven to nine
	// instances in reality.
	instancesPerDomain = 2
	// runnerServiceMS is the time that a runner takes for a request, in
	// milliseconds.
	runnerServiceMS = 15
	// usageLagMS is the age of the resource usage that workers report, in
	// milliseconds.
	usageLagMS = 500
	// anyLoopbackPort is a listen address for which the operating system chooses a
	// free port of the loopback address.
	anyLoopbackPort = "127.0.0.1:0"
)

// entryInstance is an entry instance that runs in this process. An entry instance is
// what a process of `bergamotstile entry` runs: it serves callers and peers, and owns
// shards. It is named after its role on the membership list, structs.RoleEntry.
type entryInstance struct {
	*entry.Instance
	settings *settings.Settings
	stop     context.CancelFunc
	// ended is closed after Run has returned err.
	ended chan struct{}
	err   error
}

// cluster is a deployment whose platform, workers, runners and entry instances all
// run in this process and communicate over the loopback address.
type cluster struct {
	deployment *declaration.Deployment
	clock      clockwork.Clock
	log        *logrus.Logger
	seed       uint64
	platform   *standin.Platform
	// platformAddress is the address at which instances and workers reach the
	// platform.
	platformAddress string
	workers         []*standin.Worker
	runners         []*standin.Runner
	instances       []*entryInstance

	// clusterContext is the context of the workers' goroutines and the parent of the
	// entry instances' contexts. It does not end with the context of the demo.
	clusterContext context.Context
	workerLoops    sync.WaitGroup // goroutines that run Worker.Serve
	closers        []func()       // stop or close what was started; called by stopAll in reverse order
}

// startCluster starts the platform, the workers and runners that the deployment
// declares, and the entry instances. It does not apply the declaration.
func startCluster(ctx context.Context, d *declaration.Deployment, seed uint64, log *logrus.Logger) (*cluster, error) {
	c := &cluster{deployment: d, clock: clockwork.NewRealClock(), log: log, seed: seed}
	clusterContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	c.clusterContext = clusterContext
	c.closers = append(c.closers, stop)
	if err := c.startAll(); err != nil {
		c.stopAll()
		return nil, err
	}
	return c, nil
}

// startAll starts the platform, the workers, the runners and the entry instances. If
// it fails, those that it has started keep running.
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

// startPlatform starts the stand-in of the platform and sets platformAddress.
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

// startWorkers starts the workers that a domain declares.
func (c *cluster) startWorkers(domain declaration.Domain) error {
	capacityByShape := workerCapacities(c.deployment)
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

// startWorker starts a worker and adds it to the membership list.
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
	c.workerLoops.Go(func() { _ = w.Serve(c.clusterContext) })
	m.Address = server.Address()
	c.platform.SetMember(m)
	c.workers = append(c.workers, w)
	return nil
}

// startRunners starts the runners that a service declares and adds them to the
// membership list.
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

// startInstances starts the entry instances of all domains.
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

// startInstance adds an entry instance to the membership list and starts it.
func (c *cluster) startInstance(s *settings.Settings) {
	ctx, stop := context.WithCancel(c.clusterContext)
	e := &entryInstance{Instance: entry.New(s, c.log), settings: s, stop: stop, ended: make(chan struct{})}
	c.platform.SetMember(e.member(structs.MemberLive))
	c.instances = append(c.instances, e)
	go func() {
		defer close(e.ended)
		e.err = e.Run(ctx)
	}()
}

// member returns the instance as a member for the membership list.
func (e *entryInstance) member(state structs.MemberState) structs.Member {
	return structs.Member{
		Name: e.settings.Name, Role: structs.RoleEntry, Domain: e.settings.Domain,
		Address: e.settings.AdvertisedPeerAddress(), State: state,
	}
}

// drain stops instances in the way in which they are stopped before a planned
// replacement: it marks them as leaving on the membership list, requests their stop,
// waits until they have ended and removes them from the list. It returns the errors
// with which they ended.
func (c *cluster) drain(instances ...*entryInstance) error {
	for _, e := range instances {
		c.platform.SetMember(e.member(structs.MemberLeaving))
		e.stop()
	}
	var errs []error
	for _, e := range instances {
		<-e.ended
		c.platform.RemoveMember(e.settings.Name)
		if e.err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", e.settings.Name, e.err))
		}
	}
	return errors.Join(errs...)
}

// stopAll stops the entry instances and waits until they have ended. It then stops the
// servers and clients of runners, workers and the platform, and the workers' goroutines.
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

// freeAddresses returns n loopback addresses with different ports, which are free when
// it returns. The addresses of an instance must be chosen before it listens, because
// they are in its settings and the membership list contains its peer address.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", anyLoopbackPort)
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
