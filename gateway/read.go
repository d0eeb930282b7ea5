package gateway

import (
	"context"
	"errors"
	"time"

	"bergamotstile/rowstore"
)

// readTimeout bounds one read of the store with its repetition.
const readTimeout = time.Second

// readOutcome is the outcome of one attempt to read.
type readOutcome struct {
	result rowstore.Result
	err    error
}

// hedgedRead is one read in progress. It is sent a second time, on a new connection, if the
// first attempt gets no answer in time: the store may be fine while the connection is dead.
type hedgedRead struct {
	gateway    *Gateway
	rows       rowstore.Range
	outcomes   chan readOutcome
	attempts   int // attempts sent
	unanswered int // attempts without an outcome so far
}

// maxReadAttempts bounds the attempts of one read.
const maxReadAttempts = 2

// read reads a range of the store. It fails at once if the store refuses the call, which
// another attempt would not change.
func (g *Gateway) read(ctx context.Context, rows rowstore.Range) (rowstore.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r := &hedgedRead{gateway: g, rows: rows, outcomes: make(chan readOutcome, maxReadAttempts)}
	r.send(ctx)
	hedgeTimer := time.NewTimer(g.readLatency.hedgeDelay())
	defer hedgeTimer.Stop()
	for {
		select {
		case outcome := <-r.outcomes:
			r.unanswered--
			if outcome.err == nil || !errors.Is(outcome.err, rowstore.ErrNoAnswer) {
				return outcome.result, outcome.err
			}
			if r.attempts < maxReadAttempts {
				r.send(rowstore.WithNewConnection(ctx))
			} else if r.unanswered == 0 {
				return rowstore.Result{}, outcome.err
			}
		case <-hedgeTimer.C:
			if r.attempts < maxReadAttempts {
				r.send(rowstore.WithNewConnection(ctx))
			}
		case <-ctx.Done():
			return rowstore.Result{}, ctx.Err()
		}
	}
}

// send starts one attempt, which delivers its outcome to outcomes.
func (r *hedgedRead) send(ctx context.Context) {
	r.attempts++
	r.unanswered++
	go func() {
		started := time.Now()
		result, err := r.gateway.Store.Read(ctx, r.rows)
		if err == nil {
			r.gateway.readLatency.observe(time.Since(started))
		}
		r.outcomes <- readOutcome{result, err}
	}()
}
