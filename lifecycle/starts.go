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
// requires, if the backoff has elapsed and no other call about the record is in
// flight. If the cancel of a running item is requested, it sends a stop before
// the cancel is committed.
func (c *core) sendDueCall(record *itemRecord) {
	if record.callInFlight || c.clock.Now().Before(record.nextCallAt) || !hasActiveAttempt(record.item) {
		return
	}
	w := c.workers[record.item.Worker]
	if w == nil {
		return
	}
	switch {
	case record.endReport != nil:
		c.verifyCheckpoint(record)
	case record.endedUnreported:
	case record.item.State == structs.StateEvicting:
		c.sendStop(record, w, true)
	case record.item.State == structs.StateCancelling, record.startRefusals >= maxStartRefusals:
		c.sendStop(record, w, false)
	case record.cancelRequested && record.item.State == structs.StateRunning:
		// The cancel may not be committed yet, because the table may be down.
		c.sendStop(record, w, false)
	case record.item.State == structs.StateStarting && !record.started && !record.cancelRequested:
		c.sendStart(record, w)
	case record.throttleUnsent:
		c.sendThrottle(record, w)
	}
}

// sendStart sends a start of the current attempt. It may send it repeatedly,
// because the worker recognises the attempt by its ID.
//
// The start may take effect until StartWindow after a reading of the clock that
// sendStart takes before it checks the lease. canCommit checks the lease at a
// later reading of its own, so the lease was still in force at the first one. A
// worker therefore refuses a start that arrives more than StartWindow after the
// end of the lease.
//
// sendStart sends nothing if the owner may not commit, or if the worker's last
// report does not have the boot ID of the placement. It also sends nothing to a
// worker that has left the membership list, because the new task lease would
// outlast the time after which the worker's absence proves that the attempt
// ended.
func (c *core) sendStart(record *itemRecord, w *worker) {
	now := c.clock.Now()
	if !c.canCommit() || !w.listed || w.bootID == "" || w.bootID != record.item.BootID {
		return
	}
	window := c.cfg.StartWindow
	startBeforeMS := w.uptimeMS + (now.Sub(w.reportedAt) + window).Milliseconds()
	w.lastGrantSentAt = now
	record.startBeforeMS, record.startSent = max(record.startBeforeMS, startBeforeMS), true
	req := workerapi.StartRequest{
		Attempt: record.item.AttemptID(), Epoch: c.lease.Epoch, BootID: record.item.BootID,
		StartBeforeMS: startBeforeMS, LeaseMS: c.cfg.TaskLease.Milliseconds(),
		Spec: record.item.Spec, Checkpoint: record.item.Checkpoint,
	}
	c.callForRecord(record, "start", func(ctx context.Context) func() {
		err := c.deps.Workers.Start(ctx, w.member.Address, req)
		return func() { c.handleStartResult(record, req.Attempt, err) }
	})
}

// handleStartResult records whether the worker accepted or refused a start, if
// the attempt is still the current one. After any other error, the start is sent
// again.
func (c *core) handleStartResult(record *itemRecord, attempt structs.AttemptID, err error) {
	switch {
	case attempt != record.item.AttemptID():
	case err == nil:
		record.started = true
	case errors.Is(err, workerapi.ErrRefused):
		record.startRefusals++
	}
}

// sendStop asks the worker to stop the current attempt, after a checkpoint if
// checkpoint is set. It sends nothing if this instance no longer serves the
// shard.
func (c *core) sendStop(record *itemRecord, w *worker, checkpoint bool) {
	if !c.isServing() {
		return
	}
	req := workerapi.StopRequest{Attempt: record.item.AttemptID(), Epoch: c.lease.Epoch, Checkpoint: checkpoint}
	c.callForRecord(record, "stop", func(ctx context.Context) func() {
		resp, err := c.deps.Workers.Stop(ctx, w.member.Address, req)
		return func() { c.handleStopResult(record, req.Attempt, resp, err) }
	})
}

// handleStopResult records the end that the worker reported in answer to a stop,
// if the attempt is still the current one. After an error, the stop is sent
// again.
func (c *core) handleStopResult(record *itemRecord, attempt structs.AttemptID, resp workerapi.StopResponse, err error) {
	if err != nil || attempt != record.item.AttemptID() || resp.Ended.Attempt != attempt {
		return
	}
	c.recordEndReport(record, resp.Ended, resp.BootID)
}

// sendThrottle sends the requested share of the processors to the worker. If
// the call fails for a reason other than a refusal, throttleUnsent is set again,
// so that the share is sent once more.
func (c *core) sendThrottle(record *itemRecord, w *worker) {
	if !c.isServing() {
		return
	}
	record.throttleUnsent = false
	req := workerapi.ThrottleRequest{Attempt: record.item.AttemptID(), Epoch: c.lease.Epoch, Share: record.throttleShare}
	c.callForRecord(record, "throttle", func(ctx context.Context) func() {
		err := c.deps.Workers.Throttle(ctx, w.member.Address, req)
		return func() {
			shouldRetry := err != nil && !errors.Is(err, workerapi.ErrRefused)
			record.throttleUnsent = record.throttleUnsent || shouldRetry && req.Attempt == record.item.AttemptID()
		}
	})
}

// needsCheckpointCheck reports whether the next state depends on the reported
// checkpoint, so that its object has to be verified first.
func needsCheckpointCheck(record *itemRecord) bool {
	if record.endReport.State != workerapi.EndStopped || record.endReport.Checkpoint == "" {
		return false
	}
	return record.item.State == structs.StateEvicting || mayRepeat(record.item) && record.item.State != structs.StateCancelling
}

// verifyCheckpoint requests a check whether the object of a reported checkpoint
// exists, unless the result is known or not needed.
func (c *core) verifyCheckpoint(record *itemRecord) {
	if !needsCheckpointCheck(record) || record.checkpointState != checkpointUnchecked || record.pending != nil {
		return
	}
	name, attempt := record.endReport.Checkpoint, record.item.AttemptID()
	c.callForRecord(record, "checkpoint", func(ctx context.Context) func() {
		_, err := c.deps.Objects.Head(ctx, name)
		return func() { c.handleCheckpointResult(record, attempt, err) }
	})
}

// handleCheckpointResult records whether the object of a checkpoint exists, if
// the attempt is still the current one. If the object store did not answer, the
// checkpoint is verified again.
func (c *core) handleCheckpointResult(record *itemRecord, attempt structs.AttemptID, err error) {
	absent := errors.Is(err, platform.ErrNotFound)
	c.recordStoreResult(err)
	switch {
	case attempt != record.item.AttemptID():
	case err == nil:
		record.checkpointState = checkpointPresent
	case absent:
		record.checkpointState = checkpointAbsent
	}
}

// callForRecord queues a call about a record. Once the call has ended, the
// core's goroutine executes the function that run returned and then advances the
// record, unless the core has stepped down. Until then, the record has no other
// call in flight.
func (c *core) callForRecord(record *itemRecord, name string, run func(ctx context.Context) func()) {
	record.callInFlight = true
	c.queueCallWithSlot(name, func(ctx context.Context) func() {
		handleResult := run(ctx)
		return func() {
			record.callInFlight = false
			if c.stopped {
				return
			}
			record.nextCallAt = c.clock.Now().Add(backoff(c.cfg.RetryMin, c.cfg.RetryMax, record.callRetries))
			record.callRetries++
			handleResult()
			c.advance(record)
		}
	})
}
