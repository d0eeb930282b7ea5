package coordinator

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// endedJobsStore is a store with the rows of many ended jobs, which it makes when they are read, so
// that it holds none of them in memory. It pages like the platform's store.
type endedJobsStore struct {
	*rowstore.Memory
	count int
	page  int // rows of one page
	// onRead, if set, is called before each read of a page.
	onRead func()
}

// endedJobID returns the ID of the job with a number; IDs are in the order of their numbers.
func endedJobID(number int) jobs.ID { return jobs.ID(fmt.Sprintf("%016x", number)) }

func (s *endedJobsStore) Read(ctx context.Context, r rowstore.Range) (rowstore.Result, error) {
	if r.Table != gateway.JobsTable && r.Table != gateway.ProgressTable {
		return s.Memory.Read(ctx, r)
	}
	if s.onRead != nil {
		s.onRead()
	}
	result := rowstore.Result{Version: 1, Now: time.Second}
	first := 0
	if r.From != "" {
		_, _ = fmt.Sscanf(r.From[:16], "%x", &first)
		first++
	}
	for number := first; number < s.count; number++ {
		id := endedJobID(number)
		if gateway.PartOf(id) != r.Part {
			continue
		}
		if len(result.Rows) == s.page {
			result.More = true
			break
		}
		result.Rows = append(result.Rows, endedJobRow(id, r.Table))
	}
	return result, nil
}

// endedJobRow returns the row of an ended job in a table.
func endedJobRow(id jobs.ID, table string) rowstore.Row {
	spec := jobs.Spec{Text: strings.Repeat("x", 1000), Steps: []jobs.Step{plainStep(8, 1000)}}
	if table == gateway.JobsTable {
		value, _ := jobs.EncodeAccepted(testQueue, spec, 0)
		return rowstore.Row{Key: gateway.AcceptedKey(id), Value: value, Version: 1}
	}
	j := jobs.New(id, testQueue, spec, 0, 1)
	j.State = jobs.Completed
	value, _ := jobs.EncodeProgress(j, time.Second)
	return rowstore.Row{Key: gateway.ProgressKey(id), Value: value, Version: 1}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against coordinators that exceed their memory one after the other in their takeover,
// because they hold all rows of ended jobs at once: two days of them took over 600 MB.
func TestTakeoverKeepsLittleOfEndedJobs(t *testing.T) {
	const bytesPerJob, pagesPerSample = 300, 20
	for _, count := range []int{5000, 50_000} {
		h := newRetentionHarness(t)
		coord := h.coordinator
		coord.unreadableJobs = map[jobs.ID]struct{}{}
		store := &endedJobsStore{Memory: rowstore.NewMemory(), count: count, page: 500}
		var mu sync.Mutex
		var most uint64
		reads := 0
		store.onRead = func() {
			mu.Lock()
			defer mu.Unlock()
			if reads++; reads%pagesPerSample == 0 {
				most = max(most, heapBytes())
			}
		}
		before := heapBytes()
		if _, err := coord.loadJobs(t.Context(), store, 1); err != nil {
			t.Fatal(err)
		}
		most = max(most, heapBytes())
		if used := int64(most) - int64(before); used > int64(count)*bytesPerJob {
			t.Errorf("%d ended jobs take %d bytes each, want at most %d", count, used/int64(count), bytesPerJob)
		}
		if n := len(coord.endedJobs); n != count || len(coord.core.jobs) != 1 {
			t.Errorf("%d ended jobs and %d others are known, want %d and 1", n, len(coord.core.jobs), count)
		}
	}
}

// Guards against rows of ended jobs that are removed more slowly than jobs come: they piled up until
// no coordinator could take over.
func TestBacklogOfEndedRowsIsRemoved(t *testing.T) {
	const count, seconds = 4000, 40
	h := newRetentionHarness(t)
	coord := h.coordinator
	for _, part := range gateway.Parts() {
		if _, err := coord.journal.fence(t.Context(), part); err != nil {
			t.Fatal(err)
		}
	}
	for number := range count {
		id := endedJobID(number)
		coord.endedJobs[id] = &endedJob{}
		row := endedJobRow(id, gateway.JobsTable)
		if _, err := h.store.Commit(t.Context(), rowstore.Transaction{Puts: []rowstore.Put{{Key: row.Key, Value: row.Value}}}); err != nil {
			t.Fatal(err)
		}
	}
	left := func() int {
		n := 0
		for _, part := range gateway.Parts() {
			res, err := rowstore.ReadAll(t.Context(), h.store, rowstore.Range{Table: gateway.JobsTable, Part: part})
			if err != nil {
				t.Fatal(err)
			}
			n += len(res.Rows)
		}
		return n
	}
	for range seconds * int(time.Second/tickInterval) {
		h.clock.advance(tickInterval)
		if h.clock.now() < coord.nextJobRemoval {
			continue
		}
		coord.nextJobRemoval = h.clock.now() + jobRemovalInterval
		coord.removeExpiredJobRows(h.clock.now())
		h.awaitRemovals()
	}
	if n := left(); n > 0 {
		t.Errorf("%d of %d jobs are still stored after %d s", n, count, seconds)
	}
}

// awaitRemovals applies the outcomes of all removals that are under way.
func (h *retentionHarness) awaitRemovals() {
	h.t.Helper()
	isUnderWay := func() bool {
		for _, ended := range h.coordinator.endedJobs {
			if ended.isBeingRemoved {
				return true
			}
		}
		return false
	}
	for isUnderWay() {
		select {
		case queued := <-h.coordinator.events:
			h.coordinator.applyEvent(queued)
		case <-time.After(awaitTimeout):
			h.t.Fatal("no outcome of a removal")
		}
	}
}

// Guards against a successor that runs an ended job once more, since the rows of progress and of
// accepted jobs are read in pages of different extent.
func TestPagedTakeoverRestoresEachJob(t *testing.T) {
	for _, page := range []int{1, 3, 500} {
		h := newRetentionHarness(t)
		coord := h.coordinator
		coord.unreadableJobs = map[jobs.ID]struct{}{}
		store := &endedJobsStore{Memory: rowstore.NewMemory(), count: 40, page: page}
		if _, err := coord.loadJobs(t.Context(), store, 1); err != nil {
			t.Fatal(err)
		}
		for number := range store.count {
			if coord.endedJobs[endedJobID(number)] == nil || coord.core.HasJob(endedJobID(number)) {
				t.Errorf("pages of %d rows: ended job %d is not known as ended", page, number)
			}
		}
	}
}
