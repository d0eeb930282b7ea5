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

// usageSample is what a task used from a time on.
type usageSample struct {
	from time.Time
	used structs.Resources
}

// task is an attempt that runs.
type task struct {
	attempt    structs.AttemptID
	spec       structs.WorkSpec
	payload    Payload
	lease      time.Time
	total      time.Duration // run time; zero runs without end
	done       time.Duration
	throttle   float64
	checkpoint string
	saved      int
	saving     chan struct{} // open while a checkpoint is written
	usage      []usageSample
}

// checkpointObject is the progress kept in the object store.
type checkpointObject struct {
	WorkID structs.WorkID `json:"work_id"`
	DoneMS int64          `json:"done_ms"`
}

func newTask(req workerapi.StartRequest, lease time.Time) *task {
	t := &task{
		attempt: req.Attempt, spec: req.Spec, lease: lease, throttle: 1, checkpoint: req.Checkpoint,
	}
	// A payload in another format runs for the expected time.
	_ = json.Unmarshal(req.Spec.Payload, &t.payload)
	t.total = millis(t.payload.RunMS)
	if t.total == 0 && req.Spec.Kind != structs.KindStanding {
		t.total = max(millis(req.Spec.ExpectedRunMS), time.Millisecond)
	}
	return t
}

// wants is the use without throttling or contention.
func (t *task) wants() structs.Resources {
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

// sample notes the present use.
func (t *task) sample(now time.Time) {
	used := t.wants()
	if n := len(t.usage); n > 0 && t.usage[n-1].used == used {
		return
	}
	t.usage = append(t.usage, usageSample{from: now, used: used})
	if len(t.usage) > maxUsageSamples {
		t.usage = t.usage[1:]
	}
}

// usedAt is the use that was measured at a time; before the start it is zero.
func (t *task) usedAt(at time.Time) structs.Resources {
	var used structs.Resources
	for _, s := range t.usage {
		if !s.from.After(at) {
			used = s.used
		}
	}
	return used
}

// advance moves the simulation to the present: progress, ends and lapsed
// leases. Tasks slow down together when they want more processors than there
// are.
func (w *Worker) advance() {
	now := w.clock.Now()
	elapsed := now.Sub(w.advanced)
	speed := w.speed()
	for _, id := range sortedKeys(w.running) {
		t := w.running[id]
		if t.saving == nil {
			t.done += time.Duration(float64(elapsed) * t.throttle * speed)
		}
		t.sample(now)
		w.endIfDue(t, now)
	}
	w.advanced = now
}

func (w *Worker) speed() float64 {
	var wanted int64
	for _, t := range w.running {
		wanted += t.wants().CPUMilli
	}
	if wanted <= w.options.Capacity.CPUMilli || wanted == 0 {
		return 1
	}
	return float64(w.options.Capacity.CPUMilli) / float64(wanted)
}

func (w *Worker) endIfDue(t *task, now time.Time) {
	due := t.total > 0 && t.done >= t.total && t.saving == nil
	switch {
	case !now.Before(t.lease):
		w.end(t, workerapi.EndedAttempt{State: workerapi.EndStopped, Detail: "task lease lapsed"}, EventLapse)
	case w.faults.FailAll && now.After(w.advanced):
		w.end(t, workerapi.EndedAttempt{State: workerapi.EndFailed, Detail: "worker fails everything"}, EventFail)
	case due && t.payload.Fail:
		w.end(t, workerapi.EndedAttempt{State: workerapi.EndFailed, Detail: "failed as its payload asks"}, EventFail)
	case due:
		w.end(t, workerapi.EndedAttempt{State: workerapi.EndFinished, Result: "result of " + string(t.spec.ID())}, EventFinish)
	}
}

func (w *Worker) end(t *task, e workerapi.EndedAttempt, kind EventKind) {
	delete(w.running, t.attempt)
	e.Attempt = t.attempt
	w.ended[t.attempt] = e
	w.record(kind, t, e.Detail)
}

// start checks a start, reads its checkpoint and runs it.
func (w *Worker) start(ctx context.Context, req workerapi.StartRequest) error {
	if known, err := w.checkStart(req); known || err != nil {
		return err
	}
	done, err := w.loadCheckpoint(ctx, req)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if known, err := w.checkStartLocked(req); known || err != nil {
		return err
	}
	t := newTask(req, w.clock.Now().Add(millis(req.LeaseMS)))
	t.done = done
	t.sample(w.clock.Now())
	w.running[t.attempt] = t
	w.record(EventStart, t, req.Checkpoint)
	return nil
}

func (w *Worker) checkStart(req workerapi.StartRequest) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checkStartLocked(req)
}

// checkStartLocked reports whether the attempt is known already, or why it
// must not start.
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

