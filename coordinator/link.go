package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Times of the calls to one runner.
const (
	holdWait = 500 * time.Millisecond
	// recordedWait replaces holdWait until the store has dropped the runner's
	// expiry, so that its leases are extended soon after.
	recordedWait = 50 * time.Millisecond
	// silentRetry is the pause between calls to a runner that does not answer.
	silentRetry = 250 * time.Millisecond
	// appliedWait bounds the wait for a report to be applied before the next call.
	// Leases have to be extended meanwhile.
	appliedWait = time.Second
	// storeWait bounds the wait for reported ends to be stored before the next
	// call, which would list them again.
	storeWait = 80 * time.Millisecond
	// maxOrders bounds the orders under way to one runner.
	maxOrders = 6
)

// Pauses between attempts at an order that is not answered.
const (
	firstOrderRetry = 100 * time.Millisecond
	maxOrderRetry   = 800 * time.Millisecond
	paceAttempts    = 3
)

// link is the connection to one runner. Its duty keeps the leases there alive
// and reports what the runner lists.
type link struct {
	t       *leader
	runner  string
	orders  chan struct{} // one token for each order under way
	stored  chan struct{} // signals progress of acknowledged
	applied chan struct{} // signals that a report was applied
	stop    context.CancelFunc
	// lapsedAt is when the runs were given up because every lease had lapsed. Reports
	// of calls before that may still be queued. Only the loop uses it.
	lapsedAt time.Duration
	mu       sync.Mutex
	address  string
	lease    lease
	silent   bool
	heard    time.Duration // when the last call was sent that was answered
	// silentSince is since when the runner has not answered, if it does not.
	silentSince time.Duration
	// gone is set once nothing runs there any more, as far as is known.
	gone bool
	// recorded is set while the store may hold when the runner's leases expire:
	// none is extended then.
	recorded bool
	// doubted is set from a call without an answer to the next report: the runner
	// may have started anew.
	doubted bool
	acks    AcknowledgedEnds
	// incarnation is the runner's process that answered last, zero before.
	incarnation int64
}

// newLink returns the link to a runner on which a predecessor's leases have
// lapsed at the time inherited.
func newLink(t *leader, runner, address string, inherited time.Duration) *link {
	return &link{t: t, runner: runner, address: address, orders: make(chan struct{}, maxOrders), stored: make(chan struct{}, 1), applied: make(chan struct{}, 1),
		lease: lease{lapsed: inherited}}
}

func (l *link) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = address
}

// acknowledge lets the runner forget stored ends.
func (l *link) acknowledge(a AcknowledgedEnds) {
	l.mu.Lock()
	changed := a != l.acks
	l.acks = a
	l.mu.Unlock()
	if !changed {
		return
	}
	select {
	case l.stored <- struct{}{}:
	default:
	}
}

// request prepares the next call. A silent runner's leases are not extended:
// they must lapse for its tasks to be started elsewhere. Nor is a runner that may
// have started anew told to forget ends: it numbers them from 1 again, and would
// forget some that were never seen.
func (l *link) request() HoldRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := HoldRequest{Runner: l.runner, Address: l.address, Epoch: l.t.term.Epoch}
	if l.acks.Incarnation == l.incarnation && !l.doubted {
		h.Acknowledged = l.acks.Number
	}
	until := l.leasesUntil()
	switch {
	case until > 0:
		h.Deadline = l.lease.extend(until)
		h.Wait = holdWait
	case l.answering():
		h.Wait = recordedWait
	}
	return h
}

// answered records an answer of the runner's process, with its clock, to a call that
// was sent at a time, and reports whether leases can be extended.
func (l *link) answered(incarnation int64, clock, sent, now time.Duration) (extends bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = sent
	if l.incarnation != 0 && l.incarnation != incarnation {
		l.lease.startAnew(now)
	}
	l.incarnation = incarnation
	l.lease.reading, l.lease.received = clock, now
	l.silent, l.doubted, l.gone = false, false, false
	return l.leasesUntil() > 0
}

