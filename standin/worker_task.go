package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// maxUsageSamples bounds the usage history of a task.
const maxUsageSamples = 256

// usageSample is the resources that a task used from validFrom on, until the next
// sample.
type usageSample struct {
	validFrom time.Time
	used      structs.Resources
}

// task is a running attempt.
type task struct {
	attempt             structs.AttemptID
	spec                structs.WorkSpec
	payload             Payload
	leaseExpiry         time.Time
	runTime             time.Duration // at full speed; zero if the task runs without end
	progress            time.Duration // run time so far, converted to full speed
	throttle            float64       // share of its processors to which the task is limited
	checkpoint          string
	checkpointCount     int
	checkpointWriteDone chan struct{} // nil unless a checkpoint is being written; closed when the write ends
	usage               []usageSample
}

// checkpointObject is a checkpoint as it is stored in the object store.
type checkpointObject struct {
	WorkID structs.WorkID `json:"work_id"`
	DoneMS int64          `json:"done_ms"`
}

func newTask(req workerapi.StartRequest, leaseExpiry time.Time) *task {
	t := &task{
		attempt: req.Attempt, spec: req.Spec, leaseExpiry: leaseExpiry, throttle: 1, checkpoint: req.Checkpoint,
	}
	// The error is ignored: with a payload in another format, RunMS stays zero
	// and a batch job runs for its expected run time.
	_ = json.Unmarshal(req.Spec.Payload, &t.payload)
	t.runTime = millis(t.payload.RunMS)
	if t.runTime == 0 && req.Spec.Kind != structs.KindStanding {
		t.runTime = max(millis(req.Spec.ExpectedRunMS), time.Millisecond)
	}
	return t
}

// demand returns the resources that the task would use without contention, at its
// current throttle.
func (t *task) demand() structs.Resources {
	factor := t.payload.UseFactor
	if factor == 0 {
		factor = 1
	}
	return structs.Resources{
		CPUMilli:     int64(float64(t.spec.Size.CPUMilli) * factor * t.throttle),
		MemoryMB:     int64(float64(t.spec.Size.MemoryMB) * factor),
		Accelerators: t.spec.Size.Accelerators,
	}
}

// recordUsage adds a usage sample if the task's usage has changed.
func (t *task) recordUsage(now time.Time) {
	used := t.demand()
	if n := len(t.usage); n > 0 && t.usage[n-1].used == used {
		return
	}
	t.usage = append(t.usage, usageSample{validFrom: now, used: used})
	if len(t.usage) > maxUsageSamples {
		t.usage = t.usage[1:]
	}
}

// usedAt returns the usage that was valid at the given time, or zero for a time
// before the first sample.
func (t *task) usedAt(when time.Time) structs.Resources {
	var used structs.Resources
	for _, sample := range t.usage {
		if !sample.validFrom.After(when) {
			used = sample.used
		}
	}
	return used
}

// advance brings the running tasks to the current time: it adds their progress
// and ends the tasks that have completed or whose lease has expired. If the tasks
// demand more processors than the worker has, all of them slow down by the same
// factor.
func (w *Worker) advance() {
	now := w.clock.Now()
	elapsed := now.Sub(w.advancedTo)
	speed := w.contentionFactor()
	for _, id := range sortedKeys(w.running) {
		t := w.running[id]
		if t.checkpointWriteDone == nil {
			t.progress += time.Duration(float64(elapsed) * t.throttle * speed)
		}
		t.recordUsage(now)
		w.endIfDue(t, now)
	}
	w.advancedTo = now
}

// contentionFactor returns the factor by which contention slows down the running
// tasks: the worker's processors divided by the tasks' demand, at most 1.
func (w *Worker) contentionFactor() float64 {
	var demandMilli int64
	for _, t := range w.running {
		demandMilli += t.demand().CPUMilli
	}
	if demandMilli <= w.options.Capacity.CPUMilli || demandMilli == 0 {
		return 1
	}
	return float64(w.options.Capacity.CPUMilli) / float64(demandMilli)
}

// endIfDue ends a task if its lease has expired, if the worker's faults make it fail,
// or if it has run for its run time and no checkpoint of it is being written. If
// several of these hold, the first one determines the outcome.
func (w *Worker) endIfDue(t *task, now time.Time) {
	completed := t.runTime > 0 && t.progress >= t.runTime && t.checkpointWriteDone == nil
	switch {
	case !now.Before(t.leaseExpiry):
		w.endTask(t, workerapi.EndedAttempt{State: workerapi.EndStopped, Detail: "task lease lapsed"}, WorkerEventLeaseExpired)
	case w.faults.FailAll && now.After(w.advancedTo):
		w.endTask(t, workerapi.EndedAttempt{State: workerapi.EndFailed, Detail: "worker fails everything"}, WorkerEventFail)
	case completed && t.payload.Fail:
		w.endTask(t, workerapi.EndedAttempt{State: workerapi.EndFailed, Detail: "failed as its payload asks"}, WorkerEventFail)
	case completed:
		w.endTask(t, workerapi.EndedAttempt{State: workerapi.EndFinished, Result: "result of " + string(t.spec.ID())}, WorkerEventFinish)
	}
}

