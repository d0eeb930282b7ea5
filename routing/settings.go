package routing

import (
	"time"

	"bergamotstile/admission"
	"bergamotstile/retry"
)

// DefaultMinClaimRetryPause is the shortest pause before the write of a claim is repeated.
const DefaultMinClaimRetryPause = 20 * time.Millisecond

// Settings holds the limits and times of a router. A zero value is replaced by
// the default.
type Settings struct {
	// RequestTimeoutMax is the longest timeout that a request may have.
	RequestTimeoutMax time.Duration
	// Lease is the duration of a shard's lease. A takeover of a shard takes
	// about as long, so callers that are refused for lack of an owner get it as
	// the time to wait before a retry.
	Lease time.Duration
	// AnswerRetention is how long the answer to a keyed request is remembered.
	AnswerRetention time.Duration
	// TransitMargin is the time after a dispatch's deadline before the same key
	// may be dispatched again. It covers the time that a dispatch spends on the
	// network, since a runner counts its timeout from receipt.
	TransitMargin time.Duration
	// MaxOverrun is how long after its deadline the answer to a dispatch is
	// awaited. Until then the dispatch's slot and key stay in use.
	MaxOverrun time.Duration
	// WaitGrace is how long after its deadline a caller waits for the outcome
	// of its attempt, so that the refusal can report that the request did not
	// run instead of only that the deadline passed.
	WaitGrace time.Duration
	// MaxLeaseWait is how long a keyed request waits for a lease renewal, if
	// the lease would end before the request's deadline.
	MaxLeaseWait time.Duration
	// LeasePollInterval is the interval at which a waiting request checks the
	// lease.
	LeasePollInterval time.Duration
	// TickInterval is the interval at which queues check for new runners and
	// expired answers are dropped.
	TickInterval time.Duration
	// RunnersMaxAge is how long a snapshot of a service's runners is used. It
	// adds to the time until a leaving runner receives no more requests.
	RunnersMaxAge time.Duration
	// BusyPause and UnreachablePause are how long a runner gets no requests
	// after it refused one as busy or could not be reached.
	BusyPause        time.Duration
	UnreachablePause time.Duration
	// LeavingPause is how long a runner gets no requests after it refused one
	// as leaving. It covers the time until the membership view drops the
	// runner.
	LeavingPause time.Duration
	// DefaultSlots and DefaultConnections apply to runners for which the
	// membership list gives no number.
	DefaultSlots       int
	DefaultConnections int
	// ReservedConnections is the number of connections of each runner that are
	// kept for each other entry instance of the domain.
	ReservedConnections int
	// MaxHops bounds how often a request is forwarded.
	MaxHops int
	// MaxForwards bounds the requests that are being forwarded to one peer. It
	// is below the number of connections to a peer, so that heartbeats never
	// wait for requests.
	MaxForwards int
	// MaxKeys bounds the number of keys in flight and remembered.
	MaxKeys int
	// MaxRememberedBytes bounds the total size of the remembered answers.
	MaxRememberedBytes int
	// ClaimQueueSize bounds the claim writes that wait for the writer, and
	// MaxClaimsPerCommit the claim writes that it takes from the queue at a
	// time.
	ClaimQueueSize     int
	MaxClaimsPerCommit int
	// TableTimeout bounds each call to the table or the object store.
	TableTimeout time.Duration
	// MinClaimRetryPause and MaxClaimRetryPause are the first and the longest
	// pause between two attempts to write a claim row.
	MinClaimRetryPause time.Duration
	MaxClaimRetryPause time.Duration
	// OutcomeWriteTimeout is how long the router tries to write the outcome of
	// a request into its claim.
	OutcomeWriteTimeout time.Duration
	// MaxInlineAnswerBytes is the size of the largest answer that is stored in
	// a claim row. Larger answers go to the object store.
	MaxInlineAnswerBytes int
	Admission            admission.Settings
	Retry                retry.Settings
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.RequestTimeoutMax, 1500*time.Millisecond)
	setDefault(&s.Lease, 3*time.Second)
	setDefault(&s.AnswerRetention, 10*time.Second)
	setDefault(&s.TransitMargin, 100*time.Millisecond)
	setDefault(&s.MaxOverrun, 5*time.Second)
	setDefault(&s.WaitGrace, 50*time.Millisecond)
	setDefault(&s.MaxLeaseWait, 200*time.Millisecond)
	setDefault(&s.LeasePollInterval, 20*time.Millisecond)
	setDefault(&s.TickInterval, 100*time.Millisecond)
	setDefault(&s.RunnersMaxAge, 20*time.Millisecond)
	setDefault(&s.BusyPause, 20*time.Millisecond)
	setDefault(&s.UnreachablePause, 500*time.Millisecond)
	setDefault(&s.LeavingPause, 3*time.Second)
	setDefault(&s.TableTimeout, time.Second)
	setDefault(&s.MinClaimRetryPause, DefaultMinClaimRetryPause)
	setDefault(&s.MaxClaimRetryPause, time.Second)
	setDefault(&s.OutcomeWriteTimeout, 30*time.Second)
	setDefault(&s.DefaultSlots, 8)
	setDefault(&s.DefaultConnections, 64)
	setDefault(&s.ReservedConnections, 2)
	setDefault(&s.MaxHops, 3)
	setDefault(&s.MaxForwards, 48)
	setDefault(&s.MaxKeys, 1<<16)
	setDefault(&s.MaxRememberedBytes, 8<<20)
	setDefault(&s.ClaimQueueSize, 4096)
	setDefault(&s.MaxClaimsPerCommit, 64)
	setDefault(&s.MaxInlineAnswerBytes, 64<<10)
	// A key must not be forgotten while a dispatch under it may still run.
	s.AnswerRetention = max(s.AnswerRetention, s.RequestTimeoutMax+s.TransitMargin)
	setDefault(&s.Admission, admission.DefaultSettings())
	setDefault(&s.Retry, retry.DefaultSettings())
	return s
}

// setDefault replaces a setting that is zero. Unlike defaults.Set it keeps
// negative values.
func setDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}
