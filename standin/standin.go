// Package standin holds small stand-ins for the systems around bergamotstile:
// the platform, workers, runners, callers and a TCP proxy that injects faults. Each is
// a type that implements the interface directly and also an HTTP server, so
// that it can run in a test, in the demo or as a process of its own.
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

// Chance decides whether a fault strikes: first for the next Next calls, then
// for a share of the calls.
type Chance struct {
	Next  int     `json:"next,omitempty"`
	Share float64 `json:"share,omitempty"`
}

// dice draws chances from a seeded source. Its owner guards it with a mutex.
type dice struct {
	random *rand.Rand
}

func newDice(seed uint64) *dice {
	return &dice{random: rand.New(rand.NewPCG(seed, seed))}
}

// strikes draws once and uses up one of the next calls.
func (d *dice) strikes(c *Chance) bool {
	if c.Next > 0 {
		c.Next--
		return true
	}
	return c.Share > 0 && d.random.Float64() < c.Share
}

// readJSON decodes a request's body and answers 400 if it cannot.
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

// lasting returns a context that outlives the client's connection: a call that
// has arrived takes effect even if nobody waits for its answer any more.
func lasting(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}

type errorBody struct {
	Error  string `json:"error"`
	Detail string `json:"detail,omitempty"`
}

// writeJSON answers with a Content-Length, so that a cut answer is recognised.
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

// dropConnection closes the connection without an answer.
func dropConnection(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if c, _, err := h.Hijack(); err == nil && c != nil {
		_ = c.Close()
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// serve runs a handler until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server, err := httpserver.Start(address, handler)
	if err != nil {
		return err
	}
	defer server.Close()
	<-ctx.Done()
	return nil
}

// untilSignal returns a context that ends on SIGINT or SIGTERM.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
}

// eventLog keeps the evidence that tests and the demo read.
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
