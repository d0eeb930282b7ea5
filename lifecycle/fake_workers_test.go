package lifecycle

import (
	"context"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/jonboulle/clockwork"

	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// fakeWorker starts whatever it is given and keeps its own record.
type fakeWorker struct {
	mu       sync.Mutex
	clock    clockwork.Clock
	name     string
	boot     int
	bootedAt int64
	capacity structs.Resources
	running  map[structs.AttemptID]*task
	ended    map[structs.AttemptID]workerapi.EndedAttempt
	stopped  map[structs.AttemptID]bool // tombstones and all ended attempts
	epochs   map[structs.ShardID]uint64
	objects  *memObjects
	record   func(entry runEntry)
}

type task struct {
	spec       structs.WorkSpec
	checkpoint string
	until      int64 // lease, in the worker's milliseconds
	share      float64
}

// runEntry is one line of a worker's own record.
type runEntry struct {
	worker     string
	attempt    structs.AttemptID
	what       string // start, finished, failed, stopped, lapsed, killed
	checkpoint string
}

func newFakeWorker(clock clockwork.Clock, name string, capacity structs.Resources, objects *memObjects, record func(runEntry)) *fakeWorker {
	w := &fakeWorker{clock: clock, name: name, capacity: capacity, objects: objects, record: record}
	w.restart()
	return w
}

func (w *fakeWorker) uptime() int64 {
	return w.clock.Now().UnixMilli() - w.bootedAt
}

// restart ends every task and forgets everything.
func (w *fakeWorker) restart() {
	for _, attempt := range slices.Sorted(maps.Keys(w.running)) {
		w.record(runEntry{worker: w.name, attempt: attempt, what: "killed"})
	}
	for _, attempt := range slices.Sorted(maps.Keys(w.ended)) {
		w.record(runEntry{worker: w.name, attempt: attempt, what: "forgotten"})
	}
	w.boot++
	w.bootedAt = w.clock.Now().UnixMilli() - 1
	w.running = map[structs.AttemptID]*task{}
	w.ended = map[structs.AttemptID]workerapi.EndedAttempt{}
	w.stopped = map[structs.AttemptID]bool{}
	w.epochs = map[structs.ShardID]uint64{}
}

func (w *fakeWorker) bootID() string {
	return fmt.Sprintf("%s-boot-%d", w.name, w.boot)
}

// lapse stops the tasks whose lease is over.
func (w *fakeWorker) lapse() {
	for _, attempt := range slices.Sorted(maps.Keys(w.running)) {
		if w.uptime() > w.running[attempt].until {
			w.end(attempt, workerapi.EndedAttempt{State: workerapi.EndStopped, Detail: "lease lapsed"}, "lapsed")
		}
	}
}

func (w *fakeWorker) end(attempt structs.AttemptID, ended workerapi.EndedAttempt, what string) workerapi.EndedAttempt {
	ended.Attempt = attempt
	delete(w.running, attempt)
	w.ended[attempt] = ended
	w.stopped[attempt] = true
	w.record(runEntry{worker: w.name, attempt: attempt, what: what, checkpoint: ended.Checkpoint})
	return ended
}

func (w *fakeWorker) heartbeat(req workerapi.HeartbeatRequest) (workerapi.HeartbeatResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	if req.Epoch < w.epochs[req.Shard] {
		return workerapi.HeartbeatResponse{}, workerapi.ErrRefused
	}
	w.epochs[req.Shard] = req.Epoch
	for _, attempt := range req.Acknowledged {
		delete(w.ended, attempt)
	}
	resp := workerapi.HeartbeatResponse{BootID: w.bootID(), UptimeMS: w.uptime(), Capacity: w.capacity}
	for attempt, t := range w.running {
		t.until = w.uptime() + req.LeaseMS
		resp.Running = append(resp.Running, workerapi.RunningAttempt{Attempt: attempt, Size: t.spec.Size, Used: t.spec.Size})
	}
	for _, ended := range w.ended {
		resp.Ended = append(resp.Ended, ended)
	}
	slices.SortFunc(resp.Running, func(a, b workerapi.RunningAttempt) int { return strings.Compare(string(a.Attempt), string(b.Attempt)) })
	slices.SortFunc(resp.Ended, func(a, b workerapi.EndedAttempt) int { return strings.Compare(string(a.Attempt), string(b.Attempt)) })
	return resp, nil
}

func (w *fakeWorker) start(req workerapi.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	if _, running := w.running[req.Attempt]; running && req.BootID == w.bootID() {
		return nil
	}
	if req.BootID != w.bootID() || w.uptime() > req.StartBeforeMS || w.stopped[req.Attempt] {
		return workerapi.ErrRefused
	}
	w.running[req.Attempt] = &task{spec: req.Spec, checkpoint: req.Checkpoint, until: w.uptime() + req.LeaseMS, share: 1}
	w.record(runEntry{worker: w.name, attempt: req.Attempt, what: "start", checkpoint: req.Checkpoint})
	return nil
}

func (w *fakeWorker) stop(req workerapi.StopRequest) workerapi.StopResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	resp := workerapi.StopResponse{BootID: w.bootID()}
	if ended, ok := w.ended[req.Attempt]; ok {
		resp.Ended = ended
		return resp
	}
	t, running := w.running[req.Attempt]
	ended := workerapi.EndedAttempt{Attempt: req.Attempt, State: workerapi.EndStopped}
	switch {
	case running:
		if req.Checkpoint {
			ended.Checkpoint = "checkpoint/" + string(req.Attempt)
			if w.objects.Put(context.Background(), ended.Checkpoint, []byte(t.checkpoint)) != nil {
				ended.Checkpoint = ""
			}
		}
		resp.Ended = w.end(req.Attempt, ended, "stopped")
	case !w.stopped[req.Attempt]:
		w.stopped[req.Attempt] = true
		ended.NeverStarted = true
		w.ended[req.Attempt] = ended
		resp.Ended = ended
	default:
		resp.Ended = ended
	}
	return resp
}

