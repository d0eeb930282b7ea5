package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"bergamotstile/rowstore"
)

// Time-outs, delays and limits of writes.
const (
	// attemptTimeout bounds one attempt. A store that is slow but works answers
	// within it.
	attemptTimeout = time.Second
	// outcomeTimeout is how long write waits for the outcome. After that, it reports
	// to the client that the outcome is unknown, so that the client can ask another
	// instance.
	outcomeTimeout = 1200 * time.Millisecond
	// minHedgeDelay is the shortest delay after which an unanswered call is sent once
	// more. A connection that has lost an answer delivers nothing more, so
	// waiting longer would not help.
	minHedgeDelay = 300 * time.Millisecond
	// hedgeLatencyFactor times the mean latency is the delay after which an unanswered
	// call is sent once more, if that is longer than minHedgeDelay. Without it, a store
	// that is slow for all clients would receive twice the work.
	hedgeLatencyFactor = 4
	// maxAttempts bounds the attempts of one write.
	maxAttempts = 6
	// refusedRetryDelay is the delay before the only retry of a write that the store
	// has refused.
	refusedRetryDelay = 25 * time.Millisecond
	// unknownRetryDelay is the delay before a retry after the first attempt, if an
	// outcome is unknown. It doubles with each further attempt, up to eightfold.
	unknownRetryDelay = 50 * time.Millisecond
	// answerTimeMargin is how long before the client's deadline write stops waiting.
	// The time is left for sending the answer to the client.
	answerTimeMargin = 60 * time.Millisecond
)

// meanLatency is a moving average of the latency of successful attempts, in nanoseconds.
// A sample covers only the attempt that the store accepted, not the whole write with its
// earlier attempts and delays.
type meanLatency struct{ mean atomic.Int64 }

// meanDivisor is the inverse of the weight of a new sample in the moving average.
const meanDivisor = 4

// observe includes the latency of one successful attempt in the average.
func (l *meanLatency) observe(took time.Duration) {
	mean := l.mean.Load()
	if mean == 0 {
		mean = int64(took)
	}
	l.mean.Store(mean + (int64(took)-mean)/meanDivisor)
}

// hedgeDelay returns how long after its first attempt a call is sent once more if one
// attempt is unanswered then.
func (l *meanLatency) hedgeDelay() time.Duration {
	return max(minHedgeDelay, hedgeLatencyFactor*time.Duration(l.mean.Load()))
}

// hedgedWrite is one write in progress: a transaction that is sent up to maxAttempts
// times. The conditions of the transaction must fail once it has taken effect.
type hedgedWrite struct {
	gateway        *Gateway
	tx             rowstore.Transaction
	results        chan error // outcomes of the attempts
	attempts       int        // attempts sent
	unanswered     int        // attempts without an answer so far
	refusals       int
	unknownOutcome bool // an attempt may have taken effect, or may still do so
	lastErr        error
	conflict       *rowstore.ConflictError // by which the write was found to be settled
}

// write commits a transaction whose conditions fail once it has taken effect: a
// conflict therefore counts as success, and is returned. It returns ErrNotAccepted only if no
// attempt can have taken effect or still do so, and ErrOutcomeUnknown otherwise.
func (g *Gateway) write(ctx context.Context, tx rowstore.Transaction) (*rowstore.ConflictError, error) {
	waitUntil := time.Now().Add(outcomeTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(-answerTimeMargin).Before(waitUntil) {
		waitUntil = deadline.Add(-answerTimeMargin)
	}
	ctx, cancel := context.WithDeadline(ctx, waitUntil)
	defer cancel()
	w := &hedgedWrite{gateway: g, tx: tx, results: make(chan error, maxAttempts)}
	w.send(ctx)
	hedgeTimer := time.NewTimer(g.writeLatency.hedgeDelay())
	defer hedgeTimer.Stop()
	for {
		select {
		case err := <-w.results:
			if w.recordOutcome(err) {
				return w.conflict, nil
			}
			if w.unanswered > 0 {
				continue
			}
			if w.shouldStop(err) || !waitFor(ctx, w.retryDelay()) {
				return nil, w.outcomeError()
			}
			w.send(ctx)
		case <-hedgeTimer.C:
			if w.unanswered == 1 && w.attempts < maxAttempts {
				w.send(ctx)
			}
		case <-ctx.Done():
			return nil, w.outcomeError()
		}
	}
}

// send starts one attempt, which delivers its outcome to results. An attempt that follows
// one without an answer uses a new connection.
func (w *hedgedWrite) send(ctx context.Context) {
	if w.unanswered > 0 || w.unknownOutcome {
		ctx = rowstore.WithNewConnection(ctx)
	}
	w.attempts++
	w.unanswered++
	go func() {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		started := time.Now()
		_, err := w.gateway.Store.Commit(attemptCtx, w.tx)
		if err == nil {
			w.gateway.writeLatency.observe(time.Since(started))
		}
		w.results <- err
	}()
}

// recordOutcome records the outcome of an attempt and reports whether the
// transaction has taken effect.
func (w *hedgedWrite) recordOutcome(err error) bool {
	w.unanswered--
	w.lastErr = err
	switch {
	case err == nil, errors.As(err, &w.conflict):
		return true
	case errors.Is(err, rowstore.ErrRefused):
		w.refusals++
	default:
		w.unknownOutcome = true
	}
	return false
}

// shouldStop reports whether another attempt would be useless. It is called with the
// error of the last answer while no attempt is unanswered. Besides the limit on
// attempts there are two such cases: the store refuses after an attempt of unknown
// outcome, or it has refused twice or for good.
func (w *hedgedWrite) shouldStop(err error) bool {
	refused := errors.Is(err, rowstore.ErrRefused)
	return w.attempts >= maxAttempts || errors.Is(err, rowstore.ErrRejected) || refused && (w.unknownOutcome || w.refusals > 1)
}

// retryDelay returns the delay before the next attempt.
func (w *hedgedWrite) retryDelay() time.Duration {
	if !w.unknownOutcome {
		return refusedRetryDelay
	}
	return unknownRetryDelay << min(w.attempts-1, 3)
}

// outcomeError returns the error for the client.
func (w *hedgedWrite) outcomeError() error {
	if w.unknownOutcome || w.unanswered > 0 {
		return fmt.Errorf("%w after %d attempts: %v", ErrOutcomeUnknown, w.attempts, w.lastErr)
	}
	if errors.Is(w.lastErr, rowstore.ErrRejected) {
		return fmt.Errorf("%w: %v", ErrRejected, w.lastErr)
	}
	return fmt.Errorf("%w: %v", ErrNotAccepted, w.lastErr)
}

// waitFor waits for d and returns true, or returns false as soon as ctx is done.
func waitFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
