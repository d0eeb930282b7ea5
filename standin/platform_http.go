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

// MembersRequest is the body of POST /members. If TTLMS is positive, each member
// in Set is removed from the list unless it is set again within TTLMS
// milliseconds.
type MembersRequest struct {
	Set    []structs.Member `json:"set,omitempty"`
	Remove []string         `json:"remove,omitempty"`
	TTLMS  int64            `json:"ttl_ms,omitempty"`
}

// Handler serves the platform's API and, for tests and the demo, GET and POST
// /faults, POST /members and GET /stats.
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

// handleFaults serves GET /faults, which returns the injected faults, and
// POST /faults, which replaces them.
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
	rows, err := p.Read(uncancelledContext(r), req.Keys...)
	writeReadResponse(w, httpapi.RowsResponse{Rows: rows}, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var req httpapi.ScanRequest
	if !readJSON(w, r, &req) {
		return
	}
	rows, err := p.Scan(uncancelledContext(r), req.Prefix, req.After, req.Limit)
	writeReadResponse(w, httpapi.RowsResponse{Rows: rows}, err)
}

// serveList responds with 304 if the client already has the current version of
// the list. The ETag also contains the time at which the platform started, since
// a restarted platform numbers versions from the beginning again.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := p.List(uncancelledContext(r))
	if err != nil {
		writeErrorResponse(w, err, "")
		return
	}
	etag := fmt.Sprintf("\"%d-%d\"", p.startedAt.UnixNano(), list.Version)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func writeReadResponse(w http.ResponseWriter, body any, err error) {
	if err != nil {
		writeErrorResponse(w, err, "")
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx platform.Transaction
	if !readJSON(w, r, &tx) {
		return
	}
	result, err := p.Commit(uncancelledContext(r), tx)
	if err != nil {
		writeErrorResponse(w, err, tx.WriteID)
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
	if err := p.Put(uncancelledContext(r), r.PathValue("name"), data); err != nil {
		writeErrorResponse(w, err, "")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	data, err := p.Get(uncancelledContext(r), r.PathValue("name"))
	if err != nil {
		writeErrorResponse(w, err, "")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	writeBody(w, http.StatusOK, data)
}

// serveHead always sets a Content-Length. Without one, nbhttp ends the response
// to a HEAD request with an empty chunk, which breaks the connection.
func (p *Platform) serveHead(w http.ResponseWriter, r *http.Request) {
	size, err := p.Head(uncancelledContext(r), r.PathValue("name"))
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

// writeErrorResponse responds with the status and code of the error. For any
// other error, such as a lost answer of a write, it drops the connection, so
// that the caller does not learn the outcome.
func writeErrorResponse(w http.ResponseWriter, err error, writeID string) {
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

// PlatformArgs are the options of a platform process. Address is the address on
// which it listens.
type PlatformArgs struct {
	Address   string
	Seed      uint64
	ListLagMS int64
}

// RunPlatform serves a platform until ctx ends or the process receives SIGINT or
// SIGTERM.
func RunPlatform(ctx context.Context, args PlatformArgs) error {
	ctx, cancel := contextUntilSignal(ctx)
	defer cancel()
	p := NewPlatform(clockwork.NewRealClock(), args.Seed)
	p.SetFaults(PlatformFaults{ListLagMS: args.ListLagMS})
	return serve(ctx, args.Address, p.Handler())
}
