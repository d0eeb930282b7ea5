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

// Config holds the settings of the life cycle of work items. Zero values stand
// for the defaults.
type Config struct {
	// Domain is the failure domain of this instance.
	Domain string
	// Shards is the number of shards of each failure domain.
	Shards int
	// TaskLease is how long a worker lets a task run after the start or the
	// last heartbeat that renewed its task lease.
	TaskLease time.Duration
	// StartWindow is how long a start may still take effect after it was sent.
	StartWindow time.Duration
	// LeaseMargin is added to a wait on this instance's clock for a period that
	// another process measures on its own clock.
	LeaseMargin time.Duration
	// Heartbeat is the interval between heartbeats to a worker.
	Heartbeat time.Duration
	// QueueScan is the interval at which the owner reads the shard's marker and
	// cancel rows, to find new items and cancels of which no hint arrived.
	QueueScan time.Duration
	// ScanPage is the maximum number of rows that one scan call returns.
	ScanPage int
	// PlanInterval is the shortest pause between two plans of a shard.
	PlanInterval time.Duration
	// CommitMax is the maximum number of transitions in one transaction.
	// CommitWait is how long the committer waits for further transitions before
	// it commits a group that is not full.
	CommitMax  int
	CommitWait time.Duration
	// CallTimeout is the timeout of each call to a worker, to the table and to
	// the object store, including the wait for a call slot.
	CallTimeout time.Duration
	// RetryMin and RetryMax are the shortest and the longest backoff before a
	// call is repeated.
	RetryMin time.Duration
	RetryMax time.Duration
	// RestartMin and RestartMax are the shortest and the longest delay before a
	// standing job that ended is restarted.
	RestartMin time.Duration
	RestartMax time.Duration
	// MaxCalls is the maximum number of concurrent calls to workers, including
	// checkpoint verifications, for each shard.
	MaxCalls int
	// Limits bounds the retries of items that fail.
	Limits Limits
}

// DefaultRestartMax is the longest delay before a standing job that ended is restarted.
// A run that is longer resets the delay, which otherwise doubles with each restart.
const DefaultRestartMax = time.Minute

// Other default values of Config.
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
	defaults.Set(&c.RestartMax, DefaultRestartMax)
	defaults.Set(&c.Shards, 1)
	defaults.Set(&c.ScanPage, defaultScanPage)
	defaults.Set(&c.CommitMax, defaultCommitMax)
	defaults.Set(&c.MaxCalls, defaultMaxCalls)
	defaults.Set(&c.Limits.MaxFailedWorkers, defaultMaxFailedWorkers)
	defaults.Set(&c.Limits.MaxFailures, defaultMaxFailures)
	return c
}

// Policy makes plans for shards. Schedule performs no I/O, and a plan depends
// only on the snapshots and observations that the policy has received. The
// cores of several shards may call Schedule concurrently.
type Policy interface {
	Schedule(scheduler.Snapshot) scheduler.Plan
}

// Leases provides the leases of the shards that this instance owns.
// ownership.Manager implements it.
type Leases interface {
	// HeldLease returns the lease of a shard, and true if this instance holds it
	// now. A lease that is in force only by an extension does not count.
	HeldLease(shard structs.ShardID) (ownership.Lease, bool)
	// ServingUntil returns until when this instance may serve a shard,
	// including extensions. It is zero if this instance does not serve it now.
	ServingUntil(shard structs.ShardID) time.Time
	// NotifyFenced drops the lease of an epoch. The core calls it after a read
	// of the table has shown that the shard's epoch row has changed.
	NotifyFenced(shard structs.ShardID, epoch uint64)
}

// WorkerView provides the workers on the membership list.
type WorkerView interface {
	// Workers returns the listed workers of a failure domain.
	Workers(domain string) []structs.Member
	// WorkerUnlistedFor returns for how long a worker is known to have been off
	// the list. It is zero while the worker is on the list.
	WorkerUnlistedFor(name string) time.Duration
}

// Hinter notifies the owner of a shard of a new work row. Hint is called only
// for shards that other instances own. A submit is answered only after Hint
// returns, so Hint must not block.
type Hinter interface {
	Hint(ctx context.Context, shard structs.ShardID, id structs.WorkID)
}

// FailureTracker records the outcomes of attempts and decides which workers are
// excluded because attempts fail on them.
type FailureTracker interface {
	// IsQuarantined reports whether a worker is excluded because attempts fail on
	// it.
	IsQuarantined(worker string) bool
	// RecordOutcome records that a worker reported the end of an attempt of an
	// item, and whether the attempt failed.
	RecordOutcome(worker, job string, id structs.WorkID, failed bool)
}

// Dependencies holds the services that a Manager uses. Hinter and
// FailureTracker may be nil.
type Dependencies struct {
	Table          platform.Table
	Objects        platform.ObjectStore
	Workers        workerapi.Client
	View           WorkerView
	Leases         Leases
	Policy         Policy
	Hinter         Hinter
	FailureTracker FailureTracker
	// Log is the logger. Nil stands for the standard logger.
	Log logrus.FieldLogger
	// Domains returns the declared failure domains.
	Domains func() []string
	// NewWriteID returns a write ID that differs from those of all other
	// writes.
	NewWriteID func() string
}
