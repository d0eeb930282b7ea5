package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"bergamotstile/gateway"
	"bergamotstile/interference"
	"bergamotstile/jobs"
	"bergamotstile/leadership"
	"bergamotstile/rowstore"
)

// limitedStore is a store that refuses for good each transaction with a value of more than
// maxRowBytes, or all transactions while refusesAll is set.
type limitedStore struct {
	*rowstore.Memory
	maxRowBytes int
	refusesAll  bool

	mu       sync.Mutex
	rejected int // transactions
	largest  int // size of the largest value that was written
}

func (s *limitedStore) Commit(ctx context.Context, tx rowstore.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, put := range tx.Puts {
		if len(put.Value) > s.maxRowBytes || s.refusesAll {
			s.rejected++
			return 0, fmt.Errorf("%w: %w", rowstore.ErrRefused, rowstore.ErrRejected)
		}
		s.largest = max(s.largest, len(put.Value))
	}
	return s.Memory.Commit(ctx, tx)
}

// partIDs returns IDs of jobs in the part of firstID.
func partIDs(count int) []jobs.ID {
	var ids []jobs.ID
	for n := 0; len(ids) < count; n++ {
		if id := jobs.ID(fmt.Sprintf("%016x", n)); gateway.PartOf(id) == gateway.PartOf(firstID) {
			ids = append(ids, id)
		}
	}
	return ids
}

// readProgress returns the values of the rows of progress in the part of firstID by key.
func readProgress(t *testing.T, store rowstore.Store) map[string][]byte {
	t.Helper()
	res, err := rowstore.ReadAll(t.Context(), store, rowstore.Range{Table: gateway.ProgressTable, Part: gateway.PartOf(firstID)})
	if err != nil {
		t.Fatal(err)
	}
	values := map[string][]byte{}
	for _, row := range res.Rows {
		values[row.Key.Key] = row.Value
	}
	return values
}

// Guards against a row that the store refuses for good and that keeps the progress of all
// other jobs from being stored. It was sent again and again, and no end of any run was taken
// note of any more.
func TestRowRefusedForGoodDoesNotBlockOthers(t *testing.T) {
	store := &limitedStore{Memory: rowstore.NewMemory(), maxRowBytes: 100}
	j := newFencedJournal(t, store, 1)
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	ids := partIDs(2 * rowsPerTransaction)
	bad := ids[17]
	var writes []ProgressWrite
	for _, id := range ids {
		writes = append(writes, progressWrite(t, id, 2))
	}
	writes[17].Parts = map[int][]byte{1: {1}, 2: make([]byte, 101), 3: {3}}
	var rejected *rejectedRowsError
	if err := j.storeAll(ctx, writes); !errors.As(err, &rejected) || !errors.Is(err, rowstore.ErrRejected) {
		t.Fatalf("error %v, want the rejected row", err)
	}
	if len(rejected.rows) != 1 || rejected.rows[0].jobID != bad || rejected.rows[0].Key != gateway.ProgressPartKey(bad, 2) {
		t.Errorf("rejected rows %v", rejected)
	}
	stored := readProgress(t, store)
	for _, id := range ids {
		if _, ok := stored[string(id)]; ok != (id != bad) {
			t.Errorf("job %s is stored: %v", id, ok)
		}
	}
	// Halving 49 rows finds one of them with six refusals.
	if store.rejected > 7 {
		t.Errorf("%d transactions were refused", store.rejected)
	}
}

// Guards against progress that the store refuses for good and that is sent again with each
// change of its job, and against such progress that is never sent again.
func TestRefusedProgressIsRetriedAtALowRate(t *testing.T) {
	held, now, sends := heldWrites{}, time.Second, 0
	rejected := map[jobs.ID]bool{firstID: true}
	for n := range 1000 {
		now += 100 * time.Millisecond
		changed := []ProgressWrite{progressWrite(t, firstID, n%4), progressWrite(t, secondID, 1)}
		due := held.hold(changed, now)
		isSent := slices.ContainsFunc(due, func(w ProgressWrite) bool { return w.Job.ID == firstID })
		if isSent {
			sends++
		}
		if !slices.ContainsFunc(due, func(w ProgressWrite) bool { return w.Job.ID == secondID }) {
			t.Fatal("another job is held back")
		}
		held.recordOutcome(due, rejected, now)
	}
	if sends != 4 { // in 100 s
		t.Errorf("sent %d times in 100 s", sends)
	}
	newest := progressWrite(t, firstID, 4)
	held.hold([]ProgressWrite{newest}, now)
	now += rejectedRetryInterval
	if !held.isDue(now) {
		t.Error("no retry is due")
	}
	due := held.hold(nil, now)
	if len(due) != 1 || !slices.Equal(due[0].Value, newest.Value) {
		t.Errorf("the newest progress is not sent: %v", due)
	}
	held.recordOutcome(due, nil, now)
	if len(held) != 0 || held.isDue(now) {
		t.Error("the job is held back after its progress was stored")
	}
}

