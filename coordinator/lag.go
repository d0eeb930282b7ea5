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

// minTermDuration is how long a term lasts before it may end with ErrBehind: after a takeover
// every runner reports at once, and each handover makes all of them go to a new epoch.
const minTermDuration = 8 * time.Second

// queuedEvent is an event with the local time at which it was posted.
type queuedEvent struct {
	event
	postedAt time.Duration
}

// applyEvent applies an event and notes its age.
func (t *leader) applyEvent(queued queuedEvent) {
	t.oldestEventAge = max(t.oldestEventAge, t.env.Clock()-queued.postedAt)
	queued.apply(t)
}

// updateLag sets the lag to the age of the oldest event that was applied in this pass of
// the loop, and logs it. If none was applied although some wait, the pass handled a tick
// and says nothing about the lag.
func (t *leader) updateLag(now time.Duration) {
	oldestAge := t.oldestEventAge
	t.oldestEventAge = 0
	if oldestAge == 0 && len(t.events) > 0 {
		return
	}
	t.backlog.record(oldestAge, now)
	t.logLag(now)
}

// logLag logs that the coordinator is behind, at growing intervals, and once that it has
// caught up.
func (t *leader) logLag(now time.Duration) {
	if t.backlog.lag <= minLoggedLag {
		if t.isLagLogged {
			t.env.Log.Info("coordinator has caught up")
		}
		t.isLagLogged, t.lagLogThrottle = false, logThrottle{}
		return
	}
	if !t.lagLogThrottle.isDue(now) {
		return
	}
	t.isLagLogged = true
	t.lagLogThrottle.noteLogged(now)
	t.env.Log.WithFields(logrus.Fields{"lag_ms": t.backlog.lag.Milliseconds(), "queue": len(t.events),
		"jobs": len(t.core.jobs), "runners": len(t.core.runners)}).Warn("coordinator is behind")
}

// exportLag sets the metric of the lag, in milliseconds.
func (t *leader) exportLag(lag time.Duration) {
	if t.env.Gauge != nil {
		t.env.Gauge("coordinator_lag_ms", lag.Milliseconds())
	}
}

// checkBehind returns ErrBehind if the coordinator has been too far behind for too long,
// so that another instance should coordinate. The term goes on while the coordinator's
// lease can't be renewed: no other instance could take it then.
func (t *leader) checkBehind(now time.Duration) error {
	if now-t.coordinatingSince < minTermDuration || !t.backlog.isBehind(now) || !t.term.IsExclusive() {
		return nil
	}
	return fmt.Errorf("%w: the oldest event applied had waited for %v", ErrBehind, t.backlog.lag)
}
