package coordinator

import (
	"context"
	"sync"
	"time"
)

// maxOrdersInFlight bounds the orders to one runner that wait for an answer.
const maxOrdersInFlight = 6

// link is the coordinator's side of the communication with one runner. It holds the state of
// the leases on the runner. pollLoop polls the runner, which extends the leases, and posts the
// reports in the answers. sendOrder sends an order to the runner and posts the answer.
type link struct {
	coordinator   *coordinator
	runnerID      string
	orderSlots    chan struct{} // holds a token for each order under way
	storedSignal  chan struct{} // signals that acknowledged has changed
	appliedSignal chan struct{} // signals that a report was applied
	stop          context.CancelFunc
	// expiredAt is when the runs on the runner were recorded as lost because every lease had
	// expired. Reports that answer polls sent before then may still be queued. Only the event
	// loop uses it.
	expiredAt              time.Duration
	mu                     sync.Mutex // guards the fields below
	address                string
	isDraining             bool // as the registry entry says; nothing is started on the runner then
	lease                  leaseState
	isSilent               bool          // the last poll that has ended failed
	lastAnsweredPollSentAt time.Duration // when the last answered poll was sent
	lastAnswerAt           time.Duration // when the last answer to a poll or an order was received
	// unansweredSince is when the polls of the runner last began to fail: when the first poll
	// after the last answered one failed. It is when the link was created if no poll has failed
	// yet. While the runner answers, it has no meaning.
	unansweredSince time.Duration
	// isGone is set once the coordinator knows that nothing runs on the runner any more:
	// every lease has expired, or another runner has the address. An answer clears it, and
	// so does isStillAt if the runner has moved.
	isGone bool
	// isExpiryRecorded is set while the store may hold an expiry for the runner. No lease
	// on the runner is extended then.
	isExpiryRecorded bool
	// awaitsListing is set until the runner is listed, see listing.go. No lease on the runner is
	// granted then.
	awaitsListing bool
	// mayHaveRestarted is set by a poll or an order without an answer and cleared by the
	// next report: a new process of the runner may have started meanwhile.
	mayHaveRestarted bool
	// acknowledged says up to which number the runner's results are stored.
	acknowledged Acknowledgement
	// incarnation identifies the process of the runner that answered last. It is zero
	// before the first answer.
	incarnation int64
	// generation is the low part of the fencing token. It is raised when the runner turns out to
	// have restarted, so that its new process refuses the calls to the earlier one.
	generation uint64
	// isFenced is set once the present process has answered a poll with the present token. It
	// then refuses all calls that were meant for an earlier one.
	isFenced bool
	// registeredIncarnation identifies the process that wrote the runner's registry entry; zero
	// if that is not known.
	registeredIncarnation int64
	// restartSuspectedAt is when the registry or a reading of the clock showed that the process
	// that answered last is not the present one; zero if nothing shows that. No lease is granted
	// then, because the clock of the present process is not known.
	restartSuspectedAt time.Duration
	// misdirectedExpiryBefore is the expiry of misdirected leases before the restart was
	// suspected. It holds again if the same process answers.
	misdirectedExpiryBefore time.Duration
	delayedStarts           delayedStarts // starts without an answer
	// restarted signals that a poll under way need not be waited for, since its process has ended.
	restarted chan struct{}
	// settledIncarnation identifies the last process known to hold no lease of a misdirected call,
	// from the roster or from this coordinator; zero if none is known.
	settledIncarnation int64
	// inheritedIncarnation identifies the fenced process that a predecessor's roster names; zero if it
	// names none.
	inheritedIncarnation int64
}

// newLink returns a link over which the runner has not answered yet. All leases that were
// granted on the runner before have expired at inheritedExpiry, on the local clock.
func newLink(coord *coordinator, runnerID, address string, inheritedExpiry time.Duration) *link {
	return &link{coordinator: coord, runnerID: runnerID, address: address, orderSlots: make(chan struct{}, maxOrdersInFlight), storedSignal: make(chan struct{}, 1), appliedSignal: make(chan struct{}, 1),
		lease: leaseState{expiresBy: inheritedExpiry}, generation: coord.tokens.nextGeneration(runnerID), restarted: make(chan struct{}, 1)}
}

// setAcknowledged records up to which number the runner's results are stored. The next polls
// report to the runner that it may forget them.
func (l *link) setAcknowledged(acknowledged Acknowledgement) {
	l.mu.Lock()
	changed := acknowledged != l.acknowledged
	l.acknowledged = acknowledged
	l.mu.Unlock()
	if !changed {
		return
	}
	select {
	case l.storedSignal <- struct{}{}:
	default:
	}
}

// isAcknowledged reports whether the runner's results are stored up to the given one.
func (l *link) isAcknowledged(result Acknowledgement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acknowledged == result
}
