package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"bergamotstile/rowstore"
)

// Times of writes.
const (
	// writeTimeout bounds one attempt; a slow store answers within it.
	writeTimeout = time.Second
	// unknownTime is how long the outcome of a write is waited for. The client is
	// told then that it is not known, and asks another instance.
	unknownTime = 1200 * time.Millisecond
	// hedgeTime is the least time without an answer after which a write is sent a
	// second time: a connection on which an answer got lost delivers nothing more.
	hedgeTime = 300 * time.Millisecond
	// hedgeFactor times the usual time of a write is waited at least, so that a
	// store which is slow for all is not given twice the work.
	hedgeFactor = 4
	// maxAttempts bounds how often one write is sent.
	maxAttempts = 6
	// refusedRetry is the pause before the one repetition of a refused write.
	refusedRetry = 25 * time.Millisecond
	unknownRetry = 50 * time.Millisecond
	// answerMargin is kept of the client's time for the answer itself.
	answerMargin = 60 * time.Millisecond
)

// latency is a running mean of how long successful writes take.
type latency struct{ mean atomic.Int64 }

// latencyShare is the share of a new sample in the mean.
const latencyShare = 4

func (l *latency) note(took time.Duration) {
	mean := l.mean.Load()
	if mean == 0 {
		mean = int64(took)
	}
	l.mean.Store(mean + (int64(took)-mean)/latencyShare)
}

// hedge is how long an answer is waited for before the write is sent again.
func (l *latency) hedge() time.Duration {
	return max(hedgeTime, hedgeFactor*time.Duration(l.mean.Load()))
}

// writing is one transaction on its way, whose conditions fail once it took effect.
type writing struct {
	gateway *Gateway
	tx      rowstore.Transaction
	results chan error
	sent    int
	open    int // attempts without an answer
	refused int
	unknown bool // an attempt may still take effect
	last    error
}

// write commits a transaction whose conditions fail once it took effect. A refusal
// is passed on only while no attempt can take effect.
func (g *Gateway) write(ctx context.Context, tx rowstore.Transaction) error {
	until := time.Now().Add(unknownTime)
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(-answerMargin).Before(until) {
		until = deadline.Add(-answerMargin)
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	w := &writing{gateway: g, tx: tx, results: make(chan error, maxAttempts)}
	w.send(ctx)
	hedge := time.NewTimer(g.writes.hedge())
	defer hedge.Stop()
	for {
		select {
		case err := <-w.results:
			if w.note(err) {
				return nil
			}
			if w.open > 0 {
				continue
			}
			if w.settled(err) || !pause(ctx, w.retryPause()) {
				return w.verdict()
			}
			w.send(ctx)
		case <-hedge.C:
			if w.open == 1 && w.sent < maxAttempts {
				w.send(ctx)
			}
		case <-ctx.Done():
			return w.verdict()
		}
	}
}

// send makes one attempt.
func (w *writing) send(ctx context.Context) {
	w.sent++
	w.open++
	go func() {
		call, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		begun := time.Now()
		_, err := w.gateway.Store.Commit(call, w.tx)
		if err == nil {
			w.gateway.writes.note(time.Since(begun))
		}
		w.results <- err
	}()
}

// note records the outcome of an attempt and reports whether the transaction took
// effect.
func (w *writing) note(err error) bool {
	w.open--
	w.last = err
	var conflict *rowstore.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict):
		return true
	case errors.Is(err, rowstore.ErrRefused):
		w.refused++
	default:
		w.unknown = true
	}
	return false
}

// settled reports whether nothing more can be learned by another attempt, none
// being under way: the store refuses after an outcome that is not known, or has
// refused twice.
func (w *writing) settled(err error) bool {
	refused := errors.Is(err, rowstore.ErrRefused)
	return w.sent >= maxAttempts || refused && (w.unknown || w.refused > 1)
}

func (w *writing) retryPause() time.Duration {
	if !w.unknown {
		return refusedRetry
	}
	return unknownRetry << min(w.sent-1, 3)
}

// verdict is the error for the client.
func (w *writing) verdict() error {
	if w.unknown || w.open > 0 {
		return fmt.Errorf("%w after %d attempts: %v", ErrUnknown, w.sent, w.last)
	}
	return fmt.Errorf("%w: %v", ErrNotAccepted, w.last)
}

// pause waits and reports whether time is left.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
