//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"bergamotstile/platform/hosted/hostedtest"
)

const (
	program       = "target/bergamotstile" // as deploy/system.toml builds and runs it
	host          = "nony24.example"
	prefix        = "/lohu930/"
	service       = "pathworks"
	startDeadline = 15 * time.Second
)

// settingsText has the fields and figures of a small deployment.
const settingsText = `node = %q
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "ogbomoso"
region = "oyo"
bootstrap = true
orders = "rpc"
[listen]
front = %q
readiness = %q
[limits]
cpu-share = 0.16
cores = 1
memory-mb = 284
max-fds = 4100
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
converge-ms = 2000
hold-max-ms = 10000
stop-ms = 200
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far-factor = 2
notice-ms = 4500
upkeep-s = 2
fencing = true
lease-ms = 3000
harm-ms = 4000
[platform]
address = %q
writes-per-s = 600
reads-per-s = 2000
row-bytes = 65536
history-s = 20
`

// instance is an entry instance that runs as a process of its own.
type instance struct {
	name, front, readiness string
	cmd                    *exec.Cmd
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir       string
	rec       *record
	store     *store
	instances []*instance
	runners   []*runner
	client    *http.Client
}

// freeAddress returns an address on which nobody listens. Its port is below those that the
// system gives to outgoing connections, which could take it before the instance does.
func freeAddress() (string, error) {
	const firstPort, ports, tries = 10_000, 20_000, 50
	var err error
	for range tries {
		var l net.Listener
		if l, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))); err == nil {
			address := l.Addr().String()
			return address, l.Close()
		}
	}
	return "", err
}

func startDeployment(rec *record, instances, runners int, cpu, memory int64, attempts int, plan func(task, spec string) work) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, rec: rec, client: &http.Client{Timeout: 3 * time.Second}}
	started.Store(d)
	if d.store, err = startStore(rec); err != nil {
		return d, err
	}
	d.store.Configure(1, hostedtest.Route{Host: host, Prefix: prefix, Service: service, Attempts: attempts})
	for i := range runners {
		r, err := startRunner(fmt.Sprintf("runner-%02d", i), service, cpu, memory, rec, plan)
		if err != nil {
			return d, err
		}
		d.runners = append(d.runners, r)
		d.register(r)
	}
	go func() { // runners write their entries about every heartbeat
		for range time.Tick(1500 * time.Millisecond) {
			if !d.store.down.Load() {
				for _, r := range d.runners {
					d.register(r)
				}
			}
		}
	}()
	for i := range instances {
		if err := d.startInstance(fmt.Sprintf("front-%d", i)); err != nil {
			return d, err
		}
	}
	for _, inst := range d.instances {
		if err := d.awaitReady(inst); err != nil {
			return d, err
		}
	}
	return d, nil
}

// register writes a runner's entry into the registry.
func (d *deployment) register(r *runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCutOff {
		return
	}
	r.sequence++
	entry, _ := json.Marshal(map[string]any{"service": r.service, "address": r.address, "zone": "ogbomoso", "version": "1", "slots": 8, "state": "ready",
		"sequence": r.sequence, "born": r.born.UnixMilli(), "capacity": map[string]any{"cpu": r.cpu, "mem-mb": r.memory, "gpu": 0}, "labels": []string{r.kind, "r-1"}})
	d.store.RegisterRaw(r.id, entry)
}

func (d *deployment) startInstance(name string) error {
	inst := &instance{name: name}
	var err error
	if inst.front, err = freeAddress(); err != nil {
		return err
	}
	if inst.readiness, err = freeAddress(); err != nil {
		return err
	}
	path := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, settingsText, name, inst.front, inst.readiness, d.store.address), 0o600); err != nil {
		return err
	}
	logFile, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return err
	}
	inst.cmd = exec.Command(program, "serve")
	inst.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERGAMOTSTILE_SETTINGS=" + path}
	inst.cmd.Stdout, inst.cmd.Stderr = logFile, logFile
	if err := inst.cmd.Start(); err != nil {
		return err
	}
	d.instances = append(d.instances, inst)
	d.rec.add("%s: started, front %s", name, inst.front)
	return nil
}

func (d *deployment) awaitReady(inst *instance) error {
	for until := time.Now().Add(startDeadline); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		res, err := d.client.Get("http://" + inst.readiness + "/api/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	log, _ := os.ReadFile(filepath.Join(d.dir, inst.name+".log"))
	return fmt.Errorf("%s is not ready; the end of its log: %s", inst.name, log[max(0, len(log)-1000):])
}

// stop ends all processes that the deployment started.
func (d *deployment) stop() {
	for _, inst := range d.instances {
		if inst.cmd != nil && inst.cmd.Process != nil {
			_ = inst.cmd.Process.Kill()
			_ = inst.cmd.Wait()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// call sends a request of a client and returns the status and the body; status 0 means that
// there was no response.
func (d *deployment) call(method string, inst *instance, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+inst.front+prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Bergamotstile-Deadline-Ms", "3000")
	res, err := d.client.Do(req)
	if err != nil {
		d.rec.add("client: %s %s at %s: no response", method, id, inst.name)
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	answer, _ := io.ReadAll(res.Body)
	d.rec.add("client: %s %s at %s: %d %s", method, id, inst.name, res.StatusCode, strings.TrimSpace(string(answer)))
	return res.StatusCode, string(answer)
}

// submit submits a job until it is accepted, at another instance each time.
func (d *deployment) submit(id string, job any) bool {
	for try := range 20 {
		status, _ := d.call(http.MethodPost, d.instances[try%len(d.instances)], id, job)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as a client is told, or "" without one.
func (d *deployment) state(id string) string {
	for try := range 4 {
		status, body := d.call(http.MethodGet, d.instances[try%len(d.instances)], id, nil)
		if status == http.StatusGone {
			return "410"
		}
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil {
			return answer.State
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// jobID returns the ID of a job of the script.
func jobID(n int) string { return fmt.Sprintf("%016x", 0xa1b2c3d400000000+uint64(n)) }

// allRuns returns the runs on all runners, by task.
func (d *deployment) allRuns() map[string][]*run {
	byTask := map[string][]*run{}
	for _, r := range d.runners {
		r.mu.Lock()
		for _, t := range r.all {
			c := *t
			byTask[t.task] = append(byTask[t.task], &c)
		}
		r.mu.Unlock()
	}
	return byTask
}

// startsAfterDone returns a line for each start of a task after one of its runs had ended
// done, if that end was taken note of then or later without a lapse in between (rule TWICE).
func (d *deployment) startsAfterDone() []string {
	var found []string
	for task, runs := range d.allRuns() {
		for _, earlier := range runs {
			if earlier.how != "done" || earlier.notedAt.IsZero() || earlier.runner.lapsedBetween(earlier.endedAt, earlier.notedAt) {
				continue
			}
			for _, later := range runs {
				if later.startedAt.After(earlier.endedAt) {
					found = append(found, fmt.Sprintf("task %s: run %d on %s ended done at %.3f s (noted at %.3f s); run %d started on %s at %.3f s", task,
						earlier.number, earlier.runner.id, earlier.endedAt.Sub(d.rec.started).Seconds(), earlier.notedAt.Sub(d.rec.started).Seconds(),
						later.number, later.runner.id, later.startedAt.Sub(d.rec.started).Seconds()))
				}
			}
		}
	}
	return found
}
