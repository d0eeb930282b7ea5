package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Limits of the polls of one runner and of the orders to it.
const (
	// longPollWait is how long a runner may wait for a result before it answers a poll.
	longPollWait = 500 * time.Millisecond
	// recordedPollWait replaces longPollWait while the store may hold an expiry for the
	// runner, so that its leases are extended soon after the expiry is removed.
	recordedPollWait = 50 * time.Millisecond
	// silentRetryPause is the pause after a poll that failed.
	silentRetryPause = 250 * time.Millisecond
	// maxAppliedWait bounds the wait for a report to be applied before the next poll,
	// which must not come too late to extend the leases.
	maxAppliedWait = time.Second
	// maxStoreWait bounds the wait for reported results to be stored before the next
	// poll. The runner includes results in each report until they are acknowledged.
	maxStoreWait = 80 * time.Millisecond
	// maxOrdersInFlight bounds the orders to one runner that wait for an answer.
	maxOrdersInFlight = 6
)

// Limits of the repetition of an order that is not answered.
const (
	minOrderRetryPause = 100 * time.Millisecond
	maxOrderRetryPause = 800 * time.Millisecond
	maxPaceAttempts    = 3
)

// link is the coordinator's side of the communication with one runner. It holds the state of
// the leases on the runner. pollLoop polls the runner, which extends the leases, and posts the
// reports in the answers. sendOrder sends an order to the runner and posts the answer.
type link struct {
	coordinator   *coordinator
	runnerID      string
	orderSlots    chan struct{} // holds a token for each order under way
	storedSignal  chan struct{} // signals that acknowledged has changed
	appliedSignal chan struct{} // signals that a report was applied
	stop          context.CancelFunc
	// expiredAt is when the runs on the runner were recorded as lost because every lease had
	// expired. Reports that answer polls sent before then may still be queued. Only the event
	// loop uses it.
	expiredAt              time.Duration
	mu                     sync.Mutex // guards the fields below
	address                string
	lease                  leaseState
	isSilent               bool          // the last poll that has ended failed
	lastAnsweredPollSentAt time.Duration // when the last answered poll was sent
	// unansweredSince is when the polls of the runner last began to fail: when the first poll
	// after the last answered one failed. It is when the link was created if no poll has failed
	// yet. While the runner answers, it has no meaning.
	unansweredSince time.Duration
	// isGone is set once the coordinator knows that nothing runs on the runner any more:
	// every lease has expired, or another runner has the address. An answer clears it, and
	// so does isStillAt if the runner has moved.
	isGone bool
	// isExpiryRecorded is set while the store may hold an expiry for the runner. No lease
	// on the runner is extended then.
	isExpiryRecorded bool
	// mayHaveRestarted is set by a poll or an order without an answer and cleared by the
	// next report: a new process of the runner may have started meanwhile.
	mayHaveRestarted bool
	// acknowledged says up to which number the runner's results are stored.
	acknowledged Acknowledgement
	// incarnation identifies the process of the runner that answered last. It is zero
	// before the first answer.
	incarnation int64
}

// newLink returns a link over which the runner has not answered yet. All leases that were
// granted on the runner before have expired at inheritedExpiry, on the local clock.
func newLink(coord *coordinator, runnerID, address string, inheritedExpiry time.Duration) *link {
	return &link{coordinator: coord, runnerID: runnerID, address: address, orderSlots: make(chan struct{}, maxOrdersInFlight), storedSignal: make(chan struct{}, 1), appliedSignal: make(chan struct{}, 1),
		lease: leaseState{expiresBy: inheritedExpiry}}
}

func (l *link) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = address
}

// setAcknowledged records up to which number the runner's results are stored. The next polls
// report to the runner that it may forget them.
func (l *link) setAcknowledged(acknowledged Acknowledgement) {
	l.mu.Lock()
	changed := acknowledged != l.acknowledged
	l.acknowledged = acknowledged
	l.mu.Unlock()
	if !changed {
		return
	}
	select {
	case l.storedSignal <- struct{}{}:
	default:
	}
}

// isAcknowledged reports whether the runner's results are stored up to the given one.
func (l *link) isAcknowledged(result Acknowledgement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acknowledged == result
}

// nextRequest returns the request of the next poll. It does not extend leases on a silent
// runner: they must expire before the runner's tasks can be started elsewhere. It
// acknowledges no results to a runner that may have restarted: the new process numbers
// its results from 1 again, and would forget some that the coordinator has never seen.
func (l *link) nextRequest() PollRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := PollRequest{Runner: l.runnerID, Address: l.address, Epoch: l.coordinator.term.Epoch}
	if l.acknowledged.Incarnation == l.incarnation && !l.mayHaveRestarted {
		request.Acknowledged = l.acknowledged.Number
	}
	until := l.newLeaseEnd()
	switch {
	case until > 0:
		request.Deadline = l.lease.extend(until)
		request.Wait = longPollWait
	case l.isAnswering():
		request.Wait = recordedPollWait
	}
	return request
}

// recordAnswer records that the runner answered a poll. pollSent and now are the local times
// at which the poll was sent and the answer received. The answer came from the process that
// incarnation identifies, and contained clockReading, a reading of the runner's clock. If the
// previous answer came from another process, the leases granted to that process are discarded.
// canExtend reports whether leases on the runner can be extended now.
func (l *link) recordAnswer(incarnation int64, clockReading, pollSent, now time.Duration) (canExtend bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAnsweredPollSentAt = pollSent
	if l.incarnation != 0 && l.incarnation != incarnation {
		l.lease.resetForNewProcess(now)
	}
	l.incarnation = incarnation
	l.lease.clockReading, l.lease.receivedAt = clockReading, now
	l.isSilent, l.mayHaveRestarted, l.isGone = false, false, false
	return l.newLeaseEnd() > 0
}

