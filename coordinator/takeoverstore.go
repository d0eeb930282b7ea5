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

// Bounds of the store calls of a takeover.
const (
	// takeOverTimeout bounds for how long a takeover repeats calls. A term that ends
	// at the first refusal passes the lease on to an instance that the store refuses
	// just the same: ten of them held it within 0.8 s of one outage.
	takeOverTimeout = 6 * time.Second
	takeOverRetry   = 100 * time.Millisecond
	readTimeout     = 2 * time.Second
	fenceTimeout    = 2 * readTimeout // of a read and a commit
)

// takeOverStore repeats reads that the store refuses or does not answer. A commit is
// to be repeated together with the read that it follows, by repeat: its outcome may be
// unknown, and the adapter of the store may send no writes until a read is answered.
type takeOverStore struct {
	rowstore.Store
	clock func() time.Duration
	until time.Duration // when calls are no longer repeated

	mu      sync.Mutex
	waiting int // calls that have failed and are being repeated
	outage  logging.Outage
}

func newTakeOverStore(store rowstore.Store, clock func() time.Duration, log logrus.FieldLogger) *takeOverStore {
	return &takeOverStore{Store: store, clock: clock, until: clock() + takeOverTimeout,
		outage: logging.Outage{Log: log, Lost: "takeover waits for the store", Regained: "takeover goes on"}}
}

// Read implements rowstore.Store.
func (s *takeOverStore) Read(ctx context.Context, r rowstore.Range) (res rowstore.Result, err error) {
	err = s.repeat(ctx, readTimeout, func(call context.Context) error {
		res, err = s.Store.Read(call, r)
		return err
	})
	return res, err
}

// repeat makes attempts, each bounded by a timeout, until the store has answered one,
// the time of the takeover is up or ctx ends.
func (s *takeOverStore) repeat(ctx context.Context, timeout time.Duration, attempt func(context.Context) error) error {
	var failure error
	for {
		err := withTimeout(ctx, timeout, attempt)
		if !unanswered(err) {
			s.answered(failure != nil)
			return err
		}
		if ctx.Err() != nil {
			// The attempt failed because of ctx, which hides what was waited for.
			return interrupted(ctx, failure)
		}
		s.failed(err, failure == nil)
		failure = err
		if s.clock() >= s.until {
			return err
		}
		pause(ctx, takeOverRetry)
	}
}

func withTimeout(ctx context.Context, timeout time.Duration, attempt func(context.Context) error) error {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return attempt(call)
}

// unanswered reports whether an error says that the store refused a call or did not
// answer it.
func unanswered(err error) bool {
	return errors.Is(err, rowstore.ErrRefused) || errors.Is(err, rowstore.ErrUnknown) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// interrupted returns why ctx ended, and the failure before that if there was one.
func interrupted(ctx context.Context, failure error) error {
	if failure == nil {
		return context.Cause(ctx)
	}
	return fmt.Errorf("%w while waiting for the store: %w", context.Cause(ctx), failure)
}

// failed notes an attempt that failed, which is the call's first one or not.
func (s *takeOverStore) failed(err error, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		s.waiting++
	}
	s.outage.Note(err)
}

// answered notes a call that the store answered. Calls are made side by side: the
// outage ends with the last one that waited.
func (s *takeOverStore) answered(waited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !waited {
		return
	}
	s.waiting--
	if s.waiting == 0 {
		s.outage.Note(nil)
	}
}
