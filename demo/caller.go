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

// callTimeout ends calls that are not answered at all.
const callTimeout = 5 * time.Second

var httpCaller = standin.NewCaller(callTimeout)

// balancer picks instances that answered ready at its last look.
type balancer struct {
	instances []*entryInstance
	next      atomic.Uint64
	mu        sync.Mutex
	ready     map[*entryInstance]bool
}

// balancerPollInterval is the time between two looks at /readyz.
const balancerPollInterval = 150 * time.Millisecond

func newBalancer(entries []*entryInstance) *balancer {
	return &balancer{instances: entries, ready: map[*entryInstance]bool{}}
}

// runCallers looks at the instances until ctx ends.
func (b *balancer) pollUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		b.poll(ctx)
		sleep(ctx, balancerPollInterval)
	}
}

// poll asks all instances at once and reports how many are ready.
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

// pickInstance returns the next ready instance, or any if none is.
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

// sendWithRetry returns the status and body of an answer.
func sendRequest(ctx context.Context, method string, e *entryInstance, path string, headers map[string]string, body []byte) (int, []byte, error) {
	return httpCaller.Send(ctx, method, "http://"+e.settings.CallerAddress+path, headers, body)
}

// callInstance sends a request and decodes the JSON answer. A refusal is an error.
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

// applyDeclaration applies a declaration file through an instance.
func applyDeclaration(ctx context.Context, e *entryInstance, file []byte) (uint64, error) {
	var response callerapi.ApplyResponse
	headers := map[string]string{callerapi.HeaderOperator: "demo", callerapi.HeaderBaseVersion: "0"}
	err := callInstance(ctx, http.MethodPost, e, "/v1/declarations", headers, file, &response)
	return response.Version, err
}

// fetchStatus returns what an instance says of itself.
func fetchStatus(ctx context.Context, e *entryInstance) (entry.Status, error) {
	var status entry.Status
	err := callInstance(ctx, http.MethodGet, e, "/v1/status", nil, nil, &status)
	return status, err
}

// submitWork submits a work item.
func submitWork(ctx context.Context, e *entryInstance, item callerapi.Submit) (structs.WorkStatus, error) {
	var status structs.WorkStatus
	body, err := json.Marshal(item)
	if err != nil {
		return status, err
	}
	err = callInstance(ctx, http.MethodPost, e, "/v1/work", nil, body, &status)
	return status, err
}

// fetchWorkStatus asks for the account of a work item.
func fetchWorkStatus(ctx context.Context, e *entryInstance, id structs.WorkID) (structs.WorkStatus, error) {
	var status structs.WorkStatus
	err := callInstance(ctx, http.MethodGet, e, "/v1/work/"+string(id), nil, nil, &status)
	return status, err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// waitUntil polls until done reports true or ctx ends.
func waitUntil(ctx context.Context, condition string, holds func() bool) error {
	for !holds() {
		if ctx.Err() != nil {
			return fmt.Errorf("gave up waiting until %s", condition)
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return nil
}
