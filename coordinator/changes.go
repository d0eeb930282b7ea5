package coordinator

// changeLog lists runners in the order in which what they can take may have changed,
// so that work which found none is compared only with those that changed since.
type changeLog struct {
	last    uint64 // number of the newest change
	entries []changeEntry
}

// changeEntry is one change of a runner. It is outdated once the runner has changed
// again.
type changeEntry struct {
	runner *runner
	number uint64
}

func (e changeEntry) outdated() bool { return e.runner.change != e.number }

// compactAt is the number of entries for each runner from which outdated ones are
// dropped.
const compactAt = 4

// note records a change of a runner, one of so many.
func (l *changeLog) note(r *runner, runners int) {
	l.last++
	r.change = l.last
	l.entries = append(l.entries, changeEntry{r, l.last})
	if len(l.entries) > compactAt*(runners+1) {
		l.compact()
	}
}

// compact drops outdated entries.
func (l *changeLog) compact() {
	kept := l.entries[:0]
	for _, e := range l.entries {
		if !e.outdated() {
			kept = append(kept, e)
		}
	}
	clear(l.entries[len(kept):])
	l.entries = kept
}

// after yields the runners that have changed after a change, the last one first.
func (l *changeLog) after(since uint64) func(yield func(*runner) bool) {
	return func(yield func(*runner) bool) {
		for i := len(l.entries) - 1; i >= 0 && l.entries[i].number > since; i-- {
			if e := l.entries[i]; !e.outdated() && !yield(e.runner) {
				return
			}
		}
	}
}
