package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/runnerapi"
)

// DefaultSlots is the default number of requests that a runner runs at the same
// time.
const DefaultSlots = 8

// maxEventBodyBytes is the maximum number of bytes of a request's body that are kept
// in an event.
const maxEventBodyBytes = 256

// RunnerFaults are the faults that a runner injects.
type RunnerFaults struct {
	// DelayMS delays every answer by this many milliseconds after the request
	// ran.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Truncate sends only the first half of the answer.
	Truncate FaultTrigger `json:"truncate,omitzero"`
	// WrongID answers with the ID of another request.
	WrongID FaultTrigger `json:"wrong_id,omitzero"`
	// WrongBody answers with a body that does not match its digest.
	WrongBody FaultTrigger `json:"wrong_body,omitzero"`
	// DropAfterRun closes the connection after the request ran, without an
	// answer.
	DropAfterRun FaultTrigger `json:"drop_after_run,omitzero"`
	// Fail answers with status 500 after the request ran.
	Fail FaultTrigger `json:"fail,omitzero"`
}

// RunnerOptions configures a runner. If Slots is zero or less, DefaultSlots
// applies. ServiceMS is the time for which each request runs, in milliseconds.
type RunnerOptions struct {
	Name      string
	Slots     int
	ServiceMS int64
	// AnswerBytes pads every answer to at least this size.
	AnswerBytes int
	Seed        uint64
}

// RunnerEventKind says what happened to a request on a runner.
type RunnerEventKind string

// The kinds of runner events.
const (
	RunnerEventStart   RunnerEventKind = "start"
	RunnerEventFinish  RunnerEventKind = "finish"
	RunnerEventBusy    RunnerEventKind = "busy"
	RunnerEventLeaving RunnerEventKind = "leaving"
)

// RunnerEvent records one event of a request on a runner. Running is the number
// of requests that run after the event.
type RunnerEvent struct {
	Kind        RunnerEventKind `json:"kind"`
	UnixMS      int64           `json:"unix_ms"`
	Runner      string          `json:"runner"`
	ID          string          `json:"id"`
	Service     string          `json:"service"`
	RequestKind string          `json:"request_kind"`
	Body        string          `json:"body"`
	Running     int             `json:"running"`
}

// Runner is a stand-in of a runner. It answers each request after the service
// time with the request's body, and refuses requests while all slots are in use.
type Runner struct {
	options RunnerOptions
	clock   clockwork.Clock
	events  eventLog[RunnerEvent]

	mu            sync.Mutex
	faultInjector *faultInjector
	faults        RunnerFaults
	serviceTime   time.Duration
	running       int
	leaving       bool
}

// NewRunner returns an idle runner.
func NewRunner(clock clockwork.Clock, options RunnerOptions) *Runner {
	if options.Slots <= 0 {
		options.Slots = DefaultSlots
	}
	return &Runner{
		options: options, clock: clock, faultInjector: newFaultInjector(options.Seed), serviceTime: millis(options.ServiceMS),
	}
}

// SetFaults replaces the faults that the runner injects.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Faults returns the faults that the runner injects, with the remaining number
// of NextCalls in each trigger.
func (r *Runner) Faults() RunnerFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// SetServiceTime sets how long each request runs that starts from now on.
func (r *Runner) SetServiceTime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serviceTime = d
}

// Leave makes the runner refuse new requests. Requests that already run continue.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Health returns whether the runner is leaving and how many requests it runs.
func (r *Runner) Health() runnerapi.HealthReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return runnerapi.HealthReport{Leaving: r.leaving, RunningRequests: r.running}
}

// Events returns the recorded events after the first n.
func (r *Runner) Events(n int) []RunnerEvent {
	return r.events.since(n)
}

// response is a runner's answer to a request, including the faults injected into
// it.
type response struct {
	id             string
	digest         string
	body           []byte
	truncate       bool
	dropConnection bool
	fail           bool
}

// handle runs a request to its end, even if its caller no longer waits.
func (r *Runner) handle(d runnerapi.Dispatch) (response, error) {
	serviceTime, err := r.acquireSlot(d)
	if err != nil {
		return response{}, err
	}
	if serviceTime > 0 {
		r.clock.Sleep(serviceTime)
	}
	delay, res := r.releaseSlot(d)
	if delay > 0 {
		r.clock.Sleep(delay)
	}
	return res, nil
}

