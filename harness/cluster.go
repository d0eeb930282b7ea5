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

// Options configures a deployment.
type Options struct {
	// Dir is the directory for settings files and the output of the processes.
	Dir string
	// Domains gives the number of processes in each failure domain.
	Domains []DomainSize
	// ServiceMS is the time for which a runner runs a request, in milliseconds.
	ServiceMS int
	// WorkerCPUMilli is the processor capacity of each worker, in thousandths of
	// a processor.
	WorkerCPUMilli int64
	Seed           uint64
	// DefaultTimings selects the program's default timings instead of the short
	// ones of the tests.
	DefaultTimings bool
}

// DomainSize is the number of processes of each kind in one failure domain.
type DomainSize struct {
	Name    string
	Entries int
	Workers int
	Runners int
}

// Node is a runner, worker or entry process with its addresses and proxies.
type Node struct {
	*Process
	Domain string
	// Address is the address on which a runner or worker listens, or on which an
	// entry instance listens for callers.
	Address string
	// Proxy is the proxy through which other processes reach this process: in
	// front of Address for a runner or worker, and in front of the peer address
	// for an entry instance.
	Proxy *standin.Proxy
	// PlatformProxy is the proxy through which an entry instance reaches the
	// platform. It is nil for runners and workers.
	PlatformProxy *standin.Proxy
	args          []string
	peerAddress   string // of an entry instance
}

// Cluster is a running deployment. The proxies run in the process of the test. The
// platform, the workers, the runners and the entry instances are separate processes.
type Cluster struct {
	Options      Options
	Platform     *Platform
	Entries      []*Node
	Workers      []*Node
	Runners      []*Node
	proxyClosers []func()
	host         string
	lastPort     int
}

// Timings of the deployments under test, in milliseconds. They have about the same
// ratios to each other as the defaults, and a takeover takes about 2 s.
const (
	LeaseMS          = 1500
	requestTimeoutMS = 800
	leaseMarginMS    = 200
	taskLeaseMS      = 8000
	// LeavingBoundMS bounds how long a runner still receives requests after it
	// began to leave.
	LeavingBoundMS = 1500
)

// loopbackIPCount is the number of IP addresses that nextLoopbackIP has returned in this
// process.
var loopbackIPCount atomic.Int32

// nextLoopbackIP returns a loopback IP address for a new cluster. All clusters use the
// same ports, so clusters that run at the same time need different IP addresses. The
// address consists of the lowest 15 bits of the process ID and of a counter modulo 250.
// Hence two processes can get the same addresses only if their IDs agree in these bits,
// and one process gets an address again after 250 calls.
func nextLoopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+loopbackIPCount.Add(1)%250)
}

// New starts the processes of a deployment. It applies no declaration. The caller
// must call Close on the returned cluster, also after an error.
func New(o Options) (*Cluster, error) {
	c := &Cluster{Options: o, host: nextLoopbackIP(), lastPort: 20000}
	if err := c.startPlatform(); err != nil {
		return c, err
	}
	for _, domain := range o.Domains {
		if err := c.startDomain(domain); err != nil {
			return c, err
		}
	}
	return c, nil
}

// nextAddress returns the cluster's IP address with a port that the cluster does not use
// yet. The ports are counted up from 20001 and lie below the ephemeral range.
func (c *Cluster) nextAddress() string {
	c.lastPort++
	return fmt.Sprintf("%s:%d", c.host, c.lastPort)
}

func (c *Cluster) startPlatform() error {
	var err error
	c.Platform, err = startPlatform(c.Options.Dir, c.nextAddress(), c.Options.Seed)
	return err
}

// platformAddress returns the address of the platform, which is the first address
// that nextAddress returned.
func (c *Cluster) platformAddress() string {
	return fmt.Sprintf("%s:%d", c.host, 20001)
}

func (c *Cluster) startProxy(target string) (*standin.Proxy, error) {
	proxy, err := standin.StartProxy(c.nextAddress(), target)
	if err != nil {
		return nil, err
	}
	c.proxyClosers = append(c.proxyClosers, proxy.Close)
	return proxy, nil
}

