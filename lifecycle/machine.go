package lifecycle

import (
	"slices"

	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// EventKind is what happened to a work item.
type EventKind int

// The events of the item state machine.
const (
	// EventPlace puts a queued item on a worker as a new attempt.
	EventPlace EventKind = iota
	// EventStarted means that the worker confirmed the attempt.
	EventStarted
	// EventEnded means that the worker reported how the attempt ended.
	EventEnded
	// EventGone means that the attempt is proven ended without an outcome.
	EventGone
	// EventEvict asks for a checkpoint and a stop.
	EventEvict
	// EventCancel asks that the item never runs again.
	EventCancel
	// EventRefuse ends a queued item that can never run.
	EventRefuse
	// EventRestart queues a standing job again after its backoff.
	EventRestart
)

// Event is one input of the item state machine.
type Event struct {
	Kind EventKind
	// Worker, BootID and Epoch describe the placement of EventPlace.
	Worker string
	BootID string
	Epoch  uint64
	// Ended is the worker's report of EventEnded.
	Ended workerapi.EndedAttempt
	// Checkpoint is the reported checkpoint if its object was verified.
	Checkpoint string
	// NeverStarted means that the worker proved that the attempt did not
	// start and never will.
	NeverStarted bool
	Detail       string
}

// Effect is what the owner does once the new state is committed.
type Effect int

// The effects of transitions.
const (
	EffectNone Effect = iota
	EffectStart
	EffectStop
	EffectCheckpointAndStop
)

// Limits bound how often an item is tried.
type Limits struct {
	// MaxFailedWorkers is the number of distinct workers on which an item
	// may fail before it ends as failed.
	MaxFailedWorkers int
	// MaxFailures bounds the failures of an item in all, so that an item
	// fails for good in a shard that has few workers.
	MaxFailures int
}

// maxFailuresKept bounds the failures that a standing job's row lists.
const maxFailuresKept = 8

// Step returns the item after an event, and false if the event has no meaning
// in the item's state. It changes nothing else.
func Step(item structs.WorkItem, ev Event, limits Limits) (structs.WorkItem, Effect, bool) {
	switch item.State {
	case structs.StateQueued:
		return stepQueued(item, ev)
	case structs.StateStarting, structs.StateRunning:
		return stepActive(item, ev, limits)
	case structs.StateEvicting:
		return stepEvicting(item, ev, limits)
	case structs.StateCancelling:
		return stepCancelling(item, ev)
	case structs.StateFinished, structs.StateFailed:
		return stepBetweenRuns(item, ev)
	}
	return item, EffectNone, false
}

func stepQueued(item structs.WorkItem, ev Event) (structs.WorkItem, Effect, bool) {
	switch ev.Kind {
	case EventPlace:
		item.State = structs.StateStarting
		item.Attempt++
		item.Worker, item.BootID, item.Epoch = ev.Worker, ev.BootID, ev.Epoch
		item.Detail = ""
		return item, EffectStart, true
	case EventCancel:
		return end(item, structs.StateCancelled, ev.Detail), EffectNone, true
	case EventRefuse:
		return end(item, structs.StateFailed, ev.Detail), EffectNone, true
	}
	return item, EffectNone, false
}

func stepActive(item structs.WorkItem, ev Event, limits Limits) (structs.WorkItem, Effect, bool) {
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
		return stepEnded(item, ev, limits)
	case EventGone:
		return requeueOrLose(item, ev), EffectNone, true
	}
	return item, EffectNone, false
}

func stepEvicting(item structs.WorkItem, ev Event, limits Limits) (structs.WorkItem, Effect, bool) {
	switch ev.Kind {
	case EventCancel:
		item.State = structs.StateCancelling
		return item, EffectStop, true
	case EventEnded:
		if ev.Ended.State == workerapi.EndStopped && ev.Checkpoint != "" {
			item.Checkpoint = ev.Checkpoint
			return requeue(item, item.Detail), EffectNone, true
		}
		return stepEnded(item, ev, limits)
	case EventGone:
		return requeueOrLose(item, ev), EffectNone, true
	}
	return item, EffectNone, false
}

