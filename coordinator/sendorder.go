package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Limits of the repetition of an order that is not answered.
const (
	minOrderRetryPause = 100 * time.Millisecond
	maxOrderRetryPause = 800 * time.Millisecond
	maxPaceAttempts    = 3
)

// recordOrderAnswer records that an order was answered, and compares the reading of the runner's
// clock in the response with the one expected. The order was sent, and the response received, at
// the given local times.
func (l *link) recordOrderAnswer(reading, sent, received time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAnswerAt = received
	if reading == 0 || l.lease.clockReading == 0 {
		return
	}
	elapsed := received - l.lease.receivedAt
	deviation := (reading - l.lease.clockReading - elapsed).Abs()
	allowed := maxClockDeviation + (received - sent) + elapsed.Abs()*maxClockDriftPercent/100
	if deviation > allowed {
		l.suspectRestart(received, "reading of another clock")
	}
}

// orderTarget is where and how to send an order.
type orderTarget struct {
	address  string
	token    uint64
	deadline time.Duration // for a start: of its lease, on the runner's clock
}

// errOtherProcess means that a start was not sent because the runner's process for which it was
// decided has ended. The new one may differ in service, capacity and labels.
var errOtherProcess = fmt.Errorf("%w: runner has restarted", ErrNotSent)

// errRunnerDraining means that a start was not sent because the runner is draining. An earlier attempt
// may have reached it before that.
var errRunnerDraining = fmt.Errorf("%w: runner is draining", ErrNotSent)

// findOrderTarget returns where to send an order. It returns errAttemptSkipped for a start while
// no lease can be granted: if the start carried an old deadline, a process of the runner that has
// started since would compare the deadline with its own, new clock.
func (l *link) findOrderTarget(order Order) (orderTarget, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	target := orderTarget{address: l.address, token: l.token()}
	if order.Kind != Start {
		return target, nil
	}
	if order.Incarnation != 0 && l.incarnation != 0 && order.Incarnation != l.incarnation {
		return target, errOtherProcess
	}
	if l.isDraining {
		return target, errRunnerDraining
	}
	until := l.newLeaseEnd()
	if until == 0 {
		return target, errAttemptSkipped
	}
	target.deadline = min(l.extendLeases(until), l.lease.startDeadline(l.coordinator.env.Clock()))
	return target, nil
}

// errAttemptSkipped means that an attempt to send an order was skipped because the order is
// settled, see Order.Settled, or because it is a start and no lease can be granted yet.
var errAttemptSkipped = fmt.Errorf("%w: order no longer needed, or no lease can be granted", ErrNotSent)

// errSupersededToken means that the runner refused an attempt to send an order, and did nothing,
// because it has seen a later token of this coordinator.
var errSupersededToken = fmt.Errorf("%w: the fencing token has been replaced", ErrNotSent)

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
		case errors.Is(err, errOtherProcess):
			l.coordinator.post(ctx, answerEvent{Answer{Order: order, Outcome: RunnerRestarted, Repeated: repeated}})
			return
		case errors.Is(err, errRunnerDraining):
			l.coordinator.post(ctx, answerEvent{Answer{Order: order, Outcome: RunnerDraining, Repeated: repeated}})
			return
		case err == nil && order.Kind == Pace:
			return // the core ignores the answer
		case err == nil:
			l.coordinator.post(ctx, answerEvent{Answer{Order: order, Outcome: outcome, Repeated: repeated}})
			return
		case !errors.Is(err, errAttemptSkipped) && !errors.Is(err, errSupersededToken):
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
	target, err := l.findOrderTarget(order)
	if err != nil {
		return 0, err
	}
	if !order.beginAttempt() {
		return 0, errAttemptSkipped
	}
	order.Address = target.address
	sent := l.coordinator.env.Clock()
	response, err := l.coordinator.env.Runners.Send(ctx, order, target.token, target.deadline)
	if errors.Is(err, ErrFenced) && l.isSuperseded(target.token) {
		return 0, errSupersededToken
	}
	switch {
	case err == nil:
		l.recordOrderAnswer(response.Clock, sent, l.coordinator.env.Clock())
	case !errors.Is(err, ErrFenced):
		l.recordUnansweredOrder(order, sent, err)
	}
	return response.Outcome, err
}
