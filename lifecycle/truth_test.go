package lifecycle

import (
	"encoding/json"
	"slices"
	"strings"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// truth is what the workers themselves recorded. Properties are judged by it
// and by what callers were told, never by what an owner believes.
type truth struct {
	w       *world
	entries []runEntry
	// running tells where each item runs now.
	running map[structs.WorkID]runEntry
	started map[structs.AttemptID]bool
	last    map[structs.AttemptID]runEntry
	starts  map[structs.WorkID][]runEntry
	notRun  map[structs.WorkID]bool // a caller was told so for good
	cancels map[structs.WorkID]bool
	// forgotten are the attempts of which the worker's report got lost with
	// its restart, or that left the list with it for long enough.
	forgotten map[structs.AttemptID]bool
}

func newTruth(w *world) *truth {
	return &truth{
		w: w, running: map[structs.WorkID]runEntry{}, started: map[structs.AttemptID]bool{},
		last: map[structs.AttemptID]runEntry{}, starts: map[structs.WorkID][]runEntry{},
		notRun: map[structs.WorkID]bool{}, cancels: map[structs.WorkID]bool{},
		forgotten: map[structs.AttemptID]bool{},
	}
}

// record is called by the workers at every start and stop.
func (tr *truth) record(e runEntry) {
	id, _, ok := parseAttempt(e.attempt)
	if !ok {
		tr.w.t.Fatalf("attempt %q does not name its item", e.attempt)
	}
	if e.what == "forgotten" {
		tr.forgotten[e.attempt] = true
		return
	}
	if e.what == "start" {
		tr.checkStart(id, e)
		tr.running[id] = e
		tr.started[e.attempt] = true
		tr.starts[id] = append(tr.starts[id], e)
	} else if tr.running[id].attempt == e.attempt {
		delete(tr.running, id)
	}
	tr.entries = append(tr.entries, e)
	tr.last[e.attempt] = e
	tr.checkCapacity()
}

// checkStart samples P2, P3, P5 and P6 at the moment of a start.
func (tr *truth) checkStart(id structs.WorkID, e runEntry) {
	t := tr.w.t
	tr.forgetGone()
	for name, worker := range tr.w.fleet.all() {
		if name != e.worker { // that one has just done so
			worker.lapse()
		}
	}
	if other, runs := tr.running[id]; runs {
		t.Fatalf("P2: %s starts on %s while %s runs on %s", e.attempt, e.worker, other.attempt, other.worker)
	}
	if tr.started[e.attempt] {
		t.Fatalf("P3: %s starts twice", e.attempt)
	}
	if tr.w.objects.stillborn[e.checkpoint] {
		t.Fatalf("P3: %s starts from %q, which was never stored", e.attempt, e.checkpoint)
	}
	if tr.notRun[id] {
		t.Fatalf("P5: %s starts although its caller was told not_run", e.attempt)
	}
	if len(tr.starts[id]) == 0 {
		return
	}
	before := tr.last[tr.starts[id][len(tr.starts[id])-1].attempt]
	if before.what == "finished" && !tr.forgotten[before.attempt] && tr.w.specs[id].Kind == structs.KindBatch {
		t.Fatalf("P6: %s starts after %s finished", e.attempt, before.attempt)
	}
	spec := tr.w.specs[id]
	if !spec.Idempotent && spec.Kind == structs.KindBatch && (before.checkpoint == "" || e.checkpoint != before.checkpoint) {
		t.Fatalf("P6: non-idempotent %s starts from %q after %s (%s, checkpoint %q)",
			e.attempt, e.checkpoint, before.attempt, before.what, before.checkpoint)
	}
	count("starts again")
	if e.checkpoint != "" {
		count("resumed")
	}
	if e.checkpoint != "" && !tr.resumable(id, e.checkpoint) {
		t.Fatalf("P3: %s resumes from %q, which no attempt of it wrote", e.attempt, e.checkpoint)
	}
}

// forgetGone notes the ends that can no longer be told: their worker has been
// off the list for as long as proof 4 takes.
func (tr *truth) forgetGone() {
	for name, worker := range tr.w.fleet.all() {
		if tr.w.WorkerGoneFor(name) < defaultTaskLease+defaultStartWindow+defaultLeaseMargin {
			continue
		}
		for attempt := range worker.ended {
			tr.forgotten[attempt] = true
		}
	}
}

func (tr *truth) resumable(id structs.WorkID, checkpoint string) bool {
	return slices.ContainsFunc(tr.starts[id], func(s runEntry) bool { return tr.last[s.attempt].checkpoint == checkpoint })
}

// checkCapacity samples P1 in all three dimensions.
func (tr *truth) checkCapacity() {
	for name, worker := range tr.w.fleet.all() {
		var used structs.Resources
		for _, task := range worker.running {
			used = used.Add(task.spec.Size)
		}
		if !used.Fits(worker.capacity) {
			tr.w.t.Fatalf("P1: %s runs %+v of %+v", name, used, worker.capacity)
		}
	}
}

// told checks what a caller is told against what ran.
func (tr *truth) told(status structs.WorkStatus) {
	if status.Outcome != structs.OutcomeNotRun || status.State == structs.StateQueued {
		return
	}
	tr.notRun[status.ID] = true
	if len(tr.starts[status.ID]) > 0 {
		tr.w.t.Fatalf("P5: the caller of %s is told not_run after %s", status.ID, tr.starts[status.ID][0].attempt)
	}
}

// checkRecord compares a settled row with what ran.
func (tr *truth) checkRecord(item structs.WorkItem) {
	t := tr.w.t
	var last runEntry
	if starts := tr.starts[item.ID]; len(starts) > 0 {
		last = tr.last[starts[len(starts)-1].attempt]
	}
	switch item.State {
	case structs.StateFinished:
		if last.what != "finished" {
			t.Fatalf("%s is recorded as finished, but its last attempt %s", item.ID, last.what)
		}
	case structs.StateFailed:
		if last.what != "failed" {
			t.Fatalf("%s is recorded as failed, but its last attempt %s", item.ID, last.what)
		}
	case structs.StateCancelled:
		if !tr.cancels[item.ID] {
			t.Fatalf("%s is cancelled, but nobody asked for it", item.ID)
		}
	case structs.StateLost:
		told := last.what == "finished" || last.what == "failed"
		if repeatable(item) || told && !tr.forgotten[last.attempt] {
			t.Fatalf("%s is lost (%s), idempotent %v, last attempt %s", item.ID, item.Detail, item.Spec.Idempotent, last.what)
		}
	default:
		t.Fatalf("nothing lost: %s ends up %s (%s), last attempt %s", item.ID, item.State, item.Detail, last.what)
	}
	count(string(item.State))
	tr.told(item.Status())
}

// checkHistory reads the order in which the table took transactions. No one
// but the owner of the present epoch writes an item after its creation, and
// no attempt is recorded while a cancel row is in place.
func (tr *truth) checkHistory() {
	owner, epoch := "", uint64(0)
	attempts := map[string]int{}
	cancelled := map[string]bool{}
	for _, c := range tr.w.table.commits {
		for _, put := range c.tx.Puts {
			switch {
			case strings.HasPrefix(put.Key, "epoch/"):
				count("takeovers")
				owner, epoch = tr.checkTakeover(put, epoch)
			case strings.HasPrefix(put.Key, "cancel/"):
				cancelled[strings.TrimPrefix(put.Key, "cancel/")] = true
			case strings.HasPrefix(put.Key, "work/"):
				key := strings.TrimPrefix(put.Key, "work/")
				tr.checkWrite(c, put, owner, epoch, attempts[key], cancelled[key])
				item, _ := decodeItem(platform.Row{Value: put.Value})
				attempts[key] = item.Attempt
			}
		}
		for _, key := range c.tx.Deletes {
			delete(cancelled, strings.TrimPrefix(key, "cancel/"))
		}
	}
}

func (tr *truth) checkTakeover(put platform.Put, epoch uint64) (string, uint64) {
	var row struct {
		Owner string
		Epoch uint64
	}
	if err := json.Unmarshal(put.Value, &row); err != nil || row.Epoch <= epoch {
		tr.w.t.Fatalf("takeover %s after epoch %d", put.Value, epoch)
	}
	return row.Owner, row.Epoch
}

func (tr *truth) checkWrite(c committed, put platform.Put, owner string, epoch uint64, attempt int, cancelled bool) {
	item, err := decodeItem(platform.Row{Key: put.Key, Value: put.Value})
	if err != nil {
		tr.w.t.Fatal(err)
	}
	creation := item.State == structs.StateQueued && item.Attempt == 0
	if writer, _, _ := strings.Cut(c.tx.WriteID, " "); !creation && writer != owner {
		tr.w.t.Fatalf("%s writes %s at version %d, owned by %s", writer, put.Key, c.version, owner)
	}
	if item.Attempt == attempt {
		return
	}
	if item.Attempt != attempt+1 || item.Epoch != epoch {
		tr.w.t.Fatalf("%s: attempt %d of epoch %d after attempt %d, at epoch %d", put.Key, item.Attempt, item.Epoch, attempt, epoch)
	}
	if cancelled {
		tr.w.t.Fatalf("P5: %s: attempt %d is recorded after its cancel", put.Key, item.Attempt)
	}
}
