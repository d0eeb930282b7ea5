// Package admission is the queue in front of the slots of an endpoint. Within a
// class of urgency, it serves callers in turn. It refuses a request at once if
// it predicts that the request would miss its deadline, so that the caller can
// still send it elsewhere.
//
// Every refusal of this package is given before the request is dispatched.
package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/structs"
)

// Settings bounds the number of requests that wait in a queue.
type Settings struct {
	MaxWaiting          int // over all callers
	MaxWaitingPerCaller int
}

// DefaultSettings bounds a queue to about one second of work for 50 runners
// with 8 slots each, if a request (a proof) takes about 100 ms.
func DefaultSettings() Settings {
	return Settings{MaxWaiting: 4096, MaxWaitingPerCaller: 512}
}

// Request describes a request that needs a slot.
type Request struct {
	Caller   string
	Class    structs.Class
	Kind     string
	Deadline time.Time
}

// RefusalError reports that a request did not get a slot and therefore did not
// run.
type RefusalError struct {
	Reason     structs.Reason
	RetryAfter time.Duration
	Detail     string
}

// Error returns the reason and the detail in one line.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
}

// Slots is the pool from which a queue takes slots. The queue calls its methods
// while holding the queue's lock, so they must not call the queue.
type Slots[S any] interface {
	// Take returns a free slot, or false if none is free.
	Take() (S, bool)
	// Size returns the total number of slots, free or not.
	Size() int
}

// Queue assigns slots to requests. It is safe for concurrent use.
type Queue[S any] struct {
	settings      Settings
	clock         clockwork.Clock
	slots         Slots[S]
	mu            sync.Mutex
	waiting       fairQueue[*ticket[S]]
	serviceTimes  *serviceTimes
	grantedByKind map[string]int // number of slots in use, by kind of request
}

// ticket is the place of a waiting request in the queue.
type ticket[S any] struct {
	request Request
	result  chan grant[S] // has a buffer of one, so that the sender never blocks
}

// grant is the outcome of a wait: a slot, or the error that ended the wait.
type grant[S any] struct {
	slot S
	err  error
}

// NewQueue returns an empty queue.
func NewQueue[S any](settings Settings, clock clockwork.Clock, slots Slots[S]) *Queue[S] {
	return &Queue[S]{
		settings: settings, clock: clock, slots: slots,
		serviceTimes: newServiceTimes(clock), grantedByKind: map[string]int{},
	}
}

// Len returns the number of waiting requests.
func (q *Queue[S]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.len()
}

// Check predicts, without queueing the request, whether it would finish before
// its deadline. It returns a *RefusalError if not.
func (q *Queue[S]) Check(r Request) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.checkDeadline(r)
}

// Acquire waits for a slot. It returns a *RefusalError if the request is
// refused, if its deadline passes or if ctx ends. The caller must give each
// slot back with Release.
func (q *Queue[S]) Acquire(ctx context.Context, r Request) (S, error) {
	t, slot, err := q.acquireOrEnqueue(r)
	if t == nil {
		return slot, err
	}
	deadlineTimer := q.clock.NewTimer(r.Deadline.Sub(q.clock.Now()))
	defer deadlineTimer.Stop()
	select {
	case g := <-t.result:
		return g.slot, g.err
	case <-ctx.Done():
		return q.abandonWait(t, "the caller left while the request waited")
	case <-deadlineTimer.Chan():
		return q.abandonWait(t, "the deadline passed while the request waited")
	}
}

// acquireOrEnqueue takes a free slot or queues the request. The returned ticket
// is nil if the request does not wait.
func (q *Queue[S]) acquireOrEnqueue(r Request) (*ticket[S], S, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var zero S
	q.grantFreeSlots()
	if err := q.checkDeadline(r); err != nil {
		return nil, zero, err
	}
	if q.waiting.len() == 0 {
		if slot, ok := q.slots.Take(); ok {
			q.grantedByKind[r.Kind]++
			return nil, slot, nil
		}
	}
	if err := q.enforceBounds(r); err != nil {
		return nil, zero, err
	}
	t := &ticket[S]{request: r, result: make(chan grant[S], 1)}
	q.waiting.push(r.Class, r.Caller, t)
	return t, zero, nil
}

// enforceBounds makes sure that the queue has space for the request. If the
// queue is full, it drops a less urgent request, or a request of a caller that
// has more requests waiting. It returns an error if the caller's own bound is
// reached or if nothing can be dropped.
func (q *Queue[S]) enforceBounds(r Request) error {
	if q.waiting.callerLen(r.Caller) >= q.settings.MaxWaitingPerCaller {
		return q.newRefusal(structs.ReasonCallerQueueFull, "%d requests of this caller wait", q.settings.MaxWaitingPerCaller)
	}
	if q.waiting.len() < q.settings.MaxWaiting {
		return nil
	}
	victim, ok := q.waiting.selectVictim(r.Class, r.Caller)
	if !ok {
		return q.newRefusal(structs.ReasonQueueFull, "%d requests wait", q.settings.MaxWaiting)
	}
	q.waiting.remove(victim.request.Class, victim.request.Caller, victim)
	victim.result <- grant[S]{err: q.newRefusal(structs.ReasonShed, "dropped for a more urgent request or a caller with fewer waiting")}
	return nil
}

// abandonWait removes a waiting request from the queue. If the wait has already
// ended with a slot or an error, abandonWait returns that.
func (q *Queue[S]) abandonWait(t *ticket[S], detail string) (S, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting.remove(t.request.Class, t.request.Caller, t) {
		var zero S
		return zero, &RefusalError{Reason: structs.ReasonDeadlineExceeded, Detail: detail}
	}
	g := <-t.result
	return g.slot, g.err
}

// Release reports that a slot is free again. A positive took is the measured
// service time of the request, or a lower bound of it; the queue adds it to its
// measurements.
func (q *Queue[S]) Release(kind string, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.grantedByKind[kind]--; q.grantedByKind[kind] <= 0 {
		delete(q.grantedByKind, kind)
	}
	if took > 0 {
		q.serviceTimes.observe(kind, took)
	}
	q.grantFreeSlots()
}

// GrantFreeSlots gives free slots to waiting requests. It must be called when
// slots become free without a call of Release.
func (q *Queue[S]) GrantFreeSlots() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantFreeSlots()
}

// grantFreeSlots gives free slots to the waiting requests in the order of the
// queue.
func (q *Queue[S]) grantFreeSlots() {
	for q.dropExpired() {
		slot, ok := q.slots.Take()
		if !ok {
			return
		}
		t, _ := q.waiting.pop()
		q.grantedByKind[t.request.Kind]++
		t.result <- grant[S]{slot: slot}
	}
}

// dropExpired refuses the requests at the head of the queue whose deadline has
// passed. It reports whether any request still waits.
func (q *Queue[S]) dropExpired() bool {
	now := q.clock.Now()
	for {
		t, ok := q.waiting.peek()
		if !ok {
			return false
		}
		if now.Before(t.request.Deadline) {
			return true
		}
		q.waiting.pop()
		t.result <- grant[S]{err: &RefusalError{Reason: structs.ReasonDeadlineExceeded, Detail: "the deadline passed while the request waited"}}
	}
}

// newRefusal returns a refusal whose RetryAfter is the expected time to serve
// all waiting requests.
func (q *Queue[S]) newRefusal(reason structs.Reason, format string, args ...any) *RefusalError {
	return &RefusalError{Reason: reason, RetryAfter: q.drainTime(q.waiting.len()), Detail: fmt.Sprintf(format, args...)}
}