// Guards against results that are acknowledged while the store refuses all rows, and against
// results of other jobs that are never acknowledged because one job's row is refused.
func TestResultsAreAcknowledgedUnlessTheStoreTakesNothing(t *testing.T) {
	for _, refusesAll := range []bool{false, true} {
		h := newLoopHarness(t)
		store := &limitedStore{Memory: rowstore.NewMemory(), maxRowBytes: 20}
		coord := h.coordinator
		counts := map[string]int64{}
		log, logHook := test.NewNullLogger()
		coord.ctx, coord.heldWrites, coord.env.Log = t.Context(), heldWrites{}, log
		var mu sync.Mutex
		coord.env.Count = func(name string, n int64) {
			mu.Lock()
			defer mu.Unlock()
			counts[name] += n
		}
		coord.journal = newJournal(store, 1, discardLog())
		for _, part := range gateway.Parts() {
			if _, err := coord.journal.fence(t.Context(), part); err != nil {
				t.Fatal(err)
			}
		}
		store.refusesAll = refusesAll
		// The row of firstID has a long checkpoint, the row of secondID is small.
		coord.core.limits.MaxRowBytes = 1 << 10
		coord.core.AddJob(jobs.New(secondID, testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(1, 1000)}}, 0, 1), false, 0)
		coord.core.ApplyReport(Report{Runner: testRunnerID, Incarnation: 1, Sent: h.clock.now(), Ended: []RunResult{
			{Number: 1, Task: h.task, Run: 1, Kind: EndedStopped, Checkpoint: strings.Repeat("x", 100)},
			{Number: 2, Task: taskID(secondID, 0, 0), Run: 1, Kind: EndedDone},
		}}, h.clock.now())
		coord.storeProgress(h.clock.now())
		select {
		case queued := <-coord.events:
			coord.applyEvent(queued)
		case <-time.After(awaitTimeout):
			t.Fatal("no outcome of the write")
		}
		isAcknowledged := h.link.isAcknowledged(Acknowledgement{1, 2})
		if isAcknowledged == refusesAll {
			t.Errorf("the store refuses all rows: %v, the results are acknowledged: %v", refusesAll, isAcknowledged)
		}
		mu.Lock()
		if want := map[bool]int64{false: 1, true: 2}[refusesAll]; counts["progress_rejected"] != want || len(coord.heldWrites) != int(want) {
			t.Errorf("%d jobs are counted, %d are held back, want %d", counts["progress_rejected"], len(coord.heldWrites), want)
		}
		mu.Unlock()
		if entry := logHook.LastEntry(); entry == nil || entry.Data["job"] == nil {
			t.Errorf("no line names the job")
		}
	}
}

// newWideJob adds a job to the core of a harness whose progress does not fit into one row of 4
// KiB: each of its tasks has saved a checkpoint, every third is done, every fifth has failed.
func newWideJob(h *coreHarness, id jobs.ID, tasks int) *jobs.Job {
	j := h.addJob(id, false, jobs.Step{Count: tasks, Checkpoints: true, Resources: plainStep(1, 10).Resources})
	var results []RunResult
	for i := range tasks {
		result := RunResult{Number: i + 1, Task: taskID(id, 0, i), Run: 1, Kind: EndedStopped, Checkpoint: fmt.Sprintf("checkpoint-%05d", i)}
		switch {
		case i%3 == 0:
			result.Kind = EndedDone
		case i%5 == 0:
			result.Kind = EndedFailed
		}
		results = append(results, result)
	}
	h.report(Report{Runner: "r", Incarnation: 1, Ended: results})
	return j
}

