//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	maxLease      = 10 * time.Second       // hold-max-ms
	stopTime      = 100 * time.Millisecond // stop-ms at most
	runnerTick    = 10 * time.Millisecond
	maxListedEnds = 500
	runnerUptime  = 8 * time.Minute // of a runner at the start of a script
)

// taskPlan is how the runs of a task proceed: how long one takes (zero for one that lasts)
// and whether it fails.
type taskPlan struct {
	work  time.Duration
	fails bool
}

// runner is a stand-in of a runner. It follows the section "Running tasks" of the users'
// protocol, without gangs, checkpoints and interference between tasks.
type runner struct {
	id, address string
	cpuMilli    int64
	rec         *record
	plan        func(task string, run int) taskPlan
	onStart     func(r *runner, task string)
	onEnd       func(r *runner, task string)
	// intercept, if set, may handle a call instead of the runner; it reports whether it did.
	intercept func(r *runner, w http.ResponseWriter, req *http.Request, body callBody) bool
	// isCut, if set, reports whether the runner is cut off, so that nothing reaches a caller.
	isCut func(r *runner) bool
	kind  string // the label of its kind of machine

	mu        sync.Mutex
	born      time.Time
	fence     uint64
	lease     time.Duration // on the runner's clock
	running   map[string]*taskRun
	used      map[string]int // highest run stopped or ended, by task
	ended     []endedRun
	lastEnd   int
	changed   chan struct{}
	server    *http.Server
	closed    chan struct{}
	closeOnce sync.Once
}

type taskRun struct {
	run     int
	began   time.Time
	plan    taskPlan
	stopsAt time.Time
}

type endedRun struct {
	number int
	task   string
	run    int
	how    string
}

// callBody is the body of a call of a runner.
type callBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Token      uint64 `json:"fence-token"`
	DeadlineMS int64  `json:"deadline-ms"`
	SeenUpTo   int    `json:"seen-upto"`
	WaitMS     int    `json:"wait-ms"`
}

func startRunner(id string, cpuMilli int64, rec *record, plan func(string, int) taskPlan) (*runner, error) {
	r := &runner{id: id, kind: "a", cpuMilli: cpuMilli, rec: rec, plan: plan, closed: make(chan struct{})}
	r.reset()
	r.born = r.born.Add(-runnerUptime)
	var err error
	if r.server, r.address, err = serve("127.0.0.1:0", r); err != nil {
		return nil, err
	}
	go r.work()
	return r, nil
}

// reset puts the runner into the state of a new process.
func (r *runner) reset() {
	r.born, r.fence, r.lease, r.lastEnd, r.ended = time.Now(), 0, 0, 0, nil
	r.running, r.used, r.changed = map[string]*taskRun{}, map[string]int{}, make(chan struct{})
}

func (r *runner) close() {
	r.closeOnce.Do(func() {
		close(r.closed)
		_ = r.server.Close()
	})
}

func (r *runner) clock() time.Duration { return time.Since(r.born) }

func (r *runner) work() {
	tick := time.NewTicker(runnerTick)
	defer tick.Stop()
	for {
		select {
		case <-r.closed:
			return
		case <-tick.C:
		}
		r.mu.Lock()
		lapsed := r.lease > 0 && r.clock() > r.lease
		for task, t := range r.running {
			switch {
			case lapsed:
				r.end(task, t, "lapsed")
			case !t.stopsAt.IsZero() && time.Now().After(t.stopsAt):
				r.end(task, t, "stopped")
			case t.plan.work > 0 && time.Since(t.began) >= t.plan.work && t.plan.fails:
				r.end(task, t, "failed")
			case t.plan.work > 0 && time.Since(t.began) >= t.plan.work:
				r.end(task, t, "done")
			}
		}
		r.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (r *runner) end(task string, t *taskRun, how string) {
	delete(r.running, task)
	r.used[task] = max(r.used[task], t.run)
	r.lastEnd++
	r.ended = append(r.ended, endedRun{r.lastEnd, task, t.run, how})
	r.rec.write("%s: run %d of %s ends %s", r.id, t.run, task, how)
	if r.onEnd != nil {
		r.onEnd(r, task)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet {
		return // the health check
	}
	var body callBody
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := req.Header.Get("X-Bergamotstile-Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.intercept != nil && r.intercept(r, w, req, body) {
		return
	}
	reason, wait := r.execute(req.URL.Path, body)
	if wait != nil {
		select {
		case <-wait:
		case <-time.After(time.Duration(body.WaitMS) * time.Millisecond):
		case <-req.Context().Done():
		}
	}
	if r.isCut != nil && r.isCut(r) {
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	res := map[string]any{"timestamp-ms": r.clock().Milliseconds(), "born": r.born.UnixMilli()}
	if req.URL.Path == "/api/hold" && reason == "" {
		res["running"], res["ended"] = r.lists()
	}
	r.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
		res["reason"] = reason
	}
	writeJSON(w, status, res)
}

// execute carries out a call. It returns why it refuses the call, or the channel for which
// the answer waits.
func (r *runner) execute(path string, body callBody) (reason string, wait <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if body.Token < r.fence {
		return "fence", nil
	}
	r.fence = body.Token
	deadline := min(time.Duration(body.DeadlineMS)*time.Millisecond, r.clock()+maxLease)
	late := body.DeadlineMS > 0 && deadline <= r.clock()
	if !late {
		r.lease = max(r.lease, deadline)
	}
	switch path {
	case "/api/run-start":
		return r.start(body, late), nil
	case "/api/run-stop":
		if t := r.running[body.Task]; t != nil && t.run <= body.Run && t.stopsAt.IsZero() {
			t.stopsAt = time.Now().Add(stopTime)
		}
		r.used[body.Task] = max(r.used[body.Task], body.Run)
	case "/api/hold":
		kept := r.ended[:0]
		for _, e := range r.ended {
			if e.number > body.SeenUpTo {
				kept = append(kept, e)
			} else {
				r.rec.write("%s: end of run %d of %s (%s) is taken note of", r.id, e.run, e.task, e.how)
			}
		}
		r.ended = kept
		if body.WaitMS > 0 && len(r.ended) == 0 {
			return "", r.changed
		}
	}
	return "", nil
}

// start starts a run or returns why not. The caller holds mu.
func (r *runner) start(body callBody, late bool) string {
	t := r.running[body.Task]
	switch {
	case t != nil && t.run == body.Run:
		return ""
	case late:
		return "late"
	case body.Run <= r.used[body.Task] || t != nil:
		return "old"
	}
	r.running[body.Task] = &taskRun{run: body.Run, began: time.Now(), plan: r.plan(body.Task, body.Run)}
	r.rec.write("%s: run %d of %s starts, fence %d", r.id, body.Run, body.Task, body.Token)
	if r.onStart != nil {
		r.onStart(r, body.Task)
	}
	return ""
}

// lists returns the lists of runs in progress and of ended runs. The caller holds mu.
func (r *runner) lists() (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	for task, t := range r.running {
		percent := 100
		if t.plan.work > 0 {
			percent = min(99, int(100*time.Since(t.began)/t.plan.work))
		}
		running = append(running, []any{task, t.run, "", percent, 100})
	}
	for _, e := range r.ended[:min(len(r.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return running, ended
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}
