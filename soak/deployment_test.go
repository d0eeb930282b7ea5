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

var route = hostedtest.Route{Host: "soak.example", Prefix: "/jobs/", Service: "paths", Attempts: attempts}

const (
	runnerMilli   = 8000 // processors of a runner, in thousandths
	attempts      = 4
	runnerClock   = 0.98 // rate of every other runner's clock, the slowest allowed
	configVersion = 1
)

// instance is an entry instance with its way to the store.
type instance struct {
	name, settings, front, ready string
	toStore                      *standin.Proxy

	mu      sync.Mutex // held by the fault that has its process
	process *harness.Process
}

// runner is a stand-in of a runner with the way to it.
type runner struct {
	*hostedtest.Runner
	server *http.Server
	proxy  *standin.Proxy
}

// deployment is a running deployment. Entry instances are processes of their
// own; the platform is served by the test.
type deployment struct {
	dir       string
	store     *hostedtest.Store
	server    *http.Server
	recorder  *hostedtest.Recorder
	runners   []*runner
	instances []*instance
}

// listen serves a handler on a free port of loopback.
func listen(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // ends with Close
	return s, l.Addr().String(), nil
}

// hosts numbers the loopback hosts of entry instances. Each has its own, so that
// nobody takes its ports while its process is down.
var hosts atomic.Uint32

func nextHost() string {
	n := hosts.Add(1)
	return fmt.Sprintf("127.91.%d.%d", n/200%250, 1+n%200)
}

// freeAddress returns an address of the host that nothing listens on.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// deploy starts a deployment. The shares of a core are given to the instances in
// turn; none stands for equal instances.
func deploy(dir string, seed uint64, instances, runners int, shares []float64) (*deployment, error) {
	d := &deployment{dir: dir, store: hostedtest.NewStore(seed), recorder: hostedtest.NewRecorder(runnerMilli, attempts)}
	server, address, err := listen(d.store)
	if err != nil {
		return d, err
	}
	d.server = server
	for i := range runners {
		if err := d.addRunner(i); err != nil {
			return d, err
		}
	}
	d.store.Configure(configVersion, route)
	for i := range instances {
		share := 0.0
		if len(shares) > 0 {
			share = shares[i%len(shares)]
		}
		if err := d.addInstance(i, address, share); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady(10 * time.Second)
}

func (d *deployment) addRunner(i int) error {
	rate := 1.0
	if i%2 == 1 {
		rate = runnerClock
	}
	r := &runner{Runner: hostedtest.NewRunner(fmt.Sprint("runner-", i), d.recorder, rate)}
	d.runners = append(d.runners, r)
	server, address, err := listen(r.Runner)
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

// register writes a runner's entry.
func (d *deployment) register(r *runner, draining bool) {
	d.store.Register(hostedtest.RunnerEntry{ID: r.ID, Service: route.Service, Address: r.proxy.Address(), CPUMilli: runnerMilli, Draining: draining})
}

func (d *deployment) addInstance(i int, store string, share float64) error {
	in := &instance{name: fmt.Sprint("entry-", i), settings: filepath.Join(d.dir, fmt.Sprintf("entry-%d.toml", i))}
	d.instances = append(d.instances, in)
	var err error
	if in.toStore, err = standin.StartProxy("127.0.0.1:0", store); err != nil {
		return err
	}
	address := nextHost()
	if in.front, err = freeAddress(address); err != nil {
		return err
	}
	if in.ready, err = freeAddress(address); err != nil {
		return err
	}
	settings := hostedtest.Settings{Instance: in.name, ClientAddress: in.front, ReadinessAddress: in.ready, StoreAddress: in.toStore.Address(), CPUShare: share}
	if err := settings.Write(in.settings); err != nil {
		return err
	}
	return d.start(in)
}

func (d *deployment) start(in *instance) (err error) {
	in.process, err = harness.Start(d.dir, in.name, "serve", "--settings", in.settings)
	return err
}

func (d *deployment) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, in := range d.instances {
		for {
			res, err := http.Get("http://" + in.ready + hostedtest.ReadinessPath)
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %w", in.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends what the deployment started.
func (d *deployment) close() {
	for _, in := range d.instances {
		if in.process != nil {
			in.process.Resume()
			in.process.Kill()
		}
		if in.toStore != nil {
			in.toStore.Close()
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
	if d.server != nil {
		_ = d.server.Close()
	}
}