// fleet reaches workers by name.
type fleet struct {
	workers map[string]*fakeWorker
	fault   func(op, worker string) callFault
}

// all ranges over the workers in a fixed order, so that runs can be replayed.
func (f *fleet) all() iter.Seq2[string, *fakeWorker] {
	return func(yield func(string, *fakeWorker) bool) {
		for _, name := range slices.Sorted(maps.Keys(f.workers)) {
			if !yield(name, f.workers[name]) {
				return
			}
		}
	}
}

type callFault int

const (
	callFine       callFault = iota
	callCut                  // not delivered
	callLostAnswer           // delivered, no answer
)

func (f *fleet) reach(op, address string) (*fakeWorker, callFault) {
	if f.fault == nil {
		return f.workers[address], callFine
	}
	return f.workers[address], f.fault(op, address)
}

func (f *fleet) Heartbeat(ctx context.Context, address string, req workerapi.HeartbeatRequest) (workerapi.HeartbeatResponse, error) {
	w, fault := f.reach("heartbeat", address)
	if w == nil || fault == callCut || ctx.Err() != nil {
		return workerapi.HeartbeatResponse{}, workerapi.ErrUnreachable
	}
	resp, err := w.heartbeat(req)
	if fault == callLostAnswer {
		return workerapi.HeartbeatResponse{}, workerapi.ErrOutcomeUnknown
	}
	return resp, err
}

func (f *fleet) Start(ctx context.Context, address string, req workerapi.StartRequest) error {
	w, fault := f.reach("start", address)
	if w == nil || fault == callCut || ctx.Err() != nil {
		return workerapi.ErrUnreachable
	}
	err := w.start(req)
	if fault == callLostAnswer {
		return workerapi.ErrOutcomeUnknown
	}
	return err
}

func (f *fleet) Stop(_ context.Context, address string, req workerapi.StopRequest) (workerapi.StopResponse, error) {
	w, fault := f.reach("stop", address)
	if w == nil || fault == callCut {
		return workerapi.StopResponse{}, workerapi.ErrUnreachable
	}
	resp := w.stop(req)
	if fault == callLostAnswer {
		return workerapi.StopResponse{}, workerapi.ErrOutcomeUnknown
	}
	return resp, nil
}

func (f *fleet) Throttle(_ context.Context, address string, req workerapi.ThrottleRequest) error {
	w, fault := f.reach("throttle", address)
	if w == nil || fault != callFine {
		return workerapi.ErrUnreachable
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.running[req.Attempt]; t != nil {
		t.share = req.Share
	}
	return nil
}
