package scenario_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/harness"
	"bergamotstile/history"
	"bergamotstile/standin"
)

var scenarios = []scenario{
	{name: "quiet", inject: func(t *testing.T, r *testRun) { r.sleepAbout(2000) }},
	{name: "kill-owner", inject: killOwner},
	{name: "freeze-owner", inject: freezeOwner},
	{name: "rolling-restart", options: harness.Options{ServiceMS: 500}, inject: rollingRestart, verify: func(r *testRun, _ []history.Run) []history.Violation {
		return history.CheckGracefulStop(r.load.calls.Calls())
	}},
	{name: "table-down", inject: tableDown},
	{name: "table-loses-answers", inject: tableLosesAnswers},
	{name: "cut-owner-from-platform", inject: cutOwnerFromPlatform},
	{name: "cut-owner-from-peers", inject: cutOwnerFromPeers},
	{name: "runner-faults", inject: runnerFaults},
	{name: "slow-runners", inject: slowRunners},
	{name: "worker-faults", inject: workerFaults},
	{name: "urgent-preempts", options: harness.Options{WorkerCPUMilli: 4000}, inject: func(_ *testing.T, r *testRun) { r.sleepAbout(5000) },
		verify: func(_ *testRun, work []history.Run) []history.Violation { return history.CheckEvictionsResume(work) }},
	{name: "objects-down", options: harness.Options{WorkerCPUMilli: 4000}, inject: objectsDown},
	{name: "leaving-runner", inject: leavingRunner, verify: checkLeavingBound},
	{name: "operators-race", inject: operatorsRace, verify: checkVersionsNeverRevert},
	{name: "frozen-through-changes", inject: frozenThroughChanges, verify: checkVersionsNeverRevert},
	{name: "domain-cut", inject: domainCut, verify: checkVersionsNeverRevert},
}

// sleepAbout sleeps for a random time of half to one and a half times ms milliseconds.
// The seed determines the time.
func (r *testRun) sleepAbout(ms int) {
	time.Sleep(time.Duration(ms/2+r.random.IntN(ms)) * time.Millisecond)
}

