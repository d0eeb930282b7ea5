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

// Size of the load. Each caller sends one request at a time.
const (
	proofCallers  = 4
	billedCallers = 2
	submitters    = 2
	callPause     = 15 * time.Millisecond
	submitPause   = 60 * time.Millisecond
	retriesOfWork = 3
	// A caller goes on with its key for longer than a takeover lasts, since
	// only the next owner could run the request again.
	retriesOfKey = 25
	retryPause   = 150 * time.Millisecond
)

// load is the callers of one run.
type load struct {
	run     *run
	calls   history.Recorder
	context context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	ready   atomic.Pointer[[]*harness.Node]

	mu        sync.Mutex
	accepted  map[structs.WorkID]string // job of each accepted work item
	cancelled map[structs.WorkID]bool
	unsure    map[structs.WorkID]string // submits without an account
	final     map[structs.WorkID]structs.WorkStatus
}

func startLoad(r *run) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		run: r, context: context.Background(), cancel: cancel,
		accepted: map[structs.WorkID]string{}, cancelled: map[structs.WorkID]bool{},
		unsure: map[structs.WorkID]string{}, final: map[structs.WorkID]structs.WorkStatus{},
	}
	go l.balance(ctx)
	for n := range proofCallers {
		l.caller(ctx, fmt.Sprintf("proof-%d", n), n, harness.KindProof)
	}
	for n := range billedCallers {
		l.caller(ctx, fmt.Sprintf("billed-%d", n), 100+n, harness.KindBilled)
	}
	for n := range submitters {
		random := l.source(200 + n)
		l.wait.Go(func() { l.submit(ctx, random, n) })
	}
	return l
}

// source gives each caller its own random numbers, so that a seed draws the
// same choices whatever the callers' timing.
func (l *load) source(n int) *rand.Rand {
	return rand.New(rand.NewPCG(l.run.Options.Seed, uint64(n)))
}

// stop ends the callers after their present calls.
func (l *load) stop() {
	l.cancel()
	l.wait.Wait()
}

// balancerPoll is how often the balancer asks instances whether they are ready.
const balancerPoll = 100 * time.Millisecond

// balance keeps the list of instances that were ready when last asked, as the
// platform's balancer does.
func (l *load) balance(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*harness.Node
		for _, n := range l.run.Entries {
			if l.run.IsReady(n) {
				ready = append(ready, n)
			}
		}
		l.ready.Store(&ready)
		pause(ctx, balancerPoll)
	}
}

// entry returns any instance that the balancer holds for ready, and any at all
// if there is none.
func (l *load) entry(random *rand.Rand) *harness.Node {
	nodes := l.run.Entries
	if ready := l.ready.Load(); ready != nil && len(*ready) > 0 {
		nodes = *ready
	}
	return nodes[random.IntN(len(nodes))]
}

// caller sends requests one after the other. Unless it gets an answer, it
// retries the same key through any instance, as a caller behind a balancer.
// Now and then it sends the same key through two instances at once.
func (l *load) caller(ctx context.Context, name string, n int, kind string) {
	random := l.source(n)
	l.wait.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			key := fmt.Sprintf("%s.%d", name, i)
			if kind == harness.KindProof && i%3 == 0 {
				l.calls.Add(l.run.Request(context.Background(), l.entry(random), kind, "", name))
			} else {
				l.keyed(name, kind, key, random)
			}
			pause(ctx, callPause)
		}
	})
}

func (l *load) keyed(name, kind, key string, random *rand.Rand) {
	for range 1 + retriesOfKey {
		var double sync.WaitGroup
		if random.IntN(4) == 0 {
			other := l.entry(random)
			double.Go(func() { l.calls.Add(l.run.Request(context.Background(), other, kind, key, name)) })
		}
		call := l.run.Request(context.Background(), l.entry(random), kind, key, name)
		l.calls.Add(call)
		double.Wait()
		if call.Answered {
			return
		}
		time.Sleep(retryPause)
	}
}

