package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

const (
	// copyInterval is the least time between two decisions on copies, since each one examines all
	// runs of tasks that may have copies. It is as much longer as there are multiples of
	// copyIntervalRuns of them: a decision on 4,000 runs took 4 ms.
	copyInterval     = 100 * time.Millisecond
	copyIntervalRuns = 1000
)

// maxCopySearches bounds the runs for which a runner is searched in one decision.
const maxCopySearches = 16

// unprovenFactor multiplies the expected time on runners without a recent success in the choice
// of a runner for a copy.
const unprovenFactor = 1.2

// speculation holds what decisions on speculative copies depend on. Its zero value is ready
// for use.
type speculation struct {
	runTimes runTimes
	// runs holds the runs of tasks that may have copies, and some that no longer exist.
	runs map[*taskRun]struct{}
	// pairs holds the tasks of speculative steps that have several runs, and some that had.
	pairs        map[jobs.TaskID]*job
	nextDecision time.Duration
	policy       copyPolicy // nil for copyPays
}

// mayHaveCopies reports whether tasks of the step may get speculative copies. Members of gangs make
// progress only together, long-running tasks have no end to bring forward, and best-effort
// tasks are slowed by their pace, to which a copy would be subject too.
func mayHaveCopies(step *jobs.Step) bool {
	return step.Speculative && !step.Gang && !step.LongRunning && !step.BestEffort
}

// recordRun records a run that has been added to its job.
func (sp *speculation) recordRun(run *taskRun) {
	if !mayHaveCopies(run.step) {
		return
	}
	if sp.runs == nil {
		sp.runs, sp.pairs = map[*taskRun]struct{}{}, map[jobs.TaskID]*job{}
	}
	sp.runs[run] = struct{}{}
	if len(run.job.runs[run.task]) > 1 {
		sp.pairs[run.task] = run.job
	}
}

// sortedPairs returns the tasks that have several runs, in the order of their IDs.
func (sp *speculation) sortedPairs() [][]*taskRun {
	var pairs [][]*taskRun
	for task, j := range sp.pairs {
		if runs := j.runs[task]; len(runs) > 1 {
			pairs = append(pairs, runs)
		} else {
			delete(sp.pairs, task)
		}
	}
	slices.SortFunc(pairs, func(a, b []*taskRun) int { return cmp.Compare(a[0].task.String(), b[0].task.String()) })
	return pairs
}

// mayHideEnd reports whether the end of an adopted run can be hidden from a predecessor. It can't
// be if the predecessor may have started a copy of the run: the predecessor may learn that the
// copy has done the task.
func (run *taskRun) mayHideEnd() bool { return !mayHaveCopies(run.step) }

// isDoneByCopy reports whether another run has done the task of a speculative step, so that a
// failure of a run that was to be stopped must not fail the job.
func (j *job) isDoneByCopy(id jobs.TaskID) bool {
	task := j.Task(id)
	return j.Spec.Steps[id.Step].Speculative && task != nil && task.Done
}

// isFurthest reports whether no other run of the task has saved a checkpoint of a greater progress
// than the given one.
func (run *taskRun) isFurthest(percent int) bool {
	return !slices.ContainsFunc(run.job.runs[run.task], func(other *taskRun) bool {
		return other != run && other.checkpointPercent > percent
	})
}

// recordRunEnd records the run time of a run that has ended and, if it was a copy, its outcome.
// It has to be called before the result is applied to the task.
func (c *Core) recordRunEnd(run *taskRun, kind ResultKind, now time.Duration) {
	task := run.job.Task(run.task)
	isTaskDone := task == nil || task.Done
	c.recordRunTime(run, kind, isTaskDone, now)
	c.recordCopyEnd(run, kind.String(), kind == EndedDone && !isTaskDone && !run.job.State.IsTerminal())
}

// recordCopyEnd counts and logs the end of a run if it was a copy.
func (c *Core) recordCopyEnd(run *taskRun, how string, won bool) {
	if !run.isCopy {
		return
	}
	if won {
		c.counters("copies_won", 1)
	} else {
		c.counters("copies_lost", 1)
	}
	c.log.WithFields(logrus.Fields{"job": run.job.ID, "task": run.task, "run": run.number, "runner": run.runner.ID, "how": how, "won": won}).Info("copy ended")
}

