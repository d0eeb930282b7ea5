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

// maxTombstones is the maximum number of tombstones of a worker: of attempts whose start
// it refuses. For an attempt whose tombstone was dropped, only the start window
// (StartBeforeMS) prevents a late start.
const maxTombstones = 1 << 16

// Payload holds the parameters of an attempt, which WorkSpec.Payload contains as
// JSON. RunMS is the run time in milliseconds. If it is zero, a batch job runs for
// its expected run time and a standing job runs without end. Fail makes the attempt
// end as failed after its run time.
type Payload struct {
	RunMS int64 `json:"run_ms,omitempty"`
	Fail  bool  `json:"fail,omitempty"`
	// UseFactor is the ratio of the real use of processors and memory to the
	// declared size. Zero means 1.
	UseFactor float64 `json:"use_factor,omitempty"`
}

// WorkerFaults are the faults that a worker injects.
type WorkerFaults struct {
	// FailAll ends every attempt as failed as soon as time has passed since its
	// start.
	FailAll bool `json:"fail_all,omitempty"`
	// RefuseStarts refuses every new start.
	RefuseStarts bool `json:"refuse_starts,omitempty"`
	// SlowMS delays every call by this many milliseconds before it takes effect.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LoseAnswer drops the answer to a call after the call took effect.
	LoseAnswer FaultTrigger `json:"lose_answer,omitzero"`
}

// WorkerOptions configures a worker. UsageLagMS is the age of the usage in its
// reports, in milliseconds.
type WorkerOptions struct {
	Name       string
	Capacity   structs.Resources
	UsageLagMS int64
	Seed       uint64
	// Objects stores checkpoints. If it is nil, the worker refuses every call
	// that needs a checkpoint.
	Objects platform.ObjectStore
}

// Worker is a stand-in of a worker. It does not check whether an attempt fits
// into its free capacity before it starts it. It executes nothing: at each call
// and at each Tick it computes the progress of its attempts from the time that
// has passed on its clock.
type Worker struct {
	options WorkerOptions
	clock   clockwork.Clock
	events  eventLog[WorkerEvent]

	mu            sync.Mutex
	faultInjector *faultInjector
	faults        WorkerFaults
	bootCount     int
	bootID        string
	bootedAt      time.Time
	leaving       bool
	advancedTo    time.Time
	running       map[structs.AttemptID]*task
	ended         map[structs.AttemptID]workerapi.EndedAttempt
	tombstones    *tombstones
}

// NewWorker returns a worker that has just booted.
func NewWorker(clock clockwork.Clock, options WorkerOptions) *Worker {
	w := &Worker{options: options, clock: clock, faultInjector: newFaultInjector(options.Seed)}
	w.boot()
	return w
}

// boot sets a new boot ID and discards the running attempts, the ended attempts
// and the tombstones, as a restart of the machine does.
func (w *Worker) boot() {
	w.bootCount++
	w.bootedAt = w.clock.Now()
	w.advancedTo = w.bootedAt
	w.bootID = fmt.Sprintf("%s-%d-%d", w.options.Name, w.bootedAt.UnixNano(), w.bootCount)
	w.running = map[structs.AttemptID]*task{}
	w.ended = map[structs.AttemptID]workerapi.EndedAttempt{}
	w.tombstones = newTombstones(maxTombstones)
}

// Restart simulates a restart of the machine: every attempt ends without an
// outcome, and the boot ID changes.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, t := range w.running {
		delete(w.running, t.attempt)
		w.record(WorkerEventKilled, t, "restart")
	}
	w.boot()
}

// SetFaults replaces the faults that the worker injects.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Faults returns the faults that the worker injects, with the remaining number
// of NextCalls in its trigger.
func (w *Worker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Leave makes the worker report that it is leaving and refuse new starts.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// Tick advances the attempts to the current time.
func (w *Worker) Tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
}

