package coordinator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/rowstore"
)

// evacuation holds which failure domains are evacuated: no task is started on their runners.
type evacuation struct {
	domains         []string // sorted
	moves           []evacuationMove
	nextCandidate   int // at which the next search for tasks to move begins
	leftLogThrottle logThrottle
}

// EvacuationStatus says how far the evacuation of failure domains is.
type EvacuationStatus struct {
	Domains     int // that are evacuated, also unknown ones
	Runs        int // that are left there
	LongRunning int // of these, those of long-running tasks
}

// beginAttempt records that an attempt to send the order begins, and reports whether the order
// still has to be sent. An order for which it has never returned true has not been sent: it
// sets Attempted before it reads Settled, and withdrawStart sets Settled before it reads
// Attempted.
func (o Order) beginAttempt() bool {
	if o.Attempted != nil {
		o.Attempted.Store(true)
	}
	return !o.Settled.Load()
}

// maxStartDelay is how long after it was sent a runner may still carry out a start. It bounds
// how late a start that was delayed on its way can follow an evacuation, also if its stop is
// delayed too: this time and the time that the coordinator takes to read the request have to
// fit into 5 s. A start that takes longer has been sent again, since each attempt waits for its
// answer for less than a second.
const maxStartDelay = 3 * time.Second

// startDeadline returns the time on the runner's clock from which on the runner refuses a start
// that is sent now. It is not the end of a lease: a runner never shortens its leases.
func (l *leaseState) startDeadline(now time.Duration) time.Duration {
	return l.clockReading + (now - l.receivedAt) + maxStartDelay
}

// SetEvacuatedDomains sets the failure domains that are evacuated. Nothing is started there any
// more, and starts that were ordered and are not confirmed are withdrawn. It costs little if the
// domains have not changed.
func (c *Core) SetEvacuatedDomains(domains []string, now time.Duration) {
	if slices.Equal(domains, c.evacuation.domains) {
		return
	}
	before := c.evacuation.domains
	c.evacuation.domains = slices.Sorted(slices.Values(domains))
	for _, r := range c.sortedRunners() {
		c.updateEvacuated(r, now)
	}
	c.logEvacuationChange(before)
}

// isEvacuated reports whether a failure domain is evacuated.
func (e *evacuation) isEvacuated(domain string) bool {
	_, found := slices.BinarySearch(e.domains, domain)
	return found && domain != ""
}

// updateEvacuated records whether the runner's failure domain is evacuated.
func (c *Core) updateEvacuated(r *runner, now time.Duration) {
	evacuated := c.evacuation.isEvacuated(r.Domain)
	if evacuated == r.evacuated {
		return
	}
	r.evacuated = evacuated
	c.recordChange(r)
	if evacuated {
		c.withdrawStarts(r, now)
	} else {
		r.domainReturn = domainReturn{since: now}
	}
}

// EvacuationStatus returns how far the evacuation is.
func (c *Core) EvacuationStatus() EvacuationStatus {
	status := EvacuationStatus{Domains: len(c.evacuation.domains)}
	for _, r := range c.runners {
		if !r.evacuated {
			continue
		}
		status.Runs += len(r.runs)
		for run := range r.runs {
			if run.step.LongRunning {
				status.LongRunning++
			}
		}
	}
	return status
}

// withdrawStarts withdraws the starts on a runner that were ordered and are not confirmed.
func (c *Core) withdrawStarts(r *runner, now time.Duration) {
	runs := slices.SortedFunc(maps.Keys(r.runs), func(a, b *taskRun) int { return cmp.Compare(a.task.String(), b.task.String()) })
	for _, run := range runs {
		if run.state == stateStarting {
			c.withdrawStart(run, now)
		}
	}
}

// withdrawStart withdraws an unconfirmed start. If the order was never sent, its task becomes
// pending again. Otherwise the runner may have started the run or may still do so, and the run
// is stopped.
func (c *Core) withdrawStart(run *taskRun, now time.Duration) {
	run.lastOrderSettled.Store(true)
	mayHaveStarted := run.startAttempted == nil || run.startAttempted.Load()
	c.counters("starts_withdrawn", 1)
	c.log.WithFields(logrus.Fields{"task": run.task, "run": run.number, "runner": run.runner.ID, "may_have_started": mayHaveStarted}).Info("start withdrawn")
	if mayHaveStarted {
		c.stopRun(run, now)
		return
	}
	c.detachRun(run)
	if run.openStep != nil {
		// The task could be started in spite of unresolved runners, and still can.
		run.openStep.recordHiddenEnd(run.task.Index)
	}
	c.requeue(run.job, run.task)
}

// logEvacuationChange logs the domains whose evacuation has begun or ended, and what an operator
// may not have meant: a domain without runners, and the evacuation of all domains.
func (c *Core) logEvacuationChange(before []string) {
	for _, domain := range c.evacuation.domains {
		if slices.Contains(before, domain) {
			continue
		}
		runners, runs := c.countInDomain(domain)
		entry := c.log.WithFields(logrus.Fields{"domain": domain, "runners": runners, "runs": runs})
		if runners == 0 {
			entry.Error("evacuation of an unknown domain: no registered runner is in it")
		} else {
			entry.Warn("domain is evacuated: nothing is started there")
		}
	}
	for _, domain := range before {
		if !slices.Contains(c.evacuation.domains, domain) {
			c.log.WithField("domain", domain).Warn("evacuation of domain withdrawn")
		}
	}
	if c.isEverythingEvacuated() {
		c.log.WithField("domains", len(c.evacuation.domains)).Error("every runner is in an evacuated domain: nothing is started")
	}
}

// countInDomain returns the number of registered runners in a failure domain and of the runs on
// all of its runners.
func (c *Core) countInDomain(domain string) (runners, runs int) {
	for _, r := range c.runners {
		if r.Domain != domain {
			continue
		}
		runs += len(r.runs)
		if r.registered {
			runners++
		}
	}
	return runners, runs
}

// isEverythingEvacuated reports whether there are registered runners and all are evacuated.
func (c *Core) isEverythingEvacuated() bool {
	registered := 0
	for _, r := range c.runners {
		if !r.registered {
			continue
		}
		if !r.evacuated {
			return false
		}
		registered++
	}
	return registered > 0
}

// inheritEvacuations reads the requests for evacuations and applies them. A successor must not
// rely on what it followed before: it may be behind its predecessor.
func (coord *coordinator) inheritEvacuations(ctx context.Context, store rowstore.Store) error {
	if coord.env.RefreshEvacuatedDomains != nil {
		if err := coord.env.RefreshEvacuatedDomains(ctx, store); err != nil {
			return err
		}
	}
	coord.updateEvacuatedDomains(coord.env.Clock())
	if coord.env.WithdrawnEvacuations != nil {
		coord.core.limitReturns(coord.env.WithdrawnEvacuations())
	}
	return nil
}

// exportEvacuation sets the metrics of the evacuation.
func (coord *coordinator) exportEvacuation(status EvacuationStatus) {
	if coord.env.Gauge != nil {
		coord.env.Gauge("evacuated_domains", int64(status.Domains))
		coord.env.Gauge("evacuated_runs", int64(status.Runs))
		coord.env.Gauge("evacuated_long_running", int64(status.LongRunning))
	}
}

// updateEvacuatedDomains passes the domains under evacuation to the core.
func (coord *coordinator) updateEvacuatedDomains(now time.Duration) {
	if coord.env.EvacuatedDomains != nil {
		coord.core.SetEvacuatedDomains(coord.env.EvacuatedDomains(), now)
	}
}