// recordUnanswered records that a poll failed: it was not answered, or another runner
// answered at the address.
func (l *link) recordUnanswered(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isSilent {
		l.unansweredSince = now
	}
	l.isSilent, l.mayHaveRestarted = true, true
}

// markPossibleRestart records that an order was not answered: a new process of the runner
// may have started.
func (l *link) markPossibleRestart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mayHaveRestarted = true
}

// orderTarget returns the address for an order and, for a start, the deadline of its lease
// on the runner's clock. It reports that a start is not ready while no lease can be granted:
// if the start carried an old deadline, a process of the runner that has started since would
// compare the deadline with its own, new clock.
func (l *link) orderTarget(kind OrderKind) (address string, deadline time.Duration, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind != Start {
		return l.address, 0, true
	}
	until := l.newLeaseEnd()
	if until == 0 {
		return l.address, 0, false
	}
	return l.address, min(l.lease.extend(until), l.lease.startDeadline(l.coordinator.env.Clock())), true
}

// pollLoop polls the runner until ctx ends or the runner refuses this coordinator because
// of a later one.
func (l *link) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		request := l.nextRequest()
		sent := l.coordinator.env.Clock()
		response, err := l.coordinator.env.Runners.Poll(ctx, request)
		now := l.coordinator.env.Clock()
		if errors.Is(err, ErrFenced) {
			l.coordinator.fail(ErrFenced)
			return
		}
		if err != nil {
			l.coordinator.env.Count("hold_unanswered", 1)
			l.coordinator.post(ctx, runnerSilentEvent{l})
			l.recordUnanswered(now)
			if l.markReplaced(err) {
				l.coordinator.post(ctx, runnerReplacedEvent{l, request.Address})
			}
			pause(ctx, silentRetryPause)
			continue
		}
		response.Report.CannotExtendLeases = !l.recordAnswer(response.Report.Incarnation, response.Clock, sent, now)
		response.Report.Sent = sent
		l.coordinator.post(ctx, reportEvent{response.Report, l})
		l.awaitReportApplied(ctx)
		if len(response.Report.Ended) > 0 {
			l.awaitResultsStored(ctx)
		}
	}
}

// awaitReportApplied waits until the loop has applied the last report, for maxAppliedWait at
// most. Without the wait, a coordinator that is behind would queue reports that repeat those
// which already wait. With it, fewer reports arrive and each contains more changes.
func (l *link) awaitReportApplied(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.appliedSignal:
	case <-time.After(maxAppliedWait):
	}
}

// signalReportApplied ends the wait in awaitReportApplied.
func (l *link) signalReportApplied() {
	select {
	case l.appliedSignal <- struct{}{}:
	default:
	}
}

// awaitResultsStored waits until the results in the last report are acknowledged, for
// maxStoreWait at most.
func (l *link) awaitResultsStored(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.storedSignal:
	case <-time.After(maxStoreWait):
	}
}

// errAttemptSkipped means that an attempt to send an order was skipped because the order is
// settled, see Order.Settled, or because it is a start and no lease can be granted yet.
var errAttemptSkipped = fmt.Errorf("%w: order no longer needed, or no lease can be granted", ErrNotSent)

// sendOrder attempts to send an order until the runner answers it, and posts the answer. It
// stops without an answer once the order is settled or ctx ends. If the runner refuses it
// because of a later coordinator, sendOrder ends the term. It makes at most maxPaceAttempts
// attempts to send a pace order, and posts no answer to it.
func (l *link) sendOrder(ctx context.Context, order Order) {
	repeated := false
	retry := minOrderRetryPause
	for attempt := 1; ctx.Err() == nil && !order.Settled.Load(); attempt++ {
		outcome, err := l.trySendOrder(ctx, order)
		switch {
		case errors.Is(err, ErrFenced):
			l.coordinator.fail(ErrFenced)
			return
		case err == nil && order.Kind == Pace:
			return // the core ignores the answer
		case err == nil:
			l.coordinator.post(ctx, answerEvent{Answer{Order: order, Outcome: outcome, Repeated: repeated}})
			return
		case !errors.Is(err, errAttemptSkipped):
			l.markPossibleRestart()
			l.coordinator.env.Count("order_retry", 1)
		}
		repeated = repeated || !errors.Is(err, ErrNotSent)
		if order.Kind == Pace && attempt >= maxPaceAttempts {
			return
		}
		pause(ctx, retry)
		retry = min(2*retry, maxOrderRetryPause)
	}
}

// trySendOrder makes one attempt to send an order. It first waits while maxOrdersInFlight
// orders to the runner are under way. It returns errAttemptSkipped without sending the order
// if the order is settled, or if it is a start and no lease can be granted.
func (l *link) trySendOrder(ctx context.Context, order Order) (Outcome, error) {
	select {
	case l.orderSlots <- struct{}{}:
		defer func() { <-l.orderSlots }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	address, deadline, ready := l.orderTarget(order.Kind)
	if !ready || !order.beginAttempt() {
		return 0, errAttemptSkipped
	}
	order.Address = address
	return l.coordinator.env.Runners.Send(ctx, order, l.coordinator.term.Epoch, deadline)
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
