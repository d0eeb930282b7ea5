package coordinator

// A coordinator that is behind has answers whose reports it has not applied. Such a report may list
// the end of a run on a runner that was given up: its leases had expired before it answered. The task
// must not be started once more after the runner has been told that its result has arrived, so the
// tasks in question wait until the report has been applied.

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

// AwaitAnsweredRunners makes the runners unresolved again that were given up and have answered since,
// as hasAnswered tells.
func (c *Core) AwaitAnsweredRunners(hasAnswered func(runnerID string) bool) {
	for id, expiry := range c.givenUp {
		if hasAnswered(id) {
			delete(c.givenUp, id)
			c.unresolved[id] = expiry
		}
	}
}
