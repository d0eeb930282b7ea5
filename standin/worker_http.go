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

// EventKind tells what happened to an attempt on a worker.
type EventKind string

// The kinds of worker events.
const (
	EventStart      EventKind = "start"
	EventStop       EventKind = "stop"
	EventFinish     EventKind = "finish"
	EventFail       EventKind = "fail"
	EventLapse      EventKind = "lapse"
	EventKilled     EventKind = "killed"
	EventRefuse     EventKind = "refuse"
	EventThrottle   EventKind = "throttle"
	EventCheckpoint EventKind = "checkpoint"
)

// WorkerEvent is the evidence of one event. Committed is the declared size of
// all running attempts after the event.
type WorkerEvent struct {
	Kind      EventKind         `json:"kind"`
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

// record adds an event; the caller has already changed what runs.
func (w *Worker) record(kind EventKind, t *task, detail string) {
	var committed structs.Resources
	for _, r := range w.running {
		committed = committed.Add(r.spec.Size)
	}
	w.events.add(WorkerEvent{
		Kind: kind, UnixMS: w.clock.Now().UnixMilli(), UptimeMS: w.uptimeMS(), BootID: w.bootID,
		Worker: w.options.Name, Attempt: t.attempt, WorkID: t.spec.ID(), Size: t.spec.Size,
		DoneMS: t.done.Milliseconds(), Committed: committed, Capacity: w.options.Capacity, Detail: detail,
	})
}

// Events returns the events after the first n.
func (w *Worker) Events(n int) []WorkerEvent {
	return w.events.since(n)
}

// Handler serves the worker's API, and POST /faults, POST /restart,
// POST /leave and GET /events?since=n for tests and the demo.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+workerapi.PathHeartbeat, serveWorker(w.Heartbeat))
	mux.HandleFunc("POST "+workerapi.PathStart, serveWorker(
		func(ctx context.Context, req workerapi.StartRequest) (workerapi.AttemptResponse, error) {
			return workerapi.AttemptResponse{Attempt: req.Attempt}, w.StartAttempt(ctx, req)
		}))
	mux.HandleFunc("POST "+workerapi.PathStop, serveWorker(w.StopAttempt))
	mux.HandleFunc("POST "+workerapi.PathThrottle, serveWorker(
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

// Serve takes note of time until ctx ends, so that tasks end between calls.
func (w *Worker) Serve(ctx context.Context) error {
	ticker := w.clock.NewTicker(workerTick)
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

const workerTick = 20 * time.Millisecond

func handlePost(mux *http.ServeMux, path string, act func()) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, _ *http.Request) {
		act()
		writeJSON(w, http.StatusOK, struct{}{})
	})
}

func handleEvents[E any](mux *http.ServeMux, events func(int) []E) {
	mux.HandleFunc("GET /events", func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.Atoi(r.URL.Query().Get("since"))
		writeJSON(w, http.StatusOK, events(n))
	})
}

func serveWorker[Req, Res any](call func(context.Context, Req) (Res, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if !readJSON(w, r, &req) {
			return
		}
		res, err := call(lasting(r), req)
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

// Workers implements workerapi.Client over workers in the same process.
type Workers struct {
	mu        sync.Mutex
	byAddress map[string]*Worker
}

var _ workerapi.Client = (*Workers)(nil)

// Add makes a worker reachable at an address; nil makes it unreachable.
func (f *Workers) Add(address string, w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byAddress == nil {
		f.byAddress = map[string]*Worker{}
	}
	f.byAddress[address] = w
}

func (f *Workers) at(address string) (*Worker, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.byAddress[address]; w != nil {
		return w, nil
	}
	return nil, fmt.Errorf("%w: nothing at %s", workerapi.ErrUnreachable, address)
}

// Heartbeat calls the worker at address.
func (f *Workers) Heartbeat(ctx context.Context, address string, req workerapi.HeartbeatRequest) (workerapi.HeartbeatResponse, error) {
	w, err := f.at(address)
	if err != nil {
		return workerapi.HeartbeatResponse{}, err
	}
	return w.Heartbeat(ctx, req)
}

// Start calls the worker at address.
func (f *Workers) Start(ctx context.Context, address string, req workerapi.StartRequest) error {
	w, err := f.at(address)
	if err != nil {
		return err
	}
	return w.StartAttempt(ctx, req)
}

// Stop calls the worker at address.
func (f *Workers) Stop(ctx context.Context, address string, req workerapi.StopRequest) (workerapi.StopResponse, error) {
	w, err := f.at(address)
	if err != nil {
		return workerapi.StopResponse{}, err
	}
	return w.StopAttempt(ctx, req)
}

// Throttle calls the worker at address.
func (f *Workers) Throttle(ctx context.Context, address string, req workerapi.ThrottleRequest) error {
	w, err := f.at(address)
	if err != nil {
		return err
	}
	return w.ThrottleAttempt(ctx, req)
}

// ArgsWorker are the options of a worker process. With Platform, the worker
// keeps checkpoints there and registers itself on the list.
type ArgsWorker struct {
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
	// Unlisted keeps the stand-in off the membership list, where someone else
	// lists it.
	Unlisted bool
}

// RunWorker serves a worker until ctx ends or the process is told to stop.
func RunWorker(ctx context.Context, args ArgsWorker) error {
	ctx, cancel := untilSignal(ctx)
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
	return serveRegistered(ctx, args.Address, w.Handler(), listedOn(args.Platform, args.Unlisted),
		func() structs.Member { return w.member(member) })
}

func (w *Worker) member(m structs.Member) structs.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		m.State = structs.MemberLeaving
	}
	return m
}
