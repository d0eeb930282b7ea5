package scenario_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bergamotstile/declaration"
	"bergamotstile/harness"
	"bergamotstile/history"
	"bergamotstile/structs"
)

// Parameters of the load. Each caller sends one request at a time.
const (
	idempotentCallers = 4
	billedCallers     = 2
	submitters        = 2
	callPause         = 15 * time.Millisecond
	submitPause       = 60 * time.Millisecond
	submitRetries     = 3
	// requestRetries is so high that a caller retries a key for longer than a
	// takeover lasts, since only the next owner could run the request again.
	requestRetries = 25
	retryPause     = 150 * time.Millisecond
)

// load holds the callers and submitters of one scenario run, and a record of their
// calls and of the answers.
type load struct {
	run          *testRun
	calls        history.Recorder
	callContext  context.Context
	cancel       context.CancelFunc
	clients      sync.WaitGroup
	readyEntries atomic.Pointer[[]*harness.Node]

	mu            sync.Mutex
	accepted      map[structs.WorkID]string // job of each accepted work item
	cancelled     map[structs.WorkID]bool
	unconfirmed   map[structs.WorkID]string // job of each work item whose submits got no status
	finalStatuses map[structs.WorkID]structs.WorkStatus
}

func startLoad(r *testRun) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		run: r, callContext: context.Background(), cancel: cancel,
		accepted: map[structs.WorkID]string{}, cancelled: map[structs.WorkID]bool{},
		unconfirmed: map[structs.WorkID]string{}, finalStatuses: map[structs.WorkID]structs.WorkStatus{},
	}
	go l.pollReadiness(ctx)
	for n := range idempotentCallers {
		l.startCaller(ctx, fmt.Sprintf("proof-%d", n), n, harness.KindIdempotent)
	}
	for n := range billedCallers {
		l.startCaller(ctx, fmt.Sprintf("billed-%d", n), 100+n, harness.KindBilled)
	}
	for n := range submitters {
		random := l.newRandom(200 + n)
		l.clients.Go(func() { l.submitJobs(ctx, random, n) })
	}
	return l
}

// newRandom returns a random generator of its own for each stream number. Each caller
// uses its own stream, so that its choices depend only on the seed and not on the
// timing of the callers.
func (l *load) newRandom(stream int) *rand.Rand {
	return rand.New(rand.NewPCG(l.run.Options.Seed, uint64(stream)))
}

// stop requests the end of the callers and submitters, and waits until their current
// calls have ended.
func (l *load) stop() {
	l.cancel()
	l.clients.Wait()
}

// readinessPollInterval is the time between two polls of the instances' readiness.
const readinessPollInterval = 100 * time.Millisecond

// pollReadiness keeps the list of instances that reported themselves ready at the last
// poll, as the platform's load balancer does.
func (l *load) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*harness.Node
		for _, n := range l.run.Entries {
			if l.run.IsReady(n) {
				ready = append(ready, n)
			}
		}
		l.readyEntries.Store(&ready)
		sleep(ctx, readinessPollInterval)
	}
}

// pickEntry returns a random instance among those that were ready at the last poll, or
// among all instances if none was ready.
func (l *load) pickEntry(random *rand.Rand) *harness.Node {
	nodes := l.run.Entries
	if ready := l.readyEntries.Load(); ready != nil && len(*ready) > 0 {
		nodes = *ready
	}
	return nodes[random.IntN(len(nodes))]
}

// startCaller starts a caller that sends requests one after the other until ctx ends.
// Of requests of KindIdempotent, every third has no key and is sent once; all others are
// sent with requestWithKey.
func (l *load) startCaller(ctx context.Context, name string, randomStream int, kind string) {
	random := l.newRandom(randomStream)
	l.clients.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			key := fmt.Sprintf("%s.%d", name, i)
			if kind == harness.KindIdempotent && i%3 == 0 {
				l.calls.Add(l.run.Request(context.Background(), l.pickEntry(random), kind, "", name))
			} else {
				l.requestWithKey(name, kind, key, random)
			}
			sleep(ctx, callPause)
		}
	})
}

// requestWithKey sends a request with a key through a random instance, and repeats it
// until it is answered or all retries are used, as a caller behind a load balancer does.
// In one of four tries on average, it sends a second request with the same key at the same
// time, through another random choice of instance.
func (l *load) requestWithKey(name, kind, key string, random *rand.Rand) {
	for range 1 + requestRetries {
		var duplicate sync.WaitGroup
		if random.IntN(4) == 0 {
			other := l.pickEntry(random)
			duplicate.Go(func() { l.calls.Add(l.run.Request(context.Background(), other, kind, key, name)) })
		}
		call := l.run.Request(context.Background(), l.pickEntry(random), kind, key, name)
		l.calls.Add(call)
		duplicate.Wait()
		if call.Answered {
			return
		}
		time.Sleep(retryPause)
	}
}

