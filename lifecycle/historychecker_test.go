package lifecycle

import (
	"encoding/json"
	"slices"
	"strings"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// historyChecker records what the workers did and which statuses callers
// received, and checks the properties against these records. It never relies on
// the state of a core. The messages name the properties:
//
// P1: no worker runs more than its capacity.
//
// P2: a work item runs in one place at a time.
//
// P3: an attempt starts at most once, and resumes only from a stored checkpoint
// of its own item.
//
// P5: an item does not run after a caller received the outcome not_run for it,
// and no attempt is recorded after the item's cancel.
//
// P6: finished batch work is not started again, and non-idempotent batch work
// is started again only from the checkpoint of its last attempt.
type historyChecker struct {
	sim    *simulation
	events []attemptEvent
	// running holds, for each item that runs now, the start event of its
	// attempt.
	running         map[structs.WorkID]attemptEvent
	startedAttempts map[structs.AttemptID]bool
	lastEvents      map[structs.AttemptID]attemptEvent
	starts          map[structs.WorkID][]attemptEvent
	reportedNotRun  map[structs.WorkID]bool // a caller received the outcome not_run
	cancelRequested map[structs.WorkID]bool
	// lostReports holds the ended attempts whose reports may never reach an
	// owner, because their worker was restarted or was off the list for long
	// enough.
	lostReports map[structs.AttemptID]bool
}

func newHistoryChecker(sim *simulation) *historyChecker {
	return &historyChecker{
		sim: sim, running: map[structs.WorkID]attemptEvent{}, startedAttempts: map[structs.AttemptID]bool{},
		lastEvents: map[structs.AttemptID]attemptEvent{}, starts: map[structs.WorkID][]attemptEvent{},
		reportedNotRun: map[structs.WorkID]bool{}, cancelRequested: map[structs.WorkID]bool{},
		lostReports: map[structs.AttemptID]bool{},
	}
}

// recordEvent records an event of an attempt. It checks P2, P3, P5 and P6 at each
// start, and P1 after each start and end. The workers call it for every start and
// end of an attempt, and for every ended attempt that they forget in a restart.
func (hc *historyChecker) recordEvent(e attemptEvent) {
	id, _, ok := parseAttemptID(e.attempt)
	if !ok {
		hc.sim.t.Fatalf("attempt %q does not name its item", e.attempt)
	}
	if e.kind == "forgotten" {
		hc.lostReports[e.attempt] = true
		return
	}
	if e.kind == "start" {
		hc.checkStart(id, e)
		hc.running[id] = e
		hc.startedAttempts[e.attempt] = true
		hc.starts[id] = append(hc.starts[id], e)
	} else if hc.running[id].attempt == e.attempt {
		delete(hc.running, id)
	}
	hc.events = append(hc.events, e)
	hc.lastEvents[e.attempt] = e
	hc.checkCapacity()
}

// checkStart checks properties P2, P3, P5 and P6 at the start of an attempt.
func (hc *historyChecker) checkStart(id structs.WorkID, e attemptEvent) {
	t := hc.sim.t
	hc.markUnlistedReportsLost()
	for name, worker := range hc.sim.workerClient.sortedWorkers() {
		if name != e.worker { // e.worker expired its leases before this event
			worker.expireLeases()
		}
	}
	if other, runs := hc.running[id]; runs {
		t.Fatalf("P2: %s starts on %s while %s runs on %s", e.attempt, e.worker, other.attempt, other.worker)
	}
	if hc.startedAttempts[e.attempt] {
		t.Fatalf("P3: %s starts twice", e.attempt)
	}
	if hc.sim.objects.lostWrites[e.checkpoint] {
		t.Fatalf("P3: %s starts from %q, which was never stored", e.attempt, e.checkpoint)
	}
	if hc.reportedNotRun[id] {
		t.Fatalf("P5: %s starts although its caller received not_run", e.attempt)
	}
	if len(hc.starts[id]) == 0 {
		return
	}
	previousEvent := hc.lastEvents[hc.starts[id][len(hc.starts[id])-1].attempt]
	if previousEvent.kind == "finished" && !hc.lostReports[previousEvent.attempt] && hc.sim.specs[id].Kind == structs.KindBatch {
		t.Fatalf("P6: %s starts after %s finished", e.attempt, previousEvent.attempt)
	}
	spec := hc.sim.specs[id]
	if !spec.Idempotent && spec.Kind == structs.KindBatch && (previousEvent.checkpoint == "" || e.checkpoint != previousEvent.checkpoint) {
		t.Fatalf("P6: non-idempotent %s starts from %q after %s (%s, checkpoint %q)",
			e.attempt, e.checkpoint, previousEvent.attempt, previousEvent.kind, previousEvent.checkpoint)
	}
	count("starts again")
	if e.checkpoint != "" {
		count("resumed")
	}
	if e.checkpoint != "" && !hc.wroteCheckpoint(id, e.checkpoint) {
		t.Fatalf("P3: %s resumes from %q, which no attempt of it wrote", e.attempt, e.checkpoint)
	}
}

// markUnlistedReportsLost marks the reports of workers that have been off the
// list for so long that an owner may take their absence as proof that their
// attempts ended.
func (hc *historyChecker) markUnlistedReportsLost() {
	for name, worker := range hc.sim.workerClient.sortedWorkers() {
		if hc.sim.WorkerUnlistedFor(name) < defaultTaskLease+defaultStartWindow+defaultLeaseMargin {
			continue
		}
		for attempt := range worker.ended {
			hc.lostReports[attempt] = true
		}
	}
}

// wroteCheckpoint reports whether an attempt of the item wrote the checkpoint.
func (hc *historyChecker) wroteCheckpoint(id structs.WorkID, checkpoint string) bool {
	return slices.ContainsFunc(hc.starts[id], func(s attemptEvent) bool { return hc.lastEvents[s.attempt].checkpoint == checkpoint })
}

// checkCapacity checks property P1 for each of the three resources: processors,
// memory and accelerators.
func (hc *historyChecker) checkCapacity() {
	for name, worker := range hc.sim.workerClient.sortedWorkers() {
		var used structs.Resources
		for _, task := range worker.running {
			used = used.Add(task.spec.Size)
		}
		if !used.Fits(worker.capacity) {
			hc.sim.t.Fatalf("P1: %s runs %+v of %+v", name, used, worker.capacity)
		}
	}
}

// checkStatus checks property P5 for a status that a caller receives: if the
// outcome of an item that is not queued is not_run, no attempt of the item has
// started. checkStatus remembers such items for checkStart.
func (hc *historyChecker) checkStatus(status structs.WorkStatus) {
	if status.Outcome != structs.OutcomeNotRun || status.State == structs.StateQueued {
		return
	}
	hc.reportedNotRun[status.ID] = true
	if len(hc.starts[status.ID]) > 0 {
		hc.sim.t.Fatalf("P5: the caller of %s receives not_run after %s", status.ID, hc.starts[status.ID][0].attempt)
	}
}

// checkFinalItem checks that the state in the final row of an item is terminal
// and agrees with the events: a finished or failed item has this as the last
// event of its last attempt, a cancelled item was to be cancelled, and a lost
// item must not be repeated and did not end by itself, unless the report of its
// end may have been lost. It also checks P5 for the item's status.
func (hc *historyChecker) checkFinalItem(item structs.WorkItem) {
	t := hc.sim.t
	var last attemptEvent
	if starts := hc.starts[item.ID]; len(starts) > 0 {
		last = hc.lastEvents[starts[len(starts)-1].attempt]
	}
	switch item.State {
	case structs.StateFinished:
		if last.kind != "finished" {
			t.Fatalf("%s is recorded as finished, but the last event of its last attempt is %s", item.ID, last.kind)
		}
	case structs.StateFailed:
		if last.kind != "failed" {
			t.Fatalf("%s is recorded as failed, but the last event of its last attempt is %s", item.ID, last.kind)
		}
	case structs.StateCancelled:
		if !hc.cancelRequested[item.ID] {
			t.Fatalf("%s is cancelled, but no cancel was requested", item.ID)
		}
	case structs.StateLost:
		endedByItself := last.kind == "finished" || last.kind == "failed"
		if mayRepeat(item) || endedByItself && !hc.lostReports[last.attempt] {
			t.Fatalf("%s is lost (%s), idempotent %v, last event %s", item.ID, item.Detail, item.Spec.Idempotent, last.kind)
		}
	default:
		t.Fatalf("%s is %s at the end, which is not terminal (%s), last event %s", item.ID, item.State, item.Detail, last.kind)
	}
	count(string(item.State))
	hc.checkStatus(item.Status())
}

// checkCommitHistory checks, in the order in which the transactions took
// effect, that only the owner of the current epoch writes an item after its
// creation, and that no attempt is recorded while a cancel row exists.
func (hc *historyChecker) checkCommitHistory() {
	owner, epoch := "", uint64(0)
	attempts := map[string]int{}
	cancelled := map[string]bool{}
	for _, c := range hc.sim.table.commits {
		for _, put := range c.tx.Puts {
			switch {
			case strings.HasPrefix(put.Key, "epoch/"):
				count("takeovers")
				owner, epoch = hc.checkTakeover(put, epoch)
			case strings.HasPrefix(put.Key, "cancel/"):
				cancelled[strings.TrimPrefix(put.Key, "cancel/")] = true
			case strings.HasPrefix(put.Key, "work/"):
				key := strings.TrimPrefix(put.Key, "work/")
				hc.checkItemWrite(c, put, owner, epoch, attempts[key], cancelled[key])
				item, _ := decodeItem(platform.Row{Value: put.Value})
				attempts[key] = item.Attempt
			}
		}
		for _, key := range c.tx.Deletes {
			delete(cancelled, strings.TrimPrefix(key, "cancel/"))
		}
	}
}

// checkTakeover checks that a write of the epoch row raises the epoch, and
// returns the new owner and epoch.
func (hc *historyChecker) checkTakeover(put platform.Put, epoch uint64) (string, uint64) {
	var row struct {
		Owner string
		Epoch uint64
	}
	if err := json.Unmarshal(put.Value, &row); err != nil || row.Epoch <= epoch {
		hc.sim.t.Fatalf("takeover %s after epoch %d", put.Value, epoch)
	}
	return row.Owner, row.Epoch
}

// checkItemWrite checks one write of a work row. attempt is the attempt number
// of the previous write, and cancelled is set if a cancel row exists.
func (hc *historyChecker) checkItemWrite(c committedTx, put platform.Put, owner string, epoch uint64, attempt int, cancelled bool) {
	item, err := decodeItem(platform.Row{Key: put.Key, Value: put.Value})
	if err != nil {
		hc.sim.t.Fatal(err)
	}
	creation := item.State == structs.StateQueued && item.Attempt == 0
	if writer, _, _ := strings.Cut(c.tx.WriteID, " "); !creation && writer != owner {
		hc.sim.t.Fatalf("%s writes %s at version %d, owned by %s", writer, put.Key, c.version, owner)
	}
	if item.Attempt == attempt {
		return
	}
	if item.Attempt != attempt+1 || item.Epoch != epoch {
		hc.sim.t.Fatalf("%s: attempt %d of epoch %d after attempt %d, at epoch %d", put.Key, item.Attempt, item.Epoch, attempt, epoch)
	}
	if cancelled {
		hc.sim.t.Fatalf("P5: %s: attempt %d is recorded after its cancel", put.Key, item.Attempt)
	}
}
