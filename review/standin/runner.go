//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxHold       = 10 * time.Second // hold-max-ms
	endsPerAnswer = 500              // ends that one answer lists at most
	tickInterval  = 10 * time.Millisecond
	expectHeader  = "X-Bergamotstile-Expect-Instance"
)

// run is one run of a task on a runner.
type run struct {
	task       string
	number     int
	runner     *runner
	startedAt  time.Time
	work       time.Duration // zero for a task that lasts
	percent    int           // pace
	done       time.Duration // work done
	saved      string
	endedAt    time.Time // zero while it runs
	how        string
	endNumber  int
	notedAt    time.Time // when seen-upto reached the end; zero before
	listedAt   time.Time // when an answer first listed the end; zero before
	epoch      uint64    // fencing token of the start
	failsAfter time.Duration
}

// work says what the runs of a task do.
type work struct {
	takes       time.Duration // zero: it lasts
	checkpoints bool
	failsAfter  time.Duration // zero: it does not fail
	cpu         int64
	requires    string // label that the runner must have
}

// runner is a stand-in for a runner. It lists at most endsPerAnswer ends in an answer.
type runner struct {
	id, service, address string
	cpu, memory          int64  // guarded by mu once it has been started
	kind                 string // label; guarded by mu
	isCutOff             bool   // it does not reach the store; guarded by mu
	violations           []string
	sequence             int // of its entry in the registry
	rec                  *record
	plan                 func(task, spec string) work
	server               *http.Server

	mu          sync.Mutex
	born        time.Time
	epoch       uint64
	leaseUntil  time.Duration // on the runner's clock
	lapses      []time.Time
	isLapsed    bool
	running     map[string]*run
	highest     map[string]int // by task: highest run that was stopped or has ended
	ended       []*run
	lastEnd     int
	changed     chan struct{}
	all         []*run
	mostUnnoted int
}

func startRunner(id, service string, cpu, memory int64, rec *record, plan func(task, spec string) work) (*runner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, address: listener.Addr().String(), kind: "a", cpu: cpu, memory: memory, rec: rec, plan: plan,
		born: time.Now(), running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	go func() {
		for range time.Tick(tickInterval) {
			r.tick()
		}
	}()
	return r, nil
}

func (r *runner) clock() time.Duration { return time.Since(r.born) }

func (r *runner) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaseUntil > 0 && r.clock() > r.leaseUntil && !r.isLapsed {
		r.isLapsed = true
		r.lapses = append(r.lapses, time.Now())
		r.rec.add("%s: lease expired, %d runs are killed", r.id, len(r.running))
		for _, t := range r.running {
			r.end(t, "lapsed")
		}
	}
	for _, t := range r.running {
		t.done += tickInterval * time.Duration(t.percent) / 100
		switch {
		case t.failsAfter > 0 && t.done >= t.failsAfter:
			r.end(t, "failed")
		case t.work > 0 && t.done >= t.work:
			r.end(t, "done")
		}
	}
}

