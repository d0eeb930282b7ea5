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

// Handler serves the runner's API and, for tests and the demo, GET and POST
// /faults, POST /leave, POST /service-time and GET /events?since=n.
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
		writeRefusal(w, d.ID, err)
		return
	}
	res.write(w)
}

// readDispatch reads a request and checks that its body matches its digest.
func readDispatch(req *http.Request) (runnerapi.Dispatch, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return runnerapi.Dispatch{}, err
	}
	if req.Header.Get(structs.HeaderContentDigest) != runnerapi.ContentDigest(body) {
		return runnerapi.Dispatch{}, errors.New("digest does not match the body")
	}
	timeoutMS, _ := strconv.ParseInt(req.Header.Get(structs.HeaderTimeoutMS), 10, 64)
	return runnerapi.Dispatch{
		ID:      req.Header.Get(structs.HeaderRequestID),
		Service: req.PathValue("service"),
		Kind:    req.PathValue("kind"),
		Timeout: millis(timeoutMS),
		Body:    body,
	}, nil
}

func writeRefusal(w http.ResponseWriter, id string, err error) {
	refusal := runnerapi.RefusalBusy
	if errors.Is(err, runnerapi.ErrLeaving) {
		refusal = runnerapi.RefusalLeaving
	}
	w.Header().Set(runnerapi.HeaderRefusal, refusal)
	writeResponse(w, http.StatusServiceUnavailable, id, []byte(refusal))
}

func writeResponse(w http.ResponseWriter, status int, id string, body []byte) {
	w.Header().Set(structs.HeaderRequestID, id)
	w.Header().Set(structs.HeaderContentDigest, runnerapi.ContentDigest(body))
	writeBody(w, status, body)
}

// write sends the answer with the faults injected into it.
func (res response) write(w http.ResponseWriter) {
	w.Header().Set(structs.HeaderRequestID, res.id)
	w.Header().Set(structs.HeaderContentDigest, res.digest)
	switch {
	case res.dropConnection:
		dropConnection(w)
	case res.truncate:
		writeTruncated(w, res.body)
	case res.fail:
		writeBody(w, http.StatusInternalServerError, res.body)
	default:
		writeBody(w, http.StatusOK, res.body)
	}
}

// writeTruncated sends a Content-Length for the whole body, but only half of the
// body, and closes the connection.
func writeTruncated(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body[:len(body)/2])
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	dropConnection(w)
}

// RunnerArgs are the options of a runner process. Address is the address on which
// it listens. Platform is the address of the platform; if it is set, the runner
// registers itself on the platform's membership list.
type RunnerArgs struct {
	Address     string
	Name        string
	Domain      string
	Service     string
	Platform    string
	Slots       int
	ServiceMS   int64
	AnswerBytes int
	// DrainMS is how long the runner keeps serving after a signal or the end of
	// the context has requested its stop, in milliseconds. In that time it reports
	// itself as leaving and refuses requests. Zero or less selects
	// defaultRunnerDrain.
	DrainMS int64
	Seed    uint64
	// Unlisted makes the runner not register itself on the membership list. It
	// is set if the process that starts the runner puts it on the list.
	Unlisted bool
}

// runnerMaxConnections is the number of connections that a runner registers as
// its maximum. The deployments in examples declare the same number.
const runnerMaxConnections = 64

// defaultRunnerDrain is the default of DrainMS. It is longer than the default
// leaving bound of 3 s, so that each instance learns from the runner's own answers
// that it is leaving.
const defaultRunnerDrain = 4 * time.Second

// RunRunner serves a runner until ctx ends or the process receives SIGINT or
// SIGTERM. The runner then reports itself as leaving and refuses requests for the
// drain time before RunRunner returns.
func RunRunner(ctx context.Context, args RunnerArgs) error {
	stopCtx, cancel := contextUntilSignal(ctx)
	defer cancel()
	r := NewRunner(clockwork.NewRealClock(), RunnerOptions{
		Name: args.Name, Slots: args.Slots, ServiceMS: args.ServiceMS, AnswerBytes: args.AnswerBytes, Seed: args.Seed,
	})
	member := structs.Member{
		Name: args.Name, Role: structs.RoleRunner, Domain: args.Domain, Address: args.Address, Service: args.Service,
		State: structs.MemberLive, Slots: r.options.Slots, Connections: runnerMaxConnections,
	}
	drain := defaultRunnerDrain
	if args.DrainMS > 0 {
		drain = millis(args.DrainMS)
	}
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	go func() {
		<-stopCtx.Done()
		r.Leave()
		_ = sleep(serveCtx, drain)
		stopServing()
	}()
	return serveRegistered(serveCtx, args.Address, r.Handler(), registrationPlatform(args.Platform, args.Unlisted),
		func() structs.Member { return r.currentMember(member) })
}

func (r *Runner) currentMember(m structs.Member) structs.Member {
	if r.Health().Leaving {
		m.State = structs.MemberLeaving
	}
	return m
}