// Heartbeat renews the leases of all running attempts, discards the outcomes that
// the request acknowledges and returns the worker's report.
func (w *Worker) Heartbeat(ctx context.Context, req workerapi.HeartbeatRequest) (workerapi.HeartbeatResponse, error) {
	answerLost, err := w.injectFaults(ctx)
	if err != nil {
		return workerapi.HeartbeatResponse{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.acknowledge(req.Acknowledged)
	w.renewLeases(req.LeaseMS)
	if answerLost {
		return workerapi.HeartbeatResponse{}, lostAnswerError()
	}
	return w.report(), nil
}

// StartAttempt starts an attempt. A repeated start of an attempt that runs, or
// that has ended as finished or failed, changes nothing.
func (w *Worker) StartAttempt(ctx context.Context, req workerapi.StartRequest) error {
	answerLost, err := w.injectFaults(ctx)
	if err != nil {
		return err
	}
	if err := w.start(ctx, req); err != nil {
		return err
	}
	if answerLost {
		return lostAnswerError()
	}
	return nil
}

// StopAttempt stops an attempt and returns its outcome. For an attempt that neither
// runs nor has a stored outcome, it adds a tombstone, so that a later start is refused.
func (w *Worker) StopAttempt(ctx context.Context, req workerapi.StopRequest) (workerapi.StopResponse, error) {
	answerLost, err := w.injectFaults(ctx)
	if err != nil {
		return workerapi.StopResponse{}, err
	}
	ended, bootID, err := w.stop(ctx, req)
	if err != nil {
		return workerapi.StopResponse{}, err
	}
	if answerLost {
		return workerapi.StopResponse{}, lostAnswerError()
	}
	return workerapi.StopResponse{Ended: ended, BootID: bootID}, nil
}

// ThrottleAttempt limits a running attempt to a share of its processors.
func (w *Worker) ThrottleAttempt(ctx context.Context, req workerapi.ThrottleRequest) error {
	answerLost, err := w.injectFaults(ctx)
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
	w.record(WorkerEventThrottle, t, fmt.Sprint(req.Share))
	if answerLost {
		return lostAnswerError()
	}
	return nil
}

// injectFaults delays a call and draws whether its answer is lost. It returns an
// error if ctx has ended.
func (w *Worker) injectFaults(ctx context.Context) (bool, error) {
	w.mu.Lock()
	delay := millis(w.faults.SlowMS)
	answerLost := w.faultInjector.shouldInject(&w.faults.LoseAnswer)
	w.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
		case <-w.clock.After(delay):
		}
	}
	if err := ctx.Err(); err != nil {
		return false, fmt.Errorf("%w: %w", workerapi.ErrOutcomeUnknown, err)
	}
	return answerLost, nil
}

func lostAnswerError() error {
	return fmt.Errorf("%w: answer lost by fault", workerapi.ErrOutcomeUnknown)
}

// acknowledge discards the stored outcomes of attempts and replaces each of them by a
// tombstone, so that the attempt cannot start again.
func (w *Worker) acknowledge(attempts []structs.AttemptID) {
	for _, id := range attempts {
		if _, ok := w.ended[id]; ok {
			delete(w.ended, id)
			w.tombstones.add(id, true)
		}
	}
}

// renewLeases extends the leases of all running attempts to leaseMS from now. It
// shortens none.
func (w *Worker) renewLeases(leaseMS int64) {
	expiry := w.clock.Now().Add(millis(leaseMS))
	for _, t := range w.running {
		if expiry.After(t.leaseExpiry) {
			t.leaseExpiry = expiry
		}
	}
}

func (w *Worker) uptimeMS() int64 {
	return w.clock.Since(w.bootedAt).Milliseconds()
}

// report returns the worker's state for the response to a heartbeat.
func (w *Worker) report() workerapi.HeartbeatResponse {
	report := workerapi.HeartbeatResponse{
		BootID:     w.bootID,
		UptimeMS:   w.uptimeMS(),
		Capacity:   w.options.Capacity,
		UsageAgeMS: w.options.UsageLagMS,
		Leaving:    w.leaving,
	}
	measuredAt := w.clock.Now().Add(-millis(w.options.UsageLagMS))
	for _, id := range sortedKeys(w.running) {
		t := w.running[id]
		report.Running = append(report.Running, workerapi.RunningAttempt{
			Attempt: id, Size: t.spec.Size, Used: t.usedAt(measuredAt), Checkpoint: t.checkpoint, Throttle: t.throttle,
		})
	}
	for _, id := range sortedKeys(w.ended) {
		report.Ended = append(report.Ended, w.ended[id])
	}
	return report
}
