// Package processes_test checks what signals do to processes of the program. It is apart from
// package signals, whose initialisation would otherwise be part of each process of these
// tests, whether the program imports it or not.
package processes_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bergamotstile/harness"
	"bergamotstile/jobs"
	"bergamotstile/platform/hosted/hostedtest"
	"bergamotstile/structs"
)

// holdVariable names a file. A process of a test that finds the variable set creates the
// file with the suffix ".up" and does not begin its work before the file itself is gone.
// At that time all packages are initialised and the main function has done nothing yet.
const holdVariable = "BERGAMOTSTILE_TEST_HOLD"

func TestMain(m *testing.M) {
	if file := os.Getenv(holdVariable); file != "" {
		_ = os.WriteFile(file+".up", nil, 0o600)
		for exists(file) {
			time.Sleep(time.Millisecond)
		}
	}
	harness.RunProgram()
	os.Exit(m.Run())
}

func exists(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}

// state is a state of an entry instance's process, as in the table of docs/OPERATIONS.md.
type state string

const (
	starting    state = "start"
	serving     state = "serving"
	draining    state = "drain"
	handingOver state = "hand-over"
	stopping    state = "stop"
)

// effect is the effect of a signal.
type effect string

const (
	continues effect = "continues" // the process goes on serving
	drains    effect = "drains"    // answers requests in flight and leaves with status 0
	ends      effect = "ends"      // at once, nothing has been served
)

var effects = []struct {
	state  state
	signal syscall.Signal
	want   effect
}{
	{starting, syscall.SIGHUP, continues},
	{starting, syscall.SIGTERM, ends},
	{starting, syscall.SIGINT, ends},
	{serving, syscall.SIGHUP, continues},
	{serving, syscall.SIGTERM, drains},
	{serving, syscall.SIGINT, drains},
	{draining, syscall.SIGHUP, drains},
	{draining, syscall.SIGTERM, drains},
	{draining, syscall.SIGINT, drains},
	{handingOver, syscall.SIGHUP, continues},
	{handingOver, syscall.SIGTERM, drains},
	{handingOver, syscall.SIGINT, drains},
	{stopping, syscall.SIGHUP, drains},
	{stopping, syscall.SIGTERM, drains},
	{stopping, syscall.SIGINT, drains},
}

// waitBound bounds every wait of these tests.
const waitBound = 30 * time.Second

// await waits until condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitBound); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// instance is an entry instance of either program.
type instance struct {
	*harness.Process
	t                *testing.T
	dir, name        string
	address          string   // for clients
	readiness        string   // URL of the readiness probe
	drainLine        string   // log line at the start of a drain
	args             []string // of the process
	beginSlowRequest func() <-chan bool
}

func (i *instance) hasLogged(text string) bool {
	data, _ := os.ReadFile(filepath.Join(i.dir, i.name+".log"))
	return strings.Contains(string(data), text)
}

func (i *instance) start() {
	i.t.Helper()
	var err error
	if i.Process, err = harness.Start(i.dir, i.name, i.args...); err != nil {
		i.t.Fatal(err)
	}
	i.t.Cleanup(i.Kill)
}

// startHeld starts the process and stops it before its main function does anything.
func (i *instance) startHeld() (release func()) {
	i.t.Helper()
	file := filepath.Join(i.dir, "hold")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		i.t.Fatal(err)
	}
	i.t.Setenv(holdVariable, file)
	i.start()
	await(i.t, "start of the process", func() bool { return exists(file + ".up") })
	return func() { _ = os.Remove(file) }
}

