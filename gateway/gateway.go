// Package gateway accepts, cancels and reports jobs. Any instance can serve a job,
// because the gateway keeps no job state in memory: it reads and writes the store.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// Errors that the gateway returns, wrapped with detail.
var (
	// ErrNotAccepted means that the call had no effect. The client may send it again.
	ErrNotAccepted = errors.New("not accepted")
	// ErrOutcomeUnknown means that the write may have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrTooLarge means that the job is not accepted because its row would be larger than
	// the store allows. The same call fails whenever and wherever it is sent again.
	ErrTooLarge = errors.New("job too large to be stored")
	// ErrCancelled means that the job is not accepted because its client has cancelled it before.
	// The job never runs.
	ErrCancelled = errors.New("job was cancelled before it was accepted")
	// ErrRejected means that the job is not accepted because the store refuses its row for
	// good, for a reason other than a size known to the gateway.
	ErrRejected = errors.New("job refused by the store")
)

// Clock returns the current estimate of the store's clock.
type Clock func() time.Duration

// Gateway serves the job calls of clients by reading and writing the store.
type Gateway struct {
	Store rowstore.Store
	Clock Clock
	// MaxPendingAge is the age above which Pending returns ErrOutdated instead of
	// the stored number of pending jobs. The age counts from PendingCounts.AsOf.
	MaxPendingAge time.Duration
	// MaxRowBytes is the size of the largest value of a row that the store accepts; zero
	// means that the gateway checks no size.
	MaxRowBytes int

	writeLatency, readLatency meanLatency
}

// Submit records a job in the store. It returns nil once the job is durable, also if
// an earlier call has already recorded it, and ErrCancelled if the job was cancelled before any
// call has recorded it.
func (g *Gateway) Submit(ctx context.Context, queue jobs.Queue, id jobs.ID, spec jobs.Spec) error {
	value, err := jobs.EncodeAccepted(queue, spec, g.Clock())
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNotAccepted, err)
	}
	if g.MaxRowBytes > 0 && len(value) > g.MaxRowBytes {
		return g.refuseTooLarge(ctx, id, len(value))
	}
	key := AcceptedKey(id)
	conflict, err := g.write(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: key}, {Key: CancelKey(id)}},
		Puts:       []rowstore.Put{{Key: key, Value: value}},
	})
	if err != nil || conflict == nil {
		return err
	}
	return submitOutcome(id, conflict)
}

// submitOutcome returns the outcome of a submission of which a condition did not hold.
func submitOutcome(id jobs.ID, conflict *rowstore.ConflictError) error {
	if _, isAccepted := conflict.Find(AcceptedKey(id)); isAccepted {
		return nil
	}
	if _, isCancelled := conflict.Find(CancelKey(id)); isCancelled {
		return ErrCancelled
	}
	return fmt.Errorf("%w: %v", ErrOutcomeUnknown, conflict)
}

// refuseTooLarge returns the error for a job whose row would be too large, or nil if an
// earlier call has recorded the job: its row may have been smaller, as it contains the queue.
func (g *Gateway) refuseTooLarge(ctx context.Context, id jobs.ID, size int) error {
	found, err := g.readJobRows(ctx, id)
	if err != nil || found.accepted != nil {
		return err
	}
	return fmt.Errorf("%w: its row has %d bytes, at most %d are allowed", ErrTooLarge, size, g.MaxRowBytes)
}

// jobRows are the rows that clients have written for one job.
type jobRows struct {
	accepted  *rowstore.Row // nil if the job does not exist
	cancelled bool
}

// readJobRows reads the rows that clients have written for a job.
func (g *Gateway) readJobRows(ctx context.Context, id jobs.ID) (jobRows, error) {
	res, err := g.read(ctx, JobRange(id))
	if err != nil {
		return jobRows{}, fmt.Errorf("%w: %v", ErrNotAccepted, err)
	}
	var found jobRows
	for i := range res.Rows {
		switch res.Rows[i].Key {
		case AcceptedKey(id):
			found.accepted = &res.Rows[i]
		case CancelKey(id):
			found.cancelled = true
		}
	}
	return found, nil
}

// readProgress returns the state that the coordinator has stored for the job. If it
// has stored none, the state is Queued and stored is false.
func (g *Gateway) readProgress(ctx context.Context, id jobs.ID) (state jobs.State, stored bool, err error) {
	key := ProgressKey(id)
	res, err := g.read(ctx, rowstore.Range{Table: key.Table, Part: key.Part, From: key.Key, To: key.Key + "\x00"})
	if err != nil {
		return 0, false, fmt.Errorf("%w: %v", ErrNotAccepted, err)
	}
	if len(res.Rows) == 0 {
		return jobs.Queued, false, nil
	}
	state, _, err = jobs.DecodeState(res.Rows[0].Value)
	return state, err == nil, err
}

// Status returns the state of a job and whether the job exists. It reads the stored
// progress first: a terminal state never changes, and most queries are about jobs
// that have ended, so one read answers them.
func (g *Gateway) Status(ctx context.Context, id jobs.ID) (jobs.State, bool, error) {
	state, stored, err := g.readProgress(ctx, id)
	if err != nil || stored && state.IsTerminal() {
		return state, err == nil, err
	}
	found, err := g.readJobRows(ctx, id)
	if err != nil || found.accepted == nil {
		return 0, false, err
	}
	if found.cancelled {
		return jobs.Cancelled, true, nil
	}
	return state, true, nil
}

// Cancel marks a job as cancelled unless it has ended, and reports whether the job
// exists. The report is meaningful only if the error is nil.
//
// A job that does not exist is marked too: the store may still carry out a write that submits it,
// and the mark makes the condition of that write fail. The coordinator removes such marks after the
// retention of ended jobs.
func (g *Gateway) Cancel(ctx context.Context, id jobs.ID) (bool, error) {
	found, err := g.readJobRows(ctx, id)
	if err != nil {
		return false, err
	}
	if found.cancelled {
		return found.accepted != nil, nil
	}
	key := CancelKey(id)
	mark := rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: key}},
		Puts:       []rowstore.Put{{Key: key}},
	}
	if found.accepted == nil {
		_, err := g.write(ctx, mark)
		return false, err
	}
	state, _, err := g.readProgress(ctx, id)
	if err != nil {
		return false, err
	}
	if state.IsTerminal() {
		return true, nil
	}
	// The rows of the job may be deleted in the meantime. The condition makes a delayed write
	// fail then, so that it does not mark a job that no longer exists.
	mark.Conditions = append(mark.Conditions, rowstore.Condition{Key: found.accepted.Key, Version: found.accepted.Version})
	_, err = g.write(ctx, mark)
	return err == nil, err
}