// unanswered records a failed call.
func (l *link) unanswered(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.silent {
		l.silentSince = now
	}
	l.silent, l.doubted = true, true
}

// doubt records an order without an answer.
func (l *link) doubt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubted = true
}

// orderTarget returns where an order goes, and the deadline of its lease if it is
// a start. A start waits while no lease can be granted: a process that has started
// anew meanwhile would read an old deadline on its new clock.
func (l *link) orderTarget(kind OrderKind) (address string, deadline time.Duration, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind != Start {
		return l.address, 0, true
	}
	until := l.leasesUntil()
	if until == 0 {
		return l.address, 0, false
	}
	return l.address, l.lease.extend(until), true
}

// serve calls the runner until ctx ends.
func (l *link) serve(ctx context.Context) {
	for ctx.Err() == nil {
		h := l.request()
		sent := l.t.env.Clock()
		res, err := l.t.env.Runners.Hold(ctx, h)
		now := l.t.env.Clock()
		if errors.Is(err, ErrFenced) {
			l.t.fail(ErrFenced)
			return
		}
		if err != nil {
			l.t.env.Count("hold_unanswered", 1)
			l.t.post(ctx, silentEvent{l})
			l.unanswered(now)
			if l.replaced(err) {
				l.t.post(ctx, goneEvent{l, h.Address})
			}
			pause(ctx, silentRetry)
			continue
		}
		res.Report.Unleased = !l.answered(res.Report.Incarnation, res.Clock, sent, now)
		res.Report.Sent = sent
		l.t.post(ctx, reportEvent{res.Report, l})
		l.awaitApplied(ctx)
		if len(res.Report.Ended) > 0 {
			l.awaitStored(ctx)
		}
	}
}

// awaitApplied waits until the last report was applied. A coordinator that is behind
// would else be sent reports that repeat what waits already; so each tells more instead.
func (l *link) awaitApplied(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.applied:
	case <-time.After(appliedWait):
	}
}

// noteApplied records that a report was applied.
func (l *link) noteApplied() {
	select {
	case l.applied <- struct{}{}:
	default:
	}
}

func (l *link) awaitStored(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.stored:
	case <-time.After(storeWait):
	}
}

// errHeldBack means that an order is settled, or is a start that waits until a lease
// can be granted.
var errHeldBack = fmt.Errorf("%w: held back", ErrNotSent)

// send repeats an order until it is answered or settled.
func (l *link) send(ctx context.Context, o Order) {
	repeated := false
	retry := firstOrderRetry
	for attempt := 1; ctx.Err() == nil && !o.Settled.Load(); attempt++ {
		outcome, err := l.attempt(ctx, o)
		switch {
		case errors.Is(err, ErrFenced):
			l.t.fail(ErrFenced)
			return
		case err == nil && o.Kind == Pace:
			return // nothing follows from it
		case err == nil:
			l.t.post(ctx, answerEvent{Answer{Order: o, Outcome: outcome, Repeated: repeated}})
			return
		case !errors.Is(err, errHeldBack):
			l.doubt()
			l.t.env.Count("order_retry", 1)
		}
		repeated = repeated || !errors.Is(err, ErrNotSent)
		if o.Kind == Pace && attempt >= paceAttempts {
			return
		}
		pause(ctx, retry)
		retry = min(2*retry, maxOrderRetry)
	}
}

// attempt sends an order once.
func (l *link) attempt(ctx context.Context, o Order) (Outcome, error) {
	select {
	case l.orders <- struct{}{}:
		defer func() { <-l.orders }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	address, deadline, ready := l.orderTarget(o.Kind)
	if !ready || o.Settled.Load() {
		return 0, errHeldBack
	}
	o.Address = address
	return l.t.env.Runners.Send(ctx, o, l.t.term.Epoch, deadline)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
