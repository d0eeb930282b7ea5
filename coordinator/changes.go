package coordinator

// changeLog records, oldest first, the changes of runners by which a runner may become able to
// take tasks that it could not take before. When no runner was found for a task, the next
// search needs to look only at the runners that have changed since. A runner that has changed
// several times may have several entries. Only the newest one counts. The outdated ones remain
// until compact removes them, and are skipped until then.
type changeLog struct {
	last    uint64 // number of the newest change
	entries []changeEntry
}

// changeEntry is one change of a runner.
type changeEntry struct {
	runner *runner
	number uint64
}

// isOutdated reports whether the runner has changed again since the entry.
func (e changeEntry) isOutdated() bool { return e.runner.lastChange != e.number }

// maxEntriesPerRunner bounds the length of a changeLog: when it has more entries than
// this number for each runner and one extra runner, outdated entries are removed.
const maxEntriesPerRunner = 4

// record adds a change of a runner. The argument runners is the number of all runners.
func (l *changeLog) record(r *runner, runners int) {
	l.last++
	r.lastChange = l.last
	l.entries = append(l.entries, changeEntry{r, l.last})
	if len(l.entries) > maxEntriesPerRunner*(runners+1) {
		l.compact()
	}
}

// compact removes outdated entries.
func (l *changeLog) compact() {
	kept := l.entries[:0]
	for _, e := range l.entries {
		if !e.isOutdated() {
			kept = append(kept, e)
		}
	}
	clear(l.entries[len(kept):])
	l.entries = kept
}

// after returns an iterator that yields the runners that have changed after the change with
// the number since. It yields each of them once, the most recently changed first.
func (l *changeLog) after(since uint64) func(yield func(*runner) bool) {
	return func(yield func(*runner) bool) {
		for i := len(l.entries) - 1; i >= 0 && l.entries[i].number > since; i-- {
			if e := l.entries[i]; !e.isOutdated() && !yield(e.runner) {
				return
			}
		}
	}
}
