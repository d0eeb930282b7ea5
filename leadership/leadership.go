// Package leadership elects one process as the coordinator by means of a lease, which
// is stored as a row of the store. Other candidates leave a free lease to a much more
// capable instance for a time, and such an instance may request the lease from a weaker
// holder.
//
// Capable and weak refer only to an instance's capacity, which is the share of processor
// time that its settings give it, see Candidate.CPUMilli. An instance is much more capable
// than another if its capacity is at least 1.5 times as large, see outranks.
package leadership

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"bergamotstile/rowstore"
)

// Intervals and durations of the lease.
const (
	renewInterval = 700 * time.Millisecond
	pollInterval  = 400 * time.Millisecond
	callTimeout   = time.Second
	// outageReadGap is the pause between two successful reads above which a candidate
	// takes the store to have been unavailable. The holder then gets recoveryTime to
	// renew the lease, as it could not renew it during the outage either.
	outageReadGap = 1200 * time.Millisecond
	recoveryTime  = 1200 * time.Millisecond
	// LeaseDuration is the time after which other candidates may take a lease that
	// they have not seen renewed.
	LeaseDuration = 3 * time.Second
	// ExclusiveTime is the time after a renewal during which the holder may assume
	// that no other process holds the lease.
	ExclusiveTime = 2500 * time.Millisecond
	// GracePeriod is the time after its last renewal during which the holder continues
	// with the state that it has in memory while the store is unavailable. Runners
	// refuse its calls once they have seen a successor.
	GracePeriod = 10 * time.Second
)

// LeaseKey is the key of the lease's row in the store.
var LeaseKey = rowstore.Key{Table: "lease", Key: "coordinator"}

// record is the stored form of the lease.
type record struct {
	Holder   string `cbor:"1,keyasint"` // Candidate.Holder of the instance that holds the lease
	Process  string `cbor:"2,keyasint"` // ID of that instance's process
	Epoch    uint64 `cbor:"3,keyasint"`
	Renewal  uint64 `cbor:"4,keyasint"` // number of the last renewal in this epoch
	Released bool   `cbor:"5,keyasint,omitempty"`
	// CPUMilli is the holder's capacity in thousandths of a core, zero if it is not
	// known.
	CPUMilli int64 `cbor:"6,keyasint,omitempty"`
	// RequestedBy is Candidate.Holder of the instance that requested the lease from the
	// holder, and RequesterMilli its capacity in thousandths of a core. They remain
	// when the holder releases the lease, to show for whom it was released.
	RequestedBy    string `cbor:"7,keyasint,omitempty"`
	RequesterMilli int64  `cbor:"8,keyasint,omitempty"`
	// TakeoverPending is set while a predecessor of the holder may still act and the
	// holder has not completed its takeover, see Term.CompleteTakeover. It remains
	// when the holder releases the lease.
	TakeoverPending bool `cbor:"9,keyasint,omitempty"`
}

// addsRequestTo reports whether r equals the earlier record except for a request that
// was added to it.
func (r record) addsRequestTo(earlier record) bool {
	earlier.RequestedBy, earlier.RequesterMilli = r.RequestedBy, r.RequesterMilli
	return r.RequestedBy != "" && r == earlier
}

// ErrDeposed is the cause of a term's end if another process has taken the lease.
var ErrDeposed = errors.New("lease was taken by another process")

// ErrExpired is the cause of a term's end if the lease could not be renewed for
// longer than GracePeriod.
var ErrExpired = errors.New("lease could not be renewed")

// ErrLeaseRequested is the cause of a term's end if a much more capable instance has
// requested the lease. The holder then ends its work and releases the lease.
var ErrLeaseRequested = errors.New("a more capable instance asked for the lease")

