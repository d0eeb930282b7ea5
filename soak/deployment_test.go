package soak_test

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"bergamotstile/harness"
	"bergamotstile/platform/hosted/hostedtest"
	"bergamotstile/standin"
)

var route = hostedtest.Route{Host: "soak.example", Prefix: "/jobs/", Service: "paths", Attempts: maxAttempts}

const (
	runnerCPUMilli = 8000 // capacity of a runner, in thousandths of a processor
	maxAttempts    = 4
	slowClockRate  = 0.98 // rate of every second runner's clock; the coordinator tolerates no slower one
	configVersion  = 1
)

// instance is an entry instance with the proxy through which it reaches the store.
type instance struct {
	name, settingsFile, clientAddress, readinessAddress string
	storeProxy                                          *standin.Proxy
	disturbance                                         disturbance // of the process and of its connections

	mu      sync.Mutex // held while a fault stops, pauses, reloads or restarts the process
	process *harness.Process
}

// runner is a stand-in of a runner with the proxy through which instances reach it.
type runner struct {
	*hostedtest.Runner
	server *http.Server
	proxy  *standin.Proxy
	zone   string
}

// zones are the failure domains of the runners.
var zones = []string{"east", "west", "north"}

// deployment is a running deployment. Entry instances are separate processes; the store
// and the runners run in the process of the test.
type deployment struct {
	dir         string
	store       *hostedtest.Store
	storeServer *http.Server
	recorder    *hostedtest.Recorder
	runners     []*runner
	instances   []*instance
	configs     configHistory
	// configChecks counts the requests that have checked which configuration is in force.
	configChecks atomic.Int64
	// storeDisturbance is that of the store.
	storeDisturbance disturbance
}

// startServer serves a handler on a free port of the loopback address, and returns the
// server and its address.
func startServer(h http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return server, listener.Addr().String(), nil
}

// hostCount is the number of loopback addresses that nextHost has returned. Each entry
// instance has its own loopback address, so that no other process takes its ports while
// its process is down.
var hostCount atomic.Uint32

func nextHost() string {
	number := hostCount.Add(1)
	return fmt.Sprintf("127.91.%d.%d", number/200%250, 1+number%200)
}

// freeAddresses returns two addresses of the host with free ports. It holds the first port
// until it has the second one, so that they differ.
func freeAddresses(host string) (first, second string, err error) {
	firstListener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", "", err
	}
	defer func() { _ = firstListener.Close() }()
	secondListener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", "", err
	}
	defer func() { _ = secondListener.Close() }()
	return firstListener.Addr().String(), secondListener.Addr().String(), nil
}

// deploy starts a deployment and waits until it is ready. The instances get the shares of
// a core in turn; without cpuShares, all instances get the same default share. The caller
// must close the returned deployment, also after an error.
func deploy(dir string, seed uint64, instances, runners int, cpuShares []float64) (*deployment, error) {
	d := &deployment{dir: dir, store: hostedtest.NewStore(seed), recorder: hostedtest.NewRecorder(runnerCPUMilli, maxAttempts)}
	storeServer, storeAddress, err := startServer(d.store)
	if err != nil {
		return d, err
	}
	d.storeServer = storeServer
	for i := range runners {
		if err := d.addRunner(i); err != nil {
			return d, err
		}
	}
	d.applyConfig(configVersion)
	for i := range instances {
		cpuShare := 0.0
		if len(cpuShares) > 0 {
			cpuShare = cpuShares[i%len(cpuShares)]
		}
		if err := d.addInstance(i, storeAddress, cpuShare); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady(10 * time.Second)
}

func (d *deployment) addRunner(i int) error {
	clockRate := 1.0
	if i%2 == 1 {
		clockRate = slowClockRate
	}
	r := &runner{Runner: hostedtest.NewRunner(fmt.Sprint("runner-", i), d.recorder, clockRate), zone: zones[i%len(zones)]}
	d.recorder.SetZone(r.ID, r.zone)
	d.runners = append(d.runners, r)
	server, address, err := startServer(r.Runner)
	if err != nil {
		return err
	}
	r.server = server
	if r.proxy, err = standin.StartProxy("127.0.0.1:0", address); err != nil {
		return err
	}
	d.register(r, false)
	return nil
}

// register writes a runner's entry in the registry of the store.
func (d *deployment) register(r *runner, draining bool) {
	d.store.Register(hostedtest.RunnerEntry{ID: r.ID, Service: route.Service, Address: r.proxy.Address(), CPUMilli: runnerCPUMilli, Draining: draining, Zone: r.zone})
}

func (d *deployment) addInstance(i int, storeAddress string, cpuShare float64) error {
	inst := &instance{name: fmt.Sprint("entry-", i), settingsFile: filepath.Join(d.dir, fmt.Sprintf("entry-%d.toml", i))}
	d.instances = append(d.instances, inst)
	var err error
	if inst.storeProxy, err = standin.StartProxy("127.0.0.1:0", storeAddress); err != nil {
		return err
	}
	if inst.clientAddress, inst.readinessAddress, err = freeAddresses(nextHost()); err != nil {
		return err
	}
	settings := hostedtest.Settings{Instance: inst.name, ClientAddress: inst.clientAddress, ReadinessAddress: inst.readinessAddress, StoreAddress: inst.storeProxy.Address(), CPUShare: cpuShare}
	if err := settings.Write(inst.settingsFile); err != nil {
		return err
	}
	return d.start(inst)
}

func (d *deployment) start(inst *instance) (err error) {
	inst.process, err = harness.Start(d.dir, inst.name, "serve", "--settings", inst.settingsFile)
	return err
}

func (d *deployment) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, inst := range d.instances {
		for {
			res, err := http.Get("http://" + inst.readinessAddress + hostedtest.ReadinessPath)
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %w", inst.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes, proxies, runners and servers of the deployment.
func (d *deployment) close() {
	for _, inst := range d.instances {
		if inst.process != nil {
			inst.process.Resume()
			inst.process.Kill()
		}
		if inst.storeProxy != nil {
			inst.storeProxy.Close()
		}
	}
	for _, r := range d.runners {
		r.Close()
		if r.proxy != nil {
			r.proxy.Close()
		}
		if r.server != nil {
			_ = r.server.Close()
		}
	}
	if d.storeServer != nil {
		_ = d.storeServer.Close()
	}
}
