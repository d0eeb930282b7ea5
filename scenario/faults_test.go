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
	{name: "quiet", inject: func(t *testing.T, r *run) { r.rest(2000) }},
	{name: "kill-owner", inject: killOwner},
	{name: "freeze-owner", inject: freezeOwner},
	{name: "rolling-restart", options: harness.Options{ServiceMS: 500}, inject: rollingRestart, verify: func(r *run, _ []history.Span) []history.Violation {
		return history.CheckGracefulStop(r.load.calls.Calls())
	}},
	{name: "table-down", inject: tableDown},
	{name: "table-loses-answers", inject: tableLosesAnswers},
	{name: "cut-owner-from-platform", inject: cutOwnerFromPlatform},
	{name: "cut-owner-from-peers", inject: cutOwnerFromPeers},
	{name: "runner-faults", inject: runnerFaults},
	{name: "slow-runners", inject: slowRunners},
	{name: "worker-faults", inject: workerFaults},
	{name: "urgent-preempts", options: harness.Options{WorkerCPUMilli: 4000}, inject: func(_ *testing.T, r *run) { r.rest(5000) },
		verify: func(_ *run, work []history.Span) []history.Violation { return history.CheckEvictionsResume(work) }},
	{name: "objects-down", options: harness.Options{WorkerCPUMilli: 4000}, inject: objectsDown},
	{name: "leaving-runner", inject: leavingRunner, verify: nothingAfterLeaving},
	{name: "operators-race", inject: operatorsRace, verify: neverReverts},
	{name: "frozen-through-changes", inject: frozenThroughChanges, verify: neverReverts},
	{name: "domain-cut", inject: domainCut, verify: neverReverts},
}

// rest waits for about ms milliseconds, as the seed draws.
func (r *run) rest(ms int) {
	time.Sleep(time.Duration(ms/2+r.random.IntN(ms)) * time.Millisecond)
}