// Term is a period during which this process acts as the holder of the lease. It begins
// when the process takes the lease. It ends when Candidate.Lead returns, when another
// process has taken the lease, when a more capable instance requests the lease or when
// the lease could not be renewed for GracePeriod. All times are readings of
// Candidate.Clock.
type Term struct {
	// Epoch is the epoch of the lease record during the term. It rises by one each time
	// that a process takes the lease.
	Epoch uint64
	// PredecessorActsUntil is the time until which a predecessor may still act as the
	// holder. It is zero if no predecessor can act, for example because the last one
	// released the lease or because its process has ended.
	PredecessorActsUntil time.Duration
	// PredecessorLastRenewal is the latest time at which a predecessor that may still act
	// can have renewed the lease. It is zero if PredecessorActsUntil is zero.
	PredecessorLastRenewal time.Duration
	lastRenewal            atomic.Int64
	takeoverCompleted      atomic.Bool
	clock                  func() time.Duration
}

// CompleteTakeover records that the holder has completed its takeover: its work has
// begun and takes into account everything that a predecessor may still do. If a term
// ends before CompleteTakeover is called, the next holder must also take into account
// that this predecessor may still act.
func (t *Term) CompleteTakeover() { t.takeoverCompleted.Store(true) }

// NewTerm returns a term whose lease was last renewed at renewedAt, a reading of the
// given clock.
func NewTerm(epoch uint64, renewedAt time.Duration, clock func() time.Duration) *Term {
	t := &Term{Epoch: epoch, clock: clock}
	t.lastRenewal.Store(int64(renewedAt))
	return t
}

// IsExclusive reports whether the last renewal is recent enough that no other process
// can hold the lease now.
func (t *Term) IsExclusive() bool {
	return t.clock()-t.LastRenewal() < ExclusiveTime
}

// LastRenewal returns the time at which the last successful renewal was sent.
func (t *Term) LastRenewal() time.Duration { return time.Duration(t.lastRenewal.Load()) }

// MayAct reports whether the holder may still act on the state that it has in memory.
// Successors assume that it no longer acts once GracePeriod has passed since its last
// renewal.
func (t *Term) MayAct() bool {
	return t.clock()-t.LastRenewal() < GracePeriod
}

// Candidate takes the lease when nobody holds it, runs Lead while it holds the lease,
// and requests the lease from a holder that is much less capable.
type Candidate struct {
	Store rowstore.Store
	// Holder identifies this instance in the lease record. It should stay the same when the
	// instance restarts, so that the new process can take back the lease of the old one at
	// once. Process is the ID of this process.
	Holder, Process string
	// Lead does the holder's work until ctx ends. When it returns, the term ends and
	// the lease is released.
	Lead func(ctx context.Context, term *Term) error
	// CPUMilli is the instance's capacity: the processor time that is configured for it, in
	// thousandths of a core. Other
	// candidates take precedence if theirs is much larger. Zero means that it is not
	// known: the candidate then neither leaves the lease to more capable ones nor
	// requests it.
	CPUMilli int64
	// Clock returns the time since a fixed moment; it never goes back.
	Clock func() time.Duration
	Log   logrus.FieldLogger
	// Count adds n to the counter with the given name; nil counts nothing.
	Count func(name string, n int64)
}

// observedLease is the lease as this candidate last read it, together with what the
// candidate has observed of it over time. Times are readings of Candidate.Clock.
type observedLease struct {
	record
	version uint64 // version of the row, zero if there is none
	// recordSince is the time at which the record was first read. It stays the same when
	// a request is added to the record.
	recordSince time.Duration
	// expiryCountedFrom is the time from which LeaseDuration is counted: recordSince,
	// or a later time if the store was unavailable since, because the holder could not
	// renew the lease then either.
	expiryCountedFrom time.Duration
	lastRead          time.Duration // time of the last successful read
	// steadySince is the time since which every read succeeded and no two reads were
	// more than outageReadGap apart.
	steadySince time.Duration
	epochSince  time.Duration // time at which this process and epoch were first read
	// backoffUntil is the time until which this candidate leaves the lease to others. It
	// is set when a term of this candidate ends, unless another process has taken the
	// lease.
	backoffUntil    time.Duration
	otherCapacities capacities
	request         requestState
	// waitLogged is set once the log says, for this version, why the candidate waits
	// although the lease is free.
	waitLogged bool
}

