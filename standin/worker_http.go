package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/httpserver"
	"bergamotstile/platform/httpapi"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// WorkerEventKind says what happened to an attempt on a worker.
type WorkerEventKind string

// The kinds of worker events.
const (
	WorkerEventStart        WorkerEventKind = "start"
	WorkerEventStop         WorkerEventKind = "stop"
	WorkerEventFinish       WorkerEventKind = "finish"
	WorkerEventFail         WorkerEventKind = "fail"
	WorkerEventLeaseExpired WorkerEventKind = "lapse"
	WorkerEventKilled       WorkerEventKind = "killed"
	WorkerEventRefuse       WorkerEventKind = "refuse"
	WorkerEventThrottle     WorkerEventKind = "throttle"
	WorkerEventCheckpoint   WorkerEventKind = "checkpoint"
)

// WorkerEvent records one event of an attempt on a worker. DoneMS is the attempt's
// progress in milliseconds of its run time. Committed is the sum of the declared
// sizes of all attempts that run after the event.
type WorkerEvent struct {
	Kind      WorkerEventKind   `json:"kind"`
	UnixMS    int64             `json:"unix_ms"`
	UptimeMS  int64             `json:"uptime_ms"`
	BootID    string            `json:"boot_id"`
	Worker    string            `json:"worker"`
	Attempt   structs.AttemptID `json:"attempt"`
	WorkID    structs.WorkID    `json:"work_id"`
	Size      structs.Resources `json:"size"`
	DoneMS    int64             `json:"done_ms"`
	Committed structs.Resources `json:"committed"`
	Capacity  structs.Resources `json:"capacity"`
	Detail    string            `json:"detail,omitempty"`
}

// record adds an event. The caller has already added the attempt to the running
// attempts or removed it, so that the event shows the state after the change.
func (w *Worker) record(kind WorkerEventKind, t *task, detail string) {
	var committed structs.Resources
	for _, runningTask := range w.running {
		committed = committed.Add(runningTask.spec.Size)
	}
	w.events.add(WorkerEvent{
		Kind: kind, UnixMS: w.clock.Now().UnixMilli(), UptimeMS: w.uptimeMS(), BootID: w.bootID,
		Worker: w.options.Name, Attempt: t.attempt, WorkID: t.spec.ID(), Size: t.spec.Size,
		DoneMS: t.progress.Milliseconds(), Committed: committed, Capacity: w.options.Capacity, Detail: detail,
	})
}

// Events returns the recorded events after the first n.
func (w *Worker) Events(n int) []WorkerEvent {
	return w.events.since(n)
}

// Handler serves the worker's API and, for tests and the demo, GET and POST
// /faults, POST /restart, POST /leave and GET /events?since=n.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+workerapi.PathHeartbeat, handleWorkerCall(w.Heartbeat))
	mux.HandleFunc("POST "+workerapi.PathStart, handleWorkerCall(
		func(ctx context.Context, req workerapi.StartRequest) (workerapi.AttemptResponse, error) {
			return workerapi.AttemptResponse{Attempt: req.Attempt}, w.StartAttempt(ctx, req)
		}))
	mux.HandleFunc("POST "+workerapi.PathStop, handleWorkerCall(w.StopAttempt))
	mux.HandleFunc("POST "+workerapi.PathThrottle, handleWorkerCall(
		func(ctx context.Context, req workerapi.ThrottleRequest) (workerapi.AttemptResponse, error) {
			return workerapi.AttemptResponse{Attempt: req.Attempt}, w.ThrottleAttempt(ctx, req)
		}))
	handlePost(mux, "/restart", w.Restart)
	handlePost(mux, "/leave", w.Leave)
	handleEvents(mux, w.Events)
	handleFaults(mux, w.Faults, w.SetFaults)
	return mux
}

// Start serves the worker on address until the server is closed.
func (w *Worker) Start(address string) (*httpserver.Server, error) {
	return httpserver.Start(address, w.Handler())
}

// Serve calls Tick at regular intervals until ctx ends, so that attempts also end
// while no calls arrive.
func (w *Worker) Serve(ctx context.Context) error {
	ticker := w.clock.NewTicker(workerTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			w.Tick()
		}
	}
}

const workerTickInterval = 20 * time.Millisecond

func handlePost(mux *http.ServeMux, path string, action func()) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, _ *http.Request) {
		action()
		writeJSON(w, http.StatusOK, struct{}{})
	})
}

