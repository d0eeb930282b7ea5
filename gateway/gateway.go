// Package gateway accepts, cancels and reports jobs on any instance. It keeps
// nothing: every answer comes from the store.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// Errors of the gateway.
var (
	// ErrNotAccepted means that the call had no effect and may be sent again.
	ErrNotAccepted = errors.New("not accepted")
	// ErrUnknown means that the call may have had an effect.
	ErrUnknown = errors.New("outcome unknown")
)

// readTimeout bounds one reading call.
const readTimeout = time.Second

// Clock returns the store's clock, as far as it is known.
type Clock func() time.Duration

// Gateway answers clients out of the store.
type Gateway struct {
	Store rowstore.Store
	Clock Clock
	// MaxPendingAge is how old a number of pending jobs may be that is told.
	MaxPendingAge time.Duration

	writes latency
}

// Submit records a job. It returns nil once the job is durable, also if it was
// before.
func (g *Gateway) Submit(ctx context.Context, queue jobs.Queue, id jobs.ID, spec jobs.Spec) error {
	value, err := jobs.EncodeAccepted(queue, spec, g.Clock())
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNotAccepted, err)
	}
	key := AcceptedKey(id)
	return g.write(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: key}},
		Puts:       []rowstore.Put{{Key: key, Value: value}},
	})
}

// rows are the records of one job.
type rows struct {
	accepted *rowstore.Row
	cancel   bool
}

func (g *Gateway) rows(ctx context.Context, id jobs.ID) (rows, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	res, err := g.Store.Read(ctx, JobRange(id))
	if err != nil {
		return rows{}, fmt.Errorf("%w: %v", ErrNotAccepted, err)
	}
	var out rows
	for i := range res.Rows {
		switch res.Rows[i].Key {
		case AcceptedKey(id):
			out.accepted = &res.Rows[i]
		case CancelKey(id):
			out.cancel = true
		}
	}
	return out, nil
}

// progress returns the state that the coordinator has stored, if it has.
func (g *Gateway) progress(ctx context.Context, id jobs.ID) (state jobs.State, stored bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	key := ProgressKey(id)
	res, err := g.Store.Read(ctx, rowstore.Range{Table: key.Table, Part: key.Part, From: key.Key, To: key.Key + "\x00"})
	if err != nil {
		return 0, false, fmt.Errorf("%w: %v", ErrNotAccepted, err)
	}
	if len(res.Rows) == 0 {
		return jobs.Queued, false, nil
	}
	state, _, err = jobs.DecodeState(res.Rows[0].Value)
	return state, err == nil, err
}

// Status returns a job's state and whether the job exists. A final state is
// final: most queries are about jobs that have ended and cost one reading.
func (g *Gateway) Status(ctx context.Context, id jobs.ID) (jobs.State, bool, error) {
	state, stored, err := g.progress(ctx, id)
	if err != nil || stored && state.Terminal() {
		return state, err == nil, err
	}
	found, err := g.rows(ctx, id)
	if err != nil || found.accepted == nil {
		return 0, false, err
	}
	if found.cancel {
		return jobs.Cancelled, true, nil
	}
	return state, true, nil
}

// Cancel records that a job is to end and reports whether the job exists.
func (g *Gateway) Cancel(ctx context.Context, id jobs.ID) (bool, error) {
	found, err := g.rows(ctx, id)
	if err != nil || found.accepted == nil {
		return false, err
	}
	if found.cancel {
		return true, nil
	}
	state, _, err := g.progress(ctx, id)
	if err != nil {
		return false, err
	}
	if state.Terminal() {
		return true, nil
	}
	key := CancelKey(id)
	// The conditions keep a delayed write from marking a job whose rows were
	// removed meanwhile.
	err = g.write(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: key}, {Key: found.accepted.Key, Version: found.accepted.Version}},
		Puts:       []rowstore.Put{{Key: key}},
	})
	return err == nil, err
}