// startCopies orders the start of speculative copies that pay, on capacity that is idle after
// the waiting tasks of a service have been started.
func (c *Core) startCopies(now time.Duration) {
	if now < c.speculation.nextDecision {
		return
	}
	c.speculation.nextDecision = now + copyInterval*time.Duration(1+len(c.speculation.runs)/copyIntervalRuns)
	byJob := c.collectCopyableRuns(now)
	if len(byJob) == 0 {
		return
	}
	runs, copies := c.countRunsAndCopies()
	closed := c.servicesWithWaitingTasks(now)
	for service, n := range runs {
		closed[service] = closed[service] || allowedCopies(n, copies[service]) <= 0
	}
	candidates := c.collectCandidates(byJob, closed, now)
	sortCandidates(candidates)
	searches := 0
	for _, candidate := range candidates {
		service := candidate.run.job.queue.Service
		if allowedCopies(runs[service], copies[service]) <= 0 {
			continue
		}
		if searches++; searches > maxCopySearches {
			return
		}
		if candidate.target = c.pickCopyRunner(candidate.run, now); candidate.target == nil {
			continue
		}
		var pays bool
		if candidate.forecast, pays = c.copyPolicy()(candidate.option, c.copyFactor(candidate.run.openStep, candidate.target)); !pays {
			continue
		}
		c.startCopy(candidate, now)
		runs[service]++
		copies[service]++
	}
}

func (c *Core) copyPolicy() copyPolicy {
	if c.speculation.policy != nil {
		return c.speculation.policy
	}
	return copyPays
}

// servicesWithWaitingTasks returns the services in which a task waits to be started. Tasks do not
// count for which no usable runner is large enough or has the label.
func (c *Core) servicesWithWaitingTasks(now time.Duration) map[string]bool {
	services := map[string]bool{}
	for _, s := range c.waitingSteps {
		if service := s.job.queue.Service; !services[service] && len(s.pending) > 0 && c.hasLargeEnoughRunner(s, now) {
			services[service] = true
		}
	}
	return services
}

// countRunsAndCopies returns, by service, the number of runs of finite plain tasks and how many
// of them are copies. Of several runs of a task all but one count as copies.
func (c *Core) countRunsAndCopies() (runs, copies map[string]int) {
	runs, copies = map[string]int{}, map[string]int{}
	for _, r := range c.runners {
		for run := range r.runs {
			if !run.step.LongRunning && !run.step.BestEffort {
				runs[r.Service]++
			}
		}
	}
	for _, pair := range c.speculation.sortedPairs() {
		copies[pair[0].job.queue.Service] += len(pair) - 1
	}
	return runs, copies
}

// mayCopy reports whether the run's task may get a copy. A copy needs a run number that no run of
// the task has, so none is started while a runner may run unknown tasks of the predecessor, or may
// run the task. None is started either if one more failed run would fail the job.
func (c *Core) mayCopy(run *taskRun) bool {
	j := run.job
	if !mayHaveCopies(run.step) || run.openStep == nil || run.state != stateRunning || j.State.IsTerminal() || len(j.runs[run.task]) > 1 {
		return false
	}
	if j.inherited && len(c.unresolved) > 0 || c.heldTasks.isHeld(run.task) {
		return false
	}
	return j.queue.MaxAttempts <= 0 || j.Failures(run.task)+1 < j.queue.MaxAttempts
}

// collectCopyableRuns returns, by job, the runs that may get a copy and have gone on for long enough
// to be examined.
func (c *Core) collectCopyableRuns(now time.Duration) map[*job][]*taskRun {
	byJob := map[*job][]*taskRun{}
	for run := range c.speculation.runs {
		if _, exists := run.runner.runs[run]; !exists {
			delete(c.speculation.runs, run)
		} else if c.mayCopy(run) && now-run.startedAt >= minCopyGain {
			byJob[run.job] = append(byJob[run.job], run)
		}
	}
	return byJob
}

