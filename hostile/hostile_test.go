// Package hostile checks that processes of the program outlive clients that keep to none of
// its limits. Its tests start real processes and check only that the process lives, that its
// memory and its open descriptors stay under a bound, and that it answers an ordinary
// request afterwards.
package hostile

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bergamotstile/harness"
	"bergamotstile/jobs"
	"bergamotstile/platform/hosted/hostedtest"
	"bergamotstile/structs"
)

const (
	// serveMemoryMB and entryMemoryMB bound the memory of a process of `serve`, whose
	// settings contain the bound, and of `entry`, of which it is the default.
	serveMemoryMB = 128
	entryMemoryMB = 192
	// maxDescriptors bounds the descriptors of a process. The settings of `serve` contain
	// the bound, and a process of `entry` has it as its resource limit.
	maxDescriptors = 400
	// answerBound is how long a test waits for the answer to an ordinary request.
	answerBound = 30 * time.Second
)

// descriptorsVariable is the environment variable with the resource limit of descriptors
// that a process of a test sets for itself.
const descriptorsVariable = "BERGAMOTSTILE_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	if n, err := strconv.ParseUint(os.Getenv(descriptorsVariable), 10, 64); err == nil {
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
	}
	harness.RunProgram()
	os.Exit(m.Run())
}

// target is a process under test.
type target struct {
	*harness.Process
	log       string // file
	memoryMB  int
	addresses []string // of its listeners; the first one is for clients
	// ordinaryRequest sends one ordinary request.
	ordinaryRequest func() error
}

// newServe starts a process of `serve`.
func newServe(t *testing.T) *target {
	t.Helper()
	route := hostedtest.Route{Host: "hostile.example", Prefix: "/jobs/", Service: "paths", Attempts: 2}
	store := hostedtest.NewStore(1)
	store.Configure(1, route)
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	addresses := freeAddresses(t, 3)
	_, metricsPort, _ := net.SplitHostPort(addresses[2])
	port, _ := strconv.Atoi(metricsPort)
	settings := hostedtest.Settings{Instance: "front", ClientAddress: addresses[0], ReadinessAddress: addresses[1], MetricsPort: port,
		StoreAddress: server.Listener.Addr().String(), MemoryMB: serveMemoryMB, MaxDescriptors: maxDescriptors}
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.toml")
	if err := settings.Write(file); err != nil {
		t.Fatal(err)
	}
	process, err := harness.Start(dir, "front", "serve", "--log-level", "warning", "--settings", file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.Kill)
	spec := jobs.Spec{Text: "s", Steps: []jobs.Step{{Count: 1, Resources: structs.Resources{CPUMilli: 100, MemoryMB: 1}, Estimate: time.Second}}}
	number := 0
	return &target{Process: process, log: filepath.Join(dir, "front.log"), memoryMB: serveMemoryMB, addresses: addresses, ordinaryRequest: func() error {
		number++
		client := hostedtest.NewClient(route, 3*time.Second)
		defer client.HTTP.CloseIdleConnections()
		if !client.Submit(addresses[0], jobs.ID(fmt.Sprintf("%016x", number)), spec).Accepted {
			return errors.New("job not accepted")
		}
		return nil
	}}
}

// newEntry starts a process of `entry` with the stand-ins that it needs.
func newEntry(t *testing.T) *target {
	t.Helper()
	cluster, err := harness.New(harness.Options{Dir: t.TempDir(), ServiceMS: 10, WorkerCPUMilli: 4000, Seed: 1,
		Domains: []harness.DomainSize{{Name: "west", Entries: 1, Workers: 1, Runners: 1}}})
	t.Cleanup(cluster.Close)
	if err != nil {
		t.Fatal(err)
	}
	node := cluster.Entries[0]
	// The process is started again with a limit of descriptors, which the stand-ins need
	// not have.
	node.Kill()
	t.Setenv(descriptorsVariable, strconv.Itoa(maxDescriptors))
	if err := cluster.Restart(node); err != nil {
		t.Fatal(err)
	}
	await(t, "first declaration", func() error {
		if _, refusal := cluster.Apply(t.Context(), node, "operator", 0, cluster.Deployment()); refusal != nil {
			return refusal
		}
		return nil
	})
	if err := cluster.WaitReady(answerBound); err != nil {
		t.Fatal(err)
	}
	return &target{Process: node.Process, log: filepath.Join(cluster.Options.Dir, node.Name+".log"), memoryMB: entryMemoryMB,
		addresses: []string{node.Address, cluster.PeerAddress(node)}, ordinaryRequest: func() error {
			call := cluster.Request(context.Background(), node, harness.KindIdempotent, "", "caller")
			if !call.Answered {
				return fmt.Errorf("not answered: %v %v", call.Outcome, call.Reason)
			}
			return nil
		}}
}

// freeAddresses returns different free addresses of the loopback host.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// await calls a function until it returns no error.
func await(t *testing.T, what string, call func() error) {
	t.Helper()
	err := call()
	for deadline := time.Now().Add(answerBound); err != nil; err = call() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: waited in vain: %v", what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// peakMemoryMB returns the largest resident memory that a process ever had.
func peakMemoryMB(pid int) (int, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024, err
		}
	}
	return 0, errors.New("no VmHWM")
}

