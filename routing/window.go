package routing

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/structs"
)

// RunnerWindow is what this instance measured of one runner since the last
// reading. The policy compares it with the work that shares the machine.
type RunnerWindow struct {
	Runner   structs.Member
	Requests int
	// Busy is the sum of the times from dispatch to answer.
	Busy time.Duration
	// Length is the time that the window covers.
	Length time.Duration
	// Waiting is the number of requests that wait for the runner's service in
	// its shard now, for each slot there.
	Waiting float64
}

// windows collects the dispatches to each runner.
type windows struct {
	clock   clockwork.Clock
	mu      sync.Mutex
	since   time.Time
	runners map[string]RunnerWindow
}

func newWindows(clock clockwork.Clock) *windows {
	return &windows{clock: clock, since: clock.Now(), runners: map[string]RunnerWindow{}}
}

func (w *windows) observe(runner structs.Member, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	window := w.runners[runner.Name]
	window.Runner = runner
	window.Requests++
	window.Busy += took
	w.runners[runner.Name] = window
}

func (w *windows) take() []RunnerWindow {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	out := make([]RunnerWindow, 0, len(w.runners))
	for _, window := range w.runners {
		window.Length = now.Sub(w.since)
		out = append(out, window)
	}
	w.since, w.runners = now, map[string]RunnerWindow{}
	return out
}

// RunnerWindows returns the measurements of each runner since the last call.
func (r *Router) RunnerWindows() []RunnerWindow {
	out := r.windows.take()
	for i := range out {
		m := out[i].Runner
		shard := structs.ShardOfMember(m.Domain, m.Name, r.Topology.Shards())
		l := r.lane(shard, m.Service)
		out[i].Waiting = float64(l.queue.Len()) / float64(max(l.Size(), 1))
	}
	return out
}
