// Package supervisor runs the long-running components of a process. It restarts
// a component that fails. If components fail too often, it stops all of them, so
// that the process drains and exits instead of serving without one of them.
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

// Limits of a tree. The count of failures halves every failureDecayS seconds.
// Components fail too often if it exceeds failureThreshold. Suture then begins a
// pause of failureBackoff, during which the tree ends. stopTimeout is the longest
// time for which suture waits until all components have stopped.
const (
	failureThreshold = 5
	failureDecayS    = 30
	failureBackoff   = 200 * time.Millisecond
	stopTimeout      = 10 * time.Second
)

// ErrTooManyFailures means that a tree ended because its components failed too
// often.
var ErrTooManyFailures = errors.New("components failed too often")

// Component is a part of a process that runs until ctx ends.
type Component interface {
	Serve(ctx context.Context) error
}

// Tree runs components under a single supervisor.
type Tree struct {
	root            *suture.Supervisor
	tooManyFailures chan struct{}
	closeOnce       sync.Once
}

// New returns a tree without components. The name appears in log lines.
func New(name string, parent logrus.FieldLogger) *Tree {
	log := logging.ForComponent(parent, "supervisor")
	t := &Tree{tooManyFailures: make(chan struct{})}
	t.root = suture.New(name, suture.Spec{
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecayS,
		FailureBackoff:   failureBackoff,
		Timeout:          stopTimeout,
		EventHook: func(e suture.Event) {
			logEvent(log, e)
			// After a pause, suture would continue to restart components. A
			// process whose components keep failing must exit instead.
			if e.Type() == suture.EventTypeBackoff {
				t.closeOnce.Do(func() { close(t.tooManyFailures) })
			}
		},
	})
	return t
}

// Add adds a component to the tree. If the tree is running, the component is
// started at once.
func (t *Tree) Add(name string, component Component) {
	t.root.Add(&namedComponent{name: name, component: component})
}

// Serve runs the components until ctx ends, and then returns nil. If they fail
// too often, it stops them and returns ErrTooManyFailures.
func (t *Tree) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := t.root.ServeBackground(ctx)
	select {
	case <-ctx.Done():
		<-done
		return nil
	case <-t.tooManyFailures:
		cancel()
		<-done
		return ErrTooManyFailures
	case err := <-done:
		if ctx.Err() != nil {
			return nil
		}
		return fmt.Errorf("supervisor ended unexpectedly: %w", err)
	}
}

// namedComponent is a component with the name that appears in suture's events.
type namedComponent struct {
	name      string
	component Component
}

func (c *namedComponent) Serve(ctx context.Context) error { return c.component.Serve(ctx) }
func (c *namedComponent) String() string                  { return c.name }

func logEvent(log *logrus.Entry, e suture.Event) {
	switch e.Type() {
	case suture.EventTypeServicePanic, suture.EventTypeServiceTerminate:
		log.WithField("event", e.String()).Error("component failed")
	case suture.EventTypeBackoff:
		log.WithField("event", e.String()).Error("components failed too often, the instance shuts down")
	}
}
