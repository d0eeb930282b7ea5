// Package quarantine decides which workers receive no work because they fail
// what they start, and which work items can never run.
//
// A failure alone does not show whether the worker or the item is at fault.
// Blame follows the evidence of others: a worker is excluded after distinct
// items failed on it without a success between, and an item is given up after
// it failed on distinct workers that are themselves not excluded.
package quarantine

import (
	"time"

	"bergamotstile/structs"
)

// Settings holds the thresholds.
type Settings struct {
	// WorkerFailures is the number of distinct items that must fail on a
	// worker without a success before it is excluded.
	WorkerFailures int
	// ItemFailures is the number of distinct workers, not excluded, on which
	// an item must fail before it is given up.
	ItemFailures int
	// ProbeAfter is the time until an excluded worker receives one probe. It
	// doubles with each failed probe.
	ProbeAfter time.Duration
	// ProbeAfterMax bounds the doubling. A probe costs one failed start; a
	// repaired worker stays empty until the next one.
	ProbeAfterMax time.Duration
	// ProbePass is how long a probe must run to readmit the worker without
	// waiting for its end.
	ProbePass time.Duration
}

// DefaultSettings returns the starting values.
func DefaultSettings() Settings {
	return Settings{WorkerFailures: 3, ItemFailures: 3, ProbeAfter: 30 * time.Second, ProbeAfterMax: 2 * time.Minute, ProbePass: 30 * time.Second}
}

// State tells whether a worker may receive work.
type State int

// The states of a worker.
const (
	// Usable workers receive any work.
	Usable State = iota
	// Probe workers receive exactly one item, to test them.
	Probe
	// Excluded workers receive nothing.
	Excluded
)

type workerRecord struct {
	failed   map[structs.WorkID]struct{} // since the last success
	excluded bool
	probing  structs.WorkID
	probeAt  time.Time
	wait     time.Duration
}

// Book records failures and successes. It is not safe for concurrent use.
type Book struct {
	settings Settings
	workers  map[string]*workerRecord
	items    map[structs.WorkID]map[string]struct{} // workers the item failed on
}

// New returns an empty book.
func New(settings Settings) *Book {
	return &Book{settings: settings, workers: map[string]*workerRecord{}, items: map[structs.WorkID]map[string]struct{}{}}
}

func (b *Book) worker(name string) *workerRecord {
	w, ok := b.workers[name]
	if !ok {
		w = &workerRecord{failed: map[structs.WorkID]struct{}{}}
		b.workers[name] = w
	}
	return w
}

// Failed records that an item failed on a worker.
func (b *Book) Failed(worker string, item structs.WorkID, now time.Time) {
	if b.items[item] == nil {
		b.items[item] = map[string]struct{}{}
	}
	b.items[item][worker] = struct{}{}
	w := b.worker(worker)
	w.failed[item] = struct{}{}
	if w.excluded {
		b.failedProbe(w, item, now)
		return
	}
	if b.blame(worker, w) >= b.settings.WorkerFailures {
		w.excluded = true
		w.wait = b.settings.ProbeAfter
		w.probeAt = now.Add(w.wait)
	}
}

func (b *Book) failedProbe(w *workerRecord, item structs.WorkID, now time.Time) {
	if w.probing != item {
		return
	}
	w.probing = ""
	w.wait = min(2*w.wait, b.settings.ProbeAfterMax)
	w.probeAt = now.Add(w.wait)
}

// blame counts the items that failed on the worker and that no other usable
// worker failed too. An item that fails everywhere says nothing about a worker.
func (b *Book) blame(name string, w *workerRecord) int {
	count := 0
	for item := range w.failed {
		if b.failuresOnUsable(item, name) < 2 {
			count++
		}
	}
	return count
}

// failuresOnUsable counts the workers other than except, not excluded, on which the
// item failed.
func (b *Book) failuresOnUsable(item structs.WorkID, except string) int {
	count := 0
	for name := range b.items[item] {
		if name != except && !b.worker(name).excluded {
			count++
		}
	}
	return count
}

// Succeeded records that an item finished on a worker.
func (b *Book) Succeeded(worker string, item structs.WorkID) {
	delete(b.items, item)
	delete(b.workers, worker)
}

// Ran records how long an item has run so far. A probe that has run for
// ProbePass readmits its worker.
func (b *Book) Ran(worker string, item structs.WorkID, running time.Duration) {
	w, ok := b.workers[worker]
	if ok && w.excluded && w.probing == item && running >= b.settings.ProbePass {
		delete(b.workers, worker)
	}
}

// Forget drops an item that ended for another reason.
func (b *Book) Forget(item structs.WorkID) {
	delete(b.items, item)
	for _, w := range b.workers {
		if w.probing == item {
			w.probing = ""
		}
	}
}

// State tells whether a worker may receive work now.
func (b *Book) State(worker string, now time.Time) State {
	w, ok := b.workers[worker]
	switch {
	case !ok || !w.excluded:
		return Usable
	case w.probing == "" && !now.Before(w.probeAt):
		return Probe
	default:
		return Excluded
	}
}

// Placed records a placement, so that a probe is sent only once.
func (b *Book) Placed(worker string, item structs.WorkID) {
	if w, ok := b.workers[worker]; ok && w.excluded {
		w.probing = item
	}
}

// FailedOn reports whether the item has failed on the worker.
func (b *Book) FailedOn(item structs.WorkID, worker string) bool {
	_, ok := b.items[item][worker]
	return ok
}

// NeverRuns reports whether an item has failed on enough workers that are not excluded to
// be given up.
func (b *Book) NeverRuns(item structs.WorkID) bool {
	return b.failuresOnUsable(item, "") >= b.settings.ItemFailures
}
