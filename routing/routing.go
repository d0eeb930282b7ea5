// Package routing takes a latency-critical request from the entry instance that
// receives it to a runner, and returns the runner's answer.
//
// Only the owner of a key's shard dispatches requests under that key. The owner
// joins duplicates to the attempt that is in flight, dispatches only if its
// lease lasts until the request's deadline, and dispatches a request again only
// if the earlier dispatch is proven not to have run.
package routing

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotstile/logging"
	"bergamotstile/metrics"
	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/retry"
	"bergamotstile/runnerapi"
	"bergamotstile/structs"
)

// Lease is a shard lease that this instance holds in the table. An extension
// that peers have promised during a table outage is not part of it.
type Lease struct {
	Shard structs.ShardID
	Epoch uint64
	Fence platform.Condition // condition of every write that the owner commits
}

// Ownership reports which shards this instance owns and which instances own the
// other shards.
type Ownership interface {
	// HeldLease returns the lease of a shard, and true if this instance holds
	// it now. A lease that is in force only by promises of peers does not count.
	HeldLease(shard structs.ShardID) (Lease, bool)
	// ServingUntil returns when this instance has to stop serving a shard,
	// extension included. It is zero if the instance does not serve the shard
	// now.
	ServingUntil(shard structs.ShardID) time.Time
	// DispatchAfter returns the time from which this instance may dispatch
	// keyed requests of a shard: the end of the quiet period, by which the
	// dispatches of the former owner have ended.
	DispatchAfter(shard structs.ShardID) time.Time
	// Owner returns the last known owner of a shard.
	Owner(shard structs.ShardID) (structs.Member, bool)
	// NotifyFenced reports that a write under the given epoch was rejected
	// because the shard's epoch row has changed. The lease of that epoch then
	// ends.
	NotifyFenced(shard structs.ShardID, epoch uint64)
}

// Members is the membership view. It combines the platform's membership list
// with heartbeats between entry instances, health probes of runners and the
// refusals of leaving runners.
type Members interface {
	// Entries returns the live, reachable entry instances of a domain that are
	// not draining, this instance included.
	Entries(domain string) []structs.Member
	// Runners returns the runners of a service in a domain that may receive new
	// requests.
	Runners(domain, service string) []structs.Member
	// Reachable reports whether an instance answered a recent heartbeat.
	Reachable(instance string) bool
	// MarkLeaving records that a runner refused a request because it is
	// leaving.
	MarkLeaving(runner string)
}

// Peers forwards requests to other instances.
type Peers interface {
	Forward(ctx context.Context, address string, m *peer.ForwardRequest) (*peer.ForwardResponse, error)
}

// Topology returns the declared failure domains and the number of shards in
// each of them.
type Topology interface {
	Domains() []string
	Shards() int
}

// Config holds the identity, the settings and the dependencies of a router.
type Config struct {
	Instance  string
	Domain    string
	Settings  Settings
	Clock     clockwork.Clock
	Ownership Ownership
	Members   Members
	Peers     Peers
	Topology  Topology
	Runners   runnerapi.Client
	Table     platform.Table
	Objects   platform.ObjectStore
	Metrics   *metrics.Set
	// Log may be nil; the router then uses the standard logger.
	Log logrus.FieldLogger
}

// Router handles the latency-critical requests that reach one instance.
type Router struct {
	Config
	retryBudgets   *retry.Budgets
	keys           *keyTable
	latencies      *latencyTracker
	runnerSamples  *runnerSampler
	claimWriter    *claimWriter
	forwardLimiter *forwardLimiter

	stopOnce sync.Once
	stopped  chan struct{} // closed when Serve returns because its context ended

	mu    sync.Mutex
	pools map[poolID]*runnerPool
}

// New returns a router. It works only while Serve runs.
func New(config Config) *Router {
	config.Settings = config.Settings.withDefaults()
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	config.Log = logging.ForComponent(config.Log, "routing")
	return &Router{
		Config:         config,
		retryBudgets:   retry.New(config.Settings.Retry, config.Clock, config.Metrics),
		keys:           newKeyTable(config.Settings, config.Clock),
		latencies:      newLatencyTracker(config.Clock),
		runnerSamples:  newRunnerSampler(config.Clock),
		claimWriter:    newClaimWriter(config),
		forwardLimiter: newForwardLimiter(config.Settings.MaxForwards),
		stopped:        make(chan struct{}),
		pools:          map[poolID]*runnerPool{},
	}
}

// Serve runs the router's background work until ctx ends: it commits claims,
// gives free slots to waiting requests when the set of runners changes, and
// drops expired answers. If the claim writer panics, Serve returns an error and
// may be called again.
func (r *Router) Serve(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.runClaimWriter(groupCtx) })
	group.Go(func() error { return r.runTicker(groupCtx) })
	err := group.Wait()
	if ctx.Err() != nil {
		r.stopOnce.Do(func() { close(r.stopped) })
	}
	return err
}

func (r *Router) runClaimWriter(ctx context.Context) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("claim writer: panic: %v", p)
		}
	}()
	return r.claimWriter.serve(ctx)
}

func (r *Router) runTicker(ctx context.Context) error {
	ticker := r.Clock.NewTicker(r.Settings.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			r.runPeriodicTasks()
		}
	}
}

func (r *Router) runPeriodicTasks() {
	r.keys.forgetExpired()
	for _, pool := range r.allPools() {
		pool.queue.GrantFreeSlots()
	}
	r.dropUnusedPools()
}

// QuietPeriod returns the quiet period that a successor must keep if this
// instance releases the shard now: how long keyed requests of the shard that
// this instance has in flight may still run. A successor must not dispatch keyed
// requests of the shard before that time has passed.
func (r *Router) QuietPeriod(shard structs.ShardID) time.Duration {
	return r.keys.quietPeriod(shard)
}

// Latency returns the recent request latency of a service on this instance,
// together with the number of its requests that wait for a slot.
func (r *Router) Latency(service string) LatencySample {
	sample := r.latencies.sample(service)
	for _, pool := range r.allPools() {
		if pool.id.service == service {
			sample.Waiting += pool.queue.Len()
		}
	}
	return sample
}
