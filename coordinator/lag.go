package coordinator

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
)

// ErrBehind ends the term of a coordinator that does not keep up with its events, so
// that another instance takes over.
var ErrBehind = errors.New("coordinator is behind")

// minTerm is how long a term lasts before it may end with ErrBehind: after a takeover
// every runner reports at once, and a handover costs all of them a new epoch.
const minTerm = 8 * time.Second

// posted is an event with the time at which it was posted.
type posted struct {
	event
	at time.Duration
}

// take applies an event.
func (t *leader) take(p posted) {
	t.oldest = max(t.oldest, t.env.Clock()-p.at)
	p.apply(t)
}

// noteLag records how far behind the round was that ends. A round without events says
// nothing while some wait: it was a tick's.
func (t *leader) noteLag(now time.Duration) {
	oldest := t.oldest
	t.oldest = 0
	if oldest == 0 && len(t.events) > 0 {
		return
	}
	t.backlog.note(oldest, now)
	t.logLag(now)
}

// logLag logs that the coordinator is behind, now and then, and that it has caught up.
func (t *leader) logLag(now time.Duration) {
	if t.backlog.lag <= lagLogged {
		if t.lagLogged {
			t.env.Log.Info("coordinator has caught up")
		}
		t.lagLogged, t.lagLog = false, logThrottle{}
		return
	}
	if !t.lagLog.due(now) {
		return
	}
	t.lagLogged = true
	t.lagLog.logged(now)
	t.env.Log.WithFields(logrus.Fields{"lag_ms": t.backlog.lag.Milliseconds(), "queue": len(t.events),
		"jobs": len(t.core.jobs), "runners": len(t.core.runners)}).Warn("coordinator is behind")
}

// exportLag sets the gauge of the lag.
func (t *leader) exportLag(lag time.Duration) {
	if t.env.Gauge != nil {
		t.env.Gauge("coordinator_lag_ms", lag.Milliseconds())
	}
}

// overdue returns ErrBehind if another instance should coordinate. While the lease can't
// be renewed, nobody could take it.
func (t *leader) overdue(now time.Duration) error {
	if now-t.coordinating < minTerm || !t.backlog.behind(now) || !t.term.IsExclusive() {
		return nil
	}
	return fmt.Errorf("%w: it applies events of %v ago", ErrBehind, t.backlog.lag)
}
