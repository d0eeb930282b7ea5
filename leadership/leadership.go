// Package leadership elects one process among equals by a lease that is a row
// of the store.
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
}

// ErrDeposed ends a term because another process took the lease.
var ErrDeposed = errors.New("lease was taken by another process")

// ErrExpired ends a term because the lease could not be renewed.
var ErrExpired = errors.New("lease could not be renewed")

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
	clock              func() time.Duration
}

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
	// Delay is added to the lease's duration before this candidate takes it,
	// so that candidates don't all try at once.
	Delay time.Duration
	Clock func() time.Duration
	Log   logrus.FieldLogger
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
}

// Serve runs until ctx ends. A lease held then is released.
func (c *Candidate) Serve(ctx context.Context) error {
	now := c.Clock()
	seen := observed{since: now, patient: now, read: now}
	for ctx.Err() == nil {
		if err := c.read(ctx, &seen); err != nil {
			c.Log.WithError(err).Debug("lease not read")
		} else if claim, ok := c.mayTake(&seen); ok {
			c.lead(ctx, &seen, claim)
		}
		sleep(ctx, pollEvery)
	}
	return ctx.Err()
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
	}
	seen.read = now
	if len(res.Rows) == 0 {
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
	seen.record, seen.version, seen.since, seen.patient = r, row.Version, now, now
	return nil
}

// mayTake reports whether the lease is free. The predecessor's last renewal
// was before its version was first read here.
func (c *Candidate) mayTake(seen *observed) (claim, bool) {
	switch {
	case seen.version == 0:
		return claim{reason: "never held"}, true
	case seen.Released:
		return claim{reason: "released"}, true
	case seen.Holder == c.Holder:
		// An earlier process of this instance, or a write of this one whose
		// answer was lost. Neither acts any more.
		return claim{reason: "held by this instance before"}, true
	case c.Clock()-seen.patient >= Duration+c.Delay:
		return claim{reason: "not renewed", renewed: seen.since, gone: seen.since + Grace}, true
	}
	return claim{}, false
}

// lead takes the lease and holds it for one term.
func (c *Candidate) lead(ctx context.Context, seen *observed, why claim) {
	next := record{Holder: c.Holder, Process: c.Process, Epoch: seen.Epoch + 1}
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
		c.release(held)
	}
	*seen = observed{version: held.version, since: c.Clock(), patient: c.Clock(), read: c.Clock()}
	seen.Epoch = next.Epoch
}

// held is the lease row as this holder last wrote it.
type held struct {
	record
	version uint64
}

// hold renews the lease until the term ends, and returns whether the holder's
// work has ended and why.
func (c *Candidate) hold(term *Term, h *held, done <-chan error) (bool, error) {
	timer := time.NewTicker(renewEvery)
	defer timer.Stop()
	for {
		select {
		case err := <-done:
			if err == nil {
				err = context.Canceled
			}
			return true, err
		case <-timer.C:
		}
		err := c.renew(term, h)
		if errors.Is(err, ErrDeposed) {
			return false, err
		}
		if since := c.Clock() - term.Renewed(); err != nil && since > Grace {
			return false, fmt.Errorf("%w for %v: %v", ErrExpired, since, err)
		}
	}
}

func (c *Candidate) renew(term *Term, h *held) error {
	next := h.record
	next.Renewal++
	sent := c.Clock()
	version, err := c.write(context.Background(), next, h.version)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		// The row may be from an earlier renewal whose answer was lost. Others
		// count from then, so it is renewed once more.
		if h.version, err = c.ownRow(conflict, next); err == nil {
			sent = c.Clock()
			version, err = c.write(context.Background(), next, h.version)
		}
	}
	if err != nil {
		c.count("lease_renewal_failed")
		c.Log.WithError(err).Warn("lease not renewed")
		return err
	}
	h.record, h.version = next, version
	term.renewed.Store(int64(sent))
	return nil
}

// ownRow returns the version of the row if this process wrote it.
func (c *Candidate) ownRow(conflict *rowstore.ConflictError, mine record) (uint64, error) {
	row, ok := conflict.Find(Row)
	if !ok {
		return 0, ErrDeposed
	}
	var r record
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return 0, fmt.Errorf("%w: row unreadable: %v", ErrDeposed, err)
	}
	if r.Process != mine.Process || r.Epoch != mine.Epoch {
		return 0, fmt.Errorf("%w: %s holds epoch %d", ErrDeposed, r.Holder, r.Epoch)
	}
	return row.Version, nil
}

func (c *Candidate) release(h *held) {
	next := h.record
	next.Released = true
	if _, err := c.write(context.Background(), next, h.version); err != nil {
		c.Log.WithError(err).Info("lease not released")
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
