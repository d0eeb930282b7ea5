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

// minTermDuration is how long a term lasts before it may end with ErrBehind: after a
// takeover every runner reports at once, and each handover makes all of them change to a new
// epoch.
const minTermDuration = 8 * time.Second

// queuedEvent is an event with the local time at which it was posted.
type queuedEvent struct {
	event
	postedAt time.Duration
}

// applyEvent applies an event. It records the age of the event if none applied in this pass
// of the loop was older.
func (coord *coordinator) applyEvent(queued queuedEvent) {
	coord.oldestEventAge = max(coord.oldestEventAge, coord.env.Clock()-queued.postedAt)
	queued.apply(coord)
}

// updateLag sets the lag to the age of the oldest event that was applied in this pass of
// the loop, and logs it. If none was applied although some wait, the pass handled a tick
// and says nothing about the lag.
func (coord *coordinator) updateLag(now time.Duration) {
	oldestAge := coord.oldestEventAge
	coord.oldestEventAge = 0
	if oldestAge == 0 && len(coord.events) > 0 {
		return
	}
	coord.lagTracker.record(oldestAge, now)
	coord.logLag(now)
}

// logLag logs that the coordinator is behind, at growing intervals, and once that it has
// caught up.
func (coord *coordinator) logLag(now time.Duration) {
	if coord.lagTracker.lag <= minLoggedLag {
		if coord.isLagLogged {
			coord.env.Log.Info("coordinator has caught up")
		}
		coord.isLagLogged, coord.lagLogThrottle = false, logThrottle{}
		return
	}
	if !coord.lagLogThrottle.isDue(now) {
		return
	}
	coord.isLagLogged = true
	coord.lagLogThrottle.recordLogged(now)
	coord.env.Log.WithFields(logrus.Fields{"lag_ms": coord.lagTracker.lag.Milliseconds(), "queue": len(coord.events),
		"jobs": len(coord.core.jobs), "runners": len(coord.core.runners)}).Warn("coordinator is behind")
}

// exportLag sets the metric of the lag, in milliseconds.
func (coord *coordinator) exportLag(lag time.Duration) {
	if coord.env.Gauge != nil {
		coord.env.Gauge("coordinator_lag_ms", lag.Milliseconds())
	}
}

// checkBehind returns ErrBehind if the coordinator has been too far behind for too long,
// so that another instance should coordinate. The term goes on while the coordinator's
// lease can't be renewed: no other instance could take it then.
func (coord *coordinator) checkBehind(now time.Duration) error {
	if now-coord.coordinatingSince < minTermDuration || !coord.lagTracker.isBehind(now) || !coord.term.IsExclusive() {
		return nil
	}
	return fmt.Errorf("%w: the oldest event applied had waited for %v", ErrBehind, coord.lagTracker.lag)
}
