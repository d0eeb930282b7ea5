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
		if errors.Is(err, ErrDeposed) || errors.Is(err, ErrYielded) {
			return false, err
		}
		if since := c.Clock() - term.Renewed(); err != nil && since > Grace {
			return false, fmt.Errorf("%w for %v: %v", ErrExpired, since, err)
		}
	}
}

// renew renews the lease once. It returns ErrYielded if another instance has asked
// for the lease; the lease is renewed then too, so that the holder's work has time
// to end.
func (c *Candidate) renew(term *Term, h *held) error {
	h.Unsettled = h.Unsettled && !term.settled.Load()
	sent, err := c.writeRenewal(h)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		// The row may be from an earlier renewal whose answer was lost, or have a
		// request. Others count from the renewal in it, so it is renewed once more.
		if err = c.adopt(conflict, h); err == nil {
			h.Unsettled = h.Unsettled && !term.settled.Load()
			sent, err = c.writeRenewal(h)
		}
	}
	if err != nil {
		c.count("lease_renewal_failed")
		c.Log.WithError(err).Warn("lease not renewed")
		return err
	}
	term.renewed.Store(int64(sent))
	if h.RequestedBy != "" {
		return fmt.Errorf("%w: %s", ErrYielded, h.RequestedBy)
	}
	return nil
}

// writeRenewal writes the next renewal and returns when it was sent.
func (c *Candidate) writeRenewal(h *held) (time.Duration, error) {
	next := h.record
	next.Renewal++
	sent := c.Clock()
	version, err := c.write(context.Background(), next, h.version)
	if err != nil {
		return 0, err
	}
	h.record, h.version = next, version
	return sent, nil
}

// adopt takes over the present row if it is of this term: an earlier renewal, or a
// request. The next renewal gets a number above the one in the row: others take a
// row with the same number for one that was not renewed.
func (c *Candidate) adopt(conflict *rowstore.ConflictError, h *held) error {
	row, ok := conflict.Find(Row)
	if !ok {
		return ErrDeposed
	}
	var r record
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return fmt.Errorf("%w: row unreadable: %v", ErrDeposed, err)
	}
	if r.Process != h.Process || r.Epoch != h.Epoch {
		return fmt.Errorf("%w: %s holds epoch %d", ErrDeposed, r.Holder, r.Epoch)
	}
	if r.RequestedBy != "" && h.RequestedBy == "" {
		log := c.Log.WithFields(logrus.Fields{"epoch": h.Epoch, "requester": r.RequestedBy, "requester_milli": r.RequesterMilli, "cpu_milli": c.CPUMilli})
		log.Info("lease requested by a more capable instance")
	}
	h.record, h.version = r, row.Version
	return nil
}

func (c *Candidate) release(h *held) {
	err := c.writeRelease(h)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		// A request, or a renewal whose answer was lost, may be in the row.
		if err = c.adopt(conflict, h); err == nil {
			err = c.writeRelease(h)
		}
	}
	if err != nil {
		c.Log.WithError(err).Info("lease not released")
	}
}

func (c *Candidate) writeRelease(h *held) error {
	next := h.record
	next.Released = true
	_, err := c.write(context.Background(), next, h.version)
	return err
}
