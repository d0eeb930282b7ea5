// Package scenario_test proves the invariants of the design page on a small
// deployment of separate processes: concurrent callers, injected faults, and a
// check of the recorded history against what workers and runners really ran.
package scenario_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"bergamotstile/harness"
	"bergamotstile/history"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of each scenario")
	seeds     = flag.Uint64("seeds", 1, "number of seeds of each scenario")
)

func TestMain(m *testing.M) {
	harness.RunProgram()
	os.Exit(m.Run())
}

// settleLimit ends a scenario that does not come to rest. It is far above what
// any takeover, lease or backoff needs, so it does not measure speed.
const settleLimit = 90 * time.Second

// scenario is one kind of trouble, injected while callers are active.
type scenario struct {
	name    string
	options harness.Options
	inject  func(t *testing.T, r *run)
	// verify adds checks of the scenario's own. work is the workers' record.
	verify func(r *run, work []history.Span) []history.Violation
}

// run is one execution of a scenario.
type run struct {
	*harness.Cluster
	random *rand.Rand
	load   *load
	// config is what the configuration scenarios record.
	config configHistory
	// left is when each runner was told to leave, in nanoseconds.
	left map[string]int64
	// restarted is when each worker was restarted, in nanoseconds.
	restarted map[string]int64
}

// TestScenarios guards against faults that make the system break one of its
// invariants. Each scenario runs with its own seeds.
func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", s.name, seed), func(t *testing.T) {
				t.Parallel()
				execute(t, s, seed)
			})
		}
	}
}

func execute(t *testing.T, s scenario, seed uint64) {
	r := start(t, s.options, seed)
	r.load = startLoad(r)
	s.inject(t, r)
	r.load.stop()
	r.settle(t)
	r.check(t, s)
}

// start runs a deployment until it is ready for load.
func start(t testing.TB, o harness.Options, seed uint64) *run {
	o.Dir, o.Seed = t.TempDir(), seed
	if o.Domains == nil {
		o.Domains = []harness.DomainSize{
			{Name: "north", Entries: 2, Workers: 2, Runners: 2},
			{Name: "south", Entries: 1, Workers: 2, Runners: 2},
		}
	}
	if o.ServiceMS == 0 {
		o.ServiceMS = 15
	}
	if o.WorkerCPUMilli == 0 {
		o.WorkerCPUMilli = 8000
	}
	cluster, err := harness.New(o)
	t.Cleanup(cluster.Close)
	if err != nil {
		t.Fatal(err)
	}
	r := &run{Cluster: cluster, random: rand.New(rand.NewPCG(seed, seed)), left: map[string]int64{}, restarted: map[string]int64{}}
	r.applyFirst(t)
	if err := cluster.WaitReady(settleLimit); err != nil {
		t.Fatalf("%v\n%s", err, cluster.Logs(4000))
	}
	return r
}

func (r *run) applyFirst(t testing.TB) {
	deadline := time.Now().Add(settleLimit)
	for {
		_, refusal := r.Apply(t.Context(), r.Entries[0], "operator", 0, r.Deployment())
		if refusal == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("first apply: %v\n%s", refusal, r.Logs(2000))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// settle waits until every accepted work item has ended.
func (r *run) settle(t *testing.T) {
	if err := r.load.awaitWork(t.Context(), settleLimit); err != nil {
		t.Errorf("%v\n%s", err, r.Logs(4000))
	}
}

// check judges the history against the workers' and runners' own records.
func (r *run) check(t *testing.T, s scenario) {
	requests, err := r.RequestSpans()
	if err != nil {
		t.Fatal(err)
	}
	work, violations, err := r.WorkSpans()
	if err != nil {
		t.Fatal(err)
	}
	calls := r.load.calls.Calls()
	violations = append(violations, history.CheckOnePlace(requests)...)
	violations = append(violations, history.CheckOnePlace(work)...)
	violations = append(violations, history.CheckAtMostOnce(requests, r.load.billedRequest)...)
	violations = append(violations, history.CheckAtMostOnce(work, r.load.billedWork)...)
	violations = append(violations, history.CheckResumeOnce(work, r.load.billedWork, r.load.forgotten)...)
	violations = append(violations, history.CheckCalls(calls, requests)...)
	violations = append(violations, r.load.checkWork(work)...)
	if s.verify != nil {
		violations = append(violations, s.verify(r, work)...)
	}
	for _, v := range violations {
		t.Error(v)
	}
	answered, broken := 0, 0
	for _, c := range calls {
		if c.Answered {
			answered++
		}
		if c.Broken {
			broken++
		}
	}
	resumed := 0
	for _, s := range work {
		if s.ResumedFrom != "" {
			resumed++
		}
	}
	t.Logf("%d calls, %d answered, %d broken, %d request runs, %d work items, %d work runs, %d resumed", len(calls), answered, broken, len(requests), r.load.submitted(), len(work), resumed)
	if answered == 0 {
		t.Error("no call was answered, so the run shows nothing")
	}
	if t.Failed() {
		t.Log(r.Logs(6000))
	}
}
