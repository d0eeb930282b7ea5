//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment that runners keep to.
const (
	holdMax        = 10 * time.Second
	gangWait       = 3 * time.Second
	heartbeat      = 1500 * time.Millisecond
	saveInterval   = 500 * time.Millisecond
	restoreTime    = 100 * time.Millisecond
	farFactor      = 2
	maxListedEnds  = 500
	runnerTick     = 10 * time.Millisecond
	entryLapse     = 3 * heartbeat
	runnerClockMin = 100_000 // milliseconds
)

// runnerOptions describes a runner.
type runnerOptions struct {
	id       string
	cpu      int64
	memoryMB int64
	labels   []string // kind and rack
	// returnDelay is how long after the end of an outage the runner's entry, if it has lapsed, is back.
	returnDelay time.Duration
}

// runner is a stand-in for a runner. It guards no capacity.
type runner struct {
	runnerOptions
	world    *world
	address  string
	server   *http.Server
	born     time.Time
	sequence int

	mu        sync.Mutex
	token     uint64
	lease     time.Duration // on the runner's clock
	runs      map[string]*run
	highest   map[string]int // by task, the highest run that was stopped or has ended here
	ended     []endedRun
	number    int
	changed   chan struct{}
	draining  bool
	remaining time.Duration
	closed    chan struct{}
	lastBeat  time.Time
	isListed  bool
	// orderFault, if set, is asked for each order whether it gets no answer, and when it is carried out.
	orderFault func() (late bool, delay time.Duration)
}

// run is a run in progress.
type run struct {
	task    string
	number  int
	job     *job
	step    *step
	work    time.Duration // that the run needs
	done    time.Duration // that the run has
	saved   time.Duration // that a successor of the run has
	fails   bool
	started time.Time
	pace    int
	runner  *runner
}

type endedRun struct {
	number int
	task   string
	run    int
	how    string
	saved  string
}

func newRunner(w *world, options runnerOptions) *runner {
	r := &runner{runnerOptions: options, world: w, born: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}), closed: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r.address = listener.Addr().String()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	r.register()
	go r.work()
	go r.beat()
	w.note("runner %s is up at %s with %d thousandths, labels %v", r.id, r.address, r.cpu, r.labels)
	return r
}

func (r *runner) entry() map[string]any {
	e := map[string]any{"service": serviceName, "address": r.address, "zone": "z1", "version": "1", "slots": 8, "state": "ready", "warmup-left-ms": 0, "sequence": r.sequence,
		"capacity": map[string]any{"cpu": r.cpu, "mem-mb": r.memoryMB, "gpu": 0}, "labels": r.labels, "born": r.born.UnixMilli()}
	if r.draining {
		e["state"], e["remaining-ms"] = "draining", r.remaining.Milliseconds()
	}
	return e
}

// register writes the runner's entry.
func (r *runner) register() {
	r.mu.Lock()
	r.sequence++
	e := r.entry()
	r.lastBeat, r.isListed = time.Now(), true
	r.mu.Unlock()
	r.world.store.put(registryTable, r.id, e)
}

