package routing

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/structs"
)

// RunnerSample holds what this instance measured of one runner since the
// samples were last taken. The policy relates it to the batch work that shares
// the runner's machine.
type RunnerSample struct {
	Runner   structs.Member
	Requests int // answered in the window
	// ServiceTime is the sum of the times from dispatch to answer.
	ServiceTime time.Duration
	// Window is the length of the time that the sample covers.
	Window time.Duration
	// WaitingPerSlot is the number of requests that wait now for the runner's
	// service in its shard, divided by the number of slots of that service
	// there.
	WaitingPerSlot float64
}

// runnerSampler collects the measurements of each runner.
type runnerSampler struct {
	clock       clockwork.Clock
	mu          sync.Mutex
	windowStart time.Time               // when the samples were last taken
	runners     map[string]RunnerSample // by name of the runner
}

func newRunnerSampler(clock clockwork.Clock) *runnerSampler {
	return &runnerSampler{clock: clock, windowStart: clock.Now(), runners: map[string]RunnerSample{}}
}

func (s *runnerSampler) recordAnswer(runner structs.Member, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.runners[runner.Name]
	sample.Runner = runner
	sample.Requests++
	sample.ServiceTime += took
	s.runners[runner.Name] = sample
}

// takeSamples returns the samples of all runners and starts a new window.
func (s *runnerSampler) takeSamples() []RunnerSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	samples := make([]RunnerSample, 0, len(s.runners))
	for _, sample := range s.runners {
		sample.Window = now.Sub(s.windowStart)
		samples = append(samples, sample)
	}
	s.windowStart, s.runners = now, map[string]RunnerSample{}
	return samples
}

// RunnerSamples returns the samples of the runners that answered since the last
// call, and starts a new window.
func (r *Router) RunnerSamples() []RunnerSample {
	samples := r.runnerSamples.takeSamples()
	for i := range samples {
		runner := samples[i].Runner
		shard := structs.ShardOfMember(runner.Domain, runner.Name, r.Topology.Shards())
		pool := r.ownerPool(shard, runner.Service)
		samples[i].WaitingPerSlot = float64(pool.queue.Len()) / float64(max(pool.Size(), 1))
	}
	return samples
}
