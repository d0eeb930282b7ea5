package history

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"bergamotstile/structs"
)

// CheckOnePlace reports runs of the same work that overlap in time (OnePlace).
func CheckOnePlace(allRuns []Run) []Violation {
	var violations []Violation
	for _, runs := range sortRunsByWork(allRuns) {
		for i := 1; i < len(runs); i++ {
			previous, next := runs[i-1], runs[i]
			if previous.End == 0 || previous.End > next.Start {
				violations = append(violations, Violation{OnePlace, fmt.Sprintf("%s ran as %s at %s from %d to %d and as %s at %s from %d",
					next.Work, previous.Attempt, previous.Place, previous.Start, previous.End, next.Attempt, next.Place, next.Start)})
			}
		}
	}
	return violations
}

// CheckAtMostOnce reports work that ran from its beginning more than once, or that finished
// more than once (AtMostOnce). It checks only the work for which isNonIdempotent is true.
func CheckAtMostOnce(allRuns []Run, isNonIdempotent func(work string) bool) []Violation {
	var violations []Violation
	for work, runs := range sortRunsByWork(allRuns) {
		if !isNonIdempotent(work) {
			continue
		}
		fromBeginning, finished := 0, 0
		for _, run := range runs {
			if run.ResumedFrom == "" {
				fromBeginning++
			}
			if run.Finished {
				finished++
			}
		}
		if fromBeginning > 1 || finished > 1 {
			violations = append(violations, Violation{AtMostOnce, fmt.Sprintf("%s was begun %d times and finished %d times", work, fromBeginning, finished)})
		}
	}
	return violations
}

// CheckResumeOnce reports checkpoints from which more than one run started (ResumeOnce).
// Idempotent work may use a checkpoint again, but only after the earlier run has ended
// without finishing, or has finished on a worker that lost its record of the run in a
// restart, which isForgotten reports.
func CheckResumeOnce(allRuns []Run, isNonIdempotent func(work string) bool, isForgotten func(Run) bool) []Violation {
	var violations []Violation
	for work, runs := range sortRunsByWork(allRuns) {
		resumed := map[string]Run{}
		for _, run := range runs {
			if run.ResumedFrom == "" {
				continue
			}
			earlier, resumedBefore := resumed[run.ResumedFrom]
			ended := earlier.End != 0 && earlier.End <= run.Start
			unfinished := !earlier.Finished || isForgotten(earlier)
			if resumedBefore && (isNonIdempotent(work) || !ended || !unfinished) {
				violations = append(violations, Violation{ResumeOnce, fmt.Sprintf("%s resumed from %s as %+v and again as %+v",
					work, run.ResumedFrom, earlier, run)})
			}
			resumed[run.ResumedFrom] = run
		}
	}
	return violations
}

// CheckEvictionsResume reports evicted work whose next run did not start from the
// checkpoint of the eviction. Runs do not record evictions: CheckEvictionsResume regards a
// run as evicted if it wrote a checkpoint and did not finish. It reports its violations
// under ResumeOnce, as CheckResumeOnce does for another part of that property: that no
// second run starts from a checkpoint. CheckEvictionsResume applies only to histories in
// which the object store was always reachable and no worker restarted.
func CheckEvictionsResume(allRuns []Run) []Violation {
	var violations []Violation
	for work, runs := range sortRunsByWork(allRuns) {
		for i, run := range runs {
			if run.Checkpoint == "" || run.Finished || i+1 == len(runs) {
				continue
			}
			if next := runs[i+1]; next.ResumedFrom != run.Checkpoint {
				violations = append(violations, Violation{ResumeOnce, fmt.Sprintf("%s was evicted with %s as %s, and %s ran from %q",
					work, run.Checkpoint, run.Attempt, next.Attempt, next.ResumedFrom)})
			}
		}
	}
	return violations
}

// CheckCalls reports answers that belong to another request (WholeAnswer) and runs of
// requests that were reported as "not run" (NotRunIsTrue). It considers all calls of a
// piece of work together: one call may be refused as "not run", and another call with the
// same key may then be answered. Each run must therefore be explained by a call that began
// before the run and was not reported as "not run".
func CheckCalls(calls []Call, allRuns []Run) []Violation {
	var violations []Violation
	runsByWork := sortRunsByWork(allRuns)
	byWork := map[string][]Call{}
	for _, c := range calls {
		byWork[c.Work] = append(byWork[c.Work], c)
		if c.Answered && c.Got != c.Want {
			violations = append(violations, Violation{WholeAnswer, fmt.Sprintf("%s expected the answer %q and got %q", c.Work, c.Want, c.Got)})
		}
	}
	for _, work := range slices.Sorted(maps.Keys(byWork)) {
		for _, run := range runsByWork[work] {
			if !isExplainedByCall(byWork[work], run) {
				violations = append(violations, Violation{NotRunIsTrue, fmt.Sprintf("%s ran at %s from %d, but every call that had begun by then was reported as not run", work, run.Place, run.Start)})
			}
		}
	}
	return violations
}

// isExplainedByCall reports whether any call that had begun when the run started was not
// reported as "not run". A call that was not sent counts as not run.
func isExplainedByCall(calls []Call, run Run) bool {
	return slices.ContainsFunc(calls, func(c Call) bool {
		reportedNotRun := c.Unsent || !c.Answered && !c.Broken && c.Outcome == structs.OutcomeNotRun
		return c.Start <= run.Start && !reportedNotRun
	})
}

// CheckGracefulStop reports calls whose connection ended without an answer or a refusal
// (GracefulStop). It applies only to histories in which instances stopped only as planned.
func CheckGracefulStop(calls []Call) []Violation {
	var violations []Violation
	for _, c := range calls {
		if c.Broken {
			violations = append(violations, Violation{GracefulStop, fmt.Sprintf("%s got neither an answer nor a refusal to its call from %d to %d", c.Work, c.Start, c.End)})
		}
	}
	return violations
}

// CheckNothingLost reports accepted work of which no run finished (NothingLost).
func CheckNothingLost(accepted []string, allRuns []Run) []Violation {
	runsByWork := sortRunsByWork(allRuns)
	var violations []Violation
	for _, work := range accepted {
		if !slices.ContainsFunc(runsByWork[work], func(s Run) bool { return s.Finished }) {
			violations = append(violations, Violation{NothingLost, fmt.Sprintf("%s was accepted and has %d runs, none finished", work, len(runsByWork[work]))})
		}
	}
	return violations
}

// sortRunsByWork groups the runs by work, each group in the order of the start times.
func sortRunsByWork(allRuns []Run) map[string][]Run {
	byWork := map[string][]Run{}
	for _, s := range allRuns {
		byWork[s.Work] = append(byWork[s.Work], s)
	}
	for _, runs := range byWork {
		slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(a.Start, b.Start) })
	}
	return byWork
}
