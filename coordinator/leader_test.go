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

// fleet is a set of runners in memory that behave as the platform's: a fencing
// token, runs that end, ends that are listed until they are acknowledged. It
// records what must never happen.
type fleet struct {
	mu       sync.Mutex
	runners  map[string]*fakeRunner
	random   *rand.Rand
	lose     float64 // share of answers that are lost
	runTime  time.Duration
	running  map[jobs.TaskID]int
	done     map[jobs.TaskID]bool
	problems []string
}

type fakeRunner struct {
	epoch    uint64
	capacity int64
	runs     map[jobs.TaskID]*fakeRun
	used     map[jobs.TaskID]int // highest run ended or stopped
	ended    []RunEnd
	next     int
	gone     bool // answers no calls
	holds    int  // calls of the present epoch for its list
}

type fakeRun struct {
	number int
	cpu    int64
	until  time.Time
}

var errNoAnswer = errors.New("no answer")

func newFleet(runners int, seed uint64) *fleet {
	f := &fleet{runners: map[string]*fakeRunner{}, random: rand.New(rand.NewPCG(seed, 1)), runTime: 20 * time.Millisecond,
		running: map[jobs.TaskID]int{}, done: map[jobs.TaskID]bool{}}
	for i := range runners {
		f.runners[fmt.Sprint("r", i)] = &fakeRunner{capacity: 4000, runs: map[jobs.TaskID]*fakeRun{}, used: map[jobs.TaskID]int{}}
	}
	return f
}

func (f *fleet) lost() bool { return f.random.Float64() < f.lose }

// advance ends the runs whose time has passed.
func (f *fleet) advance(r *fakeRunner) {
	for id, x := range r.runs {
		if time.Now().After(x.until) {
			f.done[id] = true
			f.end(r, id, EndedDone)
		}
	}
}

func (f *fleet) end(r *fakeRunner, id jobs.TaskID, how EndKind) {
	x := r.runs[id]
	delete(r.runs, id)
	f.running[id]--
	r.used[id] = max(r.used[id], x.number)
	r.next++
	r.ended = append(r.ended, RunEnd{Number: r.next, Task: id, Run: x.number, Kind: how})
}

func (f *fleet) Hold(_ context.Context, h HoldRequest) (HoldResponse, error) {
	time.Sleep(min(h.Wait, 5*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runners[h.Runner]
	if r.gone {
		return HoldResponse{}, errNoAnswer
	}
	f.advance(r)
	if h.Epoch < r.epoch {
		return HoldResponse{}, ErrFenced
	}
	if h.Epoch > r.epoch {
		r.holds = 0
	}
	r.epoch = h.Epoch
	r.holds++
	for len(r.ended) > 0 && r.ended[0].Number <= h.Acknowledged {
		r.ended = r.ended[1:]
	}
	out := HoldResponse{Clock: time.Hour, Report: Report{Runner: h.Runner, Incarnation: 1, Ended: append([]RunEnd{}, r.ended...)}}
	for id, x := range r.runs {
		out.Report.Running = append(out.Report.Running, RunStatus{Task: id, Run: x.number, Percent: 1})
	}
	if f.lost() {
		return HoldResponse{}, errNoAnswer
	}
	return out, nil
}

func (f *fleet) Send(_ context.Context, o Order, epoch uint64, _ time.Duration) (Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runners[o.Runner]
	if r.gone {
		return 0, errNoAnswer
	}
	f.advance(r)
	if epoch < r.epoch {
		return 0, ErrFenced
	}
	r.epoch = epoch
	outcome := f.carryOut(r, o)
	if f.lost() {
		return 0, errNoAnswer
	}
	return outcome, nil
}

func (f *fleet) carryOut(r *fakeRunner, o Order) Outcome {
	x := r.runs[o.Task]
	switch {
	case o.Kind == Stop:
		if x != nil && x.number <= o.Run {
			f.end(r, o.Task, EndedStopped)
		}
		r.used[o.Task] = max(r.used[o.Task], o.Run)
	case o.Kind == Start && x != nil && x.number == o.Run:
	case o.Kind == Start && o.Run <= r.used[o.Task]:
		return RefusedUsedRun
	case o.Kind == Start:
		f.begin(r, o)
	}
	return Accepted
}

func (f *fleet) begin(r *fakeRunner, o Order) {
	if f.running[o.Task] > 0 || f.done[o.Task] {
		f.problems = append(f.problems, fmt.Sprintf("%v run %d: %d runs at the same time, done %v", o.Task, o.Run, f.running[o.Task], f.done[o.Task]))
	}
	f.running[o.Task]++
	r.runs[o.Task] = &fakeRun{number: o.Run, cpu: 1000, until: time.Now().Add(f.runTime)}
	if len(r.runs) > 4 {
		f.problems = append(f.problems, fmt.Sprintf("%d runs on 4 processors", len(r.runs)))
	}
}

const runnersTable = "runners"

// deployment is a store with registered runners and an environment on it.
func deployment(t *testing.T, f *fleet) (*rowstore.Memory, Environment) {
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
		Lease: 8 * time.Second, Retention: time.Minute, Clock: clock, StoreClock: clock, StoreBounds: sameClock,
		Log: discardLog(), Count: func(string, int64) {},
	}
}

// sameClock are the bounds of a store's clock that reads the same as the local one.
func sameClock(local time.Duration) (earliest, latest time.Duration, known bool) {
	return local, local, true
}

// terms runs candidates one after the other, each for a while.
func terms(ctx context.Context, env Environment, store rowstore.Store, length time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		c := &leadership.Candidate{Store: store, Holder: "machine", Process: fmt.Sprint(n), Clock: env.Clock, Log: env.Log,
			Lead: func(ctx context.Context, term *leadership.Term) error { return Lead(ctx, env, term) }}
		term, cancel := context.WithTimeout(ctx, length)
		_ = c.Serve(term)
		cancel()
	}
}

// Jobs that are accepted while coordinators take turns and answers of runners
// and of the store are lost must all complete, and no task may run twice.
func TestJobsCompleteAcrossTakeovers(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		f := newFleet(4, seed)
		f.lose = 0.05
		store, env := deployment(t, f)
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(seed, 2))
		store.Lose = func(string) error {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() < 0.05 {
				return rowstore.ErrUnknown
			}
			return nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		done := make(chan struct{})
		go func() { terms(ctx, env, store, 700*time.Millisecond); close(done) }()
		g := &gateway.Gateway{Store: store, Clock: env.StoreClock}
		ids := submitJobs(t, g, 12)
		awaitCompleted(ctx, t, g, ids)
		cancel()
		<-done
		f.mu.Lock()
		for _, p := range f.problems {
			t.Errorf("seed %d: %s", seed, p)
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

// A store that forgets its history must not hide a job or a cancel.
func TestForgottenHistoryIsReadAgain(t *testing.T) {
	f := newFleet(2, 1)
	store, env := deployment(t, f)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go terms(ctx, env, store, time.Minute)
	g := &gateway.Gateway{Store: store, Clock: env.StoreClock}
	awaitCompleted(ctx, t, g, submitJobs(t, g, 1))
	ids := submitJobs(t, g, 4)
	store.ForgetHistory()
	awaitCompleted(ctx, t, g, ids)
}