func (w *Worker) refuseStart(req workerapi.StartRequest, detail string) error {
	w.record(EventRefuse, &task{attempt: req.Attempt, spec: req.Spec}, detail)
	return fmt.Errorf("%w: start of %s: %s", workerapi.ErrRefused, req.Attempt, detail)
}

// loadCheckpoint returns the progress from which an attempt resumes. An
// attempt whose checkpoint cannot be read does not start.
func (w *Worker) loadCheckpoint(ctx context.Context, req workerapi.StartRequest) (time.Duration, error) {
	if req.Checkpoint == "" {
		return 0, nil
	}
	var c checkpointObject
	data, err := w.readObject(ctx, req.Checkpoint)
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err == nil && c.WorkID != req.Spec.ID() {
		err = fmt.Errorf("it belongs to work %s", c.WorkID)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: checkpoint %s: %v", workerapi.ErrRefused, req.Checkpoint, err)
	}
	return millis(c.DoneMS), nil
}

func (w *Worker) readObject(ctx context.Context, name string) ([]byte, error) {
	if w.options.Objects == nil {
		return nil, fmt.Errorf("worker has no object store")
	}
	return w.options.Objects.Get(ctx, name)
}

// stop ends an attempt and returns the boot ID that its account speaks of.
// With a checkpoint that cannot be written, the attempt goes on and the stop
// is refused.
func (w *Worker) stop(ctx context.Context, req workerapi.StopRequest) (workerapi.EndedAttempt, string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for {
		t := w.running[req.Attempt]
		if t == nil {
			return w.stopEnded(req.Attempt), w.bootID, nil
		}
		if t.saving != nil {
			if err := w.waitSaving(ctx, t.saving); err != nil {
				return workerapi.EndedAttempt{}, "", err
			}
			continue
		}
		e := workerapi.EndedAttempt{State: workerapi.EndStopped, Detail: "stopped on request"}
		if req.Checkpoint {
			if err := w.save(ctx, t); err != nil {
				return workerapi.EndedAttempt{}, "", err
			}
			e.Checkpoint = t.checkpoint
		}
		if w.running[req.Attempt] == t {
			w.end(t, e, EventStop)
		}
	}
}

// stopEnded answers a stop of an attempt that does not run. An unknown one
// leaves a tombstone.
func (w *Worker) stopEnded(id structs.AttemptID) workerapi.EndedAttempt {
	if e, ok := w.ended[id]; ok {
		return e
	}
	w.tombstones.add(id, false)
	return workerapi.EndedAttempt{
		Attempt: id, State: workerapi.EndStopped, Detail: "attempt does not run here",
		NeverStarted: w.tombstones.neverStarted(id),
	}
}

// waitSaving waits without the lock for another stop's checkpoint.
func (w *Worker) waitSaving(ctx context.Context, saving chan struct{}) error {
	w.mu.Unlock()
	defer w.mu.Lock()
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", workerapi.ErrOutcomeUnknown, ctx.Err())
	case <-saving:
		return nil
	}
}

// save writes a checkpoint without the lock, while the task stands still.
func (w *Worker) save(ctx context.Context, t *task) error {
	if w.options.Objects == nil {
		return fmt.Errorf("%w: worker has no object store", workerapi.ErrRefused)
	}
	t.saved++
	name := fmt.Sprintf("checkpoint/%s/%d", t.attempt, t.saved)
	data, _ := json.Marshal(checkpointObject{WorkID: t.spec.ID(), DoneMS: t.done.Milliseconds()})
	t.saving = make(chan struct{})
	w.mu.Unlock()
	err := w.options.Objects.Put(ctx, name, data)
	w.mu.Lock()
	w.advance()
	close(t.saving)
	t.saving = nil
	if err != nil {
		return fmt.Errorf("%w: checkpoint of %s: %v", workerapi.ErrRefused, t.attempt, err)
	}
	t.checkpoint = name
	w.record(EventCheckpoint, t, name)
	return nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// tombstones remembers a bounded number of attempts and whether each was
// started since the boot, the oldest first out.
type tombstones struct {
	limit   int
	order   []structs.AttemptID
	started map[structs.AttemptID]bool
	// forgot is set once an attempt was dropped; from then on an unknown
	// attempt may have been started.
	forgot bool
}

func newTombstones(limit int) *tombstones {
	return &tombstones{limit: limit, started: map[structs.AttemptID]bool{}}
}

func (t *tombstones) has(id structs.AttemptID) bool {
	_, ok := t.started[id]
	return ok
}

func (t *tombstones) neverStarted(id structs.AttemptID) bool {
	started, known := t.started[id]
	return known && !started
}

func (t *tombstones) add(id structs.AttemptID, started bool) {
	if t.has(id) {
		return
	}
	t.started[id] = started || t.forgot
	t.order = append(t.order, id)
	if len(t.order) > t.limit {
		t.forgot = true
		delete(t.started, t.order[0])
		t.order = t.order[1:]
	}
}
