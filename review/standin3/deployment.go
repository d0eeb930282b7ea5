//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// deployment is a small deployment: the platform, runners and entry instances.
type deployment struct {
	*world
	dir          string
	cloud        *cloud
	storeAddress string
	cloudAddress string
	// adviceAddress is where instances find the advice service when they start.
	adviceAddress string
	queues        []*queue
	version       int
	client        *client

	listMu  sync.Mutex
	nodes   []*node
	runners []*runner
}

func serve(handler http.Handler) string {
	listener := listen()
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// newDeployment starts the platform. The caller starts runners and instances.
func newDeployment(record *os.File) *deployment {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun(err)
	}
	d := &deployment{world: newWorld(record), dir: dir}
	d.cloud = newCloud(d.world)
	d.storeAddress, d.cloudAddress = serve(d.store), serve(d.cloud)
	d.adviceAddress = d.cloudAddress
	d.client = newClient(d.world, d.liveNodes)
	return d
}

func (d *deployment) liveNodes() []*node {
	d.listMu.Lock()
	defer d.listMu.Unlock()
	var live []*node
	for _, n := range d.nodes {
		if n.running() {
			live = append(live, n)
		}
	}
	return live
}

// configure writes a version of the configuration.
func (d *deployment) configure() {
	d.version += 3
	routes := []map[string]any{}
	for _, q := range d.queues {
		route := map[string]any{"name": q.name, "host": q.host, "prefix": q.prefix, "service": serviceName, "timeout-ms": 3000, "target-latency-ms": 1000, "priority": q.priority, "attempts": q.attempts, "stretch": 2.0}
		if q.advice {
			route["advice"] = map[string]any{"decide-ms": 20, "each-ms": 5, "valid-ms": d.cloud.valid.Milliseconds()}
		}
		routes = append(routes, route)
	}
	d.store.put("op", "config", map[string]any{"version": d.version, "routes": routes, "services": []map[string]any{{"name": serviceName, "enforces-capacity": false}}, "limits": map[string]any{"max-body-bytes": 262144}})
	d.note("operator writes configuration %d", d.version)
}

func (d *deployment) addQueue(name string, priority, attempts int) *queue {
	q := &queue{name: name, host: name + ".example", prefix: "/" + name + "/", priority: priority, attempts: attempts}
	d.queues = append(d.queues, q)
	return q
}

func (d *deployment) addRunner(o runnerOptions) *runner {
	r := newRunner(d.world, o)
	d.listMu.Lock()
	d.runners = append(d.runners, r)
	d.listMu.Unlock()
	return r
}

// startNodes starts instances and waits until they are ready.
func (d *deployment) startNodes(shares ...float64) {
	first := len(d.nodes)
	for i, share := range shares {
		n := newNode(d.world, d.dir, fmt.Sprintf("front-%d", first+i+1), share, d.storeAddress, d.cloudAddress, d.adviceAddress)
		d.listMu.Lock()
		d.nodes = append(d.nodes, n)
		d.listMu.Unlock()
		n.start()
	}
	for _, n := range d.nodes[first:] {
		if !n.awaitReady(20 * time.Second) {
			d.close()
			cannotRun(n.name + " does not become ready")
		}
	}
}

// coordinator returns the instance whose log says that it coordinates, the last one that said so.
func (d *deployment) coordinator() *node {
	var latest *node
	var latestTime string
	for _, n := range d.nodes {
		data, _ := os.ReadFile(filepath.Join(d.dir, n.name+".log"))
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, `"msg":"coordinating"`) {
				if i := strings.Index(line, `"time":"`); i >= 0 && line[i+8:i+32] > latestTime {
					latest, latestTime = n, line[i+8:i+32]
				}
			}
		}
	}
	return latest
}

func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println(d.dir)
	}
}

// finish ends all processes, prints what was broken and exits.
func (d *deployment) finish(rules ...string) {
	d.close()
	status := 0
	d.outMu.Lock()
	for _, b := range d.breaks {
		rule, _, _ := strings.Cut(b, ":")
		if len(rules) == 0 || slices.Contains(rules, rule) {
			status = 1
			fmt.Println("broken:", b)
		}
	}
	d.outMu.Unlock()
	if status == 0 {
		fmt.Println("held")
	}
	os.Exit(status)
}
