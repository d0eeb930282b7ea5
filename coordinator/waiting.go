package coordinator

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// Times after which the log says why a step waits, and says it again.
const (
	firstWaitLog = time.Second
	nextWaitLog  = 5 * time.Second
)

// obstacle is why a task is not started on a runner.
type obstacle uint8

const (
	noObstacle obstacle = iota
	otherService
	notUsable     // gone, draining, silent, or with runs that are being stopped
	avoided       // it failed or refused tasks lately
	noLabel       // it lacks the label that the step requires
	spreadReached // it has as many tasks of the step as it may
	noRoom
	noTicket      // the adviser has not allowed it
	noProcessors  // the other tasks leave too little of its processors
	troubledTasks // serving tasks there have been over their target for long
	harmsTasks    // the task would have to be slowed too much for serving tasks
	obstacles     // their number
)

var obstacleNames = [obstacles]string{noObstacle: "none", otherService: "of another service", notUsable: "not usable",
	avoided: "avoided", noLabel: "without label", spreadReached: "spread reached", noRoom: "no room", noTicket: "no ticket",
	noProcessors: "no processors left", troubledTasks: "serving tasks over target", harmsTasks: "would harm serving tasks"}

// logWait logs that a step waits, and why, once in a while.
func (c *Core) logWait(w *work, cause string, now time.Duration) {
	if !w.wait.due(now) || len(w.pending) == 0 {
		return
	}
	w.wait.logged(now)
	c.counters("waits_told", 1)
	c.log.WithFields(logrus.Fields{"job": w.job.ID, "step": w.index, "tasks": len(w.pending), "cause": cause,
		"late_ms": (-w.precedence.slack).Milliseconds()}).Info("step waits")
}

// logNoRunner logs why no runner takes a step's next task.
func (c *Core) logNoRunner(w *work, now time.Duration) {
	if w.wait.due(now) {
		c.logWait(w, c.obstaclesTo(w, now), now)
	}
}

// obstaclesTo counts the runners by what keeps the step's next task from them.
func (c *Core) obstaclesTo(w *work, now time.Duration) string {
	var counts [obstacles]int
	for _, r := range c.runners {
		o := c.obstacle(w, r, now)
		if o == noObstacle && w.step.BestEffort {
			o = c.fillObstacle(w, r, c.forecast(r, w.step, w.kind, w.precedence), now)
		}
		counts[o]++
	}
	var parts []string
	for o, n := range counts {
		if n > 0 && obstacle(o) != otherService {
			parts = append(parts, fmt.Sprintf("%s %d", obstacleNames[o], n))
		}
	}
	return strings.Join(parts, ", ")
}

// logThrottle spaces the lines about one wait.
type logThrottle struct {
	since time.Duration // of the wait, or of the last line; zero if nothing waits
	pause time.Duration
}

// due reports whether it is time for a line. The first call begins the wait.
func (t *logThrottle) due(now time.Duration) bool {
	if t.since == 0 {
		*t = logThrottle{now, firstWaitLog}
	}
	return now-t.since >= t.pause
}

// logged begins the next wait for a line.
func (t *logThrottle) logged(now time.Duration) { *t = logThrottle{now, nextWaitLog} }
