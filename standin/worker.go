package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/platform"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// maxTombstones bounds the attempts that a worker remembers as stopped. The
// start window protects against a late start of an attempt beyond them.
const maxTombstones = 1 << 16

// Payload is what the stand-in reads from WorkSpec.Payload. Without a run time
// a batch job runs for its expected time and a standing job without end.
type Payload struct {
	RunMS int64 `json:"run_ms,omitempty"`
	Fail  bool  `json:"fail,omitempty"`
	// UseFactor is the real use over the declared size; zero means 1.
	UseFactor float64 `json:"use_factor,omitempty"`
}

// WorkerFaults are the faults of a worker.
type WorkerFaults struct {
	// FailAll ends every attempt as failed as soon as it runs.
	FailAll bool `json:"fail_all,omitempty"`
	// RefuseStarts refuses every new start.
	RefuseStarts bool `json:"refuse_starts,omitempty"`
	// SlowMS delays every call before it takes effect.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LoseAnswer loses the answer of a call after it took effect.
	LoseAnswer Chance `json:"lose_answer,omitzero"`
}

// WorkerOptions configures a worker.
type WorkerOptions struct {
	Name       string
	Capacity   structs.Resources
	UsageLagMS int64
	Seed       uint64
	// Objects keeps checkpoints. Without it a checkpoint is refused.
	Objects platform.ObjectStore
}

// Worker starts whatever it is given, whether it fits or not, and runs it in
// simulated time. Time is taken note of at each call and at each Tick.
type Worker struct {
	options WorkerOptions
	clock   clockwork.Clock
	events  eventLog[WorkerEvent]

	mu         sync.Mutex
	dice       *dice
	faults     WorkerFaults
	boots      int
	bootID     string
	booted     time.Time
	leaving    bool
	advanced   time.Time
	running    map[structs.AttemptID]*task
	ended      map[structs.AttemptID]workerapi.EndedAttempt
	tombstones *tombstones
}

// NewWorker returns a worker that has just booted.
func NewWorker(clock clockwork.Clock, options WorkerOptions) *Worker {
	w := &Worker{options: options, clock: clock, dice: newDice(options.Seed)}
	w.boot()
	return w
}

// boot forgets everything, as a restart of the machine does.
func (w *Worker) boot() {
	w.boots++
	w.booted = w.clock.Now()
	w.advanced = w.booted
	w.bootID = fmt.Sprintf("%s-%d-%d", w.options.Name, w.booted.UnixNano(), w.boots)
	w.running = map[structs.AttemptID]*task{}
	w.ended = map[structs.AttemptID]workerapi.EndedAttempt{}
	w.tombstones = newTombstones(maxTombstones)
}

// Restart ends every task without an outcome and changes the boot ID.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, t := range w.running {
		delete(w.running, t.attempt)
		w.record(EventKilled, t, "restart")
	}
	w.boot()
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Faults returns the faults that are set.
func (w *Worker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Leave makes the worker report that it is leaving.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// Tick takes note of the time that has passed.
func (w *Worker) Tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
}

// Heartbeat renews the leases of all tasks, takes acknowledgements and reports.
func (w *Worker) Heartbeat(ctx context.Context, req workerapi.HeartbeatRequest) (workerapi.HeartbeatResponse, error) {
	lost, err := w.admit(ctx)
	if err != nil {
		return workerapi.HeartbeatResponse{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.acknowledge(req.Acknowledged)
	w.renew(req.LeaseMS)
	if lost {
		return workerapi.HeartbeatResponse{}, lostAnswer()
	}
	return w.report(), nil
}

// StartAttempt begins an attempt. A repeated start of a known attempt changes nothing.
func (w *Worker) StartAttempt(ctx context.Context, req workerapi.StartRequest) error {
	lost, err := w.admit(ctx)
	if err != nil {
		return err
	}
	if err := w.start(ctx, req); err != nil {
		return err
	}
	if lost {
		return lostAnswer()
	}
	return nil
}

// StopAttempt ends an attempt or leaves a tombstone for an unknown one.
func (w *Worker) StopAttempt(ctx context.Context, req workerapi.StopRequest) (workerapi.StopResponse, error) {
	lost, err := w.admit(ctx)
	if err != nil {
		return workerapi.StopResponse{}, err
	}
	ended, boot, err := w.stop(ctx, req)
	if err != nil {
		return workerapi.StopResponse{}, err
	}
	if lost {
		return workerapi.StopResponse{}, lostAnswer()
	}
	return workerapi.StopResponse{Ended: ended, BootID: boot}, nil
}

// ThrottleAttempt limits a running attempt to a share of its processors.
func (w *Worker) ThrottleAttempt(ctx context.Context, req workerapi.ThrottleRequest) error {
	lost, err := w.admit(ctx)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	t, ok := w.running[req.Attempt]
	if !ok || req.Share <= 0 || req.Share > 1 {
		return fmt.Errorf("%w: attempt %s does not run or share %v is out of range", workerapi.ErrRefused, req.Attempt, req.Share)
	}
	t.throttle = req.Share
	w.record(EventThrottle, t, fmt.Sprint(req.Share))
	if lost {
		return lostAnswer()
	}
	return nil
}

// admit applies the faults before a call and decides whether its answer is
// lost.
func (w *Worker) admit(ctx context.Context) (bool, error) {
	w.mu.Lock()
	slow := millis(w.faults.SlowMS)
	lost := w.dice.strikes(&w.faults.LoseAnswer)
	w.mu.Unlock()
	if slow > 0 {
		select {
		case <-ctx.Done():
		case <-w.clock.After(slow):
		}
	}
	if err := ctx.Err(); err != nil {
		return false, fmt.Errorf("%w: %w", workerapi.ErrOutcomeUnknown, err)
	}
	return lost, nil
}

func lostAnswer() error {
	return fmt.Errorf("%w: answer lost by fault", workerapi.ErrOutcomeUnknown)
}

func (w *Worker) acknowledge(attempts []structs.AttemptID) {
	for _, id := range attempts {
		if _, ok := w.ended[id]; ok {
			delete(w.ended, id)
			w.tombstones.add(id, true)
		}
	}
}

func (w *Worker) renew(leaseMS int64) {
	until := w.clock.Now().Add(millis(leaseMS))
	for _, t := range w.running {
		if until.After(t.lease) {
			t.lease = until
		}
	}
}

func (w *Worker) uptimeMS() int64 {
	return w.clock.Since(w.booted).Milliseconds()
}

// report is the worker's account of itself.
func (w *Worker) report() workerapi.HeartbeatResponse {
	r := workerapi.HeartbeatResponse{
		BootID:     w.bootID,
		UptimeMS:   w.uptimeMS(),
		Capacity:   w.options.Capacity,
		UsageAgeMS: w.options.UsageLagMS,
		Leaving:    w.leaving,
	}
	seen := w.clock.Now().Add(-millis(w.options.UsageLagMS))
	for _, id := range sortedKeys(w.running) {
		t := w.running[id]
		r.Running = append(r.Running, workerapi.RunningAttempt{
			Attempt: id, Size: t.spec.Size, Used: t.usedAt(seen), Checkpoint: t.checkpoint, Throttle: t.throttle,
		})
	}
	for _, id := range sortedKeys(w.ended) {
		r.Ended = append(r.Ended, w.ended[id])
	}
	return r
}
