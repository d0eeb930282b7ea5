package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/runnerapi"
)

// DefaultSlots is how many requests a runner runs at once.
const DefaultSlots = 8

// maxEventBody bounds the part of a request's body that an event keeps.
const maxEventBody = 256

// RunnerFaults are the faults of a runner.
type RunnerFaults struct {
	// DelayMS delays every answer after the request ran.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Truncate cuts the answer off half way.
	Truncate Chance `json:"truncate,omitzero"`
	// WrongID answers with the ID of another request.
	WrongID Chance `json:"wrong_id,omitzero"`
	// WrongBody answers with a body that does not match its digest.
	WrongBody Chance `json:"wrong_body,omitzero"`
	// DropAfterRun closes the connection without an answer after the request
	// ran.
	DropAfterRun Chance `json:"drop_after_run,omitzero"`
	// Fail answers 500 after the request ran.
	Fail Chance `json:"fail,omitzero"`
}

// RunnerOptions configures a runner. Zero Slots select DefaultSlots.
type RunnerOptions struct {
	Name      string
	Slots     int
	ServiceMS int64
	// AnswerBytes pads every answer to at least this size.
	AnswerBytes int
	Seed        uint64
}

// RunnerEventKind tells what happened to a request on a runner.
type RunnerEventKind string

// The kinds of runner events.
const (
	RunnerStart   RunnerEventKind = "start"
	RunnerFinish  RunnerEventKind = "finish"
	RunnerBusy    RunnerEventKind = "busy"
	RunnerLeaving RunnerEventKind = "leaving"
)

// RunnerEvent is the evidence of one event. Running counts the requests that
// run after it.
type RunnerEvent struct {
	Kind    RunnerEventKind `json:"kind"`
	UnixMS  int64           `json:"unix_ms"`
	Runner  string          `json:"runner"`
	ID      string          `json:"id"`
	Service string          `json:"service"`
	Request string          `json:"request_kind"`
	Body    string          `json:"body"`
	Running int             `json:"running"`
}

// Runner answers requests by echoing their body. It refuses above its slots.
type Runner struct {
	options RunnerOptions
	clock   clockwork.Clock
	events  eventLog[RunnerEvent]

	mu      sync.Mutex
	dice    *dice
	faults  RunnerFaults
	service time.Duration
	running int
	leaving bool
}

// NewRunner returns an idle runner.
func NewRunner(clock clockwork.Clock, options RunnerOptions) *Runner {
	if options.Slots <= 0 {
		options.Slots = DefaultSlots
	}
	return &Runner{
		options: options, clock: clock, dice: newDice(options.Seed), service: millis(options.ServiceMS),
	}
}

// SetFaults replaces the faults.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Faults returns the faults that are set.
func (r *Runner) Faults() RunnerFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// SetServiceTime sets how long a request runs.
func (r *Runner) SetServiceTime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service = d
}

// Leave makes the runner refuse new requests; those that run finish.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Health is what the runner says of itself.
func (r *Runner) Health() runnerapi.Health {
	r.mu.Lock()
	defer r.mu.Unlock()
	return runnerapi.Health{Leaving: r.leaving, Running: r.running}
}

// Events returns the events after the first n.
func (r *Runner) Events(n int) []RunnerEvent {
	return r.events.since(n)
}

// response is how a runner answers, as the faults have it.
type response struct {
	id       string
	digest   string
	body     []byte
	truncate bool
	drop     bool
	fail     bool
}

// handle runs a request to its end, whether its caller waits or not.
func (r *Runner) handle(d runnerapi.Dispatch) (response, error) {
	service, err := r.enter(d)
	if err != nil {
		return response{}, err
	}
	if service > 0 {
		r.clock.Sleep(service)
	}
	delay, res := r.leave(d)
	if delay > 0 {
		r.clock.Sleep(delay)
	}
	return res, nil
}

// enter takes a slot or refuses.
func (r *Runner) enter(d runnerapi.Dispatch) (time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.leaving:
		r.record(RunnerLeaving, d)
		return 0, runnerapi.ErrLeaving
	case r.running >= r.options.Slots:
		r.record(RunnerBusy, d)
		return 0, runnerapi.ErrBusy
	}
	r.running++
	r.record(RunnerStart, d)
	return r.service, nil
}

// leave frees the slot and draws the faults of the answer.
func (r *Runner) leave(d runnerapi.Dispatch) (time.Duration, response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.record(RunnerFinish, d)
	body := r.answer(d)
	res := response{id: d.ID, body: body, digest: runnerapi.ContentDigest(body)}
	if r.dice.strikes(&r.faults.WrongID) {
		res.id = "of-another-request"
	}
	if r.dice.strikes(&r.faults.WrongBody) {
		res.body = append([]byte{}, body...)
		res.body[0] ^= 1
	}
	res.truncate = r.dice.strikes(&r.faults.Truncate)
	res.drop = r.dice.strikes(&r.faults.DropAfterRun)
	res.fail = r.dice.strikes(&r.faults.Fail)
	return millis(r.faults.DelayMS), res
}

// answer names the request and echoes its body, so that callers can tell
// whether they received their own answer.
func (r *Runner) answer(d runnerapi.Dispatch) []byte {
	body := fmt.Appendf(nil, "%s %s/%s %s", r.options.Name, d.Service, d.Kind, d.Body)
	for len(body) < r.options.AnswerBytes {
		body = append(body, ' ')
	}
	return body
}

func (r *Runner) record(kind RunnerEventKind, d runnerapi.Dispatch) {
	r.events.add(RunnerEvent{
		Kind: kind, UnixMS: r.clock.Now().UnixMilli(), Runner: r.options.Name, ID: d.ID,
		Service: d.Service, Request: d.Kind, Running: r.running,
		Body: string(d.Body[:min(len(d.Body), maxEventBody)]),
	})
}

// Runners implements runnerapi.Client over runners in the same process.
type Runners struct {
	mu        sync.Mutex
	byAddress map[string]*Runner
}

var _ runnerapi.Client = (*Runners)(nil)

// Add makes a runner reachable at an address; nil makes it unreachable.
func (f *Runners) Add(address string, r *Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byAddress == nil {
		f.byAddress = map[string]*Runner{}
	}
	f.byAddress[address] = r
}

func (f *Runners) at(address string) (*Runner, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.byAddress[address]; r != nil {
		return r, nil
	}
	return nil, fmt.Errorf("%w: nothing at %s", runnerapi.ErrUnreachable, address)
}

// Health asks the runner at address.
func (f *Runners) Health(_ context.Context, address string) (runnerapi.Health, error) {
	r, err := f.at(address)
	if err != nil {
		return runnerapi.Health{}, err
	}
	return r.Health(), nil
}

// Dispatch runs a request at address. The request runs to its end even if ctx
// ends before.
func (f *Runners) Dispatch(ctx context.Context, address string, d runnerapi.Dispatch) ([]byte, error) {
	r, err := f.at(address)
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
		return out.res.received(d)
	}
}

// received is what the adapter makes of the answer.
func (res response) received(d runnerapi.Dispatch) ([]byte, error) {
	switch {
	case res.drop, res.truncate, res.id != d.ID, res.digest != runnerapi.ContentDigest(res.body):
		return nil, fmt.Errorf("%w: fault injected", runnerapi.ErrIncomplete)
	case res.fail:
		return nil, fmt.Errorf("%w: fault injected", runnerapi.ErrFailed)
	}
	return res.body, nil
}
