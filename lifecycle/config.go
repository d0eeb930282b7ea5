package lifecycle

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/defaults"
	"bergamotstile/ownership"
	"bergamotstile/platform"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// Config holds the settings of the life cycle of work items. Zero values are
// replaced by the defaults.
type Config struct {
	// Domain is the failure domain of this instance.
	Domain string
	// Shards is the number of shards of each domain.
	Shards int
	// TaskLease is how long a task outlives its last heartbeat.
	TaskLease time.Duration
	// StartWindow is how late a start may reach its worker.
	StartWindow time.Duration
	// LeaseMargin is added to waits that span two clocks.
	LeaseMargin time.Duration
	// Heartbeat is the interval of heartbeats to each worker.
	Heartbeat time.Duration
	// QueueScan is the interval at which the shard's rows are read for items
	// and cancellations of which no hint arrived.
	QueueScan time.Duration
	// ScanPage is the number of rows read by one scan.
	ScanPage int
	// PlanInterval is the least time between two plans of a shard.
	PlanInterval time.Duration
	// CommitMax and CommitWait bound a group of transitions.
	CommitMax  int
	CommitWait time.Duration
	// CallTimeout bounds each call to a worker, the table and the objects.
	CallTimeout time.Duration
	// RetryMin and RetryMax bound the backoff of failed calls.
	RetryMin time.Duration
	RetryMax time.Duration
	// RestartMin and RestartMax bound the backoff of standing jobs.
	RestartMin time.Duration
	RestartMax time.Duration
	// MaxCalls bounds the calls to workers of a shard that run at once.
	MaxCalls int
	Limits   Limits
}

// Defaults of Config.
const (
	defaultTaskLease        = 20 * time.Second
	defaultStartWindow      = time.Second
	defaultLeaseMargin      = 500 * time.Millisecond
	defaultHeartbeat        = time.Second
	defaultQueueScan        = time.Second
	defaultScanPage         = 1000
	defaultPlanInterval     = 20 * time.Millisecond
	defaultCommitMax        = 256
	defaultCommitWait       = 5 * time.Millisecond
	defaultCallTimeout      = 2 * time.Second
	defaultRetryMin         = 100 * time.Millisecond
	defaultRetryMax         = 2 * time.Second
	defaultRestartMin       = time.Second
	defaultRestartMax       = time.Minute
	defaultMaxCalls         = 512
	defaultMaxFailedWorkers = 3
	defaultMaxFailures      = 6
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.TaskLease, defaultTaskLease)
	defaults.Set(&c.StartWindow, defaultStartWindow)
	defaults.Set(&c.LeaseMargin, defaultLeaseMargin)
	defaults.Set(&c.Heartbeat, defaultHeartbeat)
	defaults.Set(&c.QueueScan, defaultQueueScan)
	defaults.Set(&c.PlanInterval, defaultPlanInterval)
	defaults.Set(&c.CommitWait, defaultCommitWait)
	defaults.Set(&c.CallTimeout, defaultCallTimeout)
	defaults.Set(&c.RetryMin, defaultRetryMin)
	defaults.Set(&c.RetryMax, defaultRetryMax)
	defaults.Set(&c.RestartMin, defaultRestartMin)
	defaults.Set(&c.RestartMax, defaultRestartMax)
	defaults.Set(&c.Shards, 1)
	defaults.Set(&c.ScanPage, defaultScanPage)
	defaults.Set(&c.CommitMax, defaultCommitMax)
	defaults.Set(&c.MaxCalls, defaultMaxCalls)
	defaults.Set(&c.Limits.MaxFailedWorkers, defaultMaxFailedWorkers)
	defaults.Set(&c.Limits.MaxFailures, defaultMaxFailures)
	return c
}

// Policy plans for one shard. It has to be pure.
type Policy interface {
	Schedule(scheduler.Snapshot) scheduler.Plan
}

// Leases tells which shards this instance owns; ownership.Manager is one.
type Leases interface {
	Held(shard structs.ShardID) (ownership.Lease, bool)
	ServingUntil(shard structs.ShardID) time.Time
	Fenced(shard structs.ShardID, epoch uint64)
}

// WorkerView tells which workers exist.
type WorkerView interface {
	Workers(domain string) []structs.Member
	// WorkerGoneFor returns how long a worker is known to be off the list,
	// and zero while it is on it.
	WorkerGoneFor(name string) time.Duration
}

// Hinter tells the owner of a shard about a new work row. It is not called
// for shards that this instance owns, and it must not block: a submit is
// answered after it.
type Hinter interface {
	Hint(ctx context.Context, shard structs.ShardID, id structs.WorkID)
}

// Verdicts knows the workers that fail what they start.
type Verdicts interface {
	Quarantined(worker string) bool
	// Ended tells how an attempt of a job ended on a worker.
	Ended(worker, job string, id structs.WorkID, failed bool)
}

// Dependencies are what a Manager works with. Hinter and Verdicts may be nil.
type Dependencies struct {
	Table    platform.Table
	Objects  platform.ObjectStore
	Workers  workerapi.Client
	View     WorkerView
	Leases   Leases
	Policy   Policy
	Hinter   Hinter
	Verdicts Verdicts
	// Log may be nil, which stands for the standard logger.
	Log logrus.FieldLogger
	// Domains returns the declared failure domains.
	Domains func() []string
	// NewWriteID returns an ID that no other write has.
	NewWriteID func() string
}
