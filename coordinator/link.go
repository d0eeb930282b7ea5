package coordinator

import (
	"context"
	"errors"
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
	isDraining             bool // as the registry entry says; nothing is started on the runner then
	lease                  leaseState
	isSilent               bool          // the last poll that has ended failed
	lastAnsweredPollSentAt time.Duration // when the last answered poll was sent
	lastAnswerAt           time.Duration // when the last answer to a poll or an order was received
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
	// awaitsListing is set until the runner is listed, see listing.go. No lease on the runner is
	// granted then.
	awaitsListing bool
	// mayHaveRestarted is set by a poll or an order without an answer and cleared by the
	// next report: a new process of the runner may have started meanwhile.
	mayHaveRestarted bool
	// acknowledged says up to which number the runner's results are stored.
	acknowledged Acknowledgement
	// incarnation identifies the process of the runner that answered last. It is zero
	// before the first answer.
	incarnation int64
	// generation is the low part of the fencing token. It is raised when the runner turns out to
	// have restarted, so that its new process refuses the calls to the earlier one.
	generation uint64
	// isFenced is set once the present process has answered a poll with the present token. It
	// then refuses all calls that were meant for an earlier one.
	isFenced bool
	// registeredIncarnation identifies the process that wrote the runner's registry entry; zero
	// if that is not known.
	registeredIncarnation int64
	// restartSuspectedAt is when the registry or a reading of the clock showed that the process
	// that answered last is not the present one; zero if nothing shows that. No lease is granted
	// then, because the clock of the present process is not known.
	restartSuspectedAt time.Duration
	// misdirectedExpiryBefore is the expiry of misdirected leases before the restart was
	// suspected. It holds again if the same process answers.
	misdirectedExpiryBefore time.Duration
	delayedStarts           delayedStarts // starts without an answer
	// restarted signals that a poll under way need not be waited for, since its process has ended.
	restarted chan struct{}
	// settledIncarnation identifies the last process known to hold no lease of a misdirected call,
	// from the roster or from this coordinator; zero if none is known.
	settledIncarnation int64
	// inheritedIncarnation identifies the fenced process that a predecessor's roster names; zero if it
	// names none.
	inheritedIncarnation int64
}

// newLink returns a link over which the runner has not answered yet. All leases that were
// granted on the runner before have expired at inheritedExpiry, on the local clock.
func newLink(coord *coordinator, runnerID, address string, inheritedExpiry time.Duration) *link {
	return &link{coordinator: coord, runnerID: runnerID, address: address, orderSlots: make(chan struct{}, maxOrdersInFlight), storedSignal: make(chan struct{}, 1), appliedSignal: make(chan struct{}, 1),
		lease: leaseState{expiresBy: inheritedExpiry}, generation: coord.tokens.nextGeneration(runnerID), restarted: make(chan struct{}, 1)}
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
	request := PollRequest{Runner: l.runnerID, Address: l.address, Token: l.token()}
	if l.acknowledged.Incarnation == l.incarnation && !l.mayHaveRestarted && l.restartSuspectedAt == 0 {
		request.Acknowledged = l.acknowledged.Number
	}
	until := l.newLeaseEnd()
	if until > 0 {
		request.Deadline = l.extendLeases(until)
	}
	switch {
	case l.incarnation != 0 && !l.isFenced:
		// No wait: until the answer comes, nothing can be started on the runner.
	case until > 0:
		request.Wait = longPollWait
	case l.isAnswering():
		request.Wait = recordedPollWait
	}
	return request
}

// pollAnswer is what recordAnswer concludes from the answer to a poll.
type pollAnswer struct {
	canExtend bool // leases on the runner can be extended now
	unfenced  bool // as in Report
}

// recordAnswer records that the runner answered a poll. token is the one of the poll; sent and
// now are the local times at which the poll was sent and the answer received. The answer came
// from the process that incarnation identifies, and contained clockReading, a reading of the
// runner's clock. If the previous answer came from another process, the leases granted to that
// process are discarded, and the token is raised so that the new process refuses calls to it.
func (l *link) recordAnswer(incarnation int64, clockReading, sent, now time.Duration, token uint64) pollAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAnsweredPollSentAt, l.lastAnswerAt = sent, now
	if l.incarnation != 0 && l.incarnation != incarnation {
		l.lease.resetForNewProcess(now)
		if token == l.token() {
			l.raiseGeneration()
		}
		l.restartSuspectedAt = 0
		l.lease.allowMisdirectedCalls(now+maxCallDelay, l.coordinator.env.MaxLeaseDuration)
	}
	l.incarnation = incarnation
	l.recordFencing(token, now)
	l.lease.clockReading, l.lease.receivedAt = clockReading, now
	l.isSilent, l.mayHaveRestarted, l.isGone = false, false, false
	if l.restartSuspectedAt > 0 && sent >= l.restartSuspectedAt {
		// The process is the one that answered before.
		l.restartSuspectedAt = 0
		if l.isFenced {
			l.lease.misdirectedExpiresBy = l.misdirectedExpiryBefore
		}
	}
	return pollAnswer{canExtend: l.newLeaseEnd() > 0, unfenced: !l.isFenced}
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

// pollLoop polls the runner until ctx ends or the runner refuses this coordinator because
// of a later one.
func (l *link) pollLoop(ctx context.Context) {
	isIncomplete := false // the last report was
	for ctx.Err() == nil {
		request := l.nextRequest()
		if isIncomplete {
			request.Wait = 0 // the next page is due, also if it has no further results
		}
		sent := l.coordinator.env.Clock()
		response, err := l.poll(ctx, request)
		now := l.coordinator.env.Clock()
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrFenced) && !l.isSuperseded(request.Token) {
			l.coordinator.fail(ErrFenced)
			return
		}
		if errors.Is(err, errPollAbandoned) {
			continue
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
		answer := l.recordAnswer(response.Report.Incarnation, response.Clock, sent, now, request.Token)
		response.Report.CannotExtendLeases, response.Report.Unfenced = !answer.canExtend, answer.unfenced
		response.Report.Sent = sent
		isIncomplete = response.Report.Incomplete
		l.coordinator.post(ctx, reportEvent{response.Report, l})
		l.awaitReportApplied(ctx)
		if len(response.Report.Ended) > 0 {
			l.awaitResultsStored(ctx)
		}
	}
}

// errPollAbandoned means that the process to which a poll was sent has ended.
var errPollAbandoned = errors.New("runner has restarted")

// poll sends a poll and waits for the answer, but not for that of a process which has ended: its
// connections may stay silent until the timeout.
func (l *link) poll(ctx context.Context, request PollRequest) (PollResponse, error) {
	type result struct {
		response PollResponse
		err      error
	}
	answered := make(chan result, 1)
	go func() {
		response, err := l.coordinator.env.Runners.Poll(ctx, request)
		answered <- result{response, err}
	}()
	select {
	case r := <-answered:
		return r.response, r.err
	case <-l.restarted:
		return PollResponse{}, errPollAbandoned
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

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
