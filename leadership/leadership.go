// Package leadership elects one process by a lease that is a row of the store.
// More capable instances go first.
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

// Times of the lease.
const (
	renewEvery  = 700 * time.Millisecond
	pollEvery   = 400 * time.Millisecond
	callTimeout = time.Second
	// readGap is the pause between reads that shows that the store was away;
	// returnTime is what the holder then has to renew.
	readGap    = 1200 * time.Millisecond
	returnTime = 1200 * time.Millisecond
	// Duration is how long others leave a lease alone that is not renewed.
	Duration = 3 * time.Second
	// Valid is how long after a renewal the holder relies on being the only
	// one.
	Valid = 2500 * time.Millisecond
	// Grace is how long after its last renewal the holder goes on with what it
	// knows, while the store is away. Runners refuse it once they have seen a
	// successor.
	Grace = 10 * time.Second
)

// Row is where the lease is kept.
var Row = rowstore.Key{Table: "lease", Key: "coordinator"}

// record is the stored lease.
type record struct {
	Holder   string `cbor:"1,keyasint"` // instance that holds it
	Process  string `cbor:"2,keyasint"` // process of that instance
	Epoch    uint64 `cbor:"3,keyasint"`
	Renewal  uint64 `cbor:"4,keyasint"`
	Released bool   `cbor:"5,keyasint,omitempty"`
	// CPUMilli is the holder's capacity, zero if it is not known.
	CPUMilli int64 `cbor:"6,keyasint,omitempty"`
	// RequestedBy names the instance that asked the holder for the lease, and
	// RequesterMilli its capacity. They stay when the lease is released: they say
	// for whom.
	RequestedBy    string `cbor:"7,keyasint,omitempty"`
	RequesterMilli int64  `cbor:"8,keyasint,omitempty"`
	// Unsettled is set while the holder has not settled and a predecessor of its may
	// still act, see Term.Settle. It stays when the lease is released.
	Unsettled bool `cbor:"9,keyasint,omitempty"`
}

// isRequestOn reports whether r is an earlier record with a request added.
func (r record) isRequestOn(earlier record) bool {
	earlier.RequestedBy, earlier.RequesterMilli = r.RequestedBy, r.RequesterMilli
	return r.RequestedBy != "" && r == earlier
}

// ErrDeposed ends a term because another process took the lease.
var ErrDeposed = errors.New("lease was taken by another process")

// ErrExpired ends a term because the lease could not be renewed.
var ErrExpired = errors.New("lease could not be renewed")

// ErrYielded ends a term because a more capable instance asked for the lease.
var ErrYielded = errors.New("a more capable instance asked for the lease")

// Term is one tenure of the lease.
type Term struct {
	Epoch uint64
	// PredecessorGone is when a predecessor can't act any more, on the clock
	// of the candidate. It is zero if it released the lease or is known dead.
	PredecessorGone time.Duration
	// PredecessorRenewed is when a predecessor that may still act renewed the lease
	// at the latest.
	PredecessorRenewed time.Duration
	renewed            atomic.Int64
	settled            atomic.Bool
	clock              func() time.Duration
}

// Settle records that the holder's work has begun with all that a predecessor may still
// do accounted for. If a term ends before that, its successor counts with that
// predecessor as well.
func (t *Term) Settle() { t.settled.Store(true) }

// NewTerm returns a tenure whose lease was renewed at a time of the clock.
func NewTerm(epoch uint64, renewed time.Duration, clock func() time.Duration) *Term {
	t := &Term{Epoch: epoch, clock: clock}
	t.renewed.Store(int64(renewed))
	return t
}

// Exclusive reports whether no other process can hold the lease now.
func (t *Term) Exclusive() bool {
	return t.clock()-t.Renewed() < Valid
}

// Renewed returns when the last successful renewal was sent.
func (t *Term) Renewed() time.Duration { return time.Duration(t.renewed.Load()) }

