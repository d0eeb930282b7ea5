//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Times of movedAdvice.
const (
	settleTime  = 3 * time.Second // between the signal and the jobs
	watchTime   = 25 * time.Second
	allowedIdle = 3 * time.Second // for which a job may have nothing running while its turn has come
)

// movedAdvice moves the advice service to another address. The settings files get the new address, and
// the coordinator, one of four instances, gets SIGHUP. Jobs of a queue with advice are handed in after that.
func movedAdvice(d *deployment, trouble bool) {
	proofs := d.addQueue("proofs", 0, 2)
	proofs.advice, d.adviceOn = true, true
	d.configure()
	for i := range 6 {
		d.addRunner(runnerOptions{id: fmt.Sprintf("i-%d", i), cpu: 32000, memoryMB: 128000, labels: []string{"a", "r1-1"}})
	}
	first := listen()
	server := &http.Server{Handler: d.cloud}
	go func() { _ = server.Serve(first) }()
	d.adviceAddress = first.Addr().String()
	d.startNodes(0.16, 0.16, 0.16, 0.16)
	time.Sleep(2 * time.Second)
	newJob := func() *job {
		return &job{id: randomID(), queue: proofs, Text: "proof", Steps: []*step{{Count: 4, CPU: 1000, MemoryMB: 500, EstimateMS: 500, work: 500 * time.Millisecond}}}
	}
	before := newJob()
	d.client.submit(before)
	time.Sleep(4 * time.Second)
	if !d.isDone(before) {
		d.close()
		cannotRun("a job does not run before the disruption")
	}
	if trouble {
		second := listen()
		go func() { _ = http.Serve(second, d.cloud) }()
		d.note("the advice service moves from %s to %s", first.Addr(), second.Addr())
		for _, n := range d.nodes {
			n.writeSettings(second.Addr().String())
		}
		_ = server.Close()
		c := d.coordinator()
		if c == nil {
			d.close()
			cannotRun("no instance coordinates")
		}
		c.signal(syscall.SIGHUP)
	}
	time.Sleep(settleTime)
	var jobs []*job
	for range 3 {
		j := newJob()
		if d.client.submit(j) {
			jobs = append(jobs, j)
		}
	}
	time.Sleep(watchTime)
	for _, j := range jobs {
		state, _ := d.client.state(j)
		d.note("job %s is shown as %s", j.id, state)
		if idle := time.Since(j.acceptedAt); !d.hasStarted(j) && idle > allowedIdle {
			d.broken("LOST", "job %s has had nothing running for %v, all runners are idle", j.id, idle.Round(time.Second))
		}
	}
	d.finish("LOST")
}

func listen() net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	return listener
}

func (d *deployment) isDone(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.allDone(j)
}

func (d *deployment) hasStarted(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, t := range d.tasks {
		if strings.HasPrefix(name, j.id) && t.starts > 0 {
			return true
		}
	}
	return false
}
