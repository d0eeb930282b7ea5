package demo

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bergamotstile/history"
	"bergamotstile/structs"
)

// checkInvariants returns the violations that it finds in the events recorded by
// workers and runners, in the answers and refusals that callers received, and in
// the statuses of the standing replicas.
func (r *run) checkInvariants(e evidence, standingStatuses map[structs.WorkID]structs.WorkStatus) []history.Violation {
	calls := r.load.calls.Calls()
	isBilled := func(work string) bool { return r.load.billedTokens[work] }
	isRender := func(work string) bool { return slices.Contains(r.renders, structs.WorkID(work)) }
	return slices.Concat(
		e.capacityViolations,
		history.CheckOnePlace(e.work),
		history.CheckCalls(calls, e.requests),
		history.CheckAtMostOnce(e.requests, isBilled),
		history.CheckGracefulStop(calls),
		history.CheckResumeOnce(e.work, isRender, neverForgotten),
		r.checkProofAnswered(),
		r.checkRenders(e),
		r.checkEvictedRender(e),
		r.checkStandingReplicas(e, standingStatuses),
	)
}

// checkProofAnswered reports a violation if no proof was answered, because the
// checks of the answers would then have checked nothing.
func (r *run) checkProofAnswered() []history.Violation {
	if len(r.load.proofLatencies) > 0 {
		return nil
	}
	return []history.Violation{{Property: history.WholeAnswer, Detail: "no proof was answered"}}
}

// checkRenders reports renders that did not finish exactly once.
func (r *run) checkRenders(e evidence) []history.Violation {
	var violations []history.Violation
	for _, id := range r.renders {
		if n := countFinished(e.runsOf(id)); n != 1 {
			violations = append(violations, history.Violation{Property: history.NothingLost, Detail: fmt.Sprintf("render %s finished %d times", id, n)})
		}
	}
	return violations
}

// countFinished returns the number of runs that finished the work.
func countFinished(runs []history.Run) int {
	finished := 0
	for _, run := range runs {
		if run.Finished {
			finished++
		}
	}
	return finished
}

// checkEvictedRender reports a violation unless exactly one run of the evicted
// render wrote a checkpoint and exactly one run resumed from a checkpoint.
func (r *run) checkEvictedRender(e evidence) []history.Violation {
	evictions, resumptions := countEvictionsAndResumptions(e.runsOf(r.evictedRender))
	if evictions == 1 && resumptions == 1 {
		return nil
	}
	return []history.Violation{{Property: history.ResumeOnce,
		Detail: fmt.Sprintf("render %s was evicted %d times and resumed %d times", r.evictedRender, evictions, resumptions)}}
}

// countEvictionsAndResumptions returns the number of runs that were evicted with
// a checkpoint and the number of runs that resumed from one.
func countEvictionsAndResumptions(runs []history.Run) (evictions, resumptions int) {
	for _, run := range runs {
		if run.Checkpoint != "" {
			evictions++
		}
		if run.ResumedFrom != "" {
			resumptions++
		}
	}
	return evictions, resumptions
}

// checkStandingReplicas reports a violation for each standing replica whose status
// is not running or that, according to the events of the workers, does not run on
// exactly one worker.
func (r *run) checkStandingReplicas(e evidence, statuses map[structs.WorkID]structs.WorkStatus) []history.Violation {
	var violations []history.Violation
	for _, id := range r.standingReplicas {
		running := 0
		for _, run := range e.runsOf(id) {
			if run.End == 0 {
				running++
			}
		}
		if running != 1 || statuses[id].State != structs.StateRunning {
			violations = append(violations, history.Violation{Property: history.NothingLost,
				Detail: fmt.Sprintf("standing replica %s is %q and runs on %d workers", id, statuses[id].State, running)})
		}
	}
	return violations
}

// printTable prints the numbers of calls, renders, evictions and refusals, and
// the latency of the proofs.
func (r *run) printTable(e evidence) {
	proofs := slices.Sorted(slices.Values(r.load.proofLatencies))
	finished, evictions, resumptions := 0, 0, 0
	for _, id := range r.renders {
		runs := e.runsOf(id)
		evicted, resumed := countEvictionsAndResumptions(runs)
		finished, evictions, resumptions = finished+countFinished(runs), evictions+evicted, resumptions+resumed
	}
	r.printRow("calls", fmt.Sprint(len(r.load.calls.Calls())))
	r.printRow("proofs answered", fmt.Sprint(len(proofs)))
	r.printRow("proof p50", formatMilliseconds(quantile(proofs, 0.50)))
	r.printRow("proof p99", formatMilliseconds(quantile(proofs, 0.99)))
	r.printRow("renders finished", fmt.Sprintf("%d of %d", finished, len(r.renders)))
	r.printRow("evictions", fmt.Sprint(evictions))
	r.printRow("resumptions", fmt.Sprint(resumptions))
	r.printRow("standing replicas", fmt.Sprint(len(r.standingReplicas)))
	refusals := r.countRefusals()
	for _, reason := range slices.Sorted(maps.Keys(refusals)) {
		r.printRow("refused "+string(reason), fmt.Sprint(refusals[reason]))
	}
}

// printRow prints one row of the table.
func (r *run) printRow(name, value string) {
	_, _ = fmt.Fprintf(r.out, "  %-24s %10s\n", name, value)
}

// countRefusals returns the number of refusals that callers received, by reason.
func (r *run) countRefusals() map[structs.Reason]int {
	counts := map[structs.Reason]int{}
	for _, c := range r.load.calls.Calls() {
		if c.Reason != "" {
			counts[c.Reason]++
		}
	}
	if r.refusedTooLarge {
		counts[structs.ReasonNeverFits]++
	}
	return counts
}

// quantile returns the q-quantile of sorted durations, or 0 without durations.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// formatMilliseconds returns a duration as a text in milliseconds.
func formatMilliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000)
}

// neverForgotten returns false for each run: no worker loses the outcome of a run in
// the demo, because the demo restarts no worker.
func neverForgotten(history.Run) bool { return false }
