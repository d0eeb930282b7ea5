package harness

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"bergamotstile/declaration"
	"bergamotstile/standin"
	"bergamotstile/structs"
)

// Options size a deployment.
type Options struct {
	Dir string
	// Domains gives the number of entry instances of each failure domain.
	Domains []DomainSize
	// ServiceMS is the service time of runners.
	ServiceMS int
	// WorkerCPUMilli is the size of each worker.
	WorkerCPUMilli int64
	Seed           uint64
	// DefaultTimings leaves the program's default intervals in place.
	DefaultTimings bool
}

// DomainSize is the number of processes in one failure domain.
type DomainSize struct {
	Name    string
	Entries int
	Workers int
	Runners int
}

// Node is one process with its addresses.
type Node struct {
	*Process
	Domain string
	// Address is the process's own address: a runner's, a worker's, or an
	// entry instance's caller address.
	Address string
	// Link is the proxy in front of the address that others use.
	Link *standin.Proxy
	// Platform is the proxy between an entry instance and the platform.
	Platform *standin.Proxy
	args     []string
}

// Cluster is a running deployment. Only the proxies run in the test's process.
type Cluster struct {
	Options  Options
	Platform *Platform
	Entries  []*Node
	Workers  []*Node
	Runners  []*Node
	closers  []func()
	host     string
	port     int
}

// Timings of the deployments under test, in milliseconds. They keep the
// relations of the defaults and make a takeover last about 2 s.
const (
	LeaseMS          = 1500
	requestTimeoutMS = 800
	leaseMarginMS    = 200
	taskLeaseMS      = 8000
	// LeavingBoundMS bounds how long a leaving runner receives requests.
	LeavingBoundMS = 1500
)

// hosts counts the loopback addresses used by this process.
var hosts atomic.Int32

// nextHost returns a loopback address that no other cluster uses, so that
// fixed ports below the ephemeral range never clash.
func nextHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+hosts.Add(1)%250)
}

