// Package callerapi is the HTTP API for callers and operators. It validates requests
// strictly, and answers every failure with a JSON refusal that says whether the work ran.
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

// Work submits, reports and cancels work items. Domain is the failure domain that the
// caller names, or "" if it names none.
type Work interface {
	Submit(ctx context.Context, submit Submit) (structs.WorkStatus, error)
	Status(ctx context.Context, domain string, id structs.WorkID) (structs.WorkStatus, error)
	Cancel(ctx context.Context, domain string, id structs.WorkID) (structs.WorkStatus, error)
}

// Declarations applies a declaration file and returns the version that it becomes.
type Declarations interface {
	Apply(ctx context.Context, operator string, base uint64, file []byte) (uint64, error)
}

// RequestKind holds the declared properties of one kind of request of a service.
type RequestKind struct {
	Class      structs.Class
	Idempotent bool
	Timeout    time.Duration // for requests that name none; zero selects the limit
}

// Catalog looks up the declared services and kinds of requests.
type Catalog interface {
	// Service reports whether the service is declared.
	Service(service string) bool
	// Kind returns false if the service does not declare the kind.
	Kind(service, kind string) (RequestKind, bool)
}

// Instance reports the state of the instance that serves the API.
type Instance interface {
	// Ready returns a *structs.Refusal while the instance should receive no
	// requests.
	Ready() error
	// Status returns the value that /v1/status encodes as JSON.
	Status(ctx context.Context) (any, error)
}

// Config holds the settings and handlers of the API. Calls whose handler is nil are
// refused with not_ready.
type Config struct {
	Requests     Requests
	Work         Work
	Declarations Declarations
	Catalog      Catalog
	Instance     Instance
	Metrics      *metrics.Set
	// RequestTimeoutMax is the largest timeout that a caller may request.
	RequestTimeoutMax time.Duration
}

// Size limits in bytes of the input that clients send.
const (
	// MaxRequestBytes bounds the body of a latency-critical request.
	MaxRequestBytes = 1 << 20
	// MaxWorkBytes bounds the body of a submit, in which the payload is in base64.
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

// New returns the HTTP handler of the API.
func New(c Config) http.Handler {
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.RequestTimeoutMax <= 0 {
		c.RequestTimeoutMax = 1500 * time.Millisecond
	}
	a := &api{Config: c}
	mux := http.NewServeMux()
	a.handleMethods(mux, "/v1/requests/{service}/{kind}", methodHandlers{http.MethodPost: a.handleRequest})
	a.handleMethods(mux, "/v1/work", methodHandlers{http.MethodPost: a.handleSubmit})
	a.handleMethods(mux, "/v1/work/{id}", methodHandlers{http.MethodGet: a.handleWorkStatus, http.MethodDelete: a.handleCancel})
	a.handleMethods(mux, "/v1/declarations", methodHandlers{http.MethodPost: a.handleApply})
	a.handleMethods(mux, "/v1/status", methodHandlers{http.MethodGet: a.handleInstanceStatus})
	a.handleMethods(mux, "/healthz", methodHandlers{http.MethodGet: a.handleHealth})
	a.handleMethods(mux, "/readyz", methodHandlers{http.MethodGet: a.handleReady})
	a.handleMethods(mux, "/debug/vars", methodHandlers{http.MethodGet: a.handleVars})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		a.refuse(w, structs.NotRun(structs.ReasonNotFound, "no such path"))
	})
	return a.rejectAmbiguous(mux)
}

// rejectAmbiguous refuses messages that a balancer and this server may interpret
// differently, and paths that the mux would redirect.
func (a *api) rejectAmbiguous(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isAmbiguousLength(r.Header) {
			w.Header().Set("Connection", "close")
			a.refuse(w, structs.NotRun(structs.ReasonBadRequest, "the length of the body is given in two ways"))
			return
		}
		// The mux would redirect such a path, and a client that follows the redirect
		// may drop the body or the method.
		if r.URL.Path != path.Clean(r.URL.Path) {
			a.refuse(w, structs.NotRun(structs.ReasonNotFound, "no such path"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isAmbiguousLength reports whether the header has several lengths, or a length and a
// transfer coding. nbhttp uses the first length. A balancer that uses another one would
// take the rest of the body for the next caller's request, or the reverse.
func isAmbiguousLength(h http.Header) bool {
	lengths := len(h.Values("Content-Length"))
	return lengths > 1 || lengths == 1 && len(h.Values("Transfer-Encoding")) > 0
}

// handlerFunc answers a request, or returns a refusal or another error.
type handlerFunc func(w http.ResponseWriter, r *http.Request) error

// methodHandlers holds the handler of each HTTP method of a path.
type methodHandlers map[string]handlerFunc

// handleMethods registers the handlers of a path. Other methods are refused with a JSON
// body, which method patterns of the mux would not do.
func (a *api) handleMethods(mux *http.ServeMux, pattern string, handlers methodHandlers) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		handle, ok := handlers[r.Method]
		if !ok {
			a.refuseMethod(w, r, handlers)
			return
		}
		if err := handle(w, r); err != nil {
			a.refuse(w, structs.AsRefusal(err))
		}
	})
}
