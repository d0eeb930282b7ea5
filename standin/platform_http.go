package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/jonboulle/clockwork"

	"bergamotstile/httpserver"
	"bergamotstile/platform"
	"bergamotstile/platform/httpapi"
	"bergamotstile/structs"
)

// MembersRequest is the body of POST /members. With TTLMS, the set members
// leave the list unless they are set again in time.
type MembersRequest struct {
	Set    []structs.Member `json:"set,omitempty"`
	Remove []string         `json:"remove,omitempty"`
	TTLMS  int64            `json:"ttl_ms,omitempty"`
}

// Handler serves the platform's API, and POST /faults, POST /members and
// GET /stats for tests and the demo.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpapi.PathRead, p.serveRead)
	mux.HandleFunc("POST "+httpapi.PathScan, p.serveScan)
	mux.HandleFunc("POST "+httpapi.PathCommit, p.serveCommit)
	mux.HandleFunc("GET "+httpapi.PathMembership, p.serveList)
	mux.HandleFunc("PUT "+httpapi.PathObjects+"{name...}", p.servePut)
	mux.HandleFunc("GET "+httpapi.PathObjects+"{name...}", p.serveGet)
	mux.HandleFunc("HEAD "+httpapi.PathObjects+"{name...}", p.serveHead)
	mux.HandleFunc("POST /members", p.serveMembers)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Stats())
	})
	handleFaults(mux, p.Faults, p.SetFaults)
	return mux
}

// handleFaults serves GET and POST /faults.
func handleFaults[F any](mux *http.ServeMux, get func() F, set func(F)) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, get())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		if !readJSON(w, r, &f) {
			return
		}
		set(f)
		writeJSON(w, http.StatusOK, f)
	})
}

// Start serves the platform on address until the server is closed.
func (p *Platform) Start(address string) (*httpserver.Server, error) {
	return httpserver.Start(address, p.Handler())
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	var req httpapi.ReadRequest
	if !readJSON(w, r, &req) {
		return
	}
	rows, err := p.Read(lasting(r), req.Keys...)
	answerRead(w, httpapi.RowsResponse{Rows: rows}, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var req httpapi.ScanRequest
	if !readJSON(w, r, &req) {
		return
	}
	rows, err := p.Scan(lasting(r), req.Prefix, req.After, req.Limit)
	answerRead(w, httpapi.RowsResponse{Rows: rows}, err)
}

// serveList answers 304 if the client has the list already. The tag names this
// process too, since versions start again with it.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := p.List(lasting(r))
	if err != nil {
		refuse(w, err, "")
		return
	}
	etag := fmt.Sprintf("\"%d-%d\"", p.started.UnixNano(), list.Version)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func answerRead(w http.ResponseWriter, body any, err error) {
	if err != nil {
		refuse(w, err, "")
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx platform.Transaction
	if !readJSON(w, r, &tx) {
		return
	}
	result, err := p.Commit(lasting(r), tx)
	if err != nil {
		refuse(w, err, tx.WriteID)
		return
	}
	writeJSON(w, http.StatusOK, httpapi.CommitResponse{WriteID: tx.WriteID, Version: result.Version})
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		dropConnection(w)
		return
	}
	if err := p.Put(lasting(r), r.PathValue("name"), data); err != nil {
		refuse(w, err, "")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	data, err := p.Get(lasting(r), r.PathValue("name"))
	if err != nil {
		refuse(w, err, "")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	writeBody(w, http.StatusOK, data)
}

// serveHead always sets a length: without one nbhttp ends the answer to a HEAD
// with an empty chunk, which breaks the connection.
func (p *Platform) serveHead(w http.ResponseWriter, r *http.Request) {
	size, err := p.Head(lasting(r), r.PathValue("name"))
	status := http.StatusOK
	switch {
	case errors.Is(err, platform.ErrNotFound):
		status = http.StatusNotFound
	case err != nil:
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	w.WriteHeader(status)
}

func (p *Platform) serveMembers(w http.ResponseWriter, r *http.Request) {
	var req MembersRequest
	if !readJSON(w, r, &req) {
		return
	}
	for _, m := range req.Set {
		p.SetMemberFor(m, millis(req.TTLMS))
	}
	for _, name := range req.Remove {
		p.RemoveMember(name)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// refuse answers with a refusal, or drops the connection if the caller is not
// meant to learn the outcome.
func refuse(w http.ResponseWriter, err error, writeID string) {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, httpapi.ErrorResponse{
			Code: httpapi.CodeConflict, WriteID: writeID, Key: conflict.Key, Version: conflict.Version,
		})
	case errors.Is(err, platform.ErrNotFound):
		writeJSON(w, http.StatusNotFound, httpapi.ErrorResponse{Code: httpapi.CodeNotFound, Detail: err.Error()})
	case errors.Is(err, platform.ErrUnavailable):
		writeJSON(w, http.StatusServiceUnavailable, httpapi.ErrorResponse{
			Code: httpapi.CodeUnavailable, WriteID: writeID, Detail: err.Error(),
		})
	default:
		dropConnection(w)
	}
}

// ArgsPlatform are the options of a platform process.
type ArgsPlatform struct {
	Address   string
	Seed      uint64
	ListLagMS int64
}

// RunPlatform serves a platform until ctx ends or the process is told to stop.
func RunPlatform(ctx context.Context, args ArgsPlatform) error {
	ctx, cancel := untilSignal(ctx)
	defer cancel()
	p := NewPlatform(clockwork.NewRealClock(), args.Seed)
	p.SetFaults(PlatformFaults{ListLagMS: args.ListLagMS})
	return serve(ctx, args.Address, p.Handler())
}