// collectCandidates returns the copies that pay on a usual runner. It leaves out the closed services
// and jobs whose completion is not worth anything any more.
func (c *Core) collectCandidates(byJob map[*job][]*taskRun, closed map[string]bool, now time.Duration) []copyCandidate {
	var candidates []copyCandidate
	blocked := c.collectBlockedJobs()
	for j, runs := range byJob {
		allowed := j.objective + (farTooLateFactor-1)*j.allowedTime
		if closed[j.queue.Service] || blocked[j.ID] || now+c.storeOffset > allowed {
			continue
		}
		var paths *jobPaths // computed if a run of the job is slow
		for _, run := range runs {
			option := c.copyInputs(run, now)
			if !option.isSlow() && c.speculation.policy == nil {
				continue
			}
			if paths == nil {
				paths = c.jobPaths(j, now)
			}
			option.otherPath = paths.without(run.task)
			if forecast, pays := c.copyPolicy()(option, 1); pays {
				candidates = append(candidates, copyCandidate{option: option, run: run, forecast: forecast})
			}
		}
	}
	return candidates
}

// copyInputs returns what is known of a run, without otherPath.
func (c *Core) copyInputs(run *taskRun, now time.Duration) copyInputs {
	s := run.openStep
	o := copyInputs{task: run.task, stated: s.step.Estimate, elapsed: now - run.startedAt, restShare: 1,
		timeAfterStep: max(0, s.chainTime-run.job.taskEstimates[s.index]), untilObjective: run.job.objective - now - c.storeOffset}
	var fromSiblings bool
	o.usual, fromSiblings = c.usualRunTime(s)
	o.ratios = c.speculation.runTimes.sortedRatios(run.job.Queue.Name, fromSiblings)
	if o.remaining, o.hasProjection = run.projectRemaining(now); o.hasProjection {
		o.fullTime = run.fullTime()
	}
	if s.step.Checkpoints && run.checkpoint != "" {
		o.restShare = 1 - float64(run.checkpointPercent)/fullPace
	}
	return o
}

// jobPaths returns the expected ends of the chains of steps from the running tasks of a job on.
func (c *Core) jobPaths(j *job, now time.Duration) *jobPaths {
	var paths jobPaths
	for task, runs := range j.runs {
		s := runs[0].openStep
		if s == nil || s.step.LongRunning {
			continue
		}
		end := max(0, j.taskEstimates[s.index]-(now-runs[0].startedAt))
		if s.hasMeasuredRunTime() {
			end = c.expectedEnd(runs, now)
		}
		paths.add(task, end+max(0, s.chainTime-j.taskEstimates[s.index]))
	}
	return &paths
}

// expectedEnd returns how long a task with the given runs is expected to go on.
func (c *Core) expectedEnd(runs []*taskRun, now time.Duration) time.Duration {
	end := noDeadline
	for _, run := range runs {
		option := c.copyInputs(run, now)
		if c.mayCopy(run) && option.isSlow() {
			end = min(end, option.expectedEndWithCopy())
		} else {
			end = min(end, option.expectedRemaining())
		}
	}
	return end
}

// copyFactor returns the factor by which one of the step's tasks is expected to take longer on a
// runner than on a usual one.
func (c *Core) copyFactor(s *openStep, r *runner) float64 {
	return c.farFactor(s.step.DataRack, r) * r.health.slowness.factor()
}

// pickCopyRunner returns the runner on which a copy of the run is expected to end first, or nil.
// It considers only runners that are free of reservations and of recent failures and that run
// no other run of the task, and only capacity that is not kept for displaced tasks.
func (c *Core) pickCopyRunner(run *taskRun, now time.Duration) *runner {
	s := run.openStep
	res := c.serviceReservations.forService(run.job.queue.Service)
	if res.freeMilli-float64(s.step.Reserved().CPUMilli) < res.displacedMilli {
		return nil
	}
	var best *runner
	var bestFactor float64
	for _, r := range c.sortedRunners() {
		if len(r.reservations) > 0 || r.health.isUnreliable(now) || hasRunOn(run.job.runs[run.task], r) || !c.isEligible(s, r, now) {
			continue
		}
		factor := c.copyFactor(s, r)
		if !r.health.isProven(now) {
			factor *= unprovenFactor
		}
		if best == nil || factor < bestFactor {
			best, bestFactor = r, factor
		}
	}
	return best
}

