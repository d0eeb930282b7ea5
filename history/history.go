// Package history records the answers that callers received and the runs that workers and
// runners executed, and checks that both satisfy the invariants that Property names. The
// runs come from the workers and runners themselves, never from the schedulers' records.
package history

import (
	"fmt"
	"sync"

	"bergamotstile/structs"
)

// Property is the name of an invariant that a history must satisfy. P1 to P9 are the
// numbers of the invariants in section 1.2 of the design page.
type Property string

// Properties that a history can violate.
const (
	// Capacity: the sizes of the attempts on a worker never exceed its capacity.
	Capacity Property = "P1 capacity"
	// OnePlace: two runs of the same work never overlap in time.
	OnePlace Property = "P2 one place at a time"
	// ResumeOnce: evicted work resumes from the checkpoint of the eviction, in one run
	// only unless the work may be repeated.
	ResumeOnce Property = "P3 evicted work resumes once"
	// WholeAnswer: a caller receives the complete answer to its own request, or none.
	WholeAnswer Property = "P4 whole answer to its own request"
	// NotRunIsTrue: work that was reported as "not run" has not run.
	NotRunIsTrue Property = "P5 not run is true"
	// AtMostOnce: non-idempotent work starts from its beginning at most once and
	// finishes at most once.
	AtMostOnce Property = "P6 at most once"
	// LeavingEndpoint: a runner receives no new requests later than the leaving bound
	// after it has begun to leave.
	LeavingEndpoint Property = "P7 leaving endpoint"
	// GracefulStop: a planned stop of an instance breaks no connection on which a caller
	// waits for an answer.
	GracefulStop Property = "P8 graceful stop"
	// Configuration: no configuration version is accepted twice, and no instance goes back
	// to an older version.
	Configuration Property = "P9 configuration"
	// NothingLost: accepted work finishes. It has no number.
	NothingLost Property = "no work lost"
)

// Run is one run of a request or of an attempt, as the worker or runner recorded it. All
// times of a history are nanoseconds on the clock of one machine.
type Run struct {
	Work    string // ID of the work item, or body of the request
	Attempt string // ID of the attempt, or of the request
	Place   string // name of the worker or runner
	Start   int64
	// End is zero while the run has not ended.
	End int64
	// Finished reports that the run ended by completing the work.
	Finished bool
	// ResumedFrom is the checkpoint that the run started from, or empty if it started from
	// the beginning.
	ResumedFrom string
	// Checkpoint is the checkpoint that the run wrote when it was evicted, or empty if it
	// wrote none.
	Checkpoint string
}

// Call is one request of a caller and the answer or refusal that the caller received.
type Call struct {
	Work       string // body of the request, which is also Run.Work of its runs
	Idempotent bool
	Start      int64
	End        int64
	// Answered reports that a complete answer was received. Got is the token in the
	// answer, and Want the token of the request, which the answer must contain.
	Answered bool
	Got      string
	Want     string
	Outcome  structs.Outcome
	Reason   structs.Reason
	// Unsent reports that no connection could be opened.
	Unsent bool
	// Broken reports that the connection ended without an answer or a refusal.
	Broken bool
}

// Violation is one violation of a property by a history.
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

// Add records a call that has ended.
func (r *Recorder) Add(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// Calls returns a copy of the recorded calls.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}
