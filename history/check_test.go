package history

import (
	"testing"

	"bergamotstile/structs"
)

// The functions below are arguments of CheckAtMostOnce and CheckResumeOnce: whether work is
// non-idempotent, and whether a worker has lost its record of a run in a restart.

func allNonIdempotent(string) bool  { return true }
func noneNonIdempotent(string) bool { return false }
func noneForgotten(Run) bool        { return false }
func allForgotten(Run) bool         { return true }

// Guards against checkers that accept a history that violates their property, and against
// ones that report a history that does not.
func TestCheckersReportViolations(t *testing.T) {
	first := Run{Work: "w", Attempt: "w.1", Place: "a", Start: 1, End: 5}
	again := Run{Work: "w", Attempt: "w.2", Place: "b", Start: 6, End: 9, Finished: true}
	overlapping := again
	overlapping.Start = 4
	resumed := Run{Work: "w", Attempt: "w.2", Place: "b", Start: 6, End: 7, ResumedFrom: "c1"}
	resumedAgain := Run{Work: "w", Attempt: "w.3", Place: "c", Start: 8, End: 9, ResumedFrom: "c1"}
	evicted := first
	evicted.Checkpoint = "c1"
	resumedToEnd := resumed
	resumedToEnd.Finished = true
	notRun := Call{Work: "w", Outcome: structs.OutcomeNotRun}
	cases := []struct {
		name string
		got  []Violation
		want int
	}{
		{"sequential runs", CheckOnePlace([]Run{first, again}), 0},
		{"overlapping runs", CheckOnePlace([]Run{first, overlapping}), 1},
		{"non-idempotent work begun twice", CheckAtMostOnce([]Run{first, again}, allNonIdempotent), 1},
		{"idempotent work begun twice", CheckAtMostOnce([]Run{first, again}, noneNonIdempotent), 0},
		{"non-idempotent work resumed", CheckAtMostOnce([]Run{first, resumed}, allNonIdempotent), 0},
		{"non-idempotent work resumed twice", CheckResumeOnce([]Run{first, resumed, resumedAgain}, allNonIdempotent, noneForgotten), 1},
		{"evicted work begun anew", CheckEvictionsResume([]Run{evicted, again}), 1},
		{"evicted work resumed", CheckEvictionsResume([]Run{evicted, resumed}), 0},
		{"idempotent work resumed after a finish", CheckResumeOnce([]Run{first, resumedToEnd, resumedAgain}, noneNonIdempotent, noneForgotten), 1},
		{"idempotent work resumed after a forgotten finish", CheckResumeOnce([]Run{first, resumedToEnd, resumedAgain}, noneNonIdempotent, allForgotten), 0},
		{"idempotent work resumed after a crash", CheckResumeOnce([]Run{first, resumed, resumedAgain}, noneNonIdempotent, noneForgotten), 0},
		{"false not run", CheckCalls([]Call{notRun}, []Run{first}), 1},
		{"true not run", CheckCalls([]Call{notRun}, nil), 0},
		{"not run, then answered", CheckCalls([]Call{notRun, {Work: "w", Answered: true}}, []Run{first}), 0},
		{"ran before the call that was answered", CheckCalls([]Call{notRun, {Work: "w", Start: 2, Answered: true}}, []Run{first}), 1},
		{"answer to another request", CheckCalls([]Call{{Work: "w", Answered: true, Got: "x", Want: "w"}}, nil), 1},
		{"call cut off", CheckGracefulStop([]Call{{Work: "w", Broken: true}}), 1},
		{"call not sent", CheckGracefulStop([]Call{{Work: "w", Unsent: true}}), 0},
		{"ran although never sent", CheckCalls([]Call{{Work: "w", Unsent: true}}, []Run{first}), 1},
		{"lost work", CheckNothingLost([]string{"w"}, []Run{first}), 1},
		{"finished work", CheckNothingLost([]string{"w"}, []Run{first, again}), 0},
	}
	for _, c := range cases {
		if len(c.got) != c.want {
			t.Errorf("%s: %d violations, want %d: %v", c.name, len(c.got), c.want, c.got)
		}
	}
}
