package supervisor

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
)

type componentFunc func(ctx context.Context) error

func (f componentFunc) Serve(ctx context.Context) error { return f(ctx) }

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// Guards against a panic in a component that ends the process or stops the
// component for good.
func TestPanickingComponentIsRestarted(t *testing.T) {
	tree := New("test", discardLog())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var runs atomic.Int32
	tree.Add("fragile", componentFunc(func(ctx context.Context) error {
		if runs.Add(1) == 1 {
			panic("first run")
		}
		cancel()
		<-ctx.Done()
		return nil
	}))
	if err := tree.Serve(ctx); err != nil {
		t.Fatal(err)
	}
	if runs.Load() != 2 {
		t.Fatalf("component ran %d times, want 2", runs.Load())
	}
}

// Guards against a process that serves forever while one of its components fails
// each time that it is started.
func TestTreeEndsWhenComponentKeepsFailing(t *testing.T) {
	tree := New("test", discardLog())
	tree.Add("broken", componentFunc(func(context.Context) error { return errors.New("broken") }))
	if err := tree.Serve(t.Context()); !errors.Is(err, ErrTooManyFailures) {
		t.Fatalf("got %v, want ErrTooManyFailures", err)
	}
}
