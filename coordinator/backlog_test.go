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

// Guards against a loop that is called behind after it was held up once, and against
// one that isn't although it never catches up.
func TestBacklog(t *testing.T) {
	const s = time.Second
	type note struct{ age, now time.Duration }
	cases := map[string]struct {
		notes []note
		at    time.Duration
		want  bool
	}{
		"nothing noted":        {nil, 10 * s, false},
		"never above":          {[]note{{maxLag, 1 * s}, {maxLag, 2 * s}, {maxLag, 9 * s}}, 9 * s, false},
		"above, not long":      {[]note{{2 * s, 1 * s}, {2 * s, 2 * s}}, 2900 * time.Millisecond, false},
		"above throughout":     {[]note{{2 * s, 1 * s}, {2 * s, 2 * s}, {3 * s, 3 * s}}, 3 * s, true},
		"caught up between":    {[]note{{2 * s, 1 * s}, {0, 2 * s}, {2 * s, 2500 * time.Millisecond}}, 4 * s, false},
		"behind again":         {[]note{{2 * s, 1 * s}, {0, 2 * s}, {2 * s, 3 * s}, {2 * s, 5 * s}}, 5 * s, true},
		"caught up in the end": {[]note{{2 * s, 1 * s}, {2 * s, 4 * s}, {s, 5 * s}}, 9 * s, false},
	}
	for name, c := range cases {
		var b backlog
		for _, n := range c.notes {
			b.note(n.age, n.now)
		}
		if got := b.behind(c.at); got != c.want {
			t.Errorf("%s: behind %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a coordinator that is behind and whose log and numbers look current,
// and against a line for each round.
func TestLogSaysThatTheCoordinatorIsBehind(t *testing.T) {
	w := newLoopWorld(t)
	log, lines := test.NewNullLogger()
	w.leader.env.Log = log
	var lag int64
	w.leader.env.Gauge = func(name string, value int64) {
		if name == "coordinator_lag_ms" {
			lag = value
		}
	}
	round := func() {
		w.leader.applyWaitingEvents()
		w.leader.updateLag(w.clock.now())
	}
	for range 7 * maxEventBatch {
		w.leader.post(t.Context(), probeEvent(func(*leader) { w.clock.advance(10 * time.Millisecond) }))
	}
	for range 7 { // rounds of 1.28 s
		round()
	}
	w.leader.tick()
	if want := (7*maxEventBatch*10*time.Millisecond - 10*time.Millisecond).Milliseconds(); lag != want {
		t.Errorf("gauge %d ms, want %d", lag, want)
	}
	round()
	w.leader.tick()
	if lag != 0 {
		t.Errorf("gauge %d ms after the queue was emptied", lag)
	}
	var messages []string
	for _, l := range lines.AllEntries() {
		messages = append(messages, l.Message)
	}
	want := []string{"coordinator is behind", "coordinator is behind", "coordinator has caught up"}
	if len(messages) != 3 || messages[0] != want[0] || messages[1] != want[1] || messages[2] != want[2] {
		t.Fatalf("lines %q, want %q", messages, want)
	}
	if first := lines.AllEntries()[0]; first.Data["queue"] != 5*maxEventBatch || first.Data["jobs"] != 1 || first.Data["runners"] != 1 {
		t.Errorf("fields %v of the first line", first.Data)
	}
}

// Guards against ticks that make a coordinator look current while events wait.
func TestTicksDoNotHideTheLag(t *testing.T) {
	w := newLoopWorld(t)
	w.leader.backlog.note(maxLag+time.Second, w.clock.now())
	w.leader.post(t.Context(), probeEvent(func(*leader) {}))
	w.clock.advance(maxLagTime)
	w.leader.tick()
	w.leader.updateLag(w.clock.now())
	if !w.leader.backlog.behind(w.clock.now()) {
		t.Error("a tick counts as having caught up")
	}
}

// busyWorld is a leader that has just begun to coordinate, with events each of which
// takes a time to apply.
func busyWorld(t *testing.T, events int, each time.Duration) *loopWorld {
	t.Helper()
	w := newLoopWorld(t)
	w.leader.coordinatingSince = w.clock.now()
	for range events {
		w.leader.post(t.Context(), probeEvent(func(*leader) { w.clock.advance(each) }))
	}
	return w
}

// steadyWorld is a leader that has just begun to coordinate and applies each event 1 s
// after it was posted, for 30 s.
func steadyWorld(t *testing.T) *loopWorld {
	w := busyWorld(t, 0, 0)
	const each, queue, total = 10 * time.Millisecond, 100, 3000
	left := total
	var again probeEvent
	again = func(l *leader) {
		w.clock.advance(each)
		if left--; left >= queue {
			l.post(t.Context(), again)
		}
	}
	for range queue {
		w.leader.post(t.Context(), again)
	}
	return w
}

// runLoop runs the leader's loop and returns why it ended. It is stopped at the first
// tick that finds no lag.
func (w *loopWorld) runLoop() error {
	ctx, cancel := context.WithCancel(w.t.Context())
	defer cancel()
	w.leader.ctx, w.leader.cancel = ctx, cancel
	w.leader.env.Gauge = func(_ string, lag int64) {
		if lag == 0 && len(w.leader.events) == 0 {
			cancel()
		}
	}
	return w.leader.loop(ctx)
}

// Guards against a coordinator without processor time that keeps the lease: cancels and
// draining runners wait for seconds behind its reports.
func TestCoordinatorThatStaysBehindEndsItsTerm(t *testing.T) {
	w := busyWorld(t, 1000, 20*time.Millisecond) // rounds of 2.6 s
	w.link.recordAnswer(1, time.Hour, w.clock.now(), w.clock.now())
	w.link.nextRequest()
	before := w.clock.now()
	if err := w.runLoop(); !errors.Is(err, ErrBehind) {
		t.Fatalf("the term ended with %v, want %v", err, ErrBehind)
	}
	if after := w.clock.now() - before; after < minTermDuration || after > minTermDuration+3*time.Second {
		t.Errorf("the term ended after %v, want the first round after %v", after, minTermDuration)
	}
	if w.leader.ctx.Err() == nil {
		t.Error("the parts of the term go on")
	}
	res, err := w.store.Read(t.Context(), rowstore.Range{Table: rosterKey.Table, Part: sharedPart, From: rosterKey.Key, To: rosterKey.Key + "\x00"})
	if err != nil || len(res.Rows) != 1 {
		t.Fatalf("%d rows of the roster, error %v", len(res.Rows), err)
	}
	roster := decodeRoster(string(res.Rows[0].Value))
	if len(roster) != 1 || roster[0].id != testRunnerID || roster[0].expiry == 0 {
		t.Errorf("handed over %+v, want the runner with its expiry", roster)
	}
}

// Guards against terms that end although the coordinator catches up or has only begun:
// each handover costs every runner a new epoch.
func TestCoordinatorThatCatchesUpKeepsItsTerm(t *testing.T) {
	for name, w := range map[string]*loopWorld{
		"behind once, catches up":           busyWorld(t, maxEventBatch+10, 100*time.Millisecond), // 12.9 s, then 0.9 s
		"behind for 6 s after it took over": busyWorld(t, 300, 20*time.Millisecond),
		"lag of 1 s for 30 s":               steadyWorld(t),
	} {
		if err := w.runLoop(); !errors.Is(err, context.Canceled) {
			t.Errorf("%s: the term ended with %v", name, err)
		}
	}
}

// Guards against a lease that is given up while the store is away: nobody could take it.
func TestCoordinatorThatIsBehindKeepsItsTermWithoutTheStore(t *testing.T) {
	w := busyWorld(t, 1000, 20*time.Millisecond)
	w.leader.term = leadership.NewTerm(1, w.clock.now(), w.clock.now) // not renewed from here on
	if err := w.runLoop(); !errors.Is(err, context.Canceled) {
		t.Errorf("the term ended with %v", err)
	}
}
