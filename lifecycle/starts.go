package lifecycle

import (
	"context"
	"errors"

	"bergamotstile/platform"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// checkpointState is the result of verifying that the object of a reported
// checkpoint exists.
type checkpointState int

const (
	checkpointUnchecked checkpointState = iota
	checkpointPresent
	checkpointAbsent
)

// maxStartRefusals is the number of refused starts after which the owner
// abandons an attempt and stops it. It is above one, because a refusal often
// only means that the start arrived too late.
const maxStartRefusals = 3

// sendDueCall sends the next call that the committed state of a record
// requires, if its backoff is over. At most one call about a record is in
// flight.
func (c *core) sendDueCall(r *itemRecord) {
	if r.callInFlight || c.clock.Now().Before(r.nextCallAt) || !hasActiveAttempt(r.item) {
		return
	}
	w := c.workers[r.item.Worker]
	if w == nil {
		return
	}
	switch {
	case r.endReport != nil:
		c.verifyCheckpoint(r)
	case r.endedUnreported:
	case r.item.State == structs.StateEvicting:
		c.sendStop(r, w, true)
	case r.item.State == structs.StateCancelling, r.startRefusals >= maxStartRefusals:
		c.sendStop(r, w, false)
	case r.cancelRequested && r.item.State == structs.StateRunning:
		// The cancel may not be committed yet, because the table may be down.
		c.sendStop(r, w, false)
	case r.item.State == structs.StateStarting && !r.started && !r.cancelRequested:
		c.sendStart(r, w)
	case r.throttleUnsent:
		c.sendThrottle(r, w)
	}
}

// sendStart sends a start of the current attempt. It may send it repeatedly,
// because the worker recognises the attempt by its ID. The latest time at which
// the start may take effect is derived from a single reading of the clock, at
// which the lease was valid. A worker therefore refuses a start that was
// delayed until after a takeover. A worker that left the membership list gets
// no start, because the new task lease would outlast the time after which the
// worker's absence proves that the attempt ended.
func (c *core) sendStart(r *itemRecord, w *worker) {
	now := c.clock.Now()
	if !c.canCommit() || !w.listed || w.bootID == "" || w.bootID != r.item.BootID {
		return
	}
	window := c.cfg.StartWindow
	startBeforeMS := w.uptimeMS + (now.Sub(w.reportedAt) + window).Milliseconds()
	w.lastGrant = now
	r.startBeforeMS, r.startSent = max(r.startBeforeMS, startBeforeMS), true
	req := workerapi.StartRequest{
		Attempt: r.item.AttemptID(), Epoch: c.lease.Epoch, BootID: r.item.BootID,
		StartBeforeMS: startBeforeMS, LeaseMS: c.cfg.TaskLease.Milliseconds(),
		Spec: r.item.Spec, Checkpoint: r.item.Checkpoint,
	}
	c.callForRecord(r, "start", func(ctx context.Context) func() {
		err := c.deps.Workers.Start(ctx, w.member.Address, req)
		return func() { c.handleStartResult(r, req.Attempt, err) }
	})
}

func (c *core) handleStartResult(r *itemRecord, attempt structs.AttemptID, err error) {
	switch {
	case attempt != r.item.AttemptID():
	case err == nil:
		r.started = true
	case errors.Is(err, workerapi.ErrRefused):
		r.startRefusals++
	}
}

// sendStop asks the worker to stop the current attempt, after a checkpoint if
// one is requested.
func (c *core) sendStop(r *itemRecord, w *worker, checkpoint bool) {
	if !c.isServing() {
		return
	}
	req := workerapi.StopRequest{Attempt: r.item.AttemptID(), Epoch: c.lease.Epoch, Checkpoint: checkpoint}
	c.callForRecord(r, "stop", func(ctx context.Context) func() {
		resp, err := c.deps.Workers.Stop(ctx, w.member.Address, req)
		return func() { c.handleStopResult(r, req.Attempt, resp, err) }
	})
}

func (c *core) handleStopResult(r *itemRecord, attempt structs.AttemptID, resp workerapi.StopResponse, err error) {
	if err != nil || attempt != r.item.AttemptID() || resp.Ended.Attempt != attempt {
		return
	}
	c.recordEndReport(r, resp.Ended, resp.BootID)
}

// sendThrottle sends the requested share of the processors to the worker. The
// share remains to be sent if the call fails for another reason than a refusal.
func (c *core) sendThrottle(r *itemRecord, w *worker) {
	if !c.isServing() {
		return
	}
	r.throttleUnsent = false
	req := workerapi.ThrottleRequest{Attempt: r.item.AttemptID(), Epoch: c.lease.Epoch, Share: r.throttleShare}
	c.callForRecord(r, "throttle", func(ctx context.Context) func() {
		err := c.deps.Workers.Throttle(ctx, w.member.Address, req)
		return func() {
			shouldRetry := err != nil && !errors.Is(err, workerapi.ErrRefused)
			r.throttleUnsent = r.throttleUnsent || shouldRetry && req.Attempt == r.item.AttemptID()
		}
	})
}

// needsCheckpointCheck reports whether the next state depends on the reported
// checkpoint, so that its object has to be verified first.
func needsCheckpointCheck(r *itemRecord) bool {
	if r.endReport.State != workerapi.EndStopped || r.endReport.Checkpoint == "" {
		return false
	}
	return r.item.State == structs.StateEvicting || mayRepeat(r.item) && r.item.State != structs.StateCancelling
}

// verifyCheckpoint checks whether the object of a reported checkpoint exists.
func (c *core) verifyCheckpoint(r *itemRecord) {
	if !needsCheckpointCheck(r) || r.checkpointState != checkpointUnchecked || r.pending != nil {
		return
	}
	name, attempt := r.endReport.Checkpoint, r.item.AttemptID()
	c.callForRecord(r, "checkpoint", func(ctx context.Context) func() {
		_, err := c.deps.Objects.Head(ctx, name)
		return func() { c.handleCheckpointResult(r, attempt, err) }
	})
}

func (c *core) handleCheckpointResult(r *itemRecord, attempt structs.AttemptID, err error) {
	absent := errors.Is(err, platform.ErrNotFound)
	c.recordStoreResult(err)
	switch {
	case attempt != r.item.AttemptID():
	case err == nil:
		r.checkpointState = checkpointPresent
	case absent:
		r.checkpointState = checkpointAbsent
	}
}

// callForRecord sends a call about a record and passes its result to the
// function that run returns. Until then, the record has no other call in
// flight.
func (c *core) callForRecord(r *itemRecord, name string, run func(ctx context.Context) func()) {
	r.callInFlight = true
	c.queueCallWithSlot(name, func(ctx context.Context) func() {
		handleResult := run(ctx)
		return func() {
			r.callInFlight = false
			if c.stopped {
				return
			}
			r.nextCallAt = c.clock.Now().Add(backoff(c.cfg.RetryMin, c.cfg.RetryMax, r.callRetries))
			r.callRetries++
			handleResult()
			c.advance(r)
		}
	})
}