func (c *Cluster) startDomain(domain DomainSize) error {
	for i := range domain.Runners {
		if err := c.startRunner(domain.Name, fmt.Sprintf("runner-%s-%d", domain.Name, i)); err != nil {
			return err
		}
	}
	for i := range domain.Workers {
		if err := c.startWorker(domain.Name, fmt.Sprintf("worker-%s-%d", domain.Name, i)); err != nil {
			return err
		}
	}
	for i := range domain.Entries {
		if err := c.startEntry(domain.Name, fmt.Sprintf("entry-%s-%d", domain.Name, i)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) start(n *Node, name string) error {
	process, err := Start(c.Options.Dir, name, n.args...)
	if err != nil {
		return err
	}
	n.Process = process
	return nil
}

func (c *Cluster) startRunner(domain, name string) error {
	n := &Node{Domain: domain, Address: c.nextAddress()}
	proxy, err := c.startProxy(n.Address)
	if err != nil {
		return err
	}
	n.Proxy = proxy
	n.args = []string{"standin", "runner", "--listen", n.Address, "--platform", c.platformAddress(),
		"--name", name, "--domain", domain, "--service", Service, "--unlisted",
		"--service-ms", fmt.Sprint(c.Options.ServiceMS), "--seed", fmt.Sprint(c.Options.Seed)}
	err = c.Platform.SetMember(structs.Member{Name: name, Role: structs.RoleRunner, Domain: domain, Address: proxy.Address(),
		State: structs.MemberLive, Service: Service, Slots: standin.DefaultSlots, Connections: 64})
	if err != nil {
		return err
	}
	c.Runners = append(c.Runners, n)
	return c.start(n, name)
}

func (c *Cluster) startWorker(domain, name string) error {
	n := &Node{Domain: domain, Address: c.nextAddress()}
	proxy, err := c.startProxy(n.Address)
	if err != nil {
		return err
	}
	n.Proxy = proxy
	capacity := structs.Resources{CPUMilli: c.Options.WorkerCPUMilli, MemoryMB: 16000, Accelerators: 1}
	n.args = []string{"standin", "worker", "--listen", n.Address, "--platform", c.platformAddress(),
		"--name", name, "--domain", domain, "--rack", "rack-1", "--unlisted", "--usage-lag-ms", "200",
		"--cpu-milli", fmt.Sprint(capacity.CPUMilli), "--memory-mb", fmt.Sprint(capacity.MemoryMB),
		"--accelerators", fmt.Sprint(capacity.Accelerators)}
	err = c.Platform.SetMember(structs.Member{Name: name, Role: structs.RoleWorker, Domain: domain, Rack: "rack-1",
		Address: proxy.Address(), State: structs.MemberLive, Capacity: capacity})
	if err != nil {
		return err
	}
	c.Workers = append(c.Workers, n)
	return c.start(n, name)
}

func (c *Cluster) startEntry(domain, name string) error {
	n := &Node{Domain: domain, Address: c.nextAddress()}
	peerAddress := c.nextAddress()
	n.peerAddress = peerAddress
	var err error
	if n.Proxy, err = c.startProxy(peerAddress); err != nil {
		return err
	}
	if n.PlatformProxy, err = c.startProxy(c.platformAddress()); err != nil {
		return err
	}
	file := filepath.Join(c.Options.Dir, name+".json")
	if err := writeJSON(file, c.entrySettings(name, n, peerAddress)); err != nil {
		return err
	}
	n.args = []string{"entry", "--settings", file}
	err = c.Platform.SetMember(structs.Member{Name: name, Role: structs.RoleEntry, Domain: domain,
		Address: n.Proxy.Address(), State: structs.MemberLive})
	if err != nil {
		return err
	}
	c.Entries = append(c.Entries, n)
	return c.start(n, name)
}

func (c *Cluster) entrySettings(name string, n *Node, peerAddress string) map[string]any {
	settings := map[string]any{
		"name": name, "domain": n.Domain, "caller_address": n.Address, "peer_address": peerAddress, "advertise_address": n.Proxy.Address(),
		"platform_address": n.PlatformProxy.Address(),
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

// PeerAddress returns the address on which an entry instance listens for its peers.
func (c *Cluster) PeerAddress(n *Node) string { return n.peerAddress }

// Restart waits until a node's process has ended and starts it again with the same
// name and arguments.
func (c *Cluster) Restart(n *Node) error {
	<-n.Done()
	return c.start(n, n.Name)
}

// Close kills every process of the deployment and closes the proxies.
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
	for _, closer := range slices.Backward(c.proxyClosers) {
		closer()
	}
}

// Logs returns the last maxBytes bytes of each entry instance's output, for the
// report of a failure.
func (c *Cluster) Logs(maxBytes int) string {
	var logs string
	for _, n := range c.Entries {
		data, _ := os.ReadFile(filepath.Join(c.Options.Dir, n.Name+".log"))
		if len(data) > maxBytes {
			data = data[len(data)-maxBytes:]
		}
		logs += fmt.Sprintf("--- %s\n%s\n", n.Name, data)
	}
	return logs
}

// Deployment returns the declaration that matches the processes of the cluster.
func (c *Cluster) Deployment() *declaration.Deployment {
	deployment := &declaration.Deployment{
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
		{Kind: KindIdempotent, TimeoutMS: requestTimeoutMS, Class: declaration.ClassUrgent, Idempotent: true},
		{Kind: KindBilled, TimeoutMS: requestTimeoutMS, Class: declaration.ClassNormal},
	}}
	for _, size := range c.Options.Domains {
		deployment.Domains = append(deployment.Domains, declaration.Domain{Name: size.Name,
			Workers: []declaration.WorkerGroup{{Shape: "small", Count: size.Workers, RackSize: 6}}})
		service.Runners = append(service.Runners, declaration.RunnerGroup{Domain: size.Name, Count: size.Runners})
	}
	deployment.Services = []declaration.Service{service}
	return deployment
}

// The names that every deployment under test declares. Requests of KindIdempotent and
// jobs of JobIdempotent are idempotent. Requests of KindBilled and jobs of JobBilled
// are not, because work that is billed must run at most once.
const (
	Service        = "pathworks"
	KindIdempotent = "proof"
	KindBilled     = "billed"
	Team           = "members"
	JobBilled      = "billed-render"
	JobIdempotent  = "render"
)

// JobSize is the declared size of every batch job under test.
var JobSize = structs.Resources{CPUMilli: 2000, MemoryMB: 1000}

// WaitReady waits until every entry instance is ready and the shard of each failure
// domain has an owner. It returns an error after timeout.
func (c *Cluster) WaitReady(timeout time.Duration) error {
	return waitFor(timeout, "instances are ready and shards are owned", func() bool {
		owned := map[string]bool{}
		for _, n := range c.Entries {
			status, err := c.Status(n)
			if err != nil || !c.IsReady(n) {
				return false
			}
			for _, shard := range status.Shards {
				owned[shard.Shard] = true
			}
		}
		return len(owned) == len(c.Options.Domains)
	})
}

func waitFor(timeout time.Duration, condition string, isMet func() bool) error {
	deadline := time.Now().Add(timeout)
	for !isMet() {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out while waiting until %s", condition)
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
