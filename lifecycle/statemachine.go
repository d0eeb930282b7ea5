package lifecycle

import (
	"slices"

	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// EventKind is the kind of an event: what happened to a work item, or what is
// requested for it.
type EventKind int

// The kinds of events of the item state machine.
const (
	// EventPlace assigns a queued item to a worker as a new attempt.
	EventPlace EventKind = iota
	// EventStarted means that the worker confirmed the start of the attempt.
	EventStarted
	// EventEnded means that the worker reported how the attempt ended.
	EventEnded
	// EventEndedUnreported means that the attempt is proven to have ended, but
	// no worker reported its outcome.
	EventEndedUnreported
	// EventEvict requests a checkpoint followed by a stop.
	EventEvict
	// EventCancel requests that the item is stopped and never runs again.
	EventCancel
	// EventRefuse fails a queued item that can never run.
	EventRefuse
	// EventRestart queues a standing job again once its restart delay has
	// elapsed.
	EventRestart
)

// Event is one input of the item state machine.
type Event struct {
	Kind EventKind
	// Worker, BootID and Epoch describe the placement. Only EventPlace sets
	// them.
	Worker string
	BootID string
	Epoch  uint64
	// Ended is the worker's report. Only EventEnded sets it.
	Ended workerapi.EndedAttempt
	// Checkpoint is the reported checkpoint, if its object is verified to exist
	// in the object store.
	Checkpoint string
	// NeverStarted is set if the attempt is proven not to have started and
	// cannot start later.
	NeverStarted bool
	// Detail explains the event. Most transitions store it in the item.
	Detail string
}

// Effect names the action that the owner takes towards the worker once the new
// state is committed. The core derives this action from the committed state;
// see sendDueCall.
type Effect int

// The effects of transitions.
const (
	EffectNone Effect = iota
	EffectStart
	EffectStop
	EffectCheckpointAndStop
)

// Limits bounds how often an idempotent batch item is tried after failures. The
// item becomes failed for good as soon as it reaches one of the limits. They do
// not apply to a standing job, which is restarted after each failure, nor to a
// batch item that is not idempotent or is being cancelled, which becomes failed
// for good as soon as an attempt fails.
type Limits struct {
	// MaxFailedWorkers is the number of distinct workers on which an item has
	// failed when it becomes failed for good.
	MaxFailedWorkers int
	// MaxFailures is the total number of failures, on any workers, at which an
	// item becomes failed for good. It ends the retries in a shard that has fewer
	// workers than MaxFailedWorkers.
	MaxFailures int
}

// maxFailuresKept is the maximum number of failures that the row of a standing job
// contains. Older failures are dropped.
const maxFailuresKept = 8

// ApplyEvent returns the item as it is after an event, and the effect of the
// transition. It returns false if the item's state does not accept the event.
// ApplyEvent does not change its arguments.
func ApplyEvent(item structs.WorkItem, ev Event, limits Limits) (structs.WorkItem, Effect, bool) {
	switch item.State {
	case structs.StateQueued:
		return applyToQueued(item, ev)
	case structs.StateStarting, structs.StateRunning:
		return applyToActive(item, ev, limits)
	case structs.StateEvicting:
		return applyToEvicting(item, ev, limits)
	case structs.StateCancelling:
		return applyToCancelling(item, ev)
	case structs.StateFinished, structs.StateFailed:
		return applyBetweenRuns(item, ev)
	}
	return item, EffectNone, false
}

func applyToQueued(item structs.WorkItem, ev Event) (structs.WorkItem, Effect, bool) {
	switch ev.Kind {
	case EventPlace:
		item.State = structs.StateStarting
		item.Attempt++
		item.Worker, item.BootID, item.Epoch = ev.Worker, ev.BootID, ev.Epoch
		item.Detail = ""
		return item, EffectStart, true
	case EventCancel:
		return endItem(item, structs.StateCancelled, ev.Detail), EffectNone, true
	case EventRefuse:
		return endItem(item, structs.StateFailed, ev.Detail), EffectNone, true
	}
	return item, EffectNone, false
}

func applyToActive(item structs.WorkItem, ev Event, limits Limits) (structs.WorkItem, Effect, bool) {
	switch ev.Kind {
	case EventStarted:
		if item.State == structs.StateRunning {
			return item, EffectNone, false
		}
		item.State = structs.StateRunning
		return item, EffectNone, true
	case EventEvict:
		if item.State != structs.StateRunning {
			return item, EffectNone, false
		}
		item.State = structs.StateEvicting
		item.Evictions++
		item.Detail = ev.Detail
		return item, EffectCheckpointAndStop, true
	case EventCancel:
		item.State = structs.StateCancelling
		return item, EffectStop, true
	case EventEnded:
		return applyEndReport(item, ev, limits)
	case EventEndedUnreported:
		return requeueOrMarkLost(item, ev), EffectNone, true
	}
	return item, EffectNone, false
}

func applyToEvicting(item structs.WorkItem, ev Event, limits Limits) (structs.WorkItem, Effect, bool) {
	switch ev.Kind {
	case EventCancel:
		item.State = structs.StateCancelling
		return item, EffectStop, true
	case EventEnded:
		if ev.Ended.State == workerapi.EndStopped && ev.Checkpoint != "" {
			item.Checkpoint = ev.Checkpoint
			return requeue(item, item.Detail), EffectNone, true
		}
		return applyEndReport(item, ev, limits)
	case EventEndedUnreported:
		return requeueOrMarkLost(item, ev), EffectNone, true
	}
	return item, EffectNone, false
}

func applyToCancelling(item structs.WorkItem, ev Event) (structs.WorkItem, Effect, bool) {
	switch ev.Kind {
	case EventEndedUnreported:
		return endItem(item, structs.StateCancelled, ev.Detail), EffectNone, true
	case EventEnded:
		switch ev.Ended.State {
		case workerapi.EndFinished:
			item.Result = ev.Ended.Result
			return endItem(item, structs.StateFinished, ev.Ended.Detail), EffectNone, true
		case workerapi.EndFailed:
			return endItem(item, structs.StateFailed, ev.Ended.Detail), EffectNone, true
		}
		return endItem(item, structs.StateCancelled, ev.Detail), EffectNone, true
	}
	return item, EffectNone, false
}

// applyBetweenRuns applies an event to a finished or failed item. Only standing
// jobs leave these states.
func applyBetweenRuns(item structs.WorkItem, ev Event) (structs.WorkItem, Effect, bool) {
	if item.Spec.Kind != structs.KindStanding {
		return item, EffectNone, false
	}
	switch ev.Kind {
	case EventRestart:
		return requeue(item, item.Detail), EffectNone, true
	case EventCancel:
		return endItem(item, structs.StateCancelled, ev.Detail), EffectNone, true
	}
	return item, EffectNone, false
}

// applyEndReport applies an EventEnded to an item that is not being cancelled.
func applyEndReport(item structs.WorkItem, ev Event, limits Limits) (structs.WorkItem, Effect, bool) {
	switch ev.Ended.State {
	case workerapi.EndFinished:
		item.Result = ev.Ended.Result
		return endItem(item, structs.StateFinished, ev.Ended.Detail), EffectNone, true
	case workerapi.EndFailed:
		return requeueOrMarkFailed(item, ev.Ended.Detail, limits), EffectNone, true
	}
	if mayRepeat(item) && ev.Checkpoint != "" {
		item.Checkpoint = ev.Checkpoint
	}
	return requeueOrMarkLost(item, ev), EffectNone, true
}

// requeueOrMarkFailed handles a failed attempt. It queues the item again if the
// item may be repeated and has reached none of the limits. A standing job
// becomes failed each time, and its next EventRestart queues it again.
func requeueOrMarkFailed(item structs.WorkItem, detail string, limits Limits) structs.WorkItem {
	item.FailedOn = append(slices.Clone(item.FailedOn), item.Worker)
	if item.Spec.Kind == structs.KindStanding {
		item.FailedOn = item.FailedOn[max(0, len(item.FailedOn)-maxFailuresKept):]
		return endItem(item, structs.StateFailed, detail)
	}
	exhausted := countDistinct(item.FailedOn) >= limits.MaxFailedWorkers || len(item.FailedOn) >= limits.MaxFailures
	if exhausted || !mayRepeat(item) {
		return endItem(item, structs.StateFailed, detail)
	}
	return requeue(item, detail)
}

// requeueOrMarkLost handles an attempt that was stopped, or that has ended without
// a report of its outcome. It queues the item again if the item may be repeated or
// the attempt never started, and sets the item to lost otherwise.
func requeueOrMarkLost(item structs.WorkItem, ev Event) structs.WorkItem {
	if mayRepeat(item) || ev.NeverStarted {
		return requeue(item, ev.Detail)
	}
	return endItem(item, structs.StateLost, ev.Detail)
}

// requeue returns the item as queued without a worker. It keeps the number of the
// last attempt, so that the next attempt gets a new number.
func requeue(item structs.WorkItem, detail string) structs.WorkItem {
	item.State = structs.StateQueued
	item.Worker, item.BootID = "", ""
	item.Detail = detail
	return item
}

// endItem returns the item in the given state, in which it is neither queued nor
// has an attempt that may be running. The state is finished, failed, cancelled or
// lost. Only a standing job can leave it, if it is finished or failed.
func endItem(item structs.WorkItem, state structs.WorkState, detail string) structs.WorkItem {
	item.State = state
	item.Detail = detail
	return item
}

func countDistinct(names []string) int {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return len(slices.Compact(sorted))
}

// mayRepeat reports whether the item may run again after an attempt that failed,
// was stopped or ended with an unknown outcome. This holds for idempotent work and for standing jobs,
// which are restarted whenever they end.
func mayRepeat(item structs.WorkItem) bool {
	return item.Spec.Idempotent || item.Spec.Kind == structs.KindStanding
}

// isTerminal reports whether no event can change the item's state any more. A
// standing job that finished or failed is not terminal.
func isTerminal(item structs.WorkItem) bool {
	standing := item.Spec.Kind == structs.KindStanding
	if standing && (item.State == structs.StateFinished || item.State == structs.StateFailed) {
		return false
	}
	return item.State.IsTerminal()
}

// hasActiveAttempt reports whether the item has an attempt that may be running.
func hasActiveAttempt(item structs.WorkItem) bool {
	switch item.State {
	case structs.StateStarting, structs.StateRunning, structs.StateEvicting, structs.StateCancelling:
		return true
	}
	return false
}