func (l *load) submit(ctx context.Context, random *rand.Rand, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		job := harness.JobIdempotent
		if random.IntN(2) == 0 {
			job = harness.JobBilled
		}
		class := declaration.ClassNormal
		if random.IntN(5) == 0 {
			class = declaration.ClassUrgent
		}
		key := fmt.Sprintf("work-%d.%d", n, i)
		l.submitOne(job, key, 100+random.IntN(500), class, random)
		pause(ctx, submitPause)
	}
}

func (l *load) submitOne(job, key string, runMS int, class declaration.ClassName, random *rand.Rand) {
	id := structs.NewWorkID(harness.Team, key)
	cancelIt := random.IntN(8) == 0
	for range 1 + retriesOfWork {
		_, ok := l.run.Submit(context.Background(), l.entry(random), job, key, runMS, class)
		l.note(id, job, ok)
		if !ok {
			time.Sleep(5 * callPause)
			continue
		}
		if cancelIt {
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			l.cancelOne(id, random)
		}
		return
	}
}

func (l *load) note(id structs.WorkID, job string, accepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if accepted {
		l.accepted[id] = job
		delete(l.unsure, id)
		return
	}
	if l.accepted[id] == "" {
		l.unsure[id] = job
	}
}

func (l *load) cancelOne(id structs.WorkID, random *rand.Rand) {
	l.mu.Lock()
	l.cancelled[id] = true
	l.mu.Unlock()
	l.run.Cancel(context.Background(), l.entry(random), id)
}

func (l *load) submitted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accepted)
}

func (l *load) billedRequest(token string) bool {
	return strings.HasPrefix(token, "billed-")
}

func (l *load) billedWork(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	job := l.accepted[structs.WorkID(id)]
	if job == "" {
		job = l.unsure[structs.WorkID(id)]
	}
	return job == harness.JobBilled
}

// awaitWork polls every accepted item through all instances until it ends.
func (l *load) awaitWork(ctx context.Context, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for id := range l.accepted {
		for n := 0; ; n++ {
			status, ok := l.run.WorkStatus(ctx, l.run.Entries[n%len(l.run.Entries)], id)
			if ok && status.State.Terminal() && !status.Unconfirmed {
				l.final[id] = status
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("work %s has not ended, last account: %+v (answered: %v)", id, status, ok)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// checkWork compares the final accounts of work items with the workers'
// records: finished work finished once, work told not run has no run, and
// nothing accepted is lost without its account saying so.
func (l *load) checkWork(spans []history.Span) []history.Violation {
	finished, runs, last := map[string]int{}, map[string]int{}, map[string]int64{}
	for _, s := range spans {
		runs[s.Work]++
		last[s.Work] = max(last[s.Work], s.Start)
	}
	for _, s := range spans {
		repeated := l.forgotten(s) && last[s.Work] > s.Start
		if s.Finished && !repeated {
			finished[s.Work]++
		}
	}
	var out []history.Violation
	fail := func(p history.Property, id structs.WorkID, detail string) {
		out = append(out, history.Violation{Property: p, Detail: fmt.Sprintf("%s (%s) %s: final %+v, %d runs, %d finished",
			id, l.accepted[id], detail, l.final[id], runs[string(id)], finished[string(id)])})
	}
	for id := range l.accepted {
		status, ok := l.final[id]
		switch {
		case !ok:
			continue // reported by awaitWork
		case status.State == structs.StateFinished && finished[string(id)] != 1:
			fail(history.NothingLost, id, "is reported finished")
		case status.Outcome == structs.OutcomeNotRun && runs[string(id)] > 0:
			fail(history.NotRunIsTrue, id, "is reported as not run")
		case status.State == structs.StateCancelled && !l.cancelled[id]:
			fail(history.NothingLost, id, "was never cancelled")
		case status.State == structs.StateFailed:
			fail(history.NothingLost, id, "is reported failed")
		case status.State == structs.StateLost && l.accepted[id] != harness.JobBilled:
			fail(history.NothingLost, id, "is idempotent and is reported lost")
		}
	}
	return out
}

// forgotten reports a finish that its worker may have forgotten in a restart
// before the owner learned of it. Idempotent work may then run again.
func (l *load) forgotten(s history.Span) bool {
	restart, ok := l.run.restarted[s.Place]
	return ok && s.End <= restart && l.accepted[structs.WorkID(s.Work)] == harness.JobIdempotent
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
