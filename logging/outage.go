package logging

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Outage logs a series of failures as two lines: one at the first failure, and
// one with the number of failures at the next success. Retries during a long
// outage therefore do not flood the log.
type Outage struct {
	Log logrus.FieldLogger
	// Lost is the message at the first failure, Regained the message at the
	// next success.
	Lost, Regained string

	mu        sync.Mutex
	failures  int
	startedAt time.Time
}

// Record records the result of an attempt. A nil error means success.
func (o *Outage) Record(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil && o.failures == 0:
		o.failures, o.startedAt = 1, time.Now()
		o.Log.WithError(err).Warn(o.Lost)
	case err != nil:
		o.failures++
	case o.failures > 0:
		o.Log.WithFields(logrus.Fields{"failures": o.failures, "after_ms": time.Since(o.startedAt).Milliseconds()}).Info(o.Regained)
		o.failures = 0
	}
}
