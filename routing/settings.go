package routing

import (
	"time"

	"bergamotstile/admission"
	"bergamotstile/retry"
)

// Settings are the limits of a router. A zero value takes its default.
type Settings struct {
	// RequestTimeoutMax bounds the deadline of every request.
	RequestTimeoutMax time.Duration
	// Lease is the duration of a shard's lease, which is how long a takeover
	// lasts and so when a caller may retry.
	Lease time.Duration
	// AnswerRetention is how long the answer to a key is remembered.
	AnswerRetention time.Duration
	// Settle is added to a dispatch's deadline before the same key may be
	// dispatched again. It covers the time that a dispatch spends on the way,
	// since a runner counts its timeout from receipt.
	Settle time.Duration
	// Overrun is how long after its deadline a dispatch is still waited for.
	// Until then its slot and key are held.
	Overrun time.Duration
	// WaitGrace is how much longer than its deadline a caller waits for the
	// outcome of its attempt, so that it learns "not run" and not just "late".
	WaitGrace time.Duration
	// LeaseWait is how long a keyed request waits for a lease renewal that
	// outlasts its deadline.
	LeaseWait time.Duration
	// LeasePoll is the interval at which it looks.
	LeasePoll time.Duration
	// Tick is the interval at which queues look for new runners.
	Tick time.Duration
	// RunnersMaxAge is how long a reading of the runners is used. It is part of
	// the time until a leaving runner receives nothing more.
	RunnersMaxAge time.Duration
	// BusyPause and UnreachablePause keep requests from a runner that refused
	// one or could not be reached.
	BusyPause        time.Duration
	UnreachablePause time.Duration
	// LeavingPause covers the time until the membership view drops a runner
	// that answered that it is leaving.
	LeavingPause time.Duration
	// DefaultSlots and DefaultConnections apply to runners whose member line
	// names none.
	DefaultSlots       int
	DefaultConnections int
	// ReservedConnections of each runner are kept for each other instance.
	ReservedConnections int
	// MaxHops bounds how often a request is forwarded.
	MaxHops int
	// MaxForwards bounds the requests forwarded to one peer at once. It is below
	// the connections to a peer, so that heartbeats never wait for requests.
	MaxForwards int
	// MaxKeys bounds the keys in flight and remembered.
	MaxKeys int
	// MaxRememberedBytes bounds the answers that are remembered.
	MaxRememberedBytes int
	// ClaimRing bounds the claim writes that wait, ClaimGroup those in one
	// transaction.
	ClaimRing  int
	ClaimGroup int
	// TableTimeout bounds each call of the table and the object store.
	TableTimeout time.Duration
	// ClaimRetry and ClaimRetryMax are the shortest and the longest pause
	// between two tries of a write that the table did not accept.
	ClaimRetry    time.Duration
	ClaimRetryMax time.Duration
	// OutcomeGiveUp is when the outcome of a claim is given up.
	OutcomeGiveUp time.Duration
	// InlineAnswerBytes is the largest answer that is kept in a claim row.
	InlineAnswerBytes int
	Admission         admission.Settings
	Retry             retry.Settings
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.RequestTimeoutMax, 1500*time.Millisecond)
	setDefault(&s.Lease, 3*time.Second)
	setDefault(&s.AnswerRetention, 10*time.Second)
	setDefault(&s.Settle, 100*time.Millisecond)
	setDefault(&s.Overrun, 5*time.Second)
	setDefault(&s.WaitGrace, 50*time.Millisecond)
	setDefault(&s.LeaseWait, 200*time.Millisecond)
	setDefault(&s.LeasePoll, 20*time.Millisecond)
	setDefault(&s.Tick, 100*time.Millisecond)
	setDefault(&s.RunnersMaxAge, 20*time.Millisecond)
	setDefault(&s.BusyPause, 20*time.Millisecond)
	setDefault(&s.UnreachablePause, 500*time.Millisecond)
	setDefault(&s.LeavingPause, 3*time.Second)
	setDefault(&s.TableTimeout, time.Second)
	setDefault(&s.ClaimRetry, 20*time.Millisecond)
	setDefault(&s.ClaimRetryMax, time.Second)
	setDefault(&s.OutcomeGiveUp, 30*time.Second)
	setDefault(&s.DefaultSlots, 8)
	setDefault(&s.DefaultConnections, 64)
	setDefault(&s.ReservedConnections, 2)
	setDefault(&s.MaxHops, 3)
	setDefault(&s.MaxForwards, 48)
	setDefault(&s.MaxKeys, 1<<16)
	setDefault(&s.MaxRememberedBytes, 8<<20)
	setDefault(&s.ClaimRing, 4096)
	setDefault(&s.ClaimGroup, 64)
	setDefault(&s.InlineAnswerBytes, 64<<10)
	// A key must not be forgotten while its dispatch may still run.
	s.AnswerRetention = max(s.AnswerRetention, s.RequestTimeoutMax+s.Settle)
	setDefault(&s.Admission, admission.DefaultSettings())
	setDefault(&s.Retry, retry.DefaultSettings())
	return s
}

// setDefault replaces a setting that was left out. Unlike defaults.Set it leaves
// negative ones as they are.
func setDefault[T comparable](setting *T, value T) {
	var leftOut T
	if *setting == leftOut {
		*setting = value
	}
}
