package history

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"bergamotstile/structs"
)

// CheckOnePlace reports runs of the same work that overlap in time.
func CheckOnePlace(spans []Span) []Violation {
	var out []Violation
	for _, runs := range sortedByWork(spans) {
		for i := 1; i < len(runs); i++ {
			previous, next := runs[i-1], runs[i]
			if previous.End == 0 || previous.End > next.Start {
				out = append(out, Violation{OnePlace, fmt.Sprintf("%s ran as %s at %s from %d to %d and as %s at %s from %d",
					next.Work, previous.Attempt, previous.Place, previous.Start, previous.End, next.Attempt, next.Place, next.Start)})
			}
		}
	}
	return out
}

// CheckAtMostOnce reports non-idempotent work that ran from its beginning more
// than once, or that finished more than once.
func CheckAtMostOnce(spans []Span, nonIdempotent func(work string) bool) []Violation {
	var out []Violation
	for work, runs := range sortedByWork(spans) {
		if !nonIdempotent(work) {
			continue
		}
		fresh, finished := 0, 0
		for _, run := range runs {
			if run.ResumedFrom == "" {
				fresh++
			}
			if run.Finished {
				finished++
			}
		}
		if fresh > 1 || finished > 1 {
			out = append(out, Violation{AtMostOnce, fmt.Sprintf("%s was begun %d times and finished %d times", work, fresh, finished)})
		}
	}
	return out
}

// CheckResumeOnce reports checkpoints from which more than one run started.
// Idempotent work may use a checkpoint again, but only after the earlier run
// ended without finishing, or finished on a worker that forgot it in a restart.
func CheckResumeOnce(spans []Span, nonIdempotent func(work string) bool, forgotten func(Span) bool) []Violation {
	var out []Violation
	for work, runs := range sortedByWork(spans) {
		resumed := map[string]Span{}
		for _, run := range runs {
			if run.ResumedFrom == "" {
				continue
			}
			earlier, seen := resumed[run.ResumedFrom]
			ended := earlier.End != 0 && earlier.End <= run.Start
			unfinished := !earlier.Finished || forgotten(earlier)
			if seen && (nonIdempotent(work) || !ended || !unfinished) {
				out = append(out, Violation{ResumeOnce, fmt.Sprintf("%s resumed from %s as %+v and again as %+v",
					work, run.ResumedFrom, earlier, run)})
			}
			resumed[run.ResumedFrom] = run
		}
	}
	return out
}

// CheckEvictionsResume reports evicted work that finished without a run from
// the checkpoint of its eviction. It holds while the object store is reachable
// and no worker restarts.
func CheckEvictionsResume(spans []Span) []Violation {
	var out []Violation
	for work, runs := range sortedByWork(spans) {
		for i, run := range runs {
			if run.Checkpoint == "" || run.Finished || i+1 == len(runs) {
				continue
			}
			if next := runs[i+1]; next.ResumedFrom != run.Checkpoint {
				out = append(out, Violation{ResumeOnce, fmt.Sprintf("%s was evicted with %s as %s, and %s ran from %q",
					work, run.Checkpoint, run.Attempt, next.Attempt, next.ResumedFrom)})
			}
		}
	}
	return out
}

// CheckCalls reports answers that belong to another request and accounts of
// "not run" that are false. A key is judged as a whole: a caller may be told
// "not run" for one call and then get an answer with the same key, so each run
// must be covered by a call begun before it that was not told "not run".
func CheckCalls(calls []Call, spans []Span) []Violation {
	var out []Violation
	ran := sortedByWork(spans)
	byWork := map[string][]Call{}
	for _, c := range calls {
		byWork[c.Work] = append(byWork[c.Work], c)
		if c.Answered && c.Got != c.Want {
			out = append(out, Violation{WholeAnswer, fmt.Sprintf("%s wanted %q and got %q", c.Work, c.Want, c.Got)})
		}
	}
	for _, work := range slices.Sorted(maps.Keys(byWork)) {
		for _, run := range ran[work] {
			if !covered(byWork[work], run) {
				out = append(out, Violation{NotRunIsTrue, fmt.Sprintf("%s ran at %s from %d, but every call begun by then was told not run", work, run.Place, run.Start)})
			}
		}
	}
	return out
}

// covered reports whether a call that had begun when the run started was told
// anything but "not run".
func covered(calls []Call, run Span) bool {
	return slices.ContainsFunc(calls, func(c Call) bool {
		toldNotRun := c.Unsent || !c.Answered && !c.Broken && c.Outcome == structs.OutcomeNotRun
		return c.Start <= run.Start && !toldNotRun
	})
}

// CheckGracefulStop reports calls whose connection was cut off. It holds for
// runs in which instances only stop as planned.
func CheckGracefulStop(calls []Call) []Violation {
	var out []Violation
	for _, c := range calls {
		if c.Broken {
			out = append(out, Violation{GracefulStop, fmt.Sprintf("%s got no account of its call from %d to %d", c.Work, c.Start, c.End)})
		}
	}
	return out
}

// CheckNothingLost reports accepted work that never finished.
func CheckNothingLost(accepted []string, spans []Span) []Violation {
	ran := sortedByWork(spans)
	var out []Violation
	for _, work := range accepted {
		if !slices.ContainsFunc(ran[work], func(s Span) bool { return s.Finished }) {
			out = append(out, Violation{NothingLost, fmt.Sprintf("%s was accepted and has %d runs, none finished", work, len(ran[work]))})
		}
	}
	return out
}

func sortedByWork(spans []Span) map[string][]Span {
	out := map[string][]Span{}
	for _, s := range spans {
		out[s.Work] = append(out[s.Work], s)
	}
	for _, runs := range out {
		slices.SortFunc(runs, func(a, b Span) int { return cmp.Compare(a.Start, b.Start) })
	}
	return out
}
