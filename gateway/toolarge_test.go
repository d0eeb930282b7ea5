package gateway

import (
	"errors"
	"fmt"
	"testing"

	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// Guards against a job whose row is too large and whose client is told for ever to send it
// again, and against a refusal of a job that an earlier call has recorded.
func TestJobWithTooLargeRowIsRefusedForGood(t *testing.T) {
	store := rowstore.NewMemory()
	g := newGateway(store)
	value, err := jobs.EncodeAccepted(queue, spec, g.Clock())
	if err != nil {
		t.Fatal(err)
	}
	g.MaxRowBytes = len(value) - 1
	if err := g.Submit(shortContext(t), queue, id, spec); !errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNotAccepted) {
		t.Errorf("error %v, want too large", err)
	}
	g.MaxRowBytes = len(value)
	if err := g.Submit(shortContext(t), queue, id, spec); err != nil {
		t.Errorf("a row of the largest size: %v", err)
	}
	g.MaxRowBytes = len(value) - 1
	if err := g.Submit(shortContext(t), queue, id, spec); err != nil {
		t.Errorf("a job that is recorded already: %v", err)
	}
}

// Guards against a write that the store refuses for good, and which is sent again and reported
// as one that may succeed later. If an earlier attempt may have taken effect, that still holds.
func TestWriteRefusedForGoodIsNotRepeated(t *testing.T) {
	rejected := fmt.Errorf("%w: %w", rowstore.ErrRefused, rowstore.ErrRejected)
	for _, c := range []struct {
		errs         []error // of the attempts
		want         error
		wantAttempts int
	}{
		{[]error{rejected}, ErrRejected, 1},
		{[]error{rowstore.ErrRefused, rejected}, ErrRejected, 2},
		{[]error{rowstore.ErrOutcomeUnknown, rejected}, ErrOutcomeUnknown, 2},
	} {
		store, attempts := rowstore.NewMemory(), 0
		store.BeforeCall = func(string) error {
			attempts++
			return c.errs[min(attempts, len(c.errs))-1]
		}
		err := newGateway(store).Submit(shortContext(t), queue, id, spec)
		if !errors.Is(err, c.want) || attempts != c.wantAttempts {
			t.Errorf("%v: error %v after %d attempts, want %v after %d", c.errs, err, attempts, c.want, c.wantAttempts)
		}
	}
}
