package supervisor

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
)

type partFunc func(ctx context.Context) error

func (f partFunc) Serve(ctx context.Context) error { return f(ctx) }

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// Guards against a panic in one duty that ends the process or stops that duty
// for good.
func TestPanickingPartIsRestarted(t *testing.T) {
	tree := New("test", discardLog())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var runs atomic.Int32
	tree.Add("fragile", partFunc(func(ctx context.Context) error {
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
		t.Fatalf("part ran %d times", runs.Load())
	}
}

// Guards against a process that serves for ever with a duty that cannot run.
func TestTreeEndsWhenPartKeepsFailing(t *testing.T) {
	tree := New("test", discardLog())
	tree.Add("broken", partFunc(func(context.Context) error { return errors.New("broken") }))
	if err := tree.Serve(t.Context()); !errors.Is(err, ErrFailing) {
		t.Fatalf("got %v, want ErrFailing", err)
	}
}