func stepCancelling(item structs.WorkItem, ev Event) (structs.WorkItem, Effect, bool) {
	switch ev.Kind {
	case EventGone:
		return end(item, structs.StateCancelled, ev.Detail), EffectNone, true
	case EventEnded:
		switch ev.Ended.State {
		case workerapi.EndFinished:
			item.Result = ev.Ended.Result
			return end(item, structs.StateFinished, ev.Ended.Detail), EffectNone, true
		case workerapi.EndFailed:
			return end(item, structs.StateFailed, ev.Ended.Detail), EffectNone, true
		}
		return end(item, structs.StateCancelled, ev.Detail), EffectNone, true
	}
	return item, EffectNone, false
}

// stepBetweenRuns handles the states in which only a standing job goes on.
func stepBetweenRuns(item structs.WorkItem, ev Event) (structs.WorkItem, Effect, bool) {
	if item.Spec.Kind != structs.KindStanding {
		return item, EffectNone, false
	}
	switch ev.Kind {
	case EventRestart:
		return requeue(item, item.Detail), EffectNone, true
	case EventCancel:
		return end(item, structs.StateCancelled, ev.Detail), EffectNone, true
	}
	return item, EffectNone, false
}

// stepEnded handles a reported end outside a cancellation.
func stepEnded(item structs.WorkItem, ev Event, limits Limits) (structs.WorkItem, Effect, bool) {
	switch ev.Ended.State {
	case workerapi.EndFinished:
		item.Result = ev.Ended.Result
		return end(item, structs.StateFinished, ev.Ended.Detail), EffectNone, true
	case workerapi.EndFailed:
		return afterFailure(item, ev.Ended.Detail, limits), EffectNone, true
	}
	if repeatable(item) && ev.Checkpoint != "" {
		item.Checkpoint = ev.Checkpoint
	}
	return requeueOrLose(item, ev), EffectNone, true
}

// afterFailure queues idempotent work again until it failed on enough workers.
// Standing jobs end as failed each time; their backoff queues them again.
func afterFailure(item structs.WorkItem, detail string, limits Limits) structs.WorkItem {
	item.FailedOn = append(slices.Clone(item.FailedOn), item.Worker)
	if item.Spec.Kind == structs.KindStanding {
		item.FailedOn = item.FailedOn[max(0, len(item.FailedOn)-maxFailuresKept):]
		return end(item, structs.StateFailed, detail)
	}
	exhausted := distinct(item.FailedOn) >= limits.MaxFailedWorkers || len(item.FailedOn) >= limits.MaxFailures
	if exhausted || !repeatable(item) {
		return end(item, structs.StateFailed, detail)
	}
	return requeue(item, detail)
}

// requeueOrLose decides about an attempt that ended without an outcome.
func requeueOrLose(item structs.WorkItem, ev Event) structs.WorkItem {
	if repeatable(item) || ev.NeverStarted {
		return requeue(item, ev.Detail)
	}
	return end(item, structs.StateLost, ev.Detail)
}

func requeue(item structs.WorkItem, detail string) structs.WorkItem {
	item.State = structs.StateQueued
	item.Worker, item.BootID = "", ""
	item.Detail = detail
	return item
}

func end(item structs.WorkItem, state structs.WorkState, detail string) structs.WorkItem {
	item.State = state
	item.Detail = detail
	return item
}

func distinct(names []string) int {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return len(slices.Compact(sorted))
}

// repeatable reports whether the item may run again after an attempt of which
// the outcome is not known. A standing job is restarted whenever it ends.
func repeatable(item structs.WorkItem) bool {
	return item.Spec.Idempotent || item.Spec.Kind == structs.KindStanding
}

// over reports whether nothing leaves the item's state any more.
func over(item structs.WorkItem) bool {
	standing := item.Spec.Kind == structs.KindStanding
	if standing && (item.State == structs.StateFinished || item.State == structs.StateFailed) {
		return false
	}
	return item.State.Terminal()
}

// active reports whether the item has an attempt that may run.
func active(item structs.WorkItem) bool {
	switch item.State {
	case structs.StateStarting, structs.StateRunning, structs.StateEvicting, structs.StateCancelling:
		return true
	}
	return false
}