// watchDescriptors counts the open descriptors of a process until the returned function is
// called, which returns the largest number.
func watchDescriptors(pid int) (stop func() int) {
	done, peak := make(chan struct{}), 0
	var watcher sync.WaitGroup
	watcher.Go(func() {
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				peak = max(peak, len(entries))
			}
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	return func() int {
		close(done)
		watcher.Wait()
		return peak
	}
}

// outlives runs crowds against listeners of a process and checks the process.
func (p *target) outlives(t *testing.T, crowds map[string][]crowd) {
	t.Helper()
	await(t, "ordinary request before the crowd", p.ordinaryRequest)
	stopWatch := watchDescriptors(p.PID())
	var playing sync.WaitGroup
	var mu sync.Mutex
	var closers []func()
	for address, c := range crowds {
		playing.Go(func() {
			closeAll := play(address, c)
			mu.Lock()
			closers = append(closers, closeAll)
			mu.Unlock()
		})
	}
	playing.Wait()
	t.Cleanup(func() {
		for _, closeAll := range closers {
			closeAll()
		}
	})
	memory, err := peakMemoryMB(p.PID())
	descriptors := stopWatch()
	t.Logf("memory %d MB of %d MB, descriptors %d of %d", memory, p.memoryMB, descriptors, maxDescriptors)
	select {
	case <-p.Done():
		t.Fatalf("the process ended with status %d, the end of its log: %s", p.ExitCode(), p.endOfLog())
	default:
	}
	if err != nil || memory > p.memoryMB {
		t.Errorf("memory %d MB, the bound is %d MB (%v)", memory, p.memoryMB, err)
	}
	if descriptors > maxDescriptors {
		t.Errorf("%d descriptors, the bound is %d", descriptors, maxDescriptors)
	}
	await(t, "ordinary request after the crowd", p.ordinaryRequest)
}

func (p *target) endOfLog() string {
	data, _ := os.ReadFile(p.log)
	return string(data[max(0, len(data)-2000):])
}

func serveOutlives(t *testing.T, crowds []crowd) {
	t.Helper()
	p := newServe(t)
	p.outlives(t, map[string][]crowd{p.addresses[0]: crowds})
}

func entryOutlives(t *testing.T, crowds []crowd) {
	t.Helper()
	p := newEntry(t)
	p.outlives(t, map[string][]crowd{p.addresses[0]: crowds})
}

// outlivesAll runs several crowds at once against all listeners of a process.
func (p *target) outlivesAll(t *testing.T) {
	t.Helper()
	all := slices.Concat(endlessHeads, emptyLines, unreadAnswers, manyLines, slowRequests, oddChunks)
	crowds := map[string][]crowd{}
	for i, c := range all {
		c.connections = max(1, c.connections/2)
		address := p.addresses[i%len(p.addresses)]
		crowds[address] = append(crowds[address], c)
	}
	p.outlives(t, crowds)
}

// Each of these tests guards against a process that runs out of memory or descriptors, ends
// or hangs because of the clients that the crowd's comment describes.

func TestServeOutlivesEndlessHeads(t *testing.T)      { serveOutlives(t, endlessHeads) }
func TestServeOutlivesLargeHeads(t *testing.T)        { serveOutlives(t, largeHeads) }
func TestServeOutlivesEmptyLines(t *testing.T)        { serveOutlives(t, emptyLines) }
func TestServeOutlivesUnreadAnswers(t *testing.T)     { serveOutlives(t, unreadAnswers) }
func TestServeOutlivesUnreadBodies(t *testing.T)      { serveOutlives(t, unreadBodies) }
func TestServeOutlivesManySteps(t *testing.T)         { serveOutlives(t, manySteps) }
func TestServeOutlivesManyHeaderLines(t *testing.T)   { serveOutlives(t, manyLines) }
func TestServeOutlivesSlowRequests(t *testing.T)      { serveOutlives(t, slowRequests) }
func TestServeOutlivesSilentConnections(t *testing.T) { serveOutlives(t, silentConnections) }
func TestServeOutlivesOddChunks(t *testing.T)         { serveOutlives(t, oddChunks) }
func TestServeOutlivesAllAtOnce(t *testing.T)         { newServe(t).outlivesAll(t) }

func TestEntryOutlivesEndlessHeads(t *testing.T)      { entryOutlives(t, endlessHeads) }
func TestEntryOutlivesLargeHeads(t *testing.T)        { entryOutlives(t, largeHeads) }
func TestEntryOutlivesEmptyLines(t *testing.T)        { entryOutlives(t, emptyLines) }
func TestEntryOutlivesUnreadAnswers(t *testing.T)     { entryOutlives(t, unreadAnswers) }
func TestEntryOutlivesUnreadBodies(t *testing.T)      { entryOutlives(t, unreadBodies) }
func TestEntryOutlivesManyHeaderLines(t *testing.T)   { entryOutlives(t, manyLines) }
func TestEntryOutlivesSlowRequests(t *testing.T)      { entryOutlives(t, slowRequests) }
func TestEntryOutlivesSilentConnections(t *testing.T) { entryOutlives(t, silentConnections) }
func TestEntryOutlivesOddChunks(t *testing.T)         { entryOutlives(t, oddChunks) }
func TestEntryOutlivesAllAtOnce(t *testing.T)         { newEntry(t).outlivesAll(t) }
