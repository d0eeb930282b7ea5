package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/httpserver"
	"bergamotstile/runnerapi"
	"bergamotstile/structs"
)

// ServiceTimeRequest is the body of POST /service-time.
type ServiceTimeRequest struct {
	ServiceMS int64 `json:"service_ms"`
}

// Handler serves the runner's API, and POST /faults, POST /leave,
// POST /service-time and GET /events?since=n for tests and the demo.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+runnerapi.PathRun+"{service}/{kind}", r.serveRun)
	mux.HandleFunc("GET "+runnerapi.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, r.Health())
	})
	mux.HandleFunc("POST /service-time", func(w http.ResponseWriter, req *http.Request) {
		var body ServiceTimeRequest
		if !readJSON(w, req, &body) {
			return
		}
		r.SetServiceTime(millis(body.ServiceMS))
		writeJSON(w, http.StatusOK, body)
	})
	handlePost(mux, "/leave", r.Leave)
	handleEvents(mux, r.Events)
	handleFaults(mux, r.Faults, r.SetFaults)
	return mux
}

// Start serves the runner on address until the server is closed.
func (r *Runner) Start(address string) (*httpserver.Server, error) {
	return httpserver.Start(address, r.Handler())
}

func (r *Runner) serveRun(w http.ResponseWriter, req *http.Request) {
	d, err := readDispatch(req)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: "bad_request", Detail: err.Error()})
		return
	}
	res, err := r.handle(d)
	if err != nil {
		serveRefusal(w, d.ID, err)
		return
	}
	res.serve(w)
}

// readDispatch reads a request and checks that it is whole.
func readDispatch(req *http.Request) (runnerapi.Dispatch, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return runnerapi.Dispatch{}, err
	}
	if req.Header.Get(structs.HeaderContentDigest) != runnerapi.ContentDigest(body) {
		return runnerapi.Dispatch{}, errors.New("digest does not match the body")
	}
	timeout, _ := strconv.ParseInt(req.Header.Get(structs.HeaderTimeoutMS), 10, 64)
	return runnerapi.Dispatch{
		ID:      req.Header.Get(structs.HeaderRequestID),
		Service: req.PathValue("service"),
		Kind:    req.PathValue("kind"),
		Timeout: millis(timeout),
		Body:    body,
	}, nil
}

func serveRefusal(w http.ResponseWriter, id string, err error) {
	refusal := runnerapi.RefusalBusy
	if errors.Is(err, runnerapi.ErrLeaving) {
		refusal = runnerapi.RefusalLeaving
	}
	w.Header().Set(runnerapi.HeaderRefusal, refusal)
	serveAnswer(w, http.StatusServiceUnavailable, id, []byte(refusal))
}

func serveAnswer(w http.ResponseWriter, status int, id string, body []byte) {
	w.Header().Set(structs.HeaderRequestID, id)
	w.Header().Set(structs.HeaderContentDigest, runnerapi.ContentDigest(body))
	writeBody(w, status, body)
}

// serve sends the answer as the faults have it.
func (res response) serve(w http.ResponseWriter) {
	w.Header().Set(structs.HeaderRequestID, res.id)
	w.Header().Set(structs.HeaderContentDigest, res.digest)
	switch {
	case res.drop:
		dropConnection(w)
	case res.truncate:
		truncate(w, res.body)
	case res.fail:
		writeBody(w, http.StatusInternalServerError, res.body)
	default:
		writeBody(w, http.StatusOK, res.body)
	}
}

// truncate announces the whole body, sends half of it and closes the
// connection.
func truncate(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body[:len(body)/2])
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	dropConnection(w)
}

// ArgsRunner are the options of a runner process. With Platform, the runner
// registers itself on the list.
type ArgsRunner struct {
	Address     string
	Name        string
	Domain      string
	Service     string
	Platform    string
	Slots       int
	ServiceMS   int64
	AnswerBytes int
	// DrainMS is how long the runner answers as leaving before it ends.
	DrainMS int64
	Seed    uint64
	// Unlisted keeps the stand-in off the membership list, where someone else
	// lists it.
	Unlisted bool
}

// runnerConnections is what runners accept, by the deployments' figures.
const runnerConnections = 64

// runnerDrain is the default of DrainMS. It is above the leaving bound of 3 s,
// so that every instance learns of the leave from the runner itself.
const runnerDrain = 4 * time.Second

// RunRunner serves a runner until ctx ends or the process is told to stop. It
// then answers as leaving for a while before it ends.
func RunRunner(ctx context.Context, args ArgsRunner) error {
	stopped, cancel := untilSignal(ctx)
	defer cancel()
	r := NewRunner(clockwork.NewRealClock(), RunnerOptions{
		Name: args.Name, Slots: args.Slots, ServiceMS: args.ServiceMS, AnswerBytes: args.AnswerBytes, Seed: args.Seed,
	})
	member := structs.Member{
		Name: args.Name, Role: structs.RoleRunner, Domain: args.Domain, Address: args.Address, Service: args.Service,
		State: structs.MemberLive, Slots: r.options.Slots, Connections: runnerConnections,
	}
	drain := runnerDrain
	if args.DrainMS > 0 {
		drain = millis(args.DrainMS)
	}
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go func() {
		<-stopped.Done()
		r.Leave()
		_ = sleep(serving, drain)
		end()
	}()
	return serveRegistered(serving, args.Address, r.Handler(), listedOn(args.Platform, args.Unlisted),
		func() structs.Member { return r.member(member) })
}

func (r *Runner) member(m structs.Member) structs.Member {
	if r.Health().Leaving {
		m.State = structs.MemberLeaving
	}
	return m
}
