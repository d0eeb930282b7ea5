package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

// Guards against tasks that start all at once on the runners of a domain whose evacuation was
// withdrawn, and against a limit that does not end.
func TestWorkReturnsToADomainGradually(t *testing.T) {
	a, b := runnerInDomain("a", "east"), runnerInDomain("b", "west")
	a.Capacity.CPUMilli = 100_000
	h := newCoreHarness(t, a, b)
	h.evacuate("east")
	h.addJob(firstID, false, plainStep(100, 1000))
	if got := len(startOrders(h.schedule())); got != 4 {
		t.Fatalf("%d starts outside of the evacuated domain, want 4", got)
	}
	h.evacuate()
	withdrawnAt := h.now
	for second, limit := range returnStartsPerSecond {
		started := 0
		for _, offset := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond} {
			h.now = withdrawnAt + time.Duration(second)*time.Second + offset
			started += len(startOrders(h.schedule()))
		}
		if started != limit {
			t.Errorf("%d starts in second %d after the evacuation, want %d", started, second, limit)
		}
	}
	h.now = withdrawnAt + time.Duration(len(returnStartsPerSecond))*time.Second + fullScanInterval
	if got := len(startOrders(h.schedule())); got < 50 {
		t.Errorf("%d starts once the limit has ended", got)
	}
}

// Guards against a gang that starts more members on a runner than the limit allows, and against
// a failed try that uses up the limit.
func TestGangKeepsTheLimitAfterAnEvacuation(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"))
	h.evacuate("east")
	gang := plainStep(2, 1000)
	gang.Gang = true
	h.addJob(firstID, false, gang)
	h.evacuate()
	withdrawnAt := h.now
	for range 3 {
		if got := startOrders(h.schedule()); len(got) != 0 {
			t.Errorf("%d members started in the first second, want none", len(got))
		}
	}
	h.now = withdrawnAt + 2*time.Second
	if got := startOrders(h.schedule()); len(got) != 2 {
		t.Errorf("%d members started in the third second, want 2", len(got))
	}
}

// Guards against work that is preempted elsewhere while a runner that is back from an evacuation
// takes the waiting task within a second.
func TestLimitAfterAnEvacuationIsNoCauseToPreempt(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"))
	h.evacuate("east")
	h.addJob(firstID, false, plainStep(2, 1000))
	h.evacuate()
	h.schedule()
	p := preemption{core: h.core, now: h.now}
	if full, soon := p.fullRunners(h.core.waitingSteps[0]); len(full) != 0 || !soon {
		t.Errorf("%d runners count as full, room soon: %v", len(full), soon)
	}
}

// Guards against best-effort work that counts as starved, and is started beside serving tasks
// whatever it does to them, because runners on which starts are limited count as free.
func TestLimitAfterAnEvacuationStarvesNoWork(t *testing.T) {
	h := newCoreHarness(t, runnerInDomain("a", "east"), runnerInDomain("b", "west"))
	h.evacuate("east")
	h.startJob(firstID, plainStep(4, 1000))
	h.addJob(secondID, false, plainStep(1, 4000))
	h.schedule()
	h.evacuate()
	h.core.runners["a"].domainReturn.count(1, h.now)
	h.now += starvationTime + 100*time.Millisecond
	h.core.runners["a"].domainReturn.count(1, h.now)
	h.schedule()
	res := h.core.serviceReservations.forService(testService)
	if res.hasMuchFree() || res.freeMilli < largeFreeShare*res.totalMilli {
		t.Errorf("much is free: %v, with %v of %v thousandths free and %v of them limited", res.hasMuchFree(), res.freeMilli, res.totalMilli, res.returningMilli)
	}
	h.now += time.Duration(len(returnStartsPerSecond)) * time.Second
	h.core.updateServiceReservations(h.now)
	if !res.hasMuchFree() {
		t.Error("nothing counts as free after the limit has ended")
	}
}

// Guards against a successor that starts everything at once on the runners of a domain whose
// evacuation was withdrawn shortly before it took over.
func TestSuccessorLimitsStartsAfterAnEvacuation(t *testing.T) {
	h := newLoopHarness(t)
	coord := h.coordinator
	info := coord.core.runners[testRunnerID].RunnerInfo
	info.Domain = "east"
	coord.core.UpdateRunner(info, h.clock.now())
	withdrawnAt := h.clock.now()
	coord.env.EvacuatedDomains = func() []string { return nil }
	coord.env.WithdrawnEvacuations = func() map[string]time.Duration {
		return map[string]time.Duration{"east": withdrawnAt, "west": withdrawnAt}
	}
	h.clock.advance(time.Second)
	if err := coord.inheritEvacuations(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	coord.core.AddJob(jobs.New(secondID, testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(3, 1000)}}, 0, 1), false, 0)
	coord.core.Schedule(h.clock.now(), 0)
	if got := len(coord.core.TakeOrders()); got != returnStartsPerSecond[1] {
		t.Errorf("%d starts, want %d", got, returnStartsPerSecond[1])
	}
}