func handleEvents[E any](mux *http.ServeMux, events func(int) []E) {
	mux.HandleFunc("GET /events", func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.Atoi(r.URL.Query().Get("since"))
		writeJSON(w, http.StatusOK, events(n))
	})
}

func handleWorkerCall[Req, Res any](call func(context.Context, Req) (Res, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if !readJSON(w, r, &req) {
			return
		}
		res, err := call(uncancelledContext(r), req)
		switch {
		case errors.Is(err, workerapi.ErrRefused):
			writeJSON(w, http.StatusConflict, workerapi.RefusalResponse{Refused: true, Detail: err.Error()})
		case err != nil:
			dropConnection(w)
		default:
			writeJSON(w, http.StatusOK, res)
		}
	}
}

// WorkerClient implements workerapi.Client by direct calls to workers in the same
// process.
type WorkerClient struct {
	mu        sync.Mutex
	byAddress map[string]*Worker
}

var _ workerapi.Client = (*WorkerClient)(nil)

// Add makes a worker reachable at an address. If w is nil, no worker is reachable
// at the address any more.
func (c *WorkerClient) Add(address string, w *Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddress == nil {
		c.byAddress = map[string]*Worker{}
	}
	c.byAddress[address] = w
}

func (c *WorkerClient) workerAt(address string) (*Worker, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byAddress[address]; w != nil {
		return w, nil
	}
	return nil, fmt.Errorf("%w: no worker at %s", workerapi.ErrUnreachable, address)
}

// Heartbeat sends a heartbeat to the worker at address.
func (c *WorkerClient) Heartbeat(ctx context.Context, address string, req workerapi.HeartbeatRequest) (workerapi.HeartbeatResponse, error) {
	w, err := c.workerAt(address)
	if err != nil {
		return workerapi.HeartbeatResponse{}, err
	}
	return w.Heartbeat(ctx, req)
}

// Start starts an attempt on the worker at address.
func (c *WorkerClient) Start(ctx context.Context, address string, req workerapi.StartRequest) error {
	w, err := c.workerAt(address)
	if err != nil {
		return err
	}
	return w.StartAttempt(ctx, req)
}

// Stop stops an attempt on the worker at address.
func (c *WorkerClient) Stop(ctx context.Context, address string, req workerapi.StopRequest) (workerapi.StopResponse, error) {
	w, err := c.workerAt(address)
	if err != nil {
		return workerapi.StopResponse{}, err
	}
	return w.StopAttempt(ctx, req)
}

// Throttle limits an attempt on the worker at address.
func (c *WorkerClient) Throttle(ctx context.Context, address string, req workerapi.ThrottleRequest) error {
	w, err := c.workerAt(address)
	if err != nil {
		return err
	}
	return w.ThrottleAttempt(ctx, req)
}

// WorkerArgs are the options of a worker process. Address is the address on which
// it listens. Platform is the address of the platform; if it is set, the worker
// stores checkpoints there and registers itself on its membership list.
type WorkerArgs struct {
	Address      string
	Name         string
	Domain       string
	Rack         string
	Platform     string
	CPUMilli     int64
	MemoryMB     int64
	Accelerators int64
	UsageLagMS   int64
	Seed         uint64
	// Unlisted makes the worker not register itself on the membership list. It
	// is set if the process that starts the worker puts it on the list.
	Unlisted bool
}

// RunWorker serves a worker until ctx ends or the process receives SIGINT or
// SIGTERM.
func RunWorker(ctx context.Context, args WorkerArgs) error {
	ctx, cancel := contextUntilSignal(ctx)
	defer cancel()
	capacity := structs.Resources{CPUMilli: args.CPUMilli, MemoryMB: args.MemoryMB, Accelerators: args.Accelerators}
	options := WorkerOptions{Name: args.Name, Capacity: capacity, UsageLagMS: args.UsageLagMS, Seed: args.Seed}
	if args.Platform != "" {
		options.Objects = httpapi.New(httpapi.Options{Address: args.Platform})
	}
	w := NewWorker(clockwork.NewRealClock(), options)
	member := structs.Member{
		Name: args.Name, Role: structs.RoleWorker, Domain: args.Domain, Rack: args.Rack,
		Address: args.Address, State: structs.MemberLive, Capacity: capacity,
	}
	go func() { _ = w.Serve(ctx) }()
	return serveRegistered(ctx, args.Address, w.Handler(), registrationPlatform(args.Platform, args.Unlisted),
		func() structs.Member { return w.currentMember(member) })
}

func (w *Worker) currentMember(m structs.Member) structs.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		m.State = structs.MemberLeaving
	}
	return m
}
