package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// Errors of polls of runners and of orders to runners.
var (
	// ErrFenced means that a runner or the platform refused a call because it has accepted one
	// with a higher fencing token.
	ErrFenced = errors.New("fenced off by a later coordinator")
	// ErrWrongRunner means that another runner answered at the address.
	ErrWrongRunner = errors.New("another runner has the address")
	// ErrNotSent means that the order can't have reached the runner.
	ErrNotSent = errors.New("order not sent")
)

// PollRequest is a long poll: it asks a runner for its report and extends the leases there.
type PollRequest struct {
	Runner, Address string
	Token           uint64 // fencing token
	// Acknowledged is the number of the last result that the runner may forget.
	Acknowledged int
	// Deadline is when all leases on the runner end, on the runner's clock. Zero leaves
	// the leases as they are.
	Deadline time.Duration
	// Wait is how long the runner may wait for a result before it answers.
	Wait time.Duration
}

// PollResponse is a runner's answer to a poll, with a reading of the runner's clock.
type PollResponse struct {
	Clock  time.Duration
	Report Report
}

// RunnerClient polls runners and sends them orders. It sends each poll and each order at most
// once.
type RunnerClient interface {
	// Poll sends a long poll.
	Poll(ctx context.Context, request PollRequest) (PollResponse, error)
	// Send sends an order with a fencing token. For a start, deadline is the end of the run's
	// lease on the runner's clock.
	Send(ctx context.Context, order Order, token uint64, deadline time.Duration) (OrderResponse, error)
}

// Environment holds the interfaces and settings that a coordinator works with.
type Environment struct {
	Store   rowstore.Store
	Runners RunnerClient
	// Adviser answers requests for advice for queues that require a ticket for each start.
	Adviser Adviser
	// RunnersTable is the table with the registry of runners. DecodeRunner decodes its rows.
	RunnersTable string
	DecodeRunner func(rowstore.Row) (RunnerInfo, error)
	// Maintenance is nil where the platform has no maintenance waves.
	Maintenance *Maintenance
	// EvacuatedDomains returns the failure domains under evacuation, sorted. It is nil where
	// the platform has none.
	EvacuatedDomains func() []string
	// WithdrawnEvacuations returns, by failure domain, the local time at which the evacuation of
	// the domain was withdrawn, for those of the last seconds. It may be nil.
	WithdrawnEvacuations func() map[string]time.Duration
	// RefreshEvacuatedDomains reads the requests for evacuations from the store, so that
	// EvacuatedDomains then returns what was in force when it was called, or something newer.
	RefreshEvacuatedDomains func(ctx context.Context, store rowstore.Store) error
	// Queues returns the queues of the configuration in force.
	Queues func() []jobs.Queue
	Limits Limits
	// LeaseDuration is how long a runner lets its runs go on without a new grant from the
	// coordinator.
	LeaseDuration time.Duration
	// MaxLeaseDuration is the longest time after the arrival of a call until which a runner
	// keeps a lease, whatever deadline the call carries.
	MaxLeaseDuration time.Duration
	// Retention is how long the rows of a job are kept after the job ended.
	Retention time.Duration
	// Clock is the local clock, which is steady.
	Clock func() time.Duration
	// StoreClock returns an estimate of the store's clock.
	StoreClock func() time.Duration
	// StoreClockBounds returns the bounds of the store's clock at a local time, and whether
	// they are known.
	StoreClockBounds func(local time.Duration) (earliest, latest time.Duration, known bool)
	Log              logrus.FieldLogger
	// Count adds to a counter.
	Count Counter
	// Gauge sets a metric; it may be nil.
	Gauge func(name string, value int64)
}
