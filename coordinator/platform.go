package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// Errors of calls to runners.
var (
	// ErrFenced means that the runner has seen a later coordinator.
	ErrFenced = errors.New("runner obeys a later coordinator")
	// ErrWrongRunner means that another runner has the address.
	ErrWrongRunner = errors.New("another runner has the address")
	// ErrNotSent means that the order can't have reached the runner.
	ErrNotSent = errors.New("order not sent")
)

// HoldRequest asks a runner for its list and extends the leases there.
type HoldRequest struct {
	Runner, Address string
	Epoch           uint64
	// Acknowledged is the highest end that the runner may forget.
	Acknowledged int
	// Deadline is when all leases end, on the runner's clock. Zero leaves them
	// as they are.
	Deadline time.Duration
	// Wait is how long the runner may wait for an end before it answers.
	Wait time.Duration
}

// HoldResponse is a runner's answer. Clock is its clock.
type HoldResponse struct {
	Clock  time.Duration
	Report Report
}

// RunnerClient calls runners. A call is sent at most once.
type RunnerClient interface {
	Hold(ctx context.Context, h HoldRequest) (HoldResponse, error)
	// Send gives an order. The deadline is that of a start's lease, on the
	// runner's clock.
	Send(ctx context.Context, o Order, epoch uint64, deadline time.Duration) (Outcome, error)
}

// Environment is what a coordinator works with.
type Environment struct {
	Store   rowstore.Store
	Runners RunnerClient
	// Adviser answers for queues whose policy allows only some runners.
	Adviser Adviser
	// RunnersTable is the registry; DecodeRunner decodes its rows.
	RunnersTable string
	DecodeRunner func(rowstore.Row) (RunnerInfo, error)
	// Maintenance is nil where the platform has no waves of upkeep.
	Maintenance *Maintenance
	// Queues returns the queues in force.
	Queues func() []jobs.Queue
	Limits Limits
	// Lease is how long a runner keeps runs without hearing of the
	// coordinator.
	Lease time.Duration
	// Retention is how long the rows of a job stay after its end.
	Retention time.Duration
	Clock     func() time.Duration
	// StoreClock is the store's clock, as far as it is known.
	StoreClock func() time.Duration
	// StoreBounds returns the bounds of the store's clock at a local time, and
	// whether anything is known of it.
	StoreBounds func(local time.Duration) (earliest, latest time.Duration, known bool)
	Log         logrus.FieldLogger
	Count       Counter
	// Gauge sets a metric; it may be nil.
	Gauge func(name string, value int64)
}