// Guards against a job whose progress does not fit into one row and which a successor restores
// differently: tasks that are done would run again, and checkpoints would be lost.
func TestWideJobIsTheSameAfterATakeover(t *testing.T) {
	const tasks = 300
	memory := rowstore.NewMemory()
	store := &limitedStore{Memory: memory, maxRowBytes: 4 << 10}
	h := newCoreHarness(t, testRunner("r", 4000))
	h.core.limits.MaxRowBytes = store.maxRowBytes
	j := newWideJob(h, firstID, tasks)
	accepted, err := jobs.EncodeAccepted(testQueue, j.Spec, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Commit(t.Context(), rowstore.Transaction{Puts: []rowstore.Put{{Key: gateway.AcceptedKey(firstID), Value: accepted}}}); err != nil {
		t.Fatal(err)
	}
	first := newFencedJournal(t, store, 1)
	storeProgress := func() {
		t.Helper()
		writes, _, err := h.core.TakeWrites(h.now)
		if err != nil {
			t.Fatal(err)
		}
		if err := first.storeAll(t.Context(), writes); err != nil {
			t.Fatal(err)
		}
	}
	storeProgress()
	written, _ := memory.Read(t.Context(), rowstore.Range{Table: gateway.ProgressTable, Part: gateway.PartOf(firstID)})
	h.report(Report{Runner: "r", Incarnation: 1, Ended: []RunResult{{Number: tasks + 1, Task: taskID(firstID, 0, 1), Run: 2, Kind: EndedDone}}})
	storeProgress()
	rewritten, _ := memory.Read(t.Context(), rowstore.Range{Table: gateway.ProgressTable, Part: gateway.PartOf(firstID)})
	changed := 0
	for i := range rewritten.Rows {
		if rewritten.Rows[i].Version != written.Rows[i].Version {
			changed++
		}
	}
	if len(rewritten.Rows) < 3 || changed != 2 {
		t.Errorf("%d of %d rows are written for the end of one task, want its row and the one with the state", changed, len(rewritten.Rows))
	}

	_, env := newDeployment(t, newFakeFleet(1, 1))
	env.Store, env.Limits.MaxRowBytes = store, store.maxRowBytes
	successor := newCoordinatorWithoutLoop(env, leadership.NewTerm(2, time.Hour, env.Clock))
	successor.journal, successor.endedJobs, successor.heldWrites = newJournal(store, 2, discardLog()), map[jobs.ID]*endedJob{}, heldWrites{}
	fence, err := successor.journal.fence(t.Context(), gateway.PartOf(firstID))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := successor.loadJobs(t.Context(), store, fence); err != nil {
		t.Fatal(err)
	}
	restored := successor.core.jobs[firstID]
	if restored == nil {
		t.Fatal("the job is not restored")
	}
	for i := range tasks {
		want, got := j.Task(taskID(firstID, 0, i)), restored.Task(taskID(firstID, 0, i))
		if want.Done != got.Done || !want.Done && (want.Checkpoint != got.Checkpoint || !slices.Equal(want.FailedRuns, got.FailedRuns)) {
			t.Fatalf("task %d is %+v, want %+v", i, got, want)
		}
	}

	successor.core.Cancel(firstID, time.Second)
	writes, _, err := successor.core.TakeWrites(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := successor.journal.storeAll(t.Context(), writes); err != nil {
		t.Fatal(err)
	}
	if stored := readProgress(t, store); len(stored) != 1 {
		t.Errorf("%d rows of progress are left after the end of the job", len(stored))
	}
}

// Guards against a row with the state that is stored before the rows to which it refers, and
// against rows that are removed before it is stored. A coordinator that ends in between would
// leave progress behind in which tasks that are done count as not done.
func TestRowWithTheStateIsStoredBetweenItsParts(t *testing.T) {
	j := newFencedJournal(t, rowstore.NewMemory(), 1)
	write := progressWrite(t, firstID, 1)
	keys := func(parts map[int][]byte) []string {
		write.Parts = parts
		var keys []string
		for _, row := range j.progressRows(write) {
			keys = append(keys, row.Key.Key)
		}
		if err := j.storeAll(t.Context(), []ProgressWrite{write}); err != nil {
			t.Fatal(err)
		}
		return keys
	}
	id := string(firstID)
	for _, c := range []struct {
		parts map[int][]byte
		want  []string
	}{
		{map[int][]byte{2: {2}, 10: {10}}, []string{id + "/2", id + "/10", id}},
		{map[int][]byte{2: {3}, 10: {10}}, []string{id + "/2", id}},
		{map[int][]byte{3: {3}, 10: {10}}, []string{id + "/3", id, id + "/2"}},
		{nil, []string{id, id + "/3", id + "/10"}},
		{nil, []string{id}},
	} {
		if got := keys(c.parts); !slices.Equal(got, c.want) {
			t.Errorf("rows %v, want %v", got, c.want)
		}
	}
}

// Guards against rows of progress that stay in the store for good because a coordinator ended
// after it had stored the end of a job and before it had removed the further rows.
func TestLeftOverRowsAreRemovedWithTheJob(t *testing.T) {
	h := newRetentionHarness(t)
	key := gateway.ProgressPartKey(endedID, 7)
	if _, err := h.store.Commit(t.Context(), rowstore.Transaction{Puts: []rowstore.Put{{Key: key, Value: []byte{1}}}}); err != nil {
		t.Fatal(err)
	}
	h.coordinator.journal.recordRead(rowstore.Row{Key: key, Value: []byte{1}, Version: 3})
	h.removeRows()
	res, err := h.store.Read(t.Context(), rowstore.Range{Table: gateway.ProgressTable, Part: gateway.PartOf(endedID)})
	if err != nil || len(res.Rows) != 0 {
		t.Errorf("%d rows are left, %v", len(res.Rows), err)
	}
}

// Guards against a roster that counts as stored although the store refuses it: leases would be
// extended on runners whose stored expiries a successor relies on. The other shared rows must
// be written nevertheless.
func TestRefusedRosterDoesNotCountAsStored(t *testing.T) {
	h := newLoopHarness(t)
	coord := h.coordinator
	store := &limitedStore{Memory: rowstore.NewMemory(), maxRowBytes: 40}
	coord.ctx, coord.journal = t.Context(), newJournal(store, 1, discardLog())
	if _, err := coord.journal.fence(t.Context(), sharedPart); err != nil {
		t.Fatal(err)
	}
	coord.core.UpdateRunner(RunnerInfo{ID: strings.Repeat("r", 50)}, h.clock.now())
	coord.writeSharedRows(h.clock.now())
	queued := <-coord.events
	if _, ok := queued.event.(sharedRowsRejectedEvent); !ok {
		t.Fatalf("event %T", queued.event)
	}
	coord.applyEvent(queued)
	if _, isKept := coord.sharedRows[rosterKey]; isKept || coord.isWritingSharedRows {
		t.Error("the roster is not written again")
	}
	key := gateway.PendingKey
	if res, err := store.Read(t.Context(), rowstore.Range{Table: key.Table, Part: key.Part}); err != nil || len(res.Rows) != 1 {
		t.Errorf("the pending counts are not stored: %v", err)
	}
	coord.writeSharedRows(h.clock.now())
	if coord.isWritingSharedRows {
		t.Error("the roster is sent again at once")
	}
}

// Guards against an interference model that grows with the number of images until its row is
// too large, and against a loop without an end when it is reduced.
func TestInterferenceModelFitsIntoItsRow(t *testing.T) {
	c := New(Limits{MaxRowBytes: 2 << 10}, discardLog(), nil)
	var pairs []interference.StoredPair
	for n := range 500 {
		pairs = append(pairs, interference.StoredPair{Victim: fmt.Sprint("serving-", n%20), Neighbour: fmt.Sprint("batch-", n/20), Mean: 0.1, Deviation: 0.01})
	}
	c.interference.model.Import(pairs)
	for n := range 400 {
		c.interference.quietTails[fmt.Sprint("serving-", n)] = &quietTail{ms: 10}
	}
	value, err := c.EncodeInterference()
	if err != nil || len(value) > 2<<10 || len(value) < 256 {
		t.Errorf("%d bytes, %v", len(value), err)
	}
	if err := New(Limits{}, discardLog(), nil).RestoreInterference(value); err != nil {
		t.Error(err)
	}
}

// Guards against numbers of pending jobs that do not fit into their row because queues were
// removed from the configuration while they had jobs.
func TestPendingCountsFitIntoTheirRow(t *testing.T) {
	h := newLoopHarness(t)
	coord := h.coordinator
	coord.env.Limits.MaxRowBytes = 4 << 10
	for n := range 300 {
		queue := testQueue
		queue.Name = fmt.Sprint("removed-", strings.Repeat("q", 20), n)
		coord.core.AddJob(jobs.New(jobs.ID(fmt.Sprintf("%016x", 10_000+n)), queue, jobs.Spec{Steps: []jobs.Step{plainStep(1, 1000)}}, 0, 1), false, 0)
	}
	coord.core.AddJob(jobs.New(secondID, testQueue, jobs.Spec{Steps: []jobs.Step{plainStep(1, 1000)}}, 0, 1), false, 0)
	rows := map[rowstore.Key]string{}
	coord.addPendingCounts(rows)
	if size := len(rows[gateway.PendingKey]); size == 0 || size > 4<<10 {
		t.Errorf("%d bytes", size)
	}
	if counts := coord.core.PendingJobsOfConfiguredQueues(); counts[testQueue.Name] != 1 || len(counts) != 1 {
		t.Errorf("counts %v", counts)
	}
}