// end ends a run. The caller holds mu.
func (r *runner) end(t *run, how string) {
	delete(r.running, t.task)
	r.highest[t.task] = max(r.highest[t.task], t.number)
	r.lastEnd++
	t.endedAt, t.how, t.endNumber = time.Now(), how, r.lastEnd
	r.ended = append(r.ended, t)
	if len(r.ended) > r.mostUnnoted {
		r.mostUnnoted = len(r.ended)
	}
	r.rec.add("%s: end %d: task %s run %d %s", r.id, t.endNumber, t.task, t.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

type callBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Epoch      uint64 `json:"fence-token"`
	DeadlineMS int64  `json:"deadline-ms"`
	Saved      string `json:"checkpointed"`
	Percent    int    `json:"percent"`
	SeenUpTo   int    `json:"seen-upto"`
	WaitMS     int    `json:"wait-ms"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var body callBody
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := req.Header.Get(expectHeader); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	reason := r.execute(req.URL.Path, body)
	isHold := strings.HasSuffix(req.URL.Path, "/hold")
	if isHold && reason == "" && body.WaitMS > 0 && len(r.ended) == 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(body.WaitMS) * time.Millisecond):
		}
		r.mu.Lock()
	}
	response := map[string]any{"timestamp-ms": r.clock().Milliseconds(), "born": r.born.UnixMilli()}
	if isHold && reason == "" {
		response["running"], response["ended"] = r.lists()
	}
	r.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
		response["reason"] = reason
	}
	writeJSON(w, status, response)
}

// execute carries out a call and returns the reason of a refusal. The caller holds mu.
func (r *runner) execute(path string, body callBody) string {
	if body.Epoch < r.epoch {
		return "fence"
	}
	r.epoch = body.Epoch
	deadline := min(time.Duration(body.DeadlineMS)*time.Millisecond, r.clock()+maxHold)
	isLate := body.DeadlineMS > 0 && deadline <= r.clock()
	if body.DeadlineMS > 0 && !isLate {
		r.leaseUntil, r.isLapsed = max(r.leaseUntil, deadline), false
	}
	switch path {
	case "/api/run-start":
		return r.start(body, isLate)
	case "/api/run-stop":
		if t := r.running[body.Task]; t != nil && t.number <= body.Run {
			r.end(t, "stopped")
		}
		r.highest[body.Task] = max(r.highest[body.Task], body.Run)
	case "/api/pace":
		if t := r.running[body.Task]; t != nil && t.number == body.Run {
			t.percent = body.Percent
		}
	case "/api/hold":
		kept := r.ended[:0:0]
		for _, t := range r.ended {
			if t.endNumber > body.SeenUpTo {
				kept = append(kept, t)
				continue
			}
			t.notedAt = time.Now()
		}
		if len(kept) != len(r.ended) {
			r.rec.add("%s: ends up to %d are taken note of", r.id, body.SeenUpTo)
		}
		r.ended = kept
	}
	return ""
}

func (r *runner) start(body callBody, isLate bool) string {
	if t := r.running[body.Task]; t != nil && t.number == body.Run {
		return ""
	}
	if isLate {
		return "late"
	}
	if body.Run <= r.highest[body.Task] || r.running[body.Task] != nil {
		return "old"
	}
	w := r.plan(body.Task, body.Spec)
	t := &run{task: body.Task, number: body.Run, runner: r, startedAt: time.Now(), work: w.takes, failsAfter: w.failsAfter, percent: 100, saved: body.Saved, epoch: body.Epoch}
	if w.checkpoints && t.saved == "" {
		t.saved = fmt.Sprintf("%016x", len(r.all)+1)
	}
	r.running[body.Task] = t
	r.all = append(r.all, t)
	r.rec.add("%s: start of task %s run %d", r.id, t.task, t.number)
	var used int64
	for _, other := range r.running {
		used += r.plan(other.task, "").cpu
	}
	if used > r.cpu {
		r.violations = append(r.violations, fmt.Sprintf("LIMIT: %s: start of task %s run %d at %.3f s brings the use of cpu to %d, the capacity is %d", r.id, t.task, t.number, time.Since(r.rec.started).Seconds(), used, r.cpu))
	}
	if w.requires != "" && w.requires != r.kind {
		r.violations = append(r.violations, fmt.Sprintf("ROUTE: %s: start of task %s run %d at %.3f s, which requires the label %s; the runner has %s", r.id, t.task, t.number, time.Since(r.rec.started).Seconds(), w.requires, r.kind))
	}
	return ""
}

// crash ends everything that runs on the runner. It starts again at once, under the id and
// at the address that it had, and as another kind of runner.
func (r *runner) crash(kind string, cpu int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.running {
		t.endedAt, t.how = time.Now(), "crashed"
	}
	r.rec.say("%s: crashes with %d runs and starts again, as kind %s with cpu %d", r.id, len(r.running), kind, cpu)
	r.born, r.epoch, r.leaseUntil, r.isLapsed, r.lastEnd = time.Now(), 0, 0, false, 0
	r.running, r.highest, r.ended = map[string]*run{}, map[string]int{}, nil
	r.kind, r.cpu = kind, cpu
	close(r.changed)
	r.changed = make(chan struct{})
}

// lists returns what runs and the oldest ends. The caller holds mu.
func (r *runner) lists() (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	for _, t := range r.running {
		percent := 100
		if t.work > 0 {
			percent = min(99, int(100*t.done/t.work))
		}
		running = append(running, []any{t.task, t.number, t.saved, percent, 100})
	}
	for _, t := range r.ended[:min(len(r.ended), endsPerAnswer)] {
		if t.listedAt.IsZero() {
			t.listedAt = time.Now()
		}
		ended = append(ended, []any{t.endNumber, t.task, t.number, t.how, t.saved})
	}
	return running, ended
}

// lapsedBetween reports whether the runner's lease lapsed between two times.
func (r *runner) lapsedBetween(from, to time.Time) bool {
	for _, at := range r.lapses {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
