package lifecycle

import (
	"context"
	"errors"

	"bergamotstile/platform"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// checkpointState is what is known of a reported checkpoint's object.
type checkpointState int

const (
	checkpointUnchecked checkpointState = iota
	checkpointPresent
	checkpointAbsent
)

// startRefusalsMax is the number of refused starts after which an attempt is
// given up. A refusal is often only a late arrival.
const startRefusalsMax = 3

// sendCalls sends what the committed state of a record asks for, one call at
// a time.
func (c *core) sendCalls(r *record) {
	if r.calling || c.clock.Now().Before(r.nextCall) || !active(r.item) {
		return
	}
	w := c.workers[r.item.Worker]
	if w == nil {
		return
	}
	switch {
	case r.ended != nil:
		c.checkCheckpoint(r)
	case r.gone:
	case r.item.State == structs.StateEvicting:
		c.stop(r, w, true)
	case r.item.State == structs.StateCancelling, r.refused >= startRefusalsMax:
		c.stop(r, w, false)
	case r.cancel && r.item.State == structs.StateRunning:
		// The table may be down; the record follows when it is back.
		c.stop(r, w, false)
	case r.item.State == structs.StateStarting && !r.started && !r.cancel:
		c.start(r, w)
	case r.throttling:
		c.sendThrottle(r, w)
	}
}

// start sends the start of the present attempt, again if need be: the worker
// knows it by its ID. The latest time at which it may take effect comes from
// one reading of the clock, at which the lease was valid. So a start that was
// delayed past a takeover is refused by the worker. A worker that left the list
// gets no start: its lease would outlast the proof that the attempt ended.
func (c *core) start(r *record, w *worker) {
	now := c.clock.Now()
	if !c.held() || !w.listed || w.bootID == "" || w.bootID != r.item.BootID {
		return
	}
	window := c.cfg.StartWindow
	before := w.uptimeMS + (now.Sub(w.reportAt) + window).Milliseconds()
	w.lastGrant = now
	r.startBefore, r.sent = max(r.startBefore, before), true
	req := workerapi.StartRequest{
		Attempt: r.item.AttemptID(), Epoch: c.lease.Epoch, BootID: r.item.BootID,
		StartBeforeMS: before, LeaseMS: c.cfg.TaskLease.Milliseconds(),
		Spec: r.item.Spec, Checkpoint: r.item.Checkpoint,
	}
	c.callWorker(r, "start", func(ctx context.Context) func() {
		err := c.deps.Workers.Start(ctx, w.member.Address, req)
		return func() { c.onStart(r, req.Attempt, err) }
	})
}

func (c *core) onStart(r *record, attempt structs.AttemptID, err error) {
	switch {
	case attempt != r.item.AttemptID():
	case err == nil:
		r.started = true
	case errors.Is(err, workerapi.ErrRefused):
		r.refused++
	}
}

func (c *core) stop(r *record, w *worker, checkpoint bool) {
	if !c.serving() {
		return
	}
	req := workerapi.StopRequest{Attempt: r.item.AttemptID(), Epoch: c.lease.Epoch, Checkpoint: checkpoint}
	c.callWorker(r, "stop", func(ctx context.Context) func() {
		resp, err := c.deps.Workers.Stop(ctx, w.member.Address, req)
		return func() { c.onStop(r, req.Attempt, resp, err) }
	})
}

func (c *core) onStop(r *record, attempt structs.AttemptID, resp workerapi.StopResponse, err error) {
	if err != nil || attempt != r.item.AttemptID() || resp.Ended.Attempt != attempt {
		return
	}
	c.setEnded(r, resp.Ended, resp.BootID)
}

func (c *core) sendThrottle(r *record, w *worker) {
	if !c.serving() {
		return
	}
	r.throttling = false
	req := workerapi.ThrottleRequest{Attempt: r.item.AttemptID(), Epoch: c.lease.Epoch, Share: r.throttle}
	c.callWorker(r, "throttle", func(ctx context.Context) func() {
		err := c.deps.Workers.Throttle(ctx, w.member.Address, req)
		return func() {
			again := err != nil && !errors.Is(err, workerapi.ErrRefused)
			r.throttling = r.throttling || again && req.Attempt == r.item.AttemptID()
		}
	})
}

// needsCheckpoint reports whether the reported checkpoint decides what
// follows: it is used only if its object can be verified.
func needsCheckpoint(r *record) bool {
	if r.ended.State != workerapi.EndStopped || r.ended.Checkpoint == "" {
		return false
	}
	return r.item.State == structs.StateEvicting || repeatable(r.item) && r.item.State != structs.StateCancelling
}

func (c *core) checkCheckpoint(r *record) {
	if !needsCheckpoint(r) || r.checkpoint != checkpointUnchecked || r.pending != nil {
		return
	}
	name, attempt := r.ended.Checkpoint, r.item.AttemptID()
	c.callWorker(r, "checkpoint", func(ctx context.Context) func() {
		_, err := c.deps.Objects.Head(ctx, name)
		return func() { c.onCheckpoint(r, attempt, err) }
	})
}

func (c *core) onCheckpoint(r *record, attempt structs.AttemptID, err error) {
	absent := errors.Is(err, platform.ErrNotFound)
	c.noteStore(err)
	switch {
	case attempt != r.item.AttemptID():
	case err == nil:
		r.checkpoint = checkpointPresent
	case absent:
		r.checkpoint = checkpointAbsent
	}
}

// callWorker sends one call about a record, and no other until it is done.
func (c *core) callWorker(r *record, name string, run func(ctx context.Context) func()) {
	r.calling = true
	c.doWorker(name, func(ctx context.Context) func() {
		done := run(ctx)
		return func() {
			r.calling = false
			if c.stopped {
				return
			}
			r.nextCall = c.clock.Now().Add(backoff(c.cfg.RetryMin, c.cfg.RetryMax, r.retries))
			r.retries++
			done()
			c.advance(r)
		}
	})
}