// acquireSlot takes a slot for a request and returns the time for which the
// request runs. It returns an error if the runner is leaving or has no free slot.
func (r *Runner) acquireSlot(d runnerapi.Dispatch) (time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.leaving:
		r.record(RunnerEventLeaving, d)
		return 0, runnerapi.ErrLeaving
	case r.running >= r.options.Slots:
		r.record(RunnerEventBusy, d)
		return 0, runnerapi.ErrBusy
	}
	r.running++
	r.record(RunnerEventStart, d)
	return r.serviceTime, nil
}

// releaseSlot frees the slot of a request. It returns the answer with the faults
// drawn for it, and the delay after which the answer is sent.
func (r *Runner) releaseSlot(d runnerapi.Dispatch) (time.Duration, response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.record(RunnerEventFinish, d)
	body := r.responseBody(d)
	res := response{id: d.ID, body: body, digest: runnerapi.ContentDigest(body)}
	if r.faultInjector.shouldInject(&r.faults.WrongID) {
		res.id = "of-another-request"
	}
	if r.faultInjector.shouldInject(&r.faults.WrongBody) {
		res.body = append([]byte{}, body...)
		res.body[0] ^= 1
	}
	res.truncate = r.faultInjector.shouldInject(&r.faults.Truncate)
	res.dropConnection = r.faultInjector.shouldInject(&r.faults.DropAfterRun)
	res.fail = r.faultInjector.shouldInject(&r.faults.Fail)
	return millis(r.faults.DelayMS), res
}

// responseBody returns the runner's name, the service and kind of the request,
// and the request's body, so that a caller can check that the answer belongs to
// its request.
func (r *Runner) responseBody(d runnerapi.Dispatch) []byte {
	body := fmt.Appendf(nil, "%s %s/%s %s", r.options.Name, d.Service, d.Kind, d.Body)
	for len(body) < r.options.AnswerBytes {
		body = append(body, ' ')
	}
	return body
}

func (r *Runner) record(kind RunnerEventKind, d runnerapi.Dispatch) {
	r.events.add(RunnerEvent{
		Kind: kind, UnixMS: r.clock.Now().UnixMilli(), Runner: r.options.Name, ID: d.ID,
		Service: d.Service, RequestKind: d.Kind, Running: r.running,
		Body: string(d.Body[:min(len(d.Body), maxEventBodyBytes)]),
	})
}

// RunnerClient implements runnerapi.Client by direct calls to runners in the same
// process.
type RunnerClient struct {
	mu        sync.Mutex
	byAddress map[string]*Runner
}

var _ runnerapi.Client = (*RunnerClient)(nil)

// Add makes a runner reachable at an address. If r is nil, no runner is reachable
// at the address any more.
func (c *RunnerClient) Add(address string, r *Runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddress == nil {
		c.byAddress = map[string]*Runner{}
	}
	c.byAddress[address] = r
}

func (c *RunnerClient) runnerAt(address string) (*Runner, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.byAddress[address]; r != nil {
		return r, nil
	}
	return nil, fmt.Errorf("%w: no runner at %s", runnerapi.ErrUnreachable, address)
}

// Health returns the health of the runner at address.
func (c *RunnerClient) Health(_ context.Context, address string) (runnerapi.HealthReport, error) {
	r, err := c.runnerAt(address)
	if err != nil {
		return runnerapi.HealthReport{}, err
	}
	return r.Health(), nil
}

// Dispatch runs a request on the runner at address. The request runs to its end
// even if ctx ends before.
func (c *RunnerClient) Dispatch(ctx context.Context, address string, d runnerapi.Dispatch) ([]byte, error) {
	r, err := c.runnerAt(address)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", runnerapi.ErrUnreachable, err)
	}
	type result struct {
		res response
		err error
	}
	done := make(chan result, 1)
	go func() {
		res, err := r.handle(d)
		done <- result{res, err}
	}()
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", runnerapi.ErrTimeout, ctx.Err())
	case out := <-done:
		if out.err != nil {
			return nil, out.err
		}
		return out.res.clientResult(d)
	}
}

// clientResult returns the body or the error that runnerapi.HTTPClient would
// return for this answer.
func (res response) clientResult(d runnerapi.Dispatch) ([]byte, error) {
	switch {
	case res.dropConnection, res.truncate, res.id != d.ID, res.digest != runnerapi.ContentDigest(res.body):
		return nil, fmt.Errorf("%w: fault injected", runnerapi.ErrIncomplete)
	case res.fail:
		return nil, fmt.Errorf("%w: fault injected", runnerapi.ErrFailed)
	}
	return res.body, nil
}