// newObservedLease returns the state of a candidate that has not read the lease yet.
func newObservedLease(now time.Duration) observedLease {
	return observedLease{recordSince: now, expiryCountedFrom: now, lastRead: now, steadySince: now, epochSince: now}
}

// Serve polls the lease and holds it for one term after the other until ctx ends. If
// this candidate holds the lease then, it releases it.
func (c *Candidate) Serve(ctx context.Context) error {
	go c.register(ctx)
	observed := newObservedLease(c.Clock())
	for ctx.Err() == nil {
		if vacancy, ok := c.poll(ctx, &observed); ok {
			c.runTerm(ctx, &observed, vacancy)
		}
		sleep(ctx, c.pollPause(&observed))
	}
	return ctx.Err()
}

// poll reads the lease, requests it from a much less capable holder if that is due,
// and reports whether this candidate may take it.
func (c *Candidate) poll(ctx context.Context, observed *observedLease) (leaseVacancy, bool) {
	if err := c.readLease(ctx, observed); err != nil {
		observed.steadySince = c.Clock()
		c.Log.WithError(err).Debug("lease not read")
		return leaseVacancy{}, false
	}
	if c.needsOtherCandidates(observed) {
		c.refreshOtherCandidates(ctx, observed)
	}
	if c.mayRequest(observed) {
		c.sendRequest(ctx, observed)
		return leaseVacancy{}, false
	}
	return c.mayTake(observed)
}

// leaseVacancy says why nobody holds the lease and until when a predecessor may act.
type leaseVacancy struct {
	reason string // written to the log
	// lastRenewal is the latest time at which the predecessor can have renewed the lease,
	// and actsUntil the time until which it may act. Both are zero if it can no longer
	// act.
	lastRenewal, actsUntil time.Duration
}

// readLease reads the lease row and updates observed.
func (c *Candidate) readLease(ctx context.Context, observed *observedLease) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.Store.Read(ctx, rowstore.Range{Table: LeaseKey.Table, Part: LeaseKey.Part, From: LeaseKey.Key, To: LeaseKey.Key + "\x00"})
	if err != nil {
		return err
	}
	now := c.Clock()
	if now-observed.lastRead > outageReadGap {
		observed.expiryCountedFrom = max(observed.expiryCountedFrom, now-LeaseDuration+recoveryTime)
		observed.steadySince = now
	}
	observed.lastRead = now
	if len(res.Rows) == 0 {
		if observed.version != 0 {
			observed.recordSince, observed.expiryCountedFrom, observed.waitLogged = now, now, false
		}
		observed.record, observed.version = record{}, 0
		return nil
	}
	row := res.Rows[0]
	if row.Version == observed.version {
		return nil
	}
	var r record
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return fmt.Errorf("lease row: %w", err)
	}
	observed.updateRow(r, row.Version, now)
	return nil
}

// updateRow stores a new version of the row, which was read or written at now.
func (o *observedLease) updateRow(r record, version uint64, now time.Duration) {
	if r.Process != o.Process || r.Epoch != o.Epoch {
		o.epochSince = now
	}
	if r.RequestedBy != o.RequestedBy {
		o.request.since = now
	}
	// A request does not count as a renewal: the holder may have died.
	if !r.addsRequestTo(o.record) {
		o.recordSince, o.expiryCountedFrom = now, now
	}
	o.record, o.version, o.waitLogged = r, version, false
}

// mayTake reports whether this candidate may take the lease now.
func (c *Candidate) mayTake(observed *observedLease) (leaseVacancy, bool) {
	now := c.Clock()
	vacancy, since, free := c.detectVacancy(observed, now)
	if !free || now < observed.backoffUntil {
		return leaseVacancy{}, false
	}
	if vacancy.reason == reasonHeldBefore {
		return vacancy, true
	}
	wait := c.precedenceWait(observed)
	if now-since < wait {
		if !observed.waitLogged {
			c.logWait(observed, wait)
		}
		observed.waitLogged = true
		return leaseVacancy{}, false
	}
	return vacancy, true
}

// reasonHeldBefore is the reason of a vacancy in which an instance takes its own lease
// back without waiting.
const reasonHeldBefore = "held by this instance before"