// Acting reports whether the holder may still go on with what it knows. Others take
// it as gone after that.
func (t *Term) Acting() bool {
	return t.clock()-t.Renewed() < Grace
}

// Candidate takes the lease when nobody holds it.
type Candidate struct {
	Store rowstore.Store
	// Holder names the instance, Process its process.
	Holder, Process string
	// Lead does the holder's work until ctx ends. A returned error gives up
	// the lease.
	Lead func(ctx context.Context, term *Term) error
	// CPUMilli is the instance's processor time in thousandths of a core. Others
	// go first if they have much more. Zero means that it is not known: the
	// candidate then neither lets others go first nor asks for the lease.
	CPUMilli int64
	Clock    func() time.Duration
	Log      logrus.FieldLogger
	// Count counts events by name.
	Count func(name string, n int64)
}

// observed is the lease as last read.
type observed struct {
	record
	version uint64
	since   time.Duration // when this version was first read
	// patient is the time from which the lease's duration is counted: since, or
	// later if the store was away, as the holder could not renew either.
	patient time.Duration
	read    time.Duration // when the row was last read
	// steady is since when every read succeeded, without a long pause.
	steady     time.Duration
	epochSince time.Duration // when this holder and epoch were first read
	// restUntil is until when this candidate leaves the lease to others, after a
	// term that it gave up.
	restUntil time.Duration
	others    others
	request   ownRequest
	// waitLogged says that it was logged for this version that others go first.
	waitLogged bool
}

// newObserved returns what is known before the first read.
func newObserved(now time.Duration) observed {
	return observed{since: now, patient: now, read: now, steady: now, epochSince: now}
}

// Serve runs until ctx ends. A lease held then is released.
func (c *Candidate) Serve(ctx context.Context) error {
	go c.register(ctx)
	seen := newObserved(c.Clock())
	for ctx.Err() == nil {
		if claim, ok := c.poll(ctx, &seen); ok {
			c.lead(ctx, &seen, claim)
		}
		sleep(ctx, c.pollPause(&seen))
	}
	return ctx.Err()
}

// poll reads the lease, asks a weak holder for it, and reports whether it may be
// taken.
func (c *Candidate) poll(ctx context.Context, seen *observed) (claim, bool) {
	if err := c.read(ctx, seen); err != nil {
		seen.steady = c.Clock()
		c.Log.WithError(err).Debug("lease not read")
		return claim{}, false
	}
	if c.needsOthers(seen) {
		c.readOthers(ctx, seen)
	}
	if c.mayRequest(seen) {
		c.sendRequest(ctx, seen)
		return claim{}, false
	}
	return c.mayTake(seen)
}

// claim says why the lease may be taken.
type claim struct {
	reason string
	// renewed is when the predecessor renewed the lease at the latest, gone is when
	// it can't act any more; both are zero if it is gone already.
	renewed, gone time.Duration
}

func (c *Candidate) read(ctx context.Context, seen *observed) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.Store.Read(ctx, rowstore.Range{Table: Row.Table, Part: Row.Part, From: Row.Key, To: Row.Key + "\x00"})
	if err != nil {
		return err
	}
	now := c.Clock()
	if now-seen.read > readGap {
		seen.patient = max(seen.patient, now-Duration+returnTime)
		seen.steady = now
	}
	seen.read = now
	if len(res.Rows) == 0 {
		if seen.version != 0 {
			seen.since, seen.patient, seen.waitLogged = now, now, false
		}
		seen.record, seen.version = record{}, 0
		return nil
	}
	row := res.Rows[0]
	if row.Version == seen.version {
		return nil
	}
	var r record
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return fmt.Errorf("lease row: %w", err)
	}
	seen.note(r, row.Version, now)
	return nil
}

// note takes over a new version of the row.
func (o *observed) note(r record, version uint64, now time.Duration) {
	if r.Process != o.Process || r.Epoch != o.Epoch {
		o.epochSince = now
	}
	if r.RequestedBy != o.RequestedBy {
		o.request.since = now
	}
	// A request does not renew the lease: the holder may be gone.
	if !r.isRequestOn(o.record) {
		o.since, o.patient = now, now
	}
	o.record, o.version, o.waitLogged = r, version, false
}

