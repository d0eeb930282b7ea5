package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bergamotstile/callerapi"
	"bergamotstile/entry"
	"bergamotstile/standin"
	"bergamotstile/structs"
)

// callLimit ends calls that are not answered at all.
const callLimit = 5 * time.Second

var caller = standin.NewCaller(callLimit)

// balancer picks instances that answered ready at its last look.
type balancer struct {
	entries []*instance
	next    atomic.Uint64
	mu      sync.Mutex
	ready   map[*instance]bool
}

// balancerLook is the time between two looks at /readyz.
const balancerLook = 150 * time.Millisecond

func newBalancer(entries []*instance) *balancer {
	return &balancer{entries: entries, ready: map[*instance]bool{}}
}

// serve looks at the instances until ctx ends.
func (b *balancer) serve(ctx context.Context) {
	for ctx.Err() == nil {
		b.look(ctx)
		sleep(ctx, balancerLook)
	}
}

// look asks all instances at once and reports how many are ready.
func (b *balancer) look(ctx context.Context) int {
	var asked sync.WaitGroup
	var count atomic.Int32
	for _, e := range b.entries {
		asked.Go(func() {
			code, _, err := send(ctx, http.MethodGet, e, "/readyz", nil, nil)
			ready := err == nil && code == http.StatusOK
			if ready {
				count.Add(1)
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			b.ready[e] = ready
		})
	}
	asked.Wait()
	return int(count.Load())
}

// pick returns the next ready instance, or any if none is.
func (b *balancer) pick() *instance {
	first := b.next.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	n := uint64(len(b.entries))
	for i := range n {
		if e := b.entries[(first+i)%n]; b.ready[e] {
			return e
		}
	}
	return b.entries[first%n]
}

// send returns the status and body of an answer.
func send(ctx context.Context, method string, e *instance, path string, headers map[string]string, body []byte) (int, []byte, error) {
	return caller.Send(ctx, method, "http://"+e.settings.CallerAddress+path, headers, body)
}

// call sends a request and decodes the JSON answer. A refusal is an error.
func call(ctx context.Context, method string, e *instance, path string, headers map[string]string, body []byte, out any) error {
	code, data, err := send(ctx, method, e, path, headers, body)
	if err != nil {
		return err
	}
	if code/100 != 2 {
		var r structs.Refusal
		if json.Unmarshal(data, &r) != nil || r.Reason == "" {
			return fmt.Errorf("status %d without a reason", code)
		}
		return &r
	}
	return json.Unmarshal(data, out)
}

// apply applies a declaration file through an instance.
func apply(ctx context.Context, e *instance, file []byte) (uint64, error) {
	var applied callerapi.ApplyResponse
	headers := map[string]string{callerapi.HeaderOperator: "demo", callerapi.HeaderBaseVersion: "0"}
	err := call(ctx, http.MethodPost, e, "/v1/declarations", headers, file, &applied)
	return applied.Version, err
}

// status returns what an instance says of itself.
func status(ctx context.Context, e *instance) (entry.Status, error) {
	var s entry.Status
	err := call(ctx, http.MethodGet, e, "/v1/status", nil, nil, &s)
	return s, err
}

// submit submits a work item.
func submit(ctx context.Context, e *instance, s callerapi.Submit) (structs.WorkStatus, error) {
	var w structs.WorkStatus
	body, err := json.Marshal(s)
	if err != nil {
		return w, err
	}
	err = call(ctx, http.MethodPost, e, "/v1/work", nil, body, &w)
	return w, err
}

// account asks for the account of a work item.
func account(ctx context.Context, e *instance, id structs.WorkID) (structs.WorkStatus, error) {
	var w structs.WorkStatus
	err := call(ctx, http.MethodGet, e, "/v1/work/"+string(id), nil, nil, &w)
	return w, err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// wait polls until done reports true or ctx ends.
func wait(ctx context.Context, what string, done func() bool) error {
	for !done() {
		if ctx.Err() != nil {
			return fmt.Errorf("gave up waiting until %s", what)
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return nil
}