// endTask removes a running task and stores its outcome until that is acknowledged.
func (w *Worker) endTask(t *task, ended workerapi.EndedAttempt, kind WorkerEventKind) {
	delete(w.running, t.attempt)
	ended.Attempt = t.attempt
	w.ended[t.attempt] = ended
	w.record(kind, t, ended.Detail)
}

// start checks a start request, reads its checkpoint without holding the lock,
// checks the request again and adds the attempt to the running tasks. It returns an
// error if the worker refuses the start. It does nothing if the attempt runs already
// or has ended as finished or failed.
func (w *Worker) start(ctx context.Context, req workerapi.StartRequest) error {
	if isDuplicate, err := w.checkStart(req); isDuplicate || err != nil {
		return err
	}
	progress, err := w.loadCheckpoint(ctx, req)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if isDuplicate, err := w.checkStartLocked(req); isDuplicate || err != nil {
		return err
	}
	t := newTask(req, w.clock.Now().Add(millis(req.LeaseMS)))
	t.progress = progress
	t.recordUsage(w.clock.Now())
	w.running[t.attempt] = t
	w.record(WorkerEventStart, t, req.Checkpoint)
	return nil
}

// checkStart acquires the lock and calls checkStartLocked.
func (w *Worker) checkStart(req workerapi.StartRequest) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checkStartLocked(req)
}

// checkStartLocked returns true if a start is a duplicate that changes nothing, since
// the attempt runs already or has ended as finished or failed. It returns an error if
// the worker refuses the start, and false without an error if the attempt may be
// started. The caller holds the lock.
func (w *Worker) checkStartLocked(req workerapi.StartRequest) (bool, error) {
	w.advance()
	ended, hasEnded := w.ended[req.Attempt]
	switch {
	case req.BootID != w.bootID:
		return false, w.refuseStart(req, "boot ID is "+w.bootID)
	case w.running[req.Attempt] != nil:
		return true, nil
	case hasEnded && ended.State != workerapi.EndStopped:
		return true, nil
	case hasEnded || w.tombstones.has(req.Attempt):
		return false, w.refuseStart(req, "attempt has ended")
	case w.uptimeMS() > req.StartBeforeMS:
		return false, w.refuseStart(req, "start window has passed")
	case w.faults.RefuseStarts || w.leaving:
		return false, w.refuseStart(req, "worker takes no starts")
	}
	return false, nil
}

// refuseStart records the refusal of a start and returns an error that wraps
// workerapi.ErrRefused.
func (w *Worker) refuseStart(req workerapi.StartRequest, detail string) error {
	w.record(WorkerEventRefuse, &task{attempt: req.Attempt, spec: req.Spec}, detail)
	return fmt.Errorf("%w: start of %s: %s", workerapi.ErrRefused, req.Attempt, detail)
}

// loadCheckpoint returns the progress from which an attempt resumes. It refuses
// the start of an attempt whose checkpoint cannot be read.
func (w *Worker) loadCheckpoint(ctx context.Context, req workerapi.StartRequest) (time.Duration, error) {
	if req.Checkpoint == "" {
		return 0, nil
	}
	var checkpoint checkpointObject
	data, err := w.readObject(ctx, req.Checkpoint)
	if err == nil {
		err = json.Unmarshal(data, &checkpoint)
	}
	if err == nil && checkpoint.WorkID != req.Spec.ID() {
		err = fmt.Errorf("it belongs to work %s", checkpoint.WorkID)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: checkpoint %s: %v", workerapi.ErrRefused, req.Checkpoint, err)
	}
	return millis(checkpoint.DoneMS), nil
}

// readObject reads an object. It returns an error if the worker has no object store.
func (w *Worker) readObject(ctx context.Context, name string) ([]byte, error) {
	if w.options.Objects == nil {
		return nil, fmt.Errorf("worker has no object store")
	}
	return w.options.Objects.Get(ctx, name)
}

// stop ends an attempt. It returns the outcome and the ID of the boot to which the
// outcome refers. If another stop is writing a checkpoint of the attempt, it waits
// for the end of that write. If the request asks for a checkpoint and the checkpoint
// cannot be written, the stop is refused and does not end the attempt.
func (w *Worker) stop(ctx context.Context, req workerapi.StopRequest) (workerapi.EndedAttempt, string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for {
		t := w.running[req.Attempt]
		if t == nil {
			return w.handleStopOfInactiveAttempt(req.Attempt), w.bootID, nil
		}
		if t.checkpointWriteDone != nil {
			if err := w.waitForCheckpoint(ctx, t.checkpointWriteDone); err != nil {
				return workerapi.EndedAttempt{}, "", err
			}
			continue
		}
		ended := workerapi.EndedAttempt{State: workerapi.EndStopped, Detail: "stopped on request"}
		if req.Checkpoint {
			if err := w.writeCheckpoint(ctx, t); err != nil {
				return workerapi.EndedAttempt{}, "", err
			}
			ended.Checkpoint = t.checkpoint
		}
		if w.running[req.Attempt] == t {
			w.endTask(t, ended, WorkerEventStop)
		}
	}
}

