package coordinator

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// Times after which the log says for the first time, and again, why a step waits.
const (
	firstWaitLogDelay = time.Second
	waitLogInterval   = 5 * time.Second
)

// obstacle is the reason why a task can't be started on a runner.
type obstacle uint8

const (
	noObstacle obstacle = iota
	otherService
	domainEvacuated
	domainReturning     // the evacuation of the domain was withdrawn shortly before, and enough tasks were started on the runner for now
	notUsable           // the runner is not registered, has not reported, is draining or cordoned, has blocked jobs, or its leases can't be extended
	runnerAvoided       // tasks failed, were refused or made no progress on the runner recently
	missingLabel        // the runner lacks the label that the step requires
	maxPerRunnerReached // the runner has as many tasks of the step as the step allows
	resultListFull      // the runner may not be able to list the results of more runs in one report
	noFreeCapacity
	noTicket         // the adviser has given no valid ticket for the runner
	noIdleProcessors // other tasks leave too few processors of the runner
	tasksOverTarget  // a serving task on the runner has been over its target for long
	wouldInterfere   // serving tasks allow the task too low a pace
	obstacleCount    // number of obstacles
)

var obstacleNames = [obstacleCount]string{noObstacle: "none", otherService: "of another service", domainEvacuated: "in an evacuated domain", domainReturning: "back from an evacuation", notUsable: "not usable",
	runnerAvoided: "avoided", missingLabel: "without label", maxPerRunnerReached: "limit per runner reached", resultListFull: "result list full", noFreeCapacity: "no free capacity", noTicket: "no ticket",
	noIdleProcessors: "no idle processors", tasksOverTarget: "serving tasks over target", wouldInterfere: "would interfere with serving tasks"}

// logWait logs that a step waits, and the cause, if a line is due.
func (c *Core) logWait(s *openStep, cause string, now time.Duration) {
	if !s.waitLogThrottle.isDue(now) || len(s.pending) == 0 {
		return
	}
	s.waitLogThrottle.recordLogged(now)
	c.counters("waits_told", 1)
	c.log.WithFields(logrus.Fields{"job": s.job.ID, "step": s.index, "tasks": len(s.pending), "cause": cause,
		"late_ms": (-s.precedence.slack).Milliseconds()}).Info("step waits")
}

// logNoRunner logs why no runner takes the step's next task, if a line is due.
func (c *Core) logNoRunner(s *openStep, now time.Duration) {
	if s.waitLogThrottle.isDue(now) {
		c.logWait(s, c.describeObstacles(s, now), now)
	}
}

// describeObstacles returns the number of runners for each obstacle to the step's next task.
func (c *Core) describeObstacles(s *openStep, now time.Duration) string {
	var counts [obstacleCount]int
	for _, r := range c.runners {
		found := c.findObstacle(s, r, now)
		if found == noObstacle && s.step.BestEffort {
			found = c.bestEffortObstacle(s, r, c.forecastStart(s, r), now)
		}
		counts[found]++
	}
	var parts []string
	for kind, n := range counts {
		if n > 0 && obstacle(kind) != otherService {
			parts = append(parts, fmt.Sprintf("%s %d", obstacleNames[kind], n))
		}
	}
	return strings.Join(parts, ", ")
}

// logThrottle limits how often a wait is logged.
type logThrottle struct {
	since time.Duration // start of the wait, or time of the last line; zero if nothing waits
	pause time.Duration
}

// isDue reports whether it is time for a line. The first call starts the wait.
func (t *logThrottle) isDue(now time.Duration) bool {
	if t.since == 0 {
		*t = logThrottle{now, firstWaitLogDelay}
	}
	return now-t.since >= t.pause
}

// recordLogged records that a line was logged. The next one is due after waitLogInterval.
func (t *logThrottle) recordLogged(now time.Duration) { *t = logThrottle{now, waitLogInterval} }