// hasRunOn reports whether one of the runs is on the runner.
func hasRunOn(runs []*taskRun, r *runner) bool {
	return slices.ContainsFunc(runs, func(run *taskRun) bool { return run.runner == r })
}

// startCopy orders the start of a copy.
func (c *Core) startCopy(candidate copyCandidate, now time.Duration) {
	first, s, o := candidate.run, candidate.run.openStep, candidate.option
	c.log.WithFields(logrus.Fields{"job": first.job.ID, "task": first.task, "run": first.number, "runner": first.runner.ID, "percent": first.percent,
		"elapsed_ms": o.elapsed.Milliseconds(), "usual_ms": o.usual.Milliseconds(), "left_ms": o.expectedRemaining().Milliseconds(),
		"copy_runner": candidate.target.ID, "win_percent": int(100 * candidate.forecast.winProbability), "gain_ms": candidate.forecast.gain.Milliseconds(),
		"objective_ms": o.untilObjective.Milliseconds()}).Info("copy started")
	c.counters("copies_started", 1)
	c.startTask(s, first.task.Index, c.nextRunNumber(s, first.task.Index), candidate.target, now)
	runs := s.job.runs[first.task]
	runs[len(runs)-1].isCopy = true
	// The number of the copy's run is stored soon, so that a successor does not use it again.
	c.markUnstored(s.job, false)
}

// yieldCopies stops runs of tasks that have several where that makes room for a waiting task. Of
// the runs of a task the one that is expected to go on for longest is stopped. The capacity is
// reserved for the waiting task, as after a preemption.
func (c *Core) yieldCopies(now time.Duration) {
	pairs := c.speculation.sortedPairs()
	if len(pairs) == 0 {
		return
	}
	for _, s := range c.waitingSteps {
		if s.job.State.IsTerminal() || s.waitingSince == 0 {
			continue
		}
		for missing := len(c.startableTasks(s)) - s.reservationCount; missing > 0; missing-- {
			if !c.yieldOneCopy(s, pairs, now) {
				break
			}
		}
	}
}

// yieldOneCopy stops one run of a task with several so that one more task of a waiting step
// fits, and reports whether there was one.
func (c *Core) yieldOneCopy(s *openStep, pairs [][]*taskRun, now time.Duration) bool {
	for _, pair := range pairs {
		run := surplusRun(pair, now)
		if run == nil || c.findObstacle(s, run.runner, now) != noFreeCapacity || !s.isPermitted(run.runner, now) {
			continue
		}
		needed := run.runner.held.Add(s.step.Reserved()).Sub(run.step.Reserved())
		for _, res := range run.runner.reservations {
			needed = needed.Add(res.step.step.Reserved())
		}
		if !needed.Fits(run.runner.Capacity) {
			continue
		}
		c.log.WithFields(logrus.Fields{"job": run.job.ID, "task": run.task, "run": run.number, "runner": run.runner.ID, "for": s.job.ID, "step": s.index}).Info("copy gives way")
		c.counters("copies_yielded", 1)
		c.stopRun(run, now)
		if !s.step.Gang {
			c.reserveCapacity(s, run.runner, now)
		}
		return true
	}
	return false
}

// surplusRun returns the run that is to be stopped so that one of a task's runs goes on, or nil
// if only one does.
func surplusRun(runs []*taskRun, now time.Duration) *taskRun {
	var surplus *taskRun
	working := 0
	for _, run := range runs {
		if run.state == stateStopping {
			continue
		}
		working++
		if surplus == nil || run.expectedLeft(now) > surplus.expectedLeft(now) {
			surplus = run
		}
	}
	if working < 2 {
		return nil
	}
	return surplus
}

// expectedLeft estimates how long a run of a task with several goes on. A run whose progress says
// nothing yet is taken to have the whole task before it.
func (run *taskRun) expectedLeft(now time.Duration) time.Duration {
	if left, known := run.projectRemaining(now); known {
		return left
	}
	return max(0, run.job.taskEstimates[run.task.Step]-(now-run.startedAt))
}
