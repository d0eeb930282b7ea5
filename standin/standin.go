// Package standin provides small stand-ins for the systems around bergamotstile:
// the platform, workers, runners and callers, and a TCP proxy that injects
// faults. The stand-ins of the platform, workers and runners can be called
// directly through the interfaces of their adapters and are also HTTP servers, so
// that they can run in a test, in the demo or as separate processes.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"bergamotstile/httpserver"
)

// FaultTrigger selects the calls into which a fault is injected: each of the next
// NextCalls calls, and after them each call with the given Probability.
type FaultTrigger struct {
	NextCalls   int     `json:"next,omitempty"`
	Probability float64 `json:"share,omitempty"`
}

// faultInjector decides with a seeded random generator into which calls a fault
// is injected. The stand-in that holds it guards it with its own mutex.
type faultInjector struct {
	random *rand.Rand
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{random: rand.New(rand.NewPCG(seed, seed))}
}

// shouldInject reports whether a fault is injected into the current call. While
// NextCalls is positive, it decrements NextCalls without a random draw.
func (i *faultInjector) shouldInject(trigger *FaultTrigger) bool {
	if trigger.NextCalls > 0 {
		trigger.NextCalls--
		return true
	}
	return trigger.Probability > 0 && i.random.Float64() < trigger.Probability
}

// readJSON decodes a request's body into out. If it cannot, it responds with 400
// and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: "bad_request", Detail: err.Error()})
		return false
	}
	return true
}

// uncancelledContext returns a context that is not cancelled when the client's
// connection closes: a call that has arrived takes effect even if its caller no
// longer waits for the response.
func uncancelledContext(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}

type errorBody struct {
	Error  string `json:"error"`
	Detail string `json:"detail,omitempty"`
}

// writeJSON responds with a JSON body. It sets the Content-Length, so that the
// client recognises a truncated response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"encode"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, status, data)
}

func writeBody(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// dropConnection closes the connection of a request. If nothing has been written
// yet, the client gets no response.
func dropConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := hijacker.Hijack(); err == nil && conn != nil {
		_ = conn.Close()
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func millis(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// serve serves a handler on address until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server, err := httpserver.Start(address, handler)
	if err != nil {
		return err
	}
	defer server.Close()
	<-ctx.Done()
	return nil
}

// contextUntilSignal returns a context that ends when ctx ends or the process
// receives SIGINT or SIGTERM.
func contextUntilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
}

// eventLog keeps the events of a stand-in, which tests and the demo use as
// evidence of what ran.
type eventLog[T any] struct {
	mu     sync.Mutex
	events []T
}

func (l *eventLog[T]) add(e T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
}

// since returns a copy of the events after the first n.
func (l *eventLog[T]) since(n int) []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	n = min(max(n, 0), len(l.events))
	return append([]T{}, l.events[n:]...)
}