// owner returns the instance that owns the first failure domain's shard.
func (r *run) owner(t *testing.T) *harness.Node {
	deadline := time.Now().Add(settleLimit)
	for time.Now().Before(deadline) {
		for _, n := range r.Entries {
			status, err := r.Status(n)
			if err == nil && n.Domain == r.Options.Domains[0].Name && len(status.Shards) > 0 {
				return n
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("nobody owns the shard\n%s", r.Logs(4000))
	return nil
}

func killOwner(t *testing.T, r *run) {
	for range 2 {
		r.rest(800)
		owner := r.owner(t)
		owner.Kill()
		r.rest(1500)
		r.must(t, r.Restart(owner))
		r.rest(500)
	}
}

// freezeOwner stops the owner past its lease while starts and requests are in
// flight, and lets it go on after another instance has taken over.
func freezeOwner(t *testing.T, r *run) {
	for range 2 {
		r.rest(800)
		owner := r.owner(t)
		owner.Freeze()
		time.Sleep(2 * harness.LeaseMS * time.Millisecond)
		r.rest(500)
		owner.Resume()
		r.rest(800)
	}
}

func rollingRestart(t *testing.T, r *run) {
	for _, n := range r.Entries {
		r.rest(600)
		n.Terminate()
		r.must(t, r.Restart(n))
		r.rest(600)
	}
}

func tableDown(t *testing.T, r *run) {
	r.rest(800)
	r.platformFaults(t, standin.PlatformFaults{Table: standin.ComponentFaults{Down: true}})
	r.rest(3000)
	r.platformFaults(t, standin.PlatformFaults{})
	r.rest(1500)
}

func tableLosesAnswers(t *testing.T, r *run) {
	r.rest(300)
	lossy := standin.ComponentFaults{LoseAnswer: standin.FaultTrigger{Probability: 0.3}, SlowMS: 10}
	r.platformFaults(t, standin.PlatformFaults{Table: lossy})
	r.rest(4000)
	r.platformFaults(t, standin.PlatformFaults{})
	r.rest(800)
}

var cutBothWays = standin.ProxyFaults{
	ToTarget: standin.DirectionFaults{Cut: true},
	ToClient: standin.DirectionFaults{Cut: true},
}

func cutOwnerFromPlatform(t *testing.T, r *run) {
	r.rest(800)
	owner := r.owner(t)
	faults := cutBothWays
	if r.random.IntN(2) == 0 {
		// One way: requests arrive and take effect, answers are lost.
		faults.ToTarget.Cut = false
	}
	owner.PlatformProxy.SetFaults(faults)
	r.rest(4000)
	owner.PlatformProxy.SetFaults(standin.ProxyFaults{})
	r.rest(1000)
}

func cutOwnerFromPeers(t *testing.T, r *run) {
	r.rest(800)
	owner := r.owner(t)
	owner.Proxy.SetFaults(cutBothWays)
	if r.random.IntN(2) == 0 {
		owner.PlatformProxy.SetFaults(cutBothWays)
	}
	r.rest(4000)
	owner.Proxy.SetFaults(standin.ProxyFaults{})
	owner.PlatformProxy.SetFaults(standin.ProxyFaults{})
	r.rest(1000)
}

func runnerFaults(t *testing.T, r *run) {
	for _, n := range r.Runners {
		r.rest(300)
		r.must(t, r.Post(n, "/faults", standin.RunnerFaults{
			DelayMS:      int64(r.random.IntN(100)),
			Truncate:     standin.FaultTrigger{Probability: 0.1},
			WrongID:      standin.FaultTrigger{Probability: 0.1},
			WrongBody:    standin.FaultTrigger{Probability: 0.1},
			DropAfterRun: standin.FaultTrigger{Probability: 0.1},
		}))
	}
	r.rest(2500)
	for _, n := range r.Runners {
		r.must(t, r.Post(n, "/faults", standin.RunnerFaults{}))
	}
}

// slowRunners makes runners take longer than the requests' deadline, so that
// callers retry while the first run still goes on.
func slowRunners(t *testing.T, r *run) {
	r.rest(500)
	for _, n := range r.Runners {
		r.must(t, r.Post(n, "/service-time", standin.ServiceTimeRequest{ServiceMS: int64(1000 + r.random.IntN(1000))}))
	}
	r.rest(3000)
	for _, n := range r.Runners {
		r.must(t, r.Post(n, "/service-time", standin.ServiceTimeRequest{ServiceMS: 15}))
	}
	r.rest(1500)
}

func objectsDown(t *testing.T, r *run) {
	r.rest(1000)
	r.platformFaults(t, standin.PlatformFaults{Objects: standin.ComponentFaults{Down: true}})
	r.rest(3000)
	r.platformFaults(t, standin.PlatformFaults{})
	r.rest(1500)
}

// leavingRunner makes a runner leave while the membership list lags or cannot
// be read, so that only the runner's own answers tell of it.
func leavingRunner(t *testing.T, r *run) {
	r.rest(800)
	faults := standin.PlatformFaults{ListLagMS: 60_000}
	if r.random.IntN(2) == 0 {
		faults = standin.PlatformFaults{List: standin.ComponentFaults{Down: true}}
	}
	r.platformFaults(t, faults)
	runner := r.Runners[r.random.IntN(len(r.Runners))]
	r.must(t, r.Post(runner, "/leave", struct{}{}))
	r.left[runner.Name] = time.Now().UnixNano()
	r.rest(5000)
	r.platformFaults(t, standin.PlatformFaults{})
}

// nothingAfterLeaving checks that a leaving runner was sent nothing after the
// bound, by the runner's own record of what it refused.
func nothingAfterLeaving(r *run, _ []history.Span) []history.Violation {
	var out []history.Violation
	for name, at := range r.left {
		for _, sent := range r.LeavingRefusalTimes(name) {
			if late := sent - at; late > harness.LeavingBoundMS*int64(time.Millisecond) {
				out = append(out, history.Violation{Property: history.LeavingBound,
					Detail: fmt.Sprintf("%s was sent a request %d ms after it began to leave", name, late/int64(time.Millisecond))})
			}
		}
	}
	return out
}

func workerFaults(t *testing.T, r *run) {
	for _, n := range r.Workers {
		r.must(t, r.Post(n, "/faults", standin.WorkerFaults{
			SlowMS: int64(r.random.IntN(50)), LoseAnswer: standin.FaultTrigger{Probability: 0.2}}))
	}
	r.rest(1500)
	victim := r.Workers[r.random.IntN(len(r.Workers))]
	victim.Proxy.SetFaults(cutBothWays)
	r.rest(2000)
	victim.Proxy.SetFaults(standin.ProxyFaults{})
	r.rest(500)
	r.must(t, r.Post(r.Workers[0], "/restart", struct{}{}))
	r.restarted[r.Workers[0].Name] = time.Now().UnixNano()
	for _, n := range r.Workers {
		r.must(t, r.Post(n, "/faults", standin.WorkerFaults{}))
	}
	r.rest(500)
}

func (r *run) must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (r *run) platformFaults(t *testing.T, f standin.PlatformFaults) {
	t.Helper()
	r.must(t, r.Platform.SetFaults(f))
}
