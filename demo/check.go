package demo

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bergamotstile/history"
	"bergamotstile/structs"
)

// check judges the run by what workers and runners recorded and by what
// callers were told.
func (r *run) check(e evidence, standing map[structs.WorkID]structs.WorkStatus) []history.Violation {
	calls := r.load.calls.Calls()
	billed := func(work string) bool { return r.load.billed[work] }
	everyRender := func(work string) bool { return slices.Contains(r.renders, structs.WorkID(work)) }
	return slices.Concat(
		e.overCommitted,
		history.CheckOnePlace(e.work),
		history.CheckCalls(calls, e.requests),
		history.CheckAtMostOnce(e.requests, billed),
		history.CheckGracefulStop(calls),
		history.CheckResumeOnce(e.work, everyRender, noneForgotten),
		r.checkAnswered(),
		r.checkRenders(e),
		r.checkEvicted(e),
		r.checkStanding(e, standing),
	)
}

// checkAnswered guards against a run that proves nothing.
func (r *run) checkAnswered() []history.Violation {
	if len(r.load.proofs) > 0 {
		return nil
	}
	return []history.Violation{{Property: history.WholeAnswer, Detail: "no proof was answered"}}
}

// checkRenders reports renders that did not finish exactly once.
func (r *run) checkRenders(e evidence) []history.Violation {
	var out []history.Violation
	for _, id := range r.renders {
		if n := finishes(e.runsOf(id)); n != 1 {
			out = append(out, history.Violation{Property: history.NothingLost, Detail: fmt.Sprintf("render %s finished %d times", id, n)})
		}
	}
	return out
}

func finishes(runs []history.Span) int {
	n := 0
	for _, run := range runs {
		if run.Finished {
			n++
		}
	}
	return n
}

// checkEvicted wants one run that left a checkpoint and one that resumed from
// it.
func (r *run) checkEvicted(e evidence) []history.Violation {
	evictions, resumptions := evictedAndResumed(e.runsOf(r.evicted))
	if evictions == 1 && resumptions == 1 {
		return nil
	}
	return []history.Violation{{Property: history.ResumeOnce,
		Detail: fmt.Sprintf("render %s was evicted %d times and resumed %d times", r.evicted, evictions, resumptions)}}
}

func evictedAndResumed(runs []history.Span) (evictions, resumptions int) {
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

// checkStanding wants every replica to run by its account, and at exactly one
// worker by the workers' events.
func (r *run) checkStanding(e evidence, accounts map[structs.WorkID]structs.WorkStatus) []history.Violation {
	var out []history.Violation
	for _, id := range r.standing {
		open := 0
		for _, run := range e.runsOf(id) {
			if run.End == 0 {
				open++
			}
		}
		if open != 1 || accounts[id].State != structs.StateRunning {
			out = append(out, history.Violation{Property: history.NothingLost,
				Detail: fmt.Sprintf("standing replica %s is %q and runs at %d workers", id, accounts[id].State, open)})
		}
	}
	return out
}

func (r *run) printTable(e evidence) {
	proofs := slices.Sorted(slices.Values(r.load.proofs))
	finished, evictions, resumptions := 0, 0, 0
	for _, id := range r.renders {
		runs := e.runsOf(id)
		gone, back := evictedAndResumed(runs)
		finished, evictions, resumptions = finished+finishes(runs), evictions+gone, resumptions+back
	}
	r.row("calls", fmt.Sprint(len(r.load.calls.Calls())))
	r.row("proofs answered", fmt.Sprint(len(proofs)))
	r.row("proof p50", milliseconds(quantile(proofs, 0.50)))
	r.row("proof p99", milliseconds(quantile(proofs, 0.99)))
	r.row("renders finished", fmt.Sprintf("%d of %d", finished, len(r.renders)))
	r.row("evictions", fmt.Sprint(evictions))
	r.row("resumptions", fmt.Sprint(resumptions))
	r.row("standing replicas", fmt.Sprint(len(r.standing)))
	refusals := r.refusals()
	for _, reason := range slices.Sorted(maps.Keys(refusals)) {
		r.row("refused "+string(reason), fmt.Sprint(refusals[reason]))
	}
}

func (r *run) row(name, value string) {
	_, _ = fmt.Fprintf(r.out, "  %-24s %10s\n", name, value)
}

// refusals counts what callers were refused, by reason.
func (r *run) refusals() map[structs.Reason]int {
	sum := map[structs.Reason]int{}
	for _, c := range r.load.calls.Calls() {
		if c.Reason != "" {
			sum[c.Reason]++
		}
	}
	if r.refusedTooLarge {
		sum[structs.ReasonNeverFits]++
	}
	return sum
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000)
}

// noneForgotten holds for the demo, which restarts no worker.
func noneForgotten(history.Span) bool { return false }
