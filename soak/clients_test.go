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
	requestTimeout = 3 * time.Second
	maxTries       = 5
	// longRunningShare is the share of the jobs that run until they are cancelled.
	// cancelShare is the share of the other jobs that are cancelled directly after
	// they were accepted.
	longRunningShare = 0.1
	cancelShare      = 0.1
	// unknownCancelShare is the share of the jobs of unknown outcome that are cancelled. The store
	// may still carry out the writes that submit them.
	unknownCancelShare = 0.5
	// alwaysFailingShare is the share of the jobs whose tasks fail in every run that
	// maxAttempts allows.
	alwaysFailingShare = 0.05
	// failingOnceShare is the share of the other jobs' tasks that fail in their
	// first run.
	failingOnceShare = 0.05
)

// submitOutcome is the outcome of the submit of a job as the client observed it.
type submitOutcome int

const (
	outcomeUnknown submitOutcome = iota // no answer accepted the job, but a call without an answer may have been accepted
	outcomeAccepted
	outcomeRejected
)

// submittedJob is a job that a client has submitted.
type submittedJob struct {
	id                 jobs.ID
	outcome            submitOutcome
	longRunning        bool
	cancelAcknowledged bool
	cancelSent         bool
	cancelledAsUnknown bool      // the cancel was answered with "no such job"
	acceptedAt         time.Time // zero unless it was accepted
}

// clients submits jobs to the instances of a deployment and records them.
type clients struct {
	deployment *deployment
	client     *hostedtest.Client

	mu   sync.Mutex
	jobs []*submittedJob
}

func newClients(d *deployment) *clients {
	return &clients{deployment: d, client: hostedtest.NewClient(route, requestTimeout)}
}

// pickClientAddress returns the address at which a random instance listens for clients.
func (c *clients) pickClientAddress(random *rand.Rand) string {
	return c.deployment.instances[random.IntN(len(c.deployment.instances))].clientAddress
}

// run submits jobs until ctx ends, and cancels some of them.
func (c *clients) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		j := c.submit(random)
		share := cancelShare
		if j.outcome == outcomeUnknown {
			share = unknownCancelShare
		}
		if j.outcome != outcomeRejected && !j.longRunning && random.Float64() < share {
			c.cancel(j, random)
		}
		sleep(ctx, time.Duration(random.IntN(150))*time.Millisecond)
	}
}

