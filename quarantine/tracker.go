// Package quarantine decides which workers receive no work because the items
// that they start fail, and which work items can never run.
//
// A single failure does not show whether the worker or the item is at fault, so
// the evidence of other items and workers decides. A worker is excluded after
// distinct items have failed on it without a success in between. An item counts
// as one that can never run after it has failed on distinct workers that are
// not excluded themselves.
package quarantine

import (
	"time"

	"bergamotstile/structs"
)

// Settings holds the thresholds.
type Settings struct {
	// WorkerFailures is the number of distinct items that must fail on a
	// worker, without a success in between, before it is excluded. Items that
	// have also failed on two other usable workers do not count.
	WorkerFailures int
	// ItemFailures is the number of distinct workers that are not excluded and
	// on which an item must fail before it counts as one that can never run.
	ItemFailures int
	// ProbeAfter is the time after which an excluded worker receives one item
	// as a probe. It doubles with each failed probe.
	ProbeAfter time.Duration
	// ProbeAfterMax bounds the doubling. A failed probe costs one failed start,
	// but a long delay leaves a repaired worker empty until the next probe.
	ProbeAfterMax time.Duration
	// ProbePassTime is how long a probe must run before its worker is
	// readmitted without waiting for the probe to end.
	ProbePassTime time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{WorkerFailures: 3, ItemFailures: 3, ProbeAfter: 30 * time.Second, ProbeAfterMax: 2 * time.Minute, ProbePassTime: 30 * time.Second}
}

// State is the verdict on whether a worker may receive work.
type State int

// The states of a worker.
const (
	// Usable workers receive any work.
	Usable State = iota
	// ProbeDue workers receive exactly one item, as a probe.
	ProbeDue
	// Excluded workers receive nothing.
	Excluded
)

// workerRecord holds the failures on one worker and the state of its probes.
type workerRecord struct {
	failedItems map[structs.WorkID]struct{} // since the last success on the worker
	excluded    bool
	probeItem   structs.WorkID
	nextProbeAt time.Time
	probeDelay  time.Duration
}

// Tracker records failures and successes and derives the state of workers and
// items from them. It is not safe for concurrent use.
type Tracker struct {
	settings Settings
	workers  map[string]*workerRecord
	failedOn map[structs.WorkID]map[string]struct{} // by item: the workers on which it failed
}

// New returns a tracker without records.
func New(settings Settings) *Tracker {
	return &Tracker{settings: settings, workers: map[string]*workerRecord{}, failedOn: map[structs.WorkID]map[string]struct{}{}}
}

// record returns the record of a worker and creates it if there is none.
func (t *Tracker) record(name string) *workerRecord {
	w, ok := t.workers[name]
	if !ok {
		w = &workerRecord{failedItems: map[structs.WorkID]struct{}{}}
		t.workers[name] = w
	}
	return w
}

// RecordFailure records that an item failed on a worker. It excludes the worker
// if enough items have failed there.
func (t *Tracker) RecordFailure(worker string, item structs.WorkID, now time.Time) {
	if t.failedOn[item] == nil {
		t.failedOn[item] = map[string]struct{}{}
	}
	t.failedOn[item][worker] = struct{}{}
	w := t.record(worker)
	w.failedItems[item] = struct{}{}
	if w.excluded {
		t.recordProbeFailure(w, item, now)
		return
	}
	if t.countAttributableFailures(worker, w) >= t.settings.WorkerFailures {
		w.excluded = true
		w.probeDelay = t.settings.ProbeAfter
		w.nextProbeAt = now.Add(w.probeDelay)
	}
}

// recordProbeFailure doubles the delay until the next probe, if the failed item
// was the probe.
func (t *Tracker) recordProbeFailure(w *workerRecord, item structs.WorkID, now time.Time) {
	if w.probeItem != item {
		return
	}
	w.probeItem = ""
	w.probeDelay = min(2*w.probeDelay, t.settings.ProbeAfterMax)
	w.nextProbeAt = now.Add(w.probeDelay)
}

// countAttributableFailures counts the items that failed on the worker and on
// fewer than two other usable workers. An item that fails on every worker says
// nothing about a single one.
func (t *Tracker) countAttributableFailures(name string, w *workerRecord) int {
	count := 0
	for item := range w.failedItems {
		if t.countFailuresOnUsable(item, name) < 2 {
			count++
		}
	}
	return count
}

// countFailuresOnUsable counts the workers that are not excluded, other than
// the worker except, on which the item failed.
func (t *Tracker) countFailuresOnUsable(item structs.WorkID, except string) int {
	count := 0
	for name := range t.failedOn[item] {
		if name != except && !t.record(name).excluded {
			count++
		}
	}
	return count
}

// RecordSuccess records that an item finished on a worker. It deletes the
// failures of both, so an excluded worker is readmitted.
func (t *Tracker) RecordSuccess(worker string, item structs.WorkID) {
	delete(t.failedOn, item)
	delete(t.workers, worker)
}

// RecordRunTime records how long an item has run so far. It readmits an
// excluded worker whose probe has run for ProbePassTime.
func (t *Tracker) RecordRunTime(worker string, item structs.WorkID, running time.Duration) {
	w, ok := t.workers[worker]
	if ok && w.excluded && w.probeItem == item && running >= t.settings.ProbePassTime {
		delete(t.workers, worker)
	}
}

// Forget deletes the record of the workers on which an item failed. It is
// called when the item is refused, or when it ends without a success or a
// failure. If the item was a probe, its worker may receive another one.
func (t *Tracker) Forget(item structs.WorkID) {
	delete(t.failedOn, item)
	for _, w := range t.workers {
		if w.probeItem == item {
			w.probeItem = ""
		}
	}
}

// State returns whether a worker may receive work now.
func (t *Tracker) State(worker string, now time.Time) State {
	w, ok := t.workers[worker]
	switch {
	case !ok || !w.excluded:
		return Usable
	case w.probeItem == "" && !now.Before(w.nextProbeAt):
		return ProbeDue
	default:
		return Excluded
	}
}

// RecordPlacement records that an item was placed on a worker. If the worker is
// excluded, the item becomes its probe, so that no second one is sent.
func (t *Tracker) RecordPlacement(worker string, item structs.WorkID) {
	if w, ok := t.workers[worker]; ok && w.excluded {
		w.probeItem = item
	}
}

// HasFailedOn reports whether the item has failed on the worker.
func (t *Tracker) HasFailedOn(item structs.WorkID, worker string) bool {
	_, ok := t.failedOn[item][worker]
	return ok
}

// NeverRuns reports whether an item has failed on so many workers that are not
// excluded that it should be refused.
func (t *Tracker) NeverRuns(item structs.WorkID) bool {
	return t.countFailuresOnUsable(item, "") >= t.settings.ItemFailures
}
