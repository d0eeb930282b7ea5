package coordinator

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
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
	w := newQueueWorld(t)
	log, lines := test.NewNullLogger()
	w.leader.env.Log = log
	var lag int64
	w.leader.env.Gauge = func(name string, value int64) {
		if name == "coordinator_lag_ms" {
			lag = value
		}
	}
	round := func() {
		w.leader.drain()
		w.leader.noteLag(w.clock.now())
	}
	for range 7 * maxBatch {
		w.leader.post(t.Context(), probe(func(*leader) { w.clock.advance(10 * time.Millisecond) }))
	}
	for range 7 { // rounds of 1.28 s
		round()
	}
	w.leader.tick()
	if want := (7*maxBatch*10*time.Millisecond - 10*time.Millisecond).Milliseconds(); lag != want {
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
	if first := lines.AllEntries()[0]; first.Data["queue"] != 5*maxBatch || first.Data["jobs"] != 1 || first.Data["runners"] != 1 {
		t.Errorf("fields %v of the first line", first.Data)
	}
}

// Guards against ticks that make a coordinator look current while events wait.
func TestTicksDoNotHideTheLag(t *testing.T) {
	w := newQueueWorld(t)
	w.leader.backlog.note(maxLag+time.Second, w.clock.now())
	w.leader.post(t.Context(), probe(func(*leader) {}))
	w.clock.advance(maxLagTime)
	w.leader.tick()
	w.leader.noteLag(w.clock.now())
	if !w.leader.backlog.behind(w.clock.now()) {
		t.Error("a tick counts as having caught up")
	}
}
