package leadership

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"bergamotstile/rowstore"
)

// heldLease is the lease row as this holder last wrote it, or read it after a conflict.
type heldLease struct {
	record
	version uint64
}

// renewUntilTermEnds renews the lease until the term ends. It reports whether the
// holder's work has already ended, and returns the reason for the end of the term.
func (c *Candidate) renewUntilTermEnds(term *Term, held *heldLease, workDone <-chan error) (bool, error) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-workDone:
			if err == nil {
				err = context.Canceled
			}
			return true, err
		case <-ticker.C:
		}
		err := c.renew(term, held)
		if errors.Is(err, ErrDeposed) || errors.Is(err, ErrLeaseRequested) {
			return false, err
		}
		if sinceRenewal := c.Clock() - term.LastRenewal(); err != nil && sinceRenewal > GracePeriod {
			return false, fmt.Errorf("%w for %v: %v", ErrExpired, sinceRenewal, err)
		}
	}
}

// renew renews the lease once. It returns ErrLeaseRequested if another instance has requested
// the lease. The lease is renewed in that case too, so that the holder's work has time
// to end.
func (c *Candidate) renew(term *Term, held *heldLease) error {
	held.TakeoverPending = held.TakeoverPending && !term.takeoverCompleted.Load()
	sentAt, err := c.writeRenewal(held)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		// The row may be from an earlier renewal whose answer was lost, or a request
		// may have been added to it. Other candidates count the lease from the renewal
		// that is in the row, so the lease is renewed once more.
		if err = c.adoptStoredRow(conflict, held); err == nil {
			held.TakeoverPending = held.TakeoverPending && !term.takeoverCompleted.Load()
			sentAt, err = c.writeRenewal(held)
		}
	}
	if err != nil {
		c.count("lease_renewal_failed")
		c.Log.WithError(err).Warn("lease not renewed")
		return err
	}
	term.lastRenewal.Store(int64(sentAt))
	if held.RequestedBy != "" {
		return fmt.Errorf("%w: %s", ErrLeaseRequested, held.RequestedBy)
	}
	return nil
}

// writeRenewal writes the next renewal and returns the time at which it was sent.
func (c *Candidate) writeRenewal(held *heldLease) (time.Duration, error) {
	next := held.record
	next.Renewal++
	sentAt := c.Clock()
	version, err := c.write(context.Background(), next, held.version)
	if err != nil {
		return 0, err
	}
	held.record, held.version = next, version
	return sentAt, nil
}

// adoptStoredRow replaces held by the stored row of a conflict if that row belongs to
// this term, because an earlier renewal took effect or a request was added. The next
// renewal then gets a number above the one in the row. If it had the same number, other
// candidates would not recognise it as a renewal.
func (c *Candidate) adoptStoredRow(conflict *rowstore.ConflictError, held *heldLease) error {
	row, ok := conflict.Find(LeaseKey)
	if !ok {
		return ErrDeposed
	}
	var r record
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return fmt.Errorf("%w: row unreadable: %v", ErrDeposed, err)
	}
	if r.Process != held.Process || r.Epoch != held.Epoch {
		return fmt.Errorf("%w: %s holds epoch %d", ErrDeposed, r.Holder, r.Epoch)
	}
	if r.RequestedBy != "" && held.RequestedBy == "" {
		log := c.Log.WithFields(logrus.Fields{"epoch": held.Epoch, "requester": r.RequestedBy, "requester_milli": r.RequesterMilli, "cpu_milli": c.CPUMilli})
		log.Info("lease requested by a more capable instance")
	}
	held.record, held.version = r, row.Version
	return nil
}

// release marks the lease as released, so that others may take it without waiting for
// it to expire.
func (c *Candidate) release(held *heldLease) {
	err := c.writeRelease(held)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		// The row may contain a request, or a renewal whose answer was lost.
		if err = c.adoptStoredRow(conflict, held); err == nil {
			err = c.writeRelease(held)
		}
	}
	if err != nil {
		c.Log.WithError(err).Info("lease not released")
	}
}

// writeRelease writes the held record with the mark that it is released.
func (c *Candidate) writeRelease(held *heldLease) error {
	next := held.record
	next.Released = true
	_, err := c.write(context.Background(), next, held.version)
	return err
}
