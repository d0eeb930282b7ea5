package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/platform/hosted/hostedtest"
	"bergamotstile/structs"
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
	// failingShare of the tasks fail once.
	failingShare = 0.05
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
	id        jobs.ID
	outcome   outcome
	lasting   bool
	cancelled bool      // the cancel was acknowledged
	asked     bool      // a cancel was sent
	at        time.Time // when it was accepted
}

// clients hand in jobs until they are stopped.
type clients struct {
	d      *deployment
	client *hostedtest.Client

	mu   sync.Mutex
	jobs []*submitted
}

func newClients(d *deployment) *clients {
	return &clients{d: d, client: hostedtest.NewClient(route, requestTime)}
}

// front returns the address of a random instance.
func (c *clients) front(random *rand.Rand) string {
	return c.d.instances[random.IntN(len(c.d.instances))].front
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

// draw returns a random job and what its tasks do, by name.
func draw(random *rand.Rand, id jobs.ID, lasting bool) (jobs.Spec, map[string]hostedtest.Task) {
	spec := jobs.Spec{Text: fmt.Sprintf("render %s %d", id, random.IntN(1000))}
	tasks := map[string]hostedtest.Task{}
	var before []string
	hopeless := random.Float64() < hopelessShare
	for i := range 1 + random.IntN(2) {
		s := jobs.Step{Count: 1 + random.IntN(4), Resources: structs.Resources{CPUMilli: 500 + random.Int64N(1500), MemoryMB: 100},
			Estimate: time.Duration(100+random.IntN(600)) * time.Millisecond}
		if lasting {
			s.LongRunning, s.Count, s.Resources.CPUMilli = true, 1, 500
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		var names []string
		for index := range s.Count {
			name := jobs.TaskID{Job: id, Step: i, Index: index}.String()
			t := hostedtest.Task{CPUMilli: s.Resources.CPUMilli, After: before, WorkTime: s.Estimate}
			switch {
			case lasting:
				t.WorkTime = 0
			case hopeless:
				t.PlannedFailures = attempts
			case random.Float64() < failingShare:
				t.PlannedFailures = 1
			}
			tasks[name] = t
			names = append(names, name)
		}
		before = names
		spec.Steps = append(spec.Steps, s)
		if lasting {
			break
		}
	}
	return spec, tasks
}

func (c *clients) submit(random *rand.Rand) *submitted {
	j := &submitted{id: jobs.ID(fmt.Sprintf("%016x", random.Uint64())), lasting: random.Float64() < lastingShare, outcome: rejected}
	spec, tasks := draw(random, j.id, j.lasting)
	c.d.recorder.RegisterJob(string(j.id), spec.Text, tasks)
	for range tries {
		answer := c.client.Submit(c.front(random), j.id, spec)
		switch {
		case answer.Accepted:
			j.outcome, j.at = accepted, time.Now()
		case !answer.Refused: // it may have been accepted
			j.outcome = unknown
		case !answer.RetryAfter:
			c.d.recorder.RecordViolation("job %s was refused without a time to come back", j.id)
		}
		if j.outcome == accepted {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if j.outcome == rejected {
		c.d.recorder.RecordRejection(string(j.id))
	}
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	return j
}

func (c *clients) cancel(j *submitted, random *rand.Rand) {
	c.mu.Lock()
	j.asked = true
	c.mu.Unlock()
	for range tries {
		if answer := c.client.Cancel(c.front(random), j.id); answer.Accepted || answer.Gone {
			j.cancelled = true
			return
		}
	}
}

// pendingAge is how long after its acceptance a job has to be counted as pending: 3 s
// until it shows, and 2 s that the number may be old.
const pendingAge = 5 * time.Second

// watchPending compares the numbers of pending jobs that instances tell with the jobs
// none of whose tasks has started, until ctx ends.
func (c *clients) watchPending(ctx context.Context, random *rand.Rand) {
	for ; ctx.Err() == nil; sleep(ctx, pollPause) {
		asked := time.Now()
		told, ok := c.client.Pending(c.front(random)).Pending()
		if waiting := c.waiting(asked.Add(-pendingAge)); ok && 2*told < waiting {
			c.d.recorder.RecordViolation("%d jobs are told to be pending, %d have waited for %v", told, waiting, pendingAge)
		}
	}
}

// waiting returns how many jobs were accepted before a time and have not begun.
func (c *clients) waiting(before time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, j := range c.jobs {
		if j.outcome == accepted && !j.asked && j.at.Before(before) && !c.d.recorder.HasStarted(string(j.id)) {
			count++
		}
	}
	return count
}

// check compares a job's state with what the runners did, and reports whether it
// has come to its end.
func (c *clients) check(j *submitted, random *rand.Rand) bool {
	r, job := c.d.recorder, string(j.id)
	answer := c.client.State(c.front(random), j.id)
	switch {
	case answer.Is(jobs.Completed):
		if !r.IsDone(job) {
			r.RecordViolation("job %s is shown as completed before its tasks are done", job)
		}
		return true
	case answer.Is(jobs.Failed):
		if !r.HasExhaustedAttempts(job) {
			r.RecordViolation("job %s is shown as failed without a task that failed %d times", job, attempts)
		}
		return true
	case answer.Is(jobs.Cancelled):
		if !j.asked {
			r.RecordViolation("job %s is shown as cancelled and nobody asked for that", job)
		}
		return r.CountRunning(job) == 0
	case answer.Gone:
		if j.outcome == accepted && !j.asked {
			r.RecordViolation("job %s was accepted and isn't known", job)
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
