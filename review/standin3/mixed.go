//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// mixedLoad plays random jobs of all kinds, with the faults named in FAULTS.
func mixedLoad(d *deployment, trouble bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 7))
	faults := map[string]bool{}
	for _, f := range strings.Split(os.Getenv("FAULTS"), ",") {
		faults[f] = trouble
	}
	play := 40 * time.Second
	renders := d.addQueue("renders", 2, 3)
	proofs := d.addQueue("proofs", 0, 2)
	advised := d.addQueue("advised", 1, 3)
	advised.advice = faults["advice"]
	d.adviceOn = faults["advice"]
	if d.adviceOn {
		renders.advice, proofs.advice = true, true
	}
	d.configure()
	n := 12
	racks := []string{"r1-1", "r1-2", "r1-3"}
	kinds := []string{"a", "b"}
	next := 0
	spawn := func(rack, kind string) *runner {
		next++
		return d.addRunner(runnerOptions{id: fmt.Sprintf("i-%03d", next), cpu: 4000, memoryMB: 64000, labels: []string{kind, rack}, returnDelay: time.Duration(rnd.IntN(1800)) * time.Millisecond})
	}
	byMachine := map[string]*runner{}
	var machines []string
	var alive []*runner
	for i := range n {
		r := spawn(racks[i%3], kinds[i%2])
		id := fmt.Sprintf("m-%02d", i)
		d.cloud.add(id, r.id)
		byMachine[id] = r
		machines = append(machines, id)
		alive = append(alive, r)
		if faults["late"] {
			lr := rand.New(rand.NewPCG(seed, uint64(i)))
			r.orderFault = func() (bool, time.Duration) {
				return lr.Float64() < 0.06, 2*time.Second + time.Duration(lr.Int64N(int64(10*time.Second)))
			}
		}
	}
	d.cloud.onDown = func(id string) { byMachine[id].stop("upkeep") }
	d.cloud.onUp = func(id string) string {
		old := byMachine[id]
		r := spawn(old.labels[1], old.labels[0])
		byMachine[id] = r
		return r.id
	}
	d.startNodes(0.16, 0.16, 0.16)
	time.Sleep(1500 * time.Millisecond)
	var jobs []*job
	end := time.Now().Add(play)
	stopFaults := make(chan struct{})
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		kinds := []string{}
		for _, f := range []string{"kill", "freeze", "store", "term", "crash", "drain", "wave", "config", "new"} {
			if faults[f] {
				kinds = append(kinds, f)
			}
		}
		wave := 0
		for len(kinds) > 0 {
			select {
			case <-stopFaults:
				return
			case <-time.After(time.Duration(1500+rnd.IntN(3000)) * time.Millisecond):
			}
			switch kinds[rnd.IntN(len(kinds))] {
			case "kill":
				if c := d.coordinator(); c != nil && c.running() {
					c.kill()
					time.Sleep(time.Duration(rnd.IntN(3500)) * time.Millisecond)
					c.start()
				}
			case "term":
				if c := d.coordinator(); c != nil && c.running() {
					c.signal(syscall.SIGTERM)
					<-c.exited
					time.Sleep(300 * time.Millisecond)
					c.start()
				}
			case "freeze":
				if c := d.coordinator(); c != nil && c.running() {
					c.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(2000+rnd.IntN(3000)) * time.Millisecond)
					c.signal(syscall.SIGCONT)
				}
			case "store":
				d.store.setDown(true)
				d.note("the store is down")
				time.Sleep(time.Duration(1000+rnd.IntN(3500)) * time.Millisecond)
				d.store.setDown(false)
				d.note("the store is back")
			case "crash":
				i := rnd.IntN(len(machines))
				old := byMachine[machines[i]]
				old.stop("crashed")
				time.Sleep(time.Duration(300+rnd.IntN(2000)) * time.Millisecond)
				r := spawn(old.labels[1], old.labels[0])
				byMachine[machines[i]] = r
				d.cloud.mu.Lock()
				d.cloud.machines[machines[i]].runner = r.id
				d.cloud.mu.Unlock()
			case "drain":
				i := rnd.IntN(len(machines))
				old := byMachine[machines[i]]
				old.drain(4 * time.Second)
				time.AfterFunc(5*time.Second, func() { old.stop("left") })
				r := spawn(old.labels[1], old.labels[0])
				byMachine[machines[i]] = r
				d.cloud.mu.Lock()
				d.cloud.machines[machines[i]].runner = r.id
				d.cloud.mu.Unlock()
			case "new":
				spawn(racks[rnd.IntN(3)], kinds[rnd.IntN(1)])
			case "wave":
				wave++
				list := []string{}
				for range 3 + rnd.IntN(4) {
					list = append(list, machines[rnd.IntN(len(machines))])
				}
				d.cloud.request(waveRequest{Wave: wave, Machines: list, FinishBy: float64(5 + rnd.IntN(20)), MaxCount: 1 + rnd.IntN(2)})
			case "config":
				d.configure()
			}
		}
	}()
	for time.Now().Before(end) {
		q := d.queues[rnd.IntN(3)]
		j := &job{id: randomID(), queue: q, Text: "text-" + randomID()}
		steps := 1 + rnd.IntN(3)
		for s := range steps {
			st := &step{Count: 1 + rnd.IntN(6), CPU: int64(100 + 100*rnd.IntN(10)), MemoryMB: 500, work: time.Duration(200+rnd.IntN(1500)) * time.Millisecond}
			st.EstimateMS = st.work.Milliseconds()
			if s > 0 {
				st.After = []int{s - 1}
			}
			switch rnd.IntN(9) {
			case 0, 1:
				st.Gang, st.SameRack = true, rnd.IntN(2) == 0
				st.Checkpoint = rnd.IntN(2) == 0
			case 2:
				st.Spread = 1
			case 3:
				st.Requires = kinds[rnd.IntN(2)]
			case 4:
				st.Colocate = racks[rnd.IntN(3)]
			case 5:
				st.Checkpoint, st.work = true, 3*time.Second
			case 6:
				st.Speculative = true
			case 7:
				st.fails = func(run int) bool { return run == 1 }
			}
			j.Steps = append(j.Steps, st)
		}
		switch rnd.IntN(12) {
		case 0, 1:
			j.Repeats, j.Interval = 2+rnd.IntN(4), int64(500+rnd.IntN(2000))
			j.FirstMS = time.Now().Add(time.Duration(rnd.IntN(3000)) * time.Millisecond).UnixMilli()
		case 2:
			j.Steps = []*step{{Count: 3, CPU: 300, MemoryMB: 300, EstimateMS: 500, LongRunning: true, MaxUnavailable: 1, work: 500 * time.Millisecond}}
		}
		jobs = append(jobs, j)
		d.client.submit(j)
		if rnd.IntN(15) == 0 {
			time.AfterFunc(time.Duration(rnd.IntN(2000))*time.Millisecond, func() { d.client.cancel(j) })
		}
		time.Sleep(time.Duration(100+rnd.IntN(500)) * time.Millisecond)
	}
	close(stopFaults)
	<-faultsDone
	for _, n := range d.nodes {
		if !n.running() {
			n.start()
		}
	}
	d.note("calm")
	time.Sleep(28 * time.Second)
	for _, j := range jobs {
		d.mu.Lock()
		accepted, cancelled, lasting, done := j.accepted, j.cancelSent, j.Steps[0].LongRunning, d.allDone(j)
		running := 0
		for name, t := range d.tasks {
			if strings.HasPrefix(name, j.id) {
				running += len(t.running)
			}
		}
		d.mu.Unlock()
		state, status := d.client.state(j)
		switch {
		case accepted && !cancelled && status == 410:
			d.broken("LOST", "job %s is unknown", j.id)
		case accepted && !cancelled && !lasting && state != "completed" && state != "failed":
			d.broken("LOST", "job %s is %q, done %v, running %d", j.id, state, done, running)
		case accepted && !cancelled && state == "failed":
			d.broken("LOST", "job %s failed", j.id)
		case state == "completed" && !done:
			d.broken("MIXED", "job %s is shown as completed", j.id)
		case accepted && !cancelled && lasting && running != 3:
			d.broken("LOST", "lasting job %s has %d tasks at work", j.id, running)
		case cancelled && running > 0:
			d.broken("UNASKED", "cancelled job %s has %d tasks at work", j.id, running)
		}
	}
	for number, w := range d.cloud.waves {
		value := string(d.store.value("status", fmt.Sprint("wave/", number)))
		if strings.Contains(value, "completed") {
			for _, m := range w.Machines {
				if !d.cloud.machines[m].begun[number] {
					d.broken("MIXED", "wave %d is completed without %s", number, m)
				}
			}
		} else {
			d.note("wave %d is not completed: %s", number, value)
		}
	}
	d.finish()
}