// mayTake reports whether this candidate may take the lease now.
func (c *Candidate) mayTake(seen *observed) (claim, bool) {
	now := c.Clock()
	why, since, free := c.free(seen, now)
	if !free || now < seen.restUntil {
		return claim{}, false
	}
	if why.reason == heldBefore {
		return why, true
	}
	wait := c.precedence(seen)
	if now-since < wait {
		if !seen.waitLogged {
			c.logWait(seen, wait)
		}
		seen.waitLogged = true
		return claim{}, false
	}
	return why, true
}

// heldBefore is the reason for which an instance takes the lease back at once.
const heldBefore = "held by this instance before"

// free reports whether nobody holds the lease, why and since when. The
// predecessor's last renewal was before its version was first read here.
func (c *Candidate) free(seen *observed, now time.Duration) (why claim, since time.Duration, ok bool) {
	why, since, ok = c.vacant(seen, now)
	if ok && seen.Unsettled {
		// The holder before this one was not renewed later than the row was first read.
		why.renewed, why.gone = seen.since, seen.since+Grace
	}
	return why, since, ok
}

// vacant is free without regard to the holders before the last one.
func (c *Candidate) vacant(seen *observed, now time.Duration) (why claim, since time.Duration, ok bool) {
	lapse := seen.patient + Duration
	switch {
	case seen.version == 0:
		return claim{reason: "never held"}, seen.since, true
	case seen.Released:
		return claim{reason: "released"}, seen.since, true
	case seen.Holder == c.Holder:
		// An earlier process of this instance, or a write of this one whose
		// answer was lost. Neither acts any more.
		return claim{reason: heldBefore}, seen.since, true
	case now >= lapse:
		return claim{reason: "not renewed", renewed: seen.since, gone: seen.since + Grace}, lapse, true
	}
	return claim{}, 0, false
}

// lead takes the lease and holds it for one term.
func (c *Candidate) lead(ctx context.Context, seen *observed, why claim) {
	next := record{Holder: c.Holder, Process: c.Process, Epoch: seen.Epoch + 1, CPUMilli: c.CPUMilli, Unsettled: why.gone > 0}
	sent := c.Clock()
	version, err := c.write(ctx, next, seen.version)
	if err != nil {
		c.Log.WithError(err).Info("lease not taken")
		return
	}
	c.count("lease_taken")
	c.Log.WithFields(logrus.Fields{"epoch": next.Epoch, "reason": why.reason, "predecessor": seen.Holder}).Info("lease taken")
	term := NewTerm(next.Epoch, sent, c.Clock)
	term.PredecessorRenewed, term.PredecessorGone = why.renewed, why.gone
	leading, cancel := context.WithCancelCause(ctx)
	done := make(chan error, 1)
	go func() { done <- c.Lead(leading, term) }()
	held := &held{record: next, version: version}
	ended, err := c.hold(term, held, done)
	cancel(err)
	if !ended {
		<-done
	}
	c.count("lease_lost")
	c.Log.WithError(err).WithField("epoch", next.Epoch).Info("lease given up")
	if !errors.Is(err, ErrDeposed) {
		held.Unsettled = held.Unsettled && !term.settled.Load()
		c.release(held)
	}
	*seen = newObserved(c.Clock())
	seen.version, seen.Epoch = held.version, next.Epoch
	if !errors.Is(err, ErrDeposed) {
		seen.restUntil = c.Clock() + restTime
	}
}

func (c *Candidate) write(ctx context.Context, r record, version uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := cbor.Marshal(r)
	if err != nil {
		return 0, err
	}
	return c.Store.Commit(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: Row, Version: version}},
		Puts:       []rowstore.Put{{Key: Row, Value: value}},
	})
}

func (c *Candidate) count(name string) {
	if c.Count != nil {
		c.Count(name, 1)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