// beat writes the entry about every heartbeat. During an outage of the store the entry lapses after
// three heartbeats, and it is back within two seconds of the end of the outage.
func (r *runner) beat() {
	for {
		select {
		case <-r.closed:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s := r.world.store
		r.mu.Lock()
		last, listed := r.lastBeat, r.isListed
		r.mu.Unlock()
		switch {
		case s.down():
			if listed && time.Since(last) >= entryLapse {
				r.mu.Lock()
				r.isListed = false
				r.mu.Unlock()
				s.remove(registryTable, r.id)
				r.world.note("entry of %s lapses", r.id)
			}
		case !listed:
			if time.Since(s.restored) >= r.returnDelay {
				r.register()
				r.world.note("entry of %s is back", r.id)
			}
		case time.Since(last) >= heartbeat:
			r.register()
		}
	}
}

// drain reports that the runner leaves.
func (r *runner) drain(remaining time.Duration) {
	r.mu.Lock()
	r.draining, r.remaining = true, remaining
	r.mu.Unlock()
	r.register()
	r.world.note("runner %s drains, remaining %v", r.id, remaining)
}

// clock is the reading of the runner's clock.
func (r *runner) clock() time.Duration {
	return time.Since(r.born) + runnerClockMin*time.Millisecond
}

// stop ends the runner; everything on it ends without a trace.
func (r *runner) stop(why string) {
	r.world.mu.Lock()
	r.mu.Lock()
	for _, t := range r.runs {
		r.world.recordEnd(r, t, why)
	}
	r.runs = map[string]*run{}
	select {
	case <-r.closed:
	default:
		close(r.closed)
	}
	r.mu.Unlock()
	r.world.mu.Unlock()
	_ = r.server.Close()
	r.world.store.remove(registryTable, r.id)
	r.world.note("runner %s is gone: %s", r.id, why)
}

type callBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline-ms"`
	Token      uint64 `json:"fence-token"`
	Checkpoint string `json:"checkpointed"`
	Ticket     string `json:"ticket"`
	Percent    int    `json:"percent"`
	SeenUpTo   int    `json:"seen-upto"`
	WaitMS     int    `json:"wait-ms"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var body callBody
	if err := json.NewDecoder(q.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := q.Header.Get("X-Bergamotstile-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fault := r.orderFault; fault != nil && q.URL.Path != "/api/hold" {
		if late, delay := fault(); late {
			r.world.note("%s %s run %d on %s gets no answer, carried out %v later", q.URL.Path, body.Task, body.Run, r.id, delay)
			time.AfterFunc(delay, func() { r.call(q.URL.Path, body, true) })
			select { // until the caller gives up
			case <-q.Context().Done():
			case <-r.closed:
			}
			panic(http.ErrAbortHandler)
		}
	}
	reason := r.call(q.URL.Path, body, false)
	if q.URL.Path == "/api/hold" && reason == "" && body.WaitMS > 0 {
		r.mu.Lock()
		changed, waits := r.changed, len(r.ended) == 0
		r.mu.Unlock()
		if waits {
			select {
			case <-changed:
			case <-time.After(time.Duration(body.WaitMS) * time.Millisecond):
			case <-r.closed:
			}
		}
	}
	select {
	case <-r.closed:
		panic(http.ErrAbortHandler)
	default:
	}
	response := map[string]any{"timestamp-ms": r.clock().Milliseconds(), "born": r.born.UnixMilli()}
	if q.URL.Path == "/api/hold" {
		response["running"], response["ended"] = r.lists()
	}
	status := http.StatusOK
	if reason != "" {
		status, response["reason"] = http.StatusConflict, reason
	}
	writeJSON(w, status, response)
}

// call carries out a call and returns why it is refused.
func (r *runner) call(path string, body callBody, late bool) (reason string) {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closed:
		return "gone"
	default:
	}
	if body.Token < r.token {
		return "fence"
	}
	r.token = body.Token
	deadline := min(time.Duration(body.Deadline)*time.Millisecond, r.clock()+holdMax)
	isLate := body.Deadline > 0 && deadline <= r.clock()
	if body.Deadline > 0 && !isLate {
		r.lease = max(r.lease, deadline)
	}
	switch path {
	case "/api/run-start":
		reason = r.start(body, isLate, late)
		if reason != "" {
			r.world.note("start of %s run %d on %s is refused: %s", body.Task, body.Run, r.id, reason)
		}
	case "/api/run-stop":
		if t := r.runs[body.Task]; t != nil && t.number <= body.Run {
			r.end(t, "stopped")
		}
		r.highest[body.Task] = max(r.highest[body.Task], body.Run)
	case "/api/pace":
		if t := r.runs[body.Task]; t != nil && t.number == body.Run {
			t.pace = body.Percent
		}
	case "/api/hold":
		kept := r.ended[:0:0]
		for _, e := range r.ended {
			if e.number > body.SeenUpTo {
				kept = append(kept, e)
			} else {
				r.world.recordSeen(e)
			}
		}
		r.ended = kept
	}
	return reason
}

// start starts a run. The caller holds both locks.
func (r *runner) start(body callBody, isLate, carriedOutLate bool) (reason string) {
	t := r.runs[body.Task]
	if t != nil && t.number == body.Run {
		return ""
	}
	if isLate {
		return "late"
	}
	if body.Run <= r.highest[body.Task] || t != nil {
		return "old"
	}
	j, s, _ := r.world.find(body.Task)
	if j != nil && r.world.adviceOn && !r.world.ticketValid(body.Task, r, body.Ticket) {
		return "ticket"
	}
	n := &run{task: body.Task, number: body.Run, job: j, step: s, started: time.Now(), pace: 100, runner: r}
	r.world.recordStart(r, n, body, carriedOutLate)
	r.runs[body.Task] = n
	if s == nil {
		return ""
	}
	n.work = s.work
	if s.Colocate != "" && !r.hasLabel(s.Colocate) {
		n.work *= farFactor
	}
	n.fails = r.world.fails(n)
	if s.Checkpoint && body.Checkpoint != "" {
		ms, _ := strconv.ParseInt(strings.TrimPrefix(body.Checkpoint, "c"), 10, 64)
		n.saved = time.Duration(ms) * time.Millisecond
		n.done = n.saved - restoreTime
	}
	return ""
}

func (r *runner) hasLabel(label string) bool {
	for _, l := range r.labels {
		if l == label {
			return true
		}
	}
	return false
}

// end ends a run and lists the end. The caller holds both locks.
func (r *runner) end(t *run, how string) {
	delete(r.runs, t.task)
	r.highest[t.task] = max(r.highest[t.task], t.number)
	r.number++
	if how == "stopped" && t.step != nil && t.step.Checkpoint {
		t.saved = max(t.saved, t.done)
	}
	r.ended = append(r.ended, endedRun{r.number, t.task, t.number, how, t.checkpoint()})
	r.world.recordEnd(r, t, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (t *run) checkpoint() string {
	if t.step == nil || !t.step.Checkpoint || t.saved <= 0 {
		return ""
	}
	return fmt.Sprintf("c%d", t.saved.Milliseconds())
}

func (t *run) percent() int {
	switch {
	case t.work == 0 || t.step == nil:
		return 0
	case t.step.LongRunning:
		return int(min(100, max(0, 100*t.done/t.work)))
	}
	return int(min(99, max(0, 100*t.done/t.work)))
}

func (r *runner) lists() (running, ended [][]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running, ended = [][]any{}, [][]any{}
	for _, t := range r.runs {
		running = append(running, []any{t.task, t.number, t.checkpoint(), t.percent(), 50})
	}
	for _, e := range r.ended[:min(len(r.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return running, ended
}

// work lets the runs of the runner go on.
func (r *runner) work() {
	last := time.Now()
	for {
		select {
		case <-r.closed:
			return
		case <-time.After(runnerTick):
		}
		now := time.Now()
		elapsed := now.Sub(last)
		last = now
		r.world.mu.Lock()
		r.mu.Lock()
		if r.lease > 0 && r.clock() > r.lease {
			for _, t := range r.runs {
				r.end(t, "lapsed")
			}
		}
		for _, t := range r.runs {
			r.advance(t, elapsed)
		}
		r.mu.Unlock()
		r.world.mu.Unlock()
	}
}

// advance lets one run go on. The caller holds both locks.
func (r *runner) advance(t *run, elapsed time.Duration) {
	if t.step == nil {
		return
	}
	if t.step.Gang {
		g := r.world.gangOf(t)
		switch {
		case g.done:
			r.end(t, "done")
			return
		case g.broken:
			r.end(t, "broken")
			return
		case !g.complete && time.Since(t.started) > gangWait:
			r.world.note("ALONE %s run %d on %s", t.task, t.number, r.id)
			r.end(t, "alone")
			return
		case !g.complete:
			return
		}
	}
	t.done += elapsed * time.Duration(t.pace) / 100
	if t.step.Checkpoint && t.done-t.saved >= saveInterval {
		t.saved = t.done
		r.world.task(t.task).checkpoints[t.checkpoint()] = true
	}
	if t.step.LongRunning || t.done < t.work {
		return
	}
	if t.fails {
		r.end(t, "failed")
		return
	}
	r.end(t, "done")
}

func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
