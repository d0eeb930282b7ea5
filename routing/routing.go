// Package routing takes a latency-critical request from the instance that
// receives it to a runner, and takes the runner's answer back.
//
// The owner of a key's shard is the only instance that dispatches keyed
// requests. It joins duplicates to the first request in flight, dispatches only
// while its lease outlasts the request's deadline, and sends a request again
// only if the earlier dispatch is proven not to have run.
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

// Lease is a valid lease of a shard, without extension.
type Lease struct {
	Shard structs.ShardID
	Epoch uint64
	Fence platform.Condition
}

// Ownership tells which shards this instance owns, and who owns the others.
type Ownership interface {
	Held(shard structs.ShardID) (Lease, bool)
	ServingUntil(shard structs.ShardID) time.Time
	DispatchAfter(shard structs.ShardID) time.Time
	Owner(shard structs.ShardID) (structs.Member, bool)
	Fenced(shard structs.ShardID, epoch uint64)
}

// Members is the merged membership view.
type Members interface {
	Entries(domain string) []structs.Member
	Runners(domain, service string) []structs.Member
	Reachable(instance string) bool
	MarkLeaving(runner string)
}

// Peers forwards requests to other instances.
type Peers interface {
	Forward(ctx context.Context, address string, m *peer.ForwardRequest) (*peer.ForwardResponse, error)
}

// Topology is the declared failure domains and the shards of each.
type Topology interface {
	Domains() []string
	Shards() int
}

// Config is what a router is made of.
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
	// Log may be nil, which stands for the standard logger.
	Log logrus.FieldLogger
}

// Router handles requests on one instance.
type Router struct {
	Config
	budgets  *retry.Budgets
	keys     *keyTable
	latency  *latencies
	windows  *windows
	writer   *claimWriter
	forwards *forwardCounts

	stopOnce sync.Once
	stopped  chan struct{} // closed when Serve ends for good

	mu    sync.Mutex
	lanes map[laneID]*lane
}

// New returns a router. Serve must run beside it.
func New(c Config) *Router {
	c.Settings = c.Settings.withDefaults()
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	c.Log = logging.Part(c.Log, "routing")
	return &Router{
		Config:   c,
		budgets:  retry.New(c.Settings.Retry, c.Clock, c.Metrics),
		keys:     newKeyTable(c.Settings, c.Clock),
		latency:  newLatencies(c.Clock),
		windows:  newWindows(c.Clock),
		writer:   newClaimWriter(c),
		forwards: newForwardCounts(c.Settings.MaxForwards),
		stopped:  make(chan struct{}),
		lanes:    map[laneID]*lane{},
	}
}

// Serve writes claims, gives free slots to waiting requests when the set of
// runners changes, and drops remembered answers that expired, until ctx ends.
// After a panic of the writer it returns an error and may be called again.
func (r *Router) Serve(ctx context.Context) error {
	group, gctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.serveClaims(gctx) })
	group.Go(func() error { return r.serveTicks(gctx) })
	err := group.Wait()
	if ctx.Err() != nil {
		r.stopOnce.Do(func() { close(r.stopped) })
	}
	return err
}

func (r *Router) serveClaims(ctx context.Context) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("claim writer: panic: %v", p)
		}
	}()
	return r.writer.serve(ctx)
}

func (r *Router) serveTicks(ctx context.Context) error {
	ticker := r.Clock.NewTicker(r.Settings.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			r.tick()
		}
	}
}

func (r *Router) tick() {
	r.keys.expire()
	for _, l := range r.allLanes() {
		l.queue.GrantFreeSlots()
	}
	r.dropUnusedLanes()
}

// Quiet returns the longest remaining time in which a keyed request of the
// shard that is in flight here may still run.
func (r *Router) Quiet(shard structs.ShardID) time.Duration {
	return r.keys.quiet(shard)
}

// Latency returns the recent latency of a service on this instance.
func (r *Router) Latency(service string) LatencySample {
	s := r.latency.sample(service)
	for _, l := range r.allLanes() {
		if l.id.service == service {
			s.Waiting += l.queue.Len()
		}
	}
	return s
}
