// Package admission is the queue in front of the slots of an endpoint. It
// serves callers in turn within a class, and refuses at once a request that it
// predicts to miss its deadline, so that the caller can still go elsewhere.
//
// Every refusal of this package is given before the request was dispatched.
package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/structs"
)

// Settings are the bounds of a queue.
type Settings struct {
	MaxWaiting          int // in total
	MaxWaitingPerCaller int
}

// DefaultSettings bounds a queue to about a second of work for 50 runners with
// 8 slots each and proofs of about 100 ms.
func DefaultSettings() Settings {
	return Settings{MaxWaiting: 4096, MaxWaitingPerCaller: 512}
}

// Waiter describes one request that wants a slot.
type Waiter struct {
	Caller   string
	Class    structs.Class
	Kind     string
	Deadline time.Time
}

// Refused reports a request that did not get a slot, and so did not run.
type Refused struct {
	Reason     structs.Reason
	RetryAfter time.Duration
	Detail     string
}

// Error returns the refusal as one line.
func (e *Refused) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
}

// Slots is where a queue takes slots from. Its methods are called with the
// queue's lock held and must not call the queue.
type Slots[S any] interface {
	// Take returns a free slot, if there is one.
	Take() (S, bool)
	// Size is the number of slots, free or not.
	Size() int
}

// Queue hands out slots, safe for concurrent use.
type Queue[S any] struct {
	settings Settings
	clock    clockwork.Clock
	slots    Slots[S]
	mu       sync.Mutex
	waiting  fairQueue[*ticket[S]]
	times    *serviceTimes
	granted  map[string]int // slots held, by kind
}

type ticket[S any] struct {
	waiter Waiter
	result chan grant[S] // holds one, so that the granter never blocks
}

type grant[S any] struct {
	slot S
	err  error
}

// NewQueue returns an empty queue.
func NewQueue[S any](settings Settings, clock clockwork.Clock, slots Slots[S]) *Queue[S] {
	return &Queue[S]{
		settings: settings, clock: clock, slots: slots,
		times: newServiceTimes(clock), granted: map[string]int{},
	}
}

// Len returns the number of requests that wait.
func (q *Queue[S]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.len()
}

// Check predicts whether a request would be answered in time, without
// queueing it. It returns a *Refused if not.
func (q *Queue[S]) Check(w Waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.predict(w)
}

// Acquire waits for a slot. It returns a *Refused if the request is refused,
// its deadline passes or ctx ends. Each slot must be given back with Done.
func (q *Queue[S]) Acquire(ctx context.Context, w Waiter) (S, error) {
	t, slot, err := q.enter(w)
	if t == nil {
		return slot, err
	}
	late := q.clock.NewTimer(w.Deadline.Sub(q.clock.Now()))
	defer late.Stop()
	select {
	case g := <-t.result:
		return g.slot, g.err
	case <-ctx.Done():
		return q.leave(t, "the caller left while the request waited")
	case <-late.Chan():
		return q.leave(t, "the deadline passed while the request waited")
	}
}

// enter takes a free slot or queues the request. The ticket is nil if the
// request does not wait.
func (q *Queue[S]) enter(w Waiter) (*ticket[S], S, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var none S
	q.serve()
	if err := q.predict(w); err != nil {
		return nil, none, err
	}
	if q.waiting.len() == 0 {
		if slot, ok := q.slots.Take(); ok {
			q.granted[w.Kind]++
			return nil, slot, nil
		}
	}
	if err := q.makeRoom(w); err != nil {
		return nil, none, err
	}
	t := &ticket[S]{waiter: w, result: make(chan grant[S], 1)}
	q.waiting.push(w.Class, w.Caller, t)
	return t, none, nil
}

// makeRoom applies the bounds. In a full queue it drops a less urgent request,
// or one of a caller that has more waiting, in favour of the new one.
func (q *Queue[S]) makeRoom(w Waiter) error {
	if q.waiting.callerLen(w.Caller) >= q.settings.MaxWaitingPerCaller {
		return q.refused(structs.ReasonCallerQueueFull, "%d requests of this caller wait", q.settings.MaxWaitingPerCaller)
	}
	if q.waiting.len() < q.settings.MaxWaiting {
		return nil
	}
	victim, ok := q.waiting.victim(w.Class, w.Caller)
	if !ok {
		return q.refused(structs.ReasonQueueFull, "%d requests wait", q.settings.MaxWaiting)
	}
	q.waiting.remove(victim.waiter.Class, victim.waiter.Caller, victim)
	victim.result <- grant[S]{err: q.refused(structs.ReasonShed, "dropped for a more urgent request or a caller with fewer waiting")}
	return nil
}

// leave takes a waiting request out. A request that was granted a slot at the
// same time keeps it.
func (q *Queue[S]) leave(t *ticket[S], detail string) (S, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting.remove(t.waiter.Class, t.waiter.Caller, t) {
		var none S
		return none, &Refused{Reason: structs.ReasonDeadlineExceeded, Detail: detail}
	}
	g := <-t.result
	return g.slot, g.err
}

// Done reports that a slot is free again. A positive took is the measured
// service time of the request, or the least it can have been.
func (q *Queue[S]) Done(kind string, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.granted[kind]--; q.granted[kind] <= 0 {
		delete(q.granted, kind)
	}
	if took > 0 {
		q.times.observe(kind, took)
	}
	q.serve()
}

// Kick gives free slots to waiting requests. It must be called when slots
// become free other than by Done.
func (q *Queue[S]) Kick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serve()
}

// serve hands free slots to waiting requests in their order.
func (q *Queue[S]) serve() {
	for q.dropLate() {
		slot, ok := q.slots.Take()
		if !ok {
			return
		}
		t, _ := q.waiting.pop()
		q.granted[t.waiter.Kind]++
		t.result <- grant[S]{slot: slot}
	}
}

// dropLate refuses requests at the head of the queue whose deadline passed and
// reports whether any request still waits.
func (q *Queue[S]) dropLate() bool {
	now := q.clock.Now()
	for {
		t, ok := q.waiting.peek()
		if !ok {
			return false
		}
		if now.Before(t.waiter.Deadline) {
			return true
		}
		q.waiting.pop()
		t.result <- grant[S]{err: &Refused{Reason: structs.ReasonDeadlineExceeded, Detail: "the deadline passed while the request waited"}}
	}
}

func (q *Queue[S]) refused(reason structs.Reason, format string, args ...any) *Refused {
	return &Refused{Reason: reason, RetryAfter: q.drainTime(q.waiting.len()), Detail: fmt.Sprintf(format, args...)}
}