// handleStopOfInactiveAttempt returns the outcome for a stop of an attempt that does
// not run. If the worker stores the outcome of the attempt, it returns that. Otherwise
// it adds a tombstone, so that the worker refuses a later start of the attempt, and
// returns the outcome that the attempt was stopped. NeverStarted is then set only if
// the worker is sure that it has not started the attempt since its boot.
func (w *Worker) handleStopOfInactiveAttempt(id structs.AttemptID) workerapi.EndedAttempt {
	if ended, ok := w.ended[id]; ok {
		return ended
	}
	w.tombstones.add(id, false)
	return workerapi.EndedAttempt{
		Attempt: id, State: workerapi.EndStopped, Detail: "attempt does not run here",
		NeverStarted: w.tombstones.isProvenNeverStarted(id),
	}
}

// waitForCheckpoint waits until the checkpoint write of another stop request ends.
// It releases the lock while it waits.
func (w *Worker) waitForCheckpoint(ctx context.Context, writeDone chan struct{}) error {
	w.mu.Unlock()
	defer w.mu.Lock()
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", workerapi.ErrOutcomeUnknown, ctx.Err())
	case <-writeDone:
		return nil
	}
}

// writeCheckpoint writes a checkpoint of a task. It releases the lock during the
// write; in that time the task makes no progress.
func (w *Worker) writeCheckpoint(ctx context.Context, t *task) error {
	if w.options.Objects == nil {
		return fmt.Errorf("%w: worker has no object store", workerapi.ErrRefused)
	}
	t.checkpointCount++
	name := fmt.Sprintf("checkpoint/%s/%d", t.attempt, t.checkpointCount)
	data, _ := json.Marshal(checkpointObject{WorkID: t.spec.ID(), DoneMS: t.progress.Milliseconds()})
	t.checkpointWriteDone = make(chan struct{})
	w.mu.Unlock()
	err := w.options.Objects.Put(ctx, name, data)
	w.mu.Lock()
	w.advance()
	close(t.checkpointWriteDone)
	t.checkpointWriteDone = nil
	if err != nil {
		return fmt.Errorf("%w: checkpoint of %s: %v", workerapi.ErrRefused, t.attempt, err)
	}
	t.checkpoint = name
	w.record(WorkerEventCheckpoint, t, name)
	return nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// tombstones holds the tombstones of a worker. A tombstone marks an attempt that must
// not start: the worker refuses its start. It also holds whether the worker may have
// started the attempt since its boot. The number of tombstones is bounded; at the
// limit, the oldest one is dropped.
type tombstones struct {
	limit       int
	oldestFirst []structs.AttemptID
	// mayHaveStarted has an entry for each attempt with a tombstone: whether the
	// attempt may have been started since the boot.
	mayHaveStarted map[structs.AttemptID]bool
	// hasForgotten is set once a tombstone was dropped. From then on, an attempt
	// without a tombstone may be one whose tombstone was dropped, and so may have
	// been started.
	hasForgotten bool
}

// newTombstones returns an empty set for at most limit tombstones.
func newTombstones(limit int) *tombstones {
	return &tombstones{limit: limit, mayHaveStarted: map[structs.AttemptID]bool{}}
}

// has reports whether the attempt has a tombstone.
func (t *tombstones) has(id structs.AttemptID) bool {
	_, ok := t.mayHaveStarted[id]
	return ok
}

// isProvenNeverStarted reports whether the attempt has a tombstone that proves that the
// worker has not started it since its boot. It returns false for an attempt without a
// tombstone, because nothing is recorded about whether it was started.
func (t *tombstones) isProvenNeverStarted(id structs.AttemptID) bool {
	mayHaveStarted, known := t.mayHaveStarted[id]
	return known && !mayHaveStarted
}

// add adds a tombstone for an attempt, unless it has one already. mayHaveStarted says
// whether the caller knows that the attempt was started. If an earlier tombstone was
// dropped, the new one holds that the attempt may have been started in any case.
func (t *tombstones) add(id structs.AttemptID, mayHaveStarted bool) {
	if t.has(id) {
		return
	}
	t.mayHaveStarted[id] = mayHaveStarted || t.hasForgotten
	t.oldestFirst = append(t.oldestFirst, id)
	if len(t.oldestFirst) > t.limit {
		t.hasForgotten = true
		delete(t.mayHaveStarted, t.oldestFirst[0])
		t.oldestFirst = t.oldestFirst[1:]
	}
}