// randomJob returns a random job of one or two steps, and its tasks by name with the
// behaviour of their runs.
func randomJob(random *rand.Rand, id jobs.ID, longRunning bool) (jobs.Spec, map[string]hostedtest.Task) {
	spec := jobs.Spec{Text: fmt.Sprintf("render %s %d", id, random.IntN(1000))}
	tasks := map[string]hostedtest.Task{}
	var previousTasks []string
	alwaysFails := random.Float64() < alwaysFailingShare
	for i := range 1 + random.IntN(2) {
		step := jobs.Step{Count: 1 + random.IntN(4), Resources: structs.Resources{CPUMilli: 500 + random.Int64N(1500), MemoryMB: 100},
			Estimate: time.Duration(100+random.IntN(600)) * time.Millisecond}
		if longRunning {
			step.LongRunning, step.Count, step.Resources.CPUMilli = true, 1, 500
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		var taskNames []string
		for index := range step.Count {
			name := jobs.TaskID{Job: id, Step: i, Index: index}.String()
			task := hostedtest.Task{CPUMilli: step.Resources.CPUMilli, After: previousTasks, WorkTime: step.Estimate}
			switch {
			case longRunning:
				task.WorkTime = 0
			case alwaysFails:
				task.PlannedFailures = maxAttempts
			case random.Float64() < failingOnceShare:
				task.PlannedFailures = 1
			}
			tasks[name] = task
			taskNames = append(taskNames, name)
		}
		previousTasks = taskNames
		spec.Steps = append(spec.Steps, step)
		if longRunning {
			break
		}
	}
	return spec, tasks
}

// submit submits a random job, in up to maxTries calls to random instances.
func (c *clients) submit(random *rand.Rand) *submittedJob {
	j := &submittedJob{id: jobs.ID(fmt.Sprintf("%016x", random.Uint64())), longRunning: random.Float64() < longRunningShare, outcome: outcomeRejected}
	spec, tasks := randomJob(random, j.id, j.longRunning)
	c.deployment.recorder.RegisterJob(string(j.id), spec.Text, tasks)
	for range maxTries {
		answer := c.client.Submit(c.pickClientAddress(random), j.id, spec)
		switch {
		case answer.Accepted:
			j.outcome, j.acceptedAt = outcomeAccepted, time.Now()
		case !answer.Refused: // the job may have been accepted
			j.outcome = outcomeUnknown
		case !answer.RetryAfter:
			c.deployment.recorder.RecordViolation("job %s was refused without a time to retry after", j.id)
		}
		if j.outcome == outcomeAccepted {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if j.outcome == outcomeRejected {
		c.deployment.recorder.RecordRejection(string(j.id))
	}
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	return j
}

// cancel cancels a job, in up to maxTries calls to random instances.
func (c *clients) cancel(j *submittedJob, random *rand.Rand) {
	c.mu.Lock()
	j.cancelSent = true
	c.mu.Unlock()
	for range maxTries {
		if answer := c.client.Cancel(c.pickClientAddress(random), j.id); answer.Accepted || answer.NoSuchJob {
			j.cancelAcknowledged, j.cancelledAsUnknown = true, answer.NoSuchJob
			return
		}
	}
}

// pendingReportedAfter is the time after its acceptance from which a waiting job must be
// counted as pending: 3 s until the job is visible to the count, and 2 s for the age of
// the reported number.
const pendingReportedAfter = 5 * time.Second

// watchPending polls the numbers of pending jobs that instances report, until ctx ends.
// A reported number must be at least half of the number of jobs that were accepted more
// than pendingReportedAfter ago, were not cancelled, and none of whose tasks has started.
func (c *clients) watchPending(ctx context.Context, random *rand.Rand) {
	for ; ctx.Err() == nil; sleep(ctx, pollInterval) {
		polledAt := time.Now()
		reported, ok := c.client.Pending(c.pickClientAddress(random)).Pending()
		if notStarted := c.countNotStarted(polledAt.Add(-pendingReportedAfter)); ok && 2*reported < notStarted {
			c.deployment.recorder.RecordViolation("%d jobs are reported as pending, %d have waited for %v", reported, notStarted, pendingReportedAfter)
		}
	}
}

// countNotStarted returns the number of jobs that were accepted before a time, were not
// cancelled, and none of whose tasks has started.
func (c *clients) countNotStarted(before time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, j := range c.jobs {
		if j.outcome == outcomeAccepted && !j.cancelSent && j.acceptedAt.Before(before) && !c.deployment.recorder.HasStarted(string(j.id)) {
			count++
		}
	}
	return count
}

// checkState compares the state of a job that an instance reports with what the runners
// did, and returns whether the job has ended.
func (c *clients) checkState(j *submittedJob, random *rand.Rand) bool {
	r, jobID := c.deployment.recorder, string(j.id)
	answer := c.client.State(c.pickClientAddress(random), j.id)
	if j.cancelledAsUnknown && (answer.Is(jobs.Completed) || answer.NoSuchJob && r.HasStarted(jobID)) {
		r.RecordViolation("job %s ran after its cancel was answered with no such job", jobID)
	}
	switch {
	case answer.Is(jobs.Completed):
		if !r.IsDone(jobID) {
			r.RecordViolation("job %s is reported as completed before its tasks are done", jobID)
		}
		return true
	case answer.Is(jobs.Failed):
		if !r.HasExhaustedAttempts(jobID) {
			r.RecordViolation("job %s is reported as failed without a task that failed %d times", jobID, maxAttempts)
		}
		return true
	case answer.Is(jobs.Cancelled):
		if !j.cancelSent {
			r.RecordViolation("job %s is reported as cancelled, but no cancel was sent", jobID)
		}
		return r.CountRunning(jobID) == 0
	case answer.NoSuchJob:
		if j.outcome == outcomeAccepted && !j.cancelSent {
			r.RecordViolation("job %s was accepted but is reported as unknown", jobID)
		}
		return j.outcome != outcomeAccepted || j.cancelSent
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
