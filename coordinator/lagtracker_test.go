package coordinator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"bergamotstile/leadership"
	"bergamotstile/rowstore"
)

// Guards against a loop that is reported as behind after a single delay, and against one
// that is not although it never catches up.
func TestLagTrackerReportsOnlyLastingLag(t *testing.T) {
	const s = time.Second
	type lagSample struct{ age, now time.Duration }
	cases := map[string]struct {
		samples []lagSample
		at      time.Duration
		want    bool
	}{
		"nothing recorded":     {nil, 10 * s, false},
		"never above":          {[]lagSample{{maxLag, 1 * s}, {maxLag, 2 * s}, {maxLag, 9 * s}}, 9 * s, false},
		"above, not long":      {[]lagSample{{2 * s, 1 * s}, {2 * s, 2 * s}}, 2900 * time.Millisecond, false},
		"above throughout":     {[]lagSample{{2 * s, 1 * s}, {2 * s, 2 * s}, {3 * s, 3 * s}}, 3 * s, true},
		"caught up between":    {[]lagSample{{2 * s, 1 * s}, {0, 2 * s}, {2 * s, 2500 * time.Millisecond}}, 4 * s, false},
		"behind again":         {[]lagSample{{2 * s, 1 * s}, {0, 2 * s}, {2 * s, 3 * s}, {2 * s, 5 * s}}, 5 * s, true},
		"caught up in the end": {[]lagSample{{2 * s, 1 * s}, {2 * s, 4 * s}, {s, 5 * s}}, 9 * s, false},
	}
	for name, c := range cases {
		var tracker lagTracker
		for _, sample := range c.samples {
			tracker.record(sample.age, sample.now)
		}
		if got := tracker.isBehind(c.at); got != c.want {
			t.Errorf("%s: behind %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a coordinator whose log and metrics do not show that it is behind, and
// against one that logs a line for each round.
func TestLagIsLoggedAndExported(t *testing.T) {
	h := newLoopHarness(t)
	log, lines := test.NewNullLogger()
	h.coordinator.env.Log = log
	var lag int64
	h.coordinator.env.Gauge = func(name string, value int64) {
		if name == "coordinator_lag_ms" {
			lag = value
		}
	}
	runRound := func() {
		h.coordinator.applyWaitingEvents()
		h.coordinator.updateLag(h.clock.now())
	}
	for range 7 * maxEventBatch {
		h.coordinator.post(t.Context(), probeEvent(func(*coordinator) { h.clock.advance(10 * time.Millisecond) }))
	}
	for range 7 { // rounds of 1.28 s
		runRound()
	}
	h.coordinator.tick()
	if want := (7*maxEventBatch*10*time.Millisecond - 10*time.Millisecond).Milliseconds(); lag != want {
		t.Errorf("gauge %d ms, want %d", lag, want)
	}
	runRound()
	h.coordinator.tick()
	if lag != 0 {
		t.Errorf("gauge %d ms after the queue was emptied", lag)
	}
	var messages []string
	for _, entry := range lines.AllEntries() {
		messages = append(messages, entry.Message)
	}
	want := []string{"coordinator is behind", "coordinator is behind", "coordinator has caught up"}
	if len(messages) != 3 || messages[0] != want[0] || messages[1] != want[1] || messages[2] != want[2] {
		t.Fatalf("lines %q, want %q", messages, want)
	}
	if first := lines.AllEntries()[0]; first.Data["queue"] != 5*maxEventBatch || first.Data["jobs"] != 1 || first.Data["runners"] != 1 {
		t.Errorf("fields %v of the first line", first.Data)
	}
}

// Guards against ticks that make a coordinator seem to have caught up while events wait.
func TestTickWithWaitingEventsDoesNotResetTheLag(t *testing.T) {
	h := newLoopHarness(t)
	h.coordinator.lagTracker.record(maxLag+time.Second, h.clock.now())
	h.coordinator.post(t.Context(), probeEvent(func(*coordinator) {}))
	h.clock.advance(maxLagTime)
	h.coordinator.tick()
	h.coordinator.updateLag(h.clock.now())
	if !h.coordinator.lagTracker.isBehind(h.clock.now()) {
		t.Error("a tick counts as having caught up")
	}
}

// newBusyHarness returns a harness of a coordinator that has just begun to coordinate, with
// queued events that each take a given time to apply.
func newBusyHarness(t *testing.T, events int, each time.Duration) *loopHarness {
	t.Helper()
	h := newLoopHarness(t)
	h.coordinator.coordinatingSince = h.clock.now()
	for range events {
		h.coordinator.post(t.Context(), probeEvent(func(*coordinator) { h.clock.advance(each) }))
	}
	return h
}

// newSteadyLagHarness returns a harness of a coordinator that has just begun to coordinate
// and that applies each event 1 s after it was posted, for 30 s.
func newSteadyLagHarness(t *testing.T) *loopHarness {
	h := newBusyHarness(t, 0, 0)
	const each, queue, total = 10 * time.Millisecond, 100, 3000
	remaining := total
	var repost probeEvent
	repost = func(coord *coordinator) {
		h.clock.advance(each)
		if remaining--; remaining >= queue {
			coord.post(t.Context(), repost)
		}
	}
	for range queue {
		h.coordinator.post(t.Context(), repost)
	}
	return h
}

// runLoop runs the coordinator's loop and returns the error with which it ended. It stops
// the loop at the first tick without lag and without queued events.
func (h *loopHarness) runLoop() error {
	ctx, cancel := context.WithCancel(h.t.Context())
	defer cancel()
	h.coordinator.ctx, h.coordinator.cancel = ctx, cancel
	h.coordinator.env.Gauge = func(_ string, lag int64) {
		if lag == 0 && len(h.coordinator.events) == 0 {
			cancel()
		}
	}
	return h.coordinator.loop(ctx)
}

// Guards against a coordinator that lacks processor time and keeps the lease:
// cancellations and draining runners would wait for seconds behind its reports.
func TestCoordinatorThatStaysBehindEndsItsTerm(t *testing.T) {
	h := newBusyHarness(t, 1000, 20*time.Millisecond) // rounds of 2.6 s
	h.link.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), h.link.token())
	h.link.nextRequest()
	begin := h.clock.now()
	if err := h.runLoop(); !errors.Is(err, ErrBehind) {
		t.Fatalf("the term ended with %v, want %v", err, ErrBehind)
	}
	if elapsed := h.clock.now() - begin; elapsed < minTermDuration || elapsed > minTermDuration+3*time.Second {
		t.Errorf("the term ended after %v, want the end of the first round after %v", elapsed, minTermDuration)
	}
	if h.coordinator.ctx.Err() == nil {
		t.Error("the context of the term was not cancelled")
	}
	result, err := h.store.Read(t.Context(), rowstore.Range{Table: rosterKey.Table, Part: sharedPart, From: rosterKey.Key, To: rosterKey.Key + "\x00"})
	if err != nil || len(result.Rows) != 1 {
		t.Fatalf("%d rows of the roster, error %v", len(result.Rows), err)
	}
	roster := decodeRoster(string(result.Rows[0].Value))
	if len(roster) != 1 || roster[0].id != testRunnerID || roster[0].expiry == 0 {
		t.Errorf("handed over %+v, want the runner with its expiry", roster)
	}
}

// Guards against terms that end although the coordinator catches up or has just begun:
// with each handover every runner has to change to a new epoch.
func TestCoordinatorThatCatchesUpKeepsItsTerm(t *testing.T) {
	for name, h := range map[string]*loopHarness{
		"behind once, catches up":           newBusyHarness(t, maxEventBatch+10, 100*time.Millisecond), // a round of 12.9 s, then one of 0.9 s
		"behind for 6 s after it took over": newBusyHarness(t, 300, 20*time.Millisecond),
		"lag of 1 s for 30 s":               newSteadyLagHarness(t),
	} {
		if err := h.runLoop(); !errors.Is(err, context.Canceled) {
			t.Errorf("%s: the term ended with %v", name, err)
		}
	}
}

// Guards against a lease that is released while the store is unavailable: no other
// instance could take it.
func TestCoordinatorThatIsBehindKeepsItsTermWithoutTheStore(t *testing.T) {
	h := newBusyHarness(t, 1000, 20*time.Millisecond)
	h.coordinator.term = leadership.NewTerm(1, h.clock.now(), h.clock.now) // not renewed from here on
	if err := h.runLoop(); !errors.Is(err, context.Canceled) {
		t.Errorf("the term ended with %v", err)
	}
}