// New starts a deployment and applies its declaration. The caller must Close
// it, also after an error.
func New(o Options) (*Cluster, error) {
	c := &Cluster{Options: o, host: nextHost(), port: 20000}
	if err := c.startPlatform(); err != nil {
		return c, err
	}
	for _, d := range o.Domains {
		if err := c.startDomain(d); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *Cluster) address() string {
	c.port++
	return fmt.Sprintf("%s:%d", c.host, c.port)
}

func (c *Cluster) startPlatform() error {
	var err error
	c.Platform, err = startPlatform(c.Options.Dir, c.address(), c.Options.Seed)
	return err
}

// platformAddress is the first address that was taken.
func (c *Cluster) platformAddress() string {
	return fmt.Sprintf("%s:%d", c.host, 20001)
}

func (c *Cluster) proxy(target string) (*standin.Proxy, error) {
	p, err := standin.StartProxy(c.address(), target)
	if err != nil {
		return nil, err
	}
	c.closers = append(c.closers, p.Close)
	return p, nil
}

func (c *Cluster) startDomain(d DomainSize) error {
	for n := range d.Runners {
		if err := c.startRunner(d.Name, fmt.Sprintf("runner-%s-%d", d.Name, n)); err != nil {
			return err
		}
	}
	for n := range d.Workers {
		if err := c.startWorker(d.Name, fmt.Sprintf("worker-%s-%d", d.Name, n)); err != nil {
			return err
		}
	}
	for n := range d.Entries {
		if err := c.startEntry(d.Name, fmt.Sprintf("entry-%s-%d", d.Name, n)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) start(n *Node, name string) error {
	p, err := Start(c.Options.Dir, name, n.args...)
	if err != nil {
		return err
	}
	n.Process = p
	return nil
}

func (c *Cluster) startRunner(domain, name string) error {
	n := &Node{Domain: domain, Address: c.address()}
	link, err := c.proxy(n.Address)
	if err != nil {
		return err
	}
	n.Link = link
	n.args = []string{"standin", "runner", "--listen", n.Address, "--platform", c.platformAddress(),
		"--name", name, "--domain", domain, "--service", Service, "--unlisted",
		"--service-ms", fmt.Sprint(c.Options.ServiceMS), "--seed", fmt.Sprint(c.Options.Seed)}
	err = c.Platform.SetMember(structs.Member{Name: name, Role: structs.RoleRunner, Domain: domain, Address: link.Address(),
		State: structs.MemberLive, Service: Service, Slots: standin.DefaultSlots, Connections: 64})
	if err != nil {
		return err
	}
	c.Runners = append(c.Runners, n)
	return c.start(n, name)
}

func (c *Cluster) startWorker(domain, name string) error {
	n := &Node{Domain: domain, Address: c.address()}
	link, err := c.proxy(n.Address)
	if err != nil {
		return err
	}
	n.Link = link
	capacity := structs.Resources{CPUMilli: c.Options.WorkerCPUMilli, MemoryMB: 16000, Accelerators: 1}
	n.args = []string{"standin", "worker", "--listen", n.Address, "--platform", c.platformAddress(),
		"--name", name, "--domain", domain, "--rack", "rack-1", "--unlisted", "--usage-lag-ms", "200",
		"--cpu-milli", fmt.Sprint(capacity.CPUMilli), "--memory-mb", fmt.Sprint(capacity.MemoryMB),
		"--accelerators", fmt.Sprint(capacity.Accelerators)}
	err = c.Platform.SetMember(structs.Member{Name: name, Role: structs.RoleWorker, Domain: domain, Rack: "rack-1",
		Address: link.Address(), State: structs.MemberLive, Capacity: capacity})
	if err != nil {
		return err
	}
	c.Workers = append(c.Workers, n)
	return c.start(n, name)
}

func (c *Cluster) startEntry(domain, name string) error {
	n := &Node{Domain: domain, Address: c.address()}
	peerAddress := c.address()
	var err error
	if n.Link, err = c.proxy(peerAddress); err != nil {
		return err
	}
	if n.Platform, err = c.proxy(c.platformAddress()); err != nil {
		return err
	}
	file := filepath.Join(c.Options.Dir, name+".json")
	if err := writeJSON(file, c.settings(name, n, peerAddress)); err != nil {
		return err
	}
	n.args = []string{"entry", "--settings", file}
	err = c.Platform.SetMember(structs.Member{Name: name, Role: structs.RoleEntry, Domain: domain,
		Address: n.Link.Address(), State: structs.MemberLive})
	if err != nil {
		return err
	}
	c.Entries = append(c.Entries, n)
	return c.start(n, name)
}

func (c *Cluster) settings(name string, n *Node, peerAddress string) map[string]any {
	settings := map[string]any{
		"name": name, "domain": n.Domain, "caller_address": n.Address, "peer_address": peerAddress, "advertise_address": n.Link.Address(),
		"platform_address": n.Platform.Address(),
	}
	if !c.Options.DefaultTimings {
		maps.Copy(settings, shortTimings())
	}
	return settings
}

func shortTimings() map[string]any {
	return map[string]any{
		"lease_ms": LeaseMS, "lease_margin_ms": leaseMarginMS, "task_lease_ms": taskLeaseMS,
		"request_timeout_max_ms": requestTimeoutMS, "worker_heartbeat_ms": 200, "queue_scan_ms": 500,
		"heartbeat_ms": 150, "suspect_ms": 600, "membership_poll_ms": 300, "probe_ms": 300,
		"leaving_bound_ms": LeavingBoundMS, "config_poll_ms": 300, "drain_max_ms": 5000,
	}
}

// Restart starts a node's process again after it ended, under the same name.
func (c *Cluster) Restart(n *Node) error {
	<-n.Done()
	return c.start(n, n.Name)
}

// Close ends every process and server of the deployment.
func (c *Cluster) Close() {
	for _, n := range slices.Concat(c.Entries, c.Workers, c.Runners) {
		if n.Process != nil {
			n.Resume()
			n.Kill()
		}
	}
	if c.Platform != nil {
		c.Platform.Kill()
	}
	for _, closer := range slices.Backward(c.closers) {
		closer()
	}
}

// Logs returns the end of every process's output, for the report of a failure.
func (c *Cluster) Logs(limit int) string {
	var out string
	for _, n := range c.Entries {
		data, _ := os.ReadFile(filepath.Join(c.Options.Dir, n.Name+".log"))
		if len(data) > limit {
			data = data[len(data)-limit:]
		}
		out += fmt.Sprintf("--- %s\n%s\n", n.Name, data)
	}
	return out
}

// Deployment returns the declaration of the cluster.
func (c *Cluster) Deployment() *declaration.Deployment {
	d := &declaration.Deployment{
		Name:            "scenario",
		Objective:       declaration.Objective{TailLatency: 0.5, BatchThroughput: 0.3, Evictions: 0.2},
		ShardsPerDomain: 1,
		WorkerShapes: []declaration.WorkerShape{{Name: "small",
			Capacity: structs.Resources{CPUMilli: c.Options.WorkerCPUMilli, MemoryMB: 16000, Accelerators: 1}}},
		Teams: []declaration.Team{{Name: Team, Weight: 1,
			Quota: structs.Resources{CPUMilli: 1_000_000, MemoryMB: 1_000_000, Accelerators: 100}}},
		BatchJobs: []declaration.BatchJob{
			{Kind: JobBilled, Team: Team, Class: declaration.ClassNormal, Size: JobSize, ExpectedRunMS: 400, MaxRunMS: 60_000, Checkpoint: true},
			{Kind: JobIdempotent, Team: Team, Class: declaration.ClassNormal, Size: JobSize, ExpectedRunMS: 400, MaxRunMS: 60_000, Idempotent: true, Checkpoint: true},
		},
	}
	service := declaration.Service{Name: Service, Slots: standin.DefaultSlots, Connections: 64, Requests: []declaration.RequestKind{
		{Kind: KindProof, TimeoutMS: requestTimeoutMS, Class: declaration.ClassUrgent, Idempotent: true},
		{Kind: KindBilled, TimeoutMS: requestTimeoutMS, Class: declaration.ClassNormal},
	}}
	for _, size := range c.Options.Domains {
		d.Domains = append(d.Domains, declaration.Domain{Name: size.Name,
			Workers: []declaration.WorkerGroup{{Shape: "small", Count: size.Workers, RackSize: 6}}})
		service.Runners = append(service.Runners, declaration.RunnerGroup{Domain: size.Name, Count: size.Runners})
	}
	d.Services = []declaration.Service{service}
	return d
}

// The names that every deployment under test declares.
const (
	Service       = "pathworks"
	KindProof     = "proof"
	KindBilled    = "billed"
	Team          = "members"
	JobBilled     = "billed-render"
	JobIdempotent = "render"
)

// JobSize is the size of every batch job under test.
var JobSize = structs.Resources{CPUMilli: 2000, MemoryMB: 1000}

// WaitReady waits until every entry instance is ready and each failure domain
// has an owner.
func (c *Cluster) WaitReady(limit time.Duration) error {
	return waitFor(limit, "instances are ready and shards are owned", func() bool {
		owned := map[string]bool{}
		for _, n := range c.Entries {
			status, err := c.Status(n)
			if err != nil || !c.Ready(n) {
				return false
			}
			for _, shard := range status.Shards {
				owned[shard.Shard] = true
			}
		}
		return len(owned) == len(c.Options.Domains)
	})
}

func waitFor(limit time.Duration, what string, done func() bool) error {
	deadline := time.Now().Add(limit)
	for !done() {
		if time.Now().After(deadline) {
			return fmt.Errorf("gave up waiting until %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func writeJSON(file string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o644)
}
