package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bergamotstile/platform/hosted/hostedtest"
)

const (
	requestTime = 3 * time.Second
	tries       = 5
	// lastingShare of the jobs last until they are cancelled; cancelShare of the
	// others are cancelled soon.
	lastingShare = 0.1
	cancelShare  = 0.1
	// hopelessShare of the jobs can never be done.
	hopelessShare = 0.05
)

// outcome is what became of a job for its client.
type outcome int

const (
	unknown outcome = iota // no attempt was answered for good
	accepted
	rejected
)

// submitted is a job that a client has handed in.
type submitted struct {
	id        string
	outcome   outcome
	lasting   bool
	cancelled bool // the cancel was acknowledged
	asked     bool // a cancel was sent
}

// clients hand in jobs until they are stopped.
type clients struct {
	d    *deployment
	http *http.Client

	mu   sync.Mutex
	jobs []*submitted
}

func newClients(d *deployment) *clients {
	return &clients{d: d, http: &http.Client{Timeout: requestTime, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// call sends a request to a random instance, on a connection that is open if
// there is one. It returns status 0 if no complete answer came.
func (c *clients) call(random *rand.Rand, method, id string, body []byte) (status int, answer []byte, retryAfter string) {
	in := c.d.instances[random.IntN(len(c.d.instances))]
	req, err := http.NewRequest(method, "http://"+in.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, ""
	}
	req.Host = host
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, ""
	}
	defer func() { _ = res.Body.Close() }()
	answer, err = io.ReadAll(res.Body)
	if err != nil {
		return 0, nil, ""
	}
	return res.StatusCode, answer, res.Header.Get("Retry-After")
}

// run hands in jobs until ctx ends.
func (c *clients) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		j := c.submit(random)
		if j.outcome == accepted && !j.lasting && random.Float64() < cancelShare {
			c.cancel(j, random)
		}
		sleep(ctx, time.Duration(random.IntN(150))*time.Millisecond)
	}
}

type stepBody struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	Mem         int64 `json:"mem-mb"`
	Estimate    int64 `json:"estimate-ms"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"long-running,omitempty"`
}

// draw returns a random job with its tasks by name.
func draw(random *rand.Rand, id string, lasting bool) ([]byte, string, map[string]hostedtest.Task) {
	spec := fmt.Sprintf("render %s %d", id, random.IntN(1000))
	tasks := map[string]hostedtest.Task{}
	var steps []stepBody
	var before []string
	hopeless := random.Float64() < hopelessShare
	for i := range 1 + random.IntN(2) {
		s := stepBody{Count: 1 + random.IntN(4), CPU: 500 + random.Int64N(1500), Mem: 100, Estimate: 100 + random.Int64N(600)}
		if lasting {
			s.LongRunning, s.Count, s.CPU = true, 1, 500
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		var names []string
		for index := range s.Count {
			name := fmt.Sprintf("%s.0.%d.%d", id, i, index)
			t := hostedtest.Task{CPU: s.CPU, After: before, Work: time.Duration(s.Estimate) * time.Millisecond}
			switch {
			case lasting:
				t.Work = 0
			case hopeless:
				t.FailedRuns = attempts
			case random.Float64() < 0.05:
				t.FailedRuns = 1
			}
			tasks[name] = t
			names = append(names, name)
		}
		before = names
		steps = append(steps, s)
		if lasting {
			break
		}
	}
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps}) // plain values can't fail
	return body, spec, tasks
}

func (c *clients) submit(random *rand.Rand) *submitted {
	j := &submitted{id: fmt.Sprintf("%016x", random.Uint64()), lasting: random.Float64() < lastingShare, outcome: rejected}
	body, spec, tasks := draw(random, j.id, j.lasting)
	c.d.recorder.Submitting(j.id, spec, tasks)
	for range tries {
		status, _, retryAfter := c.call(random, http.MethodPost, j.id, body)
		switch {
		case status >= 200 && status < 300:
			j.outcome = accepted
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			if retryAfter == "" {
				c.d.recorder.Violate("job %s was refused without a time to come back", j.id)
			}
		default: // it may have been accepted
			j.outcome = unknown
		}
		if j.outcome == accepted {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if j.outcome == rejected {
		c.d.recorder.Rejected(j.id)
	}
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	return j
}

func (c *clients) cancel(j *submitted, random *rand.Rand) {
	j.asked = true
	for range tries {
		status, _, _ := c.call(random, http.MethodDelete, j.id, nil)
		if status >= 200 && status < 300 || status == http.StatusGone {
			j.cancelled = true
			return
		}
	}
}

// state asks for a job's state. It is empty if none was told, "gone" for 410.
func (c *clients) state(j *submitted, random *rand.Rand) string {
	status, answer, _ := c.call(random, http.MethodGet, j.id, nil)
	if status == http.StatusGone {
		return "gone"
	}
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &body) != nil {
		return ""
	}
	return body.State
}

// check compares a state with what the runners did, and reports whether the job
// has come to its end.
func (c *clients) check(j *submitted, state string) bool {
	r := c.d.recorder
	switch state {
	case "completed":
		if !r.Done(j.id) {
			r.Violate("job %s is shown as completed before its tasks are done", j.id)
		}
		return true
	case "failed":
		if !r.Exhausted(j.id) {
			r.Violate("job %s is shown as failed without a task that failed %d times", j.id, attempts)
		}
		return true
	case "cancelled":
		if !j.asked {
			r.Violate("job %s is shown as cancelled and nobody asked for that", j.id)
		}
		return r.Running(j.id) == 0
	case "gone":
		if j.outcome == accepted && !j.asked {
			r.Violate("job %s was accepted and isn't known", j.id)
		}
		return j.outcome != accepted || j.asked
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
