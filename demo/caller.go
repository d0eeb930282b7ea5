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

// callTimeout bounds the time from the start of a call to its complete answer.
const callTimeout = 5 * time.Second

// httpCaller sends all calls of the demo, each on a connection of its own.
var httpCaller = standin.NewCaller(callTimeout)

// balancer picks instances in turn among those that were ready at the latest
// poll, as a load balancer in front of the instances does.
type balancer struct {
	instances []*entryInstance
	next      atomic.Uint64
	mu        sync.Mutex
	ready     map[*entryInstance]bool // result of the latest poll
}

// balancerPollInterval is the time between two polls of /readyz.
const balancerPollInterval = 150 * time.Millisecond

// newBalancer returns a balancer that has not polled the instances yet.
func newBalancer(instances []*entryInstance) *balancer {
	return &balancer{instances: instances, ready: map[*entryInstance]bool{}}
}

// pollUntilDone polls the instances until ctx ends.
func (b *balancer) pollUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		b.poll(ctx)
		sleep(ctx, balancerPollInterval)
	}
}

// poll asks all instances concurrently whether they are ready and returns the
// number of ready ones.
func (b *balancer) poll(ctx context.Context) int {
	var polls sync.WaitGroup
	var readyCount atomic.Int32
	for _, e := range b.instances {
		polls.Go(func() {
			httpStatus, _, err := sendRequest(ctx, http.MethodGet, e, "/readyz", nil, nil)
			ready := err == nil && httpStatus == http.StatusOK
			if ready {
				readyCount.Add(1)
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			b.ready[e] = ready
		})
	}
	polls.Wait()
	return int(readyCount.Load())
}

// pickInstance returns the next instance that was ready at the latest poll, or the
// next instance if none was ready.
func (b *balancer) pickInstance() *entryInstance {
	offset := b.next.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	n := uint64(len(b.instances))
	for i := range n {
		if e := b.instances[(offset+i)%n]; b.ready[e] {
			return e
		}
	}
	return b.instances[offset%n]
}

// sendRequest sends a request to an instance and returns the HTTP status and the
// body of the answer.
func sendRequest(ctx context.Context, method string, e *entryInstance, path string, headers map[string]string, body []byte) (int, []byte, error) {
	return httpCaller.Send(ctx, method, "http://"+e.settings.CallerAddress+path, headers, body)
}

// callInstance sends a request to an instance and decodes the JSON body of the
// answer into result. A refusal is returned as an error of type *structs.Refusal.
func callInstance(ctx context.Context, method string, e *entryInstance, path string, headers map[string]string, body []byte, result any) error {
	httpStatus, data, err := sendRequest(ctx, method, e, path, headers, body)
	if err != nil {
		return err
	}
	if httpStatus/100 != 2 {
		var refusal structs.Refusal
		if json.Unmarshal(data, &refusal) != nil || refusal.Reason == "" {
			return fmt.Errorf("status %d without a reason", httpStatus)
		}
		return &refusal
	}
	return json.Unmarshal(data, result)
}

// applyDeclaration applies a declaration through an instance and returns the
// version that it got.
func applyDeclaration(ctx context.Context, e *entryInstance, file []byte) (uint64, error) {
	var response callerapi.ApplyResponse
	headers := map[string]string{callerapi.HeaderOperator: "demo", callerapi.HeaderBaseVersion: "0"}
	err := callInstance(ctx, http.MethodPost, e, "/v1/declarations", headers, file, &response)
	return response.Version, err
}

// fetchStatus returns an instance's status.
func fetchStatus(ctx context.Context, e *entryInstance) (entry.Status, error) {
	var status entry.Status
	err := callInstance(ctx, http.MethodGet, e, "/v1/status", nil, nil, &status)
	return status, err
}

// submitWork submits a work item through an instance and returns its status.
func submitWork(ctx context.Context, e *entryInstance, item callerapi.Submit) (structs.WorkStatus, error) {
	var status structs.WorkStatus
	body, err := json.Marshal(item)
	if err != nil {
		return status, err
	}
	err = callInstance(ctx, http.MethodPost, e, "/v1/work", nil, body, &status)
	return status, err
}

// fetchWorkStatus returns the status of a work item.
func fetchWorkStatus(ctx context.Context, e *entryInstance, id structs.WorkID) (structs.WorkStatus, error) {
	var status structs.WorkStatus
	err := callInstance(ctx, http.MethodGet, e, "/v1/work/"+string(id), nil, nil, &status)
	return status, err
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// waitUntil calls holds every 50 ms until it returns true or ctx ends. condition
// describes the condition in the error.
func waitUntil(ctx context.Context, condition string, holds func() bool) error {
	for !holds() {
		if ctx.Err() != nil {
			return fmt.Errorf("timed out or was cancelled while waiting until %s", condition)
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return nil
}
