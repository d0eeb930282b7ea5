package logging

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Outage logs the first of a series of failures and its end with their number,
// so that retries that go on for long don't fill the log.
type Outage struct {
	Log logrus.FieldLogger
	// Lost and Regained are the messages of the first failure and of the end.
	Lost, Regained string

	mu       sync.Mutex
	failures int
	since    time.Time
}

// Note records how an attempt ended.
func (o *Outage) Note(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil && o.failures == 0:
		o.failures, o.since = 1, time.Now()
		o.Log.WithError(err).Warn(o.Lost)
	case err != nil:
		o.failures++
	case o.failures > 0:
		o.Log.WithFields(logrus.Fields{"failures": o.failures, "after_ms": time.Since(o.since).Milliseconds()}).Info(o.Regained)
		o.failures = 0
	}
}
