package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/logging"
	"bergamotstile/rowstore"
)

// Time limits of the calls to the store in a takeover.
const (
	// takeoverTimeout bounds how long a takeover repeats calls. If a term ended at the
	// first refusal, the coordinator's lease would go to another instance, whose calls
	// the store refuses as well: in one outage ten instances held it within 0.8 s.
	takeoverTimeout    = 6 * time.Second
	takeoverRetryPause = 100 * time.Millisecond
	readTimeout        = 2 * time.Second
	fenceTimeout       = 2 * readTimeout // for a read and a commit
)

// takeoverStore repeats reads that the store refuses or does not answer. It does not repeat
// commits by themselves. The caller has to repeat a commit together with the read before
// it, by retry: the outcome of the commit may be unknown, and the adapter of the store may
// send no writes until a read is answered.
type takeoverStore struct {
	rowstore.Store
	clock      func() time.Duration
	retryUntil time.Duration // when it stops repeating calls

	mu       sync.Mutex
	retrying int // calls that have failed and are being repeated
	outage   logging.Outage
}

func newTakeoverStore(store rowstore.Store, clock func() time.Duration, log logrus.FieldLogger) *takeoverStore {
	return &takeoverStore{Store: store, clock: clock, retryUntil: clock() + takeoverTimeout,
		outage: logging.Outage{Log: log, Lost: "takeover waits for the store", Regained: "takeover continues"}}
}

// Read implements rowstore.Store.
func (s *takeoverStore) Read(ctx context.Context, r rowstore.Range) (res rowstore.Result, err error) {
	err = s.retry(ctx, readTimeout, func(callCtx context.Context) error {
		res, err = s.Store.Read(callCtx, r)
		return err
	})
	return res, err
}

// retry makes attempts, each bounded by a timeout, until the store answers one, the time for
// the takeover is over or ctx ends.
func (s *takeoverStore) retry(ctx context.Context, timeout time.Duration, attempt func(context.Context) error) error {
	var lastFailure error
	for {
		err := withTimeout(ctx, timeout, attempt)
		if !isRetryable(err) {
			s.recordAnswer(lastFailure != nil)
			return err
		}
		if ctx.Err() != nil {
			// The attempt failed because ctx ended. Name the failure before it as well, as
			// that says what the takeover was waiting for.
			return interruptionError(ctx, lastFailure)
		}
		s.recordFailure(err, lastFailure == nil)
		lastFailure = err
		if s.clock() >= s.retryUntil {
			return err
		}
		pause(ctx, takeoverRetryPause)
	}
}

// withTimeout makes one attempt, bounded by a timeout.
func withTimeout(ctx context.Context, timeout time.Duration, attempt func(context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return attempt(callCtx)
}

// isRetryable reports whether an error says that the store refused a call or did not
// answer it.
func isRetryable(err error) bool {
	return errors.Is(err, rowstore.ErrRefused) || errors.Is(err, rowstore.ErrOutcomeUnknown) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// interruptionError returns an error that says why ctx ended, and the last failure before
// that if there was one.
func interruptionError(ctx context.Context, lastFailure error) error {
	if lastFailure == nil {
		return context.Cause(ctx)
	}
	return fmt.Errorf("%w while waiting for the store: %w", context.Cause(ctx), lastFailure)
}

// recordFailure records that an attempt failed. First says whether it is the first failure of
// its call.
func (s *takeoverStore) recordFailure(err error, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		s.retrying++
	}
	s.outage.Record(err)
}

// recordAnswer records that the store answered a call, and whether attempts at it had failed
// before. Calls are made at the same time: the outage ends once the store has answered all
// calls that had failed.
func (s *takeoverStore) recordAnswer(waited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !waited {
		return
	}
	s.retrying--
	if s.retrying == 0 {
		s.outage.Record(nil)
	}
}
