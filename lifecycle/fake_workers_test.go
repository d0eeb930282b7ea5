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

// fakeWorker is an in-memory worker. It accepts attempts without regard to its
// capacity and passes each event of an attempt to onEvent.
type fakeWorker struct {
	mu         sync.Mutex
	clock      clockwork.Clock
	name       string
	bootCount  int
	bootedAtMS int64
	capacity   structs.Resources
	running    map[structs.AttemptID]*fakeTask
	ended      map[structs.AttemptID]workerapi.EndedAttempt
	// unstartable holds the attempts whose start the worker refuses: those that
	// ended and those that were stopped before they started.
	unstartable map[structs.AttemptID]bool
	epochs      map[structs.ShardID]uint64
	objects     *memObjects
	onEvent     func(event attemptEvent)
}

// fakeTask is one running attempt.
type fakeTask struct {
	spec         structs.WorkSpec
	checkpoint   string
	leaseUntilMS int64 // uptime of the worker at which the task lease expires
	share        float64
}

// attemptEvent is one event of an attempt, as the worker saw it.
type attemptEvent struct {
	worker     string
	attempt    structs.AttemptID
	kind       string // start, finished, failed, stopped, lapsed, killed or forgotten
	checkpoint string
}

func newFakeWorker(clock clockwork.Clock, name string, capacity structs.Resources, objects *memObjects, onEvent func(attemptEvent)) *fakeWorker {
	w := &fakeWorker{clock: clock, name: name, capacity: capacity, objects: objects, onEvent: onEvent}
	w.restart()
	return w
}

func (w *fakeWorker) uptimeMS() int64 {
	return w.clock.Now().UnixMilli() - w.bootedAtMS
}

// restart ends all tasks and discards all state, as a reboot does.
func (w *fakeWorker) restart() {
	for _, attempt := range slices.Sorted(maps.Keys(w.running)) {
		w.onEvent(attemptEvent{worker: w.name, attempt: attempt, kind: "killed"})
	}
	for _, attempt := range slices.Sorted(maps.Keys(w.ended)) {
		w.onEvent(attemptEvent{worker: w.name, attempt: attempt, kind: "forgotten"})
	}
	w.bootCount++
	w.bootedAtMS = w.clock.Now().UnixMilli() - 1
	w.running = map[structs.AttemptID]*fakeTask{}
	w.ended = map[structs.AttemptID]workerapi.EndedAttempt{}
	w.unstartable = map[structs.AttemptID]bool{}
	w.epochs = map[structs.ShardID]uint64{}
}

func (w *fakeWorker) bootID() string {
	return fmt.Sprintf("%s-boot-%d", w.name, w.bootCount)
}

// expireLeases stops the tasks whose lease has expired.
func (w *fakeWorker) expireLeases() {
	for _, attempt := range slices.Sorted(maps.Keys(w.running)) {
		if w.uptimeMS() > w.running[attempt].leaseUntilMS {
			w.endAttempt(attempt, workerapi.EndedAttempt{State: workerapi.EndStopped, Detail: "lease lapsed"}, "lapsed")
		}
	}
}

func (w *fakeWorker) endAttempt(attempt structs.AttemptID, ended workerapi.EndedAttempt, eventKind string) workerapi.EndedAttempt {
	ended.Attempt = attempt
	delete(w.running, attempt)
	w.ended[attempt] = ended
	w.unstartable[attempt] = true
	w.onEvent(attemptEvent{worker: w.name, attempt: attempt, kind: eventKind, checkpoint: ended.Checkpoint})
	return ended
}

