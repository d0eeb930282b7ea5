package coordinator

import "time"

// returnStartsPerSecond holds, for each second after the evacuation of a runner's domain has
// been withdrawn, how many tasks may be started on the runner in that second. Later ones are
// not limited. A runner that had no work may be slow for a short while: tasks that are started
// on all of them at once would all be slow.
var returnStartsPerSecond = [...]int{1, 1, 2, 2, 4, 4, 8, 8}

// domainReturn limits the starts on a runner after the evacuation of its domain has been
// withdrawn.
type domainReturn struct {
	since  time.Duration // when the evacuation was withdrawn; zero if starts are not limited
	second int           // the last second after since in which a task was started
	starts int           // started in that second
}

// limitReturns limits the starts in failure domains whose evacuation was withdrawn, at the given
// local times, while a predecessor coordinated.
func (c *Core) limitReturns(withdrawnAt map[string]time.Duration) {
	for _, r := range c.runners {
		if at, ok := withdrawnAt[r.Domain]; ok && !r.evacuated && r.domainReturn.since == 0 {
			r.domainReturn = domainReturn{since: at}
		}
	}
}

// isLimited reports whether the starts on the runner are limited.
func (d *domainReturn) isLimited(now time.Duration) bool {
	return d.since != 0 && now-d.since < time.Duration(len(returnStartsPerSecond))*time.Second
}

// mayStart reports whether one more task may be started on the runner.
func (d *domainReturn) mayStart(now time.Duration) bool {
	if !d.isLimited(now) {
		return true
	}
	second := int((now - d.since) / time.Second)
	return second != d.second || d.starts < returnStartsPerSecond[second]
}

// count counts a start, or takes it back if n is -1.
func (d *domainReturn) count(n int, now time.Duration) {
	if second := int((now - d.since) / time.Second); second != d.second {
		d.second, d.starts = second, 0
	}
	d.starts += n
}