func (i *instance) isReady() bool {
	res, err := http.Get(i.readiness)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (i *instance) hasEnded() bool {
	select {
	case <-i.Done():
		return true
	default:
		return false
	}
}

// enter brings the process into a state. The returned channel, if any, tells whether the
// request that is in flight in that state was answered.
func (i *instance) enter(s state) (answered <-chan bool) {
	i.t.Helper()
	if s == starting {
		i.t.Cleanup(i.startHeld())
		return nil
	}
	i.start()
	await(i.t, "readiness", i.isReady)
	if s == draining || s == stopping {
		answered = i.beginSlowRequest()
		i.Terminate()
		await(i.t, "begin of the drain", func() bool { return i.hasLogged(i.drainLine) })
	}
	return answered
}

// check sends a signal in a state of the process and checks its effect.
func (i *instance) check(s state, signal syscall.Signal, want effect) {
	i.t.Helper()
	answered := i.enter(s)
	switch s {
	case starting:
		i.Signal(signal)
		time.Sleep(10 * time.Millisecond) // for the kernel to deliver it before the hold ends
		_ = os.Remove(filepath.Join(i.dir, "hold"))
		i.checkEffect(nil, want)
	case serving:
		i.checkRunning(signal, want)
	case draining:
		i.Signal(signal)
		i.checkEffect(answered, want)
	case stopping: // from the drain until the process is gone, which includes the stop
		for !i.hasEnded() {
			i.Signal(signal)
			time.Sleep(time.Millisecond)
		}
		i.checkEffect(answered, want)
	}
}

// checkRunning sends a signal to a process that serves, while a request is in flight, and
// checks its effect.
func (i *instance) checkRunning(signal syscall.Signal, want effect) {
	i.t.Helper()
	answered := i.beginSlowRequest()
	i.Signal(signal)
	i.checkEffect(answered, want)
}

// checkEffect checks the effect of a signal that has been sent.
func (i *instance) checkEffect(answered <-chan bool, want effect) {
	i.t.Helper()
	if want == ends {
		await(i.t, "end of the process", i.hasEnded)
		return
	}
	i.checkAnswered(answered)
	if want == continues {
		await(i.t, "readiness after the signal", func() bool { return i.isReady() || i.hasEnded() })
		if i.hasEnded() {
			i.t.Errorf("the process ended with status %d", i.ExitCode())
		}
		return
	}
	await(i.t, "end of the process", i.hasEnded)
	if code := i.ExitCode(); code != 0 {
		i.t.Errorf("the process ended with status %d", code)
	}
}

func (i *instance) checkAnswered(answered <-chan bool) {
	i.t.Helper()
	if answered != nil && !<-answered {
		i.t.Error("the request in flight was not answered")
	}
}

var route = hostedtest.Route{Host: "signals.example", Prefix: "/jobs/", Service: "paths", Attempts: 2}

// freeAddress returns a free address of the loopback host.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// hosted is a deployment on the stand-in of the users' platform.
type hosted struct {
	store        *hostedtest.Store
	storeAddress string
}

func newHosted(t *testing.T) *hosted {
	store := hostedtest.NewStore(1)
	store.Configure(1, route)
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections) // a killed process leaves its calls behind
	return &hosted{store: store, storeAddress: server.Listener.Addr().String()}
}

// instance returns an instance that is not started yet.
func (h *hosted) instance(t *testing.T, name string, cpuShare float64) *instance {
	t.Helper()
	i := &instance{t: t, dir: t.TempDir(), name: name, address: freeAddress(t), drainLine: `"draining"`}
	probe := freeAddress(t)
	i.readiness = "http://" + probe + hostedtest.ReadinessPath
	file := filepath.Join(i.dir, "settings.toml")
	settings := hostedtest.Settings{Instance: name, ClientAddress: i.address, ReadinessAddress: probe, StoreAddress: h.storeAddress, CPUShare: cpuShare}
	if err := settings.Write(file); err != nil {
		t.Fatal(err)
	}
	i.args = []string{"serve", "--settings", file}
	i.beginSlowRequest = func() <-chan bool { return h.submitSlowly(i.address) }
	return i
}

