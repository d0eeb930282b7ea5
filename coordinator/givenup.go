package coordinator

import "bergamotstile/jobs"

// A coordinator that is behind has answers whose reports it has not applied. Such a report may list
// the end of a run on a runner whose leases had expired before it answered. The task must not be
// started once more after the runner has been told that its result has arrived, so the tasks in
// question wait until the report has been applied.

// giveUpRunner resolves a runner of which no report has been applied, because the predecessor's leases
// on it have expired.
func (c *Core) giveUpRunner(id string) {
	expiry, isUnresolved := c.unresolved[id]
	if !isUnresolved {
		return
	}
	c.resolveRunner(id)
	c.givenUp[id] = expiry
}

// recordExpiredTask records that a task became pending again because the leases on a runner expired.
func (c *Core) recordExpiredTask(runnerID string, task jobs.TaskID) {
	c.expiredTasks[runnerID] = append(c.expiredTasks[runnerID], task)
}

// AwaitAnsweredRunners makes tasks wait for the reports of runners on which leases had expired and which
// have answered since, as hasAnswered tells: the predecessor's runners that were given up become
// unresolved again, and tasks that ran on others are not startable.
func (c *Core) AwaitAnsweredRunners(hasAnswered func(runnerID string) bool) {
	for id, expiry := range c.givenUp {
		if hasAnswered(id) {
			delete(c.givenUp, id)
			c.unresolved[id] = expiry
		}
	}
	clear(c.awaitedTasks)
	for id, tasks := range c.expiredTasks {
		if !hasAnswered(id) {
			continue
		}
		for _, task := range tasks {
			c.awaitedTasks[task] = struct{}{}
		}
	}
}
