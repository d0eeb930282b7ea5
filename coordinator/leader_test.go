package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/leadership"
	"bergamotstile/rowstore"
	"bergamotstile/structs"
)

// fakeFleet is a set of runners in memory that answer polls and orders as the platform's do:
// they check the fencing token, their runs end as time passes, and they include each result in
// their reports until it is acknowledged. It records violations of what a coordinator
// guarantees. Unlike simulatedFleet, it works in real time and is called by a coordinator.
type fakeFleet struct {
	mu         sync.Mutex
	runners    map[string]*fakeRunner
	random     *rand.Rand
	lossRate   float64 // share of answers that are lost, 0 to 1
	runTime    time.Duration
	running    map[jobs.TaskID]int
	done       map[jobs.TaskID]bool
	violations []string
}

// fakeRunner is a runner of a fakeFleet.
type fakeRunner struct {
	token          uint64 // the highest one seen
	capacity       int64
	runs           map[jobs.TaskID]*fakeRun
	highestRun     map[jobs.TaskID]int // by task, the highest number of a run that has ended or that a stop has named
	unacknowledged []RunResult
	lastResult     int  // number of the last result
	answersNothing bool // it answers neither polls nor orders
	polls          int  // number of polls since a poll last brought a higher token
	failedPolls    int  // number of polls that had no answer since it answers nothing
}

// fakeRun is a run on a fakeRunner.
type fakeRun struct {
	number int
	cpu    int64
	endsAt time.Time
}

var errNoAnswer = errors.New("no answer")

func newFakeFleet(runners int, seed uint64) *fakeFleet {
	f := &fakeFleet{runners: map[string]*fakeRunner{}, random: rand.New(rand.NewPCG(seed, 1)), runTime: 20 * time.Millisecond,
		running: map[jobs.TaskID]int{}, done: map[jobs.TaskID]bool{}}
	for i := range runners {
		f.runners[fmt.Sprint("r", i)] = &fakeRunner{capacity: 4000, runs: map[jobs.TaskID]*fakeRun{}, highestRun: map[jobs.TaskID]int{}}
	}
	return f
}

// losesAnswer decides at random whether the next answer is lost.
func (f *fakeFleet) losesAnswer() bool { return f.random.Float64() < f.lossRate }

// endDueRuns ends the runs whose time has passed.
func (f *fakeFleet) endDueRuns(r *fakeRunner) {
	for id, activeRun := range r.runs {
		if time.Now().After(activeRun.endsAt) {
			f.done[id] = true
			f.endRun(r, id, EndedDone)
		}
	}
}

// endRun ends a run and adds the result to those that the runner reports until they are
// acknowledged.
func (f *fakeFleet) endRun(r *fakeRunner, id jobs.TaskID, kind ResultKind) {
	activeRun := r.runs[id]
	delete(r.runs, id)
	f.running[id]--
	r.highestRun[id] = max(r.highestRun[id], activeRun.number)
	r.lastResult++
	r.unacknowledged = append(r.unacknowledged, RunResult{Number: r.lastResult, Task: id, Run: activeRun.number, Kind: kind})
}

