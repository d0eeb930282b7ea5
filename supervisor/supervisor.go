// Package supervisor runs the parts of a process as a tree. A part that fails
// is restarted; a tree that fails too often ends, so that the process drains
// and exits instead of serving with a part missing.
package supervisor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"bergamotstile/logging"
)

// Restart limits of a tree.
const (
	failureThreshold = 5
	failureDecayS    = 30
	failureBackoff   = 200 * time.Millisecond
	stopTimeout      = 10 * time.Second
)

// ErrFailing reports a tree whose parts failed too often.
var ErrFailing = errors.New("parts failed too often")

// Part is a long-running duty.
type Part interface {
	Serve(ctx context.Context) error
}

// Tree runs parts in one layer.
type Tree struct {
	root    *suture.Supervisor
	failing chan struct{}
	once    sync.Once
}

// New returns an empty tree.
func New(name string, parent logrus.FieldLogger) *Tree {
	log := logging.Part(parent, "supervisor")
	t := &Tree{failing: make(chan struct{})}
	t.root = suture.New(name, suture.Spec{
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecayS,
		FailureBackoff:   failureBackoff,
		Timeout:          stopTimeout,
		EventHook: func(e suture.Event) {
			logEvent(log, e)
			// suture would go on restarting after a pause; a process whose
			// parts keep failing must leave instead.
			if e.Type() == suture.EventTypeBackoff {
				t.once.Do(func() { close(t.failing) })
			}
		},
	})
	return t
}

// Add puts a part under the tree's supervision.
func (t *Tree) Add(name string, part Part) {
	t.root.Add(&namedPart{name: name, part: part})
}

// Serve runs the tree until ctx ends, which is no error, or until its parts
// fail too often.
func (t *Tree) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := t.root.ServeBackground(ctx)
	select {
	case <-ctx.Done():
		<-done
		return nil
	case <-t.failing:
		cancel()
		<-done
		return ErrFailing
	case err := <-done:
		if ctx.Err() != nil {
			return nil
		}
		return fmt.Errorf("supervisor ended: %w", err)
	}
}

// namedPart gives a part the name that suture logs.
type namedPart struct {
	name string
	part Part
}

func (p *namedPart) Serve(ctx context.Context) error { return p.part.Serve(ctx) }
func (p *namedPart) String() string                  { return p.name }

func logEvent(log *logrus.Entry, e suture.Event) {
	switch e.Type() {
	case suture.EventTypeServicePanic, suture.EventTypeServiceTerminate:
		log.WithField("event", e.String()).Error("part failed and is restarted")
	case suture.EventTypeBackoff:
		log.WithField("event", e.String()).Error("parts fail too often, the instance leaves")
	}
}