// submitJobs submits random batch jobs one after the other until ctx ends.
func (l *load) submitJobs(ctx context.Context, random *rand.Rand, submitter int) {
	for i := 0; ctx.Err() == nil; i++ {
		job := harness.JobIdempotent
		if random.IntN(2) == 0 {
			job = harness.JobBilled
		}
		class := declaration.ClassNormal
		if random.IntN(5) == 0 {
			class = declaration.ClassUrgent
		}
		key := fmt.Sprintf("work-%d.%d", submitter, i)
		l.submitJob(job, key, 100+random.IntN(500), class, random)
		sleep(ctx, submitPause)
	}
}

// submitJob submits a job, and repeats the call until it gets a status or all retries are
// used. It cancels one of eight accepted jobs on average.
func (l *load) submitJob(job, key string, runMS int, class declaration.ClassName, random *rand.Rand) {
	id := structs.NewWorkID(harness.Team, key)
	shouldCancel := random.IntN(8) == 0
	for range 1 + submitRetries {
		_, ok := l.run.Submit(context.Background(), l.pickEntry(random), job, key, runMS, class)
		l.recordSubmit(id, job, ok)
		if !ok {
			time.Sleep(5 * callPause)
			continue
		}
		if shouldCancel {
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			l.cancelWork(id, random)
		}
		return
	}
}

func (l *load) recordSubmit(id structs.WorkID, job string, accepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if accepted {
		l.accepted[id] = job
		delete(l.unconfirmed, id)
		return
	}
	if l.accepted[id] == "" {
		l.unconfirmed[id] = job
	}
}

func (l *load) cancelWork(id structs.WorkID, random *rand.Rand) {
	l.mu.Lock()
	l.cancelled[id] = true
	l.mu.Unlock()
	l.run.Cancel(context.Background(), l.pickEntry(random), id)
}

func (l *load) acceptedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accepted)
}

func (l *load) isBilledRequest(token string) bool {
	return strings.HasPrefix(token, "billed-")
}

func (l *load) isBilledWork(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	job := l.accepted[structs.WorkID(id)]
	if job == "" {
		job = l.unconfirmed[structs.WorkID(id)]
	}
	return job == harness.JobBilled
}

// awaitWork polls each accepted work item through all instances in turn until the item
// has ended, and records its final status.
func (l *load) awaitWork(ctx context.Context, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for id := range l.accepted {
		for poll := 0; ; poll++ {
			status, ok := l.run.WorkStatus(ctx, l.run.Entries[poll%len(l.run.Entries)], id)
			if ok && status.State.IsTerminal() && !status.Unconfirmed {
				l.finalStatuses[id] = status
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("work %s has not ended, last status: %+v (answered: %v)", id, status, ok)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// checkWork compares the final statuses of work items with the attempts that the workers
// recorded.
// Work that is reported finished must have finished exactly once, work that is reported
// as not run must have no run, only work with a cancel may be reported cancelled, no
// work may be reported failed, and idempotent work may not be reported lost.
func (l *load) checkWork(spans []history.Run) []history.Violation {
	finishCount, runCount, lastStart := map[string]int{}, map[string]int{}, map[string]int64{}
	for _, span := range spans {
		runCount[span.Work]++
		lastStart[span.Work] = max(lastStart[span.Work], span.Start)
	}
	for _, span := range spans {
		ranAgain := l.mayBeForgotten(span) && lastStart[span.Work] > span.Start
		if span.Finished && !ranAgain {
			finishCount[span.Work]++
		}
	}
	var out []history.Violation
	addViolation := func(property history.Property, id structs.WorkID, detail string) {
		out = append(out, history.Violation{Property: property, Detail: fmt.Sprintf("%s (%s) %s: final %+v, %d runs, %d finished",
			id, l.accepted[id], detail, l.finalStatuses[id], runCount[string(id)], finishCount[string(id)])})
	}
	for id := range l.accepted {
		status, ok := l.finalStatuses[id]
		switch {
		case !ok:
			continue // awaitWork has reported it
		case status.State == structs.StateFinished && finishCount[string(id)] != 1:
			addViolation(history.NothingLost, id, "is reported finished")
		case status.Outcome == structs.OutcomeNotRun && runCount[string(id)] > 0:
			addViolation(history.NotRunIsTrue, id, "is reported as not run")
		case status.State == structs.StateCancelled && !l.cancelled[id]:
			addViolation(history.NothingLost, id, "was never cancelled")
		case status.State == structs.StateFailed:
			addViolation(history.NothingLost, id, "is reported failed")
		case status.State == structs.StateLost && l.accepted[id] != harness.JobBilled:
			addViolation(history.NothingLost, id, "is idempotent and is reported lost")
		}
	}
	return out
}

// mayBeForgotten reports whether a run of idempotent work ended on a worker that was
// restarted afterwards. The worker may have forgotten the outcome in the restart before
// the owner learned of it, and the work may then run again.
func (l *load) mayBeForgotten(span history.Run) bool {
	restartedAt, ok := l.run.restartTimes[span.Place]
	return ok && span.End <= restartedAt && l.accepted[structs.WorkID(span.Work)] == harness.JobIdempotent
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
