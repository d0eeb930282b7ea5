package coordinator

import (
	"context"
	"errors"
	"time"
)

// Limits of the polls of one runner.
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
)

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