func (f *fakeFleet) Poll(_ context.Context, request PollRequest) (PollResponse, error) {
	time.Sleep(min(request.Wait, 5*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runners[request.Runner]
	if r.answersNothing {
		r.failedPolls++
		return PollResponse{}, errNoAnswer
	}
	f.endDueRuns(r)
	if request.Token < r.token {
		return PollResponse{}, ErrFenced
	}
	if request.Token > r.token {
		r.polls = 0
	}
	r.token = request.Token
	r.polls++
	for len(r.unacknowledged) > 0 && r.unacknowledged[0].Number <= request.Acknowledged {
		r.unacknowledged = r.unacknowledged[1:]
	}
	response := PollResponse{Clock: time.Hour, Report: Report{Runner: request.Runner, Incarnation: 1, Ended: append([]RunResult{}, r.unacknowledged...)}}
	for id, activeRun := range r.runs {
		response.Report.Running = append(response.Report.Running, RunStatus{Task: id, Run: activeRun.number, Percent: 1})
	}
	if f.losesAnswer() {
		return PollResponse{}, errNoAnswer
	}
	return response, nil
}

func (f *fakeFleet) Send(_ context.Context, order Order, token uint64, _ time.Duration) (OrderResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runners[order.Runner]
	if r.answersNothing {
		return OrderResponse{}, errNoAnswer
	}
	f.endDueRuns(r)
	if token < r.token {
		return OrderResponse{}, ErrFenced
	}
	r.token = token
	outcome := f.applyOrder(r, order)
	if f.losesAnswer() {
		return OrderResponse{}, errNoAnswer
	}
	return OrderResponse{Outcome: outcome}, nil
}

// applyOrder carries out an order and returns the runner's answer.
func (f *fakeFleet) applyOrder(r *fakeRunner, order Order) Outcome {
	activeRun := r.runs[order.Task]
	switch {
	case order.Kind == Stop:
		if activeRun != nil && activeRun.number <= order.Run {
			f.endRun(r, order.Task, EndedStopped)
		}
		r.highestRun[order.Task] = max(r.highestRun[order.Task], order.Run)
	case order.Kind == Start && activeRun != nil && activeRun.number == order.Run:
	case order.Kind == Start && order.Run <= r.highestRun[order.Task]:
		return RefusedUsedRun
	case order.Kind == Start:
		f.beginRun(r, order)
	}
	return Accepted
}

// beginRun starts a run. It records a violation if the task runs already or is done, or if
// the runner has more runs than processors.
func (f *fakeFleet) beginRun(r *fakeRunner, order Order) {
	if f.running[order.Task] > 0 || f.done[order.Task] {
		f.violations = append(f.violations, fmt.Sprintf("%v run %d: %d runs at the same time, done %v", order.Task, order.Run, f.running[order.Task], f.done[order.Task]))
	}
	f.running[order.Task]++
	r.runs[order.Task] = &fakeRun{number: order.Run, cpu: 1000, endsAt: time.Now().Add(f.runTime)}
	if len(r.runs) > 4 {
		f.violations = append(f.violations, fmt.Sprintf("%d runs on 4 processors", len(r.runs)))
	}
}

const runnersTable = "runners"

// newDeployment returns a store with the runners of a fakeFleet in the registry, and an
// environment with that store and fleet.
func newDeployment(t *testing.T, f *fakeFleet) (*rowstore.Memory, Environment) {
	t.Helper()
	store := rowstore.NewMemory()
	for id := range f.runners {
		value, err := json.Marshal(RunnerInfo{ID: id, Address: id, Service: testService, Capacity: structs.Resources{CPUMilli: 4000, MemoryMB: 1 << 20}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Commit(context.Background(), rowstore.Transaction{Puts: []rowstore.Put{{Key: rowstore.Key{Table: runnersTable, Key: id}, Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) + time.Minute }
	return store, Environment{
		Store: store, Runners: f, RunnersTable: runnersTable,
		DecodeRunner: func(row rowstore.Row) (RunnerInfo, error) {
			var info RunnerInfo
			err := json.Unmarshal(row.Value, &info)
			return info, err
		},
		Queues: func() []jobs.Queue {
			return []jobs.Queue{testQueue}
		},
		LeaseDuration: 8 * time.Second, Retention: time.Minute, Clock: clock, StoreClock: clock, StoreClockBounds: exactBounds,
		Log: discardLog(), Count: func(string, int64) {},
	}
}

// exactBounds returns the bounds of a store's clock that is known to read the same as the
// local one.
func exactBounds(local time.Duration) (earliest, latest time.Duration, known bool) {
	return local, local, true
}

// runTerms runs candidates for the coordinator's lease one after the other, each for a
// length of time, until ctx ends.
func runTerms(ctx context.Context, env Environment, store rowstore.Store, length time.Duration) {
	for number := 0; ctx.Err() == nil; number++ {
		candidate := &leadership.Candidate{Store: store, Holder: "machine", Process: fmt.Sprint(number), Clock: env.Clock, Log: env.Log,
			Lead: func(ctx context.Context, term *leadership.Term) error { return Lead(ctx, env, term) }}
		termCtx, cancel := context.WithTimeout(ctx, length)
		_ = candidate.Serve(termCtx)
		cancel()
	}
}

// Guards against jobs that never complete and tasks that run twice while coordinators take
// over from each other and answers of runners and of the store are lost.
func TestJobsCompleteAcrossTakeovers(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		f := newFakeFleet(4, seed)
		f.lossRate = 0.05
		store, env := newDeployment(t, f)
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(seed, 2))
		store.AfterCommit = func(string) error {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() < 0.05 {
				return rowstore.ErrOutcomeUnknown
			}
			return nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		done := make(chan struct{})
		go func() { runTerms(ctx, env, store, 700*time.Millisecond); close(done) }()
		g := &gateway.Gateway{Store: store, Clock: env.StoreClock}
		ids := submitJobs(t, g, 12)
		awaitCompleted(ctx, t, g, ids)
		cancel()
		<-done
		f.mu.Lock()
		for _, violation := range f.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		f.mu.Unlock()
	}
}

func submitJobs(t *testing.T, g *gateway.Gateway, count int) []jobs.ID {
	t.Helper()
	spec := jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(5, 1000), plainStep(3, 1000, 0)}}
	var ids []jobs.ID
	for i := range count {
		id := jobs.ID(fmt.Sprintf("%016x", i+1))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if err := g.Submit(ctx, testQueue, id, spec); err != nil {
			t.Fatal(err)
		}
		cancel()
		ids = append(ids, id)
		time.Sleep(50 * time.Millisecond)
	}
	return ids
}

func awaitCompleted(ctx context.Context, t *testing.T, g *gateway.Gateway, ids []jobs.ID) {
	t.Helper()
	for _, id := range ids {
		for {
			state, exists, err := g.Status(ctx, id)
			if ctx.Err() != nil {
				t.Fatalf("job %s is %v, exists %v, error %v", id, state, exists, err)
			}
			if state == jobs.Completed {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Guards against jobs that a coordinator never sees because the store no longer keeps the
// changes that brought them.
func TestJobsAreReadAgainAfterHistoryIsForgotten(t *testing.T) {
	f := newFakeFleet(2, 1)
	store, env := newDeployment(t, f)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go runTerms(ctx, env, store, time.Minute)
	g := &gateway.Gateway{Store: store, Clock: env.StoreClock}
	awaitCompleted(ctx, t, g, submitJobs(t, g, 1))
	ids := submitJobs(t, g, 4)
	store.DropHistory()
	awaitCompleted(ctx, t, g, ids)
}