// detectVacancy reports whether nobody holds the lease, why, and since when. A
// predecessor sent its last renewal before this candidate first read the record.
func (c *Candidate) detectVacancy(observed *observedLease, now time.Duration) (vacancy leaseVacancy, since time.Duration, ok bool) {
	vacancy, since, ok = c.detectVacancyOfLastHolder(observed, now)
	if ok && observed.TakeoverPending {
		// The last holder did not complete its takeover, so its predecessor may still
		// act. The predecessor cannot have renewed the lease after this candidate first
		// read the record.
		vacancy.lastRenewal, vacancy.actsUntil = observed.recordSince, observed.recordSince+GracePeriod
	}
	return vacancy, since, ok
}

// detectVacancyOfLastHolder is like detectVacancy but considers only the last holder,
// not its predecessors.
func (c *Candidate) detectVacancyOfLastHolder(observed *observedLease, now time.Duration) (vacancy leaseVacancy, since time.Duration, ok bool) {
	expiry := observed.expiryCountedFrom + LeaseDuration
	switch {
	case observed.version == 0:
		return leaseVacancy{reason: "never held"}, observed.recordSince, true
	case observed.Released:
		return leaseVacancy{reason: "released"}, observed.recordSince, true
	case observed.Holder == c.Holder:
		// The holder is an earlier process of this instance, or this process by a write
		// whose answer was lost. Neither acts as the holder any more.
		return leaseVacancy{reason: reasonHeldBefore}, observed.recordSince, true
	case now >= expiry:
		return leaseVacancy{reason: "not renewed", lastRenewal: observed.recordSince, actsUntil: observed.recordSince + GracePeriod}, expiry, true
	}
	return leaseVacancy{}, 0, false
}

// runTerm takes the lease, runs Lead and renews the lease until the term ends, and then
// releases it unless another process has taken it.
func (c *Candidate) runTerm(ctx context.Context, observed *observedLease, vacancy leaseVacancy) {
	next := record{Holder: c.Holder, Process: c.Process, Epoch: observed.Epoch + 1, CPUMilli: c.CPUMilli, TakeoverPending: vacancy.actsUntil > 0}
	sentAt := c.Clock()
	version, err := c.write(ctx, next, observed.version)
	if err != nil {
		c.Log.WithError(err).Info("lease not taken")
		return
	}
	c.count("lease_taken")
	c.Log.WithFields(logrus.Fields{"epoch": next.Epoch, "reason": vacancy.reason, "predecessor": observed.Holder}).Info("lease taken")
	term := NewTerm(next.Epoch, sentAt, c.Clock)
	term.PredecessorLastRenewal, term.PredecessorActsUntil = vacancy.lastRenewal, vacancy.actsUntil
	termCtx, cancel := context.WithCancelCause(ctx)
	workDone := make(chan error, 1)
	go func() { workDone <- c.Lead(termCtx, term) }()
	held := &heldLease{record: next, version: version}
	workEnded, err := c.renewUntilTermEnds(term, held, workDone)
	cancel(err)
	if !workEnded {
		<-workDone
	}
	c.count("lease_lost")
	c.Log.WithError(err).WithField("epoch", next.Epoch).Info("lease term ended")
	if !errors.Is(err, ErrDeposed) {
		held.TakeoverPending = held.TakeoverPending && !term.takeoverCompleted.Load()
		c.release(held)
	}
	*observed = newObservedLease(c.Clock())
	observed.version, observed.Epoch = held.version, next.Epoch
	if !errors.Is(err, ErrDeposed) {
		observed.backoffUntil = c.Clock() + termBackoff
	}
}

// write stores a record if the row still has the given version, and returns the new
// version.
func (c *Candidate) write(ctx context.Context, r record, version uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := cbor.Marshal(r)
	if err != nil {
		return 0, err
	}
	return c.Store.Commit(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: LeaseKey, Version: version}},
		Puts:       []rowstore.Put{{Key: LeaseKey, Value: value}},
	})
}

func (c *Candidate) count(name string) {
	if c.Count != nil {
		c.Count(name, 1)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
