// Package scenario_test checks the invariants of the design page on small deployments
// of separate processes. Callers send requests and submit work concurrently while a
// scenario injects faults. Afterwards, the recorded calls are compared with the events
// in which the workers and runners recorded what they ran.
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
	seedCount = flag.Uint64("seeds", 1, "number of seeds of each scenario")
)

func TestMain(m *testing.M) {
	harness.RunProgram()
	os.Exit(m.Run())
}

// settleTimeout ends a scenario whose instances do not become ready or whose work does
// not end. It is much longer than any takeover, lease or backoff, so that only a
// deployment that hangs exceeds it.
const settleTimeout = 90 * time.Second

// scenario is one kind of fault that is injected while callers are active.
type scenario struct {
	name    string
	options harness.Options
	inject  func(t *testing.T, r *testRun)
	// verify, if set, returns the violations found by checks that apply only to
	// this scenario. work holds the attempts that the workers recorded.
	verify func(r *testRun, work []history.Run) []history.Violation
}

// testRun is one execution of a scenario, with its deployment.
type testRun struct {
	*harness.Cluster
	random *rand.Rand
	load   *load
	// config is used only by the scenarios that change the configuration.
	config configHistory
	// leaveTimes holds the time at which the scenario made a runner leave, by the
	// runner's name, in nanoseconds since the Unix epoch.
	leaveTimes map[string]int64
	// restartTimes holds the time at which a worker was restarted, by the worker's
	// name, in nanoseconds since the Unix epoch.
	restartTimes map[string]int64
}

// TestScenarios guards against faults that make the system break one of its
// invariants. Each scenario runs once with each seed.
func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", s.name, seed), func(t *testing.T) {
				t.Parallel()
				runScenario(t, s, seed)
			})
		}
	}
}

func runScenario(t *testing.T, s scenario, seed uint64) {
	r := startDeployment(t, s.options, seed)
	r.load = startLoad(r)
	s.inject(t, r)
	r.load.stop()
	r.awaitWork(t)
	r.checkHistory(t, s)
}

// startDeployment starts a deployment, applies its declaration and waits until the
// deployment is ready for load.
func startDeployment(t testing.TB, options harness.Options, seed uint64) *testRun {
	options.Dir, options.Seed = t.TempDir(), seed
	if options.Domains == nil {
		options.Domains = []harness.DomainSize{
			{Name: "north", Entries: 2, Workers: 2, Runners: 2},
			{Name: "south", Entries: 1, Workers: 2, Runners: 2},
		}
	}
	if options.ServiceMS == 0 {
		options.ServiceMS = 15
	}
	if options.WorkerCPUMilli == 0 {
		options.WorkerCPUMilli = 8000
	}
	cluster, err := harness.New(options)
	t.Cleanup(cluster.Close)
	if err != nil {
		t.Fatal(err)
	}
	r := &testRun{Cluster: cluster, random: rand.New(rand.NewPCG(seed, seed)), leaveTimes: map[string]int64{}, restartTimes: map[string]int64{}}
	r.applyFirstDeclaration(t)
	if err := cluster.WaitReady(settleTimeout); err != nil {
		t.Fatalf("%v\n%s", err, cluster.Logs(4000))
	}
	return r
}

func (r *testRun) applyFirstDeclaration(t testing.TB) {
	deadline := time.Now().Add(settleTimeout)
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

// awaitWork waits until every accepted work item has ended, and fails the test if one
// has not ended within settleTimeout.
func (r *testRun) awaitWork(t *testing.T) {
	if err := r.load.awaitWork(t.Context(), settleTimeout); err != nil {
		t.Errorf("%v\n%s", err, r.Logs(4000))
	}
}

// checkHistory compares the recorded calls with what the workers and runners recorded,
// and reports each violation of an invariant as an error of the test.
func (r *testRun) checkHistory(t *testing.T, s scenario) {
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
	violations = append(violations, history.CheckAtMostOnce(requests, r.load.isBilledRequest)...)
	violations = append(violations, history.CheckAtMostOnce(work, r.load.isBilledWork)...)
	violations = append(violations, history.CheckResumeOnce(work, r.load.isBilledWork, r.load.mayBeForgotten)...)
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
	for _, span := range work {
		if span.ResumedFrom != "" {
			resumed++
		}
	}
	t.Logf("%d calls, %d answered, %d broken, %d request runs, %d work items, %d work runs, %d resumed", len(calls), answered, broken, len(requests), r.load.acceptedCount(), len(work), resumed)
	if answered == 0 {
		t.Error("no call was answered, so the run checks nothing")
	}
	if t.Failed() {
		t.Log(r.Logs(6000))
	}
}
