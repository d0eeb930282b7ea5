package coordinator

import (
	"testing"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// retentionHarness is a coordinator with one ended job whose rows are due to be removed.
type retentionHarness struct {
	*loopHarness
	t     *testing.T
	store *rowstore.Memory
	// acceptedRow is the job's row as it was read before the removal.
	acceptedRow rowstore.Row
}

const endedID = jobs.ID("00000000000000ee")

func newRetentionHarness(t *testing.T) *retentionHarness {
	t.Helper()
	h := &retentionHarness{loopHarness: newLoopHarness(t), t: t, store: rowstore.NewMemory()}
	coord := h.coordinator
	coord.ctx = t.Context()
	coord.journal = newJournal(h.store, 1, discardLog())
	if _, err := coord.journal.fence(t.Context(), gateway.PartOf(endedID)); err != nil {
		t.Fatal(err)
	}
	value, err := jobs.EncodeAccepted(testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(1, 1000)}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	key := gateway.AcceptedKey(endedID)
	if _, err := h.store.Commit(t.Context(), rowstore.Transaction{Puts: []rowstore.Put{{Key: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
	h.acceptedRow = rowstore.Row{Key: key, Value: value, Version: 1}
	coord.endedJobs[endedID] = &endedJob{endedAt: 0}
	coord.core.MarkFinished(endedID)
	coord.env.StoreClock = func() time.Duration { return coord.env.Retention + retentionMargin + time.Hour }
	return h
}

// removeRows starts a removal and applies its outcome.
func (h *retentionHarness) removeRows() {
	h.t.Helper()
	h.coordinator.removeExpiredJobRows(h.clock.now())
	select {
	case queued := <-h.coordinator.events:
		h.coordinator.applyEvent(queued)
	case <-time.After(awaitTimeout):
		h.t.Fatal("no outcome of the removal")
	}
}

// expectNotAccepted fails the test if the job's row makes the coordinator accept it.
func (h *retentionHarness) expectNotAccepted(when string) {
	h.t.Helper()
	jobsEvent{rows: []rowstore.Row{h.acceptedRow}}.apply(h.coordinator)
	if h.coordinator.core.HasJob(endedID) {
		h.t.Fatalf("an ended job is accepted again %s", when)
	}
}

// Guards against an ended job that is accepted and run once more because its rows could not be
// removed and the store has dropped its history, so that all rows are read again.
func TestEndedJobIsNotAcceptedAgainAfterItsRowsCouldNotBeRemoved(t *testing.T) {
	h := newRetentionHarness(t)
	h.store.BeforeCall = func(string) error { return rowstore.ErrRefused }
	h.removeRows()
	h.expectNotAccepted("after a removal that failed")
	h.store.BeforeCall = nil
	h.removeRows()
	res, err := h.store.Read(t.Context(), gateway.JobRange(endedID))
	if err != nil || len(res.Rows) != 0 {
		t.Errorf("%d rows after the removal was repeated, error %v", len(res.Rows), err)
	}
}

// Guards against an ended job that is accepted once more from rows that were read before they
// were removed, and against jobs that are remembered for good.
func TestEndedJobIsForgottenOnlyOnceItsRowsCanNotBeReadAnyMore(t *testing.T) {
	h := newRetentionHarness(t)
	h.coordinator.removeExpiredJobRows(h.clock.now())
	h.expectNotAccepted("while its rows are being removed")
	h.coordinator.applyEvent(<-h.coordinator.events)
	h.expectNotAccepted("just after its rows were removed")
	h.clock.advance(forgetDelay)
	h.coordinator.removeExpiredJobRows(h.clock.now())
	if len(h.coordinator.endedJobs) != 0 || len(h.coordinator.core.finishedJobs) != 0 {
		t.Errorf("%d ended jobs are remembered", len(h.coordinator.endedJobs))
	}
}

// Guards against a lost answer to a removal after which the job is taken as still stored, and
// never removed.
func TestRemovalIsRepeatedAfterALostAnswer(t *testing.T) {
	h := newRetentionHarness(t)
	h.store.AfterCommit = func(string) error { return rowstore.ErrOutcomeUnknown }
	h.removeRows()
	h.store.AfterCommit = nil
	h.removeRows()
	h.expectNotAccepted("after its rows were removed")
	if h.coordinator.endedJobs[endedID].removedAt == 0 {
		t.Error("the job counts as stored after its rows were removed")
	}
}

// Guards against marks of jobs that were cancelled before they were accepted and that are kept in
// the store for good.
func TestMarkOfAJobThatWasNeverAcceptedIsRemoved(t *testing.T) {
	h := newRetentionHarness(t)
	delete(h.coordinator.endedJobs, endedID)
	h.coordinator.core.ForgetFinished(endedID)
	mark := rowstore.Row{Key: gateway.CancelKey(endedID), Version: 1}
	// The row of another job under this ID stays: it may have been accepted since.
	if _, err := h.store.Commit(t.Context(), rowstore.Transaction{Puts: []rowstore.Put{{Key: mark.Key}}}); err != nil {
		t.Fatal(err)
	}
	jobsEvent{rows: []rowstore.Row{mark}}.apply(h.coordinator)
	h.coordinator.removeExpiredJobRows(h.clock.now())
	if h.coordinator.endedJobs[endedID].isBeingRemoved {
		t.Fatal("the mark is removed before the retention is over")
	}
	now := h.coordinator.env.StoreClock()
	h.coordinator.env.StoreClock = func() time.Duration { return now + h.coordinator.env.Retention + retentionMargin + time.Second }
	h.removeRows()
	res, err := h.store.Read(t.Context(), gateway.JobRange(endedID))
	if err != nil || len(res.Rows) != 1 || res.Rows[0].Key != gateway.AcceptedKey(endedID) {
		t.Errorf("rows %v after the removal, error %v, want only that of the accepted job", res.Rows, err)
	}
	if len(h.coordinator.endedJobs) != 0 {
		t.Errorf("%d jobs are remembered", len(h.coordinator.endedJobs))
	}
}

// Guards against a job that is accepted and never runs, because its ID was cancelled once before
// and the removal of that mark is not noticed yet.
func TestJobIsAcceptedOnceTheMarkUnderItsIDIsRemoved(t *testing.T) {
	h := newRetentionHarness(t)
	h.coordinator.endedJobs = map[jobs.ID]*endedJob{endedID: {neverAccepted: true}}
	h.coordinator.core.ForgetFinished(endedID)
	jobsEvent{rows: []rowstore.Row{h.acceptedRow}}.apply(h.coordinator)
	if !h.coordinator.core.HasJob(endedID) {
		t.Error("the job is not accepted")
	}
}

// Guards against a job that can't be read, was cancelled, and runs once a later version can read
// it, because its mark was removed as one of a job that was never accepted.
func TestMarkOfAnUnreadableJobIsKept(t *testing.T) {
	h := newRetentionHarness(t)
	h.coordinator.endedJobs, h.coordinator.unreadableJobs = map[jobs.ID]*endedJob{}, map[jobs.ID]struct{}{}
	rows := []rowstore.Row{{Key: gateway.AcceptedKey(endedID), Value: []byte("?"), Version: 1}, {Key: gateway.CancelKey(endedID), Version: 2}}
	jobsEvent{rows: rows}.apply(h.coordinator)
	if len(h.coordinator.endedJobs) != 0 {
		t.Error("the mark of an unreadable job is to be removed")
	}
}

// Guards against a coordinator that crashes, or takes the rows of a job for removed, because the mark of a job
// that was cancelled before it was accepted is being removed while a client submits the job once more.
func TestJobSubmittedAgainWhileItsMarkIsBeingRemoved(t *testing.T) {
	for name, endAgain := range map[string]func(h *retentionHarness){
		"runs":           func(*retentionHarness) {},
		"has ended":      func(h *retentionHarness) { h.coordinator.endedJobs[endedID] = &endedJob{} },
		"removal failed": func(h *retentionHarness) { h.store.BeforeCall = func(string) error { return rowstore.ErrRefused } },
	} {
		t.Run(name, func(t *testing.T) {
			h := newRetentionHarness(t)
			coord := h.coordinator
			coord.core.ForgetFinished(endedID)
			coord.endedJobs[endedID] = &endedJob{neverAccepted: true}
			coord.removeExpiredJobRows(h.clock.now())
			jobsEvent{rows: []rowstore.Row{h.acceptedRow}}.apply(coord)
			endAgain(h)
			select {
			case queued := <-coord.events:
				coord.applyEvent(queued)
			case <-time.After(awaitTimeout):
				t.Fatal("no outcome of the removal")
			}
			if !coord.core.HasJob(endedID) {
				t.Error("the job that was submitted again is not accepted")
			}
			if ended := coord.endedJobs[endedID]; ended != nil && ended.removedAt > 0 {
				t.Error("the rows of the job that was submitted again count as removed")
			}
		})
	}
}