// awaitOwner waits until an entry instance owns the shard of the first failure domain,
// and returns this instance.
func (r *testRun) awaitOwner(t *testing.T) *harness.Node {
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) {
		for _, n := range r.Entries {
			status, err := r.Status(n)
			if err == nil && n.Domain == r.Options.Domains[0].Name && len(status.Shards) > 0 {
				return n
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("no instance owns the shard\n%s", r.Logs(4000))
	return nil
}

func killOwner(t *testing.T, r *testRun) {
	for range 2 {
		r.sleepAbout(800)
		owner := r.awaitOwner(t)
		owner.Kill()
		r.sleepAbout(1500)
		r.noError(t, r.Restart(owner))
		r.sleepAbout(500)
	}
}

// freezeOwner freezes the shard's owner for longer than its lease while starts and
// requests are in flight, so that another instance can take over, and lets it continue
// afterwards.
func freezeOwner(t *testing.T, r *testRun) {
	for range 2 {
		r.sleepAbout(800)
		owner := r.awaitOwner(t)
		owner.Freeze()
		time.Sleep(2 * harness.LeaseMS * time.Millisecond)
		r.sleepAbout(500)
		owner.Resume()
		r.sleepAbout(800)
	}
}

func rollingRestart(t *testing.T, r *testRun) {
	for _, n := range r.Entries {
		r.sleepAbout(600)
		n.Terminate()
		r.noError(t, r.Restart(n))
		r.sleepAbout(600)
	}
}

func tableDown(t *testing.T, r *testRun) {
	r.sleepAbout(800)
	r.setPlatformFaults(t, standin.PlatformFaults{Table: standin.ComponentFaults{Down: true}})
	r.sleepAbout(3000)
	r.setPlatformFaults(t, standin.PlatformFaults{})
	r.sleepAbout(1500)
}

func tableLosesAnswers(t *testing.T, r *testRun) {
	r.sleepAbout(300)
	lossy := standin.ComponentFaults{LoseAnswer: standin.FaultTrigger{Probability: 0.3}, SlowMS: 10}
	r.setPlatformFaults(t, standin.PlatformFaults{Table: lossy})
	r.sleepAbout(4000)
	r.setPlatformFaults(t, standin.PlatformFaults{})
	r.sleepAbout(800)
}

var cutBothWays = standin.ProxyFaults{
	ToTarget: standin.DirectionFaults{Cut: true},
	ToClient: standin.DirectionFaults{Cut: true},
}

func cutOwnerFromPlatform(t *testing.T, r *testRun) {
	r.sleepAbout(800)
	owner := r.awaitOwner(t)
	faults := cutBothWays
	if r.random.IntN(2) == 0 {
		// Cut only one direction: requests reach the platform and take effect, but
		// their answers are lost.
		faults.ToTarget.Cut = false
	}
	owner.PlatformProxy.SetFaults(faults)
	r.sleepAbout(4000)
	owner.PlatformProxy.SetFaults(standin.ProxyFaults{})
	r.sleepAbout(1000)
}

func cutOwnerFromPeers(t *testing.T, r *testRun) {
	r.sleepAbout(800)
	owner := r.awaitOwner(t)
	owner.Proxy.SetFaults(cutBothWays)
	if r.random.IntN(2) == 0 {
		owner.PlatformProxy.SetFaults(cutBothWays)
	}
	r.sleepAbout(4000)
	owner.Proxy.SetFaults(standin.ProxyFaults{})
	owner.PlatformProxy.SetFaults(standin.ProxyFaults{})
	r.sleepAbout(1000)
}

func runnerFaults(t *testing.T, r *testRun) {
	for _, n := range r.Runners {
		r.sleepAbout(300)
		r.noError(t, r.Post(n, "/faults", standin.RunnerFaults{
			DelayMS:      int64(r.random.IntN(100)),
			Truncate:     standin.FaultTrigger{Probability: 0.1},
			WrongID:      standin.FaultTrigger{Probability: 0.1},
			WrongBody:    standin.FaultTrigger{Probability: 0.1},
			DropAfterRun: standin.FaultTrigger{Probability: 0.1},
		}))
	}
	r.sleepAbout(2500)
	for _, n := range r.Runners {
		r.noError(t, r.Post(n, "/faults", standin.RunnerFaults{}))
	}
}

// slowRunners makes runners take longer than the timeout of the requests, so that
// callers retry while the first run of a request still continues.
func slowRunners(t *testing.T, r *testRun) {
	r.sleepAbout(500)
	for _, n := range r.Runners {
		r.noError(t, r.Post(n, "/service-time", standin.ServiceTimeRequest{ServiceMS: int64(1000 + r.random.IntN(1000))}))
	}
	r.sleepAbout(3000)
	for _, n := range r.Runners {
		r.noError(t, r.Post(n, "/service-time", standin.ServiceTimeRequest{ServiceMS: 15}))
	}
	r.sleepAbout(1500)
}

func objectsDown(t *testing.T, r *testRun) {
	r.sleepAbout(1000)
	r.setPlatformFaults(t, standin.PlatformFaults{Objects: standin.ComponentFaults{Down: true}})
	r.sleepAbout(3000)
	r.setPlatformFaults(t, standin.PlatformFaults{})
	r.sleepAbout(1500)
}

// leavingRunner makes a runner leave while the membership list lags or cannot be read,
// so that instances can learn of it only from the runner's own answers.
func leavingRunner(t *testing.T, r *testRun) {
	r.sleepAbout(800)
	faults := standin.PlatformFaults{ListLagMS: 60_000}
	if r.random.IntN(2) == 0 {
		faults = standin.PlatformFaults{List: standin.ComponentFaults{Down: true}}
	}
	r.setPlatformFaults(t, faults)
	runner := r.Runners[r.random.IntN(len(r.Runners))]
	r.noError(t, r.Post(runner, "/leave", struct{}{}))
	r.leaveTimes[runner.Name] = time.Now().UnixNano()
	r.sleepAbout(5000)
	r.setPlatformFaults(t, standin.PlatformFaults{})
}

// checkLeavingBound checks that no request was sent to a leaving runner later than
// LeavingBoundMS after it began to leave. It uses the runner's own events of requests
// that it refused.
func checkLeavingBound(r *testRun, _ []history.Run) []history.Violation {
	var violations []history.Violation
	for name, leftAt := range r.leaveTimes {
		for _, refusedAt := range r.LeavingRefusalTimes(name) {
			if delay := refusedAt - leftAt; delay > harness.LeavingBoundMS*int64(time.Millisecond) {
				violations = append(violations, history.Violation{Property: history.LeavingEndpoint,
					Detail: fmt.Sprintf("%s was sent a request %d ms after it began to leave", name, delay/int64(time.Millisecond))})
			}
		}
	}
	return violations
}

func workerFaults(t *testing.T, r *testRun) {
	for _, n := range r.Workers {
		r.noError(t, r.Post(n, "/faults", standin.WorkerFaults{
			SlowMS: int64(r.random.IntN(50)), LoseAnswer: standin.FaultTrigger{Probability: 0.2}}))
	}
	r.sleepAbout(1500)
	victim := r.Workers[r.random.IntN(len(r.Workers))]
	victim.Proxy.SetFaults(cutBothWays)
	r.sleepAbout(2000)
	victim.Proxy.SetFaults(standin.ProxyFaults{})
	r.sleepAbout(500)
	r.noError(t, r.Post(r.Workers[0], "/restart", struct{}{}))
	r.restartTimes[r.Workers[0].Name] = time.Now().UnixNano()
	for _, n := range r.Workers {
		r.noError(t, r.Post(n, "/faults", standin.WorkerFaults{}))
	}
	r.sleepAbout(500)
}

func (r *testRun) noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (r *testRun) setPlatformFaults(t *testing.T, f standin.PlatformFaults) {
	t.Helper()
	r.noError(t, r.Platform.SetFaults(f))
}