func (w *fakeWorker) heartbeat(req workerapi.HeartbeatRequest) (workerapi.HeartbeatResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLeases()
	if req.Epoch < w.epochs[req.Shard] {
		return workerapi.HeartbeatResponse{}, workerapi.ErrRefused
	}
	w.epochs[req.Shard] = req.Epoch
	for _, attempt := range req.Acknowledged {
		delete(w.ended, attempt)
	}
	resp := workerapi.HeartbeatResponse{BootID: w.bootID(), UptimeMS: w.uptimeMS(), Capacity: w.capacity}
	for attempt, t := range w.running {
		t.leaseUntilMS = w.uptimeMS() + req.LeaseMS
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
	w.expireLeases()
	if _, running := w.running[req.Attempt]; running && req.BootID == w.bootID() {
		return nil
	}
	if req.BootID != w.bootID() || w.uptimeMS() > req.StartBeforeMS || w.unstartable[req.Attempt] {
		return workerapi.ErrRefused
	}
	w.running[req.Attempt] = &fakeTask{spec: req.Spec, checkpoint: req.Checkpoint, leaseUntilMS: w.uptimeMS() + req.LeaseMS, share: 1}
	w.onEvent(attemptEvent{worker: w.name, attempt: req.Attempt, kind: "start", checkpoint: req.Checkpoint})
	return nil
}

func (w *fakeWorker) stop(req workerapi.StopRequest) workerapi.StopResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLeases()
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
		resp.Ended = w.endAttempt(req.Attempt, ended, "stopped")
	case !w.unstartable[req.Attempt]:
		w.unstartable[req.Attempt] = true
		ended.NeverStarted = true
		w.ended[req.Attempt] = ended
		resp.Ended = ended
	default:
		resp.Ended = ended
	}
	return resp
}

// fakeWorkerClient calls the fake workers, whose names are their addresses. It
// calls injectFault, if set, to determine the fault of each call.
type fakeWorkerClient struct {
	workers     map[string]*fakeWorker
	injectFault func(op, worker string) callFault
}

// sortedWorkers iterates over the workers in the order of their names, so that
// runs can be repeated exactly.
func (f *fakeWorkerClient) sortedWorkers() iter.Seq2[string, *fakeWorker] {
	return func(yield func(string, *fakeWorker) bool) {
		for _, name := range slices.Sorted(maps.Keys(f.workers)) {
			if !yield(name, f.workers[name]) {
				return
			}
		}
	}
}

// callFault is the fault of one call to a worker.
type callFault int

const (
	callOK          callFault = iota
	callUndelivered           // the call does not reach the worker
	callAnswerLost            // the call reaches the worker, but its answer is lost
)

// findWorker returns the worker with the given address, or nil, and the fault of
// the call.
func (f *fakeWorkerClient) findWorker(op, address string) (*fakeWorker, callFault) {
	if f.injectFault == nil {
		return f.workers[address], callOK
	}
	return f.workers[address], f.injectFault(op, address)
}

func (f *fakeWorkerClient) Heartbeat(ctx context.Context, address string, req workerapi.HeartbeatRequest) (workerapi.HeartbeatResponse, error) {
	w, fault := f.findWorker("heartbeat", address)
	if w == nil || fault == callUndelivered || ctx.Err() != nil {
		return workerapi.HeartbeatResponse{}, workerapi.ErrUnreachable
	}
	resp, err := w.heartbeat(req)
	if fault == callAnswerLost {
		return workerapi.HeartbeatResponse{}, workerapi.ErrOutcomeUnknown
	}
	return resp, err
}

func (f *fakeWorkerClient) Start(ctx context.Context, address string, req workerapi.StartRequest) error {
	w, fault := f.findWorker("start", address)
	if w == nil || fault == callUndelivered || ctx.Err() != nil {
		return workerapi.ErrUnreachable
	}
	err := w.start(req)
	if fault == callAnswerLost {
		return workerapi.ErrOutcomeUnknown
	}
	return err
}

func (f *fakeWorkerClient) Stop(_ context.Context, address string, req workerapi.StopRequest) (workerapi.StopResponse, error) {
	w, fault := f.findWorker("stop", address)
	if w == nil || fault == callUndelivered {
		return workerapi.StopResponse{}, workerapi.ErrUnreachable
	}
	resp := w.stop(req)
	if fault == callAnswerLost {
		return workerapi.StopResponse{}, workerapi.ErrOutcomeUnknown
	}
	return resp, nil
}

func (f *fakeWorkerClient) Throttle(_ context.Context, address string, req workerapi.ThrottleRequest) error {
	w, fault := f.findWorker("throttle", address)
	if w == nil || fault != callOK {
		return workerapi.ErrUnreachable
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.running[req.Attempt]; t != nil {
		t.share = req.Share
	}
	return nil
}
