package coordinator

// A report lists a limited number of results, those with the lowest numbers first. The runner
// lists the further ones once these are acknowledged. Until a report is complete, a run that it
// does not list may have ended, so nothing follows from the run's absence.

// resultList tracks which results a process of a runner may still have to list.
type resultList struct {
	isIncomplete bool // as in the last report
	lastListed   int  // number of the newest result that was listed
	// acknowledged is the number of the newest result that is stored, or that the runner has
	// forgotten because a predecessor stored it.
	acknowledged int
}

// record updates the state from a report.
func (l *resultList) record(report Report) {
	l.isIncomplete = report.Incomplete
	if len(report.Ended) == 0 {
		return
	}
	l.acknowledge(report.Ended[0].Number - 1)
	l.lastListed = max(l.lastListed, report.Ended[len(report.Ended)-1].Number)
}

// acknowledge records that the results up to a number are stored.
func (l *resultList) acknowledge(number int) { l.acknowledged = max(l.acknowledged, number) }

// hasRoom reports whether the results of all runs on the runner, and of one more, would fit into
// one report of limit results together with those that are not acknowledged. A limit of zero
// means that there is none. While the list is incomplete the number of results is not known.
func (l *resultList) hasRoom(runs, limit int) bool {
	if limit == 0 {
		return true
	}
	return !l.isIncomplete && max(0, l.lastListed-l.acknowledged)+runs < limit
}