// submitSlowly begins a submission whose write to the store takes a while, and tells
// whether it was accepted.
func (h *hosted) submitSlowly(address string) <-chan bool {
	const delay = 400 * time.Millisecond // of the store
	h.store.SetFaults(hostedtest.StoreFaults{Delay: delay})
	answered := make(chan bool, 1)
	go func() {
		client := hostedtest.NewClient(route, waitBound)
		spec := jobs.Spec{Text: "s", Steps: []jobs.Step{{Count: 1, Resources: structs.Resources{CPUMilli: 100, MemoryMB: 1}, Estimate: time.Second}}}
		accepted := client.Submit(address, "0123456789abcdef", spec).Accepted
		h.store.SetFaults(hostedtest.StoreFaults{})
		answered <- accepted
	}()
	time.Sleep(delay / 2) // for the request to be in flight
	return answered
}

// Guards against signals that end a process of the users' platform at the wrong time:
// SIGHUP ended it while it started or drained, and cut off the requests in flight.
func TestSignalsOfServe(t *testing.T) {
	for _, e := range effects {
		t.Run(fmt.Sprintf("%s/%v", e.state, e.signal), func(t *testing.T) {
			h := newHosted(t)
			if e.state != handingOver {
				h.instance(t, "front", 0.5).check(e.state, e.signal, e.want)
				return
			}
			weak, capable := h.instance(t, "weak", 0.1), h.instance(t, "capable", 0.9)
			weak.start()
			await(t, "coordinator", func() bool { return weak.hasLogged(`"coordinating"`) })
			capable.start()
			await(t, "hand-over", func() bool { return weak.hasLogged("lease requested by a more capable instance") })
			weak.checkRunning(e.signal, e.want)
		})
	}
}

// Guards against the same for an entry instance, and against one that SIGHUP ends while it
// serves. Its hand-over is that of its shards, a part of the drain.
func TestSignalsOfEntry(t *testing.T) {
	for _, e := range effects {
		if e.state == handingOver {
			continue // TestSignalsDuringReleaseOfShards
		}
		t.Run(fmt.Sprintf("%s/%v", e.state, e.signal), func(t *testing.T) {
			newEntry(t).check(e.state, e.signal, e.want)
		})
	}
}

// Guards against a signal that ends an entry instance while it hands its shards over.
func TestSignalsDuringReleaseOfShards(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		t.Run(signal.String(), func(t *testing.T) {
			i := newEntry(t)
			i.start()
			await(t, "readiness", i.isReady)
			await(t, "a shard", func() bool { return i.hasLogged("shard acquired") })
			answered := i.beginSlowRequest()
			i.Terminate()
			for !i.hasLogged("shard released") && !i.hasEnded() {
				i.Signal(signal)
				time.Sleep(time.Millisecond)
			}
			i.checkEffect(answered, drains)
		})
	}
}

// newEntry returns an entry instance that is not started yet, in a deployment of its own
// that has another instance.
func newEntry(t *testing.T) *instance {
	t.Helper()
	cluster, err := harness.New(harness.Options{Dir: t.TempDir(), ServiceMS: 500, WorkerCPUMilli: 4000, Seed: 1,
		Domains: []harness.DomainSize{{Name: "west", Entries: 1, Workers: 1, Runners: 1}}})
	t.Cleanup(cluster.Close)
	if err != nil {
		t.Fatal(err)
	}
	node := cluster.Entries[0]
	await(t, "first declaration", func() bool {
		_, refusal := cluster.Apply(t.Context(), node, "operator", 0, cluster.Deployment())
		return refusal == nil
	})
	if err := cluster.WaitReady(waitBound); err != nil {
		t.Fatal(err)
	}
	node.Kill()
	i := &instance{t: t, dir: cluster.Options.Dir, name: node.Name + "-again", address: node.Address, readiness: "http://" + node.Address + "/readyz", drainLine: "drain started"}
	i.args = []string{"entry", "--settings", filepath.Join(cluster.Options.Dir, node.Name+".json")}
	i.beginSlowRequest = func() <-chan bool {
		answered := make(chan bool, 1)
		go func() {
			answered <- cluster.Request(context.Background(), node, harness.KindIdempotent, "", "caller").Answered
		}()
		time.Sleep(200 * time.Millisecond) // for the request to be in flight
		return answered
	}
	return i
}
