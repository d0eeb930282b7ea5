// Package callerapi is the HTTP API for callers and operators. It checks what
// it reads strictly, and turns every failure into a JSON refusal that tells
// whether the work ran.
package callerapi

import (
	"context"
	"net/http"
	"path"
	"time"

	"bergamotstile/metrics"
	"bergamotstile/structs"
)

// Requests handles latency-critical requests.
type Requests interface {
	Handle(ctx context.Context, req structs.Request) (structs.Answer, error)
}

// Work handles work items. Domain is the failure domain that the caller
// names, or "".
type Work interface {
	Submit(ctx context.Context, submit Submit) (structs.WorkStatus, error)
	Status(ctx context.Context, domain string, id structs.WorkID) (structs.WorkStatus, error)
	Cancel(ctx context.Context, domain string, id structs.WorkID) (structs.WorkStatus, error)
}

// Declarations applies a declaration file and returns its version.
type Declarations interface {
	Apply(ctx context.Context, operator string, base uint64, file []byte) (uint64, error)
}

// RequestKind is what is declared of one kind of a service's requests.
type RequestKind struct {
	Class      structs.Class
	Idempotent bool
	Timeout    time.Duration // of requests that name none; zero for the limit
}

// Catalog is the declared kinds of requests.
type Catalog interface {
	// Service reports whether the service is declared.
	Service(service string) bool
	// Kind returns false if the service has no such kind.
	Kind(service, kind string) (RequestKind, bool)
}

// Instance tells about the instance itself.
type Instance interface {
	// Ready returns a *structs.Refusal while the instance should receive no
	// requests.
	Ready() error
	// Status returns a value for the JSON of /v1/status.
	Status(ctx context.Context) (any, error)
}

// Config is what the API is made of. A nil part refuses with not_ready.
type Config struct {
	Requests     Requests
	Work         Work
	Declarations Declarations
	Catalog      Catalog
	Instance     Instance
	Metrics      *metrics.Set
	// RequestTimeoutMax is the largest timeout that a caller may name.
	RequestTimeoutMax time.Duration
}

// Limits of what is read.
const (
	// MaxRequestBytes bounds the body of a latency-critical request.
	MaxRequestBytes = 1 << 20
	// MaxWorkBytes bounds a submit, whose payload is in base64.
	MaxWorkBytes = 1 << 20
	// MaxDeclarationBytes bounds a declaration file.
	MaxDeclarationBytes = 4 << 20
	maxKeyBytes         = 200
	maxNameBytes        = 64
	maxCallerBytes      = 128
)

type api struct {
	Config
}

// New returns the handler of the API.
func New(c Config) http.Handler {
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.RequestTimeoutMax <= 0 {
		c.RequestTimeoutMax = 1500 * time.Millisecond
	}
	a := &api{Config: c}
	mux := http.NewServeMux()
	a.route(mux, "/v1/requests/{service}/{kind}", methods{http.MethodPost: a.request})
	a.route(mux, "/v1/work", methods{http.MethodPost: a.submit})
	a.route(mux, "/v1/work/{id}", methods{http.MethodGet: a.status, http.MethodDelete: a.cancel})
	a.route(mux, "/v1/declarations", methods{http.MethodPost: a.apply})
	a.route(mux, "/v1/status", methods{http.MethodGet: a.instanceStatus})
	a.route(mux, "/healthz", methods{http.MethodGet: a.health})
	a.route(mux, "/readyz", methods{http.MethodGet: a.ready})
	a.route(mux, "/debug/vars", methods{http.MethodGet: a.vars})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		a.refuse(w, structs.NotRun(structs.ReasonNotFound, "no such path"))
	})
	return a.checked(mux)
}

// checked refuses messages whose meaning depends on who reads them.
func (a *api) checked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isAmbiguousLength(r.Header) {
			w.Header().Set("Connection", "close")
			a.refuse(w, structs.NotRun(structs.ReasonBadRequest, "the length of the body is given in two ways"))
			return
		}
		// The mux would answer such a path with a redirect, and a client that
		// follows one may drop the body or the method.
		if r.URL.Path != path.Clean(r.URL.Path) {
			a.refuse(w, structs.NotRun(structs.ReasonNotFound, "no such path"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isAmbiguousLength reports two lengths, or a length beside a transfer coding.
// nbhttp takes the first length; a balancer that takes another would see the
// rest of the body as the next caller's request, or the reverse.
func isAmbiguousLength(h http.Header) bool {
	lengths := len(h.Values("Content-Length"))
	return lengths > 1 || lengths == 1 && len(h.Values("Transfer-Encoding")) > 0
}

// endpoint answers a request or returns a refusal.
type endpoint func(w http.ResponseWriter, r *http.Request) error

type methods map[string]endpoint

// route registers a path. A method that it does not have is refused as JSON
// too, which the mux's own method patterns would not do.
func (a *api) route(mux *http.ServeMux, pattern string, m methods) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		serve, ok := m[r.Method]
		if !ok {
			a.refuseMethod(w, r, m)
			return
		}
		if err := serve(w, r); err != nil {
			a.refuse(w, structs.AsRefusal(err))
		}
	})
}
