// Package history records what callers were told and what workers and runners
// really ran, and checks the invariants of the design page against it. The
// schedulers' own records are never used as evidence of what ran.
package history

import (
	"fmt"
	"sync"

	"bergamotstile/structs"
)

// Property names an invariant of the design page, section 1.2.
type Property string

// The properties that a history can violate.
const (
	Capacity      Property = "P1 capacity"
	OnePlace      Property = "P2 one place at a time"
	ResumeOnce    Property = "P3 evicted work resumes once"
	WholeAnswer   Property = "P4 whole answer to its own request"
	NotRunIsTrue  Property = "P5 not run is true"
	AtMostOnce    Property = "P6 at most once"
	LeavingBound  Property = "P7 leaving endpoint"
	GracefulStop  Property = "P8 graceful stop"
	Configuration Property = "P9 configuration"
	NothingLost   Property = "no work lost"
)

// Span is one run of a request or attempt at one place, as the worker or
// runner recorded it. Times are nanoseconds on one machine's clock.
type Span struct {
	Work    string
	Attempt string
	Place   string
	Start   int64
	// End is zero while the run has not ended.
	End int64
	// Finished tells that the run ended by completing the work.
	Finished bool
	// ResumedFrom is the checkpoint that the run started from.
	ResumedFrom string
	// Checkpoint is the checkpoint that the run left when it was evicted.
	Checkpoint string
}

// Call is one request of a caller and the account that it received.
type Call struct {
	Work       string
	Idempotent bool
	Start      int64
	End        int64
	// Answered tells that a whole answer was received; Got and Want are the
	// answer's and the request's tokens.
	Answered bool
	Got      string
	Want     string
	Outcome  structs.Outcome
	Reason   structs.Reason
	// Unsent tells that no connection could be opened.
	Unsent bool
	// Broken tells that the connection ended without any account.
	Broken bool
}

// Violation is one place where a history breaks a property.
type Violation struct {
	Property Property
	Detail   string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s", v.Property, v.Detail)
}

// Recorder collects calls from concurrent clients.
type Recorder struct {
	mu    sync.Mutex
	calls []Call
}

// Add records a finished call.
func (r *Recorder) Add(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// Calls returns a copy of what was recorded.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}
